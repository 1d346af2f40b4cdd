package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

var concurrencyKey = Key{Caller: "a", Dimension: Concurrency}

// testNode is a simulated node. The test checks the share that it enforces, not its
// grant in the pool.
type testNode struct {
	name            string
	incarnation     uint64
	serial          uint64
	meter           Meter
	pendingMessages []requestMessage // sent to the pool and not delivered yet
	replies         []reply
}

// requestMessage is a message with share requests.
type requestMessage struct {
	from     Requester
	requests []Request
}

type reply struct {
	serial uint64
	shares []Share
}

func (n *testNode) enforced() int64 {
	if l, ok := n.meter.limiters[concurrencyKey]; ok {
		return l.share
	}
	return 0
}

// TestSharesNeverExceedTheLimit runs nodes and a pool with random demands and
// restarts, failing writes, and share requests and replies that are lost, delayed or
// reordered, and checks the sum of the shares that the nodes enforce.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(1, 20).Draw(t, "limit"))
		limits := map[Key]int64{concurrencyKey: limit}
		var pool Pool
		var nodes []*testNode
		for i := range rapid.IntRange(2, 3).Draw(t, "nodes") {
			n := &testNode{name: fmt.Sprint("n", i), incarnation: 1}
			n.meter.SetLimits(limits)
			nodes = append(nodes, n)
		}
		now := clock.Time(0)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			monotonic := now.Sub(0)
			n := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				n.meter.limiter(monotonic, concurrencyKey).demand = float64(rapid.IntRange(0, 30).Draw(t, "demand"))
				n.meter.RequestAgain()
				n.serial++
				n.pendingMessages = append(n.pendingMessages, requestMessage{Requester{n.name, n.incarnation, n.serial}, n.meter.Requests(monotonic)})
				n.replies = nil // a node ignores the replies to its earlier messages
			case 2, 3: // a message arrives at the pool, not necessarily the oldest one
				if len(n.pendingMessages) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(n.pendingMessages)-1).Draw(t, "which")
				m := n.pendingMessages[i]
				n.pendingMessages = append(n.pendingMessages[:i:i], n.pendingMessages[i+1:]...)
				next, shares := pool.WithRequests(now, m.from, m.requests, limits)
				if rapid.IntRange(0, 4).Draw(t, "write fails") == 0 {
					continue
				}
				pool = next
				if m.from.Incarnation == n.incarnation && m.from.Serial == n.serial {
					n.replies = append(n.replies, reply{m.from.Serial, shares})
				}
			case 4: // the node receives the replies
				for _, m := range n.replies {
					for _, s := range m.shares {
						n.meter.SetShare(monotonic, s)
					}
				}
				n.replies = nil
			case 5: // the node restarts
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					n.incarnation++
					n.serial, n.replies, n.meter = 0, nil, Meter{}
					n.meter.SetLimits(limits)
				}
			}
			var sum int64
			for _, n := range nodes {
				sum += n.enforced()
			}
			if sum > limit {
				t.Fatalf("the sum of the shares is %d, the limit is %d", sum, limit)
			}
		}
	})
}

func TestSharesExceedTheLimitAfterStoreWasRestored(t *testing.T) {
	is := is.New(t)
	limits := map[Key]int64{concurrencyKey: 10}
	meters := map[string]*Meter{"n0": {}, "n1": {}}
	for _, m := range meters {
		m.SetLimits(limits)
	}
	copied := requestSharesInTurn(Pool{}, limits, meters, map[string]float64{"n0": 2, "n1": 8})
	requestSharesInTurn(copied, limits, meters, map[string]float64{"n0": 8, "n1": 2})
	is.Equal(meters["n0"].limiter(0, concurrencyKey).share, int64(8)) // the copy has 2
	meters["n1"].limiter(0, concurrencyKey).demand = 8

	pool, serial := copied, uint64(100)
	for _, step := range []struct {
		node    string
		request func(Pool, clock.Time, Requester, []Request, map[Key]int64) (Pool, []Share)
	}{{"n1", Pool.WithReports}, {"n0", Pool.WithReports}, {"n1", Pool.WithRequests}, {"n0", Pool.WithRequests}} {
		serial++
		m := meters[step.node]
		m.RequestAgain()
		var shares []Share
		pool, shares = step.request(pool, 0, Requester{step.node, 1, serial}, m.Requests(0), limits)
		for _, s := range shares {
			m.SetShare(0, s)
		}
		is.True(meters["n0"].limiter(0, concurrencyKey).share+meters["n1"].limiter(0, concurrencyKey).share <= 10)
	}
}

// requestSharesInTurn makes the nodes request shares in turn, with enough rounds for
// the shares to become stable.
func requestSharesInTurn(pool Pool, limits map[Key]int64, meters map[string]*Meter, demand map[string]float64) Pool {
	serial := uint64(0)
	for _, g := range pool.Grants() {
		serial = max(serial, g.Serial)
	}
	for range 6 {
		for _, name := range []string{"n0", "n1", "n2"} {
			m, ok := meters[name]
			if !ok {
				continue
			}
			serial++
			m.limiter(0, concurrencyKey).demand = demand[name]
			m.RequestAgain()
			var shares []Share
			pool, shares = pool.WithRequests(0, Requester{name, 1, serial}, m.Requests(0), limits)
			for _, s := range shares {
				m.SetShare(0, s)
			}
		}
	}
	return pool
}

