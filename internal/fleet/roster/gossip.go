package roster

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// gossipInterval is the mean pause between exchanges that a node begins.
	// With this interval, a policy takes about 2 s to reach nodes that the
	// catalogue refuses.
	gossipInterval  = 500 * time.Millisecond
	exchangeTimeout = 1500 * time.Millisecond
	// exchangePatience is the time after which another node is asked as well.
	exchangePatience = 300 * time.Millisecond
	gossipTries      = 3  // nodes asked at most, each if the one before does not respond soon
	maxPushes        = 32 // pushes of one node in flight
	maxSlowPushes    = 8  // the same for nodes that do not respond, which must not hold up the others
	// fanOut is the number of nodes that a node notifies of a new version. A
	// policy of 1,600 routes is about 50 KB, which takes 0.1 s on a link of
	// 5 Mbit/s for each node that fetches it.
	fanOut = 4
)

// Message is a query, a reply or a push between two nodes. Its version, checksum,
// digests and report count summarize what its sender has. A reply carries what the
// sender of the query is missing.
type Message struct {
	Node        string              `cbor:"1,keyasint"`
	Version     uint64              `cbor:"2,keyasint,omitempty"` // of the policy in force
	Policy      []byte              `cbor:"3,keyasint,omitempty"` // encoded as in the catalogue, compressed
	Records     []server.Record     `cbor:"5,keyasint,omitempty"`
	ReportCount uint64              `cbor:"6,keyasint,omitempty"` // number of crash reports and of their refutations
	Reports     []quarantine.Report `cbor:"7,keyasint,omitempty"`
	Push        bool                `cbor:"8,keyasint,omitempty"`  // the message is a push; its reply is empty
	Revision    uint64              `cbor:"9,keyasint,omitempty"`  // of the policy's entry in the catalogue
	Digests     []uint32            `cbor:"10,keyasint,omitempty"` // see server.Directory.Digests
	Checksum    uint64              `cbor:"11,keyasint,omitempty"` // of the encoded policy in force
	Delta       []byte              `cbor:"12,keyasint,omitempty"` // from the policy that the query names to the one in force
	RevisionEra uint64              `cbor:"13,keyasint,omitempty"` // era of Revision
	Era         uint64              `cbor:"14,keyasint,omitempty"` // of the catalogue, the latest that the sender knows
	Silent      []string            `cbor:"15,keyasint,omitempty"` // nodes that did not respond to the sender
	Age         uint64              `cbor:"16,keyasint,omitempty"` // milliseconds since a node read the policy in the catalogue first
	Refused     []string            `cbor:"17,keyasint,omitempty"` // nodes that the catalogue refuses, in place of which the receiver is to watch
	Checked     uint64              `cbor:"18,keyasint,omitempty"` // number of the catalogue's revision up to which Version is the latest
	CheckedEra  uint64              `cbor:"19,keyasint,omitempty"` // era of that revision
	Served      bool                `cbor:"20,keyasint,omitempty"` // the catalogue serves the sender again
	Rollouts    []rolloutMessage    `cbor:"30,keyasint,omitempty"` // all that the sender knows of
	Counts      []countsMessage     `cbor:"31,keyasint,omitempty"` // responses of the server beside the sender, for the nodes that decide
}

// gossip exchanges messages with random nodes until ctx ends. If one does not respond soon, it
// takes another in its place.
func (r *Roster) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		r.sleep(ctx, r.jitter(gossipInterval))
		var partners []server.Record
		var query Message
		done := make(chan struct{})
		r.post(ctx, func(s *state) {
			s.retrySilent()
			partners, query = s.randomNodes(gossipTries), s.summary()
			close(done)
		})
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
		for _, partner := range partners {
			var err error
			if r.runWithin(exchangePatience, func() { err = r.exchange(ctx, partner, query) }) && err == nil {
				break
			}
		}
	}
}

// runWithin runs f, which goes on if it takes longer than patience. It reports whether f has
// returned within that time.
func (r *Roster) runWithin(patience time.Duration, f func()) bool {
	ended := make(chan struct{})
	r.tasks.Go(func() {
		defer close(ended)
		f()
	})
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-t.C:
		return false
	}
}

