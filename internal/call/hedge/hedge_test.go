package hedge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

// TestShareHoldsInEveryWindow sends random requests that all want a second attempt. In no
// window may there be more second attempts than the share of the requests in it allows; buckets
// that lie in the window partly could hide some.
func TestShareHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		h := New(Limits{MaxShare: share})
		var requests, hedges []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			h.AddRequest(now)
			requests = append(requests, now)
			for range 2 * minSamples {
				h.AddTime(now, "read", time.Millisecond)
			}
			if h.Decide(now, Attempt{Class: "read", Left: time.Second, FreeRatio: 1}) != Allowed {
				continue
			}
			h.Sent(now)
			hedges = append(hedges, now)
			if float64(countSince(hedges, now-shareWindow)) > share*float64(countSince(requests, now-shareWindow)) {
				t.Fatalf("too many second attempts in the 10 s before %s", now)
			}
		}
	})
}

func countSince(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}

// TestDelay checks that a second attempt waits for evidence, for the percentile within its
// bounds, and is not sent when it cannot end before the deadline.
func TestDelay(t *testing.T) {
	is := is.New(t)
	h := New(Limits{MaxShare: 1})
	delay := func(now, left time.Duration) time.Duration {
		d, ok := h.Delay(now, "read", left)
		if !ok {
			return -1
		}
		return d
	}
	for i := range minSamples {
		is.Equal(delay(0, time.Minute), time.Duration(-1)) // too little evidence
		h.AddTime(0, "read", time.Duration(i+1)*10*time.Millisecond)
	}
	is.Equal(delay(0, time.Minute), 390*time.Millisecond)
	is.Equal(delay(0, 600*time.Millisecond), 300*time.Millisecond) // half the time to the deadline
	is.Equal(delay(0, 400*time.Millisecond), time.Duration(-1))    // the median is 210 ms
	is.Equal(delay(2*time.Minute, time.Minute), time.Duration(-1)) // the evidence is old
	for range maxSamples {
		h.AddTime(3*time.Minute, "read", time.Millisecond)
	}
	is.Equal(delay(3*time.Minute, time.Minute), minDelay)
}

// TestOverload checks each sign of overload, and that a few refusals are none.
func TestOverload(t *testing.T) {
	is := is.New(t)
	h := New(Limits{MaxShare: 1})
	for range 100 {
		h.AddRequest(0)
		h.AddTime(0, "read", time.Millisecond)
		h.AddAttempt(0, "shop", false)
	}
	calm := Attempt{Class: "read", Service: "shop", Left: time.Second, FreeRatio: 0.5}
	is.Equal(h.Decide(0, calm), Allowed)
	full, short, late := calm, calm, calm
	full.FreeRatio, short.BudgetUse, late.Left = 0.1, 0.6, 0
	is.Equal(h.Decide(0, full), Overloaded)
	is.Equal(h.Decide(0, short), Overloaded)
	is.Equal(h.Decide(0, late), TooLate)
	for range 2 {
		h.AddAttempt(0, "shop", true)
	}
	is.Equal(h.Decide(0, calm), Allowed)
	for range 3 {
		h.AddAttempt(0, "shop", true)
	}
	is.Equal(h.Decide(0, calm), Overloaded)
	is.Equal(h.Decide(6*time.Second, calm), Allowed) // the refusals have left their window
	is.Equal(h.Decide(11*time.Second, calm), OverLimit)
}
