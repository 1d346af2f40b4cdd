package rollout

import (
	"fmt"
	"math"
	"time"
)

// Shares of the duration of a roll-out. The last sixth is left for the write of the outcome, and
// because the order is read some time after it was given.
const (
	shiftRatio    = 0.58 // at which all traffic is shifted to the target version
	settleRatio   = 0.25 // for which what runs at the other servers may end
	latestShift   = 0.66 // until which the shift waits for servers of the target version
	lastStart     = 0.9  // after which a roll-out that has not shifted is rolled back
	maxSettleTime = 4 * time.Second
	minTargets    = 0.7 // servers of the target version, relative to the others, that the shift waits for
)

// Canary shares.
const (
	canaryRatio   = 0.25                    // of the share that a bad version may get; the rest is for what it gets after the shift until that shows
	slackRatio    = 0.4                     // the same of the slack, for a service with little traffic
	littleTraffic = 400                     // requests until the shift; with more the share suffices
	maxShare      = 0.5                     // of the requests of a service with little traffic
	loadFrom      = 0.5                     // part of the duration after which one server of the target version gets at least its normal load until the shift
	loadShare     = 1.15                    // of the load of one server
	maxLoadShare  = 0.3                     // of the requests, for that
	maxShareRise  = 1.5                     // of the usual share, without the slack
	shareStep     = 1.4                     // smallest ratio by which the share is changed
	observeBefore = 1500 * time.Millisecond // time of counting before the share is changed
	shareInterval = time.Second             // least time between two changes, as counts lag behind
)

// Limits are the settings of roll-outs.
type Limits struct {
	Share    float64 // part of the requests that a bad version may get
	Slack    float64 // number of requests that it may get in addition
	Rollback time.Duration
}

// CanaryShare returns the share of the requests that the target version gets at first.
func (l Limits) CanaryShare() float64 { return canaryRatio * l.Share }

// Fleet is the state of the service's servers.
type Fleet struct {
	Targets, Others int  // servers of the target version and of others that accept requests
	IsFresh         bool // the nodes of at least half of them have reported lately
}

// Start returns the roll-out of an order that was read at now.
func Start(o Order, now time.Duration, l Limits) Rollout {
	return Rollout{Order: o, Began: now, Phase: Canary, Share: l.CanaryShare(), Since: now, Reason: "ordered"}
}

// Decide returns the state of the roll-out at now. It goes on only if enough nodes report, because
// a node that was paused or is cut off does not know what the others have decided; evidence
// against the target version always counts.
func Decide(now time.Duration, r Rollout, t *Tally, f Fleet, l Limits) Rollout {
	if !r.Phase.IsOpen() {
		return r
	}
	current := t.advance(now)
	elapsed := now - r.Began
	mayShift := r.Phase == Canary && elapsed >= share(r.Duration, shiftRatio) && f.IsFresh && f.Targets > 0
	hasServers := float64(f.Targets) >= minTargets*float64(f.Others) || elapsed >= share(r.Duration, latestShift)
	mayShift = mayShift && hasServers
	maySettle := r.Phase == Shift && f.IsFresh && now-r.Since >= min(share(r.Duration, settleRatio), maxSettleTime)
	threshold := float64(minScore)
	if mayShift || maySettle {
		threshold = stepScore // a single look, so less is needed
	}
	if reason, ok := t.evidence(now, current, r.Phase, threshold); ok {
		return r.in(RolledBack, now, reason)
	}
	switch {
	case mayShift:
		return r.in(Shift, now, "no evidence against the version so far")
	case maySettle:
		return r.in(Settled, now, "no evidence against the version")
	case r.Phase == Canary && (f.IsFresh && elapsed >= share(r.Duration, lastStart) || elapsed >= r.Duration):
		return r.in(RolledBack, now, fmt.Sprintf("the version could not be tried in time: %d servers of it accept requests", f.Targets))
	case r.Phase == Canary:
		return adjustShare(elapsed, r, t, f, l)
	}
	return r
}

// adjustShare returns the roll-out with another canary share if it differs enough.
func adjustShare(elapsed time.Duration, r Rollout, t *Tally, f Fleet, l Limits) Rollout {
	s := r.Share
	if elapsed >= observeBefore+time.Duration(r.Step)*shareInterval {
		s = canaryShare(elapsed, r, t, l)
	}
	if elapsed >= share(r.Duration, loadFrom) && f.Others > 0 {
		s = max(s, min(loadShare/float64(f.Others), maxLoadShare))
	}
	if s > r.Share*shareStep || s < r.Share/shareStep {
		r.Share, r.Reason = s, "share adjusted to the traffic"
		r.Step++
	}
	return r
}

