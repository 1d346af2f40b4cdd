package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkShareRequests measures how often each of ten nodes requests shares of the
// rate limit and the concurrency limit of one caller, with Poisson arrivals of calls.
// Each message with share requests costs a read and a write of the platform.
func BenchmarkShareRequests(b *testing.B) {
	const nodes, length = 10, 10 * time.Minute
	rateKey := Key{Caller: "a", Dimension: Rate}
	for _, calls := range []float64{1, 10, 100} {
		b.Run(fmt.Sprintf("calls=%g", calls), func(b *testing.B) {
			for range b.N {
				rnd := rand.New(rand.NewPCG(1, 2))
				limits := map[Key]int64{rateKey: 1000 * RateUnits, concurrencyKey: 100}
				meters := make([]Meter, nodes)
				for i := range meters {
					meters[i].SetLimits(limits)
				}
				messages := 0
				for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
					for i := range meters {
						for n := calls / nodes / 10; rnd.Float64() < n; n-- {
							if meters[i].Enter(now, "a") == nil {
								meters[i].Leave("a")
							}
						}
						if len(meters[i].Requests(now)) > 0 {
							messages++
						}
					}
				}
				b.ReportMetric(float64(messages)/nodes/length.Seconds(), "asks/node-s")
			}
		})
	}
}
