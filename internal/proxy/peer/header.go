// Package peer sends requests and roster messages between nodes over unencrypted
// HTTP/2. Two nodes share one connection: flow control keeps an upload from
// blocking other requests, and a canceled request resets only its own stream.
package peer

import (
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
)

// Paths that a node serves to other nodes.
const (
	requestPath  = "/request"
	exchangePath = "/exchange"
)

// Header fields that nodes add. All begin with headerPrefix, by which they are
// removed before a request or response is forwarded.
const (
	headerPrefix     = "Geraniumdock-"
	metaHeader       = headerPrefix + "Meta"       // see encodeMeta
	targetHeader     = headerPrefix + "Target"     // path and query of the request
	hostHeader       = headerPrefix + "Host"       // Host field of the request
	classHeader      = headerPrefix + "Class"      // request.Request.Class
	outcomeHeader    = headerPrefix + "Outcome"    // of the attempt
	errorHeader      = headerPrefix + "Error"      // text of the error
	kindHeader       = headerPrefix + "Kind"       // kind of the error
	retryAfterHeader = headerPrefix + "Come-Back"  // time until the server is expected to have room, in milliseconds
	loadHeader       = headerPrefix + "Load"       // see encodeLoad
	workspaceHeader  = headerPrefix + "Workspace"  // see encodeWorkspace; only if the request has a workspace
	limitWaitHeader  = headerPrefix + "Limit-Wait" // placement.Load.LimitWait in milliseconds, if not 0
)

// Values of outcomeHeader. The first two go with a response of the backend server,
// the others with an error: either the request was not sent to the server, or it
// is unknown whether the server ran it.
const (
	outcomeResponse = "answer"
	outcomeShed     = "shed"
	outcomeNotSent  = "not-sent"
	outcomeUnknown  = "unknown"
)

// encodeMeta returns the value of metaHeader: the fields of r that are not part of
// the caller's request, the name of the sending node, and the send time.
func encodeMeta(r request.Request, node string, at sendTime) string {
	flags := 0
	for i, set := range []bool{r.Idempotent, r.MayWait} {
		if set {
			flags |= 1 << i
		}
	}
	b := make([]byte, 0, len(r.Service)+len(r.Caller)+len(node)+numberBytes*(metaFieldCount-3))
	b = append(append(append(append(b, r.Service...), ' '), r.Caller...), ' ')
	for _, n := range []int64{int64(flags), int64(r.Priority), r.Remaining.Milliseconds(), r.Objective.Milliseconds()} {
		b = append(strconv.AppendInt(b, n, 10), ' ')
	}
	b = append(strconv.AppendUint(b, uint64(r.Hash().Head()), 16), ' ') // read by nodes of earlier versions
	b = append(append(b, node...), ' ')
	b = append(strconv.AppendUint(b, at.process, 10), ' ')
	return string(strconv.AppendInt(b, at.sent.Milliseconds(), 10))
}

// numberBytes is the length of most numbers in a header field, with the space after it.
const numberBytes = 16

const metaFieldCount = 10

// decodeMeta parses a value that encodeMeta returned. It sets the fields of r and
// returns the node that sent the request and its send time.
func decodeMeta(text string, r *request.Request) (node string, at sendTime, err error) {
	f := strings.Split(text, " ")
	if len(f) != metaFieldCount {
		return "", sendTime{}, gd.Malformed.Errorf("%s has %d fields, want %d", metaHeader, len(f), metaFieldCount)
	}
	r.Service, r.Caller, node = f[0], f[1], f[7]
	var flags, priority, remaining, objective, sent int64
	for _, n := range []struct {
		name string
		text string
		into *int64
	}{{"flags", f[2], &flags}, {"priority", f[3], &priority}, {"time left", f[4], &remaining}, {"objective", f[5], &objective}, {"sent", f[9], &sent}} {
		if *n.into, err = strconv.ParseInt(n.text, 10, 64); err != nil {
			return "", sendTime{}, gd.Malformed.Wrapf(err, "%s", n.name)
		}
	}
	if _, err = strconv.ParseUint(f[6], 16, 64); err != nil {
		return "", sendTime{}, gd.Malformed.Wrapf(err, "fingerprint")
	}
	if at.process, err = strconv.ParseUint(f[8], 10, 64); err != nil {
		return "", sendTime{}, gd.Malformed.Wrapf(err, "process")
	}
	at.sent = time.Duration(sent) * time.Millisecond
	r.Idempotent, r.MayWait, r.Priority = flags&1 != 0, flags&2 != 0, int(priority)
	r.Remaining, r.Objective = time.Duration(remaining)*time.Millisecond, time.Duration(objective)*time.Millisecond
	return node, at, nil
}

