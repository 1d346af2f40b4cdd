package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
)

const (
	maxPipelined  = 64                     // requests of one connection that are served at once
	readBuffer    = 4 << 10                // bytes; grows to the limit of the head where that is larger
	writeBuffer   = 4 << 10                // bytes
	copyBuffer    = 16 << 10               // bytes of a body that are read at a time
	lingerTime    = 500 * time.Millisecond // how long a closed connection is still read, so that it is not reset
	writeTimeout  = 10 * time.Second       // for an answer that the client does not read
	maxDrainBytes = 1 << 20                // of what a client sends after the connection was closed
)

// conn is the connection of one client. The goroutine of serve reads requests,
// and each request has a goroutine that answers it.
type conn struct {
	s  *Server
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer

	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // bounds the pipelined requests
	served sync.WaitGroup

	mu      sync.Mutex
	begun   int          // requests that were read
	written int          // requests that were answered
	closing bool         // no request is taken any more
	limits  route.Limits // written by the reader
}

func newConn(s *Server, nc net.Conn) *conn {
	limits := s.limits()
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		s: s, nc: nc, limits: limits,
		br:  bufio.NewReaderSize(nc, max(readBuffer, limits.HeaderBytes)),
		bw:  bufio.NewWriterSize(nc, writeBuffer),
		ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxPipelined),
	}
}

// serve reads requests until the client or an answer ends the connection.
func (c *conn) serve() {
	defer c.s.forget(c)
	turn := make(chan struct{}) // closed when the next answer may be written
	close(turn)
	for {
		req, err := c.next()
		if err != nil {
			c.refuse(err, turn)
			break
		}
		c.slots <- struct{}{}
		if !c.begin() {
			break // an answer has closed the connection
		}
		var spool *body.Spool
		if req.Body != http.NoBody && req.ContentLength != 0 {
			spool = body.New(c.s.spool)
		}
		written := make(chan struct{})
		previous := turn
		c.served.Go(func() { c.answer(&Request{req, spool}, previous, written) })
		turn = written
		if spool != nil && !c.receive(req, spool, previous) {
			break
		}
	}
	c.finish()
}

// finish waits for the answers that are under way and closes the connection so
// that the client can read the last of them.
func (c *conn) finish() {
	c.served.Wait()
	c.cancel()
	if t, ok := c.nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		if c.nc.SetReadDeadline(clock.Deadline(lingerTime)) == nil {
			// What still comes is not read as a request.
			_, _ = io.CopyN(io.Discard, c.br, maxDrainBytes)
		}
	}
	c.nc.Close() // the connection is done with, whatever this returns
}

// next reads the head of the next request. Any error other than a refusal of
// the request means that the client has left.
func (c *conn) next() (*http.Request, error) {
	c.mu.Lock()
	c.setIdle()
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	limits := c.s.limits()
	c.mu.Lock()
	c.limits = limits
	c.mu.Unlock()
	if err := c.nc.SetReadDeadline(clock.Deadline(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	req, err := readRequest(c.br, min(limits.HeaderBytes, c.br.Size()))
	if err != nil {
		return nil, err
	}
	req.RemoteAddr = c.nc.RemoteAddr().String()
	return req, nil
}

// setIdle bounds the wait for a request while none is being answered. The
// caller holds c.mu.
func (c *conn) setIdle() {
	deadline := time.Time{}
	if c.begun == c.written {
		deadline = clock.Deadline(c.limits.IdleTimeout)
	}
	// An error means that the connection is closed, which the next read tells.
	_ = c.nc.SetReadDeadline(deadline)
}

// begin counts a request that was read. It reports false if an answer closes
// the connection, so that the request must not be served.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.begun++
	_ = c.nc.SetReadDeadline(time.Time{}) // an error shows at the next read
	return true
}

func (c *conn) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun - c.written
}

// receive moves the body of req into the spool. It reports false if no further
// request can be read.
func (c *conn) receive(req *http.Request, spool *body.Spool, previous <-chan struct{}) bool {
	if req.ContentLength > c.limits.BodyBytes {
		spool.End(gd.TooLarge.Errorf("the body is longer than %d bytes", c.limits.BodyBytes))
		return false
	}
	if expectsContinue(req) && !c.sendContinue(previous) {
		spool.End(gd.Unavailable.Errorf("the client left"))
		return false
	}
	err := c.copyBody(req, spool)
	spool.End(err)
	if err == nil {
		return true
	}
	if !gd.TooLarge.Is(err) && !gd.Malformed.Is(err) {
		c.cancel() // the client left
	}
	return false
}

