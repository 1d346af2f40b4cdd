package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// TestRequestTakenLateInTheGraceIsCut guards against requests cut without a response at the end of the grace.
func TestRequestTakenLateInTheGraceIsCut(t *testing.T) {
	is := is.New(t)
	const requests, grace = 80, 4 * time.Second
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: requests, WorkTime: 700 * time.Millisecond, Grace: grace})
	var conns []net.Conn
	for i := range requests {
		conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
		is.NoErr(err)
		defer conn.Close()
		conns = append(conns, conn)
		is.NoErr(post(conn, fmt.Sprint("first-", i), 2*time.Second))
	}
	for _, conn := range conns {
		is.True(readResponse(conn) != 0) // the connection is kept
	}
	closed := make(chan struct{})
	go func() { defer close(closed); _ = f.VMs[0].Sidecar.Close() }()
	is.NoErr(awaitNotReady(f.VMs[0]))
	var late sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i, conn := range conns {
		late.Go(func() {
			time.Sleep(grace * time.Duration(i) / requests)
			id := fmt.Sprint("late-", i)
			status := 0
			if post(conn, id, time.Duration(200+i%10*150)*time.Millisecond) == nil {
				status = readResponse(conn)
			}
			if status == 0 && countRuns(f, id) > 0 {
				t.Errorf("request %s, sent %d%% into the grace period, ran and got no response", id, 100*i/requests)
			}
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	late.Wait()
	<-closed
	is.True(statuses[http.StatusOK] > 0)                 // some are in time
	is.True(statuses[http.StatusServiceUnavailable] > 0) // some would outlast the node
}

// post sends a request that may run once.
func post(conn net.Conn, id string, deadline time.Duration) error {
	h := http.Header{}
	platform.SetDeadline(h, deadline)
	fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n", fleet.Host, id)
	_ = h.Write(conn)
	_, err := fmt.Fprint(conn, "\r\nx")
	return err
}

// readResponse reads a whole response and returns its status, or 0 if there is none.
func readResponse(conn net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}
