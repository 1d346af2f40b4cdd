package station

import (
	"context"
	"io"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
)

// maxBufferedBytes is how much of a large body is received before the request
// waits for a slot.
const maxBufferedBytes = request.BufferedBytes

// receiveBody receives a large body over the link before its request takes a
// slot, which would be idle meanwhile, and replaces the body of r by it. A request
// that would be refused anyway is refused before its body is sent.
func (s *Station) receiveBody(ctx context.Context, arrived time.Duration, r *request.Request) (*receivedBody, request.Result) {
	if refused := s.checkLargeBody(arrived, *r); refused.Err != nil {
		return nil, refused
	}
	source, scheduled := r.Body, s.link.schedule(r.Body, r.ContentLength, ctx.Done())
	spool := body.NewBounded(maxBufferedBytes, s.cfg.Bodies, func() {
		_ = source.Close() // ends a pending read; the spool has the error
	})
	if r.ContentLength > 0 {
		spool.Expect(r.ContentLength)
	}
	received := &receivedBody{spool: spool, rest: scheduled}
	ended, err := spool.Fill(scheduled)
	if err == nil {
		spool.End(nil) // it does not give way any more
		err = spool.Err()
	}
	if err == nil {
		received.Reader, err = spool.Reader()
	}
	if err != nil {
		_ = received.Close() // the body is not used
		if !gd.BodyStalled.Is(err) {
			err = gd.DeadlineUnreachable.Wrapf(err, "reading the request body")
		}
		return nil, request.Failed(err, false)
	}
	if ended {
		r.ContentLength = spool.Arrived()
		_ = scheduled.Close() // it has been read to its end
	} else {
		received.Reader = io.MultiReader(received.Reader, scheduled)
	}
	r.Body = received
	r.MayWait = true // a body that has been received is not sent to another node
	return received, request.Result{}
}

// receivedBody is a body of which the start, or all, has been received into a spool.
type receivedBody struct {
	io.Reader
	spool *body.Spool
	rest  io.Closer
}

// Close frees the spool and the link.
func (b *receivedBody) Close() error {
	b.spool.Discard()
	return b.rest.Close()
}

// discardAfter frees the spool when the exchange with result a has ended. The server may respond
// before it has read the whole body.
func (b *receivedBody) discardAfter(a request.Result) request.Result {
	if a.Response == nil {
		b.spool.Discard()
		return a
	}
	a.Response.Body = &cancelingBody{a.Response.Body, b.spool.Discard}
	return a
}

// bodyFailure returns the error with which the body of a request of this node was cut short
// while the request waited, or nil.
func bodyFailure(r request.Request) error {
	if b, ok := r.Body.(interface{ Err() error }); ok {
		return b.Err()
	}
	return nil
}

// checkLargeBody refuses a request whose large body should not be sent: the
// request must not reach the server, finds no free slot and may not wait for one,
// or could not be served in time after its body was received.
func (s *Station) checkLargeBody(arrived time.Duration, r request.Request) request.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRequest(r); err != nil {
		return request.Failed(err, false)
	}
	if !r.MayWait && !s.queue.HasRoom(arrived) {
		return request.Failed(gd.QueueFull.Errorf("no slot is free, or the server's limit is reached"), false)
	}
	refusal, ok := s.queue.OfferBody(arrived, queueItem(arrived, r), s.link.backlog(), s.link.transferTime(r.ContentLength), r.MayWait)
	if ok {
		return request.Result{}
	}
	a := request.Failed(refusal.Error(), false)
	a.RetryAfter = refusal.RetryAfter
	return a
}
