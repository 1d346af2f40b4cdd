package emulator

import (
	"slices"
	"time"
)

// Result holds the outcomes of a run as the callers saw them.
type Result struct {
	Classes     map[string]*Outcome
	Seconds     []Second                   // clients' requests by the second in which they were sent
	Starts      map[string][]time.Duration // by node: when its server got requests
	Services    map[string]*Servers
	Workspaces  map[int]*Served            // by number, of requests that were sent during a burst of a single workspace
	HedgesSent  map[string][]time.Duration // by node: when it sent second attempts
	Received    map[string][]time.Duration // by node: when it received requests, if hedging is on
	classNames  []string
	classByName map[string]Class
}

// Outcome holds the outcomes of the requests of one class.
type Outcome struct {
	Requests int
	InTime   int             // served within the objective
	Late     int             // served after the objective
	Retries  int             // attempts at a further server
	Hedges   int             // second attempts before the first had ended
	Won      int             // of these, those whose response was delivered
	Refused  int             // refusals that clients received, including those followed by a repeat
	Unserved int             // got no successful response
	Times    []time.Duration // latencies of the served requests
}

// Served counts requests and those that got a successful response.
type Served struct{ Requests, Served int }

// Ratio returns the fraction of the requests that were served.
func (s Served) Ratio() float64 { return share(s.Served, s.Requests) }

// Servers holds what the servers of one service did.
type Servers struct {
	Runs   int                      // requests that ended on a server, including those that it shed
	Failed int                      // runs that failed, because of a fault or of a call
	Busy   map[string]time.Duration // slot time by node
	count  int                      // number of servers
}

// Busiest returns the slot time of the busiest server, relative to the mean.
func (s *Servers) Busiest() float64 {
	var most, sum time.Duration
	for _, busy := range s.Busy {
		most, sum = max(most, busy), sum+busy
	}
	if sum == 0 {
		return 1
	}
	return float64(most) * float64(s.count) / float64(sum)
}

// Second holds the outcomes of the clients' requests that were sent in one second.
type Second struct {
	Requests, InTime, Late int
}

func newResult(experiment Experiment) *Result {
	r := &Result{Services: map[string]*Servers{}, Workspaces: map[int]*Served{}, Classes: map[string]*Outcome{}, Starts: map[string][]time.Duration{}, HedgesSent: map[string][]time.Duration{}, Received: map[string][]time.Duration{}, classByName: map[string]Class{}, Seconds: make([]Second, int(experiment.Duration/time.Second)+1)}
	for _, s := range experiment.Services {
		r.Services[s.Name] = &Servers{Busy: map[string]time.Duration{}, count: s.Servers}
	}
	for _, c := range experiment.Classes {
		r.Classes[c.Name] = &Outcome{}
		r.classByName[c.Name] = c
		r.classNames = append(r.classNames, c.Name)
	}
	return r
}

// ClassNames returns the names of the classes in the order of the experiment.
func (r *Result) ClassNames() []string { return r.classNames }

func (r *Result) secondOf(class string, at time.Duration) *Second {
	if r.classByName[class].PerSecond == 0 {
		return &Second{} // calls that servers make are not counted
	}
	return &r.Seconds[min(int(at/time.Second), len(r.Seconds)-1)]
}

func (r *Result) addRequest(class string, at time.Duration) {
	r.Classes[class].Requests++
	r.secondOf(class, at).Requests++
}

func (r *Result) addStart(node string, at time.Duration) { r.Starts[node] = append(r.Starts[node], at) }

func (r *Result) addRun(service, node string, took time.Duration, failed bool) {
	s := r.Services[service]
	s.Runs++
	if failed {
		s.Failed++
	}
	s.Busy[node] += took
}

func (r *Result) addWorkspace(number int, ok bool) {
	s, found := r.Workspaces[number]
	if !found {
		s = &Served{}
		r.Workspaces[number] = s
	}
	s.Requests++
	if ok {
		s.Served++
	}
}

func (r *Result) addRetry(class string) { r.Classes[class].Retries++ }

func (r *Result) addRefusal(class string) { r.Classes[class].Refused++ }

func (r *Result) addOutcome(class string, firstSent, now time.Duration, ok bool) {
	o := r.Classes[class]
	if !ok {
		o.Unserved++
		return
	}
	took := now - firstSent
	o.Times = append(o.Times, took)
	if took <= r.classByName[class].Objective {
		o.InTime++
		r.secondOf(class, firstSent).InTime++
		return
	}
	o.Late++
	r.secondOf(class, firstSent).Late++
}

// Served returns the fraction of the requests that got a successful response.
func (o *Outcome) Served() float64 { return share(o.InTime+o.Late, o.Requests) }

// InObjective returns the fraction of the requests that were served within the
// objective.
func (o *Outcome) InObjective() float64 { return share(o.InTime, o.Requests) }

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// Percentile returns the latency that a fraction p of the responses did not exceed.
func (o *Outcome) Percentile(p float64) time.Duration {
	if len(o.Times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.Times))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// PercentileOfAll returns the latency that a fraction p of the requests did not exceed. It is
// limit if more requests than that got no successful response.
func (o *Outcome) PercentileOfAll(p float64, limit time.Duration) time.Duration {
	rank := int(p * float64(o.Requests))
	if rank >= len(o.Times) {
		return limit
	}
	return slices.Sorted(slices.Values(o.Times))[rank]
}

// Deadline returns the deadline of the requests of a class.
func (r *Result) Deadline(class string) time.Duration { return r.classByName[class].Deadline }

// Worth returns the value of the responses, as a fraction of the value if all
// requests were served within their objective.
func (r *Result) Worth() float64 {
	earned, possible := 0.0, 0.0
	for _, name := range r.classNames { // in order, because the rounding of a sum depends on it
		o, c := r.Classes[name], r.classByName[name]
		possible += c.Worth * float64(o.Requests)
		earned += c.Worth * (float64(o.InTime) + c.LateWorth*float64(o.Late))
	}
	if possible == 0 {
		return 1
	}
	return earned / possible
}
