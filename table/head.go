package table

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

const (
	hashBytes      = 16
	maxHistory     = 200
	maxRecordCells = 10
)

// Hash is the content address of a chunk.
type Hash [hashBytes]byte

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Ref names a chunk by content, and by its key in the store.
type Ref struct {
	Name string `cbor:"1,keyasint"`
	Hash Hash   `cbor:"2,keyasint"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// Record is an accepted edit in the history.
type Record struct {
	ID      string     `cbor:"1,keyasint"`
	Author  string     `cbor:"2,keyasint"`
	At      clock.Time `cbor:"3,keyasint"`
	Version uint64     `cbor:"4,keyasint"`
	Cells   []string   `cbor:"5,keyasint"`
}

// Head names the chunks of a version. It alone decides which version is
// current.
type Head struct {
	Version uint64         `cbor:"1,keyasint"`
	Refs    []Ref          `cbor:"2,keyasint"`
	History []Record       `cbor:"3,keyasint,omitempty"`
	Retired []retiredChunk `cbor:"4,keyasint,omitempty"`
}

// retired is a chunk object that no version from Version on refers to.
type retiredChunk struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

type encodedCell struct {
	_    struct{} `cbor:",toarray"`
	Key  Key
	Cell Cell
}

var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// WithoutHistory returns the head as nodes need it.
func (h Head) WithoutHistory() Head {
	refs := slices.Clone(h.Refs)
	for i := range refs {
		refs[i].Key = ""
	}
	return Head{Version: h.Version, Refs: refs}
}

// Ref returns the reference to the chunk with the given name.
func (h Head) Ref(name string) (Ref, bool) {
	for _, r := range h.Refs {
		if r.Name == name {
			return r, true
		}
	}
	return Ref{}, false
}

// record returns the history's entry for the edit with the given id.
func (h Head) record(id string) (Record, bool) {
	for _, r := range h.History {
		if r.ID == id {
			return r, true
		}
	}
	return Record{}, false
}

// withRecord returns h with e in its history, without the oldest entries.
func (h Head) withRecord(e Edit) Head {
	r := Record{ID: e.ID, Author: e.Author, At: e.At, Version: h.Version, Cells: e.summary()}
	h.History = append(slices.Clone(h.History), r)
	if n := len(h.History) - maxHistory; n > 0 {
		h.History = h.History[n:]
	}
	return h
}

func (e Edit) summary() []string {
	if len(e.Changes) == 0 {
		return []string{"restored from a node"}
	}
	var cells []string
	for i, c := range e.Changes {
		if i == maxRecordCells {
			return append(cells, "and more")
		}
		text := string(c.Key.Sheet) + "/" + c.Key.Row
		if c.Remove {
			cells = append(cells, text+" removed")
			continue
		}
		cells = append(cells, text+" "+c.Key.Column+"="+c.Value)
	}
	return cells
}

// EncodeHead returns the bytes of h.
func EncodeHead(h Head) ([]byte, error) {
	data, err := encMode.Marshal(h)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "encode head")
	}
	return data, nil
}

// DecodeHead reads the bytes of a head.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Head{}, gd.Invalid.Wrapf(err, "table head")
	}
	if !slices.IsSortedFunc(h.Refs, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) }) {
		return Head{}, gd.Invalid.Errorf("table head: chunks out of order")
	}
	return h, nil
}

// encode returns the bytes of the chunk; equal chunks have equal bytes.
func (ch cells) encode() ([]byte, error) {
	list := make([]encodedCell, 0, len(ch))
	for k, c := range ch {
		list = append(list, encodedCell{Key: k, Cell: c})
	}
	slices.SortFunc(list, func(a, b encodedCell) int { return compareKeys(a.Key, b.Key) })
	data, err := encMode.Marshal(list)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "encode chunk")
	}
	return data, nil
}

// HashOf returns the content address of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(sum[:hashBytes])
}

func decodeChunk(name string, data []byte) (cells, error) {
	var list []encodedCell
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, gd.Invalid.Wrapf(err, "chunk %s", name)
	}
	ch := make(cells, len(list))
	for _, c := range list {
		if c.Key.chunk() != name {
			return nil, gd.Invalid.Errorf("chunk %s holds %s", name, c.Key)
		}
		ch[c.Key] = c.Cell
	}
	return ch, nil
}

// Chunks are encoded chunks by content address.
type Chunks map[Hash][]byte

// Encode returns the references and bytes of the chunks of t.
func (t Table) Encode() ([]Ref, Chunks, error) {
	var refs []Ref
	chunks := Chunks{}
	for name, ch := range t.chunks {
		data, err := ch.encode()
		if err != nil {
			return nil, nil, err
		}
		if len(data) > gd.MaxObjectBytes {
			return nil, nil, gd.TooLarge.Errorf("chunk %s has %d bytes, the limit is %d", name, len(data), gd.MaxObjectBytes)
		}
		h := HashOf(data)
		refs = append(refs, Ref{Name: name, Hash: h})
		chunks[h] = data
	}
	slices.SortFunc(refs, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) })
	return refs, chunks, nil
}

// Assemble returns the table that h names. It fails unless every chunk is
// there with the content that its address promises.
func Assemble(h Head, chunks Chunks) (Table, error) {
	t := Table{version: h.Version, chunks: map[string]cells{}}
	for _, r := range h.Refs {
		data, ok := chunks[r.Hash]
		if !ok {
			return Table{}, gd.NotFound.Errorf("version %d: chunk %s (%s) is missing", h.Version, r.Name, r.Hash)
		}
		if HashOf(data) != r.Hash {
			return Table{}, gd.Invalid.Errorf("version %d: chunk %s has other content than %s", h.Version, r.Name, r.Hash)
		}
		ch, err := decodeChunk(r.Name, data)
		if err != nil {
			return Table{}, err
		}
		t.chunks[r.Name] = ch
	}
	return t, nil
}

// Missing returns the hashes that h names and chunks lacks.
func Missing(h Head, chunks Chunks) []Hash {
	var missing []Hash
	for _, r := range h.Refs {
		if _, ok := chunks[r.Hash]; !ok {
			missing = append(missing, r.Hash)
		}
	}
	return missing
}
