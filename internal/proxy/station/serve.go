package station

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// Do runs the request on the server. The caller cancels ctx when the client has
// disconnected or the request's deadline has passed.
func (s *Station) Do(ctx context.Context, r request.Request) request.Result {
	r.Remaining -= r.TransitDelay
	r.Objective -= r.TransitDelay
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	a := s.do(ctx, r)
	a.Load, a.HasLoad = s.Load(), true
	a.Load.TransitDelay = r.TransitDelay
	if a.Response == nil {
		cancel()
		return a
	}
	a.Response.Body = &cancelingBody{a.Response.Body, cancel}
	return a
}

// cancelingBody is a response body that calls cancel on Close.
type cancelingBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and calls cancel.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// maxTransitDelay is the longest transit delay, beyond the usual one, with which a
// request is still accepted. The notice that its client has disconnected is delayed
// as much, and a request must not reach the server half a second after its client
// has disconnected.
const maxTransitDelay = 400 * time.Millisecond

func (s *Station) do(ctx context.Context, r request.Request) request.Result {
	arrived := s.now()
	if r.Local || !s.link.isLarge(r.Body, r.ContentLength) {
		return s.runQueued(ctx, arrived, r)
	}
	received, refused := s.receiveBody(ctx, arrived, &r)
	if refused.Err != nil {
		s.logRefusal(r, refused.Err)
		return refused
	}
	defer received.rest.Close() // frees the link, also after a refusal or an early response
	return received.discardAfter(s.runQueued(ctx, arrived, r))
}

// runQueued queues a request whose body has been received, if it is large, and runs it.
func (s *Station) runQueued(ctx context.Context, arrived time.Duration, r request.Request) request.Result {
	if err := r.AwaitBody(ctx); err != nil {
		s.logRefusal(r, err)
		return request.Failed(err, false)
	}
	id, granted, refusal := s.enqueue(arrived, r)
	if refusal.Err != nil {
		s.logRefusal(r, refusal.Err)
		return refusal
	}
	if err := s.awaitSlot(ctx, id, granted); err != nil {
		s.logRefusal(r, err)
		a := request.Failed(err, false)
		a.RetryAfter = s.Load().Wait
		return a
	}
	return s.runGranted(ctx, id, arrived, r)
}

// runGranted runs a request that has a slot, unless it must not be sent any more. The slot
// is freed before it returns, or when the body of a streamed response is closed.
func (s *Station) runGranted(ctx context.Context, id uint64, arrived time.Duration, r request.Request) request.Result {
	sentTo, err := s.beginSend(ctx, r)
	if err != nil {
		s.releaseSlot(id, false)
		s.logRefusal(r, err)
		return request.Failed(err, false)
	}
	if failure := bodyFailure(r); failure != nil {
		s.releaseSlot(id, false)
		s.logRefusal(r, failure)
		return request.Failed(failure, false)
	}
	began, isCold := s.now(), s.isCold()
	a := s.send(ctx, id, r, sentTo)
	status := 0
	if a.Response != nil {
		status = a.Response.StatusCode
	}
	s.cfg.Observe(Outcome{
		TransitDelay: r.TransitDelay, SlotWait: began - arrived, SlotTime: s.now() - began, Status: status,
		Class: r.Class, Version: sentTo.Version, IsCold: isCold, IsNotRun: a.Shed || a.Err != nil && !a.Reached,
		IsLeft: a.Err != nil && hasClientLeft(ctx), IsLost: a.Err != nil && ctx.Err() == nil,
	})
	if a.Err != nil || status >= http.StatusInternalServerError {
		s.cfg.Log.Warn(event.RequestServed, "id", r.ID, "instance", s.instance(), "status", status, "reached", a.Reached,
			"waited", (began - arrived).String(), "took", (s.now() - began).String(), "error", errorText(a.Err))
	}
	return a
}

// queueItem returns the queue's description of a request.
func queueItem(now time.Duration, r request.Request) admission.Item {
	return admission.Item{Class: r.Class, Workspace: r.Workspace, Priority: r.Priority, RoutePriority: r.RoutePriority, Objective: now + r.Objective, Deadline: now + r.Remaining}
}

// deadlineMargin is the time by which the node that sent a request may cancel it before its
// deadline here: that node's own deadline for it is earlier.
const deadlineMargin = 100 * time.Millisecond

// hasClientLeft reports whether the context of a request was canceled well before its deadline.
func hasClientLeft(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return errors.Is(ctx.Err(), context.Canceled) && (!ok || clock.Since(deadline) < -deadlineMargin)
}

// isCold reports whether the server is still slow after its start.
func (s *Station) isCold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.coldUntil
}

// errorText returns the message of err, "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return gd.Message(err)
}

func (s *Station) logRefusal(r request.Request, err error) {
	if !r.MayWait && gd.QueueFull.Is(err) {
		return // the node that sent the request logs it and tries another node
	}
	load := s.Load()
	fields := []any{"id", r.ID, "kind", gd.KindOf(err).String(), "error", errorText(err),
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "limit-wait", load.LimitWait.String(), "left", r.Remaining.String()}
	if r.Workspace != "" {
		fields = append(fields, "workspace", r.Workspace)
	}
	s.cfg.Log.Info(event.RequestRefused, fields...)
}

