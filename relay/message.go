// Package relay distributes the table, the directory of servers and the
// quarantine from relays to nodes. Hub is the relay's side and Follower the
// node's; both are plain state machines over the messages in this file.
package relay

import (
	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Message is one of the messages between a node and a relay.
type Message interface{ isMessage() }

// Hello opens a link and says what the node has.
type Hello struct {
	Node        string              `cbor:"1,keyasint"`
	DataCentre  string              `cbor:"2,keyasint"`
	Incarnation uint64              `cbor:"3,keyasint"`
	Relay       bool                `cbor:"4,keyasint,omitempty"` // the node is a relay itself
	Version     uint64              `cbor:"5,keyasint,omitempty"`
	Held        []table.Hash        `cbor:"6,keyasint,omitempty"`
	Digest      uint64              `cbor:"7,keyasint,omitempty"` // of the directory
	Records     []server.Record     `cbor:"8,keyasint,omitempty"` // its own server; a relay's all
	Reports     []quarantine.Report `cbor:"9,keyasint,omitempty"`
	Refused     uint64              `cbor:"10,keyasint,omitempty"`
	Reason      string              `cbor:"11,keyasint,omitempty"`
	Linked      []string            `cbor:"12,keyasint,omitempty"` // of a relay: the nodes linked to it
}

// Push carries a head and the chunks that the node lacks.
type Push struct {
	Head   table.Head `cbor:"1,keyasint"`
	Chunks [][]byte   `cbor:"2,keyasint,omitempty"`
}

// Want asks for a push of the current head with the chunks not in Held.
type Want struct {
	Held []table.Hash `cbor:"1,keyasint,omitempty"`
}

// Ack says which version the node enforces, and which it refused and why.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Refused uint64 `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// Notice tells another relay which version this one has, and the digest of its
// directory.
type Notice struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
}

// Members carries records of servers that changed. With Doubt, the sender is
// about to take the servers for lost: a relay that one's node is linked to has
// it refuted, and others ignore the message. With Whole, the records are the
// view of the relay that the node follows from now on.
type Members struct {
	Records []server.Record `cbor:"1,keyasint"`
	Suspect bool            `cbor:"2,keyasint,omitempty"`
	Linked  []string        `cbor:"3,keyasint,omitempty"` // of a relay: the nodes linked to it
	Full    bool            `cbor:"4,keyasint,omitempty"`
}

// Reports carries crashes with the requests that were in flight.
type Reports struct {
	Reports []quarantine.Report `cbor:"1,keyasint"`
}

