package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/platform"
)

const (
	clientsPerNode = 3
	meanThinkTime  = 60 * time.Millisecond // mean pause of a client between two requests
	clientDeadline = 1500 * time.Millisecond
	clientTimeout  = clientDeadline + 500*time.Millisecond
	largeBodyBytes = 24 << 10 // in one non-idempotent request in twenty
	sampleInterval = 200 * time.Millisecond
	sampleTimeout  = time.Second
	host           = "soak.example"
)

// runClient runs one client of a node, which sends requests until ctx is done. The
// client reuses its connection until the node closes it.
func (n *node) runClient(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(n.f.schedule.Seed, uint64(n.index*clientsPerNode+client)))
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		q := &request{
			id: fmt.Sprintf("%d-%d-%d", n.index, client, i), method: http.MethodGet,
			node: n.index, caller: n.service, deadline: clientDeadline,
		}
		q.target = "/reads/" + q.id
		if rng.IntN(2) == 0 {
			q.method, q.target, q.nonIdempotent, q.body = http.MethodPost, "/orders/"+q.id, true, "order "+q.id
			if rng.IntN(20) == 0 {
				q.body = strings.Repeat("x", largeBodyBytes)
			}
		}
		if n.f.schedule.Workspaces {
			q.key = pickKey(rng, n.f.record.lastVersion())
			if !q.nonIdempotent && rng.IntN(4) == 0 {
				q.target, q.public = publicPrefix+q.id, true
			}
		}
		q.sent = n.f.now()
		n.sendRequest(transport, q)
		q.ended = n.f.now()
		add(n.f.record, &n.f.record.requests, q)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// sendRequest sends a request and stores the response or the error in it.
func (n *node) sendRequest(transport *http.Transport, q *request) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.proxies[AtClients].address()+q.target, nil)
	if err != nil {
		q.err = err
		return
	}
	if q.body != "" {
		// Without GetBody the transport cannot retry the request.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader([]byte(q.body))), int64(len(q.body))
	}
	req.Host = host
	platform.SetRequestID(req.Header, q.id)
	platform.SetDeadline(req.Header, q.deadline)
	if n.f.schedule.Workspaces {
		platform.SetWorkspace(req.Header, forgedWorkspace)
		if q.key.text != "" {
			platform.SetKey(req.Header, q.key.text)
		}
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		q.err = err
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		q.err = err
		return
	}
	q.status, q.responseBody, q.signed = res.StatusCode, string(data), platform.IsSigned(res.Header)
	q.fromLeaving = platform.IsServerLeaving(res)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// collectSamples samples a node until ctx is done.
func (n *node) collectSamples(ctx context.Context) {
	for ctx.Err() == nil {
		if id, number := n.pid(); id != 0 {
			s := sample{node: n.index, incarnation: number, at: n.f.now()}
			s.residentMB, s.descriptors = resources(id)
			if version, ok := n.version(); ok {
				s.version = version
				add(n.f.record, &n.f.record.samples, s)
			}
		}
		sleep(ctx, sampleInterval)
	}
}

// version returns the version of the policy in force, as the metrics of the node
// report it.
func (n *node) version() (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.metricsAddress+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	res, err := n.f.metricsClient.Do(req)
	if err != nil {
		return 0, false // the process is starting or paused
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "geraniumdock_policy_version "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			return uint64(v), err == nil
		}
	}
	return 0, false
}

// resources returns the resident memory and the number of open file descriptors of
// a process, or 0 if it has exited.
func resources(id int) (residentMB, descriptors int) {
	proc := "/proc/" + strconv.Itoa(id)
	status, err := os.ReadFile(proc + "/status")
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1]) // the kernel always writes a number
			residentMB = kb / 1024
		}
	}
	open, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return residentMB, 0
	}
	return residentMB, len(open)
}

// routes returns the routes of a version of the policy. Versions differ only in the
// prefix of a route that no client uses.
func routes(version uint64) []route.Route {
	return []route.Route{
		{Name: "reads", Host: host, Prefix: "/reads/", Idempotent: true, Attempts: 3, Timeout: clientDeadline,
			Objective: clientDeadline / 2, Priority: 2, Backends: []route.Backend{{Service: "shop", Weight: 3}, {Service: "stock", Weight: 1}}},
		{Name: "orders", Host: host, Prefix: "/orders/", Attempts: 3, Timeout: clientDeadline,
			Objective: clientDeadline / 2, Priority: 1, Backends: []route.Backend{{Service: "shop", Weight: 1}}},
		{Name: "version", Host: host, Prefix: fmt.Sprintf("/v-%d/", version), Attempts: 1,
			Backends: []route.Backend{{Service: "stock", Weight: 1}}},
	}
}

// writePolicy writes the next version of the policy and records it once the store
// has acknowledged it.
func (f *fleet) writePolicy() error {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	f.version++
	limits := route.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	list, customers := routes(f.version), []route.Workspace(nil)
	if f.schedule.Workspaces {
		public := list[0]
		public.Name, public.Prefix, public.Public = "open", publicPrefix, true
		list, customers = append(list, public), workspaces(f.version)
	}
	data, err := platform.EncodePolicy(f.version, limits, []string{"shop", "stock"}, list, customers...)
	if err != nil {
		return err
	}
	add(f.record, &f.record.policyPuts, policyWrite{f.version, f.now()})
	if err := f.putPolicy(data); err != nil {
		return err
	}
	f.lastPolicy = data
	add(f.record, &f.record.policyWrites, policyWrite{f.version, f.now()})
	return nil
}

func (f *fleet) putPolicy(data []byte) error {
	_, err := f.catalogue.Put(context.Background(), "operator", platform.ConfigKind, platform.ConfigName, data, nil, 0, true)
	return err
}

// restoreStore returns the store to its last copy while it is away. The operator then
// writes the last acknowledged policy again.
func (f *fleet) restoreStore() {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	f.catalogue.SetFaults(catalogue.Faults{Outage: catalogue.Reset})
	time.Sleep(storeAbsence)
	f.catalogue.Rewind()
	f.catalogue.SetFaults(catalogue.Faults{})
	for f.putPolicy(f.lastPolicy) != nil {
		time.Sleep(probePause) // another event has begun
	}
}
