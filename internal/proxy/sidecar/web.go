package sidecar

import (
	"context"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
)

const (
	webHeaderTimeout = 5 * time.Second  // for the request header
	webIdleTimeout   = 30 * time.Second // between two requests on a connection
)

// readiness returns the handler of the platform's readiness check.
func (s *Sidecar) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if s.closing.Load() || s.roster.Snapshot().Policy == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// departureWait is how long the response to the notice that a server drains or has left may
// wait for the store. The platform expects a response within a second.
const departureWait = 300 * time.Millisecond

// announcements returns the handler of the backend server's announcements and
// leave notices. The station applies an announcement at once and the roster passes it on
// afterwards. Only the response to a notice that the server drains or has left waits until
// the store has it, so that it outlasts all processes that know it; if the store does not
// respond in time, the next process of this node finds out by itself (see Station.Adopt).
func (s *Sidecar) announcements() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.AnnouncePattern, func(w http.ResponseWriter, r *http.Request) {
		a, err := platform.DecodeAnnouncement(r)
		if err == nil {
			err = s.station.HandleAnnouncement(a)
		}
		if err == nil && a.Draining {
			s.awaitStored(r.Context(), a.Instance)
		}
		s.acknowledge(w, r, err)
	})
	mux.HandleFunc(platform.LeavePattern, func(w http.ResponseWriter, r *http.Request) {
		instance, started, err := platform.DecodeLeave(r)
		if err == nil {
			s.station.HandleLeave(instance, started)
			s.awaitStored(r.Context(), instance)
		}
		s.acknowledge(w, r, err)
	})
	return mux
}

// awaitStored waits until the store has the departure of the server, up to departureWait.
func (s *Sidecar) awaitStored(ctx context.Context, instance string) {
	ctx, cancel := context.WithTimeout(ctx, departureWait)
	defer cancel()
	if !s.roster.AwaitStored(ctx) {
		s.cfg.Log.Warn(event.DepartureNotStored, "instance", instance, "waited", departureWait.String())
	}
}

// acknowledge responds to an announcement or leave notice.
func (s *Sidecar) acknowledge(w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		s.cfg.Log.Warn(event.AnnouncementRefused, "path", r.URL.Path, "remote", r.RemoteAddr, "error", gd.Message(err))
		http.Error(w, gd.Message(err), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}")) // a server that gets no response repeats its announcement
}
