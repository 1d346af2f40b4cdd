// Package sidecar assembles a node on the users' platform: the ingress for the
// clients on its VM, the station that queues requests for the backend server, the
// roster that tracks the policy and the other nodes, and the HTTP servers that the
// platform calls.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/body"
	"github.com/geraniumdock/geraniumdock/internal/call/budget"
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
	"github.com/geraniumdock/geraniumdock/internal/call/request"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/roster"
	"github.com/geraniumdock/geraniumdock/internal/fleet/seed"
	"github.com/geraniumdock/geraniumdock/internal/http1/listener"
	"github.com/geraniumdock/geraniumdock/internal/proxy/ingress"
	"github.com/geraniumdock/geraniumdock/internal/proxy/peer"
	"github.com/geraniumdock/geraniumdock/internal/proxy/quota"
	"github.com/geraniumdock/geraniumdock/internal/proxy/station"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/meter"
	"github.com/geraniumdock/geraniumdock/limit"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/settings"
)

const (
	serversKind = "geraniumdock-servers" // kind of the store entries that nodes write
	// spoolBytes is how much of a request's body is kept in memory so that the
	// request can be sent to another node if the first one refuses it.
	spoolBytes = request.BufferedBytes
	// retryShare is the fraction of the platform's repeat ratio that a node uses
	// for its retries, and rerunShare the fraction that it uses for requests that
	// may have run. Calls that a server makes for a retried request count as
	// repeats of the called service, but a node cannot identify them. If the
	// called service fails requests, its own reruns add to the calls repeated by
	// the reruns of its callers, so the sum of the shares must not exceed 1.
	retryShare = 0.6
	rerunShare = 0.35
	// firstShare is the fraction of these retries for requests that callers have
	// sent once. A caller that repeats a refused request costs no retry.
	firstShare = 0.5
	// onceShare is the same for requests of routes whose callers do not repeat refused
	// requests, as servers do with their calls. A refused call wastes the run that made
	// it. The rest stays for requests that callers have repeated.
	onceShare = 0.8
)

// Config configures a Sidecar.
type Config struct {
	Settings  settings.Sidecar
	Catalogue gd.Catalogue
	Clock     gd.Clock
	Log       hclog.Logger
	Meter     *meter.Meter
	Seed      uint64
}

