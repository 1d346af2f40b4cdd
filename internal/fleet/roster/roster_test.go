package roster

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	"github.com/geraniumdock/geraniumdock/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// unavailable is a catalogue that cannot be reached.
type unavailable struct{}

var errUnavailable = gd.Unavailable.Errorf("the catalogue cannot be reached")

func (unavailable) Get(context.Context, string, string) (gd.Entry, error) {
	return gd.Entry{}, errUnavailable
}
func (unavailable) List(context.Context, string) ([]gd.Entry, gd.Revision, error) {
	return nil, gd.Revision{}, errUnavailable
}
func (unavailable) ListStale(context.Context, string) ([]gd.Entry, error) {
	return nil, errUnavailable
}
func (unavailable) Watch(context.Context, string, gd.Revision, time.Duration) ([]gd.Entry, gd.Revision, error) {
	return nil, gd.Revision{}, errUnavailable
}
func (unavailable) Put(context.Context, string, string, []byte, gd.Revision) (gd.Entry, error) {
	return gd.Entry{}, errUnavailable
}
func (unavailable) PutStatus(context.Context, string, string, []byte, gd.Revision) (gd.Entry, error) {
	return gd.Entry{}, errUnavailable
}
func (unavailable) Delete(context.Context, string, string, gd.Revision) error { return errUnavailable }

// hangingExchanger is an Exchanger whose peers never reply.
type hangingExchanger struct {
	started chan struct{}
	once    sync.Once
	mu      sync.Mutex
	errs    []error
}

func (x *hangingExchanger) Exchange(ctx context.Context, _ string, _ Message) (Message, error) {
	x.once.Do(func() { close(x.started) })
	<-ctx.Done()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.errs = append(x.errs, ctx.Err())
	return Message{}, ctx.Err()
}

// decodeVersion decodes a policy that consists of its version in digits.
func decodeVersion(data []byte) (*route.Policy, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, gd.Invalid.Wrapf(err, "version")
	}
	return &route.Policy{Version: version}, nil
}

