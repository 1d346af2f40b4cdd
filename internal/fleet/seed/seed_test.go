package seed_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/fleet/seed"
)

// TestNodesStartedTogetherHaveEqualSeeds guards against nodes that draw the same numbers.
func TestNodesStartedTogetherHaveEqualSeeds(t *testing.T) {
	is := is.New(t)
	seeds := map[uint64]bool{}
	for i := range 450 {
		seeds[seed.ForNode(fmt.Sprint("vm-", i), 1_772_362_123_000)] = true
	}
	is.Equal(len(seeds), 450)
	is.True(seed.ForNode("vm-1", 1) != seed.ForNode("vm-1", 2)) // the next process of a node
}
