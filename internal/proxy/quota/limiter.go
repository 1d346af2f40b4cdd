// Package quota enforces the quotas of workspaces, which apply to all nodes together. A
// request spends a token, which the node gets from one of the few nodes that issue the
// tokens of the workspace. The decisions are those of package limit; this package holds
// their state for one node and exchanges the messages.
package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/limit"
)

const (
	refreshInterval = 500 * time.Millisecond
	// isolationTimeout is the time without a message of any other node after which a node
	// stops to issue. The others may change the directory meanwhile, so that another node issues
	// in its place. Gossip brings about four messages in a second.
	isolationTimeout = 3 * time.Second
	// spreadTime is the time within which all nodes get a version of the policy. Until then the
	// issuers of a new quota may not know it.
	spreadTime = 2500 * time.Millisecond
	// logInterval is the least time between two log lines about one workspace.
	logInterval = 5 * time.Second
)

// Peers asks other nodes for tokens.
type Peers interface {
	RequestTokens(ctx context.Context, address string, list []limit.TokenRequest) ([]limit.TokenReply, error)
}

// Counter counts decisions and messages.
type Counter interface {
	CountQuotaDecision(decision string) // see the constants of decisions
	CountQuotaMessage(outcome string)   // "granted", "empty", "unknown" or "failed"
	CountTokensIssued(n int)
}

// Decisions about a request, as counted.
const (
	decisionAdmitted = "admitted"
	decisionOver     = "over-quota"
	decisionNoIssuer = "no-issuer"
)

// Config configures a Limiter.
type Config struct {
	Node     string
	Snapshot func() *roster.Snapshot
	Peers    Peers
	Terms    limit.Terms
	Clock    gd.Clock
	Log      hclog.Logger
	Counter  Counter
}

// Limiter enforces quotas at one node. Use New to create one. Run must be running.
type Limiter struct {
	cfg   Config
	table atomic.Pointer[table]
	// heardAt is the monotonic time at which a message of another node arrived last.
	heardAt atomic.Int64

	mu            sync.Mutex // guards the fields below
	issuer        limit.Issuer
	contacts      limit.Contacts
	workspaces    map[string]*workspace
	isolated      bool // see isIsolated; the node issues nothing
	tasks         sync.WaitGroup
	tableSwitches uint64 // number of tables, by which workspaces notice a new one
}

// workspace is the state of one workspace with a quota at this node.
type workspace struct {
	allowance limit.Allowance
	seen      uint64        // Limiter.tableSwitches when the issuers were set
	entry     *entry        // of the issuers that were set
	asking    bool          // a request for tokens is outstanding
	waiting   int           // requests that wait for its reply
	changed   chan struct{} // closed when the reply has arrived or is overdue
	loggedAt  time.Duration
	wasLogged bool
	refused   int // requests since the last log line
}

// New returns a Limiter with the given configuration.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, issuer: limit.Issuer{FirstTokens: cfg.Terms.FirstTokens}, workspaces: map[string]*workspace{}}
	l.MarkHeard()
	return l
}

// Run keeps the buckets of the workspaces that this node issues for, until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.refresh()
		case <-ctx.Done():
			l.tasks.Wait()
			return ctx.Err()
		}
	}
}

// refresh creates the buckets of the workspaces that this node issues for, before it is asked,
// and drops the others.
func (l *Limiter) refresh() {
	t := l.current()
	if t.entries == nil {
		return
	}
	s := l.cfg.Snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Monotonic()
	l.isolated = l.isIsolated(now, s.Directory.Len())
	l.issuer.Retain(now, func(name string) bool {
		e, ok := t.entries[name]
		return ok && e.isOwn && !l.isolated
	})
	if l.isolated {
		return
	}
	for _, name := range t.own {
		e := t.entries[name]
		l.issue(now, name, e, 0)
		if e.next != "" && s.IsSilent(e.next) {
			l.issuer.Defer(now, name)
		}
	}
}

// MarkHeard records that a message of another node has arrived.
func (l *Limiter) MarkHeard() { l.heardAt.Store(int64(l.cfg.Clock.Monotonic())) }

