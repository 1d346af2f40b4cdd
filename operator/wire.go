package operator

import (
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

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
	Changes []wireChange `json:"changes,omitempty"`
}

func newWireEdit(e table.Edit) wireEdit {
	w := wireEdit{ID: e.ID, Author: e.Author}
	for _, c := range e.Changes {
		w.Changes = append(w.Changes, wireChange{string(c.Key.Sheet), c.Key.Row, c.Key.Column, c.Value, c.Remove, c.ReadVersion})
	}
	return w
}

func (w wireEdit) edit() table.Edit {
	e := table.Edit{ID: w.ID, Author: w.Author}
	for _, c := range w.Changes {
		k := table.Key{Sheet: table.Sheet(c.Sheet), Row: c.Row, Column: c.Column}
		e.Changes = append(e.Changes, table.Change{Key: k, Value: c.Value, Remove: c.Remove, ReadVersion: c.Read})
	}
	return e
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

func newWireTable(t table.Table) wireTable {
	w := wireTable{Version: t.Version(), Cells: []wireCell{}}
	for _, k := range t.Keys() {
		c, _ := t.Cell(k)
		w.Cells = append(w.Cells, wireCell{string(k.Sheet), k.Row, k.Column, c.Value, c.ChangedVersion, c.Author})
	}
	return w
}

func (w wireTable) document() table.Document {
	d := table.Document{Version: w.Version, Sheets: []table.Sheet{table.Services, table.Callers, table.Rows}}
	for _, c := range w.Cells {
		k := table.Key{Sheet: table.Sheet(c.Sheet), Row: c.Row, Column: c.Column}
		d.Entries = append(d.Entries, table.Entry{Key: k, Value: c.Value})
	}
	return d
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

func newWireStatus(s Status) wireStatus {
	w := wireStatus{Version: s.Version, Rows: []wireRowStatus{}, Nodes: s.Nodes, Silent: s.Silent}
	for _, r := range s.Rows {
		w.Rows = append(w.Rows, wireRowStatus(r))
	}
	return w
}

func (w wireStatus) status() Status {
	s := Status{Version: w.Version, Nodes: w.Nodes, Silent: w.Silent}
	for _, r := range w.Rows {
		s.Rows = append(s.Rows, RowStatus(r))
	}
	return s
}

type wireServer struct {
	server.Record
	StateName string `json:"state-name"`
}

// wireError is the body of an error response.
type wireError struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}
