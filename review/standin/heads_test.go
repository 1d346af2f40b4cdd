package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	configuredHead = 32 << 10              // maxHeaderBytes of all configurations
	headSent       = 20 << 10              // of the requests
	keptClients    = 30                    // of the killed machine
	reconnectPause = 20 * time.Millisecond // longest pause before a client connects again
)

// keptConnection is a client's connection to a node.
type keptConnection struct {
	machine *machine
	conn    net.Conn
	br      *bufio.Reader
}

// connect opens a connection, trying again while the node's port resets it.
func (m *machine) connect() (*keptConnection, error) {
	end := time.Now().Add(5 * time.Second)
	for {
		conn, err := net.DialTimeout("tcp", m.address(portClients), time.Second)
		if err == nil {
			return &keptConnection{m, conn, bufio.NewReader(conn)}, nil
		}
		if time.Now().After(end) {
			return nil, err
		}
		time.Sleep(time.Duration(rand.Int64N(int64(reconnectPause))))
	}
}

// post sends a request with a head of about headBytes and returns the answer.
func (k *keptConnection) post(path string, headBytes int) answer {
	a := answer{id: newID(), sent: time.Now()}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 1500\r\nContent-Length: 5\r\n", path, a.id)
	for n := 0; len(head) < headBytes; n++ {
		head += fmt.Sprintf("X-Session-%d: %s\r\n", n, strings.Repeat("s", 1000))
	}
	_ = k.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := io.WriteString(k.conn, head+"\r\norder")
	if err == nil {
		var res *http.Response
		if res, err = http.ReadResponse(k.br, nil); err == nil {
			var data []byte
			data, err = io.ReadAll(res.Body)
			a.status, a.seal, a.body = res.StatusCode, res.Header.Get("X-Server-Seal"), string(data)
		}
	}
	a.err, a.ended = err, time.Now()
	k.machine.fleet.rec.logAt(a.sent, "request %s POST %s, %d bytes of head, is sent to node %s on a kept connection from %s: status %d, seal %q, error %v",
		a.id, path, len(head), k.machine.name, k.conn.LocalAddr(), a.status, a.seal, err)
	return a
}

// headsAfterRestart lets clients go on using the connections that they open while a node
// that was killed starts again. With no trouble the node is not killed.
func headsAfterRestart(f *fleet, trouble bool) (broken []string, err error) {
	f.headBytes = configuredHead
	f.configure(1, []string{"alpha"}, route{"/order/", "non_idempotent", "alpha", 1.5})
	for i := range 3 {
		m := f.add(fmt.Sprintf("sidecar-%c-1", 'a'+i), string(rune('a'+i)), "alpha")
		if err := m.start(); err != nil {
			return nil, err
		}
		if err := m.serve(fmt.Sprintf("i-%d", i+1), 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(f.all...); err != nil {
		return nil, err
	}
	time.Sleep(2 * stableWindow)
	m := f.all[0]
	if trouble {
		m.kill()
		f.rec.log("node %s was killed", m.name)
		time.AfterFunc(500*time.Millisecond, func() { _ = m.start() })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused, proper := 0, 0
	var first answer
	for range keptClients {
		wg.Go(func() {
			k, err := m.connect()
			if err != nil {
				return
			}
			defer k.conn.Close()
			k.post("/order/small", 0)
			time.Sleep(stableWindow + time.Second) // from here on the machine is in touch
			for range 5 {
				a := k.post("/order/large", headSent)
				mu.Lock()
				proper++
				if a.status >= 300 && a.status < 500 && a.seal == "" && a.status != 408 && a.status != 421 && a.status != 429 {
					if refused == 0 {
						first = a
					}
					refused++
				}
				mu.Unlock()
				if a.err != nil || a.status >= 400 {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if refused > 5+proper/500 {
		broken = append(broken, fmt.Sprintf("DENIED: %d of %d requests with heads of %d bytes, though %d are allowed, got a refusal of the node's own, the first, %s, with status %d", refused, proper, headSent, configuredHead, first.id, first.status))
	}
	return broken, nil
}
