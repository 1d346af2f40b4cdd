// Package retry bounds how many attempts calls may cost beyond their first.
package retry

import "time"

const (
	burst       = 10.0
	initial     = 3.0
	perSecond   = 0.1 // lets a caller with few calls retry at all
	MaxAttempts = 3   // attempts per call at one node
)

// Budget allows retries in proportion to first attempts. The zero value has
// the initial allowance. The owner serialises access.
type Budget struct {
	spent  float64 // initial - tokens, so that the zero value is useful
	last   time.Duration
	filled bool
}

// Called notes a first attempt at the allowance of retries per 100 calls.
func (b *Budget) Called(now time.Duration, allowance int) {
	b.fill(now)
	b.spent = max(b.spent-float64(allowance)/100, initial-burst)
}

// Take reports whether a retry may be made, and counts it.
func (b *Budget) Take(now time.Duration) bool {
	b.fill(now)
	if initial-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) fill(now time.Duration) {
	if b.filled {
		b.spent = max(b.spent-perSecond*(now-b.last).Seconds(), initial-burst)
	}
	b.last, b.filled = now, true
}
