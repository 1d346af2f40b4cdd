package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/identity"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Limits of connections from callers and other nodes.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

func (n *Node) newCallsServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(n.serveCaller),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveCaller handles a call from a caller.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	c, row, err := n.accept(w, r)
	if err != nil {
		n.failCall(w, r, c, err)
		return
	}
	ctx, cancel := c.withDeadline(r.Context(), n.cfg.Clock.Monotonic())
	defer cancel()
	res, err := n.attempt(ctx, c, row)
	if err != nil {
		n.failCall(w, r, c, err)
		return
	}
	defer res.close()
	res.response.Header.Del(loadHeader)
	res.response.Header.Set(outcomeHeader, string(gd.Answered))
	if err := copyResponse(w, res.response); err != nil {
		n.counters.count(c.service, c.caller, "cut")
		n.log.Warn("aborted incomplete response", "caller", c.caller, "service", c.service, "server", res.node, "error", err)
		// Aborting the connection keeps the caller from accepting the
		// incomplete response as complete.
		panic(http.ErrAbortHandler)
	}
	n.counters.count(c.service, c.caller, string(gd.Answered))
}

// failCall counts and logs a call that failed and writes the error response. c is
// nil if the call failed before its caller and its service were known.
func (n *Node) failCall(w http.ResponseWriter, r *http.Request, c *call, err error) {
	k := gd.KindOf(err)
	caller, service := "-", "-"
	if c != nil {
		caller, service = c.caller, c.service
	}
	n.counters.count(service, caller, k.String())
	n.log.Info("call failed", "caller", caller, "service", service, "method", r.Method, "kind", k, "outcome", k.Response().Outcome, "reason", gd.Message(err))
	writeError(w, err)
}

// accept identifies the caller and returns the call and its table row.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) (*call, *table.Row, error) {
	s := n.snapshot.Load()
	if s.policy == nil {
		return nil, nil, gd.NotReady.Errorf("node %s has not loaded the current table yet", n.name)
	}
	caller, err := identify(s.policy, r)
	if err != nil {
		return nil, nil, err
	}
	svc, ok := s.policy.Route(r.URL.Path)
	if !ok {
		return nil, nil, gd.NoRoute.Errorf("no service has a route for %s", r.URL.Path)
	}
	c := &call{caller: caller, service: svc.Name, key: r.Header.Get(idempotencyKeyHeader), request: r}
	row, err := lookupRow(s.policy, svc.Name, caller)
	if err != nil {
		return c, nil, err
	}
	if err := n.prepare(w, c, row); err != nil {
		return c, nil, err
	}
	if s.register.Verdict(n.cfg.Clock.Now(), c.fingerprint) == quarantine.Refused {
		return c, nil, gd.Quarantined.Errorf("request is quarantined: requests with its fingerprint crashed two servers")
	}
	return c, row, nil
}

// identify returns the caller whose bearer token the request carries.
func identify(p *table.Policy, r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Proxy-Authorization"), "Bearer ")
	if !ok {
		return "", gd.Unauthenticated.Errorf("request has no header Proxy-Authorization with a bearer token")
	}
	caller, ok := p.CallerOf(identity.TokenHash(token))
	if !ok {
		return "", gd.Unauthenticated.Errorf("bearer token is not in the table")
	}
	return caller, nil
}

