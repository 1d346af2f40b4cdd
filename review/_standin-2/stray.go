package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	lookupWork    = 220 * time.Millisecond // mean work of order-lookup
	lookupLimit   = 1500 * time.Millisecond
	leadTime      = 8 * time.Second // from the start of the machines to that of traffic
	strayRequests = 150
	strayGap      = 200 * time.Millisecond
)

// stray sends each node one heartbeat of another writer, which names a service that no
// configuration has, and checks that requests are still served by the servers, which go on to
// send theirs.
func stray(rec *record, trouble bool) (int, error) {
	f, err := startFleet(spec{
		services: []string{"orders", "orders", "orders"},
		routes:   []routeSpec{{"order-lookup", "/orders/", "idempotent", "orders", 1.5, 2}},
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
	time.Sleep(leadTime / 2)
	if trouble {
		for _, n := range f.nodes {
			ok := n.post("/api/Instances.Heartbeat/i-other-"+n.name, map[string]any{
				"address": n.server.address, "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "unnamed", "version": "v1", "zone": n.zone, "slots": 6},
				"status": map[string]any{"state": "ready", "seq": 1, "coldLeftS": 0},
			})
			rec.say("heartbeat of another writer at %s, acknowledged: %v", n.name, ok)
		}
	}
	time.Sleep(leadTime / 2)
	served := 0
	statuses := map[int]int{}
	last := ""
	for i := range strayRequests {
		a := newClient(f.nodes[i%len(f.nodes)]).send(http.MethodGet, fmt.Sprintf("/orders/%d", i), nil, lookupLimit)
		statuses[a.status]++
		if a.status == http.StatusOK {
			served++
		} else {
			last = a.body
		}
		time.Sleep(strayGap)
	}
	for _, n := range f.nodes {
		rec.say("heartbeats of %s: %d, of them acknowledged: %d", n.server.id, n.server.beats.sent.Load(), n.server.beats.acknowledged.Load())
	}
	rec.say("%d of %d requests were served, answers by status: %v, the last refusal: %s", served, strayRequests, statuses, last)
	if served == 0 {
		return broken, nil
	}
	return held, nil
}
