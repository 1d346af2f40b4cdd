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

// Bounds of the answers that are kept for repeats.
const (
	maxAnswerBytes  = 64 << 10
	maxAnswersBytes = 16 << 20
)

// replays keeps the first answers of claimed calls for their repeats.
type replays struct {
	mu    sync.Mutex
	runs  map[claim.Key]*firstRun
	order []claim.Key // oldest first
	bytes int
}

// firstRun is the run that a claim was made for.
type firstRun struct {
	at     clock.Time
	done   chan struct{} // closed when outcome and answer are set
	ran    bool          // the server may have seen it
	answer *http.Response
	body   []byte
	err    error
}

func newReplays() *replays { return &replays{runs: map[claim.Key]*firstRun{}} }

// begin returns the run of k, and whether the caller is to run it. A run that
// never reached the server is given to the next caller.
func (r *replays) begin(k claim.Key, now clock.Time) (*firstRun, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(now)
	if run, ok := r.runs[k]; ok && !run.free() {
		return run, false
	}
	run := &firstRun{at: now, done: make(chan struct{})}
	if _, ok := r.runs[k]; !ok {
		r.order = append(r.order, k)
	}
	r.runs[k] = run
	return run, true
}

// free reports whether the run ended without the server having seen it.
func (f *firstRun) free() bool {
	select {
	case <-f.done:
		return !f.ran
	default:
		return false
	}
}

// evict forgets the runs whose claims are past retention, and drops the oldest
// answers while they are over the bound. A run whose answer was dropped is
// remembered as run: the claim in the platform would let this process run it
// again.
func (r *replays) evict(now clock.Time) {
	for len(r.order) > 0 && r.runs[r.order[0]].at.Add(claim.Retention+evictSlack) < now {
		k := r.order[0]
		r.order = r.order[1:]
		r.bytes -= len(r.runs[k].body)
		delete(r.runs, k)
	}
	for _, k := range r.order {
		if r.bytes <= maxAnswersBytes {
			return
		}
		run := r.runs[k]
		if len(run.body) == 0 {
			continue
		}
		r.bytes -= len(run.body)
		run.body, run.answer = nil, nil
		run.err = gd.Duplicate.Errorf("the call ran, its answer is not kept any more")
	}
}

// evictSlack keeps a run known for longer than its claim stands.
const evictSlack = time.Minute

// finish notes the outcome of the run.
func (r *replays) finish(run *firstRun, ran bool, res *http.Response, body []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ran, run.answer, run.body, run.err = ran, res, body, err
	r.bytes += len(body)
	close(run.done)
}

// doOnce runs a call with an idempotency key at most once, or returns the
// answer of the first run. The run is not cut short when the ingress goes away,
// so that a repeat finds its answer.
func (s *station) doOnce(ctx context.Context, c *call, row *table.Row) (*http.Response, error) {
	k := claim.KeyOf(c.service, c.caller, c.key)
	run, first := s.replays.begin(k, s.n.cfg.Clock.Now())
	if !first {
		s.meterLeave(c)
		return s.firstAnswer(ctx, run)
	}
	s.calls.Add(1)
	runCtx, cancel := c.bound(context.WithoutCancel(ctx), s.now())
	go func() {
		defer s.calls.Done()
		defer s.meterLeave(c)
		defer cancel()
		s.runFirst(runCtx, c, row, run, k)
	}()
	return s.firstAnswer(ctx, run)
}

func (s *station) meterLeave(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Leave(c.caller)
}

// firstAnswer waits for the run and returns its answer.
func (s *station) firstAnswer(ctx context.Context, run *firstRun) (*http.Response, error) {
	select {
	case <-run.done:
	case <-ctx.Done():
		return nil, gd.Duplicate.Errorf("the call with this key has not ended yet")
	}
	return s.replays.answer(run)
}

// answer returns a copy of the run's answer.
func (r *replays) answer(run *firstRun) (*http.Response, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.err != nil {
		return nil, run.err
	}
	res := *run.answer
	res.Header = run.answer.Header.Clone()
	res.Body = io.NopCloser(bytes.NewReader(run.body))
	return &res, nil
}

// runFirst claims the key while the call waits for its slot, and runs it.
func (s *station) runFirst(ctx context.Context, c *call, row *table.Row, run *firstRun, k claim.Key) {
	claimed := make(chan error, 1)
	go func() { claimed <- s.claim(ctx, c, k) }()
	res, err := s.doAdmitted(ctx, c, row, claimed)
	if err != nil {
		ran := gd.KindOf(err).Answer().Outcome != gd.NotRun
		s.replays.finish(run, ran, nil, nil, err)
		return
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	res.Body.Close()
	switch {
	case err != nil:
		err = gd.Unknown.Errorf("the server's answer broke off")
	case len(body) > maxAnswerBytes:
		err = gd.Duplicate.Errorf("the call ran, its answer of more than %d bytes is not kept", maxAnswerBytes)
	}
	s.replays.finish(run, true, res, body, err)
}

// claim claims the key in the platform. A claim that this process made for an
// earlier call whose run never reached the server counts as made.
func (s *station) claim(ctx context.Context, c *call, k claim.Key) error {
	standing, mine, err := s.claims.Claim(ctx, c.service, k)
	if err != nil || mine {
		return err
	}
	if standing.Holder == (claim.Holder{Node: s.n.name, Incarnation: s.n.incarnation}) {
		return nil // this process holds it, and begin found that it did not run
	}
	s.n.log.Info("call repeated", "caller", c.caller, "service", c.service, "claimed-by", standing.Holder.Node)
	return gd.Duplicate.Errorf("a call with this key was claimed by node %s, its answer is not known here", standing.Holder.Node)
}
