package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

// TestMergeIsCommutative guards against nodes that disagree on a phase because they heard of it in
// different orders, and against a phase that goes back.
func TestMergeIsCommutative(t *testing.T) {
	state := rapid.Custom(func(t *rapid.T) Rollout {
		revision := rapid.Uint64Range(1, 4).Draw(t, "revision")
		target := "v2"
		if revision > 2 { // an entry has one target at a revision
			target = "v3"
		}
		phase := Phase(rapid.IntRange(int(Canary), int(StoredComplete)).Draw(t, "phase"))
		return Rollout{
			Order: Order{Service: "shop", Target: target}, Revision: gd.Revision{Era: 1, Number: revision}, Phase: phase,
			Step: rapid.Uint32Range(0, 2).Draw(t, "step"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := state.Draw(t, "a"), state.Draw(t, "b")
		ab, _ := a.Merge(b)
		ba, _ := b.Merge(a)
		if ab != ba {
			t.Fatalf("%v and %v", ab, ba)
		}
		if a.Target == b.Target && ab.Phase < max(a.Phase, b.Phase) {
			t.Fatalf("the phase went back to %s", ab.Phase)
		}
		if again, changed := ab.Merge(a); changed || again != ab {
			t.Fatalf("%v changes %v", a, ab)
		}
	})
}

// TestRemovedOrder guards against an order that is restored by a message after its entry was
// removed, and against one that cannot be given again.
func TestRemovedOrder(t *testing.T) {
	is := is.New(t)
	at := func(p Phase, number uint64) Rollout {
		return Rollout{Order: Order{Service: "shop", Target: "v2"}, Phase: p, Revision: gd.Revision{Era: 1, Number: number}}
	}
	closed, _ := at(Shift, 5).Merge(at(Closed, 6))
	is.Equal(closed.Phase, Closed)
	late, _ := closed.Merge(at(Shift, 5))
	is.Equal(late.Phase, Closed)
	again, changed := closed.Merge(at(Canary, 7))
	is.True(changed)
	is.Equal(again.Phase, Canary)
}

// TestNodeOutOfContactTakesNoStep guards against a node that was paused or is cut off and completes
// a roll-out that the others have rolled back.
func TestNodeOutOfContactTakesNoStep(t *testing.T) {
	is := is.New(t)
	l := Limits{Share: 0.1, Slack: 50}
	r := Start(Order{Service: "shop", Target: "v2", Duration: 10 * time.Second}, 0, l)
	tally := NewTally("v2")
	alone := Fleet{Targets: 2, Others: 2}
	is.Equal(Decide(8*time.Second, r, tally, alone, l).Phase, Canary)
	alone.IsFresh = true
	shifted := Decide(8*time.Second, r, tally, alone, l)
	is.Equal(shifted.Phase, Shift)
	alone.IsFresh = false
	is.Equal(Decide(20*time.Second, shifted, tally, alone, l).Phase, Shift)
	is.Equal(Decide(9500*time.Millisecond, r, tally, alone, l).Phase, Canary)
	is.Equal(Decide(10*time.Second, r, tally, alone, l).Phase, RolledBack) // a good one would be complete by now
}
