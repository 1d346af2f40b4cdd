package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatEvery   = 1500 * time.Millisecond
	heartbeatTimeout = time.Second
	defaultSlots     = 6
)

// arrival is a request that a server received.
type arrival struct {
	at       time.Time
	id       string
	instance string
	service  string
	caller   string
	ran      bool
	body     string
}

// server is a stand-in for the application server of a machine. It handles requests,
// sends heartbeats to the node beside it, and leaves.
type server struct {
	rec      *record
	address  string
	control  string
	service  string
	instance string
	zone     string
	born     int64
	work     time.Duration
	http     *http.Server
	handle   func(w http.ResponseWriter, r *http.Request, id, body string) bool // answers a request in its own way and returns true

	mu         sync.Mutex
	isLeaving  bool // reported, and stated in all answers
	isDraining bool
	stopped    bool
	seq        uint64
	arrivals   []arrival
	stop       chan struct{}
}

// startServer starts a server and its heartbeats.
func startServer(rec *record, address, control, service, zone, instance string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{rec: rec, address: address, control: control, service: service, zone: zone, instance: instance, born: time.Now().UnixMilli(), work: work, stop: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.sendHeartbeats()
	return s, nil
}

// ServeHTTP runs a request for s.work.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request is not run
	}
	expected := r.Header.Get("X-Expect-Instance")
	misdirected := expected != "" && expected != s.instance
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), id, s.instance, s.service, r.Header.Get("X-Caller-Service"), !misdirected, string(data)})
	isLeaving := s.isLeaving
	s.mu.Unlock()
	s.rec.log("request %s reaches server %s of %s at %s, ran %t, caller %s", id, s.instance, s.service, s.address, !misdirected, r.Header.Get("X-Caller-Service"))
	h := w.Header()
	h.Set("X-Request-Id", id)
	if isLeaving {
		h.Set("Server-Leaving", "1")
	}
	if misdirected {
		h.Set("X-Not-Executed", "1")
		h.Set("X-Instance-Id", s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.handle != nil && s.handle(w, r, id, string(data)) {
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.rec.log("request %s is dropped by server %s: its connection was closed", id, s.instance)
		return
	}
	body := s.service + " " + s.instance + " " + id
	h.Set("X-Server-Seal", "seal."+s.instance+"."+id)
	_, _ = w.Write([]byte(body))
}

func (s *server) list() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// sendHeartbeats announces the server until it leaves or ends.
func (s *server) sendHeartbeats() {
	for {
		s.heartbeat()
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

func (s *server) heartbeat() {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.isDraining {
		state = "draining"
	}
	message := map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": defaultSlots},
		"status": map[string]any{"state": state, "seq": s.seq, "coldLeftS": 0},
	}
	s.mu.Unlock()
	_ = s.post("Heartbeat", message)
}

// post sends an announcement to the node beside the server. It reports whether the node
// acknowledged it.
func (s *server) post(call string, message map[string]any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post("http://"+s.control+"/api/Instances."+call+"/"+s.instance, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// leave reports that the server leaves, without a heartbeat that says so first. It goes
// on serving until end is called, and sends no more heartbeats.
func (s *server) leave() (acknowledged time.Time, err error) {
	s.mu.Lock()
	s.isLeaving = true
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
	s.mu.Unlock()
	if err := s.post("Leave", map[string]any{"born": s.born}); err != nil {
		return time.Time{}, err
	}
	return time.Now(), nil
}

// end stops the server at once.
func (s *server) end() {
	s.mu.Lock()
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
	s.mu.Unlock()
	_ = s.http.Close()
}
