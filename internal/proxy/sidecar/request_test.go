package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// routes has an idempotent route for reads, one for orders, which must not run
// twice, and one for reads with a short timeout.
var routes = []route.Route{
	{Name: "reads", Host: fleet.Host, Prefix: "/reads/", Idempotent: true, Attempts: 3, Timeout: 5 * time.Second,
		Objective: time.Second, Priority: 2, Backends: []route.Backend{{Service: "shop", Weight: 1}}},
	{Name: "orders", Host: fleet.Host, Prefix: "/orders/", Attempts: 3, Timeout: 5 * time.Second,
		Objective: time.Second, Priority: 1, Backends: []route.Backend{{Service: "shop", Weight: 1}}},
	{Name: "short", Host: fleet.Host, Prefix: "/short/", Idempotent: true, Attempts: 3, Timeout: 200 * time.Millisecond,
		Objective: 100 * time.Millisecond, Priority: 2, Backends: []route.Backend{{Service: "shop", Weight: 1}}},
}

func shopNodes(n int) []fleet.NodeSpec {
	var nodes []fleet.NodeSpec
	for i := range n {
		nodes = append(nodes, fleet.NodeSpec{DataCentre: fmt.Sprintf("dc-%d", i%2), Service: "shop"})
	}
	return nodes
}

func startFleet(t *testing.T, spec fleet.Spec) *fleet.Fleet {
	t.Helper()
	if spec.Routes == nil {
		spec.Routes = routes
	}
	if spec.RepeatSlack == 0 {
		spec.RepeatSlack = 1000
	}
	f, err := fleet.Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// forgedCaller returns the header of a client that pretends to be another caller.
func forgedCaller() http.Header {
	h := http.Header{}
	platform.SetCaller(h, "somebody")
	return h
}

// countRuns returns how often the servers ran the request with the given ID.
func countRuns(f *fleet.Fleet, id string) int {
	n := 0
	for _, vm := range f.VMs {
		n += vm.Server.RunCount(id)
	}
	return n
}

// TestRequestReachesAServerUnchanged checks that the server receives the method,
// target and body that the client sent, and a caller that the client cannot forge.
func TestRequestReachesAServerUnchanged(t *testing.T) {
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 4})
	for name, r := range map[string]fleet.Request{
		"read":           {Path: "/reads/a/b?x=1&y=%2F"},
		"escaped path":   {Path: "/reads/%41%2f//b/../c"},
		"body":           {Method: http.MethodPost, Path: "/orders/1", Body: "one brass die"},
		"large body":     {Method: http.MethodPost, Path: "/orders/2", Body: strings.Repeat("x", 300_000)},
		"forged caller":  {Path: "/reads/1", Header: forgedCaller()},
		"unknown method": {Method: "PURGE", Path: "/reads/2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r.ID, r.VM = "id-"+strings.ReplaceAll(name, " ", "-"), f.VMs[1]
			a := f.Do(context.Background(), r)
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.Body, backend.ResponseBody(r.ID, r.Body))
			is.Equal(countRuns(f, r.ID), 1)
			for _, vm := range f.VMs {
				for _, run := range vm.Server.Runs() {
					if run.ID != r.ID {
						continue
					}
					is.Equal(run.Target, r.Path)
					is.Equal(run.Caller, "shop") // the service beside the node that accepted the request
					is.Equal(run.Body, r.Body)
					is.True(run.Method == r.Method || r.Method == "" && run.Method == http.MethodGet)
					is.True(run.Deadline > 0 && run.Deadline <= 5*time.Second) // the route's timeout
				}
			}
		})
	}
}

// TestResponsesWithoutAServer checks the responses that the node makes itself: while
// it has no policy, and for a path without a route.
func TestResponsesWithoutAServer(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 1, NoPolicy: true})
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "early"})
	is.Equal(a.Status, http.StatusServiceUnavailable) // no policy was received yet
	is.True(a.Header.Get("Retry-After") != "")
	is.NoErr(f.SetRoutes(routes))
	is.NoErr(f.AwaitServers(1))
	a = f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/nowhere/1", ID: "nowhere"})
	is.Equal(a.Status, http.StatusNotFound)
	a = f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "there"})
	is.Equal(a.Status, http.StatusOK)
}

// TestServerFailures makes one of three servers fail in several ways. Reads must be
// served by another server. Orders must not run twice, and an order that fails
// must get an error response.
func TestServerFailures(t *testing.T) {
	for name, faults := range map[string]backend.Faults{
		"response lost": {LoseResponse: true},
		"response cut":  {TruncateResponse: true},
		"head cut":      {TruncateHead: true},
		"extra bytes":   {ExtraBytes: true},
		"no signature":  {NoSignature: true},
		"encoded":       {WrongContentEncoding: true},
		"no length":     {NoContentLength: true},
		"refuses work":  {Refuse: true},
		"fails":         {Fail: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 4})
			f.VMs[0].Server.SetFaults(faults)
			for i := range 30 {
				read, order := fmt.Sprint("read-", i), fmt.Sprint("order-", i)
				a := f.Do(context.Background(), fleet.Request{VM: f.VMs[i%3], Path: "/reads/1", ID: read})
				is.NoErr(a.Err)
				is.Equal(a.Status, http.StatusOK) // another server serves the read
				is.Equal(a.Body, backend.ResponseBody(read, ""))

				a = f.Do(context.Background(), fleet.Request{VM: f.VMs[i%3], Method: http.MethodPost, Path: "/orders/1", ID: order, Body: "die"})
				is.NoErr(a.Err)
				ran := countRuns(f, order)
				is.True(ran <= 1) // an order never runs twice
				switch a.Status {
				case http.StatusOK:
					is.Equal(a.Body, backend.ResponseBody(order, "die"))
					is.Equal(ran, 1)
				case http.StatusBadGateway, http.StatusInternalServerError:
					is.Equal(ran, 1)
				default:
					t.Errorf("order got status %d and ran %d times", a.Status, ran)
				}
				if faults.Refuse {
					is.Equal(a.Status, http.StatusOK) // a request that did not run is sent to another server
				}
			}
		})
	}
}

