package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/meter"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/server"
)

// peers is a Peers that counts the messages and responds by reply.
type peers struct {
	messages atomic.Int64
	reply    func(limit.TokenRequest) (limit.TokenReply, error)
}

func (p *peers) RequestTokens(_ context.Context, _ string, list []limit.TokenRequest) ([]limit.TokenReply, error) {
	p.messages.Add(1)
	r, err := p.reply(list[0])
	return []limit.TokenReply{r}, err
}

var acme = route.Workspace{Name: "acme", Keys: []string{"k"}, Rate: 100, Burst: 100}

// newLimiter returns the limiter of a node that issues no tokens, in a fleet of which the given
// nodes do.
func newLimiter(t testing.TB, p *peers, terms limit.Terms, nodes ...string) *Limiter {
	t.Helper()
	policy, err := route.New(1, route.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}, []string{"shop"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if policy, err = policy.WithWorkspaces([]route.Workspace{acme}); err != nil {
		t.Fatal(err)
	}
	var d server.Directory
	for _, node := range nodes {
		d, _ = d.WithRecords(server.Record{Node: node, Service: "shop", Address: node})
	}
	snapshot := &roster.Snapshot{Policy: policy, Directory: d}
	return New(Config{
		Node: "own", Snapshot: func() *roster.Snapshot { return snapshot }, Peers: p, Terms: terms,
		Clock: clock.System{}, Log: hclog.NewNullLogger(), Counter: meter.New(),
	})
}

// spend has n requests spend a token at once and returns how many got none, by kind of error.
func spend(l *Limiter, n int) map[gd.Kind]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	kinds := map[gd.Kind]int{}
	for range n {
		wg.Go(func() {
			if _, _, err := l.Spend(context.Background(), &acme, l.cfg.Clock.Monotonic()+time.Minute); err != nil {
				mu.Lock()
				defer mu.Unlock()
				kinds[gd.KindOf(err)]++
			}
		})
	}
	wg.Wait()
	return kinds
}

// longTerms keep requests waiting and tokens valid for longer than any test takes.
var longTerms = limit.Terms{Hold: time.Minute, Query: time.Minute}

// TestRequestsShareMessages guards against a message for each of many requests that come at
// once, or that are refused before a token is due.
func TestRequestsShareMessages(t *testing.T) {
	is := is.New(t)
	const n = 50
	release := make(chan struct{})
	p := &peers{reply: func(limit.TokenRequest) (limit.TokenReply, error) {
		<-release
		return limit.TokenReply{Granted: n}, nil
	}}
	l := newLimiter(t, p, longTerms, "a", "b", "c", "d")
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	is.Equal(len(spend(l, n)), 0)
	is.True(p.messages.Load() <= 4) // one for each issuer if the replies are overdue

	p.reply = func(limit.TokenRequest) (limit.TokenReply, error) { return limit.TokenReply{Wait: time.Minute}, nil }
	before := p.messages.Load()
	is.True(spend(l, 2*n)[gd.RateLimited] >= n) // the others got tokens that were left
	is.True(p.messages.Load()-before <= 4)      // one for each issuer
}

// TestNoIssuerResponds guards against a response with 429 to a request that may be within its
// quota, and against requests that wait for nodes that do not respond.
func TestNoIssuerResponds(t *testing.T) {
	is := is.New(t)
	p := &peers{reply: func(limit.TokenRequest) (limit.TokenReply, error) {
		return limit.TokenReply{}, gd.Unavailable.Errorf("test")
	}}
	l := newLimiter(t, p, longTerms, "a", "b", "c")
	is.Equal(spend(l, 1), map[gd.Kind]int{gd.NotReady: 1})
	is.True(p.messages.Load() >= 3) // every issuer was asked
	p.reply = func(limit.TokenRequest) (limit.TokenReply, error) { return limit.TokenReply{Unknown: true}, nil }
	is.Equal(spend(newLimiter(t, p, longTerms, "a"), 1), map[gd.Kind]int{gd.NotReady: 1})
}

// TestNewQuota guards against refusals of all requests of a workspace for the time in which a
// version of the policy that gives it a quota spreads to the issuers.
func TestNewQuota(t *testing.T) {
	is := is.New(t)
	p := &peers{reply: func(limit.TokenRequest) (limit.TokenReply, error) { return limit.TokenReply{Unknown: true}, nil }}
	l := newLimiter(t, p, longTerms, "a", "own")
	with := *l.cfg.Snapshot()
	before := with
	var err error
	before.Policy, err = with.Policy.WithWorkspaces([]route.Workspace{{Name: "acme", Keys: []string{"k"}}})
	is.NoErr(err)
	l.cfg.Snapshot = func() *roster.Snapshot { return &before }
	l.refresh()
	l.cfg.Snapshot = func() *roster.Snapshot { return &with }
	is.Equal(len(spend(l, 1)), 0)
	is.Equal(l.IssueTokens([]limit.TokenRequest{{Key: "acme", Want: 10}})[0].Granted, 10) // this node knows it
	elsewhere := newLimiter(t, p, longTerms, "a")
	elsewhere.cfg.Snapshot = func() *roster.Snapshot { return &before }
	elsewhere.refresh()
	noOwn := with
	noOwn.Directory = noOwn.Directory.Without("own")
	elsewhere.cfg.Snapshot = func() *roster.Snapshot { return &noOwn }
	is.Equal(len(spend(elsewhere, 1)), 0) // no issuer knows it
}

// BenchmarkSpendOverQuota measures a request that is refused before a token is due.
func BenchmarkSpendOverQuota(b *testing.B) {
	p := &peers{reply: func(limit.TokenRequest) (limit.TokenReply, error) { return limit.TokenReply{Wait: time.Hour}, nil }}
	l := newLimiter(b, p, longTerms, "a")
	spend(l, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := l.Spend(context.Background(), &acme, time.Hour); err == nil {
			b.Fatal("a request over the quota got a token")
		}
	}
}

// TestLateTokensAreUsed guards against tokens that are lost because the issuer took longer than
// limit.AskTimeout to reply.
func TestLateTokensAreUsed(t *testing.T) {
	is := is.New(t)
	p := &peers{reply: func(limit.TokenRequest) (limit.TokenReply, error) {
		time.Sleep(2 * limit.AskTimeout)
		return limit.TokenReply{Granted: 1}, nil
	}}
	l := newLimiter(t, p, longTerms, "a", "b", "c", "d")
	is.Equal(len(spend(l, 1)), 0)
}
