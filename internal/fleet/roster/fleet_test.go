package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/server"
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Time          { return clock.Time(time.Now().UnixMilli()) }
func (c bubbleClock) Monotonic() time.Duration { return time.Since(c.start) + time.Hour }

const (
	settleTime   = 10 * time.Second // after the start of the nodes
	oneWayDelay  = 1400 * time.Microsecond
	storeLatency = 4 * time.Millisecond
	storeHistory = 20 * time.Second
)

// refusal is how a store turns a node away.
type refusal int

const (
	served  refusal = iota
	refused         // calls and waiting watches fail at once
	ignored         // calls and waiting watches get no response
	frozen          // the same, and the node neither sends nor receives messages
)

// fleetStore is a catalogue in memory that turns some of its callers away.
type fleetStore struct {
	mu       sync.Mutex
	entries  map[string]map[string]gd.Entry // by kind and name
	revision uint64
	changed  chan struct{} // closed and replaced at each change and each new refusal
	refusals map[string]refusal
	calls    int
	listed   map[string]int // by kind: lists that were served
	times    []time.Time    // of the changes
	dropped  uint64         // the history up to this revision is gone
	cuts     int            // how often the waiting watches were cut off
	expires  bool           // waiting watches end at once with an error of kind Expired when they are cut off
}

func newFleetStore() *fleetStore {
	return &fleetStore{entries: map[string]map[string]gd.Entry{}, changed: make(chan struct{}), refusals: map[string]refusal{}, listed: map[string]int{}}
}

// wake ends the waits of all watches. The caller must hold s.mu.
func (s *fleetStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuse turns the nodes away in the given manner.
func (s *fleetStore) refuse(how refusal, nodes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, node := range nodes {
		s.refusals[node] = how
	}
	s.wake()
}

// lists returns the number of lists of a kind that the store has served.
func (s *fleetStore) lists(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[kind]
}

func (s *fleetStore) put(kind, name string, value []byte) gd.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.times = append(s.times, time.Now())
	if s.entries[kind] == nil {
		s.entries[kind] = map[string]gd.Entry{}
	}
	e := gd.Entry{Name: name, Revision: gd.Revision{Era: 1, Number: s.revision}, Value: value}
	s.entries[kind][name] = e
	s.wake()
	return e
}

// since returns the entries of a kind that have changed after a revision.
func (s *fleetStore) since(kind string, after uint64) ([]gd.Entry, gd.Revision) {
	var list []gd.Entry
	for _, e := range s.entries[kind] {
		if e.Revision.Number > after {
			list = append(list, e)
		}
	}
	return list, gd.Revision{Era: 1, Number: s.revision}
}

// compact drops the history and cuts off the watches that wait, which get no response unless
// s.expires is set.
func (s *fleetStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.revision
	s.cuts++
	s.wake()
}

// isHistoryGone reports whether a change after the given revision is no longer in the history.
func (s *fleetStore) isHistoryGone(after uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return after < s.dropped || after < s.revision && time.Since(s.times[after]) > storeHistory
}

// storeClient is the view that a node has of a fleetStore.
type storeClient struct {
	store *fleetStore
	node  string
}

// call makes a call, which fails if the store turns the node away.
func (c storeClient) call(ctx context.Context) error {
	c.store.mu.Lock()
	c.store.calls++
	c.store.mu.Unlock()
	time.Sleep(storeLatency)
	return c.admit(ctx)
}

// admit returns an error if the store turns the node away.
func (c storeClient) admit(ctx context.Context) error {
	c.store.mu.Lock()
	how := c.store.refusals[c.node]
	c.store.mu.Unlock()
	if how == ignored || how == frozen {
		<-ctx.Done()
	}
	if how != served {
		return errUnavailable
	}
	return ctx.Err()
}

