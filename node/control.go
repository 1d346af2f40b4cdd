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
	failedRelayDelay    = 30 * time.Second // a relay that could not be reached is tried last for this time
	shareReplyTimeout   = 5 * time.Second  // a share request without a reply is retried after this time
)

// control is the node's control state. A single goroutine owns it; other
// goroutines access it through post and query.
type control struct {
	n        *Node
	rnd      *rand.Rand
	follower *relay.Follower

	uplink   *peerLink             // link to the relay that the node follows
	seats    []relay.Seat          // known relays
	failedAt map[string]clock.Time // when a relay failed, by its address

	candidacy    *candidacy           // for the seat that the node holds or wants, or nil
	hub          *relay.Hub           // nil unless the node is a relay
	inboundLinks map[string]*peerLink // links that nodes and relays opened to this relay
	relayLinks   map[string]*peerLink // links that this relay opened to other relays
	cancelRole   context.CancelFunc   // stops the goroutines of the relay role; nil unless the node is a relay

	era                  uint64     // of the platform's store, the latest known
	eraSince             clock.Time // when a later era than the first became known, or 0
	restoring            bool       // restoreTable runs
	shareSerial          uint64
	sharesRequestedAt    clock.Time // 0 if no share request awaits a reply
	pendingStatuses      map[uint64]chan *relay.StatusReply
	lastStatusID         uint64
	publishedGenerations publishedGenerations
	nextReportExpiry     clock.Time
}

// publishedGenerations holds the generations of the directory and of the
// quarantine register that the snapshot shows.
type publishedGenerations struct {
	directory, register uint64
}

