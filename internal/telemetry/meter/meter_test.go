package meter

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// fakeCatalogue is a catalogue whose calls return err. Get takes a second.
type fakeCatalogue struct {
	clk *clock.Fake
	err error
}

func (f fakeCatalogue) Get(context.Context, string, string) (gd.Entry, error) {
	f.clk.Advance(time.Second)
	return gd.Entry{}, f.err
}
func (f fakeCatalogue) List(context.Context, string) ([]gd.Entry, gd.Revision, error) {
	return nil, gd.Revision{}, f.err
}
func (f fakeCatalogue) Watch(context.Context, string, gd.Revision, time.Duration) ([]gd.Entry, gd.Revision, error) {
	return nil, gd.Revision{}, f.err
}
func (f fakeCatalogue) ListStale(context.Context, string) ([]gd.Entry, error) { return nil, f.err }
func (f fakeCatalogue) Put(context.Context, string, string, []byte, gd.Revision) (gd.Entry, error) {
	return gd.Entry{}, f.err
}
func (f fakeCatalogue) PutStatus(context.Context, string, string, []byte, gd.Revision) (gd.Entry, error) {
	return gd.Entry{}, f.err
}
func (f fakeCatalogue) Delete(context.Context, string, string, gd.Revision) error { return f.err }

func metricsText(m *Meter) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	return w.Body.String()
}

// TestCatalogueCalls checks the metrics of calls that succeed, conflict and get no
// response.
func TestCatalogueCalls(t *testing.T) {
	is := is.New(t)
	clk := &clock.Fake{}
	m := New()
	fake := &fakeCatalogue{clk: clk}
	c := NewCatalogue(fake, m, clk)
	_, err := c.Get(context.Background(), "k", "n")
	is.NoErr(err)
	fake.err = gd.Conflict.Errorf("test conflict")
	_, err = c.Put(context.Background(), "k", "n", nil, gd.Revision{Number: 1})
	is.True(gd.Conflict.Is(err))
	fake.err = gd.Unavailable.Errorf("test outage")
	_, err = c.Get(context.Background(), "k", "n")
	is.True(gd.Unavailable.Is(err))
	got := metricsText(m)
	for _, line := range []string{
		`geraniumdock_store_calls_total{call="get",outcome="done"} 1`,
		`geraniumdock_store_calls_total{call="get",outcome="unavailable"} 1`,
		`geraniumdock_store_calls_total{call="put",outcome="conflict"} 1`,
		"geraniumdock_store_unheard_seconds 1",
		"geraniumdock_store_seconds_count 3",
	} {
		if !strings.Contains(got, line+"\n") {
			t.Fatalf("%s\nlacks %s", got, line)
		}
	}
}

// TestRequestMetrics checks that requests are counted by status, by kind of route
// and by the number of backend servers reached.
func TestRequestMetrics(t *testing.T) {
	is := is.New(t)
	m := New()
	m.CountRequest(Request{Status: 200, Route: "idempotent", Duration: time.Second, NodesAsked: 3, ServersReached: 2})
	m.CountRequest(Request{Status: 503, Route: "once", Duration: time.Second, NodesAsked: 2})
	m.CountFailure(gd.QueueFull)
	m.CountServerRequest(200, ServerTiming{TransitDelay: time.Second, SlotWait: time.Second, SlotTime: time.Second})
	got := metricsText(m)
	for _, line := range []string{
		`geraniumdock_requests_total{status="200"} 1`, `geraniumdock_requests_total{status="503"} 1`,
		`geraniumdock_request_seconds_count{route="idempotent"} 1`, `geraniumdock_request_seconds_count{route="once"} 1`,
		"geraniumdock_repeats_total 1", `geraniumdock_failures_total{kind="queue-full"} 1`,
		"geraniumdock_way_seconds_count 1", "geraniumdock_wait_seconds_count 1", "geraniumdock_slot_seconds_count 1",
	} {
		if !strings.Contains(got, line+"\n") {
			t.Fatalf("%s\nlacks %s", got, line)
		}
	}
	is.True(strings.Contains(got, "geraniumdock_memory_bytes "))
}
