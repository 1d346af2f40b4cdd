package route

import (
	"math"
	"math/rand/v2"
)

// maxSelections is the number of routes whose position a Selector keeps.
const maxSelections = 4096

// Selector selects the backend of each request of a node. It handles routes with few
// requests at each of many nodes: there, independent random draws leave the share of a
// backend far from its weight. A Selector steps through a low-discrepancy sequence for
// each route instead, so that every run of requests is close to the weights, also
// after they have changed. It is not safe for concurrent use. Use NewSelector to create
// a Selector.
type Selector struct {
	rnd       *rand.Rand
	positions map[string]float64 // by route, in [0, 1)
}

// NewSelector returns a Selector whose sequences start at random positions, so that
// the nodes of a fleet do not select the same backend at the same time.
func NewSelector(rnd *rand.Rand) *Selector {
	return &Selector{rnd: rnd, positions: map[string]float64{}}
}

// Select returns the service for the next request of the route.
func (s *Selector) Select(r *Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	position, ok := s.positions[r.Name]
	if !ok {
		if len(s.positions) >= maxSelections {
			clear(s.positions)
		}
		position = s.rnd.Float64()
	}
	_, s.positions[r.Name] = math.Modf(position + math.Phi)
	return r.Service(position)
}
