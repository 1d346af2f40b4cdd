package roster

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

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

// startWith starts a roster that uses the given store and stops it at the end of the test.
func startWith(t *testing.T, node string, store gd.Catalogue, x Exchanger) *Roster {
	r := New(Config{
		Self:      server.Record{Node: node, Address: node + ":1", Service: "shop", Incarnation: 5},
		Catalogue: store, PolicyKind: "config", PolicyName: "main", ServerKind: "servers",
		Decode: decodeVersion, Exchanger: x, Clock: clock.System{}, Log: hclog.NewNullLogger(), Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// storedSlots returns the number of slots in a node's entry, 0 if there is none.
func storedSlots(c *catalogue.Catalogue, node string) int {
	e, err := c.Get(context.Background(), "test", "servers", node)
	if err != nil {
		return 0
	}
	rec, err := decodeRecord(e.Entry)
	if err != nil {
		return 0
	}
	return rec.Slots
}

// isEventually reports whether the condition holds within 10 s.
func isEventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestOwnRecordStaysLostAfterStoreWasRestored(t *testing.T) {
	for name, slotsInCopy := range map[string]int{"missing in the copy": 0, "older in the copy": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, store := newStore(t)
			r := startWith(t, "own", store, &hangingExchanger{started: make(chan struct{})})
			writePolicy(t, c, 1)
			for slots := slotsInCopy; slots <= 2; slots++ {
				if slots > 0 {
					r.Announce(context.Background(), server.Record{Service: "shop", Instance: "i", Slots: slots})
					is.True(isEventually(func() bool { return storedSlots(c, "own") == slots }))
				}
				if slots == slotsInCopy {
					c.Checkpoint()
				}
			}
			c.Rewind()
			is.Equal(storedSlots(c, "own"), slotsInCopy)
			is.True(isEventually(func() bool { return storedSlots(c, "own") == 2 }))
		})
	}
}

// TestStaleListHidesALostRecord merges a list that was copied before the store was
// restored. It holds the record that the store has lost.
func TestStaleListHidesALostRecord(t *testing.T) {
	is := is.New(t)
	c, store := newStore(t)
	s := storeState(store)
	ctx := context.Background()
	s.own, s.hasOwn = server.Record{Node: "own", Address: "own:1", Service: "shop", Slots: 2, Incarnation: 1, Sequence: 2}, true
	older := s.own
	older.Slots, older.Sequence = 1, 1
	for _, rec := range []server.Record{older, s.own} {
		value, err := json.Marshal(rec)
		is.NoErr(err)
		e, err := c.Put(ctx, "own", "servers", "own", value, nil, 0, true)
		is.NoErr(err)
		if rec == older {
			c.Checkpoint()
		} else {
			s.stored, s.revision = rec, e.Revision
		}
	}
	stale, err := store.ListStale(ctx, "servers")
	is.NoErr(err)
	c.Rewind()
	for i := range stale {
		stale[i].Revision.Era = c.Era() // the response names the era in which it was sent
	}
	s.mergeList(serverList{entries: stale, isStale: true})
	entries, revision, err := store.List(ctx, "servers")
	is.NoErr(err)
	s.mergeList(serverList{entries: entries, revision: revision})
	is.Equal(s.stored, older)
	is.Equal(s.revision, entries[0].Revision)
}

func TestNodeThatRarelyPollsMissesThatStoreWasRestored(t *testing.T) {
	is := is.New(t)
	_, store := newStore(t)
	s := storeState(store)
	s.receive(Message{Node: "peer", Era: 1})
	is.Equal(len(s.r.relist), 0) // the first era that a node learns of is no restoration
	s.receive(Message{Node: "peer", Era: 2})
	is.Equal(len(s.r.relist), 1)
	is.Equal(s.summary().Era, uint64(2))
}

func TestServerIsDroppedThoughItsEntryWasWrittenAgain(t *testing.T) {
	is := is.New(t)
	s := newState("own", nil)
	clk := &clock.Fake{}
	s.r.cfg.Clock = clk
	peer := server.Record{Node: "peer", Address: "peer:1", Service: "shop", Incarnation: 1}
	value, err := json.Marshal(peer)
	is.NoErr(err)
	s.merge([]server.Record{peer}, "another")
	clk.Advance(time.Minute)
	s.mergeList(serverList{asked: clk.Monotonic()}) // the restored store lacks the entry
	clk.Advance(time.Minute)
	s.expire()
	is.Equal(len(s.directory.Serving()["shop"]), 1)
	s.mergeList(serverList{entries: []gd.Entry{{Name: "peer", Value: value}}, asked: clk.Monotonic()})
	s.expire()
	is.Equal(len(s.directory.Serving()["shop"]), 1)
}

// departedServer returns a record of a server that has left, and an earlier one.
func departedServer() (up, gone server.Record) {
	up = server.Record{Node: "peer", Address: "peer:1", Service: "shop", Instance: "i", Started: 10, Incarnation: 1, Sequence: 4}
	gone = up.WithState(server.Gone)
	gone.Sequence = 5
	return up, gone
}

func TestServerThatHasLeftIsUsedAfterStoreWasRestored(t *testing.T) {
	up, gone := departedServer()
	value, err := json.Marshal(up)
	is.New(t).NoErr(err)
	for name, learn := range map[string]func(*state){
		"from a list":                    func(s *state) { s.mergeList(serverList{entries: []gd.Entry{{Name: "peer", Value: value}}}) },
		"from a node that started since": func(s *state) { s.merge([]server.Record{up}, "another") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState("own", nil)
			clk := &clock.Fake{}
			s.r.cfg.Clock = clk
			s.merge([]server.Record{gone}, "peer")
			clk.Advance(time.Minute)
			s.mergeList(serverList{}) // the node has removed its entry
			s.expire()
			is.Equal(s.directory.Len(), 0)
			learn(s)
			is.Equal(len(s.directory.Serving()["shop"]), 0)
			known, ok := s.directory.Record("peer") // it spreads to nodes that took the older record
			is.True(ok)
			is.Equal(known, gone)
		})
	}
}

func TestEntryOfServerThatHasLeftStaysAfterStoreWasRestored(t *testing.T) {
	is := is.New(t)
	c, store := newStore(t)
	up, gone := departedServer()
	value, err := json.Marshal(up)
	is.NoErr(err)
	_, err = c.Put(context.Background(), "peer", "servers", "peer", value, nil, 0, false)
	is.NoErr(err)
	c.Checkpoint()
	r := startWith(t, "own", store, &hangingExchanger{started: make(chan struct{})})
	send(r, Message{Node: "another", Records: []server.Record{gone}})
	c.Drop("servers", "peer")
	c.Rewind()
	is.True(isEventually(func() bool { return !hasEntry(c, "peer") }))
}

// hasEntry reports whether a node has an entry.
func hasEntry(c *catalogue.Catalogue, node string) bool {
	_, err := c.Get(context.Background(), "test", "servers", node)
	return err == nil
}
