package sidecar_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
)

// runsInAll returns the number of requests that the servers of f started to run on paths
// that contain part.
func runsInAll(f *fleet.Fleet, part string) int {
	n := 0
	for _, vm := range f.VMs {
		for _, r := range vm.Server.Runs() {
			if strings.Contains(r.Target, part) {
				n++
			}
		}
	}
	return n
}

// awaitCrashesReported waits until every node has the reports of the given number of crashes.
func awaitCrashesReported(f *fleet.Fleet, crashes int) error {
	return fleet.Await(fmt.Sprintf("every node has the reports of %d crashes", crashes), func() bool {
		for _, vm := range f.VMs {
			if vm.Sidecar.Crashes() != crashes {
				return false
			}
		}
		return true
	})
}

// TestRequestThatCrashesServersLate sends a request that crashes each server which runs it,
// at several points of the exchange and with no other request in flight. After three
// crashes no server may get it, at whichever point they came.
func TestRequestThatCrashesServersLate(t *testing.T) {
	large := strings.Repeat("x", 600_000)
	for name, c := range map[string]struct {
		point  backend.CrashPoint
		body   string
		leaves bool // the client leaves when a server runs the request
	}{
		"before the response":                    {backend.BeforeResponse, "", false},
		"in the response":                        {backend.InResponse, "", false},
		"in a response that is forwarded":        {backend.InStream, "", false},
		"after the response":                     {backend.AfterResponse, "", false},
		"after its client has left":              {backend.AfterCancel, "", true},
		"after the client of an upload has left": {backend.AfterCancel, large, true},
		"while the body of an upload arrives":    {backend.InRequest, large, false},
		"in the response to an upload":           {backend.InResponse, large, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(5), Slots: 4})
			for _, vm := range f.VMs {
				vm.Server.CrashAt = &c.point
			}
			send := func(i int) fleet.Response {
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				before := runsInAll(f, backend.CrashMark)
				responses := make(chan fleet.Response, 1)
				go func() {
					responses <- f.Do(ctx, fleet.Request{VM: f.VMs[i%len(f.VMs)], Method: http.MethodPost, Path: "/orders/" + backend.CrashMark, ID: fmt.Sprint("crash-", i), Body: c.body})
				}()
				var response fleet.Response
				is.NoErr(fleet.Await("the request runs or ends", func() bool {
					if c.leaves && runsInAll(f, backend.CrashMark) > before {
						leave()
					}
					select {
					case response = <-responses:
						return true
					default:
						return false
					}
				}))
				return response
			}
			crashes := 0
			for i := 0; crashes < 3; i++ {
				is.True(i < 10)
				before := runsInAll(f, backend.CrashMark)
				a := send(i)
				if runsInAll(f, backend.CrashMark) == before {
					is.Equal(a.Status, http.StatusServiceUnavailable) // refused after two crashes, as it was alone
					break
				}
				crashes++
				is.NoErr(awaitCrashesReported(f, crashes))
			}
			before := runsInAll(f, backend.CrashMark)
			for i := range 5 {
				is.Equal(send(i).Status, http.StatusServiceUnavailable)
			}
			is.Equal(runsInAll(f, backend.CrashMark), before)
		})
	}
}

// restartServer starts the next server beside vm, after the last one has crashed.
func restartServer(t *testing.T, vm *fleet.VM, instance string) {
	t.Helper()
	l, err := net.Listen("tcp", vm.Server.Address())
	if err != nil {
		t.Fatal(err)
	}
	old := vm.Server
	vm.Server = &backend.Server{Service: old.Service, Instance: instance, Slots: old.Slots, Queue: old.Queue, WorkTime: old.WorkTime, NodeAddress: old.NodeAddress, CrashAt: old.CrashAt}
	vm.Server.StartOn(l)
	if err := vm.Server.Announce(); err != nil {
		t.Fatal(err)
	}
}

