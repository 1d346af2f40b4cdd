// Package body holds the body of a request while it arrives, so that it can be
// sent to another node from its start when the first one refuses it.
package body

import (
	"io"
	"sync"

	gd "github.com/geraniumdock/geraniumdock"
)

// Spool is a body that one goroutine writes and others read. It keeps up to
// its limit in memory; beyond that only one reader can follow, and the body can
// no longer be read from its start. Use New.
type Spool struct {
	limit int64

	mu        sync.Mutex
	changed   sync.Cond
	data      []byte
	dropped   int64 // bytes before data[0] that are gone
	furthest  int64 // position of the reader that is furthest
	endErr    error // io.EOF after the whole body
	discarded bool  // nobody reads any more
}

// New returns an empty spool that keeps up to limit bytes.
func New(limit int64) *Spool {
	s := &Spool{limit: limit}
	s.changed.L = &s.mu
	return s
}

// Write appends p and waits while more than the limit is kept for a reader.
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

// End marks the end of the body: whole if err is nil, else cut.
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

// Discard drops what was kept; later writes are thrown away and readers fail.
func (s *Spool) Discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarded = true
	s.data = nil
	s.changed.Broadcast()
}

// Err returns why the body was cut, or nil if it was not.
func (s *Spool) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr == io.EOF {
		return nil
	}
	return s.endErr
}

// IsComplete reports whether the whole body has arrived and is kept.
func (s *Spool) IsComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endErr == io.EOF && s.dropped == 0
}

// Reader returns a reader from the start of the body, or an error of kind
// Unavailable if the start is not kept any more.
func (s *Spool) Reader() (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped > 0 || s.discarded {
		return nil, gd.Unavailable.Errorf("the start of the body is not kept any more")
	}
	return &reader{s: s}, nil
}

type reader struct {
	s      *Spool
	offset int64
	closed bool
}

// Read waits for the next bytes.
func (r *reader) Read(p []byte) (int, error) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for {
		switch {
		case r.closed || r.s.discarded || r.offset < r.s.dropped:
			return 0, gd.Unavailable.Errorf("the body is not read any more")
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

// Close ends a Read that waits.
func (r *reader) Close() error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.closed = true
	r.s.changed.Broadcast()
	return nil
}
