// Package soak runs the real programs as processes on one machine, with faults
// from outside them, and checks the promises of the product from what clients
// and backend servers see.
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
	Term        = "term"         // SIGTERM to a node, and a start after For
	Kill        = "kill"         // SIGKILL to a node, and a start after For
	Pause       = "pause"        // SIGSTOP, and SIGCONT after For
	Hangup      = "hangup"       // SIGHUP
	Policy      = "policy"       // the operator writes the next version
	ServerDrain = "server-drain" // a server leaves in order, and another takes its address after For
	ServerCrash = "server-crash" // a server ends at once, and starts again after For under its name
	ServerFault = "server-fault" // a server fails as How says for the time For
	Network     = "network"      // connections to or from a node fail as How says for the time For
	StoreFault  = "store-fault"  // the store fails as How says for the time For
	Forget      = "forget"       // the store forgets its history
)

// What may happen to connections, and where.
const (
	Reset   = "reset"   // connections are reset, and new ones refused
	Silence = "silence" // nothing passes
	OneWay  = "one-way" // nothing passes towards the node
	Delay   = "delay"   // everything passes later

	AtClients = "clients"
	AtPeers   = "peers"
	AtServer  = "server"
	AtStore   = "store"
)

// Event is one thing that happens to the fleet.
type Event struct {
	At   time.Duration // from the start of the traffic
	Kind string
	Node int // to which it happens, where the kind has one
	For  time.Duration
	How  string
	On   string // the connections that fail
}

// IsPlanned reports whether operators do this in ordinary work.
func (e Event) IsPlanned() bool {
	switch e.Kind {
	case Term, Hangup, Policy, ServerDrain:
		return true
	}
	return false
}

// Schedule is what happens in one run.
type Schedule struct {
	Seed   uint64
	Nodes  int
	Length time.Duration // of the traffic
	Events []Event       // by time
}

// Without returns the schedule without its i-th event.
func (s Schedule) Without(i int) Schedule {
	s.Events = slices.Delete(slices.Clone(s.Events), i, i+1)
	return s
}

const (
	stretch       = 8 * time.Second // planned work and faults take turns
	meanPause     = 700 * time.Millisecond
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
)

// Draw returns the schedule that a seed stands for. Stretches of planned work
// alone take turns with stretches in which anything happens.
func Draw(seed uint64, nodes int, length time.Duration) Schedule {
	s := Schedule{Seed: seed, Nodes: nodes, Length: length}
	rnd := rand.New(rand.NewPCG(seed, 0))
	for at := meanPause; at < length; at += time.Duration(rnd.ExpFloat64() * float64(meanPause)).Truncate(time.Millisecond) {
		kinds := []string{Term, Hangup, Policy, ServerDrain, Policy}
		if at/stretch%2 == 1 {
			kinds = []string{Term, Kill, Kill, Pause, Hangup, Policy, Policy, ServerDrain, ServerCrash, ServerFault, Network, Network, Network, StoreFault, Forget}
		}
		e := Event{
			At: at, Kind: pick(rnd, kinds...), Node: rnd.IntN(nodes),
			For: (shortestFault + time.Duration(rnd.Float64()*float64(longestFault-shortestFault))).Truncate(time.Millisecond),
		}
		switch e.Kind {
		case ServerFault:
			e.How = pick(rnd, "lose-answer", "cut-answer", "extra-bytes", "no-seal", "unframed", "fail", "shed")
		case StoreFault:
			e.How = pick(rnd, "silent", "busy", "many", "reset", "slow", "lose-writes", "late-writes", "mute")
		case Network:
			e.How, e.On = pick(rnd, Reset, Silence, OneWay, Delay), pick(rnd, AtClients, AtPeers, AtServer, AtStore)
		}
		s.Events = append(s.Events, e)
	}
	return s
}

func pick(rnd *rand.Rand, of ...string) string { return of[rnd.IntN(len(of))] }

// fileSchedule is a schedule in a file.
type fileSchedule struct {
	Seed   uint64        `yaml:"seed"`
	Nodes  int           `yaml:"nodes"`
	Length time.Duration `yaml:"length"`
	Events []fileEvent   `yaml:"events"`
}

type fileEvent struct {
	At   time.Duration `yaml:"at"`
	Kind string        `yaml:"kind"`
	Node int           `yaml:"node"`
	For  time.Duration `yaml:"for,omitempty"`
	How  string        `yaml:"how,omitempty"`
	On   string        `yaml:"on,omitempty"`
}

// String returns the schedule as Read reads it.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed: %d\nnodes: %d\nlength: %s\nevents:\n", s.Seed, s.Nodes, s.Length)
	for _, e := range s.Events {
		fmt.Fprintf(&b, "- {at: %s, kind: %s, node: %d, for: %s", e.At, e.Kind, e.Node, e.For)
		if e.How != "" {
			fmt.Fprintf(&b, ", how: %s", e.How)
		}
		if e.On != "" {
			fmt.Fprintf(&b, ", on: %s", e.On)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// Read returns the schedule in a file. Errors name the file and the line.
func Read(file string) (Schedule, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Schedule{}, gd.Invalid.Wrapf(err, "schedule")
	}
	var f fileSchedule
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.Strict()); err != nil {
		return Schedule{}, gd.Invalid.Errorf("%s: %s", file, strings.TrimSpace(err.Error()))
	}
	s := Schedule{Seed: f.Seed, Nodes: f.Nodes, Length: f.Length}
	for i, e := range f.Events {
		if e.Node < 0 || e.Node >= f.Nodes {
			return Schedule{}, gd.Invalid.Errorf("%s: key events[%d].node: there is no node %d", file, i, e.Node)
		}
		s.Events = append(s.Events, Event(e))
	}
	return s, nil
}
