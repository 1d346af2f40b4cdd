// Package geraniumdock declares the error kinds of the configuration distribution
// system, and interfaces for the parts that differ between deployments: the platform's
// stores and the clock. Other packages of the module implement the interfaces.
//
// The decision logic (accepting a table, adopting a version, holding a lease, ordering
// a queue, sharing a limit, choosing a server, claiming a request) is in separate
// packages. These start no goroutines, read no clock and open no sockets, so that other
// programs can use them without the daemon.
package geraniumdock

import (
	"context"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
)

// MaxObjectBytes is the largest value that the platform's store accepts.
const MaxObjectBytes = 1 << 20

// Clock provides the current time.
type Clock interface {
	// Now returns the current instant in milliseconds.
	Now() clock.Time
	// Monotonic returns a reading that never decreases, for measuring durations.
	Monotonic() time.Duration
}

// Object is a value in the platform's store. Revision grows with each write of the key.
// It is zero for a key that was never written.
type Object struct {
	Key      string
	Revision Revision
	Value    []byte
}

// Store is the platform's object store. Its errors are of the kinds NotFound, Conflict,
// TooLarge, TimedOut (Watch only) and Unavailable (the outcome is unknown).
type Store interface {
	// Get returns the object at key. If there is none, the error is of kind NotFound and
	// the object's revision has only an era.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's revision is still ifRevision, where
	// the zero value means that the key must not exist.
	Put(ctx context.Context, key string, value []byte, ifRevision Revision) (Object, error)
	// Delete removes the object if its revision is still ifRevision.
	Delete(ctx context.Context, key string, ifRevision Revision) error
	// List returns the objects whose keys begin with prefix, ordered by key. An object that
	// cannot be read has no value.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's revision is greater than after and returns the
	// object. It returns an error of kind TimedOut if that does not happen within wait.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Object, error)
}

// Entry is a value in the platform's catalogue. Its Revision is that of the catalogue
// after the last change of the entry.
type Entry struct {
	Name     string
	Revision Revision
	Value    []byte
	Status   []byte // written apart from Value; empty if it was never written
	Deleted  bool
}

// Catalogue is the platform's store of entries, which are identified by kind and name.
// All entries of a kind can be watched together. Its errors are of the kinds NotFound,
// Conflict, Expired, TooLarge and Unavailable (the outcome is unknown).
type Catalogue interface {
	// Get returns one entry.
	Get(ctx context.Context, kind, name string) (Entry, error)
	// List returns all entries of a kind and the catalogue's revision.
	List(ctx context.Context, kind string) ([]Entry, Revision, error)
	// ListStale is like List, but the entries may be seconds old and have no revision. It
	// costs less and does not count towards the rate of calls.
	ListStale(ctx context.Context, kind string) ([]Entry, error)
	// Watch waits until entries of the kind have changed since revision. It returns
	// them with the revision to continue from.
	Watch(ctx context.Context, kind string, revision Revision, wait time.Duration) ([]Entry, Revision, error)
	// Put writes an entry that is still at revision, where the zero value means that
	// the entry must not exist.
	Put(ctx context.Context, kind, name string, value []byte, revision Revision) (Entry, error)
	// PutStatus writes the status of an existing entry that is still at revision.
	PutStatus(ctx context.Context, kind, name string, status []byte, revision Revision) (Entry, error)
	// Delete removes an entry that is still at revision.
	Delete(ctx context.Context, kind, name string, revision Revision) error
}
