package standin

import (
	"fmt"
	"sync"
	"time"
)

const (
	crashedServers     = 4 // one after the other
	serversOfAlpha     = 7 // one of them is a share of 0.14
	orderersPerMachine = 4 // clients that send orders while servers crash
	crashEvery         = 3 * time.Second
	orderSpan          = 6 * time.Second
	orderPath          = "/order/new"
	minAddedServed     = 20 // requests on added routes from which the rule holds
	orderDeadline      = 1500 * time.Millisecond
)

// sharedPath lets servers crash for reasons of their own while clients send orders, which
// differ in their bodies but have one path, on a route that was added. With no trouble no
// server crashes.
func sharedPath(f *fleet, trouble bool) (broken []string, err error) {
	first := route{"/item/", "idempotent", "alpha", 1.5}
	f.configure(1, []string{"alpha", "beta"}, first)
	for i := range serversOfAlpha {
		m := f.add(fmt.Sprintf("sidecar-%c-%d", 'a'+i%3, i+1), string(rune('a'+i%3)), "alpha")
		if err := m.start(); err != nil {
			return nil, err
		}
		if err := m.serve(fmt.Sprintf("i-%d", i+1), 150*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(f.all...); err != nil {
		return nil, err
	}
	time.Sleep(2 * stableWindow)
	f.configure(2, []string{"alpha", "beta"}, first, route{"/order/", "non_idempotent", "alpha", 1.5})
	time.Sleep(applyBound + time.Second)
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for _, m := range f.all {
		for range orderersPerMachine {
			asking.Go(func() { m.orderUntil(stop) })
		}
	}
	for n := range crashedServers {
		time.Sleep(crashEvery)
		if !trouble {
			continue
		}
		m := f.all[n]
		f.rec.log("server %s crashes for a reason of its own", m.server.instance)
		m.server.end()
		time.AfterFunc(serverBack, func() {
			if err := m.serve(fmt.Sprintf("i-%d", serversOfAlpha+n+1), 150*time.Millisecond); err != nil {
				f.rec.log("the server beside %s can't start again: %s", m.name, err)
			}
		})
	}
	time.Sleep(serverBack + 2*stableWindow)
	close(stop)
	asking.Wait()
	f.rec.log("all servers have run for more than %g s", stableWindow.Seconds())
	return f.compareRoutes()
}

// order sends an order. No two orders have the same body.
func (m *machine) order() answer { return m.send("POST", orderPath, newID(), orderDeadline) }

// orderUntil sends orders until stop is closed.
func (m *machine) orderUntil(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		m.order()
		time.Sleep(50 * time.Millisecond)
	}
}

// compareRoutes sends requests on the first route and on the one that was added, and
// returns an error text if the latter are served less than a quarter as often.
func (f *fleet) compareRoutes() (broken []string, err error) {
	type count struct{ sent, served int }
	var added, old count
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for i, m := range f.all {
		for _, isAdded := range []bool{false, true} {
			wg.Go(func() {
				for n := 0; time.Since(began) < orderSpan; n++ {
					var a answer
					c := &old
					if isAdded {
						a, c = m.order(), &added
					} else {
						a = m.send("GET", fmt.Sprintf("/item/%d-%d", i, n), "", orderDeadline)
					}
					mu.Lock()
					c.sent++
					if a.status == 200 {
						c.served++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	text := fmt.Sprintf("%d of %d requests on the route that was added were served, %d of %d on the first route", added.served, added.sent, old.served, old.sent)
	f.rec.log("%s", text)
	fmt.Println(text)
	if added.sent >= minAddedServed && 4*added.served*old.sent < old.served*added.sent {
		broken = append(broken, "CONFIG: "+text)
	}
	return broken, nil
}
