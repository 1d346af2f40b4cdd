package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// IDHeader carries the id that a backend server answers with.
const IDHeader = "Request-Id"

const announceEvery = time.Second

// Backend is a small backend server that announces itself to a node. It
// answers each request with the request's id, and counts how often each id ran.
type Backend struct {
	Service string
	Slots   int
	// Handle takes the requests if it is set; the ids are counted before.
	Handle http.HandlerFunc
	// Delay is how long a request takes without Handle.
	Delay time.Duration

	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
	started  clock.Time

	mu       sync.Mutex
	runs     map[string]int
	now, max int
	last     clock.Time
	draining bool
}

// Start listens and announces itself at the node's address until Close.
func (b *Backend) Start(announceAddress string) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return gd.Unavailable.Wrapf(err, "backend server")
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.listener, b.stop, b.runs, b.started = l, cancel, map[string]int{}, clock.System{}.Now()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	b.done.Go(func() { _ = b.server.Serve(l) }) // it ends with the listener
	b.done.Go(func() { b.announceAll(ctx, announceAddress) })
	return nil
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	b.enter(id)
	defer b.exit()
	if b.Handle != nil {
		b.Handle(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(b.Delay)
	fmt.Fprint(w, id)
}

func (b *Backend) enter(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.now++
	b.max = max(b.max, b.now)
	b.last = clock.System{}.Now()
}

func (b *Backend) exit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now--
}

// Runs returns how often each id ran.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs
}

// Most returns how many requests ran at once at most.
func (b *Backend) Most() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.max
}

// Last returns when the newest request came.
func (b *Backend) Last() clock.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Drain announces that the server takes no more calls.
func (b *Backend) Drain(announceAddress string) {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.announce(context.Background(), announceAddress)
}

func (b *Backend) announceAll(ctx context.Context, address string) {
	for ctx.Err() == nil {
		b.announce(ctx, address)
		select {
		case <-time.After(announceEvery):
		case <-ctx.Done():
		}
	}
}

// announce tells the node of the server; a failure is made good by the next.
func (b *Backend) announce(ctx context.Context, address string) {
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service":     b.Service,
		"address":     b.listener.Addr().String(),
		"slots":       b.Slots,
		"connections": 130,
		"started-ms":  b.started,
		"draining":    draining,
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
	}
}

// Crash ends the server at once, with all its connections.
func (b *Backend) Crash() {
	b.server.Close()
	b.stop()
}

// Close ends the server and waits for it.
func (b *Backend) Close() error {
	b.Crash()
	b.done.Wait()
	return nil
}

// Address returns where the server listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }
