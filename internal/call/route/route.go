// Package route holds the routing policy: which route matches a host and path,
// which services serve the route, and how many attempts and how much time a
// request gets. A policy is immutable, and New builds it completely or returns
// an error.
package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64 // relative to the other backends of the route
}

// Route configures the requests for a host whose path has a given prefix.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // requests may run more than once
	Backends   []Backend
	Attempts   int           // maximum number of servers that one request may reach, at least 1
	Timeout    time.Duration // maximum time from a request to its response, 0 for no limit
	Objective  time.Duration // latency objective, 0 for none
	Priority   int           // 0 is the highest
	Public     bool          // requests need no key
}

// Service selects a backend by weight. A u that is uniformly distributed from 0
// to 1 selects each backend in proportion to its weight.
func (r *Route) Service(u float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	u *= total
	for _, b := range r.Backends {
		if u < b.Weight {
			return b.Service
		}
		u -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Limits bound the requests that a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for reading the request line and all header fields
	IdleTimeout   time.Duration // between two requests on a connection
}

// Policy is a validated set of routes. The zero value has no routes.
type Policy struct {
	Version uint64
	Limits  Limits
	hosts   map[string]map[string]*Route // by host and prefix
	count   int

	services   []string
	workspaces map[string]*Workspace // by name
	keys       map[string]*Workspace
}

// New returns the policy with the given version, or an error of kind Invalid
// that names the first invalid route. The routes may only refer to the given
// services.
func New(version uint64, limits Limits, services []string, routes []Route) (*Policy, error) {
	p := &Policy{Version: version, Limits: limits, hosts: map[string]map[string]*Route{}, count: len(routes), services: services}
	if limits.HeaderBytes <= 0 || limits.BodyBytes <= 0 || limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 {
		return nil, gd.Invalid.Errorf("limits: every limit must be above 0")
	}
	for i := range routes {
		r := &routes[i]
		if err := r.check(services); err != nil {
			return nil, gd.Invalid.Errorf("route %s: %s", r.Name, gd.Message(err))
		}
		host := p.hosts[r.Host]
		if host == nil {
			host = map[string]*Route{}
			p.hosts[r.Host] = host
		}
		if other, ok := host[r.Prefix]; ok {
			return nil, gd.Invalid.Errorf("routes %s and %s: both serve %s%s", other.Name, r.Name, r.Host, r.Prefix)
		}
		host[r.Prefix] = r
	}
	return p, nil
}

func (r *Route) check(services []string) error {
	switch {
	case r.Host == "":
		return gd.Invalid.Errorf("host: missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return gd.Invalid.Errorf("prefix: %q does not begin and end with a slash", r.Prefix)
	case r.Attempts < 1:
		return gd.Invalid.Errorf("attempts: %d is below 1", r.Attempts)
	case r.Timeout < 0 || r.Objective < 0 || r.Priority < 0:
		return gd.Invalid.Errorf("timeout, objective and priority must not be below 0")
	case len(r.Backends) == 0:
		return gd.Invalid.Errorf("no service")
	}
	total := 0.0
	for _, b := range r.Backends {
		if !slices.Contains(services, b.Service) {
			return gd.Invalid.Errorf("unknown service %q", b.Service)
		}
		if b.Weight < 0 {
			return gd.Invalid.Errorf("weight of %s is below 0", b.Service)
		}
		total += b.Weight
	}
	if total <= 0 {
		return gd.Invalid.Errorf("all weights are 0")
	}
	return nil
}

// Match returns the route of host with the longest prefix of path.
func (p *Policy) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	prefixes, ok := p.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		prefixes = p.hosts[name]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Len returns the number of routes.
func (p *Policy) Len() int { return p.count }

// Routes returns all routes, sorted by host and prefix.
func (p *Policy) Routes() []*Route {
	var list []*Route
	for _, prefixes := range p.hosts {
		list = slices.AppendSeq(list, maps.Values(prefixes))
	}
	slices.SortFunc(list, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return list
}
