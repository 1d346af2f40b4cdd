package roster

import (
	"context"
	"encoding/json"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	callTimeout  = 2 * time.Second        // for a call that does not wait
	watchWait    = 20 * time.Second       // how long a watch waits for a change
	watchSlack   = 2 * time.Second        // beyond which a watch is given up
	firstBackoff = 100 * time.Millisecond // before the first repeat of a failed call
	maxBackoff   = time.Second
	expiryTick   = 250 * time.Millisecond
	// missingFor is how long a server whose entry was taken out of the
	// catalogue may take to put it back, or to be heard directly.
	missingFor = 2500 * time.Millisecond
	// heardWithin is how fresh a direct sign of a node must be to keep it.
	heardWithin = 3 * time.Second
)

// change takes entries of a kind into the state: all of them, or those that
// changed.
type change func(entries []gd.Entry, all bool) func(*state)

// follow keeps up with the entries of a kind until ctx ends.
func (r *Roster) follow(ctx context.Context, kind string, apply change) {
	backoff := firstBackoff
	lost := false
	for ctx.Err() == nil {
		err := r.followOnce(ctx, kind, apply, func() {
			if lost {
				r.cfg.Log.Info(event.StoreRegained, "kind", kind)
			}
			lost, backoff = false, firstBackoff
		})
		switch {
		case ctx.Err() != nil:
			return
		case gd.Expired.Is(err):
			r.cfg.Log.Info(event.StoreHistoryLost, "kind", kind)
			continue
		case !lost:
			r.cfg.Log.Warn(event.StoreLost, "kind", kind, "error", gd.Message(err))
			lost = true
		}
		r.sleep(ctx, r.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// followOnce lists the entries and watches them until a call fails. It calls
// reached when the catalogue has answered.
func (r *Roster) followOnce(ctx context.Context, kind string, apply change, reached func()) error {
	entries, revision, err := r.list(ctx, kind)
	if err != nil {
		return err
	}
	reached()
	r.post(ctx, apply(entries, true))
	for {
		entries, next, err := r.watch(ctx, kind, revision)
		if err != nil {
			return err
		}
		revision = next
		if len(entries) > 0 {
			r.post(ctx, apply(entries, false))
		}
	}
}

func (r *Roster) list(ctx context.Context, kind string) ([]gd.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.cfg.Catalogue.List(ctx, kind)
}

func (r *Roster) watch(ctx context.Context, kind string, revision uint64) ([]gd.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	return r.cfg.Catalogue.Watch(ctx, kind, revision, watchWait)
}

func (r *Roster) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.cfg.Random.Int64N(int64(d)))
}

func (r *Roster) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *Roster) policyChanges(entries []gd.Entry, _ bool) func(*state) {
	return func(s *state) {
		for _, e := range entries {
			if e.Name == r.cfg.Policy && !e.Deleted {
				s.adopt(e.Value, "store")
			}
		}
	}
}

func (r *Roster) serverChanges(entries []gd.Entry, all bool) func(*state) {
	return func(s *state) {
		if all {
			s.isListed = true
			clear(s.listed)
		}
		var records []server.Record
		for _, e := range entries {
			if e.Deleted {
				s.removed(e.Name)
				continue
			}
			s.listed[e.Name] = true
			delete(s.missing, e.Name)
			rec, err := decodeRecord(e)
			if err != nil {
				r.cfg.Log.Warn(event.RecordRefused, "entry", e.Name, "revision", e.Revision, "error", gd.Message(err))
				continue
			}
			if rec.Node == r.cfg.Self.Node {
				s.stored, s.revision = rec, e.Revision
			}
			records = append(records, rec)
		}
		s.merge(records, "")
		if all {
			s.missUnlisted()
		}
		r.wakePublisher()
	}
}

// missUnlisted notes the servers that a full list lacks.
func (s *state) missUnlisted() {
	for _, rec := range s.directory.Records() {
		if !s.listed[rec.Node] {
			s.removed(rec.Node)
		}
	}
	if !s.listed[s.r.cfg.Self.Node] {
		s.revision = 0
	}
}

