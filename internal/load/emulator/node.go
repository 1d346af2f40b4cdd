package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
)

// offer offers the request to the admission queue of n, which accepts or refuses
// it. way is the delay of the answer.
func (n *node) offer(r *request, mayWait bool, way time.Duration) {
	w := n.w
	w.lastID++
	t := &try{r: r, at: n, id: w.lastID}
	if n.hit(Down) > 0 {
		w.after(way, func() { r.back(n, false, mayWait, 0, false) })
		return
	}
	if w.x.Admission == AdmitFIFO {
		if len(n.fifo) >= fifoLimit {
			w.after(way, func() { r.back(n, true, mayWait, backoff, true) })
			return
		}
		n.fifo = append(n.fifo, t.id)
		n.waiting[t.id] = t
		n.start()
		return
	}
	it := admission.Item{
		ID: t.id, Class: r.class.Name, Priority: r.class.Priority,
		Objective: r.first + r.class.Objective, Deadline: r.deadline,
	}
	if refusal, ok := n.queue.Offer(w.now, it, mayWait); !ok {
		w.after(way, func() { r.back(n, true, mayWait, refusal.ComeBack, true) })
		return
	}
	n.waiting[t.id] = t
	n.start()
}

// back handles a refusal by n, or a failed connection to n if heard is false, at
// the ingress. full reports that n refused because of its load.
func (r *request) back(n *node, full, mayWait bool, comeBack time.Duration, heard bool) {
	w, in := n.w, r.ingress
	in.ended(n)
	if heard {
		in.estimates.Heard(w.now, n.record.Node, n.load())
	} else {
		in.estimates.Unreachable(w.now, n.record)
	}
	r.search.WasAsked(n.record.Node, full)
	r.comeBack = max(comeBack, backoff)
	if w.now >= r.deadline || r.search.Asked() >= maxTries {
		w.refused(r)
		return
	}
	w.next(r)
}

func (n *node) ended(at *node) {
	n.estimates.Ended(at.record.Node)
	n.sent[at.record.Node]--
}

func (n *node) load() placement.Load {
	return placement.Load{
		Running: len(n.running), Waiting: len(n.waiting), Slots: n.service.Slots,
		Mean: n.queue.Mean(), Wait: n.queue.Wait(), Failing: n.failing,
	}
}

// start assigns free slots to waiting requests.
func (n *node) start() {
	if n.w.x.Admission == AdmitFIFO {
		for len(n.fifo) > 0 && len(n.running) < n.service.Slots {
			id := n.fifo[0]
			n.fifo = n.fifo[1:]
			if t, ok := n.waiting[id]; ok {
				n.run(t)
			}
		}
		return
	}
	for _, it := range n.queue.Start(n.w.now) {
		n.run(n.waiting[it.ID])
	}
}

// run runs a request in a slot: its work first, then the calls that it makes.
func (n *node) run(t *try) {
	w := n.w
	delete(n.waiting, t.id)
	n.running[t.id] = t
	c := t.r.class
	work := time.Duration(float64(c.Work) * n.speed * math.Exp(c.Spread*w.rnd.NormFloat64()-c.Spread*c.Spread/2))
	if f := n.hit(Slow); f > 0 {
		work = time.Duration(float64(work) * f)
	}
	t.failed = w.rnd.Float64() < n.hit(Fail)
	w.after(work, func() { n.call(t, 0) })
}

// call makes the i-th call of a request with the probability that its class gives,
// then the calls after it, and finishes the request after the last one.
func (n *node) call(t *try, i int) {
	calls := t.r.class.Calls
	if i >= len(calls) || n.running[t.id] == nil {
		n.finish(t)
		return
	}
	if n.w.rnd.Float64() >= calls[i].Share {
		n.call(t, i+1)
		return
	}
	c := n.w.classes[calls[i].Class]
	n.w.result.asked(c.Name, n.w.now)
	r := &request{class: c, ingress: n, first: n.w.now, deadline: min(n.w.now+c.Deadline, t.r.deadline), inner: true}
	r.done = func(ok bool) {
		n.w.result.ended(c.Name, r.first, n.w.now, ok)
		t.failed = t.failed || !ok
		n.call(t, i+1)
	}
	n.w.place(r)
}

// finish frees the slot of a request and sends the answer to the ingress.
func (n *node) finish(t *try) {
	w, r := n.w, t.r
	if n.running[t.id] == nil {
		return // it was dropped at its deadline
	}
	delete(n.running, t.id)
	n.queue.Done(w.now, t.id, !t.failed)
	failed := 0.0
	if t.failed {
		failed = 1
	}
	n.failing += smoothing * (failed - n.failing)
	n.start()
	w.after(w.way(n, r.ingress), func() {
		r.ingress.ended(n)
		r.ingress.estimates.Heard(w.now, n.record.Node, n.load())
		switch {
		case w.now > r.deadline:
			r.end(false)
		case !t.failed:
			r.end(true)
		case r.class.Idempotent && r.ingress.budget.Take(w.now, r.class.Service, len(w.nodes)):
			r.ingress.estimates.Failed(w.now, n.record.Node)
			r.search.WasAsked(n.record.Node, false)
			w.next(r)
		default:
			r.ingress.estimates.Failed(w.now, n.record.Node)
			w.clientRetries(r, backoff, r.class.Idempotent)
		}
	})
}

// smoothing is the weight of the newest outcome in the moving average of failures.
const smoothing = 0.1

// expireTries drops the waiting and running requests whose deadline has passed.
func (n *node) expireTries() {
	for _, tries := range []map[uint64]*try{n.waiting, n.running} {
		for _, id := range ids(tries) {
			t := tries[id]
			if t.r.deadline > n.w.now {
				continue
			}
			delete(tries, id)
			n.queue.Cancel(id)
			n.queue.Done(n.w.now, id, false)
			t.r.ingress.ended(n)
			t.r.end(false)
		}
	}
}

// ids returns the sorted keys, so that a run does not depend on the iteration order
// of the map.
func ids(tries map[uint64]*try) []uint64 {
	var list []uint64
	for id := range tries {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
