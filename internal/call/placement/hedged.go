package placement

import (
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

// FreeRatio returns the share of free slots of the servers in serving, as in their last load
// reports. It is 0 if there is no recent report.
func (e *Estimates) FreeRatio(now time.Duration, serving []server.Record) float64 {
	free, slots := 0, 0
	for _, r := range serving {
		n, ok := e.nodes[r.Node]
		if !ok || !n.hasLoad || now-n.reportedAt > maxLoadAge {
			continue
		}
		slots += n.load.Slots
		free += max(0, n.load.Slots-n.load.Running-n.load.Waiting)
	}
	if slots == 0 {
		return 0
	}
	return float64(free) / float64(slots)
}

// NextFree returns the node to ask for a second attempt while one is in flight at the node
// busy. Of the nodes that the request has not been offered to, it considers those that are
// reachable and whose servers had a free slot according to a recent load report.
func (e *Estimates) NextFree(now time.Duration, class string, serving []server.Record, s *Search, busy string) (server.Record, bool) {
	var eligible []server.Record
	for _, r := range serving {
		n, ok := e.nodes[r.Node]
		if ok && n.pause == 0 && n.hasLoad && now-n.reportedAt <= maxLoadAge && n.hasFreeSlot(now, e.outstanding(now, n)) && !slices.Contains(s.asked, r.Node) {
			eligible = append(eligible, r)
		}
	}
	rec, _, ok := e.Choose(now, class, eligible, []string{busy})
	return rec, ok
}

func (n *estimate) hasFreeSlot(now time.Duration, outstanding float64) bool {
	return outstanding+1 <= float64(n.load.Slots) && n.load.LimitWait <= now-n.reportedAt
}

// Outpaced records that an attempt at node was cancelled after the given time, because another
// server had responded first. That is no failure, but the response would have taken longer
// still: as with a response, the mean slot time follows and the server's speed is known.
// Without it, a slow server whose attempts are all cancelled would seem to be fast.
func (e *Estimates) Outpaced(now time.Duration, node string, took time.Duration) {
	n := e.estimateOf(node)
	mean := n.load.Mean
	if mean == 0 {
		mean = e.typicalSlotTime()
	}
	n.load.Mean = mean + time.Duration(smoothing*float64(max(0, took-mean)))
	n.outpacedAt, n.isOutpaced = now, true
}
