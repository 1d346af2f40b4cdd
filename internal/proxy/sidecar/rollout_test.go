package sidecar_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/fleet/rollout"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
)

// rolloutDuration is that of the orders in these tests.
const rolloutDuration = 6 * time.Second

// startRollout starts a fleet with three servers of version v1 and clients, orders a roll-out to
// v2, and starts three servers of it with the given faults. Beside the order there is an entry
// that cannot be read.
func startRollout(t *testing.T, faults backend.Faults) *fleet.Fleet {
	is := is.New(t)
	nodes := shopNodes(3)
	for i := range nodes {
		nodes[i].Version = "v1"
	}
	f := startFleet(t, fleet.Spec{Nodes: nodes, Slots: 8, WorkTime: 20 * time.Millisecond, CanaryShare: 0.2, AnnounceInterval: 500 * time.Millisecond, Log: rolloutLog(t)})
	clients := f.VMs
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i, vm := range clients {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				f.Do(ctx, fleet.Request{VM: vm, Path: "/reads/1", ID: fmt.Sprint("load-", i, "-", n), Deadline: time.Second})
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	_, err := f.Store.Put(ctx, "operator", platform.RolloutKind, "damaged", []byte(`{"service":"shop","targetVersion":[]}`), nil, 0, true)
	is.NoErr(err)
	is.NoErr(f.Order(rollout.Order{Service: "shop", Target: "v2", Duration: rolloutDuration}))
	for _, n := range nodes {
		n.Version = "v2"
		vm, err := f.AddVM(n)
		is.NoErr(err)
		vm.Server.SetFaults(faults)
	}
	return f
}

// rolloutLog returns a logger whose lines about roll-outs are printed if the test fails.
func rolloutLog(t *testing.T) hclog.Logger {
	var mu sync.Mutex
	var lines []string
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		if t.Failed() {
			t.Log("\n" + strings.Join(lines, ""))
		}
	})
	return hclog.New(&hclog.LoggerOptions{Output: writerFunc(func(line string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(line, "rollout-") || strings.Contains(line, event.NodeSilent) {
			lines = append(lines, line)
		}
	})})
}

type writerFunc func(line string)

// Write passes the text to the function.
func (f writerFunc) Write(p []byte) (int, error) {
	f(string(p))
	return len(p), nil
}

// arrivals returns the numbers of requests that servers of v1 and of v2 have received.
func arrivals(f *fleet.Fleet) (old, target int) {
	for i, vm := range f.VMs {
		if i < 3 {
			old += vm.Server.Stats().Arrivals
		} else {
			target += vm.Server.Stats().Arrivals
		}
	}
	return old, target
}

func awaitOutcome(t *testing.T, f *fleet.Fleet, want rollout.Phase) {
	t.Helper()
	is := is.New(t)
	is.NoErr(fleet.Await("the store holds "+want.String(), func() bool { return f.Outcome("shop") >= rollout.StoredRolledBack }))
	is.Equal(f.Outcome("shop").String(), want.String())
}

// TestGoodVersionIsRolledOut guards against a roll-out that does not end, and against requests to
// servers of the old version, which stop at once, when the status says that it is complete. The
// store loses the responses to some writes.
func TestGoodVersionIsRolledOut(t *testing.T) {
	is := is.New(t)
	f := startRollout(t, backend.Faults{})
	f.Store.SetFaults(catalogue.Faults{LostWriteRatio: 0.5})
	awaitOutcome(t, f, rollout.StoredComplete)
	old, target := arrivals(f)
	time.Sleep(300 * time.Millisecond)
	oldLater, targetLater := arrivals(f)
	is.Equal(oldLater, old)
	is.True(targetLater > target)
}

// TestBadVersionIsRolledBack guards against a version that fails requests and stays in use.
func TestBadVersionIsRolledBack(t *testing.T) {
	is := is.New(t)
	f := startRollout(t, backend.Faults{Fail: true})
	awaitOutcome(t, f, rollout.StoredRolledBack)
	_, target := arrivals(f)
	time.Sleep(300 * time.Millisecond)
	old, targetLater := arrivals(f)
	is.Equal(targetLater, target)
	is.True(float64(target) <= 0.2*float64(old+target)+50)
}

// TestDecidingNodeIsKilled guards against a roll-out that ends with the node that decides. Two of
// three old nodes are killed one after the other, so that each node that decides may be one.
func TestDecidingNodeIsKilled(t *testing.T) {
	f := startRollout(t, backend.Faults{})
	for _, vm := range f.VMs[3:5] {
		time.Sleep(rolloutDuration / 5)
		vm.Server.Crash()
		vm.Sidecar.Kill()
	}
	awaitOutcome(t, f, rollout.StoredComplete)
}

// TestOutcomeIsStoredOnceTheStoreIsBack guards against an outcome that is lost because the store was
// down when it was decided.
func TestOutcomeIsStoredOnceTheStoreIsBack(t *testing.T) {
	is := is.New(t)
	f := startRollout(t, backend.Faults{})
	is.NoErr(fleet.Await("the order is known", func() bool { return f.Outcome("shop") == rollout.Canary }))
	f.Store.SetFaults(catalogue.Faults{Outage: catalogue.Busy})
	time.Sleep(rolloutDuration)
	old, _ := arrivals(f)
	time.Sleep(300 * time.Millisecond)
	oldLater, _ := arrivals(f)
	is.Equal(oldLater, old) // the traffic was moved
	f.Store.SetFaults(catalogue.Faults{})
	awaitOutcome(t, f, rollout.StoredComplete)
}
