// Package emulator plays load on the decisions of placement, admission and the
// retry budget in virtual time, without a network: servers with slots, speeds
// and faults, clients with deadlines and retries, data centres with a way
// between them. One seed gives one run.
package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	gd "github.com/geraniumdock/geraniumdock"
)

// Experiment describes what is played.
type Experiment struct {
	Seed        uint64
	Duration    time.Duration
	DataCentres []string
	Between     time.Duration // one way between two data centres
	Services    []Service
	Classes     []Class
	Events      []Event
	Placement   string // how servers are chosen
	Admission   string // how requests wait
	RepeatRatio float64
	RepeatSlack float64
	Sweep       Sweep
}

// Service is a set of servers, one beside each node.
type Service struct {
	Name    string
	Servers int
	Slots   int
	Speeds  []float64 // times that a server takes longer than the class says, by turns
}

// Class is a kind of request.
type Class struct {
	Name       string
	Service    string
	PerSecond  float64
	Work       time.Duration // mean time in a slot
	Spread     float64       // of the logarithm of the time in a slot
	Objective  time.Duration
	Deadline   time.Duration
	Priority   int
	Worth      float64
	LateWorth  float64 // of an answer after the objective, as a share
	Retries    int     // of the client
	Idempotent bool
	Calls      []Call
}

// Call is made by a request while it holds its slot.
type Call struct {
	Class string  `yaml:"class"`
	Share float64 `yaml:"share"`
}

// Event changes the load or the servers for a while.
type Event struct {
	Kind    string // burst, slow, fail or down
	At, For time.Duration
	Factor  float64 // of a burst or of slowness; share of the requests that fail
	Service string  // empty for all
	Share   float64 // of the servers
}

// Sweep plays the experiment once for each value of a parameter.
type Sweep struct {
	Parameter string    `yaml:"parameter"` // load, slots or seed
	Values    []float64 `yaml:"values"`
}

// Ways of placing and admitting. The first of each is the product's own.
const (
	PlaceEstimates = "estimates"
	PlaceRobin     = "round-robin"
	PlaceLeast     = "least-outstanding"
	AdmitOrdered   = "ordered"
	AdmitFIFO      = "fifo"
)

// Kinds of events.
const (
	Burst = "burst"
	Slow  = "slow"
	Fail  = "fail"
	Down  = "down"
)

type wireExperiment struct {
	Seed        uint64        `yaml:"seed"`
	Duration    string        `yaml:"duration"`
	DataCentres []string      `yaml:"data-centres"`
	Between     string        `yaml:"between"`
	Services    []wireService `yaml:"services"`
	Classes     []wireClass   `yaml:"classes"`
	Events      []wireEvent   `yaml:"events"`
	Placement   string        `yaml:"placement"`
	Admission   string        `yaml:"admission"`
	RepeatRatio float64       `yaml:"repeat-ratio"`
	RepeatSlack float64       `yaml:"repeat-slack"`
	Sweep       Sweep         `yaml:"sweep"`
}

type wireService struct {
	Name    string    `yaml:"name"`
	Servers int       `yaml:"servers"`
	Slots   int       `yaml:"slots"`
	Speeds  []float64 `yaml:"speeds"`
}

type wireClass struct {
	Name       string  `yaml:"name"`
	Service    string  `yaml:"service"`
	PerSecond  float64 `yaml:"per-second"`
	Work       string  `yaml:"work"`
	Spread     float64 `yaml:"spread"`
	Objective  string  `yaml:"objective"`
	Deadline   string  `yaml:"deadline"`
	Priority   int     `yaml:"priority"`
	Worth      float64 `yaml:"worth"`
	LateWorth  float64 `yaml:"late-worth"`
	Retries    int     `yaml:"retries"`
	Idempotent bool    `yaml:"idempotent"`
	Calls      []Call  `yaml:"calls"`
}

type wireEvent struct {
	Kind    string  `yaml:"kind"`
	At      string  `yaml:"at"`
	For     string  `yaml:"for"`
	Factor  float64 `yaml:"factor"`
	Service string  `yaml:"service"`
	Share   float64 `yaml:"share"`
}

