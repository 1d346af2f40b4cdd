package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
)

// Finding is a violation of a guarantee.
type Finding struct {
	Check string
	Text  string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Check + ": " + f.Text }

// Bounds that the checks enforce. They are the platform's bounds on the nodes and
// the settings that the nodes run with.
const (
	drainBound  = 2 * time.Second  // from the acknowledgement that a server drains to its last request
	graceBound  = 6 * time.Second  // from SIGTERM to the exit of the process
	applyBound  = 2 * time.Second  // from the acknowledgement of a policy version until it is in force
	recoverTime = 15 * time.Second // from the last event until all nodes serve requests
	touchTime   = 3 * time.Second  // time without faults after which the other bounds apply
	repeatRatio = 0.2              // repeats allowed per request in a window
	repeatSlack = 20.0             // repeats allowed in a window in addition to the ratio
	repeatSpan  = 10 * time.Second // length of a window
	memoryMB    = 284              // resident memory of one process
	descriptors = 4100             // open file descriptors of one process
)

// checks lists all checks. Those with isTimed set enforce a time bound and are
// skipped if the machine is shared with other work.
var checks = []struct {
	name    string
	isTimed bool
	find    func(*view) []string
}{
	{"runs-twice", false, (*view).runsTwice},
	{"refused-yet-ran", false, (*view).refusedYetRan},
	{"wrong-answer", false, (*view).wrongAnswers},
	{"not-asked", false, (*view).notAsked},
	{"version-back", false, (*view).versionsBack},
	{"lost-at-stop", false, (*view).lostAtStop},
	{"repeats", false, (*view).repeats},
	{"resources", false, (*view).resources},
	{"process-end", false, (*view).processEnds},
	{"left-over", false, (*view).leftOvers},
	{"drain-bound", true, (*view).lateForDrain},
	{"apply-bound", true, (*view).lateVersions},
	{"grace-bound", true, (*view).lateEnds},
	{"recovery", true, (*view).notRecovered},
}

// view is a record with indexes for the checks.
type view struct {
	*record
	byID map[string]*request
	runs map[string][]backend.Run // by request ID
}

// check runs the checks on a record, including the timed ones if timed is set.
func check(r *record, timed bool) []Finding {
	v := &view{record: r, byID: map[string]*request{}, runs: map[string][]backend.Run{}}
	for _, q := range r.requests {
		v.byID[q.id] = q
	}
	for _, s := range r.servers {
		for _, run := range s.Runs() {
			v.runs[run.ID] = append(v.runs[run.ID], run)
		}
	}
	var findings []Finding
	for _, c := range checks {
		if c.isTimed && !timed {
			continue
		}
		for _, text := range c.find(v) {
			findings = append(findings, Finding{c.name, text})
		}
	}
	return findings
}

func (v *view) runsTwice() (found []string) {
	for _, q := range v.requests {
		if n := len(v.runs[q.id]); q.unsafe && n > 1 {
			found = append(found, fmt.Sprintf("request %s of node %d must run at most once but ran %d times", q.id, q.node, n))
		}
	}
	return found
}

func (v *view) refusedYetRan() (found []string) {
	for _, q := range v.requests {
		switch q.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if q.unsafe && !q.sealed && len(v.runs[q.id]) > 0 {
				found = append(found, fmt.Sprintf("request %s was refused with status %d but ran", q.id, q.status))
			}
		}
	}
	return found
}

func (v *view) wrongAnswers() (found []string) {
	for _, q := range v.requests {
		if q.status < http.StatusOK || q.status >= http.StatusMultipleChoices {
			continue
		}
		switch {
		case q.answer != backend.Answer(q.id, q.body):
			found = append(found, fmt.Sprintf("request %s got status %d with the wrong body %q", q.id, q.status, q.answer))
		case !q.sealed:
			found = append(found, fmt.Sprintf("request %s got status %d without the signature of a server", q.id, q.status))
		}
	}
	return found
}

func (v *view) notAsked() (found []string) {
	for id, runs := range v.runs {
		q, ok := v.byID[id]
		if !ok {
			found = append(found, fmt.Sprintf("request %q ran but no client sent it", id))
			continue
		}
		for _, r := range runs {
			if r.Method != q.method || r.Target != q.target || r.Body != q.body || r.Caller != q.caller {
				found = append(found, fmt.Sprintf("request %s differed when it ran: %s %s from caller %s with a body of %d bytes", id, r.Method, r.Target, r.Caller, len(r.Body)))
			}
		}
	}
	slices.Sort(found)
	return found
}

func (v *view) versionsBack() (found []string) {
	type process struct{ node, life int }
	newest := map[process]uint64{}
	for _, s := range v.samples {
		p := process{s.node, s.life}
		if s.version < newest[p] {
			found = append(found, fmt.Sprintf("node %d went back from policy version %d to %d", s.node, newest[p], s.version))
		}
		newest[p] = s.version
	}
	return found
}

// lostAtStop finds requests that ran but got no answer because their node closed
// the connection during a graceful stop. It ignores requests sent or answered
// close to a fault.
func (v *view) lostAtStop() (found []string) {
	for _, q := range v.requests {
		if q.err == nil || len(v.runs[q.id]) == 0 || q.ended-q.sent >= q.deadline || !v.isCalm(q.sent, q.ended) {
			continue
		}
		for _, l := range v.lives {
			if l.node == q.node && l.signalled > 0 && q.sent > l.started && q.sent < l.signalled+graceBound && q.ended > l.signalled {
				found = append(found, fmt.Sprintf("request %s ran but node %d closed its connection while stopping: %v", q.id, q.node, q.err))
			}
		}
	}
	return found
}

