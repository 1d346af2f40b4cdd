package server

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the choice. Latencies and penalties are added to the expected wait.
const (
	sameRegionLatency  = 1 * time.Millisecond  // to another data centre of the same region
	otherRegionLatency = 20 * time.Millisecond // to another region
	initialSlotTime    = 5 * time.Millisecond  // assumed until a server has responded
	failurePenalty     = 200 * time.Millisecond
	shedPenalty        = 20 * time.Millisecond
	unhealthyPenalty   = 2 * time.Millisecond
	maxPenalty         = 2 * time.Second
	penaltyHalfLife    = 2 * time.Second
	loadHalfLife       = 300 * time.Millisecond
	warmUpTime         = 10 * time.Second
	minColdShare       = 0.1 // share of its traffic that a server gets when it is first seen
	slotTimeWeight     = 0.2 // weight of the newest slot time in the moving average
)

// Load is the load that a server's node reports with each response.
type Load struct {
	Queued   int
	Running  int
	SlotTime time.Duration // mean time that a call holds a slot
}

// Locality is the location of the node that chooses.
type Locality struct {
	DataCentre, Region string
}

// Estimates holds what one node knows of the servers that it sends calls to. It is
// not safe for concurrent use. Use NewEstimates to create one.
type Estimates struct {
	locality Locality
	servers  map[string]*estimate
}

type estimate struct {
	outstanding int     // calls of this node in flight
	otherCalls  float64 // calls of other nodes at the server, queued or running, at loadAt
	slotTime    time.Duration
	loadAt      time.Duration // time of the last load report
	penalty     time.Duration // value at penalizedAt
	penalizedAt time.Duration
	firstSeen   time.Duration
}

// NewEstimates returns estimates for a node with the given locality.
func NewEstimates(locality Locality) *Estimates {
	return &Estimates{locality: locality, servers: map[string]*estimate{}}
}

// Candidate is a server that was compared, with its expected wait.
type Candidate struct {
	Node string
	Wait time.Duration
}

// Choice is a chosen server, with the candidates for the log.
type Choice struct {
	Server     Record
	Candidates []Candidate
}

// Choose picks a server among serving, without the nodes in tried. It compares two
// random servers of the own data centre and one of another, or two of others if
// the own has none, and picks the one with the lowest expected wait. It reports
// false if no server is left.
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

// sample returns up to n different random records. If it draws a server that is
// warming up, it draws a second time with a probability that falls with the
// server's age.
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

// trafficShare returns the share of its full traffic that the server should get
// while it warms up.
func (e *Estimates) trafficShare(now time.Duration, r Record) float64 {
	age := now - e.estimateFor(now, r.Node).firstSeen
	return min(1, minColdShare+(1-minColdShare)*float64(age)/float64(warmUpTime))
}

// best returns the choice of the record with the lowest expected wait.
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

// Wait returns the expected time until the server responds to a call sent now, plus
// the penalties and the network latency.
func (e *Estimates) Wait(now time.Duration, r Record) time.Duration {
	s := e.estimateFor(now, r.Node)
	ahead := float64(s.outstanding) + s.otherCalls*decay(now-s.loadAt, loadHalfLife)
	// The call waits for this many slot times until a slot is free.
	rounds := max(0, ahead+1-float64(max(r.Slots, 1))) / float64(max(r.Slots, 1))
	wait := time.Duration((1 + rounds) * float64(s.slotTime))
	wait += time.Duration(float64(s.penalty) * decay(now-s.penalizedAt, penaltyHalfLife))
	if r.Unhealthy {
		wait += unhealthyPenalty
	}
	return wait + e.latency(r)
}

// decay returns the factor by which a value has decayed at the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// latency returns the network latency to the server.
func (e *Estimates) latency(r Record) time.Duration {
	switch {
	case r.DataCentre == e.locality.DataCentre:
		return 0
	case r.Region == e.locality.Region:
		return sameRegionLatency
	}
	return otherRegionLatency
}

// estimateFor returns the estimate of node. If there is none, it adds one.
func (e *Estimates) estimateFor(now time.Duration, node string) *estimate {
	s, ok := e.servers[node]
	if !ok {
		s = &estimate{slotTime: e.meanSlotTime(), loadAt: now, firstSeen: now}
		e.servers[node] = s
	}
	return s
}

// meanSlotTime returns the mean slot time over the known servers. A new server
// starts with it, so that it ranks neither above nor below the others.
func (e *Estimates) meanSlotTime() time.Duration {
	if len(e.servers) == 0 {
		return initialSlotTime
	}
	var sum time.Duration
	for _, s := range e.servers {
		sum += s.slotTime
	}
	return sum / time.Duration(len(e.servers))
}

// Sent records that a call was sent to node.
func (e *Estimates) Sent(now time.Duration, node string) { e.estimateFor(now, node).outstanding++ }

// Ended records that a call to node ended, with or without a response.
func (e *Estimates) Ended(now time.Duration, node string) {
	s := e.estimateFor(now, node)
	s.outstanding = max(0, s.outstanding-1)
}

// Reported records the load that node reported with a response.
func (e *Estimates) Reported(now time.Duration, node string, l Load) {
	s := e.estimateFor(now, node)
	s.loadAt = now
	s.otherCalls = max(0, float64(l.Queued+l.Running-s.outstanding))
	if l.SlotTime > 0 {
		s.slotTime += time.Duration(slotTimeWeight * float64(l.SlotTime-s.slotTime))
	}
}

// Shed records that node refused a call because it had no room for it.
func (e *Estimates) Shed(now time.Duration, node string) { e.penalize(now, node, shedPenalty) }

// Failed records that a call to node failed or got no response.
func (e *Estimates) Failed(now time.Duration, node string) { e.penalize(now, node, failurePenalty) }

// penalize adds a penalty to what is left of the earlier ones.
func (e *Estimates) penalize(now time.Duration, node string, penalty time.Duration) {
	s := e.estimateFor(now, node)
	left := time.Duration(float64(s.penalty) * decay(now-s.penalizedAt, penaltyHalfLife))
	s.penalty = min(left+penalty, maxPenalty)
	s.penalizedAt = now
}

// Retain drops the estimates of nodes that are not in d or whose server is lost or
// gone.
func (e *Estimates) Retain(d Directory) {
	for node := range e.servers {
		if r, ok := d.Record(node); !ok || r.State >= Lost {
			delete(e.servers, node)
		}
	}
}
