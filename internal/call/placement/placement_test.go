package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
	"github.com/geraniumdock/geraniumdock/server"
)

const ms = time.Millisecond

func records(n int, dataCentres ...string) []server.Record {
	var list []server.Record
	for i := range n {
		list = append(list, server.Record{Node: fmt.Sprint("n", i), Service: "shop", DataCentre: dataCentres[i%len(dataCentres)], Slots: 2, Incarnation: 1})
	}
	return list
}

func newEstimates() *Estimates { return New("own", "a", rand.New(rand.NewPCG(1, 1))) }

// chosen returns how often each node is chosen in 200 calls of Choose.
func chosen(e *Estimates, now time.Duration, serving []server.Record, tried ...string) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if r, _, ok := e.Choose(now, "read", serving, tried); ok {
			counts[r.Node]++
		}
	}
	return counts
}

func TestChoosePrefers(t *testing.T) {
	idle := Load{Slots: 2, Mean: 100 * ms}
	for name, c := range map[string]struct {
		better, worse func(e *Estimates, node string)
	}{
		"the faster server": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) { e.Reported(0, n, Load{Slots: 2, Mean: 200 * ms}) },
		},
		"the shorter queue": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) {
				e.Reported(0, n, Load{Slots: 2, Mean: 100 * ms, Running: 2, Waiting: 3})
			},
		},
		"the one with fewer requests of this node": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) {
				e.Reported(0, n, idle)
				for range 4 {
					e.Sent(0, n)
				}
			},
		},
		"the warm server": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) { e.Reported(0, n, Load{Slots: 2, Mean: 100 * ms, ColdFor: time.Second}) },
		},
		"the one that does not fail": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) { e.Reported(0, n, Load{Slots: 2, Mean: 100 * ms, FailureRatio: 0.5}) },
		},
		"the one without transit delay": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) { e.Reported(0, n, Load{Slots: 2, Mean: 100 * ms, TransitDelay: 200 * ms}) },
		},
		"the one that has not failed lately": {
			func(e *Estimates, n string) { e.Reported(0, n, idle) },
			func(e *Estimates, n string) { e.Reported(0, n, idle); e.Failed(0, n) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, serving := newEstimates(), records(2, "a")
			c.better(e, "n0")
			c.worse(e, "n1")
			is.Equal(chosen(e, ms, serving), map[string]int{"n0": 200})
		})
	}
}

func TestChoosePrefersTheOwnDataCentreUntilItIsFull(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(2, "a", "b")
	for _, r := range serving {
		e.Reported(0, r.Node, Load{Slots: 2, Mean: 100 * ms})
	}
	is.True(chosen(e, 0, serving)["n0"] > 150)
	e.Reported(0, "n0", Load{Slots: 2, Mean: 100 * ms, Running: 2, Waiting: 2})
	is.Equal(chosen(e, 0, serving), map[string]int{"n1": 200})
	e.Transferred("read", 200<<10) // the traffic of large bodies costs more than the wait
	is.Equal(chosen(e, 0, serving), map[string]int{"n0": 200})
}

// TestUnreachableNode checks that an unreachable node gets at most one request
// per pause, and is used again once it was reached or has restarted.
func TestUnreachableNode(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(3, "a")
	e.Unreachable(0, serving[0])
	is.Equal(chosen(e, 0, serving)["n0"], 0)
	_, _, ok := e.Choose(0, "read", serving, []string{"n1", "n2"})
	is.True(!ok) // not chosen once other nodes have been tried
	only, _, ok := e.Choose(0, "read", serving[:1], nil)
	is.True(ok) // chosen if there is no other node
	is.Equal(only.Node, "n0")
	after := chosen(e, minPause, serving)["n0"]
	is.True(after <= 1) // a single request tests the node
	e.Unreachable(2*minPause, serving[0])
	is.Equal(chosen(e, 3*minPause-ms, serving)["n0"], 0) // the pause has doubled
	e.Reached("n0")
	is.True(chosen(e, 3*minPause, serving)["n0"] > 0)
	e.Unreachable(0, serving[0])
	serving[0].Incarnation++
	is.True(chosen(e, 0, serving)["n0"] > 0)
}

