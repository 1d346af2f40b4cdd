package roster

import (
	"context"

	"github.com/geraniumdock/geraniumdock/server"
)

// handleOwnRecord handles a record of this node that this process did not write.
// If the process has announced a record, it announces it again with a higher
// incarnation. Else the record is one of an earlier process, and is adopted if
// its server is up and its address is this node's.
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

// announce makes r this node's record, raises its incarnation or sequence so that it
// is newer than any known record of this node, and pushes it to all other nodes.
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

// Announce publishes the record of the server beside this node. It sets the
// identity of the node, the incarnation and the sequence. It does not block; of
// several records queued, only the last is published.
func (r *Roster) Announce(ctx context.Context, rec server.Record) {
	rec.Node, rec.Address = r.cfg.Self.Node, r.cfg.Self.Address
	rec.DataCentre, rec.Region = r.cfg.Self.DataCentre, r.cfg.Self.Region
	r.mu.Lock()
	r.latest = rec
	r.latestNumber++
	r.mu.Unlock()
	go r.post(ctx, (*state).announceLatest)
}

// announceLatest announces the record that was passed to Announce last, unless
// that has been done or the node has left. If the server drains or leaves after its
// node has left, the next process must not adopt it, so the entry is removed after all.
func (s *state) announceLatest() {
	s.r.mu.Lock()
	rec, number := s.r.latest, s.r.latestNumber
	s.r.mu.Unlock()
	if number == s.announced || s.left && (!s.keepsEntry || rec.State == server.Up) {
		return
	}
	s.announced = number
	s.keepsEntry = false
	if known, ok := s.directory.Record(rec.Node); ok && rec.WithDepartureOf(known) != rec {
		rec = rec.WithDepartureOf(known)
		s.r.cfg.OnDeparture(known)
	}
	rec.Incarnation = max(s.r.cfg.Self.Incarnation, s.own.Incarnation)
	rec.Sequence = s.own.Sequence + 1
	s.announce(rec)
}
