package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/internal/standin/backend"
)

// Workspaces in the policy of a schedule that has Workspaces set.
const (
	steadyWorkspace  = "steady"  // has one key, which all versions hold
	rotatedWorkspace = "rotated" // each version adds a key and withdraws an older one
	limitedWorkspace = "limited" // like rotatedWorkspace, but with a quota
	forgedWorkspace  = "forged"  // claimed by clients; no version holds it
)

const (
	publicPrefix = "/open/"
	keyVersions  = 2 // successive versions that hold a key
	maxKeyAge    = 4 // versions since the one that added the oldest key that clients send
	// The quota is below a third of what the clients of three nodes send, and far enough
	// above quotaSlack that the latter does not hide a surplus.
	quotaRate  = 20.0 // requests per second
	quotaBurst = 10.0 // requests
)

// Bounds that the checks of workspaces enforce. Those of a quota are the defaults of the
// nodes' settings.
const (
	keyBound     = 2500 * time.Millisecond // from the acknowledgement of a version until its keys are in force
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1  // requests over the quota that a workspace may run in a window, relative to it
	quotaSlack   = 20.0 // requests that it may run in a window in addition
)

// key is a credential of a client.
type key struct {
	text        string // "" if the client sends none
	workspace   string // that it belongs to; "" if no version holds it
	first, last uint64 // versions that hold it
}

var steadyKey = key{text: "steady-key", workspace: steadyWorkspace, first: 1, last: math.MaxUint64}

// addedKey returns the key that a version adds to a workspace.
func addedKey(workspace string, version uint64) key {
	return key{fmt.Sprintf("%s-%d", workspace, version), workspace, version, version + keyVersions - 1}
}

// workspaces returns the workspaces of a version of the policy.
func workspaces(version uint64) []route.Workspace {
	list := []route.Workspace{
		{Name: steadyWorkspace, Keys: []string{steadyKey.text}, Priority: new(int)},
		{Name: rotatedWorkspace}, {Name: limitedWorkspace, Rate: quotaRate, Burst: quotaBurst},
	}
	for v := version; v > 0 && v+keyVersions > version; v-- {
		for i := range list[1:] {
			w := &list[1+i]
			w.Keys = append(w.Keys, addedKey(w.Name, v).text)
		}
	}
	return list
}

// pickKey returns a key for a request that is sent while the given version is the last
// acknowledged one: mostly the key that it added, at times an older, an unknown or no key.
func pickKey(rng *rand.Rand, version uint64) key {
	workspace := pick(rng, rotatedWorkspace, limitedWorkspace, limitedWorkspace, limitedWorkspace)
	switch n := rng.IntN(20); {
	case n == 0:
		return key{}
	case n == 1:
		return key{text: "unknown"}
	case n < 5:
		return steadyKey
	case n < 9:
		return addedKey(workspace, version-min(version-1, 1+rng.Uint64N(maxKeyAge)))
	}
	return addedKey(workspace, version)
}

// runsWithoutKey finds requests to routes that are not public which ran with no key or with
// one that no version holds. It guards against an ingress that does not authenticate them.
func (o *observations) runsWithoutKey() (found []string) {
	for _, q := range o.requests {
		if o.hasWorkspaces && !q.public && q.key.workspace == "" && len(o.runs[q.id]) > 0 {
			found = append(found, fmt.Sprintf("request %s of node %d ran with key %q, which no version holds", q.id, q.node, q.key.text))
		}
	}
	return found
}

// wrongWorkspaces finds runs for which the server got the client's key or another workspace
// than that of the key. On a public route a key may be withdrawn and the workspace be missing.
// It guards against nodes that forward the key, or the workspace that the client claims.
func (o *observations) wrongWorkspaces() (found []string) {
	for _, q := range o.requests {
		for _, r := range o.runs[q.id] {
			if r.Key != "" || r.Workspace != q.key.workspace && (!q.public || r.Workspace != "") {
				found = append(found, fmt.Sprintf("request %s with key %q of workspace %q reached a server with key %q and workspace %q",
					q.id, q.key.text, q.key.workspace, r.Key, r.Workspace))
			}
		}
	}
	return found
}

// ranForWorkspace reports whether the request ran for the workspace of its key.
func (o *observations) ranForWorkspace(q *request) bool {
	return q.key.workspace != "" && slices.ContainsFunc(o.runs[q.id], func(r backend.Run) bool { return r.Workspace == q.key.workspace })
}

// withdrawnKeys finds requests that a process served although it had reported a version
// without their keys before. It guards against keys that outlive their versions in a process.
func (o *observations) withdrawnKeys() (found []string) {
	for _, q := range o.requests {
		for _, s := range o.samples {
			if s.node == q.node && s.version > q.key.last && s.at+sampleTimeout < q.sent && o.ranForWorkspace(q) && !o.wasInterrupted(q.node, s.at, q.ended) {
				found = append(found, fmt.Sprintf("request %s ran with key %s at %s, but node %d had version %d at %s", q.id, q.key.text, q.sent, q.node, s.version, s.at))
				break
			}
		}
	}
	return found
}

// lateKeys finds requests that ran with a key later than keyBound after the store
// acknowledged a version without it, or that were refused later than keyBound after it
// acknowledged the version that added the key, at nodes without disturbance. It guards against
// versions that spread too slowly.
func (o *observations) lateKeys() (found []string) {
	for _, q := range o.requests {
		if q.key.workspace == "" || !o.isUndisturbed(q.node, q.sent) {
			continue
		}
		if at, ok := firstWrite(o.policyWrites, q.key.last); ok && q.sent > at+keyBound && o.ranForWorkspace(q) {
			found = append(found, fmt.Sprintf("request %s ran at node %d with key %s %s after it was withdrawn", q.id, q.node, q.key.text, q.sent-at))
		}
		replaced, isReplaced := firstWrite(o.policyPuts, q.key.last)
		added, ok := firstWrite(o.policyWrites, q.key.first-1)
		if q.status == http.StatusUnauthorized && ok && q.sent > added+keyBound && (!isReplaced || q.ended < replaced) {
			found = append(found, fmt.Sprintf("request %s was refused at node %d with key %s %s after it was added", q.id, q.node, q.key.text, q.sent-added))
		}
	}
	return found
}

// firstWrite returns the time of the first write of a version above the given one.
func firstWrite(writes []policyWrite, above uint64) (time.Duration, bool) {
	i := slices.IndexFunc(writes, func(w policyWrite) bool { return w.version > above })
	if i < 0 {
		return 0, false
	}
	return writes[i].at, true
}

// runsOverQuota finds the first window in which more requests of limitedWorkspace were
// sent and ran than its quota allows. It guards against tokens that are issued or spent twice,
// such as by issuers that restart or are replaced.
func (o *observations) runsOverQuota() []string {
	var sent []time.Duration
	for _, q := range o.requests {
		if q.key.workspace == limitedWorkspace && o.ranForWorkspace(q) {
			sent = append(sent, q.sent)
		}
	}
	slices.Sort(sent)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	for _, at := range sent {
		if n := countBetween(sent, at, at+quotaWindow); float64(n) > allowed {
			return []string{fmt.Sprintf("%d requests of workspace %s ran in the %s from %s on, %.0f are allowed", n, limitedWorkspace, quotaWindow, at, allowed)}
		}
	}
	return nil
}
