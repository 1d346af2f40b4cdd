// Package ingress proxies the requests of callers on the VM to backend servers.
// For each request it matches the route, chooses a node beside a server of the
// route's service, retries at other nodes where that is safe, and responds
// before the deadline.
package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/canary"
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/refusal"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/http1/listener"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// defaultTimeout applies if the caller sets no deadline.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from the caller's deadline, so that the
	// response arrives before it.
	responseMargin = 10 * time.Millisecond
	// defaultObjectiveRatio is the objective of a request whose route has none,
	// relative to the time left until its deadline.
	defaultObjectiveRatio = 0.5
)

// Peers sends requests to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, r request.Request) request.Result
}

// Station runs requests on the backend server beside this node.
type Station interface {
	Do(ctx context.Context, r request.Request) request.Result
}

// Config configures an Ingress.
type Config struct {
	Node       string
	DataCentre string
	Service    string // of the backend server beside the node, which sends all requests accepted here
	Snapshot   func() *roster.Snapshot
	Peers      Peers
	Station    Station
	Verdict    func(...quarantine.Fingerprint) quarantine.Verdict
	Limits     budget.Limits // bounds on retries over all nodes
	Hedging    hedge.Limits
	Versions   *canary.Filter // selects servers by their versions; nil for all alike
	Clock      gd.Clock
	Log        hclog.Logger
	Random     *rand.Rand
	Quota      Quota               // of workspaces; nil if none is enforced
	OnLeaving  func(server.Record) // called for a response that states that the server is about to stop
	Observe    func(Outcome)       // called once for each request when its outcome is known
}

// Outcome describes how a request ended, for metrics.
type Outcome struct {
	Kind       gd.Kind // of the error, if Failed
	Failed     bool
	Status     int
	Route      string // "idempotent", "once", or "none" if no route matched
	Took       time.Duration
	NodesAsked int    // nodes that were asked to run it
	Reached    int    // servers that may have received it
	Hedge      string // result of the second attempt, such as HedgeWon; "" if none was due
}

// Ingress handles the requests of callers. Use New to create one.
type Ingress struct {
	cfg Config

	stopAt atomic.Int64 // monotonic time at which the node stops, 0 if it is not stopping

	mu               sync.Mutex
	estimates        *placement.Estimates
	budget           *budget.Budget
	hedges           *hedge.Hedges // nil if hedging is off
	refused          *refusal.Memory
	selector         *route.Selector
	prunedGeneration uint64 // of the directory when the estimates were last pruned
}

// New returns an Ingress with the given configuration.
func New(cfg Config) *Ingress {
	return &Ingress{
		cfg:       cfg,
		estimates: placement.New(cfg.Node, cfg.DataCentre, cfg.Random),
		budget:    budget.New(cfg.Limits),
		hedges:    hedge.New(cfg.Hedging),
		refused:   refusal.New(),
		selector:  route.NewSelector(cfg.Random),
	}
}

// MarkReachable records that a message of node has arrived, so that requests are
// sent to it again.
func (g *Ingress) MarkReachable(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estimates.Reached(node)
}

// StopAt sets the monotonic time at which the node stops. Requests whose
// deadline is later are refused from then on, as they might get no response.
func (g *Ingress) StopAt(at time.Duration) { g.stopAt.Store(int64(at)) }

// Handle runs a request and returns the response for the caller.
func (g *Ingress) Handle(ctx context.Context, r *listener.Request) *http.Response {
	s := &requestState{g: g, r: r, id: platform.RequestID(r.Header), began: g.cfg.Clock.Monotonic(), snapshot: g.cfg.Snapshot()}
	if err := s.plan(ctx); err != nil {
		return s.errorResponse(err, s.quotaWait)
	}
	defer s.returnToken()
	if r.Body != nil && r.Body.Err() != nil {
		return s.errorResponse(r.Body.Err(), 0) // such as a body that is announced to be too large
	}
	return s.run(ctx)
}

// requestState is the state of one request while it is handled. The route comes
// from the policy in force when the request arrived; the servers are looked up
// again for each attempt.
type requestState struct {
	g        *Ingress
	r        *listener.Request
	id       string
	began    time.Duration
	snapshot *roster.Snapshot

	route     *route.Route
	workspace *route.Workspace // of the caller, nil if it has none
	service   string
	deadline  time.Duration          // monotonic time by which the response is due
	objective time.Duration          // monotonic time until which a response meets the latency objective
	firstSeen time.Duration          // monotonic time at which the caller's first attempt arrived
	isRepeat  bool                   // the caller has sent the request before
	isOnce    bool                   // when a retry was considered, the callers of the route did not repeat refused requests
	identity  quarantine.Fingerprint // see identify

	token     limit.Token   // of the workspace's quota
	hasToken  bool          // a token was spent
	quotaWait time.Duration // until a token may be due, if there was none

	search       placement.Search
	draw         canary.Draw
	reached      int      // servers that may have received the request
	ran          bool     // a server may have run the request
	attempts     []string // result of each attempt, for the log
	hedge        string   // as in Outcome
	giveUpReason string   // why the request was not retried; "" if no retry was ruled out
}

