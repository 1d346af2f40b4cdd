// Package backend implements a backend server for tests. It runs requests in a
// fixed number of slots with a bounded queue, announces itself to the node
// beside it, injects the failures that the platform describes, and records the
// requests that it received.
package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/platform"
)

const loopback = "127.0.0.1:0"

// Faults selects the failures that a server injects. The zero value selects
// none.
type Faults struct {
	LoseResponse         bool // requests run, then the connection is closed before a response is sent
	TruncateResponse     bool // responses are truncated
	TruncateHead         bool // responses end within their heads
	ExtraBytes           bool // an unsolicited second response follows each response
	NoSignature          bool // responses are not signed
	NoContentLength      bool // responses have no Content-Length and end when the connection closes
	Hang                 bool // requests run until their callers disconnect or the server crashes
	Fail                 bool // requests run and get a response with status 500
	Refuse               bool // requests are refused and their responses marked as not run
	WrongContentEncoding bool // responses have a Content-Encoding header, although their bodies are not encoded
}

// CrashPoint is when a server crashes that runs a request in CrashPath.
type CrashPoint int

// The points at which a server crashes.
const (
	BeforeResponse CrashPoint = iota
	InResponse                // after a part of the response that a node does not forward yet
	InStream                  // after a part of the response that a node forwards
	AfterResponse             // soon after the complete response
	AfterCancel               // after its client has disconnected
	InRequest                 // before it has read the body of the request
)

// CrashMark is the part of a path or a body that marks the requests which crash servers
// with CrashAt set.
const CrashMark = "crash"

// Run describes a request that the server started to run.
type Run struct {
	ID, Method, Target, Caller, Body string
	Workspace                        string
	Key                              string // of the client, which no server should receive
	Deadline                         time.Duration
	At                               clock.Time
}

// Server is a backend server. Set the exported fields, then call Start.
type Server struct {
	Service          string
	Instance         string
	Version          string // of its software, as announced
	Slots            int
	Queue            int           // maximum number of requests that wait for a slot
	HangWhenFull     bool          // requests that arrive at a full queue never get a response
	WorkTime         time.Duration // running time of a request
	AnnounceInterval time.Duration // interval between announcements; 0 disables the periodic ones
	NodeAddress      string        // address at which the node accepts announcements
	CrashAt          *CrashPoint   // requests whose path or body contains CrashMark crash the server
	// Advertised is the address that the server announces, such as that of a
	// proxy in front of it. If empty, the server announces its own address.
	Advertised string

	listener   net.Listener
	httpServer *http.Server
	started    clock.Time
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	slots      chan struct{}

	mu          sync.Mutex
	faults      Faults
	runs        []Run
	canceled    map[string]int // runs canceled because the caller disconnected, by request ID
	arrivals    int
	busy        int // number of requests that are running
	peak        int // highest number of requests that ran at once
	waiting     int
	sequence    uint64
	draining    bool
	left        bool    // no further announcement is sent
	limits      []Limit // the last one is stated in responses, unless it is lifted
	leaving     bool    // stated in responses
	misdirected int     // requests addressed to another instance
}

// Start listens on a free loopback port and serves requests. It does not send an
// announcement by itself; see Announce.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return gd.Unavailable.Wrapf(err, "listen for backend server")
	}
	s.StartOn(l)
	return nil
}

// StartOn serves requests on l.
func (s *Server) StartOn(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.listener, s.cancel, s.started = l, cancel, clock.System{}.Now()
	s.slots, s.canceled = make(chan struct{}, s.Slots), map[string]int{}
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.wg.Go(func() { _ = s.httpServer.Serve(l) }) // Serve returns when the server is closed
	if s.AnnounceInterval > 0 {
		s.wg.Go(func() { s.announcePeriodically(ctx) })
	}
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Crash stops the server at once and aborts the requests in progress.
func (s *Server) Crash() {
	s.cancel()
	s.httpServer.Close() // closes open connections
	s.wg.Wait()
}

// SetFaults replaces the failures that the server injects.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Limit is a limit that the server has stated in its responses.
type Limit struct {
	PerSecond float64
	Stated    clock.Time // first response with it, 0 if there was none
	Lifted    clock.Time // 0 while it is in force
}

// SetLimit makes the server state in its responses that it accepts perSecond requests
// per second, or no limit if perSecond is 0.
func (s *Server) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.limit(); l != nil {
		l.Lifted = clock.System{}.Now()
	}
	if perSecond > 0 {
		s.limits = append(s.limits, Limit{PerSecond: perSecond})
	}
}

