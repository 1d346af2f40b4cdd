package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
)

const (
	slots            = 4
	queueLength      = 8
	workTime         = 30 * time.Millisecond // running time of a request at a server
	announceInterval = 500 * time.Millisecond
	serverLimit      = 3.0 // requests per second that a limited server accepts
	limitLength      = limitDelay + limitWindow
	maxStderrBytes   = 64 << 10 // bytes of standard error that are kept for each process
)

// node is one node of the fleet, with its backend server and the proxies through
// which its connections run.
type node struct {
	f               *fleet
	index           int
	service         string
	settingsFile    string // path of the settings file
	log             *os.File
	proxies         map[string]*proxy
	metricsAddress  string // address that serves metrics
	announceAddress string // address that accepts announcements

	mu           sync.Mutex
	process      *os.Process
	incarnation  *incarnation  // current process; nil while none runs
	ended        chan struct{} // closed when the current process has exited
	incarnations int           // number of processes started

	serverMu      sync.Mutex // held while the server is replaced
	server        *backend.Server
	serverAddress string
	instanceCount int // number of instance names given out
}

// newNode creates a node and starts its proxies, but neither its process nor its
// server.
func newNode(f *fleet, index int) (*node, error) {
	n := &node{f: f, index: index, service: service(index), proxies: map[string]*proxy{}}
	free, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	n.metricsAddress, n.announceAddress, n.serverAddress = free[3], free[4], free[5]
	for connection, target := range map[string]string{AtClients: free[0], AtPeers: free[1], AtServer: n.serverAddress, AtStore: f.storeAddress} {
		if n.proxies[connection], err = newProxy(target); err != nil {
			return nil, err
		}
	}
	if err := n.writeSettings(free[0], free[1], free[2]); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(f.cfg.Dir, fmt.Sprintf("node-%d.log", index)))
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "create log of node %d", index)
	}
	return n, nil
}

// writeSettings writes the settings file of the node, which will listen on the
// given addresses.
func (n *node) writeSettings(clients, peers, ready string) error {
	n.settingsFile = filepath.Join(n.f.cfg.Dir, fmt.Sprintf("node-%d.yaml", n.index))
	text := fmt.Sprintf(`node: node-%d
address: 127.0.0.1
data-centre: dc-%d
region: region
server: {service: %s, address: "%s"}
listen: {clients: "%s", peers: "%s", advertise: "%s", ready: "%s", announcements: "%s", metrics: "%s"}
store: {address: "%s"}
bounds: {drain-seconds: %g, grace-seconds: %g, repeat-ratio: %g, repeat-slack: %g}
memory-mb: %d
`, n.index, n.index%2, n.service, n.proxies[AtServer].address(), clients, peers, n.proxies[AtPeers].address(), ready, n.announceAddress, n.metricsAddress,
		n.proxies[AtStore].address(), drainBound.Seconds(), graceBound.Seconds(), repeatRatio, repeatSlack, maxMemoryMB)
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return gd.Unavailable.Wrapf(err, "write settings of node %d", n.index)
	}
	return nil
}

// service returns the service of the backend server beside a node.
func service(index int) string {
	if index%3 == 2 {
		return "stock"
	}
	return "shop"
}

// Range of the ports on which nodes and servers listen. It is below the kernel's
// range for outgoing connections, so no connection takes a port while its process
// restarts.
const (
	firstPort = 12_000
	portCount = 20_000
)

// nextPort is the port that was tried last, as an offset from firstPort modulo
// portCount.
var nextPort atomic.Int64

// hostOf returns the loopback address on which the nodes and servers of a soak listen, by its
// process ID. Soaks that run at the same time must not take each other's ports between the
// search for a free one and its use.
func hostOf(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 64 + byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
}

// freeAddresses returns loopback addresses with ports that are not in use.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range portCount {
		address := netip.AddrPortFrom(hostOf(os.Getpid()), uint16(firstPort+nextPort.Add(1)%portCount)).String()
		if !isFree(address) {
			continue
		}
		if list = append(list, address); len(list) == count {
			return list, nil
		}
	}
	return nil, gd.Unavailable.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}

// isFree reports whether the address can be listened on. No process is started meanwhile:
// until it executes its program, it would hold a copy of the listening socket, and the
// address would be in use.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// start starts the process of the node unless it is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != nil {
		return nil
	}
	cmd := exec.Command(n.f.cfg.Program, "sidecar", "--settings", n.settingsFile)
	cmd.Env = append(os.Environ(), n.f.cfg.Env...)
	stderr := &headBuffer{}
	cmd.Stdout, cmd.Stderr = n.log, stderr
	inc := &incarnation{node: n.index, number: n.incarnations, started: n.f.now()}
	if err := cmd.Start(); err != nil {
		return gd.Unavailable.Wrapf(err, "start node %d", n.index)
	}
	n.incarnations++
	ended := make(chan struct{})
	n.process, n.incarnation, n.ended = cmd.Process, inc, ended
	add(n.f.record, &n.f.record.incarnations, inc)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		inc.ended, inc.exit, inc.stderr = n.f.now(), err, stderr.String()
		n.process, n.incarnation = nil, nil
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if one is running and records it. The
// returned channel is closed when the process has exited.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	switch sig {
	case syscall.SIGTERM:
		if n.incarnation.signaled == 0 {
			n.incarnation.signaled = n.f.now()
		}
	case syscall.SIGKILL:
		n.incarnation.killed = n.f.now()
	}
	_ = n.process.Signal(sig) // the process may have exited
	return n.ended
}

// stop stops the process with SIGTERM, or with SIGKILL if it is still running after
// graceBound.
func (n *node) stop() {
	ended := n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceBound):
		<-n.signal(syscall.SIGKILL)
	}
}

// pid returns the process ID and the number of the current process. The ID is 0 if
// none is running.
func (n *node) pid() (id, incarnation int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == nil {
		return 0, 0
	}
	return n.process.Pid, n.incarnation.number
}

// startServer starts a backend server with the given instance name at the node's
// server address.
func (n *node) startServer(instance string) error {
	l, err := net.Listen("tcp", n.serverAddress)
	if err != nil {
		return gd.Unavailable.Wrapf(err, "listen for server of node %d", n.index)
	}
	s := &backend.Server{
		Service: n.service, Instance: instance, Slots: slots, Queue: queueLength, WorkTime: workTime,
		AnnounceInterval: announceInterval, NodeAddress: n.announceAddress, Advertised: n.proxies[AtServer].address(),
	}
	s.StartOn(l)
	n.server = s
	add(n.f.record, &n.f.record.servers, s)
	return nil
}

// nextInstance returns an unused instance name for a server.
func (n *node) nextInstance() string {
	n.instanceCount++
	return fmt.Sprintf("instance-%d-%d", n.index, n.instanceCount)
}

// close stops the server and the proxies. The process must have exited.
func (n *node) close() {
	n.serverMu.Lock()
	defer n.serverMu.Unlock()
	if n.server != nil {
		n.server.Crash()
	}
	for _, p := range n.proxies {
		p.close()
	}
	n.log.Close() // the process has exited and writes no more
}

// headBuffer is a writer that keeps the first maxStderrBytes bytes.
type headBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends as much of p as there is room for and discards the rest.
func (b *headBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.Write(p[:min(len(p), maxStderrBytes-min(b.buf.Len(), maxStderrBytes))])
	return len(p), nil
}

// String returns the text that was kept, without surrounding white space.
func (b *headBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.TrimSpace(b.buf.String())
}
