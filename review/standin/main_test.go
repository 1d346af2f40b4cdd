// Package standin plays the cases of the review: it starts the project's node program
// as separate processes beside stand-ins of the platform's store, of servers and of
// clients, and judges only what these have seen. It consists of test files, which may use
// the platform's names, and is built with go test -c.
package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit ends a case that takes too long.
const limit = 115 * time.Second

// A scenario plays a case, without its disruption unless trouble is set. It returns
// what broke the rule.
type scenario func(f *fleet, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"machines-removed":      machinesRemoved,
	"machines-retired":      machinesRetired,
	"left-while-store-down": leftWhileStoreDown,
	"poisoned-client":       poisonedClient,
	"poisoned-answer":       poisonedAnswer,
	"heads-after-restart":   headsAfterRestart,
	"shared-path":           sharedPath,
}

// TestMain plays the case named by the first argument, with the program and the record
// file that the other two name.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play scenario, program, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(f, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(limit):
		o.err = errors.New("the case took too long")
	case <-stopped:
		o.err = errors.New("the case was stopped")
	}
	if o.err != nil {
		rec.log("not run: %s", o.err)
		fmt.Println("not run:", o.err)
		return exitNotRun
	}
	for _, b := range o.broken {
		rec.log("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(o.broken) > 0 {
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
