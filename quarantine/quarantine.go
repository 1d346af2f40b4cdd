// Package quarantine finds requests that crash the backend servers that run them.
// A request that was in flight at a crash is a suspect, which is to be run alone.
// One that was in flight at two crashes, and alone at one of them, is refused on
// every node until the reports expire. A request that has run to its end is innocent,
// and so are those that are equal to it.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
)

// ReportTTL is how long a report is valid.
const ReportTTL = 10 * time.Minute

const (
	crashThreshold = 2
	maxReports     = 4096
)

// Report says that a request with the fingerprint was in flight when the server
// beside Node crashed.
type Report struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Node        string      `cbor:"2,keyasint"`
	Incarnation uint64      `cbor:"3,keyasint"` // distinguishes the crashes of one server
	At          clock.Time  `cbor:"4,keyasint"`
	Alone       bool        `cbor:"5,keyasint,omitempty"` // no other request was in flight
	Head        Fingerprint `cbor:"6,keyasint,omitempty"` // of the request without its body; 0 in reports of earlier versions
	Refuted     bool        `cbor:"7,keyasint,omitempty"` // a request with the fingerprint has run to its end
}

func (r Report) key() key { return key{r.Fingerprint, crash{r.Node, r.Incarnation}} }

func (r Report) isExpired(now clock.Time) bool { return r.At.Add(ReportTTL) <= now }

// crash identifies a crash of a server.
type crash struct {
	node        string
	incarnation uint64
}

// key identifies a report.
type key struct {
	fingerprint Fingerprint
	crash
}

// Verdict is how a request is to be treated.
type Verdict int

// The verdicts.
const (
	Clear   Verdict = iota
	Suspect         // to be run alone
	Refused
)

// String returns the name of v.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "refused"}[v] }

// Register is an immutable set of reports. The zero value is empty.
type Register struct {
	reports    map[key]Report
	byRequest  map[Fingerprint][]key // by Report.Fingerprint
	byHead     map[Fingerprint][]key // by Report.Head, those that depend on the body
	generation uint64
}

// Generation returns a number that increases whenever a register with other reports
// is derived from g. It cannot be used to compare registers of different origin.
func (g Register) Generation() uint64 { return g.generation }

// WithReports returns the register with the reports merged in, and those of them that
// were new or refute known ones. Merging is commutative and idempotent as long as there
// are at most maxReports reports; beyond that, the oldest are dropped.
func (g Register) WithReports(reports ...Report) (Register, []Report) {
	var changed []Report
	merged := g.reports
	for _, r := range reports {
		k := r.key()
		if old, ok := merged[k]; ok && (old.Refuted || !r.Refuted) {
			continue
		}
		if changed == nil {
			merged = maps.Clone(g.reports)
		}
		if merged == nil {
			merged = map[key]Report{}
		}
		merged[k] = r
		changed = append(changed, r)
	}
	if len(changed) == 0 {
		return g, nil
	}
	dropOldest(merged)
	return newRegister(merged, g.generation+1), changed
}

// Refute returns the register in which the reports of requests with one of the given
// fingerprints are refuted, and those reports: such a request has run to its end, which one
// that crashes each server does not.
func (g Register) Refute(fps ...Fingerprint) (Register, []Report) {
	var refuted []Report
	for _, fp := range fps {
		for _, k := range g.byRequest[fp] {
			if r := g.reports[k]; !r.Refuted {
				r.Refuted = true
				refuted = append(refuted, r)
			}
		}
	}
	return g.WithReports(refuted...)
}

func newRegister(reports map[key]Report, generation uint64) Register {
	g := Register{reports, make(map[Fingerprint][]key, len(reports)), map[Fingerprint][]key{}, generation}
	for k, r := range reports {
		g.byRequest[r.Fingerprint] = append(g.byRequest[r.Fingerprint], k)
		if r.Head != r.Fingerprint {
			g.byHead[r.Head] = append(g.byHead[r.Head], k)
		}
	}
	return g
}

