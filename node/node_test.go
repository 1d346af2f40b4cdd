package node_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/node"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(int) { http.DefaultClient.CloseIdleConnections() }))
}

// testFleet is a fleet with one backend server of service tags beside each node.
type testFleet struct {
	*demo.Fleet
	t        *testing.T
	ctx      context.Context
	memory   *object.Memory
	backends []*demo.Backend
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	m := object.NewMemory()
	log := hclog.New(&hclog.LoggerOptions{Name: "test", Level: hclog.LevelFromString(cmp.Or(os.Getenv("GD_LOG"), "off"))})
	f, err := demo.NewFleet(m, log)
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

// startTestFleet starts count nodes over two data centres, each with a server, and
// a table that lets caller app use service tags.
func startTestFleet(t *testing.T, count int, prepare func(*demo.Backend), changes ...table.Change) *testFleet {
	t.Helper()
	x := newTestFleet(t)
	for i := range count {
		x.add(fmt.Sprint("n", i), []string{"dc-a", "dc-b"}[i%2], prepare)
	}
	x.edit("first", append([]table.Change{
		demo.SetService("tags", "/"),
		demo.SetCaller("app", "app-token"),
		demo.Set("app", "tags", "weight", "1"),
	}, changes...)...)
	x.ok(x.AwaitServers(x.ctx, "tags", count))
	return x
}

func (x *testFleet) ok(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Fatal(err)
	}
}

func (x *testFleet) add(name, dataCentre string, prepare func(*demo.Backend)) {
	x.t.Helper()
	n, err := x.Start(name, dataCentre)
	x.ok(err)
	x.serve(n, prepare)
}

func (x *testFleet) serve(n *node.Node, prepare func(*demo.Backend)) {
	x.t.Helper()
	b := &demo.Backend{Service: "tags", Slots: 6}
	if prepare != nil {
		prepare(b)
	}
	x.ok(b.Start(n.AnnounceAddress()))
	x.backends = append(x.backends, b)
}

func (x *testFleet) edit(id string, changes ...table.Change) uint64 {
	x.t.Helper()
	r, err := x.Edit(x.ctx, id, changes...)
	x.ok(err)
	x.ok(x.AwaitVersion(x.ctx, r.Version))
	return r.Version
}

func (x *testFleet) await(what string, ok func() bool) {
	x.t.Helper()
	x.ok(demo.Await(x.ctx, what, ok))
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	kind    string
	body    string
	err     error
}

func (x *testFleet) do(n *node.Node, req *http.Request) reply {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header.Get("Geraniumdock-Outcome"), res.Header.Get("Geraniumdock-Error"), string(data), err}
}

func (x *testFleet) request(n *node.Node, method, id string, body io.Reader) *http.Request {
	req, err := http.NewRequestWithContext(x.ctx, method, "http://"+n.CallsAddress()+"/"+id, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Proxy-Authorization", "Bearer app-token")
	req.Header.Set(demo.IDHeader, id)
	return req
}

func (x *testFleet) call(n *node.Node, method, id string) reply {
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

func TestEveryCallerGetsItsOwnResponse(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 4, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(demo.IDHeader)
			time.Sleep(time.Duration(len(id)%7) * 5 * time.Millisecond) // answers cross
			fmt.Fprint(w, id)
		}
	})
	var wrong atomic.Int32
	var all sync.WaitGroup
	for w := range 16 {
		all.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("c%d-%0*d", w, i%9+1, i)
				ctx, cancel := context.WithTimeout(x.ctx, time.Minute)
				if i%5 == 0 { // this caller gives up while its call runs
					ctx, cancel = context.WithTimeout(x.ctx, 7*time.Millisecond)
				}
				req := x.request(x.Nodes[(w+i)%4], http.MethodPost, id, strings.NewReader(id)).WithContext(ctx)
				r := x.do(nil, req)
				cancel()
				if r.err == nil && r.status == http.StatusOK && r.body != id || i%5 != 0 && r.status != http.StatusOK {
					wrong.Add(1)
				}
			}
		})
	}
	all.Wait()
	is.Equal(wrong.Load(), int32(0))
	for id, n := range x.runs() {
		if n > 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
	for _, b := range x.backends {
		is.True(b.Most() <= 6) // slots
	}
}

