package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// discipline is a queueing discipline under test.
type discipline interface {
	submit(now time.Duration, it Item) bool
	start(now time.Duration) []Item
	done(now time.Duration, id uint64)
	expire(now time.Duration)
}

type fairQueue struct{ *Fair }

func (q fairQueue) submit(now time.Duration, it Item) bool { return q.Submit(now, it) == nil }
func (q fairQueue) start(now time.Duration) []Item         { return q.Start(now) }
func (q fairQueue) done(now time.Duration, id uint64)      { q.Done(now, id) }
func (q fairQueue) expire(now time.Duration)               { q.Expire(now) }

// fifoQueue is the baseline, a queue that serves calls in the order of arrival.
type fifoQueue struct {
	slots, running int
	waiting        []Item
}

func (q *fifoQueue) submit(_ time.Duration, it Item) bool {
	if len(q.waiting) >= 2*it.Limit {
		return false
	}
	q.waiting = append(q.waiting, it)
	return true
}

func (q *fifoQueue) start(time.Duration) []Item {
	n := min(q.slots-q.running, len(q.waiting))
	started := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	q.running += n
	return started
}

func (q *fifoQueue) done(time.Duration, uint64) { q.running-- }

func (q *fifoQueue) expire(now time.Duration) {
	for len(q.waiting) > 0 && q.waiting[0].Deadline <= now {
		q.waiting = q.waiting[1:]
	}
}

// workload describes the calls of one caller.
type workload struct {
	caller string
	mean   time.Duration // mean slot time
	share  float64       // share of the offered load
}

const (
	benchStep     = time.Millisecond
	benchTime     = 60 * time.Second
	benchDeadline = 3 * time.Second
	benchLimit    = 64
)

// shareRatios simulates one server with an offered load of twice its capacity. It
// returns for each caller the slot time that the caller got, relative to its fair
// share.
func shareRatios(q discipline, slots int, workloads []workload, seed uint64) []float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	type call struct {
		workload int
		begin    time.Duration
		slotTime time.Duration
	}
	calls := map[uint64]call{}
	ends := map[uint64]time.Duration{}
	got := make([]time.Duration, len(workloads))
	var id uint64
	for now := time.Duration(0); now < benchTime; now += benchStep {
		for i, w := range workloads {
			rate := 2 * w.share * float64(slots) * float64(benchStep) / float64(w.mean)
			for n := rate; rnd.Float64() < n; n-- {
				id++
				calls[id] = call{i, 0, time.Duration((0.5 + rnd.Float64()) * float64(w.mean))}
				q.submit(now, Item{ID: id, Caller: w.caller, Weight: 1, Limit: benchLimit, Deadline: now + benchDeadline})
			}
		}
		for i, at := range ends {
			if at <= now {
				got[calls[i].workload] += now - calls[i].begin
				q.done(now, i)
				delete(ends, i)
			}
		}
		q.expire(now)
		for _, it := range q.start(now) {
			c := calls[it.ID]
			c.begin = now
			calls[it.ID] = c
			ends[it.ID] = now + c.slotTime
		}
	}
	ratios := make([]float64, len(workloads))
	for i := range workloads {
		fairShare := float64(benchTime) * float64(slots) / float64(len(workloads))
		fairShare = min(fairShare, 2*workloads[i].share*float64(slots)*float64(benchTime))
		ratios[i] = float64(got[i]) / fairShare
	}
	return ratios
}

// BenchmarkFairShare offers short lookups and long uploads at twice the capacity.
// It reports the lowest ratio of a caller's slot time to its fair share over all
// servers of the deployment.
func BenchmarkFairShare(b *testing.B) {
	workloads := []workload{{"lookup", 5 * time.Millisecond, 0.25}, {"upload", 400 * time.Millisecond, 0.75}}
	for _, d := range []struct {
		name    string
		servers int
	}{{"puset", 13}, {"vltava", 10}} {
		for _, name := range []string{"fair", "fifo"} {
			b.Run(fmt.Sprintf("%s/%s", d.name, name), func(b *testing.B) {
				for range b.N {
					worst := 1.0
					for s := range d.servers {
						var q discipline = &fifoQueue{slots: 6}
						if name == "fair" {
							q = fairQueue{New(6)}
						}
						for _, r := range shareRatios(q, 6, workloads, uint64(s)) {
							worst = min(worst, r)
						}
					}
					b.ReportMetric(worst, "worst-share-ratio")
				}
			})
		}
	}
}
