package relay

import (
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// SetSeats replaces the list of relays. If it changed, SetSeats sends it over all
// links.
func (h *Hub) SetSeats(seats []Seat) []Send {
	if slices.Equal(seats, h.seats) {
		return nil
	}
	h.seats = seats
	return h.broadcast(&Seats{Seats: seats, Era: h.era}, "")
}

// SetEra sets the era of the platform's store. If it changed, SetEra sends it over all
// links.
func (h *Hub) SetEra(era uint64) []Send {
	if era <= h.era {
		return nil
	}
	h.era = era
	return h.broadcast(&Seats{Seats: h.seats, Era: era}, "")
}

// invite invites a random node of each data centre to a vacant seat. It invites
// only one per data centre, so that not all nodes read the leases from the platform
// when a relay fails.
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

// hasSeat reports whether the node holds a seat.
func (h *Hub) hasSeat(node string) bool {
	return slices.ContainsFunc(h.seats, func(s Seat) bool { return s.Node == node })
}

// inviteTo invites a candidate of each data centre to its first vacant seat.
func (h *Hub) inviteTo(taken map[string]map[int]bool, candidates map[string][]string) []Send {
	var sends []Send
	for _, dc := range slices.Sorted(maps.Keys(candidates)) {
		for i := range SeatsPerDataCentre {
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

// balance redirects some nodes if the sibling relay has far fewer. Without it, all
// nodes of a data centre would stay linked to the relay that took its seat first,
// and that relay would bear the cost of the probes on all their links.
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

// sibling returns the other relay of this data centre, if it has a link to this
// one.
func (h *Hub) sibling() (string, bool) {
	for _, name := range h.linkNames() {
		if l := h.links[name]; l.hello.Relay && l.hello.DataCentre == h.dataCentre {
			return name, true
		}
	}
	return "", false
}

// serverNodes returns the nodes with servers that are linked to this relay, and
// the number of those that are linked to the sibling. The nodes of the two relays
// themselves are not counted.
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
