// Package resettest plays a server that responds during an upload and resets the connection, in
// an order that is rare otherwise: a write of the client gets the reset from the socket before
// the client reads the rest of the response.
package resettest

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
)

// Server responds to the first part of a request and resets the connection.
type Server struct {
	Taken    <-chan struct{} // closed when a write of the client has got the reset
	HoldBack bool            // that write returns when the connection is closed, not before
	address  string
	taken    chan struct{}
	hasReset chan struct{}
}

// NewServer starts a Server that sends the response. It ends with the test.
func NewServer(t *testing.T, response string) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{address: l.Addr().String(), taken: make(chan struct{}), hasReset: make(chan struct{})}
	s.Taken = s.taken
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = nc.Read(make([]byte, 1<<10))
		_, _ = nc.Write([]byte(response))
		_ = nc.(*net.TCPConn).SetLinger(0) // Close resets the connection
		_ = nc.Close()
		close(s.hasReset)
	}()
	return s
}

// Dial connects to the server. The writes of the connection, except the first one, wait for the
// reset.
func (s *Server) Dial(ctx context.Context, network, _ string) (net.Conn, error) {
	nc, err := new(net.Dialer).DialContext(ctx, network, s.address)
	return &conn{Conn: nc, server: s, closed: make(chan struct{})}, err
}

// conn is the client's end of a connection.
type conn struct {
	net.Conn
	server *Server
	writes int
	closed chan struct{}
	once   sync.Once
}

func (c *conn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		return c.Conn.Write(p)
	}
	<-c.server.hasReset
	n, err := 0, error(nil)
	for err == nil {
		n, err = c.Conn.Write(p)
	}
	close(c.server.taken)
	if c.server.HoldBack {
		<-c.closed
	}
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
