package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Timing and limits of a hub. The loss timeouts and suspicionDelay count from the
// end of a link.
const (
	statusTimeout      = time.Second      // for the replies of other relays to a status request
	nodeLossTimeout    = 2 * time.Second  // until a node's server is marked as lost
	relayLossTimeout   = 4 * time.Second  // until a relay's servers are marked as lost; its nodes may link elsewhere meanwhile
	noticeInterval     = 10 * time.Second // between notices to other relays
	syncInterval       = 30 * time.Second // between full directories sent to a relay whose digest differs
	suspicionDelay     = 2 * time.Second  // until other relays are asked about a relay's servers
	maxWatchLag        = time.Second      // lag of the platform's watch that is tolerated before another relay is asked
	balanceInterval    = 5 * time.Second  // between moves of nodes to the sibling relay
	balanceTolerance   = 4                // nodes in excess of an even split that are tolerated
	maxMovesPerBalance = 4                // nodes moved per balanceInterval
	inviteInterval     = 5 * time.Second  // between invitations to vacant seats
	expiryInterval     = 10 * time.Second // between removals of expired state
	SeatsPerDataCentre = 2                // seats for relays per data centre
	departedRetention  = 10 * time.Minute // until the record of a lost or gone server is removed
)

// Send is a message to a node or relay that has a link to this relay.
type Send struct {
	To      string
	Message Message
}

// Hub is the state of a relay. It is not safe for concurrent use. Methods that
// depend on the time take it as an argument.
type Hub struct {
	node       string
	dataCentre string
	pushDelay  time.Duration
	rnd        *rand.Rand

	head            table.Head
	chunks          table.Chunks
	pushAt          clock.Time // when to push the current head, 0 if no push is pending
	links           map[string]*link
	directory       server.Directory
	register        quarantine.Register
	seats           []Seat
	era             uint64                    // of the platform's store
	disconnected    map[string]disconnection  // nodes without a link whose servers are not yet marked as lost
	aheadSince      map[string]clock.Time     // when a relay was first known to have a newer version, by relay
	departedSince   map[string]clock.Time     // when a server was lost or gone, by node
	lostRelays      map[string]*lostRelay     // relays whose link ended, by name
	relayOf         map[string]string         // relay that a node is known to be linked to, by node
	lastSync        map[string]clock.Time     // when a relay was sent the full directory, by relay
	lastNotice      clock.Time                // when notices were last sent
	pendingStatuses map[uint64]*pendingStatus // by ID of the request to the other relays
	lastStatusID    uint64
	lastInvite      clock.Time
	lastBalance     clock.Time
	lastExpiry      clock.Time
}

// link is the state of a link that a node or another relay opened.
type link struct {
	hello        Hello               // without records, reports and chunk hashes
	held         map[table.Hash]bool // chunks that the other end has
	sentVersion  uint64              // latest version pushed
	ackedVersion uint64              // latest version acknowledged
	refused      uint64              // latest version refused
	reason       string
}

// NewHub returns the hub of a relay. After a change of the table the hub waits
// for pushDelay, so that changes shortly after each other are pushed together.
func NewHub(node, dataCentre string, pushDelay time.Duration, rnd *rand.Rand) *Hub {
	return &Hub{
		node:            node,
		dataCentre:      dataCentre,
		pushDelay:       pushDelay,
		rnd:             rnd,
		links:           map[string]*link{},
		disconnected:    map[string]disconnection{},
		aheadSince:      map[string]clock.Time{},
		departedSince:   map[string]clock.Time{},
		lostRelays:      map[string]*lostRelay{},
		relayOf:         map[string]string{},
		lastSync:        map[string]clock.Time{},
		pendingStatuses: map[uint64]*pendingStatus{},
	}
}

// Version returns the version that the hub distributes.
func (h *Hub) Version() uint64 { return h.head.Version }

// Head returns the head that the hub distributes and its chunks.
func (h *Hub) Head() (table.Head, table.Chunks) { return h.head, h.chunks }

// SetHead sets the version to distribute. A version that is not newer than the
// current one is ignored. The new version is pushed after the push delay.
func (h *Hub) SetHead(now clock.Time, head table.Head, chunks table.Chunks) {
	if head.Version <= h.head.Version {
		return
	}
	h.head, h.chunks = head.WithoutHistory(), chunks
	if h.pushAt == 0 {
		h.pushAt = now.Add(h.pushDelay)
	}
}

