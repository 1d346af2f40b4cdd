// Package retry bounds how many attempts calls may cost beyond their first.
package retry

import "time"

const (
	maxTokens       = 10.0
	initialTokens   = 3.0
	tokensPerSecond = 0.1 // lets a caller with few calls retry at all
	MaxAttempts     = 3   // attempts per call at one node
)

// Budget allows retries in proportion to first attempts. The zero value has
// the initial allowance. The owner serialises access.
type Budget struct {
	spent       float64 // initial - tokens, so that the zero value is useful
	refilledAt  time.Duration
	hasRefilled bool
}

// Called notes a first attempt at the allowance of retries per 100 calls.
func (b *Budget) Called(now time.Duration, allowance int) {
	b.refill(now)
	b.spent = max(b.spent-float64(allowance)/100, initialTokens-maxTokens)
}

// Take reports whether a retry may be made, and counts it.
func (b *Budget) Take(now time.Duration) bool {
	b.refill(now)
	if initialTokens-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) refill(now time.Duration) {
	if b.hasRefilled {
		b.spent = max(b.spent-tokensPerSecond*(now-b.refilledAt).Seconds(), initialTokens-maxTokens)
	}
	b.refilledAt, b.hasRefilled = now, true
}
