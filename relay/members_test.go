package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdock/geraniumdock/server"
)

// region is several relays of several data centres with their nodes. Messages
// between relays pass at once unless the pair is cut; nodes hear at once.
type region struct {
	*wire
	zone  map[string]string  // relay or node to data centre
	cut   map[[2]string]bool // pairs of relays, both ways
	open  map[[2]string]bool // dialler's link to another relay
	alive map[string]bool    // relays and nodes
}

func newRegion(t testing.TB) *region {
	r := &region{wire: newWire(t), zone: map[string]string{}, cut: map[[2]string]bool{}, open: map[[2]string]bool{}, alive: map[string]bool{}}
	for i, dc := range []string{"a", "a", "b", "b", "c"} {
		name := fmt.Sprint("h", i)
		r.hubs[name] = newHub(name, uint64(i))
		r.hubs[name].dataCentre = dc
		r.zone[name], r.alive[name] = dc, true
	}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		dc := []string{"a", "b", "c"}[i%3]
		r.followers[name] = NewFollower(name, dc, uint64(i+1))
		r.followers[name].Announce(record(name, server.Up))
		r.zone[name], r.alive[name] = dc, true
	}
	return r
}

func (r *region) relays() []string {
	var names []string
	for name := range r.hubs {
		if r.alive[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// reconnect opens what can be opened and drops what is cut, as the daemon's
// loops would.
func (r *region) reconnect() {
	for _, a := range r.relays() {
		for _, b := range r.relays() {
			if a == b {
				continue
			}
			k := [2]string{a, b}
			switch {
			case r.cut[pair(a, b)] && r.open[k]:
				delete(r.open, k)
				r.hubs[b].Leave(r.now, a)
			case !r.cut[pair(a, b)] && !r.open[k]:
				r.open[k] = true
				r.pass(b, r.hubs[b].Join(r.now, r.hubs[a].RelayHello(1)))
			}
		}
	}
	for _, node := range r.nodes() {
		if hub, ok := r.links[node]; ok && r.alive[hub] {
			continue
		}
		r.link(node, r.home(node))
	}
}

func (r *region) nodes() []string {
	var names []string
	for name := range r.followers {
		if r.alive[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// home returns the first live relay of the node's data centre, or any.
func (r *region) home(node string) string {
	for _, hub := range r.relays() {
		if r.zone[hub] == r.zone[node] {
			return hub
		}
	}
	return r.relays()[0]
}

func (r *region) link(node, hub string) {
	if old, ok := r.links[node]; ok && r.alive[old] {
		r.hubs[old].Leave(r.now, node)
	}
	r.links[node] = hub
	r.pass(hub, r.hubs[hub].Join(r.now, r.followers[node].Hello()))
}

// pass delivers what a hub sends, and what follows from it.
func (r *region) pass(from string, sends []Send) {
	for _, s := range sends {
		if hub, ok := r.hubs[s.To]; ok {
			if !r.alive[s.To] || !r.open[[2]string{s.To, from}] {
				continue
			}
			answers, more := hub.FromRelay(r.now, from, s.Message)
			r.pass(s.To, more)
			for _, a := range answers {
				r.pass(from, r.hubs[from].Handle(r.now, s.To, a))
			}
			continue
		}
		if !r.alive[s.To] || r.links[s.To] != from {
			continue
		}
		for _, reply := range r.followers[s.To].Handle(s.Message) {
			r.pass(from, r.hubs[from].Handle(r.now, s.To, reply))
		}
	}
}

func (r *region) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.reconnect()
	for _, name := range r.relays() {
		r.pass(name, r.hubs[name].Tick(r.now))
	}
}

func (r *region) kill(name string) {
	r.alive[name] = false
	if _, ok := r.hubs[name]; !ok {
		if hub := r.links[name]; r.alive[hub] {
			r.hubs[hub].Leave(r.now, name)
		}
		return
	}
	for k := range r.open {
		if k[0] == name || k[1] == name {
			delete(r.open, k)
			if k[0] == name && r.alive[k[1]] {
				r.hubs[k[1]].Leave(r.now, name)
			}
		}
	}
}

// TestMembershipSettlesAfterCutsAndDeaths lets relays and nodes die and pairs
// of relays lose each other, and then compares every directory with the list
// of nodes that live.
func TestMembershipSettlesAfterCutsAndDeaths(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRegion(t)
		r.tick(100 * time.Millisecond)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			relays, nodes := r.relays(), r.nodes()
			a := rapid.SampledFrom(relays).Draw(rt, "relay")
			b := rapid.SampledFrom(relays).Draw(rt, "other")
			switch step := rapid.IntRange(0, 9).Draw(rt, "step"); {
			case step == 0 && len(relays) > 2:
				r.kill(a)
			case step == 1 && len(nodes) > 2:
				r.kill(rapid.SampledFrom(nodes).Draw(rt, "node"))
			case step == 2 && a != b:
				r.cut[pair(a, b)] = true
			case step == 3:
				delete(r.cut, pair(a, b))
			case step == 4:
				r.link(rapid.SampledFrom(nodes).Draw(rt, "node"), a)
			default:
				r.tick(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "ms")) * time.Millisecond)
			}
		}
		clear(r.cut)
		for range 40 {
			r.tick(500 * time.Millisecond)
		}
		r.check(rt)
	})
}

