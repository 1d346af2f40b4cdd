package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crashAfter     = 300 * time.Millisecond // from the start of the run to the crash
	serverBack     = 2 * time.Second        // from the crash to the server's next start
	leaveAfter     = 200 * time.Millisecond // from the request to the client's leaving
	poisonDeadline = 1500 * time.Millisecond
	poisonEvery    = 700 * time.Millisecond
	poisonSpan     = 40 * time.Second
	poisonDenials  = 3 // retries that may reach a server after the third crash
	poisonBody     = "poison"
	poisonPath     = "/shop/poison"
	poisonCallers  = 3 // machines of the first service
)

// poisonedClient sends a request that crashes each server that runs it. With trouble, its
// client leaves before its deadline.
func poisonedClient(f *fleet, trouble bool) (broken []string, err error) {
	p := &poison{fleet: f}
	if trouble {
		return p.play(leaveAfter)
	}
	return p.play(poisonDeadline)
}

// poisonedAnswer sends a request that crashes each server that runs it. With trouble, the
// server has begun its answer before it crashes.
func poisonedAnswer(f *fleet, trouble bool) (broken []string, err error) {
	p := &poison{fleet: f, answers: trouble}
	return p.play(poisonDeadline)
}

// play sends the request again and again at all machines with the same caller. Its client
// leaves after stay.
func (p *poison) play(stay time.Duration) (broken []string, err error) {
	f := p.fleet
	f.configure(1, []string{"alpha", "beta"}, route{"/shop/", "idempotent", "alpha", 1.5}, route{"/order/", "non_idempotent", "alpha", 1.5})
	for i, service := range []string{"alpha", "alpha", "alpha", "beta"} {
		m := f.add(fmt.Sprintf("sidecar-%c-%d", 'a'+i%3, i+1), string(rune('a'+i%3)), service)
		if err := m.start(); err != nil {
			return nil, err
		}
		if err := p.serve(m); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(f.all...); err != nil {
		return nil, err
	}
	time.Sleep(2 * stableWindow)
	end := time.Now().Add(poisonSpan)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	for i, m := range f.all {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a := m.send("POST", fmt.Sprintf("/order/%d-%d", i, n), "order", 1500*time.Millisecond)
				mu.Lock()
				if a.status == 200 {
					answered++
				} else if a.status != 503 {
					lost++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		from := f.all[n%poisonCallers] // the request has the same caller each time
		wg.Go(func() { from.leave(poisonPath, stay) })
		time.Sleep(poisonEvery)
	}
	wg.Wait()
	f.rec.log("%d orders were answered with success, %d were cut or got 502 or 504; %d crashes", answered, lost, len(p.crashes))
	fmt.Printf("%d orders were answered with success, %d were cut or got 502 or 504; %d crashes\n", answered, lost, len(p.crashes))
	return p.judge(), nil
}

// poison counts the runs of the request that crashes servers.
type poison struct {
	fleet   *fleet
	answers bool // the server begins its answer before it crashes

	mu      sync.Mutex
	starts  int
	runs    []time.Time
	crashes []time.Time
}

// serve starts a server that crashes when it runs the request.
func (p *poison) serve(m *machine) error {
	p.mu.Lock()
	p.starts++
	instance := fmt.Sprintf("i-%d", p.starts)
	p.mu.Unlock()
	if err := m.serve(instance, 150*time.Millisecond); err != nil {
		return err
	}
	var once sync.Once
	m.server.handle = func(w http.ResponseWriter, r *http.Request, id, body string) bool {
		if !strings.HasPrefix(r.URL.Path, poisonPath) && body != poisonBody {
			return false
		}
		p.mu.Lock()
		p.runs = append(p.runs, time.Now())
		p.mu.Unlock()
		time.Sleep(crashAfter)
		if p.answers {
			w.Header().Set("X-Server-Seal", "seal."+instance+"."+id)
			w.Header().Set("Content-Length", "2000")
			_, _ = w.Write(make([]byte, 500))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		once.Do(func() {
			p.fleet.rec.log("server %s crashes while it runs %s", instance, id)
			p.mu.Lock()
			p.crashes = append(p.crashes, time.Now())
			p.mu.Unlock()
			m.server.end()
			go func() {
				time.Sleep(serverBack)
				if err := p.serve(m); err != nil {
					p.fleet.rec.log("the server beside %s can't start again: %s", m.name, err)
				}
			}()
		})
		return true
	}
	return nil
}

// judge returns an error text if the request reached servers more often than allowed
// after it had crashed the third.
func (p *poison) judge() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return nil
	}
	late := 0
	for _, at := range p.runs {
		if at.After(p.crashes[2].Add(stableWindow)) {
			late++
		}
	}
	if late <= poisonDenials {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that crashes servers reached servers %d times later than %g s after it had crashed the third at %.3f s; it crashed %d in all",
		late, stableWindow.Seconds(), p.fleet.rec.since(p.crashes[2]), len(p.crashes))}
}

// leave sends a request and closes the connection after stay.
func (m *machine) leave(path string, stay time.Duration) {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portClients)+path, nil)
	if err != nil {
		return
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline", "1500")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	res, err := transport.RoundTrip(req)
	text := "the client left"
	if err == nil {
		text = res.Status
		_ = res.Body.Close()
	} else if ctx.Err() == nil {
		text = err.Error()
	}
	m.fleet.rec.log("request %s GET %s was sent to node %s: %s", id, path, m.name, text)
}