// Join adds the link that a node or another relay opened with hello.
func (h *Hub) Join(now clock.Time, hello *Hello) []Send {
	l := &link{hello: *hello, held: hashSet(hello.Held), ackedVersion: hello.Version, refused: hello.Refused, reason: hello.Reason}
	l.hello.Records, l.hello.Held, l.hello.Reports = nil, nil, nil
	h.links[hello.Node] = l
	delete(h.disconnected, hello.Node)
	sends := h.merge(now, hello.Node, hello.Relay, hello.Records)
	delete(h.relayOf, hello.Node)
	if hello.Relay {
		h.recordLinked(hello.Node, hello.Linked)
		delete(h.lostRelays, hello.Node)
	}
	sends = append(sends, h.mergeReports(hello.Node, hello.Relay, hello.Reports)...)
	sends = append(sends, h.initialState(hello)...)
	if hello.Relay {
		return append(sends, Send{hello.Node, &Notice{Version: h.head.Version}}, Send{hello.Node, &Members{Linked: h.linkedNodes()}})
	}
	if h.pushAt == 0 && hello.Version < h.head.Version {
		sends = append(sends, Send{hello.Node, h.push(l)})
	}
	return sends
}

// initialState returns the messages that bring a new link up to date, apart from
// the table.
func (h *Hub) initialState(hello *Hello) []Send {
	sends := []Send{{hello.Node, &Seats{Seats: h.seats, Era: h.era}}}
	if h.directory.Digest() != hello.Digest {
		sends = append(sends, Send{hello.Node, &Members{Records: h.directory.Records(), Full: true}})
	}
	if reports := h.register.Reports(); len(reports) > 0 {
		sends = append(sends, Send{hello.Node, &Reports{Reports: reports}})
	}
	return sends
}

func hashSet(hashes []table.Hash) map[table.Hash]bool {
	set := make(map[table.Hash]bool, len(hashes))
	for _, hash := range hashes {
		set[hash] = true
	}
	return set
}

// Leave removes the link of a node or relay after it ended.
func (h *Hub) Leave(now clock.Time, node string) {
	l, ok := h.links[node]
	if !ok {
		return
	}
	delete(h.links, node)
	if l.hello.Relay {
		h.lostRelays[node] = &lostRelay{since: now}
		return
	}
	if r, ok := h.directory.Record(node); ok {
		h.disconnected[node] = disconnection{r, now}
	}
}

// Handle handles a message that came over a link opened by the other end.
func (h *Hub) Handle(now clock.Time, from string, m Message) []Send {
	l, ok := h.links[from]
	if !ok {
		return nil
	}
	switch m := m.(type) {
	case *Ack:
		h.handleAck(l, m)
	case *Want:
		l.held = hashSet(m.Held)
		return []Send{{from, h.push(l)}}
	case *Members:
		return h.handleMembers(now, from, l.hello.Relay, m)
	case *Reports:
		return h.mergeReports(from, l.hello.Relay, m.Reports)
	case *StatusRequest:
		return h.handleStatusRequest(now, from, m)
	case *StatusReply:
		return h.handleStatusReply(from, m)
	}
	return nil
}

// HandleFromRelay handles a message that came over a link which this relay opened to
// another one. It returns the replies, and messages to the nodes and relays with
// links to this one.
func (h *Hub) HandleFromRelay(now clock.Time, from string, m Message) ([]Message, []Send) {
	switch m := m.(type) {
	case *Notice:
		h.handleNotice(now, from, m.Version)
		return h.syncDirectory(now, from, m.Digest), nil
	case *Push:
		return nil, h.handlePush(now, m)
	case *Members:
		return nil, h.handleMembers(now, from, true, m)
	case *Reports:
		return nil, h.mergeReports(from, true, m.Reports)
	case *StatusRequest:
		return []Message{&StatusReply{ID: m.ID, Nodes: h.Progress()}}, nil
	}
	return nil, nil
}