func TestIdentity(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	x := startTestFleet(t, 1, func(b *demo.Backend) {
		b.Handle = func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Clone() }
	})
	n := x.Nodes[0]
	req := x.request(n, http.MethodGet, "a", nil)
	req.Header.Del("Proxy-Authorization")
	req.Header.Set("Geraniumdock-Caller", "app") // a name that it merely states
	r := x.do(n, req)
	is.Equal(r.status, http.StatusProxyAuthRequired)
	is.Equal(r.outcome, "not-run")
	req = x.request(n, http.MethodGet, "a", nil)
	req.Header.Set("Proxy-Authorization", "Bearer wrong")
	is.Equal(x.do(n, req).kind, "unauthenticated")
	req = x.request(n, http.MethodGet, "a", nil)
	req.Header.Set("Geraniumdock-Caller", "scanner")
	req.Header.Set("Geraniumdock-Service", "other")
	is.Equal(x.do(n, req).status, http.StatusOK)
	is.Equal(x.call(n, http.MethodGet, "a").outcome, "answer")
	is.Equal(seen.Get("Geraniumdock-Caller"), "app")
	is.Equal(seen.Get("Geraniumdock-Service"), "")
	is.Equal(seen.Get("Proxy-Authorization"), "")
	// A stranger cannot reach the address for nodes, where names are trusted.
	_, err := http.Get("https://" + n.PeersAddress() + "/")
	is.True(err != nil)
}

func TestDeadlineAndCancellationReachTheServer(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{}, 10)
	x := startTestFleet(t, 2, func(b *demo.Backend) {
		b.Handle = func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- struct{}{}
		}
	})
	for i, n := range x.Nodes {
		req := x.request(n, http.MethodPost, fmt.Sprint("timeout", i), nil)
		req.Header.Set("Geraniumdock-Timeout-Ms", "100")
		r := x.do(n, req)
		is.Equal(r.status, http.StatusGatewayTimeout)
		is.Equal(r.outcome, "unknown")
		<-ended
		ctx, cancel := context.WithTimeout(x.ctx, 100*time.Millisecond)
		is.True(x.do(n, x.request(n, http.MethodPost, fmt.Sprint("cancel", i), nil).WithContext(ctx)).err != nil)
		cancel()
		<-ended
	}
}

func TestServerCrash(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	x := startTestFleet(t, 3, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Hold") != "" {
				select {
				case <-hold:
				case <-r.Context().Done():
				}
			}
			fmt.Fprint(w, r.Header.Get(demo.IDHeader))
		}
	})
	defer close(hold)
	results := make(chan reply, 2)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		go func() {
			req := x.request(x.Nodes[0], method, method, nil)
			req.Header.Set("Hold", "1")
			results <- x.do(nil, req)
		}()
	}
	x.await("both calls run", func() bool { return len(x.runs()) == 2 })
	held := x.runs()
	is.Equal(held, map[string]int{"GET": 1, "POST": 1})
	for _, b := range x.backends { // whichever server runs them dies
		b.Crash()
	}
	// With no server left, neither hangs: the POST is unknown, since it may
	// have run, and it never runs again.
	for range 2 {
		r := <-results
		is.NoErr(r.err)
		is.True(r.outcome == "unknown" || r.outcome == "not-run")
		if r.kind == "unknown" {
			is.Equal(r.status, http.StatusBadGateway)
		}
	}
	is.Equal(x.runs()["POST"], 1)
}

// TestServerCrashRetriesIdempotentCall kills the one server that a GET and
// a POST run on while another lives.
func TestServerCrashRetriesIdempotentCall(t *testing.T) {
	is := is.New(t)
	first := make(chan *demo.Backend, 1)
	x := startTestFleet(t, 2, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			select {
			case first <- b: // the first call of all hangs
				<-r.Context().Done()
			default:
				fmt.Fprint(w, r.Header.Get(demo.IDHeader))
			}
		}
	})
	answer := make(chan reply, 1)
	go func() { answer <- x.call(x.Nodes[0], http.MethodGet, "lookup") }()
	x.await("the call runs", func() bool { return len(first) == 1 })
	(<-first).Crash()
	first <- nil // nothing hangs any more
	r := <-answer
	is.NoErr(r.err)
	is.Equal(r.body, "lookup")
	is.Equal(x.runs()["lookup"], 2)
}

func TestTruncatedResponseFails(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 2, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Repeat("part ", 1000))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	for i := range 4 {
		r := x.call(x.Nodes[i%2], http.MethodGet, fmt.Sprint("big", i))
		is.True(r.err != nil) // a broken transfer
	}
}

