package station

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// newAnnouncedStation returns a station whose server has announced itself, and
// the server states that the station publishes.
func newAnnouncedStation(t *testing.T) (*Station, *[]server.State) {
	t.Helper()
	return newStationAt(t, &clock.Fake{})
}

func newStationAt(t *testing.T, clk *clock.Fake) (*Station, *[]server.State) {
	t.Helper()
	var states []server.State
	s := New(Config{
		Node: "own", Address: "10.0.0.1:1", Service: "shop", LinkMbps: 5, Drain: time.Second,
		Clock: clk, Log: hclog.NewNullLogger(),
		Announce: func(r server.Record) { states = append(states, r.State) },
		Report:   func([]quarantine.Report) {},
		Verdict:  func(quarantine.Fingerprint) quarantine.Verdict { return quarantine.Clear },
		Innocent: func([]quarantine.Fingerprint) {},
		Observe:  func(Outcome) {},
	})
	if err := s.HandleAnnouncement(announcement(1, 1)); err != nil {
		t.Fatal(err)
	}
	return s, &states
}

func announcement(started clock.Time, sequence uint64) platform.Announcement {
	return platform.Announcement{Instance: "i", Service: "shop", Address: "10.0.0.1:1", Slots: 2, Started: started, Sequence: sequence}
}

// TestBusyLinkRefusesLargeBodies checks that a request with a large body that may
// not wait is refused before the body is sent if the link is busy.
func TestBusyLinkRefusesLargeBodies(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	s.link.addPending(100_000) // 160 ms at 5 Mbit/s
	a := s.Do(context.Background(), request.Request{Service: "shop", Body: bodyOf(50_000), ContentLength: 50_000, Remaining: time.Second})
	is.True(gd.QueueFull.Is(a.Err))
	is.True(a.IsNotRun())
	is.Equal(a.Load.LinkBusy, 160*time.Millisecond)
}

// TestOrderOfAnnouncements checks that announcements are ignored if they are late,
// are from an earlier incarnation or follow the server's leave notice, and are
// refused if they are from another address.
func TestOrderOfAnnouncements(t *testing.T) {
	is := is.New(t)
	s, states := newAnnouncedStation(t)
	draining := announcement(1, 3)
	draining.Draining = true
	is.NoErr(s.HandleAnnouncement(draining))
	is.NoErr(s.HandleAnnouncement(announcement(1, 2))) // late
	is.NoErr(s.HandleAnnouncement(announcement(1, 4))) // a draining server stays draining
	is.Equal(*states, []server.State{server.Up, server.Draining})
	s.HandleLeave("i", 1)
	is.NoErr(s.HandleAnnouncement(announcement(1, 5)))
	is.Equal(*states, []server.State{server.Up, server.Draining, server.Gone})
	is.NoErr(s.HandleAnnouncement(announcement(2, 1))) // the next incarnation under the same name
	s.HandleLeave("i", 1)                              // late notice of the previous incarnation
	is.NoErr(s.HandleAnnouncement(announcement(1, 9)))
	is.Equal(*states, []server.State{server.Up, server.Draining, server.Gone, server.Up})
	other := announcement(3, 1)
	other.Address = "10.0.0.2:1"
	is.True(gd.Invalid.Is(s.HandleAnnouncement(other)))
}

// TestLeaveBeforeFirstAnnouncement sends a leave notice without an incarnation to
// a node that has just started. Later announcements of the incarnation that left
// must be ignored; those of the next one are a new server.
func TestLeaveBeforeFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	clk := &clock.Fake{}
	clk.Advance(time.Minute)
	var states []server.State
	s := New(Config{
		Address: "10.0.0.1:1", Drain: time.Second, Clock: clk, Log: hclog.NewNullLogger(),
		Announce: func(r server.Record) { states = append(states, r.State) },
	})
	s.HandleLeave("i", 0)
	is.NoErr(s.HandleAnnouncement(announcement(clk.Now()-1000, 25)))
	is.Equal(states, []server.State{server.Gone})
	is.NoErr(s.HandleAnnouncement(announcement(clk.Now()+1000, 1)))
	is.Equal(states, []server.State{server.Gone, server.Up})
}

// TestDelayedRequest checks requests that were in transit for longer than usual:
// the delay shortens their remaining time, and those delayed by more than
// maxTransitDelay do not reach the server, since their clients may have disconnected.
func TestDelayedRequest(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	r := request.Request{Service: "shop", Remaining: time.Second, Objective: time.Second, TransitDelay: maxTransitDelay + time.Millisecond}
	a := s.Do(context.Background(), r)
	is.True(gd.QueueFull.Is(a.Err)) // another server may be tried
	is.True(a.IsNotRun())
	is.Equal(a.Load.TransitDelay, r.TransitDelay)
	r.TransitDelay, r.Remaining = maxTransitDelay, maxTransitDelay
	a = s.Do(context.Background(), r)
	is.True(gd.DeadlineUnreachable.Is(a.Err)) // its deadline has passed
	is.True(a.IsNotRun())
}