// TestClientDisconnectCancelsRequests checks that requests are canceled when their
// clients disconnect, whether they are running or waiting for a slot.
func TestClientDisconnectCancelsRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 1, WorkTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 4 {
		go f.Do(ctx, fleet.Request{VM: f.VMs[i%2], Path: "/reads/1", ID: fmt.Sprint("left-", i)})
	}
	busy := func() int { return len(f.VMs[0].Server.Runs()) + len(f.VMs[1].Server.Runs()) }
	is.NoErr(fleet.Await("two requests run", func() bool { return busy() == 2 }))
	cancel()
	is.NoErr(fleet.Await("the running requests are canceled", func() bool {
		return f.VMs[0].Server.Stats().Canceled+f.VMs[1].Server.Stats().Canceled == busy()
	}))
}

// TestRouteTimeout checks the responses to a request that runs longer than its
// route's timeout, and to one that waits for a slot for that long.
func TestRouteTimeout(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 1, WorkTime: time.Hour})
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/short/1", ID: "long"})
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusGatewayTimeout)
	is.Equal(countRuns(f, "long"), 1)
	is.NoErr(fleet.Await("the request is canceled", func() bool { return f.VMs[0].Server.Stats().Canceled == 1 }))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Do(ctx, fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "holder"})
	is.NoErr(fleet.Await("the slot is taken", func() bool { return countRuns(f, "holder") == 1 }))
	a = f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/short/1", ID: "waiter"})
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusServiceUnavailable) // it has not run
	is.True(a.Header.Get("Retry-After") != "")
	is.Equal(countRuns(f, "waiter"), 0)
}

// TestUnfinishedUploadOutlastsItsTimeout guards against requests that wait for a body past their route's timeout.
func TestUnfinishedUploadOutlastsItsTimeout(t *testing.T) {
	for name, sizes := range map[string]struct{ body, sent int }{
		"nothing sent": {100_000, 0}, "half sent": {100_000, 50_000}, "half of a large body sent": {3_000_000, 1_500_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 4})
			conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
			is.NoErr(err)
			defer conn.Close()
			go func() {
				fmt.Fprintf(conn, "POST /short/1 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", fleet.Host, sizes.body)
				_, _ = conn.Write(make([]byte, sizes.sent)) // ends with the connection
			}()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusGatewayTimeout)
			is.NoErr(res.Body.Close())
		})
	}
}

// TestClientDeadline checks that the server receives the time left until the
// client's deadline.
func TestClientDeadline(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 1})
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "d", Deadline: 800 * time.Millisecond})
	is.Equal(a.Status, http.StatusOK)
	left := f.VMs[0].Server.Runs()[0].Deadline
	is.True(left > 0 && left <= 800*time.Millisecond)
}

// TestSlotsAreNotExceeded checks that no server runs more requests than it has
// slots when many more are sent.
func TestSlotsAreNotExceeded(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 3, WorkTime: 10 * time.Millisecond})
	done := make(chan fleet.Response)
	const n = 60
	for i := range n {
		go func() {
			done <- f.Do(context.Background(), fleet.Request{VM: f.VMs[i%2], Path: "/reads/1", ID: fmt.Sprint("s-", i)})
		}()
	}
	for range n {
		a := <-done
		is.NoErr(a.Err)
		is.True(a.Status == http.StatusOK || a.Status == http.StatusServiceUnavailable)
	}
	for _, vm := range f.VMs {
		is.True(vm.Server.Stats().Peak <= 3)
	}
}

// TestRetryBudget checks that the retries stay within the budget when all servers
// fail.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 8, RepeatRatio: 0.2, RepeatSlack: 12})
	for _, vm := range f.VMs {
		vm.Server.SetFaults(backend.Faults{LoseResponse: true})
	}
	const n = 60
	for i := range n {
		f.Do(context.Background(), fleet.Request{VM: f.VMs[i%3], Path: "/reads/1", ID: fmt.Sprint("b-", i)})
	}
	arrivals := 0
	for _, vm := range f.VMs {
		arrivals += vm.Server.Stats().Arrivals
	}
	is.True(arrivals-n <= 12+n/5) // the platform's limit: slack plus ratio
	is.True(arrivals > n)         // some requests were retried
}

// TestLargeBodyTakesNoSlotWhileItArrives sends half of a large body to a server
// that has one slot and is beside another node. Until the rest arrives, the slot
// must stay available to other requests.
func TestLargeBodyTakesNoSlotWhileItArrives(t *testing.T) {
	is := is.New(t)
	nodes := []fleet.NodeSpec{{DataCentre: "a", Service: "other"}, {DataCentre: "a", Service: "shop"}}
	f := startFleet(t, fleet.Spec{Nodes: nodes, Slots: 1, LinkMbps: 5})
	conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
	is.NoErr(err)
	defer conn.Close()
	const size = 100_000
	half := strings.Repeat("x", size/2)
	fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: up\r\nContent-Length: %d\r\n\r\n%s", fleet.Host, size, half)
	for i := range 5 {
		a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: fmt.Sprint("r-", i)})
		is.Equal(a.Status, http.StatusOK)
	}
	is.Equal(countRuns(f, "up"), 0)
	_, err = io.WriteString(conn, half)
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer res.Body.Close()
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(countRuns(f, "up"), 1)
}
