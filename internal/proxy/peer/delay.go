package peer

import (
	"sync"
	"time"
)

const (
	// transitSpan is for how long the shortest time on the way is remembered.
	transitSpan = 15 * time.Second
	maxOrigins  = 4096 // nodes whose times are kept
)

// stamp says when and by which process a request was sent.
type stamp struct {
	process uint64        // start of the process, which tells it from others of its node
	sent    time.Duration // on the steady clock of the process
}

// transit estimates how much longer than usual requests were on their way. The
// steady clocks of two processes run alike and differ by a constant, so the
// least difference between sending and arriving, seen lately, stands for a way
// without queues. The times of day are not used, for they may jump.
type transit struct {
	mu      sync.Mutex
	origins map[string]*origin // by node
}

// origin is what is known of the way from one node.
type origin struct {
	process uint64
	least   [2]time.Duration // difference of the clocks, in the last span and in the current one
	turned  time.Duration    // when the current span began
}

// delay returns for how much longer than usual a request of node that arrives
// now was on its way.
func (t *transit) delay(now time.Duration, node string, s stamp) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := now - s.sent
	o, ok := t.origins[node]
	switch {
	case !ok || o.process != s.process:
		if t.origins == nil || len(t.origins) >= maxOrigins {
			t.origins = map[string]*origin{}
		}
		t.origins[node] = &origin{process: s.process, least: [2]time.Duration{took, took}, turned: now}
		return 0
	case now-o.turned >= transitSpan:
		o.least = [2]time.Duration{o.least[1], took}
		o.turned = now
	}
	o.least[1] = min(o.least[1], took)
	return max(0, took-min(o.least[0], o.least[1]))
}
