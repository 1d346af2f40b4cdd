package listener

import (
	"bufio"
	"bytes"
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
	maxPipelined       = 64      // requests of one connection that are handled concurrently
	minReadBufferBytes = 4 << 10 // of a new connection; raised to the limit of a head, up to maxFirstBufferBytes
	// maxFirstBufferBytes is the largest read buffer of a new connection. It grows when a
	// longer head arrives that the limit allows.
	maxFirstBufferBytes = 16 << 10
	writeBufferBytes    = 4 << 10
	lingerTimeout       = 500 * time.Millisecond // how long input is drained after closing for writes; closing with unread input would reset the connection
	writeTimeout        = 10 * time.Second       // for one response, in case the client does not read it
	maxDrainBytes       = 1 << 20                // input drained after closing for writes
)

// conn is a client connection. One goroutine runs serve, which reads the requests.
// Each request has a goroutine of its own, which handles it and writes its response.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer

	ctx       context.Context
	cancel    context.CancelFunc
	pipelined chan struct{} // semaphore that limits the pipelined requests
	handlers  sync.WaitGroup

	mu               sync.Mutex
	requestsRead     int          // includes those without a response so far
	responsesWritten int          // includes failed writes
	closing          bool         // no further request is accepted
	idleSince        time.Time    // start of the time without a request, if requestsRead == responsesWritten
	limits           route.Limits // written by the goroutine that runs serve
}

func newConn(server *Server, nc net.Conn) *conn {
	limits := server.limits()
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server: server, nc: nc, limits: limits,
		br:  bufio.NewReaderSize(nc, max(minReadBufferBytes, min(limits.HeaderBytes, maxFirstBufferBytes))),
		bw:  bufio.NewWriterSize(timedWriter{nc}, writeBufferBytes),
		ctx: ctx, cancel: cancel,
		pipelined: make(chan struct{}, maxPipelined),
	}
}

// timedWriter writes to a connection whose peer must read each part within writeTimeout. A
// long response may take longer as a whole.
type timedWriter struct{ nc net.Conn }

// Write writes p.
func (w timedWriter) Write(p []byte) (int, error) {
	if err := w.nc.SetWriteDeadline(clock.Deadline(writeTimeout)); err != nil {
		return 0, err
	}
	return w.nc.Write(p)
}

// ReadFrom writes what it reads from r, in larger parts than the buffer of a bufio.Writer
// holds.
func (w timedWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

// serve reads requests until the client closes the connection, a request cannot be
// read or a response ends the connection.
func (c *conn) serve() {
	defer c.server.remove(c)
	mayWrite := make(chan struct{}) // closed when the next response may be written
	close(mayWrite)
	for {
		req, err := c.readNext()
		if err != nil {
			c.rejectRequest(err, mayWrite)
			break
		}
		c.pipelined <- struct{}{}
		if !c.beginRequest() {
			break // a response ends the connection
		}
		var spool *body.Spool
		if req.Body != http.NoBody && req.ContentLength != 0 {
			spool = c.newSpool(req)
		}
		written := make(chan struct{})
		previousWritten := mayWrite
		isBodyRead, mayContinue := false, true
		if spool != nil && c.isBodyBuffered(req) {
			isBodyRead, mayContinue = true, c.readBody(req, spool, previousWritten)
		}
		c.handlers.Go(func() { c.respond(&Request{req, spool}, previousWritten, written) })
		mayWrite = written
		if spool != nil && !isBodyRead {
			mayContinue = c.readBody(req, spool, previousWritten)
		}
		if !mayContinue {
			break
		}
	}
	c.finish()
}

// newSpool returns the spool for the body of req. It has ended already if the body is
// announced to be longer than the limit.
func (c *conn) newSpool(req *http.Request) *body.Spool {
	spool := body.NewBounded(c.server.spoolBytes, c.server.bounds.Bodies, c.interruptRead)
	if req.ContentLength > c.limits.BodyBytes {
		spool.End(gd.TooLarge.Errorf("request body exceeds %d bytes", c.limits.BodyBytes))
	}
	if req.ContentLength > 0 {
		spool.Expect(req.ContentLength)
	}
	return spool
}

// interruptRead makes a pending read of the connection fail.
func (c *conn) interruptRead() {
	_ = c.nc.SetReadDeadline(clock.Deadline(0)) // an error means that it is already closed
}

// finish waits for the pending responses and closes the connection in such a way
// that the client can still read the last of them.
func (c *conn) finish() {
	c.handlers.Wait()
	c.cancel()
	if t, ok := c.nc.(*net.TCPConn); ok && t.CloseWrite() == nil {
		if c.nc.SetReadDeadline(clock.Deadline(lingerTimeout)) == nil {
			// Input after this point is discarded, not parsed as requests.
			_, _ = io.CopyN(io.Discard, c.br, maxDrainBytes)
		}
	}
	c.nc.Close() // the connection is no longer used, so the error does not matter
}

// readNext reads the head of the next request. An error of kind Malformed or
// TooLarge is a fault of the request; any other means that the connection was closed
// or that a read timed out.
func (c *conn) readNext() (*http.Request, error) {
	c.mu.Lock()
	c.setIdleDeadline()
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	limits := c.server.limits()
	c.mu.Lock()
	c.limits = limits
	c.mu.Unlock()
	if err := c.nc.SetReadDeadline(clock.Deadline(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	req, err := readRequest(c.br, min(limits.HeaderBytes, c.br.Size()))
	for gd.TooLarge.Is(err) && c.br.Size() < limits.HeaderBytes {
		c.growBuffer(min(2*c.br.Size(), limits.HeaderBytes))
		req, err = readRequest(c.br, min(limits.HeaderBytes, c.br.Size()))
	}
	if err != nil {
		return nil, err
	}
	req.RemoteAddr = c.nc.RemoteAddr().String()
	return req, nil
}

// growBuffer replaces the read buffer by one of the given size, with the bytes that have
// been read.
func (c *conn) growBuffer(size int) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // never fails
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.nc), size)
}

