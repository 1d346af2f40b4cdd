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
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/refusal"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	maxNodesAsked     = 12                     // maximum number of nodes that one request is offered to
	localDelay        = 200 * time.Microsecond // one-way delay within a data centre, including processing in the nodes
	expireInterval    = 50 * time.Millisecond  // interval between checks for requests whose deadline has passed or cannot be met
	retryBudgetWindow = 10 * time.Second
	clientBackoff     = 10 * time.Millisecond // minimum delay of a client before a repeat
	fifoCapacity      = 1000                  // queue capacity of a server with AdmitFIFO
)

// simulator holds the state of a run. All events run in one goroutine.
type simulator struct {
	experiment  Experiment
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	sequence    uint64
	nodes       []*node
	servers     map[string][]server.Record
	classes     map[string]*Class
	result      *Result
	lastID      uint64
	lastRequest uint64
}

// node is a VM: a sidecar, whose ingress sends requests to servers, and the server
// beside it.
type node struct {
	sim            *simulator
	record         server.Record
	service        *Service
	workFactor     float64
	estimates      *placement.Estimates
	budget         *budget.Budget
	refused        *refusal.Memory
	hedges         *hedge.Hedges // nil without hedging
	queue          *admission.Queue
	fifo           []uint64 // IDs of the waiting requests with AdmitFIFO
	waiting        map[uint64]*attempt
	running        map[uint64]*attempt
	nextRoundRobin int
	outstanding    map[string]int // number of outstanding requests from this node by target node
	failureRatio   float64
	startsLater    bool // start is scheduled for when the limit admits the next request
}

// request is a client's request or a call that a server makes.
type request struct {
	class        *Class
	identity     quarantine.Fingerprint
	workspace    int // number of the client's workspace, from 1; 0 if it has none
	ingress      *node
	firstSent    time.Duration // time at which the request was first sent
	deadline     time.Duration
	repeats      int  // repeats by the client so far
	isServerCall bool // the request is a call that a server makes
	done         func(ok bool)
	settled      bool // done has been called
	search       placement.Search
	reached      int           // servers that have received it since it was last dispatched
	ran          bool          // a server has run it since it was last dispatched
	retryAfter   time.Duration // delay that the last refusal asked for
	race         race
}

// attempt is a request that waits or runs at one server.
type attempt struct {
	r       *request
	target  *node
	id      uint64
	failed  bool
	shed    bool          // the server refused to run it
	started time.Duration // time at which it got a slot
}

// Run runs the experiment once and returns the outcomes.
func Run(experiment Experiment) *Result {
	sim := &simulator{
		experiment: experiment, rng: rand.New(rand.NewPCG(experiment.Seed, 1)), servers: map[string][]server.Record{},
		classes: map[string]*Class{}, result: newResult(experiment),
	}
	for i := range experiment.Classes {
		sim.classes[experiment.Classes[i].Name] = &experiment.Classes[i]
	}
	sim.build()
	for i := range experiment.Classes {
		if experiment.Classes[i].PerSecond > 0 {
			sim.scheduleArrival(&experiment.Classes[i])
		}
	}
	sim.after(expireInterval, sim.expire)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	return sim.result
}

func (sim *simulator) build() {
	for i := range sim.experiment.Services {
		s := &sim.experiment.Services[i]
		for k := range s.Servers {
			workFactor := 1.0
			if len(s.Speeds) > 0 {
				workFactor = s.Speeds[k%len(s.Speeds)]
			}
			n := &node{
				sim: sim, service: s, workFactor: workFactor, queue: admission.New(s.Slots),
				waiting: map[uint64]*attempt{}, running: map[uint64]*attempt{}, outstanding: map[string]int{}, refused: refusal.New(),
				hedges: hedge.New(sim.experiment.Hedging),
				budget: budget.New(budget.Limits{Window: retryBudgetWindow, Ratio: sim.experiment.RepeatRatio, Slack: sim.experiment.RepeatSlack, RerunShare: sim.experiment.RerunShare, FirstShare: sim.experiment.FirstShare, OnceShare: sim.experiment.OnceShare}),
			}
			n.record = server.Record{
				Node: fmt.Sprintf("%s-%d", s.Name, k), Service: s.Name, Slots: s.Slots,
				DataCentre: sim.experiment.DataCentres[k%len(sim.experiment.DataCentres)],
			}
			n.estimates = placement.New(n.record.Node, n.record.DataCentre, rand.New(rand.NewPCG(sim.experiment.Seed, uint64(len(sim.nodes)+2))))
			sim.nodes = append(sim.nodes, n)
			sim.servers[s.Name] = append(sim.servers[s.Name], n.record)
		}
	}
}

