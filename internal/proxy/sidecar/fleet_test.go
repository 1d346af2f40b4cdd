package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// routesWithPrefix returns the routes with the path prefix of the first replaced.
func routesWithPrefix(name string) []route.Route {
	list := slices.Clone(routes)
	list[0].Prefix = "/" + name + "/"
	return list
}

// TestPolicyReachesNodesDespiteStoreFaults checks that a new policy reaches all nodes
// when the store's watches deliver nothing and its history is compacted, and when
// its responses to writes are lost.
func TestPolicyReachesNodesDespiteStoreFaults(t *testing.T) {
	for name, faults := range map[string]catalogue.Faults{
		"watches deliver nothing":      {MuteWatches: true},
		"responses to writes are lost": {LostWriteRatio: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(4), Slots: 2})
			f.Store.SetFaults(faults)
			for i := range 3 {
				_ = f.SetRoutes(routesWithPrefix(fmt.Sprint("v", i))) // the response may be lost
				if faults.MuteWatches {
					f.Store.Compact()
					f.Store.SetFaults(catalogue.Faults{})
				}
				is.NoErr(f.AwaitServers(4))
			}
		})
	}
}

// TestInvalidPolicyIsIgnored checks that nodes ignore policies that cannot be
// decoded and still apply the next valid one.
func TestInvalidPolicyIsIgnored(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 2})
	good := f.Version()
	for _, bad := range []string{`"text"`, `{"version":"r9","resources":[]}`, `{"version":"9"}`, `[]`, `null`} {
		is.NoErr(f.SetRawPolicy([]byte(bad)))
	}
	is.NoErr(f.SetRoutes(routesWithPrefix("next")))
	is.NoErr(f.AwaitServers(2))
	is.True(f.Version() > good)
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/next/1", ID: "n"})
	is.Equal(a.Status, http.StatusOK)
}

// TestOlderPolicyIsIgnored writes an older version of the policy after a newer one.
func TestOlderPolicyIsIgnored(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 2})
	is.NoErr(f.SetRoutes(routesWithPrefix("second")))
	is.NoErr(f.AwaitServers(2))
	old, err := platform.EncodePolicy(1, route.Limits{HeaderBytes: 1024, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}, []string{"shop"}, nil)
	is.NoErr(err)
	is.NoErr(f.SetRawPolicy(old))
	is.NoErr(f.SetRoutes(routesWithPrefix("third")))
	is.NoErr(f.AwaitServers(2))
	version, _ := f.VMs[0].Sidecar.Status()
	is.Equal(version, f.Version())
}

// TestDrainingServerGetsNoRequests checks that a server gets no requests after it
// has announced that it drains, nor after a late announcement that says otherwise.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 4, Drain: 100 * time.Millisecond})
	is.NoErr(f.VMs[0].Server.Drain())
	is.NoErr(f.AwaitServers(2)) // the other nodes know that it drains
	before := f.VMs[0].Server.Stats().Arrivals
	for i := range 30 {
		a := f.Do(context.Background(), fleet.Request{VM: f.VMs[i%3], Path: "/reads/1", ID: fmt.Sprint("d-", i)})
		is.Equal(a.Status, http.StatusOK)
	}
	is.Equal(f.VMs[0].Server.Stats().Arrivals, before)
	is.NoErr(f.VMs[0].Server.Leave())
	// A late announcement must not make the server available again.
	late := f.VMs[0].Server.Announcement()
	late.Draining = false
	req, err := platform.NewAnnouncement(f.VMs[0].Sidecar.Address("announcements"), late)
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "late"})
	is.Equal(a.Status, http.StatusOK)
	is.Equal(f.VMs[0].Server.Stats().Arrivals, before)
}

