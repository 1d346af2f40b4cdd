package limit

import (
	"math"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	demandHalfLife         = 5 * time.Second  // half-life of the measured demand
	minDemandChange        = 0.5              // relative change of the demand, since the last share request, that makes a new one due
	minRequestInterval     = 5 * time.Second  // between two share requests for one limit, if only the demand has changed
	minShareReportInterval = time.Second      // between two share requests while the share differs from the one last reported to the pool
	renewInterval          = 15 * time.Minute // between two share requests for an unchanged share, to renew its grant
)

// Meter enforces one node's shares of a service's limits. Calls that count
// against a limit are refused until the node has got a share of it. The zero value
// has no limits. A Meter is not safe for concurrent use. Times are readings of the
// monotonic clock.
type Meter struct {
	limits   map[Key]int64 // from the table
	limiters map[Key]*limiter
}

// limiter enforces the share of one limit and measures the demand for it.
type limiter struct {
	share          int64  // in units of the dimension
	bucket         Bucket // admits calls at the rate of share
	running        int64
	demand         float64       // in units of the dimension: the rate of calls, or the recent peak of concurrent calls
	measuredAt     time.Duration // time of the last update of demand
	reportedDemand float64       // demand reported in the last share request
	requestedAt    time.Duration // time of the last share request
	reportedShare  int64         // share reported in the last share request
}

// SetLimits replaces the limits with those of a new table version. If a limit was
// lowered, the share is reduced at once in proportion.
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

// SetShare sets the share of a limit to the one that the pool granted in reply to a
// share request of this process.
func (m *Meter) SetShare(now time.Duration, s Share) {
	limit, ok := m.limits[s.Key]
	if !ok {
		return
	}
	l := m.limiter(now, s.Key)
	l.share = s.Amount
	if s.Limit > limit {
		l.share = s.Amount * limit / s.Limit
	}
	l.bucket.SetRate(now, float64(l.share)/RateUnits)
}

func (m *Meter) limiter(now time.Duration, k Key) *limiter {
	if m.limiters == nil {
		m.limiters = map[Key]*limiter{}
	}
	l, ok := m.limiters[k]
	if !ok {
		l = &limiter{bucket: NewBucket(now, 0), measuredAt: now, requestedAt: now - renewInterval}
		m.limiters[k] = l
	}
	return l
}

// Enter admits a call of caller, or refuses it with an error of kind
// RateLimited. Leave must be called at the end of an admitted call.
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
			return gd.RateLimited.Errorf("%d calls of caller %s are running; this server's share of the limit of %d is %d", l.running, caller, concurrencyLimit, l.share)
		}
	}
	if hasRateLimit && !m.limiter(now, rateKey).take(now) {
		return gd.RateLimited.Errorf("caller %s exceeds this server's share of the limit of %d calls/s", caller, rateLimit/RateUnits)
	}
	if hasConcurrencyLimit {
		m.limiter(now, concurrencyKey).running++
	}
	return nil
}

// Leave records the end of an admitted call.
func (m *Meter) Leave(caller string) {
	if l, ok := m.limiters[Key{Caller: caller, Dimension: Concurrency}]; ok {
		l.running = max(0, l.running-1)
	}
}

// Requests returns the share requests that are due and records them as made. A
// request is due when the demand has changed by half, when the share differs from
// the one last reported to the pool, or when the grant must be renewed. The time
// between requests for one limit has a lower bound, because each request costs a
// read and a write of the platform.
func (m *Meter) Requests(now time.Duration) []Request {
	var requests []Request
	for k := range m.limits {
		l := m.limiter(now, k)
		l.decayDemand(now)
		if !l.isDue(now, k.Dimension) {
			continue
		}
		l.reportedDemand, l.requestedAt, l.reportedShare = l.demand, now, l.share
		requests = append(requests, Request{Key: k, Demand: int64(math.Ceil(l.demand)), Holding: l.share})
	}
	return requests
}

func (l *limiter) isDue(now time.Duration, d Dimension) bool {
	if l.reportedShare != l.share {
		return now-l.requestedAt >= minShareReportInterval
	}
	if now-l.requestedAt < minRequestInterval {
		return false
	}
	minDemand := 1.0
	if d == Rate {
		minDemand = RateUnits
	}
	hasChanged := math.Abs(l.demand-l.reportedDemand) > minDemandChange*max(l.reportedDemand, minDemand)
	return hasChanged || now-l.requestedAt >= renewInterval
}

func (l *limiter) take(now time.Duration) bool {
	l.bucket.SetRate(now, float64(l.share)/RateUnits)
	return l.bucket.Take(now)
}

// addDemand adds units to the measured rate.
func (l *limiter) addDemand(now time.Duration, units float64) {
	l.decayDemand(now)
	l.demand += units * math.Ln2 / demandHalfLife.Seconds()
}

// raiseDemand raises the measured demand to at least n.
func (l *limiter) raiseDemand(now time.Duration, n float64) {
	l.decayDemand(now)
	l.demand = max(l.demand, n)
}

func (l *limiter) decayDemand(now time.Duration) {
	l.demand *= math.Exp2(-float64(now-l.measuredAt) / float64(demandHalfLife))
	l.measuredAt = now
}

// RequestAgain makes the next call of Requests return a share request for each
// limit. It is called when share requests got no reply.
func (m *Meter) RequestAgain() {
	for _, l := range m.limiters {
		l.requestedAt -= renewInterval
	}
}
