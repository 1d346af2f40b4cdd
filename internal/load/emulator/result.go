package emulator

import (
	"slices"
	"time"
)

// Result holds the outcomes of a run as the callers saw them.
type Result struct {
	Classes map[string]*Outcome
	Seconds []Second // clients' requests by the second in which they were sent
	order   []string
	spec    map[string]Class
}

// Outcome holds the outcomes of the requests of one class.
type Outcome struct {
	Asked    int
	InTime   int             // answered within the objective
	Late     int             // answered after the objective
	Refused  int             // refusals that clients received, including those followed by a retry
	Unserved int             // never answered successfully
	Times    []time.Duration // latencies of the answered requests
}

// Second holds the outcomes of the clients' requests that were sent in one second.
type Second struct {
	Asked, InTime, Late int
}

func newResult(x Experiment) *Result {
	r := &Result{Classes: map[string]*Outcome{}, spec: map[string]Class{}, Seconds: make([]Second, int(x.Duration/time.Second)+1)}
	for _, c := range x.Classes {
		r.Classes[c.Name] = &Outcome{}
		r.spec[c.Name] = c
		r.order = append(r.order, c.Name)
	}
	return r
}

// Names returns the names of the classes in the order of the experiment.
func (r *Result) Names() []string { return r.order }

func (r *Result) second(class string, at time.Duration) *Second {
	if r.spec[class].PerSecond == 0 {
		return &Second{} // calls that servers make are not counted
	}
	return &r.Seconds[min(int(at/time.Second), len(r.Seconds)-1)]
}

func (r *Result) asked(class string, at time.Duration) {
	r.Classes[class].Asked++
	r.second(class, at).Asked++
}

func (r *Result) refused(class string) { r.Classes[class].Refused++ }

func (r *Result) ended(class string, first, now time.Duration, ok bool) {
	o := r.Classes[class]
	if !ok {
		o.Unserved++
		return
	}
	took := now - first
	o.Times = append(o.Times, took)
	if took <= r.spec[class].Objective {
		o.InTime++
		r.second(class, first).InTime++
		return
	}
	o.Late++
	r.second(class, first).Late++
}

// Served returns the fraction of the requests that were answered.
func (o *Outcome) Served() float64 { return share(o.InTime+o.Late, o.Asked) }

// InObjective returns the fraction of the requests that were answered within the
// objective.
func (o *Outcome) InObjective() float64 { return share(o.InTime, o.Asked) }

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// Percentile returns the latency that a fraction p of the answers did not exceed.
func (o *Outcome) Percentile(p float64) time.Duration {
	if len(o.Times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.Times))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// Worth returns the value of the answers as a fraction of the value that answers to
// all requests within their objective would have.
func (r *Result) Worth() float64 {
	earned, owed := 0.0, 0.0
	for name, o := range r.Classes {
		c := r.spec[name]
		owed += c.Worth * float64(o.Asked)
		earned += c.Worth * (float64(o.InTime) + c.LateWorth*float64(o.Late))
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}
