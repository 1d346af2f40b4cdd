package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
)

const (
	dialTimeout = 200 * time.Millisecond
	idleTimeout = 60 * time.Second
	// continueTimeout is longer than any deadline, so that a body is never sent
	// before the peer asks for it.
	continueTimeout = time.Hour
	// unackedTimeout is the time after which a connection with unacknowledged data
	// is closed. A node that lost power or is behind a network partition sends no
	// reset.
	unackedTimeout      = 1500 * time.Millisecond
	keepAliveIdle       = time.Second // idle time after which the kernel probes a connection
	keepAliveInterval   = time.Second
	keepAliveProbes     = 2
	streamBufferBytes   = 256 << 10 // receive window of one stream
	slowLinkBufferBytes = 32 << 10  // the same on a slow link, where buffered bodies would delay other requests
	slowLinkMbps        = 20        // links up to this bandwidth are slow
	connBufferBytes     = 1 << 20
	// maxFrameBytes is the smallest that HTTP/2 allows. The sender of a body holds a buffer of
	// this size for as long as it waits for the body, 512 KiB by default.
	maxFrameBytes   = 16 << 10
	maxMessageBytes = 16 << 20 // maximum size of a roster message
)

// Client sends requests and roster messages to other nodes. Use NewClient to
// create one.
type Client struct {
	transport *http.Transport
	node      string
	process   uint64 // start time of this process, see sendTime
	clock     gd.Clock
}

// IsSlowLink reports whether a link of the given bandwidth in Mbit/s is slow. A
// bandwidth of 0 is unknown and counts as fast.
func IsSlowLink(mbps float64) bool { return mbps > 0 && mbps <= slowLinkMbps }

// streamBufferFor returns the receive window of one stream, in bytes, for a link
// of the given bandwidth.
func streamBufferFor(mbps float64) int {
	if IsSlowLink(mbps) {
		return slowLinkBufferBytes
	}
	return streamBufferBytes
}

// NewClient returns a client for the given node, on a VM whose link has the given
// bandwidth in Mbit/s.
func NewClient(node string, mbps float64, clk gd.Clock) *Client {
	return &Client{node: node, process: uint64(clk.Now()), clock: clk, transport: &http.Transport{
		Protocols:          cleartextProtocols(),
		DialContext:        Dialer(dialTimeout).DialContext,
		DisableCompression: true,
		// A body is not sent before the peer sends 100 Continue.
		ExpectContinueTimeout: continueTimeout,
		IdleConnTimeout:       idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream:     streamBufferFor(mbps),
			MaxReceiveBufferPerConnection: connBufferBytes,
		},
	}}
}

// cleartextProtocols returns the protocol between nodes, HTTP/2 without TLS.
func cleartextProtocols() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// Dialer returns a dialer whose connections fail if the peer no longer
// acknowledges data or keep-alive probes.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// addedFieldCount is the number of header fields that Do adds to most requests.
const addedFieldCount = 5

// Do attempts a request at the node at address and returns the result.
func (c *Client) Do(ctx context.Context, address string, r request.Request) request.Result {
	h := make(http.Header, len(r.Header)+addedFieldCount)
	pool.CopyEndToEnd(h, r.Header)
	stripInternal(h)
	// The values share an array, as Header.Set would allocate one for each.
	v := [...]string{encodeMeta(r, c.node, sendTime{c.process, c.clock.Monotonic()}), encodeText(r.Target), encodeText(r.Host), encodeText(r.Class)}
	h[metaHeader], h[targetHeader], h[hostHeader], h[classHeader] = v[0:1:1], v[1:2:2], v[2:3:3], v[3:4:4]
	if r.Workspace != "" {
		h.Set(workspaceHeader, encodeWorkspace(r))
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding one
	}
	if isLargeBody(r) {
		h.Set("Expect", "100-continue") // the peer can refuse the request before its body is sent
	} else if err := r.AwaitBody(ctx); err != nil {
		return request.Failed(err, false) // the peer would let it take a slot at once
	}
	p := newProgress(r)
	req := (&http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: requestPath},
		Header:        h,
		Body:          p.body(),
		ContentLength: r.ContentLength,
	}).WithContext(p.trace(ctx))
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return failedResult(ctx, err, p.mayHaveReached())
	}
	return decodeResult(res)
}

// failedResult returns the result of an attempt that failed with err before the peer
// responded. mayHaveReached reports that so much was sent that a server may have received
// a part of it.
func failedResult(ctx context.Context, err error, mayHaveReached bool) request.Result {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return request.Failed(gd.NoServer.Wrapf(err, "node"), false)
	}
	switch {
	case !mayHaveReached && ctx.Err() != nil:
		return request.Failed(gd.DeadlineUnreachable.Wrapf(ctx.Err(), "sending the request to the node"), false)
	case !mayHaveReached:
		return request.Failed(gd.NoServer.Wrapf(err, "node"), false)
	case ctx.Err() != nil:
		return request.Failed(gd.TimedOut.Wrapf(ctx.Err(), "node"), true)
	}
	return request.Failed(gd.Unknown.Wrapf(err, "node"), true)
}

// decodeResult returns the result of an attempt from the response of a peer.
func decodeResult(res *http.Response) request.Result {
	var a request.Result
	a.Load, a.HasLoad = loadOf(res.Header)
	switch outcome := res.Header.Get(outcomeHeader); outcome {
	case outcomeResponse, outcomeShed:
		a.Reached, a.Shed = true, outcome == outcomeShed
		stripInternal(res.Header)
		a.Response = res
		return a
	case outcomeNotSent, outcomeUnknown:
		defer res.Body.Close()
		a.Reached = outcome == outcomeUnknown
		text, err := decodeText(res.Header.Get(errorHeader))
		if err != nil {
			text = gd.Message(err)
		}
		a.Err = gd.KindNamed(res.Header.Get(kindHeader)).Errorf("%s", text)
		if ms, err := strconv.ParseInt(res.Header.Get(retryAfterHeader), 10, 64); err == nil {
			a.RetryAfter = time.Duration(ms) * time.Millisecond
		}
		return a
	}
	res.Body.Close()
	return request.Failed(gd.Unknown.Errorf("the peer responded with status %d and without an outcome", res.StatusCode), true)
}

// Exchange sends a message to the roster of the node at address and returns its
// reply.
func (c *Client) Exchange(ctx context.Context, address string, m roster.Message) (roster.Message, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return roster.Message{}, gd.Internal.Wrapf(err, "message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+exchangePath, bytes.NewReader(data))
	if err != nil {
		return roster.Message{}, gd.Invalid.Wrapf(err, "address of the peer")
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return roster.Message{}, gd.Unavailable.Wrapf(err, "node")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return roster.Message{}, gd.Unavailable.Errorf("the peer responded with status %d", res.StatusCode)
	}
	return decodeMessage(res.Body)
}

// decodeMessage reads a roster message of up to maxMessageBytes.
func decodeMessage(r io.Reader) (roster.Message, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return roster.Message{}, gd.Unavailable.Wrapf(err, "message")
	}
	var m roster.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return roster.Message{}, gd.Malformed.Wrapf(err, "message")
	}
	return m, nil
}
