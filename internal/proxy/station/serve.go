package station

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/admission"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// Do runs the request on the server. The context ends when the client has left
// or its time is up.
func (s *Station) Do(ctx context.Context, r request.Request) request.Answer {
	r.Left -= r.Delayed
	r.Objective -= r.Delayed
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	a := s.do(ctx, r)
	a.Load, a.HasLoad = s.Load(), true
	a.Load.Way = r.Delayed
	if a.Response == nil {
		cancel()
		return a
	}
	a.Response.Body = &cancelingBody{a.Response.Body, cancel}
	return a
}

// cancelingBody is a body whose end ends the request's context.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// maxDelay is for how much longer than usual a request may be on its way. The
// notice that its client has left comes behind it, and a client may not find
// its request at a server half a second after it left.
const maxTransitDelay = 400 * time.Millisecond

func (s *Station) do(ctx context.Context, r request.Request) request.Answer {
	arrived := s.now()
	if !r.Local && s.link.isLarge(r.Body, r.ContentLength) {
		var refused request.Answer
		if r, refused = s.receiveBody(ctx, arrived, r); refused.Err != nil {
			s.logRefusal(r, refused.Err)
			return refused
		}
	}
	id, granted, refusal := s.enqueue(arrived, r)
	if refusal.Err != nil {
		s.logRefusal(r, refusal.Err)
		return refusal
	}
	if err := s.awaitSlot(ctx, id, granted); err != nil {
		s.logRefusal(r, err)
		a := request.Failed(err, false)
		a.ComeBack = s.Load().Wait
		return a
	}
	began := s.now()
	a := s.exchange(ctx, id, r)
	status := 0
	if a.Response != nil {
		status = a.Response.StatusCode
	}
	s.cfg.Observe(Outcome{TransitDelay: r.Delayed, Wait: began - arrived, Slot: s.now() - began, Status: status})
	if a.Err != nil || status >= http.StatusInternalServerError {
		s.cfg.Log.Warn(event.RequestServed, "id", r.ID, "instance", s.instance(), "status", status, "reached", a.Reached,
			"waited", (began - arrived).String(), "took", (s.now() - began).String(), "error", errorText(a.Err))
	}
	return a
}

// maxReceived is how much of a large body is received before the request waits
// for a slot, in bytes.
const maxBufferedBytes = 1 << 20

// receiveBody takes a large body over the link before its request takes a slot,
// which would be idle meanwhile. A request that would be refused is refused
// before its body is sent.
func (s *Station) receiveBody(ctx context.Context, arrived time.Duration, r request.Request) (request.Request, request.Answer) {
	if refused := s.checkLargeBody(arrived, r); refused.Err != nil {
		return r, refused
	}
	in := s.link.schedule(r.Body, r.ContentLength, ctx.Done())
	data, err := io.ReadAll(io.LimitReader(in, maxBufferedBytes))
	if err != nil {
		in.Close()
		return r, request.Failed(gd.Hopeless.Wrapf(err, "the body did not arrive"), false)
	}
	r.MayWait = true // what has arrived is not sent again to another node
	if len(data) < maxBufferedBytes {
		in.Close()
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
		return r, request.Answer{}
	}
	r.Body = body.Join(data, in)
	return r, request.Answer{}
}

// checkLargeBody refuses a request whose large body had better not be sent.
func (s *Station) checkLargeBody(arrived time.Duration, r request.Request) request.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRequest(r); err != nil {
		return request.Failed(err, false)
	}
	if !r.MayWait && s.queue.Running()+s.queue.Waiting() >= s.queue.Slots() {
		return request.Failed(gd.QueueFull.Errorf("no slot is free"), false)
	}
	refusal, ok := s.queue.OfferBody(arrived, queueItem(arrived, r), s.link.backlog(), s.link.transferTime(r.ContentLength), r.MayWait)
	if ok {
		return request.Answer{}
	}
	a := request.Failed(refusal.Error(), false)
	a.ComeBack = refusal.ComeBack
	return a
}

// queueItem describes a request to the queue.
func queueItem(now time.Duration, r request.Request) admission.Item {
	return admission.Item{Class: r.Class, Priority: r.Priority, Objective: now + r.Objective, Deadline: now + r.Left}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return gd.Message(err)
}

func (s *Station) logRefusal(r request.Request, err error) {
	if !r.MayWait && gd.QueueFull.Is(err) {
		return // the node that asked chooses again and logs that
	}
	load := s.Load()
	s.cfg.Log.Info(event.RequestRefused, "id", r.ID, "kind", gd.KindOf(err).String(), "error", errorText(err),
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "left", r.Left.String())
}

func (s *Station) instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.Instance
}

// enqueue queues the request or refuses it.
func (s *Station) enqueue(now time.Duration, r request.Request) (uint64, <-chan error, request.Answer) {
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
		a.ComeBack = refusal.ComeBack
		return 0, nil, a
	}
	granted := make(chan error, 1)
	s.waiting[it.ID] = granted
	s.inFlight[it.ID] = r.Fingerprint
	s.startQueued()
	return it.ID, granted, request.Answer{}
}

