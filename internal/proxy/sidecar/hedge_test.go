package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/settings"
)

// TestHungReadIsHedged makes the preferred one of three servers hang. Reads that reach it must get the
// response of another server, and the hung runs must be cancelled, or they would hold its slots
// until their deadline. An order that hangs may not be sent a second time.
func TestHungReadIsHedged(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: append(shopNodes(3), fleet.NodeSpec{DataCentre: "dc-0", Service: "front"}), Slots: 4, WorkTime: 5 * time.Millisecond, Hedging: settings.SidecarHedging{MaxShare: 0.5}})
	do := func(path, id string, timeout time.Duration) fleet.Response {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return f.Do(ctx, fleet.Request{VM: f.VMs[3], Path: path, ID: id})
	}
	var clients sync.WaitGroup
	for c := range 6 { // more at once than a server has slots, so that all servers get some
		clients.Go(func() {
			for i := range 30 {
				_ = do("/reads/1", fmt.Sprint("warm-", c, "-", i), time.Minute)
			}
		})
	}
	clients.Wait()
	for i := range 10 {
		is.Equal(do("/reads/1", fmt.Sprint("calm-", i), time.Minute).Status, http.StatusOK)
	}
	hung := f.VMs[0].Server
	for _, vm := range f.VMs[:3] {
		if len(vm.Server.Runs()) > len(hung.Runs()) {
			hung = vm.Server // the one that the node prefers
		}
	}
	before := hung.Stats().Canceled // hedges of reads that a busy machine made slow
	hung.SetFaults(backend.Faults{Hang: true})
	hedged := 0
	for i := 0; i < 30 || hedged == 0 && i < 1000; i++ {
		id := fmt.Sprint("read-", i)
		a := do("/reads/1", id, time.Minute)
		is.NoErr(a.Err)
		is.Equal(a.Status, http.StatusOK) // not 504 at the timeout of the route
		if hung.RunCount(id) > 0 {
			hedged++
			is.Equal(countRuns(f, id), 2)
		}
	}
	is.True(hedged > 0)
	is.NoErr(fleet.Await("the hung runs are cancelled", func() bool { return hung.Stats().Canceled >= before+hedged }))
	for i := range 10 {
		id := fmt.Sprint("order-", i)
		_ = do("/orders/1", id, 100*time.Millisecond) // may hang
		is.True(countRuns(f, id) <= 1)
	}
}
