package table

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

// tokenHash returns a valid token hash that differs for each n.
func tokenHash(n int) string { return fmt.Sprintf("%064x", n+1) }

// sample returns an edit that creates a valid table with the callers a and b and
// the services s and u.
func sample() Edit {
	return Edit{ID: "first", Author: "op", Changes: []Change{
		{Key: Key{Services, "s", "routes"}, Value: "/s"},
		{Key: Key{Services, "u", "routes"}, Value: "/u"},
		{Key: Key{Callers, "a", "token-sha256"}, Value: tokenHash(1)},
		{Key: Key{Callers, "b", "token-sha256"}, Value: tokenHash(2)},
		{Key: RowKey("a", "s", "weight"), Value: "1"},
		{Key: RowKey("b", "s", "weight"), Value: "2"},
	}}
}

// model is a reference implementation of the table: the log of all changes that
// were committed.
type model struct {
	version uint64
	log     []write
}

// write is a committed change.
type write struct {
	version uint64
	change  Change
}

// last returns the latest write of the cell at k or removal of its row.
func (m *model) last(k Key) (write, bool) {
	for i := len(m.log) - 1; i >= 0; i-- {
		w := m.log[i]
		if w.change.Key == k || w.change.Remove && w.change.Key.Sheet == k.Sheet && w.change.Key.Row == k.Row {
			return w, true
		}
	}
	return write{}, false
}

func (m *model) value(k Key) (string, bool) {
	w, ok := m.last(k)
	return w.change.Value, ok && !w.change.Remove
}

// accepts reports whether e has no conflict and removes existing rows only. A
// change of a cell conflicts with a later write of another value to the cell and
// with a later removal of its row. A removal conflicts with a later write of a
// cell of the row.
func (m *model) accepts(e Edit) bool {
	for _, c := range e.Changes {
		if c.Remove && !m.hasRow(c.Key) {
			return false
		}
		for _, w := range m.log {
			sameRow := w.change.Key.Sheet == c.Key.Sheet && w.change.Key.Row == c.Key.Row
			if w.version <= c.ReadVersion || !sameRow {
				continue
			}
			newest, _ := m.last(w.change.Key)
			current := newest.version == w.version
			switch {
			case c.Remove && !w.change.Remove && current:
				return false
			case !c.Remove && w.change.Remove:
				return false
			case !c.Remove && w.change.Key == c.Key && current && w.change.Value != c.Value:
				return false
			}
		}
	}
	return true
}

func (m *model) hasRow(row Key) bool {
	for i := len(m.log) - 1; i >= 0; i-- {
		if k := m.log[i].change.Key; k.Sheet == row.Sheet && k.Row == row.Row {
			return !m.log[i].change.Remove
		}
	}
	return false
}

func (m *model) apply(e Edit) {
	m.version++
	for _, c := range e.Changes {
		if v, ok := m.value(c.Key); ok && v == c.Value && !c.Remove {
			continue // a cell whose value does not change keeps its version
		}
		m.log = append(m.log, write{m.version, c})
	}
}

// TestMergeMatchesModel applies random edits, based on current and older
// versions, to a table and to the model.
func TestMergeMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab Table
		var m model
		for i := range rapid.IntRange(1, 30).Draw(t, "edits") {
			e := drawEdit(t, i, tab.Version())
			next, err := tab.WithEdit(e)
			if accepted := err == nil; accepted != m.accepts(e) {
				t.Fatalf("edit %+v: WithEdit returned error %v, model accepts the edit: %v", e, err, m.accepts(e))
			}
			if err != nil {
				if !gd.Conflict.Is(err) && !strings.Contains(err.Error(), "no such row") {
					t.Fatalf("error %v is neither a Conflict nor about a missing row", err)
				}
				continue
			}
			tab = next
			m.apply(e)
			compare(t, tab, &m)
		}
	})
}