// candidacy is an attempt to take or keep the lease of a relay seat.
type candidacy struct {
	index int
	lease lease.Lease
	busy  bool // a platform call is in progress
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

// post makes the control goroutine run f.
func (n *Node) post(f func(*control)) {
	select {
	case n.controlQueue <- f:
	case <-n.stopped:
	}
}

// query makes the control goroutine run f and returns its result. ok is false
// if ctx ends first.
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

// runControl runs the goroutine that owns the control state.
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

// drainControlQueue runs the functions posted before the node closed.
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

// publish replaces the snapshot if the control state has changed.
func (n *Node) publish(c *control) {
	old := n.snapshot.Load()
	d := c.follower.Directory()
	next := &snapshot{policy: c.follower.Policy(), register: c.follower.Register()}
	generations := publishedGenerations{d.Generation(), next.register.Generation()}
	if old != nil && old.policy == next.policy && c.publishedGenerations == generations {
		return
	}
	c.publishedGenerations = generations
	next.serving = d.Serving()
	n.snapshot.Store(next)
	n.chooser.retain(d)
	n.scheduler.setPolicy(next.policy)
}

func (c *control) now() clock.Time { return c.n.cfg.Clock.Now() }

// tick runs the periodic work of the control state.
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

// expireReports drops old crash reports every reportExpiryInterval.
func (c *control) expireReports() {
	if c.now() < c.nextReportExpiry {
		return
	}
	c.nextReportExpiry = c.now().Add(reportExpiryInterval)
	c.follower.Expire(c.now())
}

// reportExpiryInterval is the time between expiries of old crash reports.
const reportExpiryInterval = 10 * time.Second

// requestMissingVersions asks other relays for versions that the platform did
// not deliver.
func (c *control) requestMissingVersions() {
	for _, name := range c.hub.RelaysAhead(c.now()) {
		if l, ok := c.relayLinks[name]; ok {
			c.n.log.Info("requesting table version from another relay", "relay", name)
			l.send(c.hub.Want())
		}
	}
}

// deliver sends the hub's messages. It handles those to the node itself
// directly and passes the replies back to the hub.
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

// applyMessage passes a relay's message to the follower, logs changes of the
// table version and returns the replies.
func (c *control) applyMessage(m relay.Message) []relay.Message {
	version := c.follower.Version()
	refused, _ := c.follower.Refused()
	replies := c.follower.Handle(m)
	if v := c.follower.Version(); v != version {
		c.n.log.Info("table version in force", "version", v, "from", version)
	}
	if r, reason := c.follower.Refused(); r != refused && r != 0 {
		c.n.log.Error("refused table version", "version", r, "reason", reason, "in-force", version)
	}
	switch m := m.(type) {
	case *relay.StatusReply:
		c.handleStatusReply(m)
	case *relay.ShareReply:
		c.handleShares(m)
	case *relay.Invite:
		c.startCandidacy(m.Index)
	}
	return replies
}

// handleUplinkMessage handles a message from the relay that the node follows.
func (c *control) handleUplinkMessage(l *peerLink, m relay.Message) {
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

// handleSeats records the list of relays. It closes the link if the peer is no
// longer a relay.
func (c *control) handleSeats(l *peerLink, s *relay.Seats) {
	if len(s.Seats) > 0 {
		c.seats = s.Seats
	}
	c.enterEra(s.Era)
	if s.Redirect {
		c.n.log.Info("leaving relay: it redirected the node to other relays", "relay", l.name)
		l.close()
	}
}

// returnToLocalRelay leaves a relay of another data centre once the node's own
// data centre has a relay that has not failed recently.
func (c *control) returnToLocalRelay() {
	if c.uplink == nil {
		return
	}
	here := c.n.cfg.DataCentre
	uplinkRemote := slices.ContainsFunc(c.seats, func(s relay.Seat) bool { return s.Node == c.uplink.name && s.DataCentre != here })
	localReachable := slices.ContainsFunc(c.seats, func(s relay.Seat) bool { return s.DataCentre == here && !c.unreachable(s) })
	if uplinkRemote && localReachable {
		c.n.log.Info("leaving relay: the node's own data centre has one", "relay", c.uplink.name)
		c.uplink.close()
	}
}

// unreachable reports whether a link to the relay failed less than
// failedRelayDelay ago.
func (c *control) unreachable(s relay.Seat) bool {
	at, ok := c.failedAt[s.Address]
	return ok && c.now().Sub(at) < failedRelayDelay
}

// sendToRelay sends a message of this node to its relay, which may be the node
// itself.
func (c *control) sendToRelay(m relay.Message) {
	switch {
	case c.hub != nil:
		c.handleNodeMessage(c.n.name, m)
	case c.uplink != nil:
		c.uplink.send(m)
	}
}

// handleNodeMessage handles a message from a node that follows this relay.
func (c *control) handleNodeMessage(name string, m relay.Message) {
	if req, ok := m.(*relay.ShareRequest); ok {
		c.grantShares(name, req)
		return
	}
	c.deliver(c.hub.Handle(c.now(), name, m))
}

// announce updates the record of the backend server.
func (c *control) announce(r server.Record) {
	if m := c.follower.Announce(r); m != nil {
		c.n.log.Info("server record changed", "service", r.Service, "state", r.State, "slots", r.Slots)
		c.sendToRelay(m)
	}
}

// report sends reports of the requests in flight when the backend server
// crashed.
func (c *control) report(reports []quarantine.Report) {
	if m := c.follower.Report(reports); m != nil {
		c.sendToRelay(m)
	}
}

// announceDraining announces that the node's server accepts no more calls.
func (c *control) announceDraining() { c.n.scheduler.announceState(c) }

// announceGone announces that the node's server is gone and releases the node's
// shares of limits.
func (c *control) announceGone() {
	c.n.scheduler.markGone()
	own := c.n.scheduler.record(server.Gone)
	if own.Service != "" {
		c.announce(own)
		c.announceToRelays()
		c.shareSerial++
		c.sendToRelay(&relay.ShareRequest{Service: own.Service, Incarnation: c.n.incarnation, Release: true, Serial: c.shareSerial})
	}
	if c.uplink != nil {
		c.uplink.flush()
	}
	for _, l := range c.inboundLinks {
		l.flush()
	}
	for _, l := range c.relayLinks {
		l.flush()
	}
}

// announceToRelays sends the node's record over the links that this relay opened to other
// relays. The hub sends over those that others opened, and a new relay may have none.
func (c *control) announceToRelays() {
	own, ok := c.follower.Directory().Record(c.n.name)
	if !ok {
		return
	}
	for _, l := range c.relayLinks {
		l.send(&relay.Members{Records: []server.Record{own}})
	}
}

// requestShares sends the scheduler's share requests. They state which shares the
// node holds, and a reply changes that, so the next message is sent only after the
// reply to the last one or after shareReplyTimeout.
func (c *control) requestShares() {
	if c.sharesRequestedAt != 0 && c.now().Sub(c.sharesRequestedAt) < shareReplyTimeout {
		return
	}
	if c.sharesRequestedAt != 0 {
		c.n.scheduler.retryShareRequests()
	}
	c.sharesRequestedAt = 0
	if c.hub == nil && c.uplink == nil {
		return
	}
	service, shareRequests := c.n.scheduler.shareRequests()
	if len(shareRequests) == 0 {
		return
	}
	c.shareSerial++
	c.sharesRequestedAt = c.now()
	c.sendToRelay(&relay.ShareRequest{Service: service, Incarnation: c.n.incarnation, Requests: shareRequests, Serial: c.shareSerial})
}

// handleShares passes the granted shares to the scheduler. It ignores the reply
// to an earlier share request.
func (c *control) handleShares(m *relay.ShareReply) {
	if m.Serial != c.shareSerial || c.sharesRequestedAt == 0 {
		return
	}
	c.sharesRequestedAt = 0
	c.n.scheduler.grant(m.Shares)
}

// learnVersion finds the table version that the node must have before it accepts
// calls: the current version in the platform, or while the platform is down the
// newest version in force on any node that the relays reach.
func (n *Node) learnVersion(ctx context.Context) error {
	for ctx.Err() == nil {
		version, err := n.platformVersion(ctx)
		if err != nil {
			n.log.Warn("cannot read the current table version from the platform; asking the relays", "error", err)
			version, err = n.fleetVersion(ctx)
		}
		if err == nil {
			n.post(func(c *control) { c.follower.RequireVersion(version) })
			n.log.Info("found the current table version", "version", version)
			<-ctx.Done()
			break
		}
		sleep(ctx, learnRetryDelay)
	}
	return ctx.Err()
}

// learnRetryDelay is the delay between attempts to find the current table version.
const learnRetryDelay = 500 * time.Millisecond

// platformVersion returns the table version in the platform, or 0 if there is no
// table.
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

// fleetVersion returns the newest version in force on the nodes that the relays
// reach. It fails if a relay does not reply, since that relay's nodes may have a
// newer version.
func (n *Node) fleetVersion(ctx context.Context) (uint64, error) {
	reply, err := n.fleetProgress(ctx)
	if err != nil {
		return 0, err
	}
	if len(reply.Silent) > 0 {
		return 0, gd.Unavailable.Errorf("relays %v did not reply", reply.Silent)
	}
	var newest uint64
	for _, p := range reply.Nodes {
		newest = max(newest, p.Version)
	}
	return newest, nil
}

// fleetProgress asks the node's relay for the table version that each node has
// acknowledged.
func (n *Node) fleetProgress(ctx context.Context) (*relay.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	replies := make(chan *relay.StatusReply, 1)
	n.post(func(c *control) {
		c.lastStatusID++
		c.pendingStatuses[c.lastStatusID] = replies
		c.sendToRelay(&relay.StatusRequest{ID: c.lastStatusID})
	})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, gd.Unavailable.Errorf("no relay replied within %s", statusTimeout)
	}
}

// statusTimeout is the time limit of a status request to the relays.
const statusTimeout = 3 * time.Second

// handleStatusReply passes the reply to the call of fleetProgress that waits for
// it.
func (c *control) handleStatusReply(m *relay.StatusReply) {
	if replies, ok := c.pendingStatuses[m.ID]; ok {
		replies <- m
	}
	delete(c.pendingStatuses, m.ID)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