// TestInnocentRequestsAreServedAfterCrashes crashes servers for reasons of their own while
// each runs requests to one path, alone or with others, in turn or all at once. These must
// be served afterwards, whether they differ in their bodies or are equal.
func TestInnocentRequestsAreServedAfterCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		body     func(i int) string
		parallel int  // requests in flight at a server when it crashes
		atOnce   bool // all servers crash at the same time
	}{
		"different bodies":          {func(i int) string { return fmt.Sprint("body ", i) }, 3, false},
		"different bodies, alone":   {func(i int) string { return fmt.Sprint("body ", i) }, 1, false},
		"different uploads":         {func(i int) string { return strings.Repeat("x", 100_000) + fmt.Sprint(i) }, 3, false},
		"equal requests":            {func(int) string { return "" }, 3, false},
		"equal requests, alone":     {func(int) string { return "" }, 1, false},
		"equal bodies":              {func(int) string { return "body" }, 3, false},
		"equal requests, at once":   {func(int) string { return "" }, 1, true},
		"different bodies, at once": {func(i int) string { return fmt.Sprint("body ", i) }, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const crashes, maxInFlight = 4, 16
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(crashes + 1), Slots: 3, WorkTime: 10 * time.Millisecond})
			sent := 0
			order := func(vm *fleet.VM) fleet.Request {
				sent++
				return fleet.Request{VM: vm, Method: http.MethodPost, Path: "/orders/new", ID: fmt.Sprint("o-", sent), Body: c.body(sent)}
			}
			for _, vm := range f.VMs { // one request runs well, which is known when the server has run on for a while
				is.Equal(f.Do(context.Background(), order(vm)).Status, http.StatusOK)
			}
			time.Sleep(time.Second)
			var wg sync.WaitGroup
			occupy := func(vm *fleet.VM) {
				vm.Server.SetFaults(backend.Faults{Hang: true})
				before := len(vm.Server.Runs())
				var inFlight atomic.Int64
				is.NoErr(fleet.Await("requests run", func() bool {
					running := len(vm.Server.Runs()) - before
					if running < c.parallel && inFlight.Load() < maxInFlight {
						r := order(vm)
						inFlight.Add(1)
						wg.Go(func() {
							defer inFlight.Add(-1)
							f.Do(context.Background(), r)
						})
					}
					return running >= c.parallel
				}))
			}
			for i, vm := range f.VMs[:crashes] {
				occupy(vm)
				if !c.atOnce {
					vm.Server.Crash()
					wg.Wait()
					is.NoErr(awaitCrashesReported(f, i+1))
					restartServer(t, vm, fmt.Sprint("again-", i))
				}
			}
			if c.atOnce {
				for _, vm := range f.VMs[:crashes] {
					go vm.Server.Crash()
				}
				wg.Wait()
				is.NoErr(awaitCrashesReported(f, crashes))
				for i, vm := range f.VMs[:crashes] {
					restartServer(t, vm, fmt.Sprint("again-", i))
				}
			}
			is.NoErr(f.AwaitServers(len(f.VMs)))
			for _, vm := range f.VMs { // that the requests are innocent takes a moment to reach all nodes
				is.NoErr(fleet.Await("the request is served", func() bool {
					return f.Do(context.Background(), order(vm)).Status == http.StatusOK
				}))
			}
		})
	}
}

// TestCrashingRequestAmongOthersOnItsPath sends a request that crashes servers and is told
// from others on its path only by its body, by the last bytes of a long one. It must be
// refused after three crashes at most, and the others must be served.
func TestCrashingRequestAmongOthersOnItsPath(t *testing.T) {
	for name, prefix := range map[string]string{"short body": "", "long body": strings.Repeat("x", 300_000)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(4), Slots: 4})
			point := backend.InResponse
			for _, vm := range f.VMs {
				vm.Server.CrashAt = &point
			}
			send := func(i int, id, body string) fleet.Response {
				return f.Do(context.Background(), fleet.Request{VM: f.VMs[i%len(f.VMs)], Method: http.MethodPost, Path: "/orders/new", ID: id, Body: prefix + body})
			}
			served := 0
			sendGood := func() {
				for i := range f.VMs {
					served++
					is.Equal(send(i, fmt.Sprint("good-", served), fmt.Sprint("good ", served)).Status, http.StatusOK)
				}
			}
			sendGood()
			for crashes := 0; ; {
				before := runsInAll(f, "/orders/new")
				a := send(crashes, fmt.Sprint("bad-", crashes), backend.CrashMark)
				if runsInAll(f, "/orders/new") == before {
					is.Equal(a.Status, http.StatusServiceUnavailable)
					break
				}
				crashes++
				is.True(crashes <= 3)
				is.NoErr(awaitCrashesReported(f, crashes))
				for _, vm := range f.VMs {
					if _, err := net.Dial("tcp", vm.Server.Address()); err != nil {
						restartServer(t, vm, fmt.Sprint("again-", crashes))
					}
				}
				is.NoErr(f.AwaitServers(len(f.VMs)))
				sendGood()
			}
			sendGood()
		})
	}
}
