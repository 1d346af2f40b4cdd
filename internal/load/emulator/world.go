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
	maxTries   = 12                     // maximum number of nodes that one request is offered to
	hop        = 200 * time.Microsecond // one-way delay within a data centre, including processing in the nodes
	expireTick = 50 * time.Millisecond  // interval between checks for requests whose deadline has passed or cannot be met
	repeatAll  = 10 * time.Second       // window of the retry budget
	backoff    = 10 * time.Millisecond  // minimum delay of a client before a retry
	fifoLimit  = 1000                   // queue capacity of a server with AdmitFIFO
)

// world is the state of a run. All events run in one goroutine.
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

// node is a VM: a sidecar, whose ingress sends requests to servers, and the server
// beside it.
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
	sent      map[string]int // number of outstanding requests from this node by target node
	failing   float64
}

// request is a client's request or a call that a server makes.
type request struct {
	class    *Class
	ingress  *node
	first    time.Duration // time at which the client sent the first attempt
	deadline time.Duration
	repeats  int  // retries by the client so far
	inner    bool // the request is a call that a server makes
	done     func(ok bool)
	over     bool // done has been called
	search   placement.Search
	comeBack time.Duration // delay that the last refusal asked for
}

// try is an attempt to run a request at one server.
type try struct {
	r      *request
	at     *node
	id     uint64
	failed bool
}

// Run runs the experiment once and returns the outcomes.
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

// arrive schedules the next request of a class, which in turn schedules the one
// after it.
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

// factor returns the product of the factors of all active events of a kind that
// apply to the service.
func (w *world) factor(kind, service string) float64 {
	f := 1.0
	for _, e := range w.x.Events {
		if e.Kind == kind && (e.Service == "" || e.Service == service) && w.now >= e.At && w.now < e.At+e.For {
			f *= e.Factor
		}
	}
	return f
}

// hit returns the factor of the active event of a kind that affects the node, or 0
// if there is none.
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

// place starts a new search for a node that takes the request, as the ingress
// does.
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

// choose returns the node to offer the request to next and whether the request may
// wait there. ok is false if no node is left.
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

// refused handles a request that no node took: the client retries or gives up.
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

// end calls done with the outcome unless it has been called.
func (r *request) end(ok bool) {
	if !r.over {
		r.over = true
		r.done(ok)
	}
}

// expire removes requests at every node: those that the admission queue drops,
// which count as refused, and those whose deadline has passed.
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

func (w *world) active() bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool { return len(n.waiting)+len(n.running) > 0 })
}
