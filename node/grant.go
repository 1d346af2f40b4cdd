package node

import (
	"context"
	"net/http"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/queue"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// doAdmitted waits for a slot and then runs the call. If claimed is not nil, the
// key is being claimed meanwhile, and the call runs only after claimed yields
// nil.
func (s *scheduler) doAdmitted(ctx context.Context, c *call, row *table.Row, claimed <-chan error) (*http.Response, error) {
	id, granted, err := s.submit(c, row)
	if err != nil {
		return nil, err
	}
	if err := s.awaitSlot(ctx, c, id, granted); err != nil {
		return nil, err
	}
	if err := awaitClaim(ctx, claimed); err != nil {
		s.releaseSlot(id)
		return nil, err
	}
	if err := s.checkGrant(c); err != nil {
		s.releaseSlot(id)
		return nil, err
	}
	return s.exchange(ctx, c, row, id)
}

// checkGrant returns an error if a call that has a slot must not be sent any more. The
// process may have been paused since the slot was granted.
func (s *scheduler) checkGrant(c *call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.now() >= c.deadline:
		return gd.DeadlineUnreachable.Errorf("the deadline passed before the call was sent to the server")
	case s.announced.Draining, !s.announcementValid(), s.announced.Service != c.service:
		return gd.Draining.Errorf("service %s has no server beside node %s any more", c.service, s.n.name)
	}
	return nil
}

// awaitClaim waits for the result of the claim, if there is one.
func awaitClaim(ctx context.Context, claimed <-chan error) error {
	if claimed == nil {
		return nil
	}
	select {
	case err := <-claimed:
		return err
	case <-ctx.Done():
		return gd.ClaimsUnavailable.Errorf("deadline passed before the platform confirmed the claim")
	}
}

// submit queues the call. It returns the call's ID and the channel that yields
// nil when the call has a slot, or the error that ended its wait.
func (s *scheduler) submit(c *call, row *table.Row) (uint64, <-chan error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.verdict(c.fingerprint)
	if verdict == quarantine.Refused {
		return 0, nil, gd.Quarantined.Errorf("request is quarantined: requests with its fingerprint crashed two servers")
	}
	s.lastID++
	id := s.lastID
	it := queue.Item{
		ID:       id,
		Caller:   c.caller,
		Weight:   row.Weight,
		Limit:    row.QueueLimit,
		Deadline: c.deadline,
		Alone:    verdict == quarantine.Suspect,
	}
	if err := s.queue.Submit(s.now(), it); err != nil {
		return 0, nil, err
	}
	granted := make(chan error, 1)
	s.waiting[id] = granted
	s.fingerprints[id] = c.fingerprint
	s.alone[id] = it.Alone
	s.grantSlots()
	return id, granted, nil
}

// verdict returns the quarantine verdict on the fingerprint. A suspect that ran
// alone here without a crash is clear. The caller holds s.mu.
func (s *scheduler) verdict(fp quarantine.Fingerprint) quarantine.Verdict {
	v := s.n.snapshot.Load().register.Verdict(s.n.cfg.Clock.Now(), fp)
	if at, ok := s.cleared[fp]; ok && v == quarantine.Suspect && at.Add(quarantine.ReportTTL) > s.n.cfg.Clock.Now() {
		return quarantine.Clear
	}
	return v
}

// grantSlots gives free slots to queued calls. The caller holds s.mu.
func (s *scheduler) grantSlots() {
	for _, it := range s.queue.Start(s.now()) {
		if c, ok := s.waiting[it.ID]; ok {
			delete(s.waiting, it.ID)
			c <- nil
		}
	}
}

// awaitSlot waits until the call has a slot. A call whose context ends is
// removed from the queue.
func (s *scheduler) awaitSlot(ctx context.Context, c *call, id uint64, granted <-chan error) error {
	select {
	case err := <-granted:
		if err != nil {
			s.forgetCall(id)
		}
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	waited := s.queue.Cancel(c.caller, id)
	delete(s.waiting, id)
	s.mu.Unlock()
	if !waited {
		s.releaseSlot(id)
	}
	s.forgetCall(id)
	return gd.DeadlineUnreachable.Errorf("call was canceled while it was queued")
}

// forgetCall removes a call that ended without a slot.
func (s *scheduler) forgetCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fingerprints, id)
	delete(s.alone, id)
}

// releaseSlot releases the call's slot and grants it to the next call.
func (s *scheduler) releaseSlot(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(s.now(), id)
	delete(s.fingerprints, id)
	delete(s.alone, id)
	s.grantSlots()
}

// load returns the current load of the server.
func (s *scheduler) load() server.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.Load{Queued: s.queue.Waiting(), Running: s.queue.Running(), SlotTime: s.queue.Mean()}
}
