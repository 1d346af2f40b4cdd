package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

// TestRetriesInEveryWindowAreBounded runs random requests and retries on several
// nodes and checks the limit on retries in each window that starts at a retry.
func TestRetriesInEveryWindowAreBounded(t *testing.T) {
	limits := Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 12, RerunShare: 0.5, FirstShare: 0.5, OnceShare: 0.8}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = New(limits)
		}
		var requests, retries, reruns []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "repeat") {
				r := Retry{IsRerun: rapid.Bool().Draw(t, "rerun"), IsRepeat: rapid.Bool().Draw(t, "repeated"), IsOnce: rapid.Bool().Draw(t, "once")}
				if b.Take(now, "shop", nodes, r) {
					retries = append(retries, now)
					if r.IsRerun {
						reruns = append(reruns, now)
					}
				}
				continue
			}
			b.AddRequest(now, "shop")
			requests = append(requests, now)
		}
		for _, from := range retries {
			inWindow := count(retries, from, from+limits.Window)
			// Take compares each retry with the requests of the window that ends
			// at the retry, so the requests of the window before this one count
			// too.
			requested := count(requests, from-limits.Window, from+limits.Window)
			if float64(inWindow) > limits.Ratio*float64(requested)+limits.Slack {
				t.Fatalf("%d retries in the window that starts at %s, for %d requests", inWindow, from, requested)
			}
			rerun := count(reruns, from, from+limits.Window)
			if float64(rerun) > limits.RerunShare*(limits.Ratio*float64(requested)+limits.Slack) {
				t.Fatalf("%d reruns in the window that starts at %s, for %d requests", rerun, from, requested)
			}
		}
	})
}

func count(list []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range list {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Window: 10 * time.Second, Slack: 2, FirstShare: 1})
	is.True(b.Take(0, "a", 1, Retry{}))
	is.True(b.Take(0, "a", 1, Retry{}))
	is.True(!b.Take(0, "a", 1, Retry{}))
	is.True(b.Take(0, "b", 1, Retry{}))
	is.True(!b.Take(9*time.Second, "a", 1, Retry{}))
	is.True(b.Take(11*time.Second, "a", 1, Retry{})) // the earlier retries have left the window
	is.True(!b.Take(0, "c", 4, Retry{}))             // a quarter of the slack is less than one retry
}

// TestRetriesAreReserved checks that reruns and first attempts use their shares of
// the retries only, and that a repeated request may use what they left.
func TestRetriesAreReserved(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Window: 10 * time.Second, Slack: 6, RerunShare: 0.5, FirstShare: 0.5, OnceShare: 0.7})
	is.True(b.Take(0, "a", 1, Retry{}))
	is.True(b.Take(0, "a", 1, Retry{IsRerun: true}))
	is.True(b.Take(0, "a", 1, Retry{}))
	is.True(!b.Take(0, "a", 1, Retry{}))
	is.True(b.Take(0, "once", 1, Retry{IsOnce: true}))
	is.True(b.Take(0, "once", 1, Retry{IsOnce: true}))
	is.True(b.Take(0, "once", 1, Retry{IsOnce: true}))
	is.True(b.Take(0, "once", 1, Retry{IsOnce: true}))
	is.True(!b.Take(0, "once", 1, Retry{IsOnce: true})) // 0.7 of 6 is less than 5
	is.True(b.Take(0, "once", 1, Retry{IsRepeat: true, IsOnce: true}))
	is.True(b.Take(0, "a", 1, Retry{IsRerun: true, IsRepeat: true}))
	is.True(b.Take(0, "a", 1, Retry{IsRerun: true, IsRepeat: true}))
	is.True(!b.Take(0, "a", 1, Retry{IsRerun: true, IsRepeat: true}))
	is.True(b.Take(0, "a", 1, Retry{IsRepeat: true}))
	is.True(!b.Take(0, "a", 1, Retry{IsRepeat: true}))
}
