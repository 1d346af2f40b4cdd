// Package retry bounds the number of retries with a token bucket.
package retry

import "time"

const (
	maxTokens       = 10.0
	initialTokens   = 3.0
	tokensPerSecond = 0.1 // without it, a caller with few calls could not retry at all
	MaxAttempts     = 3   // attempts that one node makes for a call, including the first
)

// Budget allows retries in proportion to first attempts. A retry costs one token.
// The zero value has the initial tokens. A Budget is not safe for concurrent use.
type Budget struct {
	spent       float64       // initialTokens minus the current tokens, so that the zero value is useful
	refilledAt  time.Duration // time of the last refill
	hasRefilled bool
}

// AddCall counts the first attempt of a call. The allowance is the number of
// retries per 100 calls.
func (b *Budget) AddCall(now time.Duration, allowance int) {
	b.refill(now)
	b.spent = max(b.spent-float64(allowance)/100, initialTokens-maxTokens)
}

// Take reports whether a retry is allowed, and counts it if so.
func (b *Budget) Take(now time.Duration) bool {
	b.refill(now)
	if initialTokens-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// refill adds the tokens that are due for the time since the last refill.
func (b *Budget) refill(now time.Duration) {
	if b.hasRefilled {
		b.spent = max(b.spent-tokensPerSecond*(now-b.refilledAt).Seconds(), initialTokens-maxTokens)
	}
	b.refilledAt, b.hasRefilled = now, true
}
