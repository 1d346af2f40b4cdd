package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
)

// sampleEvery is the share of the requests that went well of which a line is
// written, the same on all nodes for one request.
const sampleEvery = 64

// status returns the answer's status for a kind of error. Only 503 says that
// the request has not run.
func status(k gd.Kind) int {
	switch k {
	case gd.NoRoute:
		return http.StatusNotFound
	case gd.Malformed:
		return http.StatusBadRequest
	case gd.TooLarge:
		return http.StatusRequestEntityTooLarge
	case gd.TimedOut:
		return http.StatusGatewayTimeout
	}
	if k.Answer().Outcome == gd.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// refuse gives an answer of the node itself.
func (j *journey) refuse(err error, comeBack time.Duration) *http.Response {
	kind := gd.KindOf(err)
	code := status(kind)
	text := kind.String() + ": " + gd.Message(err) + "\n"
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if code == http.StatusServiceUnavailable {
		if comeBack <= 0 {
			comeBack = comeBackDefault
		}
		h.Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
	}
	if j.id != "" {
		platform.SetRequestID(h, j.id)
	}
	j.log(code, err, "retry-after", h.Get("Retry-After"))
	return &http.Response{StatusCode: code, Header: h, Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text))}
}

// routeKind says whether the request may run more than once.
func (j *journey) routeKind() string {
	switch {
	case j.route == nil:
		return "none"
	case j.route.Idempotent:
		return "idempotent"
	}
	return "once"
}

// log writes the line of the request, with more fields, and has its outcome
// counted.
func (j *journey) log(code int, err error, more ...any) {
	now := j.g.cfg.Clock.Monotonic()
	o := Outcome{Status: code, Route: j.routeKind(), Took: now - j.began, Tries: j.search.Asked(), Reached: j.reached}
	if err != nil {
		o.Failed, o.Kind = true, gd.KindOf(err)
	}
	j.g.cfg.Observe(o)
	if err == nil && code < http.StatusInternalServerError && xxhash.Sum64String(j.id)%sampleEvery != 0 {
		return
	}
	fields := []any{"id", j.id, "status", code, "took", o.Took.String(), "service", j.service,
		"tries", strings.Join(j.steps, ", "), "reached", j.reached, "servers", len(j.snapshot.Serving[j.service])}
	if j.route != nil {
		fields = append(fields, "route", j.route.Name, "left", (j.final - now).String())
	}
	if j.givenUp != "" {
		fields = append(fields, "given-up", j.givenUp)
	}
	if j.snapshot.Policy != nil {
		fields = append(fields, "version", j.snapshot.Policy.Version)
	}
	if err != nil {
		fields = append(append(fields, "kind", o.Kind.String(), "error", gd.Message(err)), more...)
	}
	j.g.cfg.Log.Info(event.RequestEnded, fields...)
}
