package object

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newCatalogueStore returns a stand-in for the platform and a store that uses it through
// the platform's client.
func newCatalogueStore(t *testing.T) (*catalogue.Catalogue, *CatalogueStore) {
	c := catalogue.New(0, 0, 1)
	s := httptest.NewServer(platform.NewStoreHandler(c))
	client := platform.NewStore(s.URL, &http.Transport{})
	t.Cleanup(func() { client.Close(); s.Close(); c.Close() })
	return c, NewCatalogueStore(client)
}

// stores returns an in-memory store and one on a stand-in for the platform.
func stores(t *testing.T) map[string]gd.Store {
	_, s := newCatalogueStore(t)
	return map[string]gd.Store{"memory": NewMemory(), "platform": s}
}

func TestStore(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			key := name + "/a b/ü?"
			_, err := s.Get(ctx, key)
			is.True(gd.NotFound.Is(err))
			one, err := s.Put(ctx, key, []byte("1"), gd.Revision{})
			is.NoErr(err)
			_, err = s.Put(ctx, key, []byte("2"), gd.Revision{})
			is.True(gd.Conflict.Is(err)) // the key exists
			two, err := s.Put(ctx, key, []byte("2"), one.Revision)
			is.NoErr(err)
			is.True(two.Revision.After(one.Revision))
			_, err = s.Put(ctx, key, []byte("3"), one.Revision)
			is.True(gd.Conflict.Is(err)) // another write came first
			o, err := s.Get(ctx, key)
			is.NoErr(err)
			is.Equal(string(o.Value), "2")
			objects, err := s.List(ctx, name+"/")
			is.NoErr(err)
			is.Equal(len(objects), 1)
			_, err = s.Watch(ctx, key, two.Revision, time.Millisecond)
			is.True(gd.TimedOut.Is(err))
			o, err = s.Watch(ctx, key, one.Revision, time.Minute)
			is.NoErr(err)
			is.Equal(o.Revision, two.Revision)
			is.True(gd.Conflict.Is(s.Delete(ctx, key, one.Revision)))
			is.NoErr(s.Delete(ctx, key, two.Revision))
			again, err := s.Put(ctx, key, []byte("4"), gd.Revision{})
			is.NoErr(err)
			is.True(again.Revision.After(two.Revision)) // revisions grow even across a deletion
			_, err = s.Put(ctx, "big", make([]byte, gd.MaxObjectBytes+1), gd.Revision{})
			is.True(gd.TooLarge.Is(err))
		})
	}
}

func TestWatchWakesOnChange(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			got := make(chan gd.Object, 1)
			go func() {
				o, _ := s.Watch(ctx, name, gd.Revision{}, time.Minute)
				got <- o
			}()
			_, err := s.Put(ctx, name, []byte("x"), gd.Revision{})
			is.NoErr(err)
			is.Equal(string((<-got).Value), "x")
		})
	}
}

func TestMemoryFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := NewMemory()
	m.SetFaults(Faults{LostResponses: 1})
	_, err := m.Put(ctx, "k", []byte("x"), gd.Revision{})
	is.True(gd.Unavailable.Is(err))
	o, err := m.Get(ctx, "k")
	is.NoErr(err) // the write took effect
	m.SetFaults(Faults{StallWatches: true})
	_, err = m.Watch(ctx, "k", gd.Revision{}, time.Millisecond)
	is.True(gd.TimedOut.Is(err))
	m.SetFaults(Faults{RepeatWatch: true})
	again, err := m.Watch(ctx, "k", o.Revision, time.Minute)
	is.NoErr(err)
	is.Equal(again.Revision, o.Revision)
	m.SetFaults(Faults{Outage: true})
	_, err = m.Get(ctx, "k")
	is.True(gd.Unavailable.Is(err))
	m.SetFaults(Faults{Delay: time.Hour})
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = m.Get(short, "k")
	is.True(gd.Unavailable.Is(err))
}

// TestPlatformFaults checks the errors for faults of the platform, as they arrive
// through the platform's client.
func TestPlatformFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, s := newCatalogueStore(t)
	c.SetFaults(catalogue.Faults{LostWriteRatio: 1})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := s.Put(short, "table/k", []byte("x"), gd.Revision{})
	is.True(gd.Unavailable.Is(err))
	c.SetFaults(catalogue.Faults{})
	o, err := s.Get(ctx, "table/k")
	is.NoErr(err) // the write took effect
	c.SetFaults(catalogue.Faults{MuteWatches: true})
	_, err = s.Watch(ctx, "table/k", o.Revision, time.Millisecond)
	is.True(gd.TimedOut.Is(err))
	c.SetFaults(catalogue.Faults{Outage: catalogue.Busy})
	_, err = s.Get(ctx, "table/k")
	is.True(gd.Unavailable.Is(err))
	c.SetFaults(catalogue.Faults{Delay: time.Hour})
	short, cancel = context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = s.Get(short, "table/k")
	is.True(gd.Unavailable.Is(err))
	c.SetFaults(catalogue.Faults{})
}

// TestWatchContinuesAfterCompaction starts a watch from a revision whose history the
// platform has dropped, while another object of the same kind changes first.
func TestWatchContinuesAfterCompaction(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, s := newCatalogueStore(t)
	o, err := s.Put(ctx, "table/head", []byte("1"), gd.Revision{})
	is.NoErr(err)
	other, err := s.Put(ctx, "table/other", []byte("1"), gd.Revision{})
	is.NoErr(err)
	c.Compact()
	got := make(chan gd.Object, 1)
	go func() {
		changed, _ := s.Watch(ctx, "table/head", o.Revision, time.Minute)
		got <- changed
	}()
	_, err = s.Put(ctx, "table/other", []byte("2"), other.Revision)
	is.NoErr(err)
	_, err = s.Put(ctx, "table/head", []byte("2"), o.Revision)
	is.NoErr(err)
	is.Equal(string((<-got).Value), "2")
}

