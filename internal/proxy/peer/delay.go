package peer

import (
	"sync"
	"time"
)

const (
	// delayWindow is the length of a window. The smallest clock offset of the
	// current and the previous window is the baseline for delays.
	delayWindow = 15 * time.Second
	maxSenders  = 4096 // nodes whose offsets are kept
)

// sendTime is the time at which a process sent a request.
type sendTime struct {
	process uint64        // start time of the process, which identifies it among those of its node
	sent    time.Duration // on the monotonic clock of the process
}

// delayEstimator estimates the transit delay of requests: the time that they were
// queued on the network. The monotonic clocks of two processes run at the same
// rate and differ by a constant, so the smallest recent difference between arrival
// and send time is that of a request that was not queued. Wall clocks are not used
// because they may jump.
type delayEstimator struct {
	mu      sync.Mutex
	senders map[string]*sender // by node
}

// sender holds the smallest offsets of the requests from one node. The offset of a
// request is its arrival time minus its send time.
type sender struct {
	process     uint64
	minOffset   [2]time.Duration // smallest offset in the previous and in the current window
	windowStart time.Duration    // when the current window began
}

// delay returns the transit delay of a request that node sent and that arrives now:
// its offset minus the smallest recent one. It returns 0 for the first request of a
// process.
func (e *delayEstimator) delay(now time.Duration, node string, at sendTime) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	offset := now - at.sent
	s, ok := e.senders[node]
	switch {
	case !ok || s.process != at.process:
		if e.senders == nil || len(e.senders) >= maxSenders {
			e.senders = map[string]*sender{}
		}
		e.senders[node] = &sender{process: at.process, minOffset: [2]time.Duration{offset, offset}, windowStart: now}
		return 0
	case now-s.windowStart >= delayWindow:
		s.minOffset = [2]time.Duration{s.minOffset[1], offset}
		s.windowStart = now
	}
	s.minOffset[1] = min(s.minOffset[1], offset)
	return max(0, offset-min(s.minOffset[0], s.minOffset[1]))
}
