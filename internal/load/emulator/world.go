package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	maxTries   = 12                     // nodes that one request is offered to
	hop        = 200 * time.Microsecond // one way within a data centre, with the work of the nodes
	expireTick = 50 * time.Millisecond  // between two looks for requests that wait in vain
	repeatAll  = 10 * time.Second       // window of the retry budget
	backoff    = 10 * time.Millisecond  // of a client after a failure
	fifoLimit  = 1000                   // requests that wait at one server without the product's admission
)

// world is the state of a run. Everything happens in one goroutine.
type world struct {
	x       Experiment
	rnd     *rand.Rand
	now     time.Duration
	events  queue
	order   uint64
	nodes   []*node
	serving map[string][]server.Record
	classes map[string]*Class
	result  *Result
	lastID  uint64
}

// node is a VM with its ingress and its server.
type node struct {
	w         *world
	record    server.Record
	service   *Service
	speed     float64
	estimates *placement.Estimates
	budget    *budget.Budget
	queue     *admission.Queue
	fifo      []uint64
	waiting   map[uint64]*try
	running   map[uint64]*try
	robin     int
	sent      map[string]int // requests under way by node, of this node
	failing   float64
}

// request is a client's request or a call of a server.
type request struct {
	class    *Class
	ingress  *node
	first    time.Duration // when the client first sent it
	deadline time.Duration
	repeats  int // of the client
	inner    bool
	done     func(ok bool)
	over     bool // done was called
	search   placement.Search
	comeBack time.Duration // that the last refusal named
}

// try is a request at a server.
type try struct {
	r      *request
	at     *node
	id     uint64
	failed bool
}

// Run plays the experiment once.
func Run(x Experiment) *Result {
	w := &world{
		x: x, rnd: rand.New(rand.NewPCG(x.Seed, 1)), serving: map[string][]server.Record{},
		classes: map[string]*Class{}, result: newResult(x),
	}
	for i := range x.Classes {
		w.classes[x.Classes[i].Name] = &x.Classes[i]
	}
	w.build()
	for i := range x.Classes {
		if x.Classes[i].PerSecond > 0 {
			w.arrive(&x.Classes[i])
		}
	}
	w.after(expireTick, w.expire)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.result
}

func (w *world) build() {
	for i := range w.x.Services {
		s := &w.x.Services[i]
		for k := range s.Servers {
			speed := 1.0
			if len(s.Speeds) > 0 {
				speed = s.Speeds[k%len(s.Speeds)]
			}
			n := &node{
				w: w, service: s, speed: speed, queue: admission.New(s.Slots),
				waiting: map[uint64]*try{}, running: map[uint64]*try{}, sent: map[string]int{},
				budget: budget.New(budget.Terms{Window: repeatAll, Ratio: w.x.RepeatRatio, Slack: w.x.RepeatSlack}),
			}
			n.record = server.Record{
				Node: fmt.Sprintf("%s-%d", s.Name, k), Service: s.Name, Slots: s.Slots,
				DataCentre: w.x.DataCentres[k%len(w.x.DataCentres)],
			}
			n.estimates = placement.New(n.record.Node, n.record.DataCentre, rand.New(rand.NewPCG(w.x.Seed, uint64(len(w.nodes)+2))))
			w.nodes = append(w.nodes, n)
			w.serving[s.Name] = append(w.serving[s.Name], n.record)
		}
	}
}

func (w *world) node(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.record.Node == name })
	return w.nodes[i]
}

// arrive has the next request of a class come, and so on.
func (w *world) arrive(c *Class) {
	rate := c.PerSecond * w.factor(Burst, "")
	gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		if w.now >= w.x.Duration {
			return
		}
		w.result.asked(c.Name, w.now)
		r := &request{class: c, ingress: w.nodes[w.rnd.IntN(len(w.nodes))], first: w.now, deadline: w.now + c.Deadline}
		r.done = func(ok bool) { w.result.ended(c.Name, r.first, w.now, ok) }
		w.place(r)
		w.arrive(c)
	})
}

// factor is the product of the factors of a kind of event that are in force.
func (w *world) factor(kind, service string) float64 {
	f := 1.0
	for _, e := range w.x.Events {
		if e.Kind == kind && (e.Service == "" || e.Service == service) && w.now >= e.At && w.now < e.At+e.For {
			f *= e.Factor
		}
	}
	return f
}

