// Package emulator is a discrete-event simulation of a service mesh. It runs the
// product's code for placement, admission and the retry budget in virtual time,
// without a network. It models servers with slots, speeds and faults, clients
// with deadlines and repeats, and the delay between data centres. A run depends
// only on the experiment and its seed.
package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/hedge"
)

// Experiment describes the services, the load and the faults of a run.
type Experiment struct {
	Seed            uint64
	Duration        time.Duration
	DataCentres     []string
	DataCentreDelay time.Duration // one-way delay added between two data centres
	Services        []Service
	Classes         []Class
	Events          []Event
	Placement       string  // strategy that chooses servers
	Admission       string  // strategy that queues requests at a server
	RepeatRatio     float64 // retries that the nodes may make per request
	RepeatSlack     float64 // retries allowed in a window in addition to the ratio
	RerunShare      float64 // fraction of the retries that may be of requests that have run
	FirstShare      float64 // fraction of the retries that may be of requests that their clients have not repeated
	OnceShare       float64 // the same for requests whose callers do not repeat them; at least FirstShare
	Hedging         hedge.Limits
	Sweep           Sweep
}

// Service is a set of servers, each beside a node of its own.
type Service struct {
	Name    string
	Servers int
	Slots   int
	Speeds  []float64 // factors on the work of a request, assigned to the servers in turn
}

// Class describes requests of one kind.
type Class struct {
	Name        string
	Service     string
	PerSecond   float64
	Work        time.Duration // mean time that a request holds a slot
	Spread      float64       // standard deviation of the logarithm of that time
	Objective   time.Duration
	Deadline    time.Duration
	Priority    int
	Worth       float64 // value of a response within the objective
	LateWorth   float64 // value of a later response, as a fraction of Worth
	Repeats     int     // maximum number of repeats by the client
	RefusedOnly bool    // the client repeats requests that were refused, but none that failed
	Attempts    int     // maximum number of servers that one request may reach
	Idempotent  bool
	Calls       []Call
	Workspaces  []float64 // relative numbers of requests by workspace; empty if requests have none
}

// Call describes requests of the given class that a server may send while it runs
// a request of another class. Share is the probability that it does, and Count how
// many it sends at a time, one if it is 0.
type Call struct {
	Class string  `yaml:"class"`
	Share float64 `yaml:"share"`
	Count int     `yaml:"count"`
}

// Event changes the load or the servers for a limited time.
type Event struct {
	Kind      string // one of eventKinds
	At, For   time.Duration
	Factor    float64       // factor on the load or the work; for Fail, the fraction of requests that fail; for Limit, requests per second
	Service   string        // empty for all
	Share     float64       // fraction of the servers that are affected
	Period    time.Duration // for Wave
	Workspace int           // for Burst: number of the workspace whose requests it multiplies, from 1; 0 for all
}

// Sweep varies one parameter of the experiment. There is one run for each value.
type Sweep struct {
	Parameter string    `yaml:"parameter"` // load, slots, seed or max-share
	Values    []float64 `yaml:"values"`
}

// Strategies for placement and admission. PlaceEstimates and AdmitOrdered are the
// product's own; the others are baselines to compare them with.
const (
	PlaceEstimates        = "estimates"
	PlaceRoundRobin       = "round-robin"
	PlaceLeastOutstanding = "least-outstanding"
	AdmitOrdered          = "ordered"
	AdmitFIFO             = "fifo"
)

// Kinds of events.
const (
	Burst = "burst" // multiplies the request rate of the clients
	Wave  = "wave"  // varies that rate as a sine with the amplitude Factor, relative to the mean
	Slow  = "slow"  // multiplies the work of requests
	Fail  = "fail"  // fails a fraction of the requests
	Shed  = "shed"  // makes servers refuse to run a fraction of the requests, though they have room
	Down  = "down"  // makes servers refuse connections if Factor is above 0
	Dark  = "dark"  // makes servers and their nodes silent if Factor is above 0, as after a loss of power
	Limit = "limit" // makes servers state in their responses that they accept Factor requests per second
	// Unlisted makes the other nodes drop servers if Factor is above 0, as when the store
	// is restored from an older copy that lacks their entries.
	Unlisted = "unlisted"
	Hang     = "hang" // makes servers not respond to a fraction of the requests until their deadline
)

var eventKinds = []string{Burst, Wave, Slow, Fail, Shed, Down, Dark, Limit, Unlisted, Hang}