// startRoster starts a roster and returns it with a function that stops it.
func startRoster(x Exchanger) (*Roster, func()) {
	r := New(Config{
		Self:      server.Record{Node: "own", Address: "own:1", Service: "shop", Incarnation: 5},
		Catalogue: unavailable{}, PolicyKind: "config", PolicyName: "main", ServerKind: "servers",
		Decode: decodeVersion, Exchanger: x, Clock: clock.System{}, Log: hclog.NewNullLogger(), Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	return r, func() { cancel(); <-done }
}

// send has r handle a message and returns the reply.
func send(r *Roster, m Message) Message { return r.HandleMessage(context.Background(), m) }

// policyMessage returns a message of a peer with a policy of the given version.
func policyMessage(version uint64) Message {
	return Message{Node: "peer", Version: version, Policy: compress([]byte(strconv.FormatUint(version, 10)))}
}

func TestPolicyVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	r, stop := startRoster(&hangingExchanger{started: make(chan struct{})})
	defer stop()
	for _, step := range []struct{ received, inForce uint64 }{{3, 3}, {2, 3}, {7, 7}, {7, 7}, {1, 7}} {
		reply := send(r, policyMessage(step.received))
		is.Equal(r.Snapshot().Policy.Version, step.inForce)
		is.Equal(reply.Version, step.inForce)
		is.Equal(reply.Policy != nil, step.received < step.inForce) // the reply carries the policy if the peer is behind
	}
}

func TestDamagedPolicyIsRefused(t *testing.T) {
	is := is.New(t)
	r, stop := startRoster(&hangingExchanger{started: make(chan struct{})})
	defer stop()
	send(r, policyMessage(3))
	send(r, Message{Node: "peer", Version: 9, Policy: []byte("not compressed")})
	send(r, Message{Node: "peer", Version: 9, Policy: compress([]byte("no number"))})
	is.Equal(r.Snapshot().Policy.Version, uint64(3))
	for damaged := range mutate.Copies(compress([]byte("4")), 200) {
		_, _ = decompress(damaged)
	}
}

// TestOwnRecordIsRefuted sends a node a record of itself with a higher incarnation,
// which an earlier process wrote when its clock was ahead. The node must announce
// its own record with a version above that.
func TestOwnRecordIsRefuted(t *testing.T) {
	is := is.New(t)
	r, stop := startRoster(&hangingExchanger{started: make(chan struct{})})
	defer stop()
	r.Announce(context.Background(), server.Record{Service: "shop", Instance: "new", Slots: 2})
	for len(send(r, Message{Node: "peer"}).Records) == 0 {
		// Announce queues the record from a goroutine of its own.
	}
	old := server.Record{Node: "own", Address: "own:1", Service: "shop", Instance: "old", Incarnation: 99, State: server.Gone}
	send(r, Message{Node: "peer", Records: []server.Record{old}})
	reply := send(r, Message{Node: "peer"})
	is.Equal(len(reply.Records), 1)
	is.Equal(reply.Records[0].Instance, "new")
	is.True(reply.Records[0].Compare(old) > 0)
	is.Equal(len(r.Snapshot().Serving["shop"]), 1)
}

// TestLastAnnouncementWins makes more announcements than changeBuffer before the
// roster runs. None may block, and only the last one may be published, in whatever
// order the goroutines run.
func TestLastAnnouncementWins(t *testing.T) {
	is := is.New(t)
	r := New(Config{
		Self:      server.Record{Node: "own", Address: "own:1", Incarnation: 5},
		Catalogue: unavailable{}, Decode: decodeVersion, Exchanger: &hangingExchanger{started: make(chan struct{})},
		Clock: clock.System{}, Log: hclog.NewNullLogger(), Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	const n = 2 * changeBuffer
	for i := range n {
		state := server.Up
		if i < n-1 {
			state = server.Lost
		}
		r.Announce(ctx, server.Record{Service: "shop", Slots: 1, State: state})
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	reply := send(r, Message{Node: "peer"})
	for len(reply.Records) == 0 {
		reply = send(r, Message{Node: "peer"})
	}
	is.Equal(reply.Records[0].State, server.Up)
	is.Equal(reply.Records[0].Sequence, uint64(1)) // the others were not published
	cancel()
	<-done
}

// TestRecordOfEarlierProcessIsAdopted checks that a record of an earlier process is
// adopted only if it has the address of this node.
func TestRecordOfEarlierProcessIsAdopted(t *testing.T) {
	is := is.New(t)
	adopted := make(chan server.Record, 2)
	r := New(Config{
		Self:      server.Record{Node: "own", Address: "own:1"},
		Catalogue: unavailable{}, Decode: decodeVersion, Exchanger: &hangingExchanger{started: make(chan struct{})},
		Clock: clock.System{}, Log: hclog.NewNullLogger(), Seed: 1,
		OnAdoption: func(rec server.Record) { adopted <- rec },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	defer func() { cancel(); <-done }()
	send(r, Message{Node: "peer", Records: []server.Record{
		{Node: "own", Address: "elsewhere:1", Service: "shop", Instance: "moved", Incarnation: 1},
		{Node: "own", Address: "own:1", Service: "shop", Instance: "here", Incarnation: 2},
	}})
	is.Equal((<-adopted).Instance, "here")
	is.Equal(len(adopted), 0)
}

// TestUnwrittenLeaveIsLearnedFromPeer guards against serving a server that has left.
// A process acknowledges the server's leave notice and is killed before it writes
// that to the catalogue, so the next process adopts the old record. It must report
// the leave once when peers send it, and ignore older records and those with another
// start time of the server.
func TestUnwrittenLeaveIsLearnedFromPeer(t *testing.T) {
	is := is.New(t)
	written := server.Record{Node: "own", Address: "own:1", Service: "shop", Instance: "i", Started: 10, Incarnation: 1, Sequence: 4}
	var left []server.Record
	s := &state{
		r: New(Config{
			Self: server.Record{Node: "own", Address: "own:1"}, Clock: &clock.Fake{}, Log: hclog.NewNullLogger(),
			OnAdoption: func(server.Record) {}, OnLeave: func(r server.Record) { left = append(left, r) },
		}),
		changedAt: map[string]time.Duration{}, heardAt: map[string]time.Duration{},
	}
	s.merge([]server.Record{written}, "")
	s.own, s.hasOwn = written, true // the adopted record is announced with a higher incarnation
	s.own.Incarnation = 2
	s.directory, _ = s.directory.WithRecords(s.own)
	other := written
	other.Started, other.Sequence, other.State = 9, 5, server.Gone
	older := written.WithState(server.Gone)
	older.Sequence = 3
	s.merge([]server.Record{other, older, written}, "peer")
	is.Equal(len(left), 0)
	gone := written.WithState(server.Gone)
	gone.Sequence = 5
	s.merge([]server.Record{gone}, "peer")
	s.merge([]server.Record{gone}, "another")
	is.Equal(left, []server.Record{gone})
}

// TestDepartureOutlivesTheNodeThatKnewIt restarts the node beside a server that drains or
// has left. Its next process announces the server as up. Whatever arrives first at that
// process and at another node, both must know of the departure, until the server starts
// anew.
func TestDepartureOutlivesTheNodeThatKnewIt(t *testing.T) {
	up := server.Record{Node: "beside", Address: "beside:1", Service: "shop", Instance: "i", Started: 10, Incarnation: 1, Sequence: 4}
	next := up
	next.Incarnation, next.Sequence = 2, 1
	restarted := next
	restarted.Started, restarted.Incarnation = 20, 3
	draining := up.WithState(server.Draining)
	draining.Sequence = 5
	left := up.WithState(server.Gone)
	left.Sequence, left.HasLeft = 5, true

	for name, departed := range map[string]server.Record{"draining": draining, "left": left} {
		t.Run(name+", another node", func(t *testing.T) {
			is := is.New(t)
			s := newState("other", nil)
			s.merge([]server.Record{up, departed}, "beside")
			s.merge([]server.Record{next}, "beside")
			is.Equal(len(s.directory.Serving()["shop"]), 0)
			s.merge([]server.Record{restarted}, "beside")
			is.Equal(len(s.directory.Serving()["shop"]), 1)
		})
		t.Run(name+", another node that has dropped it", func(t *testing.T) {
			is := is.New(t)
			s := newState("other", nil)
			s.forgotten["beside"] = departed
			s.merge([]server.Record{next}, "beside")
			is.Equal(len(s.directory.Serving()["shop"]), 0)
		})
		t.Run(name+", next process, known before the announcement", func(t *testing.T) {
			is := is.New(t)
			var found []server.Record
			s := newState("beside", &found)
			s.merge([]server.Record{departed}, "")
			s.r.latest, s.r.latestNumber = next, 1
			s.announceLatest()
			is.Equal(found, []server.Record{departed})
			is.Equal(s.own.State, departed.State)
		})
		t.Run(name+", next process, known after the announcement", func(t *testing.T) {
			is := is.New(t)
			var found []server.Record
			s := newState("beside", &found)
			s.r.latest, s.r.latestNumber = next, 1
			s.announceLatest()
			is.Equal(s.own.State, server.Up)
			s.merge([]server.Record{departed}, "other")
			s.merge([]server.Record{departed}, "another")
			is.Equal(found, []server.Record{departed})
			is.Equal(s.own.State, departed.State)
		})
	}
}

// newState returns the state of a node that has started, and appends the records that it
// passes to OnDeparture to departed.
func newState(node string, departed *[]server.Record) *state {
	return &state{
		r: New(Config{
			Self: server.Record{Node: node, Address: node + ":1"}, Catalogue: unavailable{}, Clock: &clock.Fake{}, Log: hclog.NewNullLogger(),
			OnDeparture: func(r server.Record) { *departed = append(*departed, r) },
		}),
		ctx: context.Background(), changedAt: map[string]time.Duration{}, missingSince: map[string]time.Duration{},
		heardAt: map[string]time.Duration{}, forgotten: map[string]server.Record{},
	}
}

// TestServerThatStatesItLeavesIsMarked checks that a node stops using a server that
// states that it leaves, although the node beside it publishes nothing.
func TestServerThatStatesItLeavesIsMarked(t *testing.T) {
	r, stop := startRoster(&hangingExchanger{started: make(chan struct{})})
	defer stop()
	up := server.Record{Node: "beside", Address: "beside:1", Service: "shop", Instance: "i", Started: 10, Incarnation: 1}
	send(r, Message{Node: "beside", Records: []server.Record{up}})
	waitFor(t, func() bool { return len(r.Snapshot().Serving["shop"]) == 1 }) // the reply precedes the snapshot
	earlier := up
	earlier.Started = 9
	r.MarkDraining(context.Background(), earlier) // a late response of an earlier start
	r.MarkDraining(context.Background(), up)
	for len(r.Snapshot().Serving["shop"]) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestStopDoesNotWaitForSilentPeers stops a roster while a push is in flight to a
// peer that does not reply. The push must be canceled before it times out.
func TestStopDoesNotWaitForSilentPeers(t *testing.T) {
	is := is.New(t)
	x := &hangingExchanger{started: make(chan struct{})}
	r, stop := startRoster(x)
	send(r, Message{Node: "peer", Records: []server.Record{{Node: "peer", Address: "peer:1", Service: "shop", Incarnation: 1}}})
	r.Announce(context.Background(), server.Record{Service: "shop", Slots: 1}) // pushed to the peer
	<-x.started
	stop()
	is.True(len(x.errs) > 0)
	for _, err := range x.errs {
		is.True(errors.Is(err, context.Canceled))
	}
}

// TestForgottenNodeIsNotRestoredByOthers checks that the old record of a node that
// was dropped is accepted from the node itself but not from a peer. A newer record
// is accepted from a peer.
func TestForgottenNodeIsNotRestoredByOthers(t *testing.T) {
	is := is.New(t)
	gone := server.Record{Node: "gone", Address: "gone:1", Service: "shop", Incarnation: 1}
	s := &state{
		r:         New(Config{Self: server.Record{Node: "own"}, Clock: &clock.Fake{}, Log: hclog.NewNullLogger()}),
		changedAt: map[string]time.Duration{}, missingSince: map[string]time.Duration{},
		heardAt: map[string]time.Duration{}, forgotten: map[string]server.Record{"gone": gone},
	}
	is.Equal(len(s.merge([]server.Record{gone}, "peer")), 0)
	is.Equal(len(s.merge([]server.Record{gone}, "gone")), 1)
	newer := gone
	newer.Incarnation = 2
	is.Equal(len(s.merge([]server.Record{newer}, "peer")), 1)
}