func (c storeClient) Get(ctx context.Context, kind, name string) (gd.Entry, error) {
	if err := c.call(ctx); err != nil {
		return gd.Entry{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	e, ok := c.store.entries[kind][name]
	if !ok {
		return gd.Entry{}, gd.NotFound.Errorf("no entry %s", name)
	}
	return e, nil
}

func (c storeClient) List(ctx context.Context, kind string) ([]gd.Entry, gd.Revision, error) {
	if err := c.call(ctx); err != nil {
		return nil, gd.Revision{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.listed[kind]++
	list, revision := c.store.since(kind, 0)
	return list, revision, nil
}

func (c storeClient) ListStale(ctx context.Context, kind string) ([]gd.Entry, error) {
	list, _, err := c.List(ctx, kind)
	return list, err
}

func (c storeClient) Watch(ctx context.Context, kind string, revision gd.Revision, wait time.Duration) ([]gd.Entry, gd.Revision, error) {
	if err := c.call(ctx); err != nil {
		return nil, gd.Revision{}, err
	}
	if c.store.isHistoryGone(revision.Number) {
		return nil, gd.Revision{}, gd.Expired.Errorf("the history after revision %s is gone", revision)
	}
	end := time.After(wait)
	c.store.mu.Lock()
	began := c.store.cuts
	c.store.mu.Unlock()
	for {
		c.store.mu.Lock()
		list, latest := c.store.since(kind, revision.Number)
		changed, cuts := c.store.changed, c.store.cuts
		c.store.mu.Unlock()
		if cuts != began && c.store.expires {
			return nil, gd.Revision{}, gd.Expired.Errorf("the history after revision %s is gone", revision)
		}
		if cuts != began {
			<-ctx.Done()
			return nil, gd.Revision{}, ctx.Err()
		}
		if len(list) > 0 {
			return list, latest, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, latest, nil
		case <-ctx.Done():
			return nil, gd.Revision{}, ctx.Err()
		}
		if err := c.admit(ctx); err != nil {
			return nil, gd.Revision{}, err
		}
	}
}

func (c storeClient) Put(ctx context.Context, kind, name string, value []byte, _ gd.Revision) (gd.Entry, error) {
	if err := c.call(ctx); err != nil {
		return gd.Entry{}, err
	}
	return c.store.put(kind, name, value), nil
}

func (c storeClient) PutStatus(ctx context.Context, _, _ string, _ []byte, _ gd.Revision) (gd.Entry, error) {
	if err := c.call(ctx); err != nil {
		return gd.Entry{}, err
	}
	return gd.Entry{}, gd.NotFound.Errorf("the store has no entries with a status")
}

func (c storeClient) Delete(ctx context.Context, kind, name string, _ gd.Revision) error {
	return c.call(ctx)
}

// fleetNetwork connects rosters. Messages to or from a slow node get no response.
type fleetNetwork struct {
	mu    sync.Mutex
	nodes map[string]*Roster // by address
	slow  map[string]bool    // by address: does not respond in time
}

func (f *fleetNetwork) Exchange(ctx context.Context, address string, m Message) (Message, error) {
	f.mu.Lock()
	r, slow := f.nodes[address], f.slow[address] || f.slow[addressOf(m.Node)]
	f.mu.Unlock()
	if slow || r == nil {
		<-ctx.Done()
		return Message{}, ctx.Err()
	}
	time.Sleep(oneWayDelay)
	reply := r.HandleMessage(ctx, m)
	time.Sleep(oneWayDelay)
	return reply, ctx.Err()
}

// connect has a node respond at an address, or none.
func (f *fleetNetwork) connect(address string, r *Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address] = r
}

// fleet is a fleet of rosters in the virtual time of a synctest bubble.
type fleet struct {
	store   *fleetStore
	network *fleetNetwork
	clock   bubbleClock
	seed    uint64
	names   []string
	rosters map[string]*Roster
	kill    map[string]context.CancelFunc // by node
	random  *rand.Rand
	running sync.WaitGroup
}

// newFleet starts n rosters within 0.3 s, all with the same seed, as nodes have that start in
// the same millisecond, after a loss of power: the store has their records. It returns when they
// have found each other.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		store: newFleetStore(), network: &fleetNetwork{nodes: map[string]*Roster{}, slow: map[string]bool{}},
		clock: bubbleClock{time.Now()}, seed: seed, rosters: map[string]*Roster{}, kill: map[string]context.CancelFunc{},
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	f.store.put("config", "main", []byte("1"))
	for i := range n {
		self := server.Record{Node: fmt.Sprintf("vm-%d-%d", seed, i), Service: "shop", DataCentre: fmt.Sprint("dc-", i%4), Incarnation: 1}
		self.Address = addressOf(self.Node)
		entry, _ := json.Marshal(self) // never fails
		f.store.put("servers", self.Node, entry)
		f.names = append(f.names, self.Node)
		f.start(self, time.Duration(f.random.Int64N(int64(300*time.Millisecond))))
	}
	time.Sleep(settleTime)
	return f
}

// start starts a roster after a delay.
func (f *fleet) start(self server.Record, delay time.Duration) {
	r := New(Config{
		Self: self, Catalogue: storeClient{f.store, self.Node}, PolicyKind: "config", PolicyName: "main", ServerKind: "servers",
		Decode: decodeVersion, Exchanger: f.network, Clock: f.clock, Log: hclog.NewNullLogger(), Seed: f.seed,
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.rosters[self.Node], f.kill[self.Node] = r, cancel
	f.running.Go(func() {
		time.Sleep(delay)
		f.network.connect(self.Address, r)
		_ = r.Run(ctx)
	})
}

// restart kills nodes, which start again after a delay.
func (f *fleet) restart(delay time.Duration, nodes []string) {
	for _, node := range nodes {
		f.kill[node]()
		self := f.rosters[node].cfg.Self
		self.Incarnation++
		f.network.connect(self.Address, nil)
		f.start(self, delay)
	}
}

// stop kills all nodes and waits until they have ended.
func (f *fleet) stop() {
	for _, kill := range f.kill {
		kill()
	}
	f.running.Wait()
}

// watchers returns the names of the n nodes that watch the policy in calm.
func (f *fleet) watchers(n int) []string {
	names := slices.Clone(f.names)
	sortCandidates(names)
	return names[:n]
}

// refuse has the store turn away the nodes that watch and a share of all nodes.
func (f *fleet) refuse(how refusal, share float64) {
	rest := slices.Clone(f.names)
	f.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	nodes := append(f.watchers(watcherCount), rest[:int(share*float64(len(rest)))]...)
	f.store.refuse(how, nodes...)
	if how == frozen {
		f.network.mu.Lock()
		defer f.network.mu.Unlock()
		for _, node := range nodes {
			f.network.slow[addressOf(node)] = true
		}
	}
}

// refusedNodes returns the nodes that the store turns away.
func (f *fleet) refusedNodes() []string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.names), func(node string) bool { return f.store.refusals[node] == served })
}

// live returns the nodes that are not frozen.
func (f *fleet) live() []string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.names), func(node string) bool { return f.store.refusals[node] == frozen })
}

// change writes a version and returns how long it takes until all live nodes have it, at most
// limit.
func (f *fleet) change(version uint64, limit time.Duration) time.Duration {
	nodes := f.live()
	f.store.put("config", "main", fmt.Append(nil, version))
	return f.await(version, nodes, limit)
}

// await returns how long it takes until all of the nodes have a version, at most limit.
func (f *fleet) await(version uint64, nodes []string, limit time.Duration) time.Duration {
	began := time.Now()
	for ; time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if !slices.ContainsFunc(nodes, func(node string) bool {
			p := f.rosters[node].Snapshot().Policy
			return p == nil || p.Version < version
		}) {
			break
		}
	}
	return time.Since(began)
}

// String returns a word for the manner.
func (r refusal) String() string {
	return [...]string{served: "served", refused: "refused", ignored: "ignored", frozen: "frozen"}[r]
}

// sortCandidates sorts the names of nodes by the order in which they watch the policy.
func sortCandidates(names []string) {
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
}
