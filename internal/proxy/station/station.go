// Package station queues requests for the backend server beside the node and runs
// them on it. Nothing else sends requests to that server, so the station knows
// the slots in use, whether a request has run, and when the server leaves.
package station

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// queuedDrainShare is the fraction of Config.Drain during which requests
	// that are already queued are still sent to a draining server.
	queuedDrainShare     = 0.5
	expireInterval       = 50 * time.Millisecond
	failureRateSmoothing = 0.1 // weight of the newest outcome in the failure rate
)

// Config configures a Station.
type Config struct {
	Node     string
	Address  string  // of the backend server
	Service  string  // of the server, as configured
	LinkMbps float64 // speed of the VM's network link, 0 if unknown
	// Bodies bounds the memory of received bodies; nil for no bound.
	Bodies *body.Budget
	// AnnounceInterval is the time between two announcements of the server.
	AnnounceInterval time.Duration
	Drain            time.Duration // longest time from the start of the server's drain to its last request
	Clock            gd.Clock
	Log              hclog.Logger
	Random           *rand.Rand
	Announce         func(server.Record)       // called with each change of the server's record
	Report           func([]quarantine.Report) // called with the requests to which a crash of the server may be due
	Verdict          func(quarantine.Fingerprint) quarantine.Verdict
	// Innocent is called with all fingerprints of a request that ran well on a server which
	// has not crashed since. It must not block.
	Innocent func([]quarantine.Fingerprint)
	Observe  func(Outcome) // called for each request that was sent to the server
}

// Outcome holds the measurements of a request that was sent to the server: how
// much longer than usual it was in transit between nodes, how long it waited for
// a slot, and how long it held the slot.
type Outcome struct {
	TransitDelay, SlotWait, SlotTime time.Duration
	Status                           int // of the HTTP response, 0 if there was none

	Class    string // of the request
	Version  string // of the server's software
	IsCold   bool   // the server was still slow after its start when it got the request
	IsNotRun bool   // the server states that it did not run the request, or could not be reached
	IsLeft   bool   // the client disconnected before there was a response
	IsLost   bool   // the connection to the server ended before there was a response
}

// Station serves one backend server. Use New.
type Station struct {
	cfg  Config
	pool *pool.Pool
	link *link

	mu            sync.Mutex
	queue         *admission.Queue
	server        platform.Announcement
	state         server.State
	known         bool          // a server has announced itself or was adopted
	announced     clock.Time    // start of the server that announced itself last to this process
	confirmBy     time.Duration // monotonic time by which the server must announce itself (again), 0 if it need not
	drainingSince time.Duration // monotonic time at which the server began to drain or left
	nodeDraining  bool          // the node itself shuts down
	stopAt        time.Duration // monotonic time at which the node stops, 0 if not set
	lastLeave     leaveNotice
	coldUntil     time.Duration // monotonic time until which the server is slow after its start
	failureRate   float64
	lastID        uint64
	waiting       map[uint64]chan error // by request; receives nil when a slot is granted
	running       map[uint64]*exchange  // by request
	respondedAt   time.Duration         // monotonic time of the server's last response
	suspects      []suspect
	unwatched     bool // a request has ended since the last call of watchSuspects
	crashes       uint64
	probing       bool // a probe is running
	awaited       awaited
	startTimer    *time.Timer   // fires when the server's limit admits the next queued request
	startedAt     time.Duration // monotonic time of the start of this process
	startTime     clock.Time    // the same by the time of day
	notices       notices       // of the current incarnation of the server
	sent          sentTimes
	tasks         sync.WaitGroup
}

// New returns a station for the server at cfg.Address.
func New(cfg Config) *Station {
	return &Station{
		cfg:        cfg,
		pool:       pool.New(cfg.Address, platform.RequestID),
		link:       newLink(cfg.LinkMbps),
		queue:      admission.New(1),
		state:      server.Lost,
		waiting:    map[uint64]chan error{},
		running:    map[uint64]*exchange{},
		startTimer: stoppedTimer(),
		startedAt:  cfg.Clock.Monotonic(),
		startTime:  cfg.Clock.Now(),
	}
}

// stoppedTimer returns a timer that fires only after a call of Reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(0)
	t.Stop()
	return t
}

func (s *Station) now() time.Duration { return s.cfg.Clock.Monotonic() }

