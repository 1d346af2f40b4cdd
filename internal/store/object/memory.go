// Package object keeps objects by key on the platform's catalogue, and in memory
// with call counts and switchable faults for tests. Its client bounds and retries
// every call that the product makes.
package object

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Counts are the calls that a stand-in has received, refused ones included.
type Counts struct {
	Reads, Writes, Watches uint64
}

// Faults are the failures that a stand-in is told to show.
type Faults struct {
	Outage       bool          // every call fails before it takes effect
	Delay        time.Duration // every call waits this long first
	LoseAnswers  int           // this many writes take effect and then fail
	StallWatches bool          // watches never see a change
	RepeatWatch  bool          // watches answer at once with what stands
}

// Memory is a Store in memory. Use NewMemory.
type Memory struct {
	reads, writes, watches atomic.Uint64

	mu           sync.Mutex
	objects      map[string]gd.Object
	lastRevision uint64 // the newest revision, so that a key written again after its removal goes up
	faults       Faults
	changed      chan struct{} // closed and replaced at each write
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]gd.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults shown from now on.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatches()
}

// Counts returns the calls received so far.
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
		return gd.Object{}, gd.NotFound.Errorf("no object %s", key)
	}
	return o, nil
}

// Put writes value if the revision of key is still ifRevision.
func (m *Memory) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (gd.Object, error) {
	m.writes.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return gd.Object{}, err
	}
	if len(value) > gd.MaxObjectBytes {
		return gd.Object{}, gd.TooLarge.Errorf("object %s has %d bytes, the limit is %d", key, len(value), gd.MaxObjectBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Revision != ifRevision {
		return gd.Object{}, gd.Conflict.Errorf("object %s is at revision %d, not %d", key, m.objects[key].Revision, ifRevision)
	}
	m.lastRevision++
	o := gd.Object{Key: key, Revision: m.lastRevision, Value: append([]byte(nil), value...)}
	m.objects[key] = o
	m.notifyWatches()
	return o, m.loseResponse()
}

// Delete removes the object at key if its revision is still ifRevision.
func (m *Memory) Delete(ctx context.Context, key string, ifRevision uint64) error {
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
		return gd.Conflict.Errorf("object %s is at revision %d, not %d", key, o.Revision, ifRevision)
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

// Watch waits until the revision of key is above after.
func (m *Memory) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (gd.Object, error) {
	m.watches.Add(1)
	if err := m.injectFaults(ctx); err != nil {
		return gd.Object{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		o, changed, err := m.checkWatch(key, after)
		if err != nil || o.Revision > 0 {
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

// checkWatch returns the object if a watch should answer with it.
func (m *Memory) checkWatch(key string, after uint64) (gd.Object, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return gd.Object{}, nil, gd.Unavailable.Errorf("platform outage")
	}
	o, ok := m.objects[key]
	if ok && !m.faults.StallWatches && (o.Revision > after || m.faults.RepeatWatch) {
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
			return gd.Unavailable.Wrapf(ctx.Err(), "platform slow")
		}
	}
	if f.Outage {
		return gd.Unavailable.Errorf("platform outage")
	}
	return nil
}

// loseResponse reports a failure for a write that took effect. The caller holds
// m.mu.
func (m *Memory) loseResponse() error {
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	m.faults.LoseAnswers--
	return gd.Unavailable.Errorf("answer lost")
}

// notifyWatches releases every waiting watch. The caller holds m.mu.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}
