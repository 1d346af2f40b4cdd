package placement

import (
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

// probes is how many nodes are asked for a free slot before a request waits at
// one of them. With fewer, slow servers stay idle while requests wait at fast
// ones: the load of the last answers does not tell which slot is free.
const probes = 8

// Search is the way of one request from node to node. The zero value has not
// begun.
type Search struct {
	asked []string
	full  []string // of these, those that had no free slot
}

// Asked returns how many nodes were asked.
func (s *Search) Asked() int { return len(s.asked) }

// WasAsked notes that a node was asked, and whether it had no free slot.
func (s *Search) WasAsked(node string, isFull bool) {
	s.asked = append(s.asked, node)
	if isFull {
		s.full = append(s.full, node)
	}
}

// Next returns the node to ask next: one that may have a free slot, or, after
// several had none, the one of these at which the request is served first, with
// leave to wait there. It reports false if none is left.
func (e *Estimates) Next(now time.Duration, class string, serving []server.Record, s *Search) (rec server.Record, mayWait, ok bool) {
	if len(s.full) < probes {
		if rec, _, ok := e.Choose(now, class, serving, s.asked); ok {
			return rec, false, true
		}
	}
	var full []server.Record
	for _, r := range serving {
		if slices.Contains(s.full, r.Node) {
			full = append(full, r)
		}
	}
	rec, _, ok = e.Choose(now, class, full, nil)
	return rec, true, ok
}
