// Package limit splits fleet-wide limits into shares of the nodes beside the
// backend servers. The sum of the shares never exceeds the limit, also while
// shares move, nodes die or nobody can hand out shares: a share is lowered in
// the pool only once its node has said that it holds less, and the pool is
// written conditionally before a share is raised.
package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Term is how long a share stays with a node that is not heard of. It is
// longer than the regions are expected to be apart, since a node that cannot
// be reached may still serve callers.
const GrantTTL = 75 * time.Minute

// skew bounds how far the clocks of two VMs may differ.
const maxClockSkew = time.Minute

// Dimension is what a limit counts.
type Dimension int

// The dimensions.
const (
	Rate        Dimension = iota // thousandths of a call per second
	Concurrency                  // calls at once
)

// RateUnits are the units of Rate in one call per second.
const RateUnits = 1000

// Key names a limit of one service.
type Key struct {
	_         struct{} `cbor:",toarray"`
	Caller    string
	Dimension Dimension
}

// Ask is what a node says of one limit.
type Ask struct {
	Key     Key   `cbor:"1,keyasint"`
	Demand  int64 `cbor:"2,keyasint"` // what its callers want, in units of the dimension
	Holding int64 `cbor:"3,keyasint"` // what it enforces now; it holds no more than this
}

// Share is what a node may enforce of a limit.
type Share struct {
	Key    Key   `cbor:"1,keyasint"`
	Amount int64 `cbor:"2,keyasint"`
	Limit  int64 `cbor:"3,keyasint"` // the limit that was shared
}

// Grant is a node's part of a limit as the pool counts it.
type Grant struct {
	Key         Key        `cbor:"1,keyasint"`
	Node        string     `cbor:"2,keyasint"`
	Incarnation uint64     `cbor:"3,keyasint"`
	Amount      int64      `cbor:"4,keyasint"` // counted until the node holds less
	Demand      int64      `cbor:"5,keyasint"`
	Expires     clock.Time `cbor:"6,keyasint"`
	Serial      uint64     `cbor:"7,keyasint"` // of the ask that was settled last
}

type grantKey struct {
	key  Key
	node string
}

// Pool is the immutable state of a service's limits, as kept in the platform.
// The zero value has handed out nothing.
type Pool struct {
	grants map[grantKey]Grant
}

// Decode reads the bytes of a pool.
func Decode(data []byte) (Pool, error) {
	var list []Grant
	if err := cbor.Unmarshal(data, &list); err != nil {
		return Pool{}, gd.Invalid.Wrapf(err, "limit pool")
	}
	p := Pool{grants: map[grantKey]Grant{}}
	for _, g := range list {
		p.grants[grantKey{g.Key, g.Node}] = g
	}
	return p, nil
}

// Encode returns the bytes of p.
func (p Pool) Encode() ([]byte, error) { return cbor.Marshal(p.Grants()) }

// Grants returns all grants, ordered.
func (p Pool) Grants() []Grant {
	list := slices.Collect(maps.Values(p.grants))
	slices.SortFunc(list, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(a.Key.Caller, b.Key.Caller), cmp.Compare(a.Key.Dimension, b.Key.Dimension), cmp.Compare(a.Node, b.Node))
	})
	return list
}

// Asker is the process that asks. Serial grows with each of its asks: one that
// arrives after a later one is ignored, for the node holds more by now than the
// earlier ask says.
type Asker struct {
	Node        string
	Incarnation uint64
	Serial      uint64
}

// WithAsks returns the pool after the node's asks, and the shares that it may
// enforce once the pool is written. The limits are those of the table, by key.
func (p Pool) WithAsks(now clock.Time, from Asker, asks []Ask, limits map[Key]int64) (Pool, []Share) {
	next := Pool{grants: maps.Clone(p.grants)}
	if next.grants == nil {
		next.grants = map[grantKey]Grant{}
	}
	maps.DeleteFunc(next.grants, func(_ grantKey, g Grant) bool { return g.Expires.Add(maxClockSkew) < now })
	var shares []Share
	for _, a := range asks {
		limit := limits[a.Key]
		if amount, ok := next.settle(now, from, a, limit); ok {
			shares = append(shares, Share{a.Key, amount, limit})
		}
	}
	return next, shares
}

// settle updates the node's grant and returns what it may enforce. It reports
// false for an ask that a later one of the node has overtaken.
func (p Pool) settle(now clock.Time, from Asker, a Ask, limit int64) (int64, bool) {
	gk := grantKey{a.Key, from.Node}
	g := p.grants[gk]
	switch {
	case g.Incarnation > from.Incarnation, g.Incarnation == from.Incarnation && g.Serial >= from.Serial:
		return 0, false
	case g.Incarnation < from.Incarnation:
		g.Amount = 0 // the earlier process is gone
	}
	g.Amount = min(g.Amount, a.Holding)
	g.Key, g.Node, g.Incarnation, g.Serial = a.Key, from.Node, from.Incarnation, from.Serial
	g.Demand = a.Demand
	g.Expires = now.Add(GrantTTL)
	p.grants[gk] = g
	target := p.target(a.Key, from.Node, limit)
	if target <= g.Amount {
		return target, true
	}
	g.Amount += min(target-g.Amount, max(0, limit-p.granted(a.Key)))
	p.grants[gk] = g
	return g.Amount, true
}

func (p Pool) granted(k Key) int64 {
	var sum int64
	for gk, g := range p.grants {
		if gk.key == k {
			sum += g.Amount
		}
	}
	return sum
}

// target returns the node's max-min fair part of limit by demand. What the
// demands leave is divided evenly, so that a node has room for a first call.
func (p Pool) target(k Key, node string, limit int64) int64 {
	var grants []Grant
	for gk, g := range p.grants {
		if gk.key == k {
			grants = append(grants, g)
		}
	}
	slices.SortFunc(grants, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(a.Demand, b.Demand), cmp.Compare(a.Node, b.Node))
	})
	left, own := limit, int64(0)
	for i, g := range grants {
		part := min(g.Demand, left/int64(len(grants)-i))
		left -= part
		if g.Node == node {
			own = part
		}
	}
	return own + evenPart(left, grants, node)
}

// evenPart returns the node's part of what is left; the first nodes by name
// get the units that do not divide.
func evenPart(left int64, grants []Grant, node string) int64 {
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Node, b.Node) })
	n := int64(len(grants))
	part := left / n
	i := slices.IndexFunc(grants, func(g Grant) bool { return g.Node == node })
	if int64(i) < left%n {
		part++
	}
	return part
}

// WithRelease returns the pool after the node gave up all its shares.
func (p Pool) WithRelease(node string) Pool {
	next := Pool{grants: maps.Clone(p.grants)}
	maps.DeleteFunc(next.grants, func(gk grantKey, _ Grant) bool { return gk.node == node })
	return next
}
