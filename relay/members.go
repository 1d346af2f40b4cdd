package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// absence is a node whose link was lost, with its record at that time. A node
// that links elsewhere gets a new record.
type disconnection struct {
	record server.Record
	since  clock.Time
}

// orphan is a relay that went silent. Servers whose nodes it vouched for are
// lost with it unless another relay does.
type lostRelay struct {
	since    clock.Time
	queried  bool
	suspects []server.Record // that nobody vouched for when they were doubted
}

// Adopt gives a new hub the servers and crash reports that its node knows. Nodes
// that no relay vouches for have a while to link here before their servers are
// lost.
func (h *Hub) Adopt(now clock.Time, d server.Directory, g quarantine.Register) {
	h.directory, h.register = d, g
	h.lostRelays[noRelay] = &lostRelay{since: now}
	for _, r := range d.Records() {
		if r.State >= server.Lost {
			h.departedSince[r.Node] = now
		}
	}
}

// nobody stands for the relay of nodes that no relay has vouched for.
const noRelay = ""

// vouch notes that the nodes are linked to the relay.
func (h *Hub) recordLinked(relay string, nodes []string) {
	for _, node := range nodes {
		h.relayOf[node] = relay
	}
}

// vouchFor notes that the relay answers for the nodes whose news it passes on.
// A whole directory is not news: it holds the nodes of other relays, too.
func (h *Hub) recordForwarded(relay string, m *Members) {
	if m.Full {
		return
	}
	for _, r := range m.Records {
		if old, ok := h.directory.Record(r.Node); !ok || r.Compare(old) > 0 {
			h.relayOf[r.Node] = relay
		}
	}
}

// own returns the nodes that are linked to this relay.
func (h *Hub) linkedNodes() []string {
	return slices.DeleteFunc(h.linkNames(), func(name string) bool { return h.links[name].hello.Relay })
}

// noticeAll tells the other relays now and then what this one has.
func (h *Hub) sendNotices(now clock.Time) []Send {
	if now.Sub(h.lastNotice) < noticeInterval {
		return nil
	}
	h.lastNotice = now
	m := &Notice{Version: h.head.Version, Digest: h.directory.Digest()}
	return slices.DeleteFunc(h.broadcast(m, ""), func(s Send) bool { return !h.links[s.To].hello.Relay })
}

// sync sends the whole directory to a relay whose own differs. News that a
// relay missed while it was cut off from their source reach it through others.
func (h *Hub) syncDirectory(now clock.Time, relay string, digest uint64) []Message {
	if last, ok := h.lastSync[relay]; digest == 0 || digest == h.directory.Digest() || ok && now.Sub(last) < syncInterval {
		return nil
	}
	h.lastSync[relay] = now
	return []Message{&Members{Records: h.directory.Records(), Full: true}}
}

// take takes records from a link.
func (h *Hub) handleMembers(now clock.Time, from string, fromRelay bool, m *Members) []Send {
	if !m.Suspect {
		if fromRelay {
			h.recordLinked(from, m.Linked)
			h.recordForwarded(from, m)
		}
		return h.merge(now, from, fromRelay, m.Records)
	}
	var sends []Send
	for _, r := range m.Records {
		if _, linked := h.links[r.Node]; linked {
			sends = append(sends, h.refute(r.WithState(server.Lost)))
		}
	}
	return sends
}

// refute has a node that is linked here contradict the loss of its server.
func (h *Hub) refute(lost server.Record) Send {
	return Send{lost.Node, &Members{Records: []server.Record{lost}}}
}

// merge takes in records from a link and passes on the newer ones: those of
// own nodes to everyone, those from other relays to own nodes only.
func (h *Hub) merge(now clock.Time, from string, fromRelay bool, records []server.Record) []Send {
	var sends []Send
	records = slices.DeleteFunc(slices.Clone(records), func(r server.Record) bool {
		_, linked := h.links[r.Node]
		refuted := r.State == server.Lost && linked && r.Node != from
		if refuted {
			sends = append(sends, h.refute(r))
		}
		return refuted
	})
	var newer []server.Record
	h.directory, newer = h.directory.WithRecords(records...)
	if len(newer) == 0 {
		return sends
	}
	h.updateDeparted(now, newer)
	sends = append(sends, h.forward(from, fromRelay, &Members{Records: newer})...)
	if fromRelay {
		sends = append(sends, h.confirmLosses(from, newer)...)
	}
	return sends
}

