package node_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/node"
	"github.com/geraniumdock/geraniumdock/server"
)

func TestDrainFinishesUploadWithoutNewCalls(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 3, nil)
	body, feed := io.Pipe()
	done := make(chan result, 1)
	go func() {
		req := x.request(x.Nodes[0], http.MethodPost, "upload", body)
		done <- x.do(nil, req)
	}()
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	_, err := feed.Write(chunk)
	is.NoErr(err)
	x.await("the upload runs", func() bool { return x.runs()["upload"] == 1 })
	busy := 0
	for i, b := range x.backends {
		if b.Runs()["upload"] == 1 {
			busy = i
		}
	}
	x.backends[busy].Drain(x.Nodes[busy].AnnounceAddress())
	x.ok(x.AwaitServers(x.ctx, "tags", 2))
	before := len(x.backends[busy].Runs())
	for i := range 30 {
		is.Equal(x.call(x.Nodes[i%3], http.MethodPost, fmt.Sprint("new", i)).status, http.StatusOK)
	}
	is.Equal(len(x.backends[busy].Runs()), before) // the draining server got no new calls
	for range 20 {
		_, err := feed.Write(chunk)
		is.NoErr(err)
	}
	feed.Close()
	r := <-done
	is.NoErr(r.err)
	is.Equal(r.body, "upload")
}

func TestCloseWaitsForCallsInFlight(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	x := startTestFleet(t, 3, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			<-release
			fmt.Fprint(w, r.Header.Get(demo.IDHeader))
		}
	})
	var all sync.WaitGroup
	var bad atomic.Int32
	for i := range 9 {
		all.Go(func() {
			if id := fmt.Sprint("slow", i); x.call(x.Nodes[i%3], http.MethodPost, id).body != id {
				bad.Add(1)
			}
		})
	}
	x.await("all run", func() bool { return len(x.runs()) == 9 })
	closed := make(chan struct{})
	go func() {
		x.Nodes[0].Close()
		close(closed)
	}()
	x.await("others see it leave", func() bool { return x.Nodes[1].ServerCount("tags") == 2 })
	select {
	case <-closed:
		t.Fatal("closed with calls in flight")
	default:
	}
	close(release)
	all.Wait()
	<-closed
	is.Equal(bad.Load(), int32(0))
}

// awaitGone waits until observer knows that the server beside the node with the given
// name is gone. It fails the test if the server is recorded as lost instead.
func (x *testFleet) awaitGone(observer *node.Node, name string) {
	x.t.Helper()
	x.await(name+" is gone", func() bool {
		records, err := observer.Servers(x.ctx)
		x.ok(err)
		for _, r := range records {
			if r.Node == name && r.State == server.Lost {
				x.t.Fatalf("%s is recorded as lost, not as gone", name)
			}
			if r.Node == name && r.State == server.Gone {
				return true
			}
		}
		return false
	})
}

// TestClosingNodesAnnounceDeparture closes a relay and an ordinary node without
// calls in flight. The other nodes must learn that they are gone from a message,
// not by a timeout.
func TestClosingNodesAnnounceDeparture(t *testing.T) {
	x := startTestFleet(t, 4, nil)
	x.await("both relay seats of a data centre are taken", func() bool { return len(x.relays()) >= 3 })
	for _, i := range []int{3, 0} {
		x.Nodes[i].Close()
		x.awaitGone(x.Nodes[1], x.Nodes[i].Name())
	}
}

// TestNewRelayThatClosesIsTakenForLost closes a relay to which no node has opened a link.
func TestNewRelayThatClosesIsTakenForLost(t *testing.T) {
	x := startTestFleet(t, 1, nil)
	x.await("the first node is a relay", func() bool { return len(x.relays()) == 1 })
	time.Sleep(relayDiscoveryTime)
	x.add("n1", "dc-b", nil)
	x.await("the second node is a relay", func() bool { return len(x.relays()) == 2 })
	x.ok(x.AwaitServers(x.ctx, "tags", 2))
	x.Nodes[1].Close()
	x.awaitGone(x.Nodes[0], "n1")
}

// relayDiscoveryTime is the time for which a new relay lists the other relays often. Later
// it finds a new one, and opens a link to it, after some seconds only.
const relayDiscoveryTime = 4 * time.Second

// TestRelayCrashWhileServerDrains crashes two relays when a server begins to
// drain. The remaining nodes must still learn that it drains.
func TestRelayCrashWhileServerDrains(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 6, nil)
	x.await("at least three relays", func() bool { return len(x.relays()) >= 3 })
	relays := x.relays()
	draining := -1
	for i, n := range x.Nodes {
		if !n.IsRelay(x.ctx) {
			draining = i
		}
	}
	x.backends[draining].Drain(x.Nodes[draining].AnnounceAddress())
	killed := map[*node.Node]bool{relays[0]: true, relays[1]: true}
	for n := range killed {
		n.Kill()
	}
	var rest []*node.Node
	for _, n := range x.Nodes {
		if !killed[n] {
			rest = append(rest, n)
		}
	}
	x.Nodes = rest
	x.ok(x.AwaitServers(x.ctx, "tags", 3)) // 6 without the draining one and those of the 2 killed nodes
	x.edit("after", demo.Set("app", "tags", "weight", "5"))
	for i, n := range rest {
		is.Equal(x.call(n, http.MethodPost, fmt.Sprint("x", i)).status, http.StatusOK)
	}
	for n := range killed {
		n.Kill()
	}
}

// TestCallTakenLateInTheDrainIsCut guards against calls that run and are cut when a closing node ends.
func TestCallTakenLateInTheDrainIsCut(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	x := startTestFleet(t, 2, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			<-release
			fmt.Fprint(w, r.Header.Get(demo.IDHeader))
		}
	})
	const late = 20
	n := x.Nodes[0]
	conns := map[string]net.Conn{}
	calls := map[string]*bytes.Buffer{}
	for i := range late {
		id := fmt.Sprint("late", i)
		conn, err := net.Dial("tcp", n.CallsAddress())
		is.NoErr(err)
		defer conn.Close()
		conns[id], calls[id] = conn, &bytes.Buffer{}
		is.NoErr(x.request(n, http.MethodPost, id, nil).Write(calls[id]))
		_, err = conn.Write(calls[id].Next(10))
		is.NoErr(err)
	}
	first := make(chan result)
	go func() { first <- x.call(n, http.MethodPost, "first") }()
	x.await("the first call runs", func() bool { return len(x.runs()) == 1 })
	closed := make(chan struct{})
	go func() { defer close(closed); n.Close() }()
	x.await("others see it leave", func() bool { return x.Nodes[1].ServerCount("tags") == 1 })
	for id, conn := range conns {
		_, _ = calls[id].WriteTo(conn) // the node may have closed the connection
	}
	close(release)
	is.Equal((<-first).body, "first")
	for id, conn := range conns {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if runs := x.runs()[id]; err != nil && runs > 0 {
			t.Errorf("call %s ran %d times and got no response: %v", id, runs, err)
		}
	}
	<-closed
}
