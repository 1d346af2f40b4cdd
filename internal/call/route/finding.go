package route

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Finding is an entry of a policy that is valid but cannot have the effect that its
// author is likely to expect.
type Finding struct {
	Entry string // kind and name of the entry
	Text  string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Entry + ": " + f.Text }

// Findings returns the entries that no request can match and the limits that
// contradict each other, ordered by kind and name of the entry.
func (p *Policy) Findings() []Finding {
	var list []Finding
	add := func(entry, format string, args ...any) {
		list = append(list, Finding{entry, fmt.Sprintf(format, args...)})
	}
	used := map[string]bool{}
	for _, r := range p.Routes() {
		r.addFindings(p.Limits, add)
		for _, b := range r.Backends {
			used[b.Service] = used[b.Service] || b.Weight > 0
		}
	}
	for _, s := range p.services {
		if !used[s] {
			add("service "+s, "no route sends requests to it")
		}
	}
	for _, w := range p.Workspaces() {
		w.addFindings(add)
	}
	slices.SortStableFunc(list, func(a, b Finding) int { return strings.Compare(a.Entry, b.Entry) })
	return list
}

// addFindings calls add for each finding about the route.
func (r *Route) addFindings(limits Limits, add func(entry, format string, args ...any)) {
	entry := "route " + r.Name
	if !httpguts.ValidHostHeader(r.Host) || strings.ContainsAny(r.Host, "/ ") {
		add(entry, "never matches: no request can have the host %q", r.Host)
	}
	switch {
	case strings.ContainsAny(r.Prefix, "?#"):
		add(entry, "never matches: the path of a request ends before the ? or # in prefix %q", r.Prefix)
	case strings.ContainsFunc(r.Prefix, func(c rune) bool { return c <= ' ' || c == 0x7f }):
		add(entry, "never matches: no path can contain the white space in prefix %q", r.Prefix)
	case len(r.Prefix) >= limits.HeaderBytes:
		add(entry, "never matches: the prefix has %d bytes, and the head of a request at most %d", len(r.Prefix), limits.HeaderBytes)
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		add(entry, "the latency objective of %s is above the timeout of %s", r.Objective, r.Timeout)
	}
	for _, b := range r.Backends {
		if b.Weight == 0 {
			add(entry, "service %s never gets a request: its weight is 0", b.Service)
		}
	}
}

// addFindings calls add for each finding about the workspace. Keys are secrets, so their
// values are not part of it.
func (w *Workspace) addFindings(add func(entry, format string, args ...any)) {
	entry := "workspace " + w.Name
	if len(w.Keys) == 0 {
		add(entry, "never matches: it has no key")
	}
	for i, key := range w.Keys {
		if strings.TrimSpace(key) != key || !httpguts.ValidHeaderFieldValue(key) {
			add(entry, "never matches by key %d: a header field cannot contain it", i+1)
		}
	}
	switch {
	case w.Rate == 0 && w.Burst > 0:
		add(entry, "the burst of %g has no effect without a rate", w.Burst)
	case w.Rate > 0 && w.Burst < 1:
		add(entry, "a burst of %g admits no request at once, whatever the rate of %g/s", w.Burst, w.Rate)
	}
}