// TestServerReplacedAtSameAddress replaces the server beside a node by one with
// another instance name. The new one must not run requests that are meant for the
// old one.
func TestServerReplacedAtSameAddress(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 2})
	old := f.VMs[0].Server
	address := old.Address()
	old.Crash()
	l, err := net.Listen("tcp", address)
	is.NoErr(err)
	next := &backend.Server{Service: "shop", Instance: "another", Slots: 2, NodeAddress: old.NodeAddress}
	next.StartOn(l)
	f.VMs[0].Server = next
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Method: http.MethodPost, Path: "/orders/1", ID: "o", Body: "x"})
	is.NoErr(a.Err)
	is.True(a.Status == http.StatusServiceUnavailable || a.Status == http.StatusMisdirectedRequest)
	is.Equal(next.RunCount("o"), 0)
	is.NoErr(next.Announce())
	is.NoErr(fleet.Await("the new server is used", func() bool {
		return f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "r"}).Status == http.StatusOK
	}))
}

// TestRestartedNodeUsesItsServerAtOnce checks that a restarted node uses its server
// before the server's next announcement.
func TestRestartedNodeUsesItsServerAtOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 2})
	is.NoErr(fleet.Await("the entry is written", func() bool { return f.Store.Counts().Writes > 1 }))
	f.VMs[0].Sidecar.Kill()
	is.NoErr(f.Restart(f.VMs[0]))
	is.NoErr(f.AwaitServers(1))
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "r"})
	is.Equal(a.Status, http.StatusOK)
}

// TestRestartedNodeLearnsFromPeers checks that a node that restarts while the store
// is unavailable gets the policy and the servers from other nodes.
func TestRestartedNodeLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 2})
	f.VMs[0].Sidecar.Kill()
	f.Store.SetFaults(catalogue.Faults{Outage: catalogue.Busy})
	is.NoErr(f.Restart(f.VMs[0]))
	is.NoErr(f.AwaitServers(3))
}

// TestLostEntriesAreRewritten removes the servers' entries from the store during an
// outage. The nodes must write them again.
func TestLostEntriesAreRewritten(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 2})
	is.NoErr(fleet.Await("the entries are written", func() bool { return countEntries(f) == 2 }))
	f.Store.SetFaults(catalogue.Faults{Outage: catalogue.Reset})
	time.Sleep(50 * time.Millisecond) // let the nodes notice the outage
	f.Store.Drop("geraniumdock-servers", "node-0")
	f.Store.Drop("geraniumdock-servers", "node-1")
	f.Store.SetFaults(catalogue.Faults{})
	is.NoErr(fleet.Await("the entries are back", func() bool { return countEntries(f) == 2 }))
}

// countEntries returns the number of server entries in the store, -1 on error.
func countEntries(f *fleet.Fleet) int {
	page, _, _, err := f.Store.List(context.Background(), "test", "geraniumdock-servers", "")
	if err != nil {
		return -1
	}
	return len(page)
}

// awaitNotReady waits until the node of vm is no longer ready.
func awaitNotReady(vm *fleet.VM) error {
	return fleet.Await("the node is not ready", func() bool {
		res, err := http.Get("http://" + vm.Sidecar.Address("ready") + platform.ReadyPath)
		if err != nil {
			return true
		}
		return res.Body.Close() == nil && res.StatusCode == http.StatusServiceUnavailable
	})
}

// TestStoppingNodeFinishesItsRequests closes a node while requests run. They must
// get their responses, and requests that arrive after the hand-over must not reach the
// server beside the node.
func TestStoppingNodeFinishesItsRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 4, WorkTime: 300 * time.Millisecond, Grace: 4 * time.Second})
	responses := make(chan fleet.Response)
	const n = 8
	for i := range n {
		go func() {
			responses <- f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Method: http.MethodPost, Path: "/orders/1", ID: fmt.Sprint("o-", i), Body: "x"})
		}()
	}
	running := func() int { return len(f.VMs[0].Server.Runs()) + len(f.VMs[1].Server.Runs()) }
	is.NoErr(fleet.Await("requests run", func() bool { return running() == n }))
	closed := make(chan struct{})
	go func() { defer close(closed); _ = f.VMs[0].Sidecar.Close() }()
	is.NoErr(awaitNotReady(f.VMs[0]))
	is.NoErr(fleet.Await("the server is handed over", func() bool { return servers(f.VMs[1]) == 1 }))
	late := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "late", Deadline: time.Second})
	is.NoErr(late.Err)
	is.Equal(late.Status, http.StatusOK) // by the other server
	long := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "long"})
	is.NoErr(long.Err)
	is.Equal(long.Status, http.StatusServiceUnavailable) // the node stops before its deadline
	is.Equal(countRuns(f, "long"), 0)
	is.Equal(f.VMs[0].Server.RunCount("late"), 0)
	for range n {
		a := <-responses
		is.NoErr(a.Err)
		is.Equal(a.Status, http.StatusOK)
	}
	<-closed
}

