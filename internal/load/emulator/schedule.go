package emulator

import (
	"container/heap"
	"time"
)

// after schedules do to run at the virtual time now plus d.
func (sim *simulator) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + max(d, 0), sequence: sim.sequence, do: do})
}

// event is a function that runs at a virtual time. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventQueue is a priority queue of events for container/heap.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether event i runs before event j.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
