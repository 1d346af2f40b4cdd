// Package budget bounds how many requests are sent to a second server, over
// all nodes and in every window, without the nodes asking each other.
//
// It answers for the load that retries add when servers fail: each node spends
// a share of what the whole fleet may spend, in proportion to the requests that
// came to it, and its part of a fixed allowance.
package budget

import "time"

const buckets = 50 // parts of a window, by which it slides

// Terms are the bounds over all nodes.
type Terms struct {
	Window time.Duration
	Ratio  float64 // repeats per request in a window
	Slack  float64 // repeats in a window beyond that
}

// Budget counts the requests and repeats of one node by service. The owner
// serialises access. Use New.
type Budget struct {
	limits   Terms
	services map[string]*window
}

// New returns a budget within terms.
func New(limits Terms) *Budget { return &Budget{limits: limits, services: map[string]*window{}} }

// window counts what happened in the last window. One bucket more than the
// window has is kept, so that a part of a bucket never slides out too early.
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

// Requested notes a request for the service.
func (b *Budget) Requested(now time.Duration, service string) {
	w := b.windowAt(now, service)
	w.requests[w.bucket%(buckets+1)]++
}

// Take reports whether a request may be sent to the service once more, and
// counts it. The allowance is shared by the given number of nodes.
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
