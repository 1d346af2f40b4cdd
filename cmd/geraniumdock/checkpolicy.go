package main

import (
	"fmt"
	"io"
	"os"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/route"
	"github.com/geraniumdock/geraniumdock/platform"
)

// checkPolicy checks the policy in file before the operator sends it. It writes the entries
// that cannot match, the limits that contradict each other, and, unless inForce is empty,
// what differs from the policy in that file. It returns an error if the policy is invalid or
// nodes would not apply it.
func checkPolicy(w io.Writer, file, inForce string) error {
	next, err := readPolicy(file)
	if err != nil {
		return err
	}
	for _, f := range next.Findings() {
		fmt.Fprintf(w, "%s: warning: %s\n", file, f)
	}
	if inForce == "" {
		return nil
	}
	current, err := readPolicy(inForce)
	if err != nil {
		return err
	}
	for _, d := range current.Differences(next) {
		fmt.Fprintf(w, "%s: change: %s\n", file, d)
	}
	if next.Version <= current.Version {
		return gd.Invalid.Errorf("%s: version %d is not above that in force, %d", file, next.Version, current.Version)
	}
	return nil
}

// readPolicy reads a policy in the platform's format. An error names the file and the
// invalid entry.
func readPolicy(file string) (*route.Policy, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, gd.Invalid.Wrapf(err, "policy")
	}
	p, err := platform.DecodePolicy(data)
	if err != nil {
		return nil, gd.Invalid.Errorf("%s: %s", file, gd.Message(err))
	}
	return p, nil
}
