package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
	"github.com/geraniumdock/geraniumdock/lease"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// history holds all versions of a table, as committed to the platform.
type history struct {
	table  table.Table
	heads  []table.Head
	chunks table.Chunks
}

// newHistory returns the history of a table with the caller a, the services s and
// u, and a single version.
func newHistory(t testing.TB) *history {
	h := &history{chunks: table.Chunks{}, heads: []table.Head{{}}}
	e := table.Edit{ID: "first", Changes: []table.Change{
		{Key: table.Key{Sheet: table.Callers, Row: "a", Column: "token-sha256"}, Value: fmt.Sprintf("%064x", 1)},
	}}
	for _, s := range []string{"s", "u"} {
		e.Changes = append(e.Changes,
			table.Change{Key: table.Key{Sheet: table.Services, Row: s, Column: "routes"}, Value: "/" + s},
			table.Change{Key: table.RowKey("a", s, "weight"), Value: "1"})
	}
	h.commit(t, e)
	return h
}

func (h *history) commit(t testing.TB, e table.Edit) {
	t.Helper()
	next, err := h.table.WithEdit(e)
	if err != nil {
		t.Fatal(err)
	}
	refs, chunks, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for hash, data := range chunks {
		h.chunks[hash] = data
	}
	h.table = next
	h.heads = append(h.heads, table.Head{Version: next.Version(), Refs: refs})
}

func (h *history) setWeight(t testing.TB, service string, weight int) {
	h.commit(t, table.Edit{ID: "e", Changes: []table.Change{
		{Key: table.RowKey("a", service, "weight"), Value: fmt.Sprint(weight), ReadVersion: h.table.Version()},
	}})
}

func (h *history) newest() table.Head { return h.heads[len(h.heads)-1] }

// check fails unless the follower enforces the version that it reports.
func (h *history) check(t testing.TB, f *Follower) {
	t.Helper()
	if f.Version() == 0 {
		return
	}
	want, err := table.Assemble(h.heads[f.Version()], h.chunks)
	if err != nil {
		t.Fatal(err)
	}
	policy, err := want.Policy()
	if err != nil {
		t.Fatal(err)
	}
	f.RequireVersion(0)
	for _, s := range []string{"s", "u"} {
		if got := f.Policy().Services[s].Rows["a"].Weight; got != policy.Services[s].Rows["a"].Weight {
			t.Fatalf("version %d: service %s has weight %d, want %d", f.Version(), s, got, policy.Services[s].Rows["a"].Weight)
		}
	}
}

func newHub(name string, seed uint64) *Hub {
	return NewHub(name, "dc", 0, rand.New(rand.NewPCG(seed, 0)))
}

// testNetwork simulates the links between followers and hubs. It encodes messages
// and queues them per link, so that a test can delay or lose them.
type testNetwork struct {
	t             testing.TB
	now           clock.Time
	hubs          map[string]*Hub
	followers     map[string]*Follower
	links         map[string]string // hub by follower
	toNode, toHub map[string][][]byte
}

func newTestNetwork(t testing.TB) *testNetwork {
	return &testNetwork{t: t, hubs: map[string]*Hub{}, followers: map[string]*Follower{}, links: map[string]string{}, toNode: map[string][][]byte{}, toHub: map[string][][]byte{}}
}

func (net *testNetwork) encode(m Message) []byte {
	data, err := Encode(m)
	if err != nil {
		net.t.Fatal(err)
	}
	return data
}

func (net *testNetwork) decode(data []byte) Message {
	m, err := Decode(data)
	if err != nil {
		net.t.Fatal(err)
	}
	return m
}

func (net *testNetwork) connect(node, hub string) {
	net.disconnect(node)
	net.links[node] = hub
	hello := net.decode(net.encode(net.followers[node].Hello()))
	net.enqueue(hub, net.hubs[hub].Join(net.now, hello.(*Hello)))
}

