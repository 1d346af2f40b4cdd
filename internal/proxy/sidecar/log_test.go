package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/internal/standin/fleet"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/requestlog"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/sink"
)

// logBuffer collects the log of all nodes of a fleet.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends p to the log.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// linesAbout returns the log lines about a request, in order.
func (l *logBuffer) linesAbout(t *testing.T, id string) string {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	got, err := requestlog.Lines(id, strings.NewReader(l.text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(got, "\n")
}

// TestLogExplainsFailedRequests checks that the log lines with the ID of a failed
// request are enough to find the cause of the failure.
func TestLogExplainsFailedRequests(t *testing.T) {
	const slots = 1
	for name, c := range map[string]struct {
		prepare func(f *fleet.Fleet)
		request fleet.Request
		status  int
		want    []string // parts of the log lines
	}{
		"refused": {
			prepare: func(f *fleet.Fleet) {
				for i, vm := range f.VMs { // occupy every slot
					go f.Do(context.Background(), fleet.Request{VM: vm, Path: "/reads/long", ID: fmt.Sprint("long-", i)})
				}
				for f.VMs[0].Server.RunCount("long-0")+f.VMs[1].Server.RunCount("long-0") == 0 ||
					f.VMs[0].Server.RunCount("long-1")+f.VMs[1].Server.RunCount("long-1") == 0 {
					time.Sleep(time.Millisecond)
				}
			},
			request: fleet.Request{Path: "/short/1"},
			status:  http.StatusServiceUnavailable,
			want:    []string{"request-refused", "running=1", "slots=1", "request-ended", "kind=", "reached=0", "retry-after=0.", "status=503", "queue-full"},
		},
		"lost response": {
			prepare: func(f *fleet.Fleet) {
				for _, vm := range f.VMs {
					vm.Server.SetFaults(backend.Faults{LoseResponse: true})
				}
			},
			request: fleet.Request{Method: http.MethodPost, Path: "/orders/1", Body: "x"},
			status:  http.StatusBadGateway,
			want:    []string{"request-served", "instance=instance-", "reached=true", "status=0", "request-ended", "given-up=may-have-run", "kind=unknown", "reached=1", "status=502"},
		},
		"timed out": {
			prepare: func(*fleet.Fleet) {},
			request: fleet.Request{Path: "/short/2"},
			status:  http.StatusGatewayTimeout,
			want:    []string{"request-ended", "kind=timed-out", "reached=1", "status=504"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log logBuffer
			f := startFleet(t, fleet.Spec{
				Nodes: shopNodes(2), Slots: slots, WorkTime: 400 * time.Millisecond,
				Log: hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true}),
			})
			c.prepare(f)
			c.request.VM, c.request.ID = f.VMs[0], "asked"
			a := f.Do(context.Background(), c.request)
			is.NoErr(a.Err)
			is.Equal(a.Status, c.status)
			is.NoErr(fleet.Await("the log lines are written", func() bool {
				got := log.linesAbout(t, "asked")
				return strings.Contains(got, "request-ended") && strings.Contains(got, c.want[0])
			}))
			got := log.linesAbout(t, "asked")
			t.Log(got)
			for _, part := range c.want {
				if !strings.Contains(got, part) {
					t.Fatalf("%q lacks %q", got, part)
				}
			}
		})
	}
}

// TestBlockedLogDoesNotBlockRequests writes the log to a pipe that nobody reads and
// makes requests fail until the log's buffer is full and lines are dropped.
func TestBlockedLogDoesNotBlockRequests(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	out := sink.New(w, nil)
	defer out.Close()
	defer w.Close() // unblocks the pending write
	log := hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true})
	f := startFleet(t, fleet.Spec{Nodes: shopNodes(1), Slots: 4, Log: log})
	f.VMs[0].Server.SetFaults(backend.Faults{Fail: true})
	for i := 0; out.Dropped() == 0; i++ {
		a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Method: http.MethodPost, Path: "/orders/1", ID: fmt.Sprint("f-", i), Body: "x"})
		is.NoErr(a.Err)
		is.Equal(a.Status, http.StatusInternalServerError)
	}
	f.VMs[0].Server.SetFaults(backend.Faults{})
	a := f.Do(context.Background(), fleet.Request{VM: f.VMs[0], Path: "/reads/1", ID: "good"})
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusOK)
}
