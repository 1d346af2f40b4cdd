// Package mutate generates corrupted copies of valid input for tests of decoders.
// It uses a fixed seed, so that a test gives the same result on every run.
package mutate

import (
	"iter"
	"math/rand/v2"
	"slices"
)

const (
	seed     = 20261204
	maxEdits = 6 // per copy
	growth   = 8 // maximum number of bytes that one edit inserts or deletes
)

// Copies returns n copies of data. In each, up to maxEdits random edits change,
// duplicate or delete bytes or truncate the copy. The same data gives the same
// copies, and data itself is not changed.
func Copies(data []byte, n int) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		rnd := rand.New(rand.NewPCG(seed, uint64(len(data))))
		for range n {
			if !yield(damage(rnd, data)) {
				return
			}
		}
	}
}

func damage(rnd *rand.Rand, data []byte) []byte {
	b := slices.Clone(data)
	for range 1 + rnd.IntN(maxEdits) {
		if len(b) == 0 {
			return b
		}
		at := rnd.IntN(len(b))
		switch rnd.IntN(5) {
		case 0:
			b[at] = byte(rnd.Uint32())
		case 1:
			b[at] ^= 1 << rnd.IntN(8)
		case 2:
			b = b[:at]
		case 3:
			b = slices.Insert(b, at, b[at:min(len(b), at+growth)]...)
		case 4:
			b = slices.Delete(b, at, min(len(b), at+growth))
		}
	}
	return b
}
