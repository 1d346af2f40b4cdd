// Package object provides key-value stores: one on the platform's catalogue, one in
// memory with call counts and fault injection for tests, and a client that adds
// timeouts, rate limiting and retries to a store.
package object

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Counts holds the numbers of calls that a Memory has received, including failed
// calls.
type Counts struct {
	Reads, Writes, Watches uint64
}

// Faults are the failures that a Memory simulates.
type Faults struct {
	Outage        bool          // every call fails without taking effect
	Delay         time.Duration // every call is delayed by this duration
	LostResponses int           // number of writes that take effect but return an error
	StallWatches  bool          // watches never report a change
	RepeatWatch   bool          // watches return the current object at once
}

// Memory is an in-memory Store for tests. Use NewMemory to create one.
type Memory struct {
	reads, writes, watches atomic.Uint64

	mu           sync.Mutex
	objects      map[string]gd.Object
	lastRevision gd.Revision // shared by all keys, so that a key's revision also grows when it is written again after a deletion
	faults       Faults
	changed      chan struct{} // closed and replaced at each change
	checkpoint   checkpoint
}

// checkpoint is a copy of the objects of a Memory.
type checkpoint struct {
	objects map[string]gd.Object
	number  uint64 // of the last change in the copy
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]gd.Object{}, lastRevision: gd.Revision{Era: 1}, changed: make(chan struct{})}
}

// SetFaults replaces the faults that are simulated.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatches()
}

// Checkpoint copies all objects. The copy replaces an earlier one.
func (m *Memory) Checkpoint() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkpoint = checkpoint{maps.Clone(m.objects), m.lastRevision.Number}
}

// Rewind replaces the objects by the last copy, or by none if there is no copy. The
// revisions of the changes since are given out again in a new era.
func (m *Memory) Rewind() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = maps.Clone(m.checkpoint.objects)
	if m.objects == nil {
		m.objects = map[string]gd.Object{}
	}
	m.lastRevision = gd.Revision{Era: m.lastRevision.Era + 1, Number: m.checkpoint.number}
	for key, o := range m.objects {
		o.Revision.Era = m.lastRevision.Era
		m.objects[key] = o
	}
	m.notifyWatches()
}

// Counts returns the numbers of calls received so far.
func (m *Memory) Counts() Counts {
	return Counts{m.reads.Load(), m.writes.Load(), m.watches.Load()}
}

// Get returns the object at key.
func (m *Memory) Get(ctx context.Context, key string) (gd.Object, error) {
	m.reads.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return gd.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return gd.Object{Revision: gd.Revision{Era: m.lastRevision.Era}}, gd.NotFound.Errorf("no object %s", key)
	}
	return o, nil
}

// Put writes value if the revision of key is still ifRevision.
func (m *Memory) Put(ctx context.Context, key string, value []byte, ifRevision gd.Revision) (gd.Object, error) {
	m.writes.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return gd.Object{}, err
	}
	if len(value) > gd.MaxObjectBytes {
		return gd.Object{}, gd.TooLarge.Errorf("object %s has %d bytes; the limit is %d", key, len(value), gd.MaxObjectBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Revision != ifRevision && !(ifRevision.IsZero() && m.objects[key].Revision.IsZero()) {
		return gd.Object{}, gd.Conflict.Errorf("object %s is at revision %s, not %s", key, m.objects[key].Revision, ifRevision)
	}
	m.lastRevision.Number++
	o := gd.Object{Key: key, Revision: m.lastRevision, Value: append([]byte(nil), value...)}
	m.objects[key] = o
	m.notifyWatches()
	return o, m.loseResponse()
}

// Delete removes the object at key if its revision is still ifRevision.
func (m *Memory) Delete(ctx context.Context, key string, ifRevision gd.Revision) error {
	m.writes.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return gd.NotFound.Errorf("no object %s", key)
	}
	if o.Revision != ifRevision {
		return gd.Conflict.Errorf("object %s is at revision %s, not %s", key, o.Revision, ifRevision)
	}
	delete(m.objects, key)
	m.notifyWatches()
	return m.loseResponse()
}

// List returns the objects whose keys begin with prefix, ordered by key.
func (m *Memory) List(ctx context.Context, prefix string) ([]gd.Object, error) {
	m.reads.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []gd.Object
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

// Watch waits until the revision of key is greater than after.
func (m *Memory) Watch(ctx context.Context, key string, after gd.Revision, wait time.Duration) (gd.Object, error) {
	m.watches.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return gd.Object{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		o, changed, err := m.checkWatch(key, after)
		if err != nil || !o.Revision.IsZero() {
			return o, err
		}
		select {
		case <-changed:
		case <-end.C:
			return gd.Object{}, gd.TimedOut.Errorf("no change of %s", key)
		case <-ctx.Done():
			return gd.Object{}, gd.Unavailable.Wrapf(ctx.Err(), "watch of %s", key)
		}
	}
}

// checkWatch returns the object if a watch should return it now. Otherwise it returns
// a channel that is closed at the next change.
func (m *Memory) checkWatch(key string, after gd.Revision) (gd.Object, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return gd.Object{}, nil, gd.Unavailable.Errorf("platform outage")
	}
	o, ok := m.objects[key]
	if ok && !m.faults.StallWatches && (o.Revision.After(after) || m.faults.RepeatWatch) {
		return o, nil, nil
	}
	return gd.Object{}, m.changed, nil
}

func (m *Memory) injectFaults(ctx context.Context) error {
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return gd.Unavailable.Wrapf(ctx.Err(), "call to the platform")
		}
	}
	if f.Outage {
		return gd.Unavailable.Errorf("platform outage")
	}
	return nil
}

// loseResponse returns an error for a write that took effect, if that fault is set. The
// caller must hold m.mu.
func (m *Memory) loseResponse() error {
	if m.faults.LostResponses == 0 {
		return nil
	}
	m.faults.LostResponses--
	return gd.Unavailable.Errorf("response lost")
}

// notifyWatches makes every pending watch check for changes. The caller must hold
// m.mu.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}
