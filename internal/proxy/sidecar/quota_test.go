package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/limit"
)

// sendFor sends requests with the key to each of the nodes until the time has passed, and
// returns how many got each status. It reports responses with 429 and no Retry-After.
func sendFor(t *testing.T, f *fleet.Fleet, nodes []*fleet.VM, key string, pause, length time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	end := clock.Deadline(length)
	for i, vm := range nodes {
		wg.Go(func() {
			for j := 0; clock.Since(end) < 0; j++ {
				a := f.Do(context.Background(), fleet.Request{VM: vm, Path: "/reads/1", ID: fmt.Sprintf("%s-%d-%d", key, i, j), Header: keyHeader(key)})
				if a.Status == http.StatusTooManyRequests && a.Header.Get("Retry-After") == "" {
					t.Error("a response with 429 has no Retry-After")
				}
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return statuses
}

// runsOf returns the runs of the workspace on all servers.
func runsOf(f *fleet.Fleet, workspace string) (list []backend.Run) {
	for _, vm := range f.VMs {
		for _, run := range vm.Server.Runs() {
			if run.Workspace == workspace {
				list = append(list, run)
			}
		}
	}
	return list
}

// TestQuotaBindsOverAllNodes guards against nodes that together run more requests of a
// workspace than its quota admits, also while an issuer is killed and restarted, and against
// refusals of another workspace that is within its quota. Responses are immediate, so a run
// is in the window in which its client sent the request.
func TestQuotaBindsOverAllNodes(t *testing.T) {
	const rate, burst, window, overage, slack = 20, 20, 5 * time.Second, 0.1, 20
	is := is.New(t)
	f := startFleet(t, fleet.Spec{
		Nodes: shopNodes(6), Slots: 16, Routes: workspaceRoutes(),
		Workspaces: []route.Workspace{
			{Name: "acme", Keys: []string{"hot"}, Rate: rate, Burst: burst},
			{Name: "globex", Keys: []string{"calm"}, Rate: 2000, Burst: 2000},
		},
	})
	admitted := func(key string) func() bool {
		return func() bool {
			a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "first-" + key, Header: keyHeader(key)})
			return a.Status == http.StatusOK
		}
	}
	is.NoErr(fleet.Await("the issuers have tokens", admitted("hot")))
	is.NoErr(fleet.Await("the issuers have tokens", admitted("calm")))

	var names []string
	for _, vm := range f.VMs {
		names = append(names, vm.Settings.Node)
	}
	killed := limit.FirstNodes("acme", names, limit.MaxIssuers)[0]
	others := slices.Delete(slices.Clone(f.VMs), killed, killed+1)

	var hot, calm map[int]int
	var wg sync.WaitGroup
	wg.Go(func() { hot = sendFor(t, f, others, "hot", 5*time.Millisecond, 7*time.Second) })
	wg.Go(func() { calm = sendFor(t, f, others, "calm", 50*time.Millisecond, 7*time.Second) })
	time.Sleep(2 * time.Second)
	f.VMs[killed].Sidecar.Kill()
	time.Sleep(time.Second)
	is.NoErr(f.Restart(f.VMs[killed]))
	wg.Wait()

	is.True(hot[http.StatusTooManyRequests] > 0)
	is.Equal(calm[http.StatusTooManyRequests], 0)
	runs := runsOf(f, "acme")
	bound := int((rate*window.Seconds()+burst)*(1+overage)) + slack
	for _, first := range runs {
		n := 0
		for _, run := range runs {
			if d := run.At.Sub(first.At); d >= 0 && d < window {
				n++
			}
		}
		if n > bound {
			t.Fatalf("%d requests ran in %s, at most %d are allowed", n, window, bound)
		}
	}
	t.Logf("runs of the workspace over its quota: %d in all, %v; of the other: %v", len(runs), hot, calm)
}
