package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request and its repeats.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request, a hash of its caller, method,
// target and body, or of the first bytes of its body.
func FingerprintOf(caller, method, target string, body []byte) Fingerprint {
	h := NewHash(caller, method, target)
	_, _ = h.digest.Write(body) // never fails
	return Fingerprint(h.digest.Sum64())
}

const (
	// MaxHashedBytes is the length of the body that counts for a Hash. Requests whose
	// bodies differ only after it have the same fingerprints.
	MaxHashedBytes = 512 << 10
	// firstPrefixBytes is the length of the shortest prefix of a body, other than the
	// empty one, that has a fingerprint. Each further one is twice as long.
	firstPrefixBytes = 1 << 10
)

// Hash computes the fingerprints of a request while its body is transferred: that of the
// whole body, and those of its prefixes of certain lengths, by which a request is recognized
// whose body was not transferred completely. It is not safe for concurrent use.
type Hash struct {
	digest   xxhash.Digest
	length   int
	next     int // length of the next prefix
	prefixes []Fingerprint
	first    [2]Fingerprint // the first elements of prefixes, which suffice for most requests
}

// NewHash returns the hash of a request without a body.
func NewHash(caller, method, target string) *Hash {
	h := &Hash{next: firstPrefixBytes}
	h.digest.Reset()
	for _, s := range []string{caller, method, target} {
		_, _ = h.digest.WriteString(s) // never fails
		_, _ = h.digest.WriteString("\x00")
	}
	h.prefixes = append(h.first[:0], h.sum())
	return h
}

// WithLength adds the length of the body that the request states, -1 for none, and returns h.
// It counts as a prefix that is shorter than the others: a server may crash before enough of
// the body has been transferred to tell the request from others.
func (h *Hash) WithLength(n int64) *Hash {
	stated := h.digest
	_, _ = stated.WriteString("length ")
	_, _ = stated.WriteString(strconv.FormatInt(n, 10))
	h.prefixes = append(h.prefixes, Fingerprint(stated.Sum64()))
	return h
}

func (h *Hash) sum() Fingerprint { return Fingerprint(h.digest.Sum64()) }

// Write appends p to the body. It never fails.
func (h *Hash) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0 && h.length < MaxHashedBytes; {
		n := min(len(rest), h.next-h.length)
		_, _ = h.digest.Write(rest[:n])
		rest = rest[n:]
		if h.length += n; h.length == h.next {
			h.prefixes = append(h.prefixes, h.sum())
			h.next *= 2
		}
	}
	return len(p), nil
}

// Head returns the fingerprint of the request without its body.
func (h *Hash) Head() Fingerprint { return h.prefixes[0] }

// Whole returns the fingerprint of the request if what was written is its whole body.
func (h *Hash) Whole() Fingerprint { return h.sum() }

// Longest returns the fingerprint of the longest prefix of the body that was written.
func (h *Hash) Longest() Fingerprint { return h.prefixes[len(h.prefixes)-1] }

// All returns the fingerprints of the prefixes and that of the whole body.
func (h *Hash) All() []Fingerprint {
	return append(h.prefixes[:len(h.prefixes):len(h.prefixes)], h.sum())
}

// HashOf returns the hash of a request with the given body.
func HashOf(caller, method, target string, body []byte) *Hash {
	h := NewHash(caller, method, target)
	_, _ = h.Write(body)
	return h
}
