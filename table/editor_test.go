package table

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
)

// weightEdit returns an edit that sets the weight of caller at service s.
func weightEdit(id, caller, value string, read uint64) Edit {
	return Edit{ID: id, Author: id, Changes: []Change{{Key: RowKey(caller, "s", "weight"), Value: value, ReadVersion: read}}}
}

// newTable returns a store and an editor that has committed the sample table.
func newTable(t *testing.T) (*object.Memory, *Editor) {
	t.Helper()
	m := object.NewMemory()
	e := NewEditor(m)
	if _, err := e.Commit(context.Background(), sample()); err != nil {
		t.Fatal(err)
	}
	return m, e
}

func TestCommitWithLostResponseIsConfirmed(t *testing.T) {
	// The first writes take effect, but their responses are lost: that of the
	// chunk's write, then that of the head's.
	for lost := 1; lost <= 3; lost++ {
		is := is.New(t)
		m, e := newTable(t)
		m.SetFaults(object.Faults{LostResponses: lost})
		r, err := e.Commit(context.Background(), weightEdit("x", "a", "5", 1))
		is.NoErr(err)
		is.Equal(r.Version, uint64(2))
		m.SetFaults(object.Faults{})
		again, err := e.Commit(context.Background(), weightEdit("x", "a", "5", 1))
		is.NoErr(err)
		is.Equal(again, Receipt{Version: 2, Repeat: true})
		tab, _, err := e.Load(context.Background())
		is.NoErr(err)
		is.Equal(tab.Version(), uint64(2)) // the edit was applied only once
	}
}

func TestUnconfirmedCommitIsUnknown(t *testing.T) {
	is := is.New(t)
	m, e := newTable(t)
	m.SetFaults(object.Faults{LostResponses: 1000})
	_, err := e.Commit(context.Background(), weightEdit("x", "a", "5", 1))
	if err != nil {
		is.True(gd.Unknown.Is(err))
		is.True(strings.Contains(err.Error(), "x"))
	}
	m.SetFaults(object.Faults{Outage: true})
	_, err = e.Commit(context.Background(), weightEdit("y", "a", "6", 1))
	is.True(gd.Unavailable.Is(err)) // nothing was written, so the outcome is known
}

// racingStore calls beforeWrite once, just before the next write of the head.
type racingStore struct {
	gd.Store
	beforeWrite func()
}

func (r *racingStore) Put(ctx context.Context, key string, value []byte, rev gd.Revision) (gd.Object, error) {
	if hook := r.beforeWrite; key == HeadKey && hook != nil {
		r.beforeWrite = nil
		hook()
	}
	return r.Store.Put(ctx, key, value, rev)
}

func TestConcurrentEdits(t *testing.T) {
	for name, c := range map[string]struct {
		rival    Edit
		conflict bool
	}{
		"same cell":  {weightEdit("rival", "a", "8", 1), true},
		"same value": {weightEdit("rival", "a", "5", 1), false},
		"other cell": {weightEdit("rival", "b", "8", 1), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, e := newTable(t)
			store := &racingStore{Store: m, beforeWrite: func() {
				_, err := e.Commit(context.Background(), c.rival)
				is.NoErr(err)
			}}
			_, err := NewEditor(store).Commit(context.Background(), weightEdit("x", "a", "5", 1))
			is.Equal(gd.Conflict.Is(err), c.conflict)
			tab, head, err := e.Load(context.Background())
			is.NoErr(err)
			cell, _ := tab.Cell(RowKey("a", "s", "weight"))
			if c.conflict {
				is.Equal(cell.Value, "8") // the rival committed first
				is.Equal(len(head.History), 2)
				return
			}
			is.Equal(cell.Value, "5")
			is.Equal(len(head.History), 3)
		})
	}
}

func TestOversizedChunkIsRejected(t *testing.T) {
	is := is.New(t)
	_, e := newTable(t)
	big := Edit{ID: "big", Author: "op"}
	value := strings.TrimSpace(strings.Repeat("GET ", 1000))
	for i := range 300 {
		name := fmt.Sprintf("c%d", i)
		big.Changes = append(big.Changes,
			Change{Key: Key{Callers, name, "token-sha256"}, Value: tokenHash(100 + i), ReadVersion: 1},
			Change{Key: RowKey(name, "s", "idempotent-methods"), Value: value, ReadVersion: 1})
	}
	_, err := e.Commit(context.Background(), big)
	is.True(gd.TooLarge.Is(err))
	is.True(strings.Contains(err.Error(), "chunk s"))
	tab, _, err := e.Load(context.Background())
	is.NoErr(err)
	is.Equal(tab.Version(), uint64(1)) // the edit was not committed
	big.ID, big.Changes = "smaller", big.Changes[:200]
	_, err = e.Commit(context.Background(), big)
	is.NoErr(err)
}

func TestReplacedChunksAreDeleted(t *testing.T) {
	is := is.New(t)
	m, e := newTable(t)
	for i := range 3 * retainedVersions {
		_, err := e.Commit(context.Background(), weightEdit(fmt.Sprint("e", i), "a", fmt.Sprint(i%7+1), 1000))
		is.NoErr(err)
	}
	objects, err := m.List(context.Background(), chunkPrefix)
	is.NoErr(err)
	is.True(len(objects) <= retainedVersions+6) // 3 current chunks, the retained ones and those of the last commit
	_, head, err := e.Load(context.Background())
	is.NoErr(err)
	is.True(len(head.Retired) <= retainedVersions+2)
}
