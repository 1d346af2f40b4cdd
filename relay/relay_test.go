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

// history is a table's versions as the platform would hold them.
type history struct {
	table  table.Table
	heads  []table.Head
	chunks table.Chunks
}

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
		{Key: table.RowKey("a", service, "weight"), Value: fmt.Sprint(weight), Read: h.table.Version()},
	}})
}

func (h *history) newest() table.Head { return h.heads[len(h.heads)-1] }

// check fails unless the follower enforces exactly the version that it says.
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
			t.Fatalf("version %d: service %s has weight %d, the model %d", f.Version(), s, got, policy.Services[s].Rows["a"].Weight)
		}
	}
}

func newHub(name string, seed uint64) *Hub {
	return NewHub(name, "dc", 0, rand.New(rand.NewPCG(seed, 0)))
}

// wire sends messages as bytes between followers and hubs, and keeps those
// under way per link so that a schedule can cut, hold and cross them.
type wire struct {
	t         testing.TB
	now       clock.Time
	hubs      map[string]*Hub
	followers map[string]*Follower
	links     map[string]string // follower to hub
	down, up  map[string][][]byte
}

func newWire(t testing.TB) *wire {
	return &wire{t: t, hubs: map[string]*Hub{}, followers: map[string]*Follower{}, links: map[string]string{}, down: map[string][][]byte{}, up: map[string][][]byte{}}
}

func (w *wire) encode(m Message) []byte {
	data, err := Encode(m)
	if err != nil {
		w.t.Fatal(err)
	}
	return data
}

func (w *wire) decode(data []byte) Message {
	m, err := Decode(data)
	if err != nil {
		w.t.Fatal(err)
	}
	return m
}

func (w *wire) connect(node, hub string) {
	w.cut(node)
	w.links[node] = hub
	hello := w.decode(w.encode(w.followers[node].Hello()))
	w.sent(hub, w.hubs[hub].Join(w.now, hello.(*Hello)))
}

func (w *wire) cut(node string) {
	if hub, ok := w.links[node]; ok && w.hubs[hub] != nil {
		w.hubs[hub].Leave(w.now, node)
	}
	delete(w.links, node)
	delete(w.down, node)
	delete(w.up, node)
}

func (w *wire) sent(hub string, sends []Send) {
	for _, s := range sends {
		if w.links[s.To] == hub {
			w.down[s.To] = append(w.down[s.To], w.encode(s.Message))
		}
	}
}

// deliver passes on the oldest message of the node's link in one direction.
func (w *wire) deliver(node string, downwards bool) {
	queue := w.up
	if downwards {
		queue = w.down
	}
	if len(queue[node]) == 0 {
		return
	}
	m := w.decode(queue[node][0])
	queue[node] = queue[node][1:]
	if !downwards {
		hub := w.links[node]
		w.sent(hub, w.hubs[hub].Handle(w.now, node, m))
		return
	}
	for _, reply := range w.followers[node].Handle(m) {
		w.up[node] = append(w.up[node], w.encode(reply))
	}
}

// settle delivers everything.
func (w *wire) settle() {
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for name, h := range w.hubs {
			w.sent(name, h.Tick(w.now))
		}
		for node := range w.links {
			for len(w.down[node]) > 0 || len(w.up[node]) > 0 {
				w.deliver(node, true)
				w.deliver(node, false)
			}
		}
	}
}

// TestDistributionMatchesSingleCopy drives followers and relays through random
// schedules of edits, cuts, stale relays and crossed messages. Every follower
// must show versions of the single copy only, never step back, and reach the
// newest once it is linked to a relay that has it.
func TestDistributionMatchesSingleCopy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(t)
		w := newWire(t)
		names := []string{"n0", "n1", "n2"}
		for i, name := range names {
			w.followers[name] = NewFollower(name, "dc", uint64(i+1))
		}
		for _, name := range []string{"h0", "h1"} {
			w.hubs[name] = newHub(name, 1)
		}
		seen := map[string]uint64{}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			w.now = w.now.Add(100 * time.Millisecond)
			node := rapid.SampledFrom(names).Draw(rt, "node")
			hub := rapid.SampledFrom([]string{"h0", "h1"}).Draw(rt, "hub")
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0:
				h.setWeight(t, rapid.SampledFrom([]string{"s", "u"}).Draw(rt, "service"), len(h.heads)%9+1)
			case 1: // the relay learns a version, perhaps an old one
				head := h.heads[rapid.IntRange(0, len(h.heads)-1).Draw(rt, "head")]
				w.hubs[hub].SetHead(w.now, head, h.chunks)
			case 2:
				w.connect(node, hub)
			case 3:
				w.cut(node)
			case 4:
				w.sent(hub, w.hubs[hub].Tick(w.now))
			case 5: // a push that was under way for long arrives after all
				head := h.heads[rapid.IntRange(0, len(h.heads)-1).Draw(rt, "late")]
				w.followers[node].Handle(&Push{Head: head, Chunks: all(h)})
			default:
				w.deliver(node, rapid.Bool().Draw(rt, "down"))
			}
			for _, name := range names {
				f := w.followers[name]
				if f.Version() < seen[name] {
					rt.Fatalf("%s went from version %d to %d", name, seen[name], f.Version())
				}
				seen[name] = f.Version()
				h.check(t, f)
			}
		}
		w.hubs["h0"].SetHead(w.now, h.newest(), h.chunks)
		for _, name := range names {
			w.connect(name, "h0")
		}
		w.settle()
		for _, p := range w.hubs["h0"].Progress() {
			if f := w.followers[p.Node]; f.Version() != h.newest().Version || p.Version != f.Version() {
				rt.Fatalf("%s enforces %d, acknowledged %d, newest is %d", p.Node, f.Version(), p.Version, h.newest().Version)
			}
		}
	})
}

