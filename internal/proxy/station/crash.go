package station

import (
	"context"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// recordFailure records a failed exchange with the server. If the request may have
// reached the server, it counts as interrupted and the server is probed. Otherwise
// the server is marked as down.
func (s *Station) recordFailure(ctx context.Context, id uint64, result pool.Result) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.failureRate += failureRateSmoothing * (1 - s.failureRate)
	if result.Reached {
		if now-s.interruptedAt > crashWindow {
			s.interrupted = nil
		}
		if len(s.interrupted) < maxSuspects {
			s.interrupted = append(s.interrupted, s.inFlight[id])
		}
		s.interruptedAt = now
		if !s.probing {
			s.probing = true
			s.tasks.Go(s.probe)
		}
		return
	}
	s.markDown(now, result.Err)
}

// probeDelay is the time from an interrupted request to the probe of the server.
const probeDelay = 20 * time.Millisecond

// probe checks whether the server still accepts connections, so that a crash is
// detected before another request is sent.
func (s *Station) probe() {
	time.Sleep(probeDelay)
	err := s.pool.Probe(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
	if gd.NoServer.Is(err) {
		s.markDown(s.now(), err)
	}
}

// markDown marks the server as lost until its next announcement, refuses the queued
// requests, and reports the interrupted ones. The caller holds s.mu.
func (s *Station) markDown(now time.Duration, cause error) {
	if s.state != server.Up {
		return
	}
	s.state = server.Lost
	s.cfg.Log.Warn(event.ServerDown, "instance", s.server.Instance, "error", errorText(cause), "cut", len(s.interrupted))
	for _, it := range s.queue.Clear() {
		s.refuse(it.ID, gd.WrongInstance.Errorf("the server beside node %s is down", s.cfg.Node))
	}
	s.reportCrash(now)
	s.publishRecord()
}

// reportCrash reports the interrupted requests as suspects if the last of them was
// interrupted within crashWindow. The caller holds s.mu.
func (s *Station) reportCrash(now time.Duration) {
	if len(s.interrupted) == 0 || now-s.interruptedAt > crashWindow {
		return
	}
	s.crashes++
	reports := make([]quarantine.Report, 0, len(s.interrupted))
	for _, fp := range s.interrupted {
		reports = append(reports, quarantine.Report{
			Fingerprint: fp, Node: s.cfg.Node, Incarnation: uint64(s.server.Started) + s.crashes,
			At: s.cfg.Clock.Now(), Alone: len(s.interrupted) == 1,
		})
	}
	s.interrupted = nil
	s.cfg.Log.Warn(event.RequestsSuspected, "instance", s.server.Instance, "requests", len(reports))
	s.cfg.Report(reports)
}
