package node

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/lease"
	"github.com/geraniumdock/geraniumdock/link"
	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/table"
)

// Each data centre has relay.SeatsPerDataCentre seats, numbered from 0. A node is a
// relay while it holds the lease of a seat.
const (
	seatPrefix = "relay/" // prefix of the keys of seats in the platform's store
)

const (
	watchTimeout             = 5 * time.Second // maximum length of a watch; a read follows each watch
	relayListInterval        = 5 * time.Second
	initialRelayListInterval = 500 * time.Millisecond // a new relay lists the other relays more often at first
	initialRelayListCount    = 6
	expiredSeatGrace         = 20 * time.Second // an expired seat stays listed for this time
	watchRetryDelay          = 500 * time.Millisecond
)

func seatKey(dataCentre string, index int) string {
	return seatPrefix + dataCentre + "/" + strconv.Itoa(index)
}

// listSeats returns the relays whose leases are valid or expired less than
// expiredSeatGrace ago.
func (n *Node) listSeats(ctx context.Context) ([]relay.Seat, error) {
	objects, err := n.cfg.Store.List(ctx, seatPrefix)
	if err != nil {
		return nil, err
	}
	var seats []relay.Seat
	for _, o := range objects {
		r, err := lease.Decode(o.Value)
		if err != nil {
			n.log.Warn("a relay seat cannot be read", "key", o.Key, "revision", o.Revision.String(), "error", err)
			continue
		}
		if r.Expires.Add(expiredSeatGrace) < n.cfg.Clock.Now() {
			continue
		}
		index, err := strconv.Atoi(o.Key[strings.LastIndexByte(o.Key, '/')+1:])
		if err != nil {
			continue
		}
		seats = append(seats, relay.Seat{Node: r.Holder, DataCentre: r.DataCentre, Address: r.Address, Index: index})
	}
	return seats, nil
}

// startCandidacy makes the node a candidate for the relay seat with the index,
// unless it is a candidate already.
func (c *control) startCandidacy(index int) {
	if c.candidacy != nil {
		return
	}
	c.n.log.Info("became a candidate for a relay seat", "seat", index)
	c.candidacy = &candidacy{index: index, lease: lease.New(c.n.name, c.n.advertisedAddress(), c.n.cfg.DataCentre)}
}

// stepCandidacy starts the read or write of the lease that is due.
func (c *control) stepCandidacy(ctx context.Context) {
	cand := c.candidacy
	if cand == nil || cand.busy {
		return
	}
	step := cand.lease.Next(c.now())
	switch step.Action {
	case lease.Read:
		cand.busy = true
		c.n.tasks.Go(func() { c.n.readSeat(ctx, cand) })
	case lease.Write:
		cand.busy = true
		c.n.tasks.Go(func() { c.n.writeSeat(ctx, cand, step) })
	}
}

func (n *Node) readSeat(ctx context.Context, cand *candidacy) {
	o, err := n.cfg.Store.Get(ctx, seatKey(n.cfg.DataCentre, cand.index))
	n.post(func(c *control) {
		cand.busy = false
		if err != nil && !gd.NotFound.Is(err) {
			cand.lease = cand.lease.WithFailure(c.now(), c.rnd)
			return
		}
		cand.lease = cand.lease.WithRead(c.now(), o)
		c.checkHolder(cand)
	})
}

// checkHolder gives up the candidacy and the relay role if another node holds
// the seat.
func (c *control) checkHolder(cand *candidacy) {
	holder := cand.lease.LastSeen()
	if holder.Holder == "" || holder.Holder == c.n.name || holder.Expires.Add(lease.MaxClockSkew) < c.now() {
		return
	}
	c.n.log.Info("another node holds the relay seat", "seat", cand.index, "holder", holder.Holder)
	c.candidacy = nil
	c.endRelayRole()
}

func (n *Node) writeSeat(ctx context.Context, cand *candidacy, step lease.Step) {
	data, err := step.Record.Encode()
	var o gd.Object
	if err == nil {
		o, err = n.cfg.Store.Put(ctx, seatKey(n.cfg.DataCentre, cand.index), data, step.IfRevision)
	}
	n.post(func(c *control) {
		cand.busy = false
		if err != nil {
			// The lease is read next, which shows the holder after a lost
			// response as well as after a conflict.
			cand.lease = cand.lease.WithFailure(c.now(), c.rnd)
			return
		}
		cand.lease = cand.lease.WithWritten(c.now(), step.Record, o.Revision)
		c.startRelayRole(ctx)
	})
}

