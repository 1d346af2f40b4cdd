// Package clock provides the time type and the clocks of the project. Time is in
// milliseconds since the Unix epoch, read from the system or set by a test.
package clock

import (
	"sync"
	"time"
)

// Time is an instant in milliseconds since the Unix epoch.
type Time int64

// Add returns t+d. It truncates d to whole milliseconds.
func (t Time) Add(d time.Duration) Time { return t + Time(d/time.Millisecond) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t-u) * time.Millisecond }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Std returns t as a time.Time in UTC.
func (t Time) Std() time.Time { return time.UnixMilli(int64(t)).UTC() }

// String returns t in RFC 3339 format with milliseconds.
func (t Time) String() string { return t.Std().Format("2006-01-02T15:04:05.000Z07:00") }

// processStart is the reference point of the monotonic readings of System.
var processStart = time.Now()

// System is the clock of the operating system. The zero value is ready to use.
type System struct{}

// Now returns the current instant.
func (System) Now() Time { return Time(time.Now().UnixMilli()) }

// Monotonic returns the time since the process started. It never decreases.
func (System) Monotonic() time.Duration { return time.Since(processStart) }

// Fake is a clock for tests. It moves only when Advance is called, and its zero value
// starts at 0.
type Fake struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the clock's current instant.
func (f *Fake) Now() Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Time(f.now / time.Millisecond)
}

// Monotonic returns the total duration by which the clock was advanced.
func (f *Fake) Monotonic() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// Deadline returns the instant d from now as a time.Time, for the deadlines of
// connections.
func Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// Since returns the time elapsed since t, which Deadline returned.
func Since(t time.Time) time.Duration { return time.Since(t) }
