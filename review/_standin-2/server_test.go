package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is what a server has seen of a request.
type run struct {
	id, server, path, caller string
	at                       time.Time
}

// beats counts the heartbeats of a server.
type beats struct{ sent, acknowledged atomic.Int64 }

// server is a stand-in of the backend server beside a node.
type server struct {
	n                *node
	service, address string
	version          string
	slots            int

	mu     sync.Mutex
	id     string
	born   int64
	seq    int
	state  string
	up     bool
	starts int
	http   *http.Server
	busy   chan struct{}
	runs   []run
	beats  beats
	// work runs a request that has a slot and writes its response. If it is nil, the
	// response is sent after workTime.
	work     func(s *server, w http.ResponseWriter, r *http.Request, body []byte)
	workTime time.Duration
	header   http.Header // of all responses
}

func newServer(n *node, service, address string, slots int) *server {
	return &server{n: n, service: service, address: address, version: "v1", slots: slots, workTime: 50 * time.Millisecond, header: http.Header{}}
}

// start starts an incarnation of the server with a new id.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.n.name, s.starts)
	s.born, s.seq, s.state, s.up = time.Now().UnixMilli(), 0, "ready", true
	s.busy = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s.handler(s.id, s.busy)}
	h := s.http
	s.mu.Unlock()
	s.n.f.rec.line("server %s of %s starts at %s", s.id, s.service, s.address)
	go h.Serve(l)
	go s.sendBeats(h)
	return nil
}

// crash ends the server at once, with all its connections.
func (s *server) crash() {
	s.mu.Lock()
	h, wasUp := s.http, s.up
	s.up = false
	s.mu.Unlock()
	if wasUp {
		s.n.f.rec.line("server %s ends", s.id)
		h.Close()
	}
}

// sendBeats sends heartbeats until the incarnation ends.
func (s *server) sendBeats(h *http.Server) {
	for {
		s.mu.Lock()
		live := s.http == h && s.up
		s.mu.Unlock()
		if !live {
			return
		}
		s.beat()
		time.Sleep(heartbeat)
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	s.mu.Lock()
	s.seq++
	body := map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": s.version, "zone": s.n.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "seq": s.seq, "coldLeftS": 0},
	}
	id := s.id
	s.mu.Unlock()
	s.beats.sent.Add(1)
	ok := s.n.post("/api/Instances.Heartbeat/"+id, body)
	if ok {
		s.beats.acknowledged.Add(1)
	}
	return ok
}

// post calls the node beside the server.
func (n *node) post(path string, body any) bool {
	data, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.control+path, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode/100 == 2
}

func (s *server) handler(id string, busy chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		h := w.Header()
		for k, v := range s.header {
			h[k] = v
		}
		rid := r.Header.Get("X-Request-Id")
		h.Set("X-Request-Id", rid)
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		entry := run{rid, id, r.URL.RequestURI(), r.Header.Get("X-Caller-Service"), now}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ctx := r.Context()
		if ms, err := strconv.Atoi(r.Header.Get("X-Request-Deadline")); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
			defer cancel()
		}
		select {
		case busy <- struct{}{}:
			defer func() { <-busy }()
		case <-ctx.Done():
			h.Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		s.runs = append(s.runs, entry)
		work, took := s.work, s.workTime
		s.mu.Unlock()
		s.n.f.rec.line("run %s %s at %s caller %s", rid, entry.path, id, entry.caller)
		if work != nil {
			work(s, w, r.WithContext(ctx), data)
			return
		}
		select {
		case <-time.After(took):
			s.answer(w, rid)
		case <-ctx.Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

// answer writes the response of a request that ran well.
func (s *server) answer(w http.ResponseWriter, rid string) {
	body := "whole body of " + rid + "\n"
	w.Header().Set("X-Server-Seal", "seal-"+rid)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// setWork sets the time that the server works on a request.
func (s *server) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTime = d
}

// runs returns the requests that the servers have begun to run and that meet cond, in order.
func (f *fleet) runs(cond func(run) bool) []run {
	var list []run
	for _, n := range f.nodes {
		n.server.mu.Lock()
		list = append(list, n.server.runs...)
		n.server.mu.Unlock()
	}
	list = slices.DeleteFunc(list, func(r run) bool { return !cond(r) })
	slices.SortFunc(list, func(a, b run) int { return a.at.Compare(b.at) })
	return list
}
