package standin

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	generations       = 8 // of machines; each replaces the one before
	machinesPerPeriod = 6 // machines of the deployment at a time
	versionsSent      = 6 // versions sent after the last replacement
)

// machinesRemoved adds machines generation by generation, then changes the configuration in
// a calm deployment. With trouble, each generation replaces the one before, whose machines are
// removed without SIGTERM; otherwise no machine is removed.
func machinesRemoved(f *fleet, trouble bool) (broken []string, err error) {
	if !trouble {
		return replaceMachines(f, func([]*machine) {})
	}
	return replaceMachines(f, func(old []*machine) { removeAll(f, old, true) })
}

// machinesRetired is like machinesRemoved, but servers leave and nodes get SIGTERM.
func machinesRetired(f *fleet, trouble bool) (broken []string, err error) {
	if !trouble {
		return replaceMachines(f, func([]*machine) {})
	}
	return replaceMachines(f, func(old []*machine) { removeAll(f, old, false) })
}

// replaceMachines adds the generations, passes each one but the last to remove, and sends
// versions and requests to the last one.
func replaceMachines(f *fleet, remove func(old []*machine)) (broken []string, err error) {
	services := []string{"alpha", "beta"}
	version := 1
	f.configure(version, services, route{"/shop/", "idempotent", services[0], 1.5})
	var live []*machine
	for g := range generations {
		var next []*machine
		for i := range machinesPerPeriod {
			m := f.add(fmt.Sprintf("sidecar-%c-%d", 'a'+i%3, 1+g*machinesPerPeriod+i), string(rune('a'+i%3)), services[i%2])
			if err := m.start(); err != nil {
				return nil, err
			}
			if err := m.serve(fmt.Sprintf("i-%d", 1+g*machinesPerPeriod+i), 20*time.Millisecond); err != nil {
				return nil, err
			}
			next = append(next, m)
		}
		if err := awaitReady(next...); err != nil {
			return nil, err
		}
		time.Sleep(heartbeatEvery + 300*time.Millisecond) // every server has been announced
		remove(live)
		live = next
	}
	f.rec.log("%d entries are in the store, %d machines are in the last generation", f.store.count("geraniumdock-servers"), len(live))
	time.Sleep(2 * stableWindow)
	for range versionsSent {
		version++
		now, before := services[(version+1)%2], services[version%2]
		acknowledged := f.configure(version, services, route{"/shop/", "idempotent", now, 1.5})
		broken = append(broken, askForStale(f, live, acknowledged, before)...)
	}
	return broken, nil
}

// removeAll removes machines for good.
func removeAll(f *fleet, machines []*machine, abruptly bool) {
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(func() {
			if abruptly {
				f.rec.log("machine %s is removed without SIGTERM", m.name)
				m.kill()
				m.server.end()
				return
			}
			if _, err := m.server.leave(); err != nil {
				f.rec.log("server %s leaves, not acknowledged: %s", m.server.instance, err)
			}
			time.Sleep(drainBound + 200*time.Millisecond)
			m.server.end()
			m.signal(syscall.SIGTERM)
			if !m.hasEnded(graceBound) {
				m.kill()
			}
		})
	}
	wg.Wait()
}

// askForStale sends requests to each machine from applyBound after a version was
// acknowledged, and returns those that the service of the version before ran.
func askForStale(f *fleet, machines []*machine, acknowledged time.Time, before string) (broken []string) {
	const margin, span, pause = 100 * time.Millisecond, 3 * time.Second, 200 * time.Millisecond
	time.Sleep(time.Until(acknowledged.Add(applyBound + margin)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(func() {
			count, last := 0, answer{}
			for time.Since(acknowledged) < applyBound+span {
				a := m.send("GET", "/shop/item", "", 1500*time.Millisecond)
				if a.status == 200 && strings.HasPrefix(a.body, before+" ") {
					count++
					last = a
				}
				time.Sleep(pause)
			}
			if count > 0 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("CONFIG: %d requests sent to node %s later than %g s after the acknowledgement at %.3f s were run by the service of the version before (%s), the last, %s, %.3f s after it",
					count, m.name, applyBound.Seconds(), f.rec.since(acknowledged), before, last.id, last.sent.Sub(acknowledged).Seconds()))
			}
		})
	}
	wg.Wait()
	return broken
}