// TestSearchAsksEachNodeOnce runs searches in which no node has a free slot and
// checks that each node is asked at most once for a slot and at most once to queue
// the request.
func TestSearchAsksEachNodeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 15).Draw(t, "nodes")
		e, serving := newEstimates(), records(max(n, 1), "a", "b")[:n]
		var s Search
		probed, askedToWait := map[string]bool{}, map[string]bool{}
		for range 3 * (n + 1) {
			rec, mayWait, ok := e.Next(0, "read", serving, &s)
			if !ok {
				break
			}
			seen := probed
			if mayWait {
				seen = askedToWait
			}
			if seen[rec.Node] {
				t.Fatalf("%s is asked twice, may wait: %v", rec.Node, mayWait)
			}
			seen[rec.Node] = true
			e.Reported(0, rec.Node, Load{Slots: 2, Running: 2, Waiting: 5, Mean: 50 * ms, Wait: 100 * ms})
			s.WasAsked(rec.Node, true)
		}
		if len(probed) < min(n, maxProbes) {
			t.Fatalf("%d of %d nodes were asked for a slot", len(probed), n)
		}
		if len(askedToWait) != len(probed) {
			t.Fatalf("%d nodes had no slot, %d were asked to queue the request", len(probed), len(askedToWait))
		}
	})
}

// TestLargeBodyWaitsInOwnDataCentre checks that an upload waits in the data centre
// of its node although a slot is free in another one.
func TestLargeBodyWaitsInOwnDataCentre(t *testing.T) {
	is := is.New(t)
	for size, want := range map[int64]string{1 << 10: "n1", 100 << 10: "n0"} {
		e, serving := newEstimates(), records(2, "a", "b")
		e.Transferred("upload", size)
		e.Reported(0, "n0", Load{Slots: 2, Running: 2, Mean: 100 * ms, Wait: 50 * ms})
		var s Search
		s.WasAsked("n0", true)
		rec, mayWait, ok := e.Next(0, "upload", serving, &s)
		is.True(ok)
		is.Equal(rec.Node, want)
		is.Equal(mayWait, want == "n0")
	}
}

func TestSampleCoversBothDataCentres(t *testing.T) {
	is := is.New(t)
	e := newEstimates()
	serving := records(40, "a", "b")
	for range 50 {
		s := e.sample(pointers(serving))
		is.Equal(len(s), sampleSize)
		own := 0
		for _, r := range s {
			if r.DataCentre == "a" {
				own++
			}
		}
		is.True(own > 0 && own < sampleSize)
	}
}

func ExampleEstimates() {
	e := New("node-1", "west", rand.New(rand.NewPCG(1, 1)))
	serving := []server.Record{{Node: "node-1", DataCentre: "west", Slots: 2}, {Node: "node-2", DataCentre: "west", Slots: 2}}
	e.Reported(0, "node-1", Load{Slots: 2, Running: 2, Waiting: 4, Mean: 80 * ms})
	e.Reported(0, "node-2", Load{Slots: 2, Mean: 80 * ms})
	var s Search
	rec, mayWait, _ := e.Next(0, "read", serving, &s)
	fmt.Println(rec.Node, mayWait)
	// Output: node-2 false
}

// TestSearchAfterProbing checks that only maxWaits of the full nodes are asked to
// queue the request once the search for a free slot has been stopped.
func TestSearchAfterProbing(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(10, "a")
	var s Search
	for range 4 {
		rec, mayWait, ok := e.Next(0, "read", serving, &s)
		is.True(ok && !mayWait)
		s.WasAsked(rec.Node, true)
	}
	s.stopProbing()
	for range maxWaits {
		rec, mayWait, ok := e.Next(0, "read", serving, &s)
		is.True(ok && mayWait)
		s.WasAsked(rec.Node, true)
	}
	_, _, ok := e.Next(0, "read", serving, &s)
	is.True(!ok)
}

// TestSearchAsksMinProbes checks that minProbes nodes are asked for a free slot
// even if the search for one is stopped at once.
func TestSearchAsksMinProbes(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(10, "a")
	var s Search
	for range minProbes {
		s.stopProbing()
		rec, mayWait, ok := e.Next(0, "read", serving, &s)
		is.True(ok && !mayWait)
		s.WasAsked(rec.Node, true)
	}
	s.stopProbing()
	_, mayWait, ok := e.Next(0, "read", serving, &s)
	is.True(ok && mayWait)
}

