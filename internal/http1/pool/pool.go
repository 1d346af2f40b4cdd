// Package pool keeps the connections to one backend server and exchanges
// requests on them. Unlike the transport of net/http it never repeats a
// request, says whether a byte of it may have reached the server, and tells an
// answer from one that belongs to an earlier request by its id.
package pool

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

const (
	dialTimeout = 500 * time.Millisecond // the server is on the same VM
	defaultIdleTimeout     = 8 * time.Second        // for servers that do not announce an idle timeout
	idleTimeoutMargin  = 700 * time.Millisecond // a connection is given up this much before the announced timeout
	maxNonIdempotentIdle  = time.Second            // for requests that must not be sent twice
)

// Request is a request to a backend server.
type Request struct {
	*http.Request
	Target     string // path and query as the client sent them
	ID         string // the answer must bear it
	Idempotent bool
}

// Result is what became of a request. Exactly one of Response and Err is set.
type Result struct {
	Response *http.Response // its body must be closed
	Err      error          // of kind NoServer, Unknown or TimedOut
	Reached  bool           // a byte of the request may have reached the server
}

// ResponseIDFunc returns the id that an answer bears, or "" for none.
type ResponseIDFunc func(http.Header) string

// Pool keeps the connections to one address. Use New.
type Pool struct {
	address  string
	responseID ResponseIDFunc

	mu     sync.Mutex
	idle   []*conn // the one used last at the end
	closed bool
	opened uint64
}

// New returns a pool of connections to address.
func New(address string, responseID ResponseIDFunc) *Pool {
	return &Pool{address: address, responseID: responseID}
}

// Opened returns how many connections have been opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections; those in use are closed after their
// answers.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.nc.Close()
	}
	p.idle = nil
}

// Do sends a request and returns the head of its answer. When ctx ends the
// connection is closed, which ends the work at the server.
func (p *Pool) Do(ctx context.Context, r Request) Result {
	c, err := p.get(ctx, r.Idempotent)
	if err != nil {
		return Result{Err: err}
	}
	return c.roundTrip(ctx, r)
}

// Probe opens a connection and keeps it. An error of kind NoServer means that
// nothing listens at the address.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err == nil {
		p.put(c)
	}
	return err
}

// get returns an idle connection that is sound, or a new one.
func (p *Pool) get(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		c := p.takeIdle(idempotent)
		if c == nil {
			return p.dial(ctx)
		}
		if c.isReusable() {
			return c, nil
		}
		c.nc.Close()
	}
}

func (p *Pool) takeIdle(idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		age := clock.Since(c.lastUsed)
		if age < c.idleTimeout {
			if !idempotent && age > maxNonIdempotentIdle {
				return nil // the newest one is too old, too
			}
			p.idle = p.idle[:len(p.idle)-1]
			return c
		}
		for _, old := range p.idle {
			old.nc.Close()
		}
		p.idle = nil
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, gd.TimedOut.Wrapf(err, "connection to the server")
		}
		return nil, gd.NoServer.Wrapf(err, "connection to the server")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	return newConn(p, nc), nil
}

// put keeps a connection for later requests.
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

// isHopByHop reports whether a header field concerns one connection only.
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

// EndToEnd returns the fields of h that go on to the next hop.
func EndToEnd(h http.Header) http.Header {
	var connectionOptions []string
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			connectionOptions = append(connectionOptions, strings.TrimSpace(n))
		}
	}
	kept := make(http.Header, len(h))
	for name, values := range h {
		if !isHopByHop(name, connectionOptions) {
			kept[name] = values
		}
	}
	return kept
}
