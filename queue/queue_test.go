package queue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

const never = time.Duration(math.MaxInt64 / 4)

func item(id uint64, caller string, weight int) Item {
	return Item{ID: id, Caller: caller, Weight: weight, Limit: 1000, Deadline: never}
}

// load is a caller that always has calls waiting.
type load struct {
	caller   string
	weight   int
	slotTime time.Duration
}

// serve simulates a queue that serves the loads for the duration total. It returns
// the slot time that each caller got.
func serve(slots int, loads []load, total time.Duration) map[string]time.Duration {
	f := New(slots)
	type running struct {
		load  load
		begin time.Duration
		end   time.Duration
	}
	runs := map[uint64]running{}
	got := map[string]time.Duration{}
	owner := map[uint64]load{}
	var id uint64
	for now := time.Duration(0); now < total; now += time.Millisecond {
		for i, r := range runs {
			if r.end <= now {
				got[r.load.caller] += r.end - r.begin
				f.Done(now, i)
				delete(runs, i)
			}
		}
		for _, l := range loads {
			for f.flow(now, item(0, l.caller, l.weight)).waiting == nil || len(f.flows[l.caller].waiting) < 2*slots {
				id++
				owner[id] = l
				if f.Submit(now, item(id, l.caller, l.weight)) != nil {
					break
				}
			}
		}
		for _, it := range f.Start(now) {
			runs[it.ID] = running{owner[it.ID], now, now + owner[it.ID].slotTime}
		}
	}
	return got
}

// TestSharesMatchFluidModel compares the slot time of callers that always have
// calls waiting with the fluid model, which divides the slots exactly by weight.
func TestSharesMatchFluidModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 6).Draw(t, "slots")
		var loads []load
		weights := 0
		for i := range rapid.IntRange(2, 4).Draw(t, "callers") {
			l := load{fmt.Sprint("c", i), rapid.IntRange(1, 4).Draw(t, "weight"), time.Duration(rapid.IntRange(5, 15).Draw(t, "ms")) * time.Millisecond}
			loads = append(loads, l)
			weights += l.weight
		}
		total := 20 * time.Second
		got := serve(slots, loads, total)
		for _, l := range loads {
			fairShare := float64(total) * float64(slots) * float64(l.weight) / float64(weights)
			if ratio := float64(got[l.caller]) / fairShare; ratio < 0.9 || ratio > 1.1 {
				t.Fatalf("caller %s got %.2f of its fair share with loads %v", l.caller, ratio, loads)
			}
		}
	})
}

func TestLongUploadsDoNotStarveLookups(t *testing.T) {
	is := is.New(t)
	f := New(6)
	f.Submit(0, item(1, "lookup", 1))
	f.Start(0)
	f.Done(5*time.Millisecond, 1)
	// Many uploads wait, with a mean slot time of a second.
	for i := range uint64(20) {
		f.Submit(0, item(100+i, "upload", 1))
	}
	f.flows["upload"].mean = time.Second
	is.Equal(len(f.Start(10*time.Millisecond)), 5) // one slot stays free
	is.NoErr(f.Submit(20*time.Millisecond, item(2, "lookup", 1)))
	started := f.Start(20 * time.Millisecond)
	is.Equal(len(started), 1)
	is.Equal(started[0].Caller, "lookup") // it does not wait for an upload to end
}

