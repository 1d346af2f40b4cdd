package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, begin: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time of t in the record, in seconds.
func (r *record) at(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

var lastID atomic.Uint64

// answer is what a client got for a request.
type answer struct {
	id     string
	status int // 0 if the connection ended without an answer
	body   string
	header http.Header
	sent   time.Time
	took   time.Duration
	err    error
}

// client sends requests to the node of its machine.
type client struct {
	n    *node
	http *http.Client
}

func newClient(n *node) *client {
	return &client{n, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second}}}
}

// send sends one request, a client attempt with an id of its own.
func (c *client) send(method, path string, body []byte, deadline time.Duration) answer {
	id := fmt.Sprintf("%08x%06x", os.Getpid(), lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var in io.Reader
	if body != nil {
		in = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+c.n.outbound+path, in)
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	a := answer{id: id, sent: time.Now()}
	c.n.f.rec.line("send %s %s %s at %s", id, method, path, c.n.name)
	res, err := c.http.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		res.Body.Close()
		a.status, a.body, a.header = res.StatusCode, string(data), res.Header
	}
	a.took, a.err = time.Since(a.sent), err
	c.n.f.rec.line("answer %s %d %v after %.3f", id, a.status, err, a.took.Seconds())
	return a
}

// share counts requests of one kind and those of them that were served.
type share struct{ sent, served int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

const minRequests = 20 // on added routes, below which the rule says nothing

// checkAddedRoutes checks the rule called CONFIG about routes that were added later.
func checkAddedRoutes(rec *record, first, added share) (int, error) {
	rec.say("on the first routes %d of %d requests were served, on the routes added later %d of %d", first.served, first.sent, added.served, added.sent)
	if added.sent < minRequests || first.served == 0 {
		return failed, fmt.Errorf("too few requests")
	}
	if added.ratio() < first.ratio()/4 {
		return broken, nil
	}
	return held, nil
}