func (s *Station) instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.Instance
}

// enqueue queues the request or refuses it. The channel receives nil when a slot
// is granted, or the error with which the queued request is refused.
func (s *Station) enqueue(now time.Duration, r request.Request) (uint64, <-chan error, request.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRequest(r); err != nil {
		return 0, nil, request.Failed(err, false)
	}
	s.lastID++
	it := queueItem(now, r)
	it.ID = s.lastID
	if refusal, ok := s.queue.Offer(now, it, r.MayWait); !ok {
		a := request.Failed(refusal.Error(), false)
		a.RetryAfter = refusal.RetryAfter
		return 0, nil, a
	}
	granted := make(chan error, 1)
	s.waiting[it.ID] = granted
	s.startQueued()
	return it.ID, granted, request.Result{}
}

// checkRequest returns an error if the request must not reach the server. The
// caller holds s.mu.
func (s *Station) checkRequest(r request.Request) error {
	switch {
	case r.TransitDelay > maxTransitDelay:
		return gd.QueueFull.Errorf("the request was in transit for %s longer than usual", r.TransitDelay)
	case r.Remaining <= 0:
		return gd.DeadlineUnreachable.Errorf("the request's deadline had passed when it arrived")
	case s.nodeDraining:
		return gd.Draining.Errorf("node %s is shutting down", s.cfg.Node)
	case s.stopAt > 0 && s.now()+r.Remaining > s.stopAt:
		return gd.Draining.Errorf("node %s stops in %s, before the request's deadline", s.cfg.Node, s.stopAt-s.now())
	case !s.known:
		return gd.WrongInstance.Errorf("no server has announced itself at node %s", s.cfg.Node)
	case s.server.Service != r.Service:
		return gd.WrongInstance.Errorf("the server beside node %s belongs to service %s", s.cfg.Node, s.server.Service)
	case s.state == server.Lost:
		return gd.WrongInstance.Errorf("the server beside node %s is down", s.cfg.Node)
	case s.state != server.Up:
		return gd.Draining.Errorf("the server beside node %s is %s", s.cfg.Node, s.state)
	}
	if s.cfg.Verdict(r.Hash().Head()) == quarantine.Refused {
		return gd.Quarantined.Errorf("the request is quarantined: servers crashed while they ran requests like it")
	}
	return nil
}

// startQueued grants the free slots to queued requests. The caller holds s.mu.
func (s *Station) startQueued() {
	if !s.mayStart() {
		return
	}
	for _, it := range s.queue.Start(s.now()) {
		if c, ok := s.waiting[it.ID]; ok {
			delete(s.waiting, it.ID)
			c <- nil
		}
	}
	if wait, ok := s.queue.NextStart(s.now()); ok {
		s.startTimer.Reset(wait)
	}
}

// startDue grants the free slots to queued requests that the server's limit admits by
// now.
func (s *Station) startDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startQueued()
}

// maxReplyTime is how long before its deadline a request leaves the queue, so that the
// node that sent it learns that it has not run. Otherwise that node would have to respond
// as if it may have. A response takes up to 20 ms on small processors.
const maxReplyTime = 20 * time.Millisecond

// waitTimeout returns how long a request with the given time left may wait for a slot.
func waitTimeout(left time.Duration) time.Duration { return left - min(maxReplyTime, left/10) }

// awaitSlot waits for a slot. If ctx ends first, the request leaves the queue.
func (s *Station) awaitSlot(ctx context.Context, id uint64, granted <-chan error) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, waitTimeout(time.Until(deadline)))
		defer cancel()
	}
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	wasQueued := s.queue.Cancel(id)
	delete(s.waiting, id)
	s.mu.Unlock()
	if !wasQueued {
		s.releaseSlot(id, false)
	}
	return gd.DeadlineUnreachable.Errorf("the request was canceled or timed out while it waited for a slot")
}

// releaseSlot frees the request's slot for the next one. If complete is set, the
// request ran to its end and its duration counts for the mean slot time.
func (s *Station) releaseSlot(id uint64, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(s.now(), id, complete)
	delete(s.running, id)
	s.startQueued()
}

