// Package standin plays the scripted cases of the second review: it starts the nodes of a small
// deployment as processes, with stand-ins of clients, backend servers and the platform's store,
// and checks one rule by what these have seen. It consists of test files, which may use the
// platform's names, and is built with go test -c.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(rec *record, trouble bool) (int, error){
	"killer":   killer,
	"complete": complete,
	"limit":    limit,
	"stray":    stray,
}

// TestMain plays the case that the first argument names, and writes the record to the file that the
// second one names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = failed
	}
	rec.say("exit %d", code)
	os.Exit(code)
}
