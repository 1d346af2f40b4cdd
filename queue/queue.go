// Package queue implements weighted fair queueing of the calls that wait for the
// slots of one backend server. Callers share the slots in proportion to their
// weights. Usage is measured in slot time, not in calls, so that long calls of one
// caller do not starve short calls of another.
package queue

import (
	"cmp"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	smoothing       = 0.2                    // weight of the newest slot time in a flow's moving average
	initialSlotTime = 5 * time.Millisecond   // mean slot time of a new flow
	slowFlowRatio   = 4                      // a flow whose mean slot time exceeds that of another by this factor leaves a slot free
	activePeriod    = 10 * time.Second       // slower flows leave a slot free for a flow until this long after its last call
	maxAloneWait    = 500 * time.Millisecond // once an item that must run alone has waited this long, no other item is started
)

// Item is a call that needs a slot.
type Item struct {
	ID       uint64
	Caller   string
	Weight   int           // at least 1
	Limit    int           // maximum number of waiting calls of the caller
	Deadline time.Duration // on the monotonic clock
	Alone    bool          // runs only while no other item runs

	submittedAt time.Duration
}

// Fair is the weighted fair queue of one server. It is not safe for concurrent
// use. Times are readings of the monotonic clock. Use New to create a Fair.
type Fair struct {
	slots             int
	flows             map[string]*flow // by caller
	running           map[uint64]run   // by the item's ID
	systemVirtualTime float64          // highest virtual time at which a flow was served
	aloneRunning      bool             // whether the running item runs alone
}

// flow is the queue of one caller.
type flow struct {
	caller      string
	weight      float64
	virtualTime float64       // virtual time of the flow: charged slot seconds divided by weight
	mean        time.Duration // moving average of the slot time
	waiting     []Item
	running     int
	lastSubmit  time.Duration // time of the last Submit
}

// run is an item that has a slot.
type run struct {
	item    Item
	flow    *flow
	started time.Duration
	charged time.Duration // slot time that was charged at the start
}

// New returns the queue of a server with the given number of slots, at least 1.
func New(slots int) *Fair {
	return &Fair{slots: max(slots, 1), flows: map[string]*flow{}, running: map[uint64]run{}}
}

// SetSlots changes the number of slots. It does not affect running calls.
func (f *Fair) SetSlots(n int) { f.slots = max(n, 1) }

// Slots returns the number of slots.
func (f *Fair) Slots() int { return f.slots }

// Running returns the number of slots in use.
func (f *Fair) Running() int { return len(f.running) }

// Waiting returns the number of waiting calls.
func (f *Fair) Waiting() int {
	n := 0
	for _, fl := range f.flows {
		n += len(fl.waiting)
	}
	return n
}

// Mean returns the average over all callers of the mean slot time.
func (f *Fair) Mean() time.Duration {
	if len(f.flows) == 0 {
		return 0
	}
	var sum time.Duration
	for _, fl := range f.flows {
		sum += fl.mean
	}
	return sum / time.Duration(len(f.flows))
}

// Submit adds the item to its caller's queue, or refuses it with an error of kind
// QueueFull or DeadlineUnreachable. A refused item never runs. Start must be called
// after Submit to assign a free slot.
func (f *Fair) Submit(now time.Duration, it Item) error {
	fl := f.flow(now, it)
	if len(fl.waiting) >= it.Limit {
		return gd.QueueFull.Errorf("%d calls of caller %s are waiting, the limit is %d", len(fl.waiting), it.Caller, it.Limit)
	}
	if wait := f.expectedWait(fl); it.Deadline-now < wait+fl.mean {
		return gd.DeadlineUnreachable.Errorf("the expected wait is %s, the deadline is in %s", wait, it.Deadline-now)
	}
	it.submittedAt = now
	fl.waiting = append(fl.waiting, it)
	return nil
}

// flow returns the flow of the item's caller. The virtual time of an idle flow is
// advanced to that of the queue, so that a flow gains no credit while it is idle.
func (f *Fair) flow(now time.Duration, it Item) *flow {
	fl, ok := f.flows[it.Caller]
	if !ok {
		fl = &flow{caller: it.Caller, mean: initialSlotTime}
		f.flows[it.Caller] = fl
	}
	if len(fl.waiting) == 0 && fl.running == 0 {
		fl.virtualTime = max(fl.virtualTime, f.systemVirtualTime)
	}
	fl.weight = float64(max(it.Weight, 1))
	fl.lastSubmit = now
	return fl
}

// expectedWait estimates the wait of the next item of fl: the time to serve the
// flow's backlog with its share of the slots, or the total backlog with all slots
// if that is less.
func (f *Fair) expectedWait(fl *flow) time.Duration {
	if len(f.running) < f.slots && f.Waiting() == 0 {
		return 0
	}
	weights, all := 0.0, time.Duration(0)
	for _, other := range f.flows {
		if len(other.waiting) > 0 || other.running > 0 || other == fl {
			weights += other.weight
		}
		all += time.Duration(len(other.waiting)) * other.mean
	}
	own := time.Duration(len(fl.waiting)) * fl.mean
	share := fl.weight / weights
	return min(time.Duration(float64(own)/(share*float64(f.slots))), all/time.Duration(f.slots))
}