// dropOldest drops the oldest reports beyond maxReports.
func dropOldest(reports map[key]Report) {
	excess := len(reports) - maxReports
	if excess <= 0 {
		return
	}
	list := slices.SortedFunc(maps.Values(reports), func(a, b Report) int { return cmp.Or(cmp.Compare(a.At, b.At), compare(a, b)) })
	for _, r := range list[:excess] {
		delete(reports, r.key())
	}
}

// WithoutExpired returns the register without the reports that are no longer valid.
func (g Register) WithoutExpired(now clock.Time) Register {
	kept := make(map[key]Report, len(g.reports))
	for k, r := range g.reports {
		if !r.isExpired(now) {
			kept[k] = r
		}
	}
	if len(kept) == len(g.reports) {
		return g
	}
	return newRegister(kept, g.generation+1)
}

// Has reports whether g has the report, or a refutation of it.
func (g Register) Has(r Report) bool {
	known, ok := g.reports[r.key()]
	return ok && (known.Refuted || !r.Refuted)
}

// IsEmpty reports whether there are no reports.
func (g Register) IsEmpty() bool { return len(g.reports) == 0 }

// valid returns the reports of requests with one of the given fingerprints, one for each
// crash, without those that are refuted or expired at now.
func (g Register) valid(now clock.Time, fps []Fingerprint) map[crash]Report {
	found := map[crash]Report{}
	for _, fp := range fps {
		g.addValid(found, now, g.byRequest[fp])
	}
	return found
}

// addValid adds the reports with the given keys to found, except those that are refuted or
// expired at now. Of several reports of a crash, one of a request that was alone is kept.
func (g Register) addValid(found map[crash]Report, now clock.Time, keys []key) {
	for _, k := range keys {
		r := g.reports[k]
		if r.Refuted || r.isExpired(now) {
			continue
		}
		if old, ok := found[k.crash]; !ok || !old.Alone {
			found[k.crash] = r
		}
	}
}

// Verdict returns how a request with the given fingerprints is to be treated at now.
func (g Register) Verdict(now clock.Time, fps ...Fingerprint) Verdict {
	valid := g.valid(now, fps)
	switch {
	case len(valid) == 0:
		return Clear
	case len(valid) < crashThreshold:
		return Suspect
	}
	for _, r := range valid {
		if r.Alone {
			return Refused
		}
	}
	return Suspect
}

// Crashes returns the number of crashes at which a request with one of the given
// fingerprints was in flight, according to the reports that are valid at now.
func (g Register) Crashes(now clock.Time, fps ...Fingerprint) int { return len(g.valid(now, fps)) }

// DependsOnBody reports whether requests with the given head may have to be refused
// depending on their bodies.
func (g Register) DependsOnBody(now clock.Time, head Fingerprint) bool {
	found := map[crash]Report{}
	g.addValid(found, now, g.byHead[head])
	return len(found) >= crashThreshold
}

// ReportsOf returns the reports of requests with one of the given fingerprints, refuted or
// not.
func (g Register) ReportsOf(fps ...Fingerprint) []Report {
	var list []Report
	for _, fp := range fps {
		for _, k := range g.byRequest[fp] {
			list = append(list, g.reports[k])
		}
	}
	return list
}

// Size returns the number of reports and of their refutations. Of two registers that
// merge the same reports, the one with the higher size has some that the other lacks.
func (g Register) Size() uint64 {
	n := uint64(len(g.reports))
	for _, r := range g.reports {
		if r.Refuted {
			n++
		}
	}
	return n
}

// CrashCount returns the number of crashes that are reported.
func (g Register) CrashCount() int {
	crashes := map[crash]bool{}
	for k := range g.reports {
		crashes[k.crash] = true
	}
	return len(crashes)
}

// Reports returns all reports, ordered by fingerprint, node and incarnation.
func (g Register) Reports() []Report { return slices.SortedFunc(maps.Values(g.reports), compare) }

func compare(a, b Report) int {
	return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}
