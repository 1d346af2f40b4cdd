package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/table"
)

// storedTable returns the table in the store and its version, 0 if there is none.
func (x *testFleet) storedTable(store gd.Store) (table.Table, uint64) {
	stored, head, err := table.NewEditor(store).Load(x.ctx)
	if err != nil {
		return table.Table{}, 0
	}
	return stored, head.Version
}

func TestConfirmedEditIsLostAfterStoreWasRestored(t *testing.T) {
	m := object.NewMemory()
	stand := catalogue.New(0, 0, 1)
	server := httptest.NewServer(platform.NewStoreHandler(stand))
	client := platform.NewStore(server.URL, &http.Transport{})
	t.Cleanup(func() { client.Close(); server.Close(); stand.Close() })
	for name, c := range map[string]struct {
		store      gd.Store
		checkpoint func()
		rewind     func()
	}{
		"older copy":           {m, m.Checkpoint, m.Rewind},
		"older copy, platform": {object.NewCatalogueStore(client), stand.Checkpoint, stand.Rewind},
		"copy without a table": {object.NewMemory(), nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory, ok := c.store.(*object.Memory)
			if !ok {
				memory = object.NewMemory()
			}
			x := newTestFleetOn(t, c.store, memory)
			x.startNodes(4, nil)
			if c.checkpoint != nil {
				c.checkpoint()
			} else {
				c.rewind = memory.Rewind
			}
			lost := x.edit("lost", demo.Set("app", "tags", "weight", "7"))
			c.rewind()
			x.await("the table is written again", func() bool { _, v := x.storedTable(c.store); return v > lost })
			_, version := x.storedTable(c.store)
			x.ok(x.AwaitVersion(x.ctx, version))
			x.edit("next", demo.Set("app", "tags", "rate-limit", "1000"))
			restored, _ := x.storedTable(c.store)
			cell, ok := restored.Cell(table.RowKey("app", "tags", "weight"))
			is.True(ok)
			is.Equal(cell.Value, "7")
		})
	}
}

func TestRepeatedKeyRunsTwiceAfterStoreWasRestored(t *testing.T) {
	is := is.New(t)
	x := startTestFleet(t, 3, nil, demo.Set("app", "tags", "deduplication", "platform"))
	x.memory.Checkpoint()
	const key = "die-1"
	keyed := func(attempt int) result {
		req := x.request(x.Nodes[attempt%3], http.MethodPost, fmt.Sprint(key, "-", attempt), strings.NewReader("order"))
		req.Header.Set("Idempotency-Key", key)
		return x.do(x.Nodes[attempt%3], req)
	}
	is.Equal(keyed(0).status, http.StatusOK)
	claims := func() int {
		objects, err := x.memory.List(x.ctx, "claims/")
		is.NoErr(err)
		return len(objects)
	}
	is.Equal(claims(), 1)
	x.memory.Rewind()
	is.Equal(claims(), 0)
	x.await("the claim is written again", func() bool { return claims() == 1 })
}
