package body

import "time"

const (
	// smallBytes is what a body may hold without regard to others: small bodies may use
	// smallShare of the bound in addition to it, and never give way.
	smallBytes = 8 << 10
	smallShare = 4
	// progressBytes is the number of bytes that count as progress of a body. A client that sends
	// single bytes makes none for a long time.
	progressBytes = 1 << 10
	// giveWayAfter is the time without progress after which a body gives way. It is far longer
	// than the gaps between packets of a client on a busy link of 10 Mbit/s.
	giveWayAfter = 500 * time.Millisecond
)

// account is what a bound knows of a body.
type account struct {
	held       int64         // bytes of memory
	arrived    int64         // bytes since the last progress
	progressed time.Duration // monotonic time of the last progress
	isComplete bool          // never gives way: the body has arrived, or as much as is buffered
	gaveWay    bool
}

// bound decides which bodies hold memory. The accounts of bodies that hold no more than
// smallBytes are not candidates for giving way.
type bound struct {
	limit int64
	used  int64
	large map[*account]struct{}
}

func newBound(limit int64) *bound { return &bound{limit: limit, large: map[*account]struct{}{}} }

// reserve adds n bytes to the account of a body that has not given way, and reports whether
// there is room.
func (b *bound) reserve(a *account, n int64) bool {
	limit := b.limit
	isSmall := a.held+n <= smallBytes
	if isSmall {
		limit += limit / smallShare
	}
	if b.used+n > limit {
		return false
	}
	b.used += n
	a.held += n
	if !isSmall {
		b.large[a] = struct{}{}
	}
	return true
}

// giveWay selects the body that has made no progress for the longest time, and takes its
// memory from the account. It returns nil and the time until a body gives way if none has
// been without progress for giveWayAfter.
func (b *bound) giveWay(now time.Duration) (*account, time.Duration) {
	var oldest *account
	for a := range b.large {
		if !a.isComplete && (oldest == nil || a.progressed < oldest.progressed) {
			oldest = a
		}
	}
	if oldest == nil {
		return nil, giveWayAfter
	}
	if wait := giveWayAfter - (now - oldest.progressed); wait > 0 {
		return nil, wait
	}
	b.release(oldest)
	oldest.gaveWay = true
	return oldest, 0
}

// advance records that n bytes of the body have arrived.
func (b *bound) advance(now time.Duration, a *account, n int64) {
	if a.arrived += n; a.arrived >= progressBytes {
		a.arrived, a.progressed = 0, now
	}
}

// free takes n bytes from the account.
func (b *bound) free(a *account, n int64) {
	a.held -= n
	b.used -= n
}

// release takes all memory from the account.
func (b *bound) release(a *account) {
	b.free(a, a.held)
	delete(b.large, a)
}
