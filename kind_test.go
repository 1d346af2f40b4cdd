package geraniumdock

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestKindAnswers(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for k := range kindCount {
		a := k.Response()
		is.True(a.Status >= 400)              // the status is an error status
		is.True(!names[a.Name])               // names are unique
		is.Equal(KindNamed(a.Name), k)        // and map back to the kind
		is.Equal(KindOf(k.Errorf("text")), k) // errors keep their kind
		is.Equal(a.RetriableElsewhere && a.Outcome != NotRun, false)
		names[a.Name] = true
	}
	is.Equal(KindOf(errors.New("foreign")), Internal)
	is.Equal(Message(Invalid.Wrapf(errors.New("cause"), "row %d", 3)), "row 3: cause")
}
