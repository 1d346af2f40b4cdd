//go:build !race

package roster

import "testing"

// TestVersionsAreLateInLargeFleets guards against the same in fleets that the race detector makes too slow.
func TestVersionsAreLateInLargeFleets(t *testing.T) {
	for _, c := range []spreadCase{
		{195, 1, served, 0}, {195, 1, refused, 0.6}, {195, 1, frozen, 0}, {195, 1, frozen, 0.33},
		{451, 1, refused, 0.6},
	} {
		c.test(t)
	}
}
