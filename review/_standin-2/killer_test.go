package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pecetBounds are the bounds of pecet-mesh that the settings template names.
var pecetBounds = map[string]string{"drainS": "2", "graceS": "6", "retryBudgetRatio": "0.2", "retryWindowS": "10", "retrySlack": "56"}

const (
	touch        = 3 * time.Second // stableWindowS of pecet-mesh and of kahu-returns-grown
	killerPath   = "/orders/engrave-4711"
	killerGap    = 4 * time.Second        // between two attempts of the request that crashes servers
	serverDown   = 3 * time.Second        // from a crash of a server to its next start
	engraveWork  = 290 * time.Millisecond // mean work of engrave-order
	nodesDown    = time.Second            // from the kill of all nodes to their start
	killsOfAll   = 2
	maxLateRuns  = 3 // retries that may reach servers later than touch after the third crash
	plainGap     = 70 * time.Millisecond
	killerLimitS = 2 // deadline of engrave-order
)

// killer sends a request that crashes each server which begins to run it, again and again beside
// ordinary requests. Twice, all nodes are killed at the same moment. It checks the third rule
// called BUDGET under "Requests and answers".
func killer(rec *record, trouble bool) (int, error) {
	f, err := startFleet(spec{
		services: []string{"orders", "orders", "orders", "orders"},
		routes:   []routeSpec{{"engrave-order", "/orders/", "non_idempotent", "orders", killerLimitS, 2}},
		slots:    6, bounds: pecetBounds,
	}, rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	for _, n := range f.nodes {
		n.server.work = crashOn(killerPath, rec)
	}
	time.Sleep(heartbeat)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range f.nodes {
		clients.Go(func() { sendPlain(newClient(n), stop) })
	}
	time.Sleep(touch)
	sent := 0
	come := func(times int) {
		for range times {
			n := f.nodes[sent%len(f.nodes)]
			sent++
			a := newClient(n).send(http.MethodPost, killerPath, []byte("die 4711"), killerLimitS*time.Second)
			rec.say("the request that crashes servers, at %s: %d %s", n.name, a.status, strings.TrimSpace(a.body))
			time.Sleep(killerGap)
		}
	}
	come(5)
	for range killsOfAll {
		if trouble {
			if err := f.killAll(); err != nil {
				return failed, err
			}
			time.Sleep(2 * touch) // all nodes are in touch again
		}
		come(4)
	}
	close(stop)
	clients.Wait()
	runs := f.runs(func(r run) bool { return r.path == killerPath })
	late := 0
	for i, r := range runs {
		if i >= 3 && r.at.Sub(runs[2].at) > touch {
			late++
		}
		rec.say("crash %d: request %s reached %s at %.3f s", i+1, r.id, r.server, rec.at(r.at))
	}
	rec.say("%d retries reached servers later than %v after the third crash, %d may", late, touch, maxLateRuns)
	if late > maxLateRuns {
		return broken, nil
	}
	return held, nil
}

// crashOn returns the work of a server that crashes when it begins to run a request with the
// path, and starts again after serverDown.
func crashOn(path string, rec *record) func(*server, http.ResponseWriter, *http.Request, []byte) {
	return func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		if r.URL.Path == path {
			s.crash()
			time.AfterFunc(serverDown, func() {
				if err := s.start(); err != nil {
					rec.say("start of a server: %v", err)
				}
			})
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(engraveWork):
			s.answer(w, r.Header.Get("X-Request-Id"))
		case <-r.Context().Done():
		}
	}
}

// sendPlain sends ordinary requests, each with its own path, until stop is closed.
func sendPlain(c *client, stop <-chan struct{}) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(plainGap):
			pending.Go(func() {
				c.send(http.MethodPost, fmt.Sprintf("/orders/%s-%d", c.n.name, i), []byte("order"), killerLimitS*time.Second)
			})
		}
	}
}

// killAll kills all nodes at the same moment and starts them again.
func (f *fleet) killAll() error {
	f.rec.say("all nodes are killed")
	for _, n := range f.nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range f.nodes {
		<-n.exited
	}
	time.Sleep(nodesDown)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}
