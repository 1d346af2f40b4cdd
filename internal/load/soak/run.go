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

// Config says what a soak runs and where.
type Config struct {
	Program  string       // that is run as each node
	Env      []string     // of the program, beside the own environment
	Dir      string       // for settings and logs
	Timed    bool         // bounds of time are checked, too
	Progress func(string) // told of each event and each finding
}

// Result is what came of one run.
type Result struct {
	Findings                  []Finding
	Requests, Served, Refused int
	Failed                    int
	Events                    map[string]int // by kind
}

const (
	startLimit = 20 * time.Second // in which all nodes serve at first
	probePause = 100 * time.Millisecond
	// serverLinger is how long after the bound a server that leaves still runs
	// what reaches it.
	serverLinger = time.Second
	quietEnd     = 500 * time.Millisecond // of traffic after the last node has recovered
)

// fleet is what runs during a soak.
type fleet struct {
	cfg       Config
	schedule  Schedule
	began     time.Time
	record    *record
	nodes     []*node
	catalogue *catalogue.Catalogue
	web       *http.Server
	store     string // address
	metrics   *http.Client

	writing sync.Mutex
	version uint64
}

func (f *fleet) now() time.Duration { return clock.Since(f.began) }

// Run plays a schedule and returns what was found. It leaves no process behind,
// also when ctx ends early.
func Run(ctx context.Context, cfg Config, s Schedule) (Result, error) {
	f := &fleet{
		cfg: cfg, schedule: s, began: clock.Deadline(0), record: &record{began: clock.System{}.Now()},
		catalogue: catalogue.New(0, 0, s.Seed), metrics: &http.Client{Transport: &http.Transport{}},
	}
	defer f.metrics.CloseIdleConnections()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return Result{}, gd.Unavailable.Wrapf(err, "store")
	}
	f.store = l.Addr().String()
	f.web = &http.Server{Handler: platform.NewStoreHandler(f.catalogue)}
	var serving sync.WaitGroup
	serving.Go(func() { _ = f.web.Serve(l) }) // it ends with the listener
	err = f.play(ctx)
	f.stop()
	f.web.Close()
	serving.Wait()
	f.catalogue.Close()
	if err != nil {
		return Result{}, err
	}
	return f.result(), nil
}

// play starts the fleet, sends traffic through it and has the events happen.
func (f *fleet) play(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	traffic, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range f.nodes {
		for client := range clientsPerNode {
			running.Go(func() { n.send(traffic, client) })
		}
		running.Go(func() { n.watch(traffic) })
	}
	f.happen(ctx)
	f.recover(ctx)
	sleep(ctx, quietEnd)
	f.stopNodes() // clients send on until the last process has ended
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
		if !n.awaitService(ctx, startLimit) {
			return gd.TimedOut.Errorf("node %d served nothing within %s of its start", n.index, startLimit)
		}
	}
	return nil
}

// awaitService reports whether a client of the node is served within the limit.
func (n *node) awaitService(ctx context.Context, limit time.Duration) bool {
	transport := &http.Transport{DisableKeepAlives: true}
	for i, end := 0, n.f.now()+limit; n.f.now() < end && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("probe-%d-%d", n.index, n.f.now())
		q := &request{id: id, method: http.MethodGet, target: "/reads/" + id, node: n.index, caller: n.service, deadline: clientDeadline, sent: n.f.now()}
		n.ask(transport, q)
		q.ended = n.f.now()
		add(n.f.record, &n.f.record.requests, q)
		if q.status == http.StatusOK {
			return true
		}
		sleep(ctx, probePause)
	}
	return false
}

// happen has the events happen, each at its time, and returns when the last of
// them is over.
func (f *fleet) happen(ctx context.Context) {
	base := f.now()
	var events sync.WaitGroup
	for _, e := range f.schedule.Events {
		sleep(ctx, base+e.At-f.now())
		if ctx.Err() != nil {
			break
		}
		f.cfg.Progress(fmt.Sprintf("%s %s node %d %s %s for %s", e.At, e.Kind, e.Node, e.How, e.On, e.For))
		events.Go(func() {
			began := f.now()
			f.carryOut(e)
			e.At, e.For = began, f.now()-began // as it was
			add(f.record, &f.record.events, e)
		})
	}
	sleep(ctx, base+f.schedule.Length-f.now())
	events.Wait()
}

