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

// roundTripTimeout ends an exchange with a server whose bytes make no answer.
const roundTripTimeout = 20 * time.Millisecond

// sampleResponses are those of which damaged copies are made.
var sampleResponses = []string{
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nok",
	"HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// checkResponse has a server send data for every request and reads what the pool
// makes of it: an error, or an answer that names no other request.
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
	// The first answer on a connection can be no other's, with an id or without.
	if got := r.Response.Header.Get("Id"); got != "" && got != "1" {
		t.Fatalf("%q: an answer to %q was taken", data, got)
	}
	body, err := io.ReadAll(r.Response.Body)
	if err == nil && r.Response.ContentLength >= 0 && int64(len(body)) != r.Response.ContentLength {
		t.Fatalf("%q: a body of %d bytes passed for %d", data, len(body), r.Response.ContentLength)
	}
}

// TestCorruptedResponses plays damaged copies of answers on real connections.
func TestCorruptedResponses(t *testing.T) {
	const copies = 300
	for _, a := range sampleResponses {
		for damaged := range mutate.Copies([]byte(a), copies) {
			checkResponse(t, damaged)
		}
	}
}

func FuzzResponse(f *testing.F) {
	for _, a := range sampleResponses {
		f.Add([]byte(a))
	}
	f.Add([]byte(strings.Repeat("x", 10_000)))
	f.Fuzz(checkResponse)
}
