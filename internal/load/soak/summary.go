package soak

import (
	"fmt"
	"strings"
)

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
