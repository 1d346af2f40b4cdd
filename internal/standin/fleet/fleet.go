// Package fleet runs sidecars, backend servers and a stand-in of the platform's
// store in one process, on loopback addresses.
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
	"github.com/geraniumdock/geraniumdock/internal/proxy/sidecar"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/meter"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/settings"
)

const (
	loopback = "127.0.0.1:0"
	// nodeLoopback is where nodes listen. Connections begin at 127.0.0.1, so none
	// takes the port of a node that starts again.
	nodeLoopback = "127.0.1.1:0"
)

// Host is the host of all routes.
const Host = "shop.example"

// Spec says what a fleet consists of. Services, Slots and Work have defaults.
type Spec struct {
	Nodes       []Node
	Routes      []route.Route
	Log         hclog.Logger // nil for none
	Slots       int
	Work        time.Duration
	Drain       time.Duration // bound of the platform
	Grace       time.Duration // bound of the platform
	LinkMbps    float64       // that the settings name for the VMs' links
	RepeatRatio float64
	RepeatSlack float64
	NoPolicy    bool // the operator has written none yet
}

// Node is one VM of a fleet.
type Node struct {
	DataCentre string
	Service    string
}

// VM is a node with its server.
type VM struct {
	Sidecar  *sidecar.Sidecar
	Server   *backend.Server
	Settings settings.Sidecar
}

// Fleet is a running fleet. Use Start.
type Fleet struct {
	Store   *catalogue.Catalogue
	VMs     []*VM
	spec    Spec
	web     *http.Server
	address string
	version uint64
	client  *http.Client
}

// Start starts a fleet and waits until every node knows the policy and all
// servers.
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
		Store: catalogue.New(0, 0, 1), spec: spec, address: l.Addr().String(),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	f.web = &http.Server{Handler: platform.NewStoreHandler(f.Store)}
	go func() { _ = f.web.Serve(l) }() // it ends with the listener
	if !spec.NoPolicy {
		if err := f.SetRoutes(spec.Routes); err != nil {
			return nil, err
		}
	}
	for i, n := range spec.Nodes {
		vm, err := f.start(i, n)
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

func (f *Fleet) start(i int, n Node) (*VM, error) {
	server := &backend.Server{
		Service: n.Service, Instance: fmt.Sprintf("instance-%d", i), Slots: f.spec.Slots, Queue: 4 * f.spec.Slots, Work: f.spec.Work,
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	vm := &VM{Server: server, Settings: f.settings(i, n, server.Address())}
	return vm, f.run(vm)
}

func (f *Fleet) settings(i int, n Node, server string) settings.Sidecar {
	drain, grace := f.spec.Drain.Seconds(), f.spec.Grace.Seconds()
	s := settings.Sidecar{
		Node: fmt.Sprintf("node-%d", i), Address: "127.0.0.1", DataCentre: n.DataCentre, Region: "region",
		Server: settings.SidecarServer{Service: n.Service, Address: server},
		Listen: settings.SidecarListen{Clients: nodeLoopback, Peers: nodeLoopback, Ready: nodeLoopback, Announcements: nodeLoopback, Metrics: nodeLoopback},
		Store:  settings.SidecarStore{Address: f.address},
		Bounds: settings.SidecarBounds{RepeatRatio: &f.spec.RepeatRatio, RepeatSlack: &f.spec.RepeatSlack},
		Log:    settings.Log{Level: "info"}, LinkMbps: f.spec.LinkMbps,
	}
	if drain > 0 {
		s.Bounds.DrainSeconds = &drain
	}
	if grace > 0 {
		s.Bounds.GraceSeconds = &grace
	}
	return s
}

// run starts the sidecar of a VM and has its server announce itself.
func (f *Fleet) run(vm *VM) error {
	if err := f.launch(vm); err != nil {
		return err
	}
	vm.Server.Node = vm.Sidecar.Address("announcements")
	return vm.Server.Announce()
}

// Restart starts the sidecar of a VM again on the addresses that it had. The
// server does not announce itself.
func (f *Fleet) Restart(vm *VM) error {
	l := &vm.Settings.Listen
	l.Clients, l.Peers = vm.Sidecar.Address("clients"), vm.Sidecar.Address("peers")
	l.Announcements, l.Ready = vm.Sidecar.Address("announcements"), vm.Sidecar.Address("ready")
	l.Metrics = vm.Sidecar.Address("metrics") // another one might be that of a node that starts later
	return f.launch(vm)
}

// launch starts a sidecar with the settings of vm.
func (f *Fleet) launch(vm *VM) error {
	store := platform.NewStore(f.address, &http.Transport{MaxIdleConnsPerHost: 4})
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

// limits are those of every policy.
var limits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}

// SetRoutes writes the next version of the policy.
func (f *Fleet) SetRoutes(routes []route.Route) error {
	f.version++
	var services []string
	for _, n := range f.spec.Nodes {
		services = append(services, n.Service)
	}
	data, err := platform.EncodePolicy(f.version, limits, services, routes)
	if err != nil {
		return err
	}
	_, err = f.Store.Put(context.Background(), "operator", platform.ConfigKind, platform.ConfigName, data, nil, 0, true)
	return err
}

// SetRaw writes bytes in place of the policy.
func (f *Fleet) SetRaw(data []byte) error {
	_, err := f.Store.Put(context.Background(), "operator", platform.ConfigKind, platform.ConfigName, data, nil, 0, true)
	return err
}

// Version returns the version of the newest policy that SetRoutes wrote.
func (f *Fleet) Version() uint64 { return f.version }

const (
	awaitLimit = 20 * time.Second
	awaitTick  = 5 * time.Millisecond
)

// Await waits until cond holds.
func Await(what string, cond func() bool) error {
	end := clock.Deadline(awaitLimit)
	for !cond() {
		if clock.Since(end) > 0 {
			return gd.TimedOut.Errorf("%s: not within %s", what, awaitLimit)
		}
		time.Sleep(awaitTick)
	}
	return nil
}

// AwaitServers waits until every node has the newest policy and knows n serving
// servers.
func (f *Fleet) AwaitServers(n int) error {
	return Await(fmt.Sprintf("%d servers known everywhere", n), func() bool {
		for _, vm := range f.VMs {
			version, servers := vm.Sidecar.Known()
			if version < f.version || servers != n {
				return false
			}
		}
		return true
	})
}

// Close stops the servers, the sidecars and the store at once.
func (f *Fleet) Close() {
	for _, vm := range f.VMs {
		vm.Server.Crash()
		vm.Sidecar.Kill()
	}
	f.client.CloseIdleConnections()
	f.web.Close() // calls that wait are cut
	f.Store.Close()
}

// Request is a request of a client.
type Request struct {
	VM       *VM
	Method   string // GET if empty
	Path     string
	ID       string
	Body     string
	Deadline time.Duration // 0 for none
	Header   http.Header
}

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	Header http.Header
	Err    error
	Took   time.Duration
}

// Do sends a request and waits for the answer.
func (f *Fleet) Do(ctx context.Context, r Request) Answer {
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.VM.Sidecar.Address("clients")+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
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
		return Answer{Err: err, Took: clock.Since(began)}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Body: string(data), Header: res.Header, Err: err, Took: clock.Since(began)}
}