func (net *testNetwork) disconnect(node string) {
	if hub, ok := net.links[node]; ok && net.hubs[hub] != nil {
		net.hubs[hub].Leave(net.now, node)
	}
	delete(net.links, node)
	delete(net.toNode, node)
	delete(net.toHub, node)
}

// enqueue queues the messages that a hub sends.
func (net *testNetwork) enqueue(hub string, sends []Send) {
	for _, s := range sends {
		if net.links[s.To] == hub {
			net.toNode[s.To] = append(net.toNode[s.To], net.encode(s.Message))
		}
	}
}

// deliver delivers the oldest message on the node's link, in the direction from
// the hub or to it.
func (net *testNetwork) deliver(node string, fromHub bool) {
	queue := net.toHub
	if fromHub {
		queue = net.toNode
	}
	if len(queue[node]) == 0 {
		return
	}
	m := net.decode(queue[node][0])
	queue[node] = queue[node][1:]
	if !fromHub {
		hub := net.links[node]
		net.enqueue(hub, net.hubs[hub].Handle(net.now, node, m))
		return
	}
	for _, reply := range net.followers[node].Handle(m) {
		net.toHub[node] = append(net.toHub[node], net.encode(reply))
	}
}

// deliverAll runs the hubs for 10 simulated seconds and delivers all messages.
func (net *testNetwork) deliverAll() {
	for range 100 {
		net.now = net.now.Add(100 * time.Millisecond)
		for name, h := range net.hubs {
			net.enqueue(name, h.Tick(net.now))
		}
		for node := range net.links {
			for len(net.toNode[node]) > 0 || len(net.toHub[node]) > 0 {
				net.deliver(node, true)
				net.deliver(node, false)
			}
		}
	}
}

// TestFollowersMatchCommittedVersions runs followers and relays through random
// schedules of edits, broken links, stale relays and reordered messages. A
// follower must enforce committed versions only and never return to an older one,
// and must reach the latest one once it is linked to a relay that has it.
func TestFollowersMatchCommittedVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(t)
		net := newTestNetwork(t)
		names := []string{"n0", "n1", "n2"}
		for i, name := range names {
			net.followers[name] = NewFollower(name, "dc", uint64(i+1))
		}
		for _, name := range []string{"h0", "h1"} {
			net.hubs[name] = newHub(name, 1)
		}
		seen := map[string]uint64{}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			net.now = net.now.Add(100 * time.Millisecond)
			node := rapid.SampledFrom(names).Draw(rt, "node")
			hub := rapid.SampledFrom([]string{"h0", "h1"}).Draw(rt, "hub")
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0:
				h.setWeight(t, rapid.SampledFrom([]string{"s", "u"}).Draw(rt, "service"), len(h.heads)%9+1)
			case 1: // the relay gets a version, which may be old
				head := h.heads[rapid.IntRange(0, len(h.heads)-1).Draw(rt, "head")]
				net.hubs[hub].SetHead(net.now, head, h.chunks)
			case 2:
				net.connect(node, hub)
			case 3:
				net.disconnect(node)
			case 4:
				net.enqueue(hub, net.hubs[hub].Tick(net.now))
			case 5: // a delayed push arrives
				head := h.heads[rapid.IntRange(0, len(h.heads)-1).Draw(rt, "late")]
				net.followers[node].Handle(&Push{Head: head, Chunks: allChunks(h)})
			default:
				net.deliver(node, rapid.Bool().Draw(rt, "down"))
			}
			for _, name := range names {
				f := net.followers[name]
				if f.Version() < seen[name] {
					rt.Fatalf("%s went from version %d to %d", name, seen[name], f.Version())
				}
				seen[name] = f.Version()
				h.check(t, f)
			}
		}
		net.hubs["h0"].SetHead(net.now, h.newest(), h.chunks)
		for _, name := range names {
			net.connect(name, "h0")
		}
		net.deliverAll()
		for _, p := range net.hubs["h0"].Progress() {
			if f := net.followers[p.Node]; f.Version() != h.newest().Version || p.Version != f.Version() {
				rt.Fatalf("%s enforces version %d and acknowledged %d, want %d", p.Node, f.Version(), p.Version, h.newest().Version)
			}
		}
	})
}

