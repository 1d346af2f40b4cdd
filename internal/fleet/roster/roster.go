// Package roster keeps what a node knows of the fleet: the policy in force, the
// backend servers beside the nodes, and the requests that crash servers. It
// learns them from the platform's catalogue and from other nodes, so that a node
// that the catalogue turns away still follows, and never goes back to an older
// policy.
package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const eventBuffer = 256 // changes that wait for the control goroutine

// Exchanger speaks with the rosters of other nodes.
type Exchanger interface {
	// Exchange sends a message to the node at address and returns its answer.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
}

// Decoder reads a policy from its bytes in the catalogue.
type Decoder func([]byte) (*route.Policy, error)

// Config says who a node is and what it works with.
type Config struct {
	Self       server.Record // Node, Address, DataCentre and Region of this node
	Catalogue  gd.Catalogue
	Policies   string // kind of the policy's entry
	Policy     string // its name
	Servers    string // kind of the servers' entries
	Decode     Decoder
	Exchanger  Exchanger
	Clock      gd.Clock
	Log        hclog.Logger
	Seed       uint64
	OnHeard    func(node string)   // told of each message of another node
	OnAdoption func(server.Record) // told of an own record that an earlier process left
	OnLeave    func(server.Record) // told that the server of an adopted record had left before
}

// Snapshot is an immutable view of what is known.
type Snapshot struct {
	Policy      *route.Policy // nil until one is known
	PolicySince time.Duration // instant from which it is in force
	Directory   server.Directory
	Serving     map[string][]server.Record // by service, ordered by node
	Register    quarantine.Register
}

// Nodes returns the number of nodes known, this one included.
func (s *Snapshot) Nodes() int { return max(1, s.Directory.Len()) }

// Roster is the view of one node. Use New.
type Roster struct {
	cfg       Config
	snapshot  atomic.Pointer[Snapshot]
	changes   chan func(*state)
	publish   chan struct{} // wakes the publisher
	relist    chan struct{} // wakes the lister of the servers' entries
	revision  atomic.Uint64 // of the policy's entry that is in force
	started   chan struct{} // closed when the first policy is known
	tasks     sync.WaitGroup
	pushSlots chan struct{} // bounds the pushes under way

	mu           sync.Mutex // guards what follows
	random       *rand.Rand
	latest       server.Record // that was announced
	latestNumber uint64        // counts the records announced
}

// state is owned by the control goroutine.
type state struct {
	r            *Roster
	ctx          context.Context // ends with Run, and with it what is under way to other nodes
	policy       *route.Policy
	policySince  time.Duration
	raw          []byte // the policy as the catalogue holds it
	checksum     uint64 // of raw
	previous     previousPolicy
	directory    server.Directory
	register     quarantine.Register
	own          server.Record
	hasOwn       bool
	adopted      server.Record            // that an earlier process left and that was taken up
	stored       server.Record            // own record as the catalogue holds it
	revision     uint64                   // of the own entry, 0 if there is none
	changedAt    map[string]time.Duration // when a node's record was last replaced
	missingSince map[string]time.Duration // since when the catalogue lacks a known node's entry
	heardAt      map[string]time.Duration // when a node was last heard directly
	forgotten    map[string]server.Record // forgotten ones, so that other nodes do not bring them back
	left         bool
	announced    uint64 // number of the announced record that was taken over
	fetching     uint64 // version of the policy that another node is asked for, 0 for none

	compressed        []byte // raw as it is sent to other nodes
	compressedVersion uint64 // its version
}

// earlier is the policy that was in force before. Most nodes that ask for the
// newest one have it, and need only what has changed.
type previousPolicy struct {
	version  uint64
	checksum uint64 // of raw
	raw      []byte
	delta    []byte // to the policy in force, nil until one is needed
}

