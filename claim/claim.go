// Package claim prevents calls with an idempotency key from running twice. Before
// a call is sent to the backend server, its key is claimed in the platform's store
// by a conditional update of the key's partition.
package claim

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Partitions is the number of partitions into which a service's keys are divided.
// Each partition is one object in the platform's store.
const Partitions = 16

// Retention is how long a claim is kept. A repeat of the call within that time
// never runs.
const Retention = time.Hour

const (
	keyBytes   = 12
	maxEntries = 12_000 // per partition; keeps its object below the store's size limit
)

// Key is the hash of a caller's idempotency key.
type Key [keyBytes]byte

// KeyOf returns the key of a call with the given idempotency key.
func KeyOf(service, caller, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + caller + "\x00" + idempotencyKey))
	return Key(sum[:keyBytes])
}

// Partition returns the number of the partition of k.
func (k Key) Partition() int { return int(k[0]) % Partitions }

// Holder is the process that holds a claim.
type Holder struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Entry is a claim. Holder and Serial identify the invocation of Writer.Claim that
// made it, so that a writer recognizes its own claims after a lost response to a
// write.
type Entry struct {
	Key    Key        `cbor:"1,keyasint"`
	Holder Holder     `cbor:"2,keyasint"`
	Serial uint64     `cbor:"3,keyasint"`
	At     clock.Time `cbor:"4,keyasint"`
}

// Partition is an immutable set of claims. The zero value is empty.
type Partition struct {
	entries map[Key]Entry
}

// Decode decodes a partition.
func Decode(data []byte) (Partition, error) {
	var list []Entry
	if err := cbor.Unmarshal(data, &list); err != nil {
		return Partition{}, gd.Invalid.Wrapf(err, "claims")
	}
	p := Partition{entries: make(map[Key]Entry, len(list))}
	for _, e := range list {
		p.entries[e.Key] = e
	}
	return p, nil
}

// Encode returns the encoded form of p.
func (p Partition) Encode() ([]byte, error) {
	list := slices.Collect(maps.Values(p.entries))
	slices.SortFunc(list, func(a, b Entry) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return cbor.Marshal(list)
}

// Entry returns the claim of k.
func (p Partition) Entry(k Key) (Entry, bool) {
	e, ok := p.entries[k]
	return e, ok
}

// Len returns the number of claims.
func (p Partition) Len() int { return len(p.entries) }

// WithClaims returns the partition with those claims added whose keys are free. For
// each claim it also returns the entry that holds the key: the claim itself or an
// earlier one. Entries older than Retention are dropped. A full partition is an
// error of kind ClaimsUnavailable, because dropping entries that are still valid
// would let repeats run.
func (p Partition) WithClaims(now clock.Time, claims []Entry) (Partition, []Entry, error) {
	next := Partition{entries: maps.Clone(p.entries)}
	if next.entries == nil {
		next.entries = map[Key]Entry{}
	}
	maps.DeleteFunc(next.entries, func(_ Key, e Entry) bool { return e.At.Add(Retention) < now })
	winners := make([]Entry, len(claims))
	for i, c := range claims {
		if old, ok := next.entries[c.Key]; ok {
			winners[i] = old
			continue
		}
		next.entries[c.Key] = c
		winners[i] = c
	}
	if len(next.entries) > maxEntries {
		return Partition{}, nil, gd.ClaimsUnavailable.Errorf("the partition holds %d claims, the limit is %d", len(next.entries), maxEntries)
	}
	return next, winners, nil
}

// WithClaimsOf returns the partition with those claims of q added whose keys are free.
func (p Partition) WithClaimsOf(q Partition) Partition {
	entries := maps.Clone(q.entries)
	if entries == nil {
		return p
	}
	maps.Copy(entries, p.entries)
	return Partition{entries: entries}
}

// RankNodes returns the nodes ordered by rendezvous hash for a partition. The first
// one that is available claims the partition's keys, so that one process batches
// them and conditional updates rarely conflict.
func RankNodes(service string, partition int, nodes []string) []string {
	type scored struct {
		node  string
		score [sha256.Size]byte
	}
	list := make([]scored, len(nodes))
	for i, node := range nodes {
		list[i] = scored{node, sha256.Sum256([]byte(service + "\x00" + string(rune(partition)) + "\x00" + node))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(slices.Compare(b.score[:], a.score[:]), cmp.Compare(a.node, b.node))
	})
	order := make([]string, len(list))
	for i, s := range list {
		order[i] = s.node
	}
	return order
}