// limit returns the limit in force, nil if there is none. The caller holds s.mu.
func (s *Server) limit() *Limit {
	if n := len(s.limits); n > 0 && s.limits[n-1].Lifted == 0 {
		return &s.limits[n-1]
	}
	return nil
}

// Limits returns the limits that were set.
func (s *Server) Limits() []Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Limit(nil), s.limits...)
}

// SetLeaving makes the server state in its responses that it is about to stop. Its
// announcements do not change.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) announcePeriodically(ctx context.Context) {
	tick := time.NewTicker(s.AnnounceInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		left := s.left
		s.mu.Unlock()
		if left {
			return
		}
		_ = s.Announce() // retried at the next tick
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announcement returns the server's next announcement, with a new sequence
// number.
func (s *Server) Announcement() platform.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	address := s.Advertised
	if address == "" {
		address = s.Address()
	}
	return platform.Announcement{
		Instance: s.Instance, Service: s.Service, Address: address, Version: s.Version, Slots: s.Slots,
		Draining: s.draining, Sequence: s.sequence, Started: s.started,
	}
}

// Announce sends an announcement to the node and returns an error unless the
// node acknowledges it.
func (s *Server) Announce() error {
	req, err := platform.NewAnnouncement(s.NodeAddress, s.Announcement())
	if err != nil {
		return err
	}
	return send(req)
}

// Drain marks the server as draining and announces that to the node.
func (s *Server) Drain() error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.Announce()
}

// Leave notifies the node that the server has left, and ends its announcements.
func (s *Server) Leave() error {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	req, err := platform.NewLeave(s.NodeAddress, s.Instance, s.started)
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
		return gd.Invalid.Errorf("node responded with status %d", res.StatusCode)
	}
	return nil
}

// Runs returns the requests that the server started to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// RunCount returns how many times the server started to run the request with the
// given ID.
func (s *Server) RunCount(id string) int {
	n := 0
	for _, r := range s.Runs() {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Stats holds the counters of a server: the requests received, the highest
// number that ran at the same time, the requests canceled because the caller
// disconnected, and the requests addressed to another instance.
type Stats struct {
	Arrivals, Peak, Canceled, Misdirected int
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Arrivals: s.arrivals, Peak: s.peak, Canceled: len(s.canceled), Misdirected: s.misdirected}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := platform.RequestID(r.Header)
	platform.SetRequestID(w.Header(), id)
	s.mu.Lock()
	s.arrivals++
	faults := s.faults
	if l := s.limit(); l != nil {
		platform.SetServerLimit(w.Header(), l.PerSecond)
		if l.Stated == 0 {
			l.Stated = clock.System{}.Now()
		}
	}
	if s.leaving {
		platform.SetServerLeaving(w.Header())
	}
	s.mu.Unlock()
	if e := platform.ExpectedInstance(r.Header); e != "" && e != s.Instance {
		s.mu.Lock()
		s.misdirected++
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if faults.Refuse || !s.acquire(r.Context()) {
		platform.SetNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	if s.CrashAt != nil && *s.CrashAt == InRequest && strings.Contains(r.URL.Path, CrashMark) {
		s.crashOn(w, r, id, nil)
	}
	body, err := io.ReadAll(r.Body)
	if s.CrashAt != nil && (strings.Contains(r.URL.Path, CrashMark) || bytes.Contains(body, []byte(CrashMark))) {
		s.crashOn(w, r, id, body) // also if the client has disconnected
	}
	if err != nil {
		return // the caller disconnected
	}
	s.recordRun(id, r, string(body))
	workTime := time.After(s.WorkTime)
	if faults.Hang {
		workTime = nil
	}
	select {
	case <-workTime:
	case <-r.Context().Done():
		s.mu.Lock()
		s.canceled[id]++
		s.mu.Unlock()
		return
	}
	s.respond(w, id, body, faults)
}

// Sizes of the responses during which a server crashes: a node forwards the larger one
// before it is complete.
const (
	smallResponseBytes = 2_000
	largeResponseBytes = 400_000
	crashDelay         = 30 * time.Millisecond // from the last bytes of a response, or from the client's leaving, to the crash
)

// crashOn runs the request, of which body has been read, and crashes at s.CrashAt.
func (s *Server) crashOn(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	s.recordRun(id, r, string(body))
	length, sent := 0, 0
	switch *s.CrashAt {
	case InResponse:
		length, sent = smallResponseBytes, smallResponseBytes/4
	case InStream:
		length, sent = largeResponseBytes, largeResponseBytes/2
	case AfterResponse:
		length, sent = smallResponseBytes, smallResponseBytes
	case AfterCancel:
		<-r.Context().Done()
	}
	if sent > 0 {
		h := w.Header()
		platform.SetSignature(h, "seal-of-"+s.Instance)
		h.Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, sent))        // the node may have closed the connection
		_ = http.NewResponseController(w).Flush() // likewise
	}
	time.Sleep(crashDelay)
	s.cancel()
	s.httpServer.Close()
	panic(http.ErrAbortHandler)
}

func (s *Server) recordRun(id string, r *http.Request, body string) {
	deadline, _ := platform.Deadline(r.Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Caller: platform.Caller(r.Header), Body: body,
		Workspace: platform.Workspace(r.Header), Key: platform.Key(r.Header), Deadline: deadline, At: clock.System{}.Now(),
	})
	s.busy++
	s.peak = max(s.peak, s.busy)
}