func TestDrainFinishesUploadsAndRefusesNewCalls(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 3, nil)
	body, feed := io.Pipe()
	done := make(chan reply, 1)
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
	is.Equal(len(x.backends[busy].Runs()), before) // nothing new there
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
	x.await("others see it leave", func() bool { return x.Nodes[1].Serving("tags") == 2 })
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

// TestClosingNodesAnnounceDeparture closes a relay and an ordinary node without calls
// in flight. The others must learn that they left, and not find out by silence.
func TestClosingNodesAnnounceDeparture(t *testing.T) {
	x := startTestFleet(t, 4, nil)
	x.await("both seats of a data centre are taken", func() bool { return len(x.relays()) >= 3 })
	for _, i := range []int{3, 0} {
		x.Nodes[i].Close()
		name := x.Nodes[i].Name()
		x.await(name+" has left", func() bool {
			records, err := x.Nodes[1].Servers(x.ctx)
			x.ok(err)
			for _, r := range records {
				if r.Node == name && r.State == server.Lost {
					t.Fatalf("%s was lost", name)
				}
				if r.Node == name && r.State == server.Gone {
					return true
				}
			}
			return false
		})
	}
}

func TestRepeatedKeyGetsFirstResponse(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	x := startTestFleet(t, 3, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(w, "engraving ", runs.Add(1))
		}
	}, demo.Set("app", "tags", "deduplication", "platform"))
	keyed := func(n *node.Node, key string) reply {
		req := x.request(n, http.MethodPost, key, strings.NewReader("order"))
		req.Header.Set("Idempotency-Key", key)
		return x.do(n, req)
	}
	// All at once, at every node.
	var all sync.WaitGroup
	var bad atomic.Int32
	for i := range 12 {
		all.Go(func() {
			if r := keyed(x.Nodes[i%3], "die-1"); r.body != "engraving 1" {
				bad.Add(1)
			}
		})
	}
	all.Wait()
	is.Equal(bad.Load(), int32(0))
	is.Equal(runs.Load(), int32(1))
	// Answers of the claim's write are lost.
	x.memory.SetFaults(object.Faults{LoseAnswers: 2})
	is.Equal(keyed(x.Nodes[0], "die-2").body, "engraving 2")
	is.Equal(keyed(x.Nodes[1], "die-2").body, "engraving 2")
	// Without the platform the call is refused and does not run; repeated
	// afterwards, it runs.
	x.memory.SetFaults(object.Faults{Outage: true})
	r := keyed(x.Nodes[0], "die-3")
	is.Equal(r.kind, "claims-down")
	is.Equal(r.outcome, "not-run")
	is.Equal(runs.Load(), int32(2))
	is.Equal(x.call(x.Nodes[0], http.MethodPost, "no-key").status, http.StatusOK) // others go on
	x.memory.SetFaults(object.Faults{})
	is.Equal(keyed(x.Nodes[2], "die-3").body, "engraving 4")
	is.Equal(runs.Load(), int32(4))
}

// TestRepeatAfterIngressCrashGetsFirstResponse also takes the platform away
// after the claim was made: the repeat still finds the first answer.
func TestRepeatAfterIngressCrashGetsFirstResponse(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	release := make(chan struct{})
	x := startTestFleet(t, 4, func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			<-release
			fmt.Fprint(w, "engraved")
		}
	}, demo.Set("app", "tags", "deduplication", "platform"))
	keyed := func(n *node.Node) reply {
		req := x.request(n, http.MethodPost, "die", strings.NewReader("order"))
		req.Header.Set("Idempotency-Key", "die")
		return x.do(n, req)
	}
	owner := -1
	lost := make(chan reply, 4)
	// The key's owner runs the call: enter at another node, so that it can die.
	go func() { lost <- keyed(x.Nodes[0]) }()
	x.await("the call runs", func() bool { return runs.Load() == 1 })
	for i, b := range x.backends {
		if b.Runs()["die"] == 1 {
			owner = i
		}
	}
	if owner == 0 {
		t.Fatal("the key's owner is the ingress; choose another key")
	}
	x.memory.SetFaults(object.Faults{Outage: true})
	x.Nodes[0].Kill()
	<-lost
	repeat := make(chan reply, 1)
	go func() { repeat <- keyed(x.Nodes[owner%3+1]) }()
	close(release)
	r := <-repeat
	is.Equal(r.body, "engraved")
	is.Equal(runs.Load(), int32(1))
}

