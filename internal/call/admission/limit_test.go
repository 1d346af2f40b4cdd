package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
)

// TestLimitBoundsTheStartsInEveryWindow starts random requests at a server whose limit
// changes, and checks that it gets no more in 4 s than the platform tolerates.
func TestLimitBoundsTheStartsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		perSecond := rapid.Float64Range(0, 30).Draw(t, "limit")
		q := newQueue(6, 100*ms)
		var now time.Duration
		q.SetLimit(now, perSecond)
		var starts, running []time.Duration
		ids := []uint64{}
		for id := range uint64(400) {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * ms
			for len(ids) > 0 && now-running[0] >= 100*ms {
				q.Done(now, ids[0], true)
				ids, running = ids[1:], running[1:]
			}
			q.Offer(now, newRead(id+2, now, time.Second, 2*time.Second), rapid.Bool().Draw(t, "may wait"))
			for _, it := range q.Start(now) {
				starts, ids, running = append(starts, now), append(ids, it.ID), append(running, now)
			}
			q.Expire(now)
		}
		for i, from := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at-from < window {
					n++
				}
			}
			if tolerated := 1.5*perSecond*window.Seconds() + 5; float64(n) > tolerated {
				t.Fatalf("%d requests started in %s, %.1f are tolerated", n, window, tolerated)
			}
		}
	})
}

func TestLimitedServer(t *testing.T) {
	is := is.New(t)
	q := newQueue(6, 100*ms)
	q.SetLimit(0, 10)
	is.True(!q.HasRoom(0)) // the requests of before the limit are still running
	is.Equal(q.LimitWait(0), 100*ms)
	is.True(q.HasRoom(100 * ms))

	refusal, ok := q.Offer(0, newRead(2, 0, time.Second, 2*time.Second), false)
	is.True(!ok)
	is.Equal(refusal.Kind, gd.QueueFull)
	is.Equal(refusal.RetryAfter, 100*ms)
	refusal, ok = q.Offer(0, newRead(3, 0, time.Second, 150*ms), true) // no time for it after its turn
	is.True(!ok)
	is.Equal(refusal.Kind, gd.DeadlineUnreachable)

	_, ok = q.Offer(0, newRead(4, 0, time.Second, 2*time.Second), true)
	is.True(ok)
	order := Item{ID: 5, Class: "order", Priority: 1, Objective: time.Second, Deadline: 2 * time.Second}
	_, ok = q.Offer(0, order, true)
	is.True(ok)
	is.Equal(len(q.Start(0)), 0)
	wait, ok := q.NextStart(0)
	is.True(ok)
	is.Equal(wait, 100*ms)
	started := q.Start(100 * ms)
	is.Equal(len(started), 1)
	is.Equal(started[0].ID, order.ID) // the one of higher priority gets the turn
	is.Equal(q.Waiting(), 1)

	q.RemoveLimit()
	is.Equal(len(q.Start(100*ms)), 1)
	_, ok = q.NextStart(100 * ms)
	is.True(!ok)
	is.True(q.HasRoom(100 * ms))
}

// TestLimitOfZeroAdmitsSomeRequests checks that the end of a limit can be detected.
func TestLimitOfZeroAdmitsSomeRequests(t *testing.T) {
	is := is.New(t)
	q := newQueue(6, 100*ms)
	q.SetLimit(0, 0)
	is.True(!q.HasRoom(time.Second))
	is.True(q.HasRoom(5 * time.Second))
}

// TestLimitedServerRefusesBodiesEarly checks that a body is not sent if the request could
// not start in time after it, but is sent if the limit admits it by then.
func TestLimitedServerRefusesBodiesEarly(t *testing.T) {
	is := is.New(t)
	q := newQueue(6, 100*ms)
	q.SetLimit(0, 2) // the next request in 500 ms
	const transfer = 100 * ms
	refusal, ok := q.OfferBody(0, newRead(2, 0, 550*ms, 2*time.Second), 0, transfer, true)
	is.True(!ok)
	is.Equal(refusal.Kind, gd.QueueFull)
	is.Equal(refusal.RetryAfter, 500*ms)
	refusal, ok = q.OfferBody(0, newRead(2, 0, 550*ms, 580*ms), 0, transfer, true)
	is.True(!ok)
	is.Equal(refusal.Kind, gd.DeadlineUnreachable)
	_, ok = q.OfferBody(0, newRead(2, 0, 800*ms, 2*time.Second), 0, transfer, true)
	is.True(ok)
	_, ok = q.OfferBody(400*ms, newRead(2, 400*ms, 300*ms, 2*time.Second), 0, transfer, true)
	is.True(ok)
}
