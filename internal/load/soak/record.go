package soak

import (
	"sync"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
)

// request is what a client sent and what it got.
type request struct {
	id, method, target, body string
	caller                   string // service of the server beside the node
	node                     int
	unsafe                   bool // it may run once at most
	sent, ended              time.Duration
	deadline                 time.Duration
	status                   int // 0 without a whole answer
	answer                   string
	sealed                   bool
	err                      error
}

// life is one process of a node, from its start to its end.
type life struct {
	node, number int
	started      time.Duration
	signalled    time.Duration // SIGTERM, 0 for none
	killed       time.Duration // SIGKILL, 0 for none
	ended        time.Duration // 0 while it runs
	exit         error
	stderr       string
}

// sample is what a node told of itself and the kernel of its process.
type sample struct {
	node, life  int
	at          time.Duration
	version     uint64 // of the policy in force
	residentMB  int
	descriptors int
}

// written is a version of the policy that the store acknowledged.
type written struct {
	version uint64
	at      time.Duration
}

// departure is a server's acknowledged leave.
type departure struct {
	node     int
	instance string
	at       time.Duration
}

// record is all that was seen in a run.
type record struct {
	began clock.Time

	mu         sync.Mutex
	requests   []*request
	lives      []*life
	samples    []sample
	written    []written
	departures []departure
	servers    []*backend.Server // all that ever ran
	events     []Event           // as they were carried out
	unserved   []int             // nodes that did not serve again at the end
	leftOver   []int             // process ids that could not be ended
}

func add[T any](r *record, list *[]T, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, v)
}
