package node

import (
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strings"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

const maxRequestBytes = 8 << 20

type wireChange struct {
	Sheet  string `json:"sheet"`
	Row    string `json:"row"`
	Column string `json:"column,omitempty"`
	Value  string `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
	Read   uint64 `json:"read"`
}

type wireEdit struct {
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	Changes []wireChange `json:"changes"`
}

type wireReceipt struct {
	Version uint64 `json:"version"`
	Repeat  bool   `json:"repeat,omitempty"`
}

type wireCell struct {
	Sheet   string `json:"sheet"`
	Row     string `json:"row"`
	Column  string `json:"column"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
}

type wireTable struct {
	Version uint64     `json:"version"`
	Cells   []wireCell `json:"cells"`
}

type wireRecord struct {
	Version uint64     `json:"version"`
	Author  string     `json:"author"`
	At      clock.Time `json:"at-ms"`
	ID      string     `json:"id"`
	Cells   []string   `json:"cells"`
}

type wireStatus struct {
	Version uint64           `json:"version"`
	Rows    []wireRowStatus  `json:"rows"`
	Nodes   []relay.Progress `json:"nodes"`
	Silent  []string         `json:"silent-relays,omitempty"`
}

type wireRowStatus struct {
	Caller  string   `json:"caller"`
	Service string   `json:"service"`
	Version uint64   `json:"version"`
	InForce int      `json:"in-force"`
	Nodes   int      `json:"nodes"`
	Lagging []string `json:"lagging,omitempty"`
}

type wireServer struct {
	server.Record
	StateName string `json:"state-name"`
}

type wireAnnouncement struct {
	Service     string     `json:"service"`
	Address     string     `json:"address"`
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
	Started     clock.Time `json:"started-ms"`
	Draining    bool       `json:"draining"`
	Unhealthy   bool       `json:"unhealthy"`
}

func (n *Node) newOperatorServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/edits", n.serveEdit)
	mux.HandleFunc("POST /v1/restore", n.serveRestore)
	mux.HandleFunc("GET /v1/table", n.serveTable)
	mux.HandleFunc("GET /v1/history", n.serveHistory)
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	mux.HandleFunc("GET /v1/servers", n.serveServers)
	mux.HandleFunc("POST /v1/drain", n.serveDrain)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return &http.Server{Handler: withToken(n.cfg.OperatorToken, mux), ReadHeaderTimeout: headerTimeout}
}

func (n *Node) newAnnounceServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", n.serveAnnounce)
	return &http.Server{Handler: withToken(n.cfg.AnnounceToken, mux), ReadHeaderTimeout: headerTimeout}
}

// withToken asks for a bearer token unless it is empty.
func withToken(token string, h http.Handler) http.Handler {
	if token == "" {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the token is missing or wrong", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func writeJSON(w io.Writer, v any) {
	json.NewEncoder(w).Encode(v) // a failed write shows at the reader as a cut answer
}

func messageIn(data []byte, fallback string) string {
	var e wireError
	if json.Unmarshal(data, &e) != nil || e.Message == "" {
		return fallback
	}
	return e.Message
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, v)
}

// readJSON reads a request's body and refuses unknown keys.
func readJSON(r *http.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return gd.Invalid.Wrapf(err, "request body")
	}
	return nil
}

func (n *Node) serveEdit(w http.ResponseWriter, r *http.Request) {
	var wire wireEdit
	if err := readJSON(r, &wire); err != nil {
		writeError(w, err)
		return
	}
	edit := table.Edit{ID: wire.ID, Author: wire.Author, At: n.cfg.Clock.Now(), InForce: n.Version()}
	for _, c := range wire.Changes {
		k := table.Key{Sheet: table.Sheet(c.Sheet), Row: c.Row, Column: c.Column}
		edit.Changes = append(edit.Changes, table.Change{Key: k, Value: c.Value, Remove: c.Remove, Read: c.Read})
	}
	receipt, err := n.editor.Commit(r.Context(), edit)
	n.log.Info("edit", "id", edit.ID, "author", edit.Author, "cells", len(edit.Changes), "version", receipt.Version, "error", err)
	respond(w, wireReceipt{receipt.Version, receipt.Repeat}, err)
}

