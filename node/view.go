package node

import (
	"context"

	"github.com/geraniumdock/geraniumdock/link"
	"github.com/geraniumdock/geraniumdock/relay"
)

// RowStatus tells on how many nodes a row's newest change is in force.
type RowStatus struct {
	Caller, Service string
	Version         uint64 // the newest that changed the row
	InForce, Nodes  int
	Lagging         []string
}

// Version returns the table version that the node enforces, 0 for none.
func (n *Node) Version() uint64 {
	p := n.snapshot.Load().policy
	if p == nil {
		return 0
	}
	return p.Version
}

// Servers returns how many servers of the service the node sends calls to.
func (n *Node) Servers(service string) int { return len(n.snapshot.Load().serving[service]) }

// RowStatus returns the status of each row of the version in force here. It
// asks the relays, and makes no platform call.
func (n *Node) RowStatus(ctx context.Context) ([]RowStatus, error) {
	reply, err := n.status(ctx)
	if err != nil {
		return nil, err
	}
	p := n.snapshot.Load().policy
	if p == nil {
		return nil, nil
	}
	return rowStatuses(p, reply.Nodes, "", ""), nil
}

// Status returns what each node has acknowledged.
func (n *Node) Status(ctx context.Context) ([]relay.Progress, error) {
	reply, err := n.status(ctx)
	if err != nil {
		return nil, err
	}
	return reply.Nodes, nil
}

// IsRelay reports whether the node is a relay.
func (n *Node) IsRelay(ctx context.Context) bool {
	leads, ok := query(ctx, n, func(c *control) bool { return c.hub != nil })
	return ok && leads
}

// ControlTraffic returns what the node sent and received over control links.
func (n *Node) ControlTraffic() link.Traffic { return n.endpoint.Traffic() }
