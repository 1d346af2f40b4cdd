package pool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
)

// TestResponseCutAtAnyByte has the server close the connection after each number of bytes of
// a response. A response of which anything is missing must not be taken for a complete one.
func TestResponseCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nX-Other: some value\r\n"
	for name, response := range map[string]string{
		"length":        head + "Content-Length: 10\r\nX-Last: 1\r\n\r\n0123456789",
		"length last":   head + "X-First: 1\r\nContent-Length: 10\r\n\r\n0123456789",
		"empty":         head + "Content-Length: 0\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"chunked":       head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		"trailer":       head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\na\r\n0123456789\r\n0\r\nX-End: 1\r\n\r\n",
		"no length":     head + "Connection: close\r\n\r\n", // the body may end anywhere
		"informational": "HTTP/1.1 102 Processing\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"refusal first": "HTTP/1.1 503 Service Unavailable\r\nId: earlier\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 2\r\n\r\nok",
		"bare newlines": "HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for cut := range len(response) + 1 {
				p := newScriptedPool(t, func(_ int, conn net.Conn) bool {
					fmt.Fprint(conn, response[:cut])
					return false
				})
				r := p.Do(context.Background(), newGetRequest("a", false))
				body, err := readResponseBody(r)
				if cut == len(response) {
					is.NoErr(err)
					continue
				}
				if err == nil {
					t.Errorf("after %d of %d bytes: status %d, body %q", cut, len(response), r.Response.StatusCode, body)
				}
				is.True(r.Reached)
			}
		})
	}
}

// TestRefusalWrittenAgain has the server refuse a request and write that refusal again on the
// kept connection, at several points. The next request must not be taken for refused: it gets
// its own response, or an error that does not say whether it ran.
func TestRefusalWrittenAgain(t *testing.T) {
	refusal := func(id, framing, body string) []byte {
		var b bytes.Buffer
		fmt.Fprint(&b, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n")
		if id != "" {
			fmt.Fprintf(&b, "Id: %s\r\n", id)
		}
		fmt.Fprintf(&b, "%s\r\n\r\n%s", framing, body)
		return b.Bytes()
	}
	const pause = 5 * time.Millisecond
	for name, again := range map[string][]byte{
		"empty":         refusal("1", "Content-Length: 0", ""),
		"with a body":   refusal("1", "Content-Length: 4", "busy"),
		"chunked":       refusal("1", "Transfer-Encoding: chunked", "4\r\nbusy\r\n0\r\n\r\n"),
		"without an id": refusal("", "Content-Length: 0", ""),
		"no length":     refusal("1", "X: y", ""),
		"twice":         append(refusal("1", "Content-Length: 0", ""), refusal("1", "Content-Length: 4", "busy")...),
		"cut":           refusal("1", "Content-Length: 4", "bu"),
	} {
		for _, at := range []string{"with the first", "while idle", "before the response", "in place of the response"} {
			t.Run(name+" "+at, func(t *testing.T) {
				is := is.New(t)
				p := newScriptedPool(t, func(n int, conn net.Conn) bool {
					if n == 1 {
						_, _ = conn.Write(refusal("1", "Content-Length: 0", ""))
						switch at {
						case "while idle":
							time.Sleep(pause)
							fallthrough
						case "with the first":
							_, _ = conn.Write(again)
						}
						return true
					}
					if at == "before the response" || at == "in place of the response" {
						_, _ = conn.Write(again)
					}
					if at != "in place of the response" {
						writeResponse(conn, fmt.Sprint(n), "own")
					}
					return at != "in place of the response"
				})
				first := p.Do(context.Background(), newGetRequest("1", false))
				is.NoErr(first.Err)
				is.Equal(first.Response.StatusCode, http.StatusServiceUnavailable)
				is.NoErr(first.Response.Body.Close())
				if at == "while idle" {
					time.Sleep(2 * pause)
				}
				second := p.Do(context.Background(), newGetRequest("2", false))
				body, err := readResponseBody(second)
				is.True(second.Reached)
				if err == nil {
					is.Equal(second.Response.StatusCode, http.StatusOK)
					is.Equal(body, "own")
				}
			})
		}
	}
}

// TestRefusalWrittenAgainForARepeat guards against a first attempt's refusal taken for its repeat's response.
func TestRefusalWrittenAgainForARepeat(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var attempts atomic.Int32
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	serve := func(conn net.Conn) {
		defer conn.Close()
		br := bufio.NewReader(conn)
		for n := 1; ; n++ {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			switch {
			case attempts.Add(1) == 1:
				fmt.Fprint(conn, refusal)
			case n > 1:
				fmt.Fprint(conn, refusal)
				fallthrough
			default:
				writeResponse(conn, "1", "own")
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	p := New(l.Addr().String(), func(h http.Header) string { return h.Get("Id") })
	defer p.Close()
	first := p.Do(context.Background(), newGetRequest("1", false))
	is.NoErr(first.Err)
	is.Equal(first.Response.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(first.Response.Body.Close())
	repeat := p.Do(context.Background(), newGetRequest("1", false))
	body, err := readResponseBody(repeat)
	is.NoErr(err)
	is.Equal(repeat.Response.StatusCode, http.StatusOK)
	is.Equal(body, "own")
}

// TestInvalidStatus guards against a status that no response has being passed on, or taken for
// that of an informational response, after which the request waits for its deadline.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, fields := range []string{"Content-Length: 0\r\n", "Connection: Upgrade\r\nUpgrade: x\r\n"} {
			t.Run(status+" "+fields, func(t *testing.T) {
				is := is.New(t)
				closed := make(chan struct{})
				p := newScriptedPool(t, func(_ int, conn net.Conn) bool {
					defer close(closed)
					fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nId: a\r\n%s\r\n", status, fields)
					_, _ = conn.Read(make([]byte, 1)) // ends when the connection is closed
					return false
				})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				r := p.Do(ctx, newGetRequest("a", false))
				is.True(gd.Unknown.Is(r.Err)) // not a response, and not a deadline
				is.True(r.Reached)
				<-closed
			})
		}
	}
}
