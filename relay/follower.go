package relay

import (
	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Follower is a node's copy of the distributed state. It adopts a table version
// as a whole or not at all, and never replaces a version by an older one. It is
// not safe for concurrent use.
type Follower struct {
	node        string
	dataCentre  string
	incarnation uint64

	minVersionKnown bool   // RequireVersion was called
	minVersion      uint64 // calls are not accepted below this version
	head            table.Head
	chunks          table.Chunks
	policy          *table.Policy
	refused         uint64 // latest version refused, 0 for none
	reason          string

	ownRecord     server.Record // record of the node's server; its sequence is 0 until announced
	directory     server.Directory
	departedSince map[string]clock.Time // when a server was first seen lost or gone, by node
	register      quarantine.Register
	seats         []Seat
}

// NewFollower returns an empty follower. The incarnation must be greater than
// that of any earlier process of the node.
func NewFollower(node, dataCentre string, incarnation uint64) *Follower {
	return &Follower{node: node, dataCentre: dataCentre, incarnation: incarnation, departedSince: map[string]clock.Time{}}
}

// Version returns the table version that the node enforces, or 0 if there is
// none.
func (f *Follower) Version() uint64 { return f.head.Version }

// Refused returns the latest version that the node refused and the reason, or 0
// if a later version has been adopted.
func (f *Follower) Refused() (uint64, string) { return f.refused, f.reason }

// Head returns the head and the chunks of the version in force.
func (f *Follower) Head() (table.Head, table.Chunks) { return f.head, f.chunks }

// Policy returns the policy in force. It returns nil while the node must not
// accept calls: until RequireVersion is called, and while the policy is missing
// or older than the required version.
func (f *Follower) Policy() *table.Policy {
	if !f.minVersionKnown || f.head.Version < f.minVersion {
		return nil
	}
	return f.policy
}

// RequireVersion keeps the node from accepting calls under a version older than
// v. A starting node determines the current version v and calls RequireVersion,
// since its previous process may have enforced v already. Until then it accepts
// no calls.
func (f *Follower) RequireVersion(v uint64) {
	f.minVersionKnown = true
	f.minVersion = max(f.minVersion, v)
}

// Directory returns the known servers.
func (f *Follower) Directory() server.Directory { return f.directory }

// Register returns the known crash reports.
func (f *Follower) Register() quarantine.Register { return f.register }

// Seats returns the known relays.
func (f *Follower) Seats() []Seat { return f.seats }

// Hello returns the first message on a link. The record of the node's server gets
// a new sequence, so that it overrides a record that marks the server as lost
// since the previous link ended.
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

// held returns the hashes of the chunks of the version in force.
func (f *Follower) held() []table.Hash {
	var held []table.Hash
	for _, r := range f.head.Refs {
		held = append(held, r.Hash)
	}
	return held
}

// Announce replaces the record of the node's server and returns the message for
// the relay, or nil if nothing changed.
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

// setOwnRecord makes r the record of the node's server, with the next sequence.
func (f *Follower) setOwnRecord(r server.Record) {
	r.Sequence = f.ownRecord.Sequence + 1
	f.ownRecord = r
	f.directory, _ = f.directory.WithRecords(r)
}

// Report adds crash reports of the node's server and returns the message for the
// relay, or nil if all were known.
func (f *Follower) Report(reports []quarantine.Report) *Reports {
	var added []quarantine.Report
	f.register, added = f.register.WithReports(reports...)
	if len(added) == 0 {
		return nil
	}
	return &Reports{Reports: added}
}

// Expire removes expired crash reports, and servers that have been lost or gone
// for departedRetention.
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

// Handle handles a message from the relay and returns the replies.
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

// merge merges records into the directory. If the directory then has another record
// of the node's server, such as one that marks it as lost, merge replies with the
// node's own record under a new sequence, which overrides the other one.
func (f *Follower) merge(m *Members) []Message {
	if m.Full {
		f.directory = f.directory.WithRelayRecords(m.Records)
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

// adopt replaces the version in force with the pushed one if that is newer and
// valid, and returns the reply.
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

// collectChunks returns the chunks in p together with those held chunks that its
// head refers to.
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

// compilePolicy returns the policy of the table that h and chunks describe.
func compilePolicy(h table.Head, chunks table.Chunks) (*table.Policy, error) {
	t, err := table.Assemble(h, chunks)
	if err != nil {
		return nil, err
	}
	return t.Policy()
}

// referencedChunks returns the chunks that h refers to.
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
