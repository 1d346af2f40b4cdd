// Package admission orders the requests that wait for the slots of one backend
// server and refuses those that cannot be served in time.
//
// It answers for more load than the server has slots for: a burst, a slow
// server, the loss of others. The requests that can still meet their latency
// objective go first, by rank and then by objective, for an answer after it is
// worth a fraction. What cannot be answered before its deadline is refused when
// it comes, with the time after which the queue will have drained, and not held.
package admission

import (
	"cmp"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	defaultSlotTime  = 50 * time.Millisecond  // slot time of a class before any was measured
	smoothing        = 0.1                    // weight of the newest slot time in a mean
	objectiveMargin  = 1.4                    // share of its mean slot time that a request is given to meet its objective
	maxWaitRatio     = 0.15                   // share of the time to its objective that a request may be expected to wait
	minMaxWait       = 50 * time.Millisecond  // wait that is always fit: a slot of six falls free in about 20 ms beside requests of 120 ms
	overloadDuration = 500 * time.Millisecond // how long a refusal for want of room tells of the next requests
	minRetryAfter    = 20 * time.Millisecond  // shortest time to come back that is named
	maxRetryAfter    = 2 * time.Second        // longest one
	maxClasses       = 1024                   // classes whose slot time is kept
)

// Item is a request that wants a slot. Instants are on the monotonic clock.
type Item struct {
	ID        uint64
	Class     string        // requests of one class take about the same time
	Priority  int           // rank, 0 is the highest
	Objective time.Duration // instant until which the answer has its full value
	Deadline  time.Duration // instant after which it has none
}

// Queue is the queue of one server. The owner serialises access. Use New.
type Queue struct {
	slots           int
	waiting         []Item // ordered by precedes
	running         map[uint64]run
	classes         map[string]time.Duration // mean slot time
	mean            time.Duration            // over all classes
	overloadedUntil time.Duration            // until when items that come in time are likely to be refused
}

type run struct {
	class   string
	started time.Duration
}

// New returns the queue of a server with the given slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), running: map[uint64]run{}, classes: map[string]time.Duration{}}
}

// SetSlots changes the number of slots. Running requests are not touched.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 1) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Mean returns the mean slot time, or 0 if none was measured.
func (q *Queue) Mean() time.Duration { return q.mean }

// Refusal says that a request was not taken and will never run here.
type Refusal struct {
	Kind      gd.Kind // QueueFull or Hopeless
	Wait      time.Duration
	ComeBack  time.Duration // after which the queue is expected to have drained
	Remaining time.Duration // until the deadline
}

// Error returns the refusal as an error of its kind.
func (r Refusal) Error() error {
	return r.Kind.Errorf("expected wait of %s with %s left", r.Wait, r.Remaining)
}

// Offer takes an item: it is given a slot at once, waits, or is refused. With
// mayWait false it is refused where there is no free slot. An item that was
// taken is returned by Start when it gets its slot.
func (q *Queue) Offer(now time.Duration, it Item, mayWait bool) (Refusal, bool) {
	if len(q.waiting) == 0 && len(q.running) < q.slots {
		q.insert(now, it)
		return Refusal{}, true
	}
	wait := q.expectedWait(now, it)
	refusal := Refusal{Kind: gd.QueueFull, Wait: wait, ComeBack: q.retryAfter(), Remaining: it.Deadline - now}
	if !mayWait {
		return refusal, false
	}
	slotTime := q.slotTime(it.Class)
	switch {
	case now+wait+slotTime > it.Deadline:
		refusal.Kind = gd.Hopeless
		return refusal, false
	case q.isWaitAcceptable(now, wait, it):
	case q.meetsObjective(now, it):
		q.overloadedUntil = now + overloadDuration
		return refusal, false
	case !q.mayWaitLate(now, it):
		return refusal, false
	}
	q.insert(now, it)
	return Refusal{}, true
}

// linkFree is for how long the link may be busy with other large bodies for it
// to count as free: half of what one body of 60 KB takes at 5 Mbit/s.
const maxFreeBacklog = 50 * time.Millisecond

// OfferBody decides whether the large body of an item may be sent over the VM's
// link, which is busy with others for a while, before the item takes a slot. It
// answers for more uploads than the link carries: each of them that is let in
// delays all behind it, so those are refused that would miss their objective for
// it, before a byte is sent. With mayWait false the link must be free.
func (q *Queue) OfferBody(now time.Duration, it Item, busy, transfer time.Duration, mayWait bool) (Refusal, bool) {
	start := now + busy + transfer
	refusal := Refusal{Kind: gd.QueueFull, Wait: busy, ComeBack: min(max(busy, minRetryAfter), maxRetryAfter), Remaining: it.Deadline - now}
	switch {
	case start+q.slotTime(it.Class) > it.Deadline:
		refusal.Kind = gd.Hopeless
		return refusal, false
	case busy <= maxFreeBacklog:
		return Refusal{}, true
	}
	return refusal, mayWait && q.meetsObjective(start, it)
}