// TestStopWithPipelinedRequests closes a node while several requests on one connection
// run, and one on another is sent in part. Each request that a server ran must get its
// response. The one that arrives in part after SIGTERM must get a response as well.
func TestStopWithPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 8, WorkTime: 200 * time.Millisecond, Grace: 4 * time.Second})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
		is.NoErr(err)
		return conn
	}
	pipelined, partial := dial(), dial()
	defer pipelined.Close()
	defer partial.Close()
	h := http.Header{}
	platform.SetDeadline(h, time.Second) // before the node stops
	const n = 6
	for i := range n {
		fmt.Fprintf(pipelined, "GET /reads/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p-%d\r\n", i, fleet.Host, i)
		is.NoErr(h.Write(pipelined))
		fmt.Fprint(pipelined, "\r\n")
	}
	fmt.Fprintf(partial, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\n", fleet.Host)
	is.NoErr(h.Write(partial))
	is.NoErr(fleet.Await("the requests run", func() bool { return len(f.VMs[0].Server.Runs())+len(f.VMs[1].Server.Runs()) == n }))
	closed := make(chan struct{})
	go func() { defer close(closed); _ = f.VMs[0].Sidecar.Close() }()
	is.NoErr(awaitNotReady(f.VMs[0]))
	fmt.Fprintf(partial, "X-Request-Id: half\r\nContent-Length: 4\r\n\r\nbody")
	res, err := http.ReadResponse(bufio.NewReader(partial), nil)
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(string(body), backend.ResponseBody("half", "body"))
	br := bufio.NewReader(pipelined)
	for i := range n {
		res, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), backend.ResponseBody(fmt.Sprint("p-", i), ""))
	}
	<-closed
}

// TestServerIsUsedUntilItsNodeHandsOver closes one of two nodes whose servers have one
// slot each and run for 100 ms. Until the hand-over, which is less than half of the
// time that the node needs to stop, both servers serve requests.
func TestServerIsUsedUntilItsNodeHandsOver(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 1, WorkTime: 100 * time.Millisecond, Grace: 4 * time.Second})
	closed := make(chan struct{})
	go func() { defer close(closed); _ = f.VMs[0].Sidecar.Close() }()
	is.NoErr(awaitNotReady(f.VMs[0]))
	statuses := make(chan int)
	for i := range 2 {
		go func() {
			a := f.Do(context.Background(), fleet.Request{VM: f.VMs[1], Path: "/reads/1", ID: fmt.Sprint("r-", i), Deadline: time.Second})
			statuses <- a.Status
		}()
	}
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(len(f.VMs[0].Server.Runs()), 1)
	<-closed
}

// TestPlannedRestartKeepsTheServer restarts a node by SIGTERM while its server is up
// and announces nothing. The server must be used again at once. After a server has
// left, its entry must not be there for the next process.
func TestPlannedRestartKeepsTheServer(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 2, Grace: 4 * time.Second})
	_ = f.VMs[0].Sidecar.Close()
	is.Equal(servers(f.VMs[1]), 1)
	is.NoErr(f.Restart(f.VMs[0]))
	is.NoErr(f.AwaitServers(2))
	is.NoErr(f.VMs[0].Server.Leave())
	is.NoErr(f.AwaitServers(1))
	_ = f.VMs[0].Sidecar.Close()
	is.NoErr(f.Restart(f.VMs[0]))
	is.NoErr(f.AwaitServers(1))
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "r"})
	is.Equal(a.Status, http.StatusOK)
	is.Equal(f.VMs[0].Server.RunCount("r"), 0)
}

