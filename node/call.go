package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// Headers that nodes send to each other. Callers also get errorHeader and
// outcomeHeader, and may set timeoutHeader and idempotencyKeyHeader. Any other
// header with headerPrefix that a caller sets has no effect and is removed. Backend
// servers get callerHeader and timeoutHeader.
const (
	headerPrefix         = "Geraniumdock-"
	callerHeader         = headerPrefix + "Caller"
	serviceHeader        = headerPrefix + "Service"
	timeoutHeader        = headerPrefix + "Timeout-Ms"
	fingerprintHeader    = headerPrefix + "Fingerprint"
	loadHeader           = headerPrefix + "Load"
	errorHeader          = headerPrefix + "Error"
	outcomeHeader        = headerPrefix + "Outcome"
	idempotencyKeyHeader = "Idempotency-Key"
)

// maxBufferedBytes is the size of the largest request body that is buffered for
// further attempts.
const maxBufferedBytes = 64 << 10

// call is a caller's request that the node sends to another node or runs on its
// own server.
type call struct {
	caller      string
	service     string
	fingerprint quarantine.Fingerprint
	key         string        // idempotency key, empty for none
	deadline    time.Duration // on the monotonic clock
	request     *http.Request // from the caller, or from the ingress node when the call runs here
	body        *body
}

// body is a request body. It records whether any of it has been read.
type body struct {
	content  []byte // the whole body, if buffered
	buffered bool
	source   io.ReadCloser
	consumed atomic.Bool
	length   int64
}

// newBody returns the body of r. It buffers a small body for further attempts;
// a larger one, or one of unknown length, is streamed.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBytes {
		return &body{source: r.Body, length: r.ContentLength}, nil
	}
	content := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, content); err != nil {
		return nil, gd.Invalid.Wrapf(err, "request body")
	}
	return &body{content: content, buffered: true, length: r.ContentLength}, nil
}

// canResend reports whether another attempt can send the whole body.
func (b *body) canResend() bool { return b.buffered || !b.consumed.Load() }

// reader returns the body for one attempt. It is never nil and cannot be
// rewound, so that the HTTP client cannot retry the request by itself.
func (b *body) reader() io.ReadCloser {
	if b.buffered {
		return &bufferReader{data: b.content}
	}
	return &streamReader{b}
}

// bufferReader reads a buffered body.
type bufferReader struct{ data []byte }

func (r *bufferReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

func (r *bufferReader) Close() error { return nil }

// streamReader reads a body that is not buffered. Close leaves the underlying
// body open for another attempt.
type streamReader struct{ b *body }

func (s *streamReader) Read(p []byte) (int, error) {
	s.b.consumed.Store(true)
	return s.b.source.Read(p)
}

func (s *streamReader) Close() error { return nil }

// setBody sets the body of the outgoing request r. With singleAttempt, it keeps
// the HTTP client from retrying the request by itself. The client would retry a
// request without a body that has a method which HTTP defines as idempotent, or
// an idempotency key.
func (b *body) setBody(r *http.Request, singleAttempt bool) {
	r.Header.Del("Expect")
	r.GetBody = nil
	r.ContentLength = b.length
	if b.length != 0 {
		r.Body = b.reader()
		return
	}
	r.Body = http.NoBody
	if !singleAttempt {
		return
	}
	hideIdempotencyKey(r.Header)
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = b.reader() // empty, but the client cannot tell
	}
}

// hideIdempotencyKey writes the name of the idempotency key header in lower
// case. The server reads it as before, but the HTTP client does not recognize it
// and does not retry the request.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{idempotencyKeyHeader, "X-" + idempotencyKeyHeader} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
}

// hopByHopHeaders lists the headers that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHeaders removes hop-by-hop headers and headers with headerPrefix.
func stripHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			delete(h, name)
		}
	}
}

// formatLoad formats a server's load for loadHeader.
func formatLoad(l server.Load) string {
	return strconv.Itoa(l.Queued) + " " + strconv.Itoa(l.Running) + " " + strconv.FormatInt(l.SlotTime.Microseconds(), 10)
}

