package sidecar

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/canary"
	"github.com/geraniumdock/geraniumdock/internal/fleet/rollout"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/fleet/seed"
	"github.com/geraniumdock/geraniumdock/internal/proxy/station"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/settings"
)

// rolloutLimits returns the settings of roll-outs, and whether the node follows them.
func rolloutLimits(b settings.SidecarBounds) (rollout.Limits, bool) {
	share, slack, period, ok := b.Rollout()
	return rollout.Limits{Share: share, Slack: slack, Rollback: period}, ok
}

// rolloutConfig returns how the node takes part in roll-outs, nil if the settings do not ask for it.
func rolloutConfig(st settings.Sidecar) *roster.RolloutConfig {
	limits, ok := rolloutLimits(st.Bounds)
	if !ok {
		return nil
	}
	return &roster.RolloutConfig{
		Kind: platform.RolloutKind, Service: st.Server.Service, Limits: limits,
		Decode: platform.DecodeRollout, Encode: platform.EncodeRolloutStatus,
	}
}

// versionFilter returns the selection of servers by their versions, nil if the settings do not
// ask for it.
func versionFilter(st settings.Sidecar, processSeed uint64) *canary.Filter {
	limits, ok := rolloutLimits(st.Bounds)
	if !ok {
		return nil
	}
	return canary.New(limits.CanaryShare(), rand.New(rand.NewPCG(seed.ForNode(st.Node, processSeed), 2)))
}

// lossInterval is the time within which lost responses count as one. A server that crashes loses
// all that it runs at once.
const lossInterval = 200 * time.Millisecond

// countsLoss reports whether a response that is lost at now counts.
func (s *Sidecar) countsLoss(now time.Duration) bool {
	last := s.lostAt.Load()
	return (last == 0 || now-time.Duration(last) >= lossInterval) && s.lostAt.CompareAndSwap(last, int64(now))
}

// countResponse counts a response of the server beside the node for a roll-out. A request that
// did not run, or whose client has left, says nothing about the server.
func (s *Sidecar) countResponse(o station.Outcome) {
	if o.IsNotRun || o.IsLeft || o.IsLost && !s.countsLoss(s.cfg.Clock.Monotonic()) {
		return
	}
	isBad := o.Status == 0 || o.Status >= http.StatusInternalServerError
	s.roster.CountResponse(o.Version, o.Class, isBad, o.IsCold, o.SlotTime)
}

// registerRolloutGauges registers the metrics of the roll-out of the service beside the node.
func (s *Sidecar) registerRolloutGauges() {
	m := s.cfg.Meter
	m.Gauge("geraniumdock_rollout_phase", func() float64 { return float64(s.roster.RolloutStatus().Phase) })
	m.Gauge("geraniumdock_rollout_share", func() float64 { return s.roster.RolloutStatus().Share })
	m.Gauge("geraniumdock_rollout_responses", func() float64 { return float64(s.roster.RolloutStatus().Responses) })
	m.Gauge("geraniumdock_rollout_bad", func() float64 { return float64(s.roster.RolloutStatus().Bad) })
}