// setIdleDeadline applies the idle timeout if no request is pending, and removes the
// read deadline otherwise. The caller must hold c.mu.
func (c *conn) setIdleDeadline() {
	deadline := time.Time{}
	if c.requestsRead == c.responsesWritten {
		deadline = clock.Deadline(c.limits.IdleTimeout)
		c.idleSince = clock.Deadline(0)
	}
	// An error means that the connection is closed; the next read returns it too.
	_ = c.nc.SetReadDeadline(deadline)
}

// beginRequest counts a request that was read. It reports false if a response ends
// the connection, in which case the request must not be handled.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.requestsRead++
	_ = c.nc.SetReadDeadline(time.Time{}) // the next read returns the error too
	return true
}

func (c *conn) activeRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestsRead - c.responsesWritten
}

// isBodyBuffered reports whether the whole body of req has arrived with its head. It is then
// read before the request is handled, as that does not block.
func (c *conn) isBodyBuffered(req *http.Request) bool {
	return req.ContentLength > 0 && req.ContentLength <= int64(c.br.Buffered()) && req.ContentLength <= c.server.spoolBytes && !expectsContinue(req)
}

// readBody copies the body of req into the spool. It reports whether further
// requests can be read from the connection.
func (c *conn) readBody(req *http.Request, spool *body.Spool, previousWritten <-chan struct{}) bool {
	if spool.HasEnded() {
		return false
	}
	if expectsContinue(req) && !c.sendContinue(previousWritten) {
		spool.End(gd.Unavailable.Errorf("client closed the connection"))
		return false
	}
	err := c.copyBody(req, spool)
	spool.End(err)
	if err == nil {
		return true
	}
	if !gd.TooLarge.Is(err) && !gd.Malformed.Is(err) && !gd.BodyStalled.Is(err) {
		c.cancel() // the client closed the connection
	}
	return false
}

