package ingress

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
)

// racers is a Peers whose n-th attempt has the n-th of its results. The first result comes after
// its delay from the start of the second attempt, if one is expected. An attempt whose context
// ends before its result fails as if the server had been reached.
type racers struct {
	hasSecond chan struct{} // closed when the second attempt begins; nil if none is expected

	mu        sync.Mutex
	results   []racer
	asked     []string
	bodies    []string
	mayWait   int
	cancelled int
}

type racer struct {
	after  time.Duration
	result request.Result
}

func (p *racers) Do(ctx context.Context, address string, r request.Request) request.Result {
	p.mu.Lock()
	p.asked = append(p.asked, address)
	x := p.results[min(len(p.asked), len(p.results))-1]
	n := len(p.asked)
	if r.MayWait {
		p.mayWait++
	}
	p.mu.Unlock()
	if n == 1 && p.hasSecond != nil {
		<-p.hasSecond
	}
	if n == 2 && p.hasSecond != nil {
		close(p.hasSecond)
	}
	if r.Body != nil {
		data, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		p.bodies = append(p.bodies, string(data))
		p.mu.Unlock()
	}
	select {
	case <-time.After(x.after):
		return x.result
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelled++
		return request.Failed(gd.TimedOut.Wrapf(ctx.Err(), "node"), true)
	}
}

// newHedgingIngress returns the ingress of newIngress with hedging and enough evidence for
// second attempts after 20 ms. A quarter of the slots are free unless isLoaded is set.
func newHedgingIngress(t *testing.T, p Peers, maxShare float64, isLoaded bool) *Ingress {
	g := newIngress(t, &peers{})
	g.cfg.Peers = p
	g.hedges = hedge.New(hedge.Limits{MaxShare: maxShare})
	now := g.cfg.Clock.Monotonic()
	for range 100 {
		g.hedges.AddRequest(now)
		g.budget.AddRequest(now, "shop")
		g.hedges.AddTime(now, "reads", time.Millisecond)
	}
	load := placement.Load{Running: 6, Slots: 8, Mean: time.Millisecond}
	if isLoaded {
		load.Running = 7
	}
	for _, node := range []string{"a", "b", "c"} {
		g.estimates.Reported(now, node, load)
	}
	return g
}

// TestHedgedOutcomes covers the ways in which two attempts can end. A wrong choice between
// them loses a response, or tells a client that a request has not run that may have run.
func TestHedgedOutcomes(t *testing.T) {
	goroutines := runtime.NumGoroutine()
	const soon, late, never = 0, 100 * time.Millisecond, time.Hour
	for name, c := range map[string]struct {
		path      string
		results   []racer
		status    int
		asked     int
		cancelled int
		hedge     string
	}{
		"fast response":                     {"/reads/1", []racer{{0, ok()}}, 200, 1, 0, ""},
		"second wins":                       {"/reads/1", []racer{{never, ok()}, {0, ok()}}, 200, 2, 1, HedgeWon},
		"first wins":                        {"/reads/1", []racer{{soon, ok()}, {never, ok()}}, 200, 2, 1, HedgeLost},
		"second fails, first responds":      {"/reads/1", []racer{{late, ok()}, {0, responded(500)}}, 200, 2, 0, HedgeLost},
		"second is refused":                 {"/reads/1", []racer{{late, ok()}, {0, failed(gd.QueueFull, false)}}, 200, 2, 0, HedgeLost},
		"first fails, second responds":      {"/reads/1", []racer{{soon, failed(gd.Unknown, true)}, {late, ok()}}, 200, 2, 0, HedgeWon},
		"first is shed, second responds":    {"/reads/1", []racer{{soon, shed()}, {late, ok()}}, 200, 2, 0, HedgeWon},
		"first is refused, second responds": {"/reads/1", []racer{{soon, failed(gd.Draining, false)}, {late, ok()}}, 200, 2, 0, HedgeWon},
		"first may have run, second shed":   {"/reads/1", []racer{{late, failed(gd.Unknown, true)}, {0, shed()}}, 502, 2, 0, HedgeLost},
		"first may have run, second busy":   {"/reads/1", []racer{{late, failed(gd.Unknown, true)}, {0, responded(429)}}, 502, 2, 0, HedgeLost},
		"both fail":                         {"/reads/1", []racer{{soon, responded(500)}, {late, responded(502)}}, 500, 2, 0, HedgeLost},
		"both are shed":                     {"/reads/1", []racer{{soon, shed()}, {late, shed()}}, 503, 2, 0, HedgeLost},
		"neither is reached, third runs":    {"/reads/1", []racer{{soon, failed(gd.Draining, false)}, {late, failed(gd.Draining, false)}, {0, ok()}}, 200, 3, 0, HedgeLost},
		"request that runs once":            {"/orders/1", []racer{{soon, ok()}}, 200, 1, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &racers{results: c.results}
			if c.asked > 1 {
				p.hasSecond = make(chan struct{})
			}
			g := newHedgingIngress(t, p, 1, false)
			var o Outcome
			g.cfg.Observe = func(x Outcome) { o = x }
			res := post(g, c.path, nil)
			res.Body.Close()
			is.Equal(res.StatusCode, c.status)
			is.Equal(o.Hedge, c.hedge)
			is.True(eventually(func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.cancelled == c.cancelled }))
			p.mu.Lock()
			defer p.mu.Unlock()
			g.mu.Lock()
			defer g.mu.Unlock()
			is.Equal(len(p.asked), c.asked)
			is.True(c.asked < 2 || p.asked[0] != p.asked[1])
			is.Equal(p.mayWait, 0)
			is.True(o.Reached <= 2) // the route allows two attempts
			if c.cancelled > 0 {
				is.Equal(o.Reached, 2)
				for _, r := range g.cfg.Snapshot().Serving["shop"] {
					is.True(g.estimates.Cost(g.cfg.Clock.Monotonic(), "reads", &r) < 50*time.Millisecond) // a penalty is 150 ms
				}
			}
		})
	}
	if !eventually(func() bool { return runtime.NumGoroutine() <= goroutines }) {
		t.Errorf("%d goroutines, %d before", runtime.NumGoroutine(), goroutines)
	}
}

