package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
)

// BenchmarkClaims measures the number of store writes per claim at several rates of
// claims, with 7 nodes that share the partitions of one service and a store that
// responds in 3 ms.
func BenchmarkClaims(b *testing.B) {
	const nodes, length = 7, 3 * time.Second
	var mu sync.Mutex
	for _, rate := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				m := object.NewMemory()
				m.SetFaults(object.Faults{Delay: 3 * time.Millisecond})
				var names []string
				writers := map[string]*Writer{}
				for i := range nodes {
					name := fmt.Sprint("n", i)
					names = append(names, name)
					writers[name] = NewWriter(m, clock.System{}, Holder{name, 1}, 10)
				}
				var wg sync.WaitGroup
				var latencies []time.Duration
				total := rate * int(length/time.Second)
				tick := time.NewTicker(time.Second / time.Duration(rate))
				for i := range total {
					<-tick.C
					wg.Go(func() {
						k := KeyOf("s", "a", fmt.Sprint(i))
						w := writers[RankNodes("s", k.Partition(), names)[0]]
						began := clock.System{}.Monotonic()
						if _, own, err := w.Claim(context.Background(), "s", k); err != nil || !own {
							b.Error(own, err)
						}
						mu.Lock()
						latencies = append(latencies, clock.System{}.Monotonic()-began)
						mu.Unlock()
					})
				}
				wg.Wait()
				tick.Stop()
				c := m.Counts()
				b.ReportMetric(float64(c.Writes)/float64(total), "platform-writes/claim")
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-wait-ms")
				b.ReportMetric(float64(c.Writes+c.Reads)/length.Seconds(), "calls/s")
				for _, w := range writers {
					w.Close()
				}
			}
		})
	}
}
