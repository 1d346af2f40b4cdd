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

// Terms of a hub.
const (
	statusTimeout      = time.Second
	nodeLossTimeout    = 2 * time.Second  // a node without a link is lost after this
	relayLossTimeout   = 4 * time.Second  // nodes of a silent relay have this long to link elsewhere
	noticeInterval     = 10 * time.Second // between notices to the other relays
	syncInterval       = 30 * time.Second // between whole directories to a relay whose digest differs
	suspicionDelay     = 2 * time.Second  // and the other relays are asked for them after this
	maxWatchLag        = time.Second      // how long the platform's watch may lag behind another relay
	balanceInterval    = 5 * time.Second  // between moves of nodes to the other relay of the data centre
	balanceTolerance   = 4                // difference in nodes that is left alone
	maxMovesPerBalance = 4                // nodes moved at a time
	inviteInterval     = 5 * time.Second  // between invitations to a vacant seat
	expiryInterval     = 10 * time.Second
	SeatsPerDC         = 2                // relays per data centre
	departedRetention  = 10 * time.Minute // a server that left is forgotten after this
)

// Send is a message to a linked node.
type Send struct {
	To      string
	Message Message
}

// Hub is a relay's side of the distribution. The owner serialises access and
// passes the time.
type Hub struct {
	node       string
	dataCentre string
	pushDelay  time.Duration
	rnd        *rand.Rand

	head            table.Head
	chunks          table.Chunks
	pushAt          clock.Time // when to push a head that was not pushed yet; 0 for none
	links           map[string]*link
	directory       server.Directory
	register        quarantine.Register
	seats           []Seat
	disconnected    map[string]disconnection
	aheadSince      map[string]clock.Time // relays that have a newer version, by since when
	departedSince   map[string]clock.Time
	lostRelays      map[string]*lostRelay // relays whose link was lost
	relayOf         map[string]string     // nodes that other relays vouch for, to the relay
	lastSync        map[string]clock.Time // relays that were sent the whole directory, by when
	lastNotice      clock.Time            // when the other relays last got a notice
	pendingStatuses map[uint64]*pendingStatus
	lastStatusID    uint64
	lastInvite      clock.Time
	lastBalance     clock.Time
	lastExpiry      clock.Time
}

type link struct {
	hello        Hello
	held         map[table.Hash]bool
	sentVersion  uint64 // newest version pushed
	ackedVersion uint64 // version acknowledged
	refused      uint64
	reason       string
}

// NewHub returns the hub of a relay that gathers changes for the given time
// before it pushes them.
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

// SetHead gives the hub a version; older ones are ignored. It is pushed when
// the gathering time has passed.
func (h *Hub) SetHead(now clock.Time, head table.Head, chunks table.Chunks) {
	if head.Version <= h.head.Version {
		return
	}
	h.head, h.chunks = head.WithoutHistory(), chunks
	if h.pushAt == 0 {
		h.pushAt = now.Add(h.pushDelay)
	}
}

// Join takes in a node that opened a link with hello.
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

// greet sends what a new link lacks, apart from the table.
func (h *Hub) initialState(hello *Hello) []Send {
	sends := []Send{{hello.Node, &Seats{Seats: h.seats}}}
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

// Leave notes that the node's link is gone.
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

// Handle takes a message from a linked node.
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

// FromRelay takes a message that came over this relay's own link to another
// relay. It returns the answers, and messages to nodes linked to this one.
func (h *Hub) FromRelay(now clock.Time, from string, m Message) ([]Message, []Send) {
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

// RelayHello returns the message that opens this relay's link to another one.
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

// Want returns the message that asks another relay for its version.
func (h *Hub) Want() *Want {
	w := &Want{}
	for _, r := range h.head.Refs {
		w.Held = append(w.Held, r.Hash)
	}
	return w
}

// takePush takes a version from another relay if it came whole and valid.
func (h *Hub) handlePush(now clock.Time, p *Push) []Send {
	chunks := collectChunks(p, h.chunks)
	if _, err := compilePolicy(p.Head, chunks); err == nil {
		h.SetHead(now, p.Head, chunks)
	}
	return nil
}

// notice takes the version that another relay has. If this relay's own
// watch does not deliver it in time, the other relay is asked for it.
func (h *Hub) handleNotice(now clock.Time, from string, version uint64) {
	if version <= h.head.Version {
		delete(h.aheadSince, from)
		return
	}
	if _, ok := h.aheadSince[from]; !ok {
		h.aheadSince[from] = now
	}
}

// Lagging returns the relays to ask for a newer version.
func (h *Hub) Lagging(now clock.Time) []string {
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

// push returns the current head with the chunks that the link lacks.
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

// Tick does what is due at now.
func (h *Hub) Tick(now clock.Time) []Send {
	var sends []Send
	if h.pushAt != 0 && h.pushAt <= now {
		h.pushAt = 0
		sends = h.pushAll()
	}
	sends = append(sends, h.detectLosses(now)...)
	sends = append(sends, h.sendNotices(now)...)
	sends = append(sends, h.answerExpired(now)...)
	sends = append(sends, h.invite(now)...)
	sends = append(sends, h.balance(now)...)
	h.expire(now)
	return sends
}

// pushAll pushes the head to every link below it. Links that acknowledged
// the same version share one message.
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

func (h *Hub) linkNames() []string { return slices.Sorted(maps.Keys(h.links)) }

func (h *Hub) broadcast(m Message, except string) []Send {
	var sends []Send
	for _, name := range h.linkNames() {
		if name != except {
			sends = append(sends, Send{name, m})
		}
	}
	return sends
}
