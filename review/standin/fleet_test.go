package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, from its settings.
const (
	drainBound   = 2 * time.Second
	applyBound   = 2 * time.Second
	graceBound   = 6 * time.Second
	stableWindow = 3 * time.Second
	idleTimeout  = 15
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

// log writes a line with the time since the start in seconds.
func (r *record) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *record) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// machine is a node and the server beside it.
type machine struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	service  string
	settings string
	cmd      *exec.Cmd
	server   *server
	exited   chan struct{}
	started  time.Time
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	rec       *record
	dir       string
	program   string
	network   string // first three bytes of all addresses
	nextHost  int
	store     *store
	all       []*machine
	linkMbps  float64
	headBytes int // maxHeaderBytes of the configuration
}

// newFleet starts the store. All addresses are of a free loopback network.
func newFleet(rec *record, program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, program: program, nextHost: 10, linkMbps: 1000, headBytes: 16384}
	for range 20 {
		f.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if f.store, err = newStore(f.network + ".2:8142"); err == nil {
			return f, nil
		}
	}
	return nil, err
}

// add adds a machine with a server of the service. Call start and serve.
func (f *fleet) add(name, zone, service string) *machine {
	m := &machine{fleet: f, name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", f.network, f.nextHost)}
	f.nextHost++
	m.settings = filepath.Join(f.dir, name+".yaml")
	f.all = append(f.all, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// Ports of every machine.
const (
	portReady = 8140 + iota
	portClients
	portPeers
	portControl
	portServer
	portMetrics = 9464
)

// writeSettings writes the settings file as the deploy file's template gives it.
func (m *machine) writeSettings() error {
	text := fmt.Sprintf(`node: %q
address: %q
data-centre: %q
region: "region"
regions: {"a":"region","b":"region","c":"region"}
server:
  service: %q
  address: %q
listen:
  clients: %q
  peers: %q
  ready: %q
  announcements: %q
  metrics: "%s:9464"
store:
  address: %q
  writes-per-second: 400
  reads-per-second: 2000
  history-seconds: 20
bounds:
  drain-seconds: %g
  grace-seconds: %g
  repeat-ratio: 0.2
  repeat-window-seconds: 10
  repeat-slack: 56
memory-mb: 284
link-mbps: %g
`, m.name, m.ip, m.zone, m.service, m.address(portServer), m.address(portClients), m.address(portPeers), m.address(portReady),
		m.address(portControl), m.ip, m.fleet.store.address(), drainBound.Seconds(), graceBound.Seconds(), m.fleet.linkMbps)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the node's process.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(m.fleet.program)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMDOCK_SETTINGS=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.started = time.Now()
	m.fleet.rec.log("node %s starts", m.name)
	exited := make(chan struct{})
	m.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = out.Close()
		m.fleet.rec.log("node %s has ended: %s", m.name, cmd.ProcessState)
		close(exited)
	}(m.cmd)
	return nil
}

// serve starts the machine's server.
func (m *machine) serve(instance string, work time.Duration) (err error) {
	m.server, err = startServer(m.fleet.rec, m.address(portServer), m.address(portControl), m.service, m.zone, instance, work)
	if err == nil {
		m.fleet.rec.log("server %s of %s starts beside node %s", instance, m.service, m.name)
	}
	return err
}

// signal sends a signal to the node's process.
func (m *machine) signal(sig syscall.Signal) {
	m.fleet.rec.log("node %s gets %s", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// kill ends the node's process and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// hasEnded reports whether the node's process has ended within d.
func (m *machine) hasEnded(d time.Duration) bool {
	select {
	case <-m.exited:
		return true
	case <-time.After(d):
		return false
	}
}

// isReady asks the node whether it is ready, as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + m.address(portReady) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(machines ...*machine) error {
	for _, m := range machines {
		end := time.Now().Add(10 * time.Second)
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready after 10 s", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and servers, and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.all {
		m.kill()
		if m.server != nil {
			m.server.end()
		}
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service string
	timeout               float64
}

// configure writes a version of the configuration to the store and returns the time of
// the store's acknowledgement.
func (f *fleet) configure(version int, services []string, routes ...route) time.Time {
	var resources []any
	for i, r := range routes {
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": fmt.Sprintf("r-%d", i)}, "spec": map[string]any{
			"host": "shop.example", "pathPrefix": r.prefix, "routeType": r.kind, "timeoutS": r.timeout, "targetLatencyS": 0.6, "priority": 1, "service": r.service, "maxAttempts": 2,
		}})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{"healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": f.headBytes, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": idleTimeout,
	}})
	spec, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		panic(err)
	}
	f.store.operate(spec)
	at := time.Now()
	f.rec.logAt(at, "the store acknowledges version r%d: %+v", version, routes)
	return at
}

// answer is what a client got.
type answer struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int // 0 if the connection ended without a complete answer
	seal     string
	body     string
	retry    string
	leaving  bool
	read     bool // the request was written whole
	err      error
	instance string
}

var (
	idMu   sync.Mutex
	lastID int
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("q%06d", lastID)
}

// send sends a request to the machine's node on a new connection and waits for the answer.
func (m *machine) send(method, path, body string, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	defer func() {
		text := "connection ended without a complete answer"
		if a.status != 0 {
			text = fmt.Sprintf("status %d, seal %q, body %q", a.status, a.seal, strings.TrimSpace(a.body))
		} else if a.err != nil {
			text += ": " + a.err.Error()
		}
		m.fleet.rec.logAt(a.sent, "request %s %s %s is sent to node %s; after %.3f s: %s", a.id, method, path, m.name, a.ended.Sub(a.sent).Seconds(), text)
	}()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	req, err := http.NewRequest(method, "http://"+m.address(portClients)+path, strings.NewReader(body))
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Transport: transport, Timeout: deadline + 500*time.Millisecond}
	res, err := client.Do(req)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	a.ended = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.seal, a.body, a.retry = res.StatusCode, res.Header.Get("X-Server-Seal"), string(data), res.Header.Get("Retry-After")
	a.leaving = res.Header.Get("Server-Leaving") == "1"
	return a
}

var errCannotRun = errors.New("the case could not run")
