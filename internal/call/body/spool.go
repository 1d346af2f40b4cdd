// Package body buffers request and response bodies. The body of a request is
// buffered while it arrives, so that it can be sent again from its start to
// another node if the first one refuses the request.
package body

import (
	"context"
	"io"
	"sync"

	gd "github.com/geraniumdock/geraniumdock"
)

// Sizes of the blocks in which a spool holds a body. They grow with the body, so that little of
// a block is unused however small the parts are in which the body arrives.
const (
	minBlockBytes = 512
	maxBlockBytes = 16 << 10
	// minBlocks is the number of the largest blocks that a full spool has at least.
	minBlocks = 4
)

// Spool is a body that one goroutine writes and others read. It buffers up to
// its limit in memory. A larger body loses the bytes that have been read, so it
// supports a single reader and can't be read from its start again. Use New or
// NewBounded to create a Spool.
type Spool struct {
	limit     int64
	budget    *Budget // nil if the memory is not bounded
	interrupt func()  // ends a pending read of the source when the spool gives way
	account   account // guarded by the budget
	ended     chan struct{}
	first     int64 // bytes of the first block

	mu        sync.Mutex
	changed   sync.Cond
	blocks    [][]byte
	scratch   []byte // for the bytes that arrive after Discard
	arrived   int64  // length of the body so far
	dropped   int64  // offset of blocks[0] in the body
	furthest  int64  // offset of the most advanced reader
	endErr    error  // io.EOF after a complete body
	gaveWay   bool   // the buffered bytes are lost
	discarded bool   // set by Discard
	onFailure func()
}

// New returns an empty spool that buffers up to limit bytes.
func New(limit int64) *Spool { return NewBounded(limit, nil, nil) }

// NewBounded returns an empty spool that buffers up to limit bytes, which count in budget
// unless it is nil. If the spool gives way it calls interrupt, which must end a pending read
// of the source.
func NewBounded(limit int64, budget *Budget, interrupt func()) *Spool {
	s := &Spool{limit: limit, budget: budget, interrupt: interrupt, first: minBlockBytes}
	s.changed.L = &s.mu
	if budget != nil {
		s.ended = make(chan struct{})
		s.account.progressed = budget.now()
	}
	return s
}

// Expect prepares for a body of the given length. It must precede the first call of Space.
func (s *Spool) Expect(length int64) { s.first = max(1, min(length, smallBytes)) }

// Space returns memory for the next bytes of the body, of which the writer reports those that
// it fills to Advance. It blocks while the buffer is full of bytes that no reader has read yet,
// or the budget is used up. It fails if the body has ended.
func (s *Spool) Space() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := false
	for {
		switch {
		case s.endErr != nil:
			return nil, s.endErr
		case s.discarded:
			if s.scratch == nil {
				s.scratch = make([]byte, minBlockBytes*8)
			}
			return s.scratch, nil
		case s.buffered() >= s.limit && !s.dropRead():
			s.changed.Wait()
			waited = true
			continue
		}
		if n := len(s.blocks); n > 0 && len(s.blocks[n-1]) < cap(s.blocks[n-1]) {
			block := s.blocks[n-1]
			if waited && s.budget != nil {
				s.budget.restart(s) // the client could not send
			}
			return block[len(block):cap(block)], nil
		}
		waited = s.addBlock() || waited
	}
}

// addBlock adds an empty block, and reports whether it had to wait for memory. It adds none if
// the body ends meanwhile. The caller holds s.mu, which addBlock releases while it waits.
func (s *Spool) addBlock() (waited bool) {
	size := s.first
	if s.arrived > 0 {
		size = max(minBlockBytes, s.buffered())
	}
	size = max(min(size, maxBlockBytes, s.limit/minBlocks), 1)
	if s.budget != nil && !s.budget.tryReserve(s, size) {
		if s.dropRead() {
			return false // the next call finds room, or waits
		}
		s.mu.Unlock()
		ok := s.budget.reserve(s, size)
		s.mu.Lock()
		if !ok {
			return true
		}
		if s.endErr != nil || s.discarded {
			s.budget.free(s, size)
			return true
		}
		waited = true
	}
	s.blocks = append(s.blocks, make([]byte, 0, size))
	return waited
}

// buffered returns the number of bytes in the blocks.
func (s *Spool) buffered() int64 { return s.arrived - s.dropped }

// dropRead drops the first block if it has been read, and reports whether it did.
func (s *Spool) dropRead() bool {
	if len(s.blocks) == 0 {
		return false
	}
	first := s.blocks[0]
	if len(first) == 0 || s.furthest < s.dropped+int64(len(first)) {
		return false
	}
	s.dropped += int64(len(first))
	s.blocks[0] = nil
	s.blocks = s.blocks[1:]
	if s.budget != nil {
		s.budget.free(s, int64(cap(first)))
	}
	return true
}

// Advance appends the first n bytes of the memory that Space returned last.
func (s *Spool) Advance(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == 0 || s.discarded || s.endErr != nil {
		return
	}
	last := len(s.blocks) - 1
	s.blocks[last] = s.blocks[last][:len(s.blocks[last])+n]
	s.arrived += int64(n)
	if s.budget != nil {
		s.budget.advance(s, n)
	}
	s.changed.Broadcast()
}

// Write appends p. It blocks like Space.
func (s *Spool) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		space, err := s.Space()
		if err != nil {
			return written, err
		}
		n := copy(space, p[written:])
		s.Advance(n)
		written += n
	}
	return written, nil
}

