package roster

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/canary"
	"github.com/geraniumdock/geraniumdock/internal/fleet/rollout"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	deciderCount  = 2                      // nodes that get the counts of a roll-out
	countInterval = 500 * time.Millisecond // between two reports of counts; half of it after the shift
	// decideInterval is the least time between two looks at the counts because of a message.
	decideInterval = 100 * time.Millisecond
	// takeoverDelay is the time for which the second node of those that decide waits for the
	// first one.
	takeoverDelay = time.Second
	// reportAge is the age up to which counts of a node show that it is in contact.
	reportAge     = 1500 * time.Millisecond
	minFreshRatio = 0.5 // of the servers of a service, whose nodes must be in contact
	// outcomeTTL is how long requests are sent according to the outcome of a roll-out. The servers
	// that get none stop within seconds.
	outcomeTTL = time.Minute
)

// RolloutConfig configures how a roster takes part in roll-outs.
type RolloutConfig struct {
	Kind    string // of the entries that order them
	Service string // of the server beside the node
	Limits  rollout.Limits
	// Decode returns the order in an entry, and the phase that its status states.
	Decode func(gd.Entry) (rollout.Order, rollout.Phase, error)
	// Encode returns the status of a roll-out.
	Encode func(rollout.Rollout) ([]byte, error)
}

// rolloutMessage is the state of a roll-out in a message. Times are relative to its sending.
type rolloutMessage struct {
	Service  string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Name     string        `cbor:"3,keyasint"`
	Duration uint64        `cbor:"4,keyasint"` // milliseconds
	Phase    rollout.Phase `cbor:"5,keyasint"`
	Step     uint32        `cbor:"6,keyasint,omitempty"`
	Share    float64       `cbor:"7,keyasint,omitempty"`
	Age      uint64        `cbor:"8,keyasint"` // milliseconds since a node read the order first
	PhaseAge uint64        `cbor:"9,keyasint"` // milliseconds since the phase began
	Revision uint64        `cbor:"10,keyasint"`
	Era      uint64        `cbor:"11,keyasint"`
}

// countsMessage holds the counts of the responses of the server beside the sender.
type countsMessage struct {
	Service     string          `cbor:"1,keyasint"`
	Target      string          `cbor:"2,keyasint"`
	Incarnation uint64          `cbor:"3,keyasint"` // of the sender
	Counts      []rollout.Count `cbor:"4,keyasint,omitempty"`
}

// rolloutCounter counts the responses of the server beside the node while a roll-out of its
// service runs.
type rolloutCounter struct {
	rollout.Counter
	isCounting atomic.Bool
	known      atomic.Pointer[rollout.Rollout] // the roll-out of the service, nil if there was none
}

// trackedRollout is a roll-out with what the control goroutine knows about it.
type trackedRollout struct {
	rollout.Rollout
	tally     *rollout.Tally
	sentAt    time.Duration // when counts were sent last
	pending   rollout.Phase // that this node would decide, while it waits for another
	pendingAt time.Duration // since when
	decidedAt time.Duration // when the counts were looked at last
	write     rolloutWrite
}

// isOver reports whether the roll-out ended so long ago that its outcome affects nothing.
func (t *trackedRollout) isOver(now time.Duration) bool {
	return t.Phase >= rollout.StoredRolledBack && now-t.Since >= outcomeTTL
}

// CountResponse counts a response of the server beside the node.
func (r *Roster) CountResponse(version, class string, isBad, isCold bool, slotTime time.Duration) {
	if r.rollouts.isCounting.Load() {
		r.rollouts.Add(version, class, isBad, isCold, slotTime)
	}
}

// rolloutMessages returns the roll-outs that are known, without those that ended long ago.
func (s *state) rolloutMessages() []rolloutMessage {
	now := s.r.cfg.Clock.Monotonic()
	var list []rolloutMessage
	for _, t := range s.rollouts {
		if t.isOver(now) {
			continue
		}
		list = append(list, rolloutMessage{
			Service: t.Service, Target: t.Target, Name: t.Name, Duration: milliseconds(t.Duration), Phase: t.Phase, Step: t.Step, Share: t.Share,
			Age: milliseconds(now - t.Began), PhaseAge: milliseconds(now - t.Since), Revision: t.Revision.Number, Era: t.Revision.Era,
		})
	}
	return list
}

func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

// maxMessageAge bounds the times in a message, so that they can be represented.
const maxMessageAge = uint64(1000 * time.Hour / time.Millisecond)

