package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/http1/reset"
)

const (
	readBufferBytes   = 8 << 10
	writeBufferBytes  = 8 << 10
	maxStaleResponses = 4       // responses to earlier requests that are skipped
	maxStaleBodyBytes = 1 << 20 // such a response is skipped only if its body is smaller
	// maxHeadBytes is the maximum length of the status line and the header of a
	// response. A faulty server may send bytes without end.
	maxHeadBytes = 64 << 10
)

// conn is a connection to the backend server. It handles one request at a time.
type conn struct {
	pool        *Pool
	nc          *reset.Conn
	in          *limitedReader // reads from nc
	br          *bufio.Reader  // reads from in
	bw          *bufio.Writer
	lastUsed    time.Time
	idleTimeout time.Duration
	requests    int
	ids         [rememberedIDs]string // of the last requests
}

// rememberedIDs is the number of request ids that a connection remembers. A repeat has the id of
// its first attempt, and so has a response to that attempt that the server writes twice.
const rememberedIDs = 16

// hasCarried reports whether one of the last requests on the connection had the id.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.ids[:], id) }

func newConn(p *Pool, nc net.Conn) *conn {
	rc := reset.NewConn(nc)
	in := &limitedReader{r: rc}
	return &conn{pool: p, nc: rc, in: in, br: bufio.NewReaderSize(in, readBufferBytes), bw: bufio.NewWriterSize(rc, writeBufferBytes), idleTimeout: maxIdleTimeout}
}

// limitedReader reads from r, up to a limit if one is set.
type limitedReader struct {
	r         io.Reader
	isLimited bool
	left      int // bytes until the limit, if isLimited
}

// setLimit limits the bytes that are read from now on.
func (l *limitedReader) setLimit(n int) { l.isLimited, l.left = true, n }

// removeLimit removes the limit.
func (l *limitedReader) removeLimit() { l.isLimited = false }

// Read reads into p. It returns an error of kind TooLarge at the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, gd.TooLarge.Errorf("the header of the response is longer than %d bytes", maxHeadBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// isReusable reports whether the server has neither closed the idle connection nor
// sent data on it. It makes a single read, which does not block.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		wouldBlock = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// roundTrip sends the request and reads the header of the response. The connection
// goes back to the pool or is closed when the response body is closed.
func (c *conn) roundTrip(ctx context.Context, r Request) Result {
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	c.ids[c.requests%rememberedIDs] = r.ID
	c.requests++
	writeDone := make(chan error, 1)
	if !hasBody(r) {
		writeDone <- c.writeRequest(r)
	} else {
		go func() { writeDone <- c.writeRequest(r) }()
	}
	res, err := c.readResponse(r)
	if err != nil {
		stop()
		c.nc.Close()
		closeBody(r.Request)
		if ctx.Err() != nil {
			return Result{Err: gd.TimedOut.Wrapf(ctx.Err(), "waiting for the response of the backend server"), Reached: true}
		}
		return Result{Err: gd.Unknown.Wrapf(err, "read response of the backend server"), Reached: true}
	}
	res.Body = &responseBody{ReadCloser: res.Body, c: c, r: r, res: res, writeDone: writeDone, stop: stop, ctx: ctx}
	return Result{Response: res, Reached: true}
}

// hasBody reports whether the request has a body. The server of HTTP/2 requests gives those
// without one an empty body.
func hasBody(r Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		r.Body.Close() // ends the goroutine that writes it
	}
}

