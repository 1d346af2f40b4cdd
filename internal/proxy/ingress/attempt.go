package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// maxNodesAsked bounds how often nodes are asked to run one request. A node that
// had no free slot may be asked a second time, to queue the request.
const maxNodesAsked = 12

// run attempts the request at nodes until one responds or none is left.
func (s *requestState) run(ctx context.Context) *http.Response {
	ctx, cancel := context.WithTimeout(ctx, s.deadline-s.began)
	if s.r.Body != nil {
		s.r.Body.OnFailure(cancel) // the request cannot be served any more
	}
	var a request.Result
	if s.isQuarantined(ctx) {
		s.giveUpReason = giveUpQuarantined
		a = request.Failed(gd.Quarantined.Errorf("the request is quarantined: servers crashed while they ran requests equal to it"), false)
	} else {
		a = s.attemptAll(ctx)
	}
	if a.Response == nil {
		defer cancel()
		return s.fail(ctx, a)
	}
	return s.forward(cancel, a)
}

// isQuarantined reports whether the request must not reach a server, as servers have crashed
// while they ran requests equal to it. If that depends on its body, it waits for the body.
func (s *requestState) isQuarantined(ctx context.Context) bool {
	register, now := s.g.cfg.Snapshot().Register, s.g.cfg.Clock.Now()
	if register.IsEmpty() {
		return false
	}
	hash := s.hash()
	if s.r.Body != nil {
		hash = hash.WithLength(s.r.ContentLength)
	}
	if s.r.Body != nil && register.DependsOnBody(now, hash.Head()) {
		_, _ = hash.Write(s.r.Body.Await(ctx, quarantine.MaxHashedBytes)) // never fails
	}
	return s.g.cfg.Verdict(hash.All()...) == quarantine.Refused
}

// attemptAll attempts the request at one node after the other and returns the
// result of the last attempt. It stops when the request must not be retried.
func (s *requestState) attemptAll(ctx context.Context) request.Result {
	var last request.Result
	for s.search.Asked() < maxNodesAsked {
		rec, mayWait, ok := s.next()
		if !ok {
			break
		}
		a := s.attemptHedged(ctx, rec, mayWait)
		if last.Response != nil {
			last.Response.Body.Close()
		}
		last = a
		if a.Response != nil && !s.isRetryable(a) || !s.canRetry(ctx, a) {
			break
		}
	}
	return last
}

// next chooses the node to ask. It returns a node that may have a free slot, or,
// with mayWait set, a node that had none, at which the request may queue. Of those
// it chooses the one that is expected to run the request first.
func (s *requestState) next() (rec server.Record, mayWait, ok bool) {
	g := s.g
	serving := s.serving()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Monotonic()
	if g.prunedGeneration != s.snapshot.Directory.Generation() {
		g.prunedGeneration = s.snapshot.Directory.Generation()
		g.estimates.Retain(func(node string) bool { _, ok := s.snapshot.Directory.Record(node); return ok })
	}
	return g.estimates.Next(now, s.route.Name, serving, &s.search)
}

// attempt sends the request to the node of rec, and records and returns the result.
func (s *requestState) attempt(ctx context.Context, rec server.Record, mayWait bool) request.Result {
	r, err := s.prepare(rec, mayWait)
	if err != nil {
		return request.Failed(err, s.ran)
	}
	a := s.g.send(ctx, rec, r)
	if !r.Local {
		a = s.checkBodySent(a)
	}
	s.recordAttempt(ctx, rec, a)
	return a
}

// prepare returns the request to send to the node of rec, and counts it in the estimates.
func (s *requestState) prepare(rec server.Record, mayWait bool) (request.Request, error) {
	r, err := s.request(mayWait)
	if err != nil {
		return r, gd.DeadlineUnreachable.Wrapf(err, "the body of the request is no longer available for a retry")
	}
	r.Local = rec.Node == s.g.cfg.Node
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.estimates.Sent(s.g.cfg.Clock.Monotonic(), rec.Node)
	return r, nil
}

// send sends r to the node of rec and returns the result with the start of the response body.
func (g *Ingress) send(ctx context.Context, rec server.Record, r request.Request) request.Result {
	var a request.Result
	if r.Local {
		a = g.cfg.Station.Do(ctx, r)
	} else {
		a = g.cfg.Peers.Do(ctx, rec.Address, r)
	}
	if a.Response != nil {
		a = bufferStart(ctx, a)
	}
	return a
}