func TestRelayDiesDuringPush(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	w := newWire(t)
	w.hubs["old"], w.hubs["new"] = newHub("old", 1), newHub("new", 2)
	w.hubs["old"].SetHead(0, h.newest(), h.chunks)
	for i := range 10 {
		name := fmt.Sprint("n", i)
		w.followers[name] = NewFollower(name, "dc", 1)
		w.connect(name, "old")
	}
	w.settle()
	h.setWeight(t, "s", 5)
	w.hubs["old"].SetHead(w.now, h.newest(), h.chunks)
	w.sent("old", w.hubs["old"].Tick(w.now))
	for i := range 5 { // half of the pushes arrive
		w.deliver(fmt.Sprint("n", i), true)
	}
	delete(w.hubs, "old")
	w.hubs["new"].SetHead(w.now, h.newest(), h.chunks)
	for name := range w.followers {
		w.connect(name, "new")
	}
	w.settle()
	for _, f := range w.followers {
		is.Equal(f.Version(), h.newest().Version)
		h.check(t, f)
	}
	is.Equal(len(w.hubs["new"].Progress()), 10)
}

func TestPausedRelayCannotTakeNodesBack(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	w := newWire(t)
	w.hubs["paused"], w.hubs["live"] = newHub("paused", 1), newHub("live", 2)
	w.followers["n"] = NewFollower("n", "dc", 1)
	w.hubs["paused"].SetHead(0, h.newest(), h.chunks) // believes in its lease still
	h.setWeight(t, "s", 5)
	w.hubs["live"].SetHead(0, h.newest(), h.chunks)
	w.connect("n", "live")
	w.settle()
	w.connect("n", "paused")
	w.settle()
	is.Equal(w.followers["n"].Version(), h.newest().Version)
	is.Equal(w.hubs["paused"].Progress()[0].Version, h.newest().Version) // it learns what the node has
}

// TestHourWithoutThePlatform lets a relay's lease lapse for an hour while its
// nodes restart in a herd. It goes on serving, and keeps its calls few.
func TestHourWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	w := newWire(t)
	w.hubs["relay"] = newHub("relay", 1)
	w.hubs["relay"].SetHead(0, h.newest(), h.chunks)
	rnd := rand.New(rand.NewPCG(1, 1))
	l := lease.New("relay", "relay:1", "dc").WithRead(0, gd.Object{})
	l = l.WithWritten(0, l.Next(0).Record, 1)
	calls := 0
	for now := clock.Time(0); now < clock.Time(time.Hour/time.Millisecond); now = now.Add(100 * time.Millisecond) {
		if l.Next(now).Action != lease.Wait {
			calls++
			l = l.WithFailure(now, rnd)
		}
	}
	w.now = clock.Time(time.Hour / time.Millisecond)
	is.True(!l.Held(w.now))
	is.True(calls < 1000)
	for round := range 3 { // the herd restarts three times
		for i := range 32 {
			name := fmt.Sprint("n", i)
			w.followers[name] = NewFollower(name, "dc", uint64(round+1))
			w.connect(name, "relay")
		}
		w.settle()
		newest := uint64(0)
		for _, p := range w.hubs["relay"].Progress() {
			newest = max(newest, p.Version)
		}
		for _, f := range w.followers {
			f.RequireVersion(newest)
			is.Equal(f.Policy().Version, h.newest().Version)
		}
	}
}

