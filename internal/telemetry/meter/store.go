package meter

import (
	"context"
	"sync/atomic"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Catalogue is a catalogue whose calls are counted by what became of them. Use
// NewCatalogue.
type Catalogue struct {
	below gd.Catalogue
	meter *Meter
	clock gd.Clock
	heard atomic.Int64 // instant of the last answer
}

// NewCatalogue returns c with its calls counted in m.
func NewCatalogue(c gd.Catalogue, m *Meter, clk gd.Clock) *Catalogue {
	counted := &Catalogue{below: c, meter: m, clock: clk}
	counted.heard.Store(int64(clk.Monotonic()))
	m.Gauge("geraniumdock_store_unheard_seconds", func() float64 {
		return (clk.Monotonic() - time.Duration(counted.heard.Load())).Seconds()
	})
	return counted
}

// count notes a call that began at the given instant.
func (c *Catalogue) count(call string, began time.Duration, err error) {
	now := c.clock.Monotonic()
	outcome := "done"
	if err != nil {
		outcome = gd.KindOf(err).String()
	}
	if !gd.Unavailable.Is(err) {
		c.heard.Store(int64(now))
	}
	c.meter.set.GetOrCreateCounter(`geraniumdock_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
	if call != "watch" { // which waits for changes
		c.meter.store.Update((now - began).Seconds())
	}
}

// Get returns one entry.
func (c *Catalogue) Get(ctx context.Context, kind, name string) (gd.Entry, error) {
	began := c.clock.Monotonic()
	e, err := c.below.Get(ctx, kind, name)
	c.count("get", began, err)
	return e, err
}

// List returns all entries of a kind.
func (c *Catalogue) List(ctx context.Context, kind string) ([]gd.Entry, uint64, error) {
	began := c.clock.Monotonic()
	entries, revision, err := c.below.List(ctx, kind)
	c.count("list", began, err)
	return entries, revision, err
}

// Watch waits for changes.
func (c *Catalogue) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) ([]gd.Entry, uint64, error) {
	began := c.clock.Monotonic()
	entries, next, err := c.below.Watch(ctx, kind, revision, wait)
	c.count("watch", began, err)
	return entries, next, err
}

// Put writes an entry.
func (c *Catalogue) Put(ctx context.Context, kind, name string, value []byte, revision uint64) (gd.Entry, error) {
	began := c.clock.Monotonic()
	e, err := c.below.Put(ctx, kind, name, value, revision)
	c.count("put", began, err)
	return e, err
}

// Delete removes an entry.
func (c *Catalogue) Delete(ctx context.Context, kind, name string, revision uint64) error {
	began := c.clock.Monotonic()
	err := c.below.Delete(ctx, kind, name, revision)
	c.count("delete", began, err)
	return err
}