func TestRelayFailureDuringPush(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	net := newTestNetwork(t)
	net.hubs["old"], net.hubs["new"] = newHub("old", 1), newHub("new", 2)
	net.hubs["old"].SetHead(0, h.newest(), h.chunks)
	for i := range 10 {
		name := fmt.Sprint("n", i)
		net.followers[name] = NewFollower(name, "dc", 1)
		net.connect(name, "old")
	}
	net.deliverAll()
	h.setWeight(t, "s", 5)
	net.hubs["old"].SetHead(net.now, h.newest(), h.chunks)
	net.enqueue("old", net.hubs["old"].Tick(net.now))
	for i := range 5 { // half of the pushes are delivered before the relay fails
		net.deliver(fmt.Sprint("n", i), true)
	}
	delete(net.hubs, "old")
	net.hubs["new"].SetHead(net.now, h.newest(), h.chunks)
	for name := range net.followers {
		net.connect(name, "new")
	}
	net.deliverAll()
	for _, f := range net.followers {
		is.Equal(f.Version(), h.newest().Version)
		h.check(t, f)
	}
	is.Equal(len(net.hubs["new"].Progress()), 10)
}

func TestPausedRelayCannotRevertNodes(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	net := newTestNetwork(t)
	net.hubs["paused"], net.hubs["live"] = newHub("paused", 1), newHub("live", 2)
	net.followers["n"] = NewFollower("n", "dc", 1)
	net.hubs["paused"].SetHead(0, h.newest(), h.chunks) // does not know that its lease has expired
	h.setWeight(t, "s", 5)
	net.hubs["live"].SetHead(0, h.newest(), h.chunks)
	net.connect("n", "live")
	net.deliverAll()
	net.connect("n", "paused")
	net.deliverAll()
	is.Equal(net.followers["n"].Version(), h.newest().Version)
	is.Equal(net.hubs["paused"].Progress()[0].Version, h.newest().Version) // it records the newer version that the node reports
}

// TestPlatformOutage makes the platform unavailable for an hour, so that a relay's
// lease expires, and then restarts all nodes at once. The relay must go on serving
// its nodes and must back off in its calls to the platform.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	net := newTestNetwork(t)
	net.hubs["relay"] = newHub("relay", 1)
	net.hubs["relay"].SetHead(0, h.newest(), h.chunks)
	rnd := rand.New(rand.NewPCG(1, 1))
	l := lease.New("relay", "relay:1", "dc").WithRead(0, gd.Object{})
	l = l.WithWritten(0, l.Next(0).Record, gd.Revision{Number: 1})
	calls := 0
	for now := clock.Time(0); now < clock.Time(time.Hour/time.Millisecond); now = now.Add(100 * time.Millisecond) {
		if l.Next(now).Action != lease.Wait {
			calls++
			l = l.WithFailure(now, rnd)
		}
	}
	net.now = clock.Time(time.Hour / time.Millisecond)
	is.True(!l.Held(net.now))
	is.True(calls < 1000)
	for round := range 3 { // all nodes restart three times
		for i := range 32 {
			name := fmt.Sprint("n", i)
			net.followers[name] = NewFollower(name, "dc", uint64(round+1))
			net.connect(name, "relay")
		}
		net.deliverAll()
		newest := uint64(0)
		for _, p := range net.hubs["relay"].Progress() {
			newest = max(newest, p.Version)
		}
		for _, f := range net.followers {
			f.RequireVersion(newest)
			is.Equal(f.Policy().Version, h.newest().Version)
		}
	}
}

