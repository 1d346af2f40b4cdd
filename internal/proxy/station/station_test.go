package station

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// newAnnouncedStation returns a station whose server has announced itself, and the states
// that it makes known.
func newAnnouncedStation(t *testing.T) (*Station, *[]server.State) {
	t.Helper()
	var states []server.State
	s := New(Config{
		Node: "own", Address: "10.0.0.1:1", Service: "shop", LinkMbps: 5, Drain: time.Second,
		Clock: &clock.Fake{}, Log: hclog.NewNullLogger(),
		Announce: func(r server.Record) { states = append(states, r.State) },
		Report:   func([]quarantine.Report) {},
		Verdict:  func(quarantine.Fingerprint) quarantine.Verdict { return quarantine.Clear },
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

// TestBusyLinkRefusesLargeBodies that may not wait, before they are sent.
func TestBusyLinkRefusesLargeBodies(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	s.link.addPending(100_000) // 160 ms at 5 Mbit/s
	a := s.Do(context.Background(), request.Request{Service: "shop", Body: bodyOf(50_000), ContentLength: 50_000, Left: time.Second})
	is.True(gd.QueueFull.Is(a.Err))
	is.True(a.IsNotRun())
	is.Equal(a.Load.Link, 160*time.Millisecond)
}

// TestOrderOfAnnouncements takes announcements as they may come: late, of an
// earlier start, of another address, after the server has left.
func TestOrderOfAnnouncements(t *testing.T) {
	is := is.New(t)
	s, states := newAnnouncedStation(t)
	draining := announcement(1, 3)
	draining.Draining = true
	is.NoErr(s.HandleAnnouncement(draining))
	is.NoErr(s.HandleAnnouncement(announcement(1, 2))) // late
	is.NoErr(s.HandleAnnouncement(announcement(1, 4))) // a server that leaves does not come back
	is.Equal(*states, []server.State{server.Up, server.Draining})
	s.HandleLeave("i", 1)
	is.NoErr(s.HandleAnnouncement(announcement(1, 5)))
	is.Equal(*states, []server.State{server.Up, server.Draining, server.Gone})
	is.NoErr(s.HandleAnnouncement(announcement(2, 1))) // the next start under the same name
	s.HandleLeave("i", 1)                              // late notice of the one before
	is.NoErr(s.HandleAnnouncement(announcement(1, 9)))
	is.Equal(*states, []server.State{server.Up, server.Draining, server.Gone, server.Up})
	other := announcement(3, 1)
	other.Address = "10.0.0.2:1"
	is.True(gd.Invalid.Is(s.HandleAnnouncement(other)))
}

// TestLeaveBeforeFirstAnnouncement tells a node that has just started of its
// leave, without saying which start of it leaves. Announcements of that start
// are late; the next start is a new server.
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

// TestDelayedRequest has requests come that were on their way for longer than
// usual: what is left of their time is shorter, and those that were very late
// do not reach the server, for their clients may have left.
func TestDelayedRequest(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	r := request.Request{Service: "shop", Left: time.Second, Objective: time.Second, Delayed: maxTransitDelay + time.Millisecond}
	a := s.Do(context.Background(), r)
	is.True(gd.QueueFull.Is(a.Err)) // another server may be asked
	is.True(a.IsNotRun())
	is.Equal(a.Load.Way, r.Delayed)
	r.Delayed, r.Left = maxTransitDelay, maxTransitDelay
	a = s.Do(context.Background(), r)
	is.True(gd.Hopeless.Is(a.Err)) // its time is up
	is.True(a.IsNotRun())
}
