package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/mutate"
)

// roundTripTimeout ends a request to a server that sends no complete response.
const roundTripTimeout = 20 * time.Millisecond

// sampleResponses are the responses that are corrupted by the tests below.
var sampleResponses = []string{
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nok",
	"HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// checkResponse has a server send data in response to every request. It checks that
// the pool returns an error, or a complete response without the id of another request.
func checkResponse(t *testing.T, data []byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := scriptedServer{l, func(_ int, conn net.Conn) bool {
		_, _ = conn.Write(data) // the pool may have closed the connection
		return false
	}}
	go s.serve()
	p := New(l.Addr().String(), func(h http.Header) string { return h.Get("Id") })
	defer func() { p.Close(); l.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), roundTripTimeout)
	defer cancel()
	r := p.Do(ctx, newGetRequest("1", true))
	if r.Err != nil {
		return
	}
	defer r.Response.Body.Close()
	// The first response on a connection may come without an id, since it cannot belong
	// to an earlier request.
	if got := r.Response.Header.Get("Id"); got != "" && got != "1" {
		t.Fatalf("%q: accepted a response to request %q", data, got)
	}
	body, err := io.ReadAll(r.Response.Body)
	if err == nil && r.Response.ContentLength >= 0 && int64(len(body)) != r.Response.ContentLength {
		t.Fatalf("%q: accepted a body of %d bytes with a Content-Length of %d", data, len(body), r.Response.ContentLength)
	}
}

// TestCorruptedResponses sends corrupted copies of responses on TCP connections.
func TestCorruptedResponses(t *testing.T) {
	const copies = 300
	for _, sample := range sampleResponses {
		for corrupted := range mutate.Copies([]byte(sample), copies) {
			checkResponse(t, corrupted)
		}
	}
}

func FuzzResponse(f *testing.F) {
	for _, sample := range sampleResponses {
		f.Add([]byte(sample))
	}
	f.Add([]byte(strings.Repeat("x", 10_000)))
	f.Fuzz(checkResponse)
}
