package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/table"
)

// storedVersion returns the version of the table in the store, 0 if there is none.
func (x *testFleet) storedVersion() uint64 {
	_, head, err := table.NewEditor(x.memory).Load(x.ctx)
	if err != nil {
		return 0
	}
	return head.Version
}

func TestConfirmedEditIsLostAfterStoreWasRestored(t *testing.T) {
	for name, isEmpty := range map[string]bool{"older copy": false, "copy without a table": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := startTestFleet(t, 4, nil)
			if !isEmpty {
				x.memory.Checkpoint()
			}
			lost := x.edit("lost", demo.Set("app", "tags", "weight", "7"))
			x.memory.SetFaults(object.Faults{Outage: true})
			x.memory.Rewind()
			x.memory.SetFaults(object.Faults{})
			is.True(x.storedVersion() < lost)
			x.await("the table is written again", func() bool { return x.storedVersion() > lost })
			x.ok(x.AwaitVersion(x.ctx, x.storedVersion()))
			x.edit("next", demo.Set("app", "tags", "rate-limit", "1000"))
			restored, _, err := table.NewEditor(x.memory).Load(x.ctx)
			is.NoErr(err)
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
