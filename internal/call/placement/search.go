package placement

import (
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

// maxProbes is the maximum number of nodes that are asked for a free slot. The
// last load reports do not tell which slot is free, so with fewer probes slow
// servers stay idle while requests wait at fast ones.
const maxProbes = 8

// minProbes is the number of nodes that are asked for a free slot in any case, even
// if the time for the search is up. Without it, a request with a short objective
// would wait at the first node.
const minProbes = 3

// searchShare is the fraction of the time until its objective that a request may
// spend on the search for a free slot before it queues at a node. It bounds the search
// because asking a node takes 20 ms on small processors.
const searchShare = 0.1

// lateSearchShare is the same for the time until its deadline. It applies to a request
// that will miss its objective: no queue accepts it under overload, so a free slot is
// all that it can get.
const lateSearchShare = 0.05

// maxWaits is the maximum number of nodes that are asked to queue the request once
// no further node is asked for a free slot.
const maxWaits = 2

// Search records which nodes one request has been offered to. Use NewSearch to create
// a Search.
type Search struct {
	probeUntil   time.Duration // end of the time for the search for a free slot
	asked        []string      // in order; a node that was asked twice is listed twice
	full         []string      // nodes that had no free slot and have not been asked to queue the request
	probingEnded bool          // no further node is asked for a free slot
	waitRefusals int           // nodes that refused to queue the request since probingEnded was set
}

// NewSearch returns the search of a request that arrived at began.
func NewSearch(began, objective, deadline time.Duration) Search {
	share := max(searchShare*float64(objective-began), lateSearchShare*float64(deadline-began))
	return Search{probeUntil: began + time.Duration(share)}
}

// stopProbing stops the search for a free slot, so that the request waits at a
// node that was full. It has no effect until minProbes nodes have been asked.
func (s *Search) stopProbing() { s.probingEnded = s.probingEnded || len(s.asked) >= minProbes }

// Asked returns how many times nodes have been asked.
func (s *Search) Asked() int { return len(s.asked) }

// WasAsked records that a node was asked, and whether it had no free slot. Only a
// node that had none is asked a second time, to queue the request.
func (s *Search) WasAsked(node string, isFull bool) {
	again := slices.Contains(s.asked, node)
	if again && s.probingEnded {
		s.waitRefusals++
	}
	if again || !isFull {
		s.full = slices.DeleteFunc(s.full, func(n string) bool { return n == node })
	} else {
		s.full = append(s.full, node)
	}
	s.asked = append(s.asked, node)
}

// Next returns the node to ask next, and whether the request may wait there. It
// returns a node that may have a free slot as long as the search goes on. After
// that, it returns a node that was full and may queue the request. It also does
// so if a short wait in the node's own data centre costs less than the transfer to
// another one. It reports false if no node is left.
func (e *Estimates) Next(now time.Duration, class string, serving []server.Record, s *Search) (rec server.Record, mayWait, ok bool) {
	if now > s.probeUntil {
		s.stopProbing()
	}
	full := e.full[:0]
	for i := range serving {
		if len(s.full) > 0 && slices.Contains(s.full, serving[i].Node) {
			full = append(full, serving[i])
		}
	}
	e.full = full
	waiting, _, canWait := e.Choose(now, class, full, nil)
	if s.probingEnded && s.waitRefusals >= maxWaits {
		return rec, false, false
	}
	if len(s.asked) < maxProbes && !(s.probingEnded && canWait) {
		probed, _, canProbe := e.Choose(now, class, serving, s.asked)
		isNearer := canWait && e.distance(&waiting) < e.distance(&probed)
		if canProbe && !(isNearer && e.expectedWait(now, class, waiting.Node) < e.remoteCost(class)) {
			return probed, false, true
		}
	}
	return waiting, true, canWait
}
