package refusal

import "time"

const (
	maxRoutes     = 256 // routes whose callers are observed
	maxSamples    = 64  // refused requests that are observed per route
	minSamples    = 16  // evidence below which callers are expected to repeat
	maxEvidence   = 128 // replaced samples that are counted; at this number their counts are halved, so that callers may change
	maxReturnRate = 0.1 // fraction of repeats up to which callers are taken not to repeat
)

// habit holds how the callers of one route reacted to refusals. The zero value has
// no evidence.
type habit struct {
	samples [maxSamples]sample
	next    int // the sample that is replaced next
	// resolved and returned count the samples that were replaced, and of those the ones
	// whose callers came back.
	resolved, returned int
}

// sample is one refused request of a route.
type sample struct {
	deadline time.Duration // 0 if the sample is not used
	returned bool          // the caller has repeated the request
}

// isResolved reports whether it is known if the caller repeats the request.
func (s *sample) isResolved(now time.Duration) bool { return s.returned || now >= s.deadline }

// add returns the sample of a request that was refused now, or nil if the request
// is not observed, as too many are observed already whose callers may still repeat them.
func (h *habit) add(now, deadline time.Duration) *sample {
	s := &h.samples[h.next]
	if !s.isResolved(now) || deadline <= now {
		return nil
	}
	h.next = (h.next + 1) % maxSamples
	h.count(s)
	*s = sample{deadline: deadline}
	return s
}

// count counts a sample that is about to be replaced.
func (h *habit) count(s *sample) {
	if s.deadline == 0 {
		return
	}
	if h.resolved >= maxEvidence {
		h.resolved, h.returned = h.resolved/2, h.returned/2
	}
	h.resolved++
	if s.returned {
		h.returned++
	}
}

// returns reports whether the callers repeat refused requests, as far as is known.
func (h *habit) returns(now time.Duration) bool {
	resolved, returned := h.resolved, h.returned
	for i := range h.samples {
		s := &h.samples[i]
		if s.deadline == 0 || !s.isResolved(now) {
			continue
		}
		resolved++
		if s.returned {
			returned++
		}
	}
	return resolved < minSamples || float64(returned) > maxReturnRate*float64(resolved)
}

// CallersReturn reports whether the callers of the route repeat requests that were
// refused. Servers, for example, do not repeat their calls. Without enough evidence it
// reports true.
func (m *Memory) CallersReturn(now time.Duration, route string) bool {
	h, ok := m.routes[route]
	return !ok || h.returns(now)
}

// RoutesWithoutRepeats returns the number of routes whose callers do not repeat refused
// requests.
func (m *Memory) RoutesWithoutRepeats(now time.Duration) int {
	n := 0
	for _, h := range m.routes {
		if !h.returns(now) {
			n++
		}
	}
	return n
}

// observe returns the sample by which it is observed whether the caller repeats f, or nil.
func (m *Memory) observe(now time.Duration, f Failure) *sample {
	if !f.MayReturn {
		return nil
	}
	h, ok := m.routes[f.Route]
	if !ok {
		if len(m.routes) >= maxRoutes {
			return nil
		}
		h = &habit{}
		m.routes[f.Route] = h
	}
	return h.add(now, f.Deadline)
}