// encodeWorkspace returns the value of workspaceHeader: the workspace of r and the priority of
// its route. Nodes of earlier versions do not send that header.
func encodeWorkspace(r request.Request) string {
	return strconv.Itoa(r.RoutePriority) + " " + encodeText(r.Workspace)
}

// decodeWorkspace sets the workspace of r and the priority of its route. The text is a value
// that encodeWorkspace returned, or "" for a request without a workspace.
func decodeWorkspace(text string, r *request.Request) error {
	r.RoutePriority = r.Priority
	if text == "" {
		return nil
	}
	priority, name, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(priority)
	if err != nil {
		return gd.Malformed.Wrapf(err, "%s", workspaceHeader)
	}
	r.RoutePriority = n
	r.Workspace, err = decodeText(name)
	return err
}

// setLoad sets the header fields with the load of the node's server.
func setLoad(h http.Header, l placement.Load) {
	h.Set(loadHeader, encodeLoad(l))
	if l.LimitWait > 0 {
		h.Set(limitWaitHeader, strconv.FormatInt(l.LimitWait.Milliseconds(), 10))
	}
}

// loadOf returns the load in the header of a response. It reports false if there is
// none or it is malformed. Nodes of earlier versions do not send limitWaitHeader.
func loadOf(h http.Header) (placement.Load, bool) {
	l, ok := decodeLoad(h.Get(loadHeader))
	if text := h.Get(limitWaitHeader); ok && text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return placement.Load{}, false
		}
		l.LimitWait = time.Duration(ms) * time.Millisecond
	}
	return l, ok
}

// encodeLoad returns the value of loadHeader.
func encodeLoad(l placement.Load) string {
	b := make([]byte, 0, numberBytes*loadFieldCount)
	for _, n := range []int64{
		int64(l.Running), int64(l.Waiting), int64(l.Slots), l.Mean.Microseconds(), l.Wait.Microseconds(),
		l.ColdFor.Milliseconds(), l.LinkBusy.Milliseconds(), l.TransitDelay.Milliseconds(),
	} {
		b = append(strconv.AppendInt(b, n, 10), ' ')
	}
	return string(strconv.AppendFloat(b, l.FailureRatio, 'f', 3, 64))
}

const loadFieldCount = 9

// decodeLoad parses a value that encodeLoad returned. It reports false if the
// value is malformed.
func decodeLoad(text string) (placement.Load, bool) {
	f := strings.Split(text, " ")
	if len(f) != loadFieldCount {
		return placement.Load{}, false
	}
	var n [loadFieldCount - 1]int64
	for i := range n {
		v, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return placement.Load{}, false
		}
		n[i] = v
	}
	failureRatio, err := strconv.ParseFloat(f[loadFieldCount-1], 64)
	if err != nil {
		return placement.Load{}, false
	}
	return placement.Load{
		Running: int(n[0]), Waiting: int(n[1]), Slots: int(n[2]),
		Mean: time.Duration(n[3]) * time.Microsecond, Wait: time.Duration(n[4]) * time.Microsecond,
		ColdFor: time.Duration(n[5]) * time.Millisecond, LinkBusy: time.Duration(n[6]) * time.Millisecond,
		TransitDelay: time.Duration(n[7]) * time.Millisecond, FailureRatio: failureRatio,
	}, true
}

// encodeText encodes a text that may hold bytes that header fields do not allow.
func encodeText(s string) string { return base64.RawStdEncoding.EncodeToString([]byte(s)) }

// decodeText reverses encodeText.
func decodeText(s string) (string, error) {
	b, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil {
		return "", gd.Malformed.Wrapf(err, "text")
	}
	return string(b), nil
}

// stripInternal removes the fields that nodes add from h and returns h.
func stripInternal(h http.Header) http.Header {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	return h
}
