package peer

import (
	"context"
	"errors"
	"io"
	"maps"
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

// Station runs requests on the server beside the node.
type Station interface {
	Do(ctx context.Context, r request.Request) request.Answer
}

// Roster answers messages of other rosters.
type Roster interface {
	Answer(ctx context.Context, m roster.Message) roster.Message
}

// maxStreams is how many requests one node may have under way at another.
const maxStreams = 1000

// Server serves other nodes. Use NewServer.
type Server struct {
	http *http.Server
}

// NewServer returns a server that passes requests to station and messages to
// members, on a VM whose link has the given bandwidth.
func NewServer(station Station, members Roster, mbps float64, clk gd.Clock, log hclog.Logger) *Server {
	var delays delayEstimator
	mux := http.NewServeMux()
	mux.HandleFunc(requestPath, func(w http.ResponseWriter, r *http.Request) {
		serveRequest(station, &delays, clk.Monotonic(), w, r)
	})
	mux.HandleFunc(exchangePath, func(w http.ResponseWriter, r *http.Request) { serveExchange(members, w, r) })
	return &Server{http: &http.Server{
		Handler:   mux,
		Protocols: cleartextProtocols(),
		ErrorLog:  log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerStream:     streamBufferFor(mbps),
			MaxReceiveBufferPerConnection: connBufferBytes,
		},
	}}
}

// Serve serves connections until Close is called.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close waits for the requests under way until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

func serveRequest(station Station, delays *delayEstimator, now time.Duration, w http.ResponseWriter, r *http.Request) {
	in, node, at, err := decodeRequest(r)
	if err != nil {
		writeAnswer(w, request.Failed(err, false))
		return
	}
	in.Delayed = delays.delay(now, node, at)
	writeAnswer(w, station.Do(r.Context(), in))
}

// decodeRequest returns a request, and which node sent it when.
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
	in.Header = stripInternal(r.Header)
	in.ID = platform.RequestID(in.Header)
	return in, node, at, nil
}

func writeAnswer(w http.ResponseWriter, a request.Answer) {
	h := w.Header()
	if a.HasLoad {
		h.Set(loadHeader, encodeLoad(a.Load))
	}
	if a.Response == nil {
		writeFailure(w, a)
		return
	}
	defer a.Response.Body.Close()
	maps.Copy(h, pool.EndToEnd(a.Response.Header))
	h.Set(outcomeHeader, outcomeAnswer)
	if a.Shed {
		h.Set(outcomeHeader, outcomeShed)
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil // keeps the server from adding one
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.Response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Response.ContentLength, 10))
	}
	w.WriteHeader(a.Response.StatusCode)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if _, err := io.CopyBuffer(w, a.Response.Body, *buf); err != nil {
		panic(http.ErrAbortHandler) // the other node must see that the answer was cut
	}
}

// copyBuffers hold what is passed on of answers.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// copyBuffer is how much of an answer is passed on at once, in bytes.
const copyBufferBytes = 8 << 10

func writeFailure(w http.ResponseWriter, a request.Answer) {
	h := w.Header()
	outcome := outcomeNotSent
	if a.Reached {
		outcome = outcomeUnknown
	}
	h.Set(outcomeHeader, outcome)
	h.Set(kindHeader, gd.KindOf(a.Err).String())
	h.Set(errorHeader, encodeText(gd.Message(a.Err)))
	h.Set(comeBackHeader, strconv.FormatInt(a.ComeBack.Milliseconds(), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func serveExchange(members Roster, w http.ResponseWriter, r *http.Request) {
	m, err := decodeMessage(r.Body)
	if err != nil {
		http.Error(w, gd.Message(err), http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(members.Answer(r.Context(), m))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // the other node sees a cut answer
}