// canaryShare returns the share with which the target version gets the requests that it may get
// until the shift, if the service gets as many requests as so far. With little traffic that is
// more than the usual share, because of the slack, so that a bad version shows.
func canaryShare(elapsed time.Duration, r Rollout, t *Tally, l Limits) float64 {
	target, _, others, _ := t.Totals()
	until := share(r.Duration, shiftRatio)
	expected := (target + others + 1) * float64(until) / float64(elapsed)
	allowed := l.CanaryShare()*expected + slackRatio*l.Slack*min(1, littleTraffic/expected)
	highest := min(maxShare, max(maxShareRise*l.CanaryShare(), allowed/expected))
	remaining := max(expected-target-others, 1)
	return min(max((allowed-target)/remaining, l.CanaryShare()/4), highest)
}

func share(d time.Duration, ratio float64) time.Duration { return time.Duration(float64(d) * ratio) }

// windows are the times over which counts are compared, besides the time since the order. A
// version may become bad later.
//
// In a shorter time than minSlowWindow slot times are not compared, since servers are slow in bursts.
var windows = []time.Duration{500 * time.Millisecond, 2 * time.Second}

// evidence reports whether the target version is bad, and why.
func (t *Tally) evidence(now time.Duration, current sums, phase Phase, threshold float64) (string, bool) {
	if reason, ok := compareClasses(current.classes, current.classes, phase, threshold, true); ok {
		return reason, true
	}
	for _, w := range windows {
		earlier, ok := t.before(now, w)
		if !ok {
			continue
		}
		recent := map[string]*classSums{}
		for class := range current.classes {
			recent[class] = current.minus(earlier, class)
		}
		if reason, ok := compareClasses(current.classes, recent, phase, minScore, w >= minSlowWindow); ok {
			return fmt.Sprintf("%s in %s", reason, w), true
		}
	}
	return "", false
}

// compareClasses reports whether the recent responses of the target version are worse than those of
// the others, in a class or over all classes. All are the responses since the order. Slot times are
// compared only withTimes.
func compareClasses(all, recent map[string]*classSums, phase Phase, threshold float64, withTimes bool) (string, bool) {
	var failures, slowness comparison
	classes := make(map[string][2]comparison, len(recent))
	limits := map[string]time.Duration{}
	targetSpeed := speed(all)
	for class, now := range recent {
		since := all[class]
		f := newComparison(now, since, func(g *group) sample { return sample{g.bad, g.responses} })
		failures.add(f)
		var s comparison
		if limit, ok := slowLimit(&since.others, targetSpeed); ok && withTimes {
			s = newComparison(now, since, func(g *group) sample { return slower(g, limit) })
			slowness.add(s)
			limits[class] = limit
		}
		classes[class] = [2]comparison{f, s}
	}
	if failures.isWorse(phase, failMargin, threshold, 0) {
		return "failures: " + failures.text(), true
	}
	if slowness.isWorse(phase, slowMargin, threshold, 0) {
		return "slot times above the limits of their routes: " + slowness.text(), true
	}
	for class, c := range classes {
		if c[0].isWorse(phase, failMargin, threshold+classScore, failures.others.ratio()) {
			return "failures: " + c[0].text() + inClass(class), true
		}
		if c[1].isWorse(phase, slowMargin, threshold+classScore, slowness.others.ratio()) {
			return fmt.Sprintf("slot times above %s: %s%s", limits[class], c[1].text(), inClass(class)), true
		}
	}
	return "", false
}

const minSlowWindow = time.Second

func inClass(class string) string {
	if class == otherClasses {
		return ""
	}
	return " on route " + class
}

// sample is the number of bad responses of n.
type sample struct{ bad, n float64 }

// ratio returns the ratio of bad responses, 0 if there are none.
func (s sample) ratio() float64 {
	if s.n == 0 {
		return 0
	}
	return s.bad / s.n
}

func (s *sample) add(o sample) {
	s.bad += o.bad
	s.n += o.n
}

// comparison holds the responses of the target version, and those of the others since the order, at
// the same time, and of these by data centre.
type comparison struct {
	target, others, recent sample
	zones                  map[string]sample
}

func newComparison(now, since *classSums, count func(*group) sample) comparison {
	c := comparison{count(&now.target), count(&since.others), count(&now.others), map[string]sample{}}
	for zone, g := range now.zones {
		c.zones[zone] = count(g)
	}
	return c
}

func (c *comparison) add(o comparison) {
	c.target.add(o.target)
	c.others.add(o.others)
	c.recent.add(o.recent)
	if c.zones == nil {
		c.zones = map[string]sample{}
	}
	for zone, s := range o.zones {
		s.add(c.zones[zone])
		c.zones[zone] = s
	}
}

