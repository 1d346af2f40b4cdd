package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/server"
)

// Results of the second attempt of a request, as in metrics and logs. HedgeWon and HedgeLost
// say whether its response was delivered; with the others it was not sent.
const (
	HedgeWon        = "won"
	HedgeLost       = "lost"
	HedgeOverLimit  = "limit"    // the operators' limit was reached
	HedgeOverloaded = "overload" // no server had a slot to spare, or the retry budget was short
)

// attemptHedged sends the request to the node of rec like attempt. If the response takes
// longer than nearly all of the route and the limits allow it, the request is also sent to a
// second node, and the first usable response is returned.
func (s *requestState) attemptHedged(ctx context.Context, rec server.Record, mayWait bool) request.Result {
	if s.g.hedges == nil {
		return s.attempt(ctx, rec, mayWait)
	}
	isCandidate := !mayWait && s.hedge != HedgeLost && s.isHedgeable()
	began := s.g.cfg.Clock.Monotonic()
	delay, ok := s.hedgeDelay(began, isCandidate)
	if !ok {
		a := s.attempt(ctx, rec, mayWait)
		s.countAttempt(a, mayWait)
		if isCandidate {
			s.addTime(ctx, began, a)
		}
		return a
	}
	r := &race{s: s, ended: make(chan *entrant), decided: make(chan struct{})}
	defer close(r.decided)
	first, err := r.start(ctx, rec)
	if err != nil {
		return request.Failed(err, s.ran)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-r.ended:
			r.record(first)
			s.addTime(first.ctx, first.began, first.result)
			return first.result
		case <-timer.C:
		}
		second, mayLater := r.startSecond(ctx, rec)
		if second != nil {
			return r.run(ctx, first, second)
		}
		if mayLater {
			timer.Reset(hedge.RecheckInterval(delay))
		}
	}
}

// isHedgeable reports whether the request may run at two servers at once and its body is
// sent without scheduling, which would make a station queue it.
func (s *requestState) isHedgeable() bool {
	return s.route.Idempotent && s.reached+2 <= s.route.Attempts &&
		(s.r.Body == nil || s.r.ContentLength >= 0 && s.r.ContentLength <= placement.LargeBody)
}

