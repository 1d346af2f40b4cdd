package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/table"
)

// TestCallIsSentOnAGrantThatAPauseOutlasted pauses the process while a call that has a slot
// waits for its claim.
func TestCallIsSentOnAGrantThatAPauseOutlasted(t *testing.T) {
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	valid := announcement{Service: "shop", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1, Started: 1}
	other, draining := valid, valid
	other.Service, other.Started = "stock", 2
	draining.Draining = true
	for name, c := range map[string]struct {
		pause time.Duration
		next  *announcement
		want  gd.Kind
	}{
		"past the deadline":                          {time.Second, &valid, gd.DeadlineUnreachable},
		"server that drains":                         {time.Millisecond, &draining, gd.Draining},
		"server of another service at the address":   {announceTTL, &other, gd.Draining},
		"server that has not announced itself since": {announceTTL, nil, gd.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Fake{}
			n := &Node{name: "own", log: hclog.NewNullLogger(), cfg: Config{Store: object.NewMemory(), Clock: clk, ClaimWritesPerSecond: 1}}
			n.snapshot.Store(&snapshot{})
			s := newScheduler(n)
			defer s.close()
			is.NoErr(s.announce(valid))
			req := httptest.NewRequest(http.MethodGet, "/order", nil)
			content, err := newBody(req)
			is.NoErr(err)
			deadline := 2 * announceTTL
			if c.want == gd.DeadlineUnreachable {
				deadline = c.pause
			}
			claimed, result := make(chan error), make(chan error, 1)
			before := runs.Load()
			go func() {
				res, err := s.doAdmitted(context.Background(), &call{caller: "app", service: "shop", deadline: deadline, request: req, body: content}, &table.Row{Weight: 1, QueueLimit: 1}, claimed)
				if err == nil {
					err = res.Body.Close()
				}
				result <- err
			}()
			for len(result) == 0 && s.load().Running == 0 {
				time.Sleep(time.Millisecond)
			}
			clk.Advance(c.pause)
			if c.next != nil {
				is.NoErr(s.announce(*c.next))
			}
			claimed <- nil
			is.Equal(gd.KindOf(<-result), c.want)
			is.Equal(runs.Load(), before)
			is.Equal(s.load().Running, 0)
		})
	}
}
