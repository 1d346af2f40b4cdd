package node

import (
	"expvar"
	"sync"
)

// rootCounters returns the map of the counters of all nodes in the process.
var rootCounters = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("geraniumdock") })

// counters counts calls by service, caller and outcome. Callers and services
// come from the table, which bounds the number of counters.
type counters struct{ calls *expvar.Map }

func newCounters(n *Node) *counters {
	c := &counters{calls: new(expvar.Map).Init()}
	all := new(expvar.Map).Init()
	all.Set("calls", c.calls)
	all.Set("table-version", expvar.Func(func() any { return n.TableVersion() }))
	all.Set("control-bytes-sent", expvar.Func(func() any { return n.ControlTraffic().Sent }))
	all.Set("control-bytes-received", expvar.Func(func() any { return n.ControlTraffic().Received }))
	rootCounters().Set(n.name, all)
	return c
}

func (c *counters) count(service, caller, outcome string) {
	c.calls.Add(service+"/"+caller+"/"+outcome, 1)
}
