package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handlerFunc func(context.Context, *Request) *http.Response

func (f handlerFunc) Handle(ctx context.Context, r *Request) *http.Response { return f(ctx, r) }

type noEvents struct{}

func (noEvents) Refused(string, error) {}

var limits = route.Limits{HeaderBytes: 1024, BodyBytes: 100, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}

// echo responds with the method, the request target and the body.
func echo(_ context.Context, r *Request) *http.Response {
	text := r.Method + " " + r.RequestURI
	if r.Body != nil {
		in, err := r.Body.Reader()
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(in); err == nil {
				text += " " + string(body)
			}
		}
		if err != nil {
			return &http.Response{StatusCode: http.StatusBadRequest, Body: http.NoBody}
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text))}
}

// serve starts a server and returns it with a client connection to it.
func serve(t *testing.T, h handlerFunc) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	return serveWithLimits(t, h, func() route.Limits { return limits })
}

func serveWithLimits(t *testing.T, h handlerFunc, limits func() route.Limits) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, noEvents{}, limits, 64)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Close(ctx)
		<-done
	})
	return s, conn, bufio.NewReader(conn)
}

// readResponse returns the status and body of the next response, and whether it ends
// the connection.
func readResponse(t *testing.T, br *bufio.Reader) (int, string, bool) {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body), res.Close
}

func TestBodies(t *testing.T) {
	is := is.New(t)
	_, conn, br := serve(t, echo)
	for _, text := range []string{
		"POST /length HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
		"\r\nPOST /after-a-line-end HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
	} {
		_, err := io.WriteString(conn, text)
		is.NoErr(err)
		status, body, closes := readResponse(t, br)
		is.Equal(status, http.StatusOK)
		is.True(strings.HasSuffix(body, " abc"))
		is.True(!closes)
	}
}

func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"head too long":      {"GET /" + strings.Repeat("a", 2000) + " HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body too long":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("b", 200), http.StatusBadRequest},
		"chunks too long":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + strings.Repeat("b", 200) + "\r\n0\r\n\r\n", http.StatusBadRequest},
		"head not completed": {"GET / HTTP/1.1\r\nHost:", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, conn, br := serve(t, echo)
			_, err := io.WriteString(conn, c.text)
			is.NoErr(err)
			status, _, closes := readResponse(t, br)
			is.Equal(status, c.status)
			is.True(closes)
		})
	}
}

// TestIdleConnectionIsClosed checks that the idle timeout starts after the response.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	_, conn, br := serve(t, echo)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, _, closes := readResponse(t, br)
	is.True(!closes)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// TestResponseBeforeBodyIsRead responds while the client is still sending the body.
// The rest of the body must not be parsed as a request.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{}, 1)
	_, conn, br := serve(t, func(ctx context.Context, r *Request) *http.Response {
		if r.Method == http.MethodPost {
			handled <- struct{}{}
			return &http.Response{StatusCode: http.StatusConflict, Body: http.NoBody}
		}
		return echo(ctx, r)
	})
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\nGET /smuggled")
	is.NoErr(err)
	<-handled
	status, _, _ := readResponse(t, br)
	is.Equal(status, http.StatusConflict)
	_, err = io.WriteString(conn, strings.Repeat("x", 90-len("GET /smuggled"))+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, body, _ := readResponse(t, br)
	is.Equal(body, "GET /next")
}

// TestClientDisconnectCancelsRequests checks that the context of each pending request
// is canceled when the client disconnects.
func TestClientDisconnectCancelsRequests(t *testing.T) {
	is := is.New(t)
	const n = 3
	begun, ended := make(chan struct{}, n), make(chan struct{}, n)
	_, conn, _ := serve(t, func(ctx context.Context, _ *Request) *http.Response {
		begun <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}
	})
	_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", n))
	is.NoErr(err)
	for range n {
		<-begun
	}
	is.NoErr(conn.Close())
	for range n {
		<-ended
	}
}

