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
	controlQueueSize    = 256
	controlTickInterval = 100 * time.Millisecond
	failedRelayDelay    = 30 * time.Second // a relay that was not reached is tried last this long
	askTimeout          = 5 * time.Second  // an ask for shares without an answer is repeated
)

// control is the node's control state. One goroutine owns it; others reach it
// through post and query.
type control struct {
	n        *Node
	rnd      *rand.Rand
	follower *relay.Follower

	uplink   *peerLink             // to the relay that the node follows
	seats    []relay.Seat          // relays known
	failedAt map[string]clock.Time // addresses of relays that were not reached, by when

	candidacy    *candidacy // the seat that the node holds or stands for
	hub          *relay.Hub
	inboundLinks map[string]*peerLink // of nodes and relays linked to this relay
	relayLinks   map[string]*peerLink // this relay's own links to other relays
	cancelRole   context.CancelFunc   // ends the services of the role; nil for no relay

	askSerial            uint64
	askedAt              clock.Time // 0: no ask is unanswered
	pendingStatuses      map[uint64]chan *relay.StatusReply
	lastStatusID         uint64
	publishedGenerations publishedGenerations
	nextReportExpiry     clock.Time
}

// publishedGenerations tells which state the snapshot shows.
type publishedGenerations struct {
	directory, register uint64
}

// candidacy is a candidacy for a relay's lease.
type candidacy struct {
	index int
	lease lease.Lease
	busy  bool // a call to the platform is under way
}

func newControl(n *Node) *control {
	return &control{
		n:               n,
		rnd:             n.random(1),
		follower:        relay.NewFollower(n.name, n.cfg.DataCentre, n.incarnation),
		failedAt:        map[string]clock.Time{},
		inboundLinks:    map[string]*peerLink{},
		relayLinks:      map[string]*peerLink{},
		pendingStatuses: map[uint64]chan *relay.StatusReply{},
	}
}

