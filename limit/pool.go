// Package limit divides limits that apply to all nodes together into shares of
// the individual nodes. A pool holds the shares of all nodes of a service.
//
// The sum of the shares never exceeds the limit, even while shares are moved
// between nodes, nodes fail or the pool is unavailable. To ensure that, a share is
// lowered in the pool only after its node has reported that it enforces less, and
// the pool is written with a conditional write before a share is raised.
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

// GrantTTL is the time from a node's last share request to the expiry of its share.
// It exceeds the expected duration of a network partition between regions, because
// a node that cannot be reached may still serve callers.
const GrantTTL = 75 * time.Minute

// maxClockSkew is the maximum difference between the clocks of two VMs.
const maxClockSkew = time.Minute

// Dimension is the quantity that a limit bounds.
type Dimension int

// The dimensions.
const (
	Rate        Dimension = iota // in thousandths of a call per second
	Concurrency                  // in concurrent calls
)

// RateUnits is the number of units of Rate in one call per second.
const RateUnits = 1000

// Key identifies a limit of one service.
type Key struct {
	_         struct{} `cbor:",toarray"`
	Caller    string
	Dimension Dimension
}

// Request is a node's request for a share of one limit.
type Request struct {
	Key     Key   `cbor:"1,keyasint"`
	Demand  int64 `cbor:"2,keyasint"` // measured demand of the callers, in units of the dimension
	Holding int64 `cbor:"3,keyasint"` // upper bound of the share that the node enforces from now on
}

// Share is the part of a limit that a node enforces.
type Share struct {
	Key    Key   `cbor:"1,keyasint"`
	Amount int64 `cbor:"2,keyasint"`
	Limit  int64 `cbor:"3,keyasint"` // whole limit when the share was computed
}

// Grant is the pool's record of a node's share.
type Grant struct {
	Key         Key        `cbor:"1,keyasint"`
	Node        string     `cbor:"2,keyasint"`
	Incarnation uint64     `cbor:"3,keyasint"`
	Amount      int64      `cbor:"4,keyasint"` // lowered only after the node has reported a smaller share
	Demand      int64      `cbor:"5,keyasint"`
	Expires     clock.Time `cbor:"6,keyasint"`
	Serial      uint64     `cbor:"7,keyasint"` // of the message with the last share request that was processed
}

type grantKey struct {
	key  Key
	node string
}

// Pool is the immutable state of a service's limits as stored in the platform. The
// zero value has no grants.
type Pool struct {
	grants map[grantKey]Grant
}

// Decode decodes a pool.
func Decode(data []byte) (Pool, error) {
	var list []Grant
	if err := cbor.Unmarshal(data, &list); err != nil {
		return Pool{}, gd.Invalid.Wrapf(err, "cannot decode the limit pool")
	}
	p := Pool{grants: map[grantKey]Grant{}}
	for _, g := range list {
		p.grants[grantKey{g.Key, g.Node}] = g
	}
	return p, nil
}

// Encode returns the encoded form of p.
func (p Pool) Encode() ([]byte, error) { return cbor.Marshal(p.Grants()) }

// Grants returns all grants, sorted by caller, dimension and node.
func (p Pool) Grants() []Grant {
	list := slices.Collect(maps.Values(p.grants))
	slices.SortFunc(list, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(a.Key.Caller, b.Key.Caller), cmp.Compare(a.Key.Dimension, b.Key.Dimension), cmp.Compare(a.Node, b.Node))
	})
	return list
}

// Requester identifies the process that sent share requests and the message that
// contained them. Serial increases with each message of the process. A message that
// arrives after a later one is ignored, because the node may already enforce more
// than the message reports.
type Requester struct {
	Node        string
	Incarnation uint64
	Serial      uint64
}

// WithRequests returns the pool after the node's share requests, and the shares that
// the node may enforce once the pool is written. The limits are those of the table.
func (p Pool) WithRequests(now clock.Time, from Requester, requests []Request, limits map[Key]int64) (Pool, []Share) {
	return p.withRequests(now, from, requests, limits, Pool.updateGrant)
}