// hit returns the strength of a kind of event at a server, or 0.
func (n *node) hit(kind string) float64 {
	for _, e := range n.w.x.Events {
		if e.Kind != kind || e.Service != "" && e.Service != n.service.Name || n.w.now < e.At || n.w.now >= e.At+e.For {
			continue
		}
		index := slices.IndexFunc(n.w.serving[n.service.Name], func(r server.Record) bool { return r.Node == n.record.Node })
		if float64(index) < math.Ceil(e.Share*float64(n.service.Servers)) {
			return e.Factor
		}
	}
	return 0
}

// place sends the request to a node, as the ingress does.
func (w *world) place(r *request) {
	in := r.ingress
	in.budget.Requested(w.now, r.class.Service)
	r.search = placement.Search{}
	w.next(r)
}

func (w *world) next(r *request) {
	rec, mayWait, ok := r.choose()
	if !ok || r.search.Asked() >= maxTries {
		w.refused(r)
		return
	}
	in, at := r.ingress, w.node(rec.Node)
	in.estimates.Sent(rec.Node)
	in.sent[rec.Node]++
	way := w.way(in, at)
	w.after(way, func() { at.offer(r, mayWait, way) })
}

func (w *world) way(a, b *node) time.Duration {
	if a == b {
		return 0
	}
	if a.record.DataCentre == b.record.DataCentre {
		return hop
	}
	return hop + w.x.Between
}

// choose picks the node to ask next.
func (r *request) choose() (rec server.Record, mayWait, ok bool) {
	in, serving := r.ingress, r.ingress.w.serving[r.class.Service]
	switch in.w.x.Placement {
	case PlaceRobin:
		in.robin++
		return serving[in.robin%len(serving)], true, r.search.Asked() == 0
	case PlaceLeast:
		best := serving[in.w.rnd.IntN(len(serving))]
		for _, s := range serving {
			if in.sent[s.Node] < in.sent[best.Node] {
				best = s
			}
		}
		return best, true, r.search.Asked() == 0
	}
	return in.estimates.Next(in.w.now, r.class.Name, serving, &r.search)
}

// offer has the station of n take or refuse the request.
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

// back has the ingress deal with a refusal of n.
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

// start gives free slots to requests that wait.
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

// run has the server work on a request, with the calls that it makes.
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

// call makes the i-th call of a request, if its turn comes, and ends the
// request after the last.
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

// finish ends the work on a request and answers it.
func (n *node) finish(t *try) {
	w, r := n.w, t.r
	if n.running[t.id] == nil {
		return // its time was up
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

// smoothing is the weight of the newest outcome in the share of failures.
const smoothing = 0.1

// refused has the client come back, or give up.
func (w *world) refused(r *request) {
	w.result.refused(r.class.Name)
	w.clientRetries(r, max(r.comeBack, backoff), true)
}

func (w *world) clientRetries(r *request, pause time.Duration, mayRepeat bool) {
	pause = min(pause, (r.deadline-w.now)/3)
	if r.inner || !mayRepeat || r.repeats >= r.class.Retries || pause <= 0 {
		r.end(false)
		return
	}
	r.repeats++
	w.after(pause, func() { w.place(r) })
}

// end settles the request once.
func (r *request) end(ok bool) {
	if !r.over {
		r.over = true
		r.done(ok)
	}
}

// expire ends what can no longer be answered, at every server.
func (w *world) expire() {
	for _, n := range w.nodes {
		for _, it := range n.queue.Expire(w.now) {
			t := n.waiting[it.ID]
			delete(n.waiting, it.ID)
			t.r.back(n, true, true, backoff, true)
		}
		n.expireTries()
		n.start()
	}
	if w.now < w.x.Duration || w.active() {
		w.after(expireTick, w.expire)
	}
}

// expireTries ends the tries whose deadline has passed.
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

// ids returns the keys in order, so that a run does not depend on the order of
// a map.
func ids(tries map[uint64]*try) []uint64 {
	var list []uint64
	for id := range tries {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (w *world) active() bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool { return len(n.waiting)+len(n.running) > 0 })
}

// after has do happen when d has passed.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + max(d, 0), order: w.order, do: do})
}

// event is something that happens at an instant.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// queue is a heap of events.
type queue []event

// Len returns the number of events.
func (q queue) Len() int { return len(q) }

// Less reports whether event i happens before event j.
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
