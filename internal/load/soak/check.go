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
	drainBound     = 2 * time.Second  // from the acknowledgement that a server drains to its last request
	graceBound     = 6 * time.Second  // from SIGTERM to the exit of the process
	applyBound     = 2 * time.Second  // from the acknowledgement of a policy version until it is in force
	recoveryBound  = 15 * time.Second // from the last event until all nodes serve requests
	quietPeriod    = 3 * time.Second  // time without faults after which the other bounds apply
	repeatRatio    = 0.2              // retries allowed per request in a window
	repeatSlack    = 20.0             // retries allowed in a window in addition to the ratio
	repeatWindow   = 10 * time.Second // length of the window for repeatRatio and repeatSlack
	limitRatio     = 1.5              // requests that a limited server may get, relative to its limit
	limitSlack     = 5                // requests that it may get in addition in a window
	limitWindow    = 4 * time.Second  // length of the window for limitRatio and limitSlack
	limitDelay     = 3 * time.Second  // from the first response with a limit until it is enforced
	maxMemoryMB    = 284              // resident memory of one process
	maxDescriptors = 4100             // open file descriptors of one process
)

// versionLimit is how long nodes without the last policy version are waited for after
// the last event. It is far above applyBound, so that load does not matter.
const versionLimit = 30 * time.Second

// checks lists all checks. Those with isTimed set enforce a time bound and are
// skipped if the machine is shared with other work.
var checks = []struct {
	name    string
	isTimed bool
	find    func(*observations) []string
}{
	{"runs-twice", false, (*observations).duplicateRuns},
	{"refused-yet-ran", false, (*observations).refusedButRan},
	{"wrong-answer", false, (*observations).wrongResponses},
	{"not-asked", false, (*observations).unmatchedRuns},
	{"version-back", false, (*observations).versionRegressions},
	{"lost-at-stop", false, (*observations).lostAtStop},
	{"repeats", false, (*observations).excessRetries},
	{"server-limit", false, (*observations).runsOverLimit},
	{"server-leave", false, (*observations).runsAfterLeave},
	{"key-missing", false, (*observations).runsWithoutKey},
	{"workspace", false, (*observations).wrongWorkspaces},
	{"key-withdrawn", false, (*observations).withdrawnKeys},
	{"quota", false, (*observations).runsOverQuota},
	{"resources", false, (*observations).resources},
	{"policy-missed", false, (*observations).missedVersions},
	{"process-end", false, (*observations).unexpectedExits},
	{"left-over", false, (*observations).leftOverProcesses},
	{"drain-bound", true, (*observations).lateRunsAfterDrain},
	{"apply-bound", true, (*observations).lateVersions},
	{"key-bound", true, (*observations).lateKeys},
	{"grace-bound", true, (*observations).lateExits},
	{"recovery", true, (*observations).unrecoveredNodes},
}

// observations is a record with indexes for the checks.
type observations struct {
	*record
	byID map[string]*request
	runs map[string][]backend.Run // by request ID
}

// check runs the checks on a record, including the timed ones if timed is set.
func check(r *record, timed bool) []Finding {
	o := &observations{record: r, byID: map[string]*request{}, runs: map[string][]backend.Run{}}
	for _, q := range r.requests {
		o.byID[q.id] = q
	}
	for _, s := range r.servers {
		for _, run := range s.Runs() {
			o.runs[run.ID] = append(o.runs[run.ID], run)
		}
	}
	var findings []Finding
	for _, c := range checks {
		if c.isTimed && !timed {
			continue
		}
		for _, text := range c.find(o) {
			findings = append(findings, Finding{c.name, text})
		}
	}
	return findings
}

func (o *observations) duplicateRuns() (found []string) {
	for _, q := range o.requests {
		if n := len(o.runs[q.id]); q.nonIdempotent && n > 1 {
			found = append(found, fmt.Sprintf("request %s of node %d must run at most once but ran %d times", q.id, q.node, n))
		}
	}
	return found
}

func (o *observations) refusedButRan() (found []string) {
	for _, q := range o.requests {
		switch q.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if q.nonIdempotent && !q.signed && len(o.runs[q.id]) > 0 {
				found = append(found, fmt.Sprintf("request %s was refused with status %d but ran", q.id, q.status))
			}
		}
	}
	return found
}

func (o *observations) wrongResponses() (found []string) {
	for _, q := range o.requests {
		if q.status < http.StatusOK || q.status >= http.StatusMultipleChoices {
			continue
		}
		switch {
		case q.responseBody != backend.ResponseBody(q.id, q.body):
			found = append(found, fmt.Sprintf("request %s got status %d with the wrong body %q", q.id, q.status, q.responseBody))
		case !q.signed:
			found = append(found, fmt.Sprintf("request %s got status %d without the signature of a server", q.id, q.status))
		}
	}
	return found
}