// startRelayRole makes the node a relay.
func (c *control) startRelayRole(ctx context.Context) {
	if c.hub != nil || ctx.Err() != nil {
		return
	}
	c.n.log.Info("became a relay", "seat", c.candidacy.index)
	c.hub = relay.NewHub(c.n.name, c.n.cfg.DataCentre, c.n.cfg.GatherDelay, c.n.random(3))
	head, chunks := c.follower.Head()
	c.hub.SetHead(c.now(), head, chunks)
	c.hub.Init(c.now(), c.follower.Directory(), c.follower.Register())
	c.hub.SetEra(c.era)
	if c.uplink != nil {
		c.uplink.close()
		c.uplink = nil
	}
	c.deliver(c.hub.Join(c.now(), c.follower.Hello()))
	ctx, cancel := context.WithCancel(ctx)
	c.n.tasks.Go(func() { c.n.watchHead(ctx) })
	c.n.tasks.Go(func() { c.n.watchSeats(ctx) })
	c.cancelRole = cancel
}

// endRelayRole makes the node an ordinary node again and redirects the nodes
// linked to it to other relays.
func (c *control) endRelayRole() {
	if c.hub == nil {
		return
	}
	c.n.log.Info("no longer a relay")
	for _, l := range c.inboundLinks {
		l.send(&relay.Seats{Seats: withoutNode(c.seats, c.n.name), Redirect: true})
		l.flush()
	}
	c.stopRelayServices()
	c.hub = nil
}

// stopRelayServices stops the goroutines of the relay role and closes its links.
func (c *control) stopRelayServices() {
	if c.cancelRole == nil {
		return
	}
	c.cancelRole()
	c.cancelRole = nil
	for _, l := range c.inboundLinks {
		l.close()
	}
	for _, l := range c.relayLinks {
		l.close()
	}
	c.inboundLinks = map[string]*peerLink{}
	c.relayLinks = map[string]*peerLink{}
}

// watchHead passes each version of the table that the platform accepts to the
// hub. A stalled watch delays a version by at most watchTimeout, since a read
// follows each watch.
func (n *Node) watchHead(ctx context.Context) {
	rnd := n.random(4)
	var revision gd.Revision
	for ctx.Err() == nil {
		o, err := n.cfg.Store.Get(ctx, table.HeadKey)
		if err == nil || gd.NotFound.Is(err) {
			n.checkStoredTable(ctx, o)
		}
		if err == nil && o.Revision != revision {
			err = n.loadHead(ctx, o)
		}
		if err == nil {
			revision = o.Revision
		}
		if err == nil || gd.NotFound.Is(err) {
			o, err = n.cfg.Store.Watch(ctx, table.HeadKey, revision, watchTimeout)
		}
		if err == nil && o.Revision.After(revision) && n.loadHead(ctx, o) == nil {
			revision = o.Revision
			continue
		}
		if !gd.TimedOut.Is(err) {
			sleep(ctx, watchRetryDelay/2+time.Duration(rnd.Int64N(int64(watchRetryDelay))))
		}
	}
}

// loadHead reads the chunks that the hub lacks and passes it the new version.
func (n *Node) loadHead(ctx context.Context, o gd.Object) error {
	head, err := table.DecodeHead(o.Value)
	if err != nil {
		n.log.Error("cannot decode the table head in the platform's store", "error", err)
		return nil // a retry would read the same head
	}
	have, ok := query(ctx, n, func(c *control) table.Chunks {
		if c.hub == nil {
			return nil
		}
		_, chunks := c.hub.Head()
		return chunks
	})
	if !ok {
		return ctx.Err()
	}
	chunks, err := table.Fetch(ctx, n.cfg.Store, head, have)
	if err != nil {
		return err
	}
	n.post(func(c *control) {
		if c.hub != nil {
			c.hub.SetHead(c.now(), head, chunks)
		}
	})
	return nil
}

// watchSeats keeps the list of relays and the links to them up to date.
func (n *Node) watchSeats(ctx context.Context) {
	links := map[relay.Seat]context.CancelFunc{}
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		if seats, err := n.listSeats(ctx); err == nil {
			n.post(func(c *control) { c.setSeats(seats) })
			n.linkRelays(ctx, seats, links, &running)
		}
		if i < initialRelayListCount {
			sleep(ctx, initialRelayListInterval)
		} else {
			sleep(ctx, relayListInterval)
		}
	}
}

