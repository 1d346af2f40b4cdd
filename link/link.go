// Package link carries control messages between nodes. A link is a QUIC connection
// with mutual authentication and a single stream.
package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/identity"
)

// Protocol is the ALPN protocol of control links.
const Protocol = "geraniumdock-control/1"

// Limits of a link. A message is preceded by its length in lengthPrefixBytes bytes.
const (
	MaxMessageBytes   = 16 << 20
	handshakeTimeout  = time.Second
	sendTimeout       = 5 * time.Second
	lengthPrefixBytes = 4
)

// KeepAlive sets how often a link sends keep-alive packets and after how long without
// packets from the peer it is closed.
type KeepAlive struct {
	Interval, IdleTimeout time.Duration
}

// Keep-alive settings of the links that nodes and relays open to relays. A relay has
// tens of links of each kind, and each keep-alive exchange takes about 180 bytes in
// both directions together.
var (
	NodeKeepAlive  = KeepAlive{3 * time.Second, 8 * time.Second}
	RelayKeepAlive = KeepAlive{5 * time.Second, 12 * time.Second}
)

func clientConfig(k KeepAlive) *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       k.IdleTimeout,
		KeepAlivePeriod:      k.Interval,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   1,
	}
}

// serverConfig disables keep-alive packets on the accepting side. Those of the dialing
// side and their acknowledgements show both sides that the other is alive.
func serverConfig() *quic.Config {
	c := clientConfig(RelayKeepAlive)
	c.KeepAlivePeriod = 0
	return c
}

// Conn is a link. At most one goroutine may call Send at a time, and likewise Receive.
type Conn struct {
	conn   *quic.Conn
	stream *quic.Stream
	peer   string
}

// Peer returns the name of the node at the other end.
func (c *Conn) Peer() string { return c.peer }

// Send sends one message.
func (c *Conn) Send(data []byte) error {
	if len(data) > MaxMessageBytes {
		return gd.TooLarge.Errorf("control message of %d bytes exceeds the limit", len(data))
	}
	frame := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	frame = append(frame, data...)
	if err := c.stream.SetWriteDeadline(clock.System{}.Now().Add(sendTimeout).Std()); err != nil {
		return gd.Unavailable.Wrapf(err, "link to %s", c.peer)
	}
	if _, err := c.stream.Write(frame); err != nil {
		return gd.Unavailable.Wrapf(err, "link to %s", c.peer)
	}
	return nil
}

// Receive waits for the next message and returns it.
func (c *Conn) Receive() ([]byte, error) {
	var header [lengthPrefixBytes]byte
	if _, err := io.ReadFull(c.stream, header[:]); err != nil {
		return nil, gd.Unavailable.Wrapf(err, "link to %s", c.peer)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxMessageBytes {
		return nil, gd.Invalid.Errorf("link to %s: message of %d bytes exceeds the limit", c.peer, n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(c.stream, data); err != nil {
		return nil, gd.Unavailable.Wrapf(err, "link to %s", c.peer)
	}
	return data, nil
}

// Close closes the link immediately.
func (c *Conn) Close() error { return c.conn.CloseWithError(0, "closed") }

// Endpoint dials and accepts links on one UDP socket.
type Endpoint struct {
	id        identity.Identity
	transport *quic.Transport
	listener  *quic.Listener

	mu            sync.Mutex
	openConns     map[*quic.Conn]bool
	closedTraffic Traffic
}

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const datagramHeaderBytes = 28

// Traffic counts the bytes sent and received on links, including IP and UDP headers.
type Traffic struct {
	Sent, Received uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.Sent += s.BytesSent + datagramHeaderBytes*s.PacketsSent
	t.Received += s.BytesReceived + datagramHeaderBytes*s.PacketsReceived
}

// Traffic returns the traffic of all links of the endpoint so far, open and closed.
func (e *Endpoint) Traffic() Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := e.closedTraffic
	for c := range e.openConns {
		sum.add(c.ConnectionStats())
	}
	return sum
}

// track includes the connection in the endpoint's traffic, also after it is closed.
func (e *Endpoint) track(c *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openConns[c] = true
	context.AfterFunc(c.Context(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.openConns, c)
		e.closedTraffic.add(c.ConnectionStats())
	})
}

// Listen returns an endpoint on the UDP socket. The endpoint takes ownership of the
// socket.
func Listen(socket net.PacketConn, id identity.Identity) (*Endpoint, error) {
	transport := &quic.Transport{Conn: socket}
	l, err := transport.Listen(id.TLS(Protocol), serverConfig())
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "listen on control address %s", socket.LocalAddr())
	}
	return &Endpoint{id: id, transport: transport, listener: l, openConns: map[*quic.Conn]bool{}}, nil
}

// Dial opens a link to address with the keep-alive settings k.
func (e *Endpoint) Dial(ctx context.Context, address string, k KeepAlive) (*Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, gd.Invalid.Wrapf(err, "resolve relay address %s", address)
	}
	c, err := dial(ctx, e.transport, to, e.id.TLS(Protocol), clientConfig(k))
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "link to %s", address)
	}
	e.track(c.conn)
	return c, nil
}

func dial(ctx context.Context, transport *quic.Transport, to net.Addr, t *tls.Config, c *quic.Config) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, to, t, c)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(0, "no stream") // the error of the stream is returned instead
		return nil, err
	}
	return &Conn{conn: conn, stream: stream, peer: identity.PeerName(conn.ConnectionState().TLS)}, nil
}

// Serve accepts links until ctx ends, and calls handle for each in a separate
// goroutine. It returns after all calls of handle have returned.
func (e *Endpoint) Serve(ctx context.Context, handle func(*Conn)) error {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return gd.Unavailable.Wrapf(err, "accept link")
		}
		e.track(conn)
		handlers.Go(func() {
			if c := e.acceptStream(ctx, conn); c != nil {
				handle(c)
			}
		})
	}
}

// acceptStream waits for the stream of a new connection. The dialing side opens the
// stream and sends a message immediately. If none arrives in time, acceptStream returns
// nil.
func (e *Endpoint) acceptStream(ctx context.Context, conn *quic.Conn) *Conn {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		_ = conn.CloseWithError(0, "no stream") // the connection is given up anyway
		return nil
	}
	return &Conn{conn: conn, stream: stream, peer: identity.PeerName(conn.ConnectionState().TLS)}
}

// Close closes the socket and all links of the endpoint.
func (e *Endpoint) Close() error {
	return errors.Join(e.listener.Close(), e.transport.Close(), e.transport.Conn.Close())
}