// TestServerThatDrainsWhileItsNodeStops has a server announce that it drains after its
// node has handed over. The next process of the node must not use it, although it was
// up when the node began to stop.
func TestServerThatDrainsWhileItsNodeStops(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 2, Grace: 4 * time.Second})
	closed := make(chan struct{})
	go func() { defer close(closed); _ = f.VMs[0].Sidecar.Close() }()
	is.NoErr(fleet.Await("the server is handed over", func() bool { return servers(f.VMs[1]) == 1 }))
	is.NoErr(f.VMs[0].Server.Drain())
	<-closed
	is.NoErr(f.Restart(f.VMs[0]))
	is.NoErr(fleet.Await("the node knows the policy and the other server", func() bool {
		version, n := f.VMs[0].Sidecar.Status()
		return version == f.Version() && n > 0
	}))
	for i := range 20 {
		id := fmt.Sprint("r-", i)
		a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: id})
		is.Equal(a.Status, http.StatusOK)
		is.Equal(f.VMs[0].Server.RunCount(id), 0)
	}
}

// servers returns the number of servers that vm's node knows to be available.
func servers(vm *fleet.VM) int {
	_, n := vm.Sidecar.Status()
	return n
}

// TestLastServerIsUsedWhileItsNodeStops closes the node beside the only server of a
// service. Requests whose deadline is before the node's stop must reach the server,
// others must not.
func TestLastServerIsUsedWhileItsNodeStops(t *testing.T) {
	is := is.New(t)
	nodes := append(shopNodes(1), fleet.NodeSpec{DataCentre: "dc-1", Service: "other"})
	f := startFleet(t, fleet.Spec{Nodes: nodes, Slots: 4, Grace: 4 * time.Second})
	closed := make(chan struct{})
	go func() { defer close(closed); _ = f.VMs[0].Sidecar.Close() }()
	is.NoErr(awaitNotReady(f.VMs[0]))
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[1], Path: "/reads/1", ID: "short", Deadline: time.Second})
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusOK)
	a = f.Do(context.Background(), fleet.Request{VM: f.VMs[1], Path: "/reads/1", ID: "long"})
	is.Equal(a.Status, http.StatusServiceUnavailable) // the node stops before its deadline
	is.Equal(f.VMs[0].Server.RunCount("long"), 0)
	<-closed
}

// TestPipelinedRequests sends several requests at once on a connection. They must
// run concurrently, and the responses must arrive in the order of the requests.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 8, WorkTime: 20 * time.Millisecond})
	conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
	is.NoErr(err)
	defer conn.Close()
	const n = 12
	for i := range n {
		fmt.Fprintf(conn, "GET /reads/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p-%d\r\n\r\n", i, fleet.Host, i)
	}
	br := bufio.NewReader(conn)
	for i := range n {
		res, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(string(body), backend.ResponseBody(fmt.Sprint("p-", i), "")) // in the order of the requests
	}
	is.True(max(f.VMs[0].Server.Stats().Peak, f.VMs[1].Server.Stats().Peak) > 1) // they ran concurrently
}

