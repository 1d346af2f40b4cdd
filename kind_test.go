package geraniumdock

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestKindResponses(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for k := range kindCount {
		r := k.Response()
		is.True(r.Status >= 400)              // the status is an error status
		is.True(!names[r.Name])               // names are unique
		is.Equal(KindNamed(r.Name), k)        // and map back to the kind
		is.Equal(KindOf(k.Errorf("text")), k) // errors keep their kind
		is.Equal(r.RetriableElsewhere && r.Outcome != NotRun, false)
		names[r.Name] = true
	}
	is.Equal(KindOf(errors.New("foreign")), Internal)
	is.Equal(Message(Invalid.Wrapf(errors.New("cause"), "row %d", 3)), "row 3: cause")
}