// parseLoad parses the value of loadHeader.
func parseLoad(s string) (server.Load, bool) {
	fields := strings.Fields(s)
	if len(fields) != 3 {
		return server.Load{}, false
	}
	var n [3]int
	for i, f := range fields {
		v, err := strconv.Atoi(f)
		if err != nil || v < 0 {
			return server.Load{}, false
		}
		n[i] = v
	}
	return server.Load{Queued: n[0], Running: n[1], SlotTime: time.Duration(n[2]) * time.Microsecond}, true
}

// parseTimeout parses a positive number of milliseconds. It returns 0 for an
// empty string.
func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 32)
	if err != nil || ms <= 0 {
		return 0, gd.Invalid.Errorf("header %s: %q is not a positive number of milliseconds", timeoutHeader, s)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// requestTrace records whether any of a request may have been sent, and on which connection.
type requestTrace struct {
	wrote atomic.Bool
	conn  net.Conn // nil if there was none
}

// trace returns a context that traces the request sent with it.
func (t *requestTrace) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { t.conn = info.Conn },
		WroteHeaders: func() { t.wrote.Store(true) },
	})
}

// formatMilliseconds formats a duration as whole milliseconds, at least 1.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

// writeError writes a response with the error's kind, its outcome and when to
// retry.
func writeError(w http.ResponseWriter, err error) {
	k := gd.KindOf(err)
	res := k.Response()
	h := w.Header()
	h.Set(errorHeader, res.Name)
	h.Set(outcomeHeader, string(res.Outcome))
	h.Set("Content-Type", "application/json")
	if res.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(res.RetryAfter.Seconds())))
	}
	if k == gd.Unauthenticated {
		h.Set("Proxy-Authenticate", "Bearer")
	}
	w.WriteHeader(res.Status)
	_ = json.NewEncoder(w).Encode(wireError{res.Name, string(res.Outcome), gd.Message(err), res.RetryAfter.Milliseconds()})
}

// wireError is the body of a response that a node generates, as opposed to the
// backend server.
type wireError struct {
	Error        string `json:"error"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
}

// decodeMessage returns the message of a wireError, or fallback if there is
// none.
func decodeMessage(data []byte, fallback string) string {
	var e wireError
	if json.Unmarshal(data, &e) != nil || e.Message == "" {
		return fallback
	}
	return e.Message
}

// peerError returns the error that another node reports in res, or nil if res
// comes from the backend server.
func peerError(res *http.Response) error {
	name := res.Header.Get(errorHeader)
	if name == "" {
		return nil
	}
	k := gd.KindNamed(name)
	message := name
	if data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes)); err == nil {
		message = decodeMessage(data, name)
	}
	return k.Errorf("%s", message)
}

// maxErrorBytes is the maximum number of bytes read of an error response.
const maxErrorBytes = 4 << 10

// copyBufferBytes is the size of the buffers for copying response bodies.
const copyBufferBytes = 32 << 10

// buffers pools the buffers for copying response bodies.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody copies a response body to the caller. With flush, it flushes after
// each short read. It returns an error if reading the body or writing to the
// caller fails; the caller's response is then incomplete.
func copyBody(w http.ResponseWriter, from io.Reader, flush bool) error {
	flusher := http.NewResponseController(w)
	pooled := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case flush && n < copyBufferBytes:
			if ferr := flusher.Flush(); ferr != nil {
				return ferr
			}
		}
	}
}

// copyResponse copies the response to w. On an error the HTTP handler must abort
// the connection.
func copyResponse(w http.ResponseWriter, res *http.Response) error {
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	return copyBody(w, res.Body, res.ContentLength < 0)
}

// remaining returns the time left until the call's deadline.
func (c *call) remaining(now time.Duration) time.Duration { return c.deadline - now }

// withDeadline returns a context that ends at the call's deadline.
func (c *call) withDeadline(ctx context.Context, now time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.remaining(now))
}
