package roster

import (
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

// noteEra records the era of a response of the catalogue.
func (r *Roster) noteEra(era uint64) {
	r.mu.Lock()
	before := r.era
	r.era = max(era, before)
	r.mu.Unlock()
	if before != 0 && era > before {
		r.cfg.Log.Warn(event.StoreRestored, "era", era, "before", before)
	}
}
