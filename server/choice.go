package server

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Costs and terms of the choice.
const (
	sameRegionLatency  = 1 * time.Millisecond  // the way to another data centre of the region
	otherRegionLatency = 20 * time.Millisecond // the way to another region
	initialServiceTime = 5 * time.Millisecond  // service time of a server that has not answered yet
	failurePenalty     = 200 * time.Millisecond
	shedPenalty        = 20 * time.Millisecond
	unhealthyPenalty   = 2 * time.Millisecond
	maxPenalty         = 2 * time.Second
	penaltyHalfLife    = 2 * time.Second // half-life of a penalty
	loadHalfLife       = 300 * time.Millisecond
	warmUpTime         = 10 * time.Second
	minColdShare       = 0.1 // share of a cold server's traffic at its start
	serviceTimeWeight  = 0.2 // weight of the newest service time
)

// Load is what a server's node reports with each answer.
type Load struct {
	Queued  int
	Running int
	Service time.Duration // mean time in a slot
}

// Place is where the choosing node stands.
type Place struct {
	DataCentre, Region string
}

// Estimates hold what one node knows of the servers it sends calls to. The
// owner serialises access. Use NewEstimates.
type Estimates struct {
	locality Place
	servers  map[string]*estimate
}

type estimate struct {
	outstanding int
	otherCalls  float64 // others' calls that waited when the server last answered
	service     time.Duration
	loadAt      time.Duration
	penalty     time.Duration
	penalizedAt time.Duration
	firstSeen   time.Duration // when the server was first seen
}

// NewEstimates returns estimates for a node at place.
func NewEstimates(locality Place) *Estimates {
	return &Estimates{locality: locality, servers: map[string]*estimate{}}
}

// Candidate is a server that was considered, with the wait expected there.
type Candidate struct {
	Node string
	Wait time.Duration
}

// Choice is the outcome of a choice, for the log.
type Choice struct {
	Server     Record
	Candidates []Candidate
}

// Choose picks a server among serving, leaving out the nodes in tried: two
// random ones of the own data centre and one from elsewhere are compared, and
// the lowest expected wait, the way included, wins. It reports false when none
// is left.
func (e *Estimates) Choose(now time.Duration, serving []Record, tried []string, rnd *rand.Rand) (Choice, bool) {
	var local, remote []Record
	for _, r := range serving {
		switch {
		case slices.Contains(tried, r.Node):
		case r.DataCentre == e.locality.DataCentre:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
	}
	localCount, remoteCount := 2, 1
	if len(local) == 0 {
		remoteCount = 2
	}
	candidates := append(e.sample(now, local, localCount, rnd), e.sample(now, remote, remoteCount, rnd)...)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	return e.best(now, candidates), true
}

// draw picks up to n different records; a cold server is passed over in favour
// of another draw with a chance that falls as it warms up.
func (e *Estimates) sample(now time.Duration, records []Record, n int, rnd *rand.Rand) []Record {
	var sampled []Record
	for len(sampled) < n && len(records) > 0 {
		i := rnd.IntN(len(records))
		if rnd.Float64() > e.trafficShare(now, records[i]) {
			i = rnd.IntN(len(records))
		}
		sampled = append(sampled, records[i])
		records = slices.Delete(slices.Clone(records), i, i+1)
	}
	return sampled
}

// warmth is the share of full traffic that the server should get.
func (e *Estimates) trafficShare(now time.Duration, r Record) float64 {
	age := now - e.estimateFor(now, r.Node).firstSeen
	return min(1, minColdShare+(1-minColdShare)*float64(age)/float64(warmUpTime))
}

func (e *Estimates) best(now time.Duration, records []Record) Choice {
	c := Choice{Candidates: make([]Candidate, len(records))}
	lowest := time.Duration(math.MaxInt64)
	for i, r := range records {
		w := e.Wait(now, r)
		c.Candidates[i] = Candidate{r.Node, w}
		if w < lowest {
			lowest = w
			c.Server = r
		}
	}
	return c
}

// Wait returns the time until an answer that is expected from the server.
func (e *Estimates) Wait(now time.Duration, r Record) time.Duration {
	s := e.estimateFor(now, r.Node)
	ahead := float64(s.outstanding) + s.otherCalls*decay(now-s.loadAt, loadHalfLife)
	rounds := max(0, ahead+1-float64(max(r.Slots, 1))) / float64(max(r.Slots, 1))
	wait := time.Duration((1 + rounds) * float64(s.service))
	wait += time.Duration(float64(s.penalty) * decay(now-s.penalizedAt, penaltyHalfLife))
	if r.Unhealthy {
		wait += unhealthyPenalty
	}
	return wait + e.latency(r)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (e *Estimates) latency(r Record) time.Duration {
	switch {
	case r.DataCentre == e.locality.DataCentre:
		return 0
	case r.Region == e.locality.Region:
		return sameRegionLatency
	}
	return otherRegionLatency
}

func (e *Estimates) estimateFor(now time.Duration, node string) *estimate {
	s, ok := e.servers[node]
	if !ok {
		s = &estimate{service: e.meanServiceTime(), loadAt: now, firstSeen: now}
		e.servers[node] = s
	}
	return s
}

// typical returns the mean service time of the servers that have answered, so
// that a server not tried yet looks neither better nor worse than the others.
func (e *Estimates) meanServiceTime() time.Duration {
	if len(e.servers) == 0 {
		return initialServiceTime
	}
	var sum time.Duration
	for _, s := range e.servers {
		sum += s.service
	}
	return sum / time.Duration(len(e.servers))
}

// Sent notes that a call was sent to node.
func (e *Estimates) Sent(now time.Duration, node string) { e.estimateFor(now, node).outstanding++ }

// Ended notes that a call to node ended, however it did.
func (e *Estimates) Ended(now time.Duration, node string) {
	s := e.estimateFor(now, node)
	s.outstanding = max(0, s.outstanding-1)
}

// Heard notes the load that came back with an answer.
func (e *Estimates) Heard(now time.Duration, node string, l Load) {
	s := e.estimateFor(now, node)
	s.loadAt = now
	s.otherCalls = max(0, float64(l.Queued+l.Running-s.outstanding))
	if l.Service > 0 {
		s.service += time.Duration(serviceTimeWeight * float64(l.Service-s.service))
	}
}

// Shed notes that node refused a call because it had no room.
func (e *Estimates) Shed(now time.Duration, node string) { e.penalize(now, node, shedPenalty) }

// Failed notes that a call to node failed or stayed silent.
func (e *Estimates) Failed(now time.Duration, node string) { e.penalize(now, node, failurePenalty) }

func (e *Estimates) penalize(now time.Duration, node string, penalty time.Duration) {
	s := e.estimateFor(now, node)
	left := time.Duration(float64(s.penalty) * decay(now-s.penalizedAt, penaltyHalfLife))
	s.penalty = min(left+penalty, maxPenalty)
	s.penalizedAt = now
}

// Retain drops what is known of servers that are not in d.
func (e *Estimates) Retain(d Directory) {
	for node := range e.servers {
		if r, ok := d.Record(node); !ok || r.State >= Lost {
			delete(e.servers, node)
		}
	}
}
