package station

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// crashWindow is the time after an interrupted request, or after the deadline of an
	// abandoned one, within which a refused connection counts as a crash due to it.
	crashWindow = 2 * time.Second
	// settleTime is the time after a complete response within which a crash may be due
	// to its request. A request that crashes a server does so while it runs or soon after.
	settleTime = 500 * time.Millisecond
	// maxSilence is how long requests that did not complete stay suspects after that time if
	// the server has responded to none since. It may have crashed without closing its
	// connections.
	maxSilence  = 30 * time.Second
	maxSuspects = 64 // requests reported for one crash
	// maxCompleted is the number of requests with complete responses among them.
	maxCompleted = 16
	// probeDelay is the time from an interrupted request to the probe of the server.
	probeDelay = 20 * time.Millisecond
)

// ending is how an exchange with the server ended. Of the suspects of a crash, those
// with the lower ending are reported first.
type ending int

const (
	interrupted ending = iota // the server closed the connection
	abandoned                 // the station closed the connection, and the server may work on
	completed                 // the request and the response were transferred completely
)

// suspect is a request that has ended, and to which a crash of the server may be due
// until the monotonic time until.
type suspect struct {
	fingerprint, head quarantine.Fingerprint
	ending            ending
	until             time.Duration
	innocent          []quarantine.Fingerprint // all its fingerprints, if it ran well
}

// recordFailure records a failed exchange with the server. If the request has reached
// the server, it is a suspect and the server is probed. Otherwise the server is marked as
// down.
func (s *Station) recordFailure(ctx context.Context, x *exchange, result pool.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		if result.Reached {
			s.addSuspect(x, abandoned)
		}
		return
	}
	s.failureRate += failureRateSmoothing * (1 - s.failureRate)
	if !result.Reached {
		s.markDown(s.now(), result.Err)
		return
	}
	s.addSuspect(x, interrupted)
	s.startProbe()
}

// recordEnding records how an exchange ended after the head of the response.
func (s *Station) recordEnding(x *exchange, e ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addSuspect(x, e)
	if e == interrupted {
		s.startProbe()
	}
}

// addSuspect adds a request that has ended to the suspects, unless the server that it was
// sent to is down or has been replaced. The caller holds s.mu.
func (s *Station) addSuspect(x *exchange, e ending) {
	if s.state != server.Up || s.server.Instance != x.sentTo.Instance || s.server.Started != x.sentTo.Started {
		return
	}
	now := s.now()
	until := now + crashWindow
	switch e {
	case abandoned:
		until = max(now, x.deadline) + crashWindow
	case completed:
		until = now + settleTime
	}
	fp, head := x.body.fingerprint()
	it := suspect{fingerprint: fp, head: head, ending: e, until: until}
	if e == completed && x.ranWell {
		it.innocent = x.body.fingerprints()
	}
	s.suspects = append(s.suspects, it)
	s.unwatched = true
}

// pruneSuspects drops the suspects to which a crash at now could not be due any more, and
// passes those that ran well to Config.Innocent. The caller holds s.mu.
func (s *Station) pruneSuspects(now time.Duration) {
	s.suspects = slices.DeleteFunc(s.suspects, func(x suspect) bool {
		isSilent := x.ending != completed && s.respondedAt <= x.until
		if now <= x.until || isSilent && now <= x.until+maxSilence {
			return false
		}
		if x.innocent != nil {
			s.cfg.Innocent(x.innocent)
		}
		return true
	})
}

// watchSuspects checks whether the server still runs while there are suspects: an idle
// connection that the server has closed may be the only sign of a crash. If the server is
// otherwise idle and the last request has left no such connection, it opens one.
// The caller holds s.mu.
func (s *Station) watchSuspects() {
	s.pruneSuspects(s.now())
	if len(s.suspects) == 0 || s.state != server.Up {
		return
	}
	open, closed := s.pool.CheckIdle()
	if closed || !open && s.unwatched && s.queue.Running() == 0 {
		s.startProbe()
	}
	s.unwatched = false
}

// startProbe starts a probe unless one is running. The caller holds s.mu.
func (s *Station) startProbe() {
	if !s.probing {
		s.probing = true
		s.tasks.Go(s.probe)
	}
}

// probe checks whether the server still accepts connections, so that a crash is
// detected before another request is sent. A timeout does not show that it is down.
func (s *Station) probe() {
	time.Sleep(probeDelay)
	err := s.pool.Probe(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
	timeout, ok := errors.AsType[net.Error](err)
	if gd.NoServer.Is(err) && !(ok && timeout.Timeout()) {
		s.markDown(s.now(), err)
	}
}

// markDown marks the server as lost until its next announcement, refuses the queued
// requests, and reports the suspects. The caller holds s.mu.
func (s *Station) markDown(now time.Duration, cause error) {
	if s.state != server.Up {
		return
	}
	s.cfg.Log.Warn(event.ServerDown, "instance", s.server.Instance, "error", errorText(cause), "running", len(s.running))
	s.reportCrash(now)
	s.loseServer(gd.WrongInstance.Errorf("the server beside node %s is down", s.cfg.Node))
}

// loseServer marks the server as lost until its next announcement and refuses the queued
// requests with err. The caller holds s.mu.
func (s *Station) loseServer(err error) {
	s.state = server.Lost
	for _, it := range s.queue.Clear() {
		s.refuse(it.ID, err)
	}
	s.publishRecord()
}

// reportCrash reports the requests to which a crash of the server may be due: the
// suspects and the requests that are still running. The caller holds s.mu.
func (s *Station) reportCrash(now time.Duration) {
	for _, x := range s.running {
		s.addSuspect(x, interrupted)
	}
	s.pruneSuspects(now)
	suspects := rankSuspects(s.suspects)
	s.suspects = nil
	if len(suspects) == 0 {
		return
	}
	atEnd := 0 // suspects that may have been at the server when it crashed
	for _, x := range suspects {
		if x.ending != completed {
			atEnd++
		}
	}
	s.crashes++
	at := s.cfg.Clock.Now()
	var reports []quarantine.Report
	for _, x := range suspects[:min(len(suspects), maxSuspects, atEnd+maxCompleted)] {
		reports = append(reports, quarantine.Report{
			Fingerprint: x.fingerprint, Head: x.head, Node: s.cfg.Node, Incarnation: uint64(s.server.Started) + s.crashes, At: at,
			Alone: atEnd == 1 && x.ending != completed || len(suspects) == 1,
		})
	}
	s.cfg.Log.Warn(event.RequestsSuspected, "instance", s.server.Instance, "requests", len(reports),
		"at-server", atEnd, "completed", len(suspects)-atEnd, "alone", reports[0].Alone)
	s.cfg.Report(reports)
}

// rankSuspects returns one suspect for each fingerprint, ordered by ending and then by
// age, the most recent first.
func rankSuspects(list []suspect) []suspect {
	ranked := slices.Clone(list)
	slices.Reverse(ranked)
	slices.SortStableFunc(ranked, func(a, b suspect) int { return cmp.Compare(a.ending, b.ending) })
	seen := map[quarantine.Fingerprint]bool{}
	return slices.DeleteFunc(ranked, func(x suspect) bool {
		known := seen[x.fingerprint]
		seen[x.fingerprint] = true
		return known
	})
}

// deadlineOf returns the monotonic time of the deadline of ctx.
func (s *Station) deadlineOf(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return s.now()
	}
	return s.now() - clock.Since(deadline)
}
