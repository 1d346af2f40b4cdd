// Package node implements the daemon that runs beside a backend server. It
// accepts calls from callers (ingress.go), queues and runs calls on its own
// server (scheduler.go), keeps the control state up to date through a relay or
// as a relay itself (control.go), and serves the operator API (operator.go).
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/identity"
	"github.com/geraniumdock/geraniumdock/internal/fleet/seed"
	"github.com/geraniumdock/geraniumdock/link"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Config configures a Node.
type Config struct {
	DataCentre           string
	Region               string
	Identity             identity.Identity // its certificate holds the node's name
	Store                gd.Store
	Clock                gd.Clock
	Log                  hclog.Logger
	CallsAddress         string        // listen address for callers
	PeersAddress         string        // listen address for other nodes, over TCP and UDP
	AdvertiseAddress     string        // address that other nodes dial, if it differs from PeersAddress
	OperatorAddress      string        // listen address of the operator API and metrics
	AnnounceAddress      string        // listen address for announcements of the backend server
	OperatorToken        string        // required at OperatorAddress unless empty
	AnnounceToken        string        // required at AnnounceAddress unless empty
	Seeds                []string      // addresses of nodes to try when the platform is down at startup
	GatherDelay          time.Duration // how long a relay collects changes before it pushes them
	ClaimWritesPerSecond float64       // maximum claim writes per second
	DrainTimeout         time.Duration // maximum time that Close waits for calls in flight
	RandomSeed           uint64        // seed of the random sources, together with the node's name
}

// Node is a running daemon. Create it with New.
type Node struct {
	cfg         Config
	name        string
	log         hclog.Logger
	incarnation uint64

	callsListener    net.Listener
	peersListener    net.Listener
	operatorListener net.Listener
	announceListener net.Listener
	endpoint         *link.Endpoint

	controlQueue chan func(*control)
	control      *control
	snapshot     atomic.Pointer[snapshot]
	scheduler    *scheduler
	peers        *http.Transport // for calls to other nodes
	chooser      chooser
	budgets      budgets
	counters     *counters
	editor       *table.Editor
	httpServers  struct{ calls, peers, operator, announce *http.Server }

	tasks     sync.WaitGroup // platform calls and goroutines of the relay role
	cancel    context.CancelFunc
	stopped   chan struct{} // closed when the control goroutine ends
	stopOnce  sync.Once
	done      chan struct{} // closed when all services have ended
	closeOnce sync.Once
}

// snapshot is the part of the control state that calls read. It is immutable
// and replaced as a whole.
type snapshot struct {
	policy   *table.Policy // nil while the node must not accept calls
	serving  map[string][]server.Record
	register quarantine.Register
}

// New creates a node and binds its addresses. Call Start to serve.
func New(cfg Config) (*Node, error) {
	cfg.RandomSeed = seed.ForNode(cfg.Identity.Node(), cfg.RandomSeed)
	n := &Node{
		cfg:          cfg,
		name:         cfg.Identity.Node(),
		incarnation:  uint64(cfg.Clock.Now()),
		controlQueue: make(chan func(*control), controlQueueSize),
		editor:       table.NewEditor(cfg.Store),
		stopped:      make(chan struct{}),
		done:         make(chan struct{}),
	}
	n.counters = newCounters(n)
	n.log = cfg.Log.With("node", n.name)
	n.chooser.init(server.Locality{DataCentre: cfg.DataCentre, Region: cfg.Region}, cfg.RandomSeed)
	n.peers = newPeerTransport(cfg.Identity)
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.scheduler = newScheduler(n)
	n.control = newControl(n)
	n.publish(n.control)
	n.httpServers.calls = n.newCallsServer()
	n.httpServers.peers = n.newPeersServer()
	n.httpServers.operator = n.newOperatorServer()
	n.httpServers.announce = n.newAnnounceServer()
	return n, nil
}

// random returns the random source with the given stream number.
func (n *Node) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.RandomSeed, stream))
}

// listen binds all addresses. The address for peers is bound over TCP and UDP.
func (n *Node) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		key      string
		address  string
	}{
		{&n.callsListener, "listen.calls", n.cfg.CallsAddress},
		{&n.operatorListener, "listen.operator", n.cfg.OperatorAddress},
		{&n.announceListener, "listen.announce", n.cfg.AnnounceAddress},
		{&n.peersListener, "listen.peers", n.cfg.PeersAddress},
	} {
		var err error
		if *l.listener, err = listenTCP(l.address); err != nil {
			return gd.Invalid.Wrapf(err, "%s", l.key)
		}
	}
	socket, err := net.ListenPacket("udp", n.peersListener.Addr().String())
	if err != nil {
		return gd.Invalid.Wrapf(err, "listen.peers over UDP")
	}
	n.endpoint, err = link.Listen(socket, n.cfg.Identity)
	return err
}

