package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/platform"
)

// Config configures a run.
type Config struct {
	Program     string       // path of the program that each node runs
	Env         []string     // environment variables added to those of this process
	Dir         string       // directory for settings and logs
	TimedChecks bool         // run the checks that enforce a time bound, too
	Progress    func(string) // called with a line for each event and finding
}

// Result is the outcome of one run.
type Result struct {
	Findings                  []Finding
	Requests, Served, Refused int
	Failed                    int
	Events                    map[string]int // by kind
}

const (
	startTimeout = 20 * time.Second // for a node to serve a request after its first start
	probePause   = 100 * time.Millisecond
	// serverLinger is how long a draining server keeps running after drainBound,
	// so that late requests are seen.
	serverLinger = time.Second
	settleTime   = 500 * time.Millisecond // duration of the traffic after all nodes have recovered
	storeAbsence = time.Second            // time for which a store that is restored is away
)

// fleet holds the nodes, the store and the observations of one run.
type fleet struct {
	cfg           Config
	schedule      Schedule
	began         time.Time
	record        *record
	nodes         []*node
	catalogue     *catalogue.Catalogue
	httpServer    *http.Server
	storeAddress  string
	metricsClient *http.Client

	policyMu   sync.Mutex
	version    uint64
	lastPolicy []byte // last one that the store acknowledged
}

func (f *fleet) now() time.Duration { return clock.Since(f.began) }

// Run runs a schedule and checks the observations. All processes have been stopped
// when it returns, even if ctx is done early.
func Run(ctx context.Context, cfg Config, s Schedule) (Result, error) {
	f := &fleet{
		cfg: cfg, schedule: s, began: clock.Deadline(0), record: &record{began: clock.System{}.Now(), hasWorkspaces: s.Workspaces},
		catalogue: catalogue.New(0, 0, s.Seed), metricsClient: &http.Client{Transport: &http.Transport{}},
	}
	defer f.metricsClient.CloseIdleConnections()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return Result{}, gd.Unavailable.Wrapf(err, "store")
	}
	f.storeAddress = l.Addr().String()
	f.httpServer = &http.Server{Handler: platform.NewStoreHandler(f.catalogue)}
	var serving sync.WaitGroup
	serving.Go(func() { _ = f.httpServer.Serve(l) }) // Serve returns when the server is closed
	err = f.run(ctx)
	f.shutDown()
	f.httpServer.Close()
	serving.Wait()
	f.catalogue.Close()
	if err != nil {
		return Result{}, err
	}
	return f.result(), nil
}

// run starts the fleet, sends traffic through it and runs the events.
func (f *fleet) run(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	traffic, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range f.nodes {
		for client := range clientsPerNode {
			running.Go(func() { n.runClient(traffic, client) })
		}
		running.Go(func() { n.collectSamples(traffic) })
	}
	f.runEvents(ctx)
	f.awaitRecovery(ctx)
	f.awaitVersions(ctx)
	sleep(ctx, settleTime)
	f.stopNodes() // clients keep sending until the last process has exited
	cancel()
	running.Wait()
	return ctx.Err()
}

func (f *fleet) start(ctx context.Context) error {
	if err := f.writePolicy(); err != nil {
		return err
	}
	for i := range f.schedule.Nodes {
		n, err := newNode(f, i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
		if err := n.startServer(n.nextInstance()); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if !n.awaitService(ctx, startTimeout) {
			return gd.TimedOut.Errorf("node %d did not serve a request within %s of its start", n.index, startTimeout)
		}
	}
	return nil
}

// awaitService waits until the node serves a client and reports whether it does
// within the limit.
func (n *node) awaitService(ctx context.Context, limit time.Duration) bool {
	transport := &http.Transport{DisableKeepAlives: true}
	for i, end := 0, n.f.now()+limit; n.f.now() < end && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("probe-%d-%d", n.index, n.f.now())
		q := &request{id: id, method: http.MethodGet, target: "/reads/" + id, node: n.index, caller: n.service, deadline: clientDeadline, sent: n.f.now()}
		if n.f.schedule.Workspaces {
			q.key = steadyKey
		}
		n.sendRequest(transport, q)
		q.ended = n.f.now()
		add(n.f.record, &n.f.record.requests, q)
		if q.status == http.StatusOK {
			return true
		}
		sleep(ctx, probePause)
	}
	return false
}

