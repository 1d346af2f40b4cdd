// Package table implements the operators' configuration table.
//
// A table consists of cells, addressed by sheet, row and column. Operators
// change it with edits, which are merged cell by cell. Nodes enforce the policy
// that is derived from it. In the platform's store a table is kept as
// content-addressed chunks, one per service and one for the callers, and a head
// that lists them; an edit is committed by writing the head.
package table

import (
	"maps"
	"slices"
	"strings"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Sheet is the name of one of the sheets of the table.
type Sheet string

// The sheets. The rows of the sheet Rows have names of the form caller/service.
const (
	Services Sheet = "services"
	Callers  Sheet = "callers"
	Rows     Sheet = "rows"
)

// callersChunk is the name of the chunk with the sheet Callers. Every other chunk
// has the name of a service and holds its routes and rows.
const callersChunk = "@callers"

// Key is the address of a cell, or of a whole row if Column is empty.
type Key struct {
	Sheet  Sheet  `cbor:"1,keyasint"`
	Row    string `cbor:"2,keyasint"`
	Column string `cbor:"3,keyasint,omitempty"`
}

// RowKey returns the key of a cell in the sheet Rows.
func RowKey(caller, service, column string) Key {
	return Key{Rows, caller + "/" + service, column}
}

// String returns the key as "sheet S, row R, column C".
func (k Key) String() string {
	s := "sheet " + string(k.Sheet) + ", row " + k.Row
	if k.Column == "" {
		return s
	}
	return s + ", column " + k.Column
}

// chunk returns the name of the chunk that holds the cell.
func (k Key) chunk() string {
	switch k.Sheet {
	case Callers:
		return callersChunk
	case Rows:
		_, service, _ := strings.Cut(k.Row, "/")
		return service
	}
	return k.Row
}

func compareKeys(a, b Key) int {
	if c := strings.Compare(string(a.Sheet), string(b.Sheet)); c != 0 {
		return c
	}
	if c := strings.Compare(a.Row, b.Row); c != 0 {
		return c
	}
	return strings.Compare(a.Column, b.Column)
}

// Cell is a value with the table version that changed it last and the author of
// that change. The cell with the empty column represents the row itself: it
// records which version last removed the row, even after the row is created
// again, and by whom.
type Cell struct {
	Value          string `cbor:"1,keyasint,omitempty"`
	ChangedVersion uint64 `cbor:"2,keyasint"`
	Author         string `cbor:"3,keyasint,omitempty"`
	Removed        bool   `cbor:"4,keyasint,omitempty"`
	RemovedVersion uint64 `cbor:"5,keyasint,omitempty"`
	RemovedBy      string `cbor:"6,keyasint,omitempty"`
}

// Change sets a cell, or removes a row if Remove is set.
type Change struct {
	Key         Key
	Value       string
	Remove      bool
	ReadVersion uint64 // table version that the change is based on
}

// Edit is a set of changes that are committed or rejected together. An edit is
// rejected if the table version in the store is older than InForceVersion, since
// the store has then lost the table.
type Edit struct {
	ID             string // request ID; the edits with one ID are committed only once
	InForceVersion uint64 // latest table version known to be in force
	Author         string
	At             clock.Time
	Changes        []Change
}

// Table is an immutable version of the operators' table. The zero value is the
// empty table at version 0.
type Table struct {
	version uint64
	chunks  map[string]cells
}

// cells holds the cells of a chunk.
type cells map[Key]Cell

// Version returns the table's version.
func (t Table) Version() uint64 { return t.version }

// Cell returns the cell at k and whether it has a value.
func (t Table) Cell(k Key) (Cell, bool) {
	c, ok := t.chunks[k.chunk()][k]
	return c, ok && !c.Removed
}

// Keys returns the sorted keys of all cells with a value.
func (t Table) Keys() []Key {
	var keys []Key
	for _, ch := range t.chunks {
		for k, c := range ch {
			if !c.Removed && k.Column != "" {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// RowNames returns the sorted names of the rows of sheet s.
func (t Table) RowNames(s Sheet) []string {
	var names []string
	for _, ch := range t.chunks {
		for k, c := range ch {
			if k.Sheet == s && k.Column == "" && !c.Removed {
				names = append(names, k.Row)
			}
		}
	}
	slices.Sort(names)
	return names
}

// WithEdit returns the next version of the table, with e merged in. It fails
// with a Conflict if a cell was set to a different value, or its row was
// removed, after the version that the change is based on.
func (t Table) WithEdit(e Edit) (Table, error) {
	if err := checkEdit(e); err != nil {
		return Table{}, err
	}
	next := Table{version: t.version + 1, chunks: maps.Clone(t.chunks)}
	if next.chunks == nil {
		next.chunks = map[string]cells{}
	}
	cloned := map[string]bool{}
	for _, c := range e.Changes {
		if err := t.checkConflict(c); err != nil {
			return Table{}, err
		}
		name := c.Key.chunk()
		if !cloned[name] {
			next.chunks[name] = cloneChunk(next.chunks[name])
			cloned[name] = true
		}
		next.chunks[name].apply(c, next.version, e.Author)
	}
	return next, nil
}

func cloneChunk(ch cells) cells {
	if ch == nil {
		return cells{}
	}
	return maps.Clone(ch)
}

func checkEdit(e Edit) error {
	if e.ID == "" {
		return gd.Invalid.Errorf("edit without a request id")
	}
	if len(e.Changes) == 0 {
		return gd.Invalid.Errorf("edit without changes")
	}
	seen := map[Key]bool{}
	for _, c := range e.Changes {
		if seen[c.Key] {
			return gd.Invalid.Errorf("%s: changed twice in one edit", c.Key)
		}
		seen[c.Key] = true
		if err := checkChange(c); err != nil {
			return err
		}
	}
	return nil
}

// checkConflict returns a Conflict if, after the version that c is based on, the
// cell was set to a different value or its row was removed.
func (t Table) checkConflict(c Change) error {
	if c.Remove {
		return t.checkRemovalConflict(c)
	}
	row := Key{c.Key.Sheet, c.Key.Row, ""}
	if r, ok := t.chunks[c.Key.chunk()][row]; ok && r.RemovedVersion > c.ReadVersion {
		return conflict(row, Cell{ChangedVersion: r.RemovedVersion, Author: r.RemovedBy, Removed: true}, c.ReadVersion)
	}
	cell, ok := t.Cell(c.Key)
	if ok && cell.ChangedVersion > c.ReadVersion && cell.Value != c.Value {
		return conflict(c.Key, cell, c.ReadVersion)
	}
	return nil
}

// checkRemovalConflict returns a Conflict if a cell of the row was changed after
// the version that c is based on.
func (t Table) checkRemovalConflict(c Change) error {
	if _, ok := t.Cell(c.Key); !ok {
		return gd.Invalid.Errorf("%s: no such row", c.Key)
	}
	for k, cell := range t.chunks[c.Key.chunk()] {
		if k.Sheet == c.Key.Sheet && k.Row == c.Key.Row && !cell.Removed && cell.ChangedVersion > c.ReadVersion {
			return conflict(k, cell, c.ReadVersion)
		}
	}
	return nil
}

func conflict(k Key, c Cell, read uint64) error {
	what := "set to \"" + c.Value + "\""
	if c.Removed {
		what = "removed"
	}
	return gd.Conflict.Errorf("%s: %s by %s in version %d, but the edit is based on version %d", k, what, c.Author, c.ChangedVersion, read)
}

// apply makes the change c, which has been checked, in the chunk. A cell that
// already has the value keeps the version that set it.
func (ch cells) apply(c Change, version uint64, author string) {
	row := Key{c.Key.Sheet, c.Key.Row, ""}
	if c.Remove {
		for k, old := range ch {
			if k.Sheet == row.Sheet && k.Row == row.Row && !old.Removed {
				ch[k] = Cell{ChangedVersion: version, Author: author, Removed: true, RemovedVersion: version, RemovedBy: author}
			}
		}
		return
	}
	if old, ok := ch[row]; !ok || old.Removed {
		ch[row] = Cell{ChangedVersion: version, Author: author, RemovedVersion: old.RemovedVersion, RemovedBy: old.RemovedBy}
	}
	if old, ok := ch[c.Key]; ok && !old.Removed && old.Value == c.Value {
		return
	}
	ch[c.Key] = Cell{Value: c.Value, ChangedVersion: version, Author: author}
}
