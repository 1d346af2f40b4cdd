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

// Terms of a station.
const (
	announceTTL           = 5 * time.Second // a server that does not repeat its announcement in time is gone
	schedulerTickInterval = 250 * time.Millisecond
	ticksPerAnnouncement  = 2 // a server's end is passed on after at most this many ticks
	serverDialTimeout     = time.Second
	cancelGrace           = 50 * time.Millisecond // how long a server takes to stop a call that was cancelled
	oldServerAge          = 2 * time.Second       // a server this much older than the node may still run earlier calls
	initialSlotsDivisor   = 3                     // the node starts with 1/3 of such a server's slots
)

// scheduler runs calls on the backend server beside the node. It alone talks to
// that server and owns its slots.
type scheduler struct {
	n          *Node
	client     *http.Transport
	claims     *claim.Writer
	dedupCache *dedupCache
	calls      sync.WaitGroup

	mu          sync.Mutex
	queue       *queue.Fair
	meter       limit.Meter
	policy      *table.Policy
	announced   announcement
	announcedAt time.Duration
	draining    bool
	gone        bool // the node closes; announcements are not passed on any more
	lastID      uint64
	waiting     map[uint64]chan error // a nil error gives the slot
	running     map[uint64]quarantine.Fingerprint
	alone       map[uint64]bool
	cleared     map[quarantine.Fingerprint]clock.Time // suspects that ran alone without a crash
	crashes     uint64
}

// announcement is what the backend server says of itself.
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
		n:          n,
		client:     newServerTransport(defaultConnections),
		claims:     claim.NewWriter(n.cfg.Store, n.cfg.Clock, claim.Holder{Node: n.name, Incarnation: n.incarnation}, n.cfg.ClaimWrites),
		dedupCache: newDedupCache(),
		queue:      queue.New(1),
		waiting:    map[uint64]chan error{},
		running:    map[uint64]quarantine.Fingerprint{},
		alone:      map[uint64]bool{},
		cleared:    map[quarantine.Fingerprint]clock.Time{},
	}
}

func (s *scheduler) now() time.Duration { return s.n.cfg.Clock.Monotonic() }

// announce takes an announcement of the backend server.
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

// resetServer prepares for a server process that was not known before. One that is
// older than this node may still run calls of an earlier node, so it starts
// with few slots.
func (s *scheduler) resetServer(a announcement) {
	slots := a.Slots
	if a.Started.Add(oldServerAge) < clock.Time(s.n.incarnation) {
		slots = max(1, a.Slots/initialSlotsDivisor)
	}
	s.queue.SetSlots(slots)
	if a.Connections != s.announced.Connections && a.Connections > 0 {
		s.client = newServerTransport(a.Connections)
	}
}

// announcementValid reports whether the server's announcement stands. The caller holds
// s.mu.
func (s *scheduler) announcementValid() bool {
	return s.announced.Service != "" && s.now()-s.announcedAt < announceTTL
}

// record returns the server's record in the given state, or in the one that it
// announced if state is Up.
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

func (s *scheduler) state() server.State {
	switch {
	case !s.announcementValid(), s.gone:
		return server.Gone
	case s.draining || s.announced.Draining:
		return server.Draining
	}
	return server.Up
}

// announceState has the control goroutine pass on what changed.
func (s *scheduler) announceState(c *control) {
	if r := s.record(server.Up); r.Service != "" {
		c.announce(r)
	}
}

// run expires waiting calls and announcements until ctx ends.
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

// expire refuses the calls whose deadline passed while they waited.
func (s *scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.queue.Expire(s.now()) {
		s.refuse(it, gd.Hopeless.Errorf("the deadline passed while the call waited"))
	}
}

// refuse answers a waiting call. The caller holds s.mu.
func (s *scheduler) refuse(it queue.Item, err error) {
	if c, ok := s.waiting[it.ID]; ok {
		delete(s.waiting, it.ID)
		c <- err
	}
}

// setPolicy takes over a policy.
func (s *scheduler) setPolicy(p *table.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = p
	if p != nil {
		s.meter.SetLimits(limitsOf(p.Services[s.announced.Service]))
	}
}

func (s *scheduler) shareAsks() (string, []limit.Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policy == nil || !s.announcementValid() {
		return "", nil
	}
	s.meter.SetLimits(limitsOf(s.policy.Services[s.announced.Service]))
	return s.announced.Service, s.meter.Asks(s.now())
}

