// Package listener serves HTTP/1.1 client connections and parses messages with
// net/http. Unlike http.Server it handles pipelined requests concurrently, and it
// detects a client that disconnects while its requests are being handled. Responses
// are written in the order of the requests.
package listener

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
)

// Request is a client request. Body is nil if the request has none. Header holds the
// fields as the client sent them.
type Request struct {
	*http.Request
	Body *body.Spool
}

// Handler responds to requests. The context is canceled when the client
// disconnects. The server closes the response body after writing it. ContentLength
// of the response is the length of its body, or -1 if it is unknown.
type Handler interface {
	Handle(ctx context.Context, r *Request) *http.Response
}

// Events receives notifications about connections.
type Events interface {
	// Refused is called with the error when a request or a connection is refused.
	Refused(remote string, err error)
}

// Server serves client connections. Use New to create one.
type Server struct {
	handler    Handler
	events     Events
	limits     func() route.Limits
	spoolBytes int64
	bounds     Bounds

	mu          sync.Mutex
	conns       map[*conn]struct{}
	draining    bool
	listener    net.Listener
	connections sync.WaitGroup
	refused     uint64    // connections closed because there were too many
	reported    time.Time // of the last call of events.Refused for that
}

// New returns a server that passes requests to handler. It calls limits for the
// limits of each request. Up to spoolBytes bytes of a request body are kept for
// retries.
func New(handler Handler, events Events, limits func() route.Limits, spoolBytes int64) *Server {
	return &Server{handler: handler, events: events, limits: limits, spoolBytes: spoolBytes, conns: map[*conn]struct{}{}}
}

// acceptRetryDelay is the pause after an error of Accept, such as running out of
// file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.events.Refused(l.Addr().String(), err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.makeRoom() {
			s.reportRefusal(nc)
			nc.Close() // nothing was read, so the error does not matter
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.connections.Go(c.serve)
		s.mu.Unlock()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each connection close after its last pending response. Requests on
// open and new connections are still accepted.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Active returns the number of requests without a response so far.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.activeRequests()
	}
	return n
}

// Close stops accepting connections and closes the idle ones at once. The others are
// closed after their pending responses or when ctx ends. Close waits for all of them.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	l := s.listener
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close() // first, so that no connection is accepted after the list below is made
	}
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
	stop := context.AfterFunc(ctx, func() {
		for _, c := range conns {
			c.abort()
		}
	})
	defer stop()
	s.connections.Wait()
	return err
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
