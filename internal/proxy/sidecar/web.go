package sidecar

import (
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

// announcements returns the handler of the backend server's announcements and
// leave notices. It responds without waiting for the store or other nodes: the
// station applies an announcement at once and the roster passes it on afterwards.
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