// copyBody copies the body of req into the spool. The time during which the spool has no
// space does not count for the progress that the client must make.
func (c *conn) copyBody(req *http.Request, spool *body.Spool) error {
	total := int64(0)
	progress := progress{timeout: c.server.bounds.bodyProgress()}
	for {
		space, err := spool.Space()
		if err != nil {
			return err
		}
		deadline := progress.deadline(total)
		if idle := clock.Deadline(c.limits.IdleTimeout); idle.Before(deadline) {
			deadline = idle
		}
		if err := c.nc.SetReadDeadline(deadline); err != nil {
			return err
		}
		if err := c.readObstacle(spool); err != nil {
			return err // after setting the deadline, which would undo an interruption
		}
		began := clock.Deadline(0)
		n, err := req.Body.Read(space)
		progress.add(clock.Since(began))
		if total += int64(n); total > c.limits.BodyBytes {
			return gd.TooLarge.Errorf("request body exceeds %d bytes", c.limits.BodyBytes)
		}
		spool.Advance(n)
		switch {
		case err == io.EOF:
			return nil
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if obstacle := c.readObstacle(spool); obstacle != nil {
				return obstacle
			}
			return gd.BodyStalled.Errorf("the request body made no progress after %d bytes", total)
		case isConnectionError(err):
			return err
		default:
			return gd.Malformed.Wrapf(err, "body")
		}
	}
}

// readObstacle returns why no more of the body is to be read: it was cut short, or the
// connection ends with a response that has been written. It returns nil otherwise.
func (c *conn) readObstacle(spool *body.Spool) error {
	if err := spool.Err(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.requestsRead == c.responsesWritten {
		return net.ErrClosed
	}
	return nil
}

func isConnectionError(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

func (c *conn) sendContinue(previousWritten <-chan struct{}) bool {
	<-previousWritten
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// respond calls the handler and writes its response after all earlier responses
// have been written.
func (c *conn) respond(r *Request, mayWrite <-chan struct{}, written chan<- struct{}) {
	res := c.server.handler.Handle(c.ctx, r)
	<-mayWrite
	last := c.writeResponse(r, res)
	if r.Body != nil {
		r.Body.Discard()
	}
	<-c.pipelined
	if last {
		c.interruptRead() // serve then sees that the connection is closing
	}
	close(written)
}

// writeResponse writes the response and reports whether the connection ends with it.
func (c *conn) writeResponse(r *Request, res *http.Response) bool {
	last := c.isLastResponse(r, res)
	res.Proto, res.ProtoMajor, res.ProtoMinor = "HTTP/1.1", 1, 1
	res.Request = r.Request
	res.Close = last
	if res.ContentLength < 0 {
		res.TransferEncoding = []string{"chunked"}
	}
	err := res.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if res.Body != nil {
		res.Body.Close() // an error does not affect the response, which is already written
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesWritten++
	if err != nil {
		c.closing = true
		c.abort()
		return true
	}
	if !last {
		if c.requestsRead == c.responsesWritten {
			c.setIdleDeadline()
		}
	}
	return last
}

// isLastResponse decides whether the connection ends with this response; if so, no
// further request is accepted. Requests that were already accepted always get a
// response.
func (c *conn) isLastResponse(r *Request, res *http.Response) bool {
	shouldClose := r.Close || res.Close || c.server.isDraining() || r.Body != nil && r.Body.Err() != nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.responsesWritten+1 == c.requestsRead {
		return true
	}
	if !shouldClose || c.responsesWritten+1 < c.requestsRead {
		return false
	}
	c.closing = true
	return true
}

// abort cancels all pending requests and closes the connection.
func (c *conn) abort() {
	c.cancel()
	c.nc.Close() // interrupts the read in serve
}

// closeIfIdle ends the connection if no request is pending.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestsRead == c.responsesWritten {
		c.closing = true
		c.interruptRead()
	}
}

// rejectRequest ends the connection after an error of readNext. A malformed, too
// large or incomplete request gets an error response. After any other error the
// client has disconnected or the connection was idle.
func (c *conn) rejectRequest(err error, mayWrite <-chan struct{}) {
	c.mu.Lock()
	idle := c.requestsRead == c.responsesWritten
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	status := rejectionStatus(err)
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
	c.server.events.Refused(c.nc.RemoteAddr().String(), err)
	<-mayWrite
	res := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}}
	if werr := res.Write(c.bw); werr == nil {
		_ = c.bw.Flush() // the client may have disconnected
	}
}

// rejectionStatus returns the response status for a request that could not be read,
// or 0 for an error of the connection.
func rejectionStatus(err error) int {
	switch gd.KindOf(err) {
	case gd.Malformed:
		return http.StatusBadRequest
	case gd.TooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return 0
}
