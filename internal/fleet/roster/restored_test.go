package roster

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/server"
)

// newStore returns a stand-in for the platform's store and a client of it.
func newStore(t *testing.T) (*catalogue.Catalogue, *platform.Store) {
	c := catalogue.New(0, 0, 1)
	s := httptest.NewServer(platform.NewStoreHandler(c))
	client := platform.NewStore(s.URL, &http.Transport{})
	t.Cleanup(func() { client.Close(); s.Close(); c.Close() })
	return c, client
}

// storeState returns the state of a node that uses the given store. Its Run does not run.
func storeState(store gd.Catalogue) *state {
	s := newState("own", nil)
	s.r = New(Config{
		Self: server.Record{Node: "own", Address: "own:1"}, Catalogue: store, PolicyKind: "config", PolicyName: "main", ServerKind: "servers",
		Decode: decodeVersion, Clock: &clock.Fake{}, Log: hclog.NewNullLogger(), Seed: 1,
	})
	return s
}

// writePolicy writes a policy of the given version.
func writePolicy(t *testing.T, c *catalogue.Catalogue, version uint64) {
	_, err := c.Put(context.Background(), "operator", "config", "main", []byte(strconv.FormatUint(version, 10)), nil, 0, true)
	is.New(t).NoErr(err)
}

// poll polls the policy as followPolicy does.
func (s *state) poll(cursor *policyCursor) {
	if err := s.r.pollPolicy(context.Background(), cursor); gd.Expired.Is(err) {
		cursor.listed = false
	}
	s.applyQueued()
	s.publishSnapshot()
}

func TestChangeIsMissedAfterStoreWasRestored(t *testing.T) {
	for name, between := range map[string]func(*state, *policyCursor){
		"change before the next poll": func(*state, *policyCursor) {},
		"polls before the change":     func(s *state, cursor *policyCursor) { s.poll(cursor); s.poll(cursor) },
		"policy of another node before the change": func(s *state, cursor *policyCursor) {
			s.poll(cursor)
			s.poll(cursor)
			s.receive(Message{Node: "peer", Version: 4, Policy: compress([]byte("4")), Revision: 4, RevisionEra: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, store := newStore(t)
			s := storeState(store)
			var cursor policyCursor
			writePolicy(t, c, 1)
			c.Checkpoint()
			writePolicy(t, c, 2)
			writePolicy(t, c, 3)
			s.poll(&cursor)
			is.Equal(s.version(), uint64(3))
			c.Rewind()
			between(s, &cursor)
			writePolicy(t, c, 5)
			for _, node := range []string{"a", "b"} { // the store reaches the revision of version 3 again
				_, err := c.Put(context.Background(), node, "servers", node, []byte("{}"), nil, 0, false)
				is.NoErr(err)
			}
			s.poll(&cursor)
			s.poll(&cursor)
			is.Equal(s.version(), uint64(5))
		})
	}
}