// receiveRollouts merges the roll-outs and the counts of a message.
func (s *state) receiveRollouts(m Message) {
	if s.r.cfg.Rollouts == nil {
		return
	}
	now := s.r.cfg.Clock.Monotonic()
	for _, w := range m.Rollouts {
		if w.Service == "" || w.Target == "" || w.Phase == rollout.None || w.Phase > rollout.Closed || max(w.Age, w.PhaseAge, w.Duration) > maxMessageAge {
			continue
		}
		ago := func(ms uint64) time.Duration { return now - time.Duration(ms)*time.Millisecond }
		s.mergeRollout(rollout.Rollout{
			Order: rollout.Order{Service: w.Service, Target: w.Target, Duration: time.Duration(w.Duration) * time.Millisecond},
			Name:  w.Name, Revision: gd.Revision{Era: w.Era, Number: w.Revision},
			Began: ago(w.Age), Phase: w.Phase, Step: w.Step, Share: w.Share, Since: ago(w.PhaseAge), Reason: "decided by another node",
		}, "node "+m.Node)
	}
	for _, c := range m.Counts {
		t, ok := s.rollouts[c.Service]
		if ok && t.Target == c.Target && t.Phase.IsOpen() {
			rec, _ := s.directory.Record(m.Node)
			t.tally.Add(now, m.Node, rec.DataCentre, c.Incarnation, c.Counts)
			if now-t.decidedAt >= decideInterval {
				s.decide(t)
			}
		}
	}
}

// mergeRollout merges what another node or the catalogue knows of a roll-out. It reports whether
// that was news.
func (s *state) mergeRollout(o rollout.Rollout, source string) bool {
	t, ok := s.rollouts[o.Service]
	if !ok {
		t = &trackedRollout{}
		s.rollouts[o.Service] = t
	}
	before := t.Rollout
	merged, changed := before.Merge(o)
	s.setRollout(t, merged, source)
	return changed && (merged.Phase != before.Phase || merged.Step != before.Step || merged.Target != before.Target)
}

// setRollout replaces the state of a roll-out.
func (s *state) setRollout(t *trackedRollout, next rollout.Rollout, source string) {
	before := t.Rollout
	t.Rollout = next
	if next.Phase == before.Phase && next.Step == before.Step && next.Target == before.Target {
		return
	}
	if isNew := next.Target != before.Target || before.Phase == rollout.Closed || t.tally == nil; isNew {
		t.tally, t.write = rollout.NewTally(next.Target), rolloutWrite{}
		if next.Service == s.r.cfg.Rollouts.Service {
			s.r.rollouts.Reset()
		}
	}
	if next.Service == s.r.cfg.Rollouts.Service {
		s.r.rollouts.isCounting.Store(next.Phase.IsOpen())
		s.r.rollouts.known.Store(&next)
	}
	t.pending = rollout.None
	target, targetBad, others, othersBad := t.tally.Totals()
	s.r.cfg.Log.Info(event.RolloutPhase, "service", next.Service, "target", next.Target, "phase", next.Phase.String(), "before", before.Phase.String(),
		"reason", next.Reason, "source", source, "share", next.Share, "elapsed", (s.r.cfg.Clock.Monotonic() - next.Began).String(), "duration", next.Duration.String(),
		"responses", target, "bad", targetBad, "other-responses", others, "other-bad", othersBad, "revision", next.Revision.String())
	s.updateRules()
}

// updateRules derives which servers get requests. It replaces the map, which snapshots share.
func (s *state) updateRules() {
	now := s.r.cfg.Clock.Monotonic()
	var rules map[string]canary.Rule
	for service, t := range s.rollouts {
		rule := canary.Rule{Target: t.Target}
		switch t.Phase {
		case rollout.Canary:
			rule.Use, rule.Share, rule.Turn = canary.Share, t.Share, int(t.Step)
		case rollout.Shift, rollout.Settled, rollout.StoredComplete:
			rule.Use = canary.Target
		case rollout.RolledBack, rollout.StoredRolledBack:
			rule.Use = canary.Others
		}
		if rule.Use == canary.All || t.isOver(now) {
			continue
		}
		if rules == nil {
			rules = map[string]canary.Rule{}
		}
		rules[service] = rule
	}
	s.rules = rules
	s.reachGeneration++
}

// advanceRollouts sends the counts of this node, decides, and writes outcomes.
func (s *state) advanceRollouts() {
	now := s.r.cfg.Clock.Monotonic()
	for service, t := range s.rollouts {
		if _, ok := s.rules[service]; ok && t.isOver(now) {
			s.updateRules()
		}
		if t.Phase.IsOpen() {
			s.sendCounts(now, t)
			s.decide(t)
		}
		s.writeStatus(t)
	}
}

