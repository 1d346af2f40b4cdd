package body

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	gd "github.com/geraniumdock/geraniumdock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestStalledBodiesGiveWay simulates a crowd whose bodies stop before their end, or arrive by
// single bytes, beside ordinary uploads of 360 KB at the pace of a link of 10 Mbit/s. The crowd must
// not keep the uploads from memory, and no upload that makes progress may give way.
func TestStalledBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	const limit, uploadBytes, step, crowdSize = 8 << 20, 360 << 10, 16 << 10, 200
	const stepTime = 13 * time.Millisecond // of step on the link
	b := newBound(limit)
	now := time.Duration(0)
	stalled := map[*account]bool{}
	for i := range crowdSize {
		a := &account{progressed: now}
		for b.reserve(a, step) && a.held < 1<<20 {
			b.advance(now, a, step)
		}
		if i%2 == 0 {
			b.advance(now, a, 1) // a single byte is no progress
		}
		stalled[a] = true
	}
	gaveWay := 0
	for range 30 {
		upload := &account{progressed: now}
		for upload.held < uploadBytes {
			for !b.reserve(upload, step) {
				a, wait := b.giveWay(now)
				is.True(a == nil || stalled[a]) // only those that make no progress
				if a != nil {
					gaveWay++
				}
				now += wait
			}
			now += stepTime
			b.advance(now, upload, step)
		}
		b.release(upload)
		is.True(!upload.gaveWay)
	}
	is.True(gaveWay > 0)
	is.True(b.used <= limit)
}

// TestSmallBodiesPassAtTheBound fills the bound with complete bodies, none of which may give way.
// Small bodies must get memory, up to the part that is reserved for them.
func TestSmallBodiesPassAtTheBound(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := newBound(limit)
	full := &account{isComplete: true}
	is.True(b.reserve(full, limit))
	small := 0
	for b.reserve(&account{}, smallBytes) {
		small++
	}
	is.Equal(small, limit/smallShare/smallBytes)
	a, _ := b.giveWay(time.Hour)
	is.True(a == nil)
}

// TestSpoolGivesWay has one spool need the memory that another holds, whose client has stopped. The
// reader of the latter must get an error of kind BodyStalled, and a pending read of its source
// be interrupted. The former gets its whole body through.
func TestSpoolGivesWay(t *testing.T) {
	is := is.New(t)
	clk := make(chan time.Duration, 1)
	clk <- 0
	now := func() time.Duration { d := <-clk; clk <- d + 100*time.Millisecond; return d }
	reported := 0
	budget := NewBudget(64<<10, now, func(error) { reported++ })
	interrupted := make(chan struct{})
	stalled := NewBounded(1<<20, budget, func() { close(interrupted) })
	_, err := stalled.Write(make([]byte, 48<<10))
	is.NoErr(err)
	data := bytes.Repeat([]byte("abc"), 16<<10)
	other := NewBounded(1<<20, budget, func() {})
	_, err = other.Write(data)
	is.NoErr(err)
	other.End(nil)
	<-interrupted
	is.True(gd.BodyStalled.Is(stalled.Err()))
	in, err := stalled.Reader()
	is.NoErr(err)
	_, err = in.Read(make([]byte, 1))
	is.True(gd.BodyStalled.Is(err))
	is.True(gd.BodyStalled.Is(stalled.AwaitBuffered(context.Background())))
	in, err = other.Reader()
	is.NoErr(err)
	got, err := io.ReadAll(in)
	is.NoErr(err)
	is.True(bytes.Equal(got, data))
	stalled.Discard()
	other.Discard()
	is.Equal(budget.Used(), int64(0))
	is.Equal(reported, 1)
}

// TestSpoolKeepsBytes writes a body longer than the limit in parts of random length, while it is read
// in others. It guards against errors at the borders of the blocks.
func TestSpoolKeepsBytes(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, 300_000)
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		budget := NewBudget(1<<20, func() time.Duration { return 0 }, func(error) {})
		s := NewBounded(50_000, budget, func() {})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for rest := data; len(rest) > 0; {
				n, _ := s.Write(rest[:min(len(rest), 1+random.IntN(30_000))])
				rest = rest[n:]
			}
			s.End(nil)
		}()
		in, err := s.Reader()
		is.NoErr(err)
		got, err := io.ReadAll(in)
		is.NoErr(err)
		is.True(bytes.Equal(got, data))
		<-done
		is.True(budget.Used() <= 50_000+maxBlockBytes)
		s.Discard()
		is.Equal(budget.Used(), int64(0))
	}
}
