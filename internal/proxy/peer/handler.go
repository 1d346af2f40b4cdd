package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/http1/pool"
	"github.com/geraniumdock/geraniumdock/platform"
)

// Station runs requests on the backend server beside the node.
type Station interface {
	Do(ctx context.Context, r request.Request) request.Result
}

// Roster handles the messages of the rosters of other nodes.
type Roster interface {
	// HandleMessage returns the reply to a message.
	HandleMessage(ctx context.Context, m roster.Message) roster.Message
}

// maxStreams is the number of requests that one node may have in flight at
// another.
const maxStreams = 1000

// Server serves requests and messages of other nodes. Use NewServer to create one.
type Server struct {
	http *http.Server
}

// NewServer returns a server that passes requests to station, messages to ownRoster and
// requests for tokens to issuer, on a VM whose link has the given bandwidth in Mbit/s.
func NewServer(station Station, ownRoster Roster, issuer Issuer, mbps float64, clk gd.Clock, log hclog.Logger) *Server {
	var delays delayEstimator
	mux := http.NewServeMux()
	mux.HandleFunc(requestPath, func(w http.ResponseWriter, r *http.Request) {
		serveRequest(station, &delays, clk.Monotonic(), w, r)
	})
	mux.HandleFunc(exchangePath, func(w http.ResponseWriter, r *http.Request) { serveExchange(ownRoster, w, r) })
	mux.HandleFunc(tokensPath, func(w http.ResponseWriter, r *http.Request) { serveTokens(issuer, w, r) })
	return &Server{http: &http.Server{
		Handler:   mux,
		Protocols: cleartextProtocols(),
		ErrorLog:  log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReadFrameSize:              maxFrameBytes,
			MaxReceiveBufferPerStream:     streamBufferFor(mbps),
			MaxReceiveBufferPerConnection: connBufferBytes,
		},
	}}
}

// Serve serves the connections of l until Close is called.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the server and waits for the requests in flight. When ctx ends, it
// closes their connections.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// serveRequest runs a request that arrived from a peer at the monotonic time now.
func serveRequest(station Station, delays *delayEstimator, now time.Duration, w http.ResponseWriter, r *http.Request) {
	in, node, at, err := decodeRequest(r)
	if err != nil {
		writeResult(w, request.Failed(err, false))
		return
	}
	in.TransitDelay = delays.delay(now, node, at)
	writeResult(w, station.Do(r.Context(), in))
}

// decodeRequest returns the request of a peer, the node that sent it, and its
// send time.
func decodeRequest(r *http.Request) (in request.Request, node string, at sendTime, err error) {
	in = request.Request{Method: r.Method, Body: r.Body, ContentLength: r.ContentLength}
	if node, at, err = decodeMeta(r.Header.Get(metaHeader), &in); err != nil {
		return in, node, at, err
	}
	for _, f := range []struct {
		name string
		into *string
	}{{targetHeader, &in.Target}, {hostHeader, &in.Host}, {classHeader, &in.Class}} {
		if *f.into, err = decodeText(r.Header.Get(f.name)); err != nil {
			return in, node, at, err
		}
	}
	if err = decodeWorkspace(r.Header.Get(workspaceHeader), &in); err != nil {
		return in, node, at, err
	}
	in.Header = stripInternal(r.Header)
	in.ID = platform.RequestID(in.Header)
	return in, node, at, nil
}

// writeResult writes the result of an attempt for the node that sent the request.
func writeResult(w http.ResponseWriter, a request.Result) {
	h := w.Header()
	if a.HasLoad {
		setLoad(h, a.Load)
	}
	if a.Response == nil {
		writeFailure(w, a)
		return
	}
	defer a.Response.Body.Close()
	pool.CopyEndToEnd(h, a.Response.Header)
	h.Set(outcomeHeader, outcomeResponse)
	if a.Shed {
		h.Set(outcomeHeader, outcomeShed)
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil // keeps net/http from adding one
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if a.Response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Response.ContentLength, 10))
	}
	w.WriteHeader(a.Response.StatusCode)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if _, err := io.CopyBuffer(w, a.Response.Body, *buf); err != nil {
		panic(http.ErrAbortHandler) // resets the stream, so that the peer sees a truncated body
	}
}

// copyBuffers holds buffers for forwarding response bodies.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// copyBufferBytes is the size of a buffer in copyBuffers.
const copyBufferBytes = 8 << 10

// writeFailure writes the result of an attempt that ended with an error.
func writeFailure(w http.ResponseWriter, a request.Result) {
	h := w.Header()
	outcome := outcomeNotSent
	if a.Reached {
		outcome = outcomeUnknown
	}
	h.Set(outcomeHeader, outcome)
	h.Set(kindHeader, gd.KindOf(a.Err).String())
	h.Set(errorHeader, encodeText(gd.Message(a.Err)))
	h.Set(retryAfterHeader, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveExchange passes a message of a peer to ownRoster and writes the reply.
func serveExchange(ownRoster Roster, w http.ResponseWriter, r *http.Request) {
	m, err := decodeMessage(r.Body)
	if err != nil {
		http.Error(w, gd.Message(err), http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(ownRoster.HandleMessage(r.Context(), m))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // on failure the peer sees a truncated body
}
