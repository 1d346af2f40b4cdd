// Package node is the daemon beside a backend server: it takes callers' calls
// (ingress), runs calls on its own server (station), follows a relay or is one
// (control), and answers its operator.
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
	"github.com/geraniumdock/geraniumdock/link"
	"github.com/geraniumdock/geraniumdock/quarantine"
	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

// Config is what a node is started with.
type Config struct {
	DataCentre    string
	Region        string
	Identity      identity.Identity // the node's name is in its certificate
	Store         gd.Store
	Clock         gd.Clock
	Log           hclog.Logger
	CallsAddress  string   // where callers connect
	PeersAddress  string   // where other nodes connect, over TCP and UDP
	Advertise     string   // PeersAddress as other nodes reach it, if it differs
	OperatorAddr  string   // operators' API and metrics
	AnnounceAddr  string   // where the backend server announces itself
	OperatorToken string   // asked for at OperatorAddr unless empty
	AnnounceToken string   // asked for at AnnounceAddr unless empty
	Seeds         []string // peers' addresses, for a start while the platform is down
	Gather        time.Duration
	ClaimWrites   float64       // writes of claims a second under load
	DrainWait     time.Duration // how long Close waits for calls in flight
	Seed          uint64        // of the random source
}

// Node is a running daemon. Use New.
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
	peers        *http.Transport
	chooser      chooser
	budgets      budgets
	counters     *counters
	editor       *table.Editor
	servers      struct{ calls, peers, operator, announce *http.Server }

	tasks     sync.WaitGroup // calls to the platform and services of the relay's role
	cancel    context.CancelFunc
	stopped   chan struct{} // the control goroutine has ended
	stopOnce  sync.Once
	done      chan struct{} // all services have ended
	closeOnce sync.Once
}

// snapshot is what traffic reads of the control state. It is swapped whole.
type snapshot struct {
	policy   *table.Policy // nil while the node may not take calls
	serving  map[string][]server.Record
	register quarantine.Register
}

// New binds the node's addresses. Start makes it serve.
func New(cfg Config) (*Node, error) {
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
	n.chooser.init(server.Place{DataCentre: cfg.DataCentre, Region: cfg.Region}, cfg.Seed)
	n.peers = newPeerTransport(cfg.Identity)
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.scheduler = newScheduler(n)
	n.control = newControl(n)
	n.publish(n.control)
	n.servers.calls = n.newCallsServer()
	n.servers.peers = n.newPeersServer()
	n.servers.operator = n.newOperatorServer()
	n.servers.announce = n.newAnnounceServer()
	return n, nil
}

func (n *Node) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(n.cfg.Seed, stream)) }

// listen binds all addresses; the peers' address is bound over TCP and UDP.
func (n *Node) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		key      string
		address  string
	}{
		{&n.callsListener, "listen.calls", n.cfg.CallsAddress},
		{&n.operatorListener, "listen.operator", n.cfg.OperatorAddr},
		{&n.announceListener, "listen.announce", n.cfg.AnnounceAddr},
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

// Keep-alive of callers' connections: one whose path is lost goes within
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
		_ = n.endpoint.Close() // the node ends
	}
}

// Name returns the node's name.
func (n *Node) Name() string { return n.name }

// CallsAddress returns where callers connect.
func (n *Node) CallsAddress() string { return n.callsListener.Addr().String() }

// OperatorAddress returns where the operator's API listens.
func (n *Node) OperatorAddress() string { return n.operatorListener.Addr().String() }

// AnnounceAddress returns where the backend server announces itself.
func (n *Node) AnnounceAddress() string { return n.announceListener.Addr().String() }

// PeersAddress returns where other nodes connect.
func (n *Node) PeersAddress() string { return n.peersListener.Addr().String() }

func (n *Node) advertisedAddress() string {
	if n.cfg.Advertise != "" {
		return n.cfg.Advertise
	}
	return n.PeersAddress()
}

// Start makes the node serve. It returns at once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	root := suture.New("node "+n.name, suture.Spec{EventHook: n.logSupervision})
	root.Add(supervisedService{"control", n.runControl})
	root.Add(supervisedService{"links", n.runEndpoint})
	root.Add(supervisedService{"uplink", n.runUplink})
	root.Add(supervisedService{"start", n.learnVersion})
	root.Add(supervisedService{"station", n.scheduler.run})
	root.Add(n.httpService("calls", n.callsListener, n.servers.calls))
	root.Add(n.httpService("peers", n.peersListener, n.servers.peers))
	root.Add(n.httpService("operator", n.operatorListener, n.servers.operator))
	root.Add(n.httpService("announce", n.announceListener, n.servers.announce))
	go func() {
		defer close(n.done)
		if err := root.Serve(ctx); err != nil && ctx.Err() == nil {
			n.log.Error("supervisor ended", "error", err)
		}
	}()
}

func (n *Node) logSupervision(e suture.Event) {
	if e.Type() != suture.EventTypeServicePanic && e.Type() != suture.EventTypeServiceTerminate {
		return
	}
	n.log.Warn("service ended and is restarted", "event", e.String())
}

// supervisedService gives a function a name for the supervisor.
type supervisedService struct {
	name string
	run  func(context.Context) error
}

func (s supervisedService) Serve(ctx context.Context) error { return s.run(ctx) }

func (s supervisedService) String() string { return s.name }

// httpService serves until the node closes.
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

// Close takes the server out of service, waits until the calls in flight have
// ended or Config.DrainWait has passed, stops everything and waits for it.
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
	// A link that is closed drops what the peer has not received yet.
	time.Sleep(closeDelay)
	n.cancel()
	<-n.done
	n.tasks.Wait()
	n.closeListeners()
	n.peers.CloseIdleConnections()
	n.scheduler.close()
	n.log.Info("closed")
}

// closeDelay lets the last messages arrive before the links are closed.
const closeDelay = 200 * time.Millisecond

// finishCalls stops taking calls and waits until those in flight are answered,
// the callers' first and then those that other nodes sent.
func (n *Node) finishCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainWait)
	defer cancel()
	for _, s := range []*http.Server{n.servers.calls, n.servers.peers} {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("calls were still in flight when the drain time ended", "error", err)
		}
	}
}

// Kill stops the node without a word to anyone, as a crash would.
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
