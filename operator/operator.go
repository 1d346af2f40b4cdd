// Package operator is the HTTP API between operators and a node: its handler,
// its client, and the forms in which they speak.
package operator

import (
	"context"

	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Service is what a node offers its operators.
type Service interface {
	// Commit merges the edit into the table.
	Commit(ctx context.Context, e table.Edit) (table.Receipt, error)
	// Restore commits the table in force at the node again, after the platform
	// lost it.
	Restore(ctx context.Context, id, author string) (table.Receipt, error)
	// Table returns the table as the platform holds it.
	Table(ctx context.Context) (table.Table, error)
	// History returns the accepted edits, oldest first.
	History(ctx context.Context) ([]table.Record, error)
	// Status tells where each row is in force.
	Status(ctx context.Context) (Status, error)
	// Servers returns the backend servers that the node knows.
	Servers(ctx context.Context) ([]server.Record, error)
	// Drain takes the server beside the node out of service.
	Drain()
}

// Status tells where the rows of a table version are in force.
type Status struct {
	Version uint64 // in force at the node that answers
	Rows    []RowStatus
	Nodes   []relay.Progress
	Silent  []string // relays that did not answer; their nodes are not counted
}

// RowStatus tells on how many nodes a row's newest change is in force.
type RowStatus struct {
	Caller, Service string
	Version         uint64 // the newest that changed the row
	InForce, Nodes  int
	Lagging         []string
}

// NewStatus returns the status of the rows of p, given what nodes acknowledged.
func NewStatus(p *table.Policy, reply *relay.StatusReply) Status {
	s := Status{Nodes: reply.Nodes, Silent: reply.Silent}
	if p == nil {
		return s
	}
	s.Version = p.Version
	for _, row := range p.SortedRows() {
		r := RowStatus{Caller: row.Caller, Service: row.Service, Version: row.Changed, Nodes: len(reply.Nodes)}
		for _, node := range reply.Nodes {
			if node.Version >= row.Changed {
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