func TestPoisonRequestIsRefusedFleetWide(t *testing.T) {
	is := is.New(t)
	x := newTestFleet(t)
	prepare := func(b *demo.Backend) {
		b.Handle = func(w http.ResponseWriter, r *http.Request) {
			if data, _ := io.ReadAll(r.Body); string(data) == "poison" {
				b.Crash()
				return
			}
			fmt.Fprint(w, r.Header.Get(demo.IDHeader))
		}
	}
	for i := range 4 {
		x.add(fmt.Sprint("n", i), "dc-a", prepare)
	}
	x.edit("first", demo.SetService("tags", "/"), demo.SetCaller("app", "app-token"), demo.SetCaller("scanner", "scanner-token"),
		demo.Set("app", "tags", "weight", "1"), demo.Set("scanner", "tags", "weight", "1"))
	x.ok(x.AwaitServers(x.ctx, "tags", 4))
	poison := func(n *node.Node) reply {
		return x.do(n, x.request(n, http.MethodPost, "poison", strings.NewReader("poison")))
	}
	crashed := 0
	var last reply
	x.await("the request is refused", func() bool {
		last = poison(x.Nodes[crashed%4])
		if last.kind == "unknown" {
			crashed++
			time.Sleep(300 * time.Millisecond) // the caller waits a little before it sends it again
		}
		return last.kind == "quarantined"
	})
	is.Equal(crashed, 2)
	is.Equal(last.status, http.StatusUnprocessableEntity)
	is.Equal(last.outcome, "not-run")
	x.await("every node refuses it", func() bool {
		for _, n := range x.Nodes {
			if poison(n).kind != "quarantined" {
				return false
			}
		}
		return true
	})
	for i, n := range x.Nodes { // an innocent caller's calls go on
		res, body, err := demo.Call(x.ctx, n.CallsAddress(), http.MethodPost, "/poison", "scanner-token", fmt.Sprint("ok", i), []byte("fine"))
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(string(body), fmt.Sprint("ok", i))
	}
}

