package budget

import "time"

// Use returns the fraction of the allowed retries like r that have been taken in the window,
// or 1 if none is allowed.
func (b *Budget) Use(now time.Duration, service string, nodes int, r Retry) float64 {
	w := b.windowAt(now, service)
	requests, retries, reruns := 0, 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
		reruns += w.reruns[i]
	}
	allowed := b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(nodes, 1))
	allowedFirst := allowed
	if !r.IsRepeat {
		allowedFirst *= b.limits.FirstShare
	}
	use := ratio(retries, allowedFirst)
	if r.IsRerun {
		use = max(use, ratio(reruns, b.limits.RerunShare*allowed))
	}
	return use
}

func ratio(taken int, allowed float64) float64 {
	if allowed <= 0 {
		return 1
	}
	return float64(taken) / allowed
}
