package quota

import (
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/server"
)

// table holds the issuers of all workspaces with a quota, for one policy and directory.
type table struct {
	policy     *route.Policy
	generation uint64 // of the directory
	entries    map[string]*entry
	own        []string // workspaces of which this node issues tokens
}

// entry describes the issuers of one workspace.
type entry struct {
	quota     limit.Quota
	part      limit.Quota // of each issuer
	nodes     []string
	addresses []string
	isOwn     bool // this node is one of the issuers
	// introducedAt is the monotonic time at which a version of the policy gave the workspace the
	// quota, if it had none in the version before.
	introducedAt time.Duration
	next         string // the node that would be the next issuer, "" if there is none; it was one before a node joined
}

// isFor reports whether t was computed from the policy and directory of the snapshot.
func (t *table) isFor(s *roster.Snapshot) bool {
	return t != nil && t.policy == s.Policy && t.generation == s.Directory.Generation()
}

// newTable returns the table for a snapshot. A node whose record states that its server has
// left issues nothing, since nodes that end leave such a record behind. Nodes that do not
// respond stay issuers, so that a partition does not move them.
func newTable(s *roster.Snapshot, own string, terms limit.Terms) *table {
	t := &table{policy: s.Policy, generation: s.Directory.Generation()}
	if s.Policy == nil || !s.Policy.HasWorkspaces() {
		return t
	}
	records := slices.DeleteFunc(s.Directory.Records(), func(r server.Record) bool { return r.State == server.Gone })
	names := make([]string, len(records))
	for i, r := range records {
		names[i] = r.Node
	}
	for _, w := range s.Policy.Workspaces() {
		if !w.HasQuota() {
			continue
		}
		if t.entries == nil {
			t.entries = map[string]*entry{}
		}
		e := newEntry(w, records, names, own, terms)
		t.entries[w.Name] = e
		if e.isOwn {
			t.own = append(t.own, w.Name)
		}
	}
	return t
}

// introduce sets for each entry when its quota was introduced, given the table before.
func (t *table) introduce(now time.Duration, before *table) {
	if before == nil || before.policy == nil {
		return // the process may have been restarted
	}
	for name, e := range t.entries {
		if old, ok := before.entries[name]; ok {
			e.introducedAt = old.introducedAt
		} else {
			e.introducedAt = now
		}
	}
}

// isNew reports whether the quota was introduced less than spreadTime ago.
func (e *entry) isNew(now time.Duration) bool {
	return e.introducedAt > 0 && now-e.introducedAt < spreadTime
}

func newEntry(w *route.Workspace, records []server.Record, names []string, own string, terms limit.Terms) *entry {
	e := &entry{quota: limit.Quota{Rate: w.Rate, Burst: w.Burst}}
	count, part := terms.Issuers(e.quota, len(records))
	e.part = part
	first := limit.FirstNodes(w.Name, names, count+1)
	if len(first) > count {
		e.next, first = records[first[count]].Node, first[:count]
	}
	for _, i := range first {
		e.nodes = append(e.nodes, records[i].Node)
		e.addresses = append(e.addresses, records[i].Address)
		e.isOwn = e.isOwn || records[i].Node == own
	}
	return e
}
