package roster

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// watcherAmong returns the state of the node among n that is at the given place in the order of
// the candidates.
func watcherAmong(n, place int) *state {
	var names []string
	for i := range n {
		names = append(names, nodeName(i))
	}
	s, _, _ := stateWith(n, names...)
	sortCandidates(names)
	s.r.cfg.Self.Node = names[place]
	return s
}

// handOver has the node of s hand over, as after a call that the store has refused.
func handOver(s *state) {
	done := make(chan struct{})
	go func() { defer close(done); s.r.handOver(context.Background()) }()
	(<-s.r.changes)(s)
	<-done
	runChanges(s)
}

// TestRefusedNodeCountsAsWatcher guards against nodes that the store refuses and in place of
// which no other node watches the policy.
func TestRefusedNodeCountsAsWatcher(t *testing.T) {
	is := is.New(t)
	s := watcherAmong(100, watcherCount)
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
	s.r.cfg.Clock.(interface{ Advance(time.Duration) }).Advance(refusedHearsayTTL)
	s.expire()
	s.publishSnapshot()
	is.True(!s.r.IsWatcher()) // unless it is told again
}

// TestRefusedWatcherTellsTheNext has the store refuse a node that watches. It must tell the
// nodes that are to watch then, try again later, and give up if all candidates are refused.
func TestRefusedWatcherTellsTheNext(t *testing.T) {
	is := is.New(t)
	s := watcherAmong(100, 0)
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

	s.r.cfg.Clock.(interface{ Advance(time.Duration) }).Advance(refusedTTL)
	s.expire()
	s.publishSnapshot()
	is.True(s.r.IsWatcher())

	names := nodesOf(s.directory.Records())
	sortCandidates(names)
	s.recordRefused(names[1:candidateCount])
	handOver(s)
	is.Equal(len(s.r.watchers()), 0)
}

// TestRefusedPollerBreaksTheChain guards against a node that is told to watch and does not hand
// over, since the store has refused a poll of it before.
func TestRefusedPollerBreaksTheChain(t *testing.T) {
	is := is.New(t)
	s := watcherAmong(100, watcherCount)
	handOver(s) // after a poll
	s.recordRefused(nodesOf(s.r.watchers())[:1])
	s.publishSnapshot()
	is.True(s.r.IsWatcher())
}

// TestServedNodeIsTakenForRefused guards against nodes that go on watching in place of one which
// the store serves again, after it has waited until its next try.
func TestServedNodeIsTakenForRefused(t *testing.T) {
	is := is.New(t)
	s := watcherAmong(100, 0)
	network := s.r.cfg.Exchanger.(*deadNetwork)
	s.regain() // it has not handed over
	runChanges(s)
	is.Equal(len(network.asked), 0)
	handOver(s)
	s.r.cfg.Clock.(interface{ Advance(time.Duration) }).Advance(refusedTTL)
	s.expire()
	s.publishSnapshot()
	network.asked = nil
	s.regain()
	runChanges(s)
	is.Equal(len(network.asked), candidateCount-1) // all others that may watch
}