// New returns a roster. Run starts it.
func New(cfg Config) *Roster {
	r := &Roster{
		cfg:       cfg,
		changes:   make(chan func(*state), eventBuffer),
		publish:   make(chan struct{}, 1),
		relist:    make(chan struct{}, 1),
		started:   make(chan struct{}),
		pushSlots: make(chan struct{}, maxPushes),
		random:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	r.snapshot.Store(&Snapshot{})
	return r
}

// Snapshot returns the current view.
func (r *Roster) Snapshot() *Snapshot { return r.snapshot.Load() }

// Run keeps the view until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { r.followPolicy(ctx) })
	loops.Go(func() { r.followServers(ctx) })
	loops.Go(func() { r.publishLoop(ctx) })
	loops.Go(func() { r.gossip(ctx) })
	s := &state{
		r:            r,
		ctx:          ctx,
		changedAt:    map[string]time.Duration{},
		missingSince: map[string]time.Duration{},
		heardAt:      map[string]time.Duration{},
		forgotten:    map[string]server.Record{},
	}
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case change := <-r.changes:
			change(s)
			s.applyQueued()
			s.publishSnapshot()
		case <-tick.C:
			s.expire()
			s.publishSnapshot()
		case <-ctx.Done():
			loops.Wait()
			r.tasks.Wait()
			return ctx.Err()
		}
	}
}

// drain applies the changes that wait already, so that one view shows them all.
func (s *state) applyQueued() {
	for range eventBuffer {
		select {
		case change := <-s.r.changes:
			change(s)
		default:
			return
		}
	}
}

// post hands a change to the control goroutine.
func (r *Roster) post(ctx context.Context, change func(*state)) {
	select {
	case r.changes <- change:
	case <-ctx.Done():
	}
}

// show publishes the state as a snapshot if it differs.
func (s *state) publishSnapshot() {
	old := s.r.snapshot.Load()
	if old.Policy == s.policy && old.Directory.Generation() == s.directory.Generation() && old.Register.Generation() == s.register.Generation() {
		return
	}
	next := &Snapshot{Policy: s.policy, PolicySince: s.policySince, Directory: s.directory, Serving: old.Serving, Register: s.register}
	if old.Directory.Generation() != s.directory.Generation() {
		next.Serving = s.directory.Serving()
	}
	s.r.snapshot.Store(next)
}

// adopt brings a policy into force if it is newer than the one in force, and
// tells some other nodes, who ask for it.
func (s *state) installPolicy(raw []byte, revision uint64, source string) {
	p, err := s.r.cfg.Decode(raw)
	if err != nil {
		s.r.cfg.Log.Error(event.PolicyRefused, "source", source, "error", gd.Message(err), "in-force", s.version())
		return
	}
	if s.policy != nil && p.Version <= s.policy.Version {
		return
	}
	s.r.cfg.Log.Info(event.PolicyInForce, "version", p.Version, "before", s.version(), "routes", p.Len(), "source", source)
	first := s.policy == nil
	s.previous = previousPolicy{version: s.version(), checksum: s.checksum, raw: s.raw}
	s.policy, s.raw, s.checksum = p, raw, checksumOf(raw)
	s.policySince = s.r.cfg.Clock.Monotonic()
	s.r.revision.Store(max(revision, s.r.revision.Load()))
	s.publishSnapshot()
	if first {
		close(s.r.started)
	}
	s.pushTo(s.randomNodes(fanOut), Message{Version: s.version()})
}

func (s *state) version() uint64 {
	if s.policy == nil {
		return 0
	}
	return s.policy.Version
}

// merge takes in records of servers that the given node, or "" for the
// catalogue, told of. It returns those of other nodes that were newer.
func (s *state) merge(records []server.Record, node string) []server.Record {
	source := "store"
	if node != "" {
		source = "node " + node
		records = slices.DeleteFunc(records, func(r server.Record) bool {
			old, ok := s.forgotten[r.Node]
			return ok && r.Node != node && r.Compare(old) <= 0
		})
	}
	for _, r := range records {
		if r.Node == s.r.cfg.Self.Node {
			s.handleEarlierRecord(r)
		}
	}
	var newer []server.Record
	s.directory, newer = s.directory.WithRecords(records...)
	for _, r := range newer {
		delete(s.forgotten, r.Node)
		s.changedAt[r.Node] = s.r.cfg.Clock.Monotonic()
		if r.Node == s.r.cfg.Self.Node {
			s.handleOwnRecord(r)
			continue
		}
		s.r.cfg.Log.Info(event.ServerSeen, "node", r.Node, "service", r.Service, "instance", r.Instance,
			"state", r.State.String(), "incarnation", r.Incarnation, "sequence", r.Sequence, "source", source)
	}
	return newer
}

