package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/claim"
	"github.com/geraniumdock/geraniumdock/retry"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// chooser chooses the server for each attempt. It guards the load estimates
// that all calls of the ingress share.
type chooser struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	estimates *server.Estimates
}

func (ch *chooser) init(locality server.Locality, seed uint64) {
	ch.rnd = rand.New(rand.NewPCG(seed, chooserStream))
	ch.estimates = server.NewEstimates(locality)
}

// chooserStream is the stream of the chooser's random source.
const chooserStream = 6

// choose picks a server that has not been tried and records the call to it.
func (ch *chooser) choose(now time.Duration, serving []server.Record, tried []string) (server.Choice, bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	choice, ok := ch.estimates.Choose(now, serving, tried, ch.rnd)
	if ok {
		ch.estimates.Sent(now, choice.Server.Node)
	}
	return choice, ok
}

// recordSent records a call sent to node.
func (ch *chooser) recordSent(now time.Duration, node string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.estimates.Sent(now, node)
}

// recordEnded records the end of a call to node, with the load that the node
// reported if loadKnown is set.
func (ch *chooser) recordEnded(now time.Duration, node string, load server.Load, loadKnown bool, err error) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.estimates.Ended(now, node)
	if loadKnown {
		ch.estimates.Reported(now, node, load)
	}
	switch k := gd.KindOf(err); {
	case err == nil:
	case k == gd.QueueFull, k == gd.DeadlineUnreachable, k == gd.RateLimited:
		ch.estimates.Shed(now, node)
	case k.Response().RetriableElsewhere, k == gd.Unknown:
		ch.estimates.Failed(now, node)
	}
}

// retain drops the estimates of servers that are not in d.
func (ch *chooser) retain(d server.Directory) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.estimates.Retain(d)
}

// budgets holds the retry budgets by caller and service. The table bounds their
// number.
type budgets struct {
	mu      sync.Mutex
	budgets map[budgetKey]*retry.Budget
}

type budgetKey struct{ caller, service string }

// update calls f with the retry budget of the call and returns its result.
func (b *budgets) update(c *call, f func(*retry.Budget) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets == nil {
		b.budgets = map[budgetKey]*retry.Budget{}
	}
	k := budgetKey{c.caller, c.service}
	if b.budgets[k] == nil {
		b.budgets[k] = &retry.Budget{}
	}
	return f(b.budgets[k])
}

// serverResponse is the response of a server. It must be closed.
type serverResponse struct {
	node     string
	response *http.Response
	close    func()
}