type wireExperiment struct {
	Seed            uint64        `yaml:"seed"`
	Duration        string        `yaml:"duration"`
	DataCentres     []string      `yaml:"data-centres"`
	DataCentreDelay string        `yaml:"between"`
	Services        []wireService `yaml:"services"`
	Classes         []wireClass   `yaml:"classes"`
	Events          []wireEvent   `yaml:"events"`
	Placement       string        `yaml:"placement"`
	Admission       string        `yaml:"admission"`
	RepeatRatio     float64       `yaml:"repeat-ratio"`
	RepeatSlack     float64       `yaml:"repeat-slack"`
	RerunShare      float64       `yaml:"rerun-share"`
	FirstShare      float64       `yaml:"first-share"`
	OnceShare       float64       `yaml:"once-share"`
	Hedging         wireHedging   `yaml:"hedging"`
	Sweep           Sweep         `yaml:"sweep"`
}

type wireHedging struct {
	MaxShare   float64 `yaml:"max-share"`
	Percentile float64 `yaml:"percentile"`
}

type wireService struct {
	Name    string    `yaml:"name"`
	Servers int       `yaml:"servers"`
	Slots   int       `yaml:"slots"`
	Speeds  []float64 `yaml:"speeds"`
}

type wireClass struct {
	Name        string    `yaml:"name"`
	Service     string    `yaml:"service"`
	PerSecond   float64   `yaml:"per-second"`
	Work        string    `yaml:"work"`
	Spread      float64   `yaml:"spread"`
	Objective   string    `yaml:"objective"`
	Deadline    string    `yaml:"deadline"`
	Priority    int       `yaml:"priority"`
	Worth       float64   `yaml:"worth"`
	LateWorth   float64   `yaml:"late-worth"`
	Repeats     int       `yaml:"retries"`
	RefusedOnly bool      `yaml:"repeats-refused-only"`
	Attempts    int       `yaml:"attempts"`
	Idempotent  bool      `yaml:"idempotent"`
	Calls       []Call    `yaml:"calls"`
	Workspaces  []float64 `yaml:"workspaces"`
}

type wireEvent struct {
	Kind      string  `yaml:"kind"`
	At        string  `yaml:"at"`
	For       string  `yaml:"for"`
	Factor    float64 `yaml:"factor"`
	Service   string  `yaml:"service"`
	Share     float64 `yaml:"share"`
	Period    string  `yaml:"period"`
	Workspace int     `yaml:"workspace"`
}

// Parse decodes an experiment from YAML. Errors name the file and the key, or the
// line if the YAML is malformed.
func Parse(data []byte, file string) (Experiment, error) {
	w := wireExperiment{Placement: PlaceEstimates, Admission: AdmitOrdered, RepeatRatio: defaultRepeatRatio, RerunShare: 1, FirstShare: 1}
	if err := yaml.UnmarshalWithOptions(data, &w, yaml.Strict()); err != nil {
		return Experiment{}, gd.Invalid.Errorf("%s: %s", file, err)
	}
	p := fieldParser{file: file}
	x := Experiment{
		Seed: w.Seed, Duration: p.duration("duration", w.Duration), DataCentres: w.DataCentres,
		DataCentreDelay: p.duration("between", w.DataCentreDelay), Placement: w.Placement, Admission: w.Admission,
		RepeatRatio: w.RepeatRatio, RepeatSlack: w.RepeatSlack, RerunShare: w.RerunShare, FirstShare: w.FirstShare, OnceShare: w.OnceShare, Sweep: w.Sweep,
		Hedging: hedge.Limits{MaxShare: w.Hedging.MaxShare, Percentile: w.Hedging.Percentile / 100},
	}
	for _, s := range w.Services {
		x.Services = append(x.Services, Service(s))
	}
	for i, c := range w.Classes {
		key := func(name string) string { return fmt.Sprintf("classes[%d].%s", i, name) }
		x.Classes = append(x.Classes, Class{
			Name: c.Name, Service: c.Service, PerSecond: c.PerSecond, Work: p.duration(key("work"), c.Work), Spread: c.Spread,
			Objective: p.duration(key("objective"), c.Objective), Deadline: p.duration(key("deadline"), c.Deadline),
			Priority: c.Priority, Worth: c.Worth, LateWorth: c.LateWorth, Repeats: c.Repeats, RefusedOnly: c.RefusedOnly, Attempts: cmp.Or(c.Attempts, defaultAttempts), Idempotent: c.Idempotent, Calls: c.Calls, Workspaces: c.Workspaces,
		})
	}
	for i, e := range w.Events {
		x.Events = append(x.Events, Event{
			Kind: e.Kind, At: p.duration(fmt.Sprintf("events[%d].at", i), e.At), For: p.duration(fmt.Sprintf("events[%d].for", i), e.For),
			Factor: e.Factor, Service: e.Service, Share: e.Share, Period: p.duration(fmt.Sprintf("events[%d].period", i), e.Period), Workspace: e.Workspace,
		})
	}
	if p.err != nil {
		return Experiment{}, p.err
	}
	if err := x.check(); err != nil {
		return Experiment{}, gd.Invalid.Errorf("%s: %s", file, gd.Message(err))
	}
	return x, nil
}