func TestConcurrencyLimitHoldsOverTheFleet(t *testing.T) {
	is := is.New(t)
	var now, most atomic.Int32
	x := startTestFleet(t, 3, func(b *demo.Backend) {
		b.Handle = func(_ http.ResponseWriter, _ *http.Request) {
			n := now.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			time.Sleep(20 * time.Millisecond)
			now.Add(-1)
		}
	}, demo.Set("app", "tags", "concurrency-limit", "4"))
	x.await("shares are handed out", func() bool { return x.call(x.Nodes[0], http.MethodPost, "first").status == http.StatusOK })
	var all sync.WaitGroup
	var answered, refused, other atomic.Int32
	for w := range 12 {
		all.Go(func() {
			for i := range 25 {
				switch r := x.call(x.Nodes[w%3], http.MethodPost, fmt.Sprint(w, "-", i)); r.kind {
				case "":
					answered.Add(1)
				case "rate-limited":
					refused.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	all.Wait()
	is.True(most.Load() <= 4)
	is.True(answered.Load() > 0)
	is.True(refused.Load() > 0)
	is.Equal(other.Load(), int32(0))
}

// TestMassRestartDuringPlatformOutage restarts all nodes but the relays
// during an outage. They may serve only what the fleet had accepted.
func TestMassRestartDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	x := newTestFleet(t)
	var relays []*node.Node
	for i := range 2 {
		n, err := x.Start(fmt.Sprint("relay", i), "dc-a")
		x.ok(err)
		relays = append(relays, n)
	}
	x.await("both seats are taken", func() bool { return relays[0].IsRelay(x.ctx) && relays[1].IsRelay(x.ctx) })
	for i := range 4 {
		x.add(fmt.Sprint("n", i), "dc-a", nil)
	}
	version := x.edit("first", demo.SetService("tags", "/"), demo.SetCaller("app", "app-token"), demo.Set("app", "tags", "weight", "1"))
	x.memory.SetFaults(object.Faults{Outage: true})
	for _, n := range x.Nodes[2:] {
		n.Kill()
	}
	x.Nodes = x.Nodes[:2]
	for i := range 4 {
		cfg, err := x.Config(fmt.Sprint("n", i), "dc-a")
		x.ok(err)
		cfg.Seeds = []string{relays[0].PeersAddress(), relays[1].PeersAddress()}
		n, err := x.StartWith(cfg)
		x.ok(err)
		is.True(n.Version() == 0) // it does not know yet
		x.serve(n, nil)
	}
	x.ok(x.AwaitVersion(x.ctx, version))
	x.ok(x.AwaitServers(x.ctx, "tags", 4))
	is.Equal(x.call(x.Nodes[5], http.MethodPost, "during").status, http.StatusOK)
	_, err := x.Edit(x.ctx, "refused", demo.Set("app", "tags", "weight", "2"))
	is.True(gd.Unavailable.Is(err))
	x.memory.SetFaults(object.Faults{})
	x.edit("after", demo.Set("app", "tags", "weight", "3"))
}

func TestNodeWithoutPlatformAndRelaysRefusesCalls(t *testing.T) {
	is := is.New(t)
	x := newTestFleet(t)
	x.memory.SetFaults(object.Faults{Outage: true})
	x.add("alone", "dc-a", nil)
	r := x.call(x.Nodes[0], http.MethodPost, "x")
	is.Equal(r.kind, "not-ready")
	is.Equal(r.outcome, "not-run")
}

// TestRelayCrashWhileServerDrains kills both relays of a data centre at the
// moment when a server there begins to drain.
func TestRelayCrashWhileServerDrains(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 6, nil)
	x.await("three relays at least", func() bool { return len(x.relays()) >= 3 })
	relays := x.relays()
	draining := -1
	for i, n := range x.Nodes {
		if !n.IsRelay(x.ctx) {
			draining = i
		}
	}
	x.backends[draining].Drain(x.Nodes[draining].AnnounceAddress())
	victims := map[*node.Node]bool{relays[0]: true, relays[1]: true}
	for n := range victims {
		n.Kill()
	}
	var rest []*node.Node
	for _, n := range x.Nodes {
		if !victims[n] {
			rest = append(rest, n)
		}
	}
	x.Nodes = rest
	x.ok(x.AwaitServers(x.ctx, "tags", 3)) // 6 without the drained and the dead
	x.edit("after", demo.Set("app", "tags", "weight", "5"))
	for i, n := range rest {
		is.Equal(x.call(n, http.MethodPost, fmt.Sprint("x", i)).status, http.StatusOK)
	}
	for n := range victims {
		n.Kill()
	}
}

func (x *testFleet) relays() []*node.Node {
	var relays []*node.Node
	for _, n := range x.Nodes {
		if n.IsRelay(x.ctx) {
			relays = append(relays, n)
		}
	}
	return relays
}

// forwarder passes TCP connections on until it goes silent: then nothing
// passes on the connections that are open, while both ends stay open and new
// connections work.
type forwarder struct {
	listener net.Listener
	to       string
	silent   atomic.Int64 // connections up to this number are silent
	count    atomic.Int64
	done     sync.WaitGroup
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newForwarder(t *testing.T, to string) *forwarder {
	l := listen(t)
	f := &forwarder{listener: l, to: to}
	f.done.Go(f.accept)
	t.Cleanup(func() { l.Close(); f.done.Wait() })
	return f
}

func (f *forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.to)
		if err != nil {
			in.Close()
			continue
		}
		number := f.count.Add(1)
		f.done.Go(func() { f.pass(number, in, out) })
		f.done.Go(func() { f.pass(number, out, in) })
	}
}

func (f *forwarder) pass(number int64, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	r := bufio.NewReader(from)
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		if number <= f.silent.Load() {
			continue // read and dropped
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	x := newTestFleet(t)
	for i := range 2 {
		_, err := x.Start(fmt.Sprint("relay", i), "dc-a")
		x.ok(err)
	}
	x.await("both seats are taken", func() bool { return len(x.relays()) == 2 })
	cfg, err := x.Config("behind", "dc-a")
	x.ok(err)
	l := listen(t)
	cfg.PeersAddress = l.Addr().String()
	l.Close()
	f := newForwarder(t, cfg.PeersAddress)
	cfg.Advertise = f.listener.Addr().String()
	n, err := x.StartWith(cfg)
	x.ok(err)
	x.serve(n, nil)
	x.edit("first", demo.SetService("tags", "/"), demo.SetCaller("app", "app-token"), demo.Set("app", "tags", "timeout", "20s"))
	x.ok(x.AwaitServers(x.ctx, "tags", 1))
	ingress := x.Nodes[0]
	is.Equal(x.call(ingress, http.MethodPost, "before").status, http.StatusOK)
	f.silent.Store(f.count.Load())
	// The POST may have run, so it is unknown, and that is known by the probe
	// on the connection, long before the deadline of 20 s.
	post := x.call(ingress, http.MethodPost, "post")
	is.Equal(post.kind, "unknown")
	is.Equal(x.call(ingress, http.MethodPost, "after").status, http.StatusOK)
	is.Equal(x.runs()["post"], 0)
}
