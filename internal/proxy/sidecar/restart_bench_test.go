package sidecar_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
)

// BenchmarkFleetRestart kills all nodes of a fleet and restarts them at the same
// time. It reports the time until every node knows the policy and all servers, the
// number of store calls until then, and the highest number of them in one second.
// The fleets are small because the connections between 300 nodes in one process
// need more than 20,000 file descriptors.
func BenchmarkFleetRestart(b *testing.B) {
	for _, n := range []int{13, 91} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, err := fleet.Start(fleet.Spec{Nodes: shopNodes(n), Routes: routes, Slots: 2, RepeatSlack: 1000})
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			for b.Loop() {
				restartAll(b, f)
			}
		})
	}
}

func restartAll(b *testing.B, f *fleet.Fleet) {
	for _, vm := range f.VMs {
		vm.Sidecar.Kill()
	}
	before, began := storeCalls(f.Store.Counts()), clock.Deadline(0)
	stop := make(chan struct{})
	peak := make(chan int)
	go func() { peak <- busiestSecond(f, stop) }()
	var starting sync.WaitGroup
	for _, vm := range f.VMs {
		starting.Go(func() {
			if err := f.Restart(vm); err != nil {
				b.Error(err)
			}
		})
	}
	starting.Wait()
	if err := f.AwaitServers(len(f.VMs)); err != nil {
		b.Fatal(err)
	}
	took := clock.Since(began)
	close(stop)
	b.ReportMetric(took.Seconds(), "s-to-recover")
	b.ReportMetric(float64(storeCalls(f.Store.Counts())-before), "store-calls")
	b.ReportMetric(float64(<-peak), "store-calls/s-at-most")
}

func storeCalls(c catalogue.Counts) int { return c.Reads + c.Writes + c.Watches }

// busiestSecond returns the highest number of store calls in one second until stop
// is closed.
func busiestSecond(f *fleet.Fleet, stop <-chan struct{}) int {
	const samplesPerSecond = 10
	tick := time.NewTicker(time.Second / samplesPerSecond)
	defer tick.Stop()
	counts := []int{storeCalls(f.Store.Counts())}
	most := 0
	for {
		select {
		case <-tick.C:
		case <-stop:
			return max(most, storeCalls(f.Store.Counts())-counts[max(0, len(counts)-samplesPerSecond)])
		}
		counts = append(counts, storeCalls(f.Store.Counts()))
		most = max(most, counts[len(counts)-1]-counts[max(0, len(counts)-1-samplesPerSecond)])
	}
}
