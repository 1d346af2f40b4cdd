package node

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/http1/resettest"
)

// TestResetThatTheUploadSees guards against a response without a length that looks complete,
// since the goroutine of the transport that writes the request gets the reset of the connection
// from the socket and the one that reads sees an end of file.
func TestResetThatTheUploadSees(t *testing.T) {
	for framing, isComplete := range map[string]bool{
		"\r\npart":                      false,
		"Content-Length: 9\r\n\r\npart": false,
		"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n":          false,
		"Content-Length: 4\r\n\r\npart":                            true,
		"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n": true,
	} {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			s := resettest.NewServer(t, "HTTP/1.1 200 OK\r\n"+framing)
			s.HoldBack = true // the transport closes the connection when the write returns
			client := newServerTransport(1, s.Dial)
			defer client.CloseIdleConnections()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server/", bytes.NewReader(make([]byte, 1<<20)))
			is.NoErr(err)
			res, err := client.RoundTrip(req)
			is.NoErr(err)
			defer res.Body.Close()
			<-s.Taken
			body, err := io.ReadAll(res.Body)
			is.Equal(string(body), "part")
			is.Equal(err == nil, isComplete)
		})
	}
}
