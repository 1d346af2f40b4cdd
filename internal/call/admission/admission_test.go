package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

const ms = time.Millisecond

// newQueue returns a queue whose requests have the given mean slot time.
func newQueue(slots int, mean time.Duration) *Queue {
	q := New(slots)
	q.Offer(0, Item{ID: 1, Class: "read", Objective: time.Hour, Deadline: time.Hour}, true)
	q.Start(0)
	q.Done(mean, 1, true)
	return q
}

func newRead(id uint64, now, objective, deadline time.Duration) Item {
	return Item{ID: id, Class: "read", Priority: 2, Objective: now + objective, Deadline: now + deadline}
}

func TestOffer(t *testing.T) {
	for name, c := range map[string]struct {
		running  int
		mayWait  bool
		item     Item
		accepted bool
		kind     gd.Kind
	}{
		"free slot":              {1, false, newRead(9, 0, 300*ms, 800*ms), true, 0},
		"no slot, may not wait":  {2, false, newRead(9, 0, 300*ms, 800*ms), false, gd.QueueFull},
		"no slot, may wait":      {2, true, newRead(9, 0, 400*ms, 800*ms), true, 0},
		"deadline too close":     {2, true, newRead(9, 0, 300*ms, 100*ms), false, gd.DeadlineUnreachable},
		"late, without overload": {2, true, newRead(9, 0, 0, 800*ms), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(2, 80*ms)
			for i := range c.running {
				_, ok := q.Offer(0, newRead(uint64(i+2), 0, time.Second, time.Second), true)
				is.True(ok)
			}
			is.Equal(len(q.Start(0)), c.running)
			refusal, ok := q.Offer(0, c.item, c.mayWait)
			is.Equal(ok, c.accepted)
			if !ok {
				is.Equal(refusal.Kind, c.kind)
				is.True(refusal.RetryAfter > 0)
				is.True(refusal.Kind.Is(refusal.Error()))
			}
		})
	}
}

// TestOrder checks that items start by priority and objective, and that an item
// that misses its objective starts last.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := newQueue(1, 10*ms)
	q.Offer(0, newRead(2, 0, time.Second, time.Second), true)
	is.Equal(len(q.Start(0)), 1)
	urgent := newRead(6, 0, 900*ms, 2*time.Second)
	urgent.Priority = 1
	late := newRead(3, 0, 5*ms, 2*time.Second)
	for _, it := range []Item{late, newRead(4, 0, 800*ms, 2*time.Second), newRead(5, 0, 700*ms, 2*time.Second), urgent} {
		_, ok := q.Offer(0, it, true)
		is.True(ok)
	}
	var order []uint64
	for now := 10 * ms; q.Running() > 0; now += 10 * ms {
		for id := range q.running {
			q.Done(now, id, true)
		}
		for _, it := range q.Start(now) {
			order = append(order, it.ID)
		}
	}
	is.Equal(order, []uint64{6, 5, 4, 3})
}

// TestSlotsAndItemsAreNeverLost compares the queue with a model under random
// events: each item is refused, runs once, expires or is canceled.
func TestSlotsAndItemsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := New(slots)
		waiting, running := map[uint64]bool{}, map[uint64]bool{}
		now, last := time.Duration(0), uint64(0)
		start := func() {
			for _, it := range q.Start(now) {
				if !waiting[it.ID] {
					t.Fatalf("item %d started but was not waiting", it.ID)
				}
				delete(waiting, it.ID)
				running[it.ID] = true
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * ms
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				last++
				it := Item{
					ID: last, Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
					Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
					Objective: now + time.Duration(rapid.IntRange(0, 300).Draw(t, "objective"))*ms,
					Deadline:  now + time.Duration(rapid.IntRange(0, 600).Draw(t, "deadline"))*ms,
				}
				if _, ok := q.Offer(now, it, rapid.Bool().Draw(t, "may wait")); ok {
					waiting[it.ID] = true
				}
			case 2:
				if ids := keys(running); len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(t, "done")
					q.Done(now, id, rapid.Bool().Draw(t, "whole"))
					delete(running, id)
				}
			case 3:
				for _, it := range q.Expire(now) {
					if !waiting[it.ID] {
						t.Fatalf("item %d expired but was not waiting", it.ID)
					}
					delete(waiting, it.ID)
				}
			case 4:
				if ids := keys(waiting); len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(t, "cancel")
					if !q.Cancel(id) {
						t.Fatalf("Cancel reports that the waiting item %d was not waiting", id)
					}
					delete(waiting, id)
				}
			}
			start()
			if q.Running() != len(running) || q.Waiting() != len(waiting) || q.Running() > slots {
				t.Fatalf("%d items running and %d waiting, want %d and %d with %d slots", q.Running(), q.Waiting(), len(running), len(waiting), slots)
			}
			if len(waiting) > 0 && q.Running() < slots {
				t.Fatalf("%d items wait while a slot is free", len(waiting))
			}
		}
	})
}