// drawEdit returns a random edit of at most two rows.
func drawEdit(t *rapid.T, i int, version uint64) Edit {
	e := Edit{ID: fmt.Sprint(i), Author: "op"}
	for range rapid.IntRange(1, 2).Draw(t, "changes") {
		column := rapid.SampledFrom([]string{"weight", "rate-limit"}).Draw(t, "column")
		c := Change{
			Key:         RowKey(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), "s", column),
			Value:       fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "value")),
			ReadVersion: version - min(version, uint64(rapid.IntRange(0, 4).Draw(t, "age"))),
		}
		if rapid.IntRange(0, 7).Draw(t, "remove") == 0 {
			c = Change{Key: Key{c.Key.Sheet, c.Key.Row, ""}, Remove: true, ReadVersion: c.ReadVersion}
		}
		if len(e.Changes) == 0 || e.Changes[0].Key.Row != c.Key.Row {
			e.Changes = append(e.Changes, c)
		}
	}
	return e
}

func compare(t *rapid.T, tab Table, m *model) {
	for _, caller := range []string{"a", "b"} {
		for _, column := range []string{"weight", "rate-limit"} {
			k := RowKey(caller, "s", column)
			c, ok := tab.Cell(k)
			value, there := m.value(k)
			if ok != there || ok && c.Value != value {
				t.Fatalf("%s: table has %q (set: %v), model has %q (set: %v)", k, c.Value, ok, value, there)
			}
		}
	}
}

func TestConflictNamesEarlierEdit(t *testing.T) {
	is := is.New(t)
	tab, err := Table{}.WithEdit(sample())
	is.NoErr(err)
	tab, err = tab.WithEdit(Edit{ID: "2", Author: "ayse", Changes: []Change{{Key: RowKey("a", "s", "weight"), Value: "7", ReadVersion: 1}}})
	is.NoErr(err)
	_, err = tab.WithEdit(Edit{ID: "3", Author: "jan", Changes: []Change{{Key: RowKey("a", "s", "weight"), Value: "9", ReadVersion: 1}}})
	is.True(gd.Conflict.Is(err))
	for _, part := range []string{"row a/s", "column weight", `"7"`, "ayse", "version 2"} {
		is.True(strings.Contains(err.Error(), part))
	}
	_, err = tab.WithEdit(Edit{ID: "4", Author: "jan", Changes: []Change{{Key: RowKey("a", "s", "rate-limit"), Value: "9", ReadVersion: 1}}})
	is.NoErr(err) // a change of another cell in the row is merged
}

func TestInvalidTablesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		change Change
		text   string
	}{
		"unknown service":    {Change{Key: RowKey("a", "nowhere", "weight"), Value: "1"}, "unknown service nowhere"},
		"unknown caller":     {Change{Key: RowKey("nobody", "s", "weight"), Value: "1"}, "unknown caller nobody"},
		"weight zero":        {Change{Key: RowKey("a", "s", "weight"), Value: "0"}, "column weight: 0 is not in the range 1 to"},
		"weight text":        {Change{Key: RowKey("a", "s", "weight"), Value: "much"}, `"much" is not a whole number`},
		"unknown column":     {Change{Key: RowKey("a", "s", "urgency"), Value: "1"}, "no such column"},
		"limits contradict":  {Change{Key: RowKey("a", "s", "rate-limit"), Value: "1"}, "column queue-limit"},
		"duplicate route":    {Change{Key: Key{Services, "u", "routes"}, Value: "/s"}, "also a route of service s"},
		"route without root": {Change{Key: Key{Services, "u", "routes"}, Value: "s"}, "does not begin with /"},
		"duplicate token":    {Change{Key: Key{Callers, "b", "token-sha256"}, Value: tokenHash(1)}, "also that of caller a"},
		"row name":           {Change{Key: Key{Rows, "a", "weight"}, Value: "1"}, "does not have the form caller/service"},
		"timeout":            {Change{Key: RowKey("a", "s", "timeout"), Value: "10"}, "is not a duration"},
		"level":              {Change{Key: RowKey("a", "s", "deduplication"), Value: "maybe"}, "is neither none nor platform"},
		"service with rows":  {Change{Key: Key{Services, "s", ""}, Remove: true}, "unknown service s"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab, err := Table{}.WithEdit(sample())
			is.NoErr(err)
			c.change.ReadVersion = 1
			next, err := tab.WithEdit(Edit{ID: "x", Changes: []Change{c.change}})
			if err == nil {
				_, err = next.Policy()
			}
			is.True(gd.Invalid.Is(err))
			is.True(strings.Contains(gd.Message(err), c.text))
		})
	}
}