// isCalm reports whether only planned events occurred from touchTime before from
// until to.
func (v *view) isCalm(from, to time.Duration) bool {
	return !slices.ContainsFunc(v.events, func(e Event) bool {
		return !e.IsPlanned() && e.At < to && e.At+e.For+touchTime > from
	})
}

// repeats finds the first window in which servers ran more repeated requests than
// the retry budget allows.
func (v *view) repeats() (found []string) {
	var sent, again []time.Duration
	for _, q := range v.requests {
		sent = append(sent, q.sent)
		for range max(0, len(v.runs[q.id])-1) {
			again = append(again, q.sent)
		}
	}
	slices.Sort(sent)
	slices.Sort(again)
	for _, at := range again {
		n := between(again, at, at+repeatSpan)
		requests := max(between(sent, at, at+repeatSpan), between(sent, at-repeatSpan, at))
		if float64(n) > repeatRatio*float64(requests)+repeatSlack {
			return []string{fmt.Sprintf("%d repeats for %d requests in the window that starts at %s", n, requests, at)}
		}
	}
	return nil
}

// between returns the number of elements of the sorted list in the interval [a, b).
func between(list []time.Duration, a, b time.Duration) int {
	from, _ := slices.BinarySearch(list, a)
	to, _ := slices.BinarySearch(list, b)
	return to - from
}

func (v *view) resources() (found []string) {
	for _, s := range v.samples {
		if s.residentMB > memoryMB || s.descriptors > descriptors {
			found = append(found, fmt.Sprintf("node %d used %d MB of memory and %d file descriptors", s.node, s.residentMB, s.descriptors))
		}
	}
	return found
}

func (v *view) processEnds() (found []string) {
	for _, l := range v.lives {
		switch {
		case strings.Contains(l.stderr, "panic:") || strings.Contains(l.stderr, "DATA RACE"):
			found = append(found, fmt.Sprintf("node %d wrote to standard error: %.300s", l.node, l.stderr))
		case l.ended > 0 && l.killed == 0 && l.signalled == 0:
			found = append(found, fmt.Sprintf("node %d exited unexpectedly: %v", l.node, l.exit))
		case l.ended > 0 && l.killed == 0 && l.exit != nil:
			found = append(found, fmt.Sprintf("node %d exited with an error after SIGTERM: %v", l.node, l.exit))
		}
	}
	return found
}

func (v *view) leftOvers() (found []string) {
	for _, id := range v.leftOver {
		found = append(found, fmt.Sprintf("process %d did not exit", id))
	}
	return found
}

func (v *view) lateForDrain() (found []string) {
	for _, d := range v.departures {
		for _, s := range v.servers {
			if s.Instance != d.instance {
				continue
			}
			for _, r := range s.Runs() {
				at := r.At.Sub(v.began)
				if late := at - d.at; late > drainBound && v.isInTouch(d.node, at) {
					found = append(found, fmt.Sprintf("request %s reached %s %s after the node acknowledged that it drains", r.ID, s.Instance, late))
				}
			}
		}
	}
	return found
}

func (v *view) lateVersions() (found []string) {
	for _, s := range v.samples {
		for _, w := range v.written {
			if s.version < w.version && s.at > w.at+applyBound && v.isInTouch(s.node, s.at) {
				found = append(found, fmt.Sprintf("node %d had policy version %d at %s, but version %d was written at %s", s.node, s.version, s.at, w.version, w.at))
			}
		}
	}
	return found
}

// isInTouch reports whether neither the node nor the store was disturbed in the
// touchTime before at.
func (v *view) isInTouch(node int, at time.Duration) bool {
	for _, l := range v.lives {
		if l.node == node && l.started <= at && l.started > at-touchTime || l.node == node && l.signalled > 0 && l.signalled < at && (l.ended == 0 || l.ended > at-touchTime) {
			return false
		}
	}
	return !slices.ContainsFunc(v.events, func(e Event) bool {
		concerns := e.Node == node && e.Kind != Policy && e.Kind != ServerDrain || e.Kind == StoreFault || e.Kind == Forget
		return concerns && e.At < at && e.At+e.For > at-touchTime
	})
}

func (v *view) lateEnds() (found []string) {
	for _, l := range v.lives {
		paused := slices.ContainsFunc(v.events, func(e Event) bool {
			return e.Kind == Pause && e.Node == l.node && e.At < l.ended && e.At+e.For > l.signalled
		})
		if l.signalled > 0 && l.killed >= l.signalled+graceBound && !paused {
			found = append(found, fmt.Sprintf("node %d was still running %s after SIGTERM", l.node, graceBound))
		}
	}
	return found
}

func (v *view) notRecovered() (found []string) {
	for _, node := range v.unserved {
		found = append(found, fmt.Sprintf("node %d did not serve a request within %s of the last event", node, recoverTime))
	}
	return found
}

// Summary returns the number of findings of each check, one check per line.
func Summary(findings []Finding) string {
	counts := map[string]int{}
	for _, f := range findings {
		counts[f.Check]++
	}
	var lines []string
	for _, c := range checks {
		lines = append(lines, fmt.Sprintf("%-16s %d", c.name, counts[c.name]))
	}

	return strings.Join(lines, "\n")
}

// Checks returns the names of all checks.
func Checks() []string {
	var names []string
	for _, c := range checks {
		names = append(names, c.name)
	}
	return names
}
