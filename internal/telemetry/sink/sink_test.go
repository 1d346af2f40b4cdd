package sink

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestUnreadPipe writes far more than the buffer holds to a pipe that nobody
// reads. It guards against a logging goroutine that blocks: no write may wait, and
// dropped lines must be counted.
func TestUnreadPipe(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	s := New(w, nil)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	const n = 10_000
	for range n {
		_, err := s.Write(line)
		is.NoErr(err)
	}
	is.True(s.Dropped() > n/2)
	is.NoErr(w.Close()) // unblocks the pending write
	s.Close()
}

// TestConcurrentWrites writes as many lines as ten thousand failed requests log
// at once, more than the buffer holds. Each line must be either written whole or
// counted as dropped.
func TestConcurrentWrites(t *testing.T) {
	is := is.New(t)
	var b buffer
	var reported atomic.Uint64
	s := New(&b, func(dropped uint64) { reported.Add(dropped) })
	line := []byte(strings.Repeat("x", 300) + "\n")
	const n = 10_000
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			for range n / 10 {
				_, _ = s.Write(line) // never returns an error
			}
		})
	}
	wg.Wait()
	s.Close()
	is.Equal(uint64(strings.Count(b.String(), string(line)))+s.Dropped(), uint64(n))
	is.Equal(len(b.String())%len(line), 0) // no line is truncated
	is.True(reported.Load() <= s.Dropped())
}

// TestAllLinesWritten checks that no line is dropped while the buffer has room.
func TestAllLinesWritten(t *testing.T) {
	is := is.New(t)
	var b buffer
	s := New(&b, func(uint64) {})
	for range 100 {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	s.Close()
	is.Equal(strings.Count(b.String(), "line\n"), 100)
	is.Equal(s.Dropped(), uint64(0))
}

type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