func TestRouteSelectsLongestPrefix(t *testing.T) {
	is := is.New(t)
	e := sample()
	e.Changes[1].Value = "/s/special /u"
	tab, err := Table{}.WithEdit(e)
	is.NoErr(err)
	p, err := tab.Policy()
	is.NoErr(err)
	for path, want := range map[string]string{"/s": "s", "/s/1": "s", "/s/special/1": "u", "/u": "u", "/specials": "", "/sx": ""} {
		s, ok := p.Route(path)
		is.Equal(ok, want != "")
		if ok {
			is.Equal(s.Name, want)
		}
	}
}

func TestAssembleRequiresMatchingChunks(t *testing.T) {
	is := is.New(t)
	tab, err := Table{}.WithEdit(sample())
	is.NoErr(err)
	refs, chunks, err := tab.Encode()
	is.NoErr(err)
	h := Head{Version: 1, Refs: refs}
	got, err := Assemble(h, chunks)
	is.NoErr(err)
	is.Equal(got.Document(), tab.Document())
	other, err := tab.WithEdit(Edit{ID: "other", Changes: []Change{
		{Key: RowKey("a", "s", "weight"), Value: "9", ReadVersion: 1},
		{Key: Key{Services, "u", "routes"}, Value: "/v", ReadVersion: 1},
		{Key: Key{Callers, "b", "token-sha256"}, Value: tokenHash(9), ReadVersion: 1},
	}})
	is.NoErr(err)
	otherRefs, otherChunks, err := other.Encode()
	is.NoErr(err)
	for i, r := range refs {
		original := chunks[r.Hash]
		chunks[r.Hash] = otherChunks[otherRefs[i].Hash]
		_, err = Assemble(h, chunks)
		is.True(gd.Invalid.Is(err)) // a valid chunk, but its hash differs
		delete(chunks, r.Hash)
		_, err = Assemble(h, chunks)
		is.True(gd.NotFound.Is(err)) // the chunk is missing
		chunks[r.Hash] = original
	}
}

func TestDocumentRoundTrip(t *testing.T) {
	is := is.New(t)
	tab, err := Table{}.WithEdit(sample())
	is.NoErr(err)
	d := tab.Document()
	var out bytes.Buffer
	is.NoErr(d.WriteYAML(&out))
	back, err := ReadYAML(out.Bytes(), "t.yaml")
	is.NoErr(err)
	is.Equal(back.Version, uint64(1))
	is.Equal(len(back.Changes(d, true)), 0)
	is.NoErr(back.Check("t.yaml"))
	for _, s := range d.Sheets {
		out.Reset()
		is.NoErr(d.WriteCSV(&out, s))
		back, err = ReadCSV(&out, "t.csv", s)
		is.NoErr(err)
		is.Equal(back.Version, uint64(1))
		is.Equal(len(back.Changes(d, true)), 0)
	}
}

func TestFileErrorsNameThePosition(t *testing.T) {
	for name, c := range map[string]struct{ csv, yaml, text string }{
		"csv value":      {csv: "caller,service,weight\na,s,1\nb,s,none\n", text: `t.csv: line 3: sheet rows, row b/s, column weight: "none" is not`},
		"csv column":     {csv: "caller,service,wieght\n", text: `t.csv: column "wieght"`},
		"csv no caller":  {csv: "service,weight\n", text: `column "caller" is missing`},
		"csv twice":      {csv: "caller,service,weight\na,s,1\na,s,2\n", text: "line 3: sheet rows, row a/s, column weight: set twice"},
		"csv empty":      {csv: "", text: "the header line is missing"},
		"csv short line": {csv: "caller,service,weight\na,s\n", text: "t.csv: record on line 2"},
		"yaml key":       {yaml: "rows:\n- caller: a\n  service: s\n  wieght: 1\n", text: "[4:3]"},
		"yaml value":     {yaml: "rows:\n- caller: a\n  service: s\n  weight: 0\n", text: "t.yaml: sheet rows, row a/s, column weight: 0 is not in the range"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var err error
			if c.yaml != "" {
				_, err = ReadYAML([]byte(c.yaml), "t.yaml")
			} else {
				_, err = ReadCSV(strings.NewReader(c.csv), "t.csv", Rows)
			}
			is.True(gd.Invalid.Is(err))
			if !strings.Contains(gd.Message(err), c.text) {
				t.Fatalf("error %q does not contain %q", gd.Message(err), c.text)
			}
		})
	}
}