func (r *region) check(t *rapid.T) {
	for _, name := range r.relays() {
		r.checkDirectory(t, name, r.hubs[name].directory)
	}
	for _, name := range r.nodes() {
		r.checkDirectory(t, name, r.followers[name].Directory())
	}
}

func (r *region) checkDirectory(t *rapid.T, who string, d server.Directory) {
	for node := range r.followers {
		rec, ok := d.Record(node)
		if up := ok && rec.State == server.Up; up != r.alive[node] {
			for _, h := range r.relays() {
				rec, _ := r.hubs[h].directory.Record(node)
				t.Logf("%s: %d %s, links %v", h, rec.Sequence, rec.State, r.hubs[h].linked())
			}
			t.Logf("%s is linked to %s and has %d %s", node, r.links[node], r.followers[node].own.Sequence, r.followers[node].own.State)
			t.Fatalf("%s has %s as %v, alive is %v", who, node, rec, r.alive[node])
		}
	}
}

// TestNewsMissedDuringACutComeThroughAnotherRelay lets a node move to a relay
// that one other relay is cut off from, and both die before the cut ends.
func TestNewsMissedDuringACutComeThroughAnotherRelay(t *testing.T) {
	r := newRegion(t)
	r.tick(100 * time.Millisecond)
	r.cut[pair("h0", "h3")] = true
	r.tick(100 * time.Millisecond)
	r.link("n1", "h3")
	r.tick(100 * time.Millisecond)
	r.kill("n1")
	r.tick(lostAfter)
	r.kill("h3")
	for range 100 {
		r.tick(500 * time.Millisecond)
	}
	if rec, ok := r.hubs["h0"].directory.Record("n1"); ok && rec.State == server.Up {
		t.Fatalf("h0 still has %v", rec)
	}
}

// TestRegionsApart cuts one data centre's relays off from one other relay only.
// The relay between them must not lose servers that it still reaches.
func TestRegionsApart(t *testing.T) {
	r := newRegion(t)
	r.tick(100 * time.Millisecond)
	r.cut[pair("h0", "h4")] = true
	for range 40 {
		r.tick(500 * time.Millisecond)
	}
	far := "n2" // of data centre c, linked to h4
	if rec, _ := r.hubs["h1"].directory.Record(far); rec.State != server.Up {
		t.Fatalf("h1 has %v, though it is linked to h4", rec)
	}
	delete(r.cut, pair("h0", "h4"))
	for range 10 {
		r.tick(500 * time.Millisecond)
	}
	if rec, _ := r.hubs["h0"].directory.Record(far); rec.State != server.Up {
		t.Fatalf("h0 still has %v", rec)
	}
}
