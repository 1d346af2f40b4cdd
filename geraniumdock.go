// Package geraniumdock declares what varies between deployments of the
// configuration distribution system: the platform's object store, the clock
// and the closed list of error kinds. Implementations live in the packages
// below it.
//
// The decisions (accept a table, adopt a version, hold a lease, order a
// queue, share a limit, choose a server, claim a request) are plain values in
// packages of their own. They start no goroutine, read no clock and open no
// socket, so another program can embed them without the daemon.
package geraniumdock

import (
	"context"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
)

// MaxObjectBytes is the largest value that the platform's store accepts.
const MaxObjectBytes = 1 << 20

// Clock tells the time.
type Clock interface {
	// Now returns the current instant in milliseconds.
	Now() clock.Time
	// Monotonic returns a reading that never goes back, for measuring.
	Monotonic() time.Duration
}

// Object is a value in the platform's store. Revision grows with each write
// of the key, and is 0 for a key that was never written.
type Object struct {
	Key      string
	Revision uint64
	Value    []byte
}

// Store is the platform's object service. Its errors are of the kinds
// NotFound, Conflict, Unavailable (nothing is known of the outcome) and
// TooLarge.
type Store interface {
	// Get returns the object at key.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's revision is still ifRevision, where 0
	// means that the key must not exist.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (Object, error)
	// Delete removes the object if its revision is still ifRevision.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// List returns the objects whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's revision is above after and returns it.
	// It returns an error of kind TimedOut when wait passes without a change.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
}

// Entry is a value in the platform's catalogue, which keeps values by kind and
// name. Revision grows with each change in the catalogue.
type Entry struct {
	Name     string
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Catalogue is the platform's store of entries by kind and name, with watches
// over a whole kind. Its errors are of the kinds NotFound, Conflict, Expired,
// TooLarge and Unavailable (nothing is known of the outcome).
type Catalogue interface {
	// Get returns one entry.
	Get(ctx context.Context, kind, name string) (Entry, error)
	// List returns all entries of a kind and the catalogue's revision.
	List(ctx context.Context, kind string) ([]Entry, uint64, error)
	// Watch waits until entries of the kind have changed since revision, and
	// returns them with the revision to go on from.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) ([]Entry, uint64, error)
	// Put writes an entry that is still at revision, where 0 means that it
	// must not exist.
	Put(ctx context.Context, kind, name string, value []byte, revision uint64) (Entry, error)
	// Delete removes an entry that is still at revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
}
