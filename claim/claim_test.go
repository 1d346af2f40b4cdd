package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
)

// writesPerSecond is high enough that tests do not wait between writes.
const writesPerSecond = 1000

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestPartitionMatchesMap compares a partition with a map over random sequences of
// claims and times.
func TestPartitionMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Partition
		model := map[Key]Entry{}
		now := clock.Time(0)
		for serial := range uint64(rapid.IntRange(1, 50).Draw(t, "claims")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute)
			e := Entry{Key: KeyOf("s", "a", fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))), Serial: serial, At: now}
			old, taken := model[e.Key]
			if taken && old.At.Add(Retention) < now {
				taken = false
			}
			if !taken {
				model[e.Key] = e
			}
			next, winners, err := p.WithClaims(now, []Entry{e})
			if err != nil || winners[0] != model[e.Key] {
				t.Fatalf("got winner %v, want %v: %v", winners, model[e.Key], err)
			}
			data, err := next.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if p, err = Decode(data); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestFullPartitionRefusesClaims(t *testing.T) {
	is := is.New(t)
	var claims []Entry
	for i := range maxEntries {
		claims = append(claims, Entry{Key: KeyOf("s", "a", fmt.Sprint(i)), Serial: 1 << 60, At: 1 << 40, Holder: Holder{"a-node-with-a-rather-long-name-000", 1 << 60}})
	}
	p, _, err := Partition{}.WithClaims(1<<40, claims)
	is.NoErr(err)
	data, err := p.Encode()
	is.NoErr(err)
	is.True(len(data) < gd.MaxObjectBytes) // a full partition still fits into an object
	_, _, err = p.WithClaims(1<<40, []Entry{{Key: KeyOf("s", "b", "one more")}})
	is.True(gd.ClaimsUnavailable.Is(err))
}

// claimInput is the input of a claim for the linearizability check. The token is the
// output of the claim if it won the key, and otherwise a unique text.
type claimInput struct {
	key   int
	token string
}

// claimModel is the sequential model: the first claim of a key wins permanently.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(claimInput).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		winner, in, out := state.(string), input.(claimInput), output.(string)
		switch {
		case out == "": // the claim failed, and may or may not have been written
			if winner == "" {
				return true, in.token
			}
			return true, winner
		case winner == "":
			return out == in.token, in.token
		}
		return out == winner, winner
	},
}

// TestClaimsAreLinearizable checks that no key is won twice and that the history is
// linearizable when several writers claim the same keys concurrently and responses
// to writes are lost.
func TestClaimsAreLinearizable(t *testing.T) {
	m := object.NewMemory()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	clk := clock.System{}
	for w := range 4 {
		writer := NewWriter(m, clock.System{}, Holder{Node: fmt.Sprint("n", w), Incarnation: 1}, writesPerSecond)
		for g := range 4 {
			wg.Go(func() {
				for i := range 10 {
					if w == 0 && g == 0 {
						m.SetFaults(object.Faults{LostResponses: i % 3})
					}
					in := claimInput{key: (g + i) % 7}
					op := porcupine.Operation{ClientId: w*4 + g, Call: clk.Monotonic().Nanoseconds()}
					entry, own, err := writer.Claim(context.Background(), "s", KeyOf("s", "a", fmt.Sprint(in.key)))
					op.Return = clk.Monotonic().Nanoseconds()
					out := fmt.Sprint(entry.Holder, entry.Serial)
					in.token = fmt.Sprint("other", w, g, i)
					if err != nil {
						out = ""
					} else if own {
						in.token = out
					}
					op.Input, op.Output = in, out
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			})
		}
		t.Cleanup(func() { writer.Close() })
	}
	wg.Wait()
	won := map[int]int{}
	for _, op := range history {
		if in := op.Input.(claimInput); op.Output.(string) == in.token {
			won[in.key]++
		}
	}
	for key, n := range won {
		if n > 1 {
			t.Fatalf("key %d was won %d times", key, n)
		}
	}
	if !porcupine.CheckOperations(claimModel, history) {
		t.Fatal("the history is not linearizable")
	}
}

func TestLostResponseOfWriteKeepsClaim(t *testing.T) {
	is := is.New(t)
	m := object.NewMemory()
	w := NewWriter(m, clock.System{}, Holder{"n", 1}, writesPerSecond)
	defer w.Close()
	m.SetFaults(object.Faults{LostResponses: 1})
	_, own, err := w.Claim(context.Background(), "s", KeyOf("s", "a", "k"))
	is.NoErr(err)
	is.True(own)
	other := NewWriter(m, clock.System{}, Holder{"m", 1}, writesPerSecond)
	defer other.Close()
	winner, own, err := other.Claim(context.Background(), "s", KeyOf("s", "a", "k"))
	is.NoErr(err)
	is.True(!own)
	is.Equal(winner.Holder.Node, "n")
}

// keysOfOnePartition returns n keys of the same partition.
func keysOfOnePartition(n int) []Key {
	var keys []Key
	for i := 0; len(keys) < n; i++ {
		if k := KeyOf("s", "a", fmt.Sprint(i)); k.Partition() == 0 {
			keys = append(keys, k)
		}
	}
	return keys
}

func TestKeyIsClaimedTwiceAfterStoreWasRestored(t *testing.T) {
	for name, c := range map[string]struct {
		restore bool // the writer learns that the store was restored
		repeat  string
	}{
		"repeat at the same node":   {false, "first"},
		"repeat at another node":    {true, "second"},
		"another claim comes first": {false, "second"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			m := object.NewMemory()
			writers := map[string]*Writer{}
			for _, node := range []string{"first", "second"} {
				writers[node] = NewWriter(m, clock.System{}, Holder{Node: node, Incarnation: 1}, writesPerSecond)
				defer writers[node].Close()
			}
			keys := keysOfOnePartition(3)
			claim := func(node string, k Key) (Entry, bool) {
				e, mine, err := writers[node].Claim(ctx, "s", k)
				is.NoErr(err)
				return e, mine
			}
			claim("first", keys[0])
			m.Checkpoint()
			won, mine := claim("first", keys[1])
			is.True(mine)
			m.Rewind()
			switch {
			case c.restore:
				writers["first"].Restore()
				o, err := m.Watch(ctx, keyPrefix+"s/0", gd.Revision{Era: 2, Number: 1}, time.Minute)
				is.NoErr(err)
				is.True(o.Revision.Number > 1)
			case c.repeat == "second":
				claim("first", keys[2])
			}
			e, mine := claim(c.repeat, keys[1])
			is.True(!mine)
			is.Equal(e, won)
		})
	}
}

