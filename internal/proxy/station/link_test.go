package station

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func bodyOf(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("x", n))) }

// TestLargeBodiesTakeTurns checks that on a slow link a second large body waits
// until the first has arrived or is closed.
func TestLargeBodiesTakeTurns(t *testing.T) {
	const size = 100_000
	for name, finish := range map[string]func(io.ReadCloser) error{
		"arrived":      func(b io.ReadCloser) error { _, err := io.Copy(io.Discard, b); return err },
		"closed early": func(b io.ReadCloser) error { return b.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(5)
			first, second := l.schedule(bodyOf(size), size, nil), l.schedule(bodyOf(size), size, nil)
			is.Equal(l.backlog(), 320*time.Millisecond) // 200,000 bytes at 5 Mbit/s
			_, err := first.Read(make([]byte, 1))
			is.NoErr(err)
			secondRead := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, second)
				secondRead <- err
			}()
			select {
			case <-secondRead:
				t.Fatal("the second body did not wait for the first")
			case <-time.After(5 * time.Millisecond):
			}
			is.NoErr(finish(first))
			is.NoErr(<-secondRead)
			is.NoErr(second.Close())
			is.Equal(l.backlog(), time.Duration(0))
		})
	}
}

// TestRequestEndsWhileBodyWaits checks that a large body whose request ends while
// it waits for the link neither blocks later bodies nor stays in the backlog.
func TestRequestEndsWhileBodyWaits(t *testing.T) {
	is := is.New(t)
	l := newLink(5)
	first := l.schedule(bodyOf(50_000), 50_000, nil)
	_, err := first.Read(make([]byte, 1))
	is.NoErr(err)
	done := make(chan struct{})
	close(done)
	second := l.schedule(bodyOf(50_000), 50_000, done)
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil)
	is.NoErr(second.Close())
	is.NoErr(first.Close())
	is.Equal(l.backlog(), time.Duration(0))
	third := l.schedule(bodyOf(50_000), 50_000, nil)
	_, err = io.Copy(io.Discard, third)
	is.NoErr(err)
}

func TestSmallBodiesDoNotWait(t *testing.T) {
	is := is.New(t)
	l := newLink(5)
	is.True(!l.isLarge(bodyOf(100), 100))
	is.True(!l.isLarge(nil, 0))
	is.True(l.isLarge(bodyOf(50_000), 50_000))
	is.True(l.isLarge(bodyOf(100), -1)) // unknown length
}
