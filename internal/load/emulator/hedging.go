package emulator

import (
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
)

// race holds the attempts of a request that are in flight, of which there are two after a
// second attempt has been sent.
type race struct {
	first     *node // of the attempt that may be hedged, nil if there is none
	second    *node // nil if no second attempt was sent
	began     time.Duration
	attempts  int // counts the attempts that may be hedged, for their timers
	inFlight  int
	hasFailed bool // an attempt that reached a server has failed
	isDone    bool // no further attempt is hedged
}

// planSecond schedules the second attempt for an attempt that was sent to target.
func (r *request) planSecond(target *node, mayWait bool) {
	in, sim, x := r.ingress, target.sim, &r.race
	x.first, x.second, x.hasFailed, x.inFlight = nil, nil, false, 1
	if in.hedges == nil || mayWait || x.isDone || !r.class.Idempotent || r.reached+2 > r.class.Attempts {
		return
	}
	x.first, x.began = target, sim.now
	x.attempts++
	delay, ok := in.hedges.Delay(sim.now, r.class.Name, r.deadline-sim.now)
	if !ok {
		return
	}
	n := x.attempts
	var check func()
	check = func() {
		if r.settled || r.race.first != target || r.race.attempts != n || r.race.inFlight != 1 {
			return
		}
		if again := r.sendSecond(target); again {
			sim.after(hedge.RecheckInterval(delay), check)
		}
	}
	sim.after(delay, check)
}

// sendSecond sends the second attempt while the first is in flight at busy, if the limits allow
// it. It reports whether they may allow it later.
func (r *request) sendSecond(busy *node) (again bool) {
	in, sim, now := r.ingress, busy.sim, busy.sim.now
	servers, retry := in.known(r.class.Service), budget.Retry{IsRerun: true, IsRepeat: r.repeats > 0}
	verdict := in.hedges.Decide(now, hedge.Attempt{
		Class: r.class.Name, Service: r.class.Service, Left: r.deadline - now,
		FreeRatio: in.estimates.FreeRatio(now, servers), BudgetUse: in.budget.Use(now, r.class.Service, len(sim.nodes), retry),
	})
	if verdict != hedge.Allowed {
		return verdict != hedge.TooLate
	}
	record, ok := in.estimates.NextFree(now, r.class.Name, servers, &r.search, busy.record.Node)
	if !ok || !in.budget.Take(now, r.class.Service, len(sim.nodes), retry) {
		return true
	}
	in.hedges.Sent(now)
	r.race.isDone = true
	sim.result.Classes[r.class.Name].Hedges++
	sim.result.HedgesSent[in.record.Node] = append(sim.result.HedgesSent[in.record.Node], now)
	r.race.second, r.race.inFlight = sim.node(record.Node), 2
	r.sendTo(r.race.second, false)
	return false
}

// attemptEnded records that the attempt at n has ended without a usable response. It reports
// whether the request needs nothing more: it is over, or the other attempt is still in flight.
func (r *request) attemptEnded(n *node) bool {
	if r.settled {
		return true
	}
	if r.race.first == n {
		r.race.first = nil // its time is no evidence
	}
	r.race.inFlight--
	return r.race.inFlight > 0
}

// deliver ends the request with the response of n and cancels the other attempt, if any.
func (r *request) deliver(n *node) {
	r.addTime()
	r.end(true)
	if r.race.inFlight < 2 {
		if r.race.second == n {
			n.sim.result.Classes[r.class.Name].Won++
		}
		return
	}
	other := r.race.second
	if other == n {
		other = r.race.first
		n.sim.result.Classes[r.class.Name].Won++
		r.ingress.estimates.Outpaced(n.sim.now, other.record.Node, n.sim.now-r.race.began)
	}
	n.sim.after(n.sim.transitDelay(r.ingress, other), func() { other.cancel(r) })
}

// cancel drops the attempt of r at n, unless it has ended.
func (n *node) cancel(r *request) {
	for _, attempts := range []map[uint64]*attempt{n.waiting, n.running} {
		for id, a := range attempts {
			if a.r == r {
				delete(attempts, id)
				n.queue.Cancel(id)
				n.queue.Done(n.sim.now, id, false)
				r.ingress.requestEnded(n)
				n.start()
				return
			}
		}
	}
}

// addTime records the time of the first attempt until now, at which it ends or is cancelled.
func (r *request) addTime() {
	if r.race.first != nil && !r.settled {
		in := r.ingress
		in.hedges.AddTime(in.sim.now, r.class.Name, in.sim.now-r.race.began)
	}
}

// countAttempt counts an attempt that has ended as evidence of overload.
func (r *request) countAttempt(isRefused bool) {
	if in := r.ingress; in.hedges != nil {
		in.hedges.AddAttempt(in.sim.now, r.class.Service, isRefused)
	}
}
