package limit

import (
	"math"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	burstTime  = 250 * time.Millisecond // how much unused rate is kept
	demandHalf = 5 * time.Second        // half-life of the measured demand
	askChange  = 0.5                    // relative change of demand that is worth an ask
	askEvery   = 5 * time.Second        // least time between asks of one limit
	settleTime = time.Second            // and while a share is being handed over
	renewEvery = 15 * time.Minute
)

// Meter enforces one node's shares of a service's limits. The owner
// serialises access and passes readings of the monotonic clock. The zero value
// lets nothing pass that has a limit.
type Meter struct {
	limits map[Key]int64 // of the table
	gauges map[Key]*gauge
}

type gauge struct {
	share    int64
	tokens   float64
	filled   time.Duration
	running  int64
	demand   float64 // calls per second, or the peak of calls at once
	measured time.Duration
	asked    float64 // demand at the last ask
	askedAt  time.Duration
	holding  int64 // what the last ask said
}

// SetLimits replaces the limits of the table. Shares of a limit that was
// lowered shrink at once in proportion.
func (m *Meter) SetLimits(limits map[Key]int64) {
	for k, g := range m.gauges {
		limit, ok := limits[k]
		if !ok {
			delete(m.gauges, k)
			continue
		}
		if old := m.limits[k]; limit < old {
			g.share = g.share * limit / old
		}
	}
	m.limits = limits
}

// Grant takes over a share that was handed out for an ask of this process.
func (m *Meter) Grant(now time.Duration, s Share) {
	limit, ok := m.limits[s.Key]
	if !ok {
		return
	}
	g := m.gauge(now, s.Key)
	g.fill(now)
	g.share = s.Amount
	if s.Limit > limit {
		g.share = s.Amount * limit / s.Limit
	}
}

func (m *Meter) gauge(now time.Duration, k Key) *gauge {
	if m.gauges == nil {
		m.gauges = map[Key]*gauge{}
	}
	g, ok := m.gauges[k]
	if !ok {
		g = &gauge{filled: now, measured: now, askedAt: now - renewEvery}
		m.gauges[k] = g
	}
	return g
}

// Enter admits a call of caller, or refuses it with an error of kind
// RateLimited. An admitted call ends with Leave.
func (m *Meter) Enter(now time.Duration, caller string) error {
	rk, ck := Key{Caller: caller, Dimension: Rate}, Key{Caller: caller, Dimension: Concurrency}
	rate, hasRate := m.limits[rk]
	atOnce, hasConcurrency := m.limits[ck]
	if hasRate {
		m.gauge(now, rk).want(now, RateUnits)
	}
	if hasConcurrency {
		g := m.gauge(now, ck)
		g.wantAtLeast(now, float64(g.running+1))
		if g.running >= g.share {
			return gd.RateLimited.Errorf("%d calls of caller %s run, this server's share of the limit of %d is %d", g.running, caller, atOnce, g.share)
		}
	}
	if hasRate && !m.gauge(now, rk).take(now) {
		return gd.RateLimited.Errorf("caller %s is over this server's share of %d calls/s", caller, rate/RateUnits)
	}
	if hasConcurrency {
		m.gauge(now, ck).running++
	}
	return nil
}

// Leave notes the end of an admitted call.
func (m *Meter) Leave(caller string) {
	if g, ok := m.gauges[Key{Caller: caller, Dimension: Concurrency}]; ok {
		g.running = max(0, g.running-1)
	}
}

// Asks returns the asks that are due, and notes that they were made. A node
// asks when its demand changed by half, when it holds less than the pool may
// count, and to renew its shares, but not more often than every askEvery: each
// ask costs the platform a read and a write.
func (m *Meter) Asks(now time.Duration) []Ask {
	var asks []Ask
	for k := range m.limits {
		g := m.gauge(now, k)
		g.decay(now)
		if !g.due(now, k.Dimension) {
			continue
		}
		g.asked, g.askedAt, g.holding = g.demand, now, g.share
		asks = append(asks, Ask{Key: k, Demand: int64(math.Ceil(g.demand)), Holding: g.share})
	}
	return asks
}

func (g *gauge) due(now time.Duration, d Dimension) bool {
	if g.holding != g.share {
		return now-g.askedAt >= settleTime
	}
	if now-g.askedAt < askEvery {
		return false
	}
	least := 1.0
	if d == Rate {
		least = RateUnits
	}
	moved := math.Abs(g.demand-g.asked) > askChange*max(g.asked, least)
	return moved || now-g.askedAt >= renewEvery
}

// fill adds the tokens that the share earned since the last call.
func (g *gauge) fill(now time.Duration) {
	burst := max(RateUnits, float64(g.share)*burstTime.Seconds())
	if g.share == 0 {
		burst = 0
	}
	g.tokens = min(g.tokens+float64(g.share)*(now-g.filled).Seconds(), burst)
	g.filled = now
}

func (g *gauge) take(now time.Duration) bool {
	g.fill(now)
	if g.tokens < RateUnits {
		return false
	}
	g.tokens -= RateUnits
	return true
}

// want adds units to the measured rate.
func (g *gauge) want(now time.Duration, units float64) {
	g.decay(now)
	g.demand += units * math.Ln2 / demandHalf.Seconds()
}

func (g *gauge) wantAtLeast(now time.Duration, n float64) {
	g.decay(now)
	g.demand = max(g.demand, n)
}

func (g *gauge) decay(now time.Duration) {
	g.demand *= math.Exp2(-float64(now-g.measured) / float64(demandHalf))
	g.measured = now
}

// AskAgain has the next call of Asks repeat all asks, for the last ones were
// not answered.
func (m *Meter) AskAgain() {
	for _, g := range m.gauges {
		g.askedAt -= renewEvery
	}
}
