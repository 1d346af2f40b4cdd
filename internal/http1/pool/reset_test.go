package pool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/http1/resettest"
)

// TestResetThatTheUploadSees guards against a response without a length that looks complete,
// since the goroutine that writes the request gets the reset of the connection from the socket
// and the reader sees an end of file. A response that shows its end stays complete.
func TestResetThatTheUploadSees(t *testing.T) {
	for framing, isComplete := range map[string]bool{
		"\r\npart":                      false,
		"Content-Length: 9\r\n\r\npart": false,
		"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n":          false,
		"Content-Length: 4\r\n\r\npart":                            true,
		"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n": true,
	} {
		for _, holdBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q %v", framing, holdBack), func(t *testing.T) {
				is := is.New(t)
				s := resettest.NewServer(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+framing)
				s.HoldBack = holdBack
				nc, err := s.Dial(context.Background(), "tcp", "")
				is.NoErr(err)
				p := New("", func(h http.Header) string { return h.Get("Id") })
				r := newGetRequest("a", false)
				r.Method, r.ContentLength, r.Request.Body = http.MethodPost, 1<<20, io.NopCloser(bytes.NewReader(make([]byte, 1<<20)))
				result := newConn(p, nc).roundTrip(context.Background(), r)
				is.NoErr(result.Err)
				<-s.Taken
				body, err := readResponseBody(result)
				is.Equal(body, "part")
				is.Equal(err == nil, isComplete)
			})
		}
	}
}