func (s *scheduler) askAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.AskAgain()
}

func (s *scheduler) grant(shares []limit.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, share := range shares {
		s.meter.Grant(s.now(), share)
	}
}

// drain refuses calls from now on; those that run go on.
func (s *scheduler) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// markGone has the server's record say that it is gone from now on.
func (s *scheduler) markGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

func (s *scheduler) close() {
	s.calls.Wait()
	_ = s.claims.Close() // it only waits
	s.client.CloseIdleConnections()
}

// do runs the call on the backend server. An error other than of kind Unknown,
// TimedOut or Duplicate means that the server never saw it. The caller closes
// the answer's body, which frees the slot.
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

func (s *scheduler) finishCall(c *call) {
	s.mu.Lock()
	s.meter.Leave(c.caller)
	s.mu.Unlock()
	s.calls.Done()
}

// admit checks the call against the table and the caller's shares.
func (s *scheduler) admit(c *call) (*table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.announced.Draining {
		return nil, gd.Draining.Errorf("server of node %s is draining", s.n.name)
	}
	if !s.announcementValid() || s.announced.Service != c.service {
		return nil, gd.Draining.Errorf("no server of service %s is beside node %s", c.service, s.n.name)
	}
	if s.policy == nil {
		return nil, gd.NotReady.Errorf("node %s has not learned the current table yet", s.n.name)
	}
	row, err := lookupRow(s.policy, c.service, c.caller)
	if err != nil {
		return nil, err
	}
	return row, s.meter.Enter(s.now(), c.caller)
}

func lookupRow(p *table.Policy, service, caller string) (*table.Row, error) {
	svc, ok := p.Services[service]
	if !ok {
		return nil, gd.NoRoute.Errorf("no service %s in table version %d", service, p.Version)
	}
	row, ok := svc.Rows[caller]
	if !ok {
		return nil, gd.Forbidden.Errorf("the table has no row for caller %s and service %s", caller, service)
	}
	return row, nil
}

// doAdmitted waits for a slot and runs the call. The claim, if any, is made
// while the call waits.
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
	return s.exchange(ctx, c, row, id)
}

func awaitClaim(ctx context.Context, claimed <-chan error) error {
	if claimed == nil {
		return nil
	}
	select {
	case err := <-claimed:
		return err
	case <-ctx.Done():
		return gd.ClaimsDown.Errorf("the claim was not confirmed before the deadline")
	}
}

// submit queues the call.
func (s *scheduler) submit(c *call, row *table.Row) (uint64, <-chan error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.verdict(c.fingerprint)
	if verdict == quarantine.Refused {
		return 0, nil, gd.Quarantined.Errorf("requests like this one crashed two servers")
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
	s.running[id] = c.fingerprint
	s.alone[id] = it.Alone
	s.grantSlots()
	return id, granted, nil
}

// verdict returns how the fingerprint is treated here. The caller holds s.mu.
func (s *scheduler) verdict(fp quarantine.Fingerprint) quarantine.Verdict {
	v := s.n.snapshot.Load().register.Verdict(s.n.cfg.Clock.Now(), fp)
	if at, ok := s.cleared[fp]; ok && v == quarantine.Suspect && at.Add(quarantine.Term) > s.n.cfg.Clock.Now() {
		return quarantine.Clear
	}
	return v
}

// grantSlots hands out free slots. The caller holds s.mu.
func (s *scheduler) grantSlots() {
	for _, it := range s.queue.Start(s.now()) {
		if c, ok := s.waiting[it.ID]; ok {
			delete(s.waiting, it.ID)
			c <- nil
		}
	}
}

// awaitSlot waits until the call has a slot. A call whose caller went away
// leaves the queue.
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
	return gd.Hopeless.Errorf("the call was given up while it waited")
}

func (s *scheduler) forgetCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	delete(s.alone, id)
}

// releaseSlot gives the call's slot to the next.
func (s *scheduler) releaseSlot(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(s.now(), id)
	delete(s.running, id)
	delete(s.alone, id)
	s.grantSlots()
}

func (s *scheduler) load() server.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.Load{Queued: s.queue.Waiting(), Running: s.queue.Running(), Service: s.queue.Mean()}
}
