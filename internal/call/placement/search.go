package placement

import (
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

// probes is how many nodes are asked for a free slot. With fewer, slow servers
// stay idle while requests wait at fast ones: the load of the last answers does
// not tell which slot is free.
const maxProbes = 8

// minProbes is how many nodes are asked for a free slot however long that takes.
// A request whose objective is short would else wait at the first one.
const minProbes = 3

// maxWaits is how many nodes are asked to have a request wait once its search
// has taken its time.
const maxWaits = 2

// Search is the way of one request from node to node. The zero value has not
// begun.
type Search struct {
	asked        []string
	full         []string // of these, those that had no free slot and were not asked to have the request wait
	probingEnded bool     // no free slot is looked for any more
	waitRefusals int      // nodes that would not have the request wait after that
}

// End has the request wait at a node that was asked already, for the search has
// taken its time, if it has asked a few.
func (s *Search) End() { s.probingEnded = s.probingEnded || len(s.asked) >= minProbes }

// Asked returns how many times a node was asked.
func (s *Search) Asked() int { return len(s.asked) }

// WasAsked notes that a node was asked, and whether it had no free slot. A node
// that would not have the request wait is not asked again.
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

// Next returns the node to ask next: one that may have a free slot, or one that
// had none, with leave to wait there: when enough were asked, or where a short
// wait in the own data centre costs less than the bytes to another. It reports
// false if none is left.
func (e *Estimates) Next(now time.Duration, class string, serving []server.Record, s *Search) (rec server.Record, mayWait, ok bool) {
	var full []server.Record
	for _, r := range serving {
		if slices.Contains(s.full, r.Node) {
			full = append(full, r)
		}
	}
	waiting, _, canWait := e.Choose(now, class, full, nil)
	if s.probingEnded && s.waitRefusals >= maxWaits {
		return rec, false, false
	}
	if len(s.asked) < maxProbes && !(s.probingEnded && canWait) {
		probed, _, canProbe := e.Choose(now, class, serving, s.asked)
		isNearer := canWait && e.distance(waiting) < e.distance(probed)
		if canProbe && !(isNearer && e.expectedWait(now, class, waiting.Node) < e.remoteCost(class)) {
			return probed, false, true
		}
	}
	return waiting, true, canWait
}