// TestAmbiguousRequestsAreRefused guards against request smuggling: a request that
// two parsers may frame differently must be refused and its connection closed,
// before the bytes that follow are read as another request.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 2})
	smuggled := "GET /reads/1 HTTP/1.1\r\nHost: " + fleet.Host + "\r\nX-Request-Id: smuggled\r\n\r\n"
	head := "POST /orders/1 HTTP/1.1\r\nHost: " + fleet.Host + "\r\nX-Request-Id: outer\r\n"
	for name, text := range map[string]string{
		"two lengths":        head + "Content-Length: 5\r\nContent-Length: 0\r\n\r\nabcde" + smuggled,
		"length and chunks":  head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"folded field":       head + "X-A: b\r\n Content-Length: 5\r\n\r\n" + smuggled,
		"bad chunk":          head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled,
		"line feed alone":    head + "X-A: b\nContent-Length: 0\r\n\r\n" + smuggled,
		"space before colon": head + "Content-Length : 0\r\n\r\n" + smuggled,
		"unknown coding":     head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"negative length":    head + "Content-Length: -1\r\n\r\n" + smuggled,
		"no host":            "GET /reads/1 HTTP/1.1\r\nX-Request-Id: outer\r\n\r\n" + smuggled,
		"header too large":   "GET /reads/1 HTTP/1.1\r\nHost: " + fleet.Host + "\r\nX-A: " + strings.Repeat("a", 20_000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", f.VMs[0].Sidecar.Address("clients"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusRequestHeaderFieldsTooLarge)
			_, err = io.ReadAll(res.Body)
			is.NoErr(err)
			is.True(res.Close)
			is.Equal(f.VMs[0].Server.RunCount("smuggled"), 0)
		})
	}
}

// TestCrashedServerIsAvoided checks that requests go to other servers when one has
// crashed, and that all nodes stop choosing it.
func TestCrashedServerIsAvoided(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 4})
	f.VMs[0].Server.Crash()
	for i := range 30 {
		a := f.Do(context.Background(), fleet.Request{VM: f.VMs[i%3], Method: http.MethodPost, Path: "/orders/1", ID: fmt.Sprint("o-", i), Body: "x"})
		is.NoErr(a.Err)
		is.Equal(a.Status, http.StatusOK) // a refused connection shows that it did not run
	}
	is.NoErr(f.AwaitServers(2))
}

// startOtherRequest sends requests until one of them runs on the server of vm, so
// that several are in flight when the server crashes.
func startOtherRequest(ctx context.Context, t *testing.T, f *fleet.Fleet, vm *fleet.VM, round int) {
	t.Helper()
	for i := 0; ; i++ {
		id := fmt.Sprint("good-", round, "-", i)
		go f.Do(ctx, fleet.Request{VM: vm, Method: http.MethodPost, Path: "/orders/" + id, ID: id, Body: "x"})
		if err := fleet.Await("the other request runs", func() bool { return countRuns(f, id) == 1 }); err != nil {
			t.Fatal(err)
		}
		if vm.Server.RunCount(id) == 1 {
			return
		}
	}
}

// TestRequestThatCrashesServersIsRefused crashes three servers in turn while each
// runs the same request and another one. No fourth server may get that request.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(4), Slots: 4, WorkTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	available := len(f.VMs)
	for i := range 3 {
		id := fmt.Sprint("poison-", i)
		go f.Do(ctx, fleet.Request{VM: f.VMs[3], Method: http.MethodPost, Path: "/orders/poison", ID: id, Body: "x"})
		is.NoErr(fleet.Await("the request runs", func() bool { return countRuns(f, id) == 1 }))
		for _, vm := range f.VMs {
			if vm.Server.RunCount(id) == 1 {
				startOtherRequest(ctx, t, f, vm, i)
				vm.Server.Crash()
			}
		}
		// A node notices the crash when a request cannot connect to the server.
		available--
		is.NoErr(fleet.Await("the crash is noticed", func() bool {
			short, done := context.WithTimeout(ctx, 20*time.Millisecond)
			defer done()
			f.Do(short, fleet.Request{VM: f.VMs[3], Path: "/reads/1", ID: "look"})
			_, servers := f.VMs[3].Sidecar.Status()
			return servers == available
		}))
	}
	is.NoErr(fleet.Await("the request is refused", func() bool {
		a := f.Do(ctx, fleet.Request{VM: f.VMs[3], Method: http.MethodPost, Path: "/orders/poison", ID: "last", Body: "x", Deadline: 50 * time.Millisecond})
		return a.Status == http.StatusServiceUnavailable
	}))
}
