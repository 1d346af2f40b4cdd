// Package meter counts what a node does and serves the counters and latency
// histograms as text.
package meter

import (
	"net/http"
	runtimemetrics "runtime/metrics"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	gd "github.com/geraniumdock/geraniumdock"
)

// Meter holds the counters of one node. Use New.
type Meter struct {
	set   *metrics.Set
	way   *metrics.Histogram
	wait  *metrics.Histogram
	slot  *metrics.Histogram
	store *metrics.Histogram
}

// Request is what is counted of a request that got its final answer.
type Request struct {
	Status  int
	Route   string // kind of the route
	Took    time.Duration
	Nodes   int // that were asked
	Servers int // that were reached
}

// Server is what is counted of a request that reached the server beside the node.
type Server struct {
	Way  time.Duration // between nodes, beyond the usual
	Wait time.Duration // for a slot
	Slot time.Duration // in it
}

// New returns a meter whose counters are 0.
func New() *Meter {
	s := metrics.NewSet()
	m := &Meter{
		set:   s,
		way:   s.NewHistogram("geraniumdock_way_seconds"),
		wait:  s.NewHistogram("geraniumdock_wait_seconds"),
		slot:  s.NewHistogram("geraniumdock_slot_seconds"),
		store: s.NewHistogram("geraniumdock_store_seconds"),
	}
	m.Gauge("geraniumdock_memory_bytes", memory)
	return m
}

// memory returns the bytes that the program has from the system.
func memory() float64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}}
	runtimemetrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

// Gauge has the value of f shown under name.
func (m *Meter) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Answered counts a request that got its final answer.
func (m *Meter) Answered(r Request) {
	m.set.GetOrCreateHistogram(`geraniumdock_request_seconds{route="` + r.Route + `"}`).Update(r.Took.Seconds())
	m.set.GetOrCreateCounter(`geraniumdock_requests_total{status="` + strconv.Itoa(r.Status) + `"}`).Inc()
	m.set.GetOrCreateCounter("geraniumdock_nodes_asked_total").Add(r.Nodes)
	m.set.GetOrCreateCounter("geraniumdock_servers_reached_total").Add(r.Servers)
	m.set.GetOrCreateCounter("geraniumdock_repeats_total").Add(max(0, r.Servers-1))
}

// Failed counts a request that the node itself answered.
func (m *Meter) Failed(k gd.Kind) {
	m.set.GetOrCreateCounter(`geraniumdock_failures_total{kind="` + k.String() + `"}`).Inc()
}

// Served counts a request that reached the server beside the node.
func (m *Meter) Served(status int, s Server) {
	m.way.Update(s.Way.Seconds())
	m.wait.Update(s.Wait.Seconds())
	m.slot.Update(s.Slot.Seconds())
	m.set.GetOrCreateCounter(`geraniumdock_server_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
}

// ServeHTTP writes all counters as text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.set.WritePrometheus(w)
}
