package roster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

const (
	// pushedRefutations is the number of crashes reported for a request from which its
	// refutation is pushed to all nodes. With fewer, the request is not refused anywhere and
	// gossip spreads the refutation in time.
	pushedRefutations = 2
	// refutationDelay is the longest time until a refutation is pushed. Many nodes may have
	// run the request, and one of them is to push it.
	refutationDelay = 100 * time.Millisecond
)

// Report adds reports of requests that may have caused a crash of the server, and pushes the
// new ones to all other nodes. Those of requests that have run well are refuted.
func (r *Roster) Report(ctx context.Context, reports []quarantine.Report) {
	r.post(ctx, func(s *state) {
		before := s.register
		s.mergeReports(reports)
		var added []quarantine.Report
		for _, report := range s.register.Reports() {
			if !before.Has(report) {
				added = append(added, report)
			}
		}
		if len(added) > 0 {
			s.push(Message{Reports: added})
		}
	})
}

// RecordInnocent records that a request with the given fingerprints ran well, and refutes
// the reports of it. It does not block.
func (r *Roster) RecordInnocent(ctx context.Context, fps []quarantine.Fingerprint) {
	r.mu.Lock()
	r.innocent.Add(fps)
	r.mu.Unlock()
	if r.Snapshot().Register.Crashes(r.cfg.Clock.Now(), fps...) > 0 {
		go r.post(ctx, func(s *state) { s.refute(fps) })
	}
}

// isInnocent reports whether a request with the fingerprint ran well at the server beside
// this node.
func (r *Roster) isInnocent(fp quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.innocent.Has(fp)
}

// mergeReports adds reports and refutes those of requests that ran well at the server beside
// this node.
func (s *state) mergeReports(reports []quarantine.Report) {
	var added []quarantine.Report
	s.register, added = s.register.WithReports(reports...)
	var innocent []quarantine.Fingerprint
	for _, r := range added {
		if r.Refuted {
			s.spread[r] = true
		} else if s.r.isInnocent(r.Fingerprint) {
			innocent = append(innocent, r.Fingerprint)
		}
	}
	s.refute(innocent)
}

// refute refutes the reports of requests with the fingerprints, and pushes the refutations if
// no other node does so first.
func (s *state) refute(fps []quarantine.Fingerprint) {
	var refuted []quarantine.Report
	if s.register, refuted = s.register.Refute(fps...); len(refuted) == 0 {
		return
	}
	s.r.cfg.Log.Info(event.SuspectsCleared, "reports", len(refuted))
	var pushed []quarantine.Report
	for _, r := range refuted {
		if reports := s.register.ReportsOf(r.Fingerprint); len(reports) >= pushedRefutations {
			pushed = append(pushed, reports...)
		}
	}
	if len(pushed) == 0 {
		return
	}
	delay := time.Duration(s.r.randomN(int64(refutationDelay)))
	s.r.tasks.Go(func() {
		s.r.sleep(s.ctx, delay)
		s.r.post(s.ctx, func(s *state) { s.pushRefutations(pushed) })
	})
}

// pushRefutations pushes the refuted reports to all other nodes, without those that another
// node has sent.
func (s *state) pushRefutations(refuted []quarantine.Report) {
	refuted = slices.DeleteFunc(refuted, func(r quarantine.Report) bool { return s.spread[r] })
	if len(refuted) > 0 {
		s.push(Message{Reports: refuted})
	}
}

// expireReports drops expired reports.
func (s *state) expireReports() {
	register := s.register.WithoutExpired(s.r.cfg.Clock.Now())
	if register.Generation() == s.register.Generation() {
		return
	}
	s.register = register
	maps.DeleteFunc(s.spread, func(r quarantine.Report, _ bool) bool { return !register.Has(r) })
}
