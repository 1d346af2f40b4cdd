package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/http1/listener"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/server"
)

// peers is a Peers that reads the body of each request and returns the results in
// turn. Once they are used up, it returns the last one again.
type peers struct {
	results   []request.Result
	asked     []string
	objective time.Duration // of the last request
	onAsk     func()        // called when a request arrives, if not nil
	unread    bool          // bodies are not read
}

func (p *peers) Do(_ context.Context, address string, r request.Request) request.Result {
	if p.onAsk != nil {
		p.onAsk()
	}
	p.asked = append(p.asked, address)
	p.objective = r.Objective
	if r.Body != nil && !p.unread {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return p.results[min(len(p.asked), len(p.results))-1]
}

func ok() request.Result {
	return request.Result{Response: &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, Reached: true}
}

func responded(code int) request.Result {
	return request.Result{Response: &http.Response{StatusCode: code, Body: http.NoBody}, Reached: true}
}

func shed() request.Result {
	a := responded(http.StatusServiceUnavailable)
	a.Shed = true
	return a
}

func failed(k gd.Kind, reached bool) request.Result { return request.Failed(k.Errorf("test"), reached) }

// newIngress returns an ingress with three nodes, reached through p, and the routes
// "reads", which is idempotent, and "orders", which is not.
func newIngress(t *testing.T, p *peers) *Ingress {
	t.Helper()
	limits := route.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}
	newRoute := func(name string, idempotent bool) route.Route {
		return route.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Attempts: 2, Objective: time.Second, Backends: []route.Backend{{Service: "shop", Weight: 1}}}
	}
	policy, err := route.New(1, limits, []string{"shop"}, []route.Route{newRoute("reads", true), newRoute("orders", false)})
	if err != nil {
		t.Fatal(err)
	}
	var d server.Directory
	d, _ = d.WithRecords(
		server.Record{Node: "a", Service: "shop", Address: "a", Slots: 1},
		server.Record{Node: "b", Service: "shop", Address: "b", Slots: 1},
		server.Record{Node: "c", Service: "shop", Address: "c", Slots: 1})
	snapshot := &roster.Snapshot{Policy: policy, Directory: d, Serving: d.Serving()}
	return New(Config{
		Node: "own", Service: "caller", Snapshot: func() *roster.Snapshot { return snapshot }, Peers: p,
		Limits: budget.Limits{Window: time.Second, Slack: 100, RerunShare: 1, FirstShare: 1}, Clock: clock.System{}, Log: hclog.NewNullLogger(),
		Random: rand.New(rand.NewPCG(1, 1)), Observe: func(Outcome) {},
	})
}

// post has g handle a POST request with the given body, or without a body if in is
// nil.
func post(g *Ingress, path string, in *body.Spool) *http.Response {
	h := http.Header{}
	platform.SetDeadline(h, time.Hour)
	r := &http.Request{Method: http.MethodPost, Host: "h", RequestURI: path, Header: h}
	if in != nil {
		r.ContentLength = -1
	}
	return handle(g, r, in)
}

// handle has g handle r with the given body.
func handle(g *Ingress, r *http.Request, in *body.Spool) *http.Response {
	return g.Handle(context.Background(), &listener.Request{Request: r, Body: in})
}

// TestOutcomes covers each way in which an attempt can end, and checks the
// status of the response and the number of nodes asked.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		results []request.Result
		status  int
		asked   int
	}{
		"first attempt succeeds":              {"/orders/1", []request.Result{ok()}, 200, 1},
		"order refused, then run":             {"/orders/1", []request.Result{failed(gd.Draining, false), ok()}, 200, 2},
		"order shed, then run":                {"/orders/1", []request.Result{shed(), ok()}, 200, 2},
		"order that may have run":             {"/orders/1", []request.Result{failed(gd.Unknown, true), ok()}, 502, 1},
		"order that failed":                   {"/orders/1", []request.Result{responded(500), ok()}, 500, 1},
		"order shed by two":                   {"/orders/1", []request.Result{shed()}, 503, 2}, // the route allows two attempts
		"read that may have run":              {"/reads/1", []request.Result{failed(gd.Unknown, true), ok()}, 200, 2},
		"read that failed":                    {"/reads/1", []request.Result{responded(500), ok()}, 200, 2},
		"read that failed at two":             {"/reads/1", []request.Result{responded(500)}, 500, 2},
		"read may have run, then refused":     {"/reads/1", []request.Result{failed(gd.Unknown, true), failed(gd.Draining, false)}, 502, 3},
		"read may have run, then shed":        {"/reads/1", []request.Result{failed(gd.Unknown, true), shed()}, 502, 2},
		"unreachable deadline is not retried": {"/reads/1", []request.Result{failed(gd.DeadlineUnreachable, false), ok()}, 503, 1},
		"quarantined is not retried":          {"/reads/1", []request.Result{failed(gd.Quarantined, false), ok()}, 503, 1},
		"all queues stay full":                {"/reads/1", []request.Result{failed(gd.QueueFull, false)}, 503, 6}, // each node is asked for a free slot, then to queue the request
		"not found is not retried":            {"/reads/1", []request.Result{responded(404), ok()}, 404, 1},
		"no route":                            {"/else/1", []request.Result{ok()}, 404, 0},
		"gateway timeout is not retried":      {"/reads/1", []request.Result{responded(504), ok()}, 504, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &peers{results: c.results}
			res := post(newIngress(t, p), c.path, nil)
			is.Equal(res.StatusCode, c.status)
			is.Equal(len(p.asked), c.asked)
			is.Equal(res.Header.Get("Retry-After") != "", c.status == 503 && !strings.Contains(name, "shed by two"))
		})
	}
}