// plan sets the route, the service, the deadline and the objective of the request, and spends
// a token if its workspace has a quota.
func (s *requestState) plan(ctx context.Context) error {
	p := s.snapshot.Policy
	if p == nil {
		return gd.NotReady.Errorf("no policy has been received yet")
	}
	path, _, _ := strings.Cut(s.r.RequestURI, "?")
	rt, ok := p.Match(s.r.Host, path)
	if !ok {
		return gd.NoRoute.Errorf("no route matches %s%s in policy version %d", s.r.Host, path, p.Version)
	}
	s.route = rt
	if err := s.authenticate(); err != nil {
		return err
	}
	timeLeft := defaultTimeout
	if left, ok := platform.Deadline(s.r.Header); ok {
		timeLeft = max(left-responseMargin, 0)
	}
	if rt.Timeout > 0 {
		timeLeft = min(timeLeft, rt.Timeout)
	}
	s.deadline = s.began + timeLeft
	if stopTime := time.Duration(s.g.stopAt.Load()); stopTime > 0 && s.deadline > stopTime {
		return gd.Draining.Errorf("node %s stops in %s, before the deadline of the request", s.g.cfg.Node, stopTime-s.began)
	}
	s.identity = s.identify()
	if err := s.spendToken(ctx); err != nil {
		return err
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.firstSeen, s.isRepeat = s.g.refused.Take(s.began, s.identity); !s.isRepeat {
		s.firstSeen = s.began
	}
	s.objective = s.firstSeen + rt.Objective
	if rt.Objective == 0 {
		s.objective = s.began + time.Duration(defaultObjectiveRatio*float64(timeLeft))
	}
	s.search = placement.NewSearch(s.began, s.objective, s.deadline)
	s.service = s.g.selector.Select(rt)
	s.g.budget.AddRequest(s.began, s.service)
	if s.g.hedges != nil {
		s.g.hedges.AddRequest(s.began)
	}
	return nil
}

// authenticate sets the workspace of the request from its key, and replaces the key by the
// workspace in the header that is forwarded. Without workspaces in the policy, the header
// stays as the client sent it.
func (s *requestState) authenticate() error {
	p := s.snapshot.Policy
	if !p.HasWorkspaces() {
		return nil
	}
	w, ok := p.WorkspaceOf(platform.Key(s.r.Header))
	if !ok && !s.route.Public {
		return gd.Unauthenticated.Errorf("no workspace in policy version %d holds the key of the request", p.Version)
	}
	name := ""
	if ok {
		s.workspace, name = w, w.Name
	}
	platform.SetWorkspace(s.r.Header, name)
	return nil
}

// priority returns the priority of the request, which is that of its workspace if it has one.
func (s *requestState) priority() int {
	if s.workspace != nil && s.workspace.Priority != nil {
		return *s.workspace.Priority
	}
	return s.route.Priority
}

// workspaceName returns the name of the caller's workspace, or "" if it has none.
func (s *requestState) workspaceName() string {
	if s.workspace == nil {
		return ""
	}
	return s.workspace.Name
}

// remember records that the request has failed, so that it is recognized if the
// caller repeats it. A request without a route is not recorded.
func (s *requestState) remember(code int) {
	if s.route == nil {
		return
	}
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused.Add(g.cfg.Clock.Monotonic(), s.identity, refusal.Failure{
		Route: s.route.Name, FirstSeen: s.firstSeen, Deadline: s.deadline,
		MayReturn: code == http.StatusServiceUnavailable && !s.isRepeat && s.giveUpReason != giveUpCallerLeft,
	})
}

// RoutesWithoutRepeats returns the number of routes whose callers do not repeat requests
// that this node has refused.
func (g *Ingress) RoutesWithoutRepeats() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused.RoutesWithoutRepeats(g.cfg.Clock.Monotonic())
}

// identify returns a value that is the same for all repeats of the request, and differs for
// other requests. A body counts whole if it has arrived with the head, else by its length.
func (s *requestState) identify() quarantine.Fingerprint {
	hash := s.hash()
	switch {
	case s.r.Body == nil:
	case s.r.Body.IsComplete():
		_, _ = hash.Write(s.r.Body.Await(context.Background(), quarantine.MaxHashedBytes)) // never fails
	default:
		_, _ = hash.Write(strconv.AppendInt(nil, s.r.ContentLength, 10)) // never fails
	}
	return hash.Whole()
}

// hash returns the hash of the request without its body.
func (s *requestState) hash() *quarantine.Hash {
	return quarantine.NewHash(s.g.cfg.Service, s.r.Method, s.r.Host+s.r.RequestURI)
}

// serving takes a new snapshot and returns the servers of the service that the request may be
// sent to next.
func (s *requestState) serving() []server.Record {
	s.snapshot = s.g.cfg.Snapshot()
	snapshot, now := s.snapshot, s.g.cfg.Clock.Monotonic()
	return s.g.cfg.Versions.Select(now, s.service, snapshot.Rules[s.service], snapshot.Directory.Generation(), snapshot.Serving[s.service], snapshot.IsSilent, s.search.Asked(), &s.draw)
}
