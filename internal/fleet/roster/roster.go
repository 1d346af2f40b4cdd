// Package roster maintains a node's view of the fleet: the policy in force, the
// records of the backend servers, and the reports of requests that crash them.
// The view is updated from the platform's catalogue and by gossip with other
// nodes, so that it stays current while the catalogue refuses the node. The
// version of the policy never decreases.
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
	"github.com/geraniumdock/geraniumdock/internal/call/canary"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/seed"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const changeBuffer = 256 // number of changes that can be queued for the control goroutine

// Exchanger sends messages to the rosters of other nodes.
type Exchanger interface {
	// Exchange sends a message to the node at address and returns its reply.
	Exchange(ctx context.Context, address string, m Message) (Message, error)
}

// Decoder decodes a policy from the value of its entry in the catalogue.
type Decoder func([]byte) (*route.Policy, error)

// Config configures a Roster.
type Config struct {
	Self       server.Record // Node, Address, DataCentre, Region and Incarnation of this node
	Catalogue  gd.Catalogue
	PolicyKind string // kind of the entry that holds the policy
	PolicyName string // name of the entry that holds the policy
	ServerKind string // kind of the entries that hold server records
	Decode     Decoder
	Exchanger  Exchanger
	Clock      gd.Clock
	Log        hclog.Logger
	Seed       uint64              // of the random source, together with the node's name
	OnHeard    func(node string)   // called for each message of another node
	OnAdoption func(server.Record) // called with a record of this node that an earlier process wrote
	OnLeave    func(server.Record) // called with a later record of an adopted server that is draining or has left
	// OnDeparture is called with a record of the server beside this node which states that
	// it drains or has left, if this process has announced that server as up.
	OnDeparture func(server.Record)
	Rollouts    *RolloutConfig // nil if the node follows no roll-outs
}

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	Policy      *route.Policy // nil until one is received
	PolicySince time.Duration // monotonic time since which it is in force
	PolicyAge   time.Duration // time from the first read of the policy by any node until then
	Directory   server.Directory
	Serving     map[string][]server.Record // by service, ordered by node
	Register    quarantine.Register
	Rules       map[string]canary.Rule // by service: which servers get requests during a roll-out
	silent      map[string]silence
	refused     map[string]time.Duration
	generation  uint64 // of silent, refused and Rules
}

// Roster maintains the view of one node. Use New to create one.
type Roster struct {
	cfg        Config
	snapshot   atomic.Pointer[Snapshot]
	changes    chan func(*state)
	publish    chan struct{} // wakes publishLoop
	relist     chan struct{} // wakes followServers
	responding chan struct{} // wakes awaitPoll when other nodes respond, or are refused, than before
	era        atomic.Uint64 // of the catalogue, the latest known
	started    chan struct{} // closed when the first policy is in force
	tasks      sync.WaitGroup
	pushSlots  chan struct{} // semaphore for pushes in flight
	slowSlots  chan struct{} // the same for pushes to silent nodes
	rollouts   rolloutCounter

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	latest       server.Record // record announced last
	latestNumber uint64        // number of records announced
	revision     gd.Revision   // of the entry with the policy in force
	checked      gd.Revision   // up to which the policy in force is known to be the latest one
	innocent     quarantine.Completed
}

