package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/server"
)

// searchShare is the share of the time to its objective that a request may
// spend on the search of a free slot. On small processors a node takes 20 ms to
// ask another.
const searchShare = 0.1

// maxTries bounds the nodes that one request is offered to.
const maxTries = 12

// run tries nodes until one answers or nothing is left to try.
func (j *journey) run(ctx context.Context) *http.Response {
	ctx, cancel := context.WithTimeout(ctx, j.final-j.began)
	a := j.tryAll(ctx)
	if a.Response == nil {
		defer cancel()
		return j.fail(ctx, a)
	}
	return j.answer(cancel, a)
}

// tryAll returns the answer of a server, or what became of the last try.
func (j *journey) tryAll(ctx context.Context) request.Answer {
	var last request.Answer
	for j.search.Asked() < maxTries {
		rec, mayWait, ok := j.next()
		if !ok {
			break
		}
		a := j.try(ctx, rec, mayWait)
		if last.Response != nil {
			last.Response.Body.Close()
		}
		last = a
		if a.Response != nil && !j.isWorthRepeating(a) || !j.mayGoOn(ctx, a) {
			break
		}
	}
	return last
}

// next chooses the node to ask: one that may have a free slot, or, after some
// had none, the one of these where the request is served first.
func (j *journey) next() (rec server.Record, mayWait, ok bool) {
	g := j.g
	serving := j.serving()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Monotonic()
	if g.directory != j.snapshot.Directory.Generation() {
		g.directory = j.snapshot.Directory.Generation()
		g.estimates.Retain(func(node string) bool { _, ok := j.snapshot.Directory.Record(node); return ok })
	}
	if now-j.began > time.Duration(searchShare*float64(j.objective-j.began)) {
		j.search.End()
	}
	return g.estimates.Next(now, j.route.Name, serving, &j.search)
}

// try sends the request to a node.
func (j *journey) try(ctx context.Context, rec server.Record, mayWait bool) request.Answer {
	g := j.g
	r, err := j.request(mayWait)
	if err != nil {
		return request.Failed(gd.Hopeless.Wrapf(err, "the request cannot be sent again"), j.ran)
	}
	g.mu.Lock()
	g.estimates.Sent(rec.Node)
	g.mu.Unlock()
	var a request.Answer
	if rec.Node == g.cfg.Node {
		r.Local = true
		a = g.cfg.Station.Do(ctx, r)
	} else {
		a = g.cfg.Peers.Do(ctx, rec.Address, r)
	}
	if a.Response != nil {
		a = j.hold(ctx, a)
	}
	j.learn(ctx, rec, a)
	return a
}

// request describes the next try.
func (j *journey) request(mayWait bool) (request.Request, error) {
	var in io.ReadCloser
	if j.r.Body != nil {
		var err error
		if in, err = j.r.Body.Reader(); err != nil {
			return request.Request{}, err
		}
	}
	now := j.g.cfg.Clock.Monotonic()
	return request.Request{
		ID: j.id, Service: j.service, Caller: j.g.cfg.Service,
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host,
		Header: pool.EndToEnd(j.r.Header), Body: in, ContentLength: j.r.ContentLength,
		Class: j.route.Name, Idempotent: j.route.Idempotent, Priority: j.route.Priority,
		Left: max(j.final-now, 0), Objective: j.objective - now,
		MayWait: mayWait, Fingerprint: j.fingerprint(),
	}, nil
}

// hold reads the start of the answer's body, so that one that is cut can be
// told from a whole one.
func (j *journey) hold(ctx context.Context, a request.Answer) request.Answer {
	held, whole, err := body.Hold(a.Response)
	switch {
	case err != nil:
		a.Response.Body.Close()
		kind := gd.Unknown
		if ctx.Err() != nil {
			kind = gd.TimedOut
		}
		a.Response, a.Err = nil, kind.Wrapf(err, "the answer was cut")
	case whole:
		a.Response.Body.Close()
		body.WithHeld(a.Response, held)
	default:
		a.Response.Body = body.Join(held, a.Response.Body)
	}
	return a
}

