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
type cluster struct {
	*testNetwork
	dataCentreOf map[string]string  // relay or node to data centre
	partitioned  map[[2]string]bool // pairs of relays, both ways
	openLinks    map[[2]string]bool // dialler's link to another relay
	alive        map[string]bool    // relays and nodes
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{testNetwork: newTestNetwork(t), dataCentreOf: map[string]string{}, partitioned: map[[2]string]bool{}, openLinks: map[[2]string]bool{}, alive: map[string]bool{}}
	for i, dc := range []string{"a", "a", "b", "b", "c"} {
		name := fmt.Sprint("h", i)
		c.hubs[name] = newHub(name, uint64(i))
		c.hubs[name].dataCentre = dc
		c.dataCentreOf[name], c.alive[name] = dc, true
	}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		dc := []string{"a", "b", "c"}[i%3]
		c.followers[name] = NewFollower(name, dc, uint64(i+1))
		c.followers[name].Announce(record(name, server.Up))
		c.dataCentreOf[name], c.alive[name] = dc, true
	}
	return c
}

func (c *cluster) liveRelays() []string {
	var names []string
	for name := range c.hubs {
		if c.alive[name] {
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
func (c *cluster) reconnect() {
	for _, a := range c.liveRelays() {
		for _, b := range c.liveRelays() {
			if a == b {
				continue
			}
			k := [2]string{a, b}
			switch {
			case c.partitioned[pair(a, b)] && c.openLinks[k]:
				delete(c.openLinks, k)
				c.hubs[b].Leave(c.now, a)
			case !c.partitioned[pair(a, b)] && !c.openLinks[k]:
				c.openLinks[k] = true
				c.send(b, c.hubs[b].Join(c.now, c.hubs[a].RelayHello(1)))
			}
		}
	}
	for _, node := range c.liveNodes() {
		if hub, ok := c.links[node]; ok && c.alive[hub] {
			continue
		}
		c.linkNode(node, c.preferredRelay(node))
	}
}

func (c *cluster) liveNodes() []string {
	var names []string
	for name := range c.followers {
		if c.alive[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// home returns the first live relay of the node's data centre, or any.
func (c *cluster) preferredRelay(node string) string {
	for _, hub := range c.liveRelays() {
		if c.dataCentreOf[hub] == c.dataCentreOf[node] {
			return hub
		}
	}
	return c.liveRelays()[0]
}

func (c *cluster) linkNode(node, hub string) {
	if old, ok := c.links[node]; ok && c.alive[old] {
		c.hubs[old].Leave(c.now, node)
	}
	c.links[node] = hub
	c.send(hub, c.hubs[hub].Join(c.now, c.followers[node].Hello()))
}

// pass delivers what a hub sends, and what follows from it.
func (c *cluster) send(from string, sends []Send) {
	for _, s := range sends {
		if hub, ok := c.hubs[s.To]; ok {
			if !c.alive[s.To] || !c.openLinks[[2]string{s.To, from}] {
				continue
			}
			answers, more := hub.FromRelay(c.now, from, s.Message)
			c.send(s.To, more)
			for _, a := range answers {
				c.send(from, c.hubs[from].Handle(c.now, s.To, a))
			}
			continue
		}
		if !c.alive[s.To] || c.links[s.To] != from {
			continue
		}
		for _, reply := range c.followers[s.To].Handle(s.Message) {
			c.send(from, c.hubs[from].Handle(c.now, s.To, reply))
		}
	}
}

func (c *cluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	c.reconnect()
	for _, name := range c.liveRelays() {
		c.send(name, c.hubs[name].Tick(c.now))
	}
}

func (c *cluster) kill(name string) {
	c.alive[name] = false
	if _, ok := c.hubs[name]; !ok {
		if hub := c.links[name]; c.alive[hub] {
			c.hubs[hub].Leave(c.now, name)
		}
		return
	}
	for k := range c.openLinks {
		if k[0] == name || k[1] == name {
			delete(c.openLinks, k)
			if k[0] == name && c.alive[k[1]] {
				c.hubs[k[1]].Leave(c.now, name)
			}
		}
	}
}

// TestMembershipSettlesAfterCutsAndDeaths lets relays and nodes die and pairs
// of relays lose each other, and then compares every directory with the list
// of nodes that live.
func TestDirectoriesConvergeAfterFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t)
		c.tick(100 * time.Millisecond)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			liveRelays, liveNodes := c.liveRelays(), c.liveNodes()
			a := rapid.SampledFrom(liveRelays).Draw(rt, "relay")
			b := rapid.SampledFrom(liveRelays).Draw(rt, "other")
			switch step := rapid.IntRange(0, 9).Draw(rt, "step"); {
			case step == 0 && len(liveRelays) > 2:
				c.kill(a)
			case step == 1 && len(liveNodes) > 2:
				c.kill(rapid.SampledFrom(liveNodes).Draw(rt, "node"))
			case step == 2 && a != b:
				c.partitioned[pair(a, b)] = true
			case step == 3:
				delete(c.partitioned, pair(a, b))
			case step == 4:
				c.linkNode(rapid.SampledFrom(liveNodes).Draw(rt, "node"), a)
			default:
				c.tick(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "ms")) * time.Millisecond)
			}
		}
		clear(c.partitioned)
		for range 40 {
			c.tick(500 * time.Millisecond)
		}
		c.check(rt)
	})
}

