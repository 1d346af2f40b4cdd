package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// overload is a simulated load of requests of several workspaces on one queue.
type overload struct {
	slots      int
	work       time.Duration
	load       []float64 // by workspace, relative to the slots
	duration   time.Duration
	isShared   bool // the queue knows the workspaces
	seed       uint64
	objective  time.Duration
	workFactor []float64 // by workspace, on work; nil for 1
}

// run returns the fraction of the requests of each workspace, and of all, that were served
// within their objective.
func (o overload) run() (byWorkspace []float64, all float64) {
	rng := rand.New(rand.NewPCG(o.seed, 1))
	q := New(o.slots)
	type request struct {
		workspace int
		ends      time.Duration
		item      Item
	}
	requests := map[uint64]*request{}
	offered, served := make([]int, len(o.load)), make([]int, len(o.load))
	factor := func(w int) float64 {
		if o.workFactor == nil {
			return 1
		}
		return o.workFactor[w]
	}
	start := func(now time.Duration) {
		for _, it := range q.Start(now) {
			r := requests[it.ID]
			r.ends = now + time.Duration(rng.ExpFloat64()*float64(o.work)*factor(r.workspace))
		}
	}
	id := uint64(0)
	for now := time.Duration(0); now < o.duration; now += ms {
		for _, id := range slices.Sorted(func(yield func(uint64) bool) {
			for id, r := range requests {
				if r.ends > 0 && r.ends <= now && !yield(id) {
					return
				}
			}
		}) {
			r := requests[id]
			if q.Done(now, id, true); now <= r.item.Objective {
				served[r.workspace]++
			}
			delete(requests, id)
			start(now)
		}
		for w, load := range o.load {
			if rng.Float64() >= load*float64(o.slots)/(float64(o.work/ms)*factor(w)) {
				continue
			}
			id++
			offered[w]++
			it := Item{ID: id, Class: "read", Priority: 2, RoutePriority: 2, Objective: now + o.objective, Deadline: now + 4*o.objective}
			if o.isShared {
				it.Workspace = fmt.Sprint("w", w)
			}
			if _, ok := q.Offer(now, it, true); ok {
				requests[id] = &request{workspace: w, item: it}
				start(now)
			}
		}
		if now%(50*ms) == 0 {
			for _, e := range q.Expire(now) {
				delete(requests, e.ID)
			}
		}
	}
	sum, total := 0, 0
	for w := range o.load {
		byWorkspace = append(byWorkspace, float64(served[w])/float64(max(offered[w], 1)))
		sum, total = sum+served[w], total+offered[w]
	}
	return byWorkspace, float64(sum) / float64(total)
}

// TestHeavyWorkspacePaysForItself plays one workspace at 7 times its usual load, with a
// total load of 1.3 times the slots. Before queues knew the workspaces, the requests of
// all were refused alike. Now the others must be served nearly as without the overload,
// and none less than a quarter as often as all.
func TestHeavyWorkspacePaysForItself(t *testing.T) {
	const usual = 1.3 / 16 // ten workspaces, one of them seven times
	for seed := range uint64(3) {
		o := overload{slots: 6, work: 160 * ms, duration: 30 * time.Second, objective: 600 * ms, seed: seed}
		for range 10 {
			o.load = append(o.load, usual)
		}
		o.isShared = true
		quiet, _ := o.run()
		o.load[0] = 7 * usual
		shared, all := o.run()
		o.isShared = false
		before, allBefore := o.run()
		t.Logf("seed %d: heavy %.2f, was %.2f; others %.2f, were %.2f, %.2f without it; all %.2f, were %.2f",
			seed, shared[0], before[0], mean(shared[1:]), mean(before[1:]), mean(quiet[1:]), all, allBefore)
		if mean(shared[1:]) < mean(quiet[1:])-0.07 {
			t.Errorf("seed %d: the others are served %.2f of their requests, %.2f without the heavy one", seed, mean(shared[1:]), mean(quiet[1:]))
		}
		for w, served := range shared {
			if served < all/4 {
				t.Errorf("seed %d: workspace %d is served %.2f of its requests, all are %.2f", seed, w, served, all)
			}
		}
		if all < allBefore-0.03 {
			t.Errorf("seed %d: %.2f of all are served, %.2f without shares", seed, all, allBefore)
		}
	}
}