// TCP keep-alive settings of callers' connections. A connection whose network
// path is lost is closed within
// callerKeepAliveIdle + callerKeepAliveProbes*callerKeepAliveInterval.
const (
	callerKeepAliveIdle     = 10 * time.Second
	callerKeepAliveInterval = 5 * time.Second
	callerKeepAliveProbes   = 3
)

func listenTCP(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     callerKeepAliveIdle,
		Interval: callerKeepAliveInterval,
		Count:    callerKeepAliveProbes,
	}}
	return lc.Listen(context.Background(), "tcp", address)
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callsListener, n.peersListener, n.operatorListener, n.announceListener} {
		if l != nil {
			l.Close()
		}
	}
	if n.endpoint != nil {
		_ = n.endpoint.Close() // the node is closing
	}
}

// Name returns the node's name.
func (n *Node) Name() string { return n.name }

// CallsAddress returns the listen address for callers.
func (n *Node) CallsAddress() string { return n.callsListener.Addr().String() }

// OperatorAddress returns the listen address of the operator API.
func (n *Node) OperatorAddress() string { return n.operatorListener.Addr().String() }

// AnnounceAddress returns the listen address for announcements of the backend
// server.
func (n *Node) AnnounceAddress() string { return n.announceListener.Addr().String() }

// PeersAddress returns the listen address for other nodes.
func (n *Node) PeersAddress() string { return n.peersListener.Addr().String() }

// advertisedAddress returns the address that other nodes dial.
func (n *Node) advertisedAddress() string {
	if n.cfg.AdvertiseAddress != "" {
		return n.cfg.AdvertiseAddress
	}
	return n.PeersAddress()
}

// Start starts the node's services and returns immediately.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	root := suture.New("node "+n.name, suture.Spec{EventHook: n.logSupervision})
	root.Add(supervisedService{"control", n.runControl})
	root.Add(supervisedService{"links", n.runEndpoint})
	root.Add(supervisedService{"uplink", n.runUplink})
	root.Add(supervisedService{"start", n.learnVersion})
	root.Add(supervisedService{"station", n.scheduler.run})
	root.Add(n.httpService("calls", n.callsListener, n.httpServers.calls))
	root.Add(n.httpService("peers", n.peersListener, n.httpServers.peers))
	root.Add(n.httpService("operator", n.operatorListener, n.httpServers.operator))
	root.Add(n.httpService("announce", n.announceListener, n.httpServers.announce))
	go func() {
		defer close(n.done)
		if err := root.Serve(ctx); err != nil && ctx.Err() == nil {
			n.log.Error("supervisor stopped", "error", err)
		}
	}()
}

// logSupervision logs services that ended unexpectedly.
func (n *Node) logSupervision(e suture.Event) {
	if e.Type() != suture.EventTypeServicePanic && e.Type() != suture.EventTypeServiceTerminate {
		return
	}
	n.log.Warn("service failed; restarting it", "event", e.String())
}

// supervisedService is a named function that the supervisor runs.
type supervisedService struct {
	name string
	run  func(context.Context) error
}

func (s supervisedService) Serve(ctx context.Context) error { return s.run(ctx) }

func (s supervisedService) String() string { return s.name }

// httpService returns a service that serves HTTP until the node closes.
func (n *Node) httpService(name string, l net.Listener, s *http.Server) supervisedService {
	return supervisedService{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { s.Close() })
		defer stop()
		err := serveHTTP(s, l)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return gd.Internal.Wrapf(err, "listener %s", name)
	}}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// Close takes the backend server out of service, waits until the calls in
// flight end or Config.DrainTimeout passes, then stops all services and waits for
// them to end.
func (n *Node) Close() error {
	n.closeOnce.Do(n.close)
	return nil
}

func (n *Node) close() {
	n.log.Info("closing")
	n.scheduler.drain()
	n.post(func(c *control) { c.announceDraining() })
	n.finishCalls()
	released := make(chan struct{})
	n.post(func(c *control) {
		c.announceGone()
		close(released)
	})
	<-released
	// Closing a link drops messages that the peer has not received yet.
	time.Sleep(closeDelay)
	n.cancel()
	<-n.done
	n.tasks.Wait()
	n.closeListeners()
	n.peers.CloseIdleConnections()
	n.scheduler.close()
	n.log.Info("closed")
}

// closeDelay gives the last messages time to arrive before the links close.
const closeDelay = 200 * time.Millisecond

// finishCalls stops accepting calls and waits until those in flight have
// ended: first the callers' calls, then those sent by other nodes.
func (n *Node) finishCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout)
	defer cancel()
	for _, s := range []*http.Server{n.httpServers.calls, n.httpServers.peers} {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("drain timeout passed with calls still in flight", "error", err)
		}
	}
}

// Kill stops the node without notifying other nodes, to simulate a crash.
func (n *Node) Kill() {
	n.closeOnce.Do(func() {
		n.cancel()
		n.closeListeners()
		<-n.done
		n.tasks.Wait()
		n.peers.CloseIdleConnections()
		n.scheduler.close()
	})
}
