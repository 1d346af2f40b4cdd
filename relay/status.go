package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
)

// request collects the answers of other relays to a status request.
type request struct {
	from    string
	id      uint64
	nodes   map[string]Progress
	waiting map[string]bool
	until   clock.Time
}

// Progress returns what the nodes linked to this relay have acknowledged.
func (h *Hub) Progress() []Progress {
	var nodes []Progress
	for _, name := range h.linked() {
		l := h.links[name]
		if !l.hello.Relay {
			nodes = append(nodes, Progress{name, l.hello.DataCentre, l.version, l.refused, l.reason})
		}
	}
	return nodes
}

// status answers a request, after asking the other relays unless it is local.
func (h *Hub) status(now clock.Time, from string, m *StatusRequest) []Send {
	if m.Local {
		return []Send{{from, &StatusReply{ID: m.ID, Nodes: h.Progress()}}}
	}
	h.lastID++
	r := &request{from: from, id: m.ID, nodes: map[string]Progress{}, waiting: map[string]bool{}, until: now.Add(statusWait)}
	r.add(h.Progress())
	var sends []Send
	for _, name := range h.linked() {
		if h.links[name].hello.Relay {
			r.waiting[name] = true
			sends = append(sends, Send{name, &StatusRequest{ID: h.lastID, Local: true}})
		}
	}
	h.requests[h.lastID] = r
	return append(sends, h.finish(h.lastID)...)
}

func (r *request) add(nodes []Progress) {
	for _, p := range nodes {
		if old, ok := r.nodes[p.Node]; !ok || p.Version >= old.Version {
			r.nodes[p.Node] = p
		}
	}
}

func (h *Hub) collectReply(from string, m *StatusReply) []Send {
	r, ok := h.requests[m.ID]
	if !ok || !r.waiting[from] {
		return nil
	}
	delete(r.waiting, from)
	r.add(m.Nodes)
	return h.finish(m.ID)
}

// finish answers the request if nothing is waited for any more.
func (h *Hub) finish(id uint64) []Send {
	r := h.requests[id]
	if len(r.waiting) > 0 {
		return nil
	}
	return h.answer(id, r)
}

func (h *Hub) answer(id uint64, r *request) []Send {
	delete(h.requests, id)
	nodes := slices.Collect(maps.Values(r.nodes))
	slices.SortFunc(nodes, func(a, b Progress) int { return cmp.Compare(a.Node, b.Node) })
	return []Send{{r.from, &StatusReply{ID: r.id, Nodes: nodes, Silent: slices.Sorted(maps.Keys(r.waiting))}}}
}

func (h *Hub) expireRequests(now clock.Time) []Send {
	var sends []Send
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		if r := h.requests[id]; r.until <= now {
			sends = append(sends, h.answer(id, r)...)
		}
	}
	return sends
}