// attempt sends the call to one server after another until one responds or no
// further attempt is allowed.
func (n *Node) attempt(ctx context.Context, c *call, row *table.Row) (*serverResponse, error) {
	n.budgets.update(c, func(b *retry.Budget) bool {
		b.AddCall(n.cfg.Clock.Monotonic(), row.RetryAllowance)
		return true
	})
	var tried []string
	var last error
	for i := range retry.MaxAttempts {
		s, ok := n.choose(c, row, tried)
		if !ok {
			break
		}
		res, err := n.attemptOn(ctx, c, s)
		if err == nil {
			return res, nil
		}
		last = err
		tried = append(tried, s.Node)
		if i+1 == retry.MaxAttempts || !n.mayRetry(ctx, c, row, err) {
			return nil, err
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, gd.NoServer.Errorf("no server of service %s accepts calls", c.service)
}

// choose picks the server for the next attempt and logs the choice.
func (n *Node) choose(c *call, row *table.Row, tried []string) (server.Record, bool) {
	serving := n.snapshot.Load().serving[c.service]
	if row.Deduplication == table.DedupPlatform && c.key != "" {
		return n.chooseOwner(c, serving, tried)
	}
	choice, ok := n.chooser.choose(n.cfg.Clock.Monotonic(), serving, tried)
	if ok {
		n.log.Info("chose server", "service", c.service, "caller", c.caller, "server", choice.Server.Node, "attempt", len(tried)+1, "candidates", candidates{choice.Candidates})
	}
	return choice.Server, ok
}

// candidates formats the candidates of a choice only if the log line is written.
type candidates struct{ list []server.Candidate }

func (l candidates) String() string {
	var b strings.Builder
	for i, c := range l.list {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(c.Node)
		b.WriteByte('=')
		b.WriteString(strconv.FormatInt(c.Wait.Microseconds(), 10))
		b.WriteString("us")
	}
	return b.String()
}

// chooseOwner picks the server whose node owns the partition of the call's key,
// so that repeated calls find the first response there. The next server in order
// is used only if the owner reports that the call did not run.
func (n *Node) chooseOwner(c *call, serving []server.Record, tried []string) (server.Record, bool) {
	byNode := map[string]server.Record{}
	var nodes []string
	for _, r := range serving {
		byNode[r.Node] = r
		nodes = append(nodes, r.Node)
	}
	partition := claim.KeyOf(c.service, c.caller, c.key).Partition()
	order := claim.RankNodes(c.service, partition, nodes)
	if len(tried) >= len(order) {
		return server.Record{}, false
	}
	s := byNode[order[len(tried)]]
	n.chooser.recordSent(n.cfg.Clock.Monotonic(), s.Node)
	n.log.Info("chose server", "service", c.service, "caller", c.caller, "server", s.Node, "attempt", len(tried)+1, "claim-partition", partition)
	return s, true
}

// attemptOn sends the call to one server and records the result.
func (n *Node) attemptOn(ctx context.Context, c *call, s server.Record) (*serverResponse, error) {
	res, err := n.send(ctx, c, s)
	if err == nil {
		err = peerError(res)
	}
	var load server.Load
	loadKnown := false
	if res != nil {
		load, loadKnown = parseLoad(res.Header.Get(loadHeader))
	}
	if err != nil {
		if res != nil {
			res.Body.Close()
		}
		n.chooser.recordEnded(n.cfg.Clock.Monotonic(), s.Node, load, loadKnown, err)
		return nil, n.deadlineError(ctx, err)
	}
	return &serverResponse{s.Node, res, func() {
		res.Body.Close()
		n.chooser.recordEnded(n.cfg.Clock.Monotonic(), s.Node, load, loadKnown, nil)
	}}, nil
}

// deadlineError returns an error of kind TimedOut instead of an Unknown error
// that the passed deadline caused, and err otherwise.
func (n *Node) deadlineError(ctx context.Context, err error) error {
	if ctx.Err() != nil && gd.Unknown.Is(err) {
		return gd.TimedOut.Errorf("deadline passed before the server responded")
	}
	return err
}

// mayRetry reports whether the call may be sent to another server after err.
func (n *Node) mayRetry(ctx context.Context, c *call, row *table.Row, err error) bool {
	k := gd.KindOf(err)
	safe := k.Response().RetriableElsewhere || k == gd.Unknown && row.IsIdempotent(c.request.Method)
	if !safe || ctx.Err() != nil || !c.body.canResend() {
		return false
	}
	allowed := n.budgets.update(c, func(b *retry.Budget) bool { return b.Take(n.cfg.Clock.Monotonic()) })
	n.log.Info("decided whether to retry", "caller", c.caller, "service", c.service, "after", k, "allowed", allowed)
	if allowed {
		n.counters.count(c.service, c.caller, "retry")
	}
	return allowed
}

// sendToPeer sends the call to another node. An error of kind Draining means
// that no byte of the call was sent.
func (n *Node) sendToPeer(ctx context.Context, c *call, s server.Record) (*http.Response, error) {
	var trace requestTrace
	req := (&http.Request{
		Method: c.request.Method,
		URL:    &url.URL{Scheme: "https", Host: s.Address, Path: c.request.URL.Path, RawPath: c.request.URL.RawPath, RawQuery: c.request.URL.RawQuery},
		Header: c.request.Header.Clone(),
		Host:   c.request.Host,
	}).WithContext(trace.trace(ctx))
	// HTTP/2 clients retry only requests that the peer reports as not
	// processed.
	c.body.setBody(req, false)
	if !c.body.buffered {
		// The peer accepts or refuses the call before any of the body is
		// read, so that a refused upload can still go to another server.
		req.Header.Set("Expect", "100-continue")
	}
	req.Header.Set(callerHeader, c.caller)
	req.Header.Set(serviceHeader, c.service)
	req.Header.Set(fingerprintHeader, strconv.FormatUint(uint64(c.fingerprint), 16))
	req.Header.Set(timeoutHeader, formatMilliseconds(c.remaining(n.cfg.Clock.Monotonic())))
	res, err := n.peers.RoundTrip(req)
	if err == nil {
		return res, nil
	}
	if !trace.wrote.Load() {
		return nil, gd.Draining.Wrapf(err, "node %s cannot be reached", s.Node)
	}
	return nil, gd.Unknown.Wrapf(err, "connection to node %s failed", s.Node)
}