// adoptedStation returns a station of a process that started at a minute, and has adopted
// a server that started at 1 ms.
func adoptedStation() *Station {
	clk := &clock.Fake{}
	clk.Advance(time.Minute)
	s := New(Config{Address: "10.0.0.1:1", Drain: time.Second, AnnounceInterval: time.Second, Clock: clk, Log: hclog.NewNullLogger(), Announce: func(server.Record) {}})
	s.Adopt(server.Record{Instance: "i", Service: "shop", Slots: 2, Started: 1})
	return s
}

func TestServerThatAnEarlierProcessKnewGetsAllSlotsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		started clock.Time
		slots   int
	}{
		"adopted server": {1, 1},
		"later start, before that of the process": {2, 1},
		"start with the process":                  {clock.Time(time.Minute.Milliseconds()), 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := adoptedStation()
			is.NoErr(s.HandleAnnouncement(announcement(c.started, 1)))
			is.Equal(s.Load().Slots, c.slots)
		})
	}
}

// pausedContext is a context whose timer has not fired although its deadline has passed, as
// after a pause of the process.
type pausedContext struct{ context.Context }

func (pausedContext) Deadline() (time.Time, bool) { return clock.Deadline(-time.Second), true }

// orderSender returns a function that sends an order, which has a slot, to the server of s,
// and the number of orders that have reached the server.
func orderSender(t *testing.T, s *Station) (send func(ctx context.Context, id string) request.Result, arrivals *atomic.Int32) {
	arrivals = new(atomic.Int32)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		platform.SetRequestID(w.Header(), platform.RequestID(r.Header))
		w.WriteHeader(http.StatusNotFound)
	}))
	s.pool = pool.New(backend.Listener.Addr().String(), platform.RequestID)
	t.Cleanup(func() {
		s.Close()
		backend.Close()
	})
	return func(ctx context.Context, id string) request.Result {
		h := http.Header{}
		platform.SetRequestID(h, id)
		a := s.runGranted(ctx, 1, s.now(), request.Request{ID: id, Service: "shop", Method: http.MethodPost, Target: "/orders", Header: h, Remaining: time.Second})
		if a.Response != nil {
			a.Response.Body.Close()
		}
		return a
	}, arrivals
}

func TestRequestIsSentOnAGrantThatAPauseOutlasted(t *testing.T) {
	replacement := announcement(2, 1)
	replacement.Instance, replacement.Service = "j", "media"
	for name, c := range map[string]struct {
		ctx    context.Context
		change func(s *Station, clk *clock.Fake)
		kind   gd.Kind
	}{
		"deadline has passed": {pausedContext{context.Background()}, func(*Station, *clock.Fake) {}, gd.DeadlineUnreachable},
		"server has left": {context.Background(), func(s *Station, clk *clock.Fake) {
			s.HandleLeave("i", 1)
			clk.Advance(time.Minute)
		}, gd.Draining},
		"address belongs to another service": {context.Background(), func(s *Station, _ *clock.Fake) {
			if err := s.HandleAnnouncement(replacement); err != nil {
				t.Error(err)
			}
		}, gd.WrongInstance},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Fake{}
			clk.Advance(time.Second)
			s, _ := newStationAt(t, clk)
			send, arrivals := orderSender(t, s)
			is.Equal(send(context.Background(), "first").Response.StatusCode, http.StatusNotFound) // leaves an idle connection
			c.change(s, clk)
			a := send(c.ctx, "late")
			is.Equal(arrivals.Load(), int32(1))
			is.True(a.IsNotRun())
			is.True(c.kind.Is(a.Err))
		})
	}
}

func TestRefusedRequestWithALongBodyKeepsTheLink(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	for range 2 { // all slots
		_, _, refusal := s.enqueue(s.now(), request.Request{Service: "shop", Remaining: time.Minute, Objective: time.Minute})
		is.NoErr(refusal.Err)
	}
	const length = 2 * maxBufferedBytes
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.Load().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	a := s.Do(ctx, request.Request{Service: "shop", Body: bodyOf(length), ContentLength: length, Remaining: time.Minute, Objective: time.Minute, MayWait: true})
	is.True(a.IsNotRun())
	is.Equal(s.link.backlog(), time.Duration(0))
	is.Equal(len(s.link.sem), 0)
}

