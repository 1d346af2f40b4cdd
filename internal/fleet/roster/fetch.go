package roster

import (
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

const maxOffers = 4 // nodes remembered that have a version

// policyFetch is the fetch of a version of the policy from other nodes.
type policyFetch struct {
	version uint64          // 0 if nothing is fetched
	asked   []string        // nodes that were asked
	offers  []server.Record // nodes that have the version and were not asked
	running int             // exchanges that have not ended
}

// offerPolicy fetches the policy of the given version, which is higher than that in force, from
// another node. While that node has time to respond, others that have the version are only
// remembered.
func (s *state) offerPolicy(from server.Record, version uint64) {
	if version < s.fetch.version || version == s.fetch.version && slices.Contains(s.fetch.asked, from.Node) {
		return
	}
	if version > s.fetch.version {
		s.fetch = policyFetch{version: version}
	}
	if len(s.fetch.offers) < maxOffers {
		s.fetch.offers = append(s.fetch.offers, from)
	}
	if s.fetch.running == 0 {
		s.fetchNext(version)
	}
}

// fetchNext fetches the policy of the given version from the next node that has it, unless it
// is in force or a higher one is being fetched.
func (s *state) fetchNext(version uint64) {
	if s.fetch.version != version || s.version() >= version || len(s.fetch.offers) == 0 {
		return
	}
	from := s.fetch.offers[0]
	s.fetch.offers = s.fetch.offers[1:]
	s.fetch.asked = append(s.fetch.asked, from.Node)
	s.fetch.running++
	query := s.summary()
	s.r.tasks.Go(func() {
		impatient := time.AfterFunc(exchangePatience, func() {
			s.r.post(s.ctx, func(s *state) { s.fetchNext(version) })
		})
		_ = s.r.exchange(s.ctx, from, query) // ask logs the error
		impatient.Stop()
		s.r.post(s.ctx, func(s *state) { s.endFetch(version) })
	})
}

// endFetch records that an exchange which fetched the given version has ended.
func (s *state) endFetch(version uint64) {
	if s.fetch.version != version {
		return
	}
	s.fetch.running--
	s.fetchNext(version)
	if s.fetch.running == 0 {
		s.fetch = policyFetch{}
	}
}
