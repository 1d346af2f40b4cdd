package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdock/geraniumdock/server"
)

// cluster simulates the relays and nodes of several data centres. Messages are
// delivered at once, except between partitioned relays.
type cluster struct {
	*testNetwork
	dataCentreOf map[string]string  // by relay or node
	partitioned  map[[2]string]bool // pairs of relays that cannot reach each other
	openLinks    map[[2]string]bool // links between relays, as the one that dialed and the other one
	alive        map[string]bool    // by relay or node
}

// newCluster returns a cluster of 5 relays and 6 nodes in 3 data centres.
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

// pair returns the two names in a fixed order.
func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// reconnect opens the links that can be opened and closes those between
// partitioned relays, as the control loops of the nodes do.
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

// preferredRelay returns the first live relay of the node's data centre, or any
// live relay if there is none.
func (c *cluster) preferredRelay(node string) string {
	for _, hub := range c.liveRelays() {
		if c.dataCentreOf[hub] == c.dataCentreOf[node] {
			return hub
		}
	}
	return c.liveRelays()[0]
}

// linkNode moves the node's link to hub.
func (c *cluster) linkNode(node, hub string) {
	if old, ok := c.links[node]; ok && c.alive[old] {
		c.hubs[old].Leave(c.now, node)
	}
	c.links[node] = hub
	c.send(hub, c.hubs[hub].Join(c.now, c.followers[node].Hello()))
}

// send delivers the messages of a hub and all messages that result from them.
func (c *cluster) send(from string, sends []Send) {
	for _, s := range sends {
		if hub, ok := c.hubs[s.To]; ok {
			if !c.alive[s.To] || !c.openLinks[[2]string{s.To, from}] {
				continue
			}
			replies, more := hub.HandleFromRelay(c.now, from, s.Message)
			c.send(s.To, more)
			for _, m := range replies {
				c.send(from, c.hubs[from].Handle(c.now, s.To, m))
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

// kill stops a relay or a node and closes its links.
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

// TestDirectoriesConvergeAfterFailures stops random relays and nodes and
// partitions random pairs of relays. After the partitions end, every directory
// must match the set of live nodes.
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

// checkDirectory fails unless the servers that are up in d are those of the live
// nodes.
func (c *cluster) checkDirectory(t *rapid.T, owner string, d server.Directory) {
	for node := range c.followers {
		rec, ok := d.Record(node)
		if up := ok && rec.State == server.Up; up != c.alive[node] {
			for _, h := range c.liveRelays() {
				rec, _ := c.hubs[h].directory.Record(node)
				t.Logf("%s: sequence %d, state %s, links %v", h, rec.Sequence, rec.State, c.hubs[h].linkNames())
			}
			t.Logf("%s is linked to %s and has sequence %d, state %s", node, c.links[node], c.followers[node].ownRecord.Sequence, c.followers[node].ownRecord.State)
			t.Fatalf("directory of %s: node %s has record %v, but alive is %v", owner, node, rec, c.alive[node])
		}
	}
}

// TestMissedUpdateArrivesThroughAnotherRelay guards against a stale record at a
// relay that is partitioned from the source of an update. A node moves to the
// relay at the other side of the partition, and both fail before it ends, so the
// loss of the server can reach the first relay only through a third one.
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

// TestPartialPartitionBetweenDataCentres partitions one relay from the relay of
// another data centre. A third relay with links to both must not mark servers as
// lost whose relay it can still reach.
func TestPartialPartitionBetweenDataCentres(t *testing.T) {
	c := newCluster(t)
	c.tick(100 * time.Millisecond)
	c.partitioned[pair("h0", "h4")] = true
	for range 40 {
		c.tick(500 * time.Millisecond)
	}
	farNode := "n2" // in data centre c and linked to h4
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
