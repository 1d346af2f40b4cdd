package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
)

// offer offers the request to the admission queue of n, which accepts or refuses
// it. transitDelay is the one-way delay from n back to the ingress.
func (n *node) offer(r *request, mayWait bool, transitDelay time.Duration) {
	sim := n.sim
	if r.settled { // by the other attempt
		r.ingress.requestEnded(n)
		return
	}
	sim.lastID++
	a := &attempt{r: r, target: n, id: sim.lastID}
	if n.faultFactor(Down) > 0 {
		sim.after(transitDelay, func() { r.handleRefusal(n, false, mayWait, 0, false) })
		return
	}
	if n.faultFactor(Dark) > 0 {
		sim.after(min(unackedTimeout, r.deadline-sim.now), func() { r.handleSilence(n) })
		return
	}
	if sim.experiment.Admission == AdmitFIFO {
		if len(n.fifo) >= fifoCapacity {
			sim.after(transitDelay, func() { r.handleRefusal(n, true, mayWait, clientBackoff, true) })
			return
		}
		n.fifo = append(n.fifo, a.id)
		n.waiting[a.id] = a
		n.start()
		return
	}
	item := admission.Item{
		ID: a.id, Class: r.class.Name, Workspace: r.workspaceName(), Priority: r.class.Priority, RoutePriority: r.class.Priority,
		Objective: r.firstSent + r.class.Objective, Deadline: r.deadline,
	}
	if refusal, ok := n.queue.Offer(sim.now, item, mayWait); !ok {
		sim.after(transitDelay, func() { r.handleRefusal(n, true, mayWait, refusal.RetryAfter, true) })
		return
	}
	n.waiting[a.id] = a
	n.start()
}

// handleRefusal handles a refusal by n at the ingress, or a failed connection to n
// if reachable is false. full reports that n refused because of its load.
func (r *request) handleRefusal(n *node, full, mayWait bool, retryAfter time.Duration, reachable bool) {
	sim, in := n.sim, r.ingress
	in.requestEnded(n)
	if reachable {
		in.estimates.Reported(sim.now, n.record.Node, n.load())
	} else {
		in.estimates.Unreachable(sim.now, n.record)
	}
	r.search.WasAsked(n.record.Node, full)
	r.countAttempt(full && mayWait)
	if r.attemptEnded(n) {
		return
	}
	if r.race.hasFailed {
		r.retryOrFail(n)
		return
	}
	r.retryAfter = max(retryAfter, clientBackoff)
	if sim.now >= r.deadline || r.search.Asked() >= maxNodesAsked {
		sim.clientRefused(r)
		return
	}
	sim.offerNext(r)
}

// unackedTimeout is the time after which the connection to a dark node fails.
const unackedTimeout = 1500 * time.Millisecond

// handleSilence handles the end of an attempt at a node that did not respond: the
// connection has failed, or the deadline has passed. The request may have run.
func (r *request) handleSilence(n *node) {
	in := r.ingress
	in.requestEnded(n)
	r.reached++
	r.ran = true
	if n.sim.now >= r.deadline {
		r.end(false)
		return
	}
	in.estimates.Failed(n.sim.now, n.record.Node)
	r.race.hasFailed = true
	if r.attemptEnded(n) {
		r.search.WasAsked(n.record.Node, false)
		return
	}
	r.retryOrFail(n)
}

func (n *node) requestEnded(target *node) {
	n.estimates.Ended(target.record.Node)
	n.outstanding[target.record.Node]--
}

func (n *node) load() placement.Load {
	return placement.Load{
		Running: len(n.running), Waiting: len(n.waiting), Slots: n.service.Slots,
		Mean: n.queue.Mean(), Wait: n.queue.Wait(n.sim.now), LimitWait: n.queue.LimitWait(n.sim.now), FailureRatio: n.failureRatio,
	}
}

// start assigns free slots to waiting requests.
func (n *node) start() {
	if n.sim.experiment.Admission == AdmitFIFO {
		for len(n.fifo) > 0 && len(n.running) < n.service.Slots {
			id := n.fifo[0]
			n.fifo = n.fifo[1:]
			if a, ok := n.waiting[id]; ok {
				n.run(a)
			}
		}
		return
	}
	for _, item := range n.queue.Start(n.sim.now) {
		n.run(n.waiting[item.ID])
	}
	if wait, ok := n.queue.NextStart(n.sim.now); ok && !n.startsLater {
		n.startsLater = true
		n.sim.after(wait, func() { n.startsLater = false; n.start() })
	}
}

// applyLimit applies the limit that the server states in a response.
func (n *node) applyLimit() {
	if perSecond := n.faultFactor(Limit); perSecond > 0 {
		n.queue.SetLimit(n.sim.now, perSecond)
		return
	}
	n.queue.RemoveLimit()
}

// shedTime is the time in which a server refuses to run a request.
const shedTime = time.Millisecond

