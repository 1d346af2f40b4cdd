package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	storeOutage  = 4 * time.Second
	serverStays  = 12 * time.Second // from the acknowledgement of its leave to the end of the server
	askedSpan    = 2500 * time.Millisecond
	quietService = "alpha"
)

// leftWhileStoreDown lets a server leave while the store is down, with all processes of
// the system killed before the store is back. With no trouble, nothing is down or killed.
func leftWhileStoreDown(f *fleet, trouble bool) (broken []string, err error) {
	f.configure(1, []string{quietService, "beta"}, route{"/quiet/", "idempotent", quietService, 1.5}, route{"/other/", "idempotent", "beta", 1.5})
	var machines []*machine
	for i, service := range []string{quietService, quietService, "beta"} {
		m := f.add(fmt.Sprintf("sidecar-%c-1", 'a'+i), string(rune('a'+i)), service)
		if err := m.start(); err != nil {
			return nil, err
		}
		if err := m.serve(fmt.Sprintf("i-%d", i+1), 20*time.Millisecond); err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	if err := awaitReady(machines...); err != nil {
		return nil, err
	}
	time.Sleep(2 * stableWindow)
	outage := time.Now()
	if trouble {
		f.rec.log("the store is down")
		f.store.setDown(true)
	}
	time.Sleep(time.Second)
	leaving := machines[0].server
	acknowledged, err := leaving.leave()
	if err != nil {
		return nil, fmt.Errorf("the leave was not acknowledged: %w", err)
	}
	f.rec.logAt(acknowledged, "node %s acknowledges that server %s leaves", machines[0].name, leaving.instance)
	time.Sleep(time.Second)
	if trouble {
		for _, m := range machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range machines {
			<-m.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range machines {
			if err := m.start(); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(outage.Add(storeOutage)))
	if trouble {
		f.rec.log("the store is back")
		f.store.setDown(false)
	}
	restored := time.Now()
	if err := awaitReady(machines...); err != nil {
		return nil, err
	}
	// From here on all machines are in touch again.
	time.Sleep(time.Until(restored.Add(stableWindow + 500*time.Millisecond)))
	began := time.Now()
	f.rec.log("all processes have run and the store has served for more than %g s", stableWindow.Seconds())
	var wg sync.WaitGroup
	for _, m := range machines {
		for range 2 {
			wg.Go(func() {
				for time.Since(began) < askedSpan {
					m.send("GET", "/quiet/item", "", 1500*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Until(acknowledged.Add(serverStays)))
	leaving.end()
	f.rec.log("server %s ends", leaving.instance)
	count, first, last := 0, arrival{}, arrival{}
	for _, a := range leaving.list() {
		if a.at.Sub(acknowledged) > drainBound && a.at.After(began) && a.ran {
			if count == 0 {
				first = a
			}
			count++
			last = a
		}
	}
	if count > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached server %s later than %g s after its leave was acknowledged at %.3f s; the first, %s, %.3f s after it, the last, %s, %.3f s after it",
			count, leaving.instance, drainBound.Seconds(), f.rec.since(acknowledged), first.id, first.at.Sub(acknowledged).Seconds(), last.id, last.at.Sub(acknowledged).Seconds()))
	}
	return broken, nil
}
