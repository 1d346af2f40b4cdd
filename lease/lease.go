// Package lease decides when to read, acquire and renew a lease, which is an object
// in the platform's store. After a lease expires, two processes may briefly both act
// as its holder. Users must therefore protect their writes by conditional updates;
// the lease only avoids duplicate work.
package lease

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Timing of a lease.
const (
	// Term is how long a lease lasts after it was acquired or renewed.
	Term          = 10 * time.Second
	renewInterval = 3 * time.Second
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// MaxClockSkew is the largest difference between the clocks of two VMs that
	// a lease tolerates.
	MaxClockSkew = 500 * time.Millisecond
)

// Record is the content of a lease object.
type Record struct {
	Holder     string     `cbor:"1,keyasint"`
	Address    string     `cbor:"2,keyasint"`
	DataCentre string     `cbor:"3,keyasint"` // data centre of the holder
	Expires    clock.Time `cbor:"4,keyasint"`
}

// Encode returns the encoded form of r.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode decodes the content of a lease object.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, gd.Invalid.Wrapf(err, "decoding the lease object")
	}
	return r, nil
}

// Action is what the user of a Lease must do next.
type Action int

// The actions.
const (
	Wait  Action = iota // do nothing until Step.At, then call Next
	Read                // read the object, then call WithRead or WithFailure
	Write               // write Step.Record at Step.IfRevision, then call WithWritten or WithFailure
)

// Step is the next action with its parameters.
type Step struct {
	Action     Action
	At         clock.Time
	Record     Record
	IfRevision gd.Revision
}

// Lease is the immutable state of one candidate for one lease. Use New.
type Lease struct {
	self      Record
	lastSeen  Record
	revision  gd.Revision
	known     bool       // the last read or write succeeded
	heldUntil clock.Time // end of this candidate's lease
	nextAt    clock.Time
	failures  int
}

// New returns the state of a candidate that has not read the lease object yet.
func New(holder, address, dataCentre string) Lease {
	return Lease{self: Record{Holder: holder, Address: address, DataCentre: dataCentre}}
}

// Held reports whether this candidate holds the lease at now. It returns false if
// the lease has expired, also if the process was paused in the meantime.
func (l Lease) Held(now clock.Time) bool { return now.Before(l.heldUntil) }

// LastSeen returns the content of the lease object when it was last read or written.
func (l Lease) LastSeen() Record { return l.lastSeen }

// Next returns the step to take at now.
func (l Lease) Next(now clock.Time) Step {
	if now.Before(l.nextAt) {
		return Step{Action: Wait, At: l.nextAt}
	}
	if !l.known {
		return Step{Action: Read}
	}
	own := l.lastSeen.Holder == l.self.Holder
	if !l.revision.IsZero() && !own && now.Before(l.lastSeen.Expires.Add(MaxClockSkew)) {
		return Step{Action: Wait, At: l.lastSeen.Expires.Add(MaxClockSkew)}
	}
	r := l.self
	r.Expires = now.Add(Term)
	return Step{Action: Write, Record: r, IfRevision: l.revision}
}

// WithRead returns the state after the lease object was read as o. A zero revision
// means that the object does not exist.
func (l Lease) WithRead(now clock.Time, o gd.Object) Lease {
	l.known = true
	l.failures = 0
	l.revision = o.Revision
	l.lastSeen = Record{}
	if r, err := Decode(o.Value); err == nil && !o.Revision.IsZero() {
		l.lastSeen = r
	}
	l.nextAt = now
	if l.lastSeen.Holder == l.self.Holder && l.lastSeen.Address == l.self.Address {
		l.heldUntil = max(l.heldUntil, l.lastSeen.Expires)
	} else {
		l.heldUntil = 0
	}
	return l
}

// WithWritten returns the state after a write of r was confirmed with the given
// revision.
func (l Lease) WithWritten(now clock.Time, r Record, revision gd.Revision) Lease {
	l.lastSeen = r
	l.revision = revision
	l.known = true
	l.failures = 0
	l.heldUntil = r.Expires
	l.nextAt = now.Add(renewInterval)
	return l
}

// WithFailure returns the state after a read or write failed. The write may have
// succeeded nevertheless, so the object is read before the next write.
func (l Lease) WithFailure(now clock.Time, rnd *rand.Rand) Lease {
	l.known = false
	backoff := min(minRetryDelay<<min(l.failures, 8), maxRetryDelay)
	l.failures++
	l.nextAt = now.Add(backoff/2 + time.Duration(rnd.Int64N(int64(backoff))))
	return l
}
