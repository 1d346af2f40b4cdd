package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// serversOf returns n servers of a version that started at the given time.
func serversOf(version string, n int, started clock.Time) []server.Record {
	var list []server.Record
	for i := range n {
		list = append(list, server.Record{Node: fmt.Sprint(version, "-", i), Version: version, Started: started})
	}
	return list
}

func responds(string) bool { return false }

// shareOf returns the share of 4,000 requests whose first choice is among servers of the version,
// and the number of servers that these are.
func shareOf(f *Filter, now time.Duration, rule Rule, generation uint64, serving []server.Record, version string) (float64, int) {
	hits, nodes := 0, map[string]bool{}
	const requests = 4000
	for range requests {
		var d Draw
		list := f.Select(now, "shop", rule, generation, serving, responds, 0, &d)
		if r := list[f.random.IntN(len(list))]; r.Version == version {
			hits++
			nodes[r.Node] = true
		}
	}
	return float64(hits) / requests, len(nodes)
}

// TestRules guards against servers that get requests although the phase of a roll-out excludes
// them, and against a canary share that is spread thinly over all servers.
func TestRules(t *testing.T) {
	serving := append(serversOf("v1", 20, 1), serversOf("v2", 20, 2)...)
	for _, c := range []struct {
		rule      Rule
		low, high float64
		nodes     int
	}{
		{Rule{Use: Share, Target: "v2", Share: 0.1}, 0.08, 0.12, 2},
		{Rule{Use: Target, Target: "v2"}, 1, 1, 20},
		{Rule{Use: Others, Target: "v2"}, 0, 0, 0},
		{Rule{}, 0.45, 0.55, 20},
	} {
		t.Run(fmt.Sprint(c.rule), func(t *testing.T) {
			is := is.New(t)
			f := New(0.05, rand.New(rand.NewPCG(1, 1)))
			f.Select(0, "shop", c.rule, 1, serving, responds, 0, &Draw{})
			got, nodes := shareOf(f, newFor, c.rule, 1, serving, "v2") // when no version counts as new
			is.True(got >= c.low && got <= c.high)
			is.Equal(nodes, c.nodes)
		})
	}
}

// TestRetriesAvoidTheCanary guards against a request that a bad version fails twice, and against
// a canary server that gets requests although its node does not respond.
func TestRetriesAvoidTheCanary(t *testing.T) {
	is := is.New(t)
	serving := append(serversOf("v1", 3, 1), serversOf("v2", 3, 2)...)
	f := New(0.05, rand.New(rand.NewPCG(1, 1)))
	rule := Rule{Use: Share, Target: "v2", Share: 1}
	var d Draw
	first := f.Select(0, "shop", rule, 1, serving, responds, 0, &d)
	is.Equal(len(first), 3) // as many as the others
	is.Equal(first[0].Version, "v2")
	is.Equal(f.Select(0, "shop", rule, 1, serving, responds, 1, &d)[0].Version, "v1")
	silent := func(node string) bool { return node != "v2-1" }
	is.Equal(f.Select(0, "shop", rule, 1, serving, silent, 0, &d)[0].Node, "v2-1")
	all := func(string) bool { return true }
	is.Equal(f.Select(0, "shop", rule, 1, serving, all, 0, &d)[0].Version, "v1")
}

// TestNewVersionGetsAShareAtFirst guards against a bad version that gets its full part of the
// requests before the node knows the order, and against one without an order that never does.
func TestNewVersionGetsAShareAtFirst(t *testing.T) {
	is := is.New(t)
	f := New(0.05, rand.New(rand.NewPCG(1, 1)))
	old := serversOf("v1", 4, 1)
	is.Equal(len(f.Select(0, "shop", Rule{}, 1, old, responds, 0, &Draw{})), 4)
	mixed := append(serversOf("v2", 4, 2), old...)
	got, nodes := shareOf(f, time.Second, Rule{}, 2, mixed, "v2")
	is.True(got > 0.03 && got < 0.07)
	is.Equal(nodes, 1)
	got, nodes = shareOf(f, time.Second+newFor, Rule{}, 2, mixed, "v2")
	is.True(got > 0.45)
	is.Equal(nodes, 4)
	var none *Filter
	is.Equal(len(none.Select(0, "shop", Rule{}, 2, mixed, responds, 0, &Draw{})), 8)
}
