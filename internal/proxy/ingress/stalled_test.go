package ingress

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
)

// TestStalledBodies has the body of an order stall while another node receives it. A response with
// 408 states that the order has not run and never will, so only orders may get it of which that
// node cannot have sent a part to its server: those of which less than it buffers has arrived.
func TestStalledBodies(t *testing.T) {
	stalled := gd.BodyStalled.Errorf("test")
	for name, c := range map[string]struct {
		bytes  int
		end    error // of the body; nil if it goes on
		result request.Result
		status int
	}{
		"before a server can run it":   {request.BufferedBytes - 1, stalled, failed(gd.Unknown, true), http.StatusRequestTimeout},
		"after a server may run it":    {request.BufferedBytes, stalled, failed(gd.Unknown, true), http.StatusBadGateway},
		"after the response":           {1000, stalled, ok(), http.StatusOK},
		"at the other node":            {1000, nil, failed(gd.BodyStalled, false), http.StatusRequestTimeout},
		"at the other node, cut after": {1000, stalled, failed(gd.BodyStalled, false), http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := body.New(2 << 20)
			_, err := in.Write(make([]byte, c.bytes))
			is.NoErr(err)
			p := &peers{results: []request.Result{c.result}, unread: true, onAsk: func() {
				if c.end != nil {
					in.End(c.end)
				}
			}}
			res := post(newIngress(t, p), "/orders/1", in)
			is.Equal(res.StatusCode, c.status)
			is.Equal(len(p.asked), 1)
			is.Equal(in.Err() != nil, true) // the rest is not read
		})
	}
}
