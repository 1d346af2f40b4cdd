package rollout

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Slot times are counted in buckets. Each bucket begins at bucketRatio times the start of the one
// before; the first one begins at firstBucket, the last one at about 4 s.
const (
	bucketCount = 32
	bucketRatio = 1.25
	firstBucket = 4 * time.Millisecond
)

// maxClasses is the number of route classes that are counted apart. Further ones are counted
// together, so that counts stay small in a policy of many routes.
const maxClasses = 16

// otherClasses is the class under which further classes are counted.
const otherClasses = ""

// Count holds the responses of the servers of one version to requests of one class, as one node
// has counted them since it learned of the order.
type Count struct {
	Version   string   `cbor:"1,keyasint,omitempty"`
	Class     string   `cbor:"2,keyasint,omitempty"`
	Responses uint64   `cbor:"3,keyasint"`           // requests that a server has run or may have run
	Bad       uint64   `cbor:"4,keyasint,omitempty"` // of these, failures
	Times     []uint32 `cbor:"5,keyasint,omitempty"` // slot times of the others by bucket, without those of servers that were cold
}

// Counter counts the responses of the server beside a node. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	counts  []Count
	classes []string
}

// Reset discards what was counted, for a new order.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts, c.classes = nil, nil
}

// Add counts a response. If it is not bad and not from a cold server, its slot time counts too.
func (c *Counter) Add(version, class string, isBad, isCold bool, slotTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.classes, class) {
		if len(c.classes) < maxClasses {
			c.classes = append(c.classes, class)
		} else {
			class = otherClasses
		}
	}
	i := slices.IndexFunc(c.counts, func(x Count) bool { return x.Version == version && x.Class == class })
	if i < 0 {
		i = len(c.counts)
		c.counts = append(c.counts, Count{Version: version, Class: class})
	}
	x := &c.counts[i]
	x.Responses++
	switch {
	case isBad:
		x.Bad++
	case !isCold:
		b := bucketOf(slotTime)
		if b >= len(x.Times) {
			x.Times = append(x.Times, make([]uint32, b+1-len(x.Times))...)
		}
		x.Times[b]++
	}
}

// Counts returns a copy of the counts.
func (c *Counter) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := slices.Clone(c.counts)
	for i := range counts {
		counts[i].Times = slices.Clone(counts[i].Times)
	}
	return counts
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(int(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketRatio)), bucketCount-1)
}

// Tally holds the latest counts of all nodes and how they grew in the last seconds. It is not
// safe for concurrent use. Use NewTally to create one.
type Tally struct {
	target  string
	latest  map[source]report
	heardAt map[string]time.Duration // by node
	history []sums                   // oldest first
}

// source identifies a process of a node, whose counts begin at 0.
type source struct {
	node        string
	incarnation uint64
}

// report holds the latest counts of a process and the data centre that it runs in.
type report struct {
	zone   string
	counts []Count
}

// sums are the counts of all nodes at one time, by class.
type sums struct {
	at      time.Duration
	classes map[string]*classSums
}

// classSums holds the sums of the target version, of the others, and of these by data centre. A
// cut link makes requests fail in one data centre, where the only canary server may be.
type classSums struct {
	target, others group
	zones          map[string]*group
}

// group holds the sums of the counts of some versions.
type group struct {
	responses, bad float64
	times          [bucketCount]float64
}

// NewTally returns an empty tally for a roll-out to the target version.
func NewTally(target string) *Tally {
	return &Tally{target: target, latest: map[source]report{}, heardAt: map[string]time.Duration{}}
}

// Add records the counts that a process of a node in a data centre has reported. Counts that are older than the
// known ones of that process are ignored.
func (t *Tally) Add(now time.Duration, node, zone string, incarnation uint64, counts []Count) {
	t.heardAt[node] = now
	s := source{node, incarnation}
	if total(counts) >= total(t.latest[s].counts) {
		t.latest[s] = report{zone, counts}
	}
}

// HeardWithin reports whether the node has reported counts within age.
func (t *Tally) HeardWithin(now, age time.Duration, node string) bool {
	at, ok := t.heardAt[node]
	return ok && now-at <= age
}

// Totals returns the numbers of responses and of failures of the target version and of the others.
func (t *Tally) Totals() (target, targetBad, others, othersBad float64) {
	for _, c := range t.sum(0).classes {
		target += c.target.responses
		targetBad += c.target.bad
		others += c.others.responses
		othersBad += c.others.bad
	}
	return target, targetBad, others, othersBad
}

func total(counts []Count) (n uint64) {
	for _, c := range counts {
		n += c.Responses
	}
	return n
}

// sum returns the sums of the latest counts.
func (t *Tally) sum(now time.Duration) sums {
	s := sums{now, map[string]*classSums{}}
	for _, r := range t.latest {
		for _, c := range r.counts {
			class, ok := s.classes[c.Class]
			if !ok {
				class = &classSums{zones: map[string]*group{}}
				s.classes[c.Class] = class
			}
			if c.Version == t.target {
				class.target.addCount(c)
				continue
			}
			class.others.addCount(c)
			if class.zones[r.zone] == nil {
				class.zones[r.zone] = &group{}
			}
			class.zones[r.zone].addCount(c)
		}
	}
	return s
}

func (g *group) addCount(c Count) {
	g.responses += float64(c.Responses)
	g.bad += float64(c.Bad)
	for i, n := range c.Times[:min(len(c.Times), bucketCount)] {
		g.times[i] += float64(n)
	}
}

// Intervals of the history that a tally keeps.
const (
	historyInterval = 200 * time.Millisecond
	historyLength   = 3 * time.Second
)

// advance returns the sums at now and keeps them for later calls of since.
func (t *Tally) advance(now time.Duration) sums {
	s := t.sum(now)
	if n := len(t.history); n == 0 || now-t.history[n-1].at >= historyInterval {
		t.history = append(t.history, s)
	}
	t.history = slices.DeleteFunc(t.history, func(old sums) bool { return now-old.at > historyLength })
	return s
}

// before returns the sums at about the given time before now, and whether they are known.
func (t *Tally) before(now, age time.Duration) (sums, bool) {
	for _, s := range slices.Backward(t.history) {
		if now-s.at >= age {
			return s, true
		}
	}
	return sums{}, false
}

// minus returns the growth of the sums of a class since the earlier ones.
func (s sums) minus(earlier sums, class string) *classSums {
	now, before := s.classes[class], earlier.classes[class]
	if before == nil {
		return now
	}
	grown := &classSums{now.target.minus(&before.target), now.others.minus(&before.others), make(map[string]*group, len(now.zones))}
	for zone, g := range now.zones {
		z := g.minus(before.zones[zone])
		grown.zones[zone] = &z
	}
	return grown
}

// minus returns the growth of the sums since o, which is nil if there were none.
func (g *group) minus(o *group) group {
	grown := *g
	if o != nil {
		grown.responses -= o.responses
		grown.bad -= o.bad
		for i := range grown.times {
			grown.times[i] -= o.times[i]
		}
	}
	return grown
}
