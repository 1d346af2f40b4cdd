package roster

import (
	"context"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/fleet/rollout"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
)

const (
	// rolloutWatchWait is the longest wait of a watch for orders. The few nodes that watch make
	// less than one call a second with it, and what one watch does not report another one does.
	rolloutWatchWait = 4 * time.Second
	// rolloutPause is the pause before a node looks again whether it watches, and after a failed call.
	rolloutPause = time.Second
	// writeRetry is the mean pause before a write of a status is repeated.
	writeRetry = 300 * time.Millisecond
	// The status is written by the first of the nodes that decide. If the catalogue does not hold
	// it after some time, the second one writes it too, and then those that watch.
	secondWriterDelay = 1200 * time.Millisecond
	watcherDelay      = 2 * time.Second
	runningDelay      = 500 * time.Millisecond // before the status says that the roll-out runs
	maxRunningWrites  = 3
)

// rolloutWrite is the state of the writes of one roll-out's status.
type rolloutWrite struct {
	inFlight bool
	notDue   time.Duration // time before which no write begins
	running  int           // writes of the status that says that the roll-out runs
	isStated bool          // the store says that
	isLost   bool          // the store held the outcome and does not any more
}

// followRollouts follows the entries that order roll-outs as long as this node is one of those that
// watch the policy, until ctx ends. Other nodes learn of the orders from these.
func (r *Roster) followRollouts(ctx context.Context) {
	if r.cfg.Rollouts == nil {
		return
	}
	select {
	case <-r.started:
	case <-ctx.Done():
		return
	}
	// A node that has just started knows no others and takes itself for one that watches.
	r.sleep(ctx, r.jitter(rolloutPause))
	var cursor policyCursor
	for ctx.Err() == nil {
		if !r.IsWatcher() {
			r.sleep(ctx, rolloutPause/2)
			continue
		}
		err := r.pollRollouts(ctx, &cursor)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			continue
		case gd.Expired.Is(err):
			cursor.listed = false
			continue
		case !cursor.failed:
			r.cfg.Log.Warn(event.StoreLost, "kind", r.cfg.Rollouts.Kind, "error", gd.Message(err))
			cursor.failed = true
		}
		r.sleep(ctx, r.jitter(rolloutPause))
	}
}

// pollRollouts reads the entries, or their changes since the last call.
func (r *Roster) pollRollouts(ctx context.Context, cursor *policyCursor) error {
	var entries []gd.Entry
	var revision gd.Revision
	var err error
	isList := !cursor.listed
	if isList {
		entries, revision, err = r.list(ctx, r.cfg.Rollouts.Kind)
	} else {
		entries, revision, err = r.watch(ctx, r.cfg.Rollouts.Kind, cursor.revision, r.jitter(rolloutWatchWait))
	}
	if err != nil {
		return err
	}
	r.noteEra(ctx, revision.Era)
	if cursor.failed {
		r.cfg.Log.Info(event.StoreRegained, "kind", r.cfg.Rollouts.Kind)
	}
	*cursor = policyCursor{listed: true, revision: revision}
	if len(entries) == 0 && !isList {
		return nil
	}
	r.post(ctx, func(s *state) {
		s.readRollouts(entries)
		if isList {
			s.closeMissing(entries, revision)
		}
	})
	return nil
}

// readRollouts merges entries of the catalogue. One that cannot be read does not stop the others.
func (s *state) readRollouts(entries []gd.Entry) {
	now := s.r.cfg.Clock.Monotonic()
	isNews := false
	for _, e := range entries {
		if e.Deleted {
			isNews = s.closeRollout(e.Name, e.Revision) || isNews
			continue
		}
		order, stored, err := s.r.cfg.Rollouts.Decode(e)
		if err != nil {
			s.r.cfg.Log.Warn(event.RolloutRefused, "entry", e.Name, "revision", e.Revision.String(), "error", gd.Message(err))
			continue
		}
		started := rollout.Start(order, now, s.r.cfg.Rollouts.Limits)
		started.Name, started.Revision = e.Name, e.Revision
		outcome := stored
		if stored == rollout.Canary {
			outcome = rollout.None
		}
		isNews = s.mergeRollout(started.WithStored(now, outcome, e.Revision), "store") || isNews
		t := s.rollouts[order.Service]
		if t.Target != order.Target || t.Revision != e.Revision {
			continue
		}
		t.write.isStated = t.write.isStated || stored != rollout.None
		t.write.isLost = t.Phase >= rollout.StoredRolledBack && t.Phase != rollout.Closed && outcome == rollout.None
	}
	if isNews {
		s.pushRollouts()
	}
}