// Parse reads an experiment. Errors name the file, the key and, where the text
// is not YAML of the right shape, the line.
func Parse(data []byte, file string) (Experiment, error) {
	w := wireExperiment{Placement: PlaceEstimates, Admission: AdmitOrdered, RepeatRatio: defaultRatio}
	if err := yaml.UnmarshalWithOptions(data, &w, yaml.Strict()); err != nil {
		return Experiment{}, gd.Invalid.Errorf("%s: %s", file, err)
	}
	p := parser{file: file}
	x := Experiment{
		Seed: w.Seed, Duration: p.duration("duration", w.Duration), DataCentres: w.DataCentres,
		Between: p.duration("between", w.Between), Placement: w.Placement, Admission: w.Admission,
		RepeatRatio: w.RepeatRatio, RepeatSlack: w.RepeatSlack, Sweep: w.Sweep,
	}
	for _, s := range w.Services {
		x.Services = append(x.Services, Service(s))
	}
	for i, c := range w.Classes {
		key := func(name string) string { return fmt.Sprintf("classes[%d].%s", i, name) }
		x.Classes = append(x.Classes, Class{
			Name: c.Name, Service: c.Service, PerSecond: c.PerSecond, Work: p.duration(key("work"), c.Work), Spread: c.Spread,
			Objective: p.duration(key("objective"), c.Objective), Deadline: p.duration(key("deadline"), c.Deadline),
			Priority: c.Priority, Worth: c.Worth, LateWorth: c.LateWorth, Retries: c.Retries, Idempotent: c.Idempotent, Calls: c.Calls,
		})
	}
	for i, e := range w.Events {
		x.Events = append(x.Events, Event{
			Kind: e.Kind, At: p.duration(fmt.Sprintf("events[%d].at", i), e.At), For: p.duration(fmt.Sprintf("events[%d].for", i), e.For),
			Factor: e.Factor, Service: e.Service, Share: e.Share,
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

// defaultRatio is the retry ratio where a file names none.
const defaultRatio = 0.1

// parser keeps the first error of several fields.
type parser struct {
	file string
	err  error
}

func (p *parser) duration(key, text string) time.Duration {
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
		return gd.Invalid.Errorf("key duration: missing")
	case len(x.DataCentres) == 0:
		return gd.Invalid.Errorf("key data-centres: missing")
	case len(x.Services) == 0 || len(x.Classes) == 0:
		return gd.Invalid.Errorf("keys services and classes: at least one of each is needed")
	case !slices.Contains([]string{PlaceEstimates, PlaceRobin, PlaceLeast}, x.Placement):
		return gd.Invalid.Errorf("key placement: %q is not %s, %s or %s", x.Placement, PlaceEstimates, PlaceRobin, PlaceLeast)
	case !slices.Contains([]string{AdmitOrdered, AdmitFIFO}, x.Admission):
		return gd.Invalid.Errorf("key admission: %q is not %s or %s", x.Admission, AdmitOrdered, AdmitFIFO)
	case !slices.Contains([]string{"", "load", "slots", "seed"}, x.Sweep.Parameter):
		return gd.Invalid.Errorf("key sweep.parameter: %q is not load, slots or seed", x.Sweep.Parameter)
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
			return gd.Invalid.Errorf("key classes[%d].service: no service %q", i, c.Service)
		}
		if c.Work <= 0 || c.Deadline <= 0 {
			return gd.Invalid.Errorf("key classes[%d]: work and deadline must be above 0", i)
		}
		for _, call := range c.Calls {
			if !classes[call.Class] {
				return gd.Invalid.Errorf("key classes[%d].calls: no class %q", i, call.Class)
			}
		}
	}
	for i, e := range x.Events {
		if !slices.Contains([]string{Burst, Slow, Fail, Down}, e.Kind) {
			return gd.Invalid.Errorf("key events[%d].kind: %q is not %s, %s, %s or %s", i, e.Kind, Burst, Slow, Fail, Down)
		}
	}
	return nil
}

// With returns the experiment with the parameter of its sweep set to value.
func (x Experiment) With(value float64) Experiment {
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
	}
	return x
}
