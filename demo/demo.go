package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/node"
)

// Parameters of the demo.
const (
	callWorkers   = 4
	callInterval  = 5 * time.Millisecond
	phaseDuration = 1500 * time.Millisecond
	serviceTime   = 3 * time.Millisecond
	slots         = 6
	repeatDelay   = 100 * time.Millisecond
)

// Counts holds the outcomes of the demo's calls and of its edit. A call without a
// complete response is counted as lost, and one that ran more than once as
// duplicated.
type Counts struct {
	Calls, Answered, NotRun, Unknown, Lost, Duplicated int
	Nodes, InForce                                     int
	Convergence                                        time.Duration
}

// String returns the summary line of the demo.
func (c Counts) String() string {
	return fmt.Sprintf("demo: calls=%d answered=%d not-run=%d unknown=%d lost=%d doubled=%d nodes=%d in-force=%d convergence-ms=%d",
		c.Calls, c.Answered, c.NotRun, c.Unknown, c.Lost, c.Duplicated, c.Nodes, c.InForce, c.Convergence.Milliseconds())
}

// Failed reports whether a call was not answered or ran more than once, or the edit
// is not in force on all nodes.
func (c Counts) Failed() bool {
	return c.Calls == 0 || c.Answered != c.Calls || c.Lost > 0 || c.Duplicated > 0 || c.InForce != c.Nodes
}

// demo is a run of the demo.
type demo struct {
	out      io.Writer
	fleet    *Fleet
	backends []*Backend

	mu     sync.Mutex
	counts Counts
}

// Run runs the demo and describes its progress on out.
func Run(ctx context.Context, out io.Writer, log hclog.Logger) (Counts, error) {
	fleet, err := NewFleet(object.NewMemory(), log)
	if err != nil {
		return Counts{}, err
	}
	d := &demo{out: out, fleet: fleet}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return Counts{}, err
	}
	err = d.runScenario(ctx)
	d.countRuns()
	return d.counts, err
}

func (d *demo) close() {
	err := d.fleet.Close()
	for _, b := range d.backends {
		err = errors.Join(err, b.Close())
	}
	if err != nil {
		d.printf("close: %s", gd.Message(err))
	}
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

// nodes lists the nodes of the demo.
var nodes = []struct{ name, dataCentre string }{
	{"tags-1", "ist-a"}, {"tags-2", "ist-a"}, {"tags-3", "ist-b"}, {"tags-4", "ist-b"},
}

// start starts the nodes and the backend servers, fills the table and waits until
// all nodes are ready.
func (d *demo) start(ctx context.Context) error {
	for _, spec := range nodes {
		n, err := d.fleet.Start(spec.name, spec.dataCentre)
		if err != nil {
			return err
		}
		b := &Backend{Service: "tags", Slots: slots, Delay: serviceTime}
		if err := b.Start(n.AnnounceAddress()); err != nil {
			return err
		}
		d.backends = append(d.backends, b)
	}
	receipt, err := d.fleet.Edit(ctx, "demo-first-table",
		SetService("tags", "/tags"),
		SetCaller("app", "app-token"),
		SetCaller("scanner", "scanner-token"),
		Set("app", "tags", "weight", "1"),
		Set("scanner", "tags", "weight", "4"),
	)
	if err != nil {
		return err
	}
	if err := d.fleet.AwaitVersion(ctx, receipt.Version); err != nil {
		return err
	}
	return d.fleet.AwaitServers(ctx, "tags", len(d.backends))
}

// runScenario sends calls, and meanwhile edits a cell and drains a backend server.
func (d *demo) runScenario(ctx context.Context) error {
	d.printf("%d nodes in 2 data centres, %d backend servers of service tags, 2 callers", len(d.fleet.Nodes), len(d.backends))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callWorkers {
		wg.Go(func() { d.sendCalls(ctx, i, stop) })
	}
	err := d.makeChanges(ctx)
	close(stop)
	wg.Wait()
	return err
}

// makeChanges edits a cell, then drains a backend server. Each time it waits until
// the change has reached all nodes.
func (d *demo) makeChanges(ctx context.Context) error {
	time.Sleep(phaseDuration)
	if err := d.editCell(ctx); err != nil {
		return err
	}
	time.Sleep(phaseDuration)
	d.printf("draining the server beside %s with calls in flight", d.fleet.Nodes[1].Name())
	d.backends[1].Drain(d.fleet.Nodes[1].AnnounceAddress())
	if err := d.fleet.AwaitServers(ctx, "tags", len(d.backends)-1); err != nil {
		return err
	}
	time.Sleep(phaseDuration)
	return nil
}

// editCell edits a cell, and measures the time until the edit is in force on all
// nodes.
func (d *demo) editCell(ctx context.Context) error {
	start := clock.System{}.Monotonic()
	receipt, err := d.fleet.Edit(ctx, "demo-edit", Set("app", "tags", "weight", "3"))
	if err != nil {
		return err
	}
	if err := d.fleet.AwaitVersion(ctx, receipt.Version); err != nil {
		return err
	}
	d.counts.Convergence = clock.System{}.Monotonic() - start
	d.printf("cell app/tags weight=3 accepted as version %d", receipt.Version)
	d.counts.Nodes = len(d.fleet.Nodes)
	for _, n := range d.fleet.Nodes {
		if n.TableVersion() >= receipt.Version {
			d.counts.InForce++
		}
	}
	return d.printStatus(ctx)
}

func (d *demo) printStatus(ctx context.Context) error {
	status, err := d.fleet.Nodes[0].Status(ctx)
	if err != nil {
		return err
	}
	for _, r := range status.Rows {
		d.printf("row %s/%s: version %d in force on %d of %d nodes", r.Caller, r.Service, r.Version, r.InForce, r.Nodes)
	}
	return nil
}

// sendCalls sends calls to the nodes in turn until stop is closed.
func (d *demo) sendCalls(ctx context.Context, worker int, stop <-chan struct{}) {
	token := []string{"app-token", "scanner-token"}[worker%2]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callInterval):
		}
		n := d.fleet.Nodes[(worker+i)%len(d.fleet.Nodes)]
		d.countOutcome(d.callWithRepeats(ctx, n, token, fmt.Sprintf("w%d-%d", worker, i)))
	}
}

