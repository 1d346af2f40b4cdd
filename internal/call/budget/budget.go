// Package budget bounds how many requests are sent to a further server, over
// all nodes and in every time window, without coordination between the nodes.
//
// It limits the load that retries add when servers fail. The budget of a node
// grows with the requests that the node receives, and includes an equal part of
// a fixed allowance of all nodes.
package budget

import "time"

const buckets = 50 // per sliding window

// Limits are the limits over all nodes. A repeat is a request that is sent to a
// further server.
type Limits struct {
	Window time.Duration
	Ratio  float64 // repeats allowed per request in a window
	Slack  float64 // additional repeats allowed in a window
}

// Budget counts the requests and repeats of one node by service. It is not safe
// for concurrent use. Use New to create a Budget.
type Budget struct {
	limits   Limits
	services map[string]*window
}

// New returns an empty budget with the given limits.
func New(limits Limits) *Budget { return &Budget{limits: limits, services: map[string]*window{}} }

// window counts the requests and repeats of a sliding window. It keeps one
// bucket more than the window covers, so that the oldest bucket is not dropped
// while a part of it is still in the window.
type window struct {
	bucket   int64
	requests [buckets + 1]int
	repeats  [buckets + 1]int
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
		w.requests[i], w.repeats[i] = 0, 0
	}
	return w
}

// AddRequest counts a request for the service.
func (b *Budget) AddRequest(now time.Duration, service string) {
	w := b.windowAt(now, service)
	w.requests[w.bucket%(buckets+1)]++
}

// Take reports whether a request may be repeated at another server of the
// service, and counts the repeat if so. The slack is divided by the number of
// nodes.
func (b *Budget) Take(now time.Duration, service string, nodes int) bool {
	w := b.windowAt(now, service)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if float64(repeats)+1 > b.limits.Ratio*float64(requests)+b.limits.Slack/float64(max(nodes, 1)) {
		return false
	}
	w.repeats[w.bucket%(buckets+1)]++
	return true
}
