package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/node"
)

// callPath is an ingress node without a server and nodes with one, so that every
// call passes through two nodes.
type callPath struct {
	ingress  *node.Node
	backends []*demo.Backend
	nodes    []*node.Node
	client   *http.Client
}

func newCallPath(b *testing.B, servers, slots int) *callPath {
	b.Helper()
	f, err := demo.NewFleet(object.NewMemory(), hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard}))
	if err != nil {
		b.Fatal(err)
	}
	ctx := context.Background()
	p := &callPath{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	if p.ingress, err = f.Start("ingress", "dc"); err != nil {
		b.Fatal(err)
	}
	for i := range servers {
		n, err := f.Start(fmt.Sprint("n", i), "dc")
		if err != nil {
			b.Fatal(err)
		}
		backend := &demo.Backend{Service: "tags", Slots: slots, Handle: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "tag") }}
		if err := backend.Start(n.AnnounceAddress()); err != nil {
			b.Fatal(err)
		}
		p.nodes = append(p.nodes, n)
		p.backends = append(p.backends, backend)
	}
	r, err := f.Edit(ctx, "first", demo.SetService("tags", "/"), demo.SetCaller("app", "app-token"), demo.Set("app", "tags", "weight", "1"), demo.Set("app", "tags", "queue-limit", "1000"))
	if err == nil {
		err = f.AwaitVersion(ctx, r.Version)
	}
	if err == nil {
		err = f.AwaitServers(ctx, "tags", servers)
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		for _, backend := range p.backends {
			backend.Close()
		}
		for _, n := range f.Nodes {
			n.Kill()
		}
		p.client.CloseIdleConnections()
	})
	return p
}

// get sends a GET to address and returns the time until the whole response has
// been read.
func (p *callPath) get(b *testing.B, address string) time.Duration {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/tag/1", nil)
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Proxy-Authorization", "Bearer app-token")
	began := monotonic()
	res, err := p.client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Error(res.Status, err)
	}
	return monotonic() - began
}

// sendPaced sends calls at a steady rate, alternately directly to a server and
// through the nodes, so that both kinds run under the same machine load.
func (p *callPath) sendPaced(b *testing.B, rate int, length time.Duration) (direct, through []time.Duration) {
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(2*rate))
	defer tick.Stop()
	for i := range 2 * rate * int(length/time.Second) {
		<-tick.C
		all.Go(func() {
			address, times := p.ingress.CallsAddress(), &through
			if i%2 == 0 {
				address, times = p.backends[0].Address(), &direct
			}
			took := p.get(b, address)
			mu.Lock()
			*times = append(*times, took)
			mu.Unlock()
		})
	}
	all.Wait()
	slices.Sort(direct)
	slices.Sort(through)
	return direct, through
}

// percentile returns a percentile of sorted times in microseconds.
func percentile(times []time.Duration, percent int) float64 {
	return float64(times[len(times)*percent/100].Nanoseconds()) / 1000
}

// BenchmarkCallAdded measures the latency that two nodes add to a call. The limit
// is 350 µs at p99.
func BenchmarkCallAdded(b *testing.B) {
	for _, rate := range []int{50, 100, 200, 300, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			p := newCallPath(b, 1, 64)
			p.sendPaced(b, rate, 2*time.Second)
			b.ResetTimer()
			for range b.N {
				direct, through := p.sendPaced(b, rate, 10*time.Second)
				b.ReportMetric(percentile(direct, 99), "direct-p99-us")
				b.ReportMetric(percentile(through, 50)-percentile(direct, 50), "added-p50-us")
				b.ReportMetric(percentile(through, 99)-percentile(direct, 99), "added-p99-us")
			}
		})
	}
}

// BenchmarkEcho measures the round trip of one byte over a loopback connection
// between two goroutines, which takes two wake-ups. No hop of a call can be
// faster.
func BenchmarkEcho(b *testing.B) {
	for _, rate := range []int{50, 300} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				if c, err := l.Accept(); err == nil {
					io.Copy(c, c)
					c.Close()
				}
			}()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			var times []time.Duration
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			buf := make([]byte, 1)
			for range 5 * rate * b.N {
				<-tick.C
				began := monotonic()
				if _, err := c.Write(buf); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(c, buf); err != nil {
					b.Fatal(err)
				}
				times = append(times, monotonic()-began)
			}
			slices.Sort(times)
			b.ReportMetric(percentile(times, 50), "echo-p50-us")
			b.ReportMetric(percentile(times, 99), "echo-p99-us")
		})
	}
}

// BenchmarkNodeRate measures the maximum call rate of one ingress.
func BenchmarkNodeRate(b *testing.B) {
	p := newCallPath(b, 3, 64)
	const callers = 32
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	began := monotonic()
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for left.Add(-1) >= 0 {
				p.get(b, p.ingress.CallsAddress())
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(b.N)/(monotonic()-began).Seconds(), "calls/s")
}

// BenchmarkDrain measures the time from a server's announcement that it drains to
// the last new call that reaches it, at 300 calls/s.
func BenchmarkDrain(b *testing.B) {
	worst := time.Duration(0)
	for range b.N {
		p := newCallPath(b, 4, 6)
		stop := make(chan struct{})
		var all sync.WaitGroup
		all.Go(func() {
			tick := time.NewTicker(time.Second / 300)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-tick.C:
					n := append(p.nodes, p.ingress)[i%5]
					all.Go(func() { p.get(b, n.CallsAddress()) })
				case <-stop:
					return
				}
			}
		})
		time.Sleep(time.Second)
		p.backends[0].Drain(p.nodes[0].AnnounceAddress())
		drainedAt := clock.System{}.Now()
		time.Sleep(3 * time.Second)
		close(stop)
		all.Wait()
		worst = max(worst, p.backends[0].LastRequest().Sub(drainedAt))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "last-new-call-ms")
}