func (c *cluster) check(t *rapid.T) {
	for _, name := range c.liveRelays() {
		c.checkDirectory(t, name, c.hubs[name].directory)
	}
	for _, name := range c.liveNodes() {
		c.checkDirectory(t, name, c.followers[name].Directory())
	}
}

func (c *cluster) checkDirectory(t *rapid.T, owner string, d server.Directory) {
	for node := range c.followers {
		rec, ok := d.Record(node)
		if up := ok && rec.State == server.Up; up != c.alive[node] {
			for _, h := range c.liveRelays() {
				rec, _ := c.hubs[h].directory.Record(node)
				t.Logf("%s: %d %s, links %v", h, rec.Sequence, rec.State, c.hubs[h].linkNames())
			}
			t.Logf("%s is linked to %s and has %d %s", node, c.links[node], c.followers[node].ownRecord.Sequence, c.followers[node].ownRecord.State)
			t.Fatalf("%s has %s as %v, alive is %v", owner, node, rec, c.alive[node])
		}
	}
}

// TestNewsMissedDuringACutComeThroughAnotherRelay lets a node move to a relay
// that one other relay is cut off from, and both die before the cut ends.
func TestMissedUpdateArrivesThroughAnotherRelay(t *testing.T) {
	c := newCluster(t)
	c.tick(100 * time.Millisecond)
	c.partitioned[pair("h0", "h3")] = true
	c.tick(100 * time.Millisecond)
	c.linkNode("n1", "h3")
	c.tick(100 * time.Millisecond)
	c.kill("n1")
	c.tick(nodeLossTimeout)
	c.kill("h3")
	for range 100 {
		c.tick(500 * time.Millisecond)
	}
	if rec, ok := c.hubs["h0"].directory.Record("n1"); ok && rec.State == server.Up {
		t.Fatalf("h0 still has %v", rec)
	}
}

// TestRegionsApart cuts one data centre's relays off from one other relay only.
// The relay between them must not lose servers that it still reaches.
func TestPartialPartitionBetweenDataCentres(t *testing.T) {
	c := newCluster(t)
	c.tick(100 * time.Millisecond)
	c.partitioned[pair("h0", "h4")] = true
	for range 40 {
		c.tick(500 * time.Millisecond)
	}
	farNode := "n2" // of data centre c, linked to h4
	if rec, _ := c.hubs["h1"].directory.Record(farNode); rec.State != server.Up {
		t.Fatalf("h1 has %v, though it is linked to h4", rec)
	}
	delete(c.partitioned, pair("h0", "h4"))
	for range 10 {
		c.tick(500 * time.Millisecond)
	}
	if rec, _ := c.hubs["h0"].directory.Record(farNode); rec.State != server.Up {
		t.Fatalf("h0 still has %v", rec)
	}
}
