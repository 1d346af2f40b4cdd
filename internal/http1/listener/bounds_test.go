package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
)

// kindOfBody responds with the kind of the error with which the body ended.
func kindOfBody(_ context.Context, r *Request) *http.Response {
	text := "whole"
	if in, err := r.Body.Reader(); err != nil {
		text = gd.KindOf(err).String()
	} else if _, err := io.Copy(io.Discard, in); err != nil {
		text = gd.KindOf(err).String()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text))}
}

// serveBounded starts a server with bounds and returns its address.
func serveBounded(t *testing.T, h handlerFunc, b Bounds) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, noEvents{}, func() route.Limits {
		r := limits
		r.BodyBytes, r.IdleTimeout = 1<<20, time.Minute
		return r
	}, 1<<20)
	s.SetBounds(b)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Close(ctx)
		<-done
	})
	return l.Addr().String()
}

// TestStalledBodyEnds has clients stop within a body, or send single bytes. The request must
// end with an error of kind BodyStalled, and its connection with the response. A body that is
// announced to exceed the limit must end at once.
func TestStalledBodyEnds(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		part  string
		pause time.Duration
		kind  gd.Kind
	}{
		"stops":          {"Content-Length: 5000", strings.Repeat("b", 4000), time.Hour, gd.BodyStalled},
		"stops in chunk": {"Transfer-Encoding: chunked", "fff\r\nbbb", time.Hour, gd.BodyStalled},
		"single bytes":   {"Content-Length: 100000", "b", 20 * time.Millisecond, gd.BodyStalled},
		"single chunks":  {"Transfer-Encoding: chunked", "1\r\nb\r\n", 20 * time.Millisecond, gd.BodyStalled},
		"announced":      {"Content-Length: 2000000", "", time.Hour, gd.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", serveBounded(t, kindOfBody, Bounds{BodyProgress: 200 * time.Millisecond}))
			is.NoErr(err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", c.head)
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				for {
					_, _ = io.WriteString(conn, c.part) // fails when the server closes the connection
					select {
					case <-time.After(c.pause):
					case <-ended:
						return
					}
				}
			}()
			_, text, closes := readResponse(t, bufio.NewReader(conn))
			is.Equal(text, c.kind.String())
			is.True(closes)
		})
	}
}

// TestConnectionsAreBounded opens more connections than the bound. A connection that has been
// idle for long must be closed for a new one, and one with a pending request must not.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address := serveBounded(t, func(ctx context.Context, r *Request) *http.Response {
		if r.Method == http.MethodPost {
			<-release
		}
		return echo(ctx, r)
	}, Bounds{Connections: 2})
	dial := func(method string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		fmt.Fprintf(conn, "%s / HTTP/1.1\r\nHost: h\r\n\r\n", method)
		return conn, bufio.NewReader(conn)
	}
	idle, idleReader := dial("GET")
	defer idle.Close()
	readResponse(t, idleReader)
	busy, busyReader := dial("POST")
	defer busy.Close()
	refused, refusedReader := dial("GET")
	defer refused.Close()
	_, err := http.ReadResponse(refusedReader, nil)
	is.True(err != nil) // no connection has been idle for long
	time.Sleep(minIdle)
	next, nextReader := dial("GET")
	defer next.Close()
	_, body, _ := readResponse(t, nextReader)
	is.Equal(body, "GET /")
	_, err = idleReader.ReadByte()
	is.True(err != nil)
	close(release)
	_, body, _ = readResponse(t, busyReader)
	is.Equal(body, "POST /")
}
