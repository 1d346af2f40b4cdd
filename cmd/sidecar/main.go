// Command sidecar runs a node on the platform, like the command geraniumdock
// sidecar. It omits the other commands, whose code would use memory on every VM.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/proxy/daemon"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	var c daemon.Command
	args, err := flags.NewParser(&c, flags.Default).Parse()
	if f, ok := errors.AsType[*flags.Error](err); ok && f.Type == flags.ErrHelp {
		return
	}
	if err != nil {
		os.Exit(exitUsage) // the parser has printed the error
	}
	if err := c.Execute(args); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar: "+gd.Message(err))
		os.Exit(exitFailure)
	}
}