// Run periodically refuses the queued requests that can no longer be served in time,
// and starts those that the server's limit admits, until ctx ends.
func (s *Station) Run(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.expire()
		case <-s.startTimer.C:
			s.startDue()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the connections to the server.
func (s *Station) Close() {
	s.tasks.Wait()
	s.pool.Close()
}

// Opened returns the number of connections opened to the server so far.
func (s *Station) Opened() uint64 { return s.pool.Opened() }

// HandleAnnouncement processes an announcement of the server. It returns an error
// of kind Invalid if the announcement is not from the server beside this node.
func (s *Station) HandleAnnouncement(a platform.Announcement) error {
	if a.Address != s.cfg.Address {
		return gd.Invalid.Errorf("address: %s is not the address of the server beside this node, which is %s", a.Address, s.cfg.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && isOlder(a, s.server) {
		return nil
	}
	if s.known && a.Started == s.server.Started && s.state == server.Gone || s.lastLeave.covers(a) {
		return nil // a late announcement of a server that has left
	}
	isOtherVersion := s.known && a.Version != s.server.Version // adopted from a record that lacks it
	isNew := !s.known || a.Started != s.server.Started || a.Instance != s.server.Instance
	a.Draining = a.Draining || !isNew && s.server.Draining
	previous := s.state
	if isNew {
		if previous == server.Up {
			s.reportCrash(s.now()) // the server was replaced without a notice
		}
		s.suspects = nil
		s.failureRate, s.notices = 0, notices{}
		s.queue.RemoveLimit()
		s.awaited = awaited{isPending: s.isOlderThanProcess(a.Started)}
	}
	s.server, s.known = a, true
	s.confirmBy = 0
	if s.announced != a.Started && s.isOlderThanProcess(a.Started) {
		// It may be a late announcement of a server that has left, which an earlier process knew.
		s.confirmBy = s.now() + confirmIntervals*s.cfg.AnnounceInterval
	}
	s.announced = a.Started
	s.coldUntil = s.now() + a.ColdStartRemaining
	s.applySlots()
	switch {
	case a.Draining && previous != server.Draining:
		s.beginDrain(server.Draining)
	case !a.Draining:
		s.state = server.Up
	}
	if isNew || isOtherVersion || previous != s.state {
		s.cfg.Log.Info(event.ServerAnnounced, "instance", a.Instance, "service", a.Service, "started", a.Started.String(),
			"sequence", a.Sequence, "slots", a.Slots, "state", s.state.String(), "before", previous.String(), "cold-for", a.ColdStartRemaining.String())
		s.publishRecord()
	}
	return nil
}

// isOlder reports whether a precedes b: it is from an earlier incarnation of the
// server, or an earlier or the same announcement of the same one.
func isOlder(a, b platform.Announcement) bool {
	if a.Started != b.Started {
		return a.Started < b.Started
	}
	return a.Instance == b.Instance && a.Sequence <= b.Sequence
}

// leaveNotice is a server's notice that it has left. The notice may lack the
// incarnation of the server that left.
type leaveNotice struct {
	instance string
	at       clock.Time // time of receipt
}

// covers reports whether a is from the server that left: it has the same instance
// name and started before the notice was received.
func (l leaveNotice) covers(a platform.Announcement) bool {
	return l.instance != "" && a.Instance == l.instance && a.Started <= l.at
}

// HandleLeave processes the server's notice that it has left. The start time
// identifies the incarnation that left; it is 0 if the notice lacks it.
func (s *Station) HandleLeave(instance string, started clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && (s.server.Instance != "" && instance != s.server.Instance || started != 0 && started < s.server.Started) {
		return
	}
	if started > s.server.Started {
		s.server = platform.Announcement{Instance: instance, Started: started, Service: s.server.Service, Slots: s.server.Slots}
	}
	s.known, s.confirmBy = true, 0
	s.lastLeave = leaveNotice{instance, s.cfg.Clock.Now()}
	s.cfg.Log.Info(event.ServerLeft, "instance", instance, "started", s.server.Started.String(), "before", s.state.String())
	if s.state != server.Draining {
		s.beginDrain(server.Gone)
	}
	s.state = server.Gone
	s.publishRecord()
}

// beginDrain starts the period during which requests that are already queued are
// still sent to the server. The caller holds s.mu.
func (s *Station) beginDrain(state server.State) {
	s.state = state
	s.drainingSince = s.now()
}

// confirmIntervals is the number of intervals between announcements within which a server
// that an earlier process of this node knew must announce itself.
const confirmIntervals = 2

// Adopt takes over the record that an earlier process of this node published, so
// that the server is used before its next announcement. The record may be out of date: that
// process may have acknowledged that the server leaves, and ended before it or another node
// could publish that. A server that has left announces nothing more, so one that announces
// nothing within confirmIntervals of the start of this process is not used. If that time is
// over, the server is lost at once, as other nodes may still believe the record.
func (s *Station) Adopt(r server.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known || s.nodeDraining {
		return
	}
	s.server = platform.Announcement{Instance: r.Instance, Service: r.Service, Slots: r.Slots, Started: r.Started, Version: r.Version, Address: s.cfg.Address}
	s.known, s.state = true, server.Up
	s.confirmBy = s.startedAt + confirmIntervals*s.cfg.AnnounceInterval
	s.awaited.isPending = s.isOlderThanProcess(r.Started)
	s.applySlots()
	if s.loseUnconfirmed(); s.state == server.Up {
		s.publishRecord()
	}
}

// loseUnconfirmed marks the server as lost if it was to announce itself by now. The caller
// holds s.mu.
func (s *Station) loseUnconfirmed() {
	if s.confirmBy == 0 || s.state != server.Up || s.now() < s.confirmBy {
		return
	}
	s.confirmBy = 0
	s.cfg.Log.Warn(event.ServerDown, "instance", s.server.Instance, "error", "a server that an earlier process knew has not announced itself",
		"running", len(s.running), "up-for", (s.now() - s.startedAt).String())
	s.loseServer(gd.WrongInstance.Errorf("the server beside node %s has not announced itself", s.cfg.Node))
}

// StopAt sets the monotonic time at which the node stops. Requests whose deadline
// is later are refused.
func (s *Station) StopAt(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAt = at
}

// Drain makes the station refuse new requests because the node shuts down.
func (s *Station) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodeDraining = true
}

// publishRecord passes the server's record to the Announce callback. The caller
// holds s.mu.
func (s *Station) publishRecord() {
	s.cfg.Announce(server.Record{
		Service:  s.server.Service,
		Instance: s.server.Instance,
		Slots:    s.server.Slots,
		Started:  s.server.Started,
		Version:  s.server.Version,
		State:    s.state,
		HasLeft:  s.state == server.Gone,
	})
}

// Load returns the load of the server.
func (s *Station) Load() placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Station) load() placement.Load {
	return placement.Load{
		Running:      s.queue.Running(),
		Waiting:      s.queue.Waiting(),
		Slots:        s.queue.Slots(),
		Mean:         s.queue.Mean(),
		Wait:         s.queue.Wait(s.now()),
		LimitWait:    s.queue.LimitWait(s.now()),
		ColdFor:      max(0, s.coldUntil-s.now()),
		FailureRatio: s.failureRate,
		LinkBusy:     s.link.backlog(),
	}
}

// WorkspacesOver returns the number of workspaces that have recently used more than the
// average slot time, while requests wait.
func (s *Station) WorkspacesOver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.WorkspacesOver(s.now())
}

// Active returns the number of queued and running requests.
func (s *Station) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running() + s.queue.Waiting()
}

// expire refuses the queued requests that can no longer be served in time.
func (s *Station) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.widen()
	s.loseUnconfirmed()
	s.watchSuspects()
	for _, it := range s.queue.Expire(s.now()) {
		s.refuse(it.ID, it.Refusal.Error())
	}
	if !s.mayStart() {
		for _, it := range s.queue.Clear() {
			s.refuse(it.ID, gd.Draining.Errorf("the server beside the node is %s", s.state))
		}
	}
}

// mayStart reports whether queued requests may be sent to the server. The caller
// holds s.mu.
func (s *Station) mayStart() bool {
	switch s.state {
	case server.Up:
		return true
	case server.Draining, server.Gone:
		return s.drainingSince > 0 && s.now()-s.drainingSince < time.Duration(queuedDrainShare*float64(s.cfg.Drain))
	}
	return false
}

// refuse fails a queued request with err. The caller holds s.mu.
func (s *Station) refuse(id uint64, err error) {
	if c, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		c <- err
	}
}
