package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/platform"
)

// quotaRecorder is a Quota that counts the tokens spent and returned.
type quotaRecorder struct {
	spent, returned int
	err             error
}

func (q *quotaRecorder) Spend(context.Context, *route.Workspace, time.Duration) (limit.Token, time.Duration, error) {
	q.spent++
	return limit.Token{}, 1500 * time.Millisecond, q.err
}

func (q *quotaRecorder) Return(*route.Workspace, limit.Token) { q.returned++ }

// TestRequestSpendsOneToken guards against retries that spend tokens, against tokens lost for
// requests that have not run, and against tokens returned for requests that may have run.
func TestRequestSpendsOneToken(t *testing.T) {
	for name, c := range map[string]struct {
		key             string
		results         []request.Result
		refusal         error
		status          int
		spent, returned int
	}{
		"served":                    {"k", []request.Result{ok()}, nil, 200, 1, 0},
		"refused, then served":      {"k", []request.Result{failed(gd.Draining, false), ok()}, nil, 200, 1, 0},
		"shed":                      {"k", []request.Result{shed()}, nil, 503, 1, 1},
		"reached no server":         {"k", []request.Result{failed(gd.DeadlineUnreachable, false)}, nil, 503, 1, 1},
		"may have run":              {"k", []request.Result{failed(gd.Unknown, true)}, nil, 502, 1, 0},
		"may have run, then shed":   {"k", []request.Result{failed(gd.Unknown, true), shed()}, nil, 502, 1, 0},
		"over the quota":            {"k", nil, gd.RateLimited.Errorf("test"), 429, 1, 0},
		"no issuer responds":        {"k", nil, gd.NotReady.Errorf("test"), 503, 1, 0},
		"workspace without a quota": {"free", []request.Result{ok()}, nil, 200, 0, 0},
		"unknown key":               {"else", nil, nil, 401, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &quotaRecorder{err: c.refusal}
			p := &peers{results: c.results}
			g := newIngress(t, p)
			g.cfg.Quota = q
			snapshot := g.cfg.Snapshot()
			policy, err := snapshot.Policy.WithWorkspaces([]route.Workspace{{Name: "w", Keys: []string{"k"}, Rate: 1}, {Name: "f", Keys: []string{"free"}}})
			is.NoErr(err)
			snapshot.Policy = policy
			h := http.Header{}
			platform.SetKey(h, c.key)
			res := handle(g, &http.Request{Method: http.MethodGet, Host: "h", RequestURI: "/reads/1", Header: h}, nil)
			is.Equal(res.StatusCode, c.status)
			is.Equal([2]int{q.spent, q.returned}, [2]int{c.spent, c.returned})
			if c.refusal != nil {
				is.Equal(res.Header.Get("Retry-After"), "1.500")
				is.Equal(len(p.asked), 0)
			}
		})
	}
}
