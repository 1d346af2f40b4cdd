// Package placement selects the node, and so the backend server, that a request
// is sent to.
//
// It balances load over servers that differ in speed, are still warming up or
// fail requests, and over data centres, taking the latency and the traffic
// between them into account. The load of a server is reported with its last
// response and is outdated after a few milliseconds. Therefore a request is first
// offered to nodes on condition that a slot is free. The load that the full nodes
// report decides where the request waits.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

const (
	defaultSlotTime = 50 * time.Millisecond  // mean slot time until one is known
	dataCentreRTT   = 2 * time.Millisecond   // round trip to another data centre
	nodeRTT         = 2 * time.Millisecond   // round trip to another node, including the processor time of both
	waitPerKilobyte = 16 * time.Millisecond  // wait that is accepted to avoid sending a kilobyte between data centres
	maxRemoteWait   = 250 * time.Millisecond // maximum wait that is accepted to avoid the transfer of a request
	headerBytes     = 1 << 10                // request and response headers
	failurePenalty  = 150 * time.Millisecond // added for each failed request
	maxPenalty      = 3 * time.Second        // also the cost of a server that fails all requests
	penaltyHalfLife = time.Second            // half-life of a penalty and of a transit delay
	loadHalfLife    = 250 * time.Millisecond // half-life of the requests of other nodes in a load report
	sampleSize      = 6                      // servers compared per choice; if all were compared, all nodes would choose the same one
	smoothing       = 0.1                    // weight of the newest value in a moving average
	jitter          = 0.1                    // maximum random cost, relative to the mean slot time
	maxLoadAge      = 10 * time.Second       // older load reports are ignored
	coldFactor      = 2                      // ratio of the slot times of a cold and a warm server
	minPause        = 500 * time.Millisecond // doubles with each further failure to reach the node
	maxPause        = 8 * time.Second
	// A node that has not responded to minUnanswered requests for silenceFactor times
	// the mean slot time, and for minSilence, may have lost power. Its connection fails
	// only after more than a second.
	minUnanswered    = 3
	silenceFactor    = 2
	minSilence       = 250 * time.Millisecond
	linkFactor       = 2   // a body on a busy link also delays the bodies behind it
	explorationRatio = 0.1 // probability that a server of unknown speed is treated as the fastest
)

// LargeBody is the size in bytes from which the transfer time of a body on the
// network link of a VM is taken into account.
const LargeBody = 8 << 10

// Load is the load of a backend server as its node reports it.
type Load struct {
	Running      int
	Waiting      int
	Slots        int
	Mean         time.Duration // mean slot time
	Wait         time.Duration // expected wait of a new request
	LimitWait    time.Duration // time until the server's limit on requests per second admits a new one; included in Wait
	ColdFor      time.Duration // remaining time for which the server is slow after its start
	FailureRatio float64       // fraction of the recent requests that the server failed
	LinkBusy     time.Duration // time until the VM's link has received all pending large bodies
	TransitDelay time.Duration // transit time of the last request in excess of the usual one
}

// Estimates hold what one node knows about the servers that it sends requests
// to. They are not safe for concurrent use. Use New to create Estimates.
type Estimates struct {
	node       string
	dataCentre string
	rnd        *rand.Rand
	nodes      map[string]*estimate
	size       map[string]float64 // mean size of request and response by class

	// Buffers of Next, Choose and sample, which would otherwise copy the records of a large
	// service for each node that a request is offered to.
	full                      []server.Record
	reachable, paused, sorted []*server.Record
	candidates                []Candidate
}

// estimate is what is known about one node and its server.
type estimate struct {
	load        Load
	reportedAt  time.Duration // time of the last load report
	hasLoad     bool
	inFlight    int           // requests that this node sent and that have not ended
	unanswered  int           // requests sent since the last response or message
	silentSince time.Duration // time at which the first of them was sent
	penalty     time.Duration // value at failedAt
	failedAt    time.Duration // time of the last failure
	pause       time.Duration // pause after the last failed connection, 0 if the node is reachable
	retryAt     time.Duration // end of the pause
	incarnation uint64        // of the node when it was unreachable
	outpacedAt  time.Duration // time of the last call of Outpaced
	isOutpaced  bool          // Outpaced has been called
}

// New returns the estimates of the given node in dataCentre.
func New(node, dataCentre string, rnd *rand.Rand) *Estimates {
	return &Estimates{node: node, dataCentre: dataCentre, rnd: rnd, nodes: map[string]*estimate{}, size: map[string]float64{}}
}

// Candidate is a server that Choose compared.
type Candidate struct {
	Node string
	Cost time.Duration
}

