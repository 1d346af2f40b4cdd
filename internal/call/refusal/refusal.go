// Package refusal recognizes requests that their callers repeat after a failure.
//
// A caller repeats a refused request under a new id, within its deadline. Under
// overload a node has to know which requests have come back: their latency
// objective counts from the first time that they were sent, and a caller that has
// repeated a request does not send it again, so it is the one to spend a retry on. The
// same holds for callers that never repeat a request, as servers do with their calls:
// the package measures by route whether callers come back.
package refusal

import (
	"time"

	"github.com/geraniumdock/geraniumdock/quarantine"
)

// maxRequests is the number of requests that a Memory holds. It covers two seconds
// at 2,000 refusals per second.
const maxRequests = 4096

// Memory holds the requests that a node has failed and whose deadlines have not
// passed. It is not safe for concurrent use. Use New to create a Memory.
type Memory struct {
	requests map[quarantine.Fingerprint]entry
	order    []quarantine.Fingerprint // oldest first; may list requests that were taken
	routes   map[string]*habit
}

// Failure is a request that a node has failed. The times are readings of the monotonic
// clock.
type Failure struct {
	Route     string
	FirstSeen time.Duration // when the caller's first attempt arrived
	Deadline  time.Duration // until which the caller may repeat it
	// MayReturn reports that a caller which repeats refused requests would repeat this
	// one: it was refused, and was not a repeat itself.
	MayReturn bool
}

// entry is a request that a node has failed. The times are readings of the monotonic
// clock.
type entry struct {
	firstSeen time.Duration // when the caller's first attempt arrived
	deadline  time.Duration
	sample    *sample // nil if it is not observed whether the caller repeats it
}

// New returns an empty Memory.
func New() *Memory {
	return &Memory{requests: map[quarantine.Fingerprint]entry{}, routes: map[string]*habit{}}
}

// Add records that the node has failed a request.
func (m *Memory) Add(now time.Duration, fp quarantine.Fingerprint, f Failure) {
	for len(m.order) > 0 {
		oldest := m.order[0]
		e, ok := m.requests[oldest]
		if ok && now < e.deadline && len(m.order) < maxRequests {
			break
		}
		delete(m.requests, oldest)
		m.order = m.order[1:]
	}
	if _, ok := m.requests[fp]; !ok {
		m.order = append(m.order, fp)
	}
	m.requests[fp] = entry{f.FirstSeen, f.Deadline, m.observe(now, f)}
}

// Take reports whether the request is the repeat of one that was added, and returns
// the time at which that was first seen. Each one is reported once.
func (m *Memory) Take(now time.Duration, fp quarantine.Fingerprint) (firstSeen time.Duration, ok bool) {
	e, ok := m.requests[fp]
	if !ok {
		return 0, false
	}
	delete(m.requests, fp)
	if now >= e.deadline {
		return e.firstSeen, false
	}
	if e.sample != nil {
		e.sample.returned = true
	}
	return e.firstSeen, true
}