// writeRequest writes the request as the client sent it, without the hop-by-hop
// header fields.
func (c *conn) writeRequest(r Request) error {
	bw := c.bw
	bw.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	chunked := hasBody(r) && r.ContentLength < 0
	switch {
	case chunked:
		bw.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Body != nil && r.Body != http.NoBody || r.ContentLength == 0 && r.Header.Get("Content-Length") == "0":
		bw.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	}
	if err := endToEnd(r.Header).Write(bw); err != nil {
		return err
	}
	bw.WriteString("\r\n")
	if hasBody(r) {
		if r.ContentLength < 0 || r.ContentLength > writeBufferBytes {
			if err := bw.Flush(); err != nil { // the rest of the body may still be on its way from the client
				return err
			}
		}
		if err := writeBody(bw, r, chunked); err != nil {
			if !c.nc.HasWriteError() { // otherwise the server may have responded before the connection ended
				c.nc.Close() // the server must not take a truncated body for a complete one
			}
			return err
		}
	}
	return bw.Flush()
}

func writeBody(bw *bufio.Writer, r Request, chunked bool) error {
	if !chunked {
		n, err := io.Copy(bw, r.Body)
		if err == nil && n != r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	cw := httputil.NewChunkedWriter(bw)
	if _, err := io.Copy(cw, r.Body); err != nil {
		return err
	}
	if err := cw.Close(); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// readResponse reads the header of the response with the id of the request. It skips
// responses to earlier requests. A response without an id is accepted only on a new
// connection, where it cannot belong to an earlier request.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	for range maxStaleResponses {
		c.in.setLimit(maxHeadBytes)
		res, err := http.ReadResponse(c.br, r.Request)
		if err != nil {
			return nil, err
		}
		c.in.removeLimit()
		if !isStatus(res.StatusCode) {
			return nil, gd.Malformed.Errorf("response has the status %03d", res.StatusCode)
		}
		if res.StatusCode < http.StatusOK {
			continue // informational response
		}
		id := c.pool.responseID(res.Header)
		if id == r.ID || id == "" && c.requests == 1 {
			return res, nil
		}
		if res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			// Nothing follows, or its body ends only with the connection.
			return nil, gd.Malformed.Errorf("response has the id of another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStaleBodyBytes))
		if err != nil {
			return nil, err
		}
		if n == maxStaleBodyBytes {
			return nil, gd.Malformed.Errorf("response has the id of another request")
		}
	}
	return nil, gd.Malformed.Errorf("too many responses with ids of other requests")
}

// isStatus reports whether a response to a request of the pool may have the status. The pool asks
// for no other protocol, so a server has none to switch to.
func isStatus(status int) bool {
	return status >= 100 && status < 600 && status != http.StatusSwitchingProtocols
}

// responseBody is the body of a response. Closing it releases the connection.
type responseBody struct {
	io.ReadCloser
	c         *conn
	r         Request
	res       *http.Response
	ctx       context.Context
	writeDone <-chan error
	stop      func() bool
	sawEOF    bool // the body was read completely
	closed    bool
}

// Read reads the body. An error other than io.EOF means that it was truncated.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.sawEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if the request and the response were
// transferred completely. Otherwise it closes the connection.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.sawEOF {
		// The end of the body is often buffered already.
		if n, err := b.Read(make([]byte, 1)); n == 0 && err == io.EOF {
			b.sawEOF = true
		}
	}
	reusable := b.sawEOF && b.isRequestWritten() && b.stop() && !b.res.Close &&
		(b.res.ContentLength >= 0 || len(b.res.TransferEncoding) > 0) && b.c.br.Buffered() == 0
	if !reusable {
		b.stop()
		b.c.nc.Close()
		closeBody(b.r.Request)
		return nil
	}
	if timeout, ok := keepAliveTimeout(b.res.Header); ok {
		b.c.idleTimeout = timeout
	}
	b.c.pool.put(b.c)
	return nil
}

// isRequestWritten reports whether the whole request has been written. If the server
// responded before that, it would take the next request for the rest of the body.
func (b *responseBody) isRequestWritten() bool {
	select {
	case err := <-b.writeDone:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the timeout in the Keep-Alive header, less a margin. It
// reports false if the header has no valid timeout.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil || s < 0 {
			return 0, false
		}
		return min(max(time.Duration(s)*time.Second-idleTimeoutMargin, 0), maxIdleTimeout), true
	}
	return 0, false
}