// randomNodes returns the records of up to n random other nodes that respond.
func (s *state) randomNodes(n int) []server.Record {
	var others []server.Record
	for rec := range s.directory.All() {
		if _, isSilent := s.silent[rec.Node]; !isSilent && rec.Node != s.r.cfg.Self.Node && rec.Address != s.r.cfg.Self.Address {
			others = append(others, rec)
		}
	}
	n = min(n, len(others))
	for i := range n {
		j := i + int(s.r.randomN(int64(len(others)-i)))
		others[i], others[j] = others[j], others[i]
	}
	return others[:n]
}

// summary returns a message that describes what this node has.
func (s *state) summary() Message {
	checked := s.r.checkedRevision()
	return Message{
		Checked:     checked.Number,
		CheckedEra:  checked.Era,
		Node:        s.r.cfg.Self.Node,
		Era:         s.r.era.Load(),
		Version:     s.version(),
		Checksum:    s.checksum,
		Digests:     s.directory.Digests(),
		ReportCount: s.register.Size(),
		Silent:      s.silentNodes(),
		Rollouts:    s.rolloutMessages(),
	}
}

// exchange sends a query to a node, merges the reply, and pushes what the node is
// missing. An error means that the node did not respond to the query.
func (r *Roster) exchange(ctx context.Context, with server.Record, query Message) error {
	reply, err := r.ask(ctx, with, query)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var update Message
	done := make(chan struct{})
	r.post(ctx, func(s *state) {
		s.receive(reply)
		update = s.updateFor(reply)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
		return nil
	}
	if update.Policy != nil || update.Delta != nil || update.Records != nil || update.Reports != nil {
		update.Push = true
		_, _ = r.ask(ctx, with, update) // ask logs the error
	}
	return nil
}

// ask sends a message to a node and returns its reply. It records whether the node responds.
func (r *Roster) ask(ctx context.Context, node server.Record, m Message) (Message, error) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := r.cfg.Exchanger.Exchange(limited, node.Address, m)
	switch {
	case err != nil && ctx.Err() == nil:
		r.cfg.Log.Debug(event.ExchangeFailed, "address", node.Address, "error", err)
		r.post(ctx, func(s *state) { s.recordFailure(node.Node) })
	case err == nil && r.Snapshot().IsSilent(node.Node):
		r.post(ctx, func(s *state) { s.recordResponse(node.Node) })
	}
	return reply, err
}

// HandleMessage merges a message of another node and returns the reply.
func (r *Roster) HandleMessage(ctx context.Context, m Message) Message {
	replies := make(chan Message, 1)
	r.post(ctx, func(s *state) {
		s.receive(m)
		if m.Push {
			replies <- Message{}
			return
		}
		replies <- s.updateFor(m)
	})
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return Message{}
	}
}

// receive merges the contents of a message. After a push with a higher version
// but without its policy, it fetches the policy from the sender.
func (s *state) receive(m Message) {
	if m.Node != "" {
		s.recordResponse(m.Node)
		if s.r.cfg.OnHeard != nil {
			s.r.cfg.OnHeard(m.Node)
		}
	}
	s.recordHearsay(m.Silent)
	s.recordRefused(m.Refused)
	if m.Served {
		s.clearRefused(func(node string, _ time.Duration) bool { return node == m.Node })
	}
	s.enterEra(m.Era, "node "+m.Node)
	s.merge(slices.DeleteFunc(slices.Clone(m.Records), func(r server.Record) bool { return !s.isNodeRecord(r, m.Node) }), m.Node)
	if m.Version > s.version() {
		if m.Policy != nil || m.Delta != nil {
			s.receivePolicy(m)
		} else if rec, ok := s.directory.Record(m.Node); ok && m.Push {
			s.offerPolicy(rec, m.Version)
		}
	}
	if m.Version == s.version() && m.Checksum == s.checksum {
		s.r.noteChecked(gd.Revision{Era: m.CheckedEra, Number: m.Checked})
	}
	s.mergeReports(m.Reports)
	s.receiveRollouts(m)
}

// isNodeRecord reports whether a node may have written the record, which the given node has
// sent. A node of an earlier version passes on anything that it finds in the catalogue.
func (s *state) isNodeRecord(r server.Record, from string) bool {
	err := checkRecord(r)
	if err != nil {
		s.r.cfg.Log.Warn(event.RecordRefused, "entry", r.Node, "source", "node "+from, "error", gd.Message(err))
	}
	return err == nil
}

