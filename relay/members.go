package relay

import (
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// orphan is a relay that went silent. Servers of its data centre that no other
// relay vouches for are lost with it.
type orphan struct {
	dataCentre string
	since      clock.Time
}

// Adopt gives a new hub the servers and crash reports that its node knows. The
// nodes of a data centre that no other relay vouches for have a while to link
// here before their servers are lost.
func (h *Hub) Adopt(now clock.Time, d server.Directory, g quarantine.Register) {
	h.directory, h.register = d, g
	for _, r := range d.Records() {
		h.orphaned[adopted+r.DataCentre] = orphan{r.DataCentre, now}
		if r.State >= server.Lost {
			h.departed[r.Node] = now
		}
	}
}

// adopted marks orphans of a data centre as a whole; no node is named so.
const adopted = "/"

// merge takes in records from a link and passes on the newer ones: those of
// own nodes to everyone, those from other relays to own nodes only.
func (h *Hub) merge(now clock.Time, from string, relayed bool, records []server.Record) []Send {
	var sends []Send
	records = slices.DeleteFunc(slices.Clone(records), func(r server.Record) bool {
		// A node that is linked here lives: let it refute its loss.
		_, linked := h.links[r.Node]
		if refute := r.State == server.Lost && linked && r.Node != from; refute {
			sends = append(sends, Send{r.Node, &Members{Records: []server.Record{r}}})
			return true
		}
		return false
	})
	var newer []server.Record
	h.directory, newer = h.directory.WithRecords(records...)
	if len(newer) == 0 {
		return sends
	}
	h.noteDeparted(now, newer)
	return append(sends, h.pass(from, relayed, &Members{Records: newer})...)
}

func (h *Hub) noteDeparted(now clock.Time, records []server.Record) {
	for _, r := range records {
		delete(h.departed, r.Node)
		if r.State >= server.Lost {
			h.departed[r.Node] = now
		}
	}
}

// pass sends news from one link to the others; what came from another relay
// goes to nodes only, since that relay tells the other relays itself.
func (h *Hub) pass(from string, relayed bool, m Message) []Send {
	sends := h.broadcast(m, from)
	if !relayed {
		return sends
	}
	return slices.DeleteFunc(sends, func(s Send) bool { return h.links[s.To].hello.Relay })
}

func (h *Hub) takeReports(from string, relayed bool, reports []quarantine.Report) []Send {
	var added []quarantine.Report
	h.register, added = h.register.WithReports(reports...)
	if len(added) == 0 {
		return nil
	}
	return h.pass(from, relayed, &Reports{Reports: added})
}

// loseAbsent marks servers as lost whose node has no link any more.
func (h *Hub) loseAbsent(now clock.Time) []Send {
	var nodes []string
	for node, since := range h.absent {
		if now.Sub(since) >= lostAfter {
			delete(h.absent, node)
			nodes = append(nodes, node)
		}
	}
	for relay, o := range h.orphaned {
		if now.Sub(o.since) >= orphanAfter {
			delete(h.orphaned, relay)
			nodes = append(nodes, h.orphans(o.dataCentre)...)
		}
	}
	slices.Sort(nodes)
	return h.lose(now, slices.Compact(nodes))
}

// orphans returns the nodes of the data centre that are not linked here, when
// no other relay there vouches for them.
func (h *Hub) orphans(dataCentre string) []string {
	if h.hasRelayLink(dataCentre) {
		return nil
	}
	var nodes []string
	for _, r := range h.directory.Records() {
		if _, linked := h.links[r.Node]; r.DataCentre == dataCentre && !linked {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

func (h *Hub) hasRelayLink(dataCentre string) bool {
	for _, l := range h.links {
		if l.hello.Relay && l.hello.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func (h *Hub) lose(now clock.Time, nodes []string) []Send {
	var lost []server.Record
	for _, node := range nodes {
		if r, ok := h.directory.Record(node); ok && r.State < server.Lost {
			lost = append(lost, r.WithState(server.Lost))
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return h.merge(now, "", false, lost)
}

// forget drops the servers that left long ago, and crash reports past their
// term.
func (h *Hub) forget(now clock.Time) {
	if now.Sub(h.forgot) < forgetEvery {
		return
	}
	h.forgot = now
	for node, since := range h.departed {
		if now.Sub(since) < forgetAfter {
			continue
		}
		delete(h.departed, node)
		h.directory = h.directory.Without(node)
	}
	h.register = h.register.WithoutExpired(now)
}
