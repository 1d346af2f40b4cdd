package admission

import (
	"math"
	"slices"
	"time"
)

const (
	maxWorkspaces = 1024            // workspaces with their own share; further ones have one in common
	usageHalfLife = 2 * time.Second // half-life of the slot time for which a workspace pays with waiting
	// minServedRatio is the fraction of its requests that a workspace gets served at
	// least, relative to that of all. The requirement is a quarter.
	minServedRatio = 0.35
	// Slot times are compared in steps of stepRatio, from freeSlotTimes mean slot times or
	// half of the average of the workspaces. Within a step the objective decides: if every
	// difference counted, requests with a short objective would wait for those with a long
	// one of any workspace that happens to have used a little less.
	freeSlotTimes = 4
	stepRatio     = 1.5
	// minUsage is the slot time in seconds below which a workspace is forgotten if the
	// space is needed for another one.
	minUsage = 1e-3
)

// shares hold the recent use of the slots by workspaces. Workspaces of one priority get
// equal shares of the slot time if they ask for it: the one that has used least goes
// first. The zero value has no workspaces.
type shares struct {
	workspaces map[string]*usage
	all        usage // offered and started of all workspaces
}

// usage is what a workspace has used and asked for, decayed to the time at.
type usage struct {
	at       time.Duration
	slotTime float64 // in seconds; includes the expected slot time of running requests
	offered  float64 // requests that were accepted or refused
	started  float64 // requests that got a slot
}

// decay decays u to now.
func (u *usage) decay(now time.Duration) {
	if now <= u.at {
		return
	}
	f := math.Exp2(-float64(now-u.at) / float64(usageHalfLife))
	u.slotTime, u.offered, u.started, u.at = u.slotTime*f, u.offered*f, u.started*f, now
}

// of returns the usage of the workspace at now.
func (s *shares) of(now time.Duration, workspace string) *usage {
	u, ok := s.workspaces[workspace]
	if !ok {
		if s.workspaces == nil {
			s.workspaces = map[string]*usage{}
		}
		if len(s.workspaces) >= maxWorkspaces && !s.forget(now) {
			workspace = "" // no workspace has an empty name
			if u, ok = s.workspaces[workspace]; ok {
				u.decay(now)
				return u
			}
		}
		u = &usage{at: now}
		s.workspaces[workspace] = u
	}
	u.decay(now)
	return u
}

// forget removes the workspaces that have used no slots recently, and reports whether
// there were any.
func (s *shares) forget(now time.Duration) bool {
	before := len(s.workspaces)
	for name, u := range s.workspaces {
		if u.decay(now); u.slotTime < minUsage && name != "" {
			delete(s.workspaces, name)
		}
	}
	return len(s.workspaces) < before
}

// offer counts an offered item.
func (s *shares) offer(now time.Duration, it Item) {
	if it.Workspace == "" {
		return
	}
	s.all.decay(now)
	s.all.offered++
	s.of(now, it.Workspace).offered++
}

// charge charges the slot time of an item to its workspace, or refunds a part of it if it is
// negative. The expected slot time is charged at the start, because requests of a
// workspace would otherwise take all slots before the first has ended.
func (s *shares) charge(now time.Duration, workspace string, slotTime time.Duration) {
	if workspace == "" {
		return
	}
	u := s.of(now, workspace)
	u.slotTime = max(0, u.slotTime+slotTime.Seconds())
}

// start counts an item that gets a slot and charges its expected slot time.
func (s *shares) start(now time.Duration, it Item, slotTime time.Duration) {
	if it.Workspace == "" {
		return
	}
	s.charge(now, it.Workspace, slotTime)
	s.all.decay(now)
	s.all.started++
	s.of(now, it.Workspace).started++
}

// rank returns the slot time in seconds that orders the next item of the workspace among
// those of others. It is 0 for a workspace that is served too rarely.
func (s *shares) rank(now time.Duration, workspace string) float64 {
	u := s.of(now, workspace)
	s.all.decay(now)
	if u.started*s.all.offered < minServedRatio*s.all.started*u.offered {
		return 0
	}
	return u.slotTime
}

// average returns the mean slot time in seconds of the workspaces that have used slots
// recently.
func (s *shares) average(now time.Duration) float64 {
	active, sum := 0, time.Duration(0) // an integer, because the rounding of a sum depends on its order
	for _, u := range s.workspaces {
		if u.decay(now); u.slotTime >= minUsage {
			active++
			sum += time.Duration(u.slotTime * float64(time.Second))
		}
	}
	return (sum / time.Duration(max(active, 1))).Seconds()
}

// step returns the step of a slot time in seconds, 0 if it is at most free.
func step(slotTime, free float64) int {
	if slotTime <= free {
		return 0
	}
	return 1 + int(math.Log(slotTime/free)/math.Log(stepRatio))
}

// free returns the slot time in seconds up to which the use of the slots does not count.
func (q *Queue) free(now time.Duration) float64 {
	return max(freeSlotTimes*q.typicalSlotTime().Seconds(), q.shares.average(now)/2)
}

// limit returns the slot time in seconds above which a workspace is over its share.
func (q *Queue) limit(now time.Duration) float64 {
	return max(freeSlotTimes*q.typicalSlotTime().Seconds(), q.shares.average(now))
}

// isOver reports whether the workspace is over its share of the slot time.
func (q *Queue) isOver(now time.Duration, workspace string, limit float64) bool {
	return workspace != "" && q.shares.rank(now, workspace) > limit
}

// mayWaitLonger reports whether an item whose workspace is not over its share may wait as
// long as it meets its objective, because a workspace that is over its share has slots.
// With the usual limit on waits such items would be refused while that one is served.
func (q *Queue) mayWaitLonger(now, wait time.Duration, it Item) bool {
	if it.Workspace == "" || !q.meetsObjective(now+wait, it) {
		return false
	}
	limit := q.limit(now)
	if q.isOver(now, it.Workspace, limit) {
		return false
	}
	for _, r := range q.running {
		if q.isOver(now, r.workspace, limit) {
			return true
		}
	}
	return false
}

// setRanks sets the rank of each of the items by the recent slot time of its workspace and
// the expected slot time of those of its items that precede it. Items of a workspace thus
// alternate with those of others, as if each were charged before the next is ordered.
// Without overload all ranks are 0.
func (q *Queue) setRanks(now time.Duration, items []Item) {
	if !slices.ContainsFunc(items, func(it Item) bool { return it.Workspace != "" }) {
		return
	}
	for i := range items {
		items[i].rank = 0
	}
	if now >= q.overloadedUntil {
		return
	}
	q.sort(now, items) // by all but the workspaces
	next, free := map[string]float64{}, q.free(now)
	for i := range items {
		it := &items[i]
		if it.Workspace == "" {
			continue
		}
		if _, ok := next[it.Workspace]; !ok {
			next[it.Workspace] = q.shares.rank(now, it.Workspace)
		}
		it.rank = step(next[it.Workspace], free)
		next[it.Workspace] += q.slotTime(it.Class).Seconds()
	}
}

// WorkspacesOver returns the number of workspaces that have used more than the average slot
// time recently, while requests wait.
func (q *Queue) WorkspacesOver(now time.Duration) int {
	if len(q.waiting) == 0 {
		return 0
	}
	n, limit := 0, q.limit(now)
	for name := range q.shares.workspaces {
		if q.isOver(now, name, limit) {
			n++
		}
	}
	return n
}
