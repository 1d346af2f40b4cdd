package body

import (
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Budget bounds the memory of all request bodies that a process holds. A body that needs
// memory beyond it waits. Meanwhile bodies that make no progress give way, the one without
// progress for the longest time first, and then perhaps the waiting one itself. Use
// NewBudget to create a Budget.
type Budget struct {
	now   func() time.Duration
	onEnd func(error)
	turn  chan struct{} // held by the body that looks for memory; the others wait for it
	freed chan struct{} // receives a value when memory was freed

	mu      sync.Mutex
	bound   *bound
	spools  map[*account]*Spool // of the accounts that may give way
	gaveWay uint64
}

// NewBudget returns a budget of limit bytes. It calls now for the monotonic time, and
// onEnd with the error of each body that gives way; onEnd must not block.
func NewBudget(limit int64, now func() time.Duration, onEnd func(error)) *Budget {
	return &Budget{
		now: now, onEnd: onEnd, turn: make(chan struct{}, 1), freed: make(chan struct{}, 1),
		bound: newBound(limit), spools: map[*account]*Spool{},
	}
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.bound.limit }

// Used returns the number of bytes that bodies hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bound.used
}

// GaveWay returns the number of bodies that have given way.
func (b *Budget) GaveWay() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gaveWay
}

// tryReserve reserves n bytes for the spool. It reports false if there is no room.
func (b *Budget) tryReserve(s *Spool, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.account.gaveWay || !b.bound.reserve(&s.account, n) {
		return false
	}
	if s.account.held > smallBytes {
		b.spools[&s.account] = s
	}
	return true
}

// reserve reserves n bytes for the spool. It waits until there is room, and reports false if
// the spool has ended or given way before that.
func (b *Budget) reserve(s *Spool, n int64) bool {
	select {
	case b.turn <- struct{}{}:
	case <-s.ended:
		return false
	}
	defer func() { <-b.turn }()
	for !b.tryReserve(s, n) {
		victim, wait := b.giveWay()
		if victim != nil {
			victim.endUnfinished()
			if victim == s {
				return false
			}
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-b.freed:
		case <-timer.C:
		case <-s.ended:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
	return true
}

// giveWay returns a spool that must give way, or the time until there may be one.
func (b *Budget) giveWay() (*Spool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, wait := b.bound.giveWay(b.now())
	if a == nil {
		return nil, wait
	}
	b.gaveWay++
	s := b.spools[a]
	delete(b.spools, a)
	return s, 0
}

// errGaveWay is the error of a body that gives way. Such a request may be repeated.
func (b *Budget) errGaveWay() error {
	return gd.BodyStalled.Errorf("the body made no progress while the bodies of all requests held %d bytes", b.bound.limit)
}

// advance records that n bytes of the spool have arrived.
func (b *Budget) advance(s *Spool, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound.advance(b.now(), &s.account, int64(n))
}

// restart makes the time without progress of the spool begin now.
func (b *Budget) restart(s *Spool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.account.progressed = b.now()
}

// complete records that the spool needs no more memory, so that it does not give way. It
// reports false if it has given way already.
func (b *Budget) complete(s *Spool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.account.isComplete = true
	return !s.account.gaveWay
}

// free returns n bytes of the spool.
func (b *Budget) free(s *Spool, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.account.gaveWay {
		b.bound.free(&s.account, n)
		b.signalFreed()
	}
}

// release returns all bytes of the spool.
func (b *Budget) release(s *Spool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.account.gaveWay {
		b.bound.release(&s.account)
		delete(b.spools, &s.account)
		b.signalFreed()
	}
}

func (b *Budget) signalFreed() {
	select {
	case b.freed <- struct{}{}:
	default:
	}
}