func (c *control) setSeats(seats []relay.Seat) {
	c.seats = seats
	if c.hub != nil {
		c.deliver(c.hub.SetSeats(seats))
	}
}

// linkRelays opens links to new relays and closes links to relays that are not
// listed any more.
func (n *Node) linkRelays(ctx context.Context, seats []relay.Seat, links map[relay.Seat]context.CancelFunc, running *sync.WaitGroup) {
	listed := map[relay.Seat]bool{}
	for _, s := range seats {
		listed[s] = true
		if _, ok := links[s]; ok || s.Node == n.name {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		links[s] = cancel
		running.Go(func() { n.linkRelay(linkCtx, s) })
	}
	for s, cancel := range links {
		if !listed[s] {
			cancel()
			delete(links, s)
		}
	}
}

// linkRelay keeps a link to another relay open until ctx is done.
func (n *Node) linkRelay(ctx context.Context, s relay.Seat) {
	rnd := n.random(5)
	for ctx.Err() == nil {
		if conn, err := n.endpoint.Dial(ctx, s.Address, link.RelayKeepAlive); err == nil {
			n.peerWithRelay(ctx, conn)
		}
		sleep(ctx, minRelayRetryDelay+time.Duration(rnd.Int64N(int64(maxRelayRetryDelay))))
	}
}

// peerWithRelay exchanges messages with another relay until the link or ctx ends.
func (n *Node) peerWithRelay(ctx context.Context, conn *link.Conn) {
	l := newPeerLink(conn.Peer(), conn)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	n.post(func(c *control) {
		if c.hub == nil {
			l.close()
			return
		}
		c.relayLinks[l.name] = l
		l.send(c.hub.RelayHello(n.incarnation))
	})
	l.read(func(m relay.Message) {
		n.post(func(c *control) { c.handleRelayMessage(l, m) })
	})
	n.post(func(c *control) {
		if c.relayLinks[l.name] == l {
			delete(c.relayLinks, l.name)
		}
	})
}

// handleRelayMessage handles a message from another relay.
func (c *control) handleRelayMessage(l *peerLink, m relay.Message) {
	if c.hub == nil || c.relayLinks[l.name] != l {
		return
	}
	if s, ok := m.(*relay.Seats); ok && s.Redirect {
		l.close()
		return
	}
	replies, sends := c.hub.HandleFromRelay(c.now(), l.name, m)
	for _, reply := range replies {
		l.send(reply)
	}
	c.deliver(sends)
}

// runEndpoint serves the links that other nodes open.
func (n *Node) runEndpoint(ctx context.Context) error {
	return n.endpoint.Serve(ctx, n.serveLink)
}

// serveLink serves a link from its hello message until it closes. A node that
// is not a relay replies to the hello message with the relays that it knows.
func (n *Node) serveLink(conn *link.Conn) {
	l := newPeerLink(conn.Peer(), conn)
	var hello *relay.Hello
	l.read(func(m relay.Message) {
		if hello == nil {
			h, ok := m.(*relay.Hello)
			if !ok || h.Node != l.name {
				n.log.Warn("refused control link: node name in the hello message does not match the certificate", "peer", l.name)
				l.close()
				return
			}
			hello = h
			n.post(func(c *control) { c.addLink(l, h) })
			return
		}
		n.post(func(c *control) {
			if c.hub != nil && c.inboundLinks[l.name] == l {
				c.handleNodeMessage(l.name, m)
			}
		})
	})
	n.post(func(c *control) { c.removeLink(l) })
}

// addLink adds a link to this relay, or redirects the node if this node is not a
// relay.
func (c *control) addLink(l *peerLink, hello *relay.Hello) {
	if c.hub == nil {
		l.send(&relay.Seats{Seats: c.seats, Redirect: true})
		return
	}
	if old, ok := c.inboundLinks[l.name]; ok {
		old.close()
	}
	c.inboundLinks[l.name] = l
	c.deliver(c.hub.Join(c.now(), hello))
}

// removeLink removes a link that has closed.
func (c *control) removeLink(l *peerLink) {
	if c.hub == nil || c.inboundLinks[l.name] != l {
		return
	}
	delete(c.inboundLinks, l.name)
	c.hub.Leave(c.now(), l.name)
}
