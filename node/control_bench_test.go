package node_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/table"
)

// idlePeriod is how long an idle fleet is measured.
const idlePeriod = 10 * time.Second

// benchFleet is a fleet of nodes without calls, each with an announced server,
// and a table of 44 services with 20 callers each.
type benchFleet struct {
	*demo.Fleet
	b      *testing.B
	ctx    context.Context
	memory *object.Memory
	edits  int

	dataCentres int
}

const (
	benchServices = 44
	benchCallers  = 20
)

func newBenchFleet(b *testing.B, nodes, dataCentres int, gather time.Duration) *benchFleet {
	b.Helper()
	m := object.NewMemory()
	f, err := demo.NewFleet(m, hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	f.GatherDelay = gather
	x := &benchFleet{Fleet: f, b: b, ctx: context.Background(), memory: m, dataCentres: dataCentres}
	var changes []table.Change
	for c := range benchCallers {
		changes = append(changes, demo.SetCaller(fmt.Sprint("c", c), fmt.Sprint("token", c)))
	}
	for s := range benchServices {
		name := fmt.Sprint("s", s)
		changes = append(changes, demo.SetService(name, "/"+name))
		for c := range benchCallers {
			changes = append(changes, demo.Set(fmt.Sprint("c", c), name, "weight", "2"), demo.Set(fmt.Sprint("c", c), name, "rate-limit", "0"))
		}
	}
	if _, err := f.Edit(x.ctx, "first", changes...); err != nil {
		b.Fatal(err)
	}
	for i := range nodes {
		n, err := f.Start(fmt.Sprintf("n%03d", i), fmt.Sprint("dc", i%dataCentres))
		if err != nil {
			b.Fatal(err)
		}
		backend := &demo.Backend{Service: fmt.Sprint("s", i%benchServices), Slots: 6}
		if err := backend.Start(n.AnnounceAddress()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { backend.Close() })
	}
	b.Cleanup(func() {
		var all sync.WaitGroup
		for _, n := range f.Nodes {
			all.Go(n.Kill)
		}
		all.Wait()
	})
	x.settle()
	return x
}

// settle waits until the fleet is idle: every node has the table and knows every
// server, and all relay seats are taken.
func (x *benchFleet) settle() {
	x.b.Helper()
	x.must(demo.Await(x.ctx, "table", func() bool { return x.inForce(1) }))
	for s := range min(benchServices, len(x.Nodes)) {
		count := (len(x.Nodes) - s + benchServices - 1) / benchServices
		x.must(x.AwaitServers(x.ctx, fmt.Sprint("s", s), count))
	}
	x.must(demo.Await(x.ctx, "seats", func() bool { return x.relayCount() >= 2*x.dataCentres }))
	time.Sleep(settleTime)
}

// settleTime is the time in which nodes spread over the relays.
const settleTime = 45 * time.Second

// relayCount returns how many nodes are relays.
func (x *benchFleet) relayCount() int {
	count := 0
	for _, n := range x.Nodes {
		if n.IsRelay(x.ctx) {
			count++
		}
	}
	return count
}

func (x *benchFleet) must(err error) {
	x.b.Helper()
	if err != nil {
		x.b.Fatal(err)
	}
}

// inForce reports whether all nodes enforce version v or a later one.
func (x *benchFleet) inForce(v uint64) bool {
	for _, n := range x.Nodes {
		if n.TableVersion() < v {
			return false
		}
	}
	return true
}

// acknowledged reports whether all nodes have acknowledged version v or a later one
// to their relays.
func (x *benchFleet) acknowledged(v uint64) bool {
	status, err := x.Nodes[0].Status(x.ctx)
	if err != nil || len(status.Nodes) < len(x.Nodes) {
		return false
	}
	for _, p := range status.Nodes {
		if p.Version < v {
			return false
		}
	}
	return true
}

// change edits one cell and returns the time from the commit until all nodes have
// acknowledged it.
func (x *benchFleet) change() time.Duration {
	x.b.Helper()
	x.edits++
	r, err := x.Edit(x.ctx, fmt.Sprint("e", x.edits), demo.Set("c1", fmt.Sprint("s", x.edits%benchServices), "weight", fmt.Sprint(x.edits%9+3)))
	x.must(err)
	began := monotonic()
	for !x.acknowledged(r.Version) {
		if monotonic()-began > time.Minute {
			x.b.Fatal("not acknowledged within a minute")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return monotonic() - began
}

// traffic returns the bytes of control traffic of all nodes.
func (x *benchFleet) traffic() float64 {
	var sum uint64
	for _, n := range x.Nodes {
		t := n.ControlTraffic()
		sum += t.Sent + t.Received
	}
	return float64(sum)
}

// processorTime returns the CPU time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkConvergence measures the time until all nodes have acknowledged a
// change of the table.
func BenchmarkConvergence(b *testing.B) {
	for _, nodes := range []int{8, 32, 128} {
		for _, gather := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
			b.Run(fmt.Sprintf("nodes=%d/gather=%s", nodes, gather), func(b *testing.B) {
				x := newBenchFleet(b, nodes, 2, gather)
				var sum, worst time.Duration
				b.ResetTimer()
				for range b.N {
					took := x.change()
					sum += took
					worst = max(worst, took)
				}
				b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "converge-ms")
				b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			})
		}
	}
}

// BenchmarkControlBytes measures the control traffic of a node, including IP
// headers: the bytes per change, with single changes and ten in a row, and the
// bytes per second when idle.
func BenchmarkControlBytes(b *testing.B) {
	for _, nodes := range []int{8, 32, 128} {
		for _, gather := range []time.Duration{10 * time.Millisecond, 2 * time.Second} {
			b.Run(fmt.Sprintf("nodes=%d/gather=%s", nodes, gather), func(b *testing.B) {
				x := newBenchFleet(b, nodes, 2, gather)
				began := x.traffic()
				time.Sleep(idlePeriod)
				idleRate := (x.traffic() - began) / idlePeriod.Seconds()
				busiest := x.busiest()
				b.ResetTimer()
				start, at := x.traffic(), monotonic()
				for range b.N {
					for range 10 {
						x.edits++
						_, err := x.Edit(x.ctx, fmt.Sprint("e", x.edits), demo.Set("c1", "s1", "weight", fmt.Sprint(x.edits%9+3)))
						x.must(err)
						time.Sleep(50 * time.Millisecond)
					}
					x.change()
				}
				spent := x.traffic() - start - idleRate*(monotonic()-at).Seconds()
				b.ReportMetric(spent/float64(b.N*11*nodes), "bytes/node-change")
				b.ReportMetric(idleRate/float64(nodes), "idle-bytes/node-s")
				b.ReportMetric(busiest, "busiest-idle-bytes/s")
			})
		}
	}
}

// busiest returns the idle traffic, in bytes per second, of the node with the most
// traffic, which is a relay.
func (x *benchFleet) busiest() float64 {
	before := make([]uint64, len(x.Nodes))
	for i, n := range x.Nodes {
		t := n.ControlTraffic()
		before[i] = t.Sent + t.Received
	}
	time.Sleep(idlePeriod)
	most := 0.0
	for i, n := range x.Nodes {
		t := n.ControlTraffic()
		most = max(most, float64(t.Sent+t.Received-before[i])/idlePeriod.Seconds())
	}
	return most
}

// calls returns the number of calls to the platform so far.
func (x *benchFleet) calls() float64 {
	c := x.memory.Counts()
	return float64(c.Reads + c.Writes + c.Watches)
}

// BenchmarkPlatformCalls measures the rate of calls to the platform over an idle
// period with one change, and compares it with a fleet in which every node
// watches the platform itself.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, size := range []struct{ nodes, dataCentres int }{{8, 2}, {32, 2}, {128, 2}, {32, 4}, {32, 7}} {
		b.Run(fmt.Sprintf("nodes=%d/dcs=%d", size.nodes, size.dataCentres), func(b *testing.B) {
			x := newBenchFleet(b, size.nodes, size.dataCentres, 10*time.Millisecond)
			reportCalls(b, x.calls, func() { x.change() })
		})
	}
	for _, nodes := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("direct/nodes=%d", nodes), func(b *testing.B) { benchmarkDirect(b, nodes) })
	}
}

