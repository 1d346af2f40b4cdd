package limit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxIssuers is the number of nodes that issue the tokens of one key, unless there
	// are fewer nodes.
	MaxIssuers = 4
	// handoverDelay is the time from which a node is an issuer to the start of its bucket.
	// A node with an older directory still asks the issuer before it for as long as gossip
	// takes, about 1 s.
	handoverDelay = time.Second
	// maxRetainInterval is the time without a call of Retain after which the buckets are
	// emptied. The process was paused, and other nodes may have taken its place.
	maxRetainInterval = 2 * time.Second
	// maxWait bounds the wait for the tokens promised to earlier askers, since some of them may
	// not come back.
	maxWait = 500 * time.Millisecond
)

// TokenRequest asks an issuer for tokens of a key.
type TokenRequest struct {
	Key  string
	Want int
}

// TokenReply is the reply of an issuer to a TokenRequest.
type TokenReply struct {
	Granted int
	Wait    time.Duration // until a token is due, if none was granted
	Unknown bool          // the node does not issue tokens of the key, or not yet
}

// Quota is a limit on the requests of one key over all nodes.
type Quota struct {
	Rate  float64 // requests per second
	Burst float64 // requests that may come at once in addition
}

// FirstNodes returns the indices of the first count nodes, at most MaxIssuers+1, by
// rendezvous hash of key and node. Every node that knows the same names gets the same result.
func FirstNodes(key string, nodes []string, count int) []int {
	var scores [MaxIssuers + 1]uint64
	first := make([]int, 0, len(scores))
	keyHash := xxhash.Sum64String(key)
	for i, node := range nodes {
		score := rendezvous(keyHash, node)
		at := len(first)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == count {
			continue
		}
		if len(first) < count {
			first = append(first, 0)
		}
		copy(first[at+1:], first[at:])
		copy(scores[at+1:count], scores[at:])
		first[at], scores[at] = i, score
	}
	return first
}

func rendezvous(keyHash uint64, node string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], keyHash)
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(node))
	return xxhash.Sum64(pair[:])
}

// Issuer holds the token buckets of the keys that one node issues for. A bucket is empty
// when the node begins to issue, but for FirstTokens, so that tokens are not issued twice if
// the process was restarted or another node issued before. The zero value is ready to use. An
// Issuer is not safe for concurrent use. Times are readings of the monotonic clock.
type Issuer struct {
	FirstTokens float64 // in a new bucket, see Terms

	buckets    map[string]*issuerBucket
	retainedAt time.Duration
}

type issuerBucket struct {
	part     Quota
	tokens   float64
	filledAt time.Duration // in the future until the hand-over has ended, when tokens begin to be issued
	promised time.Duration // until when the tokens are promised to earlier askers
}

// Issue takes up to want tokens from the bucket of key, which is filled at rate up to
// burst. If there is none, it returns the time until a token is due for the asker;
// askers that come at once are told different times. With want 0 it only creates the bucket.
func (s *Issuer) Issue(now time.Duration, key string, rate, burst float64, want int) (granted int, wait time.Duration) {
	s.emptyAfterPause(now)
	b, ok := s.buckets[key]
	if !ok {
		if s.buckets == nil {
			s.buckets = map[string]*issuerBucket{}
		}
		b = &issuerBucket{tokens: s.FirstTokens, filledAt: now + handoverDelay}
		s.buckets[key] = b
	}
	b.fill(now)
	b.part = Quota{rate, burst}
	b.tokens = min(b.tokens, burst)
	if want <= 0 {
		return 0, 0
	}
	if granted = min(want, int(b.tokens+1-wholeToken)); granted > 0 && b.filledAt <= now {
		b.tokens = max(0, b.tokens-float64(granted))
		return granted, 0
	}
	return 0, b.promise(now, want)
}

// Introduce creates a full bucket of key, if there is none. It is called for a quota that
// the key did not have before, so that no tokens were issued.
func (s *Issuer) Introduce(now time.Duration, key string, rate, burst float64) {
	if _, ok := s.buckets[key]; ok {
		return
	}
	s.Issue(now, key, rate, burst, 0)
	s.buckets[key].tokens, s.buckets[key].filledAt = burst, now
}

// HasStarted reports whether the bucket of key exists and has started. An issuer whose bucket
// has not does not know whether the quota is used up.
func (s *Issuer) HasStarted(now time.Duration, key string) bool {
	b, ok := s.buckets[key]
	return ok && b.filledAt <= now
}

// Defer postpones the start of the bucket of key by handoverDelay, unless it has started. It
// is called while the node that a new issuer replaces does not respond: that node may not know
// that it is no longer an issuer.
func (s *Issuer) Defer(now time.Duration, key string) {
	if b, ok := s.buckets[key]; ok && b.filledAt > now {
		b.filledAt = now + handoverDelay
	}
}

// Retain drops the buckets of the keys for which keep returns false. It is called
// regularly, while the node knows that it issues.
func (s *Issuer) Retain(now time.Duration, keep func(key string) bool) {
	s.emptyAfterPause(now)
	s.retainedAt = now
	for key := range s.buckets {
		if !keep(key) {
			delete(s.buckets, key)
		}
	}
}

// emptyAfterPause starts all buckets anew if the process was paused.
func (s *Issuer) emptyAfterPause(now time.Duration) {
	if now-s.retainedAt <= maxRetainInterval {
		return
	}
	s.retainedAt = now
	clear(s.buckets)
}

// fill adds the tokens that are due for the time since the last call.
func (b *issuerBucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.tokens = min(b.tokens+b.part.Rate*(now-b.filledAt).Seconds(), b.part.Burst)
	b.filledAt = now
}

// promise returns the time until a token is due for an asker that wants tokens, after
// those that were promised to earlier askers.
func (b *issuerBucket) promise(now time.Duration, want int) time.Duration {
	due := max(now, b.filledAt) + tokenTime(1-b.tokens, b.part.Rate)
	due = max(due, min(b.promised, now+maxWait))
	b.promised = due + tokenTime(float64(want), b.part.Rate)
	return max(due-now, time.Millisecond)
}

// tokenTime returns the time that a bucket takes to get n tokens.
func tokenTime(n, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return time.Duration(min(math.Ceil(n/rate*float64(time.Second)), float64(time.Hour)))
}