// hedgeDelay returns the time from began until a second attempt is due, if there may be one.
func (s *requestState) hedgeDelay(began time.Duration, isCandidate bool) (time.Duration, bool) {
	if !isCandidate || s.g.stopAt.Load() > 0 {
		return 0, false
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.hedges.Delay(began, s.route.Name, s.deadline-began)
}

// countAttempt counts an attempt that has ended as evidence of overload. A full server that
// an attempt may not wait at is none, as load reports are old.
func (s *requestState) countAttempt(a request.Result, mayWait bool) {
	isQueueFull := mayWait && a.Response == nil && (gd.QueueFull.Is(a.Err) || gd.DeadlineUnreachable.Is(a.Err))
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.hedges.AddAttempt(s.g.cfg.Clock.Monotonic(), s.service, isQueueFull || a.Shed)
}

// race holds two attempts of a request of which the first usable response is delivered. The
// goroutine that handles the request owns it; an attempt that ends after the race is decided
// is recorded in its own goroutine.
type race struct {
	s       *requestState
	ended   chan *entrant
	decided chan struct{}
}

// entrant is an attempt of a race.
type entrant struct {
	ctx    context.Context
	cancel context.CancelFunc
	rec    server.Record
	began  time.Duration
	result request.Result // set when the attempt has ended
}

// start begins an attempt at the node of rec, which must have a free slot to run it.
func (r *race) start(ctx context.Context, rec server.Record) (*entrant, error) {
	g := r.s.g
	req, err := r.s.prepare(rec, false)
	if err != nil {
		return nil, err
	}
	e := &entrant{rec: rec, began: g.cfg.Clock.Monotonic()}
	// The context of the winner lasts until its response body is closed, which ends ctx.
	e.ctx, e.cancel = context.WithCancel(ctx)
	go func() {
		e.result = g.send(e.ctx, rec, req)
		select {
		case r.ended <- e:
		case <-r.decided:
			g.discard(rec, e.result)
		}
	}()
	return e, nil
}

// startSecond begins the second attempt, at another node than that of rec, unless it is ruled
// out or no server has a free slot. It returns nil then, and whether that may change. A second
// attempt counts as a retry of a request that may have run.
func (r *race) startSecond(ctx context.Context, rec server.Record) (e *entrant, mayLater bool) {
	s := r.s
	if ctx.Err() != nil || s.g.stopAt.Load() > 0 {
		return nil, false
	}
	if s.r.Body != nil && !s.r.Body.IsComplete() {
		return nil, true
	}
	if s.isQuarantined(ctx) {
		return nil, false
	}
	second, verdict := s.takeSecond(rec)
	if verdict != hedge.Allowed {
		return nil, verdict != hedge.TooLate
	}
	e, err := r.start(ctx, second)
	if err != nil { // the body is gone, as the response is being written
		return nil, false
	}
	return e, false
}

// takeSecond chooses the node of the second attempt and takes the attempt from the limit and
// the retry budget. If they do not allow it, it returns another verdict and records the reason.
func (s *requestState) takeSecond(rec server.Record) (server.Record, hedge.Verdict) {
	g := s.g
	serving := s.serving()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Monotonic()
	nodes, retry := s.snapshot.Nodes(now), budget.Retry{IsRerun: true, IsRepeat: s.isRepeat}
	verdict := g.hedges.Decide(now, hedge.Attempt{
		Class: s.route.Name, Service: s.service, Left: s.deadline - now,
		FreeRatio: g.estimates.FreeRatio(now, serving), BudgetUse: g.budget.Use(now, s.service, nodes, retry),
	})
	var second server.Record
	if verdict == hedge.Allowed {
		var ok bool
		if second, ok = g.estimates.NextFree(now, s.route.Name, serving, &s.search, rec.Node); !ok || !g.budget.Take(now, s.service, nodes, retry) {
			verdict = hedge.Overloaded
		}
	}
	switch verdict {
	case hedge.Allowed:
		g.hedges.Sent(now)
		s.hedge = HedgeLost // until its response is delivered
	case hedge.OverLimit:
		s.hedge = HedgeOverLimit
	case hedge.Overloaded:
		s.hedge = HedgeOverloaded
	}
	return second, verdict
}

// run waits for the attempts and returns the first usable response, or the better result if
// there is none. The attempt that it does not wait for is cancelled.
func (r *race) run(ctx context.Context, first, second *entrant) request.Result {
	s := r.s
	e := <-r.ended
	other := first
	if e == first {
		other = second
	}
	r.record(e)
	if !isUsable(e.result) {
		<-r.ended
		r.record(other)
		s.addTime(first.ctx, first.began, first.result)
		if isBetter(other.result, e.result) {
			e, other = other, e
		}
		if other.result.Response != nil {
			other.result.Response.Body.Close()
		}
	} else {
		s.addTime(ctx, first.began, e.result)
		other.cancel()
		r.recordCancelled(other, other == first)
	}
	if e == second && isUsable(e.result) {
		s.hedge = HedgeWon
	}
	return r.checked(e.result, other)
}

// record records the result of an attempt that has ended.
func (r *race) record(e *entrant) {
	r.s.recordAttempt(e.ctx, e.rec, e.result)
	r.s.countAttempt(e.result, false)
}

// recordCancelled records that the response of an attempt is not awaited. Its server may have
// run the request. Its end is recorded in the estimates by discard.
func (r *race) recordCancelled(e *entrant, isFirst bool) {
	s := r.s
	s.search.WasAsked(e.rec.Node, false)
	s.attempts = append(s.attempts, e.rec.Node+" canceled")
	s.reached++
	s.ran = true
	if isFirst {
		s.g.mu.Lock()
		defer s.g.mu.Unlock()
		now := s.g.cfg.Clock.Monotonic()
		s.g.estimates.Outpaced(now, e.rec.Node, now-e.began)
	}
}

// addTime records the time that a first attempt has taken until result a, which is that of the
// second one if the first is cancelled. Results that say nothing about the usual time are left
// out: refusals, failures and requests whose client has left.
func (s *requestState) addTime(ctx context.Context, began time.Duration, a request.Result) {
	hasTimedOut := a.Response == nil && gd.TimedOut.Is(a.Err) && !errors.Is(ctx.Err(), context.Canceled)
	if !hasTimedOut && !isUsable(a) {
		return
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now := s.g.cfg.Clock.Monotonic()
	s.g.hedges.AddTime(now, s.route.Name, now-began)
}

// checked returns the result of an attempt, or an error if it is a response that states that
// the request has not run although the other attempt may have run it.
func (r *race) checked(a request.Result, other *entrant) request.Result {
	if a.Response == nil || !isRefusal(a) || other.result.IsNotRun() {
		return a
	}
	a.Response.Body.Close()
	a.Response, a.Err = nil, gd.Unknown.Errorf("a server may have run the request in another attempt")
	return a
}

// discard records the result of a cancelled attempt. A failure is not counted, as the
// cancellation may have caused it.
func (g *Ingress) discard(rec server.Record, a request.Result) {
	if a.Response != nil {
		a.Response.Body.Close()
		if platform.IsServerLeaving(a.Response) {
			g.cfg.OnLeaving(rec)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estimates.Ended(rec.Node)
	if a.HasLoad {
		g.estimates.Reported(g.cfg.Clock.Monotonic(), rec.Node, a.Load)
	}
}

// isUsable reports whether the result is delivered although the other attempt has not ended.
func isUsable(a request.Result) bool {
	return a.Response != nil && a.Response.StatusCode < http.StatusInternalServerError && !isRefusal(a)
}

// isRefusal reports whether the response tells the client that the request has not run.
func isRefusal(a request.Result) bool {
	switch a.Response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return a.Shed
}

// isBetter reports whether result a is returned rather than b. A result after which the
// request may have run decides whether it may be retried, and a response tells the client
// more than an error.
func isBetter(a, b request.Result) bool { return rank(a) > rank(b) }

func rank(a request.Result) int {
	switch {
	case isUsable(a):
		return 3
	case a.IsNotRun():
		return 0
	case a.Response != nil:
		return 2
	}
	return 1
}