// closeMissing closes the roll-outs whose entries a list of the given revision lacks.
func (s *state) closeMissing(entries []gd.Entry, revision gd.Revision) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Name] = !e.Deleted
	}
	isNews := false
	for _, t := range s.rollouts {
		if !listed[t.Name] && revision.After(t.Revision) {
			isNews = s.closeRollout(t.Name, revision) || isNews
		}
	}
	if isNews {
		s.pushRollouts()
	}
}

// closeRollout records that the entry of a roll-out was removed. It reports whether that was news.
func (s *state) closeRollout(name string, revision gd.Revision) bool {
	for _, t := range s.rollouts {
		if t.Name == name && t.Phase != rollout.Closed {
			closed := t.Rollout
			closed.Phase, closed.Revision, closed.Reason, closed.Step = rollout.Closed, revision, "the entry was removed", 0
			closed.Since = s.r.cfg.Clock.Monotonic()
			return s.mergeRollout(closed, "store")
		}
	}
	return false
}

// writeStatus begins a write of the status if it is due and it is this node's turn.
func (s *state) writeStatus(t *trackedRollout) {
	now := s.r.cfg.Clock.Monotonic()
	if t.write.inFlight || now < t.write.notDue || t.Revision.IsZero() || !s.isWriter(now, t) {
		return
	}
	if t.Phase == rollout.Canary {
		t.write.running++
	}
	status, err := s.r.cfg.Rollouts.Encode(t.Rollout)
	if err != nil {
		s.r.cfg.Log.Error(event.RolloutNotWritten, "service", t.Service, "error", gd.Message(err))
		return
	}
	t.write.inFlight = true
	r, ctx, written := s.r, s.ctx, t.Rollout
	r.tasks.Go(func() {
		e, err := r.putStatus(ctx, written, status)
		r.post(ctx, func(s *state) { s.handleWrite(written, e, err) })
	})
}

// isWriter reports whether this node is to write the status of a roll-out now.
func (s *state) isWriter(now time.Duration, t *trackedRollout) bool {
	rank, isDecider := s.rank(t)
	if t.Phase == rollout.Canary {
		return isDecider && rank == 0 && !t.write.isStated && t.write.running < maxRunningWrites && now-t.Since >= runningDelay
	}
	if !t.Phase.IsUnstored() {
		return t.write.isLost
	}
	age := now - t.Since
	return isDecider && rank == 0 || isDecider && age >= secondWriterDelay || age >= watcherDelay && s.r.IsWatcher()
}

// putStatus writes a status. After a conflict it returns the entry that the catalogue holds.
func (r *Roster) putStatus(ctx context.Context, written rollout.Rollout, status []byte) (gd.Entry, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := r.cfg.Catalogue.PutStatus(limited, r.cfg.Rollouts.Kind, written.Name, status, written.Revision)
	if !gd.Conflict.Is(err) {
		return e, err
	}
	return r.cfg.Catalogue.Get(limited, r.cfg.Rollouts.Kind, written.Name)
}

// handleWrite handles the entry that the catalogue holds after a write, or the write's error. What
// the catalogue holds is adopted, whoever wrote it.
func (s *state) handleWrite(written rollout.Rollout, e gd.Entry, err error) {
	t, ok := s.rollouts[written.Service]
	if !ok || t.Target != written.Target {
		return
	}
	t.write.inFlight, t.write.notDue = false, s.r.cfg.Clock.Monotonic()+s.r.jitter(writeRetry)
	switch {
	case gd.NotFound.Is(err):
		// The removal of the entry is read by those that watch.
	case err != nil:
		s.r.cfg.Log.Warn(event.RolloutNotWritten, "service", t.Service, "target", t.Target, "phase", written.Phase.String(), "revision", written.Revision.String(), "error", gd.Message(err))
	default:
		t.write.notDue = 0
		s.r.cfg.Log.Info(event.RolloutWritten, "service", t.Service, "target", t.Target, "phase", written.Phase.String(), "revision", e.Revision.String())
		s.readRollouts([]gd.Entry{e})
	}
}
