package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/limit"
)

const (
	tokensPath = "/tokens"
	// maxTokensBytes and maxTokenRequests bound a message with requests for tokens.
	maxTokensBytes   = 64 << 10
	maxTokenRequests = 256
)

// Issuer issues tokens of workspaces with a quota.
type Issuer interface {
	// IssueTokens returns a reply for each of the requests.
	IssueTokens(list []limit.TokenRequest) []limit.TokenReply
}

// wireTokenRequest and wireTokenReply are the elements of the messages, in the same order.
type wireTokenRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Want      int    `cbor:"2,keyasint"`
}

type wireTokenReply struct {
	Granted    int   `cbor:"1,keyasint,omitempty"`
	WaitMicros int64 `cbor:"2,keyasint,omitempty"` // until a token is due, if none was granted
	Unknown    bool  `cbor:"3,keyasint,omitempty"`
}

// RequestTokens asks the node at address for tokens and returns its replies.
func (c *Client) RequestTokens(ctx context.Context, address string, list []limit.TokenRequest) ([]limit.TokenReply, error) {
	data, err := cbor.Marshal(encodeTokenRequests(list))
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "request for tokens")
	}
	req := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: tokensPath},
		Header: http.Header{"User-Agent": {""}}, Body: io.NopCloser(bytes.NewReader(data)), ContentLength: int64(len(data)),
	}).WithContext(ctx)
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "node")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, gd.Unavailable.Errorf("the peer responded with status %d", res.StatusCode)
	}
	replies, err := decodeTokenReplies(res.Body)
	if err == nil && len(replies) != len(list) {
		err = gd.Malformed.Errorf("%d replies to %d requests for tokens", len(replies), len(list))
	}
	return replies, err
}

// serveTokens passes the requests for tokens of a peer to issuer and writes the replies.
func serveTokens(issuer Issuer, w http.ResponseWriter, r *http.Request) {
	list, err := decodeTokenRequests(r.Body)
	if err != nil {
		http.Error(w, gd.Message(err), http.StatusBadRequest)
		return
	}
	replies := issuer.IssueTokens(list)
	wire := make([]wireTokenReply, len(replies))
	for i, a := range replies {
		wire[i] = wireTokenReply{a.Granted, a.Wait.Microseconds(), a.Unknown}
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil // keeps net/http from adding them
	_, _ = w.Write(data)                                      // on failure the peer sees a truncated body
}

func encodeTokenRequests(list []limit.TokenRequest) []wireTokenRequest {
	wire := make([]wireTokenRequest, len(list))
	for i, q := range list {
		wire[i] = wireTokenRequest{q.Key, q.Want}
	}
	return wire
}

func decodeTokenRequests(r io.Reader) ([]limit.TokenRequest, error) {
	var wire []wireTokenRequest
	if err := decodeTokens(r, &wire); err != nil {
		return nil, err
	}
	if len(wire) > maxTokenRequests {
		return nil, gd.TooLarge.Errorf("%d requests for tokens in a message, at most %d are allowed", len(wire), maxTokenRequests)
	}
	list := make([]limit.TokenRequest, len(wire))
	for i, q := range wire {
		list[i] = limit.TokenRequest{Key: q.Workspace, Want: q.Want}
	}
	return list, nil
}

func decodeTokenReplies(r io.Reader) ([]limit.TokenReply, error) {
	var wire []wireTokenReply
	if err := decodeTokens(r, &wire); err != nil {
		return nil, err
	}
	list := make([]limit.TokenReply, len(wire))
	for i, a := range wire {
		list[i] = limit.TokenReply{Granted: a.Granted, Wait: time.Duration(a.WaitMicros) * time.Microsecond, Unknown: a.Unknown}
	}
	return list, nil
}

// decodeTokens reads a message of up to maxTokensBytes.
func decodeTokens(r io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxTokensBytes))
	if err != nil {
		return gd.Unavailable.Wrapf(err, "message")
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return gd.Malformed.Wrapf(err, "message")
	}
	return nil
}
