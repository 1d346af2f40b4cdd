package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stores returns the same stand-in met in memory and over HTTP.
func stores(t *testing.T) (*Memory, map[string]gd.Store) {
	m := NewMemory()
	s := httptest.NewServer(NewHandler(m))
	r := NewRemote(s.URL)
	t.Cleanup(func() { r.Close(); s.Close() })
	return m, map[string]gd.Store{"memory": m, "http": r}
}

func TestStore(t *testing.T) {
	_, list := stores(t)
	for name, s := range list {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			key := name + "/a b/ü?"
			_, err := s.Get(ctx, key)
			is.True(gd.NotFound.Is(err))
			one, err := s.Put(ctx, key, []byte("1"), 0)
			is.NoErr(err)
			_, err = s.Put(ctx, key, []byte("2"), 0)
			is.True(gd.Conflict.Is(err)) // it exists
			two, err := s.Put(ctx, key, []byte("2"), one.Revision)
			is.NoErr(err)
			is.True(two.Revision > one.Revision)
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
			again, err := s.Put(ctx, key, []byte("4"), 0)
			is.NoErr(err)
			is.True(again.Revision > two.Revision) // never back, also after a removal
			_, err = s.Put(ctx, "big", make([]byte, gd.MaxObjectBytes+1), 0)
			is.True(gd.TooLarge.Is(err))
		})
	}
}

func TestWatchWakesOnChange(t *testing.T) {
	_, list := stores(t)
	for name, s := range list {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			got := make(chan gd.Object, 1)
			go func() {
				o, _ := s.Watch(ctx, name, 0, time.Minute)
				got <- o
			}()
			_, err := s.Put(ctx, name, []byte("x"), 0)
			is.NoErr(err)
			is.Equal(string((<-got).Value), "x")
		})
	}
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m, list := stores(t)
	s := list["http"]
	m.SetFaults(Faults{LoseAnswers: 1})
	_, err := s.Put(ctx, "k", []byte("x"), 0)
	is.True(gd.Unavailable.Is(err))
	o, err := s.Get(ctx, "k")
	is.NoErr(err) // it took effect all the same
	m.SetFaults(Faults{StallWatches: true})
	_, err = s.Watch(ctx, "k", 0, time.Millisecond)
	is.True(gd.TimedOut.Is(err))
	m.SetFaults(Faults{RepeatWatch: true})
	again, err := s.Watch(ctx, "k", o.Revision, time.Minute)
	is.NoErr(err)
	is.Equal(again.Revision, o.Revision)
	m.SetFaults(Faults{Outage: true})
	_, err = s.Get(ctx, "k")
	is.True(gd.Unavailable.Is(err))
	m.SetFaults(Faults{Delay: time.Hour})
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = s.Get(short, "k")
	is.True(gd.Unavailable.Is(err))
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	s := httptest.NewServer(NewHandler(m))
	defer s.Close()
	put := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, s.URL+"/faults", bytes.NewReader([]byte(body)))
		is.NoErr(err)
		res, err := s.Client().Do(req)
		is.NoErr(err)
		res.Body.Close()
		return res.StatusCode
	}
	is.Equal(put(`{"outage": true}`), http.StatusOK)
	_, err := m.Get(context.Background(), "k")
	is.True(gd.Unavailable.Is(err))
	is.Equal(put(`{"outrage": true}`), http.StatusBadRequest)
}

// failing fails a number of calls before they reach the store below.
type failing struct {
	gd.Store
	left  int
	calls int
}

func (f *failing) fail() error {
	f.calls++
	if f.left == 0 {
		return nil
	}
	f.left--
	return gd.Unavailable.Errorf("told to fail")
}

func (f *failing) Get(ctx context.Context, key string) (gd.Object, error) {
	if err := f.fail(); err != nil {
		return gd.Object{}, err
	}
	return f.Store.Get(ctx, key)
}

func (f *failing) Put(ctx context.Context, key string, value []byte, rev uint64) (gd.Object, error) {
	if err := f.fail(); err != nil {
		return gd.Object{}, err
	}
	return f.Store.Put(ctx, key, value, rev)
}

func TestClientRepeatsReadsAndNeverWrites(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := &failing{Store: NewMemory(), left: 2}
	c := NewClient(f, clock.System{}, 1000, 1)
	_, err := c.Get(ctx, "k")
	is.True(gd.NotFound.Is(err))
	is.Equal(f.calls, 3)
	f.left, f.calls = 1, 0
	_, err = c.Put(ctx, "k", nil, 0)
	is.True(gd.Unavailable.Is(err))
	is.Equal(f.calls, 1)
}

func TestClientKeepsToItsBudget(t *testing.T) {
	is := is.New(t)
	var now clock.Fake
	m := NewMemory()
	c := NewClient(m, &now, 1, 1)
	for range 10 * budgetBurst {
		c.Put(context.Background(), "k", nil, 0)
	}
	is.Equal(m.Counts().Writes, uint64(budgetBurst))
	now.Advance(3 * time.Second)
	for range 10 {
		c.Put(context.Background(), "k", nil, 0)
	}
	is.Equal(m.Counts().Writes, uint64(budgetBurst+3))
}

func TestSaveAndRestore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := NewMemory()
	o, err := m.Put(ctx, "k", []byte("v"), 0)
	is.NoErr(err)
	var file bytes.Buffer
	is.NoErr(Save(m, &file))
	back := NewMemory()
	is.NoErr(Restore(back, &file))
	got, err := back.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(got, o)
	next, err := back.Put(ctx, "l", nil, 0)
	is.NoErr(err)
	is.True(next.Revision > o.Revision)
}

func takeAnswer(data []byte) error {
	var o wireObject
	return decodeReply(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, &o)
}

func TestDamagedAnswers(t *testing.T) {
	for data := range mutate.Copies([]byte(`{"key":"k","revision":7,"value":"eA=="}`), 2000) {
		if err := takeAnswer(data); err != nil && !gd.Unavailable.Is(err) {
			t.Fatal(err)
		}
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"key":"k","revision":7,"value":"eA=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := takeAnswer(data); err != nil && !gd.Unavailable.Is(err) {
			t.Fatal(err)
		}
	})
}
