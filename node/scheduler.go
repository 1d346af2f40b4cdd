package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/claim"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/queue"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

const (
	announceTTL           = 5 * time.Second // a server is gone unless it repeats its announcement within this time
	schedulerTickInterval = 250 * time.Millisecond
	ticksPerAnnouncement  = 2 // the control state learns of an expired announcement within this many ticks
	serverDialTimeout     = time.Second
	cancelGrace           = 50 * time.Millisecond // time that a server needs to stop a canceled call
	oldServerAge          = 2 * time.Second       // a server older than the node by more than this may still run calls of an earlier node process
	initialSlotsDivisor   = 3                     // such a server starts with 1/3 of its slots
)

// scheduler queues calls and runs them on the backend server beside the node.
// It owns the server's slots, and nothing else in the node sends requests to
// that server.
type scheduler struct {
	n          *Node
	client     *http.Transport
	claims     *claim.Writer
	dedupCache *dedupCache
	calls      sync.WaitGroup

	mu           sync.Mutex
	queue        *queue.Fair
	meter        limit.Meter
	policy       *table.Policy
	announced    announcement
	announcedAt  time.Duration
	draining     bool
	gone         bool // the node is closing; the server's record says Gone from now on
	lastID       uint64
	waiting      map[uint64]chan error                 // queued calls by ID; nil is sent when the slot is granted
	fingerprints map[uint64]quarantine.Fingerprint     // of queued and running calls by ID
	alone        map[uint64]bool                       // calls by ID that must run with no other call on the server
	cleared      map[quarantine.Fingerprint]clock.Time // when suspects ran alone without a crash
	crashes      uint64
}

// announcement is the state that the backend server reports about itself.
type announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	Started     clock.Time
	Draining    bool
	Unhealthy   bool
}

func newScheduler(n *Node) *scheduler {
	return &scheduler{
		n:            n,
		client:       newServerTransport(defaultConnections, dialServer),
		claims:       claim.NewWriter(n.cfg.Store, n.cfg.Clock, claim.Holder{Node: n.name, Incarnation: n.incarnation}, n.cfg.ClaimWritesPerSecond),
		dedupCache:   newDedupCache(),
		queue:        queue.New(1),
		waiting:      map[uint64]chan error{},
		fingerprints: map[uint64]quarantine.Fingerprint{},
		alone:        map[uint64]bool{},
		cleared:      map[quarantine.Fingerprint]clock.Time{},
	}
}

// now returns the monotonic time.
func (s *scheduler) now() time.Duration { return s.n.cfg.Clock.Monotonic() }

// announce records an announcement of the backend server. It refuses an
// announcement of a different server while the last one is valid.
func (s *scheduler) announce(a announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced.Service != "" && s.announcementValid() && (a.Address != s.announced.Address || a.Service != s.announced.Service) {
		return gd.Conflict.Errorf("server %s of service %s announces itself here already", s.announced.Address, s.announced.Service)
	}
	if a.Started != s.announced.Started || a.Address != s.announced.Address {
		s.resetServer(a)
	}
	s.announced = a
	s.announcedAt = s.now()
	return nil
}

// resetServer sets the slots and the client for a new server process. A process
// that is older than this node may still run calls of an earlier node process,
// so it starts with few slots.
func (s *scheduler) resetServer(a announcement) {
	slots := a.Slots
	if a.Started.Add(oldServerAge) < clock.Time(s.n.incarnation) {
		slots = max(1, a.Slots/initialSlotsDivisor)
	}
	s.queue.SetSlots(slots)
	if a.Connections != s.announced.Connections && a.Connections > 0 {
		s.client = newServerTransport(a.Connections, dialServer)
	}
}

// announcementValid reports whether the server has announced itself within
// announceTTL. The caller holds s.mu.
func (s *scheduler) announcementValid() bool {
	return s.announced.Service != "" && s.now()-s.announcedAt < announceTTL
}

// record returns the server's record in the given state, or in its current
// state if state is Up.
func (s *scheduler) record(state server.State) server.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.announced
	if state == server.Up {
		state = s.state()
	}
	return server.Record{
		Service:   a.Service,
		Region:    s.n.cfg.Region,
		Address:   s.n.advertisedAddress(),
		Slots:     a.Slots,
		Started:   a.Started,
		State:     state,
		Unhealthy: a.Unhealthy,
	}
}

// state returns the current state of the server. The caller holds s.mu.
func (s *scheduler) state() server.State {
	switch {
	case !s.announcementValid(), s.gone:
		return server.Gone
	case s.draining || s.announced.Draining:
		return server.Draining
	}
	return server.Up
}

