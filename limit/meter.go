package limit

import (
	"math"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	burstTime           = 250 * time.Millisecond // how much unused rate is kept
	demandHalfLife      = 5 * time.Second        // half-life of the measured demand
	minDemandChange     = 0.5                    // relative change of demand that is worth an ask
	minAskInterval      = 5 * time.Second        // least time between asks of one limit
	minHandoverInterval = time.Second            // and while a share is being handed over
	renewInterval       = 15 * time.Minute
)

// Meter enforces one node's shares of a service's limits. The owner
// serialises access and passes readings of the monotonic clock. The zero value
// lets nothing pass that has a limit.
type Meter struct {
	limits   map[Key]int64 // of the table
	limiters map[Key]*limiter
}

type limiter struct {
	share       int64
	tokens      float64
	refilledAt  time.Duration
	running     int64
	demand      float64 // calls per second, or the peak of calls at once
	measuredAt  time.Duration
	askedDemand float64 // demand at the last ask
	askedAt     time.Duration
	askedShare  int64 // what the last ask said
}

// SetLimits replaces the limits of the table. Shares of a limit that was
// lowered shrink at once in proportion.
func (m *Meter) SetLimits(limits map[Key]int64) {
	for k, l := range m.limiters {
		limit, ok := limits[k]
		if !ok {
			delete(m.limiters, k)
			continue
		}
		if old := m.limits[k]; limit < old {
			l.share = l.share * limit / old
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
	l := m.limiter(now, s.Key)
	l.refill(now)
	l.share = s.Amount
	if s.Limit > limit {
		l.share = s.Amount * limit / s.Limit
	}
}

func (m *Meter) limiter(now time.Duration, k Key) *limiter {
	if m.limiters == nil {
		m.limiters = map[Key]*limiter{}
	}
	l, ok := m.limiters[k]
	if !ok {
		l = &limiter{refilledAt: now, measuredAt: now, askedAt: now - renewInterval}
		m.limiters[k] = l
	}
	return l
}

// Enter admits a call of caller, or refuses it with an error of kind
// RateLimited. An admitted call ends with Leave.
func (m *Meter) Enter(now time.Duration, caller string) error {
	rateKey, concurrencyKey := Key{Caller: caller, Dimension: Rate}, Key{Caller: caller, Dimension: Concurrency}
	rateLimit, hasRateLimit := m.limits[rateKey]
	concurrencyLimit, hasConcurrencyLimit := m.limits[concurrencyKey]
	if hasRateLimit {
		m.limiter(now, rateKey).addDemand(now, RateUnits)
	}
	if hasConcurrencyLimit {
		l := m.limiter(now, concurrencyKey)
		l.raiseDemand(now, float64(l.running+1))
		if l.running >= l.share {
			return gd.RateLimited.Errorf("%d calls of caller %s run, this server's share of the limit of %d is %d", l.running, caller, concurrencyLimit, l.share)
		}
	}
	if hasRateLimit && !m.limiter(now, rateKey).take(now) {
		return gd.RateLimited.Errorf("caller %s is over this server's share of %d calls/s", caller, rateLimit/RateUnits)
	}
	if hasConcurrencyLimit {
		m.limiter(now, concurrencyKey).running++
	}
	return nil
}

// Leave notes the end of an admitted call.
func (m *Meter) Leave(caller string) {
	if l, ok := m.limiters[Key{Caller: caller, Dimension: Concurrency}]; ok {
		l.running = max(0, l.running-1)
	}
}

// Asks returns the asks that are due, and notes that they were made. A node
// asks when its demand changed by half, when it holds less than the pool may
// count, and to renew its shares, but not more often than every askEvery: each
// ask costs the platform a read and a write.
func (m *Meter) Asks(now time.Duration) []Ask {
	var asks []Ask
	for k := range m.limits {
		l := m.limiter(now, k)
		l.decayDemand(now)
		if !l.isDue(now, k.Dimension) {
			continue
		}
		l.askedDemand, l.askedAt, l.askedShare = l.demand, now, l.share
		asks = append(asks, Ask{Key: k, Demand: int64(math.Ceil(l.demand)), Holding: l.share})
	}
	return asks
}

func (l *limiter) isDue(now time.Duration, d Dimension) bool {
	if l.askedShare != l.share {
		return now-l.askedAt >= minHandoverInterval
	}
	if now-l.askedAt < minAskInterval {
		return false
	}
	minDemand := 1.0
	if d == Rate {
		minDemand = RateUnits
	}
	hasChanged := math.Abs(l.demand-l.askedDemand) > minDemandChange*max(l.askedDemand, minDemand)
	return hasChanged || now-l.askedAt >= renewInterval
}

// fill adds the tokens that the share earned since the last call.
func (l *limiter) refill(now time.Duration) {
	burst := max(RateUnits, float64(l.share)*burstTime.Seconds())
	if l.share == 0 {
		burst = 0
	}
	l.tokens = min(l.tokens+float64(l.share)*(now-l.refilledAt).Seconds(), burst)
	l.refilledAt = now
}

func (l *limiter) take(now time.Duration) bool {
	l.refill(now)
	if l.tokens < RateUnits {
		return false
	}
	l.tokens -= RateUnits
	return true
}

// want adds units to the measured rate.
func (l *limiter) addDemand(now time.Duration, units float64) {
	l.decayDemand(now)
	l.demand += units * math.Ln2 / demandHalfLife.Seconds()
}

func (l *limiter) raiseDemand(now time.Duration, n float64) {
	l.decayDemand(now)
	l.demand = max(l.demand, n)
}

func (l *limiter) decayDemand(now time.Duration) {
	l.demand *= math.Exp2(-float64(now-l.measuredAt) / float64(demandHalfLife))
	l.measuredAt = now
}

// AskAgain has the next call of Asks repeat all asks, for the last ones were
// not answered.
func (m *Meter) AskAgain() {
	for _, l := range m.limiters {
		l.askedAt -= renewInterval
	}
}
