package roster

import (
	"context"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
)

// watcherAmong returns the state of the node among n that is at the given place in the order of
// the candidates.
func watcherAmong(n, place int) (*state, *clock.Fake) {
	var names []string
	for i := range n {
		names = append(names, nodeName(i))
	}
	s, _, clk := stateWith(n, names...)
	sortCandidates(names)
	s.r.cfg.Self.Node = names[place]
	return s, clk
}

// handOver has the node of s hand over, as after a call that the store has refused.
func handOver(s *state) {
	done := make(chan struct{})
	go func() { defer close(done); s.r.handOver(context.Background()) }()
	(<-s.r.changes)(s)
	<-done
	runChanges(s)
}

// TestRefusedNodeCountsAsWatcher guards against refused nodes in place of which no other watches.
func TestRefusedNodeCountsAsWatcher(t *testing.T) {
	is := is.New(t)
	s, clk := watcherAmong(100, watcherCount)
	is.True(!s.r.IsWatcher())
	first := nodesOf(s.r.watchers())
	s.receive(Message{Push: true, Refused: first[:1]})
	s.publishSnapshot()
	is.True(s.r.IsWatcher())
	is.Equal(nodesOf(s.r.watchers()), append(first[1:], s.r.cfg.Self.Node))
	s.receive(Message{Node: first[0], Push: true, Served: true})
	s.publishSnapshot()
	is.True(!s.r.IsWatcher())
	s.receive(Message{Push: true, Refused: first[:1]})
	clk.Advance(refusedHearsayTTL)
	s.expire()
	s.publishSnapshot()
	is.True(!s.r.IsWatcher()) // the mark has expired
}

// TestRefusedWatcherTellsTheNext guards against a refused node that watches and tells no other.
func TestRefusedWatcherTellsTheNext(t *testing.T) {
	is := is.New(t)
	s, clk := watcherAmong(100, 0)
	network := s.r.cfg.Exchanger.(*deadNetwork)
	handOver(s)
	is.True(!s.r.IsWatcher())
	next := s.r.watchers()
	is.Equal(len(next), watcherCount)
	for _, rec := range next {
		is.True(slices.Contains(network.asked, rec.Address))
	}
	network.asked = nil
	handOver(s) // does not watch, so it tells nobody
	is.Equal(len(network.asked), 0)

	clk.Advance(refusedTTL)
	s.expire()
	s.publishSnapshot()
	is.True(s.r.IsWatcher())

	names := nodesOf(s.directory.Records())
	sortCandidates(names)
	s.recordRefused(names[1:candidateCount])
	handOver(s)
	is.Equal(len(s.r.watchers()), 0)
}

// TestRefusedPollerBreaksTheChain guards against a watch that ends with a node whose last poll was refused.
func TestRefusedPollerBreaksTheChain(t *testing.T) {
	is := is.New(t)
	s, _ := watcherAmong(100, watcherCount)
	handOver(s) // a poll was refused, which hands nothing over
	s.recordRefused(nodesOf(s.r.watchers())[:1])
	s.publishSnapshot()
	is.True(s.r.IsWatcher())
}

// TestServedNodeIsTakenForRefused guards against nodes that watch in place of one that is served again.
func TestServedNodeIsTakenForRefused(t *testing.T) {
	is := is.New(t)
	s, clk := watcherAmong(100, 0)
	network := s.r.cfg.Exchanger.(*deadNetwork)
	s.regain() // it has not handed over
	runChanges(s)
	is.Equal(len(network.asked), 0)
	handOver(s)
	clk.Advance(refusedTTL)
	s.expire()
	s.publishSnapshot()
	network.asked = nil
	s.regain()
	runChanges(s)
	is.Equal(len(network.asked), candidateCount-1) // all others that may watch
}