func TestLimitIsLiftedByTheResponseToAnEarlierRequest(t *testing.T) {
	is := is.New(t)
	clk := &clock.Fake{}
	s, _ := newStationAt(t, clk)
	at := func(d time.Duration) time.Duration { return s.now() + d }
	response := func(perSecond float64) *http.Response {
		res := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		if perSecond > 0 {
			platform.SetServerLimit(res.Header, perSecond)
		}
		return res
	}
	clk.Advance(time.Second)
	early := s.now()
	clk.Advance(time.Second)
	s.recordNotices("limited", announcement(1, 1), at(0), response(2))
	s.recordNotices("late", announcement(1, 1), early, response(0))
	is.Equal(s.Limit(), 2.0)
	s.recordNotices("late and higher", announcement(1, 1), early, response(4))
	is.Equal(s.Limit(), 2.0)
	s.recordNotices("late and lower", announcement(1, 1), early, response(1))
	is.Equal(s.Limit(), 1.0)
	clk.Advance(time.Millisecond)
	s.recordNotices("later and higher", announcement(1, 1), at(0), response(4))
	is.Equal(s.Limit(), 4.0)
	clk.Advance(time.Millisecond)
	s.recordNotices("later", announcement(1, 1), at(0), response(0))
	is.Equal(s.Limit(), 0.0)
}

// TestServerOfAnEarlierProcessMustAnnounceItself adopts servers that announce themselves in
// time, late or not at all, or has them announce themselves once, as a late announcement of
// a server that has left would. A server that is younger than the process need not go on.
func TestServerOfAnEarlierProcessMustAnnounceItself(t *testing.T) {
	const interval = time.Second
	const older, younger = clock.Time(1), clock.Time(61_000)
	for name, c := range map[string]struct {
		started   clock.Time
		adopted   time.Duration // from the start of the process, -1 for never
		announced []time.Duration
		want      []server.State
	}{
		"in time":                 {older, 0, []time.Duration{interval, 2 * interval}, []server.State{server.Up}},
		"never":                   {older, 0, nil, []server.State{server.Up, server.Lost}},
		"late":                    {older, 0, []time.Duration{3 * interval, 4 * interval}, []server.State{server.Up, server.Lost, server.Up}},
		"once":                    {older, 0, []time.Duration{interval}, []server.State{server.Up, server.Lost}},
		"adopted late":            {older, 2 * interval, nil, []server.State{server.Lost}},
		"announced once":          {older, -1, []time.Duration{interval}, []server.State{server.Up, server.Lost}},
		"announced twice":         {older, -1, []time.Duration{interval, 2 * interval}, []server.State{server.Up}},
		"twice, with a pause":     {older, -1, []time.Duration{interval, 5 * interval}, []server.State{server.Up, server.Lost, server.Up}},
		"announced, then adopted": {older, interval, []time.Duration{0, interval}, []server.State{server.Up}},
		"younger, announced once": {younger, -1, []time.Duration{2 * interval}, []server.State{server.Up}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Fake{}
			clk.Advance(time.Minute)
			var states []server.State
			s := New(Config{Address: "10.0.0.1:1", Drain: time.Second, AnnounceInterval: interval, Clock: clk, Log: hclog.NewNullLogger(),
				Announce: func(r server.Record) { states = append(states, r.State) }})
			for at := time.Duration(0); at < 8*interval; at += interval / 4 {
				if slices.Contains(c.announced, at) {
					is.NoErr(s.HandleAnnouncement(announcement(c.started, uint64(1+at))))
				}
				if at == c.adopted {
					s.Adopt(server.Record{Instance: "i", Service: "shop", Slots: 2, Started: older})
				}
				s.expire()
				clk.Advance(interval / 4)
			}
			is.Equal(states, c.want)
		})
	}
}

// TestWaitEndsBeforeTheDeadline lets a request wait for a slot that does not become free. The
// node that sent it must learn before the deadline that it has not run: after that it has
// to respond as if the request may have run.
func TestWaitEndsBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	for id := range uint64(2) {
		_, ok := s.queue.Offer(0, admission.Item{ID: 100 + id, Deadline: time.Hour}, true)
		is.True(ok)
	}
	is.Equal(len(s.queue.Start(0)), 2)
	const left = 400 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	a := s.Do(ctx, request.Request{Service: "shop", Remaining: left, Objective: left, MayWait: true})
	is.NoErr(ctx.Err())
	is.True(a.IsNotRun())
	is.Equal(gd.KindOf(a.Err), gd.DeadlineUnreachable)
}
