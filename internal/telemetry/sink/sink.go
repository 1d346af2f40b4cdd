// Package sink writes log lines without blocking the goroutines that log. Lines
// that do not fit into the buffer are dropped and counted.
package sink

import (
	"io"
	"sync"
	"time"
)

const (
	bufferBytes   = 256 << 10              // log lines waiting to be written
	flushInterval = 200 * time.Millisecond // batches lines into few writes
)

// Writer is a buffered io.Writer that does not block. Use New to create one.
type Writer struct {
	dst    io.Writer
	report func(dropped uint64) // called with the number of lines dropped since the last report

	mu           sync.Mutex
	buf          []byte
	dropped      uint64 // since the last report
	totalDropped uint64
	writeErrors  uint64

	stop chan struct{}
	done chan struct{}
}

// New returns a Writer that writes to dst and starts its goroutine. If report is
// not nil, it is called with the number of lines dropped since the last report.
// Close stops the goroutine.
func New(dst io.Writer, report func(dropped uint64)) *Writer {
	w := &Writer{dst: dst, report: report, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write appends a line to the buffer, or drops it if the buffer is full. The
// returned error is always nil.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(p) > bufferBytes {
		w.dropped++
		w.totalDropped++
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	return len(p), nil
}

// Dropped returns the number of lines dropped since New.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		last := false
		select {
		case <-ticker.C:
		case <-w.stop:
			last = true
		}
		spare = w.flush(spare)
		if last {
			return
		}
	}
}

// flush makes spare the buffer for new lines and writes the buffered lines. It
// returns their buffer for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	out, dropped := w.buf, w.dropped
	w.buf, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if len(out) > 0 {
		if _, err := w.dst.Write(out); err != nil {
			w.mu.Lock()
			w.writeErrors++ // the error cannot be logged, since this is the log
			w.mu.Unlock()
		}
	}
	if dropped > 0 && w.report != nil {
		w.report(dropped)
	}
	return out
}

// closeTimeout limits how long Close waits for the last write, which blocks if
// the output is a pipe that nobody reads.
const closeTimeout = time.Second

// Close writes the buffered lines and stops the Writer. It waits for the write
// for closeTimeout at most.
func (w *Writer) Close() {
	close(w.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
