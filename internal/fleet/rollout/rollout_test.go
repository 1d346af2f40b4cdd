package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// behaviour describes a version in a simulation. The zero value is a good one.
type behaviour struct {
	failRatio, slowRatio float64
	from                 time.Duration // since when the version is bad
	busy                 float64       // it is bad only at servers that use more than this part of their slots
	route                string        // it is bad only on this route, if set
}

// simulation plays a roll-out against simulated servers in virtual time.
type simulation struct {
	target     behaviour
	perSecond  float64
	servers    int // of each version
	baseFails  float64
	cutZone    bool // requests to servers of one data centre fail for some time
	duration   time.Duration
	rnd        *rand.Rand
	rollout    Rollout
	tally      *Tally
	known      Rollout // as the nodes know it
	knownAt    time.Duration
	running    [2][][]time.Duration // by version and server: ends of the requests that run
	counters   [2][]*Counter
	speeds     [2][]float64
	pending    []response
	all, bad   int
	exposed    int           // requests to the target version
	fiftiethAt time.Duration // 50th bad response of the target version
	lastSent   time.Duration // last request to the target version
	completeAt time.Duration
}

type response struct {
	at           time.Duration
	version, srv int
	route        string
	isBad, isOdd bool // isOdd marks bad responses in the sense of the requirement: slow ones too
	took         time.Duration
}

var simulatedRoutes = []struct {
	name string
	work time.Duration
}{{"reads", 210 * time.Millisecond}, {"writes", 270 * time.Millisecond}, {"rates", 62 * time.Millisecond}}

const (
	simulatedSlots = 18
	spreadDelay    = 100 * time.Millisecond // until all nodes know a decision
)