// reportCalls reports the rate of platform calls over b.N changes, each followed
// by an idle period.
func reportCalls(b *testing.B, calls func() float64, change func()) {
	began, at := calls(), monotonic()
	b.ResetTimer()
	for range b.N {
		change()
		time.Sleep(idlePeriod)
	}
	b.ReportMetric((calls()-began)/(monotonic()-at).Seconds(), "calls/s")
}

// benchmarkDirect measures the baseline: each node watches and reads the platform
// itself, with the intervals that relays use.
func benchmarkDirect(b *testing.B, nodes int) {
	ctx, cancel := context.WithCancel(context.Background())
	m := object.NewMemory()
	f, err := demo.NewFleet(m, hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := f.Edit(ctx, "first", demo.SetService("s", "/")); err != nil {
		b.Fatal(err)
	}
	var all sync.WaitGroup
	for range nodes {
		all.Go(func() { watchDirectly(ctx, m) })
	}
	defer all.Wait()
	defer cancel()
	edits := 0
	reportCalls(b, func() float64 {
		c := m.Counts()
		return float64(c.Reads + c.Writes + c.Watches)
	}, func() {
		edits++
		if _, err := f.Edit(ctx, fmt.Sprint("e", edits), demo.SetService("s", fmt.Sprint("/", edits))); err != nil {
			b.Fatal(err)
		}
	})
}

// watchDirectly reads and watches the table head like a relay.
func watchDirectly(ctx context.Context, store gd.Store) {
	var revision gd.Revision
	var have table.Chunks
	for ctx.Err() == nil {
		o, err := store.Get(ctx, table.HeadKey)
		if err == nil && o.Revision != revision {
			if head, err := table.DecodeHead(o.Value); err == nil {
				have, _ = table.Fetch(ctx, store, head, have)
			}
			revision = o.Revision
		}
		store.Watch(ctx, table.HeadKey, revision, 5*time.Second)
	}
}

// BenchmarkControlCost measures the CPU time and the heap of an idle node with an
// announced server.
func BenchmarkControlCost(b *testing.B) {
	for _, nodes := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			newBenchFleet(b, nodes, 2, 200*time.Millisecond)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			used, at := processorTime(), monotonic()
			for range b.N {
				time.Sleep(idlePeriod)
			}
			share := (processorTime() - used).Seconds() / (monotonic() - at).Seconds()
			b.ReportMetric(100*share/float64(nodes), "cpu-percent/node")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(nodes), "heap-bytes/node")
		})
	}
}

func monotonic() time.Duration { return clock.System{}.Monotonic() }
