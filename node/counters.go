package node

import (
	"expvar"
	"sync"
)

// rootCounters holds the counters of all nodes of the process.
var rootCounters = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("geraniumdock") })

// counters count outcomes by service, caller and kind. Callers and services
// come from the table, which bounds their number.
type counters struct{ calls *expvar.Map }

func newCounters(n *Node) *counters {
	c := &counters{calls: new(expvar.Map).Init()}
	all := new(expvar.Map).Init()
	all.Set("calls", c.calls)
	all.Set("table-version", expvar.Func(func() any { return n.Version() }))
	all.Set("control-bytes-sent", expvar.Func(func() any { return n.ControlTraffic().Sent }))
	all.Set("control-bytes-received", expvar.Func(func() any { return n.ControlTraffic().Received }))
	rootCounters().Set(n.name, all)
	return c
}

func (c *counters) count(service, caller, outcome string) {
	c.calls.Add(service+"/"+caller+"/"+outcome, 1)
}
