package station

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

// exchangeOf returns an exchange of a request with the given target, or of one to /upload
// with the given body, of which only the first bytes have been sent.
func exchangeOf(s *Station, target, body string, sent int) *exchange {
	x := &exchange{sentTo: s.server, deadline: s.now() + time.Second}
	if body == "" {
		x.body = newSentBody(quarantine.NewHash("web", "GET", target), nil, 0)
		return x
	}
	x.body = newSentBody(quarantine.NewHash("web", "POST", target).WithLength(int64(len(body))), io.NopCloser(strings.NewReader(body)), int64(len(body)))
	_, _ = io.CopyN(io.Discard, x.body, int64(sent)) // fails at the end of the body
	return x
}

// TestSuspectsOfACrash ends requests in several ways some time before a crash of the server.
// Those to which the crash may be due must be reported, no others, and one that alone may
// have been at the server must be marked so.
func TestSuspectsOfACrash(t *testing.T) {
	type suspects = map[string]bool // by target, whether it was alone
	type ends = map[string]ending
	for name, c := range map[string]struct {
		ends    ends
		before  time.Duration // from the ends to the crash
		silent  bool          // the server has responded to nothing since
		running []string
		want    suspects
	}{
		"none":                         {want: suspects{}},
		"interrupted":                  {ends: ends{"/a": interrupted}, want: suspects{"/a": true}},
		"interrupted long before":      {ends: ends{"/a": interrupted}, before: crashWindow + time.Millisecond, want: suspects{}},
		"abandoned":                    {ends: ends{"/a": abandoned}, before: time.Second + crashWindow, want: suspects{"/a": true}},
		"abandoned long before":        {ends: ends{"/a": abandoned}, before: time.Second + crashWindow + time.Millisecond, want: suspects{}},
		"abandoned at a silent server": {ends: ends{"/a": abandoned}, before: time.Second + crashWindow + maxSilence, silent: true, want: suspects{"/a": true}},
		"silent for too long":          {ends: ends{"/a": abandoned}, before: time.Second + crashWindow + maxSilence + time.Millisecond, silent: true, want: suspects{}},
		"completed":                    {ends: ends{"/a": completed}, before: settleTime, want: suspects{"/a": true}},
		"completed long before":        {ends: ends{"/a": completed}, before: settleTime + time.Millisecond, want: suspects{}},
		"interrupted, others complete": {ends: ends{"/a": completed, "/b": interrupted}, want: suspects{"/a": false, "/b": true}},
		"two at the server":            {ends: ends{"/a": abandoned, "/b": interrupted}, want: suspects{"/a": false, "/b": false}},
		"still running":                {ends: ends{"/a": interrupted}, running: []string{"/b"}, want: suspects{"/a": false, "/b": false}},
		"same twice":                   {ends: ends{"/a": abandoned}, running: []string{"/a"}, want: suspects{"/a": true}},
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
			for target, e := range c.ends {
				s.recordEnding(exchangeOf(s, target, "", 0), e)
			}
			for i, target := range c.running {
				s.beginExchange(uint64(i), exchangeOf(s, target, "", 0))
			}
			clk.Advance(c.before)
			if !c.silent {
				s.respondedAt = s.now()
			}
			s.markDown(s.now(), nil)
			want := map[quarantine.Fingerprint]bool{}
			for target, alone := range c.want {
				want[quarantine.FingerprintOf("web", "GET", target, nil)] = alone
			}
			is.Equal(got, want)
		})
	}
}

// TestFingerprintOfAPartOfABody interrupts uploads while their bodies are sent. The reports
// must name the longest prefix with a fingerprint, or else the length of the body.
func TestFingerprintOfAPartOfABody(t *testing.T) {
	body := strings.Repeat("x", 5000)
	for _, c := range []struct{ sent, want int }{{5001, 5000}, {4999, 4096}, {1024, 1024}, {1023, -1}, {0, -1}} {
		t.Run(strconv.Itoa(c.sent), func(t *testing.T) {
			is := is.New(t)
			s, _ := newAnnouncedStation(t)
			s.probing = true
			var got []quarantine.Report
			s.cfg.Report = func(list []quarantine.Report) { got = list }
			s.recordEnding(exchangeOf(s, "/upload", body, c.sent), interrupted)
			s.markDown(s.now(), nil)
			if c.want < 0 {
				is.Equal(got[0].Fingerprint, quarantine.NewHash("web", "POST", "/upload").WithLength(5000).Longest())
				return
			}
			is.Equal(got[0].Fingerprint, quarantine.FingerprintOf("web", "POST", "/upload", []byte(body[:c.want])))
			is.Equal(got[0].Head, quarantine.FingerprintOf("web", "POST", "/upload", nil))
		})
	}
}

// TestInnocentRequests ends requests well, with errors and before a crash. Only those that
// ran well on a server which ran on are innocent.
func TestInnocentRequests(t *testing.T) {
	for name, c := range map[string]struct {
		ranWell, crashes bool
		want             int
	}{
		"ran well":             {true, false, 1},
		"ran into an error":    {false, false, 0},
		"ran well, then crash": {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Fake{}
			s, _ := newStationAt(t, clk)
			innocent := 0
			s.cfg.Innocent = func([]quarantine.Fingerprint) { innocent++ }
			x := exchangeOf(s, "/a", "", 0)
			x.ranWell = c.ranWell
			s.recordEnding(x, completed)
			if c.crashes {
				s.markDown(s.now(), nil)
			}
			clk.Advance(settleTime + time.Millisecond)
			s.pruneSuspects(s.now())
			is.Equal(innocent, c.want)
		})
	}
}

// TestServerThatRestartsAtOnceHasCrashed announces the next start of a server that no
// probe has found down. The request that was interrupted before must be reported.
func TestServerThatRestartsAtOnceHasCrashed(t *testing.T) {
	is := is.New(t)
	s, _ := newAnnouncedStation(t)
	s.probing = true
	reports := 0
	s.cfg.Report = func(list []quarantine.Report) { reports += len(list) }
	earlier := exchangeOf(s, "/a", "", 0)
	s.recordEnding(earlier, interrupted)
	is.NoErr(s.HandleAnnouncement(announcement(2, 1)))
	is.Equal(reports, 1)
	s.recordEnding(earlier, interrupted) // at the server that has crashed
	is.NoErr(s.HandleAnnouncement(announcement(3, 1)))
	is.Equal(reports, 1)
	s.recordEnding(exchangeOf(s, "/a", "", 0), interrupted)
	s.HandleLeave("i", 3) // a planned end
	is.NoErr(s.HandleAnnouncement(announcement(clock.Time(time.Minute.Milliseconds()), 1)))
	is.Equal(reports, 1)
}
