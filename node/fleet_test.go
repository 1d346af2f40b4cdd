package node_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/node"
	"github.com/geraniumdock/geraniumdock/table"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(int) { http.DefaultClient.CloseIdleConnections() }))
}

// testFleet is a fleet of nodes with one backend server of service tags beside
// each.
type testFleet struct {
	*demo.Fleet
	t        *testing.T
	ctx      context.Context
	memory   *object.Memory
	backends []*demo.Backend
}

// newTestFleet returns a fleet without nodes.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	m := object.NewMemory()
	return newTestFleetOn(t, m, m)
}

// newTestFleetOn returns a fleet without nodes that uses the given store. At the end of
// the test the faults of m are removed.
func newTestFleetOn(t *testing.T, store gd.Store, m *object.Memory) *testFleet {
	t.Helper()
	log := hclog.New(&hclog.LoggerOptions{Name: "test", Level: hclog.LevelFromString(cmp.Or(os.Getenv("GD_LOG"), "off"))})
	f, err := demo.NewFleet(store, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	x := &testFleet{Fleet: f, t: t, ctx: ctx, memory: m}
	t.Cleanup(func() {
		m.SetFaults(object.Faults{})
		for _, b := range x.backends {
			b.Close()
		}
		for _, n := range x.Nodes {
			n.Kill()
		}
		cancel()
		http.DefaultClient.CloseIdleConnections()
	})
	return x
}

// startTestFleet starts count nodes in two data centres, each with a server, and
// commits a table that lets caller app call service tags.
func startTestFleet(t *testing.T, count int, prepare func(*demo.Backend), changes ...table.Change) *testFleet {
	t.Helper()
	x := newTestFleet(t)
	x.startNodes(count, prepare, changes...)
	return x
}

// startNodes starts count nodes as startTestFleet does.
func (x *testFleet) startNodes(count int, prepare func(*demo.Backend), changes ...table.Change) {
	x.t.Helper()
	for i := range count {
		x.add(fmt.Sprint("n", i), []string{"dc-a", "dc-b"}[i%2], prepare)
	}
	x.edit("first", append([]table.Change{
		demo.SetService("tags", "/"),
		demo.SetCaller("app", "app-token"),
		demo.Set("app", "tags", "weight", "1"),
	}, changes...)...)
	x.ok(x.AwaitServers(x.ctx, "tags", count))
}

// ok fails the test on an error.
func (x *testFleet) ok(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Fatal(err)
	}
}

// add starts a node with a server.
func (x *testFleet) add(name, dataCentre string, prepare func(*demo.Backend)) {
	x.t.Helper()
	n, err := x.Start(name, dataCentre)
	x.ok(err)
	x.serve(n, prepare)
}

// serve starts a server beside the node.
func (x *testFleet) serve(n *node.Node, prepare func(*demo.Backend)) {
	x.t.Helper()
	b := &demo.Backend{Service: "tags", Slots: 6}
	if prepare != nil {
		prepare(b)
	}
	x.ok(b.Start(n.AnnounceAddress()))
	x.backends = append(x.backends, b)
}

// edit commits changes of the table and waits until they are in force.
func (x *testFleet) edit(id string, changes ...table.Change) uint64 {
	x.t.Helper()
	r, err := x.Edit(x.ctx, id, changes...)
	x.ok(err)
	x.ok(x.AwaitVersion(x.ctx, r.Version))
	return r.Version
}

// await waits until ok returns true, or fails the test.
func (x *testFleet) await(what string, ok func() bool) {
	x.t.Helper()
	x.ok(demo.Await(x.ctx, what, ok))
}

// result is the response, or the error, that a caller got.
type result struct {
	status  int
	outcome string
	kind    string
	body    string
	err     error
}

func (x *testFleet) do(n *node.Node, req *http.Request) result {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return result{res.StatusCode, res.Header.Get("Geraniumdock-Outcome"), res.Header.Get("Geraniumdock-Error"), string(data), err}
}

// request returns a request of caller app to the node.
func (x *testFleet) request(n *node.Node, method, id string, body io.Reader) *http.Request {
	req, err := http.NewRequestWithContext(x.ctx, method, "http://"+n.CallsAddress()+"/"+id, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Proxy-Authorization", "Bearer app-token")
	req.Header.Set(demo.IDHeader, id)
	return req
}

func (x *testFleet) call(n *node.Node, method, id string) result {
	return x.do(n, x.request(n, method, id, nil))
}

// runs returns how often each id ran over all servers.
func (x *testFleet) runs() map[string]int {
	total := map[string]int{}
	for _, b := range x.backends {
		for id, n := range b.Runs() {
			total[id] += n
		}
	}
	return total
}

// relays returns the nodes that are relays.
func (x *testFleet) relays() []*node.Node {
	var relays []*node.Node
	for _, n := range x.Nodes {
		if n.IsRelay(x.ctx) {
			relays = append(relays, n)
		}
	}
	return relays
}