// serveRestore commits the table in force here again, after the platform lost
// it.
func (n *Node) serveRestore(w http.ResponseWriter, r *http.Request) {
	var wire wireEdit
	if err := readJSON(r, &wire); err != nil {
		writeError(w, err)
		return
	}
	type copied struct {
		table table.Table
		err   error
	}
	c, ok := query(r.Context(), n, func(c *control) copied {
		t, err := table.Assemble(c.follower.Head())
		return copied{t, err}
	})
	if !ok || c.err != nil {
		writeError(w, gd.Unavailable.Errorf("the node has no table to restore"))
		return
	}
	receipt, err := n.editor.Restore(r.Context(), c.table, table.Edit{ID: wire.ID, Author: wire.Author, At: n.cfg.Clock.Now()})
	n.log.Info("restore", "id", wire.ID, "author", wire.Author, "version", receipt.Version, "error", err)
	respond(w, wireReceipt{receipt.Version, receipt.Repeat}, err)
}

func (n *Node) serveTable(w http.ResponseWriter, r *http.Request) {
	t, _, err := n.editor.Load(r.Context())
	wire := wireTable{Version: t.Version(), Cells: []wireCell{}}
	for _, k := range t.Keys() {
		c, _ := t.Cell(k)
		wire.Cells = append(wire.Cells, wireCell{string(k.Sheet), k.Row, k.Column, c.Value, c.Changed, c.Author})
	}
	respond(w, wire, err)
}

func (n *Node) serveHistory(w http.ResponseWriter, r *http.Request) {
	_, head, err := n.editor.Load(r.Context())
	wire := make([]wireRecord, 0, len(head.History))
	for _, h := range head.History {
		wire = append(wire, wireRecord{h.Version, h.Author, h.At, h.ID, h.Cells})
	}
	respond(w, wire, err)
}

// serveStatus tells for each row on how many nodes its newest change is in
// force. The rows are those of the version in force here; no platform call is
// made.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	reply, err := n.status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	wire := wireStatus{Nodes: reply.Nodes, Silent: reply.Silent, Rows: []wireRowStatus{}}
	if p := n.snapshot.Load().policy; p != nil {
		wire.Version = p.Version
		for _, row := range rowStatuses(p, reply.Nodes, r.URL.Query().Get("caller"), r.URL.Query().Get("service")) {
			wire.Rows = append(wire.Rows, wireRowStatus(row))
		}
	}
	respond(w, wire, nil)
}

func rowStatuses(p *table.Policy, nodes []relay.Progress, caller, service string) []RowStatus {
	var rows []RowStatus
	for _, row := range p.SortedRows() {
		if caller != "" && row.Caller != caller || service != "" && row.Service != service {
			continue
		}
		s := RowStatus{Caller: row.Caller, Service: row.Service, Version: row.Changed, Nodes: len(nodes)}
		for _, node := range nodes {
			if node.Version >= row.Changed {
				s.InForce++
			} else {
				s.Lagging = append(s.Lagging, node.Node)
			}
		}
		rows = append(rows, s)
	}
	return rows
}

func (n *Node) serveServers(w http.ResponseWriter, r *http.Request) {
	records, ok := query(r.Context(), n, func(c *control) []server.Record { return c.follower.Directory().Records() })
	if !ok {
		writeError(w, gd.Unavailable.Errorf("the node is closing"))
		return
	}
	wire := make([]wireServer, len(records))
	for i, rec := range records {
		wire[i] = wireServer{rec, rec.State.String()}
	}
	respond(w, wire, nil)
}

// serveDrain takes the server beside this node out of service.
func (n *Node) serveDrain(w http.ResponseWriter, _ *http.Request) {
	n.station.drain()
	n.post(n.station.announceState)
	n.log.Info("drain asked for by the operator")
	respond(w, struct{}{}, nil)
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var wire wireAnnouncement
	err := readJSON(r, &wire)
	if err == nil {
		err = checkAnnouncement(wire)
	}
	if err == nil {
		err = n.station.announce(announcement(wire))
	}
	if err == nil {
		n.post(n.station.announceState)
	}
	respond(w, struct{}{}, err)
}

func checkAnnouncement(a wireAnnouncement) error {
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
