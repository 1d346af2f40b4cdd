// Package budget bounds the number of retries over all nodes and in every time
// window, without coordination between the nodes.
//
// It limits the load that retries add when servers fail or shed requests. The
// budget of a node grows with the requests that the node receives, and includes an
// equal part of a fixed allowance of all nodes. While all servers of a service shed
// requests, it does not suffice for every request. A part of it is therefore
// reserved for requests that their callers will not repeat.
package budget

import "time"

const buckets = 50 // per sliding window

// Limits are the limits over all nodes. A retry is an attempt of a request at a
// further server. A retry of a request that may have run is a rerun.
type Limits struct {
	Window     time.Duration
	Ratio      float64 // retries allowed per request in a window
	Slack      float64 // additional retries allowed in a window
	RerunShare float64 // fraction of the allowed retries that may be reruns
	// FirstShare is the fraction of the allowed retries for requests that their
	// callers may send again. The rest is for requests that callers have repeated
	// after a refusal and will not send again.
	FirstShare float64
	// OnceShare is the same for requests whose callers do not repeat refused requests.
	// It is FirstShare if it is less.
	OnceShare float64
}

// Retry describes a retry.
type Retry struct {
	IsRerun  bool // the request may have run
	IsRepeat bool // the caller has sent the request before
	IsOnce   bool // the caller does not repeat refused requests
}

// Budget counts the requests and retries of one node by service. It is not safe
// for concurrent use. Use New to create a Budget.
type Budget struct {
	limits   Limits
	services map[string]*window
}

// New returns an empty budget with the given limits.
func New(limits Limits) *Budget { return &Budget{limits: limits, services: map[string]*window{}} }

// window counts the requests and retries of a sliding window. It keeps one
// bucket more than the window covers, so that the oldest bucket is not dropped
// while a part of it is still in the window.
type window struct {
	bucket   int64
	requests [buckets + 1]int
	retries  [buckets + 1]int // all, including reruns
	reruns   [buckets + 1]int
}

func (b *Budget) windowAt(now time.Duration, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	bucket := int64(now / (b.limits.Window / buckets))
	if bucket-w.bucket > buckets {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		i := w.bucket % (buckets + 1)
		w.requests[i], w.retries[i], w.reruns[i] = 0, 0, 0
	}
	return w
}

// AddRequest counts a request for the service.
func (b *Budget) AddRequest(now time.Duration, service string) {
	w := b.windowAt(now, service)
	w.requests[w.bucket%(buckets+1)]++
}

// share returns the fraction of the allowed retries up to which r may be made.
func (l Limits) share(r Retry) float64 {
	switch {
	case r.IsRepeat:
		return 1
	case r.IsOnce:
		return max(l.OnceShare, l.FirstShare)
	}
	return l.FirstShare
}

// Take reports whether a request may be retried at another server of the service,
// and counts the retry if so. The slack is divided by the number of nodes.
func (b *Budget) Take(now time.Duration, service string, nodes int, r Retry) bool {
	w := b.windowAt(now, service)
	requests, retries, reruns := 0, 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
		reruns += w.reruns[i]
	}
	allowed := b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(nodes, 1))
	switch {
	case r.IsRerun && float64(reruns)+1 > b.limits.RerunShare*allowed:
		return false
	case float64(retries)+1 > b.limits.share(r)*allowed:
		return false
	}
	i := w.bucket % (buckets + 1)
	w.retries[i]++
	if r.IsRerun {
		w.reruns[i]++
	}
	return true
}