func TestWatchMissesAChangeAfterStoreWasRestored(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, s := newCatalogueStore(t)
	c.Checkpoint()
	old, err := s.Put(ctx, "table/head", []byte("1"), gd.Revision{})
	is.NoErr(err)
	c.Rewind()
	_, err = s.Put(ctx, "table/head", []byte("2"), gd.Revision{}) // has the number of the lost change
	is.NoErr(err)
	o, err := s.Watch(ctx, "table/head", old.Revision, time.Second)
	is.NoErr(err)
	is.Equal(string(o.Value), "2")
}

// TestMissingObjectStatesTheEra reads an object that does not exist before and after the
// store was restored.
func TestMissingObjectStatesTheEra(t *testing.T) {
	c, platformStore := newCatalogueStore(t)
	c.Checkpoint()
	m := NewMemory()
	for name, s := range map[string]struct {
		store  gd.Store
		rewind func()
	}{"memory": {m, m.Rewind}, "platform": {platformStore, c.Rewind}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, err := s.store.Get(context.Background(), "table/head")
			is.True(gd.NotFound.Is(err))
			is.True(before.Revision.IsZero())
			s.rewind()
			after, err := s.store.Get(context.Background(), "table/head")
			is.True(gd.NotFound.Is(err))
			is.Equal(after.Revision, gd.Revision{Era: before.Revision.Era + 1})
			_, err = s.store.Put(context.Background(), "table/head", []byte("1"), after.Revision)
			is.NoErr(err)
		})
	}
}

// TestListFiltersByPrefix lists one prefix among objects of several prefixes and kinds.
func TestListFiltersByPrefix(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, s := newCatalogueStore(t)
	for _, key := range []string{"relay/b/1", "relay/a/0", "relay/a/1", "limits/a/1"} {
		_, err := s.Put(ctx, key, []byte(key), gd.Revision{})
		is.NoErr(err)
	}
	list, err := s.List(ctx, "relay/a/")
	is.NoErr(err)
	var keys []string
	for _, o := range list {
		keys = append(keys, o.Key)
		is.Equal(string(o.Value), o.Key)
	}
	is.Equal(keys, []string{"relay/a/0", "relay/a/1"})
}

// TestOddObjectHidesTheOthersOfItsKind guards against lists that fail for one unreadable object.
func TestOddObjectHidesTheOthersOfItsKind(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, s := newCatalogueStore(t)
	_, err := s.Put(ctx, "relay/a/0", []byte("own"), gd.Revision{})
	is.NoErr(err)
	kind, name := entryFor("relay/a/1")
	odd, err := s.catalogue.Put(ctx, kind, name, []byte(`{"not":"a string"}`), gd.Revision{})
	is.NoErr(err)
	list, err := s.List(ctx, "relay/a/")
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.Equal(string(list[0].Value), "own")
	is.Equal(list[1], gd.Object{Key: "relay/a/1", Revision: odd.Revision})
}

// failingStore returns errors for a number of calls before it passes calls on to the
// wrapped store.
type failingStore struct {
	gd.Store
	failures int
	calls    int
}

func (f *failingStore) fail() error {
	f.calls++
	if f.failures == 0 {
		return nil
	}
	f.failures--
	return gd.Unavailable.Errorf("injected failure")
}

func (f *failingStore) Get(ctx context.Context, key string) (gd.Object, error) {
	if err := f.fail(); err != nil {
		return gd.Object{}, err
	}
	return f.Store.Get(ctx, key)
}

func (f *failingStore) Put(ctx context.Context, key string, value []byte, rev gd.Revision) (gd.Object, error) {
	if err := f.fail(); err != nil {
		return gd.Object{}, err
	}
	return f.Store.Put(ctx, key, value, rev)
}

func TestClientRetriesReadsOnly(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := &failingStore{Store: NewMemory(), failures: 2}
	c := NewClient(f, clock.System{}, 1000, 1)
	_, err := c.Get(ctx, "k")
	is.True(gd.NotFound.Is(err))
	is.Equal(f.calls, 3)
	f.failures, f.calls = 1, 0
	_, err = c.Put(ctx, "k", nil, gd.Revision{})
	is.True(gd.Unavailable.Is(err))
	is.Equal(f.calls, 1)
}

func TestClientRateLimit(t *testing.T) {
	is := is.New(t)
	var now clock.Fake
	m := NewMemory()
	c := NewClient(m, &now, 1, 1)
	for range 10 * burstCalls {
		c.Put(context.Background(), "k", nil, gd.Revision{})
	}
	is.Equal(m.Counts().Writes, uint64(burstCalls))
	now.Advance(3 * time.Second)
	for range 10 {
		c.Put(context.Background(), "k", nil, gd.Revision{})
	}
	is.Equal(m.Counts().Writes, uint64(burstCalls+3))
}

// TestCorruptedEntries decodes corrupted copies of an entry's value. Errors must be of
// kind Unavailable.
func TestCorruptedEntries(t *testing.T) {
	for data := range mutate.Copies([]byte(`"eA=="`), 2000) {
		if _, err := decodeObject("k", gd.Entry{Value: data}); err != nil && !gd.Unavailable.Is(err) {
			t.Fatal(err)
		}
	}
}

func FuzzEntry(f *testing.F) {
	f.Add([]byte(`"eA=="`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decodeObject("k", gd.Entry{Value: data}); err != nil && !gd.Unavailable.Is(err) {
			t.Fatal(err)
		}
	})
}
