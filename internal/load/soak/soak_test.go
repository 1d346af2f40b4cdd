package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
	"github.com/geraniumdock/geraniumdock/platform"
)

// TestMain runs the tests, or a variant of the program if variantEnv is set. The
// tests set it and start their own executable for each node.
func TestMain(m *testing.M) {
	if v := os.Getenv(variantEnv); v != "" {
		runVariant(v, os.Args[len(os.Args)-1])
		return
	}
	os.Exit(m.Run())
}

func config(t *testing.T, variant string) Config {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Program: program, Env: []string{variantEnv + "=" + variant}, Dir: t.TempDir(), TimedChecks: true,
		Progress: func(line string) { t.Log(line) },
	}
}

// TestChecksFindBrokenVariants runs short schedules with variants of a node that
// each violate one guarantee. The check of that guarantee must report a finding.
func TestChecksFindBrokenVariants(t *testing.T) {
	rotation := []Event{{At: 100 * time.Millisecond, Kind: Policy}, {At: 200 * time.Millisecond, Kind: Policy}}
	term := []Event{{At: 300 * time.Millisecond, Kind: Term, For: 100 * time.Millisecond}}
	for check, events := range map[string][]Event{
		"runs-twice":      nil,
		"refused-yet-ran": nil,
		"wrong-answer":    nil,
		"not-asked":       nil,
		"version-back":    nil,
		"lost-at-stop":    term,
		"repeats":         nil,
		"resources":       nil,
		"process-end":     nil,
		"policy-missed":   {{At: 500 * time.Millisecond, Kind: Policy}},
		"drain-bound":     {{At: quietPeriod + 500*time.Millisecond, Kind: ServerDrain, For: 100 * time.Millisecond}},
		"server-limit":    {{Kind: ServerLimit}},
		"server-leave":    {{Kind: ServerLeave}},
		"apply-bound":     {{At: quietPeriod, Kind: Policy}},
		"key-missing":     nil,
		"workspace":       nil,
		"key-withdrawn":   rotation,
		"key-bound":       rotation,
		"quota":           nil,
		"grace-bound":     term,
		"recovery":        {{At: 300 * time.Millisecond, Kind: Kill, For: 100 * time.Millisecond}},
	} {
		t.Run(check, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := Schedule{Seed: 1, Nodes: 1, Length: time.Second, Events: events}
			for _, e := range events {
				s.Length = max(s.Length, e.At+time.Second)
			}
			switch check {
			case "apply-bound":
				s.Length = quietPeriod + applyBound + time.Second
			case "key-missing", "workspace", "key-withdrawn", "key-bound":
				s.Workspaces, s.Length = true, quietPeriod+keyBound
			case "quota":
				s.Workspaces, s.Nodes, s.Length = true, 3, quotaWindow
			case "server-limit":
				s.Length = limitLength
			case "server-leave":
				s.Length = drainBound + serverLinger
			}
			lengths := []time.Duration{s.Length}
			if check == "repeats" {
				lengths = []time.Duration{5 * time.Second, 20 * time.Second, time.Minute} // until the requests exceed the slack
			}
			is.True(slices.ContainsFunc(lengths, func(length time.Duration) bool {
				s.Length = length
				r, err := Run(context.Background(), config(t, check), s)
				is.NoErr(err)
				return slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Check == check })
			}))
		})
	}
}

// TestLeftOverProcessIsFound checks that a process that did not exit is a finding.
func TestLeftOverProcessIsFound(t *testing.T) {
	is := is.New(t)
	found := check(&record{leftOver: []int{7}}, false)
	is.Equal(found, []Finding{{"left-over", "process 7 did not exit"}})
}

