// Package soak runs the real program as several processes on one machine, injects
// faults from outside, and checks the guarantees of the product against what
// clients and backend servers observe.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	gd "github.com/geraniumdock/geraniumdock"
)

// Kinds of events.
const (
	Term         = "term"          // SIGTERM to a node, and a restart after For
	Kill         = "kill"          // SIGKILL to a node, and a restart after For
	Pause        = "pause"         // SIGSTOP to a node, and SIGCONT after For
	Hangup       = "hangup"        // SIGHUP to a node
	Policy       = "policy"        // the operator writes the next version of the policy
	ServerDrain  = "server-drain"  // a server drains and leaves, and another starts at its address after For
	ServerLeave  = "server-leave"  // a server states in its responses that it leaves, and leaves; another starts at its address after For
	ServerLimit  = "server-limit"  // a server states in its responses that it accepts serverLimit requests per second, for For and limitLength
	ServerCrash  = "server-crash"  // a server crashes, and starts again under the same instance name after For
	ServerFault  = "server-fault"  // a server has the given Fault for the time For
	Network      = "network"       // the given Connection of a node has the given Fault for the time For
	StoreFault   = "store-fault"   // the store has the given Fault for the time For
	StoreCompact = "forget"        // the store compacts its history
	StoreRestore = "store-restore" // the store goes away after For and is restored as it was before
)

// Values of Event.Fault and Event.Connection for the kind Network.
const (
	Reset   = "reset"   // open and new connections are reset
	Silence = "silence" // no data passes in either direction
	OneWay  = "one-way" // no data passes toward the target of the connection
	Delay   = "delay"   // all data is delayed

	AtClients = "clients" // connections from clients to the node
	AtPeers   = "peers"   // connections from other nodes to the node
	AtServer  = "server"  // connections to the node's backend server
	AtStore   = "store"   // connections from the node to the store
)

// Event is a fault or an operation during a run.
type Event struct {
	At         time.Duration // time since the start of the traffic
	Kind       string
	Node       int           // index of the node; not used by all kinds
	For        time.Duration // duration, or the time until the restart
	Fault      string        // name of the fault
	Connection string        // connections that the fault affects
}

// IsPlanned reports whether the event is an ordinary operation, not a fault.
func (e Event) IsPlanned() bool {
	switch e.Kind {
	case Term, Hangup, Policy:
		return true
	}
	return e.isServerOperation()
}

// isServerOperation reports whether the event is an ordinary operation of a server.
func (e Event) isServerOperation() bool {
	return e.Kind == ServerDrain || e.Kind == ServerLeave || e.Kind == ServerLimit
}

// Schedule describes the events of one run.
type Schedule struct {
	Seed   uint64
	Nodes  int
	Length time.Duration // duration of the traffic
	Events []Event       // sorted by time
	// Workspaces adds workspaces to the policy, whose keys and quota the clients use.
	Workspaces bool
}

// Without returns a copy of the schedule without its i-th event.
func (s Schedule) Without(i int) Schedule {
	s.Events = slices.Delete(slices.Clone(s.Events), i, i+1)
	return s
}

const (
	phaseLength       = 8 * time.Second // length of a phase with planned events only or with all events
	meanEventInterval = 700 * time.Millisecond
	shortestFault     = 200 * time.Millisecond // minimum of Event.For
	longestFault      = 3 * time.Second        // maximum of Event.For
)

// Generate generates the schedule for a seed. Phases with planned events only
// alternate with phases in which all kinds of events occur.
func Generate(seed uint64, nodes int, length time.Duration) Schedule {
	s := Schedule{Seed: seed, Nodes: nodes, Length: length}
	rng := rand.New(rand.NewPCG(seed, 0))
	for at := meanEventInterval; at < length; at += time.Duration(rng.ExpFloat64() * float64(meanEventInterval)).Truncate(time.Millisecond) {
		kinds := []string{Term, Hangup, Policy, ServerDrain, Policy, ServerLeave, ServerLimit}
		if at/phaseLength%2 == 1 {
			kinds = []string{Term, Kill, Kill, Pause, Hangup, Policy, Policy, ServerDrain, ServerLeave, ServerLimit, ServerCrash, ServerFault, Network, Network, Network, StoreFault, StoreCompact, StoreRestore}
		}
		e := Event{
			At: at, Kind: pick(rng, kinds...), Node: rng.IntN(nodes),
			For: (shortestFault + time.Duration(rng.Float64()*float64(longestFault-shortestFault))).Truncate(time.Millisecond),
		}
		switch e.Kind {
		case ServerFault:
			e.Fault = pick(rng, "lose-answer", "cut-answer", "extra-bytes", "no-seal", "unframed", "fail", "shed")
		case StoreFault:
			e.Fault = pick(rng, "silent", "busy", "many", "reset", "slow", "lose-writes", "late-writes", "mute")
		case Network:
			e.Fault, e.Connection = pick(rng, Reset, Silence, OneWay, Delay), pick(rng, AtClients, AtPeers, AtServer, AtStore)
		}
		s.Events = append(s.Events, e)
	}
	return s
}

func pick(rng *rand.Rand, of ...string) string { return of[rng.IntN(len(of))] }

// fileSchedule is the encoded form of a schedule.
type fileSchedule struct {
	Seed       uint64        `yaml:"seed"`
	Nodes      int           `yaml:"nodes"`
	Length     time.Duration `yaml:"length"`
	Workspaces bool          `yaml:"workspaces"`
	Events     []fileEvent   `yaml:"events"`
}

type fileEvent struct {
	At         time.Duration `yaml:"at"`
	Kind       string        `yaml:"kind"`
	Node       int           `yaml:"node"`
	For        time.Duration `yaml:"for,omitempty"`
	Fault      string        `yaml:"how,omitempty"`
	Connection string        `yaml:"on,omitempty"`
}

// String encodes the schedule in the format that Read decodes.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed: %d\nnodes: %d\nlength: %s\n", s.Seed, s.Nodes, s.Length)
	if s.Workspaces {
		b.WriteString("workspaces: true\n")
	}
	b.WriteString("events:\n")
	for _, e := range s.Events {
		fmt.Fprintf(&b, "- {at: %s, kind: %s, node: %d, for: %s", e.At, e.Kind, e.Node, e.For)
		if e.Fault != "" {
			fmt.Fprintf(&b, ", how: %s", e.Fault)
		}
		if e.Connection != "" {
			fmt.Fprintf(&b, ", on: %s", e.Connection)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// Read reads a schedule from a file. Errors name the file and the key, or the line
// if the YAML is malformed.
func Read(file string) (Schedule, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Schedule{}, gd.Invalid.Wrapf(err, "schedule")
	}
	var f fileSchedule
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.Strict()); err != nil {
		return Schedule{}, gd.Invalid.Errorf("%s: %s", file, strings.TrimSpace(err.Error()))
	}
	s := Schedule{Seed: f.Seed, Nodes: f.Nodes, Length: f.Length, Workspaces: f.Workspaces}
	for i, e := range f.Events {
		if e.Node < 0 || e.Node >= f.Nodes {
			return Schedule{}, gd.Invalid.Errorf("%s: key events[%d].node: there is no node %d", file, i, e.Node)
		}
		s.Events = append(s.Events, Event(e))
	}
	return s, nil
}