// checkRequest refuses a request that is not for the server or that must not reach it.
// The caller holds s.mu.
func (s *Station) checkRequest(r request.Request) error {
	switch {
	case r.Delayed > maxTransitDelay:
		return gd.QueueFull.Errorf("the request was on its way for %s longer than usual", r.Delayed)
	case r.Left <= 0:
		return gd.Hopeless.Errorf("the time of the request was up when it came")
	case s.nodeDraining:
		return gd.Draining.Errorf("node %s is going", s.cfg.Node)
	case s.stopAt > 0 && s.now()+r.Left > s.stopAt:
		return gd.Draining.Errorf("node %s ends in %s", s.cfg.Node, s.stopAt-s.now())
	case !s.known:
		return gd.Misplaced.Errorf("no server has announced itself at node %s", s.cfg.Node)
	case s.server.Service != r.Service:
		return gd.Misplaced.Errorf("the server beside node %s is one of %s", s.cfg.Node, s.server.Service)
	case s.state == server.Lost:
		return gd.Misplaced.Errorf("the server beside node %s is down", s.cfg.Node)
	case s.state != server.Up:
		return gd.Draining.Errorf("the server beside node %s is %s", s.cfg.Node, s.state)
	}
	if s.cfg.Verdict(r.Fingerprint) == quarantine.Refused {
		return gd.Quarantined.Errorf("requests like this one crashed servers")
	}
	return nil
}

// startQueued hands out free slots. The caller holds s.mu.
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
}

// awaitSlot waits for a slot. A request whose client has left gives up its place.
func (s *Station) awaitSlot(ctx context.Context, id uint64, granted <-chan error) error {
	select {
	case err := <-granted:
		if err != nil {
			s.removeInFlight(id)
		}
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	waited := s.queue.Cancel(id)
	delete(s.waiting, id)
	s.mu.Unlock()
	if !waited {
		s.releaseSlot(id, false)
	}
	s.removeInFlight(id)
	return gd.Hopeless.Errorf("the request was given up while it waited")
}

func (s *Station) removeInFlight(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
}

// releaseSlot gives the slot to the next request. Whole says that the request ran to
// its end, so that its time counts.
func (s *Station) releaseSlot(id uint64, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(s.now(), id, complete)
	delete(s.inFlight, id)
	s.startQueued()
}

// exchange sends the request to the server. The slot is free when it returns,
// or when the body of the response is closed.
func (s *Station) exchange(ctx context.Context, id uint64, r request.Request) request.Answer {
	req := s.outgoingRequest(ctx, r)
	if _, isJoined := r.Body.(*body.Joined); isJoined {
		defer r.Body.Close() // gives its turn to the next, also after an early answer
	}
	result := s.pool.Do(ctx, pool.Request{Request: req, Target: r.Target, ID: r.ID, Idempotent: r.Idempotent})
	if result.Err != nil {
		s.recordFailure(ctx, id, result)
		s.releaseSlot(id, false)
		return request.Failed(result.Err, result.Reached)
	}
	res := result.Response
	held, complete, err := body.Hold(res)
	if err != nil {
		s.recordOutcome(false)
		res.Body.Close()
		s.releaseSlot(id, false)
		if ctx.Err() != nil {
			return request.Failed(gd.TimedOut.Wrapf(ctx.Err(), "the answer of the server was not complete"), true)
		}
		return request.Failed(gd.Unknown.Wrapf(err, "the answer of the server was cut"), true)
	}
	a := request.Answer{Response: res, Reached: true, Shed: platform.IsNotRun(res)}
	if err := checkAnswer(res); err != nil {
		s.recordOutcome(false)
		res.Body.Close()
		s.releaseSlot(id, false)
		return request.Failed(err, true)
	}
	s.recordOutcome(res.StatusCode < http.StatusInternalServerError)
	if complete {
		res.Body.Close()
		body.WithHeld(res, held)
		s.releaseSlot(id, res.StatusCode < http.StatusInternalServerError)
		return a
	}
	res.Body = &streamedBody{Reader: io.MultiReader(bytes.NewReader(held), res.Body), body: res.Body, releaseSlot: func() { s.releaseSlot(id, true) }}
	return a
}

// checkAnswer refuses an answer that cannot be the server's.
func checkAnswer(res *http.Response) error {
	switch {
	case res.StatusCode >= 200 && res.StatusCode < 300 && !platform.IsSealed(res.Header):
		return gd.Unknown.Errorf("the server's answer %d is not sealed", res.StatusCode)
	case res.Header.Get("Content-Encoding") != "":
		return gd.Unknown.Errorf("the server's answer is encoded as %s", res.Header.Get("Content-Encoding"))
	}
	return nil
}

// streamedBody is the body of an answer that is passed on while it arrives.
type streamedBody struct {
	io.Reader
	body        io.Closer
	releaseSlot func()
	done        bool
}

// Close frees the slot.
func (b *streamedBody) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	err := b.body.Close()
	b.releaseSlot()
	return err
}

func (s *Station) outgoingRequest(ctx context.Context, r request.Request) *http.Request {
	h := pool.EndToEnd(r.Header)
	left := r.Left
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	platform.SetDeadline(h, left)
	platform.SetCaller(h, r.Caller)
	platform.SetExpected(h, s.instance())
	return &http.Request{Method: r.Method, Host: r.Host, Header: h, Body: r.Body, ContentLength: r.ContentLength}
}

// recordOutcome counts whether the server served a request.
func (s *Station) recordOutcome(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := 0.0
	if !ok {
		failed = 1
	}
	s.failureRate += failureRateSmoothing * (failed - s.failureRate)
}
