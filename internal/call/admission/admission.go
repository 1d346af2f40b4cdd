// Package admission orders the requests that wait for the slots of one backend
// server and refuses those that cannot be served in time.
//
// It handles overload, as in a burst, with a slow server or after the loss of
// other servers. Requests that can still meet their latency objective go first,
// by priority and then by objective, because a later response has little value. A
// request that cannot be served before its deadline is refused on arrival, with
// the time after which the queue is expected to have drained.
//
// Within one priority, workspaces get equal shares of the slot time if they ask for it.
// Requests without a workspace, in a deployment that has workspaces, are calls of running
// requests and go before new requests of the same priority.
//
// A server in need states how many requests per second it accepts. The queue then
// starts no more than that, whether or not slots are free.
package admission

import (
	"cmp"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/limit"
)

const (
	defaultSlotTime  = 50 * time.Millisecond  // mean slot time until one has been measured
	smoothing        = 0.1                    // weight of the newest slot time in a moving average
	objectiveMargin  = 1.4                    // minimum time until the objective of a request, as a multiple of its mean slot time
	maxWaitRatio     = 0.15                   // maximum expected wait, relative to the time until the objective
	minMaxWait       = 50 * time.Millisecond  // lower bound of the maximum expected wait; with six slots and requests of 120 ms, a slot becomes free about every 20 ms
	overloadDuration = 500 * time.Millisecond // duration of the overload state after a refusal because the expected wait was too long
	minRetryAfter    = 20 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
	maxClasses       = 1024 // classes with their own mean slot time
)

// Item is a request for a slot. Objective and Deadline are readings of the
// monotonic clock.
type Item struct {
	ID            uint64
	Class         string        // requests of one class have similar slot times
	Workspace     string        // that pays for the slot time, "" if none does
	Priority      int           // 0 is the highest
	RoutePriority int           // orders items of one Priority and Workspace; 0 is the highest
	Objective     time.Duration // a response after this has little value
	Deadline      time.Duration // a response after this has no value

	rank int // step of the slot time of the workspace, see setRanks
}

// Queue is the queue of one server. It is not safe for concurrent use. Use New to
// create a Queue.
type Queue struct {
	slots           int
	waiting         []Item // ordered by precedes
	running         map[uint64]run
	classes         map[string]time.Duration // mean slot time by class
	mean            time.Duration            // mean slot time over all classes
	overloadedUntil time.Duration            // end of the overload state, in which items that could meet their objective are refused
	bucket          *limit.Bucket            // admits requests at the server's limit; nil if it has none
	shares          shares
}

// run is a request that has a slot.
type run struct {
	class     string
	workspace string
	started   time.Duration
	charged   time.Duration // slot time that was charged to the workspace at the start
}

// New returns the queue of a server with the given number of slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), running: map[uint64]run{}, classes: map[string]time.Duration{}}
}

// SetSlots changes the number of slots. It does not affect running requests.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 1) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Mean returns the mean slot time, or 0 if none was measured.
func (q *Queue) Mean() time.Duration { return q.mean }

// Refusal describes why a request was refused. A refused request never runs at
// this server.
type Refusal struct {
	Kind       gd.Kind       // QueueFull or DeadlineUnreachable
	Wait       time.Duration // expected wait
	RetryAfter time.Duration // time after which the queue is expected to have drained
	Remaining  time.Duration // time until the deadline
}

// Error returns r as an error of kind r.Kind.
func (r Refusal) Error() error {
	return r.Kind.Errorf("the expected wait is %s, the deadline is in %s", r.Wait, r.Remaining)
}

// HasRoom reports whether a new item would start at once.
func (q *Queue) HasRoom(now time.Duration) bool {
	return len(q.waiting) == 0 && len(q.running) < q.slots && q.limitWait(now, 1) == 0
}

// Offer adds an item to the queue, or returns a refusal and false. With mayWait
// false, the item is refused unless a slot is free. Start returns an accepted item
// when it gets its slot.
func (q *Queue) Offer(now time.Duration, it Item, mayWait bool) (Refusal, bool) {
	if q.HasRoom(now) {
		q.shares.offer(now, it)
		q.insert(now, it)
		return Refusal{}, true
	}
	if mayWait {
		q.shares.offer(now, it)
	}
	wait := q.expectedWait(now, it)
	refusal := Refusal{Kind: gd.QueueFull, Wait: wait, RetryAfter: q.retryAfter(now), Remaining: it.Deadline - now}
	if !mayWait {
		return refusal, false
	}
	slotTime := q.slotTime(it.Class)
	switch {
	case now+wait+slotTime > it.Deadline:
		refusal.Kind = gd.DeadlineUnreachable
		return refusal, false
	case q.isWaitAcceptable(now, wait, it), q.mayWaitLonger(now, wait, it):
	case q.meetsObjective(now, it):
		q.overloadedUntil = now + overloadDuration
		return refusal, false
	case !q.mayWaitLate(now, it):
		return refusal, false
	}
	q.insert(now, it)
	return Refusal{}, true
}