// eventually reports whether ok becomes true within a second.
func eventually(ok func() bool) bool {
	for range 1000 {
		if ok() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// TestHedgesAreRefused checks what keeps a second attempt from being sent: the operators'
// limit, servers without free slots, an empty retry budget, a body that has not arrived and a
// node that stops. With the buffered body, both servers must get all of it. A body that is cut
// short ends the request.
func TestHedgesAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		maxShare float64
		isLoaded bool
		prepare  func(g *Ingress)
		body     string // never arrives whole if it ends with a dash
		status   int    // of the response, 0 for 200
		asked    int
		hedge    string
	}{
		"allowed":            {maxShare: 0.02, asked: 2, hedge: HedgeWon},
		"over the limit":     {maxShare: 0.005, asked: 1, hedge: HedgeOverLimit},
		"no slot to spare":   {maxShare: 1, isLoaded: true, asked: 1, hedge: HedgeOverloaded},
		"no budget":          {maxShare: 1, prepare: func(g *Ingress) { g.budget = budget.New(budget.Limits{Window: time.Second}) }, asked: 1, hedge: HedgeOverloaded},
		"node stops":         {maxShare: 1, prepare: func(g *Ingress) { g.StopAt(100 * time.Hour) }, asked: 1},
		"body has arrived":   {maxShare: 1, body: "whole", asked: 2, hedge: HedgeWon},
		"body is incomplete": {maxShare: 1, body: "part-", status: http.StatusGatewayTimeout, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &racers{results: []racer{{60 * time.Millisecond, ok()}, {0, ok()}}}
			if c.asked > 1 {
				p.hasSecond, p.results[0].after = make(chan struct{}), time.Hour
			}
			g := newHedgingIngress(t, p, c.maxShare, c.isLoaded)
			if c.prepare != nil {
				c.prepare(g)
			}
			var o Outcome
			g.cfg.Observe = func(x Outcome) { o = x }
			r := &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/reads/1", Header: http.Header{}, ContentLength: int64(len(c.body))}
			var in *body.Spool
			if c.body != "" {
				in = body.New(1 << 10)
				text, isPart := strings.CutSuffix(c.body, "-")
				_, _ = in.Write([]byte(text))
				if !isPart {
					in.End(nil)
				} else {
					time.AfterFunc(40*time.Millisecond, func() { in.End(io.ErrUnexpectedEOF) })
				}
			}
			is.Equal(handle(g, r, in).StatusCode, cmp.Or(c.status, http.StatusOK))
			is.Equal(o.Hedge, c.hedge)
			p.mu.Lock()
			defer p.mu.Unlock()
			is.Equal(len(p.asked), c.asked)
			for _, got := range p.bodies {
				is.Equal(got, strings.TrimSuffix(c.body, "-"))
			}
		})
	}
}
