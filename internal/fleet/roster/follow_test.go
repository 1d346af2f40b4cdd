package roster

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// TestMissingServerIsForgotten checks that a server whose entry is missing is kept
// until heardTimeout after the last message of its node, and until a list requested after
// that lacks it too.
func TestMissingServerIsForgotten(t *testing.T) {
	is := is.New(t)
	clk := &clock.Fake{}
	clk.Advance(time.Minute)
	s := &state{
		r:         New(Config{Self: server.Record{Node: "own"}, Clock: clk, Log: hclog.NewNullLogger()}),
		changedAt: map[string]time.Duration{}, missingSince: map[string]time.Duration{},
		heardAt: map[string]time.Duration{}, forgotten: map[string]server.Record{},
	}
	s.merge([]server.Record{{Node: "peer", Address: "peer:1", Service: "shop", Incarnation: 1}}, "peer")
	clk.Advance(missingTimeout)
	s.heardAt["peer"] = clk.Monotonic()
	s.mergeList(serverList{asked: clk.Monotonic()})
	clk.Advance(missingTimeout)
	s.expire()
	is.Equal(s.directory.Len(), 1) // its last message arrived 2.5 s ago
	is.Equal(len(s.r.relist), 0)
	clk.Advance(heardTimeout)
	s.expire()
	is.Equal(s.directory.Len(), 1)
	is.Equal(len(s.r.relist), 1)
	s.mergeList(serverList{asked: clk.Monotonic()})
	s.expire()
	is.Equal(s.directory.Len(), 0)
}

// TestStaleListRestoresNothing merges lists that are some seconds old. A server that
// has been dropped must not return, none may count as missing, and a current list must
// be requested for an entry that is not in it.
func TestStaleListRestoresNothing(t *testing.T) {
	is := is.New(t)
	gone := server.Record{Node: "gone", Address: "gone:1", Service: "shop", Incarnation: 1}
	s := &state{
		r:         New(Config{Self: server.Record{Node: "own"}, Clock: &clock.Fake{}, Log: hclog.NewNullLogger()}),
		changedAt: map[string]time.Duration{}, missingSince: map[string]time.Duration{},
		heardAt: map[string]time.Duration{}, forgotten: map[string]server.Record{"gone": gone},
	}
	entry := func(rec server.Record) gd.Entry {
		value, err := json.Marshal(rec)
		is.NoErr(err)
		return gd.Entry{Name: rec.Node, Value: value, Revision: gd.Revision{Number: 1}}
	}
	s.mergeList(serverList{entries: []gd.Entry{entry(gone)}, isStale: true})
	is.Equal(s.directory.Len(), 0)
	is.Equal(len(s.r.relist), 0)
	peer := server.Record{Node: "peer", Address: "peer:1", Service: "shop", Incarnation: 1}
	s.merge([]server.Record{peer}, "peer")
	s.mergeList(serverList{entries: []gd.Entry{entry(peer)}, isStale: true})
	is.Equal(len(s.r.relist), 0)
	s.mergeList(serverList{entries: nil, isStale: true})
	is.Equal(len(s.missingSince), 0)
	is.Equal(len(s.r.relist), 1)
	s.mergeList(serverList{entries: []gd.Entry{entry(gone)}})
	is.Equal(s.directory.Len(), 2) // a current list is right
}

// TestPollInterval checks fleets of several sizes. There are at most three polls a
// second over all nodes, and at most one a second of one node, also while it
// knows no other nodes.
func TestPollInterval(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		nodes int
		want  time.Duration
	}{{1, time.Second}, {2, time.Second}, {13, 13 * time.Second / 3}, {450, 150 * time.Second}} {
		r := New(Config{})
		var d server.Directory
		for i := range c.nodes {
			d, _ = d.WithRecords(server.Record{Node: strconv.Itoa(i), Incarnation: 1})
		}
		r.snapshot.Store(&Snapshot{Directory: d})
		is.Equal(r.pollInterval(), c.want)
	}
}