// maxFreeBacklog is the transfer time of the pending large bodies up to which the
// link counts as free. It is half the transfer time of a body of 60 KB at 5 Mbit/s.
const maxFreeBacklog = 50 * time.Millisecond

// OfferBody reports whether the large body of an item may be sent over the VM's
// link, before the item is offered to the queue. busy is the time until the link
// has received the pending bodies, and transfer is the transfer time of this one.
//
// OfferBody handles more uploads than the link can carry. Each accepted body
// delays all later ones, so items that would miss their objective are refused
// before a byte of the body is sent. With mayWait false, the link must be free.
func (q *Queue) OfferBody(now time.Duration, it Item, busy, transfer time.Duration, mayWait bool) (Refusal, bool) {
	limitWait := q.LimitWait(now)
	start := now + max(busy+transfer, limitWait)
	refusal := Refusal{Kind: gd.QueueFull, Wait: max(busy, limitWait), RetryAfter: min(max(busy, limitWait, minRetryAfter), maxRetryAfter), Remaining: it.Deadline - now}
	switch {
	case start+q.slotTime(it.Class) > it.Deadline:
		refusal.Kind = gd.DeadlineUnreachable
		return refusal, false
	case busy <= maxFreeBacklog && limitWait <= busy+transfer:
		return Refusal{}, true
	}
	return refusal, mayWait && q.meetsObjective(start, it)
}

// meetsObjective reports whether an item that starts at the given time is likely
// to meet its objective.
func (q *Queue) meetsObjective(start time.Duration, it Item) bool {
	return start+time.Duration(objectiveMargin*float64(q.slotTime(it.Class))) <= it.Objective
}

// isWaitAcceptable reports whether the item may be queued with the given expected
// wait. Slot times vary much more than waits. Longer waits therefore make fewer
// requests meet their objective without improving the use of the slots.
func (q *Queue) isWaitAcceptable(now, wait time.Duration, it Item) bool {
	return q.meetsObjective(now+wait, it) && wait <= max(minMaxWait, time.Duration(maxWaitRatio*float64(it.Objective-now)))
}

// mayWaitLate reports whether an item that will miss its objective may be queued.
// Such an item gets a slot only if no item that can meet its objective is waiting,
// so few of them may wait, and the queue must drain well before the deadline.
// During overload none may wait, because it would take a slot from an item that
// can meet its objective.
func (q *Queue) mayWaitLate(now time.Duration, it Item) bool {
	if now < q.overloadedUntil {
		return false
	}
	late := 0
	for _, w := range q.waiting {
		if !q.meetsObjective(now, w) {
			late++
		}
	}
	timeLeft := it.Deadline - now - q.slotTime(it.Class)
	return late < q.slots && 2*q.backlog(now) < timeLeft
}

// backlog returns the expected time to serve all waiting items.
func (q *Queue) backlog(now time.Duration) time.Duration {
	var work time.Duration
	for _, w := range q.waiting {
		work += q.slotTime(w.Class)
	}
	return max(work/time.Duration(q.slots), q.LimitWait(now))
}

func (q *Queue) retryAfter(now time.Duration) time.Duration {
	return min(max(q.backlog(now), minRetryAfter), maxRetryAfter)
}

// expectedWait estimates the wait of a new item: the time until a slot becomes
// free plus the slot times of the items that precede it, or the time until the
// server's limit admits it if that is longer.
func (q *Queue) expectedWait(now time.Duration, it Item) time.Duration {
	work, position := q.slotWait(), 1
	waiting := q.waiting
	if it.Workspace != "" {
		waiting = append(slices.Clone(waiting), it)
		q.setRanks(now, waiting)
		i := slices.IndexFunc(waiting, func(w Item) bool { return w.ID == it.ID })
		it = waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
	}
	for _, w := range waiting {
		if q.precedes(now, w, it) {
			work += q.slotTime(w.Class)
			position++
		}
	}
	return max(work/time.Duration(q.slots), q.limitWait(now, position))
}

// slotWait returns the slot time after which a slot becomes free, or 0 if one is free.
func (q *Queue) slotWait() time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	return q.typicalSlotTime()
}

// Wait returns the expected wait of a new request that all waiting ones precede.
func (q *Queue) Wait(now time.Duration) time.Duration {
	if q.HasRoom(now) {
		return 0
	}
	return q.backlog(now) + q.slotWait()/time.Duration(q.slots)
}

// typicalSlotTime returns the expected slot time of a request of unknown class.
func (q *Queue) typicalSlotTime() time.Duration {
	if q.mean == 0 {
		return defaultSlotTime
	}
	return q.mean
}