// post has the control goroutine run f.
func (n *Node) post(f func(*control)) {
	select {
	case n.controlQueue <- f:
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
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	defer n.control.stopRelayServices()
	for {
		select {
		case f := <-n.controlQueue:
			f(n.control)
		case <-tick.C:
			n.control.tick(ctx)
		case <-ctx.Done():
			n.stopOnce.Do(func() { close(n.stopped) })
			n.drainControlQueue()
			return ctx.Err()
		}
		n.publish(n.control)
	}
}

// drainControlQueue runs what was posted before the node closed.
func (n *Node) drainControlQueue() {
	for {
		select {
		case f := <-n.controlQueue:
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
	shown := publishedGenerations{d.Generation(), next.register.Generation()}
	if old != nil && old.policy == next.policy && c.publishedGenerations == shown {
		return
	}
	c.publishedGenerations = shown
	next.serving = d.Serving()
	n.snapshot.Store(next)
	n.chooser.retain(d)
	n.scheduler.setPolicy(next.policy)
}

func (c *control) now() clock.Time { return c.n.cfg.Clock.Now() }

// tick does what is due.
func (c *control) tick(ctx context.Context) {
	if c.hub != nil {
		c.deliver(c.hub.Tick(c.now()))
		c.requestMissingVersions()
	}
	c.stepCandidacy(ctx)
	c.expireReports()
	c.returnToLocalRelay()
	c.requestShares()
}

// expireReports drops old crash reports now and then.
func (c *control) expireReports() {
	if c.now() < c.nextReportExpiry {
		return
	}
	c.nextReportExpiry = c.now().Add(reportExpiryInterval)
	c.follower.Expire(c.now())
}

const reportExpiryInterval = 10 * time.Second

// requestMissingVersions asks other relays for versions that the platform did not deliver.
func (c *control) requestMissingVersions() {
	for _, name := range c.hub.Lagging(c.now()) {
		if l, ok := c.relayLinks[name]; ok {
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
			for _, m := range c.applyMessage(s.Message) {
				sends = append(sends, c.hub.Handle(c.now(), c.n.name, m)...)
			}
			continue
		}
		if l, ok := c.inboundLinks[s.To]; ok {
			l.sendShared(s.Message, encoded)
		}
	}
}

// applyMessage gives a relay's message to the follower and logs what came of it.
func (c *control) applyMessage(m relay.Message) []relay.Message {
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
		c.handleStatusReply(m)
	case *relay.Shares:
		c.handleShares(m)
	case *relay.Invite:
		c.startCandidacy(m.Index)
	}
	return replies
}

// handleUplink takes a message from the relay that the node follows.
func (c *control) handleUplink(l *peerLink, m relay.Message) {
	if c.uplink != l {
		return
	}
	for _, reply := range c.applyMessage(m) {
		l.send(reply)
	}
	if s, ok := m.(*relay.Seats); ok {
		c.handleSeats(l, s)
	}
}

// handleSeats notes the relays, and leaves one that is none any more.
func (c *control) handleSeats(l *peerLink, s *relay.Seats) {
	if len(s.Seats) > 0 {
		c.seats = s.Seats
	}
	if s.Redirect {
		c.n.log.Info("relay left: it named others", "relay", l.name)
		l.close()
	}
}

// returnToLocalRelay leaves a relay of another data centre once the own one has a relay
// that may be reached.
func (c *control) returnToLocalRelay() {
	if c.uplink == nil {
		return
	}
	here := c.n.cfg.DataCentre
	uplinkRemote := slices.ContainsFunc(c.seats, func(s relay.Seat) bool { return s.Node == c.uplink.name && s.DataCentre != here })
	localReachable := slices.ContainsFunc(c.seats, func(s relay.Seat) bool { return s.DataCentre == here && !c.unreachable(s) })
	if uplinkRemote && localReachable {
		c.n.log.Info("relay left: the own data centre has one", "relay", c.uplink.name)
		c.uplink.close()
	}
}

// unreachable reports whether a link to the relay failed a short time ago.
func (c *control) unreachable(s relay.Seat) bool {
	at, ok := c.failedAt[s.Address]
	return ok && c.now().Sub(at) < failedRelayDelay
}

// sendToRelay sends a message of the node's own to its relay.
func (c *control) sendToRelay(m relay.Message) {
	switch {
	case c.hub != nil:
		c.handleNode(c.n.name, m)
	case c.uplink != nil:
		c.uplink.send(m)
	}
}

// handleNode takes a message from a node linked to this relay.
func (c *control) handleNode(name string, m relay.Message) {
	if a, ok := m.(*relay.Asks); ok {
		c.grantShares(name, a)
		return
	}
	c.deliver(c.hub.Handle(c.now(), name, m))
}

// announce updates the record of the backend server.
func (c *control) announce(r server.Record) {
	if m := c.follower.Announce(r); m != nil {
		c.n.log.Info("server record", "service", r.Service, "state", r.State, "slots", r.Slots)
		c.sendToRelay(m)
	}
}

// report passes on the requests in flight when the backend server crashed.
func (c *control) report(reports []quarantine.Report) {
	if m := c.follower.Report(reports); m != nil {
		c.sendToRelay(m)
	}
}

// announceDraining tells the others that the node's server takes no calls any more.
func (c *control) announceDraining() { c.n.scheduler.announceState(c) }

// announceGone tells the others that the node goes.
func (c *control) announceGone() {
	c.n.scheduler.markGone()
	own := c.n.scheduler.record(server.Gone)
	if own.Service != "" {
		c.announce(own)
		c.askSerial++
		c.sendToRelay(&relay.Asks{Service: own.Service, Incarnation: c.n.incarnation, Release: true, Serial: c.askSerial})
	}
	if c.uplink != nil {
		c.uplink.flush()
	}
	for _, l := range c.inboundLinks {
		l.flush()
	}
}

// requestShares sends the station's asks for shares of limits. One requestShares at a time is
// under way, so that what it says of the shares held stays true.
func (c *control) requestShares() {
	if c.askedAt != 0 && c.now().Sub(c.askedAt) < askTimeout {
		return
	}
	if c.askedAt != 0 {
		c.n.scheduler.askAgain()
	}
	c.askedAt = 0
	if c.hub == nil && c.uplink == nil {
		return
	}
	service, asks := c.n.scheduler.shareAsks()
	if len(asks) == 0 {
		return
	}
	c.askSerial++
	c.askedAt = c.now()
	c.sendToRelay(&relay.Asks{Service: service, Incarnation: c.n.incarnation, Asks: asks, Serial: c.askSerial})
}

func (c *control) handleShares(m *relay.Shares) {
	if m.Serial != c.askSerial || c.askedAt == 0 {
		return
	}
	c.askedAt = 0
	c.n.scheduler.grant(m.Shares)
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
		sleep(ctx, learnRetryDelay)
	}
	return ctx.Err()
}

const learnRetryDelay = 500 * time.Millisecond

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
	reply, err := n.fleetProgress(ctx)
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

// fleetProgress asks the node's relay for the fleetProgress of all nodes.
func (n *Node) fleetProgress(ctx context.Context) (*relay.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer := make(chan *relay.StatusReply, 1)
	n.post(func(c *control) {
		c.lastStatusID++
		c.pendingStatuses[c.lastStatusID] = answer
		c.sendToRelay(&relay.StatusRequest{ID: c.lastStatusID})
	})
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, gd.Unavailable.Errorf("no relay answered within %s", statusTimeout)
	}
}

const statusTimeout = 3 * time.Second

func (c *control) handleStatusReply(m *relay.StatusReply) {
	if answer, ok := c.pendingStatuses[m.ID]; ok {
		answer <- m
	}
	delete(c.pendingStatuses, m.ID)
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
