package ingress

import (
	"context"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/limit"
)

// Quota limits the requests of workspaces over all nodes.
type Quota interface {
	// Spend spends a token of w for a request whose response is due at the monotonic time
	// deadline, or returns an error and the time until a token may be due.
	Spend(ctx context.Context, w *route.Workspace, deadline time.Duration) (limit.Token, time.Duration, error)
	// Return gives back a token that was spent for a request which no server has run.
	Return(w *route.Workspace, t limit.Token)
}

// spendToken spends a token if the workspace of the request has a quota. The attempts that
// follow spend none: a request counts once however often the node retries it.
func (s *requestState) spendToken(ctx context.Context) error {
	if s.workspace == nil || !s.workspace.HasQuota() || s.g.cfg.Quota == nil {
		return nil
	}
	var err error
	s.token, s.quotaWait, err = s.g.cfg.Quota.Spend(ctx, s.workspace, s.deadline)
	s.hasToken = err == nil
	return err
}

// returnToken gives back the token of a request that no server may have run.
func (s *requestState) returnToken() {
	if s.hasToken && !s.ran {
		s.g.cfg.Quota.Return(s.workspace, s.token)
	}
}
