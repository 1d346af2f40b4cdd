package roster

import (
	"context"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
)

// policyRevision returns the revision of the entry with the policy in force.
func (r *Roster) policyRevision() gd.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// noteRevision records the revision of the entry with the policy in force.
func (r *Roster) noteRevision(revision gd.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = gd.Later(r.revision, revision)
}

// checkedRevision returns the revision of the catalogue up to which the policy in force is
// known to be the latest one.
func (r *Roster) checkedRevision() gd.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return gd.Later(r.checked, r.revision)
}

// noteChecked records that the policy in force is the latest one up to a revision.
func (r *Roster) noteChecked(revision gd.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked = gd.Later(r.checked, revision)
}

// noteEra records the era of a response of the catalogue.
func (r *Roster) noteEra(ctx context.Context, era uint64) {
	if era > r.era.Load() {
		r.post(ctx, func(s *state) { s.enterEra(era, "store") })
	}
}

// enterEra records an era of the catalogue. In a later one than known before, entries may
// be older or missing, so they are listed and this node's entry is written again. Nodes
// that call the catalogue rarely learn of it from others.
func (s *state) enterEra(era uint64, source string) {
	before := s.r.era.Load()
	if era <= before {
		return
	}
	s.r.era.Store(era)
	if before == 0 {
		return
	}
	s.r.cfg.Log.Warn(event.StoreRestored, "era", era, "before", before, "source", source)
	s.r.wakeLister()
	s.pushTo(s.randomNodes(fanOut), Message{Era: era})
}