// prepare sets the call's deadline, body and fingerprint.
func (n *Node) prepare(w http.ResponseWriter, c *call, row *table.Row) error {
	requested, err := parseTimeout(c.request.Header.Get(timeoutHeader))
	if err != nil {
		return err
	}
	timeout := row.Timeout
	if requested > 0 {
		timeout = min(timeout, requested)
	}
	c.deadline = n.cfg.Clock.Monotonic() + timeout
	// Without a deadline, a caller that stops within the body would hold its connection, and the
	// buffer of a small body, for as long as it likes. The server of HTTP resets the deadline
	// before the next request of the connection.
	connection := http.NewResponseController(w)
	if c.request.ContentLength != 0 {
		_ = connection.SetReadDeadline(clock.Deadline(timeout)) // an error shows in the next read
	}
	if c.body, err = newBody(c.request); err != nil {
		return err
	}
	if c.body.buffered && c.body.length != 0 {
		_ = connection.SetReadDeadline(time.Time{}) // likewise
	}
	if c.request.Header.Get("Upgrade") != "" {
		return gd.Invalid.Errorf("header Upgrade: protocol upgrades are not supported")
	}
	stripHeaders(c.request.Header)
	c.fingerprint = quarantine.FingerprintOf(c.caller, c.request.Method, c.request.URL.RequestURI()+" "+strconv.FormatInt(c.body.length, 10), c.body.content)
	return nil
}

// Settings of connections between nodes. A node pings the other end of a connection
// on which nothing has arrived for pingInterval, and closes the connection if no
// response to the ping arrives within pingTimeout.
const (
	pingInterval    = time.Second
	pingTimeout     = time.Second
	peerIdleTimeout = 10 * time.Second
	peerDialTimeout = time.Second
	peerProtocol    = "h2"
)

func newPeerTransport(id identity.Identity) *http.Transport {
	d := &net.Dialer{Timeout: peerDialTimeout}
	t := &http.Transport{
		DialContext:           d.DialContext,
		TLSClientConfig:       id.TLS(peerProtocol),
		TLSHandshakeTimeout:   peerDialTimeout,
		IdleConnTimeout:       peerIdleTimeout,
		DisableCompression:    true,
		ForceAttemptHTTP2:     true,
		ExpectContinueTimeout: time.Hour, // the call's deadline bounds the wait
		HTTP2:                 &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP2(true)
	return t
}

func (n *Node) newPeersServer() *http.Server {
	s := &http.Server{
		Handler:           http.HandlerFunc(n.servePeer),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         n.cfg.Identity.TLS(peerProtocol),
		ErrorLog:          n.log.Named("peers").StandardLogger(nil),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams},
	}
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP2(true)
	return s
}

// maxPeerStreams is the maximum number of concurrent calls on a connection from
// another node.
const maxPeerStreams = 2000

// servePeer runs a call that the ingress of another node sent.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	c, err := n.parsePeerCall(r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := c.withDeadline(r.Context(), n.cfg.Clock.Monotonic())
	defer cancel()
	res, err := n.scheduler.do(ctx, c)
	if err != nil {
		w.Header().Set(loadHeader, formatLoad(n.scheduler.load()))
		n.log.Debug("call from another node failed", "caller", c.caller, "service", c.service, "kind", gd.KindOf(err), "reason", gd.Message(err))
		writeError(w, err)
		return
	}
	defer res.Body.Close()
	if err := copyResponse(w, res); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// parsePeerCall reads the call from the headers, which only nodes can set.
func (n *Node) parsePeerCall(r *http.Request) (*call, error) {
	timeout, err := parseTimeout(r.Header.Get(timeoutHeader))
	if err != nil {
		return nil, err
	}
	fp, err := strconv.ParseUint(r.Header.Get(fingerprintHeader), 16, 64)
	if err != nil {
		return nil, gd.Invalid.Errorf("header %s: not a hexadecimal number", fingerprintHeader)
	}
	return &call{
		caller:      r.Header.Get(callerHeader),
		service:     r.Header.Get(serviceHeader),
		fingerprint: quarantine.Fingerprint(fp),
		key:         r.Header.Get(idempotencyKeyHeader),
		deadline:    n.cfg.Clock.Monotonic() + timeout,
		request:     r,
		body:        &body{source: r.Body, length: r.ContentLength},
	}, nil
}

// send sends the call to the server's node, or runs it directly if that is this
// node.
func (n *Node) send(ctx context.Context, c *call, s server.Record) (*http.Response, error) {
	if s.Node == n.name {
		return n.scheduler.do(ctx, c)
	}
	return n.sendToPeer(ctx, c, s)
}
