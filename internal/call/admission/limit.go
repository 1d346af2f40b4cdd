package admission

import (
	"time"

	"github.com/geraniumdock/geraniumdock/limit"
)

// minLimit is the number of requests per second that are started in any case, as only a
// response shows that a limit has been lifted.
const minLimit = 0.2

// SetLimit sets the requests per second that the server accepts. The requests that are
// already running do not count.
func (q *Queue) SetLimit(now time.Duration, perSecond float64) {
	perSecond = max(perSecond, minLimit)
	if q.bucket == nil {
		b := limit.NewBucket(now, perSecond)
		q.bucket = &b
		return
	}
	q.bucket.SetRate(now, perSecond)
}

// RemoveLimit removes the limit set by SetLimit.
func (q *Queue) RemoveLimit() { q.bucket = nil }

// limitWait returns the time until the server's limit admits the n-th of n items, or 0
// if the server has no limit.
func (q *Queue) limitWait(now time.Duration, n int) time.Duration {
	if q.bucket == nil {
		return 0
	}
	return q.bucket.Wait(now, n)
}

// LimitWait returns the time until the server's limit admits a new item that all
// waiting ones precede, or 0 if the server has no limit.
func (q *Queue) LimitWait(now time.Duration) time.Duration {
	return q.limitWait(now, len(q.waiting)+1)
}

// NextStart returns the time after which Start must be called again because the
// server's limit admits the next waiting item then. It reports false if no item waits
// for that only.
func (q *Queue) NextStart(now time.Duration) (time.Duration, bool) {
	if q.bucket == nil || len(q.waiting) == 0 || len(q.running) >= q.slots {
		return 0, false
	}
	return q.limitWait(now, 1), true
}
