package limit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// AskTimeout is the time after which an issuer counts as not responding.
	AskTimeout = 50 * time.Millisecond
	// prefetchTime is the time for whose measured demand a node asks in addition to the
	// requests that wait. Tokens that are not spent expire, so it is a fraction of Terms.Hold.
	prefetchTime = 30 * time.Millisecond
	// overPrefetchTime is the same while the key is over its quota. The tokens are spent at
	// once then, and fewer messages are sent.
	overPrefetchTime   = 150 * time.Millisecond
	overPeriod         = time.Second // how long a key counts as over its quota after a refusal
	allowanceHalfLife  = time.Second // of the measured demand of an Allowance
	firstContactPause  = 100 * time.Millisecond
	maxContactPause    = 3200 * time.Millisecond
	maxTermsTime       = 500 * time.Millisecond
	minTermsTime       = 100 * time.Millisecond
	maxQueryShare      = 0.4 // part of the time of the terms that a request may wait for tokens
	slackPerFirstToken = 20  // of the slack, a tenth of the margin is used for each new bucket
	// marginShare is the part of the overage on the burst and of the slack that is left as
	// the margin for nodes whose directories differ and for the first tokens of buckets.
	marginShare = 0.5
)

// Terms are the times and the burst by which tokens issued at different nodes together
// stay within the bound on a window: a window has no more runs than
// rate x (window + Hold + Query) + burst x (1 + BurstRatio) + Extra.
type Terms struct {
	Hold       time.Duration // from the request for a token to its expiry
	Query      time.Duration // the longest that a request waits for a token
	BurstRatio float64       // burst of all issuers in addition to that of the quota, relative to it
	Extra      float64       // the same, in requests
	// FirstTokens is the content of a new bucket, at most one token. Without it a quota of a
	// few requests per second would admit none for seconds.
	FirstTokens float64
}

// NewTerms returns the terms for a bound of (rate x window + burst) x (1 + overage) +
// slack requests in any window.
func NewTerms(window time.Duration, overage, slack float64) Terms {
	d := min(max(time.Duration(overage*float64(window)), minTermsTime), maxTermsTime)
	query := time.Duration(maxQueryShare * float64(d))
	return Terms{Hold: d - query, Query: query, BurstRatio: (1 - marginShare) * overage, Extra: (1 - marginShare) * slack,
		FirstTokens: min(1, slack/slackPerFirstToken)}
}

// burst returns the burst of all issuers of q.
func (t Terms) burst(q Quota) float64 { return q.Burst*(1+t.BurstRatio) + t.Extra }

// Issuers returns the number of issuers of q among n nodes, and the part of q that each
// of them issues. There are fewer than MaxIssuers if there are fewer nodes, or if the
// burst of a part would be less than the one token without which it admits no request.
func (t Terms) Issuers(q Quota, n int) (count int, part Quota) {
	burst := t.burst(q)
	count = max(1, min(MaxIssuers, n, int(burst)))
	return count, Quota{Rate: q.Rate / float64(count), Burst: max(1, burst/float64(count))}
}

// Token allows one request to run.
type Token struct{ expires time.Duration }

// Allowance holds the tokens of one key at one node, and what the node knows about the
// issuers of the key. The zero value has no tokens and no issuers. An Allowance is not
// safe for concurrent use. Times are readings of the monotonic clock.
type Allowance struct {
	batches    []batch // by expiry
	demand     float64 // requests per second
	measuredAt time.Duration
	overUntil  time.Duration // until when the key counts as over its quota
	sources    []source
	own        int // index of the node itself in sources, -1 if it is not an issuer
	first      int // index in sources of the issuer that is asked first
}

type batch struct {
	count   int
	expires time.Duration
}

// source is an issuer as a node that asks sees it.
type source struct {
	node       string
	emptyUntil time.Duration // no token is due before
}

// SetIssuers sets the nodes that issue the tokens, and the name of the node itself. The
// start says which issuer is asked first, modulo their number. It should differ between nodes.
func (a *Allowance) SetIssuers(nodes []string, own string, start int) {
	sources := make([]source, len(nodes))
	for i, node := range nodes {
		sources[i].node = node
		if j := a.indexOf(node); j >= 0 {
			sources[i] = a.sources[j]
		}
	}
	a.sources, a.own, a.first = sources, slices.Index(nodes, own), start
}

// Arrive counts a request in the measured demand.
func (a *Allowance) Arrive(now time.Duration) {
	a.decay(now)
	a.demand += math.Ln2 / allowanceHalfLife.Seconds()
}

func (a *Allowance) decay(now time.Duration) {
	a.demand *= math.Exp2(-float64(now-a.measuredAt) / float64(allowanceHalfLife))
	a.measuredAt = now
}

