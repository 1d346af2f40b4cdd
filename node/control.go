package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/lease"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

const (
	eventBuffer = 256
	tickEvery   = 100 * time.Millisecond
	avoidFailed = 30 * time.Second // a relay that was not reached is tried last this long
	askPatience = 5 * time.Second  // an ask for shares without an answer is repeated
)

// control is the node's control state. One goroutine owns it; others reach it
// through post and query.
type control struct {
	n        *Node
	rnd      *rand.Rand
	follower *relay.Follower

	up     *peerLink             // to the relay that the node follows
	seats  []relay.Seat          // relays known
	failed map[string]clock.Time // addresses of relays that were not reached, by when

	seat  *seat // the seat that the node holds or stands for
	hub   *relay.Hub
	links map[string]*peerLink // of nodes and relays linked to this relay
	peers map[string]*peerLink // this relay's own links to other relays
	role  context.CancelFunc   // ends the services of the role; nil for no relay

	askSerial  uint64
	askedAt    clock.Time // 0: no ask is unanswered
	statuses   map[uint64]chan *relay.StatusReply
	lastStatus uint64
	published  published
	expireAt   clock.Time
}

// published tells which state the snapshot shows.
type published struct {
	directory, register uint64
}

// seat is a candidacy for a relay's lease.
type seat struct {
	index int
	lease lease.Lease
	busy  bool // a call to the platform is under way
}

func newControl(n *Node) *control {
	return &control{
		n:        n,
		rnd:      n.random(1),
		follower: relay.NewFollower(n.name, n.cfg.DataCentre, n.incarnation),
		failed:   map[string]clock.Time{},
		links:    map[string]*peerLink{},
		peers:    map[string]*peerLink{},
		statuses: map[uint64]chan *relay.StatusReply{},
	}
}

// post has the control goroutine run f.
func (n *Node) post(f func(*control)) {
	select {
	case n.events <- f:
	case <-n.stopped:
	}
}

