package station

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

// TestSuspectsOfACrash ends requests in several ways before a crash of the server. Those
// to which the crash may be due must be reported, no others, and one that alone may have
// been at the server must be marked so.
func TestSuspectsOfACrash(t *testing.T) {
	type end struct {
		fp     quarantine.Fingerprint
		ending ending
		before time.Duration // from the end to the crash
	}
	const deadline = time.Second
	for name, c := range map[string]struct {
		ends    []end
		running []quarantine.Fingerprint
		want    map[quarantine.Fingerprint]bool // whether it was alone
	}{
		"none":                         {},
		"interrupted":                  {ends: []end{{1, interrupted, 0}}, want: map[quarantine.Fingerprint]bool{1: true}},
		"interrupted long before":      {ends: []end{{1, interrupted, crashWindow + time.Millisecond}}},
		"abandoned":                    {ends: []end{{1, abandoned, deadline + crashWindow}}, want: map[quarantine.Fingerprint]bool{1: true}},
		"abandoned long before":        {ends: []end{{1, abandoned, deadline + crashWindow + time.Millisecond}}},
		"completed":                    {ends: []end{{1, completed, settleTime}}, want: map[quarantine.Fingerprint]bool{1: true}},
		"completed long before":        {ends: []end{{1, completed, settleTime + time.Millisecond}}},
		"interrupted, others complete": {ends: []end{{1, completed, 0}, {2, interrupted, 0}}, want: map[quarantine.Fingerprint]bool{1: false, 2: true}},
		"two at the server":            {ends: []end{{1, abandoned, 0}, {2, interrupted, 0}}, want: map[quarantine.Fingerprint]bool{1: false, 2: false}},
		"same twice":                   {ends: []end{{1, abandoned, 0}, {1, interrupted, 0}}, want: map[quarantine.Fingerprint]bool{1: true}},
		"still running":                {ends: []end{{1, interrupted, 0}}, running: []quarantine.Fingerprint{2}, want: map[quarantine.Fingerprint]bool{1: false, 2: false}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Fake{}
			s, _ := newStationAt(t, clk)
			s.probing = true // no probe of the address
			got := map[quarantine.Fingerprint]bool{}
			s.cfg.Report = func(list []quarantine.Report) {
				for _, r := range list {
					got[r.Fingerprint] = r.Alone
				}
			}
			for _, e := range c.ends {
				s.recordEnding(exchanged{e.fp, s.server, s.now() + deadline}, e.ending)
			}
			for i, fp := range c.running {
				s.beginExchange(uint64(i), exchanged{fp, s.server, s.now() + deadline})
			}
			for _, e := range c.ends {
				clk.Advance(e.before)
				break
			}
			s.markDown(s.now(), nil)
			if c.want == nil {
				c.want = map[quarantine.Fingerprint]bool{}
			}
			is.Equal(got, c.want)
		})
	}
}

// TestServerThatRestartsAtOnceHasCrashed announces the next start of a server that no
// probe has found down. The request that was interrupted before must be reported.
func TestServerThatRestartsAtOnceHasCrashed(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	s.probing = true
	var got []quarantine.Report
	s.cfg.Report = func(list []quarantine.Report) { got = append(got, list...) }
	s.recordEnding(exchanged{1, s.server, time.Second}, interrupted)
	is.NoErr(s.HandleAnnouncement(announcement(2, 1)))
	is.Equal(len(got), 1)
	s.recordEnding(exchanged{1, announcement(1, 1), time.Second}, interrupted) // at the earlier server
	is.NoErr(s.HandleAnnouncement(announcement(3, 1)))
	is.Equal(len(got), 1)
	s.recordEnding(exchanged{1, s.server, time.Second}, interrupted)
	s.HandleLeave("i", 3) // a planned end
	is.NoErr(s.HandleAnnouncement(announcement(clock.Time(time.Minute.Milliseconds()), 1)))
	is.Equal(len(got), 1)
}
