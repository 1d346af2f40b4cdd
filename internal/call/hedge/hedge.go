// Package hedge decides when a request that may run more than once is sent to a second
// server before the first has responded.
//
// A second attempt is sent once the first has taken longer than nearly all recent attempts
// of its class. The operators limit the second attempts to a share of the requests. Under
// overload there are none, as they would take slots from other requests.
package hedge

import "time"

const (
	// DefaultPercentile of the response times is the delay of a second attempt if the
	// operators set no other.
	DefaultPercentile = 0.95
	// MaxPercentile is the highest percentile that maxSamples response times can estimate.
	MaxPercentile = 0.99

	shareWindow   = 10 * time.Second
	refusalWindow = 5 * time.Second
	// minDelay is the time that asking a node takes on small processors.
	minDelay = 20 * time.Millisecond
	// maxDelayRatio is the longest delay, relative to the time until the deadline.
	maxDelayRatio = 0.5
	// maxRefusedRatio is the share of attempts refused because of full queues above which a
	// service is overloaded.
	maxRefusedRatio = 0.02
	// minFreeRatio is the share of free slots below which a service is overloaded.
	minFreeRatio = 0.2
	// maxBudgetUse is the part of the retry budget that second attempts may use. The rest
	// is for retries of failed requests, which would get no response without them.
	maxBudgetUse = 0.5
)

// Limits are the operators' settings.
type Limits struct {
	MaxShare   float64 // second attempts per request of the node, in every window of 10 s; 0 turns hedging off
	Percentile float64 // of the response times, at most MaxPercentile
}

// Hedges holds what one node knows about the requests that it may hedge. It is not safe for
// concurrent use. Use New to create Hedges.
type Hedges struct {
	limits   Limits
	share    window // requests and second attempts
	classes  map[string]*times
	services map[string]*window // attempts, and those that found no free slot
}

// New returns Hedges without evidence, or nil if the limits allow no second attempt.
func New(limits Limits) *Hedges {
	if limits.MaxShare <= 0 {
		return nil
	}
	if limits.Percentile <= 0 {
		limits.Percentile = DefaultPercentile
	}
	limits.Percentile = min(limits.Percentile, MaxPercentile)
	return &Hedges{limits: limits, classes: map[string]*times{}, services: map[string]*window{}}
}

// RecheckInterval returns the time after which the second attempt of a request is considered
// again that was refused after the given delay. Limits are used up by requests that are a
// little slow; those that hang are still there when there is room again.
func RecheckInterval(delay time.Duration) time.Duration { return max(delay/2, minDelay) }

// AddRequest counts a request that the node has received.
func (h *Hedges) AddRequest(now time.Duration) { h.share.all[h.share.advance(now, shareWindow)]++ }

// AddAttempt counts an attempt at a server of the service that has ended, and whether it was
// refused because of a full queue. Attempts that may not wait for a slot are no such evidence:
// with six slots a quarter of them is refused at three quarters of the load.
func (h *Hedges) AddAttempt(now time.Duration, service string, isRefused bool) {
	w, ok := h.services[service]
	if !ok {
		w = &window{}
		h.services[service] = w
	}
	i := w.advance(now, refusalWindow)
	w.all[i]++
	if isRefused {
		w.selected[i]++
	}
}

// AddTime records the response time of an attempt of the class that found a free slot. For
// an attempt that was cancelled it is the time until then, which is above the percentile, so
// that the percentile does not fall because of the second attempts.
func (h *Hedges) AddTime(now time.Duration, class string, took time.Duration) {
	t, ok := h.classes[class]
	if !ok {
		t = &times{}
		h.classes[class] = t
	}
	t.add(now, took)
}

// Delay returns the time after which a second attempt is due for an attempt that is sent
// now, with the given time left until the deadline. It reports false without enough
// evidence, or if a second attempt after the delay would be too late.
func (h *Hedges) Delay(now time.Duration, class string, left time.Duration) (time.Duration, bool) {
	p, ok := h.percentilesOf(now, class)
	delay := min(max(p.tail, minDelay), time.Duration(maxDelayRatio*float64(left)))
	return delay, ok && delay >= minDelay && left-delay > p.median
}

func (h *Hedges) percentilesOf(now time.Duration, class string) (percentiles, bool) {
	t, ok := h.classes[class]
	if !ok {
		return percentiles{}, false
	}
	return t.percentiles(now, h.limits.Percentile)
}

// Attempt describes the second attempt that is due for a request.
type Attempt struct {
	Class, Service string
	Left           time.Duration // until the deadline
	FreeRatio      float64       // share of free slots in the load reports of the service's servers
	BudgetUse      float64       // share of the retries allowed by the budget that have been taken
}

// Verdict says whether a second attempt is sent.
type Verdict int

// Verdicts.
const (
	Allowed    Verdict = iota
	TooLate            // too little time is left until the deadline
	OverLimit          // the operators' limit is reached
	Overloaded         // the service has no slots to spare, or the retry budget is short
)

// Decide returns whether the second attempt may be sent now. If it is sent, the caller
// calls Sent.
func (h *Hedges) Decide(now time.Duration, a Attempt) Verdict {
	p, ok := h.percentilesOf(now, a.Class)
	if !ok || a.Left <= p.median {
		return TooLate
	}
	if a.FreeRatio < minFreeRatio || a.BudgetUse > maxBudgetUse || h.isRefusing(now, a.Service) {
		return Overloaded
	}
	requests, hedges := h.share.counts(now, shareWindow)
	if float64(hedges)+1 > h.limits.MaxShare*float64(requests) {
		return OverLimit
	}
	return Allowed
}

// isRefusing reports whether servers of the service have recently refused requests more
// often than without overload. A single refusal is no evidence.
func (h *Hedges) isRefusing(now time.Duration, service string) bool {
	w, ok := h.services[service]
	if !ok {
		return false
	}
	attempts, refused := w.counts(now, refusalWindow)
	return float64(refused) > 1+maxRefusedRatio*float64(attempts)
}

// Sent counts a second attempt.
func (h *Hedges) Sent(now time.Duration) { h.share.selected[h.share.advance(now, shareWindow)]++ }