// TestDrain checks that the connection is closed after the last pending response, not
// after an earlier one.
func TestDrain(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, conn, br := serve(t, func(ctx context.Context, r *Request) *http.Response {
		<-release
		return echo(ctx, r)
	})
	_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	is.NoErr(err)
	for s.Active() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	close(release)
	_, _, closes := readResponse(t, br)
	is.True(!closes)
	_, _, closes = readResponse(t, br)
	is.True(closes)
}

// TestTruncatedResponseIsDetected fails in the middle of a response body. The client
// must not take the part that it received for a complete response.
func TestTruncatedResponseIsDetected(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, conn, br := serve(t, func(context.Context, *Request) *http.Response {
				body := io.MultiReader(strings.NewReader("half"), failingReader{})
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body), ContentLength: length}
			})
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			res, err := http.ReadResponse(br, nil)
			if err != nil {
				return // no part of the response arrived
			}
			_, err = io.ReadAll(res.Body)
			is.True(err != nil)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCorruptedHeads parses corrupted copies of a request. None may cause a panic, and
// an accepted request must have a single body length.
func TestCorruptedHeads(t *testing.T) {
	const sample = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc"
	for corrupted := range mutate.Copies([]byte(sample), 5000) {
		checkReadRequest(t, corrupted)
	}
}

func checkReadRequest(t *testing.T, data []byte) {
	req, err := readRequest(bufio.NewReaderSize(strings.NewReader(string(data)), 4096), 1024)
	if err != nil {
		return
	}
	lengths := req.Header["Content-Length"]
	if len(lengths) > 1 || len(lengths) == 1 && len(req.TransferEncoding) > 0 {
		t.Fatalf("%q: accepted with two body lengths", data)
	}
}

func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(checkReadRequest)
}

func BenchmarkRequest(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(handlerFunc(echo), noEvents{}, func() route.Limits { return limits }, 64)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close(context.Background()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		fmt.Fprint(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}

// TestLimitOfHeadsRises raises the limit of request heads while a connection is open, as the
// first policy does. A longer head must then be read on that connection, alone and behind
// another request, and one beyond the limit must be refused.
func TestLimitOfHeadsRises(t *testing.T) {
	is := is.New(t)
	var limit atomic.Int64
	limit.Store(1024)
	_, conn, br := serveWithLimits(t, echo, func() route.Limits {
		l := limits
		l.HeaderBytes = int(limit.Load())
		l.HeaderTimeout, l.IdleTimeout = time.Minute, time.Minute
		return l
	})
	send := func(headBytes int) string {
		head := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-Long: "
		return head + strings.Repeat("x", headBytes-len(head)-4) + "\r\n\r\nbody"
	}
	fmt.Fprint(conn, send(500))
	code, body, _ := readResponse(t, br)
	is.Equal(code, http.StatusOK)
	is.Equal(body, "POST /a body")
	limit.Store(40_000)
	for _, text := range []string{send(5_000), send(500) + send(30_000), send(40_000)} {
		fmt.Fprint(conn, text)
		for range strings.Count(text, "POST") {
			code, body, _ = readResponse(t, br)
			is.Equal(code, http.StatusOK)
			is.Equal(body, "POST /a body")
		}
	}
	fmt.Fprint(conn, send(40_001))
	code, _, _ = readResponse(t, br)
	is.Equal(code, http.StatusRequestHeaderFieldsTooLarge)
}

// deadlineConn is a connection that counts its write deadlines.
type deadlineConn struct {
	net.Conn
	deadlines int
}

func (c *deadlineConn) SetWriteDeadline(time.Time) error {
	c.deadlines++
	return nil
}

func (c *deadlineConn) Write(p []byte) (int, error) { return len(p), nil }

// TestLongResponseMayTakeLong writes a response in several parts. Each part has a deadline of
// its own, so that a long response to a slow client is not cut while the client reads it.
func TestLongResponseMayTakeLong(t *testing.T) {
	is := is.New(t)
	nc := &deadlineConn{}
	w := bufio.NewWriterSize(timedWriter{nc}, writeBufferBytes)
	res := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 10*writeBufferBytes))), ContentLength: -1, TransferEncoding: []string{"chunked"}}
	is.NoErr(res.Write(w))
	is.NoErr(w.Flush())
	is.True(nc.deadlines > 1)
}