// runEvents runs each event at its time and returns when the last one has ended.
func (f *fleet) runEvents(ctx context.Context) {
	base := f.now()
	var events sync.WaitGroup
	for _, e := range f.schedule.Events {
		sleep(ctx, base+e.At-f.now())
		if ctx.Err() != nil {
			break
		}
		f.cfg.Progress(fmt.Sprintf("%s %s node %d %s %s for %s", e.At, e.Kind, e.Node, e.Fault, e.Connection, e.For))
		events.Go(func() {
			began := f.now()
			f.runEvent(e)
			e.At, e.For = began, f.now()-began // the actual times
			add(f.record, &f.record.events, e)
		})
	}
	sleep(ctx, base+f.schedule.Length-f.now())
	events.Wait()
}

// runEvent runs one event and returns when it has ended.
func (f *fleet) runEvent(e Event) {
	n := f.nodes[e.Node]
	switch e.Kind {
	case Term:
		n.stop()
		f.restart(n, e.For)
	case Kill:
		<-n.signal(syscall.SIGKILL)
		f.restart(n, e.For)
	case Pause:
		n.signal(syscall.SIGSTOP)
		time.Sleep(e.For)
		n.signal(syscall.SIGCONT)
	case Hangup:
		if n.hasResponded() {
			n.signal(syscall.SIGHUP)
		}
	case Policy:
		if err := f.writePolicy(); err != nil {
			f.cfg.Progress("write policy: " + gd.Message(err))
		}
	case ServerDrain, ServerLeave, ServerCrash:
		n.replaceServer(e)
	case ServerLimit:
		n.serverMu.Lock()
		n.server.SetLimit(serverLimit)
		time.Sleep(limitLength + e.For)
		n.server.SetLimit(0)
		n.serverMu.Unlock()
	case ServerFault:
		n.serverMu.Lock()
		n.server.SetFaults(serverFaults[e.Fault])
		time.Sleep(e.For)
		n.server.SetFaults(backend.Faults{})
		n.serverMu.Unlock()
	case Network:
		n.proxies[e.Connection].setFault(e.Fault)
		time.Sleep(e.For)
		n.proxies[e.Connection].setFault("")
	case StoreFault:
		f.catalogue.SetFaults(storeFaults[e.Fault])
		time.Sleep(e.For)
		f.catalogue.SetFaults(catalogue.Faults{})
	case StoreCompact:
		f.catalogue.Compact()
	case StoreRestore:
		f.catalogue.Checkpoint()
		time.Sleep(e.For)
		f.restoreStore()
	}
}

// hasResponded reports whether the current process has responded to a metrics request.
// Until a process has installed its signal handlers, a SIGHUP terminates it.
func (n *node) hasResponded() bool {
	id, number := n.pid()
	n.f.record.mu.Lock()
	defer n.f.record.mu.Unlock()
	return id != 0 && slices.ContainsFunc(n.f.record.samples, func(s sample) bool { return s.node == n.index && s.incarnation == number })
}

// serverFaults maps values of Event.Fault for the kind ServerFault to faults.
var serverFaults = map[string]backend.Faults{
	"lose-answer": {LoseResponse: true}, "cut-answer": {TruncateResponse: true}, "extra-bytes": {ExtraBytes: true},
	"no-seal": {NoSignature: true}, "unframed": {NoContentLength: true}, "fail": {Fail: true}, "shed": {Refuse: true},
}

