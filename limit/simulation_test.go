package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The bound of the deployments on the runs of a workspace in any window.
const (
	simWindow  = 5 * time.Second
	simOverage = 0.1
	simSlack   = 20
)

// simulation is an event loop over virtual time, in which the nodes of a fleet get requests
// of workspaces with a quota at random.
type simulation struct {
	rnd       *rand.Rand
	terms     Terms
	now       time.Duration
	events    simEvents
	nodes     []*simNode
	directory []string                   // nodes that belong to the fleet
	runs      map[string][]time.Duration // by workspace: times at which clients sent the requests that ran
	issuers   map[simTable][]string
	refusals  float64 // part of the requests that no server takes
	requests  int
	over      int // refused with 429
	noIssuer  int // refused with 503
	messages  int
}

// simNode is a node with what package quota keeps for it.
type simNode struct {
	name       string
	isUp       bool
	isCut      bool          // exchanges no messages with others
	cutAt      time.Duration // since when
	pausedTo   time.Duration // until when the process is paused
	directory  []string      // as the node knows it
	issuer     *Issuer       // differs between processes of the node
	contacts   Contacts
	allowances map[string]*simAllowance
}

// simWorkspace is a workspace with its quota and the requests per second of its clients.
type simWorkspace struct {
	name   string
	quota  Quota
	demand func(now time.Duration) float64
}

// simTable identifies the issuers of a workspace in a version of the directory.
type simTable struct {
	workspace string
	directory *string
	length    int
}

type simAllowance struct {
	Allowance
	asking  bool
	waiting []time.Duration // when the clients sent the requests that wait for a token
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents struct {
	list  []simEvent
	count int
}

func (e *simEvents) Len() int { return len(e.list) }
func (e *simEvents) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (e *simEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *simEvents) Push(x any)    { e.list = append(e.list, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newSimulation(seed uint64, nodes int) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), terms: NewTerms(simWindow, simOverage, simSlack), runs: map[string][]time.Duration{}, issuers: map[simTable][]string{}}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprint("node-", i)})
		s.directory = append(s.directory, s.nodes[i].name)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// at has do run when d has passed.
func (s *simulation) at(d time.Duration, do func()) {
	s.events.count++
	heap.Push(&s.events, simEvent{s.now + d, s.events.count, do})
}

// onNode has the current process of n run do when d has passed, later if it is paused then,
// and never if it has ended.
func (s *simulation) onNode(n *simNode, d time.Duration, do func()) {
	process := n.issuer
	s.at(d, func() {
		switch {
		case n.issuer != process || !n.isUp:
		case n.pausedTo > s.now:
			s.onNode(n, n.pausedTo-s.now, do)
		default:
			do()
		}
	})
}

// run runs the simulation until the given time.
func (s *simulation) run(until time.Duration) {
	for s.events.Len() > 0 && s.events.list[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *simulation) start(n *simNode) {
	n.isUp, n.issuer, n.contacts, n.allowances = true, &Issuer{FirstTokens: s.terms.FirstTokens, retainedAt: s.now}, Contacts{}, map[string]*simAllowance{}
	n.directory = s.directory
}

// setDirectory changes the directory. Nodes learn of it within a second, and those that are
// cut off when that has ended.
func (s *simulation) setDirectory(nodes []string) {
	s.directory = nodes
	for _, n := range s.nodes {
		s.onNode(n, time.Duration(s.rnd.Int64N(int64(time.Second))), func() { s.learn(n) })
	}
}

func (s *simulation) learn(n *simNode) {
	if n.isCut {
		s.onNode(n, time.Second, func() { s.learn(n) })
		return
	}
	n.directory = s.directory // setDirectory replaces it, and changes none
	for _, a := range n.allowances {
		a.sources = nil // set when the next request arrives
	}
}

// serve has the clients of the workspaces send requests, by which at most one comes each millisecond
// to one workspace, and the nodes call Issuer.Retain.
func (s *simulation) serve(list []simWorkspace) {
	const step = time.Millisecond
	for _, w := range list {
		var arrive func()
		arrive = func() {
			for expected := w.demand(s.now) * step.Seconds(); expected > 0; expected-- {
				if s.rnd.Float64() < expected {
					s.send(s.nodes[s.rnd.IntN(len(s.nodes))], w)
				}
			}
			s.at(step, arrive)
		}
		s.at(0, arrive)
	}
	var retain func()
	retain = func() {
		for _, n := range s.nodes {
			s.onNode(n, 0, func() { s.retain(n, list) })
		}
		s.at(maxRetainInterval/10, retain)
	}
	s.at(0, retain)
}

func (s *simulation) retain(n *simNode, list []simWorkspace) {
	own := map[string]bool{}
	if n.isIsolated(s.now) {
		list = nil
	}
	for _, w := range list {
		if issuers, part := s.issuersOf(n, w); slices.Contains(issuers, n.name) {
			own[w.name] = true
			n.issuer.Issue(s.now, w.name, part.Rate, part.Burst, 0)
			if s.isNextSilent(n, w, len(issuers)) {
				n.issuer.Defer(s.now, w.name)
			}
		}
	}
	n.issuer.Retain(s.now, func(key string) bool { return own[key] })
}

// isIsolated reports whether n has been cut off for as long as a node issues without contact.
func (n *simNode) isIsolated(now time.Duration) bool {
	return n.isCut && now-n.cutAt >= 3*time.Second && len(n.directory) > MaxIssuers
}

// isNextSilent reports whether the node that would be the next issuer does not respond to n.
func (s *simulation) isNextSilent(n *simNode, w simWorkspace, issuers int) bool {
	first := FirstNodes(w.name, n.directory, issuers+1)
	if len(first) == issuers {
		return false
	}
	next := s.node(n.directory[first[issuers]])
	return !next.isUp || next.isCut || n.isCut || next.pausedTo > s.now
}

func (s *simulation) node(name string) *simNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == name })]
}

