// Package server provides the records by which nodes announce their backend
// servers, the directory that merges records in any order, and the choice of a
// server for a call.
package server

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdock/geraniumdock/clock"
)

// State is the state of a backend server.
type State int

// The states of a server. Of two records with the same incarnation and sequence,
// the one with the higher state is newer.
const (
	Up State = iota
	Draining
	Lost // its node stopped sending; a node that still runs announces a newer record
	Gone // it has left
)

// String returns the name of s.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	case Lost:
		return "lost"
	}
	return "gone"
}

// Record describes a backend server. The node beside the server writes the record
// and sets its version, which is the incarnation and the sequence.
type Record struct {
	Node        string     `cbor:"1,keyasint" json:"node"`
	Service     string     `cbor:"2,keyasint" json:"service"`
	DataCentre  string     `cbor:"3,keyasint" json:"data-centre"`
	Region      string     `cbor:"4,keyasint" json:"region"`
	Address     string     `cbor:"5,keyasint" json:"address"` // at which the node accepts calls for the server
	Slots       int        `cbor:"6,keyasint" json:"slots"`
	Started     clock.Time `cbor:"7,keyasint" json:"started"`
	Incarnation uint64     `cbor:"8,keyasint" json:"incarnation"`
	Sequence    uint64     `cbor:"9,keyasint" json:"sequence"`
	State       State      `cbor:"10,keyasint,omitempty" json:"state"`
	Unhealthy   bool       `cbor:"11,keyasint,omitempty" json:"unhealthy"`         // reported by its health endpoint; lowers the preference only slightly
	Instance    string     `cbor:"12,keyasint,omitempty" json:"instance"`          // chosen by the server; identifies this start of it
	HasLeft     bool       `cbor:"13,keyasint,omitempty" json:"has-left"`          // the server has stated that it left; without it, Gone may be that of its node only
	Version     string     `cbor:"14,keyasint,omitempty" json:"version,omitempty"` // of the server's software, "" if it states none
}

// Compare compares two records of one node. It returns a positive number if r is
// newer than q, a negative number if it is older, and 0 if both have the same
// version and state.
func (r Record) Compare(q Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, q.Incarnation),
		cmp.Compare(r.Sequence, q.Sequence),
		cmp.Compare(r.State, q.State),
	)
}

// IsSameServer reports whether r and q describe the same start of a backend server.
func (r Record) IsSameServer(q Record) bool {
	return r.Instance != "" && r.Instance == q.Instance && r.Started == q.Started
}

// WithState returns a copy of r with state s.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

// WithDepartureOf returns r in the state of q if r is up and q states that the same
// server drains or has left. Otherwise it returns r.
func (r Record) WithDepartureOf(q Record) Record {
	if r.State == Up && r.IsSameServer(q) && (q.State == Draining || q.HasLeft) {
		r.State, r.HasLeft = q.State, q.HasLeft
	}
	return r
}

// Directory is an immutable set of records by node. The zero value is empty.
type Directory struct {
	records    map[string]Record
	generation uint64
	derived    *derived // nil if there are no records
}

// derived holds what is computed from the records of a Directory when first needed.
type derived struct {
	once    sync.Once
	sorted  []Record // by node
	digests []uint32
}

// newDirectory returns a directory with the records, which it keeps.
func newDirectory(records map[string]Record, generation uint64) Directory {
	return Directory{records, generation, &derived{}}
}

// derive returns what is computed from the records. It must not be changed.
func (d Directory) derive() *derived {
	if d.derived == nil {
		return &derived{digests: make([]uint32, digestBuckets)}
	}
	d.derived.once.Do(func() {
		d.derived.sorted = slices.SortedFunc(maps.Values(d.records), func(a, b Record) int { return cmp.Compare(a.Node, b.Node) })
		d.derived.digests = digestsOf(d.records)
	})
	return d.derived
}

// Generation returns a number that is higher for each directory derived with
// different records. It distinguishes the versions of one directory; those of two
// unrelated directories can't be compared.
func (d Directory) Generation() uint64 { return d.generation }

