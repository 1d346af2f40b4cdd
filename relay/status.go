package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
)

// request collects the answers of other relays to a status request.
type pendingStatus struct {
	from     string
	id       uint64
	nodes    map[string]Progress
	awaited  map[string]bool
	deadline clock.Time
}

// Progress returns what the nodes linked to this relay have acknowledged.
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

// status answers a request, after asking the other relays unless it is local.
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
	return append(sends, h.answerIfComplete(h.lastStatusID)...)
}

func (r *pendingStatus) add(nodes []Progress) {
	for _, p := range nodes {
		if old, ok := r.nodes[p.Node]; !ok || p.Version >= old.Version {
			r.nodes[p.Node] = p
		}
	}
}

func (h *Hub) handleStatusReply(from string, m *StatusReply) []Send {
	r, ok := h.pendingStatuses[m.ID]
	if !ok || !r.awaited[from] {
		return nil
	}
	delete(r.awaited, from)
	r.add(m.Nodes)
	return h.answerIfComplete(m.ID)
}

// finish answers the request if nothing is waited for any more.
func (h *Hub) answerIfComplete(id uint64) []Send {
	r := h.pendingStatuses[id]
	if len(r.awaited) > 0 {
		return nil
	}
	return h.answer(id, r)
}

func (h *Hub) answer(id uint64, r *pendingStatus) []Send {
	delete(h.pendingStatuses, id)
	nodes := slices.Collect(maps.Values(r.nodes))
	slices.SortFunc(nodes, func(a, b Progress) int { return cmp.Compare(a.Node, b.Node) })
	return []Send{{r.from, &StatusReply{ID: r.id, Nodes: nodes, Silent: slices.Sorted(maps.Keys(r.awaited))}}}
}

func (h *Hub) answerExpired(now clock.Time) []Send {
	var sends []Send
	for _, id := range slices.Sorted(maps.Keys(h.pendingStatuses)) {
		if r := h.pendingStatuses[id]; r.deadline <= now {
			sends = append(sends, h.answer(id, r)...)
		}
	}
	return sends
}