// unmatchedRuns finds runs of requests that no client sent, or that differ from what
// the client sent.
func (o *observations) unmatchedRuns() (found []string) {
	for id, runs := range o.runs {
		q, ok := o.byID[id]
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

func (o *observations) versionRegressions() (found []string) {
	type process struct{ node, incarnation int }
	newest := map[process]uint64{}
	for _, s := range o.samples {
		p := process{s.node, s.incarnation}
		if s.version < newest[p] {
			found = append(found, fmt.Sprintf("node %d went back from policy version %d to %d", s.node, newest[p], s.version))
		}
		newest[p] = s.version
	}
	return found
}

// lostAtStop finds requests that ran but got no response because their node closed
// the connection during a graceful stop. It ignores requests sent or ended
// close to a fault.
func (o *observations) lostAtStop() (found []string) {
	for _, q := range o.requests {
		if q.err == nil || len(o.runs[q.id]) == 0 || q.ended-q.sent >= q.deadline || !o.onlyPlannedEvents(q.sent, q.ended) {
			continue
		}
		for _, inc := range o.incarnations {
			if inc.node == q.node && inc.signaled > 0 && q.sent > inc.started && q.sent < inc.signaled+graceBound && q.ended > inc.signaled {
				found = append(found, fmt.Sprintf("request %s ran but node %d closed its connection while stopping: %v", q.id, q.node, q.err))
			}
		}
	}
	return found
}

// onlyPlannedEvents reports whether no fault was active between quietPeriod before
// from and to.
func (o *observations) onlyPlannedEvents(from, to time.Duration) bool {
	return !slices.ContainsFunc(o.events, func(e Event) bool {
		return !e.IsPlanned() && e.At < to && e.At+e.For+quietPeriod > from
	})
}

// excessRetries finds the first window in which servers ran more retries than the
// retry budget allows.
func (o *observations) excessRetries() (found []string) {
	var sent, retried []time.Duration
	for _, q := range o.requests {
		sent = append(sent, q.sent)
		for range max(0, len(o.runs[q.id])-1) {
			retried = append(retried, q.sent)
		}
	}
	slices.Sort(sent)
	slices.Sort(retried)
	for _, at := range retried {
		n := countBetween(retried, at, at+repeatWindow)
		requests := max(countBetween(sent, at, at+repeatWindow), countBetween(sent, at-repeatWindow, at))
		if float64(n) > repeatRatio*float64(requests)+repeatSlack {
			return []string{fmt.Sprintf("%d retries for %d requests in the window that starts at %s", n, requests, at)}
		}
	}
	return nil
}

// countBetween returns the number of elements of the sorted list in the interval
// [a, b).
func countBetween(list []time.Duration, a, b time.Duration) int {
	from, _ := slices.BinarySearch(list, a)
	to, _ := slices.BinarySearch(list, b)
	return to - from
}

func (o *observations) resources() (found []string) {
	for _, s := range o.samples {
		if s.residentMB > maxMemoryMB || s.descriptors > maxDescriptors {
			found = append(found, fmt.Sprintf("node %d used %d MB of memory and %d file descriptors", s.node, s.residentMB, s.descriptors))
		}
	}
	return found
}

func (o *observations) unexpectedExits() (found []string) {
	for _, inc := range o.incarnations {
		switch {
		case strings.Contains(inc.stderr, "panic:") || strings.Contains(inc.stderr, "DATA RACE"):
			found = append(found, fmt.Sprintf("node %d wrote to standard error: %.300s", inc.node, inc.stderr))
		case inc.ended > 0 && inc.killed == 0 && inc.signaled == 0:
			found = append(found, fmt.Sprintf("node %d exited unexpectedly: %v", inc.node, inc.exit))
		case inc.ended > 0 && inc.killed == 0 && inc.exit != nil:
			found = append(found, fmt.Sprintf("node %d exited with an error after SIGTERM: %v", inc.node, inc.exit))
		}
	}
	return found
}

func (o *observations) leftOverProcesses() (found []string) {
	for _, id := range o.leftOver {
		found = append(found, fmt.Sprintf("process %d did not exit", id))
	}
	return found
}

func (o *observations) lateRunsAfterDrain() (found []string) {
	for _, d := range o.drains {
		for _, s := range o.servers {
			if s.Instance != d.instance {
				continue
			}
			for _, r := range s.Runs() {
				at := r.At.Sub(o.began)
				if late := at - d.at; late > drainBound && o.isUndisturbed(d.node, at) {
					found = append(found, fmt.Sprintf("request %s reached %s %s after the node acknowledged that it drains", r.ID, s.Instance, late))
				}
			}
		}
	}
	return found
}

// runsOverLimit finds the first window of each limit in which its server ran more
// requests than it tolerates.
func (o *observations) runsOverLimit() (found []string) {
	for _, s := range o.servers {
		for _, l := range s.Limits() {
			var at []time.Duration
			for _, r := range s.Runs() {
				if l.Stated > 0 && r.At.Sub(l.Stated) >= limitDelay && (l.Lifted == 0 || r.At.Before(l.Lifted)) {
					at = append(at, r.At.Sub(o.began))
				}
			}
			tolerated := limitRatio*l.PerSecond*limitWindow.Seconds() + limitSlack
			for _, from := range at {
				if n := countBetween(at, from, from+limitWindow); float64(n) > tolerated {
					found = append(found, fmt.Sprintf("%s accepts %.1f requests/s and ran %d from %s on, within %s", s.Instance, l.PerSecond, n, from, limitWindow))
					break
				}
			}
		}
	}
	return found
}

// runsAfterLeave finds requests that a node sent to a server later than drainBound after
// it had passed on a response of that server which states that it leaves.
func (o *observations) runsAfterLeave() (found []string) {
	for _, s := range o.servers {
		passedOn := map[int]time.Duration{} // by node: time of the first such response
		for _, r := range s.Runs() {
			q, ok := o.byID[r.ID]
			if !ok || !q.fromLeaving || !o.isLastRun(r) {
				continue
			}
			if at, ok := passedOn[q.node]; !ok || q.ended < at {
				passedOn[q.node] = q.ended
			}
		}
		for _, r := range s.Runs() {
			q, ok := o.byID[r.ID]
			if !ok {
				continue
			}
			if at, ok := passedOn[q.node]; ok && q.sent > at+drainBound && !o.wasInterrupted(q.node, at, q.sent) {
				found = append(found, fmt.Sprintf("request %s reached %s %s after node %d had passed on that it leaves", r.ID, s.Instance, q.sent-at, q.node))
			}
		}
	}
	return found
}

// isLastRun reports whether the response to the request, if it got one, is that of the run.
// Earlier runs of it on other servers were cut off.
func (o *observations) isLastRun(r backend.Run) bool {
	return !slices.ContainsFunc(o.runs[r.ID], func(other backend.Run) bool { return other.At > r.At })
}

// wasInterrupted reports whether the node was started, stopped or paused in the interval
// [from, to].
func (o *observations) wasInterrupted(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(o.incarnations, func(inc *incarnation) bool {
		return inc.node == node && inc.started >= from && inc.started <= to
	}) || slices.ContainsFunc(o.events, func(e Event) bool {
		return e.Kind == Pause && e.Node == node && e.At <= to && e.At+e.For >= from
	})
}

func (o *observations) lateVersions() (found []string) {
	for _, s := range o.samples {
		for _, w := range o.policyWrites {
			if s.version < w.version && s.at > w.at+applyBound && o.isUndisturbed(s.node, s.at) {
				found = append(found, fmt.Sprintf("node %d had policy version %d at %s, but version %d was written at %s", s.node, s.version, s.at, w.version, w.at))
			}
		}
	}
	return found
}

// isUndisturbed reports whether no start, stop or fault affected the node or the
// store in the quietPeriod before at. A new policy version or a draining server is
// not a disturbance.
func (o *observations) isUndisturbed(node int, at time.Duration) bool {
	for _, inc := range o.incarnations {
		if inc.node == node && inc.started <= at && inc.started > at-quietPeriod || inc.node == node && inc.signaled > 0 && inc.signaled < at && (inc.ended == 0 || inc.ended > at-quietPeriod) {
			return false
		}
	}
	return !slices.ContainsFunc(o.events, func(e Event) bool {
		affects := e.Node == node && e.Kind != Policy && !e.isServerOperation() || e.Kind == StoreFault || e.Kind == StoreCompact || e.Kind == StoreRestore
		return affects && e.At < at && e.At+e.For > at-quietPeriod
	})
}

func (o *observations) missedVersions() (found []string) {
	for _, s := range o.behind {
		found = append(found, fmt.Sprintf("node %d had policy version %d %s after the last event, but version %d was acknowledged", s.node, s.version, versionLimit, o.lastVersion()))
	}
	return found
}

func (o *observations) lateExits() (found []string) {
	for _, inc := range o.incarnations {
		paused := slices.ContainsFunc(o.events, func(e Event) bool {
			return e.Kind == Pause && e.Node == inc.node && e.At < inc.ended && e.At+e.For > inc.signaled
		})
		if inc.signaled > 0 && inc.killed >= inc.signaled+graceBound && !paused {
			found = append(found, fmt.Sprintf("node %d was still running %s after SIGTERM", inc.node, graceBound))
		}
	}
	return found
}

func (o *observations) unrecoveredNodes() (found []string) {
	for _, node := range o.unrecovered {
		found = append(found, fmt.Sprintf("node %d did not serve a request within %s of the last event", node, recoveryBound))
	}
	return found
}