func TestRefusedVersionStaysOutWhole(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	f := NewFollower("n", "dc", 1)
	f.Handle(&Push{Head: h.newest(), Chunks: all(h)})
	// Version 2 brings a sound change of u and a chunk of s that is broken.
	h.setWeight(t, "u", 5)
	bad := h.newest()
	bad.Refs = slices.Clone(bad.Refs)
	broken := []byte("not a chunk")
	for i, r := range bad.Refs {
		if r.Name == "s" {
			bad.Refs[i].Hash = table.HashOf(broken)
		}
	}
	replies := f.Handle(&Push{Head: bad, Chunks: append(all(h), broken)})
	ack := replies[0].(*Ack)
	is.Equal(ack.Version, uint64(1))
	is.Equal(ack.Refused, uint64(2))
	is.True(strings.Contains(ack.Reason, "chunk s"))
	f.RequireVersion(0)
	is.Equal(f.Policy().Services["u"].Rows["a"].Weight, 1) // not even the sound part
	h.setWeight(t, "s", 7)
	replies = f.Handle(&Push{Head: h.newest(), Chunks: all(h)})
	is.Equal(*replies[0].(*Ack), Ack{Version: 3})
}

func all(h *history) [][]byte {
	var list [][]byte
	for _, data := range h.chunks {
		list = append(list, data)
	}
	return list
}

func TestPushWithoutAChunkIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	f := NewFollower("n", "dc", 1)
	replies := f.Handle(&Push{Head: h.newest()})
	_, asks := replies[0].(*Want)
	is.True(asks)
	is.Equal(f.Version(), uint64(0))
}

func TestNodeWaitsForTheVersionItMayHaveServed(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	f := NewFollower("n", "dc", 2)
	f.Handle(&Push{Head: h.newest(), Chunks: all(h)})
	is.Equal(f.Policy(), nil) // the current version is not known yet
	f.RequireVersion(2)
	is.Equal(f.Policy(), nil) // a relay that lags offers version 1 only
	h.setWeight(t, "s", 3)
	f.Handle(&Push{Head: h.newest(), Chunks: all(h)})
	is.Equal(f.Policy().Version, uint64(2))
}

func record(node string, state server.State) server.Record {
	return server.Record{Service: "s", Slots: 6, State: state, Address: node}
}

func TestLossIsRefutedByALiveNode(t *testing.T) {
	is := is.New(t)
	w := newWire(t)
	w.hubs["h0"], w.hubs["h1"] = newHub("h0", 1), newHub("h1", 2)
	for _, name := range []string{"n", "m"} {
		w.followers[name] = NewFollower(name, "dc", 1)
		w.followers[name].Announce(record(name, server.Up))
		w.connect(name, "h0")
	}
	w.settle()
	is.Equal(len(w.followers["m"].Directory().Serving()["s"]), 2)
	w.cut("n")
	w.settle()
	is.Equal(len(w.followers["m"].Directory().Serving()["s"]), 1) // lost
	// It lives and links to the other relay, which hears of the loss.
	w.connect("n", "h1")
	lost, _ := w.followers["m"].Directory().Record("n")
	w.sent("h1", w.hubs["h1"].merge(w.now, "h0", true, []server.Record{lost}))
	w.settle()
	back, _ := w.hubs["h1"].directory.Record("n")
	is.Equal(back.State, server.Up)
	is.True(back.Compare(lost) > 0)
}

func TestServersOfASilentRelayAreLostUnlessAnotherVouches(t *testing.T) {
	is := is.New(t)
	h := newHub("here", 1)
	one := server.Record{Node: "one", DataCentre: "other", Service: "s", Incarnation: 1, Sequence: 1}
	two := server.Record{Node: "two", DataCentre: "other", Service: "s", Incarnation: 1, Sequence: 1}
	h.Join(0, &Hello{Node: "r1", DataCentre: "other", Relay: true, Records: []server.Record{one, two}, Linked: []string{"one", "two"}})
	h.Join(0, &Hello{Node: "r2", DataCentre: "other", Relay: true})
	h.Leave(0, "r1")
	asked := false
	for _, s := range h.Tick(clock.Time(0).Add(doubtAfter)) {
		m, ok := s.Message.(*Members)
		asked = asked || ok && m.Doubt && s.To == "r2"
	}
	is.True(asked)
	two.Sequence = 2 // it linked to r2, which says so
	h.FromRelay(0, "r2", &Members{Records: []server.Record{two}})
	h.Tick(clock.Time(0).Add(orphanAfter))
	r, _ := h.directory.Record("one")
	is.Equal(r.State, server.Lost)
	r, _ = h.directory.Record("two")
	is.Equal(r.State, server.Up)
}

func TestServersThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	f := NewFollower("n", "dc", 1)
	gone, up := record("gone", server.Gone), record("up", server.Up)
	gone.Node, up.Node = "gone", "up"
	f.Handle(&Members{Records: []server.Record{gone, up}})
	f.Expire(0)
	f.Expire(clock.Time(0).Add(forgetAfter - 1))
	is.Equal(len(f.Directory().Records()), 2)
	f.Expire(clock.Time(0).Add(forgetAfter))
	is.Equal(len(f.Directory().Records()), 1)
}

