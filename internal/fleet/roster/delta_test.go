package roster

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
	"github.com/geraniumdock/geraniumdock/server"
)

func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{strings.Repeat("a", 100), strings.Repeat("bc", 90), "d", strings.Repeat("xyz", 40)}), 0, 12)
		base := []byte(strings.Join(parts.Draw(t, "base"), ""))
		target := []byte(strings.Join(parts.Draw(t, "target"), ""))
		got, err := applyDelta(base, delta(base, target))
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("%q: %v", got, err)
		}
	})
}

// TestDeltaOfOneRouteIsSmall changes one of 1,600 routes, the usual difference
// between successive versions.
func TestDeltaOfOneRouteIsSmall(t *testing.T) {
	is := is.New(t)
	var base, target bytes.Buffer
	for i := range 1600 {
		line := fmt.Sprintf(`{"name":"r-%d","host":"host-%d.example","prefix":"/p-%d/","service":"shop","timeout":1.5,"attempts":2},`, i, i%40, i)
		base.WriteString(line)
		if i == 700 {
			line = strings.ReplaceAll(line, "shop", "stock")
		}
		target.WriteString(line)
	}
	d := delta(base.Bytes(), target.Bytes())
	is.True(len(d) < 500)
	got, err := applyDelta(base.Bytes(), d)
	is.NoErr(err)
	is.True(bytes.Equal(got, target.Bytes()))
}

func TestDamagedDelta(t *testing.T) {
	base := []byte(strings.Repeat("0123456789", 50))
	d := delta(base, []byte(strings.Repeat("0123456789", 30)+"new"+strings.Repeat("0123456789", 20)))
	for damaged := range mutate.Copies(d, 5000) {
		_, _ = applyDelta(base, damaged) // must not panic
	}
}

func FuzzApplyDelta(f *testing.F) {
	base := []byte(strings.Repeat("0123456789", 50))
	f.Add(delta(base, base[10:]))
	f.Fuzz(func(_ *testing.T, d []byte) { _, _ = applyDelta(base, d) })
}

// TestNodeOneVersionBehindGetsDelta queries with the previous version, with the
// same version in different bytes, with an older one, and with none. Only the
// reply to the first may carry a delta.
func TestNodeOneVersionBehindGetsDelta(t *testing.T) {
	is := is.New(t)
	r, stop := startRoster(&hangingExchanger{started: make(chan struct{})})
	defer stop()
	for _, v := range []uint64{3, 4, 5} {
		send(r, policyMessage(v))
	}
	for _, c := range []struct {
		query   Message
		isDelta bool
	}{
		{Message{Node: "peer", Version: 4, Checksum: checksumOf([]byte("4"))}, true},
		{Message{Node: "peer", Version: 4, Checksum: checksumOf([]byte(" 4"))}, false},
		{Message{Node: "peer", Version: 3, Checksum: checksumOf([]byte("3"))}, false},
		{Message{Node: "peer"}, false},
	} {
		reply := send(r, c.query)
		is.Equal(reply.Delta != nil, c.isDelta)
		is.Equal(reply.Policy != nil, !c.isDelta)
	}
	// The receiver installs a policy that arrives as a delta.
	behind, stopBehind := startRoster(&hangingExchanger{started: make(chan struct{})})
	defer stopBehind()
	send(behind, policyMessage(4))
	m := send(r, Message{Node: "peer", Version: 4, Checksum: checksumOf([]byte("4"))})
	m.Node = "peer"
	send(behind, m)
	is.Equal(behind.Snapshot().Policy.Version, uint64(5))
}

// decodeLeadingVersion decodes a policy whose first word is its version.
func decodeLeadingVersion(data []byte) (*route.Policy, error) {
	digits, _, _ := strings.Cut(string(data), " ")
	return decodeVersion([]byte(digits))
}

// TestDeltaFromAnotherVersionIsRefused guards against a delta that is applied to
// the wrong base. A node queries with version 4 and installs version 5 before the
// delta arrives.
func TestDeltaFromAnotherVersionIsRefused(t *testing.T) {
	is := is.New(t)
	four, five, six := "4 "+strings.Repeat("a", 200), "5 "+strings.Repeat("b", 200), "6 "+strings.Repeat("a", 200)
	s := &state{
		ctx:       t.Context(),
		r:         New(Config{Self: server.Record{Node: "own"}, Decode: decodeLeadingVersion, Clock: &clock.Fake{}, Log: hclog.NewNullLogger(), Seed: 1}),
		changedAt: map[string]time.Duration{}, heardAt: map[string]time.Duration{},
	}
	late := Message{Node: "peer", Version: 6, Checksum: checksumOf([]byte(six)), Delta: delta([]byte(four), []byte(six))}
	s.installPolicy([]byte(five), gd.Revision{Number: 1}, "store", 0)
	s.receive(late)
	is.Equal(s.version(), uint64(5))
	is.Equal(string(s.raw), five)
}
