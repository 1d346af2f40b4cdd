package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
)

// disconnection is the end of a node's link, with the record of its server at
// that time. If the node links to another relay, the record changes.
type disconnection struct {
	record server.Record
	since  clock.Time
}

// lostRelay is a relay whose link ended. The servers of its nodes are marked as
// lost unless another relay reports the nodes.
type lostRelay struct {
	since    clock.Time
	queried  bool            // the other relays were asked about the suspects
	suspects []server.Record // servers of the relay's nodes when the other relays were asked
}

// Init initializes a new hub with the servers and crash reports that its node
// knows. Nodes whose relay is unknown have relayLossTimeout to link to this relay
// or to be reported by another one before their servers are marked as lost.
func (h *Hub) Init(now clock.Time, d server.Directory, g quarantine.Register) {
	h.directory, h.register = d, g
	h.lostRelays[noRelay] = &lostRelay{since: now}
	for _, r := range d.Records() {
		if r.State >= server.Lost {
			h.departedSince[r.Node] = now
		}
	}
}

// noRelay takes the place of the relay for nodes that no relay has reported.
const noRelay = ""

// recordLinked records that the nodes are linked to the relay.
func (h *Hub) recordLinked(relay string, nodes []string) {
	for _, node := range nodes {
		h.relayOf[node] = relay
	}
}

// recordForwarded records that the nodes with newer records in m are linked to the
// relay, since a relay forwards only records of its own nodes to other relays. A
// full directory is ignored, because it also has the nodes of other relays.
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

// linkedNodes returns the nodes that are linked to this relay, without other
// relays.
func (h *Hub) linkedNodes() []string {
	return slices.DeleteFunc(h.linkNames(), func(name string) bool { return h.links[name].hello.Relay })
}

// sendNotices sends a Notice to the linked relays every noticeInterval.
func (h *Hub) sendNotices(now clock.Time) []Send {
	if now.Sub(h.lastNotice) < noticeInterval {
		return nil
	}
	h.lastNotice = now
	m := &Notice{Version: h.head.Version, Digest: h.directory.Digest()}
	return slices.DeleteFunc(h.broadcast(m, ""), func(s Send) bool { return !h.links[s.To].hello.Relay })
}

// syncDirectory sends the full directory to a relay with a different digest. A
// relay thus gets updates from other relays that it missed while it had no link to
// their source.
func (h *Hub) syncDirectory(now clock.Time, relay string, digest uint64) []Message {
	if last, ok := h.lastSync[relay]; digest == 0 || digest == h.directory.Digest() || ok && now.Sub(last) < syncInterval {
		return nil
	}
	h.lastSync[relay] = now
	return []Message{&Members{Records: h.directory.Records(), Full: true}}
}

// handleMembers merges records from a link. If m.Suspect is set, it does not merge
// them, but asks those of their nodes that are linked to this relay to refute the
// loss.
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
			sends = append(sends, h.requestRefutation(r.WithState(server.Lost)))
		}
	}
	return sends
}

// requestRefutation sends the record that marks the node's server as lost to the
// node, which replies with a newer record.
func (h *Hub) requestRefutation(lost server.Record) Send {
	return Send{lost.Node, &Members{Records: []server.Record{lost}}}
}

// merge merges records from a link and forwards the newer ones: those from linked
// nodes over all links, those from other relays to linked nodes only. It does not
// merge the loss of a server whose node is linked to this relay, but asks the node
// to refute it.
func (h *Hub) merge(now clock.Time, from string, fromRelay bool, records []server.Record) []Send {
	var sends []Send
	records = slices.DeleteFunc(slices.Clone(records), func(r server.Record) bool {
		_, linked := h.links[r.Node]
		refuted := r.State == server.Lost && linked && r.Node != from
		if refuted {
			sends = append(sends, h.requestRefutation(r))
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

// confirmLosses asks the other relays about the servers that one relay reported
// as lost. The node of such a server may be linked to a relay that the reporting
// relay cannot reach.
func (h *Hub) confirmLosses(from string, records []server.Record) []Send {
	lost := slices.DeleteFunc(slices.Clone(records), func(r server.Record) bool { return r.State != server.Lost })
	if len(lost) == 0 {
		return nil
	}
	m := &Members{Records: lost, Suspect: true}
	return slices.DeleteFunc(h.broadcast(m, from), func(s Send) bool { return !h.links[s.To].hello.Relay })
}

// updateDeparted records when servers were lost or gone.
func (h *Hub) updateDeparted(now clock.Time, records []server.Record) {
	for _, r := range records {
		delete(h.departedSince, r.Node)
		if r.State >= server.Lost {
			h.departedSince[r.Node] = now
		}
	}
}

// forward sends a message from one link over the others. A message from a relay
// is sent to nodes only, since that relay sends it to the other relays itself.
func (h *Hub) forward(from string, fromRelay bool, m Message) []Send {
	sends := h.broadcast(m, from)
	if !fromRelay {
		return sends
	}
	return slices.DeleteFunc(sends, func(s Send) bool { return h.links[s.To].hello.Relay })
}

// mergeReports merges crash reports from a link and forwards the new ones.
func (h *Hub) mergeReports(from string, fromRelay bool, reports []quarantine.Report) []Send {
	var added []quarantine.Report
	h.register, added = h.register.WithReports(reports...)
	if len(added) == 0 {
		return nil
	}
	return h.forward(from, fromRelay, &Reports{Reports: added})
}

// detectLosses marks as lost the servers of nodes whose link ended nodeLossTimeout
// ago, and those of the nodes of lost relays.
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

// detectRelayLosses marks the servers of a lost relay's nodes as lost unless
// another relay reports them. The result goes to the nodes linked to this relay
// only. Every relay decides by itself, since the lost relay may be unreachable
// from this one only.
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

// confirmSuspects asks the other relays about servers that this relay is going to
// mark as lost.
func (h *Hub) confirmSuspects(suspects []server.Record) []Send {
	var lost []server.Record
	for _, r := range suspects {
		lost = append(lost, r.WithState(server.Lost))
	}
	return h.confirmLosses("", lost)
}

// serversOf returns the servers of the nodes that were last reported by the relay
// and are not linked to this one.
func (h *Hub) serversOf(relay string) []server.Record {
	var records []server.Record
	for _, r := range h.directory.Records() {
		if _, linked := h.links[r.Node]; h.relayOf[r.Node] == relay && !linked && r.State < server.Lost {
			records = append(records, r)
		}
	}
	return records
}

// markLost marks as lost those candidates whose records have not changed since. If
// localOnly is set, it sends the losses to the nodes linked to this relay only, and
// asks the other relays to confirm them.
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

// expire removes servers that have been lost or gone for departedRetention, and
// expired crash reports.
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