// state is the mutable state of a Roster. Only the control goroutine, which runs
// Run, accesses it.
type state struct {
	r               *Roster
	ctx             context.Context // ends with Run, and cancels the exchanges in flight
	policy          *route.Policy
	policySince     time.Duration
	policyReadAt    time.Duration // when a node read the policy in the catalogue first, without the time that messages took
	raw             []byte        // encoded policy, as in the catalogue
	checksum        uint64        // of raw
	previous        previousPolicy
	directory       server.Directory
	register        quarantine.Register
	spread          map[quarantine.Report]bool // refuted reports that another node has sent
	own             server.Record              // record that this process announced last
	hasOwn          bool                       // own is set
	adopted         server.Record              // record of an earlier process of this node, passed to OnAdoption
	stored          server.Record              // record in this node's catalogue entry
	revision        gd.Revision                // of this node's catalogue entry, zero if there is none
	storedWaiters   []chan struct{}            // closed when stored is own
	changedAt       map[string]time.Duration   // by node: when its record was last replaced
	missingSince    map[string]time.Duration   // by node: since when the catalogue has no entry for it
	listedAt        time.Duration              // when the last list that is not stale was requested
	confirmedAt     time.Duration              // when expire requested a list last
	heardAt         map[string]time.Duration   // by node: when its last message arrived
	silent          map[string]silence         // by node: nodes that do not respond; replaced as a whole
	refused         map[string]time.Duration   // by node: until when it is taken to be refused by the catalogue; replaced as a whole
	reachGeneration uint64                     // increases when silent, refused or rules is replaced
	rollouts        map[string]*trackedRollout // by service
	rules           map[string]canary.Rule     // by service; replaced as a whole
	handedOver      bool                       // others watch the policy in place of this node
	readRevision    gd.Revision                // of the catalogue when this node read the policy last
	removalAt       time.Duration              // when requestRemovals requested a list last
	forgotten       map[string]server.Record   // by node: records dropped, so that other nodes do not restore them
	left            bool                       // Leave was called
	keepsEntry      bool                       // the catalogue entry is left for the next process of this node
	announced       uint64                     // Roster.latestNumber when a record was announced last
	fetch           policyFetch

	compressed        []byte // compressed form of raw, sent to other nodes
	compressedVersion uint64 // version of the policy in compressed
}

// previousPolicy is the policy that was in force before the current one. Most
// nodes that fetch the current policy have it and need only a delta.
type previousPolicy struct {
	version  uint64
	checksum uint64 // of raw
	raw      []byte
	delta    []byte // to the policy in force, computed when first needed
}

// New returns a Roster. Run starts it.
func New(cfg Config) *Roster {
	r := &Roster{
		cfg:        cfg,
		changes:    make(chan func(*state), changeBuffer),
		publish:    make(chan struct{}, 1),
		relist:     make(chan struct{}, 1),
		responding: make(chan struct{}, 1),
		started:    make(chan struct{}),
		pushSlots:  make(chan struct{}, maxPushes),
		slowSlots:  make(chan struct{}, maxSlowPushes),
		random:     rand.New(rand.NewPCG(seed.ForNode(cfg.Self.Node, cfg.Seed), 0)),
	}
	r.snapshot.Store(&Snapshot{})
	return r
}

// Snapshot returns the current view.
func (r *Roster) Snapshot() *Snapshot { return r.snapshot.Load() }

// Run maintains the view until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { r.followPolicy(ctx) })
	loops.Go(func() { r.followServers(ctx) })
	loops.Go(func() { r.publishLoop(ctx) })
	loops.Go(func() { r.gossip(ctx) })
	loops.Go(func() { r.followRollouts(ctx) })
	s := &state{
		r:            r,
		ctx:          ctx,
		changedAt:    map[string]time.Duration{},
		missingSince: map[string]time.Duration{},
		heardAt:      map[string]time.Duration{},
		forgotten:    map[string]server.Record{},
		spread:       map[quarantine.Report]bool{},
		silent:       map[string]silence{},
		rollouts:     map[string]*trackedRollout{},
	}
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case change := <-r.changes:
			change(s)
			s.applyQueued()
			s.releaseWaiters()
			s.publishSnapshot()
		case <-tick.C:
			s.expire()
			s.advanceRollouts()
			s.publishSnapshot()
		case <-ctx.Done():
			loops.Wait()
			r.tasks.Wait()
			return ctx.Err()
		}
	}
}

// applyQueued applies the changes that are already queued, so that one snapshot
// covers them all.
func (s *state) applyQueued() {
	for range changeBuffer {
		select {
		case change := <-s.r.changes:
			change(s)
		default:
			return
		}
	}
}

// post queues a change for the control goroutine.
func (r *Roster) post(ctx context.Context, change func(*state)) {
	select {
	case r.changes <- change:
	case <-ctx.Done():
	}
}

