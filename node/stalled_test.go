package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/demo"
)

// TestStalledBodyEndsWithTheCall has callers stop just short of the end of a body, of a size
// that the node buffers and of one that it does not. Without a deadline for the body the node
// kept the buffer, the connection and its goroutines for as long as the caller liked.
func TestStalledBodyEndsWithTheCall(t *testing.T) {
	for name, size := range map[string]int{"buffered": 60_000, "streamed": 200_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := startTestFleet(t, 1, nil)
			conn, err := net.Dial("tcp", x.Nodes[0].CallsAddress())
			is.NoErr(err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h\r\nProxy-Authorization: Bearer app-token\r\n%s: a\r\nGeraniumdock-Timeout-Ms: 300\r\nContent-Length: %d\r\n\r\n", demo.IDHeader, size)
			_, err = conn.Write(make([]byte, size-1))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			data, err := io.ReadAll(conn)
			is.NoErr(err) // the node has closed the connection
			is.True(bytes.HasPrefix(data, []byte("HTTP/1.1 ")))
			is.True(!bytes.HasPrefix(data, []byte("HTTP/1.1 200")))
		})
	}
}