// isIsolated reports whether no other node has been heard for isolationTimeout. The few
// nodes of a small fleet may all have failed but this one, which then goes on.
func (l *Limiter) isIsolated(now time.Duration, nodes int) bool {
	return nodes > limit.MaxIssuers && now-time.Duration(l.heardAt.Load()) >= isolationTimeout
}

// current returns the table for the current snapshot.
func (l *Limiter) current() *table {
	if t := l.table.Load(); t.isFor(l.cfg.Snapshot()) {
		return t
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.cfg.Snapshot() // under the lock, so that no older table replaces a newer one
	if t := l.table.Load(); t.isFor(s) {
		return t
	}
	t := newTable(s, l.cfg.Node, l.cfg.Terms)
	t.introduce(l.cfg.Clock.Monotonic(), l.table.Load())
	l.tableSwitches++
	for name := range l.workspaces {
		if _, ok := t.entries[name]; !ok {
			delete(l.workspaces, name)
		}
	}
	l.contacts.Retain(func(node string) bool { _, ok := s.Directory.Record(node); return ok })
	l.table.Store(t)
	return t
}

// Spend spends a token of the workspace for a request whose response is due at the given
// monotonic time. It waits for the reply of an issuer if the node has no token. Without a
// token it returns an error of kind RateLimited or, if no issuer responds, NotReady, and
// the time until a token may be due.
func (l *Limiter) Spend(ctx context.Context, w *route.Workspace, deadline time.Duration) (limit.Token, time.Duration, error) {
	e, ok := l.current().entries[w.Name]
	if !ok {
		return limit.Token{}, 0, nil // the policy now in force has no quota for it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Monotonic()
	s := l.workspace(w.Name, e)
	s.allowance.Arrive(now)
	end := min(now+l.cfg.Terms.Query, deadline)
	for {
		if token, ok := s.allowance.Take(now); ok {
			l.cfg.Counter.CountQuotaDecision(decisionAdmitted)
			return token, 0, nil
		}
		if now >= end || ctx.Err() != nil || !s.asking && !l.ask(now, s, w.Name) {
			return l.refuse(now, s, w)
		}
		if s.asking {
			l.await(ctx, s, end-now)
			now = l.cfg.Clock.Monotonic()
		}
	}
}

// workspace returns the state of a workspace, with the issuers of e.
func (l *Limiter) workspace(name string, e *entry) *workspace {
	s, ok := l.workspaces[name]
	if !ok {
		s = &workspace{changed: make(chan struct{})}
		l.workspaces[name] = s
	}
	if s.seen != l.tableSwitches {
		s.seen, s.entry = l.tableSwitches, e
		s.allowance.SetIssuers(e.nodes, l.cfg.Node, int(xxhash.Sum64String(l.cfg.Node)>>1))
	}
	return s
}

// await waits until the outstanding request for tokens of s has ended, at most for d. It
// releases the lock meanwhile.
func (l *Limiter) await(ctx context.Context, s *workspace, d time.Duration) {
	changed := s.changed
	s.waiting++
	l.mu.Unlock()
	t := time.NewTimer(d)
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	t.Stop()
	l.mu.Lock()
	s.waiting--
}

// ask asks the next issuer for tokens. It reports false if there is none to ask. If the next
// issuer is this node, the tokens are added at once.
func (l *Limiter) ask(now time.Duration, s *workspace, name string) bool {
	node, ok := s.allowance.Next(now, &l.contacts)
	if !ok {
		return false
	}
	if node == l.cfg.Node {
		l.record(now, s, node, l.issue(now, name, s.entry, max(1, s.waiting)), now)
		return true
	}
	address := s.entry.addresses[slices.Index(s.entry.nodes, node)]
	q := limit.TokenRequest{Key: name, Want: s.allowance.Want(now, s.waiting+1)}
	s.asking = true
	l.tasks.Go(func() { l.send(s, node, address, q, now) })
	return true
}

// send sends a request for tokens and records the reply. A node that has not replied within
// limit.AskTimeout counts as not responding; tokens that arrive later are used
// until they expire.
func (l *Limiter) send(s *workspace, node, address string, q limit.TokenRequest, sentAt time.Duration) {
	overdue := false
	timer := time.AfterFunc(limit.AskTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !overdue {
			overdue = true
			l.contacts.Failed(l.cfg.Clock.Monotonic(), node)
			s.asking = false
			s.wake()
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.Terms.Hold)
	defer cancel()
	replies, err := l.cfg.Peers.RequestTokens(ctx, address, []limit.TokenRequest{q})
	timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Monotonic()
	switch {
	case err == nil:
		l.record(now, s, node, replies[0], sentAt)
	case !overdue:
		l.contacts.Failed(now, node)
	}
	if err != nil {
		l.cfg.Counter.CountQuotaMessage("failed")
	}
	if !overdue {
		overdue = true
		s.asking = false
	}
	s.wake()
}

// wake makes the waiting requests look for tokens again.
func (s *workspace) wake() {
	if s.waiting > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// record records the reply of an issuer to a request that was sent at sentAt.
func (l *Limiter) record(now time.Duration, s *workspace, node string, r limit.TokenReply, sentAt time.Duration) {
	outcome := "granted"
	switch {
	case r.Unknown:
		outcome = "unknown"
		l.contacts.Failed(now, node)
	case r.Granted > 0:
		l.contacts.Responded(node)
		s.allowance.Granted(now, node, r.Granted, sentAt+l.cfg.Terms.Hold)
	default:
		outcome = "empty"
		l.contacts.Responded(node)
		s.allowance.Refused(now, node, r.Wait)
	}
	if node != l.cfg.Node {
		l.cfg.Counter.CountQuotaMessage(outcome)
	}
}

// refuse returns the error for a request without a token. A request of a workspace whose quota
// is new is admitted if no issuer knows the quota yet.
func (l *Limiter) refuse(now time.Duration, s *workspace, w *route.Workspace) (limit.Token, time.Duration, error) {
	e := s.entry
	wait, isOver := s.allowance.Wait(now, &l.contacts)
	if !isOver && e.isNew(now) {
		l.cfg.Counter.CountQuotaDecision(decisionAdmitted)
		return limit.Token{}, 0, nil
	}
	decision, err := decisionNoIssuer, gd.NotReady.Errorf("no node that issues the quota of workspace %s responds", w.Name)
	if isOver {
		decision = decisionOver
		err = gd.RateLimited.Errorf("workspace %s exceeds its quota of %g requests/s with a burst of %g", w.Name, e.quota.Rate, e.quota.Burst)
	}
	l.cfg.Counter.CountQuotaDecision(decision)
	s.refused++
	if !s.wasLogged || now-s.loggedAt >= logInterval {
		l.cfg.Log.Info(event.QuotaRefused, "workspace", w.Name, "reason", decision, "rate", e.quota.Rate, "burst", e.quota.Burst,
			"refused", s.refused, "retry-after", wait.String(), "issuers", len(e.nodes))
		s.loggedAt, s.wasLogged, s.refused = now, true, 0
	}
	return limit.Token{}, wait, err
}

// Return gives back the token of a request that no server has run.
func (l *Limiter) Return(w *route.Workspace, t limit.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.workspaces[w.Name]; ok {
		s.allowance.Return(l.cfg.Clock.Monotonic(), t)
	}
}

// IssueTokens replies to requests of other nodes for tokens.
func (l *Limiter) IssueTokens(list []limit.TokenRequest) []limit.TokenReply {
	t := l.current()
	replies := make([]limit.TokenReply, len(list))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Monotonic()
	for i, q := range list {
		if e, ok := t.entries[q.Key]; ok && e.isOwn {
			replies[i] = l.issue(now, q.Key, e, q.Want)
		} else {
			replies[i].Unknown = true
		}
	}
	return replies
}

// issue issues tokens of a workspace of which this node is an issuer.
func (l *Limiter) issue(now time.Duration, name string, e *entry, want int) limit.TokenReply {
	if l.isolated {
		return limit.TokenReply{Unknown: true}
	}
	if e.isNew(now) {
		l.issuer.Introduce(now, name, e.part.Rate, e.part.Burst)
	}
	granted, wait := l.issuer.Issue(now, name, e.part.Rate, e.part.Burst, want)
	l.cfg.Counter.CountTokensIssued(granted)
	return limit.TokenReply{Granted: granted, Wait: wait, Unknown: !l.issuer.HasStarted(now, name)}
}