// checkBodySent returns a, or the error of the body if another node was to run the request and
// cannot have begun to. That node sends no part of a body to its server before it has received
// all of it, or request.BufferedBytes.
func (s *requestState) checkBodySent(a request.Result) request.Result {
	if s.r.Body == nil || a.Response != nil || !a.Reached || s.r.Body.Arrived() >= request.BufferedBytes {
		return a
	}
	err := s.r.Body.Err()
	if err == nil {
		return a
	}
	a.Err, a.Reached = err, false
	return a
}

// request returns the request to send in the next attempt.
func (s *requestState) request(mayWait bool) (request.Request, error) {
	var in io.ReadCloser
	if s.r.Body != nil {
		var err error
		if in, err = s.r.Body.Reader(); err != nil {
			return request.Request{}, err
		}
	}
	now := s.g.cfg.Clock.Monotonic()
	return request.Request{
		ID: s.id, Service: s.service, Caller: s.g.cfg.Service,
		Method: s.r.Method, Target: s.r.RequestURI, Host: s.r.Host,
		Header: pool.EndToEnd(s.r.Header), Body: in, ContentLength: s.r.ContentLength,
		Class: s.route.Name, Idempotent: s.route.Idempotent,
		Workspace: s.workspaceName(), Priority: s.priority(), RoutePriority: s.route.Priority,
		Remaining: max(s.deadline-now, 0), Objective: s.objective - now,
		MayWait: mayWait,
	}, nil
}

// bufferStart reads the start of the response body before the response is
// forwarded. If the body is truncated within that part, the result becomes an
// error.
func bufferStart(ctx context.Context, a request.Result) request.Result {
	start, whole, err := body.ReadPrefix(a.Response)
	switch {
	case err != nil:
		a.Response.Body.Close()
		kind := gd.Unknown
		if ctx.Err() != nil {
			kind = gd.TimedOut
		}
		a.Response, a.Err = nil, kind.Wrapf(err, "the response body was truncated")
	case whole:
		a.Response.Body.Close()
		body.SetBody(a.Response, start)
	default:
		a.Response.Body = body.Join(start, a.Response.Body)
	}
	return a
}