func keys(m map[uint64]bool) []uint64 {
	var list []uint64
	for id := range m {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func ExampleQueue() {
	q := New(1)
	for id := range uint64(2) {
		_, taken := q.Offer(0, Item{ID: id, Class: "read", Objective: time.Second, Deadline: 2 * time.Second}, true)
		fmt.Println(id, "taken:", taken, "starts:", len(q.Start(0)))
	}
	q.Done(50*ms, 0, true)
	fmt.Println("next:", q.Start(50 * ms)[0].ID)
	// Output:
	// 0 taken: true starts: 1
	// 1 taken: true starts: 0
	// next: 1
}

// TestBodiesOnABusyLink simulates ten seconds of uploads that take 96 ms each, at
// 1.5 times the capacity of the link. If OfferBody is ignored, nearly all of them
// miss their objective. Otherwise the link stays busy, and nearly all that it
// carries meet their objective.
func TestBodiesOnABusyLink(t *testing.T) {
	const (
		transfer  = 96 * time.Millisecond
		work      = 170 * time.Millisecond
		objective = 800 * time.Millisecond
		deadline  = 2 * time.Second
		length    = 10 * time.Second
	)
	for name, c := range map[string]struct {
		obeysRefusals bool    // whether refusals of OfferBody are obeyed
		least         float64 // bounds on the uploads that meet their objective, relative to the link's capacity
		most          float64
	}{
		"asked":   {true, 0.9, 1.1}, // above 1 because some transfers end after the ten seconds
		"unasked": {false, 0, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := New(6)
			q.classes["upload"] = work
			var busyUntil time.Duration
			inTime := 0
			for now := time.Duration(0); now < length; now += transfer * 2 / 3 {
				busy := max(0, busyUntil-now)
				it := Item{Class: "upload", Objective: now + objective, Deadline: now + deadline}
				if _, ok := q.OfferBody(now, it, busy, transfer, true); c.obeysRefusals && !ok {
					continue
				}
				busyUntil = now + busy + transfer
				if busyUntil+work <= it.Objective {
					inTime++
				}
			}
			share := float64(inTime) / float64(length/transfer)
			is.True(share >= c.least)
			is.True(share <= c.most)
		})
	}
}

// TestBodyBeyondDeadlineIsRefused checks that a body whose request cannot be
// served before its deadline is refused with the time after which the link is
// free.
func TestBodyBeyondDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	refusal, ok := New(6).OfferBody(0, Item{Objective: time.Second, Deadline: time.Second}, 900*time.Millisecond, 100*time.Millisecond, true)
	is.True(!ok)
	is.Equal(refusal.Kind, gd.DeadlineUnreachable)
	is.Equal(refusal.RetryAfter, 900*time.Millisecond)
}

