// Package operator implements the HTTP API through which operators control a node:
// the handler, the client and the JSON messages.
package operator

import (
	"context"

	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Service is the set of operations that a node offers to operators.
type Service interface {
	// Commit merges the edit into the table.
	Commit(ctx context.Context, e table.Edit) (table.Receipt, error)
	// Restore commits the table that the node has in force, after the platform has
	// lost it.
	Restore(ctx context.Context, id, author string) (table.Receipt, error)
	// Table returns the table as stored on the platform.
	Table(ctx context.Context) (table.Table, error)
	// History returns the accepted edits, oldest first.
	History(ctx context.Context) ([]table.Record, error)
	// Status returns on which nodes each row is in force.
	Status(ctx context.Context) (Status, error)
	// Servers returns the backend servers that the node knows of.
	Servers(ctx context.Context) ([]server.Record, error)
	// Drain takes the backend server beside the node out of service.
	Drain()
}

// Status describes on which nodes the rows of a table version are in force.
type Status struct {
	Version uint64 // version in force on the node that responds
	Rows    []RowStatus
	Nodes   []relay.Progress
	Silent  []string // relays that did not reply; the nodes connected to them are not counted
}

// RowStatus describes on which nodes the newest change of a row is in force.
type RowStatus struct {
	Caller, Service string
	Version         uint64   // newest version that changed the row
	InForce, Nodes  int      // number of nodes on which it is in force, and of all nodes
	Lagging         []string // nodes on which it is not in force yet
}

// NewStatus returns the status of the rows of p, given the versions that the nodes
// acknowledged.
func NewStatus(p *table.Policy, reply *relay.StatusReply) Status {
	s := Status{Nodes: reply.Nodes, Silent: reply.Silent}
	if p == nil {
		return s
	}
	s.Version = p.Version
	for _, row := range p.SortedRows() {
		r := RowStatus{Caller: row.Caller, Service: row.Service, Version: row.ChangedVersion, Nodes: len(reply.Nodes)}
		for _, node := range reply.Nodes {
			if node.Version >= row.ChangedVersion {
				r.InForce++
			} else {
				r.Lagging = append(r.Lagging, node.Node)
			}
		}
		s.Rows = append(s.Rows, r)
	}
	return s
}

// Paths of the API.
const (
	editsPath   = "/v1/edits"
	restorePath = "/v1/restore"
	tablePath   = "/v1/table"
	historyPath = "/v1/history"
	statusPath  = "/v1/status"
	serversPath = "/v1/servers"
	drainPath   = "/v1/drain"
)
