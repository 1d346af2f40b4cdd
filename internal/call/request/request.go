// Package request defines an attempt to run a caller's request at a node, and the
// result of the attempt.
package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

// BufferedBytes is how much of a large body a node receives before the request waits for a slot
// of its server. Nothing of a body that ends before is sent to the server, unless it is whole.
const BufferedBytes = 1 << 20

// Request is one attempt to have a caller's request served by one node.
type Request struct {
	ID            string
	Service       string // service that the node's backend server must belong to
	Caller        string // service of the node that received the request
	Method        string
	Target        string // path and query as the caller sent them
	Host          string
	Header        http.Header // fields that are forwarded to the server
	Body          io.ReadCloser
	ContentLength int64 // -1 if unknown

	Class         string // requests of one class have similar slot times
	Idempotent    bool
	Workspace     string        // of the caller, "" if it has none
	Priority      int           // that of the workspace, or of the route if the workspace has none; 0 is the highest
	RoutePriority int           // orders requests of one Priority
	Remaining     time.Duration // until the deadline
	Objective     time.Duration // until the latency objective is missed
	MayWait       bool          // may queue for a slot; otherwise it is refused if no slot is free
	TransitDelay  time.Duration // transit time between the nodes in excess of the usual one
	Local         bool          // sent by the node itself, not over the VM's network link
}

// Hash returns the hash of the request, to which its body is yet to be written.
func (r Request) Hash() *quarantine.Hash {
	h := quarantine.NewHash(r.Caller, r.Method, r.Host+r.Target)
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return h
	}
	return h.WithLength(r.ContentLength)
}

// AwaitBody waits until the body of a request of this node has arrived, or BufferedBytes of it. It
// returns an error if the body is cut short or ctx ends before that. A request should not take
// a slot of a server before, which would be idle meanwhile.
func (r Request) AwaitBody(ctx context.Context) error {
	b, ok := r.Body.(interface{ AwaitBuffered(context.Context) error })
	if !ok {
		return nil
	}
	err := b.AwaitBuffered(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return ErrBodyLate
	}
	return gd.DeadlineUnreachable.Wrapf(err, "waiting for the request body")
}

// ErrBodyLate is the error of AwaitBody at the deadline of the request.
var ErrBodyLate = gd.DeadlineUnreachable.Errorf("the body had not arrived by the deadline")

// Result is the result of an attempt. Exactly one of Response and Err is set.
type Result struct {
	Response   *http.Response // of the server; its body must be closed
	Err        error
	Reached    bool           // the server may have received part of the request
	Shed       bool           // the response states that the server did not run the request
	RetryAfter time.Duration  // with an error: time until the server is expected to have room
	Load       placement.Load // of the node's backend server
	HasLoad    bool
}

// Failed returns the result of an attempt that ended with err.
func Failed(err error, reached bool) Result { return Result{Err: err, Reached: reached} }

// IsNotRun reports whether the server has not run the request and never will.
func (a Result) IsNotRun() bool {
	if a.Response != nil {
		return a.Shed
	}
	return !a.Reached && gd.KindOf(a.Err).Response().Outcome == gd.NotRun
}
