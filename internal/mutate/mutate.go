// Package mutate generates corrupted copies of valid input for tests of decoders.
// It uses a fixed seed, so that a test gives the same result on every run.
package mutate

import (
	"iter"
	"math/rand/v2"
	"slices"
)

const (
	seed         = 20261204
	maxEdits     = 6 // maximum number of edits of one copy
	maxEditBytes = 8 // maximum number of bytes that one edit inserts or deletes
)

// Copies returns n copies of data. In each, up to maxEdits random edits change,
// duplicate or delete bytes or truncate the copy. The same data gives the same
// copies, and data itself is not changed.
func Copies(data []byte, n int) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		rng := rand.New(rand.NewPCG(seed, uint64(len(data))))
		for range n {
			if !yield(corrupt(rng, data)) {
				return
			}
		}
	}
}

func corrupt(rng *rand.Rand, data []byte) []byte {
	b := slices.Clone(data)
	for range 1 + rng.IntN(maxEdits) {
		if len(b) == 0 {
			return b
		}
		at := rng.IntN(len(b))
		switch rng.IntN(5) {
		case 0:
			b[at] = byte(rng.Uint32())
		case 1:
			b[at] ^= 1 << rng.IntN(8)
		case 2:
			b = b[:at]
		case 3:
			b = slices.Insert(b, at, b[at:min(len(b), at+maxEditBytes)]...)
		case 4:
			b = slices.Delete(b, at, min(len(b), at+maxEditBytes))
		}
	}
	return b
}