// storeFaults maps values of Event.Fault for the kind StoreFault to faults.
var storeFaults = map[string]catalogue.Faults{
	"silent": {Outage: catalogue.Silent}, "busy": {Outage: catalogue.Busy}, "many": {Outage: catalogue.TooMany},
	"reset": {Outage: catalogue.Reset}, "slow": {Delay: 300 * time.Millisecond}, "lose-writes": {LostWriteRatio: 0.5},
	"late-writes": {LostWriteRatio: 0.5, LostWriteDelay: time.Second}, "mute": {MuteWatches: true},
}

func (f *fleet) restart(n *node, after time.Duration) {
	time.Sleep(after)
	if err := n.start(); err != nil {
		f.cfg.Progress(gd.Message(err))
	}
}

// replaceServer drains or crashes the server of a node, or lets it leave, and starts
// another at the same address.
func (n *node) replaceServer(e Event) {
	n.serverMu.Lock()
	defer n.serverMu.Unlock()
	instance := n.server.Instance
	switch e.Kind {
	case ServerDrain:
		if n.server.Drain() == nil {
			add(n.f.record, &n.f.record.drains, drain{n.index, instance, n.f.now()})
		}
	case ServerLeave:
		n.server.SetLeaving()
	}
	if e.Kind != ServerCrash {
		time.Sleep(drainBound + serverLinger)
		_ = n.server.Leave() // the node may be down
		instance = n.nextInstance()
	}
	n.server.Crash()
	time.Sleep(e.For)
	if err := n.startServer(instance); err != nil {
		n.f.cfg.Progress(gd.Message(err))
	}
}

// awaitRecovery waits until every node serves requests and records the nodes that
// do not within recoveryBound.
func (f *fleet) awaitRecovery(ctx context.Context) {
	end := f.now() + recoveryBound
	for _, n := range f.nodes {
		if !n.awaitService(ctx, end-f.now()) && ctx.Err() == nil {
			add(f.record, &f.record.unrecovered, n.index)
		}
	}
}

// awaitVersions waits until every node has the last acknowledged version of the policy,
// and records the nodes that do not get it within versionLimit.
func (f *fleet) awaitVersions(ctx context.Context) {
	want, end := f.record.lastVersion(), f.now()+versionLimit
	for _, n := range f.nodes {
		version, _ := n.version()
		for version < want && f.now() < end && ctx.Err() == nil {
			sleep(ctx, probePause)
			version, _ = n.version()
		}
		if version < want && ctx.Err() == nil {
			add(f.record, &f.record.behind, sample{node: n.index, at: f.now(), version: version})
		}
	}
}

// stopNodes stops all processes concurrently and records those that did not exit.
func (f *fleet) stopNodes() {
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(n.stop)
	}
	all.Wait()
	for _, n := range f.nodes {
		if id, _ := n.pid(); id != 0 {
			add(f.record, &f.record.leftOver, id)
		}
	}
}

// shutDown stops all processes, servers and proxies.
func (f *fleet) shutDown() {
	f.stopNodes()
	for _, n := range f.nodes {
		n.close()
	}
}

func (f *fleet) result() Result {
	r := Result{Findings: check(f.record, f.cfg.TimedChecks), Events: map[string]int{}}
	for _, q := range f.record.requests {
		r.Requests++
		switch {
		case q.status >= http.StatusOK && q.status < http.StatusMultipleChoices:
			r.Served++
		case slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized}, q.status):
			r.Refused++
		default:
			r.Failed++
		}
	}
	for _, e := range f.record.events {
		r.Events[e.Kind]++
	}
	for _, finding := range r.Findings {
		f.cfg.Progress("FINDING " + finding.String())
	}
	return r
}

// Shrink removes events one at a time, as long as the named check still has a
// finding, and returns the remaining schedule.
func Shrink(ctx context.Context, cfg Config, s Schedule, name string) (Schedule, error) {
	for i := len(s.Events) - 1; i >= 0; i-- {
		smaller := s.Without(i)
		r, err := Run(ctx, cfg, smaller)
		if err != nil {
			return s, err
		}
		if slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Check == name }) {
			s = smaller
			cfg.Progress(fmt.Sprintf("%d events remain", len(s.Events)))
		}
	}
	return s, nil
}
