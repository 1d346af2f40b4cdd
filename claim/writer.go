package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	maxWriteAttempts = 5
	retryDelay       = 20 * time.Millisecond
	keyPrefix        = "claims/" // of the objects' keys in the store
)

// Writer claims keys in the platform's store. Claims of one partition that arrive
// while a write is in progress share the next write.
type Writer struct {
	store       gd.Store
	clock       gd.Clock
	holder      Holder
	minInterval time.Duration // minimum time between writes, over all partitions

	mu      sync.Mutex
	serial  uint64
	batches map[string]*batch
	writes  sync.WaitGroup
	stop    context.CancelFunc
	stopCtx context.Context
}

// batch holds the claims of one partition that wait for a write, and the last known
// content of the partition.
type batch struct {
	key      string // of the partition's object in the store
	pending  []waiter
	writing  bool // writeAll is running
	lost     bool // the store may have lost claims in current
	revision gd.Revision
	current  Partition
	known    bool // current is the content of the object at revision
}

// waiter is an invocation of Claim that waits for its result.
type waiter struct {
	entry  Entry
	result chan<- result
}

type result struct {
	winner Entry
	err    error
}

// NewWriter returns a writer for the given holder. Under load it makes at most
// writesPerSecond writes per second over all partitions and puts more claims into
// each; a single claim is written at once.
func NewWriter(store gd.Store, clk gd.Clock, holder Holder, writesPerSecond float64) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		store:       store,
		clock:       clk,
		holder:      holder,
		minInterval: time.Duration(float64(time.Second) / writesPerSecond),
		batches:     map[string]*batch{},
		stop:        cancel,
		stopCtx:     ctx,
	}
}

// Claim claims k. It returns the entry that holds the key and whether this
// invocation of Claim made that entry. An error is of kind ClaimsUnavailable: the
// claim was not confirmed, so the call with the key must not run.
func (w *Writer) Claim(ctx context.Context, service string, k Key) (Entry, bool, error) {
	done := make(chan result, 1)
	own := w.enqueue(service, k, done)
	select {
	case r := <-done:
		if r.err != nil {
			return Entry{}, false, gd.ClaimsUnavailable.Errorf("claiming the idempotency key: %s", gd.Message(r.err))
		}
		return r.winner, r.winner.Holder == own.Holder && r.winner.Serial == own.Serial, nil
	case <-ctx.Done():
		return Entry{}, false, gd.ClaimsUnavailable.Errorf("the platform did not confirm the claim before the deadline")
	}
}

// enqueue adds a claim of k to the batch of its partition. It starts a goroutine that
// writes the batch, unless one is running.
func (w *Writer) enqueue(service string, k Key, done chan<- result) Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	e := Entry{Key: k, Holder: w.holder, Serial: w.serial, At: w.clock.Now()}
	name := keyPrefix + service + "/" + strconv.Itoa(k.Partition())
	b, ok := w.batches[name]
	if !ok {
		b = &batch{key: name}
		w.batches[name] = b
	}
	b.pending = append(b.pending, waiter{e, done})
	w.startWriting(b)
	return e
}

// startWriting starts a goroutine that writes b, unless one is running. The caller holds
// w.mu.
func (w *Writer) startWriting(b *batch) {
	if !b.writing && w.stopCtx.Err() == nil {
		b.writing = true
		w.writes.Go(func() { w.writeAll(b) })
	}
}

// writeAll writes the claims of b until none is pending or lost.
func (w *Writer) writeAll(b *batch) {
	for {
		w.mu.Lock()
		waiting, lost := b.pending, b.lost
		b.pending, b.lost = nil, false
		if len(waiting) == 0 && !lost || w.stopCtx.Err() != nil {
			b.writing = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if lost {
			b.known = false
		}
		if err := w.writeBatch(b, waiting); err != nil && lost {
			w.mu.Lock()
			b.lost = true
			w.mu.Unlock()
		}
		sleep(w.stopCtx, w.writeInterval())
	}
}

// writeInterval returns how long a partition waits between its writes, so that the
// writes of all active partitions are at least minInterval apart on average.
func (w *Writer) writeInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	active := 0
	for _, b := range w.batches {
		if b.writing {
			active++
		}
	}
	return time.Duration(active) * w.minInterval
}

// writeBatch commits the waiting claims and sends each its result. It returns the error
// that they have in common.
func (w *Writer) writeBatch(b *batch, waiting []waiter) error {
	claims := make([]Entry, len(waiting))
	for i, c := range waiting {
		claims[i] = c.entry
	}
	winners, err := w.commit(b, claims)
	for i, c := range waiting {
		r := result{err: err}
		if err == nil {
			r.winner = winners[i]
		}
		c.result <- r
	}
	return err
}

// commit adds the claims by conditional update and returns the entry that holds the
// key of each. After a conflict or a lost response it reads the object again; an
// entry there with the holder and serial of a claim is that claim.
func (w *Writer) commit(b *batch, claims []Entry) ([]Entry, error) {
	var err error
	for range maxWriteAttempts {
		if !b.known {
			if err = w.read(b); err != nil {
				sleep(w.stopCtx, retryDelay)
				continue
			}
		}
		var next Partition
		var winners []Entry
		if next, winners, err = b.current.WithClaims(w.clock.Now(), claims); err != nil {
			return nil, err
		}
		if err = w.put(b, next); err == nil {
			return winners, nil
		}
		b.known = false
	}
	return nil, err
}

// read reads the content of the partition. Claims that were known and are not in it have
// been lost with the changes since a copy of the store, and still hold.
func (w *Writer) read(b *batch) error {
	o, err := w.store.Get(w.stopCtx, b.key)
	if err != nil && !gd.NotFound.Is(err) {
		return err
	}
	if !o.Revision.IsZero() {
		stored, err := Decode(o.Value)
		if err != nil {
			return err
		}
		b.current = stored.WithClaimsOf(b.current)
	}
	b.revision, b.known = o.Revision, true
	return nil
}

func (w *Writer) put(b *batch, next Partition) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	o, err := w.store.Put(w.stopCtx, b.key, data, b.revision)
	if err != nil {
		return err
	}
	b.current, b.revision = next, o.Revision
	return nil
}

// Restore writes the claims again that the store has lost because it was restored from an
// older copy. It returns at once.
func (w *Writer) Restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.batches {
		b.lost = true
		w.startWriting(b)
	}
}

// Close cancels the writes in progress and waits until they have ended.
func (w *Writer) Close() error {
	w.stop()
	w.writes.Wait()
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
