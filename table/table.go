// Package table is the operators' table: cells by sheet, row and column, the
// merge of edits into it, the policy that nodes enforce, and its commit to the
// platform's store as one head over content-addressed chunks.
package table

import (
	"maps"
	"slices"
	"strings"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Sheet names one of the parts of the table.
type Sheet string

// The sheets. Rows of the sheet Rows are named caller/service.
const (
	Services Sheet = "services"
	Callers  Sheet = "callers"
	Rows     Sheet = "rows"
)

// callersChunk holds the sheet Callers; every other chunk is a service's.
const callersChunk = "@callers"

// Key addresses a cell. An empty Column addresses the whole row.
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

// Cell is a value with the version that set it and its author. The cell with
// the empty column stands for the row: it keeps the version that last removed
// the row, also when the row is created again.
type Cell struct {
	Value          string `cbor:"1,keyasint,omitempty"`
	Changed        uint64 `cbor:"2,keyasint"`
	Author         string `cbor:"3,keyasint,omitempty"`
	Removed        bool   `cbor:"4,keyasint,omitempty"`
	RemovedVersion uint64 `cbor:"5,keyasint,omitempty"`
	RemovedBy      string `cbor:"6,keyasint,omitempty"`
}

// Change sets a cell, or removes a row when Remove is set. Read is the table
// version that the operator saw.
type Change struct {
	Key    Key
	Value  string
	Remove bool
	Read   uint64
}

// Edit is a set of changes that are accepted or refused together. ID makes
// it idempotent. InForce is the newest version known to be in force: a store
// that holds an older one has lost the table, and the edit is refused.
type Edit struct {
	ID      string
	InForce uint64
	Author  string
	At      clock.Time
	Changes []Change
}

// Table is an immutable version of the operators' table. The zero value is the
// empty table at version 0.
type Table struct {
	version uint64
	chunks  map[string]cells
}

// cells are the cells of a chunk.
type cells map[Key]Cell

// Version returns the table's version.
func (t Table) Version() uint64 { return t.version }

// Cell returns the cell at k and whether it has a value.
func (t Table) Cell(k Key) (Cell, bool) {
	c, ok := t.chunks[k.chunk()][k]
	return c, ok && !c.Removed
}

// Keys returns the keys of all cells with a value, ordered.
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

// RowNames returns the names of the rows of sheet s, ordered.
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

// WithEdit returns the next version of the table with e merged in. Changes of
// cells that nobody changed since the operator read them merge; a cell that
// was given another value since is a Conflict, and t stands as it was.
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

// checkRace returns a Conflict if the cell, or the row it belongs to, was
// changed to something else after the operator read it.
func (t Table) checkConflict(c Change) error {
	if c.Remove {
		return t.checkRemovalConflict(c)
	}
	row := Key{c.Key.Sheet, c.Key.Row, ""}
	if r, ok := t.chunks[c.Key.chunk()][row]; ok && r.RemovedVersion > c.Read {
		return conflict(row, Cell{Changed: r.RemovedVersion, Author: r.RemovedBy, Removed: true}, c.Read)
	}
	cell, ok := t.Cell(c.Key)
	if ok && cell.Changed > c.Read && cell.Value != c.Value {
		return conflict(c.Key, cell, c.Read)
	}
	return nil
}

func (t Table) checkRemovalConflict(c Change) error {
	if _, ok := t.Cell(c.Key); !ok {
		return gd.Invalid.Errorf("%s: no such row", c.Key)
	}
	for k, cell := range t.chunks[c.Key.chunk()] {
		if k.Sheet == c.Key.Sheet && k.Row == c.Key.Row && !cell.Removed && cell.Changed > c.Read {
			return conflict(k, cell, c.Read)
		}
	}
	return nil
}

func conflict(k Key, c Cell, read uint64) error {
	what := "set to \"" + c.Value + "\""
	if c.Removed {
		what = "removed"
	}
	return gd.Conflict.Errorf("%s: %s by %s in version %d, after version %d that the edit was made from", k, what, c.Author, c.Changed, read)
}

// apply merges c, which has been checked, into the chunk.
func (ch cells) apply(c Change, version uint64, author string) {
	row := Key{c.Key.Sheet, c.Key.Row, ""}
	if c.Remove {
		for k, old := range ch {
			if k.Sheet == row.Sheet && k.Row == row.Row && !old.Removed {
				ch[k] = Cell{Changed: version, Author: author, Removed: true, RemovedVersion: version, RemovedBy: author}
			}
		}
		return
	}
	if old, ok := ch[row]; !ok || old.Removed {
		ch[row] = Cell{Changed: version, Author: author, RemovedVersion: old.RemovedVersion, RemovedBy: old.RemovedBy}
	}
	if old, ok := ch[c.Key]; ok && !old.Removed && old.Value == c.Value {
		return
	}
	ch[c.Key] = Cell{Value: c.Value, Changed: version, Author: author}
}
