package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// joinedStart is longer than a server and its node take to start together.
const joinedStart = 600 * time.Millisecond

// callers is how many requests sendAll has in flight at each node.
const callers = 8

// sendAll sends n requests to each of the nodes, callers at a time, and returns how
// many got each status.
func sendAll(f *fleet.Fleet, nodes []*fleet.VM, name string, n int) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for i, vm := range nodes {
		for c := range callers {
			wg.Go(func() {
				for j := c; j < n; j += callers {
					a := f.Do(context.Background(), fleet.Request{VM: vm, Path: "/reads/1", ID: fmt.Sprintf("%s-%d-%d", name, i, j)})
					mu.Lock()
					statuses[a.Status]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return statuses
}

// permitted returns how many requests a server with the given limit may get within d:
// one and a half times its limit, and five more.
func permitted(perSecond float64, d time.Duration) int {
	return int(1.5*perSecond*d.Seconds()) + 5
}

// awaitArrival sends reads until the server of vm has got another one.
func awaitArrival(t *testing.T, f *fleet.Fleet, vm *fleet.VM, name string) {
	t.Helper()
	before, i := vm.Server.Stats().Arrivals, 0
	if err := fleet.Await("the server gets a request", func() bool {
		i++
		f.Do(context.Background(), fleet.Request{VM: vm, Path: "/reads/1", ID: fmt.Sprintf("%s-%d", name, i)})
		return vm.Server.Stats().Arrivals > before
	}); err != nil {
		t.Fatal(err)
	}
}

func TestServerGetsMoreRequestsThanItsLimit(t *testing.T) {
	is := is.New(t)
	const limit = 2
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 6, WorkTime: 5 * time.Millisecond})
	limited := f.VMs[0]
	limited.Server.SetLimit(limit)
	awaitArrival(t, f, limited, "named")
	before, began := limited.Server.Stats().Arrivals, clock.Deadline(0)
	statuses := sendAll(f, f.VMs, "all", 100)
	got, took := limited.Server.Stats().Arrivals-before, clock.Since(began)
	if got > permitted(limit, took) {
		t.Errorf("a server that accepts %d requests/s got %d in %s", limit, got, took)
	}
	is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], 300) // what does not run is refused
	is.True(statuses[http.StatusOK] > 200)                                         // the other servers have room
}

func TestServerGetsNoRequestsAfterItsLimitIsLifted(t *testing.T) {
	for name, limit := range map[string]float64{"low": 0.5, "zero": 1e-9} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 6, WorkTime: 5 * time.Millisecond})
			f.VMs[0].Server.SetLimit(limit)
			awaitArrival(t, f, f.VMs[0], "named")
			f.VMs[0].Server.SetLimit(0)
			awaitArrival(t, f, f.VMs[0], "lifted")
			is.Equal(sendAll(f, f.VMs, "all", 24)[http.StatusOK], 24)
		})
	}
}

func TestServerGetsMoreRequestsThanItsLimitAfterItsNodeRestarts(t *testing.T) {
	for name, faults := range map[string]catalogue.Faults{"store up": {}, "store down": {Outage: catalogue.Busy}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const limit = 0.5
			nodes := []fleet.NodeSpec{{DataCentre: "a", Service: "shop"}, {DataCentre: "a", Service: "other"}, {DataCentre: "b", Service: "other"}}
			f := startFleet(t, fleet.Spec{Nodes: nodes, Slots: 12, WorkTime: 200 * time.Millisecond})
			limited := f.VMs[0]
			limited.Server.SetLimit(limit)
			awaitArrival(t, f, limited, "named")
			time.Sleep(joinedStart) // a server that is younger has started together with its node
			before, began := limited.Server.Stats().Arrivals, clock.Deadline(0)
			f.Store.SetFaults(faults)
			limited.Sidecar.Kill()
			is.NoErr(f.Restart(limited))
			is.NoErr(limited.Server.Announce()) // before the node has learned what the earlier process knew
			is.NoErr(fleet.Await("the server gets requests", func() bool {
				sendAll(f, f.VMs[1:], "all", callers)
				return limited.Server.Stats().Arrivals > before
			}))
			sendAll(f, f.VMs[1:], "all", callers)
			got, took := limited.Server.Stats().Arrivals-before, clock.Since(began)
			if got > permitted(limit, took) {
				t.Errorf("a server that accepts %v requests/s got %d in %s", limit, got, took)
			}
		})
	}
}