// carryOut has one event happen and returns when it is over.
func (f *fleet) carryOut(e Event) {
	n := f.nodes[e.Node]
	switch e.Kind {
	case Term:
		n.stop()
		f.startAgain(n, e.For)
	case Kill:
		<-n.signal(syscall.SIGKILL)
		f.startAgain(n, e.For)
	case Pause:
		n.signal(syscall.SIGSTOP)
		time.Sleep(e.For)
		n.signal(syscall.SIGCONT)
	case Hangup:
		if n.wasUp() {
			n.signal(syscall.SIGHUP)
		}
	case Policy:
		if err := f.writePolicy(); err != nil {
			f.cfg.Progress("the store did not take a version: " + gd.Message(err))
		}
	case ServerDrain, ServerCrash:
		n.replaceServer(e)
	case ServerFault:
		n.serving.Lock()
		n.server.SetFaults(serverFaults[e.How])
		time.Sleep(e.For)
		n.server.SetFaults(backend.Faults{})
		n.serving.Unlock()
	case Network:
		n.proxies[e.On].set(e.How)
		time.Sleep(e.For)
		n.proxies[e.On].set("")
	case StoreFault:
		f.catalogue.SetFaults(storeFaults[e.How])
		time.Sleep(e.For)
		f.catalogue.SetFaults(catalogue.Faults{})
	case Forget:
		f.catalogue.Compact()
	}
}

// wasUp reports whether the process has answered since it started. Before it
// handles signals, the kernel ends it at a SIGHUP.
func (n *node) wasUp() bool {
	id, number := n.pid()
	n.f.record.mu.Lock()
	defer n.f.record.mu.Unlock()
	return id != 0 && slices.ContainsFunc(n.f.record.samples, func(s sample) bool { return s.node == n.index && s.life == number })
}

var serverFaults = map[string]backend.Faults{
	"lose-answer": {LoseAnswer: true}, "cut-answer": {CutAnswer: true}, "extra-bytes": {ExtraBytes: true},
	"no-seal": {NoSeal: true}, "unframed": {Unframed: true}, "fail": {Fail: true}, "shed": {Shed: true},
}

var storeFaults = map[string]catalogue.Faults{
	"silent": {Outage: catalogue.Silent}, "busy": {Outage: catalogue.Busy}, "many": {Outage: catalogue.Many},
	"reset": {Outage: catalogue.Reset}, "slow": {Delay: 300 * time.Millisecond}, "lose-writes": {LoseWrite: 0.5},
	"late-writes": {LoseWrite: 0.5, LateWrite: time.Second}, "mute": {Mute: true},
}

func (f *fleet) startAgain(n *node, after time.Duration) {
	time.Sleep(after)
	if err := n.start(); err != nil {
		f.cfg.Progress(gd.Message(err))
	}
}

// replaceServer ends the server of a node, in order or at once, and starts one
// at its address.
func (n *node) replaceServer(e Event) {
	n.serving.Lock()
	defer n.serving.Unlock()
	instance := n.server.Instance
	if e.Kind == ServerDrain {
		if n.server.Drain() == nil {
			add(n.f.record, &n.f.record.departures, departure{n.index, instance, n.f.now()})
		}
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

// recover waits until every node serves again.
func (f *fleet) recover(ctx context.Context) {
	end := f.now() + recoverTime
	for _, n := range f.nodes {
		if !n.awaitService(ctx, end-f.now()) && ctx.Err() == nil {
			add(f.record, &f.record.unserved, n.index)
		}
	}
}

// stopNodes stops all processes at once.
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

// stop ends all that runs.
func (f *fleet) stop() {
	f.stopNodes()
	for _, n := range f.nodes {
		n.close()
	}
}

func (f *fleet) result() Result {
	r := Result{Findings: check(f.record, f.cfg.Timed), Events: map[string]int{}}
	for _, q := range f.record.requests {
		r.Requests++
		switch {
		case q.status >= http.StatusOK && q.status < http.StatusMultipleChoices:
			r.Served++
		case q.status == http.StatusServiceUnavailable:
			r.Refused++
		default:
			r.Failed++
		}
	}
	for _, e := range f.record.events {
		r.Events[e.Kind]++
	}
	for _, found := range r.Findings {
		f.cfg.Progress("FINDING " + found.String())
	}
	return r
}

// Shrink returns the smallest schedule that it finds, leaving out one event
// after another, in which the given check still finds something.
func Shrink(ctx context.Context, cfg Config, s Schedule, name string) (Schedule, error) {
	for i := len(s.Events) - 1; i >= 0; i-- {
		less := s.Without(i)
		r, err := Run(ctx, cfg, less)
		if err != nil {
			return s, err
		}
		if slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Check == name }) {
			s = less
			cfg.Progress(fmt.Sprintf("%d events left", len(s.Events)))
		}
	}
	return s, nil
}
