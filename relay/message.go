// Package relay distributes the table, the directory of backend servers and the
// quarantine's crash reports to the nodes.
//
// Some nodes also act as relays. Each data centre has a fixed number of seats
// for relays; a node takes a seat by a lease in the platform's store. Every node
// keeps a control link to one relay, and the relays keep links to each other. A
// relay gets the table from the platform and pushes it to its nodes. Records of
// servers and crash reports come from the nodes; the relays forward them.
//
// Hub is the state of a relay and Follower that of a node. Both are state
// machines that handle messages without doing I/O.
package relay

import (
	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Message is a control message between a node and a relay or between two relays.
type Message interface{ isMessage() }

// Hello is the first message on a link. It describes the state of the sender, so
// that the relay sends only what the sender lacks.
type Hello struct {
	Node        string              `cbor:"1,keyasint"`
	DataCentre  string              `cbor:"2,keyasint"`
	Incarnation uint64              `cbor:"3,keyasint"`
	Relay       bool                `cbor:"4,keyasint,omitempty"` // the node is a relay itself
	Version     uint64              `cbor:"5,keyasint,omitempty"` // of the table in force
	Held        []table.Hash        `cbor:"6,keyasint,omitempty"` // chunks that the sender has
	Digest      uint64              `cbor:"7,keyasint,omitempty"` // of the directory
	Records     []server.Record     `cbor:"8,keyasint,omitempty"` // of the node's server, or all that a relay knows
	Reports     []quarantine.Report `cbor:"9,keyasint,omitempty"`
	Refused     uint64              `cbor:"10,keyasint,omitempty"` // latest version that the node refused
	Reason      string              `cbor:"11,keyasint,omitempty"`
	Linked      []string            `cbor:"12,keyasint,omitempty"` // nodes linked to the sender, if it is a relay
}

// Push carries a table head and those of its chunks that the receiver lacks.
type Push struct {
	Head   table.Head `cbor:"1,keyasint"`
	Chunks [][]byte   `cbor:"2,keyasint,omitempty"`
}

// Want requests the current head and its chunks, except those in Held.
type Want struct {
	Held []table.Hash `cbor:"1,keyasint,omitempty"`
}

// Ack reports the version that the node enforces, and the latest version that it
// refused, with the reason.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Refused uint64 `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// Notice tells another relay the sender's table version and the digest of its
// directory.
type Notice struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
}

// Members carries changed records of servers.
//
// If Suspect is set, the sender considers the servers lost unless their nodes
// refute it: a relay with a link to the node of such a server asks the node to do
// so, and other relays ignore the message. If Full is set, the records are the
// whole directory of the sender.
type Members struct {
	Records []server.Record `cbor:"1,keyasint"`
	Suspect bool            `cbor:"2,keyasint,omitempty"`
	Linked  []string        `cbor:"3,keyasint,omitempty"` // nodes linked to the sender, if it is a relay
	Full    bool            `cbor:"4,keyasint,omitempty"`
}

// Reports carries crash reports with the fingerprints of the requests that were in
// flight.
type Reports struct {
	Reports []quarantine.Report `cbor:"1,keyasint"`
}

// Seat describes the relay that holds a seat and the address at which it accepts
// control links.
type Seat struct {
	Node       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	Index      int    `cbor:"4,keyasint,omitempty"` // of the seat in the data centre
}

// Seats lists all relays. If Redirect is set, the receiver should close this link
// and link to one of them.
type Seats struct {
	Seats    []Seat `cbor:"1,keyasint"`
	Redirect bool   `cbor:"2,keyasint,omitempty"`
	Era      uint64 `cbor:"3,keyasint,omitempty"` // of the platform's store, the latest that the sender knows
}

// Invite asks the node to try to acquire a vacant seat of its data centre.
type Invite struct {
	Index int `cbor:"1,keyasint"` // of the seat
}

// StatusRequest asks a relay for the progress of all nodes, or of the nodes
// linked to it if Local is set.
type StatusRequest struct {
	ID    uint64 `cbor:"1,keyasint"`
	Local bool   `cbor:"2,keyasint,omitempty"`
}

// Progress describes the table version that a node has acknowledged and the
// latest one that it refused.
type Progress struct {
	Node       string `cbor:"1,keyasint" json:"node"`
	DataCentre string `cbor:"2,keyasint" json:"data-centre"`
	Version    uint64 `cbor:"3,keyasint" json:"version"`
	Refused    uint64 `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
	Reason     string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// StatusReply is the reply to a StatusRequest. Silent lists the relays that did
// not reply in time.
type StatusReply struct {
	ID     uint64     `cbor:"1,keyasint"`
	Nodes  []Progress `cbor:"2,keyasint"`
	Silent []string   `cbor:"3,keyasint,omitempty"`
}

// ShareRequest requests shares of the limits of a service for a node.
type ShareRequest struct {
	Service     string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Requests    []limit.Request `cbor:"3,keyasint,omitempty"`
	Release     bool            `cbor:"4,keyasint,omitempty"` // the node gives up all its shares
	Serial      uint64          `cbor:"5,keyasint"`           // increases with each request of the node
}

// ShareReply is the reply to a node's request for shares.
type ShareReply struct {
	Shares []limit.Share `cbor:"1,keyasint"`
	Serial uint64        `cbor:"2,keyasint"` // of the request
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
func (*ShareRequest) isMessage()  {}
func (*ShareReply) isMessage()    {}

// frame is the encoded form of a message. Exactly one field is set.
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
	ShareRequest  *ShareRequest  `cbor:"12,keyasint,omitempty"`
	ShareReply    *ShareReply    `cbor:"13,keyasint,omitempty"`
}

// Encode returns the encoded form of m.
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
	case *ShareRequest:
		f.ShareRequest = m
	case *ShareReply:
		f.ShareReply = m
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "encode control message")
	}
	return data, nil
}

// Decode decodes a message.
func Decode(data []byte) (Message, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, gd.Invalid.Wrapf(err, "decode control message")
	}
	return f.message()
}

// message returns the message that is set.
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
	case f.ShareRequest != nil:
		return f.ShareRequest, nil
	case f.ShareReply != nil:
		return f.ShareReply, nil
	}
	return nil, gd.Invalid.Errorf("decode control message: unknown kind")
}
