package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"

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
}

// isFor reports whether t was computed from the policy and directory of the snapshot.
func (t *table) isFor(s *roster.Snapshot) bool {
	return t != nil && t.policy == s.Policy && t.generation == s.Directory.Generation()
}

// newTable returns the table for a snapshot. A node whose record states that its server has
// left issues nothing, since nodes that end leave such a record behind. Nodes that do not
// respond stay issuers, so that a partition does not move them.
func newTable(s *roster.Snapshot, own string, extra float64) *table {
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
		e := newEntry(w, records, names, own, extra)
		t.entries[w.Name] = e
		if e.isOwn {
			t.own = append(t.own, w.Name)
		}
	}
	return t
}

func newEntry(w *route.Workspace, records []server.Record, names []string, own string, extra float64) *entry {
	e := &entry{quota: limit.Quota{Rate: w.Rate, Burst: w.Burst}}
	count := e.quota.IssuerCount(extra, len(records))
	e.part = e.quota.Part(extra, count)
	for _, i := range limit.FirstNodes(w.Name, names, count) {
		e.nodes = append(e.nodes, records[i].Node)
		e.addresses = append(e.addresses, records[i].Address)
		e.isOwn = e.isOwn || records[i].Node == own
	}
	return e
}

// start returns the index of the issuer that the node asks first: itself if it is one, or
// else one that differs between nodes.
func (e *entry) start(own string) int {
	if i := slices.Index(e.nodes, own); i >= 0 {
		return i
	}
	return int(xxhash.Sum64String(own) >> 1)
}
