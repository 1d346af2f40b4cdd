// Package seeded, imported by a test, fixes the seed of rapid's checks, so that
// they give the same verdict on every run.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
