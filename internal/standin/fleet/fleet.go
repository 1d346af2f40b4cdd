// Package fleet runs sidecars, backend servers and an in-memory metadata store
// in one process, on loopback addresses, for tests and benchmarks.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/fleet/rollout"
	"github.com/geraniumdock/geraniumdock/internal/proxy/sidecar"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/meter"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/settings"
)

const (
	loopback = "127.0.0.1:0"
	// serverLoopback is the address on which backend servers listen, for the same reason as
	// that of nodes.
	serverLoopback = "127.0.2.1:0"
	// nodeLoopback is the address on which nodes listen. Outgoing connections use
	// ports of 127.0.0.1, so none can take the port of a node that restarts.
	nodeLoopback = "127.0.1.1:0"
)

// Host is the Host header that requests and routes use.
const Host = "shop.example"

// Spec describes a fleet. Slots defaults to 1.
type Spec struct {
	Nodes       []NodeSpec
	Routes      []route.Route
	Workspaces  []route.Workspace
	Log         hclog.Logger // discards the log if nil
	Slots       int
	WorkTime    time.Duration
	Drain       time.Duration // longest time for which a draining server receives requests; 0 for the default of the settings
	Grace       time.Duration // time from SIGTERM to SIGKILL; 0 for the default of the settings
	LinkMbps    float64       // bandwidth of the VMs' network links
	RepeatRatio float64       // retries allowed per request
	RepeatSlack float64       // retries allowed in a window in addition to the ratio
	Hedging     settings.SidecarHedging
	NoPolicy    bool    // starts without a policy in the store
	CanaryShare float64 // share of a bad version in a roll-out; 0 for nodes that follow none
	// AnnounceInterval is the time between two announcements of a server; 0 for only those that a
	// test makes.
	AnnounceInterval time.Duration
}

// NodeSpec describes one VM of a fleet.
type NodeSpec struct {
	DataCentre string
	Service    string
	Version    string // of the server's software
}

// VM is a running sidecar with the backend server beside it.
type VM struct {
	Sidecar  *sidecar.Sidecar
	Server   *backend.Server
	Settings settings.Sidecar
}

// Fleet is a running fleet. Create one with Start.
type Fleet struct {
	Store        *catalogue.Catalogue
	VMs          []*VM
	spec         Spec
	httpServer   *http.Server
	storeAddress string
	version      uint64
	client       *http.Client
}

// Start starts a fleet and waits until every node has the policy and knows all
// servers. With NoPolicy it does not wait.
func Start(spec Spec) (*Fleet, error) {
	if spec.Log == nil {
		spec.Log = hclog.NewNullLogger()
	}
	spec.Slots = max(spec.Slots, 1)
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "store")
	}
	f := &Fleet{
		Store: catalogue.New(0, 0, 1), spec: spec, storeAddress: l.Addr().String(),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	f.httpServer = &http.Server{Handler: platform.NewStoreHandler(f.Store)}
	go func() { _ = f.httpServer.Serve(l) }() // Serve returns when the server is closed
	if !spec.NoPolicy {
		if err := f.SetRoutes(spec.Routes); err != nil {
			return nil, err
		}
	}
	for i, n := range spec.Nodes {
		vm, err := f.startVM(i, n)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.VMs = append(f.VMs, vm)
	}
	if spec.NoPolicy {
		return f, nil
	}
	return f, f.AwaitServers(len(spec.Nodes))
}

func (f *Fleet) startVM(i int, n NodeSpec) (*VM, error) {
	server := &backend.Server{
		Service: n.Service, Version: n.Version, Instance: fmt.Sprintf("instance-%d", i), Slots: f.spec.Slots, Queue: 4 * f.spec.Slots, WorkTime: f.spec.WorkTime,
		AnnounceInterval: f.spec.AnnounceInterval,
	}
	l, err := net.Listen("tcp", serverLoopback)
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "listen for backend server")
	}
	vm := &VM{Server: server, Settings: f.settings(i, n, l.Addr().String())}
	if err := f.startSidecar(vm); err != nil {
		return nil, err
	}
	server.NodeAddress = vm.Sidecar.Address("announcements")
	server.StartOn(l)
	return vm, server.Announce()
}

func (f *Fleet) settings(i int, n NodeSpec, server string) settings.Sidecar {
	drain, grace := f.spec.Drain.Seconds(), f.spec.Grace.Seconds()
	s := settings.Sidecar{
		Node: fmt.Sprintf("node-%d", i), Address: "127.0.0.1", DataCentre: n.DataCentre, Region: "region",
		Server: settings.SidecarServer{Service: n.Service, Address: server},
		Listen: settings.SidecarListen{Clients: nodeLoopback, Peers: nodeLoopback, Ready: nodeLoopback, Announcements: nodeLoopback, Metrics: nodeLoopback},
		Store:  settings.SidecarStore{Address: f.storeAddress},
		Bounds: settings.SidecarBounds{RepeatRatio: &f.spec.RepeatRatio, RepeatSlack: &f.spec.RepeatSlack},
		Log:    settings.Log{Level: "info"}, LinkMbps: f.spec.LinkMbps, Hedging: f.spec.Hedging,
	}
	interval := f.spec.AnnounceInterval.Seconds()
	if interval == 0 {
		interval = time.Hour.Seconds() // a server need not announce itself again during the test
	}
	s.Server.AnnounceIntervalSeconds = &interval
	if drain > 0 {
		s.Bounds.DrainSeconds = &drain
	}
	if f.spec.CanaryShare > 0 {
		s.Bounds.CanaryShare = &f.spec.CanaryShare
	}
	if grace > 0 {
		s.Bounds.GraceSeconds = &grace
	}
	return s
}

