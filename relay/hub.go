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
	statusWait   = time.Second
	lostAfter    = 2 * time.Second  // a node without a link is lost after this
	orphanAfter  = 4 * time.Second  // nodes of a silent relay have this long to link elsewhere
	noticeEvery  = 10 * time.Second // between notices to the other relays
	syncEvery    = 30 * time.Second // between whole directories to a relay whose digest differs
	doubtAfter   = 2 * time.Second  // and the other relays are asked for them after this
	catchUp      = time.Second      // how long the platform's watch may lag behind another relay
	balanceEvery = 5 * time.Second  // between moves of nodes to the other relay of the data centre
	balanceSlack = 4                // difference in nodes that is left alone
	balanceMoves = 4                // nodes moved at a time
	inviteEvery  = 5 * time.Second  // between invitations to a vacant seat
	forgetEvery  = 10 * time.Second
	SeatsPerDC   = 2                // relays per data centre
	forgetAfter  = 10 * time.Minute // a server that left is forgotten after this
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
	gather     time.Duration
	rnd        *rand.Rand

	head      table.Head
	chunks    table.Chunks
	pushAt    clock.Time // when to push a head that was not pushed yet; 0 for none
	links     map[string]*link
	directory server.Directory
	register  quarantine.Register
	seats     []Seat
	absent    map[string]absence
	behind    map[string]clock.Time // relays that have a newer version, by since when
	departed  map[string]clock.Time
	orphaned  map[string]*orphan    // relays whose link was lost
	via       map[string]string     // nodes that other relays vouch for, to the relay
	synced    map[string]clock.Time // relays that were sent the whole directory, by when
	noticed   clock.Time            // when the other relays last got a notice
	requests  map[uint64]*request
	lastID    uint64
	invited   clock.Time
	balanced  clock.Time
	forgot    clock.Time
}

type link struct {
	hello   Hello
	held    map[table.Hash]bool
	sent    uint64 // newest version pushed
	version uint64 // version acknowledged
	refused uint64
	reason  string
}

// NewHub returns the hub of a relay that gathers changes for the given time
// before it pushes them.
func NewHub(node, dataCentre string, gather time.Duration, rnd *rand.Rand) *Hub {
	return &Hub{
		node:       node,
		dataCentre: dataCentre,
		gather:     gather,
		rnd:        rnd,
		links:      map[string]*link{},
		absent:     map[string]absence{},
		behind:     map[string]clock.Time{},
		departed:   map[string]clock.Time{},
		orphaned:   map[string]*orphan{},
		via:        map[string]string{},
		synced:     map[string]clock.Time{},
		requests:   map[uint64]*request{},
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
		h.pushAt = now.Add(h.gather)
	}
}

// Join takes in a node that opened a link with hello.
func (h *Hub) Join(now clock.Time, hello *Hello) []Send {
	l := &link{hello: *hello, held: setOf(hello.Held), version: hello.Version, refused: hello.Refused, reason: hello.Reason}
	l.hello.Records, l.hello.Held, l.hello.Reports = nil, nil, nil
	h.links[hello.Node] = l
	delete(h.absent, hello.Node)
	sends := h.merge(now, hello.Node, hello.Relay, hello.Records)
	delete(h.via, hello.Node)
	if hello.Relay {
		h.vouch(hello.Node, hello.Linked)
		delete(h.orphaned, hello.Node)
	}
	sends = append(sends, h.takeReports(hello.Node, hello.Relay, hello.Reports)...)
	sends = append(sends, h.greet(hello)...)
	if hello.Relay {
		return append(sends, Send{hello.Node, &Notice{Version: h.head.Version}}, Send{hello.Node, &Members{Linked: h.own()}})
	}
	if h.pushAt == 0 && hello.Version < h.head.Version {
		sends = append(sends, Send{hello.Node, h.push(l)})
	}
	return sends
}

// greet sends what a new link lacks, apart from the table.
func (h *Hub) greet(hello *Hello) []Send {
	sends := []Send{{hello.Node, &Seats{Seats: h.seats}}}
	if h.directory.Digest() != hello.Digest {
		sends = append(sends, Send{hello.Node, &Members{Records: h.directory.Records(), Whole: true}})
	}
	if reports := h.register.Reports(); len(reports) > 0 {
		sends = append(sends, Send{hello.Node, &Reports{Reports: reports}})
	}
	return sends
}

