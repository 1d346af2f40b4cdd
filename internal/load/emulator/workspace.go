package emulator

import "fmt"

// workspaceShares returns the number of requests of a class by workspace, relative to
// its usual number, while bursts of single workspaces are active. It returns one share if
// the class has no workspaces.
func (sim *simulator) workspaceShares(c *Class) []float64 {
	if len(c.Workspaces) == 0 {
		return []float64{1}
	}
	total := sum(c.Workspaces)
	shares := make([]float64, len(c.Workspaces))
	for i, w := range c.Workspaces {
		shares[i] = w / total
	}
	for _, e := range sim.experiment.Events {
		if sim.isWorkspaceBurst(e) && e.Workspace <= len(shares) {
			shares[e.Workspace-1] *= e.Factor
		}
	}
	return shares
}

// drawWorkspace returns the number of a random workspace, from 1, or 0 if there is only
// one share.
func (sim *simulator) drawWorkspace(shares []float64) int {
	if len(shares) == 1 {
		return 0
	}
	x := sim.rng.Float64() * sum(shares)
	for i, share := range shares {
		if x -= share; x < 0 {
			return i + 1
		}
	}
	return len(shares)
}

// isWorkspaceBurst reports whether e is an active burst of a single workspace.
func (sim *simulator) isWorkspaceBurst(e Event) bool {
	return e.Kind == Burst && e.Workspace > 0 && sim.now >= e.At && sim.now < e.At+e.For
}

// workspaceName returns the name of the workspace of a request, "" if it has none.
func (r *request) workspaceName() string {
	if r.workspace == 0 {
		return ""
	}
	return fmt.Sprint("workspace-", r.workspace)
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}
