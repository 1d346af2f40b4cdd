package limit

import (
	"math"
	"time"
)

const (
	burstTime  = 250 * time.Millisecond // size of a bucket, as the time to fill it
	wholeToken = 1 - 1e-9               // a token, less the rounding errors of refills
)

// Bucket is a token bucket that admits calls at a given rate. Calls that come at once
// are admitted up to a burst of burstTime, but at least one. A Bucket starts empty. The
// zero value admits no call. A Bucket is not safe for concurrent use. Times are
// readings of the monotonic clock.
type Bucket struct {
	rate       float64 // tokens per second
	tokens     float64
	refilledAt time.Duration
}

// NewBucket returns a bucket that admits perSecond calls per second.
func NewBucket(now time.Duration, perSecond float64) Bucket {
	return Bucket{rate: perSecond, refilledAt: now}
}

// SetRate changes the rate to perSecond calls per second.
func (b *Bucket) SetRate(now time.Duration, perSecond float64) {
	b.refill(now)
	b.rate = perSecond
	b.tokens = min(b.tokens, b.burst())
}

// Take admits a call if there is a token for it.
func (b *Bucket) Take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < wholeToken {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Wait returns the time until the n-th of n waiting calls is admitted.
func (b *Bucket) Wait(now time.Duration, n int) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	switch {
	case missing <= 1-wholeToken:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

func (b *Bucket) burst() float64 {
	if b.rate <= 0 {
		return 0
	}
	return max(1, b.rate*burstTime.Seconds())
}

// refill adds the tokens that are due for the time since the last refill.
func (b *Bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.burst())
	b.refilledAt = now
}