// publishSnapshot stores a new snapshot if the state has changed.
func (s *state) publishSnapshot() {
	old := s.r.snapshot.Load()
	if old.Policy == s.policy && old.Directory.Generation() == s.directory.Generation() && old.Register.Generation() == s.register.Generation() && old.generation == s.reachGeneration {
		return
	}
	next := &Snapshot{
		Policy: s.policy, PolicySince: s.policySince, PolicyAge: s.policySince - s.policyReadAt, Directory: s.directory, Serving: old.Serving, Register: s.register,
		Rules: s.rules, silent: s.silent, refused: s.refused, generation: s.reachGeneration,
	}
	if old.Directory.Generation() != s.directory.Generation() {
		next.Serving = s.directory.Serving()
	}
	s.r.snapshot.Store(next)
	if old.generation != s.reachGeneration {
		select {
		case s.r.responding <- struct{}{}:
		default:
		}
	}
}

// installPolicy decodes a policy and brings it into force if its version is higher
// than the current one. It notifies some random nodes of the version, which then
// fetch the policy. The age is the time since a node read that version in the catalogue first.
// It reports whether the policy could be decoded.
func (s *state) installPolicy(raw []byte, revision gd.Revision, source string, age time.Duration) bool {
	p, err := s.r.cfg.Decode(raw)
	if err != nil {
		s.r.cfg.Log.Error(event.PolicyRefused, "source", source, "error", gd.Message(err), "in-force", s.version())
		return false
	}
	if s.policy != nil && p.Version <= s.policy.Version {
		if p.Version < s.policy.Version {
			s.r.cfg.Log.Info(event.PolicyOlder, "version", p.Version, "in-force", s.version(), "source", source, "revision", revision.String())
		}
		return true
	}
	s.r.cfg.Log.Info(event.PolicyInForce, "version", p.Version, "before", s.version(), "routes", p.Len(), "source", source, "revision", revision.String(), "age", age.String())
	first := s.policy == nil
	s.previous = previousPolicy{version: s.version(), checksum: s.checksum, raw: s.raw}
	s.policy, s.raw, s.checksum = p, raw, checksumOf(raw)
	s.policySince = s.r.cfg.Clock.Monotonic()
	s.policyReadAt = s.policySince - age
	s.r.noteRevision(revision)
	s.publishSnapshot()
	if first {
		close(s.r.started)
	}
	s.notify(fanOut)
	s.expectChange(revision)
	return true
}

// version returns the version of the policy in force, 0 if there is none.
func (s *state) version() uint64 {
	if s.policy == nil {
		return 0
	}
	return s.policy.Version
}

// merge adds server records that came from the given node, or from the catalogue
// if node is "". It returns the records that were newer than the known ones. The
// old record of a node that was dropped is not accepted from other nodes. If it is older
// than the departure of its server, that departure is merged instead, so that nodes that
// don't know it learn of it.
func (s *state) merge(records []server.Record, node string) []server.Record {
	records = slices.Clone(records)
	source := "store"
	if node != "" {
		source = "node " + node
		records = slices.DeleteFunc(records, func(r server.Record) bool {
			old, ok := s.forgotten[r.Node]
			return ok && r.Node != node && r.Compare(old) <= 0 && !isBeforeDeparture(r, old)
		})
	}
	for i, r := range records {
		if old, ok := s.forgotten[r.Node]; ok && r.Node != node && isBeforeDeparture(r, old) {
			records[i] = old
		} else if ok {
			records[i] = r.WithDepartureOf(old)
		}
		if r.Node == s.r.cfg.Self.Node {
			s.detectUnwrittenLeave(r)
			s.detectDeparture(r)
		}
	}
	before := s.directory
	var newer []server.Record
	s.directory, newer = s.directory.WithRecords(records...)
	for _, r := range newer {
		delete(s.forgotten, r.Node)
		if known, ok := before.Record(r.Node); !ok || r.Incarnation > known.Incarnation {
			s.clearSilent(r.Node) // a process of the node has started
			s.clearRefused(func(node string, _ time.Duration) bool { return node == r.Node })
		}
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

// isBeforeDeparture reports whether r is older than known, by which its server had left.
func isBeforeDeparture(r, known server.Record) bool {
	return known.State == server.Gone && r.Compare(known) < 0
}

// Started returns a channel that is closed when the first policy is in force.
func (r *Roster) Started() <-chan struct{} { return r.started }
