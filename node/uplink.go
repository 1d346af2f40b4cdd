package node

import (
	"context"
	"time"

	"github.com/geraniumdock/geraniumdock/link"
	"github.com/geraniumdock/geraniumdock/relay"
)

// Settings of links to relays. Attempts to reach a relay back off from
// minRelayRetryDelay to maxRelayRetryDelay.
const (
	minRelayRetryDelay = 200 * time.Millisecond
	maxRelayRetryDelay = 3 * time.Second
	stableLinkAge      = 5 * time.Second // a link that lasts longer resets the delay
	linkQueueSize      = 256
	flushTimeout       = 500 * time.Millisecond
	rolePollInterval   = 250 * time.Millisecond
)

// peerLink is a control link with its own writer goroutine, so that a slow peer
// delays no other link. A link whose queue is full is closed.
type peerLink struct {
	name          string
	conn          *link.Conn
	queue         chan []byte
	flushRequests chan chan struct{}
	done          chan struct{}
}

func newPeerLink(name string, conn *link.Conn) *peerLink {
	l := &peerLink{
		name:          name,
		conn:          conn,
		queue:         make(chan []byte, linkQueueSize),
		flushRequests: make(chan chan struct{}, 1),
		done:          make(chan struct{}),
	}
	go l.write()
	return l
}

// write sends queued messages until the link fails or is closed.
func (l *peerLink) write() {
	defer l.close()
	for {
		select {
		case data := <-l.queue:
			if err := l.conn.Send(data); err != nil {
				return
			}
		case flushed := <-l.flushRequests:
			l.writeQueued()
			close(flushed)
		case <-l.done:
			return
		}
	}
}

// writeQueued sends the messages that are queued now.
func (l *peerLink) writeQueued() {
	for {
		select {
		case data := <-l.queue:
			if err := l.conn.Send(data); err != nil {
				return
			}
		default:
			return
		}
	}
}

// send queues m. If the queue is full, it closes the link.
func (l *peerLink) send(m relay.Message) { l.sendShared(m, nil) }

// sendShared queues m. The map encoded, if not nil, keeps the encoded message
// for other links that send m too.
func (l *peerLink) sendShared(m relay.Message, encoded map[relay.Message][]byte) {
	data, ok := encoded[m]
	if !ok {
		var err error
		if data, err = relay.Encode(m); err != nil {
			return
		}
		if encoded != nil {
			encoded[m] = data
		}
	}
	select {
	case l.queue <- data:
	default:
		l.close()
	}
}

// flush waits until the queued messages are written, for at most flushTimeout.
func (l *peerLink) flush() {
	flushed := make(chan struct{})
	select {
	case l.flushRequests <- flushed:
	default:
		return
	}
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case <-flushed:
	case <-t.C:
	}
}

// close closes the link, which also ends read.
func (l *peerLink) close() { _ = l.conn.Close() } // the link is not used any more

// read passes received messages to handle until the link closes.
func (l *peerLink) read(handle func(relay.Message)) {
	defer close(l.done)
	defer l.close()
	for {
		data, err := l.conn.Receive()
		if err != nil {
			return
		}
		m, err := relay.Decode(data)
		if err != nil {
			return
		}
		handle(m)
	}
}

// runUplink keeps the node linked to a relay until ctx is done.
func (n *Node) runUplink(ctx context.Context) error {
	rnd := n.random(2)
	delay := minRelayRetryDelay
	for ctx.Err() == nil {
		began := n.cfg.Clock.Monotonic()
		n.followOnce(ctx)
		if n.cfg.Clock.Monotonic()-began > stableLinkAge {
			delay = minRelayRetryDelay
		}
		// Jitter spreads the reconnects after a relay fails.
		sleep(ctx, delay/2+time.Duration(rnd.Int64N(int64(delay))))
		delay = min(2*delay, maxRelayRetryDelay)
	}
	return ctx.Err()
}

// followOnce follows the first reachable relay until the link closes. If the
// node is a relay, it waits until it no longer is.
func (n *Node) followOnce(ctx context.Context) {
	if isRelay, ok := query(ctx, n, func(c *control) bool { return c.hub != nil }); !ok || isRelay {
		n.waitWhileRelay(ctx)
		return
	}
	seats, _ := query(ctx, n, (*control).relaysToTry)
	if n.followAny(ctx, seats) || n.discover(ctx) {
		return
	}
	fallbacks, _ := query(ctx, n, (*control).fallbackRelays)
	n.followAny(ctx, fallbacks)
}

