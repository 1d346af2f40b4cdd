package table

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	gd "github.com/geraniumdock/geraniumdock"
)

// Document is the table, or some of its sheets, as exported to a file.
type Document struct {
	Version uint64 // table version that the file was exported from, 0 if not given
	Sheets  []Sheet
	Entries []Entry
}

// Entry is a cell of a document.
type Entry struct {
	Key   Key
	Value string
}

// versionComment begins the comment line of a CSV file that holds the table
// version.
const versionComment = "# version: "

// byteOrderMark is the UTF-8 mark that spreadsheet programs write at the start
// of a CSV file.
const byteOrderMark = "\ufeff"

// nameColumns returns the columns that form the name of a row in sheet s.
func nameColumns(s Sheet) []string {
	switch s {
	case Services:
		return []string{"service"}
	case Callers:
		return []string{"caller"}
	}
	return []string{"caller", "service"}
}

// ReadCSV reads sheet s from a CSV file. The first line holds the names of the
// columns, in any order. Empty cells are skipped. Errors name the file, the row
// and the column.
func ReadCSV(r io.Reader, file string, s Sheet) (Document, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return Document{}, gd.Invalid.Wrapf(err, "%s", file)
	}
	text := strings.TrimPrefix(string(data), byteOrderMark)
	d := Document{Sheets: []Sheet{s}, Version: versionFromComment(text)}
	c := csv.NewReader(strings.NewReader(text))
	c.Comment = '#'
	c.TrimLeadingSpace = true
	header, err := c.Read()
	if errors.Is(err, io.EOF) {
		return Document{}, gd.Invalid.Errorf("%s: the header line is missing", file)
	}
	if err != nil {
		return Document{}, gd.Invalid.Wrapf(err, "%s", file)
	}
	if err := checkHeader(header, s); err != nil {
		return Document{}, gd.Invalid.Errorf("%s: %s", file, gd.Message(err))
	}
	for {
		cells, err := c.Read()
		if errors.Is(err, io.EOF) {
			return d, nil
		}
		if err != nil {
			return Document{}, gd.Invalid.Wrapf(err, "%s", file)
		}
		line, _ := c.FieldPos(0)
		if err := d.addRecord(s, header, cells); err != nil {
			return Document{}, gd.Invalid.Errorf("%s: line %d: %s", file, line, gd.Message(err))
		}
	}
}

// versionFromComment returns the table version in the version comment, or 0 if
// there is none.
func versionFromComment(text string) uint64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, versionComment); ok {
			// Spreadsheet programs pad the line with empty cells.
			if v, err := strconv.ParseUint(strings.TrimRight(rest, ", \r\n"), 10, 64); err == nil {
				return v
			}
		}
	}
	return 0
}

func checkHeader(header []string, s Sheet) error {
	known := append(nameColumns(s), Columns(s)...)
	for i, name := range header {
		if !slices.Contains(known, name) {
			return gd.Invalid.Errorf("column %q is not one of %s", name, strings.Join(known, ", "))
		}
		if slices.Contains(header[:i], name) {
			return gd.Invalid.Errorf("column %q appears twice", name)
		}
	}
	for _, name := range nameColumns(s) {
		if !slices.Contains(header, name) {
			return gd.Invalid.Errorf("column %q is missing", name)
		}
	}
	return nil
}

// addRecord adds the non-empty cells of one line.
func (d *Document) addRecord(s Sheet, header, cells []string) error {
	var names []string
	for _, name := range nameColumns(s) {
		names = append(names, cells[slices.Index(header, name)])
	}
	row := strings.Join(names, "/")
	before := len(d.Entries)
	for i, value := range cells {
		if value == "" || slices.Contains(nameColumns(s), header[i]) {
			continue
		}
		if err := d.add(Key{s, row, header[i]}, value); err != nil {
			return err
		}
	}
	if len(d.Entries) == before {
		return gd.Invalid.Errorf("%s: the row has no values", Key{s, row, ""})
	}
	return nil
}

// add checks the cell and adds it.
func (d *Document) add(k Key, value string) error {
	if err := checkChange(Change{Key: k, Value: value}); err != nil {
		return err
	}
	if slices.ContainsFunc(d.Entries, func(e Entry) bool { return e.Key == k }) {
		return gd.Invalid.Errorf("%s: set twice", k)
	}
	d.Entries = append(d.Entries, Entry{k, value})
	return nil
}

// WriteCSV writes sheet s of the document in CSV format.
func (d Document) WriteCSV(w io.Writer, s Sheet) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", versionComment, d.Version); err != nil {
		return gd.Unavailable.Wrapf(err, "write")
	}
	c := csv.NewWriter(w)
	columns := Columns(s)
	lines := [][]string{append(nameColumns(s), columns...)}
	for _, row := range d.rows(s) {
		line := strings.Split(row, "/")
		for _, name := range columns {
			line = append(line, d.value(Key{s, row, name}))
		}
		lines = append(lines, line)
	}
	if err := c.WriteAll(lines); err != nil {
		return gd.Unavailable.Wrapf(err, "write")
	}
	return nil
}

// rows returns the sorted names of the rows of sheet s.
func (d Document) rows(s Sheet) []string {
	var rows []string
	for _, e := range d.Entries {
		if e.Key.Sheet == s {
			rows = append(rows, e.Key.Row)
		}
	}
	slices.Sort(rows)
	return slices.Compact(rows)
}

// value returns the value of the cell at k, or an empty string if it is not
// set.
func (d Document) value(k Key) string {
	i := slices.IndexFunc(d.Entries, func(e Entry) bool { return e.Key == k })
	if i < 0 {
		return ""
	}
	return d.Entries[i].Value
}

