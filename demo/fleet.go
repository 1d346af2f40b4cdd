// Package demo starts several nodes with small backend servers in one process,
// shows an edit coming into force and a server draining under calls, and counts
// what became of every call.
package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/identity"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/node"
	"github.com/geraniumdock/geraniumdock/table"
)

const (
	loopback      = "127.0.0.1:0"
	storeRate     = 50
	claimWrites   = 10
	readyTimeout  = 45 * time.Second
	readyPoll     = 20 * time.Millisecond
	drainWait     = 10 * time.Second
	defaultGather = 100 * time.Millisecond
)

// Fleet is a set of nodes on loopback over one store. Use NewFleet.
type Fleet struct {
	Store     gd.Store
	Log       hclog.Logger
	Gather    time.Duration
	Nodes     []*node.Node
	authority *identity.Authority
	count     uint64
}

// NewFleet returns a fleet without nodes.
func NewFleet(store gd.Store, log hclog.Logger) (*Fleet, error) {
	a, err := identity.NewAuthority()
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Log: log, Gather: defaultGather, authority: a}, nil
}

// Config returns the settings of a further node.
func (f *Fleet) Config(name, dataCentre string) (node.Config, error) {
	id, err := f.authority.Identity(name)
	if err != nil {
		return node.Config{}, err
	}
	f.count++
	return node.Config{
		DataCentre:   dataCentre,
		Region:       "region",
		Identity:     id,
		Store:        object.NewClient(f.Store, clock.System{}, storeRate, f.count),
		Clock:        clock.System{},
		Log:          f.Log,
		CallsAddress: loopback,
		PeersAddress: loopback,
		OperatorAddr: loopback,
		AnnounceAddr: loopback,
		Gather:       f.Gather,
		ClaimWrites:  claimWrites,
		DrainWait:    drainWait,
		Seed:         f.count,
	}, nil
}

// Start starts a node.
func (f *Fleet) Start(name, dataCentre string) (*node.Node, error) {
	cfg, err := f.Config(name, dataCentre)
	if err != nil {
		return nil, err
	}
	return f.StartWith(cfg)
}

// StartWith starts a node with the given settings.
func (f *Fleet) StartWith(cfg node.Config) (*node.Node, error) {
	n, err := node.New(cfg)
	if err != nil {
		return nil, err
	}
	n.Start()
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// Edit commits changes to the table, as read at its current version.
func (f *Fleet) Edit(ctx context.Context, id string, changes ...table.Change) (table.Receipt, error) {
	e := table.NewEditor(f.Store)
	t, _, err := e.Load(ctx)
	if err != nil {
		return table.Receipt{}, err
	}
	for i := range changes {
		changes[i].Read = t.Version()
	}
	return e.Commit(ctx, table.Edit{ID: id, Author: "demo", At: clock.System{}.Now(), Changes: changes})
}

// Await waits until ok holds.
func Await(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return gd.TimedOut.Errorf("%s: not within %s", what, readyTimeout)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// AwaitVersion waits until every node enforces at least version v.
func (f *Fleet) AwaitVersion(ctx context.Context, v uint64) error {
	return Await(ctx, fmt.Sprintf("table version %d on %d nodes", v, len(f.Nodes)), func() bool {
		for _, n := range f.Nodes {
			if n.Version() < v {
				return false
			}
		}
		return true
	})
}

// AwaitServers waits until every node knows count servers of the service that
// take calls.
func (f *Fleet) AwaitServers(ctx context.Context, service string, count int) error {
	return Await(ctx, fmt.Sprintf("%d servers of %s on %d nodes", count, service, len(f.Nodes)), func() bool {
		for _, n := range f.Nodes {
			if n.Serving(service) != count {
				return false
			}
		}
		return true
	})
}

// Close closes the nodes one after the other.
func (f *Fleet) Close() error {
	var errs []error
	for _, n := range f.Nodes {
		errs = append(errs, n.Close())
	}
	return errors.Join(errs...)
}

// Set returns a change of a cell in the sheet of rows.
func Set(caller, service, column, value string) table.Change {
	return table.Change{Key: table.RowKey(caller, service, column), Value: value}
}

// SetService returns a change that adds a service with its routes.
func SetService(service, routes string) table.Change {
	return table.Change{Key: table.Key{Sheet: table.Services, Row: service, Column: "routes"}, Value: routes}
}

// SetCaller returns a change that adds a caller with its token.
func SetCaller(caller, token string) table.Change {
	return table.Change{Key: table.Key{Sheet: table.Callers, Row: caller, Column: "token-sha256"}, Value: identity.TokenHash(token)}
}