// acquire takes a slot and reports whether it succeeded. If all slots are in
// use, it waits for one unless the queue is full.
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
	if full && s.HangWhenFull {
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

// respond writes the response and injects the given failures.
func (s *Server) respond(w http.ResponseWriter, id string, body []byte, f Faults) {
	text := ResponseBody(id, string(body))
	h := w.Header()
	if !f.NoSignature {
		platform.SetSignature(h, "seal-of-"+s.Instance)
	}
	if f.WrongContentEncoding {
		h.Set("Content-Encoding", "gzip")
	}
	switch {
	case f.LoseResponse:
		panic(http.ErrAbortHandler)
	case f.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, text)
	case f.TruncateResponse, f.TruncateHead, f.ExtraBytes, f.NoContentLength:
		s.respondRaw(w, id, text, f)
	default:
		h.Set("Content-Length", fmt.Sprint(len(text)))
		fmt.Fprint(w, text)
	}
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(id, body string) string {
	return "answer to " + id + " with " + fmt.Sprint(len(body)) + " bytes\n"
}

// respondRaw hijacks the connection to write a malformed response, which net/http
// does not allow.
func (s *Server) respondRaw(w http.ResponseWriter, id, text string, f Faults) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can always be hijacked
	}
	defer conn.Close()
	if f.TruncateHead {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(text))
		return
	}
	h := http.Header{}
	platform.SetRequestID(h, id)
	platform.SetSignature(h, "seal-of-"+s.Instance)
	length, sent := len(text), text
	switch {
	case f.TruncateResponse:
		sent = text[:len(text)/2]
	case f.NoContentLength:
		length = -1
	}
	writeRaw(buf, h, length, sent)
	if f.ExtraBytes {
		writeRaw(buf, h, len(text), text)
	}
	_ = buf.Flush() // the caller may have disconnected
	if f.ExtraBytes {
		time.Sleep(s.WorkTime + extraBytesLinger) // keeps the connection open, so that the caller has to decide whether to reuse it
	}
}

// extraBytesLinger is how long a connection stays open after an unsolicited
// response, in addition to the work time.
const extraBytesLinger = 50 * time.Millisecond

func writeRaw(w io.Writer, h http.Header, length int, text string) {
	fmt.Fprint(w, "HTTP/1.1 200 OK\r\n")
	if length >= 0 {
		fmt.Fprintf(w, "Content-Length: %d\r\n", length)
	}
	_ = h.Write(w) // a failed write shows when the buffer is flushed
	fmt.Fprint(w, "\r\n"+text)
}
