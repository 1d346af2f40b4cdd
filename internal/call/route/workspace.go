package route

import (
	"maps"
	"slices"

	gd "github.com/geraniumdock/geraniumdock"
)

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int    // of its requests, 0 is the highest; nil for that of the route
	Rate     float64 // requests per second over all nodes, 0 for no quota
	Burst    float64 // requests that may be sent at once in addition to Rate
}

// HasQuota reports whether the requests of the workspace are limited.
func (w *Workspace) HasQuota() bool { return w.Rate > 0 }

// check returns an error of kind Invalid if a field of the workspace is invalid.
func (w *Workspace) check() error {
	switch {
	case w.Name == "":
		return gd.Invalid.Errorf("name: missing")
	case slices.Contains(w.Keys, ""):
		return gd.Invalid.Errorf("a key is empty")
	case w.Priority != nil && *w.Priority < 0:
		return gd.Invalid.Errorf("priority: %d is below 0", *w.Priority)
	case !(w.Rate >= 0) || !(w.Burst >= 0): // also refuses NaN
		return gd.Invalid.Errorf("rate and burst must not be below 0")
	}
	return nil
}

// WithWorkspaces returns the policy with the given workspaces, or an error of kind
// Invalid that names the first invalid one. No two of them may share a name or a key.
// Requests need a key if there is at least one workspace.
func (p *Policy) WithWorkspaces(list []Workspace) (*Policy, error) {
	next := *p
	next.workspaces = make(map[string]*Workspace, len(list))
	next.keys = make(map[string]*Workspace, len(list))
	for i := range list {
		w := &list[i]
		if err := w.check(); err != nil {
			return nil, gd.Invalid.Errorf("workspace %s: %s", w.Name, gd.Message(err))
		}
		if _, ok := next.workspaces[w.Name]; ok {
			return nil, gd.Invalid.Errorf("workspace %s: defined twice", w.Name)
		}
		next.workspaces[w.Name] = w
		for _, key := range w.Keys {
			if other, ok := next.keys[key]; ok {
				return nil, gd.Invalid.Errorf("workspaces %s and %s: share a key", other.Name, w.Name)
			}
			next.keys[key] = w
		}
	}
	return &next, nil
}

// HasWorkspaces reports whether requests need a key, unless their route is public.
func (p *Policy) HasWorkspaces() bool { return len(p.workspaces) > 0 }

// WorkspaceOf returns the workspace that holds the key.
func (p *Policy) WorkspaceOf(key string) (*Workspace, bool) {
	w, ok := p.keys[key]
	return w, ok
}

// Workspaces returns all workspaces, sorted by name.
func (p *Policy) Workspaces() []*Workspace {
	list := make([]*Workspace, 0, len(p.workspaces))
	for _, name := range slices.Sorted(maps.Keys(p.workspaces)) {
		list = append(list, p.workspaces[name])
	}
	return list
}
