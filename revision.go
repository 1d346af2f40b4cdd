package geraniumdock

import (
	"cmp"
	"strconv"
)

// Revision is a position in the history of the platform's store. The store numbers its
// changes in each era. A new era begins when it was restored from an older copy; it then
// gives out numbers again that it has given out before. The zero value stands for an
// object that does not exist.
type Revision struct {
	Era    uint64
	Number uint64
}

// IsZero reports whether r is not the revision of a change.
func (r Revision) IsZero() bool { return r.Number == 0 }

// Compare returns a positive number if r is later than q, a negative number if it is
// earlier, and 0 if they are the same. Any revision of an era is later than all those of
// earlier eras.
func (r Revision) Compare(q Revision) int {
	return cmp.Or(cmp.Compare(r.Era, q.Era), cmp.Compare(r.Number, q.Number))
}

// After reports whether r is later than q.
func (r Revision) After(q Revision) bool { return r.Compare(q) > 0 }

// String returns the era and the number, separated by a slash.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "/" + strconv.FormatUint(r.Number, 10)
}

// Later returns the later one of two revisions.
func Later(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