// announceState passes the server's record to the control state, which sends
// it on if it changed. It runs on the control goroutine.
func (s *scheduler) announceState(c *control) {
	if r := s.record(server.Up); r.Service != "" {
		c.announce(r)
	}
}

// run expires queued calls and announcements until ctx is done.
func (s *scheduler) run(ctx context.Context) error {
	tick := time.NewTicker(schedulerTickInterval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			s.expire()
			if i%ticksPerAnnouncement == 0 {
				s.n.post(s.announceState)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// expire refuses queued calls whose deadline has passed.
func (s *scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.queue.Expire(s.now()) {
		s.refuse(it, gd.DeadlineUnreachable.Errorf("deadline passed while the call was queued"))
	}
}

// refuse ends a queued call with err. The caller holds s.mu.
func (s *scheduler) refuse(it queue.Item, err error) {
	if c, ok := s.waiting[it.ID]; ok {
		delete(s.waiting, it.ID)
		c <- err
	}
}

// setPolicy sets the policy and the limits that follow from it.
func (s *scheduler) setPolicy(p *table.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = p
	if p != nil {
		s.meter.SetLimits(limitsOf(p.Services[s.announced.Service]))
	}
}

// shareRequests returns the server's service and the share requests that are due.
func (s *scheduler) shareRequests() (string, []limit.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policy == nil || !s.announcementValid() {
		return "", nil
	}
	s.meter.SetLimits(limitsOf(s.policy.Services[s.announced.Service]))
	return s.announced.Service, s.meter.Requests(s.now())
}

// retryShareRequests makes the meter request its shares again, because its last
// share requests got no reply.
func (s *scheduler) retryShareRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.RequestAgain()
}

// grant passes granted shares of limits to the meter.
func (s *scheduler) grant(shares []limit.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, share := range shares {
		s.meter.SetShare(s.now(), share)
	}
}

// drain makes the scheduler refuse new calls. Running calls continue.
func (s *scheduler) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// markGone sets the state of the server's record to Gone for good.
func (s *scheduler) markGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

// close waits until all calls and claims have ended.
func (s *scheduler) close() {
	s.calls.Wait()
	_ = s.claims.Close() // Close only waits for pending writes
	s.client.CloseIdleConnections()
}

// do runs the call on the backend server. An error of a kind other than
// Unknown, TimedOut or Duplicate means that the server did not receive the
// call. The caller must close the response body, which releases the slot.
func (s *scheduler) do(ctx context.Context, c *call) (*http.Response, error) {
	s.calls.Add(1)
	row, err := s.admit(c)
	if err != nil {
		s.calls.Done()
		return nil, err
	}
	if row.Deduplication == table.DedupPlatform && c.key != "" {
		res, err := s.doDeduplicated(ctx, c, row)
		s.calls.Done()
		return res, err
	}
	res, err := s.doAdmitted(ctx, c, row, nil)
	if err != nil {
		s.finishCall(c)
		return nil, err
	}
	res.Body = &trackedBody{ReadCloser: res.Body, onClose: func(bool) { s.finishCall(c) }}
	return res, nil
}

// finishCall records the end of the call in the meter and in s.calls, which close
// waits for.
func (s *scheduler) finishCall(c *call) {
	s.mu.Lock()
	s.meter.Leave(c.caller)
	s.mu.Unlock()
	s.calls.Done()
}

// admit checks the call against the table and the caller's shares of limits.
func (s *scheduler) admit(c *call) (*table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.announced.Draining {
		return nil, gd.Draining.Errorf("the server beside node %s is draining", s.n.name)
	}
	if !s.announcementValid() || s.announced.Service != c.service {
		return nil, gd.Draining.Errorf("service %s has no server beside node %s", c.service, s.n.name)
	}
	if s.policy == nil {
		return nil, gd.NotReady.Errorf("node %s has not loaded the current table yet", s.n.name)
	}
	row, err := lookupRow(s.policy, c.service, c.caller)
	if err != nil {
		return nil, err
	}
	return row, s.meter.Enter(s.now(), c.caller)
}

// lookupRow returns the table row of the caller for the service.
func lookupRow(p *table.Policy, service, caller string) (*table.Row, error) {
	svc, ok := p.Services[service]
	if !ok {
		return nil, gd.NoRoute.Errorf("service %s is not in table version %d", service, p.Version)
	}
	row, ok := svc.Rows[caller]
	if !ok {
		return nil, gd.Forbidden.Errorf("the table has no row for caller %s and service %s", caller, service)
	}
	return row, nil
}
