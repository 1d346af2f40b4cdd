package roster

import (
	"context"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	callTimeout     = 2 * time.Second        // of a catalogue call; a watch gets its wait in addition
	watchWait       = 20 * time.Second       // longest wait of a watch for a change
	pollWait        = 8 * time.Second        // longest wait of a poll for a change
	pollsPerSecond  = 3                      // over all nodes
	minPollInterval = time.Second            // lower limit for one node, which knows no other nodes when it starts
	listInterval    = 15 * time.Second       // mean pause between lists of the server records
	firstBackoff    = 100 * time.Millisecond // mean pause before the first retry of a failed call
	maxBackoff      = time.Second
	maxListBackoff  = 5 * time.Second // the same for lists after the first one
	// expiredPatience is the time within which the catalogue responds to a position that its
	// history has lost. A later response ends the wait of a call, as it does at other nodes.
	expiredPatience = 300 * time.Millisecond
	expiryInterval  = 250 * time.Millisecond
	// missingTimeout is the time within which a node whose entry is missing in
	// the catalogue must write it again or send a message.
	missingTimeout = 2500 * time.Millisecond
	// heardTimeout is the time after its last message for which a missing node
	// is kept.
	heardTimeout = 3 * time.Second
	// confirmInterval is the least time between two lists that confirm that entries are
	// missing.
	confirmInterval = callTimeout
)

