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

	mu               sync.Mutex
	estimates        *placement.Estimates
	budget           *budget.Budget
	random           *rand.Rand
	prunedGeneration uint64                   // generation for which the estimates were cleaned
	longestDeadline  map[string]time.Duration // deadline that clients of a route named
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	return &Ingress{
		cfg:             cfg,
		estimates:       placement.New(cfg.Node, cfg.DataCentre, cfg.Random),
		budget:          budget.New(cfg.Terms),
		random:          cfg.Random,
		longestDeadline: map[string]time.Duration{},
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
	s := &requestState{g: g, r: r, id: platform.RequestID(r.Header), began: g.cfg.Clock.Monotonic(), snapshot: g.cfg.Snapshot()}
	if err := s.plan(); err != nil {
		return s.errorResponse(err, 0)
	}
	return s.run(ctx)
}

// journey is the way of one request. Its policy and servers are those known
// when the request came, and servers are looked up again for later tries.
type requestState struct {
	g        *Ingress
	r        *listener.Request
	id       string
	began    time.Duration
	snapshot *roster.Snapshot

	route     *route.Route
	service   string
	deadline  time.Duration // instant of the final answer
	objective time.Duration // instant until which the answer has its full value

	search       placement.Search
	reached      int      // servers that the request has reached
	ran          bool     // a server may have run it
	attempts     []string // what became of each try, for the log
	giveUpReason string   // why no other server was tried, "" if one was or none was left
}

// plan finds the route, the service and the time of the request.
func (s *requestState) plan() error {
	p := s.snapshot.Policy
	if p == nil {
		return gd.NotReady.Errorf("no policy is known yet")
	}
	path, _, _ := strings.Cut(s.r.RequestURI, "?")
	rt, ok := p.Match(s.r.Host, path)
	if !ok {
		return gd.NoRoute.Errorf("no route for %s%s in version %d", s.r.Host, path, p.Version)
	}
	s.route = rt
	timeLeft, hasDeadline := platform.Deadline(s.r.Header)
	if hasDeadline {
		timeLeft = max(timeLeft-answerMargin, 0)
	} else {
		timeLeft = defaultTimeout
	}
	priorWait := time.Duration(0)
	if hasDeadline {
		priorWait = s.g.priorWait(rt.Name, timeLeft)
	}
	if rt.Timeout > 0 {
		timeLeft = min(timeLeft, rt.Timeout)
	}
	s.deadline = s.began + timeLeft
	if stopTime := time.Duration(s.g.stopAt.Load()); stopTime > 0 && s.deadline > stopTime {
		return gd.Draining.Errorf("node %s ends in %s", s.g.cfg.Node, stopTime-s.began)
	}
	s.objective = s.began + rt.Objective - priorWait
	if rt.Objective == 0 {
		s.objective = s.began + time.Duration(defaultObjective*float64(timeLeft))
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.service = rt.Service(s.g.random.Float64())
	s.g.budget.Requested(s.began, s.service)
	return nil
}

// maxRoutes bounds the routes whose longest deadline is kept.
const maxRoutes = 4096

// spent estimates how long a client has waited already. Clients that come back
// after a refusal name what is left of their deadline, and their objective
// counts from their first attempt; the longest deadline that clients of the
// route name is taken for the whole of it.
func (g *Ingress) priorWait(name string, timeLeft time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longestDeadline, ok := g.longestDeadline[name]
	if timeLeft > longestDeadline && (ok || len(g.longestDeadline) < maxRoutes) {
		g.longestDeadline[name] = timeLeft
	}
	return max(longestDeadline-timeLeft, 0)
}

// fingerprint identifies requests that are repeats of each other.
func (s *requestState) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(s.g.cfg.Service, s.r.Method, s.r.Host+s.r.RequestURI, nil)
}

func (s *requestState) serving() []server.Record {
	s.snapshot = s.g.cfg.Snapshot()
	return s.snapshot.Serving[s.service]
}
