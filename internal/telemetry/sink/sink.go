// Package sink writes log lines to a file without ever holding up the
// goroutines that log: what does not fit into its buffer is dropped and counted.
package sink

import (
	"io"
	"sync"
	"time"
)

const (
	bufferBytes = 256 << 10              // lines that wait to be written
	flushEvery  = 200 * time.Millisecond // so that a line does not cost a write of its own
)

// Writer is a buffered io.Writer that does not block. Use New.
type Writer struct {
	to     io.Writer
	report func(dropped uint64) // told of lines dropped since the last report

	mu      sync.Mutex
	buf     []byte
	dropped uint64
	total   uint64
	failed  uint64

	stop chan struct{}
	done chan struct{}
}

// New returns a writer to the given file. Close ends it.
func New(to io.Writer, report func(dropped uint64)) *Writer {
	w := &Writer{to: to, report: report, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write keeps a line or drops it. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(p) > bufferBytes {
		w.dropped++
		w.total++
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	return len(p), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	var spare []byte
	for {
		last := false
		select {
		case <-tick.C:
		case <-w.stop:
			last = true
		}
		spare = w.flush(spare)
		if last {
			return
		}
	}
}

// flush writes what is kept and returns the buffer that is free then.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	out, dropped := w.buf, w.dropped
	w.buf, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if len(out) > 0 {
		if _, err := w.to.Write(out); err != nil {
			w.mu.Lock()
			w.failed++ // nowhere is left to tell of it
			w.mu.Unlock()
		}
	}
	if dropped > 0 && w.report != nil {
		w.report(dropped)
	}
	return out
}

// closeWait bounds the wait for a file that nobody reads.
const closeWait = time.Second

// Close writes what is kept, waiting a second at most.
func (w *Writer) Close() {
	close(w.stop)
	t := time.NewTimer(closeWait)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