// send sends the request to the server sentTo. The slot is freed before it returns,
// or when the body of a streamed response is closed.
func (s *Station) send(ctx context.Context, id uint64, r request.Request, sentTo platform.Announcement) request.Result {
	req := s.outgoingRequest(ctx, r, sentTo.Instance)
	x := &exchange{body: newSentBody(r.Hash(), req.Body, r.ContentLength), sentTo: sentTo, deadline: s.deadlineOf(ctx)}
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = x.body
	}
	s.beginExchange(id, x)
	sent := s.now()
	result := s.pool.Do(ctx, pool.Request{Request: req, Target: r.Target, ID: r.ID, Idempotent: r.Idempotent})
	if result.Err != nil {
		s.recordFailure(ctx, x, result)
		s.releaseSlot(id, false)
		return request.Failed(result.Err, result.Reached)
	}
	res := result.Response
	s.recordNotices(r.ID, sentTo, sent, res)
	responseBody := &trackedBody{ReadCloser: res.Body}
	res.Body = responseBody
	x.ranWell = isRunResponse(res)
	ended := func() {
		if !platform.IsNotRun(res) {
			s.recordEnding(x, endingOf(ctx, x.body, responseBody))
		}
	}
	prefix, complete, err := body.ReadPrefix(res)
	if err == nil {
		err = checkResponse(res)
	}
	if err != nil {
		s.recordOutcome(false)
		res.Body.Close()
		ended()
		s.releaseSlot(id, false)
		return failedResponse(ctx, responseBody, err)
	}
	a := request.Result{Response: res, Reached: true, Shed: platform.IsNotRun(res)}
	s.recordOutcome(res.StatusCode < http.StatusInternalServerError)
	if complete {
		res.Body.Close()
		ended()
		body.SetBody(res, prefix)
		s.releaseSlot(id, res.StatusCode < http.StatusInternalServerError)
		return a
	}
	onClose := func() {
		ended()
		s.releaseSlot(id, true)
	}
	res.Body = &streamedBody{Reader: io.MultiReader(bytes.NewReader(prefix), res.Body), body: res.Body, onClose: onClose}
	return a
}

// beginExchange records that the request runs on the server.
func (s *Station) beginExchange(id uint64, x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = x
}

// failedResponse returns the result of an exchange whose response is not forwarded because
// of err.
func failedResponse(ctx context.Context, responseBody *trackedBody, err error) request.Result {
	switch {
	case !responseBody.hasFailed():
		return request.Failed(err, true)
	case ctx.Err() != nil:
		return request.Failed(gd.TimedOut.Wrapf(ctx.Err(), "the request timed out before the server's response was complete"), true)
	}
	return request.Failed(gd.Unknown.Wrapf(err, "the server's response ended early"), true)
}

// endingOf returns how an exchange ended whose response was read until it ended, failed or
// was closed.
func endingOf(ctx context.Context, sent *sentBody, responseBody *trackedBody) ending {
	switch {
	case responseBody.hasFailed() && ctx.Err() == nil:
		return interrupted
	case !responseBody.isComplete() || !sent.isComplete():
		return abandoned
	}
	return completed
}

// checkResponse returns an error for a response that cannot be the server's own: a
// successful one without the server's signature, or one with a content encoding.
func checkResponse(res *http.Response) error {
	switch {
	case res.StatusCode >= 200 && res.StatusCode < 300 && !platform.IsSigned(res.Header):
		return gd.Unknown.Errorf("the server's response with status %d has no signature", res.StatusCode)
	case res.Header.Get("Content-Encoding") != "":
		return gd.Unknown.Errorf("the server's response has the unexpected content encoding %s", res.Header.Get("Content-Encoding"))
	}
	return nil
}

// streamedBody is the body of a response that is forwarded while it arrives.
type streamedBody struct {
	io.Reader
	body    io.Closer
	onClose func() // called once
	done    bool
}

// Close closes the body and calls onClose.
func (b *streamedBody) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	err := b.body.Close()
	b.onClose()
	return err
}

// beginSend records that the request is being sent, and returns the server that it is sent
// to. It returns an error if the request, which has a slot, must not be sent any more: the
// process may have been paused since the slot was granted, and ctx may not have ended yet.
func (s *Station) beginSend(ctx context.Context, r request.Request) (platform.Announcement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline, hasDeadline := ctx.Deadline()
	switch {
	case hasDeadline && clock.Since(deadline) >= 0:
		return platform.Announcement{}, gd.DeadlineUnreachable.Errorf("the request's deadline passed before it was sent to the server")
	case s.server.Service != r.Service:
		return platform.Announcement{}, gd.WrongInstance.Errorf("the server beside node %s belongs to service %s now", s.cfg.Node, s.server.Service)
	case !s.mayStart():
		return platform.Announcement{}, gd.Draining.Errorf("the server beside node %s is %s", s.cfg.Node, s.state)
	}
	s.recordSent()
	return s.server, nil
}

// outgoingRequest returns the HTTP request to send to the server instance.
func (s *Station) outgoingRequest(ctx context.Context, r request.Request, instance string) *http.Request {
	h := pool.EndToEnd(r.Header)
	left := r.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	platform.SetDeadline(h, left)
	platform.SetCaller(h, r.Caller)
	platform.SetExpectedInstance(h, instance)
	return &http.Request{Method: r.Method, Host: r.Host, Header: h, Body: r.Body, ContentLength: r.ContentLength}
}

// recordOutcome updates the failure rate with the outcome of a request.
func (s *Station) recordOutcome(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := 0.0
	if !ok {
		failed = 1
	}
	s.failureRate += failureRateSmoothing * (failed - s.failureRate)
}