// wireDocument is the YAML form of a document.
type wireDocument struct {
	Version  uint64        `yaml:"version,omitempty"`
	Services []wireService `yaml:"services,omitempty"`
	Callers  []wireCaller  `yaml:"callers,omitempty"`
	Rows     []wireRow     `yaml:"rows,omitempty"`
}

type wireService struct {
	Service string `yaml:"service"`
	Routes  string `yaml:"routes"`
}

type wireCaller struct {
	Caller      string `yaml:"caller"`
	TokenSHA256 string `yaml:"token-sha256"`
}

type wireRow struct {
	Caller            string `yaml:"caller"`
	Service           string `yaml:"service"`
	Weight            string `yaml:"weight,omitempty"`
	RateLimit         string `yaml:"rate-limit,omitempty"`
	ConcurrencyLimit  string `yaml:"concurrency-limit,omitempty"`
	QueueLimit        string `yaml:"queue-limit,omitempty"`
	Timeout           string `yaml:"timeout,omitempty"`
	IdempotentMethods string `yaml:"idempotent-methods,omitempty"`
	RetryAllowance    string `yaml:"retry-allowance,omitempty"`
	Deduplication     string `yaml:"deduplication,omitempty"`
}

// fields returns pointers to the fields by column name.
func (r *wireRow) fields() map[string]*string {
	return map[string]*string{
		"weight":             &r.Weight,
		"rate-limit":         &r.RateLimit,
		"concurrency-limit":  &r.ConcurrencyLimit,
		"queue-limit":        &r.QueueLimit,
		"timeout":            &r.Timeout,
		"idempotent-methods": &r.IdempotentMethods,
		"retry-allowance":    &r.RetryAllowance,
		"deduplication":      &r.Deduplication,
	}
}

// ReadYAML reads a document of all sheets. Errors name the file, and either the
// line and column in it or the row and column of the table.
func ReadYAML(data []byte, file string) (Document, error) {
	var w wireDocument
	if err := yaml.UnmarshalWithOptions(data, &w, yaml.Strict()); err != nil {
		return Document{}, gd.Invalid.Errorf("%s: %s", file, err)
	}
	d := Document{Version: w.Version, Sheets: []Sheet{Services, Callers, Rows}}
	if err := d.addWire(w); err != nil {
		return Document{}, gd.Invalid.Errorf("%s: %s", file, gd.Message(err))
	}
	return d, nil
}

func (d *Document) addWire(w wireDocument) error {
	for _, s := range w.Services {
		if err := d.add(Key{Services, s.Service, routesColumn}, s.Routes); err != nil {
			return err
		}
	}
	for _, c := range w.Callers {
		if err := d.add(Key{Callers, c.Caller, tokenColumn}, c.TokenSHA256); err != nil {
			return err
		}
	}
	for _, r := range w.Rows {
		if err := d.addWireRow(r); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) addWireRow(r wireRow) error {
	fields := r.fields()
	for _, name := range Columns(Rows) {
		if value := *fields[name]; value != "" {
			if err := d.add(RowKey(r.Caller, r.Service, name), value); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteYAML writes all sheets of the document in YAML format.
func (d Document) WriteYAML(w io.Writer) error {
	wire := wireDocument{Version: d.Version}
	for _, name := range d.rows(Services) {
		wire.Services = append(wire.Services, wireService{name, d.value(Key{Services, name, routesColumn})})
	}
	for _, name := range d.rows(Callers) {
		wire.Callers = append(wire.Callers, wireCaller{name, d.value(Key{Callers, name, tokenColumn})})
	}
	for _, name := range d.rows(Rows) {
		caller, service, _ := strings.Cut(name, "/")
		r := wireRow{Caller: caller, Service: service}
		for column, field := range r.fields() {
			*field = d.value(Key{Rows, name, column})
		}
		wire.Rows = append(wire.Rows, r)
	}
	data, err := yaml.Marshal(wire)
	if err != nil {
		return gd.Internal.Wrapf(err, "encode table")
	}
	if _, err := w.Write(data); err != nil {
		return gd.Unavailable.Wrapf(err, "write")
	}
	return nil
}

// Check checks the document as a complete table.
func (d Document) Check(file string) error {
	var t Table
	changes := d.Changes(Document{}, false)
	if len(changes) == 0 {
		return nil
	}
	t, err := t.WithEdit(Edit{ID: "check", Changes: changes})
	if err == nil {
		_, err = t.Policy()
	}
	if err != nil {
		return gd.Invalid.Errorf("%s: %s", file, gd.Message(err))
	}
	return nil
}

// Changes returns the changes that turn current into d: they set the cells that
// differ and, if prune is set, remove the rows that the sheets of d lack. The
// changes are based on the version of d, or on that of current if d has none.
func (d Document) Changes(current Document, prune bool) []Change {
	read := d.Version
	if read == 0 {
		read = current.Version
	}
	var changes []Change
	for _, e := range d.Entries {
		if current.value(e.Key) != e.Value {
			changes = append(changes, Change{Key: e.Key, Value: e.Value, ReadVersion: read})
		}
	}
	if !prune {
		return changes
	}
	for _, s := range d.Sheets {
		kept := d.rows(s)
		for _, row := range current.rows(s) {
			if !slices.Contains(kept, row) {
				changes = append(changes, Change{Key: Key{s, row, ""}, Remove: true, ReadVersion: read})
			}
		}
	}
	return changes
}

// Document returns t as a document for export.
func (t Table) Document() Document {
	d := Document{Version: t.version, Sheets: []Sheet{Services, Callers, Rows}}
	for _, k := range t.Keys() {
		c, _ := t.Cell(k)
		d.Entries = append(d.Entries, Entry{k, c.Value})
	}
	return d
}
