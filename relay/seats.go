package relay

import (
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// SetSeats replaces the list of relays and tells it to the links if it
// changed.
func (h *Hub) SetSeats(seats []Seat) []Send {
	if slices.Equal(seats, h.seats) {
		return nil
	}
	h.seats = seats
	return h.broadcast(&Seats{Seats: seats}, "")
}

// invite asks a random node to stand for a vacant seat of its data centre.
// One node is asked, so that the platform does not see the whole fleet read
// the leases when a relay dies.
func (h *Hub) invite(now clock.Time) []Send {
	if len(h.seats) == 0 || now.Sub(h.lastInvite) < inviteInterval {
		return nil
	}
	h.lastInvite = now
	taken := map[string]map[int]bool{}
	for _, s := range h.seats {
		if taken[s.DataCentre] == nil {
			taken[s.DataCentre] = map[int]bool{}
		}
		taken[s.DataCentre][s.Index] = true
	}
	candidates := map[string][]string{}
	for _, name := range h.linkNames() {
		l := h.links[name]
		if !l.hello.Relay && !h.hasSeat(name) {
			candidates[l.hello.DataCentre] = append(candidates[l.hello.DataCentre], name)
		}
	}
	return h.inviteTo(taken, candidates)
}

func (h *Hub) hasSeat(node string) bool {
	return slices.ContainsFunc(h.seats, func(s Seat) bool { return s.Node == node })
}

func (h *Hub) inviteTo(taken map[string]map[int]bool, candidates map[string][]string) []Send {
	var sends []Send
	for _, dc := range slices.Sorted(maps.Keys(candidates)) {
		for i := range SeatsPerDC {
			if taken[dc][i] {
				continue
			}
			names := candidates[dc]
			sends = append(sends, Send{names[h.rnd.IntN(len(names))], &Invite{Index: i}})
			break
		}
	}
	return sends
}

// balance sends some nodes to the other relay of the data centre if that has
// far fewer: the first relay to take a seat is linked to by all, and the probes
// of its links add up.
func (h *Hub) balance(now clock.Time) []Send {
	if now.Sub(h.lastBalance) < balanceInterval {
		return nil
	}
	h.lastBalance = now
	sibling, ok := h.sibling()
	if !ok {
		return nil
	}
	nodes, siblingCount := h.serverNodes(sibling)
	excess := (len(nodes) - siblingCount) / 2
	if excess <= balanceTolerance {
		return nil
	}
	h.rnd.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	var sends []Send
	for _, node := range nodes[:min(excess, maxMovesPerBalance)] {
		sends = append(sends, Send{node, &Seats{Seats: h.seats, Redirect: true}})
	}
	return sends
}

// sibling returns the other relay of the data centre if it is linked.
func (h *Hub) sibling() (string, bool) {
	for _, name := range h.linkNames() {
		if l := h.links[name]; l.hello.Relay && l.hello.DataCentre == h.dataCentre {
			return name, true
		}
	}
	return "", false
}

// serving returns the nodes with servers that are linked here, but for the
// relay's own, and how many the sibling answers for.
func (h *Hub) serverNodes(sibling string) (nodes []string, siblingCount int) {
	for _, r := range h.directory.Records() {
		if r.State >= server.Lost || r.Node == h.node || r.Node == sibling {
			continue
		}
		if _, linked := h.links[r.Node]; linked {
			nodes = append(nodes, r.Node)
		} else if h.relayOf[r.Node] == sibling {
			siblingCount++
		}
	}
	return nodes, siblingCount
}
