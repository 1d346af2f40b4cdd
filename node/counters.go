package node

import (
	"expvar"
	"sync"
)

// root holds the counters of all nodes of the process.
var root = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("geraniumdock") })

// counters count outcomes by service, caller and kind. Callers and services
// come from the table, which bounds their number.
type counters struct{ calls *expvar.Map }

func newCounters(node string) *counters {
	c := &counters{calls: new(expvar.Map).Init()}
	root().Set(node, c.calls)
	return c
}

func (c *counters) count(service, caller, outcome string) {
	c.calls.Add(service+"/"+caller+"/"+outcome, 1)
}
