package station

import (
	"io"
	"sync"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/placement"
)

const (
	// maxLargeBodiesSlowLink is how many large bodies arrive at once where the link is
	// thin; more of them would hold up each other and all small requests.
	maxLargeBodiesSlowLink = 1
	// maxLargeBodies is the same where it is not, or not known.
	maxLargeBodies  = 64
	slowLinkMbps    = 20 // links up to this are thin
	bytesPerMegabit = 1e6 / 8
)

// link takes the large bodies that come over the VM's link one after the other.
type link struct {
	bytesPerSecond float64 // 0 if it is not known
	sem            chan struct{}

	mu           sync.Mutex
	pendingBytes int64 // that are still to come
}

func newLink(mbps float64) *link {
	n := maxLargeBodies
	if mbps > 0 && mbps <= slowLinkMbps {
		n = maxLargeBodiesSlowLink
	}
	return &link{bytesPerSecond: mbps * bytesPerMegabit, sem: make(chan struct{}, n)}
}

// backlog returns the time until the bodies that were announced have arrived.
func (l *link) backlog() time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.pendingBytes) / l.bytesPerSecond * float64(time.Second))
}

// transferTime returns the time that a body of the given length, or -1, takes on the
// link.
func (l *link) transferTime(length int64) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(max(length, placement.LargeBody)) / l.bytesPerSecond * float64(time.Second))
}

func (l *link) addPending(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes += n
}

// isLarge reports whether a body of the given length, or -1, takes a turn.
func (l *link) isLarge(body io.ReadCloser, length int64) bool {
	return body != nil && (length < 0 || length > placement.LargeBody)
}

// schedule returns the body to read in place of a large one, which waits for its
// turn; done ends that when the request does.
func (l *link) schedule(body io.ReadCloser, length int64, done <-chan struct{}) io.ReadCloser {
	length = max(length, placement.LargeBody)
	l.addPending(length)
	return &scheduledBody{ReadCloser: body, link: l, remaining: length, done: done}
}

// scheduledBody is a large body on its way over the link.
type scheduledBody struct {
	io.ReadCloser
	link *link
	done <-chan struct{}

	mu        sync.Mutex
	remaining int64
	acquired  bool
	released  bool
}

// Read waits for the body's turn and reads it.
func (b *scheduledBody) Read(p []byte) (int, error) {
	if !b.acquire() {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	arrived := min(int64(n), b.remaining)
	b.remaining -= arrived
	b.mu.Unlock()
	b.link.addPending(-arrived)
	if err != nil {
		b.release()
	}
	return n, err
}

func (b *scheduledBody) acquire() bool {
	b.mu.Lock()
	acquired, released := b.acquired, b.released
	b.mu.Unlock()
	if acquired || released {
		return !released
	}
	select {
	case b.link.sem <- struct{}{}:
	case <-b.done:
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		<-b.link.sem
		return false
	}
	b.acquired = true
	return true
}

// release gives the turn to the next body.
func (b *scheduledBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return
	}
	b.released = true
	b.link.addPending(-b.remaining)
	b.remaining = 0
	if b.acquired {
		<-b.link.sem
	}
}

// Close ends the body, whether it has arrived or not.
func (b *scheduledBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
