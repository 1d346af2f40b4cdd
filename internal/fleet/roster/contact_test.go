package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// deadNetwork is an Exchanger whose nodes are dead, other than those in live. It records
// whom it asked, and what.
type deadNetwork struct {
	live  map[string]bool // by address
	mu    sync.Mutex
	asked []string
	sent  []Message
}

func (d *deadNetwork) Exchange(_ context.Context, address string, m Message) (Message, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked, d.sent = append(d.asked, address), append(d.sent, m)
	if !d.live[address] {
		return Message{}, errUnavailable
	}
	return Message{}, nil
}

// nodeName returns the name of the i-th node.
func nodeName(i int) string { return fmt.Sprint("node-", i) }

// addressOf returns the address of a node.
func addressOf(node string) string { return node + ":1" }

// stateWith returns the state of a roster of node-0 that knows nodes 1 to n-1, of which only
// those in live respond, all in one data centre.
func stateWith(n int, live ...string) (*state, *deadNetwork, *clock.Fake) {
	clk := &clock.Fake{}
	clk.Advance(time.Hour)
	network := &deadNetwork{live: map[string]bool{}}
	for _, node := range live {
		network.live[addressOf(node)] = true
	}
	s := &state{
		r: New(Config{
			Self: server.Record{Node: nodeName(0), Address: addressOf(nodeName(0))}, Catalogue: unavailable{}, ServerKind: "servers",
			Decode: decodeVersion, Exchanger: network, Clock: clk, Log: hclog.NewNullLogger(), Seed: 1,
		}),
		ctx:          context.Background(),
		changedAt:    map[string]time.Duration{},
		heardAt:      map[string]time.Duration{},
		missingSince: map[string]time.Duration{},
	}
	for i := range n {
		s.directory, _ = s.directory.WithRecords(server.Record{Node: nodeName(i), Address: addressOf(nodeName(i)), Service: "shop", Incarnation: 1, DataCentre: "dc"})
	}
	s.publishSnapshot()
	return s, network, clk
}

// runChanges waits for the tasks of s and makes the changes that they have posted, until
// there are none.
func runChanges(s *state) {
	for {
		s.r.tasks.Wait()
		select {
		case change := <-s.r.changes:
			change(s)
			s.publishSnapshot()
		default:
			return
		}
	}
}

// TestDeadNodesDoNotCount has most known nodes not respond, as after machines were removed
// without notice. They must not be chosen as partners, keep this node from watching the
// policy or lengthen its polls.
func TestDeadNodesDoNotCount(t *testing.T) {
	is := is.New(t)
	const nodes = 48
	live := []string{nodeName(1), nodeName(2)}
	s, _, _ := stateWith(nodes, live...)
	is.Equal(s.r.pollInterval(), nodes*time.Second/pollsPerSecond)
	s.push(Message{})
	runChanges(s)
	var partners []string
	for _, rec := range s.randomNodes(nodes) {
		partners = append(partners, rec.Node)
	}
	slices.Sort(partners)
	is.Equal(partners, live)
	is.Equal(s.r.pollInterval(), 3*time.Second/pollsPerSecond)
	is.True(s.r.IsWatcher()) // one of three
	is.Equal(s.r.Snapshot().Responding(), 3)
	is.Equal(s.r.Snapshot().Nodes(s.r.cfg.Clock.Monotonic()), nodes) // they may be behind a partition
}

// TestPollIsNotAwaitedForDeadNodes has a node wait for its next poll, which is long since it
// knows many nodes. When these turn out to be dead it must not go on waiting: it is the only one
// left to watch the policy.
func TestPollIsNotAwaitedForDeadNodes(t *testing.T) {
	is := is.New(t)
	s, _, _ := stateWith(1000) // a poll every 5 min
	is.True(!s.r.IsWatcher())
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		s.r.awaitPoll(context.Background())
	}()
	for i := 1; i < 1000; i++ {
		s.recordFailure(nodeName(i))
		if i%100 == 0 {
			s.publishSnapshot()
		}
	}
	s.publishSnapshot()
	<-waited
	is.True(s.r.IsWatcher())
}

// TestVersionReachesALiveNodeAmongDeadOnes brings a version into force at a node that knows
// many dead nodes and one live one, and does not know which. The live one must be notified.
func TestVersionReachesALiveNodeAmongDeadOnes(t *testing.T) {
	is := is.New(t)
	s, network, _ := stateWith(fanOut*maxReplacing+2, nodeName(1))
	s.installPolicy([]byte("3"), gd.Revision{Number: 1}, "test", 0)
	runChanges(s)
	is.True(slices.Contains(network.asked, addressOf(nodeName(1))))
}

