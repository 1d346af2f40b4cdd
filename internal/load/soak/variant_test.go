package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/settings"
)

const variantEnv = "SOAK_VARIANT"

// variant is a minimal node that forwards requests to the server beside it. It
// violates the guarantee that the check with its name tests.
type variant struct {
	name         string
	settings     settings.Sidecar
	server       http.Transport
	instance     atomic.Value // string
	version      atomic.Uint64
	policy       atomic.Pointer[route.Policy]
	limited      atomic.Uint64 // number of requests of workspaces with a quota
	metricsReads atomic.Uint64 // number of times that the metrics were read
	stopping     atomic.Bool   // SIGTERM was received
}

// violates reports whether the variant violates the guarantee that the named check
// tests.
func (v *variant) violates(name string) bool { return v.name == name }

// runVariant runs a variant until it receives SIGTERM.
func runVariant(name, file string) {
	s, err := settings.ReadSidecar(file)
	if err != nil {
		panic(err)
	}
	v := &variant{name: name, settings: s}
	if _, err := os.Stat(file + ".again"); err == nil && v.violates("recovery") {
		select {} // blocks until the process is killed
	}
	if err := os.WriteFile(file+".again", nil, 0o600); err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.AnnouncePattern, v.announce)
	mux.HandleFunc(platform.LeavePattern, func(http.ResponseWriter, *http.Request) {})
	metrics := http.NewServeMux()
	metrics.HandleFunc("/metrics", v.metrics)
	clients := &http.Server{Addr: s.Listen.Clients, Handler: http.HandlerFunc(v.forward)}
	for _, srv := range []*http.Server{
		clients, {Addr: s.Listen.Announcements, Handler: mux}, {Addr: s.Listen.Metrics, Handler: metrics},
	} {
		go srv.ListenAndServe()
	}
	go v.pollPolicy()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	for sig := range signals {
		if sig == syscall.SIGHUP {
			continue
		}
		if v.violates("grace-bound") {
			select {}
		}
		if v.violates("lost-at-stop") {
			v.stopping.Store(true) // forward exits when the next request has run
			continue
		}
		_ = clients.Shutdown(context.Background())
		return
	}
}

// ballast is the memory that the variant "resources" keeps allocated.
var ballast []byte

// pollPolicy polls the version of the policy and causes the violations that do not
// depend on a request.
func (v *variant) pollPolicy() {
	if v.violates("resources") {
		ballast = bytes.Repeat([]byte{1}, 2*maxMemoryMB<<20)
	}
	store := platform.NewStore(v.settings.Store.Address, &http.Transport{})
	for range time.Tick(50 * time.Millisecond) {
		e, err := store.Get(context.Background(), platform.ConfigKind, platform.ConfigName)
		if err != nil || (v.violates("apply-bound") || v.violates("policy-missed")) && v.version.Load() > 0 {
			continue
		}
		p, err := platform.DecodePolicy(e.Value)
		if err != nil {
			panic(err)
		}
		if v.version.Load() == 0 || !v.violates("key-bound") && !v.violates("key-withdrawn") {
			v.policy.Store(p)
		}
		if v.version.Load() == 0 || !v.violates("key-bound") {
			v.version.Store(p.Version)
		}
		if v.violates("process-end") && v.metricsReads.Load() > 2 {
			panic("broken")
		}
	}
}

func (v *variant) announce(_ http.ResponseWriter, r *http.Request) {
	a, err := platform.DecodeAnnouncement(r)
	if err != nil {
		panic(err)
	}
	if a.Draining && !v.violates("drain-bound") {
		v.instance.Store("")
		return
	}
	v.instance.Store(a.Instance)
}

func (v *variant) metrics(w http.ResponseWriter, _ *http.Request) {
	version := v.version.Load()
	if v.metricsReads.Add(1)%2 == 0 && v.violates("version-back") {
		version--
	}
	fmt.Fprintf(w, "geraniumdock_policy_version %d\n", version)
}

// forward forwards a client's request to the server.
func (v *variant) forward(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client disconnected
	}
	instance, _ := v.instance.Load().(string)
	if instance == "" || v.version.Load() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if status := v.authenticate(r); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if v.violates("not-asked") {
		body = append(body, '!')
	}
	nonIdempotent := r.Method == http.MethodPost
	status, text := v.send(w.Header(), r, body)
	if v.stopping.Load() && status == http.StatusOK {
		os.Exit(0)
	}
	if v.violates("runs-twice") && nonIdempotent || v.violates("repeats") && !nonIdempotent {
		v.send(http.Header{}, r, body)
	}
	if v.violates("refused-yet-ran") && nonIdempotent {
		w.Header().Del("Content-Length")
		for name := range w.Header() {
			w.Header().Del(name)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if v.violates("wrong-answer") {
		text = bytes.ToUpper(text)
	}
	w.WriteHeader(status)
	_, _ = w.Write(text) // the client may have disconnected
}

// authenticate replaces the key of the request by its workspace and returns the status to
// refuse it with, or 200. Workspaces with a quota get a few requests in all.
func (v *variant) authenticate(r *http.Request) int {
	p := v.policy.Load()
	w, ok := p.WorkspaceOf(platform.Key(r.Header))
	switch {
	case !p.HasWorkspaces():
		return http.StatusOK
	case !ok && !strings.HasPrefix(r.RequestURI, publicPrefix) && !v.violates("key-missing"):
		return http.StatusUnauthorized
	case ok && w.HasQuota() && v.limited.Add(1) > quotaBurst && !v.violates("quota"):
		return http.StatusTooManyRequests
	case !ok:
		w = &route.Workspace{}
	}
	if !v.violates("workspace") {
		platform.SetWorkspace(r.Header, w.Name)
	}
	return http.StatusOK
}

// send sends a request to the server and copies the headers of the response to h.
func (v *variant) send(h http.Header, r *http.Request, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+v.settings.Server.Address+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header = r.Header.Clone()
	platform.SetCaller(req.Header, v.settings.Server.Service)
	res, err := v.server.RoundTrip(req)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	for name, values := range res.Header {
		h[name] = values
	}
	return res.StatusCode, text
}