// Sidecar is one node. Use New.
type Sidecar struct {
	cfg          Config
	roster       *roster.Roster
	station      *station.Station
	ingress      *ingress.Ingress
	quota        *quota.Limiter
	peerClient   *peer.Client
	peerServer   *peer.Server
	clientServer *listener.Server
	web          []*http.Server // for announcements, readiness checks and metrics

	listeners map[string]net.Listener
	closing   atomic.Bool
	lostAt    atomic.Int64 // monotonic time of the last lost response that was counted
	cancel    context.CancelFunc
	ctx       context.Context
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a node whose listeners are open. Call Start to serve them.
func New(cfg Config) (*Sidecar, error) {
	s := &Sidecar{cfg: cfg, peerClient: peer.NewClient(cfg.Settings.Node, cfg.Settings.LinkMbps, cfg.Clock), listeners: map[string]net.Listener{}, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		s.closeListeners()
		return nil, err
	}
	st := cfg.Settings
	s.roster = roster.New(roster.Config{
		Self: server.Record{
			Node: st.Node, Address: s.advertised(), DataCentre: st.DataCentre, Region: st.Region,
			Incarnation: uint64(cfg.Clock.Now()),
		},
		Catalogue:  meter.NewCatalogue(cfg.Catalogue, cfg.Meter, cfg.Clock),
		PolicyKind: platform.ConfigKind,
		PolicyName: platform.ConfigName,
		ServerKind: serversKind,
		Decode:     new(platform.PolicyDecoder).Decode,
		Exchanger:  s.peerClient,
		Clock:      cfg.Clock,
		Log:        cfg.Log,
		Seed:       cfg.Seed,
		OnHeard: func(node string) {
			s.ingress.MarkReachable(node)
			s.quota.MarkHeard()
		},
		OnAdoption:  func(r server.Record) { s.station.Adopt(r) },
		OnLeave:     func(r server.Record) { s.station.HandleLeave(r.Instance, r.Started) },
		OnDeparture: s.handleDeparture,
		Rollouts:    rolloutConfig(st),
	})
	bodies := body.NewBudget(st.BodyBytes(), cfg.Clock.Monotonic, s.bodyLogger())
	s.station = station.New(station.Config{
		Bodies: bodies,
		Node:   st.Node, Address: st.Server.Address, Service: st.Server.Service, Drain: st.Bounds.DrainPeriod(), LinkMbps: st.LinkMbps,
		AnnounceInterval: st.Server.AnnounceInterval(),
		Clock:            cfg.Clock, Log: cfg.Log,
		Announce: func(r server.Record) { s.roster.Announce(s.ctx, r) },
		Report:   func(list []quarantine.Report) { go s.roster.Report(s.ctx, list) },
		Verdict:  func(fp quarantine.Fingerprint) quarantine.Verdict { return s.verdict(fp) },
		Innocent: s.recordInnocent,
		Observe: func(o station.Outcome) {
			s.countResponse(o)
			cfg.Meter.CountServerRequest(o.Status, meter.ServerTiming{TransitDelay: o.TransitDelay, SlotWait: o.SlotWait, SlotTime: o.SlotTime})
		},
	})
	s.quota = quota.New(quota.Config{
		Node: st.Node, Snapshot: s.roster.Snapshot, Peers: s.peerClient, Terms: limit.NewTerms(st.Bounds.QuotaLimits()),
		Clock: cfg.Clock, Log: cfg.Log, Counter: cfg.Meter,
	})
	s.ingress = ingress.New(ingress.Config{
		Node: st.Node, DataCentre: st.DataCentre, Service: st.Server.Service,
		Snapshot: s.roster.Snapshot, Peers: s.peerClient, Station: s.station,
		Verdict:   s.verdict,
		Quota:     s.quota,
		Limits:    retryBudget(st.Bounds),
		Hedging:   hedge.Limits{MaxShare: st.Hedging.MaxShare, Percentile: st.Hedging.DelayPercentile()},
		Versions:  versionFilter(st, cfg.Seed),
		Clock:     cfg.Clock,
		Log:       cfg.Log,
		Random:    rand.New(rand.NewPCG(seed.ForNode(st.Node, cfg.Seed), 1)),
		OnLeaving: func(r server.Record) { s.roster.MarkDraining(s.ctx, r) },
		Observe: func(o ingress.Outcome) {
			cfg.Meter.CountRequest(meter.Request{Status: o.Status, Route: o.Route, Duration: o.Took, NodesAsked: o.NodesAsked, ServersReached: o.Reached})
			if o.Failed {
				cfg.Meter.CountFailure(o.Kind)
			}
			countHedge(cfg.Meter, o.Hedge)
		},
	})
	s.clientServer = listener.New(s.ingress, connectionLogger{cfg.Log}, s.limits, spoolBytes)
	s.clientServer.SetBounds(listener.Bounds{Bodies: bodies, BodyProgress: st.BodyProgress(), Connections: st.ClientConnections(maxFiles())})
	s.peerServer = peer.NewServer(s.station, s.roster, s.quota, st.LinkMbps, cfg.Clock, cfg.Log)
	s.registerGauges()
	s.registerBounds(bodies)
	return s, nil
}

// countHedge counts the second attempt of a request by its result.
func countHedge(m *meter.Meter, result string) {
	switch result {
	case ingress.HedgeWon, ingress.HedgeLost:
		m.CountHedge(result == ingress.HedgeWon)
	case ingress.HedgeOverLimit, ingress.HedgeOverloaded:
		m.CountRefusedHedge(result)
	}
}

// handleDeparture passes to the station what another process has learned about its
// server, which drains or has left.
func (s *Sidecar) handleDeparture(r server.Record) {
	if r.HasLeft {
		s.station.HandleLeave(r.Instance, r.Started)
		return
	}
	s.station.HandleDrain(r)
}

// retryBudget returns the part of the configured repeat budget that a node uses for
// its retries.
func retryBudget(b settings.SidecarBounds) budget.Limits {
	window, ratio, slack := b.RetryLimits()
	return budget.Limits{Window: window, Ratio: retryShare * ratio, Slack: retryShare * slack, RerunShare: rerunShare / retryShare, FirstShare: firstShare, OnceShare: onceShare}
}

// crashThreshold is the number of crashes after which a request is refused even
// if others were in flight at each of them. A suspect request is not run alone
// here to find the cause, because that would block a whole server.
const crashThreshold = 3

// verdict returns whether a request with the fingerprints may reach a server.
func (s *Sidecar) verdict(fps ...quarantine.Fingerprint) quarantine.Verdict {
	register, now := s.roster.Snapshot().Register, s.cfg.Clock.Now()
	if register.Crashes(now, fps...) >= crashThreshold {
		return quarantine.Refused
	}
	return register.Verdict(now, fps...)
}

// recordInnocent records that a request with the fingerprints ran well.
func (s *Sidecar) recordInnocent(fps []quarantine.Fingerprint) { s.roster.RecordInnocent(s.ctx, fps) }

// defaultLimits apply until the first policy is received. Requests get a 503 response until
// then, so heads may be longer than a policy is likely to allow.
var defaultLimits = route.Limits{HeaderBytes: 256 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func (s *Sidecar) limits() route.Limits {
	if p := s.roster.Snapshot().Policy; p != nil {
		return p.Limits
	}
	return defaultLimits
}

// connectionLogger logs client connections that are closed because of invalid
// input.
type connectionLogger struct{ log hclog.Logger }

// Refused logs that the connection from remote was closed because of err.
func (l connectionLogger) Refused(remote string, err error) {
	l.log.Info(event.ConnectionRefused, "remote", remote, "kind", gd.KindOf(err).String(), "error", gd.Message(err))
}

func (s *Sidecar) registerGauges() {
	m := s.cfg.Meter
	m.Gauge("geraniumdock_policy_version", func() float64 {
		if p := s.roster.Snapshot().Policy; p != nil {
			return float64(p.Version)
		}
		return 0
	})
	m.Gauge("geraniumdock_policy_age_seconds", func() float64 {
		snapshot := s.roster.Snapshot()
		if snapshot.Policy == nil {
			return 0
		}
		return (s.cfg.Clock.Monotonic() - snapshot.PolicySince).Seconds()
	})
	m.Gauge("geraniumdock_policy_spread_seconds", func() float64 { return s.roster.Snapshot().PolicyAge.Seconds() })
	m.Gauge("geraniumdock_policy_watcher", func() float64 {
		if s.roster.IsWatcher() {
			return 1
		}
		return 0
	})
	m.Gauge("geraniumdock_nodes", func() float64 { return float64(s.roster.Snapshot().Nodes(s.cfg.Clock.Monotonic())) })
	m.Gauge("geraniumdock_nodes_responding", func() float64 { return float64(s.roster.Snapshot().Responding()) })
	m.Gauge("geraniumdock_reported_crashes", func() float64 { return float64(s.Crashes()) })
	m.Gauge("geraniumdock_routes_without_repeats", func() float64 { return float64(s.ingress.RoutesWithoutRepeats()) })
	m.Gauge("geraniumdock_client_connections", func() float64 { return float64(s.clientServer.Connections()) })
	m.Gauge("geraniumdock_server_connections_opened", func() float64 { return float64(s.station.Opened()) })
	m.Gauge("geraniumdock_slots_used", func() float64 { return float64(s.station.Load().Running) })
	m.Gauge("geraniumdock_server_limit", s.station.Limit)
	m.Gauge("geraniumdock_server_requests", func() float64 { return float64(s.station.Sent()) })
	m.Gauge("geraniumdock_workspaces_over_share", func() float64 { return float64(s.station.WorkspacesOver()) })
	s.registerRolloutGauges()
	m.Gauge("geraniumdock_waiting", func() float64 { return float64(s.station.Load().Waiting) })
}

func (s *Sidecar) listen() error {
	l := s.cfg.Settings.Listen
	for _, a := range []struct{ name, address string }{
		{"peers", l.Peers}, {"announcements", l.Announcements}, {"ready", l.Ready}, {"clients", l.Clients}, {"metrics", l.Metrics},
	} {
		opened, err := net.Listen("tcp", a.address)
		if err != nil {
			return gd.Unavailable.Wrapf(err, "listening on the address of setting listen.%s", a.name)
		}
		s.listeners[a.name] = opened
	}
	return nil
}

func (s *Sidecar) closeListeners() {
	for _, l := range s.listeners {
		l.Close() // the error does not matter: the process exits
	}
}

// Address returns the address of the named listener: clients, peers, ready,
// announcements or metrics.
func (s *Sidecar) Address(name string) string { return s.listeners[name].Addr().String() }

// advertised returns the address at which other nodes connect to this one.
func (s *Sidecar) advertised() string {
	if a := s.cfg.Settings.Listen.Advertise; a != "" {
		return a
	}
	return s.Address("peers")
}

// Status returns the version of the policy in force, 0 if there is none, and the
// number of servers that are available for requests.
func (s *Sidecar) Status() (version uint64, servers int) {
	snapshot := s.roster.Snapshot()
	if snapshot.Policy != nil {
		version = snapshot.Policy.Version
	}
	for _, list := range snapshot.Serving {
		servers += len(list)
	}
	return version, servers
}

// Crashes returns the number of crashes of servers that are reported with the requests
// which may have caused them.
func (s *Sidecar) Crashes() int { return s.roster.Snapshot().Register.CrashCount() }

// Start starts serving and returns at once.
func (s *Sidecar) Start() {
	root := suture.New("sidecar", suture.Spec{EventHook: func(e suture.Event) {
		if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeServiceTerminate {
			s.cfg.Log.Error(event.ServiceEnded, "event", e.String())
		}
	}})
	root.Add(service{"roster", s.roster.Run})
	root.Add(service{"station", s.station.Run})
	root.Add(service{"quota", s.quota.Run})
	root.Add(s.listenerService("peers", s.peerServer.Serve))
	root.Add(s.listenerService("clients", s.clientServer.Serve))
	for name, handler := range map[string]http.Handler{
		"announcements": s.announcements(), "ready": s.readiness(), "metrics": s.cfg.Meter,
	} {
		web := &http.Server{Handler: handler, ReadHeaderTimeout: webHeaderTimeout, IdleTimeout: webIdleTimeout,
			ErrorLog: s.cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
		s.web = append(s.web, web)
		root.Add(s.listenerService(name, func(l net.Listener) error { return web.Serve(l) }))
	}
	go func() {
		defer close(s.done)
		if err := root.Serve(s.ctx); err != nil && s.ctx.Err() == nil {
			s.cfg.Log.Error(event.ServiceEnded, "error", err)
		}
	}()
	st := s.cfg.Settings
	s.cfg.Log.Info(event.Started, "node", st.Node, "data-centre", st.DataCentre, "service", st.Server.Service,
		"server", st.Server.Address, "clients", s.Address("clients"), "peers", s.Address("peers"), "store", st.Store.Address)
}

// service is a named function that the supervisor runs.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name.
func (s service) String() string { return s.name }

// listenerService returns the service that serves the named listener until the
// node is closed.
func (s *Sidecar) listenerService(name string, serve func(net.Listener) error) service {
	return service{name, func(ctx context.Context) error {
		err := serve(s.listeners[name])
		if ctx.Err() != nil || s.closing.Load() || err == nil {
			return suture.ErrDoNotRestart
		}
		return gd.Internal.Wrapf(err, "serving listener %s", name)
	}}
}
