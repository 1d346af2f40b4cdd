package relay

import (
	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Follower is a node's copy of what relays distribute. It adopts a version
// whole or not at all, and never an older one. The owner serialises access.
type Follower struct {
	node        string
	dataCentre  string
	incarnation uint64

	minVersionKnown bool   // RequireVersion was called
	minVersion      uint64 // calls are taken from this version on
	head            table.Head
	chunks          table.Chunks
	policy          *table.Policy
	refused         uint64
	reason          string

	ownRecord     server.Record // the server beside the node, with sequence 0 for none
	directory     server.Directory
	departedSince map[string]clock.Time // servers that left, by when this was seen
	register      quarantine.Register
	seats         []Seat
}

// NewFollower returns the state of a node that has nothing yet. The
// incarnation must be above that of any earlier process of the node.
func NewFollower(node, dataCentre string, incarnation uint64) *Follower {
	return &Follower{node: node, dataCentre: dataCentre, incarnation: incarnation, departedSince: map[string]clock.Time{}}
}

// Version returns the version that the node enforces, 0 for none.
func (f *Follower) Version() uint64 { return f.head.Version }

// Refused returns the newest version that the node refused, and why.
func (f *Follower) Refused() (uint64, string) { return f.refused, f.reason }

// Head returns the head and the chunks of the version in force.
func (f *Follower) Head() (table.Head, table.Chunks) { return f.head, f.chunks }

// Policy returns the policy in force, or nil while the node may not take calls
// because it has none or an older one than RequireVersion asked for.
func (f *Follower) Policy() *table.Policy {
	if !f.minVersionKnown || f.head.Version < f.minVersion {
		return nil
	}
	return f.policy
}

// RequireVersion keeps the node from taking calls below version v. A node that
// starts learns v, since its earlier process may have served v. Until then it
// takes no calls.
func (f *Follower) RequireVersion(v uint64) {
	f.minVersionKnown = true
	f.minVersion = max(f.minVersion, v)
}

// Directory returns the servers known.
func (f *Follower) Directory() server.Directory { return f.directory }

// Register returns the crash reports known.
func (f *Follower) Register() quarantine.Register { return f.register }

// Seats returns the relays known.
func (f *Follower) Seats() []Seat { return f.seats }

// Hello returns the message that opens a link. Its own record gets a new
// sequence, which refutes what others concluded from the link's loss.
func (f *Follower) Hello() *Hello {
	h := &Hello{
		Node:        f.node,
		DataCentre:  f.dataCentre,
		Incarnation: f.incarnation,
		Version:     f.head.Version,
		Held:        f.held(),
		Refused:     f.refused,
		Reason:      f.reason,
		Reports:     f.register.Reports(),
	}
	if f.ownRecord.Sequence > 0 {
		f.setOwnRecord(f.ownRecord)
		h.Records = []server.Record{f.ownRecord}
	}
	h.Digest = f.directory.Digest()
	return h
}

func (f *Follower) held() []table.Hash {
	var held []table.Hash
	for _, r := range f.head.Refs {
		held = append(held, r.Hash)
	}
	return held
}

// Announce replaces the record of the server beside the node and returns the
// message that tells the relay, or nil if nothing changed.
func (f *Follower) Announce(r server.Record) *Members {
	r.Node = f.node
	r.DataCentre = f.dataCentre
	r.Incarnation = f.incarnation
	r.Sequence = f.ownRecord.Sequence
	if r == f.ownRecord {
		return nil
	}
	f.setOwnRecord(r)
	return &Members{Records: []server.Record{f.ownRecord}}
}

// advance makes r the node's own record under the next sequence.
func (f *Follower) setOwnRecord(r server.Record) {
	r.Sequence = f.ownRecord.Sequence + 1
	f.ownRecord = r
	f.directory, _ = f.directory.WithRecords(r)
}

// Report notes crash reports of the node's own server.
func (f *Follower) Report(reports []quarantine.Report) *Reports {
	var added []quarantine.Report
	f.register, added = f.register.WithReports(reports...)
	if len(added) == 0 {
		return nil
	}
	return &Reports{Reports: added}
}

// Expire drops crash reports past their term, and servers that left long ago.
func (f *Follower) Expire(now clock.Time) {
	f.register = f.register.WithoutExpired(now)
	for _, r := range f.directory.Records() {
		if r.State < server.Lost {
			delete(f.departedSince, r.Node)
			continue
		}
		if since, ok := f.departedSince[r.Node]; !ok {
			f.departedSince[r.Node] = now
		} else if now.Sub(since) >= departedRetention {
			delete(f.departedSince, r.Node)
			f.directory = f.directory.Without(r.Node)
		}
	}
}

// Handle takes a message from the relay and returns the answers.
func (f *Follower) Handle(m Message) []Message {
	switch m := m.(type) {
	case *Push:
		return []Message{f.adopt(m)}
	case *Members:
		return f.merge(m)
	case *Reports:
		f.register, _ = f.register.WithReports(m.Reports...)
	case *Seats:
		f.seats = m.Seats
	}
	return nil
}

// merge takes in records; one that says the node's own server is lost is
// refuted under a new sequence.
func (f *Follower) merge(m *Members) []Message {
	if m.Full {
		f.directory = f.directory.WithView(m.Records)
	} else {
		f.directory, _ = f.directory.WithRecords(m.Records...)
	}
	known, ok := f.directory.Record(f.node)
	if !ok || f.ownRecord.Sequence == 0 || known == f.ownRecord {
		return nil
	}
	f.ownRecord.Sequence = max(f.ownRecord.Sequence, known.Sequence)
	f.setOwnRecord(f.ownRecord)
	return []Message{&Members{Records: []server.Record{f.ownRecord}}}
}

// adopt switches to the pushed version if it is newer and wholly valid.
func (f *Follower) adopt(p *Push) Message {
	if p.Head.Version <= f.head.Version {
		return f.ack()
	}
	chunks := collectChunks(p, f.chunks)
	policy, err := compilePolicy(p.Head, chunks)
	if gd.NotFound.Is(err) {
		return &Want{Held: f.held()}
	}
	if err != nil {
		f.refused, f.reason = p.Head.Version, gd.Message(err)
		return f.ack()
	}
	f.head, f.chunks, f.policy = p.Head, referencedChunks(p.Head, chunks), policy
	f.refused, f.reason = 0, ""
	return f.ack()
}

// collect returns the chunks that the push names, out of those it brings and
// those held before.
func collectChunks(p *Push, held table.Chunks) table.Chunks {
	chunks := table.Chunks{}
	for _, data := range p.Chunks {
		chunks[table.HashOf(data)] = data
	}
	for _, r := range p.Head.Refs {
		if data, ok := held[r.Hash]; ok {
			chunks[r.Hash] = data
		}
	}
	return chunks
}

func compilePolicy(h table.Head, chunks table.Chunks) (*table.Policy, error) {
	t, err := table.Assemble(h, chunks)
	if err != nil {
		return nil, err
	}
	return t.Policy()
}

// keep drops the chunks that h does not name.
func referencedChunks(h table.Head, chunks table.Chunks) table.Chunks {
	kept := table.Chunks{}
	for _, r := range h.Refs {
		kept[r.Hash] = chunks[r.Hash]
	}
	return kept
}

func (f *Follower) ack() Message {
	return &Ack{Version: f.head.Version, Refused: f.refused, Reason: f.reason}
}
