// Package body buffers request and response bodies. The body of a request is
// buffered while it arrives, so that it can be sent again from its start to
// another node if the first one refuses the request.
package body

import (
	"bytes"
	"context"
	"io"
	"sync"

	gd "github.com/geraniumdock/geraniumdock"
)

// Spool is a body that one goroutine writes and others read. It buffers up to
// its limit in memory. A larger body loses the bytes that have been read, so it
// supports a single reader and can't be read from its start again. Use New to
// create a Spool.
type Spool struct {
	limit int64

	mu        sync.Mutex
	changed   sync.Cond
	data      []byte
	dropped   int64 // offset of data[0] in the body
	furthest  int64 // offset of the most advanced reader
	endErr    error // io.EOF after a complete body
	discarded bool  // set by Discard
}

// New returns an empty spool that buffers up to limit bytes.
func New(limit int64) *Spool {
	s := &Spool{limit: limit}
	s.changed.L = &s.mu
	return s
}

// Write appends p. It blocks while the buffer is full of bytes that no reader
// has read yet.
func (s *Spool) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.discarded && int64(len(s.data)) >= s.limit {
		if free := s.furthest - s.dropped; free > 0 {
			s.data = append([]byte(nil), s.data[free:]...)
			s.dropped += free
			continue
		}
		s.changed.Wait()
	}
	if !s.discarded {
		s.data = append(s.data, p...)
		s.changed.Broadcast()
	}
	return len(p), nil
}

// End marks the end of the body. The body is complete if err is nil; otherwise
// it was cut short because of err.
func (s *Spool) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		err = io.EOF
	}
	if s.endErr == nil {
		s.endErr = err
	}
	s.changed.Broadcast()
}

// Discard drops the buffered bytes. Later writes are ignored and reads fail.
func (s *Spool) Discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarded = true
	s.data = nil
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

// IsComplete reports whether the complete body has arrived and is buffered.
func (s *Spool) IsComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endErr == io.EOF && s.dropped == 0
}

// Await waits until the body is complete, has n bytes or was cut short, or ctx ends, and
// returns up to n bytes from its start. It returns none if the start is no longer buffered.
// Unlike a reader it does not free the buffer; n must not exceed the limit.
func (s *Spool) Await(ctx context.Context, n int) []byte {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.endErr == nil && !s.discarded && s.dropped == 0 && len(s.data) < n && ctx.Err() == nil {
		s.changed.Wait()
	}
	if s.dropped > 0 {
		return nil
	}
	return bytes.Clone(s.data[:min(n, len(s.data))])
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
		case r.closed || r.s.discarded || r.offset < r.s.dropped:
			return 0, gd.Unavailable.Errorf("the body was closed, discarded or is no longer buffered")
		case r.offset < r.s.dropped+int64(len(r.s.data)):
			n := copy(p, r.s.data[r.offset-r.s.dropped:])
			r.offset += int64(n)
			r.s.furthest = max(r.s.furthest, r.offset)
			r.s.changed.Broadcast()
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
