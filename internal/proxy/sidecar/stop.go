package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// readinessLag is how long after SIGTERM the platform may still send clients
	// here: it checks readiness once a second and acts on the second failure.
	readinessLag = 2500 * time.Millisecond
	// handoverDelay is how long after SIGTERM the server beside the node still gets
	// requests of other nodes. The node has to run for readinessLag in any case, and
	// a request takes a part of that time. If nodes are restarted one after the
	// other, their servers would be idle all that time.
	handoverDelay = 1200 * time.Millisecond
	// maxHandoverShare is the largest fraction of the grace period that the
	// hand-over may take, as requests have to finish after it.
	maxHandoverShare = 1.0 / 3
	// stopMargin is the part of the grace period that is reserved for closing
	// connections after the last response: a sixth of the default grace period.
	stopMargin       = time.Second
	stopPollInterval = 50 * time.Millisecond
)

// Close shuts the node down gracefully: it tells the platform and the other nodes
// that the node is leaving, finishes the accepted requests, and stops all servers
// and services.
func (s *Sidecar) Close() error {
	s.closeOnce.Do(s.close)
	return nil
}

func (s *Sidecar) close() {
	grace := s.cfg.Settings.Bounds.GracePeriod() - stopMargin
	began := s.cfg.Clock.Monotonic()
	s.cfg.Log.Info(event.Stopping, "active", s.clientServer.Active(), "at-server", s.station.Active(), "grace", grace.String())
	s.closing.Store(true)
	s.ingress.StopAt(began + grace)
	s.station.StopAt(began + grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.clientServer.Drain()
	s.awaitHandover(began, grace)
	s.station.Drain()
	s.roster.Leave(ctx)
	s.awaitIdle(ctx, began)
	s.stop(ctx)
	s.cfg.Log.Info(event.Stopped, "took", (s.cfg.Clock.Monotonic() - began).String())
}

// stop stops all servers and services. Requests that are still running when ctx
// ends are aborted.
func (s *Sidecar) stop(ctx context.Context) {
	if err := s.clientServer.Close(ctx); err != nil {
		s.cfg.Log.Warn(event.Stopping, "error", err)
	}
	if err := s.peerServer.Close(ctx); err != nil {
		s.cfg.Log.Warn(event.Stopping, "error", err)
	}
	for _, w := range s.web {
		w.Close() // needs no drain: the platform can repeat these calls
	}
	s.cancel()
	<-s.done
	s.peerClient.Close()
	s.station.Close()
}

// Kill stops the node without notice to the platform or other nodes, like a crash.
func (s *Sidecar) Kill() {
	s.closeOnce.Do(func() {
		s.closing.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.stop(ctx)
	})
}

// awaitHandover waits for handoverDelay after began, and then until the service has a
// server other than the one beside this node, but no longer than until readinessLag
// after began. It does not wait if the server beside this node is not available.
func (s *Sidecar) awaitHandover(began, grace time.Duration) {
	delay := min(handoverDelay, time.Duration(maxHandoverShare*float64(grace)))
	longest := min(readinessLag, grace)
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for passed := time.Duration(0); passed < longest; passed = s.cfg.Clock.Monotonic() - began {
		if serving := s.ownServing(); len(serving) == 0 || passed >= delay && len(serving) > 1 {
			return
		}
		<-t.C
	}
}

// ownServing returns the available servers of the service to which the server beside
// the node belongs, without those beside nodes that do not respond, or none if that server
// is not available.
func (s *Sidecar) ownServing() []server.Record {
	snapshot := s.roster.Snapshot()
	own, ok := snapshot.Directory.Record(s.cfg.Settings.Node)
	if !ok || own.State != server.Up {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Serving[own.Service]), func(r server.Record) bool { return snapshot.IsSilent(r.Node) })
}

// awaitIdle waits until the platform sends no more clients here and all accepted
// requests are finished.
func (s *Sidecar) awaitIdle(ctx context.Context, began time.Duration) {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for {
		passed := s.cfg.Clock.Monotonic() - began
		if passed >= readinessLag && s.clientServer.Active() == 0 && s.station.Active() == 0 {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