func TestServerThatIsLeavingGetsRequests(t *testing.T) {
	is := is.New(t)
	const drain = 100 * time.Millisecond
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 6, Drain: drain})
	leaving := f.VMs[0]
	leaving.Server.SetLeaving()
	awaitArrival(t, f, leaving, "notice")
	time.Sleep(drain)
	before := leaving.Server.Stats().Arrivals
	is.Equal(sendAll(f, f.VMs, "all", 30)[http.StatusOK], 90)
	is.Equal(leaving.Server.Stats().Arrivals, before)
}

func TestServerThatIsLeavingGetsRequestsAfterItsNodeRestarts(t *testing.T) {
	for name, faults := range map[string]catalogue.Faults{"store up": {}, "store down": {Outage: catalogue.Busy}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const drain = 100 * time.Millisecond
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 6, Drain: drain})
			leaving := f.VMs[0]
			leaving.Server.SetLeaving()
			awaitArrival(t, f, leaving, "notice")
			is.NoErr(f.AwaitServers(2)) // all nodes know
			f.Store.SetFaults(faults)
			leaving.Sidecar.Kill()
			is.NoErr(f.Restart(leaving))
			is.NoErr(leaving.Server.Announce()) // the announcement does not state that the server leaves
			time.Sleep(drain)
			before := leaving.Server.Stats().Arrivals
			is.Equal(sendAll(f, f.VMs[1:], "all", 30)[http.StatusOK], 60)
			is.Equal(leaving.Server.Stats().Arrivals, before)
			is.NoErr(f.AwaitServers(2)) // also the restarted node
		})
	}
}

func TestServerThatHasLeftIsUsedAfterItsNodeRestarts(t *testing.T) {
	for name, faults := range map[string]catalogue.Faults{"store up": {}, "store down": {Outage: catalogue.Busy}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 6, Drain: 100 * time.Millisecond})
			left := f.VMs[0]
			late := left.Server.Announcement()
			is.NoErr(left.Server.Leave())
			is.NoErr(f.AwaitServers(2)) // all nodes know
			f.Store.SetFaults(faults)
			left.Sidecar.Kill()
			is.NoErr(f.Restart(left))
			req, err := platform.NewAnnouncement(left.Sidecar.Address("announcements"), late)
			is.NoErr(err)
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			before := left.Server.Stats().Arrivals
			is.Equal(sendAll(f, f.VMs[1:], "all", 30)[http.StatusOK], 60)
			is.Equal(left.Server.Stats().Arrivals, before)
			is.NoErr(f.AwaitServers(2)) // also the restarted node
		})
	}
}

// TestAcknowledgedLeaveOutlastsAllNodes has a server leave and kills all nodes as soon as the
// leave is acknowledged. The next processes learn from the store at most that the server was
// up. They must not use it, and must go on to use the servers that announce themselves.
func TestAcknowledgedLeaveOutlastsAllNodes(t *testing.T) {
	for name, faults := range map[string]catalogue.Faults{"store up": {}, "store down": {Outage: catalogue.Busy}, "store silent": {Outage: catalogue.Silent}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(3), Slots: 6, Drain: 100 * time.Millisecond, AnnounceInterval: 200 * time.Millisecond})
			is.NoErr(fleet.Await("the entries are written", func() bool { return countEntries(f) == 3 }))
			f.Store.SetFaults(faults)
			left := f.VMs[0]
			is.NoErr(left.Server.Leave())
			for _, vm := range f.VMs {
				vm.Sidecar.Kill()
			}
			for _, vm := range f.VMs {
				is.NoErr(f.Restart(vm))
			}
			f.Store.SetFaults(catalogue.Faults{})
			is.NoErr(f.AwaitServers(2))
			time.Sleep(joinedStart) // longer than two announcements are due in
			is.NoErr(f.AwaitServers(2))
			before := left.Server.Stats().Arrivals
			is.Equal(sendAll(f, f.VMs, "all", 30)[http.StatusOK], 90)
			is.Equal(left.Server.Stats().Arrivals, before)
		})
	}
}
