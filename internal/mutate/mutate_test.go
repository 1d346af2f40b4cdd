package mutate

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestCopiesAreDeterministic(t *testing.T) {
	is := is.New(t)
	data := []byte("some valid input")
	first, second := slices.Collect(Copies(data, 50)), slices.Collect(Copies(data, 50))
	is.Equal(first, second)
	is.True(slices.ContainsFunc(first, func(b []byte) bool { return !bytes.Equal(b, data) }))
	is.Equal(string(data), "some valid input")
}
