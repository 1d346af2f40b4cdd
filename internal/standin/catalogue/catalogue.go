// Package catalogue implements the platform's metadata store in memory and
// injects the failures that the platform describes. It replaces the real store
// in tests and trials.
package catalogue

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Outage is the way in which calls to the catalogue fail.
type Outage int

// Kinds of outages.
const (
	NoOutage Outage = iota // calls succeed
	Silent                 // calls get no response
	Busy                   // calls are refused without effect
	TooMany                // calls are refused by the rate limit
	Reset                  // connections are reset
)

// Faults selects the failures that the catalogue injects. The zero value selects
// none.
type Faults struct {
	Outage         Outage
	Callers        []string      // callers that the outage affects; empty for all
	Delay          time.Duration // added to every call
	LostWriteRatio float64       // fraction of the writes that get no response, although they are applied
	LostWriteDelay time.Duration // delay until such a write is applied
	MuteWatches    bool          // watches receive no events
}

// Entry is a stored value with its status, its finalizers and its deletion mark.
type Entry struct {
	gd.Entry
	Status     []byte
	Finalizers []string
	Deleting   bool
}

type change struct {
	kind  string
	entry Entry
}

// Catalogue stores entries by kind and name. Create one with New.
type Catalogue struct {
	mu                sync.Mutex
	kinds             map[string]map[string]Entry
	history           []change
	compactedRevision uint64 // changes up to this revision have been compacted
	revision          gd.Revision
	checkpoint        *checkpoint // nil before Checkpoint
	faults            Faults
	changed           chan struct{} // closed and replaced on each change
	reads             tokenBucket
	writes            tokenBucket
	rng               *rand.Rand
	counts            Counts
	lateWrites        sync.WaitGroup
}

// Counts holds the numbers of calls received, including refused ones.
type Counts struct {
	Reads, Writes, Watches, Refused int
}

// New returns an empty catalogue that accepts the given numbers of calls per
// second; 0 means no limit. The seed determines which writes a fault affects.
func New(readsPerSecond, writesPerSecond float64, seed uint64) *Catalogue {
	return &Catalogue{
		kinds: map[string]map[string]Entry{}, changed: make(chan struct{}), revision: gd.Revision{Era: 1, Number: 1},
		reads: tokenBucket{perSecond: readsPerSecond}, writes: tokenBucket{perSecond: writesPerSecond},
		rng: rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetFaults replaces the failures that the catalogue injects.
func (c *Catalogue) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	c.notifyWatches()
}

// Compact discards the history of changes. Watches from an older revision fail
// with an Expired error.
func (c *Catalogue) Compact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history, c.compactedRevision = nil, c.revision.Number
	c.notifyWatches()
}

// Counts returns the numbers of calls received so far.
func (c *Catalogue) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Close waits for delayed writes to finish.
func (c *Catalogue) Close() { c.lateWrites.Wait() }

// Errors of calls that fail because of an outage or the rate limit.
var (
	ErrSilent  = gd.Unavailable.Errorf("store sent no response")
	ErrReset   = gd.Unavailable.Errorf("store reset the connection")
	ErrBusy    = gd.Unavailable.Errorf("busy")
	ErrTooMany = gd.Unavailable.Errorf("store rate limit exceeded")
)

