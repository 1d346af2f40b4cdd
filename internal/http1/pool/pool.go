// Package pool manages the connections to one backend server and sends requests on
// them. Unlike http.Transport it never retries a request, it reports whether part of
// the request may have reached the server, and it uses request ids to detect
// responses that belong to earlier requests.
package pool

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

const (
	dialTimeout          = 500 * time.Millisecond // the server is on the same VM
	maxIdleTimeout       = 8 * time.Second        // for servers that send no Keep-Alive timeout; also the upper limit
	idleTimeoutMargin    = 700 * time.Millisecond // subtracted from the Keep-Alive timeout, so that the pool closes the connection before the server
	maxNonIdempotentIdle = time.Second            // longest idle time before a non-idempotent request, which cannot be retried if the server has closed the connection
)

// Request is a request to a backend server.
type Request struct {
	*http.Request
	Target     string // path and query, as the client sent them
	ID         string // the response must carry the same id
	Idempotent bool
}

// Result is the outcome of a request. Exactly one of Response and Err is set.
type Result struct {
	Response *http.Response // the caller of Do must close its body
	Err      error          // of kind NoServer, Unknown or TimedOut
	Reached  bool           // part of the request may have reached the server
}

// ResponseIDFunc returns the request id in the header of a response, or "" if it has
// none.
type ResponseIDFunc func(http.Header) string

// Pool manages the connections to one address. Use New to create one.
type Pool struct {
	address    string
	responseID ResponseIDFunc

	mu     sync.Mutex
	idle   []*conn // the most recently used is last
	closed bool
	opened uint64
}

// New returns a pool of connections to address. It calls responseID to match
// responses with requests.
func New(address string, responseID ResponseIDFunc) *Pool {
	return &Pool{address: address, responseID: responseID}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections. Connections in use are closed after their
// responses.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.nc.Close()
	}
	p.idle = nil
}

// Do sends a request and returns its response after reading the header. When ctx ends
// the connection is closed, so that the server stops working on the request.
func (p *Pool) Do(ctx context.Context, r Request) Result {
	c, err := p.get(ctx, r)
	if err != nil {
		return Result{Err: err}
	}
	return c.roundTrip(ctx, r)
}

// Probe opens a connection and adds it to the idle connections. An error of kind
// NoServer means that the server does not accept connections at the address.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err == nil {
		p.put(c)
	}
	return err
}

// CheckIdle checks the idle connection that was used last. It reports whether there is one,
// and whether the server has closed it, in which case it is removed.
func (p *Pool) CheckIdle() (open, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false, false
	}
	last := len(p.idle) - 1
	if c := p.idle[last]; !c.isReusable() {
		c.nc.Close()
		p.idle = p.idle[:last]
		return false, true
	}
	return true, false
}

// get returns a reusable idle connection for the request or opens a new one.
func (p *Pool) get(ctx context.Context, r Request) (*conn, error) {
	for {
		c := p.takeIdle(r)
		if c == nil {
			return p.dial(ctx)
		}
		if c.isReusable() {
			return c, nil
		}
		c.nc.Close()
	}
}

// takeIdle removes the idle connection that was used last, of those that have not carried a
// request with the id of r. It closes the connections that have been idle for too long.
func (p *Pool) takeIdle(r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	for i, c := range slices.Backward(p.idle) {
		age := clock.Since(c.lastUsed)
		if age >= c.idleTimeout {
			for _, old := range p.idle[:i+1] {
				old.nc.Close()
			}
			p.idle = slices.Delete(p.idle, 0, i+1)
			return nil
		}
		if !r.Idempotent && age > maxNonIdempotentIdle {
			return nil // the other connections have been idle for longer
		}
		if !c.hasCarried(r.ID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, gd.TimedOut.Wrapf(err, "connect to backend server")
		}
		return nil, gd.NoServer.Wrapf(err, "connect to backend server")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	return newConn(p, nc), nil
}

// put adds a connection to the idle connections.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.nc.Close()
		return
	}
	c.lastUsed = clock.Deadline(0)
	p.idle = append(p.idle, c)
}

// isHopByHop reports whether a header field is not forwarded: either it applies to a
// single connection only, or the proxy sets or handles it itself (Content-Length, Host,
// Expect). connectionOptions are the field names listed in the Connection header.
func isHopByHop(name string, connectionOptions []string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Host", "Expect":
		return true
	}
	for _, n := range connectionOptions {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// connectionOptions returns the field names that the Connection header of h lists.
func connectionOptions(h http.Header) []string {
	var options []string
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			options = append(options, strings.TrimSpace(n))
		}
	}
	return options
}

// EndToEnd returns the fields of h that a proxy forwards, in a header of their own.
func EndToEnd(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	CopyEndToEnd(kept, h)
	return kept
}

// CopyEndToEnd adds the fields of src that a proxy forwards to dst.
func CopyEndToEnd(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if !isHopByHop(name, options) {
			dst[name] = values
		}
	}
}

// endToEnd returns the fields of h that a proxy forwards. It returns h itself if that has no
// others; the caller must not change the result.
func endToEnd(h http.Header) http.Header {
	options := connectionOptions(h)
	for name := range h {
		if isHopByHop(name, options) {
			return EndToEnd(h)
		}
	}
	return h
}