func TestClaimsThatCannotBeDecodedAreOverwritten(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := object.NewMemory()
	k := keysOfOnePartition(1)[0]
	damaged := []byte("no claims")
	_, err := m.Put(ctx, keyPrefix+"s/0", damaged, gd.Revision{})
	is.NoErr(err)
	w := NewWriter(m, clock.System{}, Holder{"n", 1}, writesPerSecond)
	defer w.Close()
	_, _, err = w.Claim(ctx, "s", k)
	is.True(gd.ClaimsUnavailable.Is(err))
	o, err := m.Get(ctx, keyPrefix+"s/0")
	is.NoErr(err)
	is.Equal(o.Value, damaged)
}

func TestOutageRefusesClaims(t *testing.T) {
	is := is.New(t)
	m := object.NewMemory()
	w := NewWriter(m, clock.System{}, Holder{"n", 1}, writesPerSecond)
	defer w.Close()
	m.SetFaults(object.Faults{Outage: true})
	_, _, err := w.Claim(context.Background(), "s", KeyOf("s", "a", "k"))
	is.True(gd.ClaimsUnavailable.Is(err))
}

func TestFirstNodeChangesOnlyWhenItLeaves(t *testing.T) {
	is := is.New(t)
	nodes := []string{"a", "b", "c", "d"}
	for p := range Partitions {
		before := RankNodes("s", p, nodes)
		after := RankNodes("s", p, []string{"a", "b", "d"})
		if before[0] != "c" {
			is.Equal(after[0], before[0])
		}
	}
}

func FuzzDecode(f *testing.F) {
	p, _, _ := Partition{}.WithClaims(0, []Entry{{Key: KeyOf("s", "a", "k")}})
	data, _ := p.Encode()
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { decodeAndClaim(data) })
}

func decodeAndClaim(data []byte) {
	if p, err := Decode(data); err == nil {
		p.WithClaims(0, []Entry{{Key: KeyOf("s", "a", "k")}})
	}
}

func TestDamagedClaims(t *testing.T) {
	p, _, _ := Partition{}.WithClaims(0, []Entry{{Key: KeyOf("s", "a", "k")}})
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for damaged := range mutate.Copies(data, 2000) {
		decodeAndClaim(damaged)
	}
}

func ExamplePartition() {
	k := KeyOf("orders", "notary", "order-17")
	p, _, _ := Partition{}.WithClaims(0, []Entry{{Key: k, Holder: Holder{"orders-1", 1}}})
	_, winners, _ := p.WithClaims(0, []Entry{{Key: k, Holder: Holder{"orders-2", 1}}})
	fmt.Println(winners[0].Holder.Node)
	// Output: orders-1
}