// TestKindsOfExpiredItems expires an item that misses its deadline and, during
// overload, one that misses its objective. Only the first refusal is of kind
// DeadlineUnreachable; the second item may be served by another server.
func TestKindsOfExpiredItems(t *testing.T) {
	is := is.New(t)
	q := newQueue(1, 100*ms)
	for id, it := range []Item{
		newRead(0, 0, 2000*ms, 4000*ms), // takes the slot
		newRead(1, 0, 2000*ms, 210*ms),
		newRead(2, 0, 2000*ms, 4000*ms),
	} {
		it.ID = uint64(id)
		_, ok := q.Offer(0, it, true)
		is.True(ok)
		q.Start(0)
	}
	q.overloadedUntil = 4000 * ms
	expired := q.Expire(1950 * ms)
	is.Equal(len(expired), 2)
	kinds := map[uint64]gd.Kind{}
	for _, it := range expired {
		kinds[it.ID] = it.Refusal.Kind
	}
	is.Equal(kinds, map[uint64]gd.Kind{1: gd.DeadlineUnreachable, 2: gd.QueueFull})
}

// TestShortRequestsAreServedBesideLongOnes simulates ten seconds of a server with
// six slots at 1.2 times its capacity: 170 short requests a second, which requests
// in progress at another service make, and 30 uploads. Refusing a short request
// wastes the work of the request that made it, while its slot time is a fifth of
// that of an upload. So nearly all short requests must meet their objective.
func TestShortRequestsAreServedBesideLongOnes(t *testing.T) {
	const length = 10 * time.Second
	type class struct {
		name                      string
		perSecond                 float64
		work, objective, deadline time.Duration
	}
	classes := []class{
		{"call", 170, 22 * ms, 100 * ms, 250 * ms},
		{"upload", 30, 110 * ms, 400 * ms, 1000 * ms},
	}
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	q := New(6)
	type running struct {
		item Item
		end  time.Duration
	}
	var (
		runs            []running
		offered, inTime = map[string]int{}, map[string]int{}
		id              uint64
		next            = make([]time.Duration, len(classes))
		work            = map[string]time.Duration{}
		now, lastExpiry time.Duration
	)
	for ; now < length; now += ms {
		runs = slices.DeleteFunc(runs, func(r running) bool {
			if r.end > now {
				return false
			}
			q.Done(now, r.item.ID, true)
			if r.end <= r.item.Objective {
				inTime[r.item.Class]++
			}
			return true
		})
		for i, c := range classes {
			work[c.name] = c.work
			for ; next[i] <= now; next[i] += time.Duration(rnd.ExpFloat64() / c.perSecond * float64(time.Second)) {
				id++
				offered[c.name]++
				q.Offer(now, Item{ID: id, Class: c.name, Priority: 1, Objective: now + c.objective, Deadline: now + c.deadline}, true)
			}
		}
		if now-lastExpiry >= 50*ms {
			lastExpiry = now
			q.Expire(now)
		}
		for _, it := range q.Start(now) {
			runs = append(runs, running{it, now + time.Duration((0.5+rnd.Float64())*float64(work[it.Class]))})
		}
	}
	is.True(float64(inTime["call"]) >= 0.9*float64(offered["call"]))
	is.True(float64(inTime["upload"]) >= 0.3*float64(offered["upload"])) // uploads get the remaining capacity
}

// TestAbortedRequestsRevealSlowServer checks that the mean slot time rises if a
// server becomes so slow that all requests are aborted at their deadline, so that
// the next one is refused on arrival. Requests that callers abort early must not
// change the mean.
func TestAbortedRequestsRevealSlowServer(t *testing.T) {
	is := is.New(t)
	q := newQueue(1, 20*ms)
	now := time.Duration(0)
	end := func(after time.Duration) {
		it := newRead(7, now, 100*ms, 250*ms)
		_, ok := q.Offer(now, it, true)
		is.True(ok)
		q.Start(now)
		now += after
		q.Done(now, it.ID, false)
	}
	for range 50 {
		end(5 * ms)
	}
	is.Equal(q.Mean(), 20*ms)
	for range 20 {
		end(200 * ms)
	}
	q.Offer(now, newRead(8, now, time.Second, time.Second), true)
	q.Start(now)
	refusal, ok := q.Offer(now, newRead(9, now, 100*ms, 150*ms), true)
	is.True(!ok)
	is.Equal(refusal.Kind, gd.DeadlineUnreachable)
}
