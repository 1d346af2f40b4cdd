package sink

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestNobodyReads writes far more than the buffer holds to a pipe that nobody
// reads. No write waits, and what is dropped is counted.
func TestNobodyReads(t *testing.T) {
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
	is.NoErr(w.Close()) // releases the write that is under way
	s.Close()
}

// TestTenThousandFailures has as many lines as ten thousand failures make come
// at once, to a file that takes some. Each is written whole or counted.
func TestTenThousandFailures(t *testing.T) {
	is := is.New(t)
	var b buffer
	var told atomic.Uint64
	s := New(&b, func(dropped uint64) { told.Add(dropped) })
	line := []byte(strings.Repeat("x", 300) + "\n")
	const n = 10_000
	var writers sync.WaitGroup
	for range 10 {
		writers.Go(func() {
			for range n / 10 {
				_, _ = s.Write(line) // it never fails
			}
		})
	}
	writers.Wait()
	s.Close()
	is.Equal(uint64(strings.Count(b.String(), string(line)))+s.Dropped(), uint64(n))
	is.Equal(len(b.String())%len(line), 0) // no line is cut
	is.True(told.Load() <= s.Dropped())
}

// TestAllLinesArrive where the file takes them, and what was dropped is told.
func TestAllLinesArrive(t *testing.T) {
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