// TestSlotsAndOrderUnderRandomEvents checks after each of a sequence of random
// events that the slots are not exceeded, that the calls of a caller start in
// order, and that no call is lost or started twice.
func TestSlotsAndOrderUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		f := New(slots)
		state := map[uint64]string{}
		last := map[string]uint64{}
		owner := map[uint64]string{}
		now := time.Duration(0)
		for id := uint64(1); id <= uint64(rapid.IntRange(5, 60).Draw(t, "events")); id++ {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
			it := item(id, caller, rapid.IntRange(1, 3).Draw(t, "weight"))
			it.Alone = rapid.IntRange(0, 9).Draw(t, "alone") == 0
			owner[id] = caller
			if f.Submit(now, it) == nil {
				state[id] = "waiting"
			}
			for other, s := range state {
				if s == "running" && rapid.IntRange(0, 2).Draw(t, "done") == 0 {
					f.Done(now, other)
					state[other] = "done"
					break
				}
			}
			if cancelID := uint64(rapid.IntRange(1, int(id)).Draw(t, "victim")); rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
				if f.Cancel(owner[cancelID], cancelID) != (state[cancelID] == "waiting") {
					t.Fatalf("wrong result of Cancel for a call in state %q", state[cancelID])
				}
				if state[cancelID] == "waiting" {
					state[cancelID] = "cancelled"
				}
			}
			for _, s := range f.Start(now) {
				if state[s.ID] != "waiting" || s.ID < last[s.Caller] {
					t.Fatalf("call %d started in state %q, after call %d of the caller", s.ID, state[s.ID], last[s.Caller])
				}
				state[s.ID] = "running"
				last[s.Caller] = s.ID
			}
			running, waiting := 0, 0
			for _, s := range state {
				switch s {
				case "running":
					running++
				case "waiting":
					waiting++
				}
			}
			if running > slots || running != f.Running() || waiting != f.Waiting() {
				t.Fatalf("%d calls running and %d waiting; the queue reports %d and %d with %d slots", running, waiting, f.Running(), f.Waiting(), slots)
			}
		}
	})
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := New(1)
	is.NoErr(f.Submit(0, item(1, "a", 1)))
	f.Start(0)
	it := item(2, "a", 1)
	it.Limit = 1
	is.NoErr(f.Submit(0, it))
	it.ID = 3
	is.True(gd.QueueFull.Is(f.Submit(0, it)))
	unreachable := item(4, "b", 1)
	unreachable.Deadline = initialSlotTime / 2
	is.True(gd.DeadlineUnreachable.Is(f.Submit(0, unreachable)))
	expiring := item(5, "b", 1)
	expiring.Deadline = 10 * initialSlotTime
	is.NoErr(f.Submit(0, expiring))
	expired := f.Expire(expiring.Deadline)
	is.Equal(len(expired), 1)
	is.Equal(expired[0].ID, uint64(5))
}

// TestSuspectRunsAlone checks that no other call runs beside a suspect, a call that
// may have crashed a server before.
func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	f := New(3)
	suspect := item(2, "a", 1)
	suspect.Alone = true
	f.Submit(0, item(1, "a", 1))
	is.Equal(len(f.Start(0)), 1)
	f.Submit(0, suspect)
	f.Submit(0, item(3, "b", 1))
	is.Equal(len(f.Start(0)), 1) // the call of b starts before the suspect, which waits until no call runs
	f.Done(1, 1)
	f.Done(1, 3)
	is.Equal(len(f.Start(1)), 1)
	f.Submit(1, item(4, "b", 1))
	is.Equal(len(f.Start(1)), 0) // no call runs beside the suspect
	f.Done(2, 2)
	is.Equal(len(f.Start(2)), 1)
}

// TestSuspectIsNotStarved checks that a suspect is started soon although another
// caller always has a call running.
func TestSuspectIsNotStarved(t *testing.T) {
	is := is.New(t)
	f := New(2)
	suspect := item(1, "a", 1)
	suspect.Alone = true
	f.Submit(0, item(2, "b", 1))
	f.Start(0)
	f.Submit(0, suspect)
	for id := uint64(3); id < 100; id++ { // b always has a call running
		now := time.Duration(id) * 100 * time.Millisecond
		f.Submit(now, item(id, "b", 1))
		f.Done(now, id-1)
		for _, it := range f.Start(now) {
			if it.ID == 1 {
				is.True(now <= maxAloneWait+200*time.Millisecond)
				return
			}
		}
	}
	t.Fatal("the suspect was never started")
}

func ExampleFair() {
	f := New(1)
	f.Submit(0, Item{ID: 1, Caller: "scanner", Weight: 4, Limit: 10, Deadline: time.Minute})
	f.Submit(0, Item{ID: 2, Caller: "app", Weight: 1, Limit: 10, Deadline: time.Minute})
	for _, it := range f.Start(0) {
		fmt.Println(it.Caller)
	}
	// Output: app
}
