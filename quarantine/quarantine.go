// Package quarantine finds requests that crash the backend servers that run them.
// A request that was in flight at a crash is a suspect, which is to be run alone.
// One that was in flight at two crashes, and alone at one of them, is refused on
// every node until the reports expire.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdock/geraniumdock/clock"
)

// ReportTTL is how long a report is valid.
const ReportTTL = 10 * time.Minute

const (
	crashThreshold = 2
	maxReports     = 4096
)

// Fingerprint identifies a request and its repeats.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request, a hash of its caller, method,
// target and the first bytes of its body.
func FingerprintOf(caller, method, target string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, s := range []string{caller, method, target} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Report says that a request with the fingerprint was in flight when the server
// beside Node crashed.
type Report struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Node        string      `cbor:"2,keyasint"`
	Incarnation uint64      `cbor:"3,keyasint"` // distinguishes the crashes of one server
	At          clock.Time  `cbor:"4,keyasint"`
	Alone       bool        `cbor:"5,keyasint,omitempty"` // no other request was in flight
}

// key identifies the crash and the request of a report.
type key struct {
	fingerprint Fingerprint
	node        string
	incarnation uint64
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
	generation uint64
}

// Generation returns a number that increases whenever a register with other reports
// is derived from g. It cannot be used to compare registers of different origin.
func (g Register) Generation() uint64 { return g.generation }

// WithReports returns the register with the reports merged in, and the reports that
// were new. Merging is commutative and idempotent.
func (g Register) WithReports(reports ...Report) (Register, []Report) {
	var added []Report
	merged := g.reports
	for _, r := range reports {
		k := key{r.Fingerprint, r.Node, r.Incarnation}
		if _, ok := merged[k]; ok || len(merged) >= maxReports {
			continue
		}
		if added == nil {
			merged = maps.Clone(g.reports)
		}
		if merged == nil {
			merged = map[key]Report{}
		}
		merged[k] = r
		added = append(added, r)
	}
	if len(added) == 0 {
		return g, nil
	}
	return Register{merged, g.generation + 1}, added
}

// WithoutExpired returns the register without the reports that are no longer valid.
func (g Register) WithoutExpired(now clock.Time) Register {
	expired := func(_ key, r Report) bool { return r.At.Add(ReportTTL) <= now }
	kept := maps.Clone(g.reports)
	maps.DeleteFunc(kept, expired)
	if len(kept) == len(g.reports) {
		return g
	}
	return Register{kept, g.generation + 1}
}

// Verdict returns how requests with fingerprint fp are to be treated at now.
func (g Register) Verdict(now clock.Time, fp Fingerprint) Verdict {
	if len(g.reports) == 0 {
		return Clear
	}
	crashes, alone := 0, 0
	for k, r := range g.reports {
		if k.fingerprint != fp || r.At.Add(ReportTTL) <= now {
			continue
		}
		crashes++
		if r.Alone {
			alone++
		}
	}
	switch {
	case crashes >= crashThreshold && alone > 0:
		return Refused
	case crashes > 0:
		return Suspect
	}
	return Clear
}

// Crashes returns the number of crashes at which a request with fingerprint fp was
// in flight, according to the reports that are valid at now.
func (g Register) Crashes(now clock.Time, fp Fingerprint) int {
	n := 0
	for k, r := range g.reports {
		if k.fingerprint == fp && r.At.Add(ReportTTL) > now {
			n++
		}
	}
	return n
}

// CrashCount returns the number of crashes that are reported.
func (g Register) CrashCount() int {
	type crash struct {
		node        string
		incarnation uint64
	}
	crashes := map[crash]bool{}
	for k := range g.reports {
		crashes[crash{k.node, k.incarnation}] = true
	}
	return len(crashes)
}

// Reports returns all reports, ordered by fingerprint, node and incarnation.
func (g Register) Reports() []Report {
	list := slices.Collect(maps.Values(g.reports))
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