// Restart starts the sidecar of vm on the addresses that it had before. It does
// not announce the server.
func (f *Fleet) Restart(vm *VM) error {
	l := &vm.Settings.Listen
	l.Clients, l.Peers = vm.Sidecar.Address("clients"), vm.Sidecar.Address("peers")
	l.Announcements, l.Ready = vm.Sidecar.Address("announcements"), vm.Sidecar.Address("ready")
	l.Metrics = vm.Sidecar.Address("metrics") // a new port might be one that another node needs when it restarts
	return f.startSidecar(vm)
}

// startSidecar starts a sidecar with the settings of vm.
func (f *Fleet) startSidecar(vm *VM) error {
	store := platform.NewStore(f.storeAddress, &http.Transport{MaxIdleConnsPerHost: 4})
	s, err := sidecar.New(sidecar.Config{
		Settings: vm.Settings, Catalogue: store, Clock: clock.System{},
		Log: f.spec.Log.Named(vm.Settings.Node), Meter: meter.New(), Seed: uint64(len(f.VMs) + 1),
	})
	if err != nil {
		return err
	}
	s.Start()
	vm.Sidecar = s
	return nil
}

// limits are the request limits in every policy.
var limits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}

// SetRoutes writes the next version of the policy, with the given routes.
func (f *Fleet) SetRoutes(routes []route.Route) error { return f.SetPolicy(routes, f.spec.Workspaces) }

// SetPolicy writes the next version of the policy, with the given routes and workspaces.
func (f *Fleet) SetPolicy(routes []route.Route, workspaces []route.Workspace) error {
	f.version++
	var services []string
	for _, n := range f.spec.Nodes {
		services = append(services, n.Service)
	}
	data, err := platform.EncodePolicy(f.version, limits, services, routes, workspaces...)
	if err != nil {
		return err
	}
	_, err = f.Store.Put(context.Background(), "operator", platform.ConfigKind, platform.ConfigName, data, nil, 0, true)
	return err
}

// AddVM starts another VM and returns it. It does not wait until the others know its server.
func (f *Fleet) AddVM(n NodeSpec) (*VM, error) {
	vm, err := f.startVM(len(f.VMs), n)
	if err == nil {
		f.VMs = append(f.VMs, vm)
	}
	return vm, err
}

// Order writes the order of a roll-out, under the name of its service.
func (f *Fleet) Order(o rollout.Order) error {
	data, err := platform.EncodeRollout(o)
	if err != nil {
		return err
	}
	_, err = f.Store.Put(context.Background(), "operator", platform.RolloutKind, o.Service, data, nil, 0, true)
	return err
}

// Outcome returns the phase that the store holds for the roll-out of a service.
func (f *Fleet) Outcome(service string) rollout.Phase {
	e, err := f.Store.Get(context.Background(), "operator", platform.RolloutKind, service)
	if err != nil {
		return rollout.None
	}
	e.Entry.Status = e.Status
	_, phase, err := platform.DecodeRollout(e.Entry)
	if err != nil {
		return rollout.None
	}
	return phase
}

// SetRawPolicy writes data to the store in place of an encoded policy.
func (f *Fleet) SetRawPolicy(data []byte) error {
	_, err := f.Store.Put(context.Background(), "operator", platform.ConfigKind, platform.ConfigName, data, nil, 0, true)
	return err
}

// Version returns the version of the policy that SetRoutes wrote last.
func (f *Fleet) Version() uint64 { return f.version }

const (
	awaitTimeout  = 20 * time.Second
	awaitInterval = 5 * time.Millisecond
)

// Await polls cond until it returns true. It returns an error that contains
// what if the timeout passes first.
func Await(what string, cond func() bool) error {
	end := clock.Deadline(awaitTimeout)
	for !cond() {
		if clock.Since(end) > 0 {
			return gd.TimedOut.Errorf("%s: timed out after %s", what, awaitTimeout)
		}
		time.Sleep(awaitInterval)
	}
	return nil
}

// AwaitServers waits until every node has the newest policy and knows n servers
// that accept requests.
func (f *Fleet) AwaitServers(n int) error {
	return Await(fmt.Sprintf("every node knows %d servers", n), func() bool {
		for _, vm := range f.VMs {
			version, servers := vm.Sidecar.Status()
			if version < f.version || servers != n {
				return false
			}
		}
		return true
	})
}

// Close stops the servers, the sidecars and the store without draining them.
func (f *Fleet) Close() {
	for _, vm := range f.VMs {
		vm.Server.Crash()
		vm.Sidecar.Kill()
	}
	f.client.CloseIdleConnections()
	f.httpServer.Close() // closes open connections, including those of watches
	f.Store.Close()
}

// Request is a client's request to the sidecar of VM.
type Request struct {
	VM       *VM
	Method   string // GET if empty
	Path     string
	ID       string
	Body     string
	Deadline time.Duration // not sent if 0
	Header   http.Header   // further header fields
}

// Response is the response to a client's request, or the error in its place.
type Response struct {
	Status   int
	Body     string
	Header   http.Header
	Err      error
	Duration time.Duration
}

// Do sends a request and returns the response.
func (f *Fleet) Do(ctx context.Context, r Request) Response {
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.VM.Sidecar.Address("clients")+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Response{Err: err}
	}
	if r.Body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.GetBody = nil
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Host = Host
	platform.SetRequestID(req.Header, r.ID)
	if r.Deadline > 0 {
		platform.SetDeadline(req.Header, r.Deadline)
	}
	began := clock.Deadline(0)
	res, err := f.client.Do(req)
	if err != nil {
		return Response{Err: err, Duration: clock.Since(began)}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return Response{Status: res.StatusCode, Body: string(data), Header: res.Header, Err: err, Duration: clock.Since(began)}
}
