package node

import (
	"context"
	"time"

	"github.com/geraniumdock/geraniumdock/link"
	"github.com/geraniumdock/geraniumdock/relay"
)

// Pauses between attempts to reach a relay.
const (
	minRelayRetryDelay = 200 * time.Millisecond
	maxRelayRetryDelay = 3 * time.Second
	stableLinkAge      = 5 * time.Second // a link that lasted this long resets the pause
	linkQueueSize      = 256
	flushTimeout       = 500 * time.Millisecond
	rolePollInterval   = 250 * time.Millisecond
)

// peerLink is a link with a writer of its own, so that a slow peer holds up
// nobody. A peer that does not keep up loses the link.
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

// write sends until the link fails or is closed.
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

func (l *peerLink) send(m relay.Message) { l.sendShared(m, nil) }

// sendShared sends m, encoding it once for all links that get it.
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

// flush waits a little until what was sent is on its way.
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

// close ends the link; its reader notices.
func (l *peerLink) close() { _ = l.conn.Close() } // it is given up

// read passes on messages until the link ends.
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

// runUplink keeps the node linked to a relay.
func (n *Node) runUplink(ctx context.Context) error {
	rnd := n.random(2)
	delay := minRelayRetryDelay
	for ctx.Err() == nil {
		began := n.cfg.Clock.Monotonic()
		n.followOnce(ctx)
		if n.cfg.Clock.Monotonic()-began > stableLinkAge {
			delay = minRelayRetryDelay
		}
		// Jitter spreads the nodes of a relay that died over time.
		sleep(ctx, delay/2+time.Duration(rnd.Int64N(int64(delay))))
		delay = min(2*delay, maxRelayRetryDelay)
	}
	return ctx.Err()
}

// followOnce follows the first relay that can be reached until the link ends.
func (n *Node) followOnce(ctx context.Context) {
	if isRelay, ok := query(ctx, n, func(c *control) bool { return c.hub != nil }); !ok || isRelay {
		n.waitWhileRelay(ctx)
		return
	}
	seats, _ := query(ctx, n, (*control).relaysToTry)
	if n.followAny(ctx, seats) || n.discover(ctx) {
		return
	}
	last, _ := query(ctx, n, (*control).fallbackRelays)
	n.followAny(ctx, last)
}

// followAny follows the first of the relays that can be reached, and reports
// whether there was one.
func (n *Node) followAny(ctx context.Context, seats []relay.Seat) bool {
	for _, s := range seats {
		if ctx.Err() != nil || n.followRelay(ctx, s) {
			return true
		}
	}
	return false
}

func (n *Node) waitWhileRelay(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rolePollInterval)
		if isRelay, ok := query(ctx, n, func(c *control) bool { return c.hub != nil }); !ok || !isRelay {
			return
		}
	}
}

// relaysToTry returns the relays that did not fail a short time ago: those of
// the own data centre in random order, then the others.
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

// fallbackRelays returns what is left to try while the platform does not answer:
// the seeds, and the relays that failed.
func (c *control) fallbackRelays() []relay.Seat {
	var list []relay.Seat
	for _, address := range c.n.cfg.Seeds {
		list = append(list, relay.Seat{Address: address})
	}
	return append(list, c.seats...)
}

// followRelay links to the relay and follows it until the link ends. It
// reports whether the link came about.
func (n *Node) followRelay(ctx context.Context, s relay.Seat) bool {
	conn, err := n.endpoint.Dial(ctx, s.Address, link.NodeProbing)
	if err != nil {
		n.log.Debug("relay not reached", "relay", s.Node, "address", s.Address, "error", err)
		n.post(func(c *control) { c.failedAt[s.Address] = c.now() })
		return false
	}
	l := newPeerLink(conn.Peer(), conn)
	n.log.Info("relay chosen", "relay", l.name, "data-centre", s.DataCentre, "address", s.Address)
	n.post(func(c *control) { c.setUplink(l) })
	l.read(func(m relay.Message) {
		n.post(func(c *control) { c.handleUplink(l, m) })
	})
	n.post(func(c *control) { c.clearUplink(l) })
	return true
}

func (c *control) setUplink(l *peerLink) {
	if c.hub != nil {
		l.close()
		return
	}
	c.uplink = l
	l.send(c.follower.Hello())
}

func (c *control) clearUplink(l *peerLink) {
	if c.uplink != l {
		return
	}
	c.n.log.Info("link to relay lost", "relay", l.name)
	c.uplink = nil
	for _, s := range c.seats {
		if s.Node == l.name {
			c.failedAt[s.Address] = c.now()
		}
	}
}

func withoutNode(seats []relay.Seat, node string) []relay.Seat {
	var kept []relay.Seat
	for _, s := range seats {
		if s.Node != node {
			kept = append(kept, s)
		}
	}
	return kept
}

// discover reads the relays from the platform and stands for a vacant seat of
// the own data centre. It reports whether the platform answered.
func (n *Node) discover(ctx context.Context) bool {
	seats, err := n.listSeats(ctx)
	if err != nil {
		n.log.Warn("no relay reached and the platform does not answer", "error", err)
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

func vacantSeat(seats []relay.Seat, dataCentre string) (int, bool) {
	taken := map[int]bool{}
	for _, s := range seats {
		if s.DataCentre == dataCentre {
			taken[s.Index] = true
		}
	}
	for i := range relay.SeatsPerDC {
		if !taken[i] {
			return i, true
		}
	}
	return 0, false
}