func (c comparison) text() string {
	return fmt.Sprintf("%.0f of %.0f responses, of other versions %.0f of %.0f", c.target.bad, c.target.n, c.others.bad, c.others.n)
}

// isWorse reports whether the target version is worse than the others by at least the margin. After
// the shift there are no others to compare with at the same time, so the margin is wider. Of a class
// with few responses of the others, usual is the ratio over all classes.
func (c comparison) isWorse(phase Phase, margin, threshold, usual float64) bool {
	minimum := float64(minBad)
	if phase != Canary {
		margin += shiftMargin
		minimum = minBadInShift
	}
	base := baseRatio(c.others, usual)
	if c.recent.n >= priorTrials {
		base = max(base, baseRatio(c.recent, usual))
	}
	for _, s := range c.zones {
		if s.n >= priorTrials {
			base = max(base, baseRatio(s, usual))
		}
	}
	return c.target.bad >= minimum && isWorse(c.target, base, margin, threshold)
}

// Margins by which the ratio of bad responses of the target version must exceed that of the
// others. After the shift there are no others to compare with at the same time.
const (
	minBad        = 3
	minBadInShift = 6 // faults come in bursts, and others do not show these then
	failMargin    = 0.05
	slowMargin    = 0.2
	shiftMargin   = 0.03 // in addition, after the shift
	ratioFactor   = 1.5
	priorTrials   = 20 // trials of which one is bad that are added to those of the others
	minScore      = 10 // about the negative logarithm of the probability of chance, for one look at the counts
	stepScore     = 6  // the same at a step that makes the version get more
	classScore    = 2  // in addition for one class of several
	clearScore    = 30 // from which part of the margin suffices
	clearRatio    = 0.3
	slowFactor    = 2.8                   // ratio to the mean slot time of the others from which a response is slow; the only canary server may be one of the slowest
	minSlowness   = 40 * time.Millisecond // a response that takes less longer than the mean is not slow: processors are busy at times
	minSpeed      = 0.6
	minSpeedTimes = 8 // slot times of each that are needed to say how fast the servers are
	minBaseTimes  = 4 // slot times of the others that are needed to say what is slow
)

// meanTime returns the mean slot time and the number of slot times.
func (g *group) meanTime() (mean time.Duration, n float64) {
	sum := 0.0
	for i, count := range g.times {
		n += count
		sum += count * float64(bucketStart(i)) * (1 + bucketRatio) / 2
	}
	if n == 0 {
		return 0, 0
	}
	return time.Duration(sum / n), n
}

// slowLimit returns the slot time from which a response counts as slow, which depends on the mean
// of the other versions. Servers differ in speed, so it is well above. It is lower if the servers
// of the target version are known to be fast.
func slowLimit(others *group, speed float64) (time.Duration, bool) {
	mean, n := others.meanTime()
	if n < minBaseTimes {
		return 0, false
	}
	return max(time.Duration(speed*slowFactor*float64(mean)), mean+minSlowness).Round(time.Millisecond), true
}

// speed returns the ratio of the mean slot times of the target version to those of the others, on
// the route where it is lowest, between minSpeed and 1. A version that is slow on one route shows
// on the others how fast its servers are.
func speed(all map[string]*classSums) float64 {
	lowest := 1.0
	for _, c := range all {
		target, n := c.target.meanTime()
		others, m := c.others.meanTime()
		if min(n, m) >= minSpeedTimes {
			lowest = min(lowest, float64(target)/float64(others))
		}
	}
	return max(lowest, minSpeed)
}

// slower returns the number of slot times in buckets above limit, and of all.
func slower(g *group, limit time.Duration) sample {
	var s sample
	for i, n := range g.times {
		s.n += n
		if bucketStart(i) >= limit {
			s.bad += n
		}
	}
	return s
}

func bucketStart(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)))
}

// baseRatio returns a ratio of bad responses that the other versions hardly exceed.
func baseRatio(s sample, usual float64) float64 {
	p := (s.bad + 1 + priorTrials*usual) / (s.n + 1 + priorTrials)
	return p + math.Sqrt(p*(1-p)/(s.n+priorTrials))
}

// isWorse reports whether the bad responses are too many for chance at the ratio base. The score
// is a bound on the logarithm of that probability (Chernoff).
func isWorse(s sample, base, margin, threshold float64) bool {
	if s.n <= 0 || base >= 1 {
		return false
	}
	ratio := min(s.bad/s.n, 1)
	if ratio <= base {
		return false
	}
	score := ratio * math.Log(ratio/base)
	if ratio < 1 {
		score += (1 - ratio) * math.Log((1-ratio)/(1-base))
	}
	score *= s.n
	return score > threshold && ratio > ratioFactor*base+margin || score > clearScore && ratio > ratioFactor*base+margin*clearRatio
}