// issuersOf returns the issuers of a workspace by the directory that n knows, and the part
// of the quota that each issues.
func (s *simulation) issuersOf(n *simNode, w simWorkspace) ([]string, Quota) {
	count, part := s.terms.Issuers(w.quota, len(n.directory))
	key := simTable{w.name, &n.directory[0], len(n.directory)}
	issuers, ok := s.issuers[key]
	if !ok {
		for _, i := range FirstNodes(w.name, n.directory, count) {
			issuers = append(issuers, n.directory[i])
		}
		s.issuers[key] = issuers
	}
	return issuers, part
}

// send has a client send a request to n. The client of a VM that is down sends none.
func (s *simulation) send(n *simNode, w simWorkspace) {
	if !n.isUp {
		return
	}
	sentAt := s.now
	s.onNode(n, 0, func() {
		s.requests++
		a, ok := n.allowances[w.name]
		if !ok {
			a = &simAllowance{}
			n.allowances[w.name] = a
		}
		if len(a.sources) == 0 {
			issuers, _ := s.issuersOf(n, w)
			a.SetIssuers(issuers, n.name, s.rnd.IntN(MaxIssuers))
		}
		a.Arrive(s.now)
		a.waiting = append(a.waiting, sentAt)
		s.onNode(n, s.terms.Query, func() { s.refuse(a, n, s.now-s.terms.Query) })
		s.serveWaiting(n, w, a)
	})
}

// serveWaiting gives tokens to the requests that wait and asks issuers for more.
func (s *simulation) serveWaiting(n *simNode, w simWorkspace, a *simAllowance) {
	for len(a.waiting) > 0 {
		if token, ok := a.Take(s.now); ok {
			s.spend(n, w, a, token, a.waiting[0])
			a.waiting = a.waiting[1:]
			continue
		}
		if a.asking {
			return
		}
		issuer, ok := a.Next(s.now, &n.contacts)
		switch {
		case !ok:
			s.refuse(a, n, s.now)
		case issuer == n.name:
			s.record(n, a, issuer, s.issue(n, w, len(a.waiting)), s.now)
		default:
			s.ask(n, w, a, issuer)
		}
	}
}

// spend runs a request, or returns its token if no server takes it.
func (s *simulation) spend(n *simNode, w simWorkspace, a *simAllowance, token Token, sentAt time.Duration) {
	if s.rnd.Float64() < s.refusals {
		s.onNode(n, 5*time.Millisecond, func() { a.Return(s.now, token) })
		return
	}
	s.runs[w.name] = append(s.runs[w.name], sentAt)
}

// refuse refuses the requests that were sent until the given time and still wait.
func (s *simulation) refuse(a *simAllowance, n *simNode, until time.Duration) {
	for len(a.waiting) > 0 && a.waiting[0] <= until {
		if _, isOver := a.Wait(s.now, &n.contacts); isOver {
			s.over++
		} else {
			s.noIssuer++
		}
		a.waiting = a.waiting[1:]
	}
}

// issue has n reply to a request for tokens.
func (s *simulation) issue(n *simNode, w simWorkspace, want int) TokenReply {
	issuers, part := s.issuersOf(n, w)
	if !slices.Contains(issuers, n.name) || n.isIsolated(s.now) {
		return TokenReply{Unknown: true}
	}
	granted, wait := n.issuer.Issue(s.now, w.name, part.Rate, part.Burst, want)
	return TokenReply{Granted: granted, Wait: wait, Unknown: !n.issuer.HasStarted(s.now, w.name)}
}

// ask sends a request for tokens to another node. Messages take about a millisecond.
func (s *simulation) ask(n *simNode, w simWorkspace, a *simAllowance, issuer string) {
	s.messages++
	a.asking = true
	overdue, sentAt, want := false, s.now, a.Want(s.now, len(a.waiting))
	s.onNode(n, AskTimeout, func() {
		if !overdue {
			overdue, a.asking = true, false
			n.contacts.Failed(s.now, issuer)
			s.serveWaiting(n, w, a)
		}
	})
	m := s.node(issuer)
	transit := func() time.Duration {
		return 500*time.Microsecond + time.Duration(s.rnd.ExpFloat64()*float64(500*time.Microsecond))
	}
	s.onNode(m, transit(), func() {
		if n.isCut || m.isCut {
			return
		}
		reply := s.issue(m, w, want)
		s.onNode(n, transit(), func() {
			s.record(n, a, issuer, reply, sentAt)
			if !overdue {
				overdue, a.asking = true, false
			}
			s.serveWaiting(n, w, a)
		})
	})
}

func (s *simulation) record(n *simNode, a *simAllowance, issuer string, r TokenReply, sentAt time.Duration) {
	switch {
	case r.Unknown:
		n.contacts.Failed(s.now, issuer)
	case r.Granted > 0:
		n.contacts.Responded(issuer)
		a.Granted(s.now, issuer, r.Granted, sentAt+s.terms.Hold)
	default:
		n.contacts.Responded(issuer)
		a.Refused(s.now, issuer, r.Wait)
	}
}

// most returns the largest number of requests of a workspace that were sent within one window and ran.
func (s *simulation) most(workspace string) int {
	times := slices.Sorted(slices.Values(s.runs[workspace]))
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= simWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
