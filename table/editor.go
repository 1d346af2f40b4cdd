package table

import (
	"context"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// Keys of the objects in the platform's store.
const (
	HeadKey     = "table/head"
	chunkPrefix = "table/chunk/"
)

const (
	maxCommitAttempts = 8
	retainedVersions  = 16 // versions for which a replaced chunk stays readable
	// restoreGap is the number of versions that Restore leaves out, as a node out of reach
	// may have later lost versions in force than the one that restores.
	restoreGap = 16
)

// Editor commits edits of the table to the platform's store.
type Editor struct {
	store gd.Store
}

// NewEditor returns an editor of the table in store.
func NewEditor(store gd.Store) *Editor { return &Editor{store: store} }

// Receipt describes a committed edit.
type Receipt struct {
	Version uint64
	At      clock.Time
	Repeat  bool // the edit had already been committed by an earlier attempt
}

// storedTable is the table as read from the store. The revision is that of the
// head's object.
type storedTable struct {
	head     Head
	revision gd.Revision
	table    Table
	chunks   Chunks
}

// Load returns the current table and its head. If the store holds no table,
// Load returns the empty table.
func (e *Editor) Load(ctx context.Context) (Table, Head, error) {
	stored, err := e.load(ctx)
	return stored.table, stored.head, err
}

func (e *Editor) load(ctx context.Context) (storedTable, error) {
	var err error
	for range maxCommitAttempts {
		var stored storedTable
		stored, err = e.loadOnce(ctx)
		// A missing chunk was deleted by a concurrent edit after the head was
		// read.
		if !gd.NotFound.Is(err) {
			return stored, err
		}
	}
	return storedTable{}, err
}

func (e *Editor) loadOnce(ctx context.Context) (storedTable, error) {
	o, err := e.store.Get(ctx, HeadKey)
	if gd.NotFound.Is(err) {
		return storedTable{}, nil
	}
	if err != nil {
		return storedTable{}, err
	}
	head, err := DecodeHead(o.Value)
	if err != nil {
		return storedTable{}, err
	}
	chunks, err := Fetch(ctx, e.store, head, nil)
	if err != nil {
		return storedTable{}, err
	}
	t, err := Assemble(head, chunks)
	return storedTable{head, o.Revision, t, chunks}, err
}

// Fetch returns the chunks that head refers to. It takes them from have where
// possible and reads the others from store.
func Fetch(ctx context.Context, store gd.Store, head Head, have Chunks) (Chunks, error) {
	chunks := Chunks{}
	for _, r := range head.Refs {
		if data, ok := have[r.Hash]; ok {
			chunks[r.Hash] = data
			continue
		}
		o, err := store.Get(ctx, r.Key)
		if err != nil {
			return nil, err
		}
		chunks[r.Hash] = o.Value
	}
	return chunks, nil
}

// Commit merges edit into the current table and commits the result. If the
// store's response is lost, Commit reads the head again, whose history lists
// the IDs of committed edits. An error of kind Unknown means that the edit may
// or may not have been committed; it is safe to repeat it with the same ID.
func (e *Editor) Commit(ctx context.Context, edit Edit) (Receipt, error) {
	outcomeUnknown := false
	for range maxCommitAttempts {
		stored, err := e.load(ctx)
		if err != nil {
			return Receipt{}, withUnknownOutcome(err, outcomeUnknown, edit.ID)
		}
		if r, ok := stored.head.record(edit.ID); ok {
			return Receipt{r.Version, r.At, true}, nil
		}
		if stored.head.Version < edit.InForceVersion {
			return Receipt{}, gd.Conflict.Errorf("the platform holds table version %d, older than version %d in force; recover it with the command table restore", stored.head.Version, edit.InForceVersion)
		}
		err = e.commitOnce(ctx, stored, edit)
		switch {
		case err == nil:
			return Receipt{stored.head.Version + 1, edit.At, false}, nil
		case gd.Unavailable.Is(err):
			outcomeUnknown = true
		case !isHeadChanged(err):
			return Receipt{}, err
		}
	}
	return Receipt{}, withUnknownOutcome(gd.Unavailable.Errorf("gave up after %d attempts", maxCommitAttempts), outcomeUnknown, edit.ID)
}

// withUnknownOutcome turns err into an error of kind Unknown if an earlier
// attempt may have committed the edit.
func withUnknownOutcome(err error, outcomeUnknown bool, id string) error {
	if !outcomeUnknown {
		return err
	}
	return gd.Unknown.Wrapf(err, "the outcome of edit %s is unknown; repeat it with the same request id", id)
}

// errHeadChanged reports that another editor replaced the head after it was
// read. The commit can be tried again on the new head.
var errHeadChanged = gd.Conflict.Errorf("another edit was committed first")

func isHeadChanged(err error) bool { return err == errHeadChanged }

func (e *Editor) commitOnce(ctx context.Context, stored storedTable, edit Edit) error {
	next, err := stored.table.WithEdit(edit)
	if err != nil {
		return err
	}
	if _, err := next.Policy(); err != nil {
		return err
	}
	head, err := e.writeChunks(ctx, stored, next, edit.ID)
	if err != nil {
		return err
	}
	head = head.withRecord(edit)
	head.Retired = e.retireChunks(ctx, stored.head, head)
	data, err := EncodeHead(head)
	if err != nil {
		return err
	}
	_, err = e.store.Put(ctx, HeadKey, data, stored.revision)
	if gd.Conflict.Is(err) {
		return errHeadChanged
	}
	return err
}

// Restore commits t again, as a later version, after the platform lost it. It fails with a
// Conflict unless the platform holds an older version than t.
func (e *Editor) Restore(ctx context.Context, t Table, edit Edit) (Receipt, error) {
	stored, err := e.load(ctx)
	if err != nil {
		return Receipt{}, err
	}
	if stored.head.Version >= t.version {
		return Receipt{}, gd.Conflict.Errorf("the platform holds table version %d, which is not older than version %d in force on this node", stored.head.Version, t.version)
	}
	next := Table{version: t.version + restoreGap + 1, chunks: t.chunks}
	head, err := e.writeChunks(ctx, stored, next, edit.ID)
	if err != nil {
		return Receipt{}, err
	}
	data, err := EncodeHead(head.withRecord(edit))
	if err != nil {
		return Receipt{}, err
	}
	_, err = e.store.Put(ctx, HeadKey, data, stored.revision)
	return Receipt{next.version, edit.At, false}, err
}

// writeChunks writes the chunks of next that stored lacks and returns the new
// head. The keys contain the edit's ID, so that no two edits share an object
// and deleting a chunk of one edit cannot remove that of another.
func (e *Editor) writeChunks(ctx context.Context, stored storedTable, next Table, id string) (Head, error) {
	refs, chunks, err := next.Encode()
	if err != nil {
		return Head{}, err
	}
	for i, r := range refs {
		if old, ok := stored.head.Ref(r.Name); ok && old.Hash == r.Hash {
			refs[i].Key = old.Key
			continue
		}
		refs[i].Key = chunkPrefix + r.Name + "/" + r.Hash.String() + "-" + id
		_, err := e.store.Put(ctx, refs[i].Key, chunks[r.Hash], gd.Revision{})
		// A Conflict means that the object exists. The key contains the hash
		// and the edit's ID, so an earlier attempt wrote the same content.
		if err != nil && !gd.Conflict.Is(err) {
			return Head{}, err
		}
	}
	return Head{Version: next.version, Refs: refs, History: stored.head.History}, nil
}

// retireChunks deletes the chunks that were replaced at least retainedVersions
// ago and returns the list of the other replaced chunks. A chunk that could not
// be deleted stays on the list.
func (e *Editor) retireChunks(ctx context.Context, old, next Head) []retiredChunk {
	var list []retiredChunk
	for _, r := range old.Retired {
		if r.Version+retainedVersions > old.Version || !e.deleteChunk(ctx, r.Key) {
			list = append(list, r)
		}
	}
	for _, r := range old.Refs {
		if now, ok := next.Ref(r.Name); !ok || now.Key != r.Key {
			list = append(list, retiredChunk{r.Key, next.Version})
		}
	}
	return list
}

// deleteChunk reports whether the object no longer exists.
func (e *Editor) deleteChunk(ctx context.Context, key string) bool {
	o, err := e.store.Get(ctx, key)
	if err == nil {
		err = e.store.Delete(ctx, key, o.Revision)
	}
	return err == nil || gd.NotFound.Is(err)
}
