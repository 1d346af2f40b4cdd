// Package reset finds that a connection was reset where the socket reports only its end.
package reset

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	gd "github.com/geraniumdock/geraniumdock"
)

// Conn is a connection that one goroutine reads while another writes. The socket reports an
// error such as a reset once, to the call that comes first, and an end of file to the reads after
// it. If a write got the error, Conn returns one from Read too, so that a message that ends with
// the connection is not taken for complete. That includes a reset which follows the regular end:
// which came first can no longer be told.
type Conn struct {
	net.Conn
	writes   atomic.Int32 // calls of Write that have not returned
	hasError atomic.Bool  // a write has failed
}

// NewConn returns a Conn that uses nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write writes p and records whether that fails.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.hasError.Store(true)
	}
	return n, err
}

// HasWriteError reports whether a write has failed.
func (c *Conn) HasWriteError() bool { return c.hasError.Load() }

// Read reads into p. It returns an error of kind Unknown instead of io.EOF if a write has got an
// error from the socket.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, gd.Unknown.Errorf("the connection was reset while data was written to it")
	}
	return n, err
}

// wasReset reports whether a write has got an error from the socket. A write that has not returned
// may have got one already; the state of the socket shows it.
func (c *Conn) wasReset() bool {
	if c.writes.Load() > 0 && c.isSocketClosed() {
		return true
	}
	return c.hasError.Load()
}

// isSocketClosed reports whether the TCP connection has ended in both directions. After a regular
// end by the peer it can still send.
func (c *Conn) isSocketClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, gd.Invalid.Errorf("%T has no raw connection", c.Conn)
	}
	return s.SyscallConn()
}