// admit delays a call, then returns an error if an outage or the rate limit
// makes it fail. The caller holds c.mu, which admit releases during the delay.
func (c *Catalogue) admit(ctx context.Context, caller string, bucket *tokenBucket, now time.Time) error {
	if c.faults.Delay > 0 {
		delay := c.faults.Delay
		c.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
	if err := c.outageError(caller); err != nil {
		c.counts.Refused++
		return err
	}
	if !bucket.take(now) {
		c.counts.Refused++
		return ErrTooMany
	}
	return nil
}

func (c *Catalogue) outageError(caller string) error {
	if len(c.faults.Callers) > 0 && !slices.Contains(c.faults.Callers, caller) {
		return nil
	}
	switch c.faults.Outage {
	case Silent:
		return ErrSilent
	case Busy:
		return ErrBusy
	case TooMany:
		return ErrTooMany
	case Reset:
		return ErrReset
	}
	return nil
}

// Get returns the entry with the given kind and name.
func (c *Catalogue) Get(ctx context.Context, caller, kind, name string) (Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Reads++
	if err := c.admit(ctx, caller, &c.reads, clock.Deadline(0)); err != nil {
		return Entry{}, err
	}
	e, ok := c.kinds[kind][name]
	if !ok {
		return Entry{}, gd.NotFound.Errorf("no entry %s/%s", kind, name)
	}
	return c.inEra(e), nil
}

// inEra returns e as a response of the current era states it.
func (c *Catalogue) inEra(e Entry) Entry {
	e.Revision.Era = c.revision.Era
	return e
}

// pageSize is the maximum number of entries that List returns.
const pageSize = 500

// List returns the first page of the entries of a kind whose names sort after
// the given name, and whether there are more.
func (c *Catalogue) List(ctx context.Context, caller, kind, after string) (page []Entry, more bool, revision gd.Revision, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Reads++
	if err := c.admit(ctx, caller, &c.reads, clock.Deadline(0)); err != nil {
		return nil, false, gd.Revision{}, err
	}
	for name, e := range c.kinds[kind] {
		if name > after {
			page = append(page, c.inEra(e))
		}
	}
	slices.SortFunc(page, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	if len(page) > pageSize {
		return page[:pageSize], true, c.revision, nil
	}
	return page, false, c.revision, nil
}

// Watch returns the changes of a kind after revision. It blocks until there is
// one and returns none if wait has passed first.
func (c *Catalogue) Watch(ctx context.Context, caller, kind string, revision uint64, wait time.Duration) ([]Entry, gd.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Watches++
	if err := c.admit(ctx, caller, &c.reads, clock.Deadline(0)); err != nil {
		return nil, gd.Revision{}, err
	}
	era := c.revision.Era
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		if err := c.outageError(caller); err != nil {
			return nil, gd.Revision{}, err
		}
		if c.revision.Era != era {
			return nil, gd.Revision{}, ErrReset
		}
		if !c.faults.MuteWatches {
			if revision < c.compactedRevision || revision > c.revision.Number {
				return nil, gd.Revision{}, gd.Expired.Errorf("no history from revision %d", revision)
			}
			if list := c.changesSince(kind, revision); len(list) > 0 {
				return list, c.revision, nil
			}
		}
		changed := c.changed
		c.mu.Unlock()
		var done bool
		select {
		case <-changed:
		case <-end.C:
			done = true
		case <-ctx.Done():
			done = true
		}
		c.mu.Lock()
		if done {
			return nil, gd.Revision{Era: c.revision.Era, Number: max(revision, c.compactedRevision)}, nil
		}
	}
}

func (c *Catalogue) changesSince(kind string, revision uint64) []Entry {
	var list []Entry
	for _, ch := range c.history {
		if ch.kind == kind && ch.entry.Revision.Number > revision {
			list = append(list, c.inEra(ch.entry))
		}
	}
	return list
}

// Put replaces the value of the entry at the given revision, or creates the
// entry if revision is 0. If anyRevision is set, the write ignores the revision
// of an existing entry.
func (c *Catalogue) Put(ctx context.Context, caller, kind, name string, value []byte, finalizers []string, revision uint64, anyRevision bool) (Entry, error) {
	return c.write(ctx, caller, func() (Entry, error) {
		old, exists := c.kinds[kind][name]
		switch {
		case !anyRevision && revision == 0 && exists, !anyRevision && revision != 0 && exists && old.Revision.Number != revision:
			return old, gd.Conflict.Errorf("entry %s/%s is at revision %s", kind, name, old.Revision)
		case revision != 0 && !exists:
			return Entry{}, gd.NotFound.Errorf("no entry %s/%s", kind, name)
		case exists && bytes.Equal(old.Value, value) && slices.Equal(old.Finalizers, finalizers):
			return old, nil
		}
		e := old
		e.Name, e.Value, e.Finalizers = name, bytes.Clone(value), slices.Clone(finalizers)
		return c.store(kind, e), nil
	})
}

// PutStatus replaces the status of an entry. The entry must be at the given
// revision, unless revision is 0.
func (c *Catalogue) PutStatus(ctx context.Context, caller, kind, name string, status []byte, revision uint64) (Entry, error) {
	return c.write(ctx, caller, func() (Entry, error) {
		e, ok := c.kinds[kind][name]
		switch {
		case !ok:
			return Entry{}, gd.NotFound.Errorf("no entry %s/%s", kind, name)
		case revision != 0 && e.Revision.Number != revision:
			return e, gd.Conflict.Errorf("entry %s/%s is at revision %s", kind, name, e.Revision)
		case bytes.Equal(e.Status, status):
			return e, nil
		}
		e.Status = bytes.Clone(status)
		return c.store(kind, e), nil
	})
}

// Delete removes an entry, or marks it as deleting while it has finalizers. The
// entry must be at the given revision, unless revision is 0.
func (c *Catalogue) Delete(ctx context.Context, caller, kind, name string, revision uint64) (Entry, error) {
	return c.write(ctx, caller, func() (Entry, error) {
		e, ok := c.kinds[kind][name]
		switch {
		case !ok:
			return Entry{}, gd.NotFound.Errorf("no entry %s/%s", kind, name)
		case revision != 0 && e.Revision.Number != revision:
			return e, gd.Conflict.Errorf("entry %s/%s is at revision %s", kind, name, e.Revision)
		}
		e.Deleting = true
		return c.store(kind, e), nil
	})
}

// write applies a write and injects the failures of writes.
func (c *Catalogue) write(ctx context.Context, caller string, do func() (Entry, error)) (Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Writes++
	if err := c.admit(ctx, caller, &c.writes, clock.Deadline(0)); err != nil {
		return Entry{}, err
	}
	if c.faults.LostWriteRatio == 0 || c.rng.Float64() >= c.faults.LostWriteRatio {
		e, err := do()
		return c.inEra(e), err
	}
	if c.faults.LostWriteDelay == 0 {
		_, _ = do() // the caller gets no response, whether or not the write succeeds
		return Entry{}, ErrSilent
	}
	delay := c.faults.LostWriteDelay
	c.lateWrites.Go(func() {
		time.Sleep(delay)
		c.mu.Lock()
		defer c.mu.Unlock()
		_, _ = do() // the caller got no response
	})
	return Entry{}, ErrSilent
}

// store stores e at the next revision and notifies the watches. The caller
// holds c.mu.
func (c *Catalogue) store(kind string, e Entry) Entry {
	c.revision.Number++
	e.Revision = c.revision
	if c.kinds[kind] == nil {
		c.kinds[kind] = map[string]Entry{}
	}
	c.kinds[kind][e.Name] = e
	if e.Deleting && len(e.Finalizers) == 0 {
		delete(c.kinds[kind], e.Name)
		e.Deleted = true
	}
	c.history = append(c.history, change{kind, e})
	c.notifyWatches()
	return e
}

// Drop removes an entry without adding a change to the history, as the platform
// may do.
func (c *Catalogue) Drop(kind, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kinds[kind], name)
}

// notifyWatches makes every blocked watch check for changes and faults again.
// The caller holds c.mu.
func (c *Catalogue) notifyWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// tokenBucket is a rate limiter with a burst of one second. A rate of 0 means no
// limit.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	last      time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.perSecond == 0 {
		return true
	}
	b.tokens = min(b.tokens+b.perSecond*now.Sub(b.last).Seconds(), b.perSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