// meetOwn deals with a record of this node that it did not write: an earlier
// process did, or a later one at another address.
func (s *state) handleOwnRecord(r server.Record) {
	if s.hasOwn && r.Compare(s.own) <= 0 {
		return
	}
	if s.hasOwn {
		s.own.Incarnation = r.Incarnation + 1
		s.announce(s.own)
		return
	}
	if s.r.cfg.OnAdoption != nil && r.State == server.Up && r.Address == s.r.cfg.Self.Address {
		s.adopted = r
		s.r.cfg.OnAdoption(r)
	}
}

// meetEarlier deals with a record that an earlier process of this node told
// others after the one that was adopted: the process was killed before it could
// write that the server leaves.
func (s *state) handleEarlierRecord(r server.Record) {
	a := s.adopted
	if a.Node == "" || r.Compare(a) <= 0 || r.Instance != a.Instance || r.Started != a.Started {
		return
	}
	if r.State == server.Draining || r.State == server.Gone {
		s.adopted = server.Record{}
		s.r.cfg.OnLeave(r)
	}
}

// announce makes r the own record, newer than what is known of this node.
func (s *state) announce(r server.Record) {
	if old, ok := s.directory.Record(r.Node); ok {
		r.Incarnation = max(r.Incarnation, old.Incarnation)
		if r.Incarnation == old.Incarnation {
			r.Sequence = max(r.Sequence, old.Sequence+1)
		}
	}
	s.own, s.hasOwn = r, true
	s.directory, _ = s.directory.WithRecords(r)
	s.publishSnapshot()
	s.r.wakePublisher()
	s.push(Message{Records: []server.Record{r}})
}

func (r *Roster) wakePublisher() {
	select {
	case r.publish <- struct{}{}:
	default:
	}
}

// Announce makes the server's record known. Its Incarnation and Sequence are
// set here. It does not wait; of several records the last one counts.
func (r *Roster) Announce(ctx context.Context, rec server.Record) {
	rec.Node, rec.Address = r.cfg.Self.Node, r.cfg.Self.Address
	rec.DataCentre, rec.Region = r.cfg.Self.DataCentre, r.cfg.Self.Region
	r.mu.Lock()
	r.latest = rec
	r.latestNumber++
	r.mu.Unlock()
	go r.post(ctx, (*state).announceLatest)
}

// announceLatest takes over the record that was announced last, unless it has
// been taken already.
func (s *state) announceLatest() {
	s.r.mu.Lock()
	rec, number := s.r.latest, s.r.latestNumber
	s.r.mu.Unlock()
	if s.left || number == s.announced {
		return
	}
	s.announced = number
	rec.Incarnation = max(s.r.cfg.Self.Incarnation, s.own.Incarnation)
	rec.Sequence = s.own.Sequence + 1
	s.announce(rec)
}

// Report makes known that requests were in flight when a server crashed.
func (r *Roster) Report(ctx context.Context, reports []quarantine.Report) {
	r.post(ctx, func(s *state) {
		var added []quarantine.Report
		if s.register, added = s.register.WithReports(reports...); len(added) > 0 {
			s.push(Message{Reports: added})
		}
	})
}

// Started is closed when the first policy is in force.
func (r *Roster) Started() <-chan struct{} { return r.started }

// Leave makes known that the node goes, and removes its entry. It returns when
// the catalogue has confirmed that or ctx ends.
func (r *Roster) Leave(ctx context.Context) {
	done := make(chan struct{})
	r.post(ctx, func(s *state) {
		defer close(done)
		s.left = true
		if s.hasOwn {
			gone := s.own.WithState(server.Gone)
			gone.Sequence++
			s.announce(gone)
		}
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
