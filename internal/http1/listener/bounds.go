package listener

import (
	"net"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
)

// Bounds limit what all clients together may use. The zero value sets no limit but
// defaultBodyProgress.
type Bounds struct {
	Bodies       *body.Budget  // memory of the request bodies
	BodyProgress time.Duration // within which progressBytes of a body must arrive
	Connections  int           // open client connections, 0 for no limit
}

const (
	// defaultBodyProgress exceeds the deadline of most requests (4 s), so that it ends only
	// requests that are lost anyway.
	defaultBodyProgress = 5 * time.Second
	// progressBytes in defaultBodyProgress are 1/6000 of the bandwidth of a link of 10 Mbit/s.
	progressBytes = 1 << 10
	// minIdle is the idle time after which a connection is closed to accept another one.
	minIdle = time.Second
	// refusalInterval is the shortest time between two notifications that connections
	// were refused because there were too many.
	refusalInterval = time.Second
)

func (b Bounds) bodyProgress() time.Duration {
	if b.BodyProgress > 0 {
		return b.BodyProgress
	}
	return defaultBodyProgress
}

// SetBounds sets the bounds. It must precede Serve.
func (s *Server) SetBounds(b Bounds) { s.bounds = b }

// progress measures the time in which a client sends a body. Only time in which its
// connection is read counts.
type progress struct {
	timeout time.Duration
	spent   time.Duration // since mark bytes had arrived
	mark    int64
}

// deadline returns the time until which more of the body must arrive, of which total bytes
// have.
func (p *progress) deadline(total int64) time.Time {
	if total-p.mark >= progressBytes {
		p.mark, p.spent = total, 0
	}
	return clock.Deadline(p.timeout - p.spent)
}

// add records that the connection was read for the given time.
func (p *progress) add(d time.Duration) { p.spent += d }

// makeRoom reports whether a further connection may be accepted. If there are as many as the
// bound, it closes the one that has been idle for longest, of those idle for minIdle.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bounds.Connections == 0 || len(s.conns) < s.bounds.Connections {
		return true
	}
	var oldest *conn
	longest := minIdle
	for c := range s.conns {
		if idle, ok := c.idleTime(); ok && idle >= longest {
			oldest, longest = c, idle
		}
	}
	if oldest == nil || !oldest.closeIdle() {
		return false
	}
	delete(s.conns, oldest)
	return true
}

// idleTime returns for how long the connection has had no request, and false if it has one.
func (c *conn) idleTime() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.requestsRead != c.responsesWritten || c.idleSince.IsZero() {
		return 0, false
	}
	return clock.Since(c.idleSince), true
}

// closeIdle closes the connection at once if it has no request. It reports whether it did.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestsRead != c.responsesWritten {
		return false
	}
	c.closing = true
	c.nc.Close() // interrupts the read in serve
	return true
}

// reportRefusal counts a connection that is not accepted, and reports it if it is the first
// one in refusalInterval.
func (s *Server) reportRefusal(nc net.Conn) {
	s.mu.Lock()
	s.refused++
	isDue := s.reported.IsZero() || clock.Since(s.reported) >= refusalInterval
	if isDue {
		s.reported = clock.Deadline(0)
	}
	total := s.refused
	s.mu.Unlock()
	if isDue {
		s.events.Refused(nc.RemoteAddr().String(), gd.Unavailable.Errorf("%d connections are open; %d refused so far", s.bounds.Connections, total))
	}
}

// RefusedConnections returns the number of connections that were closed because there were
// too many.
func (s *Server) RefusedConnections() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}
