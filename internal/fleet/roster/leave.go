package roster

import (
	"context"

	"github.com/geraniumdock/geraniumdock/server"
)

// detectUnwrittenLeave calls OnLeave if r, a record of this node, is later than the
// adopted one and says that its server is draining or has left. The earlier process
// sent r to other nodes and was killed before it wrote it to the catalogue.
func (s *state) detectUnwrittenLeave(r server.Record) {
	a := s.adopted
	if a.Node == "" || r.Compare(a) <= 0 || r.Instance != a.Instance || r.Started != a.Started {
		return
	}
	if r.State == server.Draining || r.State == server.Gone {
		s.adopted = server.Record{}
		s.r.cfg.OnLeave(r)
	}
}

// detectDeparture calls OnDeparture if r, a record of this node, states that the server
// which this process has announced as up drains or has left. An earlier process or
// another node has learned that.
func (s *state) detectDeparture(r server.Record) {
	if !s.hasOwn || s.own.WithDepartureOf(r) == s.own {
		return
	}
	s.own = s.own.WithDepartureOf(r)
	s.r.cfg.OnDeparture(r)
}

// MarkDraining records that the server of rec, which is beside another node, has stated
// that it is about to stop. That node publishes the same, unless it fails before.
func (r *Roster) MarkDraining(ctx context.Context, rec server.Record) {
	if rec.Node == r.cfg.Self.Node {
		return
	}
	go r.post(ctx, func(s *state) {
		known, ok := s.directory.Record(rec.Node)
		if ok && known.State == server.Up && known.IsSameServer(rec) {
			s.merge([]server.Record{known.WithState(server.Draining)}, rec.Node)
		}
	})
}

// Leave announces that the node stops. If its server is still up, the node may be
// restarted: the server is announced as lost, and the node's catalogue entry is kept
// for the next process. Otherwise the server is announced as gone, unless it is still
// draining, and the entry is removed. The pushes to other nodes and the removal go on
// in the background. Leave returns when they have been started or ctx ends.
func (r *Roster) Leave(ctx context.Context) {
	done := make(chan struct{})
	r.post(ctx, func(s *state) {
		defer close(done)
		s.left = true
		if s.hasOwn {
			last := s.own
			switch s.own.State {
			case server.Up:
				s.keepsEntry = true
				last = s.own.WithState(server.Lost)
			case server.Draining: // the server may outlast the node, and must not be used by its next process
			default:
				last = s.own.WithState(server.Gone)
			}
			last.Sequence++
			s.announce(last)
		}
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
