// Package meter holds the metrics of a node and serves them in the Prometheus
// text format.
package meter

import (
	"net/http"
	runtimemetrics "runtime/metrics"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	gd "github.com/geraniumdock/geraniumdock"
)

// Meter holds the metrics of one node. Use New to create one.
type Meter struct {
	set          *metrics.Set
	transitDelay *metrics.Histogram
	slotWait     *metrics.Histogram
	slotTime     *metrics.Histogram
	storeLatency *metrics.Histogram
}

// Request describes a request that has ended.
type Request struct {
	Status         int
	Route          string // kind of route
	Duration       time.Duration
	NodesAsked     int // nodes that the request was sent to
	ServersReached int // backend servers that the request reached
}

// ServerTiming describes the handling of a request that reached the backend server
// beside the node.
type ServerTiming struct {
	TransitDelay time.Duration // transit time between the nodes in excess of the usual one
	SlotWait     time.Duration // time waiting for a slot
	SlotTime     time.Duration // time occupying the slot
}

// New returns a Meter whose counters are 0.
func New() *Meter {
	s := metrics.NewSet()
	m := &Meter{
		set:          s,
		transitDelay: s.NewHistogram("geraniumdock_way_seconds"),
		slotWait:     s.NewHistogram("geraniumdock_wait_seconds"),
		slotTime:     s.NewHistogram("geraniumdock_slot_seconds"),
		storeLatency: s.NewHistogram("geraniumdock_store_seconds"),
	}
	m.Gauge("geraniumdock_memory_bytes", memoryBytes)
	return m
}

// memoryBytes returns the memory that the Go runtime has mapped.
func memoryBytes() float64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}}
	runtimemetrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

// Gauge registers a gauge whose value f returns.
func (m *Meter) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// CountRequest counts a request that has ended.
func (m *Meter) CountRequest(r Request) {
	m.set.GetOrCreateHistogram(`geraniumdock_request_seconds{route="` + r.Route + `"}`).Update(r.Duration.Seconds())
	m.set.GetOrCreateCounter(`geraniumdock_requests_total{status="` + strconv.Itoa(r.Status) + `"}`).Inc()
	m.set.GetOrCreateCounter("geraniumdock_nodes_asked_total").Add(r.NodesAsked)
	m.set.GetOrCreateCounter("geraniumdock_servers_reached_total").Add(r.ServersReached)
	m.set.GetOrCreateCounter("geraniumdock_repeats_total").Add(max(0, r.ServersReached-1))
}

// CountFailure counts a request to which the node itself responded with an error.
func (m *Meter) CountFailure(k gd.Kind) {
	m.set.GetOrCreateCounter(`geraniumdock_failures_total{kind="` + k.String() + `"}`).Inc()
}

// CountQuotaDecision counts a request of a workspace with a quota.
func (m *Meter) CountQuotaDecision(decision string) {
	m.set.GetOrCreateCounter(`geraniumdock_quota_requests_total{decision="` + decision + `"}`).Inc()
}

// CountQuotaMessage counts a message to a node that issues tokens of a quota.
func (m *Meter) CountQuotaMessage(outcome string) {
	m.set.GetOrCreateCounter(`geraniumdock_quota_messages_total{outcome="` + outcome + `"}`).Inc()
}

// CountTokensIssued counts tokens that the node has issued.
func (m *Meter) CountTokensIssued(n int) {
	m.set.GetOrCreateCounter("geraniumdock_quota_tokens_issued_total").Add(n)
}

// CountHedge counts a second attempt that was sent, and whether its response was delivered.
func (m *Meter) CountHedge(won bool) {
	m.set.GetOrCreateCounter("geraniumdock_hedges_total").Inc()
	if won {
		m.set.GetOrCreateCounter("geraniumdock_hedges_won_total").Inc()
	}
}

// CountRefusedHedge counts a second attempt that was due and was not sent for the reason.
func (m *Meter) CountRefusedHedge(reason string) {
	m.set.GetOrCreateCounter(`geraniumdock_hedges_refused_total{reason="` + reason + `"}`).Inc()
}

// CountServerRequest counts a request that reached the backend server beside the node.
func (m *Meter) CountServerRequest(status int, timing ServerTiming) {
	m.transitDelay.Update(timing.TransitDelay.Seconds())
	m.slotWait.Update(timing.SlotWait.Seconds())
	m.slotTime.Update(timing.SlotTime.Seconds())
	m.set.GetOrCreateCounter(`geraniumdock_server_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.set.WritePrometheus(w)
}
