package sidecar_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
)

// TestFleetLosesWhatTheRestoredStoreLost changes the policy and removes a VM, restores the
// store as it was before both, and restarts a node.
func TestFleetLosesWhatTheRestoredStoreLost(t *testing.T) {
	for name, outage := range map[string]catalogue.Outage{"noticed outage": catalogue.Reset, "unnoticed outage": catalogue.NoOutage} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleet.Spec{Nodes: shopNodes(4), Slots: 2})
			f.Store.Checkpoint()
			is.NoErr(f.SetRoutes(routesWithPrefix("lost")))
			leaving := f.VMs[3]
			is.NoErr(leaving.Server.Leave())
			is.NoErr(f.AwaitServers(3))
			is.NoErr(leaving.Sidecar.Close())
			leaving.Server.Crash()
			f.VMs = f.VMs[:3]

			f.Store.SetFaults(catalogue.Faults{Outage: outage})
			f.Store.Rewind()
			f.Store.SetFaults(catalogue.Faults{})
			is.NoErr(f.SetRoutes(routesWithPrefix("lost"))) // the operator writes again
			is.NoErr(f.SetRoutes(routesWithPrefix("next")))
			is.NoErr(f.AwaitServers(3))

			f.VMs[0].Sidecar.Kill()
			is.NoErr(f.Restart(f.VMs[0]))
			is.NoErr(f.VMs[0].Server.Announce())
			is.NoErr(f.AwaitServers(3))
			for _, vm := range f.VMs {
				a := f.Do(context.Background(), fleet.Request{VM: vm, Path: "/next/1", ID: vm.Settings.Node})
				is.Equal(a.Status, http.StatusOK)
			}
			is.NoErr(fleet.Await("the entry of the server that left is removed", func() bool {
				entries, _, _, err := f.Store.List(context.Background(), "test", "geraniumdock-servers", "")
				return err == nil && len(entries) == 3
			}))
		})
	}
}
