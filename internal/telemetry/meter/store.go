package meter

import (
	"context"
	"sync/atomic"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Catalogue wraps a gd.Catalogue and counts its calls by outcome. Use
// NewCatalogue to create one.
type Catalogue struct {
	next         gd.Catalogue
	meter        *Meter
	clock        gd.Clock
	lastResponse atomic.Int64 // monotonic time of the last response, in nanoseconds
	latest       atomic.Pointer[gd.Revision]
}

// NewCatalogue returns a Catalogue that calls c and counts the calls in m.
func NewCatalogue(c gd.Catalogue, m *Meter, clk gd.Clock) *Catalogue {
	counted := &Catalogue{next: c, meter: m, clock: clk}
	counted.lastResponse.Store(int64(clk.Monotonic()))
	counted.latest.Store(&gd.Revision{})
	m.Gauge("geraniumdock_store_era", func() float64 { return float64(counted.latest.Load().Era) })
	m.Gauge("geraniumdock_store_revision", func() float64 { return float64(counted.latest.Load().Number) })
	m.Gauge("geraniumdock_store_unheard_seconds", func() float64 {
		return (clk.Monotonic() - time.Duration(counted.lastResponse.Load())).Seconds()
	})
	return counted
}

// count records the outcome and the duration of a call that started at the given
// monotonic time.
func (c *Catalogue) count(call string, start time.Duration, err error) {
	now := c.clock.Monotonic()
	outcome := "done"
	if err != nil {
		outcome = gd.KindOf(err).String()
	}
	if !gd.Unavailable.Is(err) {
		c.lastResponse.Store(int64(now))
	}
	c.meter.set.GetOrCreateCounter(`geraniumdock_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
	if call != "watch" { // a watch lasts until something changes
		c.meter.storeLatency.Update((now - start).Seconds())
	}
}

// note records the revision that a response of the catalogue named.
func (c *Catalogue) note(revision gd.Revision, err error) {
	if err == nil {
		c.latest.Store(&revision)
	}
}

// Get returns one entry.
func (c *Catalogue) Get(ctx context.Context, kind, name string) (gd.Entry, error) {
	start := c.clock.Monotonic()
	e, err := c.next.Get(ctx, kind, name)
	c.count("get", start, err)
	return e, err
}

// List returns all entries of a kind and their revision.
func (c *Catalogue) List(ctx context.Context, kind string) ([]gd.Entry, gd.Revision, error) {
	start := c.clock.Monotonic()
	entries, revision, err := c.next.List(ctx, kind)
	c.count("list", start, err)
	c.note(revision, err)
	return entries, revision, err
}

// ListStale returns all entries of a kind as they were up to some seconds ago.
func (c *Catalogue) ListStale(ctx context.Context, kind string) ([]gd.Entry, error) {
	start := c.clock.Monotonic()
	entries, err := c.next.ListStale(ctx, kind)
	c.count("list-stale", start, err)
	return entries, err
}

// Watch waits for changes after a revision.
func (c *Catalogue) Watch(ctx context.Context, kind string, revision gd.Revision, wait time.Duration) ([]gd.Entry, gd.Revision, error) {
	start := c.clock.Monotonic()
	entries, latest, err := c.next.Watch(ctx, kind, revision, wait)
	c.count("watch", start, err)
	c.note(latest, err)
	return entries, latest, err
}

// Put writes an entry.
func (c *Catalogue) Put(ctx context.Context, kind, name string, value []byte, revision gd.Revision) (gd.Entry, error) {
	start := c.clock.Monotonic()
	e, err := c.next.Put(ctx, kind, name, value, revision)
	c.count("put", start, err)
	c.note(e.Revision, err)
	return e, err
}

// PutStatus writes the status of an entry.
func (c *Catalogue) PutStatus(ctx context.Context, kind, name string, status []byte, revision gd.Revision) (gd.Entry, error) {
	start := c.clock.Monotonic()
	e, err := c.next.PutStatus(ctx, kind, name, status, revision)
	c.count("put-status", start, err)
	c.note(e.Revision, err)
	return e, err
}

// Delete removes an entry.
func (c *Catalogue) Delete(ctx context.Context, kind, name string, revision gd.Revision) error {
	start := c.clock.Monotonic()
	err := c.next.Delete(ctx, kind, name, revision)
	c.count("delete", start, err)
	return err
}
