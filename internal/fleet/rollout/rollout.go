// Package rollout decides the course of a canary roll-out: the move of a service's traffic to
// servers of another version. The decision depends only on the order, on the responses that all
// nodes have counted, and on the time. It uses no network and reads no clock.
package rollout

import (
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Phase is the state of a roll-out. Of two phases of one roll-out the higher one is in force, so
// that nodes may learn of them in any order.
type Phase uint8

// The phases of a roll-out. RolledBack is above Settled, because a version that shows to be bad
// before its completion is stored must still be rolled back. What the store holds is final.
const (
	None             Phase = iota
	Canary                 // servers of the target version get a small share of the requests
	Shift                  // they get all; what runs at the others ends
	Settled                // completion is decided, and is to be stored
	RolledBack             // the rollback is decided, and is to be stored
	StoredRolledBack       // the store holds the rollback
	StoredComplete         // the store holds the completion; the other servers stop
	Closed                 // the order was withdrawn
)

// String returns the name of p.
func (p Phase) String() string {
	switch p {
	case Canary:
		return "canary"
	case Shift:
		return "shift"
	case Settled:
		return "settled"
	case RolledBack:
		return "rolled-back"
	case StoredRolledBack:
		return "rolled-back-stored"
	case StoredComplete:
		return "complete"
	case Closed:
		return "closed"
	}
	return "none"
}

// IsOpen reports whether the outcome of the roll-out is still to be decided.
func (p Phase) IsOpen() bool { return p >= Canary && p <= Settled }

// IsUnstored reports whether the outcome is decided and the store does not hold it yet.
func (p Phase) IsUnstored() bool { return p == Settled || p == RolledBack }

// Order is the order to move a service's traffic to servers of a version.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration // from the order to the time by which the roll-out must have ended
}

// Rollout is an order with its progress. The times are of the monotonic clock of one node.
type Rollout struct {
	Order
	Name     string        // of the entry in the store
	Revision gd.Revision   // latest known of the entry, or that of its removal
	Began    time.Duration // when a node read the order first
	Phase    Phase
	Step     uint32        // counts the changes of Share within a phase
	Share    float64       // part of the requests for the target version in phase Canary
	Since    time.Duration // start of the phase
	Reason   string        // of the phase
}

// Merge returns the later state of two that are known of the roll-out of one service, and
// whether it differs from r in more than its times. Merging is commutative but for the times.
func (r Rollout) Merge(o Rollout) (Rollout, bool) {
	if r.Phase == None || o.Phase == None {
		if r.Phase == None {
			return o, o.Phase != None
		}
		return r, false
	}
	if r.Target != o.Target || (r.Phase == Closed) != (o.Phase == Closed) {
		if o.Revision.After(r.Revision) {
			return o, true
		}
		return r, false
	}
	merged := r
	if o.Phase > r.Phase || o.Phase == r.Phase && o.Step > r.Step {
		merged = o
	}
	merged.Revision = gd.Later(r.Revision, o.Revision)
	merged.Began = min(r.Began, o.Began)
	if o.Phase == r.Phase {
		merged.Since = min(r.Since, o.Since)
	}
	return merged, merged.Phase != r.Phase || merged.Step != r.Step || merged.Revision != r.Revision
}

// in returns r in a phase that began at now.
func (r Rollout) in(p Phase, now time.Duration, reason string) Rollout {
	r.Phase, r.Since, r.Reason, r.Step = p, now, reason, 0
	return r
}

// WithStored returns r after its entry was read at the monotonic time now. Outcome is that which
// the store holds for the target version: StoredComplete, StoredRolledBack, or None.
func (r Rollout) WithStored(now time.Duration, outcome Phase, revision gd.Revision) Rollout {
	r.Revision = gd.Later(r.Revision, revision)
	if outcome > r.Phase && r.Phase != Closed {
		r = r.in(outcome, now, "the store holds the outcome")
	}
	return r
}
