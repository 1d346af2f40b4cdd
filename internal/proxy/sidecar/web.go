package sidecar

import (
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
)

const (
	webHeaderTimeout = 5 * time.Second  // for the head of a call of the platform
	webIdleTimeout   = 30 * time.Second // between two calls on a connection
)

// readiness tells whether clients may be sent here.
func (s *Sidecar) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if s.closing.Load() || s.roster.Snapshot().Policy == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// announcements takes what the backend server says of itself. It answers from
// memory: the station obeys at once, and the fleet is told afterwards.
func (s *Sidecar) announcements() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.AnnouncePattern, func(w http.ResponseWriter, r *http.Request) {
		a, err := platform.DecodeAnnouncement(r)
		if err == nil {
			err = s.station.HandleAnnouncement(a)
		}
		s.acknowledge(w, r, err)
	})
	mux.HandleFunc(platform.LeavePattern, func(w http.ResponseWriter, r *http.Request) {
		instance, started, err := platform.DecodeLeave(r)
		if err == nil {
			s.station.HandleLeave(instance, started)
		}
		s.acknowledge(w, r, err)
	})
	return mux
}

func (s *Sidecar) acknowledge(w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		s.cfg.Log.Warn(event.AnnounceRefused, "path", r.URL.Path, "remote", r.RemoteAddr, "error", gd.Message(err))
		http.Error(w, gd.Message(err), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}")) // a server that does not get it repeats itself
}