// slotTime returns the expected slot time of a request of the class.
func (q *Queue) slotTime(class string) time.Duration {
	if mean, ok := q.classes[class]; ok {
		return mean
	}
	return q.typicalSlotTime()
}

// precedes reports whether a gets a slot before b. Items that can meet their
// objective precede those that cannot; within each group the order is by priority, the
// recent slot time of the workspace, the priority of the route and the objective.
func (q *Queue) precedes(now time.Duration, a, b Item) bool {
	if onTime := q.meetsObjective(now, a); onTime != q.meetsObjective(now, b) {
		return onTime
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareWorkspaces(a, b),
		cmp.Compare(a.Objective, b.Objective),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

// compareWorkspaces compares items of one priority by what their workspaces have used.
// Calls of running requests, which have no workspace, go first: a refused call wastes the
// slot time of the run that makes it. Items without a workspace are equal.
func compareWorkspaces(a, b Item) int {
	switch {
	case a.Workspace == "" && b.Workspace == "":
		return 0
	case a.Workspace == "":
		return -1
	case b.Workspace == "":
		return 1
	}
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.RoutePriority, b.RoutePriority))
}

func (q *Queue) insert(now time.Duration, it Item) {
	q.waiting = append(q.waiting, it)
	q.order(now)
}

func (q *Queue) order(now time.Duration) {
	q.setRanks(now, q.waiting)
	q.sort(now, q.waiting)
}

func (q *Queue) sort(now time.Duration, items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		if q.precedes(now, a, b) {
			return -1
		}
		return 1
	})
}

// Start assigns the free slots to waiting items, as far as the server's limit admits
// them, and returns these items.
func (q *Queue) Start(now time.Duration) []Item {
	n := min(q.slots-len(q.running), len(q.waiting))
	if n <= 0 {
		return nil
	}
	q.order(now)
	started := 0
	for started < n && (q.bucket == nil || q.bucket.Take(now)) {
		it := q.waiting[started]
		charged := q.slotTime(it.Class)
		q.shares.start(now, it, charged)
		q.running[it.ID] = run{it.Class, it.Workspace, now, charged}
		started++
	}
	items := slices.Clone(q.waiting[:started])
	q.waiting = slices.Delete(q.waiting, 0, started)
	return items
}

// Expired is an item that was removed from the queue by Expire.
type Expired struct {
	Item
	Refusal Refusal
}

// Expire removes and returns the waiting items that can no longer be served
// before their deadline, with refusals of kind DeadlineUnreachable. During
// overload it also removes those that will miss their objective, with refusals of
// kind QueueFull, because another server may have room for them.
func (q *Queue) Expire(now time.Duration) []Expired {
	if len(q.waiting) == 0 {
		return nil
	}
	q.order(now)
	var expired []Expired
	work, position := q.slotWait()/2, 1
	q.waiting = slices.DeleteFunc(q.waiting, func(it Item) bool {
		slotTime, wait := q.slotTime(it.Class), max(work/time.Duration(q.slots), q.limitWait(now, position))
		refusal := Refusal{Kind: gd.QueueFull, Wait: wait, RetryAfter: q.retryAfter(now), Remaining: it.Deadline - now}
		switch {
		case now+wait+slotTime > it.Deadline:
			refusal.Kind = gd.DeadlineUnreachable
		case now >= q.overloadedUntil || q.meetsObjective(now, it) && !q.isDisplaced(now, wait, it):
			work += slotTime
			position++
			return false
		}
		expired = append(expired, Expired{it, refusal})
		return true
	})
	return expired
}

// isDisplaced reports whether an item of a workspace that is over its share would miss its
// objective because items of others have come before it. It is then refused at once,
// as its caller has more time for another attempt.
func (q *Queue) isDisplaced(now, wait time.Duration, it Item) bool {
	return !q.meetsObjective(now+wait, it) && q.isOver(now, it.Workspace, q.limit(now))
}

// Clear removes and returns all waiting items.
func (q *Queue) Clear() []Item {
	all := q.waiting
	q.waiting = nil
	return all
}

// Done frees the slot of an item. The slot time is measured if the item ran to
// completion. An item that was aborted is measured only if it ran for longer than
// the mean of its class, because its full slot time would have been longer still.
func (q *Queue) Done(now time.Duration, id uint64, completed bool) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	took := now - r.started
	q.shares.charge(now, r.workspace, took-r.charged)
	if !completed && took <= q.slotTime(r.class) {
		return
	}
	q.mean = smooth(q.mean, took)
	if mean, ok := q.classes[r.class]; ok || len(q.classes) < maxClasses {
		q.classes[r.class] = smooth(mean, took)
	}
}

func smooth(mean, took time.Duration) time.Duration {
	if mean == 0 {
		return took
	}
	return mean + time.Duration(smoothing*float64(took-mean))
}

// Cancel removes a waiting item. It reports whether the item was waiting, in
// which case it never runs.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}