// followPolicy follows the policy's entry in the catalogue until ctx ends. A few
// nodes watch it, the others poll it. The wait of a watch is bounded, as a watch
// may stop reporting changes.
func (r *Roster) followPolicy(ctx context.Context) {
	var cursor policyCursor
	backoff := firstBackoff
	for ctx.Err() == nil {
		began := r.cfg.Clock.Monotonic()
		err := r.pollPolicy(ctx, &cursor)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff = firstBackoff
			r.awaitPoll(ctx)
			continue
		case gd.Expired.Is(err):
			r.cfg.Log.Info(event.StoreHistoryLost, "kind", r.cfg.PolicyKind, "revision", cursor.after.String())
			cursor.listed = false
			if r.cfg.Clock.Monotonic()-began > expiredPatience {
				// The catalogue has ended the waits of all nodes. Those that watch list the policy at once.
				r.awaitPoll(ctx)
			}
			continue
		case !cursor.failed:
			r.cfg.Log.Warn(event.StoreLost, "kind", r.cfg.PolicyKind, "error", gd.Message(err))
			cursor.failed = true
		}
		r.handOver(ctx)
		if r.Snapshot().Policy != nil {
			r.awaitPoll(ctx) // other nodes read later versions meanwhile
			continue
		}
		r.sleep(ctx, r.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// policyCursor is the position of followPolicy in the changes of the catalogue.
type policyCursor struct {
	listed   bool // the entries have been listed; only changes since revision are read
	revision gd.Revision
	after    gd.Revision // of the last call: it read the changes since
	failed   bool        // the last call failed
}

// isListNeeded reports whether changes cannot be read: the entries have not been listed, or the
// history since then is lost and no other node has read the policy in force at a later revision.
func (c *policyCursor) isListNeeded(checked gd.Revision) bool {
	return !c.listed && (c.after == gd.Revision{} || !checked.After(c.after))
}

// pollPolicy reads the policy's entry, or its changes since the last call, and
// installs the policy.
func (r *Roster) pollPolicy(ctx context.Context, cursor *policyCursor) error {
	checked := r.checkedRevision()
	isList := cursor.isListNeeded(checked)
	cursor.after = gd.Later(cursor.revision, checked)
	entries, revision, err := r.readPolicy(ctx, *cursor, isList)
	if err != nil {
		return err
	}
	r.noteEra(ctx, revision.Era)
	if isList {
		r.cfg.Log.Info(event.StoreListed, "kind", r.cfg.PolicyKind, "revision", revision.String(), "in-force", r.policyRevision().String())
	}
	if cursor.failed {
		r.cfg.Log.Info(event.StoreRegained, "kind", r.cfg.PolicyKind)
		r.wakeLister() // server entries may have expired in the meantime
	}
	*cursor = policyCursor{listed: true, revision: revision, after: cursor.after}
	r.post(ctx, func(s *state) {
		s.readRevision = gd.Later(s.readRevision, revision)
		s.regain()
		readable := true
		for _, e := range entries {
			if e.Name == r.cfg.PolicyName && !e.Deleted && !s.installPolicy(e.Value, e.Revision, "store", 0) {
				readable = false
			}
		}
		if readable {
			s.r.noteChecked(revision)
		}
	})
	return nil
}

// readPolicy returns all entries if isList is set, and otherwise the policy's entry if it has
// changed since cursor.after.
func (r *Roster) readPolicy(ctx context.Context, cursor policyCursor, isList bool) (entries []gd.Entry, revision gd.Revision, err error) {
	call, after, began := "list", cursor.after, r.cfg.Clock.Monotonic()
	if !isList {
		wait := min(pollWait, r.pollInterval()/2) // later polls notice what a watch does not report
		call = "poll"
		if r.IsWatcher() && !cursor.failed {
			wait = min(r.pollInterval(), watchWait)
			call = "watch"
		}
		entries, revision, err = r.watch(ctx, r.cfg.PolicyKind, after, wait)
	} else {
		entries, revision, err = r.list(ctx, r.cfg.PolicyKind)
	}
	outcome := "done"
	if err != nil {
		outcome = gd.KindOf(err).String()
	}
	r.cfg.Log.Info(event.PolicyRead, "call", call, "outcome", outcome, "after", after.String(), "revision", revision.String(),
		"entries", len(entries), "took", (r.cfg.Clock.Monotonic() - began).String())
	return entries, revision, err
}

// awaitPoll waits until it is this node's turn to poll, or until this node is one of those that
// watch the policy. The nodes that respond, on which both depend, may change meanwhile.
func (r *Roster) awaitPoll(ctx context.Context) {
	for ctx.Err() == nil && !r.IsWatcher() {
		t := time.NewTimer(r.untilTurn())
		select {
		case <-t.C:
			return
		case <-r.responding:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// untilTurn returns the time until this node's next turn to poll. The nodes that respond and do
// not watch take turns by the time of day, so that polls begin at even intervals over all nodes
// and soon find what the watches do not report. Nodes whose clocks differ poll at other times, as
// often. Those that disagree on one node in n poll at most an nth of the interval off their turn.
func (r *Roster) untilTurn() time.Duration {
	self, watchers := r.cfg.Self.Node, nodesOf(r.watchers())
	nodes := slices.DeleteFunc(r.inOrder(), func(rec server.Record) bool {
		return rec.Node != self && (rec.State == server.Gone || slices.Contains(watchers, rec.Node))
	})
	rank := slices.IndexFunc(nodes, func(rec server.Record) bool { return rec.Node == self })
	interval := r.pollInterval()
	phase := interval * time.Duration(rank) / time.Duration(len(nodes))
	now := time.Duration(r.cfg.Clock.Now()) * time.Millisecond
	return interval - (now-phase)%interval
}

// pollInterval returns the time from one poll of this node to the next. It grows
// with the number of nodes, so that the rate over all nodes is bounded. Nodes with different
// intervals poll at times that have nothing to do with each other. They seldom agree on which
// others respond, so a few silent nodes make no difference, and more of them do in steps of a
// quarter.
func (r *Roster) pollInterval() time.Duration {
	snapshot := r.snapshot.Load()
	n, responding := max(1, snapshot.Directory.Len()), snapshot.Responding()
	for responding <= n*3/4 {
		n = n * 3 / 4
	}
	return max(time.Duration(n)*time.Second/pollsPerSecond, minPollInterval)
}

// followServers lists the server records at the start, periodically, and when the
// catalogue is available again. In between, nodes push changes to each other. The
// periodic lists may be stale; if an entry is missing in one, a current list follows. A node
// that the catalogue refuses learns of changes from others, so it may try again more seldom.
func (r *Roster) followServers(ctx context.Context) {
	backoff, longest := firstBackoff, maxBackoff
	isStale := false
	for ctx.Err() == nil {
		list, err := r.listServers(ctx, isStale)
		if err == nil {
			backoff, longest = maxBackoff, maxListBackoff
			r.noteEra(ctx, list.revision.Era)
			r.post(ctx, func(s *state) { s.mergeList(list) })
			select {
			case <-r.relist:
				isStale = false
			case <-time.After(r.jitter(listInterval)):
				isStale = true
			case <-ctx.Done():
			}
			continue
		}
		r.cfg.Log.Warn(event.StoreLost, "kind", r.cfg.ServerKind, "error", gd.Message(err))
		r.sleep(ctx, r.jitter(backoff))
		backoff = min(2*backoff, longest)
	}
}

func (r *Roster) wakeLister() {
	select {
	case r.relist <- struct{}{}:
	default:
	}
}

func (r *Roster) list(ctx context.Context, kind string) ([]gd.Entry, gd.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.cfg.Catalogue.List(ctx, kind)
}

// serverList is a full list of the entries of the servers.
type serverList struct {
	entries  []gd.Entry
	isStale  bool          // the entries may be seconds old and have no revision
	revision gd.Revision   // of the catalogue, zero for a stale list
	asked    time.Duration // monotonic time at which the list was requested
}

// listServers lists the entries of the servers.
func (r *Roster) listServers(ctx context.Context, isStale bool) (serverList, error) {
	l := serverList{isStale: isStale, asked: r.cfg.Clock.Monotonic()}
	var err error
	if !isStale {
		l.entries, l.revision, err = r.list(ctx, r.cfg.ServerKind)
		return l, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.entries, err = r.cfg.Catalogue.ListStale(ctx, r.cfg.ServerKind)
	return l, err
}

func (r *Roster) watch(ctx context.Context, kind string, revision gd.Revision, wait time.Duration) ([]gd.Entry, gd.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return r.cfg.Catalogue.Watch(ctx, kind, revision, wait)
}

// jitter returns a random duration from d/2 to 3d/2.
func (r *Roster) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.randomN(int64(d)))
}

// randomN returns a random number in [0, n).
func (r *Roster) randomN(n int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Int64N(n)
}

// sleep waits for d or until ctx ends.
func (r *Roster) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// mergeList merges a full list of the server records and pushes this node's record to
// the nodes whose records were new or changed. From a stale list no entry is concluded to
// be missing, no dropped record is restored, and nothing is learned of this node's entry.
func (s *state) mergeList(l serverList) {
	listed := map[string]bool{}
	var records []server.Record
	revisions := map[string]gd.Revision{}
	for _, e := range l.entries {
		if e.Deleted {
			continue
		}
		listed[e.Name] = true
		if !l.isStale {
			delete(s.missingSince, e.Name)
		}
		rec, err := decodeRecord(e)
		if err != nil {
			s.r.cfg.Log.Warn(event.RecordRefused, "entry", e.Name, "revision", e.Revision.String(), "error", gd.Message(err))
			if e.Name == s.r.cfg.Self.Node && !l.isStale && e.Revision.After(s.revision) {
				s.stored, s.revision = server.Record{}, e.Revision // is written again
			}
			continue
		}
		if rec.Node == s.r.cfg.Self.Node && !l.isStale && !s.revision.After(e.Revision) {
			s.stored, s.revision = rec, e.Revision
		}
		if old, ok := s.forgotten[rec.Node]; l.isStale && ok && rec.Compare(old) <= 0 {
			continue
		}
		records = append(records, rec)
		revisions[rec.Node] = e.Revision
	}
	found := s.merge(records, "")
	if s.hasOwn {
		s.pushTo(found, Message{Records: []server.Record{s.own}})
	}
	if !l.isStale {
		s.listedAt = l.asked
		if s.r.IsWatcher() { // the nodes may have ended, so a few do that for all
			for _, rec := range records {
				s.removeUnowned(rec, revisions[rec.Node])
			}
		}
		s.markMissing(listed, l.revision)
		s.r.wakePublisher()
		return
	}
	if slices.ContainsFunc(s.directory.Records(), func(rec server.Record) bool { return !listed[rec.Node] }) {
		s.r.wakeLister()
	}
}

// removeUnowned deletes the entry with rec if it is older than the departure of its
// server, since the store lost its removal, or if its node is lost.
func (s *state) removeUnowned(rec server.Record, revision gd.Revision) {
	known, ok := s.directory.Record(rec.Node)
	if !ok || rec.Node == s.r.cfg.Self.Node {
		return
	}
	switch {
	case isBeforeDeparture(rec, known):
		s.removeEntry(rec, revision, "the server has left")
	case s.isRemovable(known):
		s.removeEntry(rec, revision, "the node does not respond")
	}
}

// markMissing marks the nodes that have no entry in a full list as missing. Nodes
// whose records have just changed are left out, as they may not have written
// their entries yet. This node's own entry is missing if the list is not from before it.
func (s *state) markMissing(listed map[string]bool, revision gd.Revision) {
	now := s.r.cfg.Clock.Monotonic()
	for _, rec := range s.directory.Records() {
		if rec.Node == s.r.cfg.Self.Node {
			if !listed[rec.Node] && !s.revision.After(revision) {
				s.revision = gd.Revision{}
			}
			continue
		}
		if at, ok := s.changedAt[rec.Node]; listed[rec.Node] || ok && now-at < missingTimeout {
			continue
		}
		if _, ok := s.missingSince[rec.Node]; !ok {
			s.missingSince[rec.Node] = now
		}
	}
}

// expire drops the servers of nodes that have been missing for missingTimeout and
// from which no message arrived within heardTimeout, if a list requested after that time
// still lacks their entries. Servers that have left are dropped once their entry is
// missing. It also drops expired crash reports.
func (s *state) expire() {
	now := s.r.cfg.Clock.Monotonic()
	for node, since := range s.missingSince {
		rec, ok := s.directory.Record(node)
		heardAt, wasHeard := s.heardAt[node]
		switch {
		case !ok:
			delete(s.missingSince, node)
		case rec.State != server.Gone && (now-since < missingTimeout || wasHeard && now-heardAt < heardTimeout):
		case rec.State != server.Gone && s.listedAt < since+missingTimeout:
			s.confirmMissing(now)
		default:
			s.directory = s.directory.Without(node)
			s.forgotten[node] = rec
			delete(s.missingSince, node)
			delete(s.heardAt, node)
			delete(s.changedAt, node)
			s.r.cfg.Log.Info(event.ServerForgotten, "node", node, "state", rec.State.String(), "missing", (now - since).String())
		}
	}
	s.expireReports()
	s.expireSilences()
	s.expireRefused()
	s.requestRemovals()
}

// confirmMissing requests a list, unless one was requested within confirmInterval: the
// node of a missing entry may have written it again.
func (s *state) confirmMissing(now time.Duration) {
	if s.confirmedAt == 0 || now-s.confirmedAt >= confirmInterval {
		s.confirmedAt = now
		s.r.wakeLister()
	}
}