// TestDiscardedBodyIsNotResent guards against a retry with a truncated body. A
// node reads a body that exceeds the spool's limit and refuses the request. The
// start of the body is then no longer buffered, so the request must fail without a
// retry.
func TestDiscardedBodyIsNotResent(t *testing.T) {
	is := is.New(t)
	in := body.New(1 << 10)
	go func() {
		for range 100 {
			_, _ = in.Write(make([]byte, 1<<10))
		}
		in.End(nil)
	}()
	p := &peers{results: []request.Result{failed(gd.Draining, false)}}
	res := post(newIngress(t, p), "/orders/1", in)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable) // the request has not run
	is.Equal(len(p.asked), 1)
}

// TestRepeatKeepsItsObjective has a caller repeat a refused request. The objective of
// the repeat counts from the first attempt, and requests with other targets have an
// objective of their own.
func TestRepeatKeepsItsObjective(t *testing.T) {
	is := is.New(t)
	p := &peers{results: []request.Result{failed(gd.Draining, false)}}
	g := newIngress(t, p)
	now := &clock.Fake{}
	g.cfg.Clock = now
	is.Equal(post(g, "/orders/1", nil).StatusCode, http.StatusServiceUnavailable)
	objective := p.objective
	now.Advance(100 * time.Millisecond)
	p.results = []request.Result{ok()}
	p.asked = nil
	is.Equal(post(g, "/orders/1", nil).StatusCode, http.StatusOK)
	is.Equal(p.objective, objective-100*time.Millisecond)
	is.Equal(post(g, "/orders/2", nil).StatusCode, http.StatusOK)
	is.Equal(p.objective, objective)
	is.Equal(post(g, "/orders/1", nil).StatusCode, http.StatusOK) // a new request
	is.Equal(p.objective, objective)
}

// TestOrdersOnOnePathAreNotTakenForRepeats refuses an order. Another one with the same path
// must have an objective of its own, and only the repeat of the refused one counts from the
// first attempt. Bodies are compared if they arrive with the head, else by their lengths.
func TestOrdersOnOnePathAreNotTakenForRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		bodies   [2]string // of the refused order and of the next one
		arrive   bool      // with the heads
		isRepeat bool
	}{
		"same body":                      {[2]string{"die 1", "die 1"}, true, true},
		"other body":                     {[2]string{"die 1", "die 2"}, true, false},
		"no body, then one":              {[2]string{"", "die 2"}, true, false},
		"same body that arrives later":   {[2]string{"die 1", "die 1"}, false, true},
		"longer body that arrives later": {[2]string{"die 1", "die 10"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &peers{results: []request.Result{failed(gd.Draining, false)}}
			g := newIngress(t, p)
			now := &clock.Fake{}
			g.cfg.Clock = now
			send := func(text string) {
				h := http.Header{}
				platform.SetDeadline(h, time.Hour)
				r := &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/orders/new", Header: h, ContentLength: int64(len(text))}
				var in *body.Spool
				if text != "" {
					in = body.New(1 << 10)
				}
				arrive := sync.OnceFunc(func() {
					if in != nil {
						_, _ = in.Write([]byte(text))
						in.End(nil)
					}
				})
				if c.arrive {
					arrive()
				}
				p.onAsk = arrive
				handle(g, r, in)
			}
			send(c.bodies[0])
			objective := p.objective
			now.Advance(100 * time.Millisecond)
			p.results, p.asked = []request.Result{ok()}, nil
			send(c.bodies[1])
			if c.isRepeat {
				objective -= 100 * time.Millisecond
			}
			is.Equal(p.objective, objective)
		})
	}
}
