package roster

import (
	"context"
	"maps"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// firstRetry is the time after which a node that did not respond is asked again. It
	// doubles up to maxRetry with each failure.
	firstRetry = time.Second
	maxRetry   = 16 * time.Second
	// hearsayAge is the time since the last message of a node from which the word of
	// another node that it does not respond is believed.
	hearsayAge = 5 * time.Second
	// hearsayTTL is how long such a word is believed, unless it is repeated. Nodes pass on
	// only what they have found themselves, so that a false one ends.
	hearsayTTL   = 15 * time.Second
	maxSilent    = 64 // names of silent nodes in a message
	maxReplacing = 8  // nodes asked in place of one that does not respond to a push
	// lostTimeout is the time without a response after which a node is taken to be gone. It
	// is longer than a network partition or a restart usually lasts.
	lostTimeout = time.Minute
	// removalInterval is the least time between two lists that look for entries of lost
	// nodes.
	removalInterval = 15 * time.Second
)

// silence says that a node does not respond. Nodes that were removed without notice leave
// their records behind, so a record does not show that its node lives.
type silence struct {
	since    time.Duration // monotonic time of the first failure
	retryAt  time.Duration // when the node is asked again
	failures int           // of this node's messages, 0 if another node has found the silence
	until    time.Duration // when it is no longer believed, if failures is 0
}

// recordFailure records that the node did not respond to a message.
func (s *state) recordFailure(node string) {
	if _, known := s.directory.Record(node); !known || node == s.r.cfg.Self.Node {
		return
	}
	now := s.r.cfg.Clock.Monotonic()
	x, ok := s.silent[node]
	if !ok {
		x.since = now
		s.r.cfg.Log.Info(event.NodeSilent, "node", node, "silent", len(s.silent)+1, "nodes", s.directory.Len())
	}
	x.retryAt = now + s.r.jitter(min(firstRetry<<min(x.failures, 8), maxRetry))
	x.failures++
	s.setSilent(node, x)
}

// recordHearsay records that another node has found the nodes silent.
func (s *state) recordHearsay(nodes []string) {
	now := s.r.cfg.Clock.Monotonic()
	for _, node := range nodes {
		_, known := s.directory.Record(node)
		heardAt, wasHeard := s.heardAt[node]
		x, isSilent := s.silent[node]
		if !known || node == s.r.cfg.Self.Node || x.failures > 0 || wasHeard && now-heardAt < hearsayAge {
			continue
		}
		if !isSilent {
			x = silence{since: now, retryAt: now + s.r.jitter(maxRetry)}
		}
		x.until = now + hearsayTTL
		s.setSilent(node, x)
	}
}

// recordResponse records that a message of the node has arrived.
func (s *state) recordResponse(node string) {
	s.heardAt[node] = s.r.cfg.Clock.Monotonic()
	if x, ok := s.silent[node]; ok {
		s.r.cfg.Log.Info(event.NodeResponds, "node", node, "after", (s.heardAt[node] - x.since).String(), "failures", x.failures)
		s.clearSilent(node)
	}
}

// setSilent marks the node as silent. It replaces the map, which snapshots share.
func (s *state) setSilent(node string, x silence) {
	silent := map[string]silence{node: x}
	for name, other := range s.silent {
		if name != node {
			silent[name] = other
		}
	}
	s.silent = silent
	s.reachGeneration++
}

// clearSilent marks the node as one that responds. It replaces the map.
func (s *state) clearSilent(node string) {
	if _, ok := s.silent[node]; ok {
		s.silent = maps.Clone(s.silent)
		delete(s.silent, node)
		s.reachGeneration++
	}
}

// expireSilences drops hearsay that was not repeated and nodes that are no longer known.
func (s *state) expireSilences() {
	now := s.r.cfg.Clock.Monotonic()
	for node, x := range s.silent {
		if _, known := s.directory.Record(node); !known || x.failures == 0 && now >= x.until {
			s.clearSilent(node)
		}
	}
}

// silentNodes returns the names of nodes that this node has found silent, for messages.
func (s *state) silentNodes() []string {
	var nodes []string
	for node, x := range s.silent {
		if x.failures > 0 && len(nodes) < maxSilent {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// retrySilent asks one silent node that is due whether it responds.
func (s *state) retrySilent() {
	now := s.r.cfg.Clock.Monotonic()
	for node, x := range s.silent {
		rec, known := s.directory.Record(node)
		if !known || now < x.retryAt {
			continue
		}
		x.retryAt = now + s.r.jitter(maxRetry)
		s.setSilent(node, x)
		query := s.summary()
		s.r.tasks.Go(func() { _ = s.r.exchange(s.ctx, rec, query) }) // ask logs the error
		return
	}
}

// IsSilent reports whether the node does not respond.
func (s *Snapshot) IsSilent(node string) bool {
	_, ok := s.silent[node]
	return ok
}

// Responding returns the number of known nodes that respond, including this one.
func (s *Snapshot) Responding() int {
	n := 0
	for rec := range s.Directory.All() {
		if !s.IsSilent(rec.Node) {
			n++
		}
	}
	return max(1, n)
}

// Nodes returns the number of known nodes, including this one, without those that have
// not responded for lostTimeout at the monotonic time now. Nodes behind a network partition
// count, as they may use their parts of limits that apply to all.
func (s *Snapshot) Nodes(now time.Duration) int {
	n := s.Directory.Len()
	for _, x := range s.silent {
		if x.isLost(now) {
			n--
		}
	}
	return max(1, n)
}

// isLost reports whether this node has found the silence, and it lasts for lostTimeout.
func (x silence) isLost(now time.Duration) bool { return x.failures > 1 && now-x.since >= lostTimeout }

// requestRemovals requests a list if the entries of lost nodes are to be removed.
func (s *state) requestRemovals() {
	now := s.r.cfg.Clock.Monotonic()
	if s.removalAt != 0 && now-s.removalAt < removalInterval {
		return
	}
	for node := range s.silent {
		if rec, ok := s.directory.Record(node); ok && s.isRemovable(rec) {
			if s.r.IsWatcher() {
				s.removalAt = now
				s.r.wakeLister()
			}
			return
		}
	}
}

// isRemovable reports whether the entry of a node is to be removed: the node is lost, and
// another one in its data centre responds, so that it is not behind a network partition.
func (s *state) isRemovable(rec server.Record) bool {
	x, ok := s.silent[rec.Node]
	if !ok || !x.isLost(s.r.cfg.Clock.Monotonic()) {
		return false
	}
	return slices.ContainsFunc(s.directory.Records(), func(other server.Record) bool {
		_, isSilent := s.silent[other.Node]
		_, wasHeard := s.heardAt[other.Node]
		return other.DataCentre == rec.DataCentre && wasHeard && !isSilent
	})
}

// removeEntry deletes the entry of a node unless it has changed since the given revision.
func (s *state) removeEntry(rec server.Record, revision gd.Revision, reason string) {
	r, ctx := s.r, s.ctx
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.cfg.Catalogue.Delete(ctx, r.cfg.ServerKind, rec.Node, revision)
		if gd.NotFound.Is(err) {
			return // another node has deleted it
		}
		if err != nil {
			r.cfg.Log.Warn(event.PublishFailed, "entry", rec.Node, "error", gd.Message(err))
			return
		}
		r.cfg.Log.Info(event.EntryRemoved, "node", rec.Node, "incarnation", rec.Incarnation, "sequence", rec.Sequence, "revision", revision.String(), "reason", reason)
		r.wakeLister()
	})
}
