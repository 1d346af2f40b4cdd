package server_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/geraniumdock/geraniumdock/queue"
	"github.com/geraniumdock/geraniumdock/retry"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	step         = time.Millisecond
	ingresses    = 10
	servers      = 10
	slots        = 6
	meanSlotTime = 20 * time.Millisecond
	deadline     = 500 * time.Millisecond
	duration     = 30 * time.Second
)

// chooser picks the servers for the calls of one ingress.
type chooser interface {
	choose(now time.Duration, tried []string) (string, bool)
	sent(now time.Duration, node string)
	ended(now time.Duration, node string, l server.Load, refused bool)
}

// twoCandidates chooses with server.Estimates, the code under test.
type twoCandidates struct {
	estimates *server.Estimates
	records   []server.Record
	rnd       *rand.Rand
}

func (c *twoCandidates) choose(now time.Duration, tried []string) (string, bool) {
	choice, ok := c.estimates.Choose(now, c.records, tried, c.rnd)
	return choice.Server.Node, ok
}

func (c *twoCandidates) sent(now time.Duration, node string) { c.estimates.Sent(now, node) }

func (c *twoCandidates) ended(now time.Duration, node string, l server.Load, refused bool) {
	c.estimates.Ended(now, node)
	c.estimates.Reported(now, node, l)
	if refused {
		c.estimates.Shed(now, node)
	}
}

// roundRobin is a baseline that picks the servers in turn.
type roundRobin struct {
	records []server.Record
	next    int
}

func (c *roundRobin) choose(_ time.Duration, tried []string) (string, bool) {
	for range c.records {
		c.next++
		if r := c.records[c.next%len(c.records)]; !slices.Contains(tried, r.Node) {
			return r.Node, true
		}
	}
	return "", false
}

func (c *roundRobin) sent(time.Duration, string) {}

func (c *roundRobin) ended(time.Duration, string, server.Load, bool) {}

// leastOutstanding is a baseline that picks the server with the fewest calls in
// flight from its ingress.
type leastOutstanding struct {
	records     []server.Record
	outstanding map[string]int
	rnd         *rand.Rand
}

func (c *leastOutstanding) choose(_ time.Duration, tried []string) (string, bool) {
	best, lowest := "", math.MaxInt
	for _, i := range c.rnd.Perm(len(c.records)) {
		if n := c.records[i].Node; !slices.Contains(tried, n) && c.outstanding[n] < lowest {
			best, lowest = n, c.outstanding[n]
		}
	}
	return best, best != ""
}

func (c *leastOutstanding) sent(_ time.Duration, node string) { c.outstanding[node]++ }

func (c *leastOutstanding) ended(_ time.Duration, node string, _ server.Load, _ bool) {
	c.outstanding[node]--
}

// simulation is a discrete-time simulation of servers with fair queues and of
// several ingresses with Poisson arrivals.
type simulation struct {
	rnd      *rand.Rand
	choosers []chooser
	queues   map[string]*queue.Fair
	slowdown map[string]float64 // by node: factor of the slot time
	budgets  []retry.Budget     // by ingress; if nil, every call gets retry.MaxAttempts attempts
	calls    map[uint64]*simCall
	ends     map[uint64]time.Duration

	offered, answered, attempts int
	responseTimes               []time.Duration
}

type simCall struct {
	ingress  int
	node     string
	arrived  time.Duration
	slotTime time.Duration
	tried    []string
	deadline time.Duration
}

func newSimulation(newChooser func(i int, records []server.Record) chooser) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(1, 2)), queues: map[string]*queue.Fair{}, slowdown: map[string]float64{}, calls: map[uint64]*simCall{}, ends: map[uint64]time.Duration{}}
	var records []server.Record
	for i := range servers {
		r := server.Record{Node: fmt.Sprint("s", i), DataCentre: fmt.Sprint("dc", i%3), Region: "r", Slots: slots}
		records = append(records, r)
		s.queues[r.Node] = queue.New(slots)
		s.slowdown[r.Node] = 1
	}
	for i := range ingresses {
		s.choosers = append(s.choosers, newChooser(i, records))
	}
	return s
}

