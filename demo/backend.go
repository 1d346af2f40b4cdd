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

// IDHeader is the header with the request's id. Backend returns the id as the
// response body.
const IDHeader = "Request-Id"

const announceInterval = time.Second

// Backend is a small backend server that announces itself to a node. It responds
// to each request with the request's id, and counts the requests that it ran by id.
type Backend struct {
	Service string
	Slots   int
	// Handle, if set, handles the requests after their ids are counted.
	Handle http.HandlerFunc
	// Delay is the duration of a request if Handle is not set.
	Delay time.Duration

	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
	started  clock.Time

	mu                  sync.Mutex
	runs                map[string]int // number of runs by request id
	running, maxRunning int
	lastRequest         clock.Time
	draining            bool
}

// Start starts serving requests, and announces the server to the node at
// announceAddress until Close.
func (b *Backend) Start(announceAddress string) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return gd.Unavailable.Wrapf(err, "backend server")
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.listener, b.stop, b.runs, b.started = l, cancel, map[string]int{}, clock.System{}.Now()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	b.done.Go(func() { _ = b.server.Serve(l) }) // Serve returns when the server is closed
	b.done.Go(func() { b.announcePeriodically(ctx, announceAddress) })
	return nil
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	b.beginRequest(id)
	defer b.endRequest()
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

func (b *Backend) beginRequest(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	b.lastRequest = clock.System{}.Now()
}

func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// Runs returns how many times each request ran, by request id.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs
}

// MaxConcurrent returns the largest number of requests that ran at once.
func (b *Backend) MaxConcurrent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRunning
}

// LastRequest returns the time of the last request.
func (b *Backend) LastRequest() clock.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastRequest
}

// Drain announces to the node that the server is draining. The node then sends it no
// new calls.
func (b *Backend) Drain(announceAddress string) {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.announce(context.Background(), announceAddress)
}

func (b *Backend) announcePeriodically(ctx context.Context, address string) {
	for ctx.Err() == nil {
		b.announce(ctx, address)
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
		}
	}
}

// announce sends the state of the server to the node. Errors are ignored, since
// announcements are sent periodically.
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

// Crash stops the server at once and closes all its connections.
func (b *Backend) Crash() {
	b.server.Close()
	b.stop()
}

// Close stops the server like Crash and waits for its goroutines.
func (b *Backend) Close() error {
	b.Crash()
	b.done.Wait()
	return nil
}

// Address returns the address that the server listens on.
func (b *Backend) Address() string { return b.listener.Addr().String() }