// receivePolicy installs the policy that a message carries, whole or as a delta.
func (s *state) receivePolicy(m Message) {
	var raw []byte
	var err error
	if m.Delta != nil {
		raw, err = applyDelta(s.raw, m.Delta)
		if err == nil && checksumOf(raw) != m.Checksum {
			// Another policy has come into force since the query.
			err = gd.Malformed.Errorf("the delta does not apply to policy version %d", s.version())
		}
	} else {
		raw, err = decompress(m.Policy)
	}
	if err != nil {
		s.r.cfg.Log.Warn(event.PolicyRefused, "source", "node "+m.Node, "error", gd.Message(err), "in-force", s.version())
		return
	}
	s.installPolicy(raw, gd.Revision{Era: m.RevisionEra, Number: m.Revision}, "node "+m.Node, time.Duration(m.Age)*time.Millisecond)
	if s.version() == m.Version && m.Policy != nil {
		s.compressed, s.compressedVersion = m.Policy, m.Version
	}
}

// compressedPolicy returns the policy in force in compressed form.
func (s *state) compressedPolicy() []byte {
	if s.compressedVersion != s.version() {
		s.compressed, s.compressedVersion = compress(s.raw), s.version()
	}
	return s.compressed
}

// deltaFromPrevious returns the delta from the previous policy to the one in force.
func (s *state) deltaFromPrevious() []byte {
	if s.previous.delta == nil {
		s.previous.delta = delta(s.previous.raw, s.raw)
	}
	return s.previous.delta
}

// checksumOf returns a checksum of an encoded policy. Nodes compare it along with
// the version, since one version may be encoded in different bytes.
func checksumOf(raw []byte) uint64 { return xxhash.Sum64(raw) }

// updateFor returns the summary of this node together with what the sender of m is
// missing.
func (s *state) updateFor(m Message) Message {
	update := s.summary()
	if s.raw != nil && m.Version < s.version() {
		revision := s.r.policyRevision()
		update.Revision, update.RevisionEra = revision.Number, revision.Era
		update.Age = uint64((s.r.cfg.Clock.Monotonic() - s.policyReadAt) / time.Millisecond)
		if m.Version == s.previous.version && m.Checksum == s.previous.checksum && m.Checksum != 0 {
			update.Delta = s.deltaFromPrevious()
		} else {
			update.Policy = s.compressedPolicy()
		}
	}
	if records := s.directory.Differing(m.Digests); len(records) > 0 {
		update.Records = records
	}
	if m.ReportCount < update.ReportCount {
		update.Reports = s.register.Reports()
	}
	return update
}

// push sends m to all other nodes without waiting for their replies.
func (s *state) push(m Message) { s.pushTo(s.directory.Records(), m) }

// pushTo sends m to the nodes of records, except this one, without waiting for
// their replies.
func (s *state) pushTo(records []server.Record, m Message) {
	m.Node, m.Push = s.r.cfg.Self.Node, true
	for _, rec := range records {
		if rec.Node == s.r.cfg.Self.Node {
			continue
		}
		slots := s.r.pushSlots
		if _, isSilent := s.silent[rec.Node]; isSilent {
			slots = s.r.slowSlots
		}
		s.r.tasks.Go(func() { _ = s.r.send(s.ctx, rec, m, slots) }) // ask logs the error
	}
}

// send pushes a message to a node when one of the slots is free.
func (r *Roster) send(ctx context.Context, to server.Record, m Message, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-slots }()
	_, err := r.ask(ctx, to, m)
	return err
}

// notify pushes the version of the policy in force to n random nodes, which then fetch the
// policy. If one does not respond, it takes another in its place. A node that has just started
// may not know this one yet, so the message has its record.
func (s *state) notify(n int) {
	m := Message{Node: s.r.cfg.Self.Node, Push: true, Version: s.version()}
	if own, ok := s.directory.Record(s.r.cfg.Self.Node); ok {
		m.Records = []server.Record{own}
	}
	for _, rec := range s.randomNodes(n) {
		s.r.tasks.Go(func() { s.r.sendToOne(s.ctx, rec, m, maxReplacing) })
	}
}

// sendToOne pushes a message to a node, or if that does not respond soon to one of up to tries
// others.
func (r *Roster) sendToOne(ctx context.Context, to server.Record, m Message, tries int) {
	select {
	case r.pushSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	var err error
	ended := r.runWithin(exchangePatience, func() {
		defer func() { <-r.pushSlots }()
		_, err = r.ask(ctx, to, m)
	})
	if ended && err == nil || tries == 0 {
		return
	}
	r.post(ctx, func(s *state) {
		for _, next := range s.randomNodes(1) {
			r.tasks.Go(func() { r.sendToOne(ctx, next, m, tries-1) })
		}
	})
}
