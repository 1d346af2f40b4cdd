package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/http1/reset"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/table"
)

// defaultConnections is the maximum number of connections to a server that
// announces none.
const defaultConnections = 100

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialServer opens a connection to the backend server.
func dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: serverDialTimeout}).DialContext(ctx, network, address)
}

// newServerTransport returns the HTTP client for requests to the backend server.
func newServerTransport(connections int, dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return reset.NewConn(nc), nil
		},
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		DisableCompression:    true,
		ExpectContinueTimeout: 0,
	}
}

// releaseSlotLater releases the slot of a canceled call after cancelGrace. The
// server detects the cancellation by the closed connection and needs time to
// stop the call.
func (s *scheduler) releaseSlotLater(id uint64) {
	s.calls.Add(1)
	time.AfterFunc(cancelGrace, func() {
		s.releaseSlot(id)
		s.calls.Done()
	})
}

// exchange sends the call to the server and returns the response.
func (s *scheduler) exchange(ctx context.Context, c *call, row *table.Row, id uint64) (*http.Response, error) {
	s.mu.Lock()
	address, client := s.announced.Address, s.client
	s.mu.Unlock()
	var trace requestTrace
	req := s.newServerRequest(trace.trace(ctx), c, row, address)
	res, err := client.RoundTrip(req)
	if err != nil {
		return nil, s.exchangeFailed(ctx, id, trace.wrote.Load())
	}
	if !isFinalStatus(res.StatusCode) {
		s.n.log.Warn("backend server sent an invalid response", "status", res.StatusCode)
		trace.conn.Close() // no other call may use the connection, as it could if the body is empty
		res.Body.Close()
		return nil, s.exchangeFailed(ctx, id, true)
	}
	stripHeaders(res.Header)
	res.Header.Set(loadHeader, formatLoad(s.load()))
	res.Body = &trackedBody{ReadCloser: res.Body, onFailure: func() { s.checkCrash(id) }, onClose: func(complete bool) { s.exchangeEnded(id, c.fingerprint, complete) }}
	return res, nil
}

// isFinalStatus reports whether a response to a call may have the status. Calls ask for no other
// protocol, so a server has none to switch to; the transport skips other informational responses.
func isFinalStatus(status int) bool { return status >= 200 && status < 600 }

// newServerRequest returns the request to the server for the call.
func (s *scheduler) newServerRequest(ctx context.Context, c *call, row *table.Row, address string) *http.Request {
	req := c.request.Clone(ctx)
	stripHeaders(req.Header)
	req.Header.Set(callerHeader, c.caller)
	req.Header.Set(timeoutHeader, formatMilliseconds(c.remaining(s.now())))
	req.URL.Scheme = "http"
	req.URL.Host = address
	req.RequestURI = ""
	c.body.setBody(req, !row.IsIdempotent(req.Method))
	return req
}

// exchangeFailed releases the slot of a call that got no response and returns the
// error for the caller. If nothing was written, the call did not run.
func (s *scheduler) exchangeFailed(ctx context.Context, id uint64, wrote bool) error {
	if !wrote {
		s.releaseSlot(id)
		return gd.Draining.Errorf("the server beside node %s does not accept connections", s.n.name)
	}
	if ctx.Err() != nil {
		s.releaseSlotLater(id)
		return gd.TimedOut.Errorf("call was canceled or timed out before the server responded")
	}
	s.checkCrash(id)
	s.releaseSlot(id)
	return gd.Unknown.Errorf("connection to the server failed before it responded")
}

// checkCrash checks whether the server crashed while call id ran on it. If so, it
// reports the calls in flight.
func (s *scheduler) checkCrash(id uint64) {
	s.mu.Lock()
	address := s.announced.Address
	s.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, serverDialTimeout)
	if err == nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	if _, ok := s.fingerprints[id]; !ok {
		s.mu.Unlock()
		return
	}
	reports := s.crashReports()
	s.announcedAt = s.now() - announceTTL // the server is gone until it announces itself again
	s.mu.Unlock()
	s.n.log.Warn("backend server crashed", "in-flight", len(reports))
	s.n.post(func(c *control) {
		c.report(reports)
		s.announceState(c)
	})
}

// crashReports returns a report for each fingerprint among the running calls.
// The register tells crashes of one server apart by their incarnation, so each
// crash gets another one. The caller holds s.mu.
func (s *scheduler) crashReports() []quarantine.Report {
	now := s.n.cfg.Clock.Now()
	s.crashes++
	var fps []quarantine.Fingerprint
	for id, fp := range s.fingerprints {
		if _, waits := s.waiting[id]; !waits {
			fps = append(fps, fp)
		}
	}
	slices.Sort(fps)
	fps = slices.Compact(fps)
	reports := make([]quarantine.Report, len(fps))
	for i, fp := range fps {
		reports[i] = quarantine.Report{
			Fingerprint: fp,
			Node:        s.n.name,
			Incarnation: s.n.incarnation + s.crashes,
			At:          now,
			Alone:       len(fps) == 1,
		}
	}
	return reports
}

// exchangeEnded releases the slot of a call whose response body was closed.
// complete says whether the whole body was read. Each complete call adds a slot
// to a server that started with few slots, until it has all that it announced.
func (s *scheduler) exchangeEnded(id uint64, fp quarantine.Fingerprint, complete bool) {
	if !complete {
		s.releaseSlotLater(id)
		return
	}
	s.mu.Lock()
	if s.alone[id] && s.announcementValid() {
		s.cleared[fp] = s.n.cfg.Clock.Now()
	}
	if slots := s.queue.Slots(); slots < s.announced.Slots {
		s.queue.SetSlots(slots + 1)
	}
	s.mu.Unlock()
	s.releaseSlot(id)
}

// trackedBody is a response body that calls onFailure if a read fails for a
// reason other than cancellation, and onClose once when it is closed.
type trackedBody struct {
	io.ReadCloser
	onFailure func()
	onClose   func(complete bool)
	complete  bool
	once      sync.Once
}

func (t *trackedBody) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		t.complete = true
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) && t.onFailure != nil {
		t.onFailure()
	}
	return n, err
}

func (t *trackedBody) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(func() { t.onClose(t.complete) })
	return err
}
