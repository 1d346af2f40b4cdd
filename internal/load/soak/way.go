package soak

import (
	"io"
	"net"
	"sync"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	loopback   = "127.0.0.1:0"
	wayBuffer  = 16 << 10
	delayAdded = 100 * time.Millisecond // to each piece that passes a way that delays
)

// way is a proxy on loopback that connections pass, and that makes them fail.
type way struct {
	listener net.Listener
	target   string
	done     sync.WaitGroup

	mu      sync.Mutex
	how     string        // "" while all passes
	changed chan struct{} // closed and replaced when how changes
	conns   map[net.Conn]bool
	closed  bool
}

// newWay returns a way to target.
func newWay(target string) (*way, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, gd.Unavailable.Wrapf(err, "way to %s", target)
	}
	w := &way{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	w.done.Go(w.accept)
	return w, nil
}

func (w *way) address() string { return w.listener.Addr().String() }

// set has connections fail as how says from now on.
func (w *way) set(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.how = how
	close(w.changed)
	w.changed = make(chan struct{})
	if how == Reset {
		w.resetAll()
	}
}

// resetAll resets all connections. The caller holds w.mu.
func (w *way) resetAll() {
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the connection may be closed already
		}
		c.Close()
	}
}

// close ends the way and waits for its connections.
func (w *way) close() {
	w.listener.Close()
	w.mu.Lock()
	w.closed = true
	w.resetAll()
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.done.Wait()
}

func (w *way) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return // closed
		}
		w.done.Go(func() { w.carry(c) })
	}
}

// carry passes a connection on until both directions have ended.
func (w *way) carry(from net.Conn) {
	if !w.add(from) {
		return
	}
	defer w.remove(from)
	to, err := net.Dial("tcp", w.target)
	if err != nil {
		if t, ok := from.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // what listens behind the way is gone
		}
		return
	}
	if !w.add(to) {
		return
	}
	defer w.remove(to)
	var both sync.WaitGroup
	both.Go(func() { w.pass(to, from, true) })
	both.Go(func() { w.pass(from, to, false) })
	both.Wait()
}

// add registers a connection, or resets it where the way refuses it.
func (w *way) add(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.how == Reset {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // it is closed either way
		}
		c.Close()
		return false
	}
	w.conns[c] = true
	return true
}

func (w *way) remove(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
	c.Close()
}

// pass copies one direction. Where it ends, the end is passed on; where it
// breaks, both directions are cut.
func (w *way) pass(to, from net.Conn, towards bool) {
	buf := make([]byte, wayBuffer)
	for {
		n, err := from.Read(buf)
		if !w.await(towards) {
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
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // it is closed either way
			}
			to.Close()
			return
		}
	}
}

// await waits while nothing passes in the direction. It reports false if the
// way was closed.
func (w *way) await(towards bool) bool {
	for {
		w.mu.Lock()
		how, changed, closed := w.how, w.changed, w.closed
		w.mu.Unlock()
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
