package peer

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	"github.com/geraniumdock/geraniumdock/limit"
)

// issuer replies to every request with one of the replies, by workspace.
type issuer map[string]limit.TokenReply

func (s issuer) IssueTokens(list []limit.TokenRequest) []limit.TokenReply {
	replies := make([]limit.TokenReply, len(list))
	for i, q := range list {
		replies[i] = s[q.Key]
	}
	return replies
}

// countingListener counts the bytes on its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// serveIssuer serves the requests for tokens of other nodes and returns the address, and the
// number of bytes sent and received.
func serveIssuer(t testing.TB, s Issuer) (address string, sent *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent = new(atomic.Int64)
	server := NewServer(nil, nil, s, 0, clock.System{}, hclog.NewNullLogger())
	go func() { _ = server.Serve(countingListener{l, sent}) }() // ends with Close
	t.Cleanup(func() { _ = server.Close(context.Background()) })
	return l.Addr().String(), sent
}

func TestRequestTokens(t *testing.T) {
	is := is.New(t)
	replies := issuer{"acme": {Granted: 3}, "globex": {Wait: 1500 * time.Microsecond}, "initech": {Unknown: true}}
	address, _ := serveIssuer(t, replies)
	c := NewClient("own", 0, clock.System{})
	defer c.Close()
	got, err := c.RequestTokens(context.Background(), address, []limit.TokenRequest{{Key: "globex", Want: 1}, {Key: "acme", Want: 4}, {Key: "initech", Want: 1}})
	is.NoErr(err)
	is.Equal(got, []limit.TokenReply{replies["globex"], replies["acme"], replies["initech"]})
	_, err = c.RequestTokens(context.Background(), address, make([]limit.TokenRequest, maxTokenRequests+1))
	is.True(gd.Unavailable.Is(err)) // too many
}

// TestDamagedTokenMessages decodes damaged copies of messages. They may be rejected but must
// not cause a panic.
func TestDamagedTokenMessages(t *testing.T) {
	data, err := cbor.Marshal(encodeTokenRequests([]limit.TokenRequest{{Key: "acme", Want: 2}}))
	if err != nil {
		t.Fatal(err)
	}
	for damaged := range mutate.Copies(data, 2000) {
		_, _ = decodeTokenRequests(bytes.NewReader(damaged)) // must not panic
		_, _ = decodeTokenReplies(bytes.NewReader(damaged))  // must not panic
	}
}

// BenchmarkRequestTokens measures an exchange over an open connection: processor time of
// both nodes, and bytes on the connection without TCP and IP headers.
func BenchmarkRequestTokens(b *testing.B) {
	address, sent := serveIssuer(b, issuer{"workspace-17": {Granted: 1}})
	c := NewClient("own", 0, clock.System{})
	defer c.Close()
	list := []limit.TokenRequest{{Key: "workspace-17", Want: 1}}
	if _, err := c.RequestTokens(context.Background(), address, list); err != nil {
		b.Fatal(err)
	}
	before := sent.Load()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.RequestTokens(context.Background(), address, list); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent.Load()-before)/float64(b.N), "wire-bytes/op")
}