func (sim *simulator) node(name string) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.record.Node == name })
	return sim.nodes[i]
}

// scheduleArrival schedules the next request of a class, which in turn schedules
// the one after it.
func (sim *simulator) scheduleArrival(c *Class) {
	rate := c.PerSecond * sim.eventFactor(Burst, "") * sim.waveFactor() * sum(sim.workspaceShares(c))
	gap := time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
	sim.after(gap, func() {
		if sim.now >= sim.experiment.Duration {
			return
		}
		sim.result.addRequest(c.Name, sim.now)
		r := &request{class: c, ingress: sim.nodes[sim.rng.IntN(len(sim.nodes))], firstSent: sim.now, deadline: sim.now + c.Deadline}
		r.workspace = sim.drawWorkspace(sim.workspaceShares(c))
		isOverload := r.workspace > 0 && slices.ContainsFunc(sim.experiment.Events, sim.isWorkspaceBurst)
		r.done = func(ok bool) {
			sim.result.addOutcome(c.Name, r.firstSent, sim.now, ok)
			if isOverload {
				sim.result.addWorkspace(r.workspace, ok)
			}
		}
		sim.dispatch(r)
		sim.scheduleArrival(c)
	})
}

// eventFactor returns the product of the factors of all active events of a kind
// that apply to the service.
func (sim *simulator) eventFactor(kind, service string) float64 {
	f := 1.0
	for _, e := range sim.experiment.Events {
		if e.Kind == kind && e.Workspace == 0 && (e.Service == "" || e.Service == service) && sim.now >= e.At && sim.now < e.At+e.For {
			f *= e.Factor
		}
	}
	return f
}

// waveFactor returns the product of the factors of all active waves.
func (sim *simulator) waveFactor() float64 {
	f := 1.0
	for _, e := range sim.experiment.Events {
		if e.Kind == Wave && sim.now >= e.At && sim.now < e.At+e.For {
			f *= 1 + e.Factor*math.Sin(2*math.Pi*float64(sim.now-e.At)/float64(e.Period))
		}
	}
	return f
}

// faultFactor returns the factor of the active event of a kind that affects the
// node, or 0 if there is none.
func (n *node) faultFactor(kind string) float64 {
	for _, e := range n.sim.experiment.Events {
		if e.Kind != kind || e.Service != "" && e.Service != n.service.Name || n.sim.now < e.At || n.sim.now >= e.At+e.For {
			continue
		}
		index := slices.IndexFunc(n.sim.servers[n.service.Name], func(r server.Record) bool { return r.Node == n.record.Node })
		if float64(index) < math.Ceil(e.Share*float64(n.service.Servers)) {
			return e.Factor
		}
	}
	return 0
}

// dispatch starts a new search for a node that takes the request, as the ingress
// does.
func (sim *simulator) dispatch(r *request) {
	if r.identity == 0 {
		sim.lastRequest++
		r.identity = quarantine.Fingerprint(sim.lastRequest)
	}
	in := r.ingress
	in.budget.AddRequest(sim.now, r.class.Service)
	in.refused.Take(sim.now, r.identity)
	if in.hedges != nil {
		in.hedges.AddRequest(sim.now)
		sim.result.Received[in.record.Node] = append(sim.result.Received[in.record.Node], sim.now)
	}
	r.race = race{}
	r.search, r.reached, r.ran = placement.NewSearch(sim.now, r.firstSent+r.class.Objective, r.deadline), 0, false
	sim.offerNext(r)
}