// recordAttempt updates the state of the request and the estimates of the node
// with the result of an attempt.
func (s *requestState) recordAttempt(ctx context.Context, rec server.Record, a request.Result) {
	s.search.WasAsked(rec.Node, a.Response == nil && gd.QueueFull.Is(a.Err))
	s.attempts = append(s.attempts, rec.Node+" "+attemptText(a))
	if a.Reached {
		s.reached++
		s.ran = s.ran || !a.IsNotRun()
	}
	g := s.g
	if a.Response != nil && platform.IsServerLeaving(a.Response) {
		g.cfg.OnLeaving(rec)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Monotonic()
	g.estimates.Ended(rec.Node)
	if a.HasLoad {
		g.estimates.Reported(now, rec.Node, a.Load)
	}
	switch {
	case a.Response != nil:
		g.estimates.Transferred(s.route.Name, max(s.r.ContentLength, 0)+max(a.Response.ContentLength, 0))
		if a.Response.StatusCode >= http.StatusInternalServerError {
			g.estimates.Failed(now, rec.Node)
		}
	case gd.NoServer.Is(a.Err) && !a.HasLoad, gd.WrongInstance.Is(a.Err):
		g.estimates.Unreachable(now, rec)
	case ctx.Err() == nil && a.Reached, gd.NoServer.Is(a.Err):
		g.estimates.Failed(now, rec.Node)
	}
}

// attemptText returns the result of an attempt as it is logged.
func attemptText(a request.Result) string {
	switch {
	case a.Shed:
		return "shed"
	case a.Response != nil:
		return "answer"
	}
	return gd.KindOf(a.Err).String()
}

// isRetryable reports whether another server may give a better response. A shed
// request has not run; a failed one is retried only if the route is idempotent.
func (s *requestState) isRetryable(a request.Result) bool {
	status := a.Response.StatusCode
	if a.Shed {
		return true
	}
	return s.route.Idempotent && status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

// Reasons for not retrying a request, as logged.
const (
	giveUpCallerLeft          = "client-left"
	giveUpNoTime              = "no-time"
	giveUpBodyTruncated       = "body-cut"
	giveUpDeadlineUnreachable = "hopeless"
	giveUpQuarantined         = "quarantined"
	giveUpMayHaveRun          = "may-have-run"
	giveUpAttemptsUsed        = "attempts-used"
	giveUpNoBudget            = "no-budget"
)

// canRetry reports whether the request may be sent to another server after an
// attempt with result a. If not, it records the reason.
func (s *requestState) canRetry(ctx context.Context, a request.Result) bool {
	s.giveUpReason = s.retryObstacle(ctx, a)
	return s.giveUpReason == ""
}

// retryObstacle returns why the request may not be sent to another server after
// an attempt with result a, or "" if it may. If the request has reached a server,
// the retry is taken from the budget.
func (s *requestState) retryObstacle(ctx context.Context, a request.Result) string {
	now := s.g.cfg.Clock.Monotonic()
	switch {
	case now >= s.deadline:
		return giveUpNoTime
	case s.r.Body != nil && s.r.Body.Err() != nil, gd.BodyStalled.Is(a.Err):
		return giveUpBodyTruncated
	case ctx.Err() != nil:
		return giveUpCallerLeft
	case a.Response == nil && gd.DeadlineUnreachable.Is(a.Err):
		return giveUpDeadlineUnreachable
	case gd.Quarantined.Is(a.Err):
		return giveUpQuarantined
	case !a.Reached:
		return ""
	case s.ran && !s.route.Idempotent:
		return giveUpMayHaveRun
	case s.reached >= s.route.Attempts:
		return giveUpAttemptsUsed
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.isOnce = !s.g.refused.CallersReturn(now, s.route.Name)
	if !s.g.budget.Take(now, s.service, s.snapshot.Nodes(now), budget.Retry{IsRerun: s.ran, IsRepeat: s.isRepeat, IsOnce: s.isOnce}) {
		return giveUpNoBudget
	}
	return ""
}

// forward returns the response of a server for the caller. Closing the response
// body cancels the context of the request.
func (s *requestState) forward(cancel context.CancelFunc, a request.Result) *http.Response {
	res := a.Response
	if a.Shed && s.ran {
		// The response says that the request has not run, but an earlier
		// attempt may have run it.
		res.Body.Close()
		cancel()
		return s.errorResponse(gd.Unknown.Errorf("a server may have run the request in an earlier attempt"), 0)
	}
	if s.r.Body != nil {
		s.r.Body.OnFailure(nil) // the response does not depend on the rest of the body
	}
	s.log(res.StatusCode, nil)
	return &http.Response{
		StatusCode: res.StatusCode, Header: pool.EndToEnd(res.Header),
		Body: &responseBody{res.Body, cancel}, ContentLength: res.ContentLength,
	}
}

// fail returns the response for a request that no server responded to.
func (s *requestState) fail(ctx context.Context, last request.Result) *http.Response {
	err := last.Err
	if s.r.Body != nil {
		if gd.BodyStalled.Is(err) {
			s.r.Body.End(err) // ends the connection, of which no more is read
		}
		bodyErr := s.r.Body.Err()
		if gd.Malformed.Is(bodyErr) || gd.TooLarge.Is(bodyErr) || gd.BodyStalled.Is(bodyErr) && !s.ran && !last.Reached {
			return s.errorResponse(bodyErr, 0)
		}
	}
	switch {
	case err == nil:
		err = gd.NoServer.Errorf("no server of service %s is known", s.service)
	case s.ran && gd.KindOf(err).Response().Outcome == gd.NotRun:
		err = gd.Unknown.Wrapf(err, "a server may have run the request in an earlier attempt")
	case errors.Is(err, request.ErrBodyLate):
		err = gd.TimedOut.Wrapf(err, "the client did not send its body")
	case !s.ran && !last.Reached && ctx.Err() != nil:
		err = gd.DeadlineUnreachable.Wrapf(err, "no server accepted the request before its deadline")
	case !s.ran && !last.Reached && gd.KindOf(err).Response().Outcome != gd.NotRun:
		err = gd.NoServer.Wrapf(err, "the request has reached no server")
	}
	return s.errorResponse(err, last.RetryAfter)
}

// responseBody is the body of a forwarded response. Closing it cancels the
// context of the request.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the request.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// defaultRetryAfter is sent in Retry-After if no node has reported when its server
// is expected to have room.
const defaultRetryAfter = 200 * time.Millisecond
