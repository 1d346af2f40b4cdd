// Package canary selects the servers of a service that a request may be sent to while servers of
// several versions run side by side.
package canary

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// Use says which servers get requests.
type Use int

// Which servers get requests during a roll-out.
const (
	All    Use = iota // all alike
	Share             // those of the target version get a share
	Target            // only those of the target version
	Others            // only the others
)

// Rule is the part of a roll-out that the choice of a server depends on.
type Rule struct {
	Use    Use
	Target string  // version
	Share  float64 // of the requests, for Share
	Turn   int     // selects other servers for the share, so that more than a fast or a slow one is tried
}

// newFor is the time for which a version that a node sees first beside another one gets only a
// share, as the node may not know of the order yet.
const newFor = 3 * time.Second

// forgetAfter is the time after which a version without servers counts as new again.
const forgetAfter = time.Minute

// Draw is whether a request may be sent to a server of the target version while these get only a
// share. The zero value is not drawn yet.
type Draw struct {
	isDrawn, isCanary bool
}

// Filter selects servers by their versions. It is safe for concurrent use. Use New to create one.
type Filter struct {
	share float64 // for new versions

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
}

// service is what a filter knows of the servers of one service. The lists are not changed once
// they are made.
type service struct {
	generation uint64 // of the directory from which the lists were made
	rule       Rule   // likewise
	expires    time.Duration
	seenAt     map[string]time.Duration // by version: first
	lastSeen   map[string]time.Duration // by version
	isMixed    bool                     // there are servers of both kinds
	use        Use
	share      float64
	targets    []server.Record
	canaries   int // number of the targets that get the share
	others     []server.Record
}

// New returns a filter with which a version that is new beside others gets the given share of the
// requests at first.
func New(share float64, random *rand.Rand) *Filter {
	return &Filter{share: share, random: random, services: map[string]*service{}}
}

// Select returns the servers that a request may be sent to next, of those that accept requests
// in the directory of the given generation. Asked is the number of nodes that were asked to run the
// request, and isSilent reports whether a node does not respond. A nil filter selects all.
func (f *Filter) Select(now time.Duration, name string, rule Rule, generation uint64, serving []server.Record, isSilent func(node string) bool, asked int, draw *Draw) []server.Record {
	if f == nil {
		return serving
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		s = &service{seenAt: map[string]time.Duration{}, lastSeen: map[string]time.Duration{}}
		f.services[name] = s
	}
	if !ok || s.generation != generation || s.rule != rule || now >= s.expires {
		s.update(now, rule, generation, serving, f.share)
	}
	if !s.isMixed {
		return serving
	}
	switch s.use {
	case Target:
		return s.targets
	case Others:
		return s.others
	case Share:
		if !draw.isDrawn {
			*draw = Draw{true, f.random.Float64() < s.share}
		}
		// A retry must not depend on the version under test.
		if draw.isCanary && asked == 0 {
			return s.responding(isSilent)
		}
		return s.others
	}
	return serving
}

// update makes the lists anew.
func (s *service) update(now time.Duration, rule Rule, generation uint64, serving []server.Record, share float64) {
	s.generation, s.rule, s.expires = generation, rule, now+forgetAfter
	fresh := s.newVersions(now, serving)
	isTarget := func(r server.Record) bool { return r.Version == rule.Target }
	s.use, s.share = rule.Use, rule.Share
	if rule.Use == All && len(fresh) > 0 {
		isTarget = func(r server.Record) bool { return slices.Contains(fresh, r.Version) }
		s.use, s.share = Share, share
	}
	s.targets, s.others, s.canaries = nil, nil, 0
	for _, r := range serving {
		if isTarget(r) {
			s.targets = append(s.targets, r)
		} else {
			s.others = append(s.others, r)
		}
	}
	s.isMixed = s.use != All && len(s.targets) > 0 && len(s.others) > 0
	if s.isMixed && s.use == Share {
		// As many as the share loads normally, so that a version that is bad under load shows it.
		s.canaries = max(int(s.share*float64(len(s.others))), 1)
		slices.SortFunc(s.targets, func(a, b server.Record) int { return cmp.Compare(hash(a), hash(b)) })
	}
}

// hash orders the servers of the target version, for all nodes alike.
func hash(r server.Record) uint64 { return xxhash.Sum64String(r.Version + "/" + r.Node) }

// responding returns the first of the targets whose nodes respond, as many as get the share.
func (s *service) responding(isSilent func(node string) bool) []server.Record {
	var list []server.Record
	for i := range s.targets {
		r := s.targets[(i+s.rule.Turn*s.canaries)%len(s.targets)]
		if len(list) < s.canaries && !isSilent(r.Node) {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return s.others
	}
	return list
}

// newVersions records which versions the servers have. It returns those that this node has known
// for less than newFor and whose servers all started after one of another version.
func (s *service) newVersions(now time.Duration, serving []server.Record) []string {
	started := map[string]clock.Time{}
	oldest := clock.Time(0)
	for _, r := range serving {
		if at, ok := started[r.Version]; !ok || r.Started < at {
			started[r.Version] = r.Started
		}
		if oldest == 0 || r.Started < oldest {
			oldest = r.Started
		}
	}
	for version, at := range s.lastSeen {
		if _, ok := started[version]; !ok && now-at >= forgetAfter {
			delete(s.lastSeen, version)
			delete(s.seenAt, version)
		}
	}
	var fresh []string
	for version, at := range started {
		s.lastSeen[version] = now
		if _, ok := s.seenAt[version]; !ok {
			s.seenAt[version] = now
		}
		if until := s.seenAt[version] + newFor; now < until && at > oldest {
			fresh = append(fresh, version)
			s.expires = min(s.expires, until)
		}
	}
	return fresh
}