// TestResponseCountsForTheServerThatRanARepeatFirst plays a server whose response is cut off,
// and another one which runs the repeat and states that it leaves. Only the second must get
// no more requests.
func TestResponseCountsForTheServerThatRanARepeatFirst(t *testing.T) {
	is := is.New(t)
	cut, leaving := startServer(t, "cut"), startServer(t, "leaving")
	run := func(s *backend.Server, id string) {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/", nil)
		is.NoErr(err)
		platform.SetRequestID(req.Header, id)
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		time.Sleep(2 * time.Millisecond) // runs are recorded in milliseconds
	}
	run(cut, "repeated")
	run(leaving, "repeated")
	run(cut, "to cut")
	run(leaving, "to leaving")
	late := drainBound + time.Second
	found := check(&record{servers: []*backend.Server{cut, leaving}, requests: []*request{
		{id: "repeated", target: "/", method: http.MethodGet, fromLeaving: true},
		{id: "to cut", target: "/", method: http.MethodGet, sent: late},
		{id: "to leaving", target: "/", method: http.MethodGet, sent: late},
	}}, false)
	is.Equal(found, []Finding{{"server-leave", "request to leaving reached leaving 3s after node 0 had passed on that it leaves"}})
}

func startServer(t *testing.T, instance string) *backend.Server {
	t.Helper()
	s := &backend.Server{Instance: instance, Slots: 1}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
	return s
}

// TestWorkingVariantPasses runs planned events with the variant that violates no
// guarantee. No check may report a finding.
func TestWorkingVariantPasses(t *testing.T) {
	for _, workspaces := range []bool{false, true} {
		t.Run(fmt.Sprintf("workspaces %t", workspaces), func(t *testing.T) {
			is := is.New(t)
			s := Schedule{Seed: 1, Nodes: 1, Length: 2 * time.Second, Workspaces: workspaces, Events: []Event{
				{At: 50 * time.Millisecond, Kind: Policy}, {At: 70 * time.Millisecond, Kind: Policy},
				{At: 100 * time.Millisecond, Kind: Hangup}, {At: 300 * time.Millisecond, Kind: Term, For: 100 * time.Millisecond},
			}}
			c := config(t, "none")
			c.TimedChecks = false // the machine is shared with other tests
			r, err := Run(context.Background(), c, s)
			is.NoErr(err)
			is.Equal(r.Findings, nil)
			is.True(r.Served > 0)
		})
	}
}

// TestSoaksTakeEachOthersPorts guards against ports that another soak finds free before their use.
func TestSoaksTakeEachOthersPorts(t *testing.T) {
	is := is.New(t)
	hosts := map[netip.Addr]bool{}
	for _, pid := range []int{1, 2, 255, 256, 257, 65_535, 65_536, 1 << 21, 1<<22 - 1} {
		is.True(hostOf(pid).IsLoopback())
		hosts[hostOf(pid)] = true
	}
	is.Equal(len(hosts), 9)
	free, err := freeAddresses(1)
	is.NoErr(err)
	host, _, err := net.SplitHostPort(free[0])
	is.NoErr(err)
	is.Equal(host, hostOf(os.Getpid()).String())
}

// TestScheduleRoundTrip checks that generated schedules are the same after they
// were encoded and read.
func TestScheduleRoundTrip(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := Generate(seed, 4, 20*time.Second)
		is.Equal(s, Generate(seed, 4, 20*time.Second)) // the schedule depends only on the arguments
		file := filepath.Join(t.TempDir(), "schedule.yaml")
		is.NoErr(os.WriteFile(file, []byte(s.String()), 0o600))
		decoded, err := Read(file)
		is.NoErr(err)
		is.Equal(decoded, s)
		is.Equal(len(s.Without(0).Events), len(s.Events)-1)
	}
}

func TestReadErrorNamesKey(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "schedule.yaml")
	is.NoErr(os.WriteFile(file, []byte("seed: 1\nnodes: 2\nevents:\n- {at: 1s, kind: kill, node: 2}\n"), 0o600))
	_, err := Read(file)
	is.True(err != nil)
	is.Equal(err.Error(), "geraniumdock.invalid: "+file+": key events[0].node: there is no node 2")
}