func (c *conn) copyBody(req *http.Request, spool *body.Spool) error {
	buf := make([]byte, copyBuffer)
	total := int64(0)
	for {
		if err := c.nc.SetReadDeadline(clock.Deadline(c.limits.IdleTimeout)); err != nil {
			return err
		}
		n, err := req.Body.Read(buf)
		if total += int64(n); total > c.limits.BodyBytes {
			return gd.TooLarge.Errorf("the body is longer than %d bytes", c.limits.BodyBytes)
		}
		if _, err := spool.Write(buf[:n]); err != nil {
			return err
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil && isConnectionError(err):
			return err
		case err != nil:
			return gd.Malformed.Wrapf(err, "body")
		}
	}
}

func isConnectionError(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

func (c *conn) sendContinue(previous <-chan struct{}) bool {
	<-previous
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// answer has the request handled and writes its answer when the earlier ones
// have been written.
func (c *conn) answer(r *Request, turn <-chan struct{}, written chan<- struct{}) {
	res := c.s.handler.Handle(c.ctx, r)
	<-turn
	last := c.write(r, res)
	if r.Body != nil {
		r.Body.Discard()
	}
	<-c.slots
	if last {
		// Wakes the reader, which then finds the connection closing.
		_ = c.nc.SetReadDeadline(clock.Deadline(0))
	}
	close(written)
}

// write sends the answer and reports whether the connection ends with it.
func (c *conn) write(r *Request, res *http.Response) bool {
	last := c.isLast(r, res)
	res.Proto, res.ProtoMajor, res.ProtoMinor = "HTTP/1.1", 1, 1
	res.Request = r.Request
	res.Close = last
	if res.ContentLength < 0 {
		res.TransferEncoding = []string{"chunked"}
	}
	err := c.nc.SetWriteDeadline(clock.Deadline(writeTimeout))
	if err == nil {
		err = res.Write(c.bw)
	}
	if err == nil {
		err = c.bw.Flush()
	}
	if res.Body != nil {
		res.Body.Close() // what was read of it has been written
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written++
	if err != nil {
		c.closing = true
		c.abort()
		return true
	}
	if !last {
		if c.begun == c.written {
			c.setIdle()
		}
	}
	return last
}

// isLast decides whether the connection ends with this answer; if so, no
// further request is taken. Requests that were begun are always answered.
func (c *conn) isLast(r *Request, res *http.Response) bool {
	wanted := r.Close || res.Close || c.s.isDraining() || r.Body != nil && r.Body.Err() != nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.written+1 == c.begun {
		return true
	}
	if !wanted || c.written+1 < c.begun {
		return false
	}
	c.closing = true
	return true
}

// abort ends the connection without regard to what is under way.
func (c *conn) abort() {
	c.cancel()
	c.nc.Close() // the reader sees the end
}

// closeIfIdle ends a connection on which nothing is under way.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun == c.written {
		c.closing = true
		_ = c.nc.SetReadDeadline(clock.Deadline(0)) // an error means that it is closed
	}
}

// refuse ends the connection after an error of the reader. A request that was
// not understood gets an answer; otherwise the client has left or was idle.
func (c *conn) refuse(err error, turn <-chan struct{}) {
	c.mu.Lock()
	idle := c.begun == c.written
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	status := refusalStatus(err)
	switch {
	case closing:
		return
	case errors.Is(err, os.ErrDeadlineExceeded) && c.br.Buffered() > 0:
		status = http.StatusRequestTimeout
	case status == 0:
		if !idle {
			c.cancel()
		}
		return
	}
	c.s.events.Refused(c.nc.RemoteAddr().String(), err)
	<-turn
	res := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}}
	if werr := res.Write(c.bw); werr == nil {
		_ = c.bw.Flush() // the client may have left
	}
}

// refusalStatus returns the answer to a request that could not be read, or 0
// for an error of the connection.
func refusalStatus(err error) int {
	switch gd.KindOf(err) {
	case gd.Malformed:
		return http.StatusBadRequest
	case gd.TooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}
