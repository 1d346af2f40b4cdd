package node

import (
	"context"
	"net/http"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/operator"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

func (n *Node) newOperatorServer() *http.Server {
	return &http.Server{Handler: operator.NewHandler(n, n.cfg.OperatorToken), ReadHeaderTimeout: readHeaderTimeout}
}

// Commit commits the edit to the table.
func (n *Node) Commit(ctx context.Context, e table.Edit) (table.Receipt, error) {
	e.At = n.cfg.Clock.Now()
	e.InForceVersion = n.TableVersion()
	r, err := n.editor.Commit(ctx, e)
	n.log.Info("edit", "id", e.ID, "author", e.Author, "cells", len(e.Changes), "version", r.Version, "error", err)
	return r, err
}

// Restore commits the table in force on this node again after the platform has
// lost it.
func (n *Node) Restore(ctx context.Context, id, author string) (table.Receipt, error) {
	type assembled struct {
		table table.Table
		err   error
	}
	c, ok := query(ctx, n, func(c *control) assembled {
		t, err := table.Assemble(c.follower.Head())
		return assembled{t, err}
	})
	if !ok || c.err != nil {
		return table.Receipt{}, gd.Unavailable.Errorf("node has no table to restore")
	}
	r, err := n.editor.Restore(ctx, c.table, table.Edit{ID: id, Author: author, At: n.cfg.Clock.Now()})
	n.log.Info("restore", "id", id, "author", author, "version", r.Version, "error", err)
	return r, err
}

// Table returns the current table in the platform.
func (n *Node) Table(ctx context.Context) (table.Table, error) {
	t, _, err := n.editor.Load(ctx)
	return t, err
}

// History returns the accepted edits, oldest first.
func (n *Node) History(ctx context.Context) ([]table.Record, error) {
	_, head, err := n.editor.Load(ctx)
	return head.History, err
}

// Status reports, for each row of the table in force on this node, on which nodes
// the row is in force. It asks the relays and makes no platform call.
func (n *Node) Status(ctx context.Context) (operator.Status, error) {
	reply, err := n.fleetProgress(ctx)
	if err != nil {
		return operator.Status{}, err
	}
	return operator.NewStatus(n.snapshot.Load().policy, reply), nil
}

// Servers returns the records of the backend servers known to the node.
func (n *Node) Servers(ctx context.Context) ([]server.Record, error) {
	records, ok := query(ctx, n, func(c *control) []server.Record { return c.follower.Directory().Records() })
	if !ok {
		return nil, gd.Unavailable.Errorf("node is closing")
	}
	return records, nil
}

// Drain takes the server beside this node out of service.
func (n *Node) Drain() {
	n.log.Info("operator requested drain")
	n.scheduler.drain()
	n.post(n.scheduler.announceState)
}

// wireAnnouncement is the JSON form of an announcement.
type wireAnnouncement struct {
	Service     string     `json:"service"`
	Address     string     `json:"address"`
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
	Started     clock.Time `json:"started-ms"`
	Draining    bool       `json:"draining"`
	Unhealthy   bool       `json:"unhealthy"`
}

// check reports the first invalid field.
func (a wireAnnouncement) check() error {
	switch {
	case a.Service == "":
		return gd.Invalid.Errorf("key service: missing")
	case a.Address == "":
		return gd.Invalid.Errorf("key address: missing")
	case a.Slots < 1:
		return gd.Invalid.Errorf("key slots: %d is not at least 1", a.Slots)
	}
	return nil
}

func (n *Node) newAnnounceServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", n.serveAnnounce)
	return &http.Server{Handler: operator.RequireToken(n.cfg.AnnounceToken, mux), ReadHeaderTimeout: readHeaderTimeout}
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var wire wireAnnouncement
	err := operator.ReadJSON(r, &wire)
	if err == nil {
		err = wire.check()
	}
	if err == nil {
		err = n.scheduler.announce(announcement(wire))
	}
	if err == nil {
		n.post(n.scheduler.announceState)
	}
	operator.Respond(w, struct{}{}, err)
}
