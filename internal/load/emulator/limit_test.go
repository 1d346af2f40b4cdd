package emulator

import (
	"fmt"
	"testing"
	"time"
)

// TestLimitedServers has five of seven servers limited to less than they could serve,
// under more load than the limits admit. No server may get more than its limit
// tolerates, callers must get what the limits admit, and orders, which have the higher
// priority, must not be served less often than lookups.
func TestLimitedServers(t *testing.T) {
	const (
		window        = 4 * time.Second
		settled       = 3 * time.Second // after a server has first stated its limit
		allowed       = 0.05            // difference between the classes that the platform allows
		leastAdmitted = 0.9             // of what the limits admit
	)
	for seed := range uint64(4) {
		x := parseExample(t, "limit.yaml")
		x.Seed = seed
		limit := x.Events[0]
		result := Run(x)
		for k := range 5 {
			node := fmt.Sprintf("orders-%d", k)
			var during []time.Duration
			for _, at := range result.Starts[node] {
				if at >= limit.At+settled && at < limit.At+limit.For {
					during = append(during, at)
				}
			}
			if most := mostWithin(during, window); float64(most) > 1.5*limit.Factor*window.Seconds()+5 {
				t.Errorf("seed %d: %s got %d requests in %s, its limit is %.0f per second", seed, node, most, window, limit.Factor)
			}
			if least := leastAdmitted * limit.Factor * (limit.For - settled).Seconds(); float64(len(during)) < least {
				t.Errorf("seed %d: %s got %d requests, %.0f are admitted", seed, node, len(during), least)
			}
		}
		lookup, order := result.Classes["lookup"], result.Classes["order"]
		t.Logf("seed %d: lookups %.3f served, %.3f in objective; orders %.3f, %.3f", seed, lookup.Served(), lookup.InObjective(), order.Served(), order.InObjective())
		if order.Served() < lookup.Served()-allowed {
			t.Errorf("seed %d: %.3f of the orders served, %.3f of the lookups", seed, order.Served(), lookup.Served())
		}
	}
}

// mostWithin returns the largest number of the times, which are in order, that lie
// within one window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
