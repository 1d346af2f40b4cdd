package roster

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	watcherCount = 3 // number of nodes that watch the policy
	// candidateCount is the number of nodes that watch in place of others which the catalogue
	// refuses, these included. If it refuses them all, the polls have to do.
	candidateCount = 15
	// refusedTTL is how long a node that the catalogue has refused watches nothing. Then it tries
	// again.
	refusedTTL = 5 * time.Second
	// refusedHearsayTTL is how long others do not count on such a node, unless it says that the
	// catalogue serves it again. It is longer than some tries.
	refusedHearsayTTL = 30 * time.Second
	// watchPatience is the time within which a watch must report a change that another node has
	// read.
	watchPatience = time.Second
)

// handOver has the next nodes watch the policy in place of this one, which the catalogue has
// refused. If they are refused as well they do the same, so that the watch reaches nodes that
// the catalogue serves within a few calls.
func (r *Roster) handOver(ctx context.Context) {
	done := make(chan struct{})
	r.post(ctx, func(s *state) {
		defer close(done)
		s.handOver("a call was refused")
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// handOver records that the catalogue refuses this node, if it watches the policy, and has the
// next ones watch in its place.
func (s *state) handOver(reason string) {
	if !s.r.IsWatcher() {
		return
	}
	s.handedOver = true
	s.setRefused(refusedTTL, s.r.cfg.Self.Node)
	s.publishSnapshot()
	s.r.cfg.Log.Info(event.WatchHandedOver, "reason", reason, "refused", len(s.refused), "to", nodesOf(s.r.watchers()))
	s.pushRefused()
}

// pushRefused tells the nodes that are to watch the policy in whose place they do.
func (s *state) pushRefused() {
	s.pushTo(s.r.watchers(), Message{Refused: slices.Collect(maps.Keys(s.refused))})
}

// expectChange hands the watch over unless this node soon reads the catalogue as of the given
// revision, at which another node has read the policy: the call of the watch may get no response.
func (s *state) expectChange(revision gd.Revision) {
	if !s.r.IsWatcher() || !revision.After(s.readRevision) {
		return
	}
	time.AfterFunc(watchPatience, func() {
		s.r.post(s.ctx, func(s *state) {
			if revision.After(s.readRevision) {
				s.handOver("the watch reports no change")
			}
		})
	})
}

// nodesOf returns the nodes of the records.
func nodesOf(records []server.Record) []string {
	var nodes []string
	for _, rec := range records {
		nodes = append(nodes, rec.Node)
	}
	return nodes
}

// recordRefused records that the catalogue refuses the nodes, by the word of another node. Nodes
// that hand the watch over at the same time do not know of each other, so one that learns more
// names others in its place.
func (s *state) recordRefused(nodes []string) {
	others := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == s.r.cfg.Self.Node })
	if len(others) == 0 {
		return
	}
	known := len(s.refused)
	s.setRefused(refusedHearsayTTL, others...)
	if s.handedOver && len(s.refused) > known {
		s.publishSnapshot()
		s.pushRefused()
	}
}

// regain records that the catalogue serves this node again, and tells the nodes that may watch
// in its place.
func (s *state) regain() {
	if !s.handedOver {
		return
	}
	s.handedOver = false
	s.clearRefused(func(node string, _ time.Duration) bool { return node == s.r.cfg.Self.Node })
	s.pushTo(s.r.candidates(), Message{Served: true})
}

// setRefused marks the nodes as refused for ttl. It replaces the map, which snapshots share.
func (s *state) setRefused(ttl time.Duration, nodes ...string) {
	s.refused = maps.Clone(s.refused)
	if s.refused == nil {
		s.refused = map[string]time.Duration{}
	}
	for _, node := range nodes {
		s.refused[node] = s.r.cfg.Clock.Monotonic() + ttl
	}
	s.reachGeneration++
}

// clearRefused marks the nodes that meet cond as served.
func (s *state) clearRefused(cond func(node string, until time.Duration) bool) {
	refused := maps.Clone(s.refused)
	maps.DeleteFunc(refused, cond)
	if len(refused) != len(s.refused) {
		s.refused = refused
		s.reachGeneration++
	}
}

// expireRefused drops the marks that have expired.
func (s *state) expireRefused() {
	now := s.r.cfg.Clock.Monotonic()
	s.clearRefused(func(_ string, until time.Duration) bool { return now >= until })
}

// isRefused reports whether the catalogue refuses the node.
func (s *Snapshot) isRefused(node string) bool {
	_, ok := s.refused[node]
	return ok
}

// inOrder returns this node and the others that respond, in the order of the hashes of their
// names, on which all nodes agree.
func (r *Roster) inOrder() []server.Record {
	snapshot := r.snapshot.Load()
	nodes := slices.DeleteFunc(snapshot.Directory.Records(), func(rec server.Record) bool {
		return rec.Node == r.cfg.Self.Node || snapshot.IsSilent(rec.Node)
	})
	nodes = append(nodes, r.cfg.Self)
	slices.SortFunc(nodes, func(a, b server.Record) int {
		return cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node))
	})
	return nodes
}

// candidates returns the nodes that respond and whose names have the lowest hashes, so that all
// nodes agree on them.
func (r *Roster) candidates() []server.Record {
	candidates := slices.DeleteFunc(r.inOrder(), func(rec server.Record) bool { return rec.State == server.Gone })
	return candidates[:min(candidateCount, len(candidates))]
}

// watchers returns the few nodes that watch the policy: the first of the candidates that the
// catalogue does not refuse.
func (r *Roster) watchers() []server.Record {
	snapshot := r.snapshot.Load()
	served := slices.DeleteFunc(r.candidates(), func(rec server.Record) bool { return snapshot.isRefused(rec.Node) })
	return served[:min(watcherCount, len(served))]
}

// IsWatcher reports whether this node is one of the few that watch the policy.
func (r *Roster) IsWatcher() bool { return slices.Contains(nodesOf(r.watchers()), r.cfg.Self.Node) }
