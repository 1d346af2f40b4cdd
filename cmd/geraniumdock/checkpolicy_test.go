package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
)

const policyInForce = `{"version":"r7","resources":[
{"type":"routes","metadata":{"name":"reads"},"spec":{"host":"shop.example","pathPrefix":"/reads/","routeType":"idempotent","timeoutS":1,"targetLatencyS":0.4,"service":"one"}},
{"type":"routes","metadata":{"name":"old"},"spec":{"host":"shop.example","pathPrefix":"/old/","routeType":"idempotent","service":"one"}},
{"type":"services","metadata":{"name":"one"},"spec":{}},
{"type":"tenants","metadata":{"name":"acme"},"spec":{"apiKeys":["secret-1","secret-2"],"priority":1,"ratePerS":10,"burst":10}},
{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}`

const nextPolicy = `{"version":"r8","resources":[
{"type":"routes","metadata":{"name":"reads"},"spec":{"host":"shop.example","pathPrefix":"/reads/","routeType":"idempotent","timeoutS":0.3,"targetLatencyS":0.4,"weightedBackends":[{"service":"one","weight":1},{"service":"two","weight":0}]}},
{"type":"routes","metadata":{"name":"query"},"spec":{"host":"shop.example","pathPrefix":"/find?kind/","routeType":"idempotent","service":"one"}},
{"type":"services","metadata":{"name":"one"},"spec":{}},
{"type":"services","metadata":{"name":"two"},"spec":{}},
{"type":"tenants","metadata":{"name":"acme"},"spec":{"apiKeys":["secret-2","secret-3"],"priority":2,"ratePerS":0,"burst":10}},
{"type":"tenants","metadata":{"name":"globex"},"spec":{"apiKeys":[]}},
{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":20}}]}`

// TestCheckPolicyReportsWhatIsLikelyAMistake guards against a policy that is valid, but has
// entries that no request matches or limits that contradict each other, and against a
// difference from the policy in force that is not reported. Keys must not be printed.
func TestCheckPolicyReportsWhatIsLikelyAMistake(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	next := writeFile(t, "next.json", nextPolicy)
	is.NoErr(checkPolicy(&out, next, writeFile(t, "current.json", policyInForce)))
	is.Equal(strings.ReplaceAll(out.String(), next+": ", ""), strings.Join([]string{
		`warning: route query: never matches: the path of a request ends before the ? or # in prefix "/find?kind/"`,
		`warning: route reads: the latency objective of 400ms is above the timeout of 300ms`,
		`warning: route reads: service two never gets a request: its weight is 0`,
		`warning: service two: no route sends requests to it`,
		`warning: workspace acme: the burst of 10 has no effect without a rate`,
		`warning: workspace globex: never matches: it has no key`,
		`change: limits: idle-timeout 15s to 20s`,
		`change: service two: added`,
		`change: route old: removed`,
		`change: route query: added`,
		`change: route reads: backends [{one 1}] to [{one 1} {two 0}], timeout 1s to 300ms`,
		`change: workspace acme: keys: 1 added, 1 removed, priority 1 to 2, rate 10 to 0`,
		`change: workspace globex: added`, ""}, "\n"))
}

// TestCheckPolicyRefuses guards against a policy that passes the check though nodes would
// refuse or ignore it.
func TestCheckPolicyRefuses(t *testing.T) {
	current := writeFile(t, "current.json", policyInForce)
	for text, names := range map[string]string{
		strings.Replace(nextPolicy, `"r8"`, `"r7"`, 1):                           "version 7 is not above that in force, 7",
		strings.Replace(nextPolicy, `["secret-2"`, `[""`, 1):                     "workspace acme: a key is empty",
		strings.Replace(nextPolicy, `"routeType":"idempotent",`, ``, 1):          "routeType",
		strings.Replace(nextPolicy, `{"version":"r8"`, `{"version"`, 1):          "configuration",
		strings.Replace(nextPolicy, `"service":"one"}`, `"service":"three"}`, 1): `unknown service "three"`,
	} {
		t.Run(names, func(t *testing.T) {
			is := is.New(t)
			err := checkPolicy(new(strings.Builder), writeFile(t, "next.json", text), current)
			is.True(err != nil)
			is.True(strings.Contains(gd.Message(err), names))
			is.True(!strings.Contains(gd.Message(err), "secret"))
		})
	}
}