// WithReports is like WithRequests for a pool that may lack grants, because the store lost
// its last writes. The pool takes over the shares that the node reports, and raises none.
func (p Pool) WithReports(now clock.Time, from Requester, requests []Request, limits map[Key]int64) (Pool, []Share) {
	return p.withRequests(now, from, requests, limits, Pool.recoverGrant)
}

// updateFunc updates a node's grant in a pool and returns the share that the node may
// enforce, or false if the share request is ignored.
type updateFunc func(p Pool, now clock.Time, from Requester, r Request, limit int64) (int64, bool)

func (p Pool) withRequests(now clock.Time, from Requester, requests []Request, limits map[Key]int64, update updateFunc) (Pool, []Share) {
	next := Pool{grants: maps.Clone(p.grants)}
	if next.grants == nil {
		next.grants = map[grantKey]Grant{}
	}
	maps.DeleteFunc(next.grants, func(_ grantKey, g Grant) bool { return g.Expires.Add(maxClockSkew) < now })
	var shares []Share
	for _, r := range requests {
		limit := limits[r.Key]
		if amount, ok := update(next, now, from, r, limit); ok {
			shares = append(shares, Share{r.Key, amount, limit})
		}
	}
	return next, shares
}

// updateGrant updates the node's grant in p and returns the share that the node may
// enforce. It returns false for a share request that arrives after a later one of
// the node.
func (p Pool) updateGrant(now clock.Time, from Requester, r Request, limit int64) (int64, bool) {
	g, ok := p.grantOf(now, from, r)
	if !ok {
		return 0, false
	}
	g.Amount = min(g.Amount, r.Holding)
	target := p.record(g, limit)
	if target <= g.Amount {
		return target, true
	}
	g.Amount += min(target-g.Amount, max(0, limit-p.granted(r.Key)))
	p.grants[grantKey{g.Key, g.Node}] = g
	return g.Amount, true
}

// recoverGrant sets the node's grant in p to the share that it holds, and returns the
// share that it may enforce, which is not higher. It returns false as updateGrant does.
func (p Pool) recoverGrant(now clock.Time, from Requester, r Request, limit int64) (int64, bool) {
	g, ok := p.grantOf(now, from, r)
	if !ok {
		return 0, false
	}
	g.Amount = r.Holding
	return min(p.record(g, limit), g.Amount), true
}

// grantOf returns the grant of the node that sent r, renewed. It returns false if r arrives after a
// later share request of the node.
func (p Pool) grantOf(now clock.Time, from Requester, r Request) (Grant, bool) {
	g := p.grants[grantKey{r.Key, from.Node}]
	switch {
	case g.Incarnation > from.Incarnation, g.Incarnation == from.Incarnation && g.Serial >= from.Serial:
		return Grant{}, false
	case g.Incarnation < from.Incarnation:
		g.Amount = 0 // the earlier process of the node has ended
	}
	g.Key, g.Node, g.Incarnation, g.Serial = r.Key, from.Node, from.Incarnation, from.Serial
	g.Demand = r.Demand
	g.Expires = now.Add(GrantTTL)
	return g, true
}

// record stores a grant and returns the target of its node.
func (p Pool) record(g Grant, limit int64) int64 {
	p.grants[grantKey{g.Key, g.Node}] = g
	return p.target(g.Key, g.Node, limit)
}

// granted returns the sum of the grants of a limit.
func (p Pool) granted(k Key) int64 {
	var sum int64
	for gk, g := range p.grants {
		if gk.key == k {
			sum += g.Amount
		}
	}
	return sum
}

// target returns the node's max-min fair share of limit by demand. The part that
// exceeds all demands is divided evenly, so that a node without demand can admit a
// first call.
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

// evenPart returns the node's part when left is divided evenly. The first nodes by
// name get one unit of the remainder each.
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

// WithRelease returns the pool without the grants of the node.
func (p Pool) WithRelease(node string) Pool {
	next := Pool{grants: maps.Clone(p.grants)}
	maps.DeleteFunc(next.grants, func(gk grantKey, _ Grant) bool { return gk.node == node })
	return next
}
