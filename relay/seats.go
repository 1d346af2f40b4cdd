package relay

import (
	"maps"
	"slices"

	"github.com/geraniumdock/geraniumdock/clock"
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
	if len(h.seats) == 0 || now.Sub(h.invited) < inviteEvery {
		return nil
	}
	h.invited = now
	taken := map[string]map[int]bool{}
	for _, s := range h.seats {
		if taken[s.DataCentre] == nil {
			taken[s.DataCentre] = map[int]bool{}
		}
		taken[s.DataCentre][s.Index] = true
	}
	candidates := map[string][]string{}
	for _, name := range h.linked() {
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