// TestSilentNodeThatRespondsCounts finds a node silent by itself or by the word of another
// one. It must count again after its next message, after the start of its next process, and,
// if it was only hearsay, after some time. What another node says is not passed on, and not
// believed of a node that was heard just now.
func TestSilentNodeThatRespondsCounts(t *testing.T) {
	const node = "node-1"
	silence := func(s *state) bool { return s.r.Snapshot().IsSilent(node) }
	failure := func(s *state, _ *clock.Fake) { s.recordFailure(node) }
	hearsay := func(s *state, _ *clock.Fake) { s.receive(Message{Node: "node-2", Silent: []string{node}}) }
	for name, c := range map[string]struct {
		found, then func(*state, *clock.Fake)
		want        bool
	}{
		"failure":               {failure, func(*state, *clock.Fake) {}, true},
		"hearsay":               {hearsay, func(*state, *clock.Fake) {}, true},
		"message":               {failure, func(s *state, _ *clock.Fake) { s.receive(Message{Node: node}) }, false},
		"message after hearsay": {hearsay, func(s *state, _ *clock.Fake) { s.receive(Message{Node: node}) }, false},
		"next process": {failure, func(s *state, _ *clock.Fake) {
			s.merge([]server.Record{{Node: node, Address: addressOf(node), Incarnation: 2}}, "node-2")
		}, false},
		"failure some time ago":   {failure, func(s *state, clk *clock.Fake) { clk.Advance(2 * hearsayTTL); s.expire() }, true},
		"hearsay some time ago":   {hearsay, func(s *state, clk *clock.Fake) { clk.Advance(hearsayTTL); s.expire() }, false},
		"hearsay after a message": {func(s *state, _ *clock.Fake) { s.receive(Message{Node: node}) }, hearsay, false},
		"hearsay of this node":    {hearsay, func(s *state, _ *clock.Fake) { s.receive(Message{Node: "node-2", Silent: []string{"node-0"}}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _, clk := stateWith(4)
			c.found(s, clk)
			s.publishSnapshot()
			c.then(s, clk)
			s.publishSnapshot()
			is.Equal(silence(s), c.want)
			is.True(!s.r.Snapshot().IsSilent("node-0"))
		})
	}
	is := is.New(t)
	s, _, clk := stateWith(4)
	hearsay(s, clk)
	is.Equal(len(s.silentNodes()), 0)
	failure(s, clk)
	is.Equal(s.silentNodes(), []string{node})
}

// TestSilentNodesAreRetried checks that a silent node is asked again, less and less often,
// and that it counts once it has responded.
func TestSilentNodesAreRetried(t *testing.T) {
	is := is.New(t)
	s, network, clk := stateWith(2)
	s.recordFailure("node-1")
	for range 100 {
		clk.Advance(time.Second)
		s.retrySilent()
		runChanges(s)
	}
	is.True(len(network.asked) >= 100/int(3*maxRetry.Seconds()/2) && len(network.asked) < 30)
	network.live[addressOf("node-1")] = true
	clk.Advance(2 * maxRetry)
	s.retrySilent()
	runChanges(s)
	is.Equal(s.r.Snapshot().Responding(), 2)
}

// entryCatalogue is a catalogue that records which entries are deleted.
type entryCatalogue struct {
	unavailable
	deleted chan string
}

func (c entryCatalogue) Delete(_ context.Context, _, name string, _ gd.Revision) error {
	c.deleted <- name
	return nil
}

// TestEntriesOfLostNodesAreRemoved lists the entry of a node that does not respond. It must
// be removed after lostTimeout, unless nothing in its data centre responds, as behind a
// network partition, or the node has responded in between.
func TestEntriesOfLostNodesAreRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		silentFor time.Duration
		neighbour string // node in the data centre that is heard
		responds  bool
		removed   bool
	}{
		"lost":                       {lostTimeout, "node-2", false, true},
		"silent for a short time":    {lostTimeout - time.Second, "node-2", false, false},
		"nothing responds beside it": {lostTimeout, "", false, false},
		"has responded in between":   {lostTimeout, "node-2", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _, clk := stateWith(3)
			catalogue := entryCatalogue{deleted: make(chan string, 1)}
			s.r.cfg.Catalogue = catalogue
			s.recordFailure("node-1")
			clk.Advance(c.silentFor)
			if c.responds {
				s.recordResponse("node-1")
			}
			s.recordFailure("node-1")
			if c.neighbour == "" {
				s.recordFailure("node-2")
			} else {
				s.recordResponse(c.neighbour)
			}
			s.publishSnapshot()
			s.requestRemovals()
			is.Equal(len(s.r.relist) > 0, c.removed)
			rec, _ := s.directory.Record("node-1")
			value, err := json.Marshal(rec)
			is.NoErr(err)
			s.mergeList(serverList{entries: []gd.Entry{{Name: "node-1", Value: value, Revision: gd.Revision{Number: 7}}}, revision: gd.Revision{Number: 9}})
			runChanges(s)
			is.Equal(len(catalogue.deleted) > 0, c.removed)
			is.Equal(s.r.Snapshot().Nodes(clk.Monotonic()) < 3, c.silentFor >= lostTimeout && !c.responds)
		})
	}
}

// TestNodesPollTogether guards against polls of all nodes at once when fewer nodes respond.
func TestNodesPollTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, dead = 60, 60
		var mu sync.Mutex
		var polls []time.Duration
		began := time.Now()
		var running sync.WaitGroup
		for i := range nodes {
			s, _, _ := stateWith(2 * nodes)
			s.r.cfg.Clock = bubbleClock{began}
			s.r.random = rand.New(rand.NewPCG(uint64(i), 0))
			s.r.cfg.Self.Node = "zz" // not among the candidates
			running.Go(func() {
				s.r.awaitPoll(context.Background())
				mu.Lock()
				defer mu.Unlock()
				polls = append(polls, time.Since(began))
			})
			running.Go(func() {
				time.Sleep(30 * time.Second)
				for i := range dead {
					s.recordFailure(nodeName(i + 1))
				}
				s.publishSnapshot()
			})
		}
		running.Wait()
		together := 0
		for _, at := range polls {
			if at >= 30*time.Second && at < 30100*time.Millisecond {
				together++
			}
		}
		if together > 3 {
			t.Errorf("%d of %d nodes polled within 0.1 s, want at most 3", together, nodes)
		}
	})
}