// run simulates calls whose rate is the given multiple of the servers' capacity.
func (s *simulation) run(load float64) {
	callsPerStep := load * servers * slots * float64(step) / float64(meanSlotTime)
	for now := time.Duration(0); now < duration; now += step {
		for n := s.poisson(callsPerStep); n > 0; n-- {
			s.arrive(now)
		}
		s.finish(now)
		for node, q := range s.queues {
			for _, it := range q.Expire(now) {
				s.end(now, it.ID, node, true)
			}
			for _, it := range q.Start(now) {
				s.ends[it.ID] = now + s.calls[it.ID].slotTime
			}
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p := 0, s.rnd.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.rnd.Float64()
	}
	return n
}

func (s *simulation) arrive(now time.Duration) {
	s.offered++
	c := &simCall{ingress: s.rnd.IntN(ingresses), arrived: now, deadline: now + deadline}
	c.slotTime = time.Duration(s.rnd.ExpFloat64() * float64(meanSlotTime))
	if s.budgets != nil {
		s.budgets[c.ingress].AddCall(now, 10)
	}
	s.attempt(now, c)
}

func (s *simulation) attempt(now time.Duration, c *simCall) {
	ch := s.choosers[c.ingress]
	for {
		node, ok := ch.choose(now, c.tried)
		if !ok {
			return
		}
		s.attempts++
		ch.sent(now, node)
		id := uint64(s.attempts)
		err := s.queues[node].Submit(now, queue.Item{ID: id, Caller: "a", Weight: 1, Limit: 64, Deadline: c.deadline})
		if err == nil {
			c.node = node
			c.slotTime = time.Duration(float64(c.slotTime) * s.slowdown[node])
			s.calls[id] = c
			return
		}
		ch.ended(now, node, s.load(node), true)
		c.tried = append(c.tried, node)
		if len(c.tried) == retry.MaxAttempts || s.budgets != nil && !s.budgets[c.ingress].Take(now) {
			return
		}
	}
}

func (s *simulation) load(node string) server.Load {
	q := s.queues[node]
	return server.Load{Queued: q.Waiting(), Running: q.Running(), SlotTime: q.Mean()}
}

func (s *simulation) finish(now time.Duration) {
	for id, at := range s.ends {
		if at > now {
			continue
		}
		c := s.calls[id]
		s.queues[c.node].Done(now, id)
		delete(s.ends, id)
		if now <= c.deadline {
			s.answered++
			s.responseTimes = append(s.responseTimes, now-c.arrived)
		}
		s.end(now, id, c.node, false)
	}
}

func (s *simulation) end(now time.Duration, id uint64, node string, refused bool) {
	s.choosers[s.calls[id].ingress].ended(now, node, s.load(node), refused)
	delete(s.calls, id)
}

func (s *simulation) p99() time.Duration {
	slices.Sort(s.responseTimes)
	return s.responseTimes[len(s.responseTimes)*99/100]
}

func newTwoCandidates(i int, records []server.Record) chooser {
	locality := server.Locality{DataCentre: fmt.Sprint("dc", i%3), Region: "r"}
	return &twoCandidates{server.NewEstimates(locality), records, rand.New(rand.NewPCG(uint64(i), 3))}
}

// BenchmarkServerChoice compares the ways of choosing a server at 0.7 of the
// capacity, with one of ten servers four times slower than the others.
func BenchmarkServerChoice(b *testing.B) {
	for name, newChooser := range map[string]func(int, []server.Record) chooser{
		"two-candidates": newTwoCandidates,
		"round-robin":    func(_ int, r []server.Record) chooser { return &roundRobin{records: r} },
		"least-outstanding": func(i int, r []server.Record) chooser {
			return &leastOutstanding{r, map[string]int{}, rand.New(rand.NewPCG(uint64(i), 3))}
		},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				s := newSimulation(newChooser)
				s.slowdown["s0"] = 4
				s.run(0.7)
				b.ReportMetric(float64(s.p99().Microseconds())/1000, "p99-wait-ms")
				b.ReportMetric(float64(s.answered)/float64(s.offered), "answered-ratio")
			}
		})
	}
}

// BenchmarkOverload offers twice the capacity, with a retry budget and with three
// attempts for every call.
func BenchmarkOverload(b *testing.B) {
	for _, budget := range []bool{true, false} {
		b.Run(fmt.Sprintf("budget=%v", budget), func(b *testing.B) {
			for range b.N {
				s := newSimulation(newTwoCandidates)
				if budget {
					s.budgets = make([]retry.Budget, ingresses)
				}
				s.run(2)
				capacity := duration.Seconds() * servers * slots / meanSlotTime.Seconds()
				b.ReportMetric(float64(s.answered)/capacity, "goodput-ratio")
				b.ReportMetric(float64(s.attempts)/float64(s.offered), "attempts/call")
			}
		})
	}
}
