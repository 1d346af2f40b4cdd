package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
)

const key = "relay/dc/0"

// candidate applies the steps of a lease to a store.
type candidate struct {
	lease Lease
	store gd.Store
	rnd   *rand.Rand
}

func newCandidate(name string, store gd.Store) *candidate {
	return &candidate{New(name, name+":1", "dc"), store, rand.New(rand.NewPCG(1, 1))}
}

func (c *candidate) step(now clock.Time) {
	ctx := context.Background()
	switch s := c.lease.Next(now); s.Action {
	case Read:
		o, err := c.store.Get(ctx, key)
		if err != nil && !gd.NotFound.Is(err) {
			c.lease = c.lease.WithFailure(now, c.rnd)
			return
		}
		c.lease = c.lease.WithRead(now, o)
	case Write:
		c.write(ctx, now, s)
	}
}

func (c *candidate) write(ctx context.Context, now clock.Time, s Step) {
	data, err := s.Record.Encode()
	if err != nil {
		panic(err)
	}
	o, err := c.store.Put(ctx, key, data, s.IfRevision)
	if err != nil {
		c.lease = c.lease.WithFailure(now, c.rnd)
		return
	}
	c.lease = c.lease.WithWritten(now, s.Record, o.Revision)
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := object.NewMemory()
		var candidates []*candidate
		for i := range 3 {
			candidates = append(candidates, newCandidate(fmt.Sprint("n", i), m))
		}
		now := clock.Time(1000)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			m.SetFaults(object.Faults{
				Outage:        rapid.IntRange(0, 9).Draw(t, "outage") == 0,
				LostResponses: rapid.IntRange(0, 5).Draw(t, "lose") / 5,
			})
			// The candidates that are not drawn are paused.
			candidates[rapid.IntRange(0, 2).Draw(t, "candidate")].step(now)
			held := 0
			for _, c := range candidates {
				if c.lease.Held(now) {
					held++
				}
			}
			if held > 1 {
				t.Fatalf("%d candidates hold the lease at %d", held, now)
			}
		}
	})
}

func TestPausedHolderSeesExpiredLease(t *testing.T) {
	is := is.New(t)
	m := object.NewMemory()
	a, b := newCandidate("a", m), newCandidate("b", m)
	now := clock.Time(0)
	a.step(now)
	a.step(now)
	is.True(a.lease.Held(now))
	now = now.Add(Term + time.Second) // a is paused until its lease expires
	b.step(now)
	b.step(now)
	is.True(b.lease.Held(now))
	is.True(!a.lease.Held(now))
	a.step(now) // its write fails because the revision has changed
	now = now.Add(time.Second)
	a.step(now)
	is.Equal(a.lease.LastSeen().Holder, "b")
}

func TestLostResponseOfWriteKeepsLease(t *testing.T) {
	is := is.New(t)
	m := object.NewMemory()
	a := newCandidate("a", m)
	a.step(0)
	m.SetFaults(object.Faults{LostResponses: 1})
	a.step(0)
	is.True(!a.lease.Held(0)) // the outcome of the write is unknown
	now := clock.Time(0).Add(time.Second)
	a.step(now)
	is.True(a.lease.Held(now))
}

func FuzzDecode(f *testing.F) {
	data, _ := Record{Holder: "n"}.Encode()
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { decodeAndStep(data) })
}

func decodeAndStep(data []byte) {
	l := New("n", "n:1", "dc").WithRead(0, gd.Object{Revision: gd.Revision{Number: 1}, Value: data})
	if step := l.Next(0); step.Action == Wait && step.At < 0 {
		panic("lease waits until a time in the past")
	}
}

func TestDamagedLeases(t *testing.T) {
	data, err := Record{Holder: "n"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for damaged := range mutate.Copies(data, 2000) {
		decodeAndStep(damaged)
	}
}

func ExampleLease() {
	l := New("node-1", "10.0.0.1:8443", "ist-a").WithRead(0, gd.Object{})
	step := l.Next(0)
	l = l.WithWritten(0, step.Record, gd.Revision{Number: 1})
	fmt.Println(l.Held(0), l.Held(clock.Time(0).Add(Term)))
	// Output: true false
}