// Start assigns the free slots to waiting items and returns these items in the
// order of their start.
func (f *Fair) Start(now time.Duration) []Item {
	var started []Item
	for len(f.running) < f.slots && !f.aloneRunning && !f.mustDrain(now) {
		fl := f.pick(now)
		if fl == nil {
			break
		}
		started = append(started, f.start(now, fl))
	}
	return started
}

// mustDrain reports whether no item may be started until the running ones have
// ended, because an item that must run alone has waited for too long.
func (f *Fair) mustDrain(now time.Duration) bool {
	if len(f.running) == 0 {
		return false
	}
	for _, fl := range f.flows {
		if len(fl.waiting) > 0 && fl.waiting[0].Alone && now-fl.waiting[0].submittedAt >= maxAloneWait {
			return true
		}
	}
	return false
}

// pick returns the eligible flow with the lowest virtual time, or nil.
func (f *Fair) pick(now time.Duration) *flow {
	var best *flow
	least := 0.0
	for _, fl := range f.flows {
		if len(fl.waiting) == 0 || !f.isEligible(now, fl) {
			continue
		}
		virtualTime := f.virtualTime(now, fl)
		if best == nil || cmp.Or(cmp.Compare(virtualTime, least), cmp.Compare(fl.caller, best.caller)) < 0 {
			best, least = fl, virtualTime
		}
	}
	return best
}

// isEligible reports whether the first waiting item of fl may be started.
func (f *Fair) isEligible(now time.Duration, fl *flow) bool {
	if fl.waiting[0].Alone && len(f.running) > 0 {
		return false
	}
	return fl.running < f.slots-1 || !f.mustLeaveSlot(now, fl)
}

// mustLeaveSlot reports whether fl must leave one slot free. A running call cannot
// be preempted, so if a caller with long calls used all slots, a caller with short
// calls would have to wait for a long call to end.
func (f *Fair) mustLeaveSlot(now time.Duration, fl *flow) bool {
	if f.slots < 2 {
		return false
	}
	for _, other := range f.flows {
		if other != fl && now-other.lastSubmit < activePeriod && fl.mean > slowFlowRatio*other.mean {
			return true
		}
	}
	return false
}

// virtualTime returns the virtual time of fl including the slot time of its
// running calls that exceeds what was charged at their start.
func (f *Fair) virtualTime(now time.Duration, fl *flow) float64 {
	virtualTime := fl.virtualTime
	if fl.running == 0 {
		return virtualTime
	}
	for _, r := range f.running {
		if r.flow == fl {
			virtualTime += max(0, now-r.started-r.charged).Seconds() / fl.weight
		}
	}
	return virtualTime
}

// start starts the first waiting item of fl and charges the mean slot time.
func (f *Fair) start(now time.Duration, fl *flow) Item {
	it := fl.waiting[0]
	fl.waiting = slices.Delete(fl.waiting, 0, 1)
	f.systemVirtualTime = max(f.systemVirtualTime, fl.virtualTime)
	fl.running++
	fl.virtualTime += fl.mean.Seconds() / fl.weight
	f.running[it.ID] = run{it, fl, now, fl.mean}
	f.aloneRunning = it.Alone
	return it
}

// Done frees the slot of the item and corrects the charge to the slot time that it
// took. It does nothing if the item is not running.
func (f *Fair) Done(now time.Duration, id uint64) {
	r, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	f.aloneRunning = f.aloneRunning && !r.item.Alone
	took := now - r.started
	r.flow.running--
	r.flow.virtualTime += (took - r.charged).Seconds() / r.flow.weight
	r.flow.mean += time.Duration(smoothing * float64(took-r.flow.mean))
}

// Cancel removes a waiting item. It reports whether the item was waiting, in which
// case it never runs.
func (f *Fair) Cancel(caller string, id uint64) bool {
	fl, ok := f.flows[caller]
	if !ok {
		return false
	}
	i := slices.IndexFunc(fl.waiting, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	fl.waiting = slices.Delete(fl.waiting, i, i+1)
	return true
}

// Expire removes and returns the waiting items whose deadline has passed.
func (f *Fair) Expire(now time.Duration) []Item {
	var expired []Item
	for _, fl := range f.flows {
		fl.waiting = slices.DeleteFunc(fl.waiting, func(it Item) bool {
			late := it.Deadline <= now
			if late {
				expired = append(expired, it)
			}
			return late
		})
	}
	slices.SortFunc(expired, func(a, b Item) int { return cmp.Compare(a.ID, b.ID) })
	return expired
}
