package sidecar_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// TestStalledUploads has clients stop short of the end of an upload, for the server beside the node
// and for one beside another node. An upload that no server can have got a part of must get 408,
// which states that it has not run and never will; a longer one must not. Its connection ends.
func TestStalledUploads(t *testing.T) {
	both := slices.Clone(routes[1:2])
	both[0].Timeout = time.Minute
	both = append(both, both[0])
	both[1].Name, both[1].Prefix, both[1].Backends = "stock", "/stock/", []route.Backend{{Service: "stock", Weight: 1}}
	f := startFleet(t, fleet.Spec{Nodes: []fleet.NodeSpec{{DataCentre: "a", Service: "shop"}, {DataCentre: "a", Service: "stock"}}, Routes: both, Slots: 8})
	var clients sync.WaitGroup
	for i, path := range []string{"/orders/1", "/stock/1"} {
		for size, isCertain := range map[int]bool{5_000: true, 360_000: true, 3_000_000: false} {
			clients.Go(func() {
				is := is.New(t)
				id := fmt.Sprint("stalled-", i, "-", size)
				conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
				is.NoErr(err)
				defer conn.Close()
				h := http.Header{}
				platform.SetRequestID(h, id)
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, fleet.Host, size)
				is.NoErr(h.Write(conn))
				fmt.Fprint(conn, "\r\n")
				_, err = conn.Write(make([]byte, size-1))
				is.NoErr(err)
				br := bufio.NewReader(conn)
				res, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				is.True(res.Close)
				is.Equal(res.StatusCode == http.StatusRequestTimeout, isCertain)
				is.True(res.StatusCode != http.StatusServiceUnavailable && res.StatusCode != http.StatusOK)
				is.Equal(countRuns(f, id), 0)
			})
		}
	}
	clients.Wait()
}
