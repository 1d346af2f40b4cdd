package node

import (
	"context"

	"github.com/geraniumdock/geraniumdock/link"
)

// Version returns the table version that the node enforces, 0 for none.
func (n *Node) Version() uint64 {
	p := n.snapshot.Load().policy
	if p == nil {
		return 0
	}
	return p.Version
}

// Serving returns how many servers of the service the node sends calls to.
func (n *Node) Serving(service string) int { return len(n.snapshot.Load().serving[service]) }

// IsRelay reports whether the node is a relay.
func (n *Node) IsRelay(ctx context.Context) bool {
	isRelay, ok := query(ctx, n, func(c *control) bool { return c.hub != nil })
	return ok && isRelay
}

// ControlTraffic returns what the node sent and received over control links.
func (n *Node) ControlTraffic() link.Traffic { return n.endpoint.Traffic() }