// deciders returns the nodes that decide about a roll-out, first the one that acts: the first ones
// by rendezvous hashing over the nodes that respond.
func (s *state) deciders(t *trackedRollout) []server.Record {
	key := t.Service + "/" + t.Target + "/"
	hash := func(rec server.Record) uint64 { return xxhash.Sum64String(key + rec.Node) }
	nodes := slices.DeleteFunc(s.r.inOrder(), func(rec server.Record) bool { return rec.State == server.Gone })
	slices.SortFunc(nodes, func(a, b server.Record) int { return cmp.Compare(hash(a), hash(b)) })
	return nodes[:min(deciderCount, len(nodes))]
}

// rank returns the position of this node among those that decide, and whether it is one of them.
func (s *state) rank(t *trackedRollout) (int, bool) {
	i := slices.IndexFunc(s.deciders(t), func(rec server.Record) bool { return rec.Node == s.r.cfg.Self.Node })
	return i, i >= 0
}

// sendCounts sends the counts of the server beside this node to the nodes that decide.
func (s *state) sendCounts(now time.Duration, t *trackedRollout) {
	interval := countInterval
	if t.Phase != rollout.Canary {
		interval /= 2
	}
	// The interval is a multiple of that of the calls, which come a little early at times.
	if t.Service != s.r.cfg.Rollouts.Service || now-t.sentAt < interval-expiryInterval/2 {
		return
	}
	t.sentAt = now
	counts := s.r.rollouts.Counts()
	deciders := s.deciders(t)
	if slices.ContainsFunc(deciders, func(rec server.Record) bool { return rec.Node == s.r.cfg.Self.Node }) {
		t.tally.Add(now, s.r.cfg.Self.Node, s.r.cfg.Self.DataCentre, s.r.cfg.Self.Incarnation, counts)
	}
	s.pushTo(deciders, Message{
		Rollouts: s.rolloutMessages(),
		Counts:   []countsMessage{{t.Service, t.Target, s.r.cfg.Self.Incarnation, counts}},
	})
}

// decide decides about a roll-out if that is this node's turn. Nodes that know others to be silent
// send their counts to the next ones, so a node that gets them decides although it may not know
// why. All but the first one wait for it.
func (s *state) decide(t *trackedRollout) {
	now := s.r.cfg.Clock.Monotonic()
	t.decidedAt = now
	fleet := s.fleetOf(now, t)
	rank, ok := s.rank(t)
	if !ok && !fleet.IsFresh {
		return
	}
	next := rollout.Decide(now, t.Rollout, t.tally, fleet, s.r.cfg.Rollouts.Limits)
	if next.Phase == t.Phase && next.Step == t.Step {
		t.pending = rollout.None
		return
	}
	if rank != 0 {
		if next.Phase == t.Phase {
			return
		}
		if next.Phase != t.pending {
			t.pending, t.pendingAt = next.Phase, now
		}
		if now-t.pendingAt < takeoverDelay {
			return
		}
	}
	s.setRollout(t, next, "decision")
	s.pushRollouts()
	s.writeStatus(t)
}

// pushRollouts pushes the known roll-outs to all nodes.
func (s *state) pushRollouts() { s.push(Message{Rollouts: s.rolloutMessages()}) }

// fleetOf returns the state of the servers of a roll-out's service.
func (s *state) fleetOf(now time.Duration, t *trackedRollout) rollout.Fleet {
	var f rollout.Fleet
	heard := 0
	for rec := range s.directory.All() {
		if rec.Service != t.Service || rec.State != server.Up {
			continue
		}
		if rec.Version == t.Target {
			f.Targets++
		} else {
			f.Others++
		}
		if t.tally.HeardWithin(now, reportAge, rec.Node) {
			heard++
		}
	}
	f.IsFresh = heard > 0 && float64(heard) >= minFreshRatio*float64(f.Targets+f.Others)
	return f
}

// RolloutStatus describes the roll-out of the service beside the node, for metrics.
type RolloutStatus struct {
	Phase          rollout.Phase
	Share          float64
	Responses, Bad uint64 // of the server beside the node, since it learned of the order
}

// RolloutStatus returns the state of the latest roll-out of the service beside the node.
func (r *Roster) RolloutStatus() RolloutStatus {
	var status RolloutStatus
	if known := r.rollouts.known.Load(); known != nil {
		status.Phase, status.Share = known.Phase, known.Share
	}
	for _, c := range r.rollouts.Counts() {
		status.Responses += c.Responses
		status.Bad += c.Bad
	}
	return status
}
