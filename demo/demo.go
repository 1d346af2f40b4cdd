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

// The demo's sizes.
const (
	callersAtOnce = 4
	callPause     = 5 * time.Millisecond
	phase         = 1500 * time.Millisecond
	lookupTime    = 3 * time.Millisecond
	slots         = 6
	retryPause    = 100 * time.Millisecond
)

// Counts are what became of the demo's calls.
type Counts struct {
	Calls, Answered, NotRun, Unknown, Lost, Doubled int
	Nodes, InForce                                  int
	Convergence                                     time.Duration
}

// String returns the demo's last line.
func (c Counts) String() string {
	return fmt.Sprintf("demo: calls=%d answered=%d not-run=%d unknown=%d lost=%d doubled=%d nodes=%d in-force=%d convergence-ms=%d",
		c.Calls, c.Answered, c.NotRun, c.Unknown, c.Lost, c.Doubled, c.Nodes, c.InForce, c.Convergence.Milliseconds())
}

// Failed reports whether a call was not answered, or the edit is not in force
// everywhere.
func (c Counts) Failed() bool {
	return c.Calls == 0 || c.Answered != c.Calls || c.Lost > 0 || c.Doubled > 0 || c.InForce != c.Nodes
}

// demo is a run of the demo.
type demo struct {
	out      io.Writer
	fleet    *Fleet
	backends []*Backend

	mu     sync.Mutex
	counts Counts
}

// Run runs the demo and writes what happens to out.
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
	err = d.play(ctx)
	d.countRuns()
	return d.counts, err
}

func (d *demo) close() {
	err := d.fleet.Close()
	for _, b := range d.backends {
		err = errors.Join(err, b.Close())
	}
	if err != nil {
		d.say("close: %s", gd.Message(err))
	}
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

var places = []struct{ node, dataCentre string }{
	{"tags-1", "ist-a"}, {"tags-2", "ist-a"}, {"tags-3", "ist-b"}, {"tags-4", "ist-b"},
}

// start starts the nodes and servers and fills the table.
func (d *demo) start(ctx context.Context) error {
	for _, p := range places {
		n, err := d.fleet.Start(p.node, p.dataCentre)
		if err != nil {
			return err
		}
		b := &Backend{Service: "tags", Slots: slots, Delay: lookupTime}
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

// play sends calls, edits a cell meanwhile and drains a server under them.
func (d *demo) play(ctx context.Context) error {
	d.say("%d nodes in 2 data centres, %d backend servers of service tags, 2 callers", len(d.fleet.Nodes), len(d.backends))
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for i := range callersAtOnce {
		calling.Go(func() { d.call(ctx, i, stop) })
	}
	err := d.change(ctx)
	close(stop)
	calling.Wait()
	return err
}

func (d *demo) change(ctx context.Context) error {
	time.Sleep(phase)
	if err := d.editCell(ctx); err != nil {
		return err
	}
	time.Sleep(phase)
	d.say("draining the server beside %s with calls in flight", d.fleet.Nodes[1].Name())
	d.backends[1].Drain(d.fleet.Nodes[1].AnnounceAddress())
	if err := d.fleet.AwaitServers(ctx, "tags", len(d.backends)-1); err != nil {
		return err
	}
	time.Sleep(phase)
	return nil
}

func (d *demo) editCell(ctx context.Context) error {
	began := clock.System{}.Monotonic()
	receipt, err := d.fleet.Edit(ctx, "demo-edit", Set("app", "tags", "weight", "3"))
	if err != nil {
		return err
	}
	if err := d.fleet.AwaitVersion(ctx, receipt.Version); err != nil {
		return err
	}
	d.counts.Convergence = clock.System{}.Monotonic() - began
	d.say("cell app/tags weight=3 accepted as version %d", receipt.Version)
	d.counts.Nodes = len(d.fleet.Nodes)
	for _, n := range d.fleet.Nodes {
		if n.Version() >= receipt.Version {
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
		d.say("row %s/%s: version %d in force on %d of %d nodes", r.Caller, r.Service, r.Version, r.InForce, r.Nodes)
	}
	return nil
}

// call sends calls to the nodes in turn until stop. A call that was refused as
// not run is sent again.
func (d *demo) call(ctx context.Context, worker int, stop <-chan struct{}) {
	token := []string{"app-token", "scanner-token"}[worker%2]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		n := d.fleet.Nodes[(worker+i)%len(d.fleet.Nodes)]
		d.settle(d.callOnce(ctx, n, token, fmt.Sprintf("w%d-%d", worker, i)))
	}
}

func (d *demo) callOnce(ctx context.Context, n *node.Node, token, id string) gd.Outcome {
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
		time.Sleep(retryPause)
	}
	return gd.NotRun
}

func (d *demo) settle(o gd.Outcome) {
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

// countRuns counts the requests that ran more than once over all servers.
func (d *demo) countRuns() {
	total := map[string]int{}
	for _, b := range d.backends {
		for id, n := range b.Runs() {
			total[id] += n
		}
	}
	for _, n := range total {
		if n > 1 {
			d.counts.Doubled++
		}
	}
	d.say("servers used: %s", strings.Join(d.perServer(), ", "))
}

func (d *demo) perServer() []string {
	var list []string
	for i, b := range d.backends {
		list = append(list, fmt.Sprintf("%s %d", places[i].node, len(b.Runs())))
	}
	slices.Sort(list)
	return list
}

// Call sends a request as a caller would, and returns the whole answer.
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
