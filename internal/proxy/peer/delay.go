package peer

import (
	"sync"
	"time"
)

const (
	// transitSpan is for how long the shortest time on the way is remembered.
	delayWindow = 15 * time.Second
	maxSenders  = 4096 // nodes whose times are kept
)

// stamp says when and by which process a request was sent.
type sendTime struct {
	process uint64        // start of the process, which tells it from others of its node
	sent    time.Duration // on the steady clock of the process
}

// transit estimates how much longer than usual requests were on their way. The
// steady clocks of two processes run alike and differ by a constant, so the
// least difference between sending and arriving, seen lately, stands for a way
// without queues. The times of day are not used, for they may jump.
type delayEstimator struct {
	mu      sync.Mutex
	senders map[string]*sender // by node
}

// origin is what is known of the way from one node.
type sender struct {
	process     uint64
	minOffset   [2]time.Duration // difference of the clocks, in the last span and in the current one
	windowStart time.Duration    // when the current span began
}

// delay returns for how much longer than usual a request of node that arrives
// now was on its way.
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