const (
	validYAML     = "services:\n- service: s\n  routes: /s\nrows:\n- caller: a\n  service: s\n  weight: 1\n  timeout: 10s\n"
	validCSV      = "# version: 3\ncaller,service,weight,timeout\na,s,1,10s\nb,s,2,\n"
	corruptCopies = 2000
)

// readYAML reads and checks arbitrary data.
func readYAML(_ testing.TB, data []byte) {
	if d, err := ReadYAML(data, "f"); err == nil {
		d.Check("f")
	}
}

// readCSV reads arbitrary data and checks that each entry becomes a change.
func readCSV(t testing.TB, data []byte) {
	if d, err := ReadCSV(bytes.NewReader(data), "f", Rows); err == nil && len(d.Changes(Document{}, true)) != len(d.Entries) {
		t.Fatal("the number of changes differs from the number of entries")
	}
}

// decodeHead decodes and assembles arbitrary data.
func decodeHead(_ testing.TB, head, chunk []byte) {
	h, err := DecodeHead(head)
	if err != nil {
		return
	}
	if tab, err := Assemble(h, Chunks{HashOf(chunk): chunk}); err == nil {
		tab.Policy()
	}
}

// TestCorruptInput checks that mutated input of any kind causes no panic.
func TestCorruptInput(t *testing.T) {
	for data := range mutate.Copies([]byte(validYAML), corruptCopies) {
		readYAML(t, data)
	}
	for data := range mutate.Copies([]byte(validCSV), corruptCopies) {
		readCSV(t, data)
	}
	head, chunk := validHead()
	for data := range mutate.Copies(head, corruptCopies) {
		decodeHead(t, data, chunk)
	}
	for data := range mutate.Copies(chunk, corruptCopies) {
		if ch, err := decodeChunk("s", data); err == nil {
			tab := Table{version: 1, chunks: map[string]cells{"s": ch}}
			tab.Policy()
		}
	}
}

// validHead returns an encoded head with one chunk, and the encoded chunk.
func validHead() (head, chunk []byte) {
	tab, _ := Table{}.WithEdit(sample())
	refs, chunks, _ := tab.Encode()
	head, _ = EncodeHead(Head{Version: 1, Refs: refs[:1]})
	return head, chunks[refs[0].Hash]
}

func FuzzReadYAML(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Fuzz(func(t *testing.T, data []byte) { readYAML(t, data) })
}

func FuzzReadCSV(f *testing.F) {
	f.Add([]byte(validCSV))
	f.Fuzz(func(t *testing.T, data []byte) { readCSV(t, data) })
}

func FuzzDecode(f *testing.F) {
	head, chunk := validHead()
	f.Add(head, chunk)
	f.Fuzz(func(t *testing.T, head, chunk []byte) { decodeHead(t, head, chunk) })
}

func ExampleTable_WithEdit() {
	var t Table
	t, err := t.WithEdit(Edit{ID: "1", Author: "ayse", Changes: []Change{
		{Key: Key{Services, "tags", "routes"}, Value: "/tags"},
		{Key: Key{Callers, "app", "token-sha256"}, Value: tokenHash(0)},
		{Key: RowKey("app", "tags", "weight"), Value: "3"},
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	p, err := t.Policy()
	fmt.Println(t.Version(), p.Services["tags"].Rows["app"].Weight, err)
	// Output: 1 3 <nil>
}

// TestReadCSVFromSpreadsheet reads a sheet as a spreadsheet program saves it:
// with a byte order mark, lines padded with empty cells, and CRLF line ends.
func TestReadCSVFromSpreadsheet(t *testing.T) {
	is := is.New(t)
	const saved = "\ufeff# version: 3,,,\r\ncaller,service,weight,timeout\r\na,s,1,10s\r\nb,s,2,\r\n"
	d, err := ReadCSV(strings.NewReader(saved), "sheet.csv", Rows)
	is.NoErr(err)
	plain, err := ReadCSV(strings.NewReader(validCSV), "sheet.csv", Rows)
	is.NoErr(err)
	is.Equal(d, plain)
	is.Equal(d.Version, uint64(3))
}
