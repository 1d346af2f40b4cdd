package sidecar_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/platform"
)

// workspaceRoutes returns routes with a public route for short reads.
func workspaceRoutes() []route.Route {
	list := slices.Clone(routes)
	list[2].Public, list[2].Timeout = true, 5*time.Second
	return list
}

// keyHeader returns the header of a client with the given key, "" for none, that claims to
// belong to another workspace.
func keyHeader(key string) http.Header {
	h := http.Header{}
	platform.SetWorkspace(h, "forged")
	if key != "" {
		platform.SetKey(h, key)
	}
	return h
}

// runOf returns the first run of the request with the given id.
func runOf(f *fleet.Fleet, id string) (backend.Run, bool) {
	for _, vm := range f.VMs {
		for _, run := range vm.Server.Runs() {
			if run.ID == id {
				return run, true
			}
		}
	}
	return backend.Run{}, false
}

// TestServerGetsTheWorkspaceAndNoKey guards against requests without a valid key that run, and
// against servers that get a client's key or a workspace that the client made up.
func TestServerGetsTheWorkspaceAndNoKey(t *testing.T) {
	f := startFleet(t, fleet.Spec{
		Nodes: shopNodes(3), Slots: 4, Routes: workspaceRoutes(),
		Workspaces: []route.Workspace{{Name: "acme", Keys: []string{"k1", "k2"}}, {Name: "globex", Keys: []string{"k3"}}},
	})
	for name, c := range map[string]struct {
		path, key string
		status    int
		workspace string
	}{
		"key":                 {"/reads/1", "k2", http.StatusOK, "acme"},
		"other workspace":     {"/orders/1", "k3", http.StatusOK, "globex"},
		"unknown key":         {"/reads/1", "k4", http.StatusUnauthorized, ""},
		"no key":              {"/orders/1", "", http.StatusUnauthorized, ""},
		"public without key":  {"/short/1", "", http.StatusOK, ""},
		"public, unknown key": {"/short/1", "k4", http.StatusOK, ""},
		"public with key":     {"/short/1", "k1", http.StatusOK, "acme"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := "id-" + name
			a := f.Do(context.Background(), fleet.Request{VM: f.VMs[1], Path: c.path, ID: id, Header: keyHeader(c.key)})
			is.NoErr(a.Err)
			is.Equal(a.Status, c.status)
			run, ran := runOf(f, id)
			is.Equal(ran, c.status == http.StatusOK)
			is.Equal(run.Workspace, c.workspace)
			is.Equal(run.Key, "")
		})
	}
}

// TestHeadersStayWithoutWorkspaces guards against a node that drops header fields in a
// deployment whose policy has no workspaces.
func TestHeadersStayWithoutWorkspaces(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(2), Slots: 4})
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "plain", Header: keyHeader("k1")})
	is.Equal(a.Status, http.StatusOK)
	run, _ := runOf(f, "plain")
	is.Equal(run.Key, "k1")
}

// TestKeysChangeWithVersions guards against a node that accepts a key which a version in force
// has removed, or refuses one that it has added. A faulty version in between, in which two
// workspaces have one key, must change nothing.
func TestKeysChangeWithVersions(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Spec{
		Nodes: shopNodes(3), Slots: 4, Routes: workspaceRoutes(), Workspaces: []route.Workspace{{Name: "acme", Keys: []string{"old"}}},
	})
	status := func(key string) int {
		a := f.Do(context.Background(), fleet.Request{VM: f.VMs[2], Path: "/reads/1", ID: "id-" + key, Header: keyHeader(key)})
		is.NoErr(a.Err)
		return a.Status
	}
	is.Equal(status("old"), http.StatusOK)
	shared, err := platform.EncodePolicy(100, route.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		[]string{"shop"}, workspaceRoutes(), route.Workspace{Name: "a", Keys: []string{"new"}}, route.Workspace{Name: "b", Keys: []string{"new"}})
	is.NoErr(err)
	is.NoErr(f.SetRawPolicy(shared))
	is.NoErr(f.SetPolicy(workspaceRoutes(), []route.Workspace{{Name: "acme", Keys: []string{"new"}}}))
	is.NoErr(f.AwaitServers(3))
	is.Equal(status("old"), http.StatusUnauthorized)
	is.Equal(status("new"), http.StatusOK)
}