// callWithRepeats sends a call and returns its outcome, which is empty if there was no
// complete response. It sends the call up to three times, as long as it is refused
// as not run.
func (d *demo) callWithRepeats(ctx context.Context, n *node.Node, token, id string) gd.Outcome {
	for range 3 {
		res, body, err := Call(ctx, n.CallsAddress(), http.MethodPost, "/tags/"+id, token, id, []byte("check-in "+id))
		switch {
		case err != nil:
			return ""
		case res.StatusCode == http.StatusOK && string(body) == id:
			return gd.Answered
		case res.Header.Get("Geraniumdock-Outcome") != string(gd.NotRun):
			return gd.Uncertain
		}
		time.Sleep(repeatDelay)
	}
	return gd.NotRun
}

func (d *demo) countOutcome(o gd.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Calls++
	switch o {
	case gd.Answered:
		d.counts.Answered++
	case gd.NotRun:
		d.counts.NotRun++
	case gd.Uncertain:
		d.counts.Unknown++
	default:
		d.counts.Lost++
	}
}

// countRuns counts the requests that ran more than once over all backend servers.
func (d *demo) countRuns() {
	total := map[string]int{}
	for _, b := range d.backends {
		for id, n := range b.Runs() {
			total[id] += n
		}
	}
	for _, n := range total {
		if n > 1 {
			d.counts.Duplicated++
		}
	}
	d.printf("servers used: %s", strings.Join(d.requestsPerServer(), ", "))
}

func (d *demo) requestsPerServer() []string {
	var list []string
	for i, b := range d.backends {
		list = append(list, fmt.Sprintf("%s %d", nodes[i].name, len(b.Runs())))
	}
	slices.Sort(list)
	return list
}

// Call sends a request as a caller would, and returns the response and its body.
func Call(ctx context.Context, address, method, path, token, id string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, gd.Invalid.Wrapf(err, "request")
	}
	req.Header.Set("Proxy-Authorization", "Bearer "+token)
	req.Header.Set(IDHeader, id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, gd.Unavailable.Wrapf(err, "call")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return res, nil, gd.Unavailable.Wrapf(err, "answer")
	}
	return res, data, nil
}