func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	limits := map[Key]int64{concurrencyKey: 12}
	meters := map[string]*Meter{"n0": {}, "n1": {}, "n2": {}}
	for _, m := range meters {
		m.SetLimits(limits)
	}
	share := func(n string) int64 { return meters[n].limiters[concurrencyKey].share }
	pool := requestSharesInTurn(Pool{}, limits, meters, map[string]float64{})
	is.Equal([]int64{share("n0"), share("n1"), share("n2")}, []int64{4, 4, 4})
	pool = requestSharesInTurn(pool, limits, meters, map[string]float64{"n0": 10, "n1": 1})
	is.True(share("n0") >= 10)
	is.Equal(share("n0")+share("n1")+share("n2"), int64(12))
	pool = pool.WithRelease("n0")
	delete(meters, "n0")
	requestSharesInTurn(pool, limits, meters, map[string]float64{"n1": 10})
	is.Equal(share("n1")+share("n2"), int64(12)) // the share of n0 has been redistributed
}

func TestShareOfDeadNodeExpires(t *testing.T) {
	is := is.New(t)
	limits := map[Key]int64{concurrencyKey: 10}
	requests := []Request{{Key: concurrencyKey, Demand: 10}}
	pool, shares := Pool{}.WithRequests(0, Requester{"dead", 1, 1}, requests, limits)
	is.Equal(shares[0].Amount, int64(10))
	pool, shares = pool.WithRequests(clock.Time(0).Add(GrantTTL), Requester{"other", 1, 1}, requests, limits)
	is.Equal(shares[0].Amount, int64(0)) // the first node may be unreachable and still serve callers
	_, shares = pool.WithRequests(clock.Time(0).Add(GrantTTL+2*maxClockSkew), Requester{"other", 1, 2}, requests, limits)
	is.Equal(shares[0].Amount, int64(10))
}

func TestMeterEnforcesShares(t *testing.T) {
	is := is.New(t)
	rateKey := Key{Caller: "a", Dimension: Rate}
	var m Meter
	m.SetLimits(map[Key]int64{rateKey: 100 * RateUnits, concurrencyKey: 4})
	is.True(gd.RateLimited.Is(m.Enter(0, "a"))) // the node has no share yet
	is.NoErr(m.Enter(0, "free"))                // a caller without a limit
	m.SetShare(0, Share{rateKey, 10 * RateUnits, 100 * RateUnits})
	m.SetShare(0, Share{concurrencyKey, 2, 4})
	admitted := 0
	for ms := range 10_000 {
		if m.Enter(time.Duration(ms)*time.Millisecond, "a") == nil {
			admitted++
			m.Leave("a")
		}
	}
	is.True(admitted >= 99 && admitted <= 103)
	later := time.Hour
	is.NoErr(m.Enter(later, "a"))
	is.NoErr(m.Enter(later, "a"))
	is.True(gd.RateLimited.Is(m.Enter(later, "a"))) // two calls are running
	m.SetLimits(map[Key]int64{rateKey: 100 * RateUnits, concurrencyKey: 2})
	is.Equal(m.limiters[concurrencyKey].share, int64(1)) // lowering the limit reduces the share at once
}

func FuzzDecode(f *testing.F) {
	pool, _ := Pool{}.WithRequests(0, Requester{"n", 1, 1}, []Request{{Key: concurrencyKey, Demand: 1}}, map[Key]int64{concurrencyKey: 2})
	data, _ := pool.Encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) { decodeAndUse(t, data) })
}

func decodeAndUse(t testing.TB, data []byte) {
	p, err := Decode(data)
	if err != nil {
		return
	}
	if _, err := p.Encode(); err != nil {
		t.Fatal(err)
	}
	p.WithRequests(0, Requester{"n", 1, 1}, []Request{{Key: concurrencyKey, Demand: 1}}, map[Key]int64{concurrencyKey: 2})
}

func TestDecodeDamagedPools(t *testing.T) {
	pool, _ := Pool{}.WithRequests(0, Requester{"n", 1, 1}, []Request{{Key: concurrencyKey, Demand: 1}}, map[Key]int64{concurrencyKey: 2})
	data, err := pool.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for copied := range mutate.Copies(data, 2000) {
		decodeAndUse(t, copied)
	}
}

func ExamplePool() {
	limits := map[Key]int64{{Caller: "app", Dimension: Concurrency}: 4}
	requests := []Request{{Key: Key{Caller: "app", Dimension: Concurrency}, Demand: 3}}
	pool, shares := Pool{}.WithRequests(0, Requester{"tags-1", 1, 1}, requests, limits)
	fmt.Println(shares[0].Amount)
	_, shares = pool.WithRequests(0, Requester{"tags-2", 1, 1}, requests, limits)
	fmt.Println(shares[0].Amount)
	// Output:
	// 4
	// 0
}
