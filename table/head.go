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
	maxHistory     = 200 // edits
	maxRecordCells = 10  // cells listed in a history record
)

// Hash is the content hash of a chunk, a truncated SHA-256.
type Hash [hashBytes]byte

// String returns h in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Ref refers to a chunk by its content hash and its key in the store.
type Ref struct {
	Name string `cbor:"1,keyasint"`
	Hash Hash   `cbor:"2,keyasint"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// Record describes a committed edit in the history.
type Record struct {
	ID      string     `cbor:"1,keyasint"`
	Author  string     `cbor:"2,keyasint"`
	At      clock.Time `cbor:"3,keyasint"`
	Version uint64     `cbor:"4,keyasint"`
	Cells   []string   `cbor:"5,keyasint"`
}

// Head lists the chunks of a table version. The head in the store determines the
// current version, so that writing it commits an edit.
type Head struct {
	Version uint64         `cbor:"1,keyasint"`
	Refs    []Ref          `cbor:"2,keyasint"`
	History []Record       `cbor:"3,keyasint,omitempty"`
	Retired []retiredChunk `cbor:"4,keyasint,omitempty"`
}

// retiredChunk is a replaced chunk. The table versions from Version on do not
// refer to it.
type retiredChunk struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// encodedCell is a cell in the encoded form of a chunk.
type encodedCell struct {
	_    struct{} `cbor:",toarray"`
	Key  Key
	Cell Cell
}

// encMode encodes deterministically, so that equal chunks have equal hashes.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // impossible: the options are constant
	}
	return mode
}

// WithoutHistory returns the head as it is sent to nodes: the version, and the
// chunks without their keys.
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

// record returns the history record of the edit with the given ID.
func (h Head) record(id string) (Record, bool) {
	for _, r := range h.History {
		if r.ID == id {
			return r, true
		}
	}
	return Record{}, false
}

// withRecord returns h with e appended to its history, which keeps the newest
// maxHistory records.
func (h Head) withRecord(e Edit) Head {
	r := Record{ID: e.ID, Author: e.Author, At: e.At, Version: h.Version, Cells: e.summary()}
	h.History = append(slices.Clone(h.History), r)
	if n := len(h.History) - maxHistory; n > 0 {
		h.History = h.History[n:]
	}
	return h
}

// summary returns the changes as text for the history. Only a restore has no
// changes.
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

// EncodeHead returns the encoded form of h.
func EncodeHead(h Head) ([]byte, error) {
	data, err := encMode.Marshal(h)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "encode table head")
	}
	return data, nil
}

// DecodeHead decodes a head and checks that its chunks are sorted by name.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Head{}, gd.Invalid.Wrapf(err, "decode table head")
	}
	if !slices.IsSortedFunc(h.Refs, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) }) {
		return Head{}, gd.Invalid.Errorf("decode table head: the chunks are not sorted by name")
	}
	return h, nil
}

// encode returns the encoded form of the chunk. Equal chunks have equal
// encodings.
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

// HashOf returns the content hash of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(sum[:hashBytes])
}

// decodeChunk decodes a chunk and checks that its cells belong to the chunk
// with the given name.
func decodeChunk(name string, data []byte) (cells, error) {
	var list []encodedCell
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, gd.Invalid.Wrapf(err, "decode chunk %s", name)
	}
	ch := make(cells, len(list))
	for _, c := range list {
		if c.Key.chunk() != name {
			return nil, gd.Invalid.Errorf("chunk %s contains a cell of another chunk: %s", name, c.Key)
		}
		ch[c.Key] = c.Cell
	}
	return ch, nil
}

// Chunks maps content hashes to encoded chunks.
type Chunks map[Hash][]byte

// Encode returns the chunks of t in encoded form and the references to them,
// sorted by name and without keys. It fails with TooLarge if a chunk exceeds
// the size limit of an object.
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

// Assemble returns the table that h describes. It fails with NotFound if a
// chunk is missing and with Invalid if the content of one does not match its
// hash.
func Assemble(h Head, chunks Chunks) (Table, error) {
	t := Table{version: h.Version, chunks: map[string]cells{}}
	for _, r := range h.Refs {
		data, ok := chunks[r.Hash]
		if !ok {
			return Table{}, gd.NotFound.Errorf("version %d: chunk %s (%s) is missing", h.Version, r.Name, r.Hash)
		}
		if HashOf(data) != r.Hash {
			return Table{}, gd.Invalid.Errorf("version %d: the content of chunk %s does not match hash %s", h.Version, r.Name, r.Hash)
		}
		ch, err := decodeChunk(r.Name, data)
		if err != nil {
			return Table{}, err
		}
		t.chunks[r.Name] = ch
	}
	return t, nil
}

// Missing returns the hashes of the chunks that h refers to and chunks lacks.
func Missing(h Head, chunks Chunks) []Hash {
	var missing []Hash
	for _, r := range h.Refs {
		if _, ok := chunks[r.Hash]; !ok {
			missing = append(missing, r.Hash)
		}
	}
	return missing
}