// removed notes that the catalogue has no entry of a node any more.
func (s *state) removed(node string) {
	delete(s.listed, node)
	if node == s.r.cfg.Self.Node {
		s.revision = 0
		return
	}
	if _, ok := s.missing[node]; !ok {
		s.missing[node] = s.r.cfg.Clock.Monotonic()
	}
}

// expire forgets the servers whose entry has not come back and that were not
// heard directly, and reports of crashes that are old.
func (s *state) expire() {
	now := s.r.cfg.Clock.Monotonic()
	for node, since := range s.missing {
		rec, ok := s.directory.Record(node)
		heard, isHeard := s.heard[node]
		switch {
		case !ok:
			delete(s.missing, node)
		case rec.State != server.Gone && (now-since < missingFor || isHeard && now-heard < heardWithin):
		default:
			s.directory = s.directory.Without(node)
			s.buried[node] = rec
			delete(s.missing, node)
			delete(s.heard, node)
			s.r.cfg.Log.Info(event.ServerForgotten, "node", node, "state", rec.State.String(), "missing", (now - since).String())
		}
	}
	s.register = s.register.WithoutExpired(s.r.cfg.Clock.Now())
}

func decodeRecord(e gd.Entry) (server.Record, error) {
	var rec server.Record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return server.Record{}, gd.Invalid.Wrapf(err, "record")
	}
	switch {
	case rec.Node == "" || rec.Node != e.Name:
		return server.Record{}, gd.Invalid.Errorf("node: %q is not the name of the entry", rec.Node)
	case rec.Address == "" || rec.Service == "":
		return server.Record{}, gd.Invalid.Errorf("address or service is missing")
	case rec.State < server.Up || rec.State > server.Gone:
		return server.Record{}, gd.Invalid.Errorf("state: %d is unknown", rec.State)
	}
	return rec, nil
}

// publishAll keeps the own entry in the catalogue as the own record is.
func (r *Roster) publishAll(ctx context.Context) {
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

// publishOnce writes the own entry if it differs from the own record. After a
// conflict it reads the entry again.
func (r *Roster) publishOnce(ctx context.Context) error {
	var own, stored server.Record
	var revision uint64
	var wanted, left bool
	asked := make(chan struct{})
	r.post(ctx, func(s *state) {
		own, stored, revision, wanted, left = s.own, s.stored, s.revision, s.hasOwn, s.left
		close(asked)
	})
	select {
	case <-asked:
	case <-ctx.Done():
		return nil
	}
	if !wanted || left && revision == 0 || !left && revision > 0 && own == stored {
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
	e, err := r.cfg.Catalogue.Put(ctx, r.cfg.Servers, own.Node, data, revision)
	if err != nil {
		return r.readBack(ctx, own.Node, err)
	}
	r.post(ctx, func(s *state) { s.stored, s.revision = own, e.Revision })
	return nil
}

func (r *Roster) unpublish(ctx context.Context, node string, revision uint64) error {
	err := r.cfg.Catalogue.Delete(ctx, r.cfg.Servers, node, revision)
	if err != nil && !gd.NotFound.Is(err) {
		return r.readBack(ctx, node, err)
	}
	r.post(ctx, func(s *state) { s.revision = 0 })
	return nil
}

// readBack learns the state of the own entry after a write that failed or
// whose answer was lost, and returns the error of that write.
func (r *Roster) readBack(ctx context.Context, node string, cause error) error {
	e, err := r.cfg.Catalogue.Get(ctx, r.cfg.Servers, node)
	switch {
	case gd.NotFound.Is(err):
		r.post(ctx, func(s *state) { s.revision = 0 })
	case err == nil:
		stored, _ := decodeRecord(e) // one that cannot be read is replaced
		r.post(ctx, func(s *state) { s.stored, s.revision = stored, e.Revision })
	}
	return cause
}
