package daemon

import (
	"testing"

	"github.com/matryer/is"
)

// TestHeapGrowsUnderLoadOnly guards against a process that collects its heap several times a
// second in a burst of requests, and against one that keeps the memory of a burst for good.
func TestHeapGrowsUnderLoadOnly(t *testing.T) {
	is := is.New(t)
	h := newHeapGrowth()
	play := func(intervals int, collections uint64) int {
		for range intervals {
			h = h.next(collections)
		}
		return h.percent
	}
	is.Equal(play(30, 0), minHeapGrowthPercent)
	is.Equal(play(heapGrowAfter-1, 1), minHeapGrowthPercent) // as when a policy is decoded
	is.Equal(play(1, 0), minHeapGrowthPercent)
	is.Equal(play(heapGrowAfter, 1), maxHeapGrowthPercent)
	is.Equal(play(heapShrinkAfter-1, 0), maxHeapGrowthPercent)
	is.Equal(play(1, 0), minHeapGrowthPercent)
}
