package station

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

// exchange is a request that has been sent to the server.
type exchange struct {
	body     *sentBody
	sentTo   platform.Announcement
	deadline time.Duration // monotonic time until which the server works on it
	ranWell  bool          // the response shows that the request ran, and not into an error of the server
}

// isRunResponse reports whether the response shows that the server has run the request
// without an error of its own.
func isRunResponse(res *http.Response) bool {
	switch res.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return res.StatusCode < http.StatusInternalServerError && !platform.IsNotRun(res)
}

// sentBody is the body of a request that is sent to the server. It hashes what is read.
type sentBody struct {
	trackedBody
	mu   sync.Mutex // guards hash
	hash *quarantine.Hash
}

// newSentBody returns the body of the request with the given hash and length, -1 if that is
// unknown. If in is nil or the length is 0, the request has no body.
func newSentBody(hash *quarantine.Hash, in io.ReadCloser, length int64) *sentBody {
	b := &sentBody{trackedBody: trackedBody{ReadCloser: in}, hash: hash}
	if in == nil || in == http.NoBody || length == 0 {
		b.complete.Store(true)
	}
	return b
}

// Read reads the body.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	_, _ = b.hash.Write(p[:n]) // never fails
	b.mu.Unlock()
	b.note(err)
	return n, err
}

// fingerprint returns the fingerprint of the request, as far as its body was sent, and that
// of its head.
func (b *sentBody) fingerprint() (whole, head quarantine.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isComplete() {
		return b.hash.Whole(), b.hash.Head()
	}
	return b.hash.Longest(), b.hash.Head()
}

// fingerprints returns all fingerprints of the request.
func (b *sentBody) fingerprints() []quarantine.Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hash.All()
}

// trackedBody records how the reads of a body ended.
type trackedBody struct {
	io.ReadCloser
	complete, failed atomic.Bool
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.note(err)
	return n, err
}

// note records the error of a read.
func (b *trackedBody) note(err error) {
	switch {
	case err == io.EOF:
		b.complete.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
}

// isComplete reports whether the body was read to its end.
func (b *trackedBody) isComplete() bool { return b.complete.Load() }

// hasFailed reports whether a read failed.
func (b *trackedBody) hasFailed() bool { return b.failed.Load() }