func TestInvalidVersionIsRejectedAsAWhole(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	f := NewFollower("n", "dc", 1)
	f.Handle(&Push{Head: h.newest(), Chunks: allChunks(h)})
	// Version 2 has a valid change of u and an invalid chunk of s.
	h.setWeight(t, "u", 5)
	bad := h.newest()
	bad.Refs = slices.Clone(bad.Refs)
	broken := []byte("not a chunk")
	for i, r := range bad.Refs {
		if r.Name == "s" {
			bad.Refs[i].Hash = table.HashOf(broken)
		}
	}
	replies := f.Handle(&Push{Head: bad, Chunks: append(allChunks(h), broken)})
	ack := replies[0].(*Ack)
	is.Equal(ack.Version, uint64(1))
	is.Equal(ack.Refused, uint64(2))
	is.True(strings.Contains(ack.Reason, "chunk s"))
	f.RequireVersion(0)
	is.Equal(f.Policy().Services["u"].Rows["a"].Weight, 1) // the valid part is not adopted either
	h.setWeight(t, "s", 7)
	replies = f.Handle(&Push{Head: h.newest(), Chunks: allChunks(h)})
	is.Equal(*replies[0].(*Ack), Ack{Version: 3})
}

// allChunks returns the chunks of all versions.
func allChunks(h *history) [][]byte {
	var list [][]byte
	for _, data := range h.chunks {
		list = append(list, data)
	}
	return list
}

func TestIncompletePushIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	f := NewFollower("n", "dc", 1)
	replies := f.Handle(&Push{Head: h.newest()})
	_, requested := replies[0].(*Want)
	is.True(requested)
	is.Equal(f.Version(), uint64(0))
}

func TestRestartedNodeWaitsForRequiredVersion(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	f := NewFollower("n", "dc", 2)
	f.Handle(&Push{Head: h.newest(), Chunks: allChunks(h)})
	is.Equal(f.Policy(), nil) // the required version is not known yet
	f.RequireVersion(2)
	is.Equal(f.Policy(), nil) // the relay is stale and offers version 1 only
	h.setWeight(t, "s", 3)
	f.Handle(&Push{Head: h.newest(), Chunks: allChunks(h)})
	is.Equal(f.Policy().Version, uint64(2))
}

// record returns a record of the server of node.
func record(node string, state server.State) server.Record {
	return server.Record{Service: "s", Slots: 6, State: state, Address: node}
}

func TestLiveNodeRefutesLoss(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(t)
	net.hubs["h0"], net.hubs["h1"] = newHub("h0", 1), newHub("h1", 2)
	for _, name := range []string{"n", "m"} {
		net.followers[name] = NewFollower(name, "dc", 1)
		net.followers[name].Announce(record(name, server.Up))
		net.connect(name, "h0")
	}
	net.deliverAll()
	is.Equal(len(net.followers["m"].Directory().Serving()["s"]), 2)
	net.disconnect("n")
	net.deliverAll()
	is.Equal(len(net.followers["m"].Directory().Serving()["s"]), 1) // lost
	// The node is alive and links to the other relay, which learns of the loss.
	net.connect("n", "h1")
	lost, _ := net.followers["m"].Directory().Record("n")
	net.enqueue("h1", net.hubs["h1"].merge(net.now, "h0", true, []server.Record{lost}))
	net.deliverAll()
	back, _ := net.hubs["h1"].directory.Record("n")
	is.Equal(back.State, server.Up)
	is.True(back.Compare(lost) > 0)
}

