package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
)

// TestUnsentRequestHasReachedNoServer fails requests at a peer that does not respond. Those
// of which the peer cannot have passed a byte on must be known not to have run, as their
// callers may then send them again; all others must be known as possibly run.
func TestUnsentRequestHasReachedNoServer(t *testing.T) {
	const large = 60 << 10
	for name, c := range map[string]struct {
		length       int64
		readsBody    bool // the peer reads the body before it stops responding
		closes       bool // the peer closes the connection
		mayHaveRun   bool
		expectedKind gd.Kind
	}{
		"no body":                   {0, false, false, true, gd.TimedOut},
		"small body":                {100, false, false, true, gd.TimedOut},
		"body not read":             {large, false, false, false, gd.DeadlineUnreachable},
		"body not read, then close": {large, false, true, false, gd.NoServer},
		"body read":                 {large, true, false, true, gd.TimedOut},
		"body read, then close":     {large, true, true, true, gd.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var s *http.Server
			s = &http.Server{Protocols: cleartextProtocols(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if c.readsBody {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				if c.closes {
					s.Close()
				}
				<-r.Context().Done()
			})}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			client := NewClient("node-0", 0, clock.System{})
			defer client.Close()
			for range 2 { // the second request may use the connection of the first
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				r := request.Request{Method: http.MethodPost, Header: http.Header{}, ContentLength: c.length}
				if c.length > 0 {
					r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", int(c.length))))
				}
				a := client.Do(ctx, l.Addr().String(), r)
				cancel()
				is.Equal(a.Reached, c.mayHaveRun)
				is.Equal(gd.KindOf(a.Err), c.expectedKind)
				if c.closes {
					break
				}
			}
		})
	}
}

// TestDialInProgressHasReachedNoServer lets the deadline pass while the connection to the
// peer is being opened.
func TestDialInProgressHasReachedNoServer(t *testing.T) {
	is := is.New(t)
	client := NewClient("node-0", 0, clock.System{})
	defer client.Close()
	client.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	a := client.Do(ctx, "127.0.0.1:1", request.Request{Method: http.MethodGet, Header: http.Header{}})
	is.True(!a.Reached)
	is.Equal(gd.KindOf(a.Err), gd.DeadlineUnreachable)
}
