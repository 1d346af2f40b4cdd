package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/platform"
)

// spec describes a deployment: one machine for each element of services, which names the
// service of the backend server beside the node.
type spec struct {
	services []string
	routes   []routeSpec
	slots    int
	bounds   map[string]string // of the site that the case names, as far as the settings template uses them
	later    map[int]bool      // machines whose servers start later
	added    []routeSpec       // routes that the second version of the configuration adds
}

type routeSpec struct {
	name, prefix, kind, service string
	timeoutS                    float64
	maxAttempts                 int
}

const (
	host         = "case.example"
	heartbeat    = 1500 * time.Millisecond
	startTimeout = 10 * time.Second
)

// fleet is a deployment on loopback addresses: nodes as processes, backend servers and the
// platform's store as stand-ins in this process.
type fleet struct {
	spec    spec
	rec     *record
	dir     string
	store   *catalogue.Catalogue
	storeAt string
	http    *http.Server
	nodes   []*node
}

// node is one machine: the process of the node and the backend server beside it.
type node struct {
	f                                 *fleet
	name, ip, zone                    string
	outbound, inbound, ready, control string
	settings                          string
	cmd                               *exec.Cmd
	exited                            chan error
	server                            *server
	service                           string
}

// startFleet starts a deployment and waits until all nodes are ready. The caller closes it, also if
// there is an error.
func startFleet(s spec, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{spec: s, rec: rec, dir: dir, store: catalogue.New(2000, 400, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = l.Addr().String()
	f.http = &http.Server{Handler: platform.NewStoreHandler(f.store)}
	go f.http.Serve(l)
	if err := f.writeConfig(1, s.routes); err != nil {
		return f, err
	}
	ports := make([]int, 5)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		ports[i] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	network := fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250)
	for i, service := range s.services {
		ip := fmt.Sprintf("%s.%d", network, i+1)
		at := func(k int) string { return fmt.Sprintf("%s:%d", ip, ports[k]) }
		n := &node{
			f: f, name: fmt.Sprintf("sidecar-%d", i+1), ip: ip, zone: "zone-a", service: service,
			outbound: at(0), inbound: at(1), ready: at(2), control: at(3),
		}
		n.server = newServer(n, service, at(4), s.slots)
		n.settings = filepath.Join(dir, n.name+".yaml")
		if err := n.writeSettings(); err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return f, err
		}
	}
	for i, n := range f.nodes {
		if !s.later[i] {
			if err := n.server.start(); err != nil {
				return f, err
			}
		}
	}
	return f, f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// applyTime is longer than applyS of the sites (2 and 2.5 s).
const applyTime = 3 * time.Second

// addRoutes writes the second version of the configuration, which has the added routes too, and
// waits until it must be in force.
func (f *fleet) addRoutes() error {
	f.rec.say("the operator adds routes")
	if err := f.writeConfig(2, append(slices.Clone(f.spec.routes), f.spec.added...)); err != nil {
		return err
	}
	time.Sleep(applyTime)
	return nil
}

// writeConfig writes a version of the operator's configuration.
func (f *fleet) writeConfig(version int, routes []routeSpec) error {
	var resources []any
	services := map[string]bool{}
	for _, s := range f.spec.services {
		services[s] = true
	}
	for _, r := range routes {
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": host, "pathPrefix": r.prefix, "routeType": r.kind, "service": r.service,
			"timeoutS": r.timeoutS, "targetLatencyS": r.timeoutS / 2, "priority": 1, "maxAttempts": r.maxAttempts,
		}})
	}
	for s := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{"healthPath": "/healthz"}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{"name": "limits"}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 8 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10,
	}})
	data, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		return err
	}
	_, err = f.store.Put(context.Background(), "operator", "config", "main", data, nil, 0, true)
	return err
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (n *node) writeSettings() error {
	text, err := os.ReadFile("deploy/sidecar.yaml.template")
	if err != nil {
		return err
	}
	values := map[string]any{
		"nodeName": n.name, "ip": n.ip, "zone": n.zone, "zones": map[string]string{"zone-a": "region-1"}, "region": "region-1",
		"service": n.service, "appAddr": n.server.address, "heartbeatS": heartbeat.Seconds(),
		"listen.outbound": n.outbound, "listen.inbound": n.inbound, "listen.readyAddr": n.ready, "listen.control": n.control,
		"provider.address": n.f.storeAt, "provider.writesPerS": 400, "provider.readsPerS": 2000, "provider.historyS": 20,
		"limits.memoryMb": 284, "limits.linkMbps": 1000.0,
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		if v, ok := strings.CutPrefix(m[1], "bounds."); ok {
			return n.f.spec.bounds[v]
		}
		v, ok := values[m[1]]
		if !ok {
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		data, _ := json.Marshal(v)
		return string(data)
	})
	return os.WriteFile(n.settings, []byte(filled), 0o600)
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/sidecar")
	n.cmd.Env = []string{"GERANIUMDOCK_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan error) { exited <- c.Wait() }(n.cmd, n.exited)
	n.f.rec.line("start %s pid %d", n.name, n.cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.f.rec.line("signal %s %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) awaitReady() error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := c.Get("http://" + n.ready + "/api/readyz")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			select {
			case <-n.exited:
			case <-time.After(5 * time.Second):
			}
		}
		n.server.crash()
	}
	f.http.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
