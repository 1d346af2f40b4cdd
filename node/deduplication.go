package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/claim"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/table"
)

// Limits of the responses stored for repeated calls: of one, and of all.
const (
	maxStoredResponseBytes = 64 << 10
	maxStoredTotalBytes    = 16 << 20
)

// dedupCache stores the responses of calls with an idempotency key for repeated
// calls with the same key.
type dedupCache struct {
	mu    sync.Mutex
	runs  map[claim.Key]*firstRun
	order []claim.Key // oldest first
	bytes int
}

// firstRun is the run of the first call with a key.
type firstRun struct {
	at       clock.Time
	done     chan struct{} // closed when the fields below are set
	ran      bool          // the server may have received the call
	response *http.Response
	body     []byte
	err      error
}

func newDedupCache() *dedupCache { return &dedupCache{runs: map[claim.Key]*firstRun{}} }

// begin returns the run of k and whether it is new, in which case the call must be
// run. It starts a new run if there is none or if the last one did not reach the
// server.
func (d *dedupCache) begin(k claim.Key, now clock.Time) (*firstRun, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evict(now)
	if run, ok := d.runs[k]; ok && !run.retryable() {
		return run, false
	}
	run := &firstRun{at: now, done: make(chan struct{})}
	if _, ok := d.runs[k]; !ok {
		d.order = append(d.order, k)
	}
	d.runs[k] = run
	return run, true
}

// retryable reports whether the run ended without reaching the server.
func (f *firstRun) retryable() bool {
	select {
	case <-f.done:
		return !f.ran
	default:
		return false
	}
}

// evict removes the runs whose claims are past retention, and drops the oldest
// responses while the stored bytes are over the limit. A run whose response was
// dropped stays recorded, because the claim in the platform belongs to this
// process and would not keep it from running the call again.
func (d *dedupCache) evict(now clock.Time) {
	for len(d.order) > 0 && d.runs[d.order[0]].at.Add(claim.Retention+evictionDelay) < now {
		k := d.order[0]
		d.order = d.order[1:]
		d.bytes -= len(d.runs[k].body)
		delete(d.runs, k)
	}
	for _, k := range d.order {
		if d.bytes <= maxStoredTotalBytes {
			return
		}
		run := d.runs[k]
		if len(run.body) == 0 {
			continue
		}
		d.bytes -= len(run.body)
		run.body, run.response = nil, nil
		run.err = gd.Duplicate.Errorf("the call ran, but its response is no longer stored")
	}
}

// evictionDelay keeps a run recorded for longer than its claim is retained.
const evictionDelay = time.Minute

// finish records the result of the run.
func (d *dedupCache) finish(run *firstRun, ran bool, res *http.Response, body []byte, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run.ran, run.response, run.body, run.err = ran, res, body, err
	d.bytes += len(body)
	close(run.done)
}

// doDeduplicated runs a call with an idempotency key at most once, or returns the
// response of the first run. The run continues if the ingress disconnects, so
// that a repeated call finds its response.
func (s *scheduler) doDeduplicated(ctx context.Context, c *call, row *table.Row) (*http.Response, error) {
	k := claim.KeyOf(c.service, c.caller, c.key)
	run, first := s.dedupCache.begin(k, s.n.cfg.Clock.Now())
	if !first {
		s.leaveMeter(c)
		return s.awaitResponse(ctx, run)
	}
	s.calls.Add(1)
	runCtx, cancel := c.withDeadline(context.WithoutCancel(ctx), s.now())
	go func() {
		defer s.calls.Done()
		defer s.leaveMeter(c)
		defer cancel()
		s.runFirst(runCtx, c, row, run, k)
	}()
	return s.awaitResponse(ctx, run)
}

// leaveMeter records the end of the call in the meter.
func (s *scheduler) leaveMeter(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Leave(c.caller)
}

// awaitResponse waits until the run ends and returns its response.
func (s *scheduler) awaitResponse(ctx context.Context, run *firstRun) (*http.Response, error) {
	select {
	case <-run.done:
	case <-ctx.Done():
		return nil, gd.Duplicate.Errorf("the first call with this key is still running")
	}
	return s.dedupCache.response(run)
}

// response returns a copy of the run's response.
func (d *dedupCache) response(run *firstRun) (*http.Response, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.err != nil {
		return nil, run.err
	}
	res := *run.response
	res.Header = run.response.Header.Clone()
	res.Body = io.NopCloser(bytes.NewReader(run.body))
	return &res, nil
}

// runFirst runs the call and records the result. It claims the key while the
// call waits for its slot.
func (s *scheduler) runFirst(ctx context.Context, c *call, row *table.Row, run *firstRun, k claim.Key) {
	claimed := make(chan error, 1)
	go func() { claimed <- s.claim(ctx, c, k) }()
	res, err := s.doAdmitted(ctx, c, row, claimed)
	if err != nil {
		ran := gd.KindOf(err).Response().Outcome != gd.NotRun
		s.dedupCache.finish(run, ran, nil, nil, err)
		return
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxStoredResponseBytes+1))
	res.Body.Close()
	switch {
	case err != nil:
		err = gd.Unknown.Errorf("the server's response was incomplete")
	case len(body) > maxStoredResponseBytes:
		err = gd.Duplicate.Errorf("the call ran, but its response of more than %d bytes is not stored", maxStoredResponseBytes)
	}
	s.dedupCache.finish(run, true, res, body, err)
}

// claim claims the key in the platform. It also succeeds if this process made
// the claim for an earlier call that did not reach the server.
func (s *scheduler) claim(ctx context.Context, c *call, k claim.Key) error {
	existing, mine, err := s.claims.Claim(ctx, c.service, k)
	if err != nil || mine {
		return err
	}
	if existing.Holder == (claim.Holder{Node: s.n.name, Incarnation: s.n.incarnation}) {
		return nil // begin has checked that the earlier call did not run
	}
	s.n.log.Info("repeated call refused: another process holds its claim", "caller", c.caller, "service", c.service, "claimed-by", existing.Holder.Node)
	return gd.Duplicate.Errorf("node %s has claimed a call with this key; its response is not available here", existing.Holder.Node)
}
