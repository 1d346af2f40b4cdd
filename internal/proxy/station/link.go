package station

import (
	"io"
	"sync"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/placement"
)

const (
	// largeAtOnce is how many large bodies arrive at once where the link is
	// thin; more of them would hold up each other and all small requests.
	largeAtOnce = 1
	// manyAtOnce is the same where it is not, or not known.
	manyAtOnce = 64
	thinMbps   = 20 // links up to this are thin
	bitsMbps   = 1e6 / 8
)

// link takes the large bodies that come over the VM's link one after the other.
type link struct {
	bytesPerSecond float64 // 0 if it is not known
	turns          chan struct{}

	mu    sync.Mutex
	bytes int64 // that are still to come
}

func newLink(mbps float64) *link {
	n := manyAtOnce
	if mbps > 0 && mbps <= thinMbps {
		n = largeAtOnce
	}
	return &link{bytesPerSecond: mbps * bitsMbps, turns: make(chan struct{}, n)}
}

// busyFor returns the time until the bodies that were announced have arrived.
func (l *link) busyFor() time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.bytes) / l.bytesPerSecond * float64(time.Second))
}

// timeOf returns the time that a body of the given length, or -1, takes on the
// link.
func (l *link) timeOf(length int64) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(max(length, placement.LargeBody)) / l.bytesPerSecond * float64(time.Second))
}

func (l *link) add(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += n
}

// isLarge reports whether a body of the given length, or -1, takes a turn.
func (l *link) isLarge(body io.ReadCloser, length int64) bool {
	return body != nil && (length < 0 || length > placement.LargeBody)
}

// take returns the body to read in place of a large one, which waits for its
// turn; done ends that when the request does.
func (l *link) take(body io.ReadCloser, length int64, done <-chan struct{}) io.ReadCloser {
	length = max(length, placement.LargeBody)
	l.add(length)
	return &arriving{ReadCloser: body, link: l, left: length, done: done}
}

// arriving is a large body on its way over the link.
type arriving struct {
	io.ReadCloser
	link *link
	done <-chan struct{}

	mu      sync.Mutex
	left    int64
	hasTurn bool
	ended   bool
}

// Read waits for the body's turn and reads it.
func (a *arriving) Read(p []byte) (int, error) {
	if !a.begin() {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := a.ReadCloser.Read(p)
	a.mu.Lock()
	arrived := min(int64(n), a.left)
	a.left -= arrived
	a.mu.Unlock()
	a.link.add(-arrived)
	if err != nil {
		a.end()
	}
	return n, err
}

func (a *arriving) begin() bool {
	a.mu.Lock()
	hasTurn, ended := a.hasTurn, a.ended
	a.mu.Unlock()
	if hasTurn || ended {
		return !ended
	}
	select {
	case a.link.turns <- struct{}{}:
	case <-a.done:
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		<-a.link.turns
		return false
	}
	a.hasTurn = true
	return true
}

// end gives the turn to the next body.
func (a *arriving) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.link.add(-a.left)
	a.left = 0
	if a.hasTurn {
		<-a.link.turns
	}
}

// Close ends the body, whether it has arrived or not.
func (a *arriving) Close() error {
	a.end()
	return a.ReadCloser.Close()
}
