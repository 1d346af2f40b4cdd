// Package backend is a stand-in for a backend server of the platform: slots and
// a queue, announcements to the node beside it, and the failures that the
// platform describes. It records what reached it.
package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/platform"
)

const loopback = "127.0.0.1:0"

// Faults are the failures that a server shows. The zero value shows none.
type Faults struct {
	LoseAnswer bool // requests run, and the connection is reset before the answer
	CutAnswer  bool // answers end early
	ExtraBytes bool // a second answer follows each answer
	NoSeal     bool // answers are not signed
	Unframed   bool // answers have no length and end with the connection
	Fail       bool // requests run and fail
	Shed       bool // requests are refused as not run
	Encoded    bool // answers claim an encoding
}

// Run is a request that the server began to run.
type Run struct {
	ID, Method, Target, Caller, Body string
	Deadline                         time.Duration
	At                               clock.Time
}

// Server is a backend server. Set the fields, then call Start.
type Server struct {
	Service  string
	Instance string
	Slots    int
	Queue    int           // requests that may wait for a slot
	Hang     bool          // what finds the queue full is never answered
	Work     time.Duration // time that a request takes
	Every    time.Duration // pause between two announcements
	Node     string        // the node's address for announcements
	// Advertised is the address that the server announces, that of a proxy
	// before it; its own if empty.
	Advertised string

	listener net.Listener
	web      *http.Server
	started  clock.Time
	cancel   context.CancelFunc
	done     sync.WaitGroup
	slots    chan struct{}

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	ended    map[string]int // requests whose work ended because the caller left
	arrivals int
	busy     int
	peak     int
	waiting  int
	sequence uint64
	draining bool
	refused  int // for another instance
}

// Start listens. Announce tells the node.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return gd.Unavailable.Wrapf(err, "backend server")
	}
	s.StartOn(l)
	return nil
}

// StartOn serves on l.
func (s *Server) StartOn(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.listener, s.cancel, s.started = l, cancel, clock.System{}.Now()
	s.slots, s.ended = make(chan struct{}, s.Slots), map[string]int{}
	s.web = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.done.Go(func() { _ = s.web.Serve(l) }) // it ends with the listener
	if s.Every > 0 {
		s.done.Go(func() { s.announceAll(ctx) })
	}
}

// Address returns the address that the server listens at.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Crash ends the server at once, with all that it runs.
func (s *Server) Crash() {
	s.cancel()
	s.web.Close() // connections are cut
	s.done.Wait()
}

// SetFaults replaces the failures that are shown from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) announceAll(ctx context.Context) {
	tick := time.NewTicker(s.Every)
	defer tick.Stop()
	for {
		_ = s.Announce() // repeated at the next tick
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announcement returns what the server says of itself next.
func (s *Server) Announcement() platform.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	address := s.Advertised
	if address == "" {
		address = s.Address()
	}
	return platform.Announcement{
		Instance: s.Instance, Service: s.Service, Address: address, Slots: s.Slots,
		Draining: s.draining, Sequence: s.sequence, Started: s.started,
	}
}

// Announce tells the node of the server and returns an error unless the node
// acknowledges it.
func (s *Server) Announce() error {
	req, err := platform.NewAnnouncement(s.Node, s.Announcement())
	if err != nil {
		return err
	}
	return send(req)
}

// Drain has the server announce that it leaves.
func (s *Server) Drain() error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.Announce()
}

// Leave tells the node that the server has left.
func (s *Server) Leave() error {
	req, err := platform.NewLeave(s.Node, s.Instance, s.started)
	if err != nil {
		return err
	}
	return send(req)
}

func send(req *http.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return gd.Unavailable.Wrapf(err, "node")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return gd.Invalid.Errorf("the node answered %d", res.StatusCode)
	}
	return nil
}

// Runs returns the requests that the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// RunsOf returns how often the server began to run a request.
func (s *Server) RunsOf(id string) int {
	n := 0
	for _, r := range s.Runs() {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Stats are the counts of a server.
type Stats struct {
	Arrivals, Peak, Left, Misdirected int
}

// Stats returns how many requests arrived, how many ran at once at most, how
// many ended because the caller left, and how many were for another instance.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Arrivals: s.arrivals, Peak: s.peak, Left: len(s.ended), Misdirected: s.refused}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := platform.RequestID(r.Header)
	platform.SetRequestID(w.Header(), id)
	s.mu.Lock()
	s.arrivals++
	faults := s.faults
	s.mu.Unlock()
	if e := platform.Expected(r.Header); e != "" && e != s.Instance {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if faults.Shed || !s.acquire(r.Context()) {
		platform.SetNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller left
	}
	s.note(id, r, string(body))
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.mu.Lock()
		s.ended[id]++
		s.mu.Unlock()
		return
	}
	s.answer(w, id, body, faults)
}

func (s *Server) note(id string, r *http.Request, body string) {
	left, _ := platform.Deadline(r.Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Caller: platform.Caller(r.Header), Body: body,
		Deadline: left, At: clock.System{}.Now(),
	})
	s.busy++
	s.peak = max(s.peak, s.busy)
}

// acquire takes a slot, or waits for one while the queue has room.
func (s *Server) acquire(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.Queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full && s.Hang {
		<-ctx.Done()
	}
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) release() {
	s.mu.Lock()
	s.busy = max(0, s.busy-1)
	s.mu.Unlock()
	<-s.slots
}

// answer writes the answer, with the failures that are shown.
func (s *Server) answer(w http.ResponseWriter, id string, body []byte, f Faults) {
	text := Answer(id, string(body))
	h := w.Header()
	if !f.NoSeal {
		platform.SetSeal(h, "seal-of-"+s.Instance)
	}
	if f.Encoded {
		h.Set("Content-Encoding", "gzip")
	}
	switch {
	case f.LoseAnswer:
		panic(http.ErrAbortHandler)
	case f.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, text)
	case f.CutAnswer, f.ExtraBytes, f.Unframed:
		s.raw(w, id, text, f)
	default:
		h.Set("Content-Length", fmt.Sprint(len(text)))
		fmt.Fprint(w, text)
	}
}

// Answer returns the body of the answer to a request.
func Answer(id, body string) string {
	return "answer to " + id + " with " + fmt.Sprint(len(body)) + " bytes\n"
}

// raw writes an answer that net/http would not write.
func (s *Server) raw(w http.ResponseWriter, id, text string, f Faults) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the server speaks HTTP/1.1 only
	}
	defer conn.Close()
	h := http.Header{}
	platform.SetRequestID(h, id)
	platform.SetSeal(h, "seal-of-"+s.Instance)
	length, sent := len(text), text
	switch {
	case f.CutAnswer:
		sent = text[:len(text)/2]
	case f.Unframed:
		length = -1
	}
	writeRaw(buf, h, length, sent)
	if f.ExtraBytes {
		writeRaw(buf, h, len(text), text)
	}
	_ = buf.Flush() // the caller may have left
	if f.ExtraBytes {
		time.Sleep(s.Work + extraLinger) // the caller decides about the connection
	}
}

// extraLinger keeps a connection open after bytes that belong to no request.
const extraLinger = 50 * time.Millisecond

func writeRaw(w io.Writer, h http.Header, length int, text string) {
	fmt.Fprint(w, "HTTP/1.1 200 OK\r\n")
	if length >= 0 {
		fmt.Fprintf(w, "Content-Length: %d\r\n", length)
	}
	_ = h.Write(w) // a buffer takes everything
	fmt.Fprint(w, "\r\n"+text)
}