// doubt asks the other relays for the servers that one relay lost: the relay
// that a server's node is linked to may be cut off from that one.
func (h *Hub) confirmLosses(from string, records []server.Record) []Send {
	lost := slices.DeleteFunc(slices.Clone(records), func(r server.Record) bool { return r.State != server.Lost })
	if len(lost) == 0 {
		return nil
	}
	m := &Members{Records: lost, Suspect: true}
	return slices.DeleteFunc(h.broadcast(m, from), func(s Send) bool { return !h.links[s.To].hello.Relay })
}

func (h *Hub) updateDeparted(now clock.Time, records []server.Record) {
	for _, r := range records {
		delete(h.departedSince, r.Node)
		if r.State >= server.Lost {
			h.departedSince[r.Node] = now
		}
	}
}

// pass sends news from one link to the others; what came from another relay
// goes to nodes only, since that relay tells the other relays itself.
func (h *Hub) forward(from string, fromRelay bool, m Message) []Send {
	sends := h.broadcast(m, from)
	if !fromRelay {
		return sends
	}
	return slices.DeleteFunc(sends, func(s Send) bool { return h.links[s.To].hello.Relay })
}

func (h *Hub) mergeReports(from string, fromRelay bool, reports []quarantine.Report) []Send {
	var added []quarantine.Report
	h.register, added = h.register.WithReports(reports...)
	if len(added) == 0 {
		return nil
	}
	return h.forward(from, fromRelay, &Reports{Reports: added})
}

// loseAbsent marks servers as lost whose node has no link any more.
func (h *Hub) detectLosses(now clock.Time) []Send {
	var lost []server.Record
	for node, d := range h.disconnected {
		if now.Sub(d.since) >= nodeLossTimeout {
			delete(h.disconnected, node)
			lost = append(lost, d.record)
		}
	}
	return append(h.markLost(now, false, lost), h.detectRelayLosses(now)...)
}

// loseOrphans marks the servers as lost that silent relays vouched for and
// nobody else does. It holds for this relay's own nodes: each relay concludes
// for itself, since a relay may be cut off from here only.
func (h *Hub) detectRelayLosses(now clock.Time) []Send {
	var sends []Send
	for _, name := range slices.Sorted(maps.Keys(h.lostRelays)) {
		lost := h.lostRelays[name]
		age := now.Sub(lost.since)
		if age >= suspicionDelay && !lost.queried {
			lost.queried = true
			lost.suspects = h.serversOf(name)
			sends = append(sends, h.confirmSuspects(lost.suspects)...)
		}
		if age >= relayLossTimeout {
			delete(h.lostRelays, name)
			sends = append(sends, h.markLost(now, true, lost.suspects)...)
		}
	}
	return sends
}

// ask asks the other relays for servers that nobody here vouches for.
func (h *Hub) confirmSuspects(suspects []server.Record) []Send {
	var lost []server.Record
	for _, r := range suspects {
		lost = append(lost, r.WithState(server.Lost))
	}
	return h.confirmLosses("", lost)
}

// orphans returns the servers whose nodes the relay vouched for last and that
// are not linked here.
func (h *Hub) serversOf(relay string) []server.Record {
	var records []server.Record
	for _, r := range h.directory.Records() {
		if _, linked := h.links[r.Node]; h.relayOf[r.Node] == relay && !linked && r.State < server.Lost {
			records = append(records, r)
		}
	}
	return records
}

// lose marks the servers as lost whose records have not changed since they were
// noted; here, for the nodes linked to this relay only.
func (h *Hub) markLost(now clock.Time, localOnly bool, candidates []server.Record) []Send {
	slices.SortFunc(candidates, func(a, b server.Record) int { return cmp.Compare(a.Node, b.Node) })
	var lost []server.Record
	for _, r := range candidates {
		if current, ok := h.directory.Record(r.Node); ok && current == r && r.State < server.Lost {
			lost = append(lost, r.WithState(server.Lost))
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return h.merge(now, "", localOnly, lost)
}

// forget drops the servers that left long ago, and crash reports past their
// term.
func (h *Hub) expire(now clock.Time) {
	if now.Sub(h.lastExpiry) < expiryInterval {
		return
	}
	h.lastExpiry = now
	for node, since := range h.departedSince {
		if now.Sub(since) < departedRetention {
			continue
		}
		delete(h.departedSince, node)
		h.directory = h.directory.Without(node)
		delete(h.relayOf, node)
	}
	h.register = h.register.WithoutExpired(now)
}