// RelayHello returns the first message on a link from this relay to another one.
func (h *Hub) RelayHello(incarnation uint64) *Hello {
	return &Hello{
		Node:        h.node,
		DataCentre:  h.dataCentre,
		Incarnation: incarnation,
		Relay:       true,
		Version:     h.head.Version,
		Digest:      h.directory.Digest(),
		Records:     h.directory.Records(),
		Reports:     h.register.Reports(),
		Linked:      h.linkedNodes(),
	}
}

// Want returns the message that requests the table from another relay.
func (h *Hub) Want() *Want {
	w := &Want{}
	for _, r := range h.head.Refs {
		w.Held = append(w.Held, r.Hash)
	}
	return w
}

// handlePush takes over the table version of another relay if it is complete and
// valid.
func (h *Hub) handlePush(now clock.Time, p *Push) []Send {
	chunks := collectChunks(p, h.chunks)
	if _, err := compilePolicy(p.Head, chunks); err == nil {
		h.SetHead(now, p.Head, chunks)
	}
	return nil
}

// handleNotice records whether another relay has a newer version. If this relay's
// watch on the platform does not deliver that version within maxWatchLag, it is
// fetched from the other relay.
func (h *Hub) handleNotice(now clock.Time, from string, version uint64) {
	if version <= h.head.Version {
		delete(h.aheadSince, from)
		return
	}
	if _, ok := h.aheadSince[from]; !ok {
		h.aheadSince[from] = now
	}
}

// RelaysAhead returns the relays from which a newer version should be fetched now,
// because the watch on the platform has not delivered it for maxWatchLag. A relay
// is returned at most once per maxWatchLag.
func (h *Hub) RelaysAhead(now clock.Time) []string {
	var relays []string
	for from, since := range h.aheadSince {
		if now.Sub(since) >= maxWatchLag {
			relays = append(relays, from)
			h.aheadSince[from] = now
		}
	}
	slices.Sort(relays)
	return relays
}

// handleAck records the version that the node enforces and the one it refused.
func (h *Hub) handleAck(l *link, m *Ack) {
	l.ackedVersion = max(l.ackedVersion, m.Version)
	l.refused, l.reason = m.Refused, m.Reason
	if m.Version != h.head.Version {
		return
	}
	l.held = map[table.Hash]bool{}
	for _, r := range h.head.Refs {
		l.held[r.Hash] = true
	}
}

// push returns the current head with the chunks that the other end of l lacks.
func (h *Hub) push(l *link) *Push {
	p := &Push{Head: h.head}
	for _, r := range h.head.Refs {
		if !l.held[r.Hash] {
			p.Chunks = append(p.Chunks, h.chunks[r.Hash])
		}
	}
	l.sentVersion = h.head.Version
	return p
}

// Tick performs the actions that are due and returns the messages to send.
func (h *Hub) Tick(now clock.Time) []Send {
	var sends []Send
	if h.pushAt != 0 && h.pushAt <= now {
		h.pushAt = 0
		sends = h.pushAll()
	}
	sends = append(sends, h.detectLosses(now)...)
	sends = append(sends, h.sendNotices(now)...)
	sends = append(sends, h.replyToExpired(now)...)
	sends = append(sends, h.invite(now)...)
	sends = append(sends, h.balance(now)...)
	h.expire(now)
	return sends
}

// pushAll pushes the head to every node with an older version and notifies the
// linked relays. Nodes that acknowledged the same version share one message, so
// that it is encoded only once.
func (h *Hub) pushAll() []Send {
	var sends []Send
	shared := map[uint64]*Push{}
	for _, name := range h.linkNames() {
		l := h.links[name]
		if l.hello.Relay {
			sends = append(sends, Send{name, &Notice{Version: h.head.Version}})
			continue
		}
		if l.ackedVersion >= h.head.Version {
			continue
		}
		p, ok := shared[l.ackedVersion]
		if !ok {
			p = h.push(l)
			shared[l.ackedVersion] = p
		}
		l.sentVersion = h.head.Version
		sends = append(sends, Send{name, p})
	}
	return sends
}

// linkNames returns the sorted names of the nodes and relays with a link.
func (h *Hub) linkNames() []string { return slices.Sorted(maps.Keys(h.links)) }

// broadcast sends m over all links but the given one.
func (h *Hub) broadcast(m Message, except string) []Send {
	var sends []Send
	for _, name := range h.linkNames() {
		if name != except {
			sends = append(sends, Send{name, m})
		}
	}
	return sends
}