// WithRecords returns the directory with records merged in, and those of them that
// were newer than the known ones. Merging is commutative and idempotent. A server that
// drains or has left stays so, even if a later process of its node, which may not know
// it, says otherwise.
func (d Directory) WithRecords(records ...Record) (Directory, []Record) {
	var newer []Record
	merged := d.records
	for _, r := range records {
		old, ok := merged[r.Node]
		if ok && r.Compare(old) <= 0 {
			continue
		}
		if ok {
			r = r.WithDepartureOf(old)
		}
		if newer == nil {
			merged = maps.Clone(d.records)
		}
		if merged == nil {
			merged = map[string]Record{}
		}
		merged[r.Node] = r
		newer = append(newer, r)
	}
	if len(newer) == 0 {
		return d, nil
	}
	return newDirectory(merged, d.generation+1), newer
}

// WithRelayRecords returns the directory with the records of a relay merged in. A
// record with the same version as a known one replaces it, even if its state is
// lower: each relay decides by itself whether a server is lost, so the state may
// change when a node follows another relay.
func (d Directory) WithRelayRecords(records []Record) Directory {
	next := newDirectory(maps.Clone(d.records), d.generation+1)
	if next.records == nil {
		next.records = map[string]Record{}
	}
	for _, r := range records {
		if old, ok := next.records[r.Node]; !ok || r.Compare(old.WithState(r.State)) >= 0 {
			next.records[r.Node] = r
		}
	}
	return next
}

// Record returns the record of node and whether there is one.
func (d Directory) Record(node string) (Record, bool) {
	r, ok := d.records[node]
	return r, ok
}

// Records returns all records ordered by node.
func (d Directory) Records() []Record { return slices.Clone(d.derive().sorted) }

// All iterates over the records, ordered by node.
func (d Directory) All() iter.Seq[Record] { return slices.Values(d.derive().sorted) }

// Serving returns the servers that accept new calls, those in state Up, by service
// and ordered by node.
func (d Directory) Serving() map[string][]Record {
	serving := map[string][]Record{}
	for r := range d.All() {
		if r.State == Up {
			serving[r.Service] = append(serving[r.Service], r)
		}
	}
	return serving
}

// Digest returns a hash of the versions and states of all records. Directories
// with equal digests are taken to be equal.
func (d Directory) Digest() uint64 {
	h := xxhash.New()
	var b []byte
	for r := range d.All() {
		b = append(b[:0], r.Node...)
		b = append(b, 0)
		for _, n := range []uint64{r.Incarnation, r.Sequence, uint64(r.State)} {
			for i := range 8 {
				b = append(b, byte(n>>(8*i)))
			}
		}
		_, _ = h.Write(b) // a hash never returns an error
	}
	return h.Sum64()
}

// digestBuckets is the number of buckets into which Digests divides the records.
// With it, two nodes with directories of 450 records exchange about 15 records
// for one that changed.
const digestBuckets = 32

// Digests returns a hash of each bucket of records. Two nodes compare their digests
// and exchange only the records of buckets that differ.
func (d Directory) Digests() []uint32 { return slices.Clone(d.derive().digests) }

func digestsOf(records map[string]Record) []uint32 {
	digests := make([]uint32, digestBuckets)
	var b []byte
	for _, r := range records {
		b = append(b[:0], r.Node...)
		for _, n := range []uint64{r.Incarnation, r.Sequence, uint64(r.State)} {
			b = binary.LittleEndian.AppendUint64(b, n)
		}
		digests[bucket(r.Node)] ^= uint32(xxhash.Sum64(b))
	}
	return digests
}

// bucket returns the index of the bucket that holds the record of node.
func bucket(node string) int { return int(xxhash.Sum64String(node) % digestBuckets) }

// Differing returns the records, ordered by node, of the buckets whose digests
// differ from the given ones. If the number of digests is not digestBuckets, it
// returns all records.
func (d Directory) Differing(digests []uint32) []Record {
	if len(digests) != digestBuckets {
		return d.Records()
	}
	own := d.derive().digests
	if slices.Equal(own, digests) {
		return nil
	}
	var differing []Record
	for r := range d.All() {
		if i := bucket(r.Node); own[i] != digests[i] {
			differing = append(differing, r)
		}
	}
	return differing
}

// Without returns the directory without the record of node.
func (d Directory) Without(node string) Directory {
	records := maps.Clone(d.records)
	delete(records, node)
	return newDirectory(records, d.generation+1)
}

// Len returns the number of records.
func (d Directory) Len() int { return len(d.records) }