func TestOneNodeIsInvitedToAVacantSeat(t *testing.T) {
	is := is.New(t)
	h := newHub("relay", 1)
	h.SetSeats([]Seat{{Node: "relay", DataCentre: "dc", Index: 0}})
	for i := range 50 {
		h.Join(0, &Hello{Node: fmt.Sprint("n", i), DataCentre: "dc"})
	}
	invited := 0
	for _, s := range h.Tick(clock.Time(0).Add(inviteEvery)) {
		if m, ok := s.Message.(*Invite); ok {
			invited++
			is.Equal(m.Index, 1)
		}
	}
	is.Equal(invited, 1) // the platform does not see the herd
}

func TestNodesAreSpreadOverTheRelaysOfADataCentre(t *testing.T) {
	is := is.New(t)
	h := newHub("relay", 1)
	var theirs []string
	for i := range 24 {
		name := fmt.Sprint("n", i)
		h.Join(0, &Hello{Node: name, DataCentre: "dc", Records: []server.Record{{Node: name, Incarnation: 1, Sequence: 1}}})
	}
	now := clock.Time(0)
	moved := func() []string {
		now = now.Add(balanceEvery)
		var names []string
		for _, s := range h.Tick(now) {
			if m, ok := s.Message.(*Seats); ok && m.Redirect {
				names = append(names, s.To)
			}
		}
		return names
	}
	is.Equal(len(moved()), 0) // there is no other relay
	h.Join(now, &Hello{Node: "other", DataCentre: "dc", Relay: true})
	rounds := 0
	for names := moved(); len(names) > 0; names = moved() {
		is.True(len(names) <= balanceMoves)
		rounds++
		for _, name := range names { // it links to the other relay, which says so
			h.Leave(now, name)
			h.FromRelay(now, "other", &Members{Records: []server.Record{{Node: name, Incarnation: 1, Sequence: 2}}})
			theirs = append(theirs, name)
		}
	}
	is.True(rounds >= 2)
	is.True(len(theirs) >= 24/2-balanceSlack && len(theirs) <= 24/2)
	is.Equal(len(h.directory.Serving()[""]), 24) // nobody was lost
}

func TestLaggingWatchIsMadeGoodByAnotherRelay(t *testing.T) {
	is := is.New(t)
	h := newHistory(t)
	stalled, live := newHub("stalled", 1), newHub("live", 2)
	live.SetHead(0, h.newest(), h.chunks)
	live.Tick(0)
	sends := live.Join(0, stalled.RelayHello(1))
	for _, s := range sends {
		stalled.FromRelay(0, "live", s.Message)
	}
	is.Equal(len(stalled.Lagging(0)), 0) // its own watch gets a chance first
	is.Equal(stalled.Lagging(clock.Time(0).Add(catchUp)), []string{"live"})
	for _, s := range live.Handle(0, "stalled", stalled.Want()) {
		stalled.FromRelay(0, "live", s.Message)
	}
	is.Equal(stalled.Version(), h.newest().Version)
}

func TestStatusNamesRelaysThatStaySilent(t *testing.T) {
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
	sends = h.Tick(clock.Time(0).Add(statusWait))
	reply := sends[0].Message.(*StatusReply)
	is.Equal(reply.ID, uint64(9))
	is.Equal(reply.Silent, []string{"r2"})
	is.Equal(len(reply.Nodes), 2)
}

func TestEveryMessageSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	for _, m := range samples() {
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

// samples returns a message of each kind.
func samples() []Message {
	return []Message{
		&Hello{Node: "n"}, &Push{Chunks: [][]byte{{1}}}, &Want{}, &Ack{Version: 1}, &Notice{Version: 2},
		&Members{Records: []server.Record{record("n", server.Up)}}, &Reports{Reports: []quarantine.Report{{Node: "n"}}},
		&Seats{Redirect: true}, &Invite{Index: 1}, &StatusRequest{ID: 1}, &StatusReply{ID: 1}, &Asks{Service: "s"}, &Shares{Serial: 3},
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		data, _ := Encode(m)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) { takeAnything(data) })
}

// takeAnything gives whatever the bytes decode to to all that take messages.
func takeAnything(data []byte) {
	m, err := Decode(data)
	if err != nil {
		return
	}
	NewFollower("n", "dc", 1).Handle(m)
	h := newHub("h", 1)
	h.Join(0, &Hello{Node: "x"})
	h.Handle(0, "x", m)
	h.FromRelay(0, "y", m)
	if hello, ok := m.(*Hello); ok {
		h.Join(0, hello)
	}
	h.Tick(10_000)
}

func TestDamagedMessages(t *testing.T) {
	for _, m := range samples() {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		for copied := range mutate.Copies(data, 500) {
			takeAnything(copied)
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