func TestServersOfDisconnectedRelayAreLost(t *testing.T) {
	is := is.New(t)
	h := newHub("here", 1)
	one := server.Record{Node: "one", DataCentre: "other", Service: "s", Incarnation: 1, Sequence: 1}
	two := server.Record{Node: "two", DataCentre: "other", Service: "s", Incarnation: 1, Sequence: 1}
	h.Join(0, &Hello{Node: "r1", DataCentre: "other", Relay: true, Records: []server.Record{one, two}, Linked: []string{"one", "two"}})
	h.Join(0, &Hello{Node: "r2", DataCentre: "other", Relay: true})
	h.Leave(0, "r1")
	asked := false
	for _, s := range h.Tick(clock.Time(0).Add(suspicionDelay)) {
		m, ok := s.Message.(*Members)
		asked = asked || ok && m.Suspect && s.To == "r2"
	}
	is.True(asked)
	two.Sequence = 2 // the node has linked to r2, which forwards its new record
	h.HandleFromRelay(0, "r2", &Members{Records: []server.Record{two}})
	h.Tick(clock.Time(0).Add(relayLossTimeout))
	r, _ := h.directory.Record("one")
	is.Equal(r.State, server.Lost)
	r, _ = h.directory.Record("two")
	is.Equal(r.State, server.Up)
}

func TestDepartedServersExpire(t *testing.T) {
	is := is.New(t)
	f := NewFollower("n", "dc", 1)
	gone, up := record("gone", server.Gone), record("up", server.Up)
	gone.Node, up.Node = "gone", "up"
	f.Handle(&Members{Records: []server.Record{gone, up}})
	f.Expire(0)
	f.Expire(clock.Time(0).Add(departedRetention - 1))
	is.Equal(len(f.Directory().Records()), 2)
	f.Expire(clock.Time(0).Add(departedRetention))
	is.Equal(len(f.Directory().Records()), 1)
}

func TestVacantSeatInvitesOneNode(t *testing.T) {
	is := is.New(t)
	h := newHub("relay", 1)
	h.SetSeats([]Seat{{Node: "relay", DataCentre: "dc", Index: 0}})
	for i := range 50 {
		h.Join(0, &Hello{Node: fmt.Sprint("n", i), DataCentre: "dc"})
	}
	invited := 0
	for _, s := range h.Tick(clock.Time(0).Add(inviteInterval)) {
		if m, ok := s.Message.(*Invite); ok {
			invited++
			is.Equal(m.Index, 1)
		}
	}
	is.Equal(invited, 1) // so that not all nodes read the leases from the platform
}

func TestNodesAreBalancedBetweenRelays(t *testing.T) {
	is := is.New(t)
	h := newHub("relay", 1)
	var theirs []string
	for i := range 24 {
		name := fmt.Sprint("n", i)
		h.Join(0, &Hello{Node: name, DataCentre: "dc", Records: []server.Record{{Node: name, Incarnation: 1, Sequence: 1}}})
	}
	now := clock.Time(0)
	moved := func() []string {
		now = now.Add(balanceInterval)
		var names []string
		for _, s := range h.Tick(now) {
			if m, ok := s.Message.(*Seats); ok && m.Redirect {
				names = append(names, s.To)
			}
		}
		return names
	}
	is.Equal(len(moved()), 0) // no sibling relay
	h.Join(now, &Hello{Node: "other", DataCentre: "dc", Relay: true})
	rounds := 0
	for names := moved(); len(names) > 0; names = moved() {
		is.True(len(names) <= maxMovesPerBalance)
		rounds++
		for _, name := range names { // each links to the sibling, which forwards its new record
			h.Leave(now, name)
			h.HandleFromRelay(now, "other", &Members{Records: []server.Record{{Node: name, Incarnation: 1, Sequence: 2}}})
			theirs = append(theirs, name)
		}
	}
	is.True(rounds >= 2)
	is.True(len(theirs) >= 24/2-balanceTolerance && len(theirs) <= 24/2)
	is.Equal(len(h.directory.Serving()[""]), 24) // no server is marked as lost
}

func TestVersionIsFetchedFromAnotherRelay(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	stalled, live := newHub("stalled", 1), newHub("live", 2)
	live.SetHead(0, h.newest(), h.chunks)
	live.Tick(0)
	sends := live.Join(0, stalled.RelayHello(1))
	for _, s := range sends {
		stalled.HandleFromRelay(0, "live", s.Message)
	}
	is.Equal(len(stalled.RelaysAhead(0)), 0) // its own watch may still deliver the version
	is.Equal(stalled.RelaysAhead(clock.Time(0).Add(maxWatchLag)), []string{"live"})
	for _, s := range live.Handle(0, "stalled", stalled.Want()) {
		stalled.HandleFromRelay(0, "live", s.Message)
	}
	is.Equal(stalled.Version(), h.newest().Version)
}

