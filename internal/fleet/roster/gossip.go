package roster

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// gossipEvery is the pause between two exchanges that a node begins. With
	// it a version reaches nodes that the store turns away within about 2 s.
	gossipEvery     = 500 * time.Millisecond
	exchangeTimeout = 1500 * time.Millisecond
	maxPushes       = 32 // pushes of one node that are under way
	// fanOut is how many nodes each node tells of a version that it has taken
	// over. A policy of 1,600 routes is 50 KB or so, on a link of 5 Mbit/s 0.1 s
	// for each node that asks for it.
	fanOut = 4
)

// Message is what two nodes tell each other. In a question the digests say what
// the sender has; the answer bears what the sender lacks.
type Message struct {
	Node     string              `cbor:"1,keyasint"`
	Version  uint64              `cbor:"2,keyasint,omitempty"` // of the policy in force
	Policy   []byte              `cbor:"3,keyasint,omitempty"` // as the catalogue holds it, compressed
	Records  []server.Record     `cbor:"5,keyasint,omitempty"`
	Register uint64              `cbor:"6,keyasint,omitempty"` // number of reports
	Reports  []quarantine.Report `cbor:"7,keyasint,omitempty"`
	Push     bool                `cbor:"8,keyasint,omitempty"`  // no answer is wanted
	Revision uint64              `cbor:"9,keyasint,omitempty"`  // of the policy's entry
	Digests  []uint32            `cbor:"10,keyasint,omitempty"` // of the parts of the directory
	Sum      uint64              `cbor:"11,keyasint,omitempty"` // of the bytes of the policy in force
	Delta    []byte              `cbor:"12,keyasint,omitempty"` // from the policy that the question told of
}

// gossip exchanges with one random node after another.
func (r *Roster) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		r.sleep(ctx, r.jitter(gossipEvery))
		var peer string
		var question Message
		asked := make(chan struct{})
		r.post(ctx, func(s *state) {
			peer, question = s.randomPeer(), s.digests()
			close(asked)
		})
		select {
		case <-asked:
		case <-ctx.Done():
			return
		}
		if peer != "" {
			r.exchange(ctx, peer, question)
		}
	}
}

func (s *state) randomPeer() string {
	for _, rec := range s.someNodes(1) {
		return rec.Address
	}
	return ""
}

// someNodes returns the records of up to n random other nodes.
func (s *state) someNodes(n int) []server.Record {
	var others []server.Record
	for _, rec := range s.directory.Records() {
		if rec.Node != s.r.cfg.Self.Node && rec.Address != s.r.cfg.Self.Address {
			others = append(others, rec)
		}
	}
	n = min(n, len(others))
	for i := range n {
		j := i + int(s.r.below(int64(len(others)-i)))
		others[i], others[j] = others[j], others[i]
	}
	return others[:n]
}

func (s *state) digests() Message {
	return Message{
		Node:     s.r.cfg.Self.Node,
		Version:  s.version(),
		Sum:      s.sum,
		Digests:  s.directory.Digests(),
		Register: uint64(len(s.register.Reports())),
	}
}

// exchange asks a node and gives it what it lacks.
func (r *Roster) exchange(ctx context.Context, address string, question Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := r.cfg.Exchanger.Exchange(ctx, address, question)
	if err != nil {
		r.cfg.Log.Debug(event.ExchangeFailed, "address", address, "error", err)
		return
	}
	var back Message
	taken := make(chan struct{})
	r.post(ctx, func(s *state) {
		s.take(answer)
		back = s.lacks(answer)
		close(taken)
	})
	select {
	case <-taken:
	case <-ctx.Done():
		return
	}
	if back.Policy != nil || back.Delta != nil || back.Records != nil || back.Reports != nil {
		back.Push = true
		if _, err := r.cfg.Exchanger.Exchange(ctx, address, back); err != nil {
			r.cfg.Log.Debug(event.ExchangeFailed, "address", address, "error", err)
		}
	}
}

// Answer takes a message of another node and returns the answer.
func (r *Roster) Answer(ctx context.Context, m Message) Message {
	answer := make(chan Message, 1)
	r.post(ctx, func(s *state) {
		s.take(m)
		if m.Push {
			answer <- Message{}
			return
		}
		answer <- s.lacks(m)
	})
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return Message{}
	}
}