// run runs a request in a slot: its work first, then the calls that it makes.
func (n *node) run(a *attempt) {
	sim := n.sim
	delete(n.waiting, a.id)
	n.running[a.id] = a
	a.started = sim.now
	sim.result.addStart(n.record.Node, sim.now)
	c := a.r.class
	work := time.Duration(float64(c.Work) * n.workFactor * math.Exp(c.Spread*sim.rng.NormFloat64()-c.Spread*c.Spread/2))
	if f := n.faultFactor(Slow); f > 0 {
		work = time.Duration(float64(work) * f)
	}
	if a.shed = sim.rng.Float64() < n.faultFactor(Shed); a.shed {
		sim.after(shedTime, func() { n.finish(a) })
		return
	}
	if hang := n.faultFactor(Hang); hang > 0 && sim.rng.Float64() < hang {
		return // expireAttempts ends it
	}
	a.failed = sim.rng.Float64() < n.faultFactor(Fail)
	sim.after(work, func() { n.call(a, 0) })
}

// call makes the i-th calls of a request with the probability that its class gives,
// then the calls after it, and finishes the request after the last one.
func (n *node) call(a *attempt, i int) {
	calls := a.r.class.Calls
	if i >= len(calls) || n.running[a.id] == nil {
		n.finish(a)
		return
	}
	if n.sim.rng.Float64() >= calls[i].Share {
		n.call(a, i+1)
		return
	}
	c := n.sim.classes[calls[i].Class]
	pending := max(calls[i].Count, 1)
	for range pending {
		n.sim.result.addRequest(c.Name, n.sim.now)
		r := &request{class: c, ingress: n, firstSent: n.sim.now, deadline: min(n.sim.now+c.Deadline, a.r.deadline), isServerCall: true}
		r.done = func(ok bool) {
			n.sim.result.addOutcome(c.Name, r.firstSent, n.sim.now, ok)
			a.failed = a.failed || !ok
			if pending--; pending == 0 {
				n.call(a, i+1)
			}
		}
		n.sim.dispatch(r)
	}
}

// finish frees the slot of a request and sends the response to the ingress.
func (n *node) finish(a *attempt) {
	sim, r := n.sim, a.r
	if n.running[a.id] == nil {
		return // it was dropped at its deadline
	}
	delete(n.running, a.id)
	isFailure := a.failed || a.shed
	sim.result.addRun(n.record.Service, n.record.Node, sim.now-a.started, a.failed)
	n.queue.Done(sim.now, a.id, !isFailure)
	failed := 0.0
	if isFailure {
		failed = 1
	}
	n.failureRatio += failureSmoothing * (failed - n.failureRatio)
	n.applyLimit()
	n.start()
	sim.after(sim.transitDelay(n, r.ingress), func() { r.handleResponse(a) })
}

// handleResponse handles the response of a server at the ingress. The request is
// retried at another server if that is safe, and the budget and the maximum number
// of servers allow it; otherwise the client gets the response.
func (r *request) handleResponse(a *attempt) {
	n, in := a.target, r.ingress
	sim := n.sim
	in.requestEnded(n)
	in.estimates.Reported(sim.now, n.record.Node, n.load())
	r.reached++
	r.ran = r.ran || !a.shed
	if sim.now > r.deadline || r.settled {
		r.end(false)
		return
	}
	r.countAttempt(a.shed)
	if !a.failed && !a.shed {
		r.deliver(n)
		return
	}
	in.estimates.Failed(sim.now, n.record.Node)
	r.race.hasFailed = true
	if r.attemptEnded(n) {
		r.search.WasAsked(n.record.Node, false)
		return
	}
	r.retryOrFail(n)
}

// retryOrFail retries a request that n has failed at another node, or fails it.
func (r *request) retryOrFail(n *node) {
	sim, in := n.sim, r.ingress
	isSafe := r.class.Idempotent || !r.ran
	if isSafe && r.reached < r.class.Attempts && in.budget.Take(sim.now, r.class.Service, len(sim.nodes), budget.Retry{IsRerun: r.ran, IsRepeat: r.repeats > 0, IsOnce: !in.refused.CallersReturn(sim.now, r.class.Name)}) {
		sim.result.addRetry(r.class.Name)
		r.search.WasAsked(n.record.Node, false)
		sim.offerNext(r)
		return
	}
	if !r.ran {
		sim.addRefusal(r)
	}
	sim.repeatOrFail(r, clientBackoff, !r.ran || isSafe && !r.class.RefusedOnly)
}

// failureSmoothing is the weight of the newest outcome in the moving average of failures.
const failureSmoothing = 0.1

// expireAttempts drops the waiting and running requests whose deadline has passed.
func (n *node) expireAttempts() {
	for _, attempts := range []map[uint64]*attempt{n.waiting, n.running} {
		for _, id := range sortedIDs(attempts) {
			a := attempts[id]
			if a.r.deadline > n.sim.now {
				continue
			}
			delete(attempts, id)
			n.queue.Cancel(id)
			n.queue.Done(n.sim.now, id, false)
			a.r.ingress.requestEnded(n)
			a.r.addTime()
			a.r.end(false)
		}
	}
}

// sortedIDs returns the sorted keys, so that a run does not depend on the iteration
// order of the map.
func sortedIDs(attempts map[uint64]*attempt) []uint64 {
	var list []uint64
	for id := range attempts {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
