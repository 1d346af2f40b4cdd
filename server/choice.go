package server

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Costs and terms of the choice.
const (
	regionCost     = 1 * time.Millisecond  // the way to another data centre of the region
	farCost        = 20 * time.Millisecond // the way to another region
	firstEstimate  = 5 * time.Millisecond  // service time of a server that has not answered yet
	failurePenalty = 200 * time.Millisecond
	shedPenalty    = 20 * time.Millisecond
	hintPenalty    = 2 * time.Millisecond
	maxPenalty     = 2 * time.Second
	penaltyHalf    = 2 * time.Second // half-life of a penalty
	loadHalf       = 300 * time.Millisecond
	coldStart      = 10 * time.Second
	coldLeast      = 0.1 // share of a cold server's traffic at its start
	smoothing      = 0.2 // weight of the newest service time
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
	place   Place
	servers map[string]*estimate
}

type estimate struct {
	outstanding int
	queued      float64 // others' calls that waited when the server last answered
	service     time.Duration
	heard       time.Duration
	penalty     time.Duration
	punished    time.Duration
	first       time.Duration // when the server was first seen
}

// NewEstimates returns estimates for a node at place.
func NewEstimates(place Place) *Estimates {
	return &Estimates{place: place, servers: map[string]*estimate{}}
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
	var near, far []Record
	for _, r := range serving {
		switch {
		case slices.Contains(tried, r.Node):
		case r.DataCentre == e.place.DataCentre:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	nearCount, farCount := 2, 1
	if len(near) == 0 {
		farCount = 2
	}
	candidates := append(e.draw(now, near, nearCount, rnd), e.draw(now, far, farCount, rnd)...)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	return e.best(now, candidates), true
}

// draw picks up to n different records; a cold server is passed over in favour
// of another draw with a chance that falls as it warms up.
func (e *Estimates) draw(now time.Duration, records []Record, n int, rnd *rand.Rand) []Record {
	var drawn []Record
	for len(drawn) < n && len(records) > 0 {
		i := rnd.IntN(len(records))
		if rnd.Float64() > e.warmth(now, records[i]) {
			i = rnd.IntN(len(records))
		}
		drawn = append(drawn, records[i])
		records = slices.Delete(slices.Clone(records), i, i+1)
	}
	return drawn
}

// warmth is the share of full traffic that the server should get.
func (e *Estimates) warmth(now time.Duration, r Record) float64 {
	age := now - e.of(now, r.Node).first
	return min(1, coldLeast+(1-coldLeast)*float64(age)/float64(coldStart))
}

func (e *Estimates) best(now time.Duration, records []Record) Choice {
	c := Choice{Candidates: make([]Candidate, len(records))}
	least := time.Duration(math.MaxInt64)
	for i, r := range records {
		w := e.Wait(now, r)
		c.Candidates[i] = Candidate{r.Node, w}
		if w < least {
			least = w
			c.Server = r
		}
	}
	return c
}

// Wait returns the time until an answer that is expected from the server.
func (e *Estimates) Wait(now time.Duration, r Record) time.Duration {
	s := e.of(now, r.Node)
	ahead := float64(s.outstanding) + s.queued*halved(now-s.heard, loadHalf)
	rounds := max(0, ahead+1-float64(max(r.Slots, 1))) / float64(max(r.Slots, 1))
	wait := time.Duration((1 + rounds) * float64(s.service))
	wait += time.Duration(float64(s.penalty) * halved(now-s.punished, penaltyHalf))
	if r.Unhealthy {
		wait += hintPenalty
	}
	return wait + e.way(r)
}

func halved(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}

func (e *Estimates) way(r Record) time.Duration {
	switch {
	case r.DataCentre == e.place.DataCentre:
		return 0
	case r.Region == e.place.Region:
		return regionCost
	}
	return farCost
}

func (e *Estimates) of(now time.Duration, node string) *estimate {
	s, ok := e.servers[node]
	if !ok {
		s = &estimate{service: e.typical(), heard: now, first: now}
		e.servers[node] = s
	}
	return s
}

// typical returns the mean service time of the servers that have answered, so
// that a server not tried yet looks neither better nor worse than the others.
func (e *Estimates) typical() time.Duration {
	if len(e.servers) == 0 {
		return firstEstimate
	}
	var sum time.Duration
	for _, s := range e.servers {
		sum += s.service
	}
	return sum / time.Duration(len(e.servers))
}

// Sent notes that a call was sent to node.
func (e *Estimates) Sent(now time.Duration, node string) { e.of(now, node).outstanding++ }

// Ended notes that a call to node ended, however it did.
func (e *Estimates) Ended(now time.Duration, node string) {
	s := e.of(now, node)
	s.outstanding = max(0, s.outstanding-1)
}

// Heard notes the load that came back with an answer.
func (e *Estimates) Heard(now time.Duration, node string, l Load) {
	s := e.of(now, node)
	s.heard = now
	s.queued = max(0, float64(l.Queued+l.Running-s.outstanding))
	if l.Service > 0 {
		s.service += time.Duration(smoothing * float64(l.Service-s.service))
	}
}

// Shed notes that node refused a call because it had no room.
func (e *Estimates) Shed(now time.Duration, node string) { e.punish(now, node, shedPenalty) }

// Failed notes that a call to node failed or stayed silent.
func (e *Estimates) Failed(now time.Duration, node string) { e.punish(now, node, failurePenalty) }

func (e *Estimates) punish(now time.Duration, node string, penalty time.Duration) {
	s := e.of(now, node)
	left := time.Duration(float64(s.penalty) * halved(now-s.punished, penaltyHalf))
	s.penalty = min(left+penalty, maxPenalty)
	s.punished = now
}

// Retain drops what is known of servers that are not in d.
func (e *Estimates) Retain(d Directory) {
	for node := range e.servers {
		if r, ok := d.Record(node); !ok || r.State >= Lost {
			delete(e.servers, node)
		}
	}
}
