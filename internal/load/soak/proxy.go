package soak

import (
	"io"
	"net"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	loopback    = "127.0.0.1:0"
	proxyBuffer = 16 << 10
	delayAdded  = 100 * time.Millisecond // to each piece that passes a proxy that delays
)

// proxy passes on connections on loopback, and makes them fail.
type proxy struct {
	listener net.Listener
	target   string
	done     sync.WaitGroup

	mu      sync.Mutex
	how     string        // "" while all passes
	changed chan struct{} // closed and replaced when how changes
	conns   map[net.Conn]bool
	closed  bool
}

// newProxy returns a proxy before target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "proxy before %s", target)
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set has connections fail as how says from now on.
func (p *proxy) set(how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.how = how
	close(p.changed)
	p.changed = make(chan struct{})
	if how == Reset {
		p.resetAll()
	}
}

// resetAll resets all connections. The caller holds p.mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection may be closed already
	}
	c.Close()
}

// close ends the proxy and waits for its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.done.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.done.Go(func() { p.carry(c) })
	}
}

// carry passes a connection on until both directions have ended.
func (p *proxy) carry(from net.Conn) {
	if !p.add(from) {
		return
	}
	defer p.remove(from)
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from) // what listens behind the proxy is gone
		return
	}
	if !p.add(to) {
		return
	}
	defer p.remove(to)
	var both sync.WaitGroup
	both.Go(func() { p.pass(to, from, true) })
	both.Go(func() { p.pass(from, to, false) })
	both.Wait()
}

// add registers a connection, or resets it where the proxy refuses it.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.how == Reset {
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

// pass copies one direction. Where it ends, the end is passed on; where it
// breaks, both directions are cut.
func (p *proxy) pass(to, from net.Conn, towards bool) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if !p.await(towards) {
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
				_ = t.CloseWrite() // the other side may have ended first
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// await waits while nothing passes in the direction. It reports false if the
// proxy was closed.
func (p *proxy) await(towards bool) bool {
	for {
		p.mu.Lock()
		how, changed, closed := p.how, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case how == Silence, how == OneWay && towards:
			<-changed
		case how == Delay:
			time.Sleep(delayAdded)
			return true
		default:
			return true
		}
	}
}