// take merges what a message bears.
func (s *state) take(m Message) {
	if m.Node != "" {
		s.heard[m.Node] = s.r.cfg.Clock.Monotonic()
		if s.r.cfg.OnHeard != nil {
			s.r.cfg.OnHeard(m.Node)
		}
	}
	if m.Version > s.version() {
		if m.Policy != nil || m.Delta != nil {
			s.takePolicy(m)
		} else if rec, ok := s.directory.Record(m.Node); ok && m.Push && s.asking < m.Version {
			s.ask(rec.Address, m.Version)
		}
	}
	s.merge(m.Records, m.Node)
	s.register, _ = s.register.WithReports(m.Reports...)
}

// ask gets the policy of a version from the node at address. Until that has
// ended, others that have the same version are not asked.
func (s *state) ask(address string, version uint64) {
	s.asking = version
	question := s.digests()
	s.r.tasks.Go(func() {
		s.r.exchange(s.ctx, address, question)
		s.r.post(s.ctx, func(s *state) {
			if s.asking == version {
				s.asking = 0
			}
		})
	})
}

// takePolicy brings the policy of a message into force.
func (s *state) takePolicy(m Message) {
	var raw []byte
	var err error
	if m.Delta != nil {
		raw, err = applyDelta(s.raw, m.Delta)
		if err == nil && sumOf(raw) != m.Sum {
			// Another policy came into force since the question.
			err = gd.Malformed.Errorf("the delta is from another policy than version %d", s.version())
		}
	} else {
		raw, err = unpack(m.Policy)
	}
	if err != nil {
		s.r.cfg.Log.Warn(event.PolicyRefused, "source", "node "+m.Node, "error", gd.Message(err), "in-force", s.version())
		return
	}
	s.adopt(raw, m.Revision, "node "+m.Node)
	if s.version() == m.Version && m.Policy != nil {
		s.compressed, s.compressedOf = m.Policy, m.Version
	}
}

// packed returns the policy in force in compressed form.
func (s *state) packed() []byte {
	if s.compressedOf != s.version() {
		s.compressed, s.compressedOf = pack(s.raw), s.version()
	}
	return s.compressed
}

// deltaFromBefore returns what has changed since the policy before.
func (s *state) deltaFromBefore() []byte {
	if s.before.delta == nil {
		s.before.delta = delta(s.before.raw, s.raw)
	}
	return s.before.delta
}

// sumOf returns a checksum of the bytes of a policy, for nodes to know that they
// speak of the same.
func sumOf(raw []byte) uint64 { return xxhash.Sum64(raw) }

// lacks returns the digests with what the sender of m lacks.
func (s *state) lacks(m Message) Message {
	a := s.digests()
	if s.raw != nil && m.Version < s.version() {
		a.Revision = s.r.revision.Load()
		if m.Version == s.before.version && m.Sum == s.before.sum && m.Sum != 0 {
			a.Delta = s.deltaFromBefore()
		} else {
			a.Policy = s.packed()
		}
	}
	if records := s.directory.Differing(m.Digests); len(records) > 0 {
		a.Records = records
	}
	if m.Register < a.Register {
		a.Reports = s.register.Reports()
	}
	return a
}

// push tells all other nodes at once.
func (s *state) push(m Message) { s.pushTo(s.directory.Records(), m) }

// pushTo tells the nodes of records, but for this one.
func (s *state) pushTo(records []server.Record, m Message) {
	m.Node, m.Push = s.r.cfg.Self.Node, true
	for _, rec := range records {
		if rec.Node != s.r.cfg.Self.Node {
			s.r.tasks.Go(func() { s.r.tell(s.ctx, rec.Address, m) })
		}
	}
}

// tell pushes a message to one node.
func (r *Roster) tell(ctx context.Context, address string, m Message) {
	select {
	case r.pushing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.pushing }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if _, err := r.cfg.Exchanger.Exchange(ctx, address, m); err != nil {
		r.cfg.Log.Debug(event.ExchangeFailed, "address", address, "error", err)
	}
}
