package roster

import (
	"context"
	"encoding/json"
	"net"
	"strconv"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

// decodeRecord decodes and checks the server record in an entry.
func decodeRecord(e gd.Entry) (server.Record, error) {
	var rec server.Record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return server.Record{}, gd.Invalid.Wrapf(err, "record")
	}
	if rec.Node == "" || rec.Node != e.Name {
		return server.Record{}, gd.Invalid.Errorf("node: %q is not the name of the entry", rec.Node)
	}
	return rec, checkRecord(rec)
}

// Highest values in records. A version must leave room for later ones.
const (
	maxPort          = 1<<16 - 1
	maxRecordSlots   = 100_000
	maxRecordVersion = 1 << 60
)

// checkRecord returns an error for a record that no node writes. Others may leave anything
// in the catalogue.
func checkRecord(rec server.Record) error {
	switch {
	case rec.Address == "" || rec.Service == "":
		return gd.Invalid.Errorf("address or service is missing")
	case rec.State < server.Up || rec.State > server.Gone:
		return gd.Invalid.Errorf("state: unknown value %d", rec.State)
	case rec.Slots < 0 || rec.Slots > maxRecordSlots:
		return gd.Invalid.Errorf("slots: %d is not between 0 and %d", rec.Slots, maxRecordSlots)
	case rec.Incarnation > maxRecordVersion || rec.Sequence > maxRecordVersion:
		return gd.Invalid.Errorf("incarnation or sequence: %d, %d are above %d", rec.Incarnation, rec.Sequence, uint64(maxRecordVersion))
	}
	_, port, err := net.SplitHostPort(rec.Address)
	if err != nil {
		return gd.Invalid.Errorf("address: %q is not host:port", rec.Address)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > maxPort {
		return gd.Invalid.Errorf("address: the port of %q is not between 1 and %d", rec.Address, maxPort)
	}
	return nil
}

// publishLoop writes this node's record to the catalogue whenever it has changed,
// until ctx ends.
func (r *Roster) publishLoop(ctx context.Context) {
	backoff := firstBackoff
	for {
		select {
		case <-r.publish:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			err := r.publishOnce(ctx)
			if err == nil {
				backoff = firstBackoff
				break
			}
			r.cfg.Log.Warn(event.PublishFailed, "error", gd.Message(err))
			r.sleep(ctx, r.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// publishOnce writes this node's catalogue entry if it differs from the record that
// was announced last, or deletes it if the node has left for good. After a failed write it
// reads the entry again.
func (r *Roster) publishOnce(ctx context.Context) error {
	var own, stored server.Record
	var revision gd.Revision
	var wanted, left, keepsEntry bool
	done := make(chan struct{})
	r.post(ctx, func(s *state) {
		own, stored, revision, wanted, left, keepsEntry = s.own, s.stored, s.revision, s.hasOwn, s.left, s.keepsEntry
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
		return nil
	}
	if !wanted || keepsEntry || left && revision.IsZero() || !left && !revision.IsZero() && own == stored {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if left {
		return r.unpublish(ctx, own.Node, revision)
	}
	data, err := json.Marshal(own)
	if err != nil {
		return gd.Internal.Wrapf(err, "record")
	}
	e, err := r.cfg.Catalogue.Put(ctx, r.cfg.ServerKind, own.Node, data, revision)
	if err != nil {
		return r.reloadOwnEntry(ctx, own.Node, err)
	}
	r.cfg.Log.Info(event.RecordPublished, "incarnation", own.Incarnation, "sequence", own.Sequence, "state", own.State.String(),
		"before", revision.String(), "revision", e.Revision.String())
	r.noteEra(ctx, e.Revision.Era)
	r.post(ctx, func(s *state) {
		s.stored, s.revision = own, e.Revision
		s.changedAt[own.Node] = r.cfg.Clock.Monotonic()
	})
	if revision.IsZero() {
		// Of two nodes that start at the same time, the one that writes its
		// entry last finds the other in the list.
		r.wakeLister()
	}
	return nil
}

// unpublish deletes this node's entry from the catalogue.
func (r *Roster) unpublish(ctx context.Context, node string, revision gd.Revision) error {
	err := r.cfg.Catalogue.Delete(ctx, r.cfg.ServerKind, node, revision)
	if err != nil && !gd.NotFound.Is(err) {
		return r.reloadOwnEntry(ctx, node, err)
	}
	r.post(ctx, func(s *state) { s.revision = gd.Revision{} })
	return nil
}

// AwaitStored waits until the catalogue has the record that was announced last, or ctx ends.
// It reports whether the catalogue has it, so that the next process of this node learns of it
// even if all others end.
func (r *Roster) AwaitStored(ctx context.Context) bool {
	stored := make(chan struct{})
	r.post(ctx, func(s *state) {
		s.announceLatest()
		s.storedWaiters = append(s.storedWaiters, stored)
	})
	select {
	case <-stored:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseWaiters ends the calls of AwaitStored if the catalogue has what this node announced.
func (s *state) releaseWaiters() {
	if s.hasOwn && (s.left && s.revision.IsZero() || s.own == s.stored && !s.revision.IsZero()) {
		for _, stored := range s.storedWaiters {
			close(stored)
		}
		s.storedWaiters = nil
	}
}

// reloadOwnEntry reads this node's entry after a write that failed or whose outcome
// is unknown. It returns cause, the error of that write.
func (r *Roster) reloadOwnEntry(ctx context.Context, node string, cause error) error {
	e, err := r.cfg.Catalogue.Get(ctx, r.cfg.ServerKind, node)
	switch {
	case gd.NotFound.Is(err):
		r.post(ctx, func(s *state) { s.revision = gd.Revision{} })
	case err == nil:
		stored, _ := decodeRecord(e) // a record that cannot be decoded is overwritten
		r.post(ctx, func(s *state) { s.stored, s.revision = stored, e.Revision })
	}
	return cause
}
