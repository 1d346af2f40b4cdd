package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func simBound(q Quota) int {
	return int((q.Rate*simWindow.Seconds()+q.Burst)*(1+simOverage) + simSlack)
}

// BenchmarkQuotaMessages measures the messages for each request in fleets with 19.3 requests
// per second for each node, of 80 workspaces whose quotas are half as much again as they
// usually send, some of them large. In the second case three send five times that much.
func BenchmarkQuotaMessages(b *testing.B) {
	const workspaces, perNode, length = 80, 19.3, 10 * time.Second
	for _, nodes := range []int{13, 74, 451} {
		for name, factor := range map[string]float64{"usual": 1, "three over": 5} {
			b.Run(fmt.Sprintf("%d nodes %s", nodes, name), func(b *testing.B) {
				for range b.N {
					s := newSimulation(1, nodes)
					var list []simWorkspace
					weights := 0.0
					for i := range workspaces {
						weights += 1 / float64(i+1)
					}
					for i := range workspaces {
						usual := perNode * float64(nodes) / float64(i+1) / weights
						demand := usual
						if i%20 == 2 && i < 60 {
							demand *= factor
						}
						list = append(list, simWorkspace{fmt.Sprint("w", i), Quota{1.5 * usual, 1.5 * usual}, constant(demand)})
					}
					s.serve(list)
					s.run(length)
					s.requests, s.messages, s.over, s.noIssuer = 0, 0, 0, 0 // the buckets are filled now
					s.run(2 * length)
					b.ReportMetric(float64(s.messages)/float64(s.requests), "messages/request")
					b.ReportMetric(float64(s.messages)/float64(nodes)/length.Seconds(), "messages/node-s")
					b.ReportMetric(float64(s.over)/float64(s.requests), "over-quota/request")
					b.ReportMetric(float64(s.noIssuer)/float64(s.requests), "no-issuer/request")
				}
			})
		}
	}
}

// constant returns a demand that does not change.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// TestQuotaHoldsInEveryWindow guards against nodes that together run more requests of a
// workspace than the bound on a window, while clients send several times the quota, nodes are
// cut off, paused, killed and restarted, and nodes join and leave.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(9) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(seed, []int{5, 13, 74}[seed%3])
			s.refusals = []float64{0, 0.5}[seed/3%2]
			var list []simWorkspace
			for i, q := range []Quota{{501, 501}, {60, 60}, {3.6, 3.6}, {20, 0}} {
				idle := time.Duration(s.rnd.Int64N(int64(10 * time.Second)))
				list = append(list, simWorkspace{fmt.Sprint("workspace-", i), q, func(now time.Duration) float64 {
					if now < idle || now%(8*time.Second) > 6*time.Second { // buckets fill in between
						return 0
					}
					return 4 * q.Rate
				}})
			}
			s.serve(list)
			s.disturb()
			s.run(40 * time.Second)
			for _, w := range list {
				most, bound := s.most(w.name), simBound(w.quota)
				t.Logf("%s: at most %d requests in a window, %d are allowed", w.name, most, bound)
				if most > bound {
					t.Errorf("%d requests of %s were sent in a window and ran, at most %d are allowed", most, w.name, bound)
				}
			}
		})
	}
}

// disturb cuts off, pauses, kills and restarts nodes, and has nodes join and leave.
func (s *simulation) disturb() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	lasts := time.Duration(s.rnd.Int64N(int64(6 * time.Second)))
	switch s.rnd.IntN(4) {
	case 0:
		n.isCut, n.cutAt = true, s.now
		s.at(lasts, func() { n.isCut = false })
	case 1:
		n.pausedTo = s.now + lasts
	case 2:
		n.isUp = false
		s.at(lasts, func() { s.start(n) })
	case 3: // the node leaves, and comes back later
		if n.isUp && len(s.directory) > len(s.nodes)/2 {
			n.isUp = false
			s.setDirectory(without(s.directory, n.name))
			s.at(lasts, func() {
				s.setDirectory(append(without(s.directory, n.name), n.name))
				s.start(n)
			})
		}
	}
	s.at(time.Duration(s.rnd.Int64N(int64(2*time.Second))), s.disturb)
}

func without(list []string, name string) []string {
	var rest []string
	for _, other := range list {
		if other != name {
			rest = append(rest, other)
		}
	}
	return rest
}

// TestWorkspaceWithinItsQuotaIsServed guards against requests that are refused because the
// node that gets them has no part of the quota. The requests come to any node, as fast as a
// single bucket with the rate and burst of the quota would admit them.
func TestWorkspaceWithinItsQuotaIsServed(t *testing.T) {
	for _, nodes := range []int{2, 13, 74, 451} {
		for _, q := range []Quota{{3.6, 3.6}, {0.5, 1}, {60, 60}, {501, 501}} {
			if nodes == 451 && q.Rate > 100 {
				continue // takes longer, and is spread more evenly than over fewer nodes
			}
			t.Run(fmt.Sprintf("%g over %d nodes", q.Rate, nodes), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(1, nodes)
				// An ideal bucket admits the requests. They come in bursts, so that it is full at times.
				level, at := 0.0, time.Duration(0)
				w := simWorkspace{"workspace", q, nil}
				w.demand = func(now time.Duration) float64 {
					level, at = min(level+q.Rate*(now-at).Seconds(), q.Burst), now
					if now < 3*time.Second || now%(4*time.Second) < time.Second || level < 1 {
						return 0
					}
					level--
					return 1000 // one request in this millisecond
				}
				s.serve([]simWorkspace{w})
				s.run(60 * time.Second)
				refused := float64(s.over+s.noIssuer) / float64(s.requests)
				t.Logf("%d requests, refused %d, messages for each request %.2f", s.requests, s.over+s.noIssuer, float64(s.messages)/float64(s.requests))
				is.True(s.requests > 20)
				is.True(refused <= 0.002)
				is.True(s.most(w.name) <= simBound(q))
			})
		}
	}
}