func (s *simulation) run() {
	limits := Limits{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
	s.rollout = Start(Order{Service: "status", Target: "v2", Duration: s.duration}, 0, limits)
	s.known, s.tally, s.fiftiethAt = s.rollout, NewTally("v2"), -1
	for v := range s.counters {
		s.running[v] = make([][]time.Duration, s.servers)
		for range s.servers {
			s.counters[v] = append(s.counters[v], &Counter{})
			s.speeds[v] = append(s.speeds[v], 0.5+s.rnd.Float64())
		}
	}
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < s.duration; now += step {
		for range s.poisson(s.perSecond * step.Seconds()) {
			s.request(now)
		}
		s.finish(now)
		interval := 500 * time.Millisecond
		if s.rollout.Phase != Canary {
			interval /= 2
		}
		for v := range s.counters {
			for i, c := range s.counters[v] {
				if (now+time.Duration(7*i+3*v)*step)%interval == 0 { // nodes do not report at the same time
					s.tally.Add(now, fmt.Sprint(v, "-", i), fmt.Sprint(i%3), 1, c.Counts())
				}
			}
		}
		if now%(100*time.Millisecond) == 0 {
			s.decide(now, limits)
		}
	}
}

func (s *simulation) decide(now time.Duration, limits Limits) {
	before := s.rollout
	s.rollout = Decide(now, s.rollout, s.tally, Fleet{Targets: s.servers, Others: s.servers, IsFresh: true}, limits)
	if s.rollout.Phase == Settled {
		s.rollout, s.completeAt = s.rollout.WithStored(now, StoredComplete, gd.Revision{Era: 1, Number: 2}), now
	}
	if s.rollout.Phase != before.Phase || s.rollout.Step != before.Step {
		s.knownAt = now + spreadDelay
	}
}

func (s *simulation) poisson(mean float64) int {
	n := 0
	for t := s.rnd.ExpFloat64(); t < mean; t += s.rnd.ExpFloat64() {
		n++
	}
	return n
}

// request sends a request to a server as nodes do.
func (s *simulation) request(now time.Duration) {
	if now >= s.knownAt {
		s.known = s.rollout
	}
	version, among := 0, s.servers
	switch {
	case s.known.Phase == Canary && s.rnd.Float64() < s.known.Share:
		version, among = 1, max(int(s.known.Share*float64(s.servers)), 1)
	case s.known.Phase == Shift || s.known.Phase == StoredComplete:
		version = 1
	}
	first := int(s.known.Step) * among
	i := (first + s.rnd.IntN(among)) % s.servers
	for k := range among {
		if j := (first + k) % s.servers; len(s.running[version][j]) < len(s.running[version][i]) {
			i = j
		}
	}
	if version == 1 && s.known.Phase == Canary && len(s.running[1][i]) >= simulatedSlots {
		version, i = 0, s.rnd.IntN(s.servers)
	}
	s.all++
	route := simulatedRoutes[s.rnd.IntN(len(simulatedRoutes))]
	r := response{version: version, srv: i, route: route.name, took: time.Duration(float64(route.work) * (0.5 + s.rnd.Float64()) / s.speeds[version][i])}
	r.isBad = s.rnd.Float64() < s.baseFails || s.cutZone && i%3 == 0 && now > 3*time.Second && now < 5*time.Second && s.rnd.IntN(2) == 0
	if version == 1 {
		s.exposed++
		s.lastSent = now
		b := s.target
		if now >= b.from && float64(len(s.running[1][i])) >= b.busy*simulatedSlots && (b.route == "" || b.route == route.name) {
			switch x := s.rnd.Float64(); {
			case x < b.failRatio:
				r.isBad, r.isOdd = true, true
			case x < b.failRatio+b.slowRatio:
				r.took, r.isOdd = 4*r.took, true
			}
		}
	}
	r.at = now + r.took
	s.running[version][i] = append(s.running[version][i], r.at)
	s.pending = append(s.pending, r)
}

func (s *simulation) finish(now time.Duration) {
	kept := s.pending[:0]
	for _, r := range s.pending {
		if r.at > now {
			kept = append(kept, r)
			continue
		}
		s.counters[r.version][r.srv].Add(fmt.Sprint("v", r.version+1), r.route, r.isBad, false, r.took)
		if r.isOdd {
			if s.bad++; s.bad == 50 {
				s.fiftiethAt = now
			}
		}
		list := s.running[r.version][r.srv]
		for i, end := range list {
			if end == r.at {
				s.running[r.version][r.srv] = append(list[:i], list[i+1:]...)
				break
			}
		}
	}
	s.pending = kept
}

// TestRollouts guards against a good version that is not complete in time, also with little traffic
// and while requests fail at all versions, and against a bad version that is completed, or gets
// more requests than the settings allow.
func TestRollouts(t *testing.T) {
	const seconds = time.Second
	for name, c := range map[string]struct {
		target    behaviour
		baseFails float64
		isGood    bool
		cutZone   bool
	}{
		"good":                       {isGood: true},
		"good, all fail some":        {baseFails: 0.2, isGood: true},
		"good, a data centre is cut": {isGood: true, cutZone: true},
		"bad at once":                {target: behaviour{failRatio: 0.4}},
		"bad at once, all fail some": {target: behaviour{failRatio: 0.5}, baseFails: 0.1},
		"fails always":               {target: behaviour{failRatio: 1}},
		"bad later":                  {target: behaviour{failRatio: 0.5, from: 5 * seconds}},
		"bad under load":             {target: behaviour{failRatio: 0.5, busy: 0.25}},
		"bad after the shift":        {target: behaviour{failRatio: 0.5, from: 1}},
		"slow":                       {target: behaviour{slowRatio: 0.7}},
		"slow later":                 {target: behaviour{slowRatio: 0.7, from: 4 * seconds}},
		"bad on one route":           {target: behaviour{failRatio: 0.5, route: "rates"}},
		"slow on one route":          {target: behaviour{slowRatio: 0.7, route: "writes"}},
	} {
		for _, perSecond := range []float64{900, 330, 4} {
			for _, duration := range []time.Duration{12 * seconds, 16 * seconds} {
				t.Run(fmt.Sprintf("%s at %.0f for %s", name, perSecond, duration), func(t *testing.T) {
					target := c.target
					if target.from == 1 {
						target.from = share(duration, 0.63)
					}
					for seed := range uint64(10) {
						s := &simulation{
							target: target, baseFails: c.baseFails, cutZone: c.cutZone, perSecond: perSecond, servers: max(int(perSecond/33), 2), duration: duration,
							rnd: rand.New(rand.NewPCG(seed, 1)),
						}
						s.run()
						s.check(t, seed, c.isGood)
					}
				})
			}
		}
	}
}

func (s *simulation) check(t *testing.T, seed uint64, isGood bool) {
	text := fmt.Sprintf("seed %d: %s (%s), %d of %d requests, %d bad, 50th at %s, last sent at %s", seed, s.rollout.Phase, s.rollout.Reason, s.exposed, s.all, s.bad, s.fiftiethAt, s.lastSent)
	if isGood {
		if s.rollout.Phase != StoredComplete || s.completeAt > s.duration-time.Second {
			t.Error(text)
		}
		return
	}
	isTooLate := s.fiftiethAt >= 0 && s.lastSent > s.fiftiethAt+5*time.Second
	isTooMuch := float64(s.exposed) > 0.1*float64(s.all)+50
	// With little traffic a version may end the roll-out before it has shown that it is bad.
	isUnseen := s.perSecond < 10 && s.target.failRatio < 1
	if s.bad == 0 {
		return // it was never under the load at which it is bad
	}
	if isTooLate || isTooMuch || s.rollout.Phase != RolledBack && !isUnseen {
		t.Error(text)
	}
}
