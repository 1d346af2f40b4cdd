package sidecar

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
)

// bodyLogInterval is the shortest time between two log lines about bodies that gave way.
const bodyLogInterval = time.Second

// bodyLogger returns a function that logs bodies that give way, at most one line in
// bodyLogInterval. The requests themselves are logged as others that are refused.
func (s *Sidecar) bodyLogger() func(error) {
	var mu sync.Mutex
	var count uint64
	next := time.Duration(0)
	return func(err error) {
		mu.Lock()
		defer mu.Unlock()
		count++
		if now := s.cfg.Clock.Monotonic(); now >= next {
			next = now + bodyLogInterval
			s.cfg.Log.Warn(event.BodiesGaveWay, "count", count, "error", gd.Message(err))
			count = 0
		}
	}
}

// maxFiles returns the number of descriptors that the process may have.
func maxFiles() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// registerBounds registers the metrics of the bounds on what clients use.
func (s *Sidecar) registerBounds(bodies *body.Budget) {
	m := s.cfg.Meter
	m.Gauge("geraniumdock_body_bytes", func() float64 { return float64(bodies.Used()) })
	m.Gauge("geraniumdock_body_bytes_limit", func() float64 { return float64(bodies.Limit()) })
	m.Gauge("geraniumdock_bodies_gave_way", func() float64 { return float64(bodies.GaveWay()) })
	m.Gauge("geraniumdock_client_connections_refused", func() float64 { return float64(s.clientServer.RefusedConnections()) })
}
