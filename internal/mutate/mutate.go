// Package mutate makes damaged copies of sound input from a fixed seed, so that
// a test over them gives the same verdict on every run.
package mutate

import (
	"iter"
	"math/rand/v2"
	"slices"
)

const (
	seed     = 20261204
	maxEdits = 6
	growth   = 8
)

// Copies returns n copies of data with some bytes changed, cut out, repeated
// or inserted.
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
