package emulator

import (
	"container/heap"
	"time"
)

// after schedules do to run at the virtual time now plus d.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + max(d, 0), order: w.order, do: do})
}

// event is a function that runs at a virtual time. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// queue is a priority queue of events for container/heap.
type queue []event

// Len returns the number of events.
func (q queue) Len() int { return len(q) }

// Less reports whether event i runs before event j.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *queue) Push(e any) { *q = append(*q, e.(event)) }

// Pop removes the last event.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
