// Package seeded sets a fixed seed for property-based tests with rapid, so that
// they give the same result on every run, and disables rapid's failure files. A
// test imports it for its side effects.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