// isOnTime reports whether an item that starts at the given instant is likely
// to meet its objective.
func (q *Queue) meetsObjective(start time.Duration, it Item) bool {
	return start+time.Duration(objectiveMargin*float64(q.slotTime(it.Class))) <= it.Objective
}

// isPatient reports whether the item may wait so long. Slot times vary much
// more than waits, so the longer requests wait, the fewer of them meet their
// objective, and no slot is used better for it.
func (q *Queue) isWaitAcceptable(now, wait time.Duration, it Item) bool {
	return q.meetsObjective(now+wait, it) && wait <= max(minMaxWait, time.Duration(maxWaitRatio*float64(it.Objective-now)))
}

// hasRoomLate reports whether an item that will miss its objective may wait:
// only while few such items do and the whole queue drains well before its
// deadline, for it gets a slot when no other item wants one. While items that
// could meet theirs are refused it may not, for the slot that it took would be
// missing for the next of them.
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
	left := it.Deadline - now - q.slotTime(it.Class)
	return late < q.slots && 2*q.backlog() < left
}

// backlog is the time in which the waiting items would be served.
func (q *Queue) backlog() time.Duration {
	var work time.Duration
	for _, w := range q.waiting {
		work += q.slotTime(w.Class)
	}
	return work / time.Duration(q.slots)
}

func (q *Queue) retryAfter() time.Duration {
	return min(max(q.backlog(), minRetryAfter), maxRetryAfter)
}

// expectedWait estimates the wait of an item that comes now: a slot falls free
// after a share of the mean slot time, and the items that go first take theirs.
func (q *Queue) expectedWait(now time.Duration, it Item) time.Duration {
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		return 0
	}
	work := q.typicalSlotTime()
	for _, w := range q.waiting {
		if q.precedes(now, w, it) {
			work += q.slotTime(w.Class)
		}
	}
	return work / time.Duration(q.slots)
}

// Wait returns the wait expected by a request of ordinary rank that comes now.
func (q *Queue) Wait() time.Duration {
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		return 0
	}
	return q.backlog() + q.typicalSlotTime()/time.Duration(q.slots)
}

func (q *Queue) typicalSlotTime() time.Duration {
	if q.mean == 0 {
		return defaultSlotTime
	}
	return q.mean
}

func (q *Queue) slotTime(class string) time.Duration {
	if mean, ok := q.classes[class]; ok {
		return mean
	}
	return q.typicalSlotTime()
}

// precedes reports whether a gets a slot before b: those that can meet their
// objective first, by rank and objective.
func (q *Queue) precedes(now time.Duration, a, b Item) bool {
	if onTime := q.meetsObjective(now, a); onTime != q.meetsObjective(now, b) {
		return onTime
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Objective, b.Objective),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

func (q *Queue) insert(now time.Duration, it Item) {
	q.waiting = append(q.waiting, it)
	q.order(now)
}

func (q *Queue) order(now time.Duration) {
	slices.SortFunc(q.waiting, func(a, b Item) int {
		if q.precedes(now, a, b) {
			return -1
		}
		return 1
	})
}

// Start gives free slots to waiting items and returns them.
func (q *Queue) Start(now time.Duration) []Item {
	n := min(q.slots-len(q.running), len(q.waiting))
	if n <= 0 {
		return nil
	}
	q.order(now)
	started := slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	for _, it := range started {
		q.running[it.ID] = run{it.Class, now}
	}
	return started
}

// Expired is an item that waited and will not run here.
type Expired struct {
	Item
	Refusal Refusal
}

// Expire removes and returns the waiting items that can no longer be answered
// before their deadline, with refusals of kind Hopeless, and while items that
// come in time are refused those that will miss their objective, with refusals
// of kind QueueFull: another server may have room for them.
func (q *Queue) Expire(now time.Duration) []Expired {
	if len(q.waiting) == 0 {
		return nil
	}
	q.order(now)
	var expired []Expired
	work := q.typicalSlotTime() / 2
	q.waiting = slices.DeleteFunc(q.waiting, func(it Item) bool {
		slotTime, wait := q.slotTime(it.Class), work/time.Duration(q.slots)
		refusal := Refusal{Kind: gd.QueueFull, Wait: wait, ComeBack: q.retryAfter(), Remaining: it.Deadline - now}
		switch {
		case now+wait+slotTime > it.Deadline:
			refusal.Kind = gd.Hopeless
		case now >= q.overloadedUntil || q.meetsObjective(now, it):
			work += slotTime
			return false
		}
		expired = append(expired, Expired{it, refusal})
		return true
	})
	return expired
}

// Clear removes and returns all waiting items.
func (q *Queue) Clear() []Item {
	all := q.waiting
	q.waiting = nil
	return all
}

// Done frees the slot of an item. The time that it took is counted if it ran
// to its end, or if it was cut after longer than such items take: it would have
// taken longer still.
func (q *Queue) Done(now time.Duration, id uint64, completed bool) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	took := now - r.started
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

// Cancel removes a waiting item and reports whether it was waiting: if so, it
// never ran.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}
