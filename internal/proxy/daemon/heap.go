package daemon

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Garbage collection target percentages (GOGC). Memory is scarcer than processor time on an
// idle VM: half of Go's default saves about a tenth of the resident memory. Under load a
// collection occupies a small processor for tens of milliseconds, in which all requests
// wait, so collections become rarer at the cost of memory.
const (
	minHeapGrowthPercent = 50
	maxHeapGrowthPercent = 120
)

const (
	heapGrowthInterval = time.Second // between two adjustments of the target percentage
	heapGrowAfter      = 3           // intervals in a row with a collection after which the target grows to the maximum
	heapShrinkAfter    = 10          // intervals without a collection after which the target returns to the minimum
	gcCyclesMetric     = "/gc/cycles/automatic:gc-cycles"
)

// heapGrowth decides the garbage collection target percentage from the number of
// collections. The load that it answers is a burst of requests on a small processor.
type heapGrowth struct {
	percent int
	busy    int // intervals in a row with a collection
	idle    int // intervals in a row without one
}

// newHeapGrowth returns the decision for a process without load.
func newHeapGrowth() heapGrowth { return heapGrowth{percent: minHeapGrowthPercent} }

// next returns the decision after an interval in which the given number of collections
// occurred.
func (h heapGrowth) next(collections uint64) heapGrowth {
	if collections == 0 {
		h.busy = 0
		if h.idle++; h.idle >= heapShrinkAfter {
			h.percent = minHeapGrowthPercent
		}
		return h
	}
	h.idle = 0
	if h.busy++; h.busy >= heapGrowAfter {
		h.percent = maxHeapGrowthPercent
	}
	return h
}

// adjustHeapGrowth adjusts the garbage collection target percentage to the load until ctx
// ends.
func adjustHeapGrowth(ctx context.Context) {
	h := newHeapGrowth()
	debug.SetGCPercent(h.percent)
	sample := []metrics.Sample{{Name: gcCyclesMetric}}
	metrics.Read(sample)
	last := sample[0].Value.Uint64()
	tick := time.NewTicker(heapGrowthInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		metrics.Read(sample)
		cycles := sample[0].Value.Uint64()
		next := h.next(cycles - last)
		if last = cycles; next.percent != h.percent {
			debug.SetGCPercent(next.percent)
		}
		h = next
	}
}