// defaultRepeatRatio is the repeat ratio if the experiment does not set one.
const defaultRepeatRatio = 0.1

// defaultAttempts is the number of attempts of a class that does not set one.
const defaultAttempts = 2

// fieldParser parses several fields and keeps the first error.
type fieldParser struct {
	file string
	err  error
}

func (p *fieldParser) duration(key, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		if p.err == nil {
			p.err = gd.Invalid.Errorf("%s: key %s: %q is not a duration such as 300ms", p.file, key, text)
		}
		return 0
	}
	return d
}

func (x Experiment) check() error {
	switch {
	case x.Duration <= 0:
		return gd.Invalid.Errorf("key duration: missing or not above 0")
	case len(x.DataCentres) == 0:
		return gd.Invalid.Errorf("key data-centres: missing")
	case len(x.Services) == 0 || len(x.Classes) == 0:
		return gd.Invalid.Errorf("keys services and classes: each needs at least one entry")
	case !slices.Contains([]string{PlaceEstimates, PlaceRoundRobin, PlaceLeastOutstanding}, x.Placement):
		return gd.Invalid.Errorf("key placement: %q is not %s, %s or %s", x.Placement, PlaceEstimates, PlaceRoundRobin, PlaceLeastOutstanding)
	case !slices.Contains([]string{AdmitOrdered, AdmitFIFO}, x.Admission):
		return gd.Invalid.Errorf("key admission: %q is not %s or %s", x.Admission, AdmitOrdered, AdmitFIFO)
	case x.Hedging.MaxShare < 0 || x.Hedging.Percentile < 0 || x.Hedging.Percentile > hedge.MaxPercentile:
		return gd.Invalid.Errorf("key hedging: max-share must not be below 0, and percentile must be between 0 and %g", 100*hedge.MaxPercentile)
	case !slices.Contains([]string{"", "load", "slots", "seed", "max-share"}, x.Sweep.Parameter):
		return gd.Invalid.Errorf("key sweep.parameter: %q is not load, slots, seed or max-share", x.Sweep.Parameter)
	}
	services := map[string]bool{}
	for i, s := range x.Services {
		if s.Servers < 1 || s.Slots < 1 {
			return gd.Invalid.Errorf("key services[%d]: servers and slots must be at least 1", i)
		}
		services[s.Name] = true
	}
	classes := map[string]bool{}
	for _, c := range x.Classes {
		classes[c.Name] = true
	}
	for i, c := range x.Classes {
		if !services[c.Service] {
			return gd.Invalid.Errorf("key classes[%d].service: unknown service %q", i, c.Service)
		}
		if c.Work <= 0 || c.Deadline <= 0 || c.Attempts < 1 {
			return gd.Invalid.Errorf("key classes[%d]: work, deadline and attempts must be above 0", i)
		}
		for _, call := range c.Calls {
			if !classes[call.Class] {
				return gd.Invalid.Errorf("key classes[%d].calls: unknown class %q", i, call.Class)
			}
		}
	}
	for i, e := range x.Events {
		if !slices.Contains(eventKinds, e.Kind) {
			return gd.Invalid.Errorf("key events[%d].kind: %q is not one of %s", i, e.Kind, strings.Join(eventKinds, ", "))
		}
		if e.Kind == Wave && (e.Period <= 0 || e.Factor < 0 || e.Factor >= 1) {
			return gd.Invalid.Errorf("key events[%d]: a wave needs a period above 0 and a factor from 0 to below 1", i)
		}
	}
	return nil
}

// WithSweepValue returns a copy of the experiment with the parameter of its sweep set to
// value. The load parameter multiplies the request rates.
func (x Experiment) WithSweepValue(value float64) Experiment {
	switch x.Sweep.Parameter {
	case "load":
		x.Classes = slices.Clone(x.Classes)
		for i := range x.Classes {
			x.Classes[i].PerSecond *= value
		}
	case "slots":
		x.Services = slices.Clone(x.Services)
		for i := range x.Services {
			x.Services[i].Slots = max(1, int(value))
		}
	case "seed":
		x.Seed = uint64(value)
	case "max-share":
		x.Hedging.MaxShare = value
	}
	return x
}