// followAny follows the first reachable relay of seats until the link closes. It
// reports whether there was one or ctx is done.
func (n *Node) followAny(ctx context.Context, seats []relay.Seat) bool {
	for _, s := range seats {
		if ctx.Err() != nil || n.followRelay(ctx, s) {
			return true
		}
	}
	return false
}

// waitWhileRelay returns when the node is not a relay or ctx is done.
func (n *Node) waitWhileRelay(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rolePollInterval)
		if isRelay, ok := query(ctx, n, func(c *control) bool { return c.hub != nil }); !ok || !isRelay {
			return
		}
	}
}

// relaysToTry returns the relays that have not failed recently: those of the
// node's own data centre in random order, then the others in random order.
func (c *control) relaysToTry() []relay.Seat {
	var local, remote []relay.Seat
	for _, s := range c.seats {
		switch {
		case s.Node == c.n.name, c.unreachable(s):
		case s.DataCentre == c.n.cfg.DataCentre:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	for _, seats := range [][]relay.Seat{local, remote} {
		c.rnd.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	}
	return append(local, remote...)
}

// fallbackRelays returns the relays to try when the platform is unavailable and
// no other relay can be reached: the configured seeds, then all known relays,
// including those that failed recently.
func (c *control) fallbackRelays() []relay.Seat {
	var list []relay.Seat
	for _, address := range c.n.cfg.Seeds {
		list = append(list, relay.Seat{Address: address})
	}
	return append(list, c.seats...)
}

// followRelay links to the relay and follows it until the link closes. It
// reports whether the relay could be reached.
func (n *Node) followRelay(ctx context.Context, s relay.Seat) bool {
	conn, err := n.endpoint.Dial(ctx, s.Address, link.NodeKeepAlive)
	if err != nil {
		n.log.Debug("cannot reach relay", "relay", s.Node, "address", s.Address, "error", err)
		n.post(func(c *control) { c.failedAt[s.Address] = c.now() })
		return false
	}
	l := newPeerLink(conn.Peer(), conn)
	n.log.Info("linked to relay", "relay", l.name, "data-centre", s.DataCentre, "address", s.Address)
	n.post(func(c *control) { c.setUplink(l) })
	l.read(func(m relay.Message) {
		n.post(func(c *control) { c.handleUplinkMessage(l, m) })
	})
	n.post(func(c *control) { c.clearUplink(l) })
	return true
}

// setUplink sets the link to the relay that the node follows, unless the node is
// a relay itself.
func (c *control) setUplink(l *peerLink) {
	if c.hub != nil {
		l.close()
		return
	}
	c.uplink = l
	l.send(c.follower.Hello())
}

// clearUplink removes the closed link and records that its relay failed.
func (c *control) clearUplink(l *peerLink) {
	if c.uplink != l {
		return
	}
	c.n.log.Info("lost the link to the relay", "relay", l.name)
	c.uplink = nil
	for _, s := range c.seats {
		if s.Node == l.name {
			c.failedAt[s.Address] = c.now()
		}
	}
}

// withoutNode returns the seats that the node does not hold.
func withoutNode(seats []relay.Seat, node string) []relay.Seat {
	var kept []relay.Seat
	for _, s := range seats {
		if s.Node != node {
			kept = append(kept, s)
		}
	}
	return kept
}

// discover reads the relays from the platform. If its own data centre has a
// vacant seat, the node becomes a candidate for it. discover reports whether the
// platform responded.
func (n *Node) discover(ctx context.Context) bool {
	seats, err := n.listSeats(ctx)
	if err != nil {
		n.log.Warn("cannot reach any relay or list the relays in the platform", "error", err)
		return false
	}
	n.post(func(c *control) {
		c.seats = seats
		if i, ok := vacantSeat(seats, n.cfg.DataCentre); ok {
			c.startCandidacy(i)
		}
	})
	return true
}

// vacantSeat returns the index of the first vacant seat of the data centre.
func vacantSeat(seats []relay.Seat, dataCentre string) (int, bool) {
	taken := map[int]bool{}
	for _, s := range seats {
		if s.DataCentre == dataCentre {
			taken[s.Index] = true
		}
	}
	for i := range relay.SeatsPerDataCentre {
		if !taken[i] {
			return i, true
		}
	}
	return 0, false
}
