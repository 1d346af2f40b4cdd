package soak

import (
	"sync"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
)

// request is a request that a client sent, with its response.
type request struct {
	id, method, target, body string
	caller                   string // service of the backend server beside the node
	node                     int
	nonIdempotent            bool // the request must run at most once
	public                   bool // the route needs no key
	key                      key
	sent, ended              time.Duration
	deadline                 time.Duration
	status                   int // 0 unless a complete response was received
	responseBody             string
	signed                   bool // the response has the signature of a server
	fromLeaving              bool // the response states that its server leaves
	err                      error
}

// incarnation is one process of a node, from its start to its exit.
type incarnation struct {
	node, number int
	started      time.Duration
	signaled     time.Duration // time of SIGTERM; 0 if it was not sent
	killed       time.Duration // time of SIGKILL; 0 if it was not sent
	ended        time.Duration // time of the exit; 0 while the process runs
	exit         error
	stderr       string
}

// sample is one measurement of a node: the policy version that it reports and the
// resources that its process uses.
type sample struct {
	node, incarnation int
	at                time.Duration
	version           uint64 // version of the policy in force
	residentMB        int
	descriptors       int
}

// policyWrite records when the operator wrote a version of the policy, or when the store
// acknowledged it.
type policyWrite struct {
	version uint64
	at      time.Duration
}

// drain records when a node acknowledged that a server is draining.
type drain struct {
	node     int
	instance string
	at       time.Duration
}

// record holds the observations of a run.
type record struct {
	began         clock.Time
	hasWorkspaces bool // the policy has workspaces

	mu           sync.Mutex
	requests     []*request
	incarnations []*incarnation
	samples      []sample
	policyWrites []policyWrite // of acknowledged versions
	policyPuts   []policyWrite // of all versions; the store may have applied one without an acknowledgement
	drains       []drain
	servers      []*backend.Server // every server that was started
	events       []Event           // with the actual times
	unrecovered  []int             // nodes that did not serve requests after the last event
	behind       []sample          // of nodes that did not get the last version of the policy
	leftOver     []int             // IDs of processes that did not exit
}

func add[T any](r *record, list *[]T, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, v)
}

// lastVersion returns the last policy version that the store acknowledged.
func (r *record) lastVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last uint64
	for _, w := range r.policyWrites {
		last = max(last, w.version)
	}
	return last
}