// TestLargeWorkspaceIsNotStarved plays a large workspace beside many small ones that want
// all slots. An equal share of the slots would leave it far fewer than a quarter of what
// the others get of their requests.
func TestLargeWorkspaceIsNotStarved(t *testing.T) {
	o := overload{slots: 6, work: 160 * ms, duration: 30 * time.Second, objective: 600 * ms, isShared: true, load: []float64{1}}
	for range 40 {
		o.load = append(o.load, 0.025)
	}
	shared, all := o.run()
	t.Logf("large %.2f, small %.2f, all %.2f", shared[0], mean(shared[1:]), all)
	for w, served := range shared {
		if served < all/4 {
			t.Errorf("workspace %d is served %.2f of its requests, all are %.2f", w, served, all)
		}
	}
}

// TestSharesAreOfSlotTime plays two workspaces that both want all slots, with the same
// number of requests but different slot times. Their shares of the slot time are equal.
func TestSharesAreOfSlotTime(t *testing.T) {
	o := overload{slots: 6, work: 100 * ms, duration: 30 * time.Second, objective: 600 * ms, isShared: true, load: []float64{1, 1}, workFactor: []float64{0.5, 1.5}}
	shared, _ := o.run()
	t.Logf("served %.2f", shared)
	// Both ask for the same slot time, so equal shares are equal fractions of the requests.
	if shared[0] < 0.75*shared[1] || shared[1] < 0.75*shared[0] {
		t.Errorf("served %.2f of the requests with short slot times, %.2f of those with long ones", shared[0], shared[1])
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// TestItemsWithoutWorkspaceKeepTheirOrder compares random items in a queue that has served
// workspaces with the order of priority and objective.
func TestItemsWithoutWorkspaceKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	q := newQueue(1, 10*ms)
	q.shares.charge(0, "a", time.Second)
	for id := range uint64(50) {
		q.waiting = append(q.waiting, Item{
			ID: id, Class: "read", Priority: rng.IntN(3), RoutePriority: rng.IntN(3), Objective: time.Duration(rng.IntN(900)) * ms, Deadline: time.Hour,
		})
	}
	q.order(0)
	is.True(slices.IsSortedFunc(q.waiting, func(a, b Item) int {
		if onTime := q.meetsObjective(0, a); onTime != q.meetsObjective(0, b) {
			if onTime {
				return -1
			}
			return 1
		}
		return (a.Priority-b.Priority)*1e6 + int((a.Objective-b.Objective)/ms)*1e2 + int(a.ID) - int(b.ID)
	}))
}

// TestCallsGoFirst checks that a call of a running request precedes new requests of its
// priority, and that a workspace that has used more slot time than another one comes after it.
func TestCallsGoFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue(1, 10*ms)
	q.shares.charge(0, "a", 150*ms)
	item := func(id uint64, workspace string, priority int, objective time.Duration) Item {
		return Item{ID: id, Class: "read", Workspace: workspace, Priority: priority, Objective: objective, Deadline: time.Hour}
	}
	q.overloadedUntil = time.Second
	q.waiting = []Item{
		item(1, "a", 1, 100*ms), item(2, "b", 1, 500*ms), item(3, "b", 1, 600*ms), item(4, "b", 1, 700*ms), item(5, "", 1, 800*ms), item(6, "a", 0, 900*ms),
	}
	q.order(0)
	var order []uint64
	for _, it := range q.waiting {
		order = append(order, it.ID)
	}
	is.Equal(order, []uint64{6, 5, 2, 3, 4, 1})
}

// TestWorkspacesAreBounded checks that the state does not grow with the number of workspaces.
func TestWorkspacesAreBounded(t *testing.T) {
	is := is.New(t)
	var s shares
	for i := range 3 * maxWorkspaces {
		s.charge(0, fmt.Sprint(i), time.Second)
	}
	is.True(len(s.workspaces) <= maxWorkspaces+1)
	s.charge(time.Hour, "new", time.Second)
	is.True(s.workspaces["new"] != nil)
}
