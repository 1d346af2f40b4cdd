package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
)

// hedgingExperiment returns the returns mesh for 12 s with one fault and the given limit.
func hedgingExperiment(t *testing.T, kind string, factor, maxShare float64) Experiment {
	x := parseExample(t, "hedging.yaml")
	x.Duration, x.Sweep, x.Hedging.MaxShare = 12*time.Second, Sweep{Parameter: "load"}, maxShare
	x.Events = []Event{{Kind: kind, For: time.Minute, Factor: factor, Share: 0.12}}
	return x
}

// TestHedgesCutTheSlowestResponses lets a few servers hang in part of their requests, or run
// them slowly. With hedging the slowest reads must get responses sooner. A wrong delay, or an
// estimate of a slow server that falls when its attempts are cancelled, makes them no faster.
func TestHedgesCutTheSlowestResponses(t *testing.T) {
	for kind, factor := range map[string]float64{Hang: 0.1, Slow: 10} {
		t.Run(kind, func(t *testing.T) {
			without := Run(hedgingExperiment(t, kind, factor, 0))
			with := Run(hedgingExperiment(t, kind, factor, 0.05))
			for _, name := range []string{"status-read", "ledger-read"} {
				a, b := without.Classes[name], with.Classes[name]
				deadline := with.Deadline(name)
				for _, p := range []float64{0.5, 0.99, 0.999} {
					t.Logf("%s: percentile %g %s without, %s with %d hedges in %d requests", name, 100*p, a.PercentileOfAll(p, deadline), b.PercentileOfAll(p, deadline), b.Hedges, b.Requests)
				}
				if a.Late+a.Unserved <= b.Late+b.Unserved {
					t.Errorf("%s: %d late and %d unserved without hedging, %d and %d with", name, a.Late, a.Unserved, b.Late, b.Unserved)
				}
			}
			is.New(t).Equal(with.Classes["lodge"].Hedges, 0) // may run only once
			checkHedgeLimit(t, with, 0.05)
		})
	}
}

// checkHedgeLimit checks that no node sends more second attempts than the share of the requests
// that it has received, in any window of 10 s that ends at a second attempt.
func checkHedgeLimit(t *testing.T, r *Result, share float64) {
	t.Helper()
	for node, sent := range r.HedgesSent {
		for _, until := range sent {
			hedges, received := countIn(sent, until), countIn(r.Received[node], until)
			if float64(hedges) > share*float64(received) {
				t.Fatalf("%s: %d hedges of %d requests in the 10 s before %s", node, hedges, received, until)
			}
		}
	}
}

func countIn(times []time.Duration, until time.Duration) int {
	n := 0
	for _, at := range times {
		if at > until-10*time.Second && at <= until {
			n++
		}
	}
	return n
}

// TestNoHedgesUnderOverload runs twice the load. Second attempts would take slots from requests
// that wait, and serve fewer of them.
func TestNoHedgesUnderOverload(t *testing.T) {
	x := hedgingExperiment(t, Slow, 2, 0.05).WithSweepValue(2.2)
	x.Duration = 5 * time.Second
	with := Run(x)
	x.Hedging = hedge.Limits{}
	without := Run(x)
	for name, o := range with.Classes {
		t.Logf("%s: %d hedges in %d requests, p99 %s without, %s with", name, o.Hedges, o.Requests, without.Classes[name].Percentile(0.99), o.Percentile(0.99))
		if float64(o.Hedges) > 0.002*float64(o.Requests) {
			t.Errorf("%s: %d hedges in %d requests", name, o.Hedges, o.Requests)
		}
	}
	if with.Worth() < without.Worth()-0.01 {
		t.Errorf("worth %.3f with hedging, %.3f without", with.Worth(), without.Worth())
	}
}
