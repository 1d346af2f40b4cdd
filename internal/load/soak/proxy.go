package soak

import (
	"io"
	"net"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	loopback         = "127.0.0.1:0"
	proxyBufferBytes = 16 << 10
	addedDelay       = 100 * time.Millisecond // added to each read while the fault is Delay
)

// proxy forwards TCP connections on loopback and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	fault   string        // current fault; "" for none
	changed chan struct{} // closed and replaced when fault changes
	conns   map[net.Conn]bool
	closed  bool
}

// newProxy starts a proxy that forwards connections to target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "listen for proxy to %s", target)
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault replaces the injected fault; "" removes it.
func (p *proxy) setFault(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
	if fault == Reset {
		p.resetAll()
	}
}

// resetAll resets all connections. The caller holds p.mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that the peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection may be closed already
	}
	c.Close()
}

// close stops the proxy, resets its connections and waits until they have ended.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		p.wg.Go(func() { p.forward(c) })
	}
}

// forward forwards a connection until both directions have ended.
func (p *proxy) forward(from net.Conn) {
	if !p.add(from) {
		return
	}
	defer p.remove(from)
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from) // the target does not accept connections
		return
	}
	if !p.add(to) {
		return
	}
	defer p.remove(to)
	var both sync.WaitGroup
	both.Go(func() { p.copyData(to, from, true) })
	both.Go(func() { p.copyData(from, to, false) })
	both.Wait()
}

// add registers a connection. If the proxy is closed or resets connections, add
// resets it and returns false.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

// copyData copies data in one direction. It forwards an end of file and closes the
// connection if a read or a write fails.
func (p *proxy) copyData(to, from net.Conn, toTarget bool) {
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.applyFault(toTarget) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the peer may have closed the connection first
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// applyFault blocks while the fault stops data in the given direction, or for
// addedDelay if the fault is Delay. It returns false if the proxy was closed.
func (p *proxy) applyFault(toTarget bool) bool {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case fault == Silence, fault == OneWay && toTarget:
			<-changed
		case fault == Delay:
			time.Sleep(addedDelay)
			return true
		default:
			return true
		}
	}
}
