package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/demo"
)

// TestInvalidStatus guards against a status that no response has being passed on, or awaited
// until the deadline. The connection to the server must be closed, a POST must not run again, and
// a GET is served by the other server.
func TestInvalidStatus(t *testing.T) {
	for name, response := range map[string]string{
		"000":         "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"099":         "HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\npart",
		"101":         "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"600":         "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n",
		"999":         "HTTP/1.1 999 Trouble\r\n\r\npart",
		"endless 1xx": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<19),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var closed atomic.Int32
			var inTrouble atomic.Int32 // number of servers that send the response
			x := startTestFleet(t, 2, func(b *demo.Backend) {
				b.Handle = func(w http.ResponseWriter, _ *http.Request) {
					if inTrouble.Add(-1) < 0 {
						fmt.Fprint(w, "good")
						return
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					_, _ = fmt.Fprint(conn, response)
					_, _ = conn.Read(make([]byte, 1)) // ends when the node closes the connection
					closed.Add(1)
				}
			})
			inTrouble.Store(1)
			r := x.call(x.Nodes[0], http.MethodPost, "order")
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(r.kind, "unknown")
			is.Equal(x.runs()["order"], 1)
			inTrouble.Store(1)
			r = x.call(x.Nodes[0], http.MethodGet, "lookup")
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, "good")
			x.await("the node closes both connections", func() bool { return closed.Load() == 2 })
		})
	}
}