func setOf(hashes []table.Hash) map[table.Hash]bool {
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
		h.orphaned[node] = &orphan{since: now}
		return
	}
	if r, ok := h.directory.Record(node); ok {
		h.absent[node] = absence{r, now}
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
		h.acknowledge(l, m)
	case *Want:
		l.held = setOf(m.Held)
		return []Send{{from, h.push(l)}}
	case *Members:
		return h.take(now, from, l.hello.Relay, m)
	case *Reports:
		return h.takeReports(from, l.hello.Relay, m.Reports)
	case *StatusRequest:
		return h.status(now, from, m)
	case *StatusReply:
		return h.collectReply(from, m)
	}
	return nil
}

// FromRelay takes a message that came over this relay's own link to another
// relay. It returns the answers, and messages to nodes linked to this one.
func (h *Hub) FromRelay(now clock.Time, from string, m Message) ([]Message, []Send) {
	switch m := m.(type) {
	case *Notice:
		h.notice(now, from, m.Version)
		return h.sync(now, from, m.Digest), nil
	case *Push:
		return nil, h.takePush(now, m)
	case *Members:
		return nil, h.take(now, from, true, m)
	case *Reports:
		return nil, h.takeReports(from, true, m.Reports)
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
		Linked:      h.own(),
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
func (h *Hub) takePush(now clock.Time, p *Push) []Send {
	chunks := collect(p, h.chunks)
	if _, err := compile(p.Head, chunks); err == nil {
		h.SetHead(now, p.Head, chunks)
	}
	return nil
}

// notice takes the version that another relay has. If this relay's own
// watch does not deliver it in time, the other relay is asked for it.
func (h *Hub) notice(now clock.Time, from string, version uint64) {
	if version <= h.head.Version {
		delete(h.behind, from)
		return
	}
	if _, ok := h.behind[from]; !ok {
		h.behind[from] = now
	}
}

// Lagging returns the relays to ask for a newer version.
func (h *Hub) Lagging(now clock.Time) []string {
	var relays []string
	for from, since := range h.behind {
		if now.Sub(since) >= catchUp {
			relays = append(relays, from)
			h.behind[from] = now
		}
	}
	slices.Sort(relays)
	return relays
}

func (h *Hub) acknowledge(l *link, m *Ack) {
	l.version = max(l.version, m.Version)
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
	l.sent = h.head.Version
	return p
}

// Tick does what is due at now.
func (h *Hub) Tick(now clock.Time) []Send {
	var sends []Send
	if h.pushAt != 0 && h.pushAt <= now {
		h.pushAt = 0
		sends = h.pushAll()
	}
	sends = append(sends, h.loseAbsent(now)...)
	sends = append(sends, h.noticeAll(now)...)
	sends = append(sends, h.expireRequests(now)...)
	sends = append(sends, h.invite(now)...)
	sends = append(sends, h.balance(now)...)
	h.forget(now)
	return sends
}

// pushAll pushes the head to every link below it. Links that acknowledged
// the same version share one message.
func (h *Hub) pushAll() []Send {
	var sends []Send
	shared := map[uint64]*Push{}
	for _, name := range h.linked() {
		l := h.links[name]
		if l.hello.Relay {
			sends = append(sends, Send{name, &Notice{Version: h.head.Version}})
			continue
		}
		if l.version >= h.head.Version {
			continue
		}
		p, ok := shared[l.version]
		if !ok {
			p = h.push(l)
			shared[l.version] = p
		}
		l.sent = h.head.Version
		sends = append(sends, Send{name, p})
	}
	return sends
}

func (h *Hub) linked() []string { return slices.Sorted(maps.Keys(h.links)) }

func (h *Hub) broadcast(m Message, except string) []Send {
	var sends []Send
	for _, name := range h.linked() {
		if name != except {
			sends = append(sends, Send{name, m})
		}
	}
	return sends
}