func (sim *simulator) offerNext(r *request) {
	record, mayWait, ok := r.chooseNode()
	if !ok || r.search.Asked() >= maxNodesAsked {
		sim.clientRefused(r)
		return
	}
	target := sim.node(record.Node)
	r.sendTo(target, mayWait)
	r.planSecond(target, mayWait)
}

func (r *request) sendTo(target *node, mayWait bool) {
	in, sim := r.ingress, target.sim
	in.estimates.Sent(sim.now, target.record.Node)
	in.outstanding[target.record.Node]++
	transitDelay := sim.transitDelay(in, target)
	sim.after(transitDelay, func() { target.offer(r, mayWait, transitDelay) })
}

func (sim *simulator) transitDelay(a, b *node) time.Duration {
	if a == b {
		return 0
	}
	if a.record.DataCentre == b.record.DataCentre {
		return localDelay
	}
	return localDelay + sim.experiment.DataCentreDelay
}

// chooseNode returns the node to offer the request to next and whether the request
// may wait there. ok is false if no node is left.
func (r *request) chooseNode() (record server.Record, mayWait, ok bool) {
	in, servers := r.ingress, r.ingress.known(r.class.Service)
	switch in.sim.experiment.Placement {
	case PlaceRoundRobin:
		in.nextRoundRobin++
		return servers[in.nextRoundRobin%len(servers)], true, r.search.Asked() == 0
	case PlaceLeastOutstanding:
		best := servers[in.sim.rng.IntN(len(servers))]
		for _, s := range servers {
			if in.outstanding[s.Node] < in.outstanding[best.Node] {
				best = s
			}
		}
		return best, true, r.search.Asked() == 0
	}
	return in.estimates.Next(in.sim.now, r.class.Name, servers, &r.search)
}

// known returns the servers of a service that the node knows.
func (n *node) known(service string) []server.Record {
	return slices.DeleteFunc(slices.Clone(n.sim.servers[service]), func(r server.Record) bool {
		return r.Node != n.record.Node && n.sim.node(r.Node).faultFactor(Unlisted) > 0
	})
}

// clientRefused handles a request that no node accepted: the client repeats
// it or gives up.
func (sim *simulator) clientRefused(r *request) {
	sim.addRefusal(r)
	sim.repeatOrFail(r, max(r.retryAfter, clientBackoff), true)
}

// addRefusal records that the client gets a refusal.
func (sim *simulator) addRefusal(r *request) {
	sim.result.addRefusal(r.class.Name)
	r.ingress.refused.Add(sim.now, r.identity, refusal.Failure{Route: r.class.Name, FirstSeen: r.firstSent, Deadline: r.deadline, MayReturn: r.repeats == 0})
}

func (sim *simulator) repeatOrFail(r *request, pause time.Duration, mayRepeat bool) {
	pause = min(pause, (r.deadline-sim.now)/3)
	if r.isServerCall || !mayRepeat || r.repeats >= r.class.Repeats || pause <= 0 {
		r.end(false)
		return
	}
	r.repeats++
	sim.after(pause, func() { sim.dispatch(r) })
}

// end calls done with the outcome unless it has been called.
func (r *request) end(ok bool) {
	if !r.settled {
		r.settled = true
		r.done(ok)
	}
}

// expire removes requests at every node: those that the admission queue drops,
// which count as refused, and those whose deadline has passed.
func (sim *simulator) expire() {
	for _, n := range sim.nodes {
		for _, item := range n.queue.Expire(sim.now) {
			a := n.waiting[item.ID]
			delete(n.waiting, item.ID)
			a.r.handleRefusal(n, true, true, clientBackoff, true)
		}
		n.expireAttempts()
		n.start()
	}
	if sim.now < sim.experiment.Duration || sim.hasRequests() {
		sim.after(expireInterval, sim.expire)
	}
}

func (sim *simulator) hasRequests() bool {
	return slices.ContainsFunc(sim.nodes, func(n *node) bool { return len(n.waiting)+len(n.running) > 0 })
}
