package peer

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
)

// progress is how much of a request has been sent to a peer. It tells, after a failure,
// requests that certainly reach no server from those that may have run: a request for
// which no connection was found, and one of whose large body the peer has not received
// what it holds before it sends a request to its server.
type progress struct {
	r       request.Request
	hasConn bool // set by the goroutine that calls RoundTrip
	counted *countedBody
}

func newProgress(r request.Request) *progress {
	p := &progress{r: r}
	if isLargeBody(r) {
		p.counted = &countedBody{ReadCloser: r.Body}
	}
	return p
}

// isLargeBody reports whether the peer receives the body before it queues the request.
func isLargeBody(r request.Request) bool {
	return r.Body != nil && (r.ContentLength < 0 || r.ContentLength > placement.LargeBody)
}

// body returns the body to send.
func (p *progress) body() io.ReadCloser {
	if p.counted == nil {
		return p.r.Body
	}
	return p.counted
}

// trace returns a context with which the transport reports that it has a connection.
func (p *progress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { p.hasConn = true }})
}

// mayHaveReached ends the sending of the request, which has failed, and reports whether
// a server may have received a part of it or may still do so.
func (p *progress) mayHaveReached() bool {
	if !p.hasConn {
		return false
	}
	if p.counted == nil {
		return true
	}
	sent, isComplete := p.counted.stop()
	return isComplete || sent >= request.BufferedBytes || sent == p.r.ContentLength
}

// countedBody is a request body that counts the bytes that the transport has taken.
type countedBody struct {
	io.ReadCloser

	mu         sync.Mutex
	taken      int64
	isComplete bool
	isStopped  bool
}

// Read reads from the body until stop is called.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isStopped {
		return 0, gd.Unavailable.Errorf("the request has failed")
	}
	b.taken += int64(n)
	b.isComplete = b.isComplete || err == io.EOF
	return n, err
}

// stop makes later calls of Read fail, and returns the number of bytes taken before and
// whether the body ended with them.
func (b *countedBody) stop() (taken int64, isComplete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isStopped = true
	return b.taken, b.isComplete
}