// Fill appends what it reads from r until r ends or the buffer is full. It reports whether r
// has ended.
func (s *Spool) Fill(r io.Reader) (ended bool, err error) {
	for s.Arrived() < s.limit {
		space, err := s.Space()
		if err != nil {
			return false, err
		}
		n, err := r.Read(space)
		s.Advance(n)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			if failure := s.Err(); failure != nil {
				err = failure
			}
			return false, err
		}
	}
	return false, nil
}

// End marks the end of the body. The body is complete if err is nil; otherwise
// it was cut short because of err.
func (s *Spool) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		if s.budget != nil && !s.budget.complete(s) {
			return // endUnfinished follows
		}
		err = io.EOF
	}
	s.end(err)
}

// end sets the error of the end of the body. The caller holds s.mu.
func (s *Spool) end(err error) {
	if s.endErr != nil {
		return
	}
	s.endErr = err
	if !s.discarded && s.ended != nil {
		close(s.ended)
	}
	s.changed.Broadcast()
	if err != io.EOF && s.onFailure != nil {
		s.onFailure()
	}
}

// endUnfinished ends a body that gives way, and drops its bytes.
func (s *Spool) endUnfinished() {
	err := s.budget.errGaveWay()
	s.mu.Lock()
	s.gaveWay, s.blocks = true, nil
	s.end(err)
	s.mu.Unlock()
	s.budget.onEnd(err)
	s.interrupt()
}

// OnFailure has f called when the body is cut short, or at once if it has been. It replaces
// the function of an earlier call; nil removes it. f must not block.
func (s *Spool) OnFailure(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFailure = f
	if f != nil && s.endErr != nil && s.endErr != io.EOF {
		f()
	}
}

// Discard drops the buffered bytes. Later writes are ignored and reads fail.
func (s *Spool) Discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discarded {
		return
	}
	if s.endErr == nil && s.ended != nil {
		close(s.ended)
	}
	s.discarded = true
	s.blocks = nil
	if s.budget != nil {
		s.budget.release(s)
	}
	s.changed.Broadcast()
}

// Err returns the error that cut the body short, or nil.
func (s *Spool) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr == io.EOF {
		return nil
	}
	return s.endErr
}

// Arrived returns the number of bytes that have arrived.
func (s *Spool) Arrived() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

// IsComplete reports whether the complete body has arrived and is buffered.
func (s *Spool) IsComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endErr == io.EOF && s.dropped == 0
}

// HasEnded reports whether the body has arrived or was cut short.
func (s *Spool) HasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endErr != nil
}

// Await waits until the body is complete, has n bytes or was cut short, or ctx ends, and
// returns up to n bytes from its start. It returns none if the start is no longer buffered.
// Unlike a reader it does not free the buffer; n must not exceed the limit.
func (s *Spool) Await(ctx context.Context, n int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.await(ctx, int64(n))
	if s.dropped > 0 || s.gaveWay {
		return nil
	}
	p := make([]byte, min(int64(n), s.buffered()))
	for copied := 0; copied < len(p); {
		copied += s.copyFrom(p[copied:], int64(copied))
	}
	return p
}

// AwaitBuffered waits until the body has ended or the buffer is full, or ctx ends. It returns
// the error that cut the body short, or that of ctx.
func (s *Spool) AwaitBuffered(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.await(ctx, s.limit)
	if s.endErr != nil && s.endErr != io.EOF {
		return s.endErr
	}
	return ctx.Err()
}

// await waits until n bytes are buffered, the body has ended or lost its start, or ctx
// ends. The caller holds s.mu.
func (s *Spool) await(ctx context.Context, n int64) {
	isDue := func() bool {
		return s.endErr != nil || s.discarded || s.dropped > 0 || s.buffered() >= n || ctx.Err() != nil
	}
	if isDue() {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	for !isDue() {
		s.changed.Wait()
	}
}

// Reader returns a reader from the start of the body, or an error of kind
// Unavailable if the start is no longer buffered.
func (s *Spool) Reader() (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped > 0 || s.discarded {
		return nil, gd.Unavailable.Errorf("the start of the body is no longer buffered")
	}
	return &reader{s: s}, nil
}

// copyFrom copies buffered bytes from the given offset of the body. The caller holds s.mu.
func (s *Spool) copyFrom(p []byte, offset int64) int {
	n := 0
	begin := s.dropped
	for _, block := range s.blocks {
		if end := begin + int64(len(block)); offset < end && n < len(p) {
			copied := copy(p[n:], block[offset-begin:])
			n += copied
			offset += int64(copied)
		}
		begin += int64(len(block))
	}
	return n
}

// reader reads a spool from the start of the body.
type reader struct {
	s      *Spool
	offset int64
	closed bool
}

// Read blocks until bytes are available or the body has ended.
func (r *reader) Read(p []byte) (int, error) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for {
		switch {
		case r.s.gaveWay:
			return 0, r.s.endErr
		case r.closed || r.s.discarded || r.offset < r.s.dropped:
			return 0, gd.Unavailable.Errorf("the body was closed, discarded or is no longer buffered")
		case r.offset < r.s.arrived:
			n := r.s.copyFrom(p, r.offset)
			r.offset += int64(n)
			if r.offset > r.s.furthest {
				r.s.furthest = r.offset
				r.s.changed.Broadcast()
			}
			return n, nil
		case r.s.endErr != nil:
			return 0, r.s.endErr
		}
		r.s.changed.Wait()
	}
}

// Close makes pending and later calls of Read fail.
func (r *reader) Close() error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.closed = true
	r.s.changed.Broadcast()
	return nil
}

// AwaitBuffered is like that of Spool.
func (r *reader) AwaitBuffered(ctx context.Context) error { return r.s.AwaitBuffered(ctx) }

// Err returns the error that cut the body short, or nil.
func (r *reader) Err() error { return r.s.Err() }
