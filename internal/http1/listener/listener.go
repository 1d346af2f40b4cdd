// Package listener serves HTTP/1.1 connections of clients, with the message
// parsing of net/http. Unlike the server of net/http it starts each pipelined
// request when it has been read and notices a client that leaves while its
// requests are served; answers are written in the order of the requests.
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

// Request is a request of a client. Body is nil if it has none. Its header
// holds the fields as the client sent them.
type Request struct {
	*http.Request
	Body *body.Spool
}

// Handler answers requests. The context ends when the client leaves. The
// answer's body is closed after it was written; its length is ContentLength,
// or -1 if it is not known.
type Handler interface {
	Handle(ctx context.Context, r *Request) *http.Response
}

// Events are told what happens on connections.
type Events interface {
	// Refused is told of a connection that is closed because of err.
	Refused(remote string, err error)
}

// Server serves connections. Use New.
type Server struct {
	handler Handler
	events  Events
	limits  func() route.Limits
	spool   int64

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	listener net.Listener
	ended    sync.WaitGroup
}

// New returns a server that passes requests to handler within the limits in
// force. Up to spool bytes of a body are kept for repeats.
func New(handler Handler, events Events, limits func() route.Limits, spool int64) *Server {
	return &Server{handler: handler, events: events, limits: limits, spool: spool, conns: map[*conn]struct{}{}}
}

// Pause after an error of Accept, such as running out of descriptors.
const acceptPause = 10 * time.Millisecond

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
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.ended.Go(c.serve)
		s.mu.Unlock()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain has each connection closed after its next answer. Requests are still
// taken.
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

// Active returns the number of requests that are not answered yet.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.active()
	}
	return n
}

// Close stops accepting, closes idle connections at once and the others after
// the answers they wait for or when ctx ends, and waits for all of them.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	l := s.listener
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close() // first, so that no connection is missed below
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
	s.ended.Wait()
	return err
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
