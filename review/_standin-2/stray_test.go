package standin

import (
	"fmt"
	"net/http"
	"time"
)

const (
	lookupWork    = 220 * time.Millisecond // mean work of order-lookup
	lookupLimit   = 1500 * time.Millisecond
	strayRequests = 100 // of each kind
	strayGap      = 200 * time.Millisecond
)

// stray sends the node beside the only server of a service one heartbeat of another writer, which
// names a service that nobody has, and checks that requests on a route to the server are still
// served. The server goes on to send its heartbeats.
func stray(rec *record, trouble bool) (int, error) {
	f, err := startFleet(spec{
		services: []string{"orders", "artwork", "orders"},
		routes:   []routeSpec{{"order-lookup", "/orders/", "idempotent", "orders", 1.5, 2}},
		added:    []routeSpec{{"die-catalogue", "/die/", "idempotent", "artwork", 1.5, 2}},
		slots:    6, bounds: pecetBounds,
	}, rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	for _, n := range f.nodes {
		n.server.setWork(lookupWork)
	}
	time.Sleep(touch)
	if trouble {
		n := f.nodes[1]
		ok := n.post("/api/Instances.Heartbeat/i-other", map[string]any{
			"address": n.server.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "unnamed", "version": "v1", "zone": n.zone, "slots": 6},
			"status": map[string]any{"state": "ready", "seq": 1, "coldLeftS": 0},
		})
		rec.say("a heartbeat of another writer at %s, acknowledged: %v", n.name, ok)
	}
	time.Sleep(touch)
	if err := f.addRoutes(); err != nil {
		return failed, err
	}
	var first, added share
	last := ""
	for i := range strayRequests {
		for _, kind := range []struct {
			prefix string
			share  *share
		}{{"/orders/", &first}, {"/die/", &added}} {
			a := newClient(f.nodes[i%len(f.nodes)]).send(http.MethodGet, fmt.Sprint(kind.prefix, i), nil, lookupLimit)
			kind.share.sent++
			if a.status == http.StatusOK {
				kind.share.served++
			} else {
				last = a.body
			}
		}
		time.Sleep(strayGap)
	}
	s := f.nodes[1].server
	rec.say("heartbeats of %s: %d, of them acknowledged: %d", s.id, s.beats.sent.Load(), s.beats.acknowledged.Load())
	rec.say("the last refusal: %s", last)
	return checkAddedRoutes(rec, first, added)
}
