// Package claim keeps calls with an idempotency key from running twice. A key
// is claimed in the platform, by conditional update of the partition that it
// falls into, before the backend server sees the call.
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

// Partitions is the number of partitions of a service's keys. Each is one
// object in the platform.
const Partitions = 16

// Retention is how long a claim is kept; a repeat within it never runs.
const Retention = time.Hour

const (
	keyBytes   = 12
	maxEntries = 12_000 // keeps a partition's object below the platform's limit
)

// Key is the hash of a caller's idempotency key.
type Key [keyBytes]byte

// KeyOf returns the key of a call.
func KeyOf(service, caller, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + caller + "\x00" + idempotencyKey))
	return Key(sum[:keyBytes])
}

// Partition returns the number of the partition that k falls into.
func (k Key) Partition() int { return int(k[0]) % Partitions }

// Holder is the process that holds a claim.
type Holder struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Entry is a claim. Holder and Serial are its token: they tell a claim whose
// write answer was lost from another's.
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

// Decode reads the bytes of a partition.
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

// Encode returns the bytes of p.
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

// WithClaims returns the partition with the claims that are free added, and
// for each claim the entry that stands: the claim itself, or the earlier one
// that it lost to. Claims past Retention are dropped. A full partition is an
// error of kind ClaimsDown, for dropping younger claims would let a repeat run.
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
		return Partition{}, nil, gd.ClaimsDown.Errorf("the partition holds %d claims, the limit is %d", len(next.entries), maxEntries)
	}
	return next, winners, nil
}

// Owner returns the node that claims the keys of a partition while it serves,
// so that one process batches them and conditional updates seldom collide. It
// is the highest by rendezvous hash; the order of the others follows.
func Owner(service string, partition int, nodes []string) []string {
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
