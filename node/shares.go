package node

import (
	"context"
	"fmt"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/table"
)

const (
	poolKeyPrefix     = "limits/" // prefix of the keys of limit pools in the platform's store
	poolWriteAttempts = 6
	poolTimeout       = 4 * time.Second
)

// grantShares grants shares of the limits of a service to the node that sent req.
func (c *control) grantShares(from string, req *relay.ShareRequest) {
	policy := c.follower.Policy()
	if policy == nil {
		return
	}
	limits := limitsOf(policy.Services[req.Service])
	n := c.n
	n.tasks.Go(func() {
		shares, err := n.updatePool(from, req, limits)
		if err != nil {
			n.log.Warn("cannot grant shares of limits", "service", req.Service, "asker", from, "error", err)
			return
		}
		n.log.Info("granted shares of limits", "service", req.Service, "asker", from, "shares", fmt.Sprint(shares))
		n.post(func(c *control) {
			if c.hub != nil {
				c.deliver([]relay.Send{{To: from, Message: &relay.ShareReply{Shares: shares, Serial: req.Serial}}})
			}
		})
	})
}

// updatePool writes the pool of limits and returns the shares to grant. The pool
// is written before the shares are granted. If the response to the write is
// lost, no shares are granted: the pool then counts more than the node holds,
// which is safe, and the node retries its share request.
func (n *Node) updatePool(from string, req *relay.ShareRequest, limits map[limit.Key]int64) ([]limit.Share, error) {
	ctx, cancel := context.WithTimeout(context.Background(), poolTimeout)
	defer cancel()
	key := poolKeyPrefix + req.Service
	var err error
	for range poolWriteAttempts {
		var o gd.Object
		if o, err = n.cfg.Store.Get(ctx, key); err != nil && !gd.NotFound.Is(err) {
			return nil, err
		}
		var pool limit.Pool
		if !o.Revision.IsZero() {
			if pool, err = limit.Decode(o.Value); err != nil {
				return nil, err
			}
		}
		isRecovering, ok := query(ctx, n, func(c *control) bool {
			c.enterEra(o.Revision.Era)
			return c.isRecoveringPools()
		})
		if !ok {
			return nil, ctx.Err()
		}
		next, shares := applyShareRequest(pool, n, from, req, limits, isRecovering)
		var data []byte
		if data, err = next.Encode(); err != nil {
			return nil, err
		}
		if _, err = n.cfg.Store.Put(ctx, key, data, o.Revision); !gd.Conflict.Is(err) {
			return shares, err
		}
	}
	return nil, err
}

// applyShareRequest returns the pool after the node's share requests or the release
// of its shares, and the shares to grant.
func applyShareRequest(p limit.Pool, n *Node, from string, req *relay.ShareRequest, limits map[limit.Key]int64, isRecovering bool) (limit.Pool, []limit.Share) {
	if req.Release {
		return p.WithRelease(from), nil
	}
	requester := limit.Requester{Node: from, Incarnation: req.Incarnation, Serial: req.Serial}
	if isRecovering {
		return p.WithReports(n.cfg.Clock.Now(), requester, req.Requests, limits)
	}
	return p.WithRequests(n.cfg.Clock.Now(), requester, req.Requests, limits)
}

// limitsOf returns the fleet-wide limits in the rows of a service.
func limitsOf(s *table.Service) map[limit.Key]int64 {
	limits := map[limit.Key]int64{}
	if s == nil {
		return limits
	}
	for caller, row := range s.Rows {
		if row.RateLimit > 0 {
			limits[limit.Key{Caller: caller, Dimension: limit.Rate}] = int64(row.RateLimit) * limit.RateUnits
		}
		if row.ConcurrencyLimit > 0 {
			limits[limit.Key{Caller: caller, Dimension: limit.Concurrency}] = int64(row.ConcurrencyLimit)
		}
	}
	return limits
}
