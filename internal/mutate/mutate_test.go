package mutate

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestCopiesAreTheSameEveryTime(t *testing.T) {
	is := is.New(t)
	data := []byte("some valid input")
	one, other := slices.Collect(Copies(data, 50)), slices.Collect(Copies(data, 50))
	is.Equal(one, other)
	is.True(slices.ContainsFunc(one, func(b []byte) bool { return !bytes.Equal(b, data) }))
	is.Equal(string(data), "some valid input")
}