// learn takes what a try shows of the node and of the request.
func (j *journey) learn(ctx context.Context, rec server.Record, a request.Answer) {
	j.search.WasAsked(rec.Node, a.Response == nil && gd.QueueFull.Is(a.Err))
	j.steps = append(j.steps, rec.Node+" "+stepName(a))
	if a.Reached {
		j.reached++
		j.ran = j.ran || !a.IsNotRun()
	}
	g := j.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Monotonic()
	g.estimates.Ended(rec.Node)
	if a.HasLoad {
		g.estimates.Heard(now, rec.Node, a.Load)
	}
	switch {
	case a.Response != nil:
		g.estimates.Transferred(j.route.Name, max(j.r.ContentLength, 0)+max(a.Response.ContentLength, 0))
		if a.Response.StatusCode >= http.StatusInternalServerError {
			g.estimates.Failed(now, rec.Node)
		}
	case gd.NoServer.Is(a.Err) && !a.HasLoad, gd.Misplaced.Is(a.Err):
		g.estimates.Unreachable(now, rec)
	case ctx.Err() == nil && a.Reached, gd.NoServer.Is(a.Err):
		g.estimates.Failed(now, rec.Node)
	}
}

func stepName(a request.Answer) string {
	switch {
	case a.Shed:
		return "shed"
	case a.Response != nil:
		return "answer"
	}
	return gd.KindOf(a.Err).String()
}

// isWorthRepeating reports whether another server may give a better answer.
func (j *journey) isWorthRepeating(a request.Answer) bool {
	status := a.Response.StatusCode
	if a.Shed {
		return true
	}
	return j.route.Idempotent && status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

// Reasons why a request is not sent to another server.
const (
	gaveUpLeft      = "client-left"
	gaveUpTime      = "no-time"
	gaveUpBody      = "body-cut"
	gaveUpHopeless  = "hopeless"
	gaveUpSuspected = "quarantined"
	gaveUpRan       = "may-have-run"
	gaveUpAttempts  = "attempts-used"
	gaveUpBudget    = "no-budget"
)

// mayGoOn reports whether the request may be sent to another server after a. If
// not, it notes why.
func (j *journey) mayGoOn(ctx context.Context, a request.Answer) bool {
	j.givenUp = j.obstacle(ctx, a)
	return j.givenUp == ""
}

// obstacle returns why the request may not be sent to another server after a, or
// "". Where nothing else is in the way, it takes a repeat from the budget.
func (j *journey) obstacle(ctx context.Context, a request.Answer) string {
	now := j.g.cfg.Clock.Monotonic()
	switch {
	case now >= j.final:
		return gaveUpTime
	case ctx.Err() != nil:
		return gaveUpLeft
	case j.r.Body != nil && j.r.Body.Err() != nil:
		return gaveUpBody
	case a.Response == nil && gd.Hopeless.Is(a.Err):
		return gaveUpHopeless
	case gd.Quarantined.Is(a.Err):
		return gaveUpSuspected
	case !a.Reached:
		return ""
	case j.ran && !j.route.Idempotent:
		return gaveUpRan
	case j.reached >= j.route.Attempts:
		return gaveUpAttempts
	}
	j.g.mu.Lock()
	defer j.g.mu.Unlock()
	if !j.g.budget.Take(now, j.service, j.snapshot.Nodes()) {
		return gaveUpBudget
	}
	return ""
}

// answer passes on the answer of a server. The request's context ends with the
// answer's body.
func (j *journey) answer(cancel context.CancelFunc, a request.Answer) *http.Response {
	res := a.Response
	if a.Shed && j.ran {
		// An earlier try may have run, so this answer would promise too much.
		res.Body.Close()
		cancel()
		return j.refuse(gd.Unknown.Errorf("a server may have run the request"), 0)
	}
	j.log(res.StatusCode, nil)
	return &http.Response{
		StatusCode: res.StatusCode, Header: pool.EndToEnd(res.Header),
		Body: &lasting{res.Body, cancel}, ContentLength: res.ContentLength,
	}
}

// fail gives the final answer where no server gave one.
func (j *journey) fail(ctx context.Context, last request.Answer) *http.Response {
	err := last.Err
	if j.r.Body != nil {
		if cut := j.r.Body.Err(); gd.Malformed.Is(cut) || gd.TooLarge.Is(cut) {
			return j.refuse(cut, 0)
		}
	}
	switch {
	case err == nil:
		err = gd.NoServer.Errorf("no server of %s is known", j.service)
	case j.ran && gd.KindOf(err).Answer().Outcome == gd.NotRun:
		err = gd.Unknown.Wrapf(err, "an earlier try may have run")
	case !j.ran && !last.Reached && ctx.Err() != nil:
		err = gd.Hopeless.Wrapf(err, "no server took the request in time")
	}
	return j.refuse(err, last.ComeBack)
}

// lasting is a body that is passed on while it arrives. Closing it ends the
// request.
type lasting struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the request.
func (l *lasting) Close() error {
	err := l.ReadCloser.Close()
	l.cancel()
	return err
}

// comeBackDefault is named where no server told when it will have room.
const comeBackDefault = 200 * time.Millisecond
