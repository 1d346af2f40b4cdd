package node

import (
	"context"

	"github.com/geraniumdock/geraniumdock/link"
)

// TableVersion returns the table version in force on the node, or 0 if there is none.
func (n *Node) TableVersion() uint64 {
	p := n.snapshot.Load().policy
	if p == nil {
		return 0
	}
	return p.Version
}

// ServerCount returns the number of servers of the service that the node sends
// calls to.
func (n *Node) ServerCount(service string) int { return len(n.snapshot.Load().serving[service]) }

// IsRelay reports whether the node is a relay.
func (n *Node) IsRelay(ctx context.Context) bool {
	isRelay, ok := query(ctx, n, func(c *control) bool { return c.hub != nil })
	return ok && isRelay
}

// ControlTraffic returns the bytes sent and received over control links.
func (n *Node) ControlTraffic() link.Traffic { return n.endpoint.Traffic() }