// query has the control goroutine run f and returns its result; ok is false if
// ctx ended first.
func query[T any](ctx context.Context, n *Node, f func(*control) T) (result T, ok bool) {
	c := make(chan T, 1)
	n.post(func(ctl *control) { c <- f(ctl) })
	select {
	case result = <-c:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// runControl is the goroutine that owns the control state.
func (n *Node) runControl(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer n.control.stopRole()
	for {
		select {
		case f := <-n.events:
			f(n.control)
		case <-tick.C:
			n.control.tick(ctx)
		case <-ctx.Done():
			n.stop.Do(func() { close(n.stopped) })
			n.drainEvents()
			return ctx.Err()
		}
		n.publish(n.control)
	}
}

// drainEvents runs what was posted before the node closed.
func (n *Node) drainEvents() {
	for {
		select {
		case f := <-n.events:
			f(n.control)
		default:
			return
		}
	}
}

// publish swaps in a new snapshot if the control state changed.
func (n *Node) publish(c *control) {
	old := n.snapshot.Load()
	d := c.follower.Directory()
	next := &snapshot{policy: c.follower.Policy(), register: c.follower.Register()}
	shown := published{d.Generation(), next.register.Generation()}
	if old != nil && old.policy == next.policy && c.published == shown {
		return
	}
	c.published = shown
	next.serving = d.Serving()
	n.snapshot.Store(next)
	n.chooser.retain(d)
	n.station.adopt(next.policy)
}

func (c *control) now() clock.Time { return c.n.cfg.Clock.Now() }

// tick does what is due.
func (c *control) tick(ctx context.Context) {
	if c.hub != nil {
		c.deliver(c.hub.Tick(c.now()))
		c.catchUp()
	}
	c.stepSeat(ctx)
	c.expireReports()
	c.goHome()
	c.ask()
}

// expireReports drops old crash reports now and then.
func (c *control) expireReports() {
	if c.now() < c.expireAt {
		return
	}
	c.expireAt = c.now().Add(expireEvery)
	c.follower.Expire(c.now())
}

const expireEvery = 10 * time.Second

// catchUp asks other relays for versions that the platform did not deliver.
func (c *control) catchUp() {
	for _, name := range c.hub.Lagging(c.now()) {
		if l, ok := c.peers[name]; ok {
			c.n.log.Info("version fetched from another relay", "relay", name)
			l.send(c.hub.Want())
		}
	}
}

// deliver sends the hub's messages; those to the node itself are handled here,
// and their answers go back to the hub.
func (c *control) deliver(sends []relay.Send) {
	encoded := map[relay.Message][]byte{}
	for len(sends) > 0 {
		s := sends[0]
		sends = sends[1:]
		if s.To == c.n.name {
			for _, m := range c.follow(s.Message) {
				sends = append(sends, c.hub.Handle(c.now(), c.n.name, m)...)
			}
			continue
		}
		if l, ok := c.links[s.To]; ok {
			l.sendShared(s.Message, encoded)
		}
	}
}

// follow gives a relay's message to the follower and logs what came of it.
func (c *control) follow(m relay.Message) []relay.Message {
	version := c.follower.Version()
	refused, _ := c.follower.Refused()
	replies := c.follower.Handle(m)
	if v := c.follower.Version(); v != version {
		c.n.log.Info("table version adopted", "version", v, "from", version)
	}
	if r, reason := c.follower.Refused(); r != refused && r != 0 {
		c.n.log.Error("table version refused", "version", r, "reason", reason, "in-force", version)
	}
	switch m := m.(type) {
	case *relay.StatusReply:
		c.answerStatus(m)
	case *relay.Shares:
		c.takeShares(m)
	case *relay.Invite:
		c.stand(m.Index)
	}
	return replies
}

// fromUplink takes a message from the relay that the node follows.
func (c *control) fromUplink(l *peerLink, m relay.Message) {
	if c.up != l {
		return
	}
	for _, reply := range c.follow(m) {
		l.send(reply)
	}
	if s, ok := m.(*relay.Seats); ok {
		c.takeSeats(l, s)
	}
}

// takeSeats notes the relays, and leaves one that is none any more.
func (c *control) takeSeats(l *peerLink, s *relay.Seats) {
	if len(s.Seats) > 0 {
		c.seats = s.Seats
	}
	if s.Redirect {
		c.n.log.Info("relay left: it named others", "relay", l.name)
		l.close()
	}
}

// goHome leaves a relay of another data centre once the own one has a relay
// that may be reached.
func (c *control) goHome() {
	if c.up == nil {
		return
	}
	here := c.n.cfg.DataCentre
	away := slices.ContainsFunc(c.seats, func(s relay.Seat) bool { return s.Node == c.up.name && s.DataCentre != here })
	home := slices.ContainsFunc(c.seats, func(s relay.Seat) bool { return s.DataCentre == here && !c.unreachable(s) })
	if away && home {
		c.n.log.Info("relay left: the own data centre has one", "relay", c.up.name)
		c.up.close()
	}
}

// unreachable reports whether a link to the relay failed a short time ago.
func (c *control) unreachable(s relay.Seat) bool {
	at, ok := c.failed[s.Address]
	return ok && c.now().Sub(at) < avoidFailed
}

// toRelay sends a message of the node's own to its relay.
func (c *control) toRelay(m relay.Message) {
	switch {
	case c.hub != nil:
		c.fromNode(c.n.name, m)
	case c.up != nil:
		c.up.send(m)
	}
}

// fromNode takes a message from a node linked to this relay.
func (c *control) fromNode(name string, m relay.Message) {
	if a, ok := m.(*relay.Asks); ok {
		c.allot(name, a)
		return
	}
	c.deliver(c.hub.Handle(c.now(), name, m))
}

// announce updates the record of the backend server.
func (c *control) announce(r server.Record) {
	if m := c.follower.Announce(r); m != nil {
		c.n.log.Info("server record", "service", r.Service, "state", r.State, "slots", r.Slots)
		c.toRelay(m)
	}
}

// report passes on the requests in flight when the backend server crashed.
func (c *control) report(reports []quarantine.Report) {
	if m := c.follower.Report(reports); m != nil {
		c.toRelay(m)
	}
}

// leave tells the others that the node's server takes no calls any more.
func (c *control) leave() { c.n.station.announceState(c) }

// release tells the others that the node goes.
func (c *control) release() {
	c.n.station.leaveForGood()
	own := c.n.station.record(server.Gone)
	if own.Service != "" {
		c.announce(own)
		c.askSerial++
		c.toRelay(&relay.Asks{Service: own.Service, Incarnation: c.n.incarnation, Release: true, Serial: c.askSerial})
	}
	if c.up != nil {
		c.up.flush()
	}
	for _, l := range c.links {
		l.flush()
	}
}

// ask sends the station's asks for shares of limits. One ask at a time is
// under way, so that what it says of the shares held stays true.
func (c *control) ask() {
	if c.askedAt != 0 && c.now().Sub(c.askedAt) < askPatience {
		return
	}
	if c.askedAt != 0 {
		c.n.station.askAgain()
	}
	c.askedAt = 0
	if c.hub == nil && c.up == nil {
		return
	}
	service, asks := c.n.station.asks()
	if len(asks) == 0 {
		return
	}
	c.askSerial++
	c.askedAt = c.now()
	c.toRelay(&relay.Asks{Service: service, Incarnation: c.n.incarnation, Asks: asks, Serial: c.askSerial})
}

func (c *control) takeShares(m *relay.Shares) {
	if m.Serial != c.askSerial || c.askedAt == 0 {
		return
	}
	c.askedAt = 0
	c.n.station.grant(m.Shares)
}

// learnVersion finds the version that the node must not fall behind before it
// takes calls: the platform's, or while that is down the newest that any
// reachable node enforces.
func (n *Node) learnVersion(ctx context.Context) error {
	for ctx.Err() == nil {
		version, err := n.platformVersion(ctx)
		if err != nil {
			n.log.Warn("platform does not tell the current version, asking the relays", "error", err)
			version, err = n.fleetVersion(ctx)
		}
		if err == nil {
			n.post(func(c *control) { c.follower.RequireVersion(version) })
			n.log.Info("current table version learned", "version", version)
			<-ctx.Done()
			break
		}
		sleep(ctx, learnPause)
	}
	return ctx.Err()
}

const learnPause = 500 * time.Millisecond

func (n *Node) platformVersion(ctx context.Context) (uint64, error) {
	o, err := n.cfg.Store.Get(ctx, table.HeadKey)
	if gd.NotFound.Is(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	head, err := table.DecodeHead(o.Value)
	return head.Version, err
}

// fleetVersion returns the newest version among the nodes that the relays
// reach. With a relay silent the answer is not taken, since that relay's nodes
// may have a newer one.
func (n *Node) fleetVersion(ctx context.Context) (uint64, error) {
	reply, err := n.progress(ctx)
	if err != nil {
		return 0, err
	}
	if len(reply.Silent) > 0 {
		return 0, gd.Unavailable.Errorf("relays %v are silent", reply.Silent)
	}
	var newest uint64
	for _, p := range reply.Nodes {
		newest = max(newest, p.Version)
	}
	return newest, nil
}

// progress asks the node's relay for the progress of all nodes.
func (n *Node) progress(ctx context.Context) (*relay.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer := make(chan *relay.StatusReply, 1)
	n.post(func(c *control) {
		c.lastStatus++
		c.statuses[c.lastStatus] = answer
		c.toRelay(&relay.StatusRequest{ID: c.lastStatus})
	})
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, gd.Unavailable.Errorf("no relay answered within %s", statusTimeout)
	}
}

const statusTimeout = 3 * time.Second

func (c *control) answerStatus(m *relay.StatusReply) {
	if answer, ok := c.statuses[m.ID]; ok {
		answer <- m
	}
	delete(c.statuses, m.ID)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
