package roster

import (
	"context"
	"fmt"
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

// memoryNetwork connects rosters in memory and counts the policies that each sends.
type memoryNetwork struct {
	mu           sync.Mutex
	nodes        map[string]*Roster // by address
	policiesSent map[string]int     // by address: number of replies that carried a whole policy
}

func (m *memoryNetwork) Exchange(ctx context.Context, address string, query Message) (Message, error) {
	m.mu.Lock()
	r := m.nodes[address]
	m.mu.Unlock()
	reply := r.HandleMessage(ctx, query)
	if reply.Policy != nil {
		m.mu.Lock()
		m.policiesSent[address]++
		m.mu.Unlock()
	}
	return reply, nil
}

// policyCatalogue is a catalogue whose lists of the policy wait for an entry on the
// channel and return it. All other calls fail.
type policyCatalogue struct {
	unavailable
	entry chan gd.Entry
}

func (c policyCatalogue) List(ctx context.Context, kind string) ([]gd.Entry, gd.Revision, error) {
	if kind != "config" {
		return nil, gd.Revision{}, errUnavailable
	}
	select {
	case e := <-c.entry:
		return []gd.Entry{e}, e.Revision, nil
	case <-ctx.Done():
		return nil, gd.Revision{}, errUnavailable
	}
}

// start runs n rosters that know each other and returns them with a function that
// stops them. The first uses the given catalogue; the others cannot reach theirs.
func (m *memoryNetwork) start(n int, first gd.Catalogue) ([]*Roster, func()) {
	var records []server.Record
	for i := range n {
		records = append(records, server.Record{Node: fmt.Sprint("node-", i), Address: fmt.Sprint("node-", i, ":1"), Service: "shop", Incarnation: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var list []*Roster
	for i, rec := range records {
		catalogue := gd.Catalogue(unavailable{})
		if i == 0 {
			catalogue = first
		}
		r := New(Config{
			Self: rec, Catalogue: catalogue, PolicyKind: "config", PolicyName: "main", ServerKind: "servers",
			Decode: decodeVersion, Exchanger: m, Clock: clock.System{}, Log: hclog.NewNullLogger(), Seed: uint64(i),
		})
		m.nodes[rec.Address] = r
		list = append(list, r)
	}
	for _, r := range list {
		running.Go(func() { _ = r.Run(ctx) })
		r.HandleMessage(ctx, Message{Push: true, Records: records})
	}
	return list, func() { cancel(); running.Wait() }
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{nodes: map[string]*Roster{}, policiesSent: map[string]int{}}
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for end := clock.Deadline(20 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if clock.Since(end) > 0 {
			t.Fatal("condition was not met within 20 s")
		}
	}
}

func haveVersion(list []*Roster, version uint64) bool {
	for _, r := range list {
		if p := r.Snapshot().Policy; p == nil || p.Version < version {
			return false
		}
	}
	return true
}

// TestFirstNodeSendsPolicyToFew guards against a node that sends a new policy to the
// whole fleet, which would saturate a slow link for seconds. One node of many reads
// a new version from the catalogue. Only the few nodes that it notifies should fetch
// the policy from it.
func TestFirstNodeSendsPolicyToFew(t *testing.T) {
	is := is.New(t)
	m := newMemoryNetwork()
	catalogue := policyCatalogue{entry: make(chan gd.Entry)}
	list, stop := m.start(60, catalogue)
	catalogue.entry <- gd.Entry{Name: "main", Revision: gd.Revision{Number: 1}, Value: []byte("3")}
	waitFor(t, func() bool { return haveVersion(list, 3) })
	stop()
	// Some nodes that were not notified fetch it by gossip.
	is.True(m.policiesSent["node-0:1"] <= 2*fanOut)
}

// failingExchanger is an Exchanger that always fails. It sends the address of each
// exchange on its channel.
type failingExchanger struct{ asked chan string }

func (x failingExchanger) Exchange(_ context.Context, address string, _ Message) (Message, error) {
	x.asked <- address
	return Message{}, errUnavailable
}

// TestFetchUsesAnotherNodeAfterFailure has the node that first pushed a version fail
// to reply to the query for it. Another node that has the version must be asked.
func TestFetchUsesAnotherNodeAfterFailure(t *testing.T) {
	is := is.New(t)
	x := failingExchanger{make(chan string, 1)}
	s := &state{
		r:         New(Config{Self: server.Record{Node: "own"}, Exchanger: x, Clock: &clock.Fake{}, Log: hclog.NewNullLogger(), Seed: 1}),
		ctx:       context.Background(),
		changedAt: map[string]time.Duration{}, heardAt: map[string]time.Duration{},
	}
	s.merge([]server.Record{
		{Node: "first", Address: "first:1", Service: "shop", Incarnation: 1},
		{Node: "second", Address: "second:1", Service: "shop", Incarnation: 1},
	}, "first")
	s.receive(Message{Node: "first", Version: 3, Push: true})
	s.receive(Message{Node: "second", Version: 3, Push: true}) // not asked while the query to the first is in flight
	is.Equal(<-x.asked, "first:1")
	for range 2 { // the first does not respond, and the query to it has ended
		change := <-s.r.changes
		change(s)
	}
	is.Equal(len(x.asked), 0)
	s.receive(Message{Node: "second", Version: 3, Push: true})
	is.Equal(<-x.asked, "second:1")
	s.r.tasks.Wait()
}

var _ Exchanger = (*memoryNetwork)(nil)

// stuckNetwork is an Exchanger whose nodes do not respond. It records to whom it sent queries.
type stuckNetwork struct {
	mu    sync.Mutex
	asked map[string]bool // by address
}

func (s *stuckNetwork) Exchange(ctx context.Context, address string, m Message) (Message, error) {
	s.mu.Lock()
	if !m.Push {
		s.asked[address] = true
	}
	s.mu.Unlock()
	<-ctx.Done()
	return Message{}, ctx.Err()
}

// count returns the number of nodes that were asked.
func (s *stuckNetwork) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.asked)
}

// startAmongStuckNodes starts a roster that knows 30 others, which do not respond.
func startAmongStuckNodes(network *stuckNetwork) (stop func()) {
	r := New(Config{
		Self: server.Record{Node: "own", Address: "own:1"}, Catalogue: unavailable{}, Decode: decodeVersion,
		Exchanger: network, Clock: bubbleClock{time.Now()}, Log: hclog.NewNullLogger(), Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Run(ctx) })
	var records []server.Record
	for i := range 30 {
		records = append(records, server.Record{Node: nodeName(i), Address: addressOf(nodeName(i)), Service: "shop", Incarnation: 1})
	}
	send(r, Message{Push: true, Records: records})
	return func() { cancel(); running.Wait() }
}

// TestStuckPartnersHoldUpGossip guards against gossip that waits for partners that stand still.
func TestStuckPartnersHoldUpGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &stuckNetwork{asked: map[string]bool{}}
		stop := startAmongStuckNodes(network)
		time.Sleep(10 * time.Second)
		stop()
		if n := network.count(); n < 8 {
			t.Errorf("%d partners were asked in 10 s, want at least 8", n)
		}
	})
}

// TestStuckPartnerIsNotReplaced guards against a node that learns nothing because its partners stand still.
func TestStuckPartnerIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &stuckNetwork{asked: map[string]bool{}}
		stop := startAmongStuckNodes(network)
		for network.count() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep((gossipTries - 1) * exchangePatience)
		if n := network.count(); n != gossipTries {
			t.Errorf("%d partners were asked, want %d", n, gossipTries)
		}
		stop()
	})
}
