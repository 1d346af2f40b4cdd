// Package demo starts several nodes with small backend servers in one process. It
// edits the table and drains a backend server while calls are in flight, and counts
// the outcomes of the calls.
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
	loopback             = "127.0.0.1:0"
	storeCallsPerSecond  = 50
	claimWritesPerSecond = 10
	readyTimeout         = 45 * time.Second
	readyPollInterval    = 20 * time.Millisecond
	drainTimeout         = 10 * time.Second
	defaultGatherDelay   = 100 * time.Millisecond
)

// Fleet is a set of nodes on loopback that share a store. Create one with NewFleet.
type Fleet struct {
	Store       gd.Store
	Log         hclog.Logger
	GatherDelay time.Duration
	Nodes       []*node.Node
	authority   *identity.Authority
	nodeCount   uint64
}

// NewFleet returns a Fleet without nodes.
func NewFleet(store gd.Store, log hclog.Logger) (*Fleet, error) {
	a, err := identity.NewAuthority()
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Log: log, GatherDelay: defaultGatherDelay, authority: a}, nil
}

// Config returns the configuration of a new node.
func (f *Fleet) Config(name, dataCentre string) (node.Config, error) {
	id, err := f.authority.Identity(name)
	if err != nil {
		return node.Config{}, err
	}
	f.nodeCount++
	return node.Config{
		DataCentre:           dataCentre,
		Region:               "region",
		Identity:             id,
		Store:                object.NewClient(f.Store, clock.System{}, storeCallsPerSecond, f.nodeCount),
		Clock:                clock.System{},
		Log:                  f.Log,
		CallsAddress:         loopback,
		PeersAddress:         loopback,
		OperatorAddress:      loopback,
		AnnounceAddress:      loopback,
		GatherDelay:          f.GatherDelay,
		ClaimWritesPerSecond: claimWritesPerSecond,
		DrainTimeout:         drainTimeout,
		RandomSeed:           f.nodeCount,
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

// StartWith starts a node with the given configuration.
func (f *Fleet) StartWith(cfg node.Config) (*node.Node, error) {
	n, err := node.New(cfg)
	if err != nil {
		return nil, err
	}
	n.Start()
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// Edit commits changes that are based on the current version of the table.
func (f *Fleet) Edit(ctx context.Context, id string, changes ...table.Change) (table.Receipt, error) {
	e := table.NewEditor(f.Store)
	t, _, err := e.Load(ctx)
	if err != nil {
		return table.Receipt{}, err
	}
	for i := range changes {
		changes[i].ReadVersion = t.Version()
	}
	return e.Commit(ctx, table.Edit{ID: id, Author: "demo", At: clock.System{}.Now(), Changes: changes})
}

// Await waits until ok returns true, for at most readyTimeout. On a timeout it
// returns an error that contains what, the description of the condition.
func Await(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return gd.TimedOut.Errorf("%s: not reached within %s", what, readyTimeout)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// AwaitVersion waits until version v of the table or a newer one is in force on all
// nodes.
func (f *Fleet) AwaitVersion(ctx context.Context, v uint64) error {
	return Await(ctx, fmt.Sprintf("table version %d on %d nodes", v, len(f.Nodes)), func() bool {
		for _, n := range f.Nodes {
			if n.TableVersion() < v {
				return false
			}
		}
		return true
	})
}

// AwaitServers waits until every node knows exactly count backend servers of the
// service that take calls.
func (f *Fleet) AwaitServers(ctx context.Context, service string, count int) error {
	return Await(ctx, fmt.Sprintf("%d servers of %s on %d nodes", count, service, len(f.Nodes)), func() bool {
		for _, n := range f.Nodes {
			if n.ServerCount(service) != count {
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

// Set returns a change that sets a cell in the sheet rows.
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
