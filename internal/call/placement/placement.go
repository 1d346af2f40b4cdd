// Package placement chooses the node, and so the backend server, that a request
// is sent to.
//
// It answers for uneven load: servers of different speed, cold ones, failing
// ones, queues that grow in one data centre while another has room, and ways
// that cost time and bytes. What is known of a server's queue came with its last
// answer and is old after a few milliseconds, so a choice is first offered
// without leave to wait, and the answers of those that have no free slot decide
// where the request waits.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

const (
	defaultSlotTime  = 50 * time.Millisecond  // slot time of a server before any is known
	dataCentreRTT    = 2 * time.Millisecond   // to and from another data centre
	nodeRTT          = 2 * time.Millisecond   // to and from another node, with the processor time of both
	waitPerKilobyte  = 4 * time.Millisecond   // wait that saving a kilobyte between data centres is worth
	headerBytes      = 1 << 10                // of heads, to and fro
	failurePenalty   = 150 * time.Millisecond // after a failure
	maxPenalty       = 3 * time.Second
	penaltyHalfLife  = time.Second            // half-life of a penalty, and of a queue on the way
	loadHalfLife     = 250 * time.Millisecond // half-life of what a load report says beyond the usual
	sampleSize       = 6                      // servers that are compared, so that nodes do not all choose the same
	smoothing        = 0.1                    // weight of the newest size in a mean
	jitter           = 0.1                    // share by which equal servers are told apart
	maxLoadAge       = 10 * time.Second       // reports older than this say nothing
	coldFactor       = 2                      // a cold server takes this many times longer
	minPause         = 500 * time.Millisecond // first pause after a node could not be reached
	maxPause         = 8 * time.Second
	linkFactor       = 2   // a body on a busy link delays what comes behind it as well
	explorationRatio = 0.1 // share of the choices in which a server of which nothing is known goes first
)

// LargeBody is the size from which the time that a body takes on the links of
// VMs counts, in bytes.
const LargeBody = 8 << 10

// Load is what a node says of the server beside it.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Mean    time.Duration // slot time
	Wait    time.Duration // expected by a request that comes now
	Cold    time.Duration // how much longer the server is slow after its start
	Failing float64       // share of the last requests that it failed
	Link    time.Duration // until the large bodies that are on their way have arrived
	Way     time.Duration // that the last request was on its way beyond the usual
}

// Estimates hold what one node knows of the servers it sends requests to. The
// owner serialises access. Use New.
type Estimates struct {
	node       string
	dataCentre string
	rnd        *rand.Rand
	nodes      map[string]*estimate
	size       map[string]float64 // mean size of a class, to and fro
}

type estimate struct {
	load        Load
	reportedAt  time.Duration // when load came
	hasLoad     bool
	inFlight    int // requests of this node that are under way
	penalty     time.Duration
	failedAt    time.Duration
	pause       time.Duration // pause after the last failure to reach the node
	retryAt     time.Duration
	incarnation uint64 // of the node that could not be reached
}

// New returns the estimates of a node in dataCentre.
func New(node, dataCentre string, rnd *rand.Rand) *Estimates {
	return &Estimates{node: node, dataCentre: dataCentre, rnd: rnd, nodes: map[string]*estimate{}, size: map[string]float64{}}
}

// Candidate is a server that was considered.
type Candidate struct {
	Node string
	Cost time.Duration // expected time until the answer, with what the way costs
}

// Choose returns the server with the least cost among a sample of serving,
// without those in tried. A node that could not be reached is only chosen where
// no other is left and none was tried, or for one request when its pause has
// passed. It reports false if none is left.
func (e *Estimates) Choose(now time.Duration, class string, serving []server.Record, tried []string) (server.Record, []Candidate, bool) {
	var reachable, paused []server.Record
	for _, r := range serving {
		switch {
		case slices.Contains(tried, r.Node):
		case e.isPaused(now, r):
			paused = append(paused, r)
		default:
			reachable = append(reachable, r)
		}
	}
	left := reachable
	if len(left) == 0 && len(tried) == 0 {
		left = paused
	}
	if len(left) == 0 {
		return server.Record{}, nil, false
	}
	var best server.Record
	var candidates []Candidate
	least := time.Duration(math.MaxInt64)
	for _, r := range e.sample(left) {
		cost := e.Cost(now, class, r)
		candidates = append(candidates, Candidate{r.Node, cost})
		if cost < least {
			best, least = r, cost
		}
	}
	if n := e.estimateOf(best.Node); n.pause > 0 {
		n.retryAt = now + n.pause // the others wait for what this request finds
	}
	return best, candidates, true
}

