package operator

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/relay"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// fakeService is a Service that holds its table in memory.
type fakeService struct {
	table   table.Table
	records []table.Record
	drained bool
}

func (f *fakeService) Commit(_ context.Context, e table.Edit) (table.Receipt, error) {
	next, err := f.table.WithEdit(e)
	if err != nil {
		return table.Receipt{}, err
	}
	f.table = next
	f.records = append(f.records, table.Record{ID: e.ID, Author: e.Author, Version: next.Version()})
	return table.Receipt{Version: next.Version()}, nil
}

func (f *fakeService) Restore(context.Context, string, string) (table.Receipt, error) {
	return table.Receipt{}, gd.Conflict.Errorf("nothing was lost")
}

func (f *fakeService) Table(context.Context) (table.Table, error) { return f.table, nil }

func (f *fakeService) History(context.Context) ([]table.Record, error) { return f.records, nil }

func (f *fakeService) Status(context.Context) (Status, error) {
	p, err := f.table.Policy()
	if err != nil {
		return Status{}, err
	}
	return NewStatus(p, &relay.StatusReply{Nodes: []relay.Progress{{Node: "n1", Version: 1}, {Node: "n2"}}, Silent: []string{"r"}}), nil
}

func (f *fakeService) Servers(context.Context) ([]server.Record, error) {
	return []server.Record{{Node: "n1", State: server.Draining}}, nil
}

func (f *fakeService) Drain() { f.drained = true }

func edit(id, weight string, read uint64) table.Edit {
	return table.Edit{ID: id, Author: "ayse", Changes: []table.Change{
		{Key: table.Key{Sheet: table.Services, Row: "s", Column: "routes"}, Value: "/s", ReadVersion: read},
		{Key: table.Key{Sheet: table.Callers, Row: "a", Column: "token-sha256"}, Value: strings.Repeat("0", 64), ReadVersion: read},
		{Key: table.RowKey("a", "s", "weight"), Value: weight, ReadVersion: read},
	}}
}

func TestClientAndHandler(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := &fakeService{}
	s := httptest.NewServer(NewHandler(f, "secret"))
	defer s.Close()
	c := &Client{Address: s.Listener.Addr().String(), Token: "secret"}
	r, err := c.Commit(ctx, edit("1", "2", 0))
	is.NoErr(err)
	is.Equal(r.Version, uint64(1))
	_, err = c.Commit(ctx, edit("2", "3", 1))
	is.NoErr(err)
	_, err = c.Commit(ctx, edit("3", "4", 1))
	is.True(gd.Conflict.Is(err)) // the message contains the conflicting edit
	is.True(strings.Contains(gd.Message(err), `"3" by ayse`))
	d, err := c.Table(ctx)
	is.NoErr(err)
	is.Equal(d, f.table.Document())
	history, err := c.History(ctx)
	is.NoErr(err)
	is.Equal(len(history), 2)
	status, err := c.Status(ctx, "a", "s")
	is.NoErr(err)
	is.Equal(status.Rows[0], RowStatus{Caller: "a", Service: "s", Version: 2, Nodes: 2, Lagging: []string{"n1", "n2"}})
	is.Equal(status.Silent, []string{"r"})
	status, err = c.Status(ctx, "nobody", "")
	is.NoErr(err)
	is.Equal(len(status.Rows), 0)
	servers, err := c.Servers(ctx)
	is.NoErr(err)
	is.Equal(servers[0].State, server.Draining)
	is.NoErr(c.Drain(ctx))
	is.True(f.drained)
	_, err = c.Restore(ctx, "4", "ayse")
	is.True(gd.Conflict.Is(err))
	var out bytes.Buffer
	c.ResponseCopy = &out
	_, err = c.Servers(ctx)
	is.NoErr(err)
	is.True(strings.Contains(out.String(), `"state-name":"draining"`))
}

func TestTokenAndBadRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := httptest.NewServer(NewHandler(&fakeService{}, "secret"))
	defer s.Close()
	c := &Client{Address: s.Listener.Addr().String(), Token: "wrong"}
	_, err := c.Table(ctx)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "token"))
	c.Token = "secret"
	err = c.call(ctx, "POST", editsPath, map[string]string{"idd": "x"}, &wireReceipt{})
	is.True(gd.Invalid.Is(err))
	s.Close()
	_, err = c.Commit(ctx, edit("lost", "1", 0))
	is.True(gd.Unknown.Is(err))
	is.True(strings.Contains(err.Error(), "lost")) // the id to repeat the edit with
}
