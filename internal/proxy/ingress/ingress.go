// Package ingress takes the requests of the clients on the VM and brings each
// to a server of its route's service: it chooses a node, tries others while the
// request has not run, and gives the final answer in time.
package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/http1/listener"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// defaultTimeout bounds a request whose client and route name no limit.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long before its deadline a client gets the final
	// answer, so that it still arrives.
	answerMargin = 10 * time.Millisecond
	// defaultObjective is the share of the time left within which an answer is
	// wanted where the route names no objective.
	defaultObjective = 0.5
)

// Peers sends requests to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, r request.Request) request.Answer
}

// Station runs requests on the server beside this node.
type Station interface {
	Do(ctx context.Context, r request.Request) request.Answer
}

// Config says what an ingress works with.
type Config struct {
	Node       string
	DataCentre string
	Service    string // of the server beside the node: the caller of all requests taken here
	Snapshot   func() *roster.Snapshot
	Peers      Peers
	Station    Station
	Terms      budget.Terms // of repeats over all nodes
	Clock      gd.Clock
	Log        hclog.Logger
	Random     *rand.Rand
	Observe    func(Outcome) // told of each request that was answered
}

// Outcome is what is measured of a request.
type Outcome struct {
	Kind    gd.Kind // of the error, if Failed
	Failed  bool
	Status  int
	Route   string // kind of its route
	Took    time.Duration
	Tries   int // nodes that were asked
	Reached int // servers that it reached
}

// Ingress handles requests of clients. Use New.
type Ingress struct {
	cfg Config

	stopAt atomic.Int64 // instant at which the node ends, 0 while it is not known

	mu        sync.Mutex
	estimates *placement.Estimates
	budget    *budget.Budget
	random    *rand.Rand
	directory uint64                   // generation for which the estimates were cleaned
	longest   map[string]time.Duration // deadline that clients of a route named
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	return &Ingress{
		cfg:       cfg,
		estimates: placement.New(cfg.Node, cfg.DataCentre, cfg.Random),
		budget:    budget.New(cfg.Terms),
		random:    cfg.Random,
		longest:   map[string]time.Duration{},
	}
}

// Reached notes that a node was heard, so that requests are sent to it again.
func (g *Ingress) Reached(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estimates.Reached(node)
}

// StopAt has requests refused that may not be answered before the given
// instant, at which the node ends.
func (g *Ingress) StopAt(at time.Duration) { g.stopAt.Store(int64(at)) }

// Handle answers a request of a client.
func (g *Ingress) Handle(ctx context.Context, r *listener.Request) *http.Response {
	j := &journey{g: g, r: r, id: platform.RequestID(r.Header), began: g.cfg.Clock.Monotonic(), snapshot: g.cfg.Snapshot()}
	if err := j.plan(); err != nil {
		return j.refuse(err, 0)
	}
	return j.run(ctx)
}

// journey is the way of one request. Its policy and servers are those known
// when the request came, and servers are looked up again for later tries.
type journey struct {
	g        *Ingress
	r        *listener.Request
	id       string
	began    time.Duration
	snapshot *roster.Snapshot

	route     *route.Route
	service   string
	final     time.Duration // instant of the final answer
	objective time.Duration // instant until which the answer has its full value

	search  placement.Search
	reached int      // servers that the request has reached
	ran     bool     // a server may have run it
	steps   []string // what became of each try, for the log
	givenUp string   // why no other server was tried, "" if one was or none was left
}

// plan finds the route, the service and the time of the request.
func (j *journey) plan() error {
	p := j.snapshot.Policy
	if p == nil {
		return gd.NotReady.Errorf("no policy is known yet")
	}
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	rt, ok := p.Match(j.r.Host, path)
	if !ok {
		return gd.NoRoute.Errorf("no route for %s%s in version %d", j.r.Host, path, p.Version)
	}
	j.route = rt
	left, isNamed := platform.Deadline(j.r.Header)
	if isNamed {
		left = max(left-answerMargin, 0)
	} else {
		left = defaultTimeout
	}
	spent := time.Duration(0)
	if isNamed {
		spent = j.g.spent(rt.Name, left)
	}
	if rt.Timeout > 0 {
		left = min(left, rt.Timeout)
	}
	j.final = j.began + left
	if stop := time.Duration(j.g.stopAt.Load()); stop > 0 && j.final > stop {
		return gd.Draining.Errorf("node %s ends in %s", j.g.cfg.Node, stop-j.began)
	}
	j.objective = j.began + rt.Objective - spent
	if rt.Objective == 0 {
		j.objective = j.began + time.Duration(defaultObjective*float64(left))
	}
	j.g.mu.Lock()
	defer j.g.mu.Unlock()
	j.service = rt.Service(j.g.random.Float64())
	j.g.budget.Requested(j.began, j.service)
	return nil
}

// maxRoutes bounds the routes whose longest deadline is kept.
const maxRoutes = 4096

// spent estimates how long a client has waited already. Clients that come back
// after a refusal name what is left of their deadline, and their objective
// counts from their first attempt; the longest deadline that clients of the
// route name is taken for the whole of it.
func (g *Ingress) spent(name string, left time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest, ok := g.longest[name]
	if left > longest && (ok || len(g.longest) < maxRoutes) {
		g.longest[name] = left
	}
	return max(longest-left, 0)
}

// fingerprint identifies requests that are repeats of each other.
func (j *journey) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(j.g.cfg.Service, j.r.Method, j.r.Host+j.r.RequestURI, nil)
}

func (j *journey) serving() []server.Record {
	j.snapshot = j.g.cfg.Snapshot()
	return j.snapshot.Serving[j.service]
}
