package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
)

// pendingStatus collects the replies of other relays to a status request.
type pendingStatus struct {
	from     string // node that sent the request
	id       uint64 // of the request as the node sent it
	nodes    map[string]Progress
	awaited  map[string]bool // relays that have not replied
	deadline clock.Time
}

// Progress returns the progress of the nodes linked to this relay.
func (h *Hub) Progress() []Progress {
	var nodes []Progress
	for _, name := range h.linkNames() {
		l := h.links[name]
		if !l.hello.Relay {
			nodes = append(nodes, Progress{name, l.hello.DataCentre, l.ackedVersion, l.refused, l.reason})
		}
	}
	return nodes
}

// handleStatusRequest replies to a local request at once. For other requests it
// asks the linked relays first.
func (h *Hub) handleStatusRequest(now clock.Time, from string, m *StatusRequest) []Send {
	if m.Local {
		return []Send{{from, &StatusReply{ID: m.ID, Nodes: h.Progress()}}}
	}
	h.lastStatusID++
	r := &pendingStatus{from: from, id: m.ID, nodes: map[string]Progress{}, awaited: map[string]bool{}, deadline: now.Add(statusTimeout)}
	r.add(h.Progress())
	var sends []Send
	for _, name := range h.linkNames() {
		if h.links[name].hello.Relay {
			r.awaited[name] = true
			sends = append(sends, Send{name, &StatusRequest{ID: h.lastStatusID, Local: true}})
		}
	}
	h.pendingStatuses[h.lastStatusID] = r
	return append(sends, h.replyIfComplete(h.lastStatusID)...)
}

// add merges the progress of nodes. Of two entries for a node, which may have
// changed relays meanwhile, the one with the newer version is kept.
func (r *pendingStatus) add(nodes []Progress) {
	for _, p := range nodes {
		if old, ok := r.nodes[p.Node]; !ok || p.Version >= old.Version {
			r.nodes[p.Node] = p
		}
	}
}

// handleStatusReply adds the reply of another relay to the request it belongs to.
func (h *Hub) handleStatusReply(from string, m *StatusReply) []Send {
	r, ok := h.pendingStatuses[m.ID]
	if !ok || !r.awaited[from] {
		return nil
	}
	delete(r.awaited, from)
	r.add(m.Nodes)
	return h.replyIfComplete(m.ID)
}

// replyIfComplete replies to the request if no more replies are awaited.
func (h *Hub) replyIfComplete(id uint64) []Send {
	r := h.pendingStatuses[id]
	if len(r.awaited) > 0 {
		return nil
	}
	return h.reply(id, r)
}

// reply replies to the request and lists the relays that have not replied.
func (h *Hub) reply(id uint64, r *pendingStatus) []Send {
	delete(h.pendingStatuses, id)
	nodes := slices.Collect(maps.Values(r.nodes))
	slices.SortFunc(nodes, func(a, b Progress) int { return cmp.Compare(a.Node, b.Node) })
	return []Send{{r.from, &StatusReply{ID: r.id, Nodes: nodes, Silent: slices.Sorted(maps.Keys(r.awaited))}}}
}

// replyToExpired replies to the requests whose deadline has passed.
func (h *Hub) replyToExpired(now clock.Time) []Send {
	var sends []Send
	for _, id := range slices.Sorted(maps.Keys(h.pendingStatuses)) {
		if r := h.pendingStatuses[id]; r.deadline <= now {
			sends = append(sends, h.reply(id, r)...)
		}
	}
	return sends
}
