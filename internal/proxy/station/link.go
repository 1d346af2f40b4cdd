package station

import (
	"io"
	"sync"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/placement"
)

const (
	// maxLargeBodiesSlowLink is how many large bodies are received at once
	// over a slow link; more would delay each other and all small requests.
	maxLargeBodiesSlowLink = 1
	// maxLargeBodies is the same limit for a fast link or one of unknown speed.
	maxLargeBodies  = 64
	slowLinkMbps    = 20 // links up to this speed are slow
	bytesPerMegabit = 1e6 / 8
)

// link limits how many large request bodies are received over the VM's network
// link at once, and counts the bytes of them that have not been received yet.
type link struct {
	bytesPerSecond float64 // 0 if unknown
	sem            chan struct{}

	mu           sync.Mutex
	pendingBytes int64 // of scheduled bodies, not yet received
}

func newLink(mbps float64) *link {
	n := maxLargeBodies
	if mbps > 0 && mbps <= slowLinkMbps {
		n = maxLargeBodiesSlowLink
	}
	return &link{bytesPerSecond: mbps * bytesPerMegabit, sem: make(chan struct{}, n)}
}

// backlog returns the time that the link needs to receive the pending bytes.
func (l *link) backlog() time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.pendingBytes) / l.bytesPerSecond * float64(time.Second))
}

// transferTime returns the time that the link needs to receive a large body. A
// length of -1 means unknown and counts as the smallest large body.
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

// isLarge reports whether a body must be scheduled. A length of -1 means unknown
// and counts as large.
func (l *link) isLarge(body io.ReadCloser, length int64) bool {
	return body != nil && (length < 0 || length > placement.LargeBody)
}

// schedule adds a large body to the pending bytes and returns the body to read in
// its place, which waits until the link has capacity for it. Closing done, when
// the request ends, stops that wait.
func (l *link) schedule(body io.ReadCloser, length int64, done <-chan struct{}) io.ReadCloser {
	length = max(length, placement.LargeBody)
	l.addPending(length)
	return &scheduledBody{ReadCloser: body, link: l, remaining: length, done: done}
}

// scheduledBody is a large body that is received over the link.
type scheduledBody struct {
	io.ReadCloser
	link *link
	done <-chan struct{}

	mu        sync.Mutex
	remaining int64 // bytes that count as pending
	acquired  bool
	released  bool
}

// Read waits until the body may be received and reads from it.
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

// acquire waits until the body may be received. It reports false if the request
// ended or the body was released before that.
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

// release lets the next body be received and removes the unread rest of this one
// from the pending bytes.
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

// Close releases and closes the body, whether or not it was read to its end.
func (b *scheduledBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
