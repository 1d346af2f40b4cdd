package route

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	gd "github.com/geraniumdock/geraniumdock"
	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
)

var testLimits = Limits{HeaderBytes: 1024, BodyBytes: 1024, HeaderTimeout: time.Second, IdleTimeout: time.Second}

func newRoutes(prefixes ...string) []Route {
	var list []Route
	for _, p := range prefixes {
		list = append(list, Route{Name: p, Host: "shop.example", Prefix: p, Attempts: 1, Backends: []Backend{{"shop", 1}}})
	}
	return list
}

func TestMatch(t *testing.T) {
	p, err := New(1, testLimits, []string{"shop"}, newRoutes("/", "/a/", "/a/b/"))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/", "/a//b": "/a/",
	} {
		r, ok := p.Match("Shop.Example:8080", path)
		if !ok || r.Prefix != want {
			t.Errorf("%s: got %v %v, want %s", path, r, ok, want)
		}
	}
	_, ok := p.Match("other.example", "/a/")
	is.New(t).True(!ok)
}

// TestMatchEqualsLinearSearch compares Match with a linear search over all
// prefixes.
func TestMatchEqualsLinearSearch(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){1,4}/?`)
	prefix := rapid.Map(path, func(s string) string { return strings.TrimSuffix(s, "/") + "/" })
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(prefix, 0, 8, rapid.ID[string]).Draw(t, "prefixes")
		p, err := New(1, testLimits, []string{"shop"}, newRoutes(prefixes...))
		if err != nil {
			t.Fatal(err)
		}
		requested := path.Draw(t, "path")
		want := ""
		for _, candidate := range prefixes {
			if strings.HasPrefix(requested, candidate) && len(candidate) > len(want) {
				want = candidate
			}
		}
		r, ok := p.Match("shop.example", requested)
		if ok != (want != "") || ok && r.Prefix != want {
			t.Fatalf("Match(%s) with prefixes %q: got %v %v, want %q", requested, prefixes, r, ok, want)
		}
	})
}

func TestServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Backends: []Backend{{"a", 90}, {"b", 0}, {"c", 10}}}
	counts := map[string]int{}
	const n = 1000
	for i := range n {
		counts[r.Service(float64(i)/n)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "c": 100})
	is.Equal(r.Service(1), "c")
}

func TestNewRejectsInvalidPolicies(t *testing.T) {
	valid := newRoutes("/a/")[0]
	for name, c := range map[string]struct {
		limits   Limits
		change   func(*Route)
		wantText string // text that the error must contain
	}{
		"no limits":        {Limits{}, func(*Route) {}, "limits"},
		"no host":          {testLimits, func(r *Route) { r.Host = "" }, "host"},
		"bare prefix":      {testLimits, func(r *Route) { r.Prefix = "/a" }, "prefix"},
		"relative prefix":  {testLimits, func(r *Route) { r.Prefix = "a/" }, "prefix"},
		"no attempt":       {testLimits, func(r *Route) { r.Attempts = 0 }, "attempts"},
		"negative timeout": {testLimits, func(r *Route) { r.Timeout = -1 }, "timeout"},
		"unknown service":  {testLimits, func(r *Route) { r.Backends = []Backend{{"other", 1}} }, "other"},
		"no service":       {testLimits, func(r *Route) { r.Backends = nil }, "no service"},
		"negative weight":  {testLimits, func(r *Route) { r.Backends = []Backend{{"shop", -1}} }, "weight"},
		"no weight":        {testLimits, func(r *Route) { r.Backends = []Backend{{"shop", 0}} }, "weights"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := valid
			c.change(&r)
			_, err := New(1, c.limits, []string{"shop"}, append(newRoutes("/first/"), r))
			is.True(gd.Invalid.Is(err))
			is.True(strings.Contains(gd.Message(err), c.wantText))
		})
	}
	_, err := New(1, testLimits, []string{"shop"}, newRoutes("/a/", "/a/"))
	is.New(t).True(gd.Invalid.Is(err)) // two routes have the same host and prefix
}
