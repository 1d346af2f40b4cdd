package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

const (
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the API at the operator address of a node.
type Client struct {
	Address      string    // host:port
	Token        string    // bearer token; not sent if empty
	ResponseCopy io.Writer // receives the JSON of every successful response, unless nil
}

// Commit sends an edit. An error of kind Unknown means that the edit may have been
// committed. Sending it again with the same id is safe.
func (c *Client) Commit(ctx context.Context, e table.Edit) (table.Receipt, error) {
	var w wireReceipt
	err := c.call(ctx, http.MethodPost, editsPath, newWireEdit(e), &w)
	if gd.Unavailable.Is(err) {
		return table.Receipt{}, gd.Unknown.Wrapf(err, "the outcome is unknown; it is safe to repeat the edit with request id %s", e.ID)
	}
	return table.Receipt{Version: w.Version, Repeat: w.Repeat}, err
}

// Restore makes the node commit the table that it has in force, after the platform has
// lost it.
func (c *Client) Restore(ctx context.Context, id, author string) (table.Receipt, error) {
	var w wireReceipt
	err := c.call(ctx, http.MethodPost, restorePath, wireEdit{ID: id, Author: author}, &w)
	return table.Receipt{Version: w.Version}, err
}

// Table returns the table as a document.
func (c *Client) Table(ctx context.Context) (table.Document, error) {
	var w wireTable
	err := c.call(ctx, http.MethodGet, tablePath, nil, &w)
	return w.document(), err
}

// History returns the accepted edits, oldest first.
func (c *Client) History(ctx context.Context) ([]table.Record, error) {
	var w []wireRecord
	err := c.call(ctx, http.MethodGet, historyPath, nil, &w)
	var records []table.Record
	for _, r := range w {
		records = append(records, table.Record{ID: r.ID, Author: r.Author, At: r.At, Version: r.Version, Cells: r.Cells})
	}
	return records, err
}

// Status returns on which nodes the rows of the caller and the service are in force.
// An empty name matches all.
func (c *Client) Status(ctx context.Context, caller, service string) (Status, error) {
	var w wireStatus
	q := url.Values{"caller": {caller}, "service": {service}}
	err := c.call(ctx, http.MethodGet, statusPath+"?"+q.Encode(), nil, &w)
	return w.status(), err
}

// Servers returns the backend servers that the node knows of.
func (c *Client) Servers(ctx context.Context) ([]server.Record, error) {
	var w []wireServer
	err := c.call(ctx, http.MethodGet, serversPath, nil, &w)
	var records []server.Record
	for _, s := range w {
		records = append(records, s.Record)
	}
	return records, err
}

// Drain takes the backend server beside the node out of service.
func (c *Client) Drain(ctx context.Context) error {
	var empty struct{}
	return c.call(ctx, http.MethodPost, drainPath, empty, &empty)
}

// call sends a request with a JSON body and decodes the response into result.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	data, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return gd.Unavailable.Errorf("node %s: the response is not the expected JSON", c.Address)
	}
	if c.ResponseCopy == nil {
		return nil
	}
	if _, err := c.ResponseCopy.Write(data); err != nil {
		return gd.Unavailable.Wrapf(err, "write")
	}
	return nil
}

// roundTrip sends a request with a JSON body and returns the body of the response.
func (c *Client) roundTrip(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "request")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, gd.Invalid.Errorf("address %s is not of the form host:port", c.Address)
	}
	req.GetBody = nil // only the operator may repeat an edit; without GetBody, net/http does not retry it
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, gd.Unavailable.Errorf("node %s cannot be reached: %s", c.Address, err)
	}
	defer res.Body.Close()
	return c.readResponse(res)
}

// readResponse returns the body of a response, or the error that it carries.
func (c *Client) readResponse(res *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, gd.Unavailable.Errorf("node %s: the response body is truncated", c.Address)
	}
	if res.StatusCode == http.StatusOK {
		return data, nil
	}
	var e wireError
	if json.Unmarshal(data, &e) != nil || e.Error == "" {
		return nil, gd.Internal.Errorf("node %s: %s", c.Address, strings.TrimSpace(string(data)))
	}
	return nil, gd.KindNamed(e.Error).Errorf("%s", e.Message)
}