// TestOddRecordsAreRefused reads records that no node writes from an entry and from a message
// of another node. They must be refused, the others must hold, and the node must go on.
func TestOddRecordsAreRefused(t *testing.T) {
	good := server.Record{Node: "good", Address: "10.0.0.1:8080", Service: "shop", Slots: 2, Incarnation: 1}
	odd := server.Record{Node: "odd", Address: "10.0.0.2:8080", Service: "shop", Slots: 2, Incarnation: 1}
	for name, change := range map[string]func(*server.Record){
		"port out of range":   func(r *server.Record) { r.Address = "10.0.0.2:99999" },
		"port 0":              func(r *server.Record) { r.Address = "10.0.0.2:0" },
		"no port":             func(r *server.Record) { r.Address = "10.0.0.2" },
		"no service":          func(r *server.Record) { r.Service = "" },
		"unknown state":       func(r *server.Record) { r.State = 9 },
		"negative slots":      func(r *server.Record) { r.Slots = -1 },
		"too many slots":      func(r *server.Record) { r.Slots = 1 << 40 },
		"highest incarnation": func(r *server.Record) { r.Incarnation = 1<<64 - 1 },
		"highest sequence":    func(r *server.Record) { r.Sequence = 1<<64 - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := odd
			change(&r)
			value, err := json.Marshal(r)
			is.NoErr(err)
			_, err = decodeRecord(gd.Entry{Name: "odd", Value: value})
			is.True(gd.Invalid.Is(err))
			s, _, _ := stateWith(1)
			s.receive(Message{Node: "old", Push: true, Records: []server.Record{r, good}})
			_, known := s.directory.Record("odd")
			is.True(!known)
			_, known = s.directory.Record("good")
			is.True(known)
		})
	}
	for _, text := range []string{`{"node":"odd","slots":1e400}`, `{"node":"odd","incarnation":-1}`, `[[[[]]]]`, `null`, `7`, `{"node":{"a":{"b":null}}}`, ``} {
		if _, err := decodeRecord(gd.Entry{Name: "odd", Value: []byte(text)}); !gd.Invalid.Is(err) {
			t.Errorf("decodeRecord(%s): %v", text, err)
		}
	}
}

// TestOddOwnEntryIsWrittenAgain has another writer replace this node's entry by one that
// cannot be read. The node must write its own record again.
func TestOddOwnEntryIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	s, _, _ := stateWith(1)
	s.own, s.hasOwn = server.Record{Node: nodeName(0), Address: addressOf(nodeName(0)), Service: "shop", Incarnation: 1}, true
	s.stored, s.revision = s.own, gd.Revision{Number: 3}
	s.mergeList(serverList{entries: []gd.Entry{{Name: nodeName(0), Value: []byte("null"), Revision: gd.Revision{Number: 5}}}, revision: gd.Revision{Number: 6}})
	is.True(s.stored != s.own)
	is.Equal(s.revision, gd.Revision{Number: 5})
	is.Equal(len(s.r.publish), 1)
}

// TestOwnEntryIsMissingInTheListAtItsRevision lists the entries at several revisions after the
// store has lost this node's entry. It must be written again unless the list is from before it,
// also if nothing has been written since.
func TestOwnEntryIsMissingInTheListAtItsRevision(t *testing.T) {
	for _, c := range []struct {
		listed    uint64
		isMissing bool
	}{{2, false}, {3, true}, {4, true}} {
		is := is.New(t)
		s, _, _ := stateWith(1)
		s.own, s.hasOwn = server.Record{Node: nodeName(0), Address: addressOf(nodeName(0)), Service: "shop", Incarnation: 1}, true
		s.stored, s.revision = s.own, gd.Revision{Number: 3}
		s.mergeList(serverList{revision: gd.Revision{Number: c.listed}})
		is.Equal(s.revision.IsZero(), c.isMissing)
	}
}