// Want returns the number of tokens to ask for while the given number of requests wait.
func (a *Allowance) Want(now time.Duration, waiting int) int {
	a.decay(now)
	ahead := prefetchTime
	if now < a.overUntil {
		ahead = overPrefetchTime
	}
	return max(1, waiting) + int(a.demand*ahead.Seconds())
}

// Take spends the token that expires first.
func (a *Allowance) Take(now time.Duration) (Token, bool) {
	for len(a.batches) > 0 && a.batches[0].expires <= now {
		a.batches = slices.Delete(a.batches, 0, 1)
	}
	if len(a.batches) == 0 {
		return Token{}, false
	}
	t := Token{a.batches[0].expires}
	if a.batches[0].count--; a.batches[0].count == 0 {
		a.batches = slices.Delete(a.batches, 0, 1)
	}
	return t, true
}

// Return takes back a token whose request has not run. The token expires when it would
// have, since the bound on a window holds only for tokens spent within Terms.Hold.
func (a *Allowance) Return(now time.Duration, t Token) { a.Add(now, 1, t.expires) }

// Add adds tokens that expire at the given time.
func (a *Allowance) Add(now time.Duration, count int, expires time.Duration) {
	if count <= 0 || expires <= now {
		return
	}
	i, found := slices.BinarySearchFunc(a.batches, expires, func(b batch, at time.Duration) int { return int(b.expires - at) })
	if found {
		a.batches[i].count += count
		return
	}
	a.batches = slices.Insert(a.batches, i, batch{count, expires})
}

// Next returns the issuer to ask, of those that respond and may have a token: the node
// itself, which costs no message, or the others in turn, so that no bucket overflows while
// another is empty. It returns false if there is none.
func (a *Allowance) Next(now time.Duration, c *Contacts) (node string, ok bool) {
	if a.own >= 0 && len(a.sources) > 0 && a.mayHaveTokens(now, a.own, c) {
		return a.sources[a.own].node, true
	}
	for i := range a.sources {
		if j := (a.first + i) % len(a.sources); a.mayHaveTokens(now, j, c) {
			a.first = (j + 1) % len(a.sources)
			return a.sources[j].node, true
		}
	}
	return "", false
}

func (a *Allowance) mayHaveTokens(now time.Duration, i int, c *Contacts) bool {
	s := a.sources[i]
	return s.emptyUntil <= now && c.pausedUntil(s.node) <= now
}

// Granted records the reply of an issuer that granted tokens.
func (a *Allowance) Granted(now time.Duration, node string, count int, expires time.Duration) {
	a.Add(now, count, expires)
	if i := a.indexOf(node); i >= 0 {
		a.sources[i].emptyUntil = 0
	}
}

// Refused records that an issuer has no token before the wait has passed.
func (a *Allowance) Refused(now time.Duration, node string, wait time.Duration) {
	if i := a.indexOf(node); i >= 0 {
		a.sources[i].emptyUntil = now + wait
	}
}

// Wait returns the time until an issuer may be asked again, and whether an issuer that
// responds has said that it has no tokens. Without one it is not known whether the request
// is over the quota.
func (a *Allowance) Wait(now time.Duration, c *Contacts) (wait time.Duration, isOver bool) {
	empty, paused := time.Duration(math.MaxInt64), now
	for _, s := range a.sources {
		switch until := c.pausedUntil(s.node); {
		case until > now && (paused == now || until < paused):
			paused = until
		case until <= now && s.emptyUntil > now:
			empty, isOver = min(empty, s.emptyUntil), true
		}
	}
	if isOver {
		a.overUntil = now + overPeriod
		return empty - now, true
	}
	return paused - now, false
}

func (a *Allowance) indexOf(node string) int {
	return slices.IndexFunc(a.sources, func(s source) bool { return s.node == node })
}

// Contacts holds the issuers that did not respond, for all keys of one node. The zero
// value is ready to use. It is not safe for concurrent use.
type Contacts struct {
	failed map[string]failedContact
}

type failedContact struct {
	until time.Duration
	pause time.Duration
}

// Failed records that the node did not respond to a message in time. It is not asked for
// a pause that doubles with each failure, as its VM may only be short of processor time.
func (c *Contacts) Failed(now time.Duration, node string) {
	f := c.failed[node]
	f.pause = min(max(2*f.pause, firstContactPause), maxContactPause)
	f.until = now + f.pause
	if c.failed == nil {
		c.failed = map[string]failedContact{}
	}
	c.failed[node] = f
}

// Responded records that a reply of the node has arrived.
func (c *Contacts) Responded(node string) { delete(c.failed, node) }

// Retain drops the nodes for which keep returns false.
func (c *Contacts) Retain(keep func(node string) bool) {
	maps.DeleteFunc(c.failed, func(node string, _ failedContact) bool { return !keep(node) })
}

// pausedUntil returns the time until which the node is not asked.
func (c *Contacts) pausedUntil(node string) time.Duration { return c.failed[node].until }
