package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
)

const ms = time.Millisecond

// TestDelayEstimator checks the transit delay of requests from a node whose clock is
// 5 s behind. Requests are usually in transit for 1 ms; the delay is the time in
// excess of that.
func TestDelayEstimator(t *testing.T) {
	const clockOffset = 5 * time.Second
	var e delayEstimator
	for _, c := range []struct {
		name    string
		sent    time.Duration
		process uint64
		transit time.Duration
		want    time.Duration
	}{
		{"first", 0, 1, 3 * ms, 0},
		{"shorter", 100 * ms, 1, 1 * ms, 0},
		{"usual", 200 * ms, 1, 1 * ms, 0},
		{"behind an upload", 300 * ms, 1, 1200 * ms, 1199 * ms},
		{"process restarts", 0, 2, 1 * ms, 0},
		{"behind an upload after the restart", 400 * ms, 2, 601 * ms, 600 * ms},
		{"a window later", delayWindow, 2, 301 * ms, 300 * ms},
		{"two windows later, on a longer path", 2 * delayWindow, 2, 301 * ms, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(e.delay(c.sent+clockOffset+c.transit, "node", sendTime{c.process, c.sent}), c.want)
		})
	}
}

func TestDelayEstimatorIsBounded(t *testing.T) {
	is := is.New(t)
	var e delayEstimator
	for i := range 2 * maxSenders {
		e.delay(0, time.Duration(i).String(), sendTime{})
	}
	is.True(len(e.senders) <= maxSenders)
}

func TestMetaRoundTrip(t *testing.T) {
	is := is.New(t)
	r := request.Request{
		Service: "shop", Caller: "web", Idempotent: true, MayWait: true, Priority: 2,
		Remaining: 900 * ms, Objective: -20 * ms,
	}
	var got request.Request
	node, s, err := decodeMeta(encodeMeta(r, "node-1", sendTime{5, 70 * ms}), &got)
	is.NoErr(err)
	is.Equal(got, r)
	is.Equal(node, "node-1")
	is.Equal(s, sendTime{5, 70 * ms})
	for _, damaged := range []string{"", "a b c", "shop web x 2 900 -20 4d node-1 5 70", "shop web 3 2 900 -20 4d node-1 5 soon"} {
		_, _, err := decodeMeta(damaged, &got)
		is.True(err != nil)
	}
}

func TestLoadRoundTrip(t *testing.T) {
	is := is.New(t)
	l := placement.Load{
		Running: 1, Waiting: 2, Slots: 3, Mean: 4 * ms, Wait: 5 * ms, ColdFor: 6 * ms, LinkBusy: 7 * ms, TransitDelay: 8 * ms, FailureRatio: 0.25,
	}
	got, ok := decodeLoad(encodeLoad(l))
	is.True(ok)
	is.Equal(got, l)
	_, ok = decodeLoad("1 2 3")
	is.True(!ok)
}

// TestDamagedFields decodes damaged copies of header fields and messages. They may
// be rejected but must not cause a panic.
func TestDamagedFields(t *testing.T) {
	meta := encodeMeta(request.Request{Service: "shop", Caller: "web", Remaining: time.Second}, "node-1", sendTime{5, ms})
	for damaged := range mutate.Copies([]byte(meta), 2000) {
		checkFields(t, string(damaged))
	}
	message, err := cbor.Marshal(roster.Message{Node: "node-1", Version: 3, Policy: []byte("policy")})
	if err != nil {
		t.Fatal(err)
	}
	for damaged := range mutate.Copies(message, 2000) {
		_, _ = decodeMessage(bytes.NewReader(damaged)) // must not panic
	}
}

// checkFields checks that text, as either header field, is decoded or rejected as
// malformed, without a panic.
func checkFields(t *testing.T, text string) {
	var r request.Request
	if _, _, err := decodeMeta(text, &r); err != nil && !gd.Malformed.Is(err) {
		t.Fatalf("%q: %v", text, err)
	}
	decodeLoad(text)
}

func FuzzDecodeMeta(f *testing.F) {
	f.Add(encodeMeta(request.Request{Service: "shop", Remaining: time.Second}, "node-1", sendTime{5, ms}))
	f.Add(encodeLoad(placement.Load{Slots: 2}))
	f.Fuzz(checkFields)
}

func FuzzDecodeMessage(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = decodeMessage(bytes.NewReader(data)) })
}