// isPaused reports whether the node could not be reached a short while ago. A
// node that has started again since is not paused.
func (e *Estimates) isPaused(now time.Duration, r server.Record) bool {
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

// sample returns a random part of records that holds those of the own data
// centre first.
func (e *Estimates) sample(records []server.Record) []server.Record {
	e.rnd.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	if len(records) <= sampleSize {
		return records
	}
	slices.SortStableFunc(records, func(a, b server.Record) int {
		return e.distance(a) - e.distance(b)
	})
	near := 0
	for near < len(records) && e.distance(records[near]) == 0 {
		near++
	}
	// Some of other data centres are always compared, for theirs may be idle.
	near = min(near, sampleSize-sampleSize/3)
	return slices.Concat(records[:near], records[len(records)-(sampleSize-near):])
}

func (e *Estimates) distance(r server.Record) int {
	if r.DataCentre == e.dataCentre {
		return 0
	}
	return 1
}

// Cost returns the expected time until the answer of the server, with the
// penalties and the price of the way.
func (e *Estimates) Cost(now time.Duration, class string, r server.Record) time.Duration {
	n := e.estimateOf(r.Node)
	mean := n.load.Mean
	if mean == 0 {
		mean = e.typicalSlotTime()
	}
	if e.isUnknown(now, n) && e.rnd.Float64() < explorationRatio {
		// Where fast servers are idle, one that has joined would never be the
		// best, and nothing would be learned of it.
		mean = 0
	}
	if n.load.Cold > 0 && now < n.reportedAt+n.load.Cold {
		mean *= coldFactor
	}
	slots := max(r.Slots, 1)
	outstanding := e.outstanding(now, n)
	rounds := max(0, outstanding+1-float64(slots)) / float64(slots)
	cost := time.Duration((1 + rounds) * float64(mean))
	if n.load.Failing > 0 {
		cost += time.Duration(min(n.load.Failing, 1) * float64(maxPenalty))
	}
	cost += decayed(n.penalty, now-n.failedAt) + decayed(n.load.Way, now-n.reportedAt)
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

// farCost is the cost of the way to another data centre: its time, and the wait
// that sparing its bytes is worth.
func (e *Estimates) remoteCost(class string) time.Duration {
	return dataCentreRTT + time.Duration((headerBytes+e.size[class])/1024*float64(waitPerKilobyte))
}

// ahead estimates the requests at the server: those of this node, and what the
// last report said of others, which fades.
func (e *Estimates) outstanding(now time.Duration, n *estimate) float64 {
	if !n.hasLoad || now-n.reportedAt > maxLoadAge {
		return float64(n.inFlight)
	}
	others := float64(n.load.Running + n.load.Waiting - n.inFlight)
	return float64(n.inFlight) + max(0, others)*math.Exp2(-float64(now-n.reportedAt)/float64(loadHalfLife))
}

// isUnknown reports whether nothing is known of the server's speed: it has not
// been heard, at least not lately, and no request is on its way to it.
func (e *Estimates) isUnknown(now time.Duration, n *estimate) bool {
	return n.inFlight == 0 && (!n.hasLoad || now-n.reportedAt > maxLoadAge)
}

// typical returns the mean slot time of the servers that were heard.
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

// Sent notes that a request was sent to node.
func (e *Estimates) Sent(node string) { e.estimateOf(node).inFlight++ }

// Ended notes that a request to node ended, however it did.
func (e *Estimates) Ended(node string) {
	n := e.estimateOf(node)
	n.inFlight = max(0, n.inFlight-1)
}

// Heard notes what a node said of its server.
func (e *Estimates) Heard(now time.Duration, node string, l Load) {
	n := e.estimateOf(node)
	n.load, n.reportedAt, n.hasLoad = l, now, true
	n.pause = 0
}

// wait returns the wait at node of a request of the class, as the node last told
// of it.
func (e *Estimates) expectedWait(now time.Duration, class, node string) time.Duration {
	n := e.estimateOf(node)
	if e.size[class] > LargeBody && node != e.node {
		return n.load.Wait + linkFactor*n.linkBusy(now)
	}
	return n.load.Wait
}

// link returns the time until the large bodies that the node last told of have
// arrived.
func (n *estimate) linkBusy(now time.Duration) time.Duration {
	return max(0, n.load.Link-(now-n.reportedAt))
}

// Failed notes that the server of node failed a request.
func (e *Estimates) Failed(now time.Duration, node string) {
	n := e.estimateOf(node)
	n.penalty = min(decayed(n.penalty, now-n.failedAt)+failurePenalty, maxPenalty)
	n.failedAt = now
}

// Unreachable notes that the node of r could not be reached. It is left alone
// for a while that doubles each time.
func (e *Estimates) Unreachable(now time.Duration, r server.Record) {
	n := e.estimateOf(r.Node)
	if now < n.retryAt && n.pause > 0 && n.incarnation == r.Incarnation {
		return // several requests were under way when it went
	}
	n.pause = min(max(2*n.pause, minPause), maxPause)
	n.retryAt, n.incarnation = now+n.pause, r.Incarnation
}

// Reached notes that node was heard in another way.
func (e *Estimates) Reached(node string) {
	if n, ok := e.nodes[node]; ok {
		n.pause = 0
	}
}

// Transferred notes how many bytes a request of the class took, to and fro.
func (e *Estimates) Transferred(class string, size int64) {
	mean, ok := e.size[class]
	if !ok {
		e.size[class] = float64(size)
		return
	}
	e.size[class] = mean + smoothing*(float64(size)-mean)
}

// Retain forgets the nodes that are not among records.
func (e *Estimates) Retain(has func(node string) bool) {
	for node, n := range e.nodes {
		if n.inFlight == 0 && !has(node) {
			delete(e.nodes, node)
		}
	}
}
