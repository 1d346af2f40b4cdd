// Package hostile tests that the processes of a fleet outlast clients that send
// many bodies and do not finish them. Its tests measure the memory of processes, so
// they must not run beside other load.
package hostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/platform"
)

const (
	memoryMB = 64 // of each process, by its settings
	// maxMemoryKB bounds the peak resident memory of a process.
	maxMemoryKB = memoryMB << 10
	// maxOwnDescriptors bounds the descriptors of a process beside those of the clients.
	maxOwnDescriptors = 64
	// routeTimeout, which hostile clients also state as their deadline, is longer than a test
	// waits for an ordinary response.
	routeTimeout  = 90 * time.Second
	maxWait       = 30 * time.Second
	retryInterval = 200 * time.Millisecond
	host          = "shop.example"
	slots         = 4
)

// process is a running sidecar.
type process struct {
	cmd     *exec.Cmd
	output  bytes.Buffer
	clients string // address for clients
	ended   chan error
}

// fleet is two nodes: a server of service near beside the first, and one of service far
// beside the second.
type fleet struct{ nodes []*process }

// startFleet starts the processes of program with a policy whose limit of bodies is bodyBytes.
// If maxFiles is above 0, it limits the descriptors of each.
func startFleet(t *testing.T, program string, bodyBytes int64, maxFiles int) *fleet {
	t.Helper()
	is := is.New(t)
	store := catalogue.New(0, 0, 1)
	storeServer := httptest.NewServer(platform.NewStoreHandler(store))
	t.Cleanup(storeServer.Close)
	services := []string{"near", "far"}
	var routes []route.Route
	for _, s := range services {
		routes = append(routes, route.Route{Name: s, Host: host, Prefix: "/" + s + "/", Attempts: 1, Timeout: routeTimeout, Backends: []route.Backend{{Service: s, Weight: 1}}})
	}
	limits := route.Limits{HeaderBytes: 16 << 10, BodyBytes: bodyBytes, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	policy, err := platform.EncodePolicy(1, limits, services, routes)
	is.NoErr(err)
	_, err = store.Put(context.Background(), "operator", platform.ConfigKind, platform.ConfigName, policy, nil, 0, true)
	is.NoErr(err)
	f := &fleet{}
	for i, service := range services {
		f.nodes = append(f.nodes, startNode(t, program, strings.TrimPrefix(storeServer.URL, "http://"), service, i, maxFiles))
	}
	for _, s := range services {
		f.checkServes(t, s)
	}
	return f
}

func startNode(t *testing.T, program, storeAddress, service string, index, maxFiles int) *process {
	t.Helper()
	is := is.New(t)
	addresses := freeAddresses(t, 5)
	server := &backend.Server{Service: service, Instance: service + "-1", Slots: slots, Queue: slots, WorkTime: 5 * time.Millisecond, AnnounceInterval: 500 * time.Millisecond, NodeAddress: addresses[3]}
	is.NoErr(server.Start())
	t.Cleanup(server.Crash)
	file := filepath.Join(t.TempDir(), "sidecar.yaml")
	text := fmt.Sprintf(`node: node-%d
address: 127.0.0.1
data-centre: dc
region: region
server: {service: %s, address: "%s"}
listen: {clients: "%s", peers: "%s", ready: "%s", announcements: "%s", metrics: "%s"}
store: {address: "%s"}
memory-mb: %d
`, index, service, server.Address(), addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], storeAddress, memoryMB)
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	p := &process{clients: addresses[0], ended: make(chan error, 1), cmd: exec.Command(program, "--settings", file)}
	if maxFiles > 0 {
		p.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(maxFiles), program, "--settings", file)
	}
	p.cmd.Stderr = &p.output
	is.NoErr(p.cmd.Start())
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
	})
	return p
}

// nextPort is the port that was tried last. The ports are below the kernel's range for outgoing
// connections, and the address is that of this test process alone, so no other process takes
// a port between the search for a free one and its use.
var nextPort = uint16(12_000)

// freeAddresses returns loopback addresses with ports that are not in use.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, 128 + byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
	var list []string
	for len(list) < count {
		nextPort++
		address := netip.AddrPortFrom(ip, nextPort).String()
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use
		}
		l.Close()
		list = append(list, address)
	}
	return list
}

// checkServes sends ordinary requests for the service to the first node, each after the
// refusal of the one before, and fails the test if none is served within maxWait.
func (f *fleet) checkServes(t *testing.T, service string) {
	t.Helper()
	client := &http.Client{Timeout: maxWait, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "none was sent"
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(retryInterval) {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].clients+"/"+service+"/1", strings.NewReader(strings.Repeat("b", 4<<10)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		platform.SetRequestID(req.Header, fmt.Sprint("ordinary-", end.UnixNano(), time.Now().UnixNano()))
		res, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		res.Body.Close()
		if last = res.Status; res.StatusCode == http.StatusOK {
			return
		}
	}
	t.Errorf("no ordinary request for service %s was served within %s; the last: %s", service, maxWait, last)
}

// checkProcesses checks that all processes run, with bounded memory and descriptors.
func (f *fleet) checkProcesses(t *testing.T, clients int) {
	t.Helper()
	for i, p := range f.nodes {
		select {
		case err := <-p.ended:
			p.ended <- err
			t.Errorf("node-%d ended: %v: %s", i, err, p.output.String()[:min(p.output.Len(), 2000)])
			continue
		default:
		}
		peak, descriptors := p.peakMemoryKB(t), p.descriptors(t)
		t.Logf("node-%d: peak memory %d KB (bound %d), %d descriptors (bound %d)", i, peak, maxMemoryKB, descriptors, clients+maxOwnDescriptors)
		if peak > maxMemoryKB {
			t.Errorf("node-%d: the peak memory of %d KB exceeds the bound by %d KB", i, peak, peak-maxMemoryKB)
		}
		if descriptors > clients+maxOwnDescriptors {
			t.Errorf("node-%d: %d descriptors", i, descriptors)
		}
	}
}

// peakMemoryKB returns the peak resident memory of the process.
func (p *process) peakMemoryKB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			n, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}