// Seat is a relay and where it takes control links.
type Seat struct {
	Node       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// Seats lists all relays. Redirect says that the sender is none of them.
type Seats struct {
	Seats    []Seat `cbor:"1,keyasint"`
	Redirect bool   `cbor:"2,keyasint,omitempty"`
}

// Invite asks the node to stand for a vacant seat of its data centre.
type Invite struct {
	Index int `cbor:"1,keyasint"`
}

// StatusRequest asks a relay for the progress of all nodes, or with Local of
// the nodes linked to it.
type StatusRequest struct {
	ID    uint64 `cbor:"1,keyasint"`
	Local bool   `cbor:"2,keyasint,omitempty"`
}

// Progress is what a node has acknowledged.
type Progress struct {
	Node       string `cbor:"1,keyasint" json:"node"`
	DataCentre string `cbor:"2,keyasint" json:"data-centre"`
	Version    uint64 `cbor:"3,keyasint" json:"version"`
	Refused    uint64 `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
	Reason     string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// StatusReply answers a StatusRequest. Silent lists the relays that did not
// answer in time.
type StatusReply struct {
	ID     uint64     `cbor:"1,keyasint"`
	Nodes  []Progress `cbor:"2,keyasint"`
	Silent []string   `cbor:"3,keyasint,omitempty"`
}

// Asks carries a node's asks for shares of its service's limits.
type Asks struct {
	Service     string      `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	Asks        []limit.Ask `cbor:"3,keyasint,omitempty"`
	Release     bool        `cbor:"4,keyasint,omitempty"` // the node gives up all shares
	Serial      uint64      `cbor:"5,keyasint"`           // grows with each of the node's asks
}

// Shares answers Asks.
type Shares struct {
	Shares []limit.Share `cbor:"1,keyasint"`
	Serial uint64        `cbor:"2,keyasint"` // of the asks that are answered
}

func (*Hello) isMessage()         {}
func (*Push) isMessage()          {}
func (*Want) isMessage()          {}
func (*Ack) isMessage()           {}
func (*Notice) isMessage()        {}
func (*Members) isMessage()       {}
func (*Reports) isMessage()       {}
func (*Seats) isMessage()         {}
func (*Invite) isMessage()        {}
func (*StatusRequest) isMessage() {}
func (*StatusReply) isMessage()   {}
func (*Asks) isMessage()          {}
func (*Shares) isMessage()        {}

// frame is the wire form of a message: exactly one field is set.
type frame struct {
	Hello         *Hello         `cbor:"1,keyasint,omitempty"`
	Push          *Push          `cbor:"2,keyasint,omitempty"`
	Want          *Want          `cbor:"3,keyasint,omitempty"`
	Ack           *Ack           `cbor:"4,keyasint,omitempty"`
	Notice        *Notice        `cbor:"5,keyasint,omitempty"`
	Members       *Members       `cbor:"6,keyasint,omitempty"`
	Reports       *Reports       `cbor:"7,keyasint,omitempty"`
	Seats         *Seats         `cbor:"8,keyasint,omitempty"`
	Invite        *Invite        `cbor:"9,keyasint,omitempty"`
	StatusRequest *StatusRequest `cbor:"10,keyasint,omitempty"`
	StatusReply   *StatusReply   `cbor:"11,keyasint,omitempty"`
	Asks          *Asks          `cbor:"12,keyasint,omitempty"`
	Shares        *Shares        `cbor:"13,keyasint,omitempty"`
}

// Encode returns the bytes of m.
func Encode(m Message) ([]byte, error) {
	var f frame
	switch m := m.(type) {
	case *Hello:
		f.Hello = m
	case *Push:
		f.Push = m
	case *Want:
		f.Want = m
	case *Ack:
		f.Ack = m
	case *Notice:
		f.Notice = m
	case *Members:
		f.Members = m
	case *Reports:
		f.Reports = m
	case *Seats:
		f.Seats = m
	case *Invite:
		f.Invite = m
	case *StatusRequest:
		f.StatusRequest = m
	case *StatusReply:
		f.StatusReply = m
	case *Asks:
		f.Asks = m
	case *Shares:
		f.Shares = m
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "encode control message")
	}
	return data, nil
}

// Decode reads the bytes of a message.
func Decode(data []byte) (Message, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, gd.Invalid.Wrapf(err, "control message")
	}
	return f.message()
}

func (f frame) message() (Message, error) {
	switch {
	case f.Hello != nil:
		return f.Hello, nil
	case f.Push != nil:
		return f.Push, nil
	case f.Want != nil:
		return f.Want, nil
	case f.Ack != nil:
		return f.Ack, nil
	case f.Notice != nil:
		return f.Notice, nil
	case f.Members != nil:
		return f.Members, nil
	case f.Reports != nil:
		return f.Reports, nil
	case f.Seats != nil:
		return f.Seats, nil
	case f.Invite != nil:
		return f.Invite, nil
	case f.StatusRequest != nil:
		return f.StatusRequest, nil
	case f.StatusReply != nil:
		return f.StatusReply, nil
	case f.Asks != nil:
		return f.Asks, nil
	case f.Shares != nil:
		return f.Shares, nil
	}
	return nil, gd.Invalid.Errorf("control message of an unknown kind")
}