// Choose compares a random sample of the servers in serving whose nodes are not in
// tried. It returns the server with the lowest cost and the servers that it
// compared. An unreachable node is chosen for one request after its pause. During
// the pause it is only chosen if there is no other node and none has been tried.
// Choose reports false if no node is left. The candidates are valid until the next call.
func (e *Estimates) Choose(now time.Duration, class string, serving []server.Record, tried []string) (server.Record, []Candidate, bool) {
	reachable, paused := e.reachable[:0], e.paused[:0]
	for i := range serving {
		r := &serving[i]
		switch {
		case slices.Contains(tried, r.Node):
		case e.isPaused(now, r):
			paused = append(paused, r)
		default:
			reachable = append(reachable, r)
		}
	}
	e.reachable, e.paused = reachable, paused
	eligible := reachable
	if len(eligible) == 0 && len(tried) == 0 {
		eligible = paused
	}
	if len(eligible) == 0 {
		return server.Record{}, nil, false
	}
	var best *server.Record
	candidates := e.candidates[:0]
	least := time.Duration(math.MaxInt64)
	for _, r := range e.sample(eligible) {
		cost := e.Cost(now, class, r)
		candidates = append(candidates, Candidate{r.Node, cost})
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	e.candidates = candidates
	if n := e.estimateOf(best.Node); n.pause > 0 {
		n.retryAt = now + n.pause // a single request tests whether the node is reachable
	}
	return *best, candidates, true
}

// isPaused reports whether the node is in the pause after a failure to reach it.
// A restart of the node ends the pause.
func (e *Estimates) isPaused(now time.Duration, r *server.Record) bool {
	n, ok := e.nodes[r.Node]
	if !ok || n.pause == 0 {
		return false
	}
	if r.Incarnation != n.incarnation {
		n.pause = 0
		return false
	}
	return now < n.retryAt
}

// sample returns a random subset of records, whose order it changes. It prefers servers of the
// node's own data centre.
func (e *Estimates) sample(records []*server.Record) []*server.Record {
	e.rnd.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	if len(records) <= sampleSize {
		return records
	}
	sorted := e.sorted[:0] // by distance
	for distance := range maxDistance + 1 {
		for _, r := range records {
			if e.distance(r) == distance {
				sorted = append(sorted, r)
			}
		}
	}
	e.sorted = sorted
	near := 0
	for near < len(sorted) && e.distance(sorted[near]) == 0 {
		near++
	}
	// Always include servers of other data centres, because they may be idle.
	near = min(near, sampleSize-sampleSize/3)
	copy(sorted[near:], sorted[len(sorted)-(sampleSize-near):])
	return sorted[:sampleSize]
}

// maxDistance is the largest value that distance returns.
const maxDistance = 1

func (e *Estimates) distance(r *server.Record) int {
	if r.DataCentre == e.dataCentre {
		return 0
	}
	return 1
}

// Cost returns the expected response time of the server plus penalties for
// failures and the cost of the traffic between data centres.
func (e *Estimates) Cost(now time.Duration, class string, r *server.Record) time.Duration {
	n := e.estimateOf(r.Node)
	mean := n.load.Mean
	if mean == 0 {
		mean = e.typicalSlotTime()
	}
	if e.isUnknown(now, n) && e.rnd.Float64() < explorationRatio {
		// Without exploration, a new server would never be chosen while fast
		// servers are idle, and its speed would stay unknown.
		mean = 0
	}
	if n.load.ColdFor > 0 && now < n.reportedAt+n.load.ColdFor {
		mean *= coldFactor
	}
	slots := max(r.Slots, 1)
	outstanding := e.outstanding(now, n)
	// The request waits for this many slot times until a slot is free.
	rounds := max(0, outstanding+1-float64(slots)) / float64(slots)
	cost := time.Duration((1 + rounds) * float64(mean))
	if n.load.FailureRatio > 0 {
		cost += time.Duration(min(n.load.FailureRatio, 1) * float64(maxPenalty))
	}
	cost += max(0, n.load.LimitWait-(now-n.reportedAt))
	cost += n.silence(now, mean)
	cost += decayed(n.penalty, now-n.failedAt) + decayed(n.load.TransitDelay, now-n.reportedAt)
	if r.Node != e.node {
		cost += nodeRTT
	}
	if e.distance(r) > 0 {
		cost += e.remoteCost(class)
	}
	if e.size[class] > LargeBody && r.Node != e.node {
		cost += linkFactor * n.linkBusy(now)
	}
	return cost + time.Duration(jitter*e.rnd.Float64()*float64(mean))
}

// remoteCost returns the cost of sending a request of the class to another data
// centre: the round trip, and the wait that is accepted to avoid the traffic.
func (e *Estimates) remoteCost(class string) time.Duration {
	wait := time.Duration((headerBytes + e.size[class]) / 1024 * float64(waitPerKilobyte))
	return dataCentreRTT + min(wait, maxRemoteWait)
}

// outstanding estimates the number of requests at the server: those of this node
// plus those of other nodes in the last load report, which decay with its age.
func (e *Estimates) outstanding(now time.Duration, n *estimate) float64 {
	if !n.hasLoad || now-n.reportedAt > maxLoadAge {
		return float64(n.inFlight)
	}
	others := float64(n.load.Running + n.load.Waiting - n.inFlight)
	return float64(n.inFlight) + max(0, others)*math.Exp2(-float64(now-n.reportedAt)/float64(loadHalfLife))
}

// silence returns how long the node has not responded, or 0 if that is not unusual
// for requests with the given mean slot time.
func (n *estimate) silence(now, mean time.Duration) time.Duration {
	silence := now - n.silentSince
	if n.unanswered < minUnanswered || n.inFlight == 0 || silence < max(minSilence, silenceFactor*mean) {
		return 0
	}
	return silence
}

// isUnknown reports whether the server's speed is unknown: there is no recent load
// report or cancelled attempt, and this node has no request in flight to it.
func (e *Estimates) isUnknown(now time.Duration, n *estimate) bool {
	return n.inFlight == 0 && (!n.hasLoad || now-n.reportedAt > maxLoadAge) && (!n.isOutpaced || now-n.outpacedAt > maxLoadAge)
}

// typicalSlotTime returns the average over the servers whose mean slot time is
// known.
func (e *Estimates) typicalSlotTime() time.Duration {
	var sum time.Duration
	count := 0
	for _, n := range e.nodes {
		if n.load.Mean > 0 {
			sum += n.load.Mean
			count++
		}
	}
	if count == 0 {
		return defaultSlotTime
	}
	return sum / time.Duration(count)
}

// decayed returns what is left of a penalty or delay d after age.
func decayed(d, age time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	return time.Duration(float64(d) * math.Exp2(-float64(age)/float64(penaltyHalfLife)))
}

func (e *Estimates) estimateOf(node string) *estimate {
	n, ok := e.nodes[node]
	if !ok {
		n = &estimate{}
		e.nodes[node] = n
	}
	return n
}

// Sent records that a request was sent to node.
func (e *Estimates) Sent(now time.Duration, node string) {
	n := e.estimateOf(node)
	n.inFlight++
	if n.unanswered == 0 {
		n.silentSince = now
	}
	n.unanswered++
}

// Ended records that a request to node ended, with or without a response.
func (e *Estimates) Ended(node string) {
	n := e.estimateOf(node)
	n.inFlight = max(0, n.inFlight-1)
}

// Reported records a load report of node.
func (e *Estimates) Reported(now time.Duration, node string, l Load) {
	n := e.estimateOf(node)
	n.load, n.reportedAt, n.hasLoad = l, now, true
	n.pause, n.unanswered = 0, 0
}

// expectedWait returns the expected wait of a request of the class at node,
// according to the last load report.
func (e *Estimates) expectedWait(now time.Duration, class, node string) time.Duration {
	n := e.estimateOf(node)
	if e.size[class] > LargeBody && node != e.node {
		return n.load.Wait + linkFactor*n.linkBusy(now)
	}
	return n.load.Wait
}

// linkBusy returns the time until the VM's link has received the large bodies that
// were pending in the last load report.
func (n *estimate) linkBusy(now time.Duration) time.Duration {
	return max(0, n.load.LinkBusy-(now-n.reportedAt))
}

// Failed records that the server of node failed a request.
func (e *Estimates) Failed(now time.Duration, node string) {
	n := e.estimateOf(node)
	n.penalty = min(decayed(n.penalty, now-n.failedAt)+failurePenalty, maxPenalty)
	n.failedAt = now
}

// Unreachable records that the node of r could not be reached. The node gets no
// requests during a pause, which doubles with each failure.
func (e *Estimates) Unreachable(now time.Duration, r server.Record) {
	n := e.estimateOf(r.Node)
	if now < n.retryAt && n.pause > 0 && n.incarnation == r.Incarnation {
		return // counts as one failure if several requests were in flight
	}
	n.pause = min(max(2*n.pause, minPause), maxPause)
	n.retryAt, n.incarnation = now+n.pause, r.Incarnation
}

// Reached records that a message without a load report has arrived from node, which
// is therefore reachable.
func (e *Estimates) Reached(node string) {
	if n, ok := e.nodes[node]; ok {
		n.pause, n.unanswered = 0, 0
	}
}

// Transferred records the size of a request of the class and its response.
func (e *Estimates) Transferred(class string, size int64) {
	mean, ok := e.size[class]
	if !ok {
		e.size[class] = float64(size)
		return
	}
	e.size[class] = mean + smoothing*(float64(size)-mean)
}

// Retain removes the nodes for which has returns false, unless a request to them
// is in flight.
func (e *Estimates) Retain(has func(node string) bool) {
	for node, n := range e.nodes {
		if n.inFlight == 0 && !has(node) {
			delete(e.nodes, node)
		}
	}
}