// TestNewServerIsExplored checks that a new server of unknown speed gets a request
// soon although fast servers are idle, and no further one once it has turned out
// to be slow.
func TestNewServerIsExplored(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(6, "a")
	means := map[string]time.Duration{"n0": 50 * ms, "n1": 50 * ms, "n2": 50 * ms, "n3": 200 * ms, "n4": 200 * ms, "n5": 200 * ms}
	for _, r := range serving[:5] {
		e.Reported(0, r.Node, Load{Slots: 2, Mean: means[r.Node]})
	}
	var choices []int // choices of the new server
	for i := range 400 {
		now := time.Duration(i) * 10 * ms
		r, _, ok := e.Choose(now, "read", serving, nil)
		is.True(ok)
		e.Reported(now, r.Node, Load{Slots: 2, Mean: means[r.Node]})
		if r.Node == "n5" {
			choices = append(choices, i)
		}
	}
	is.Equal(len(choices), 1) // it is among the slowest once its speed is known
	is.True(choices[0] < 100) // within a second at 100 requests a second
}

// TestBusyLinkIsAvoided checks that uploads go to another data centre only while
// the link of the server in the node's own data centre is busy.
func TestBusyLinkIsAvoided(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(2, "a", "b")
	e.Transferred("upload", 60<<10)
	e.Reported(0, "n0", Load{Slots: 2, Mean: 100 * ms, LinkBusy: 200 * ms})
	e.Reported(0, "n1", Load{Slots: 2, Mean: 100 * ms})
	for _, c := range []struct {
		now  time.Duration
		want string
	}{{0, "n1"}, {200 * ms, "n0"}} { // the link is free after 200 ms
		r, _, ok := e.Choose(c.now, "upload", serving, nil)
		is.True(ok)
		is.Equal(r.Node, c.want)
	}
}

// TestTrafficStaysInTheDataCentre has two data centres under a load that the servers
// of each can carry, one of them with the faster servers. With responses of 5 KB most
// requests stay in their data centre, as long as no queue forms there.
func TestTrafficStaysInTheDataCentre(t *testing.T) {
	is := is.New(t)
	e, serving := newEstimates(), records(6, "a", "b")
	remote := 0
	const requests = 400
	for range requests {
		e.Transferred("read", 5<<10)
	}
	for i := range requests {
		now := time.Duration(i) * 10 * ms
		r, _, ok := e.Choose(now, "read", serving, nil)
		is.True(ok)
		load := Load{Slots: 2, Mean: 180 * ms}
		if r.DataCentre == "b" {
			load.Mean = 130 * ms
			remote++
		}
		e.Reported(now, r.Node, load)
	}
	is.True(remote < requests/4)
	for _, r := range serving {
		load := Load{Slots: 2, Mean: 180 * ms}
		if r.DataCentre == "a" {
			load.Running, load.Waiting = 2, 2 // a wait of one slot time
		}
		e.Reported(requests*10*ms, r.Node, load)
	}
	r, _, ok := e.Choose(requests*10*ms, "read", serving, nil)
	is.True(ok)
	is.Equal(r.DataCentre, "b")
}

// TestSearchTime checks for how long nodes are asked for a free slot: a tenth of the
// time until the objective, and a twentieth of the time until the deadline for a
// request that will miss its objective.
func TestSearchTime(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ objective, deadline, until time.Duration }{
		{600 * ms, time.Second, 60 * ms},
		{-100 * ms, 800 * ms, 40 * ms},
	} {
		e, serving := newEstimates(), records(10, "a")
		s := NewSearch(0, c.objective, c.deadline)
		for range minProbes {
			rec, _, ok := e.Next(0, "read", serving, &s)
			is.True(ok)
			s.WasAsked(rec.Node, true)
		}
		_, mayWait, ok := e.Next(c.until, "read", serving, &s)
		is.True(ok && !mayWait)
		_, mayWait, ok = e.Next(c.until+ms, "read", serving, &s)
		is.True(ok && mayWait)
	}
}

func pointers(records []server.Record) []*server.Record {
	var p []*server.Record
	for i := range records {
		p = append(p, &records[i])
	}
	return p
}
