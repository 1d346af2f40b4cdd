package catalogue

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
)

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	c := New(0, 0, 1)
	s := httptest.NewServer(NewControl(c))
	defer s.Close()
	put := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, s.URL+FaultsPath, strings.NewReader(body))
		is.NoErr(err)
		res, err := s.Client().Do(req)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		return res.StatusCode
	}
	is.Equal(put(`{"outage": "busy"}`), http.StatusOK)
	_, err := c.Get(context.Background(), "caller", "kind", "name")
	is.True(gd.Unavailable.Is(err))
	is.Equal(put(`{"outage": "never"}`), http.StatusBadRequest)
	is.Equal(put(`{"outrage": "busy"}`), http.StatusBadRequest)
	is.Equal(put(`{"forget": true}`), http.StatusOK)
	_, err = c.Get(context.Background(), "caller", "kind", "name")
	is.True(gd.NotFound.Is(err))
	is.Equal(c.Counts().Reads, 2)
}

// TestSaveAndRestore checks that a catalogue restored from a file has the saved
// entries and continues with higher revisions.
func TestSaveAndRestore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := New(0, 0, 1)
	e, err := c.Put(ctx, "caller", "kind", "name", []byte(`"v"`), nil, 0, false)
	is.NoErr(err)
	var file bytes.Buffer
	is.NoErr(c.Save(&file))
	restored := New(0, 0, 1)
	is.NoErr(restored.Restore(&file))
	got, err := restored.Get(ctx, "caller", "kind", "name")
	is.NoErr(err)
	is.Equal(string(got.Value), `"v"`)
	is.Equal(got.Revision, e.Revision)
	next, err := restored.Put(ctx, "caller", "kind", "other", []byte(`"w"`), nil, 0, false)
	is.NoErr(err)
	is.True(next.Revision.After(e.Revision))
	_, _, err = restored.Watch(ctx, "caller", "kind", 1, 0)
	is.True(gd.Expired.Is(err)) // the history was not saved
	is.True(restored.Restore(strings.NewReader("{")) != nil)
}
