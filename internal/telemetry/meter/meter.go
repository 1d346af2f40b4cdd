// Package meter counts what a node does and serves the counters and latency
// histograms as text.
package meter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	gd "github.com/geraniumdock/geraniumdock"
)

// Meter holds the counters of one node. Use New.
type Meter struct {
	set     *metrics.Set
	request *metrics.Histogram
	wait    *metrics.Histogram
	slot    *metrics.Histogram
}

// New returns a meter whose counters are 0.
func New() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:     s,
		request: s.NewHistogram("geraniumdock_request_seconds"),
		wait:    s.NewHistogram("geraniumdock_wait_seconds"),
		slot:    s.NewHistogram("geraniumdock_slot_seconds"),
	}
}

// Gauge has the value of f shown under name.
func (m *Meter) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Answered counts a request that got its final answer after took.
func (m *Meter) Answered(status int, took time.Duration, nodes, servers int) {
	m.request.Update(took.Seconds())
	m.set.GetOrCreateCounter(`geraniumdock_requests_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateCounter("geraniumdock_nodes_asked_total").Add(nodes)
	m.set.GetOrCreateCounter("geraniumdock_servers_reached_total").Add(servers)
}

// Failed counts a request that the node itself answered.
func (m *Meter) Failed(k gd.Kind) {
	m.set.GetOrCreateCounter(`geraniumdock_failures_total{kind="` + k.String() + `"}`).Inc()
}

// Served counts a request that reached the server beside the node.
func (m *Meter) Served(status int, wait, slot time.Duration) {
	m.wait.Update(wait.Seconds())
	m.slot.Update(slot.Seconds())
	m.set.GetOrCreateCounter(`geraniumdock_server_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
}

// ServeHTTP writes all counters as text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.set.WritePrometheus(w)
}