func TestStatusListsSilentRelays(t *testing.T) {
	is := is.New(t)
	h := newHub("relay", 1)
	h.Join(0, &Hello{Node: "n", Version: 3})
	h.Join(0, &Hello{Node: "r1", Relay: true})
	h.Join(0, &Hello{Node: "r2", Relay: true})
	sends := h.Handle(0, "n", &StatusRequest{ID: 9})
	is.Equal(len(sends), 2)
	id := sends[0].Message.(*StatusRequest).ID
	sends = h.Handle(0, "r1", &StatusReply{ID: id, Nodes: []Progress{{Node: "m", Version: 2}}})
	is.Equal(len(sends), 0)
	sends = h.Tick(clock.Time(0).Add(statusTimeout))
	reply := sends[0].Message.(*StatusReply)
	is.Equal(reply.ID, uint64(9))
	is.Equal(reply.Silent, []string{"r2"})
	is.Equal(len(reply.Nodes), 2)
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range sampleMessages() {
		data, err := Encode(m)
		is.NoErr(err)
		back, err := Decode(data)
		is.NoErr(err)
		again, err := Encode(back)
		is.NoErr(err)
		is.Equal(data, again)
		is.Equal(fmt.Sprintf("%T", back), fmt.Sprintf("%T", m))
	}
}

// sampleMessages returns a message of each kind.
func sampleMessages() []Message {
	return []Message{
		&Hello{Node: "n"}, &Push{Chunks: [][]byte{{1}}}, &Want{}, &Ack{Version: 1}, &Notice{Version: 2},
		&Members{Records: []server.Record{record("n", server.Up)}}, &Reports{Reports: []quarantine.Report{{Node: "n"}}},
		&Seats{Redirect: true}, &Invite{Index: 1}, &StatusRequest{ID: 1}, &StatusReply{ID: 1}, &ShareRequest{Service: "s"}, &ShareReply{Serial: 3},
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		data, _ := Encode(m)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) { handleArbitrary(data) })
}

// handleArbitrary decodes data and passes the message to every handler. None may
// panic.
func handleArbitrary(data []byte) {
	m, err := Decode(data)
	if err != nil {
		return
	}
	NewFollower("n", "dc", 1).Handle(m)
	h := newHub("h", 1)
	h.Join(0, &Hello{Node: "x"})
	h.Handle(0, "x", m)
	h.HandleFromRelay(0, "y", m)
	if hello, ok := m.(*Hello); ok {
		h.Join(0, hello)
	}
	h.Tick(10_000)
}

func TestCorruptMessages(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		for copied := range mutate.Copies(data, 500) {
			handleArbitrary(copied)
		}
	}
}

func ExampleHub() {
	hub := NewHub("relay", "ist-a", 0, rand.New(rand.NewPCG(1, 1)))
	node := NewFollower("tags-1", "ist-a", 1)
	node.RequireVersion(0)
	t, _ := table.Table{}.WithEdit(table.Edit{ID: "1", Changes: []table.Change{
		{Key: table.Key{Sheet: table.Services, Row: "tags", Column: "routes"}, Value: "/tags"},
	}})
	refs, chunks, _ := t.Encode()
	hub.SetHead(0, table.Head{Version: t.Version(), Refs: refs}, chunks)
	hub.Tick(1)
	for _, s := range hub.Join(1, node.Hello()) {
		for _, reply := range node.Handle(s.Message) {
			hub.Handle(1, "tags-1", reply)
		}
	}
	fmt.Println(node.Policy().Version, hub.Progress()[0].Version)
	// Output: 1 1
}
