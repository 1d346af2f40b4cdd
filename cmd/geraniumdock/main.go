// Command geraniumdock runs a node beside a backend server, and reads and edits the
// operators' table.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/proxy/daemon"
	"github.com/geraniumdock/geraniumdock/platform"
)

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnavailable = 5
)

func main() { os.Exit(run(os.Args[1:])) }

// run parses and executes the command line and returns the exit code.
func run(args []string) int {
	p := flags.NewNamedParser("geraniumdock", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "fair sharing of backend servers among the callers of a service mesh"
	p.LongDescription = "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another edit, 4 invalid input, 5 node or platform unreachable."
	addCommands(p)
	_, err := p.ParseArgs(args)
	var f *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(f.Message)
		return 0
	case errors.As(err, &f):
		fmt.Fprintln(os.Stderr, f.Message)
		fmt.Fprintln(os.Stderr, "run geraniumdock --help for usage")
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "geraniumdock: "+gd.Message(err))
	return exitCode(err)
}

func exitCode(err error) int {
	switch gd.KindOf(err) {
	case gd.Conflict:
		return exitConflict
	case gd.Invalid, gd.TooLarge:
		return exitInvalid
	case gd.Unavailable, gd.Unknown:
		return exitUnavailable
	}
	return exitFailure
}

// command is a subcommand with its help texts.
type command struct {
	name, short, long string
	data              flags.Commander
}

func addCommands(p *flags.Parser) {
	mustAdd(p.Command, []command{
		{"serve", "run a node", "Runs a node beside a backend server until SIGINT or SIGTERM. Calls in flight are finished before it exits.", &serveCommand{}},
		{"sidecar", "run a node on the platform", "Runs a node beside a backend server on the platform until SIGINT or SIGTERM. Its settings come from --settings or from the environment variable " + platform.SettingsVariable + ".", &daemon.Command{}},
		{"emulate", "simulate load balancing and admission", "Simulates an experiment in virtual time, without a network, with the load balancing, queueing and admission code of the node, and prints the outcomes that callers saw.", &emulateCommand{}},
		{"explain", "print the log lines about a request", "Prints the log lines about one request from the logs of several processes, sorted by time: explain ID [FILE...]. Without files it reads standard input.", &explainCommand{}},
		{"check", "check settings, table and policy files", "Checks settings files of nodes and sidecars (.yaml with a data-centre), table files (.yaml, .csv) and the platform's policies for sidecars (.json) without starting a node. Of a policy it also reports what cannot match or is contradictory, and what differs from the one in force.", &checkCommand{}},
		{"status", "show where each row is in force", "Shows for each row of the table on how many nodes its newest change is in force, and which nodes lag.", &statusCommand{}},
		{"servers", "list the backend servers", "Lists the backend servers that the node knows of, with their state.", &serversCommand{}},
		{"drain", "take the backend server beside a node out of service", "Makes the node refuse new calls to the backend server beside it. Calls in flight finish.", &drainCommand{}},
		{"certificates", "create certificates", "Creates a certificate authority, if the folder has none, and a certificate for each given node.", &certificatesCommand{}},
		{"token", "hash a caller's token", "Prints the hash of the token on standard input, for the column token-sha256.", &tokenCommand{}},
		{"demo", "show several nodes in one process", "Starts four nodes with backend servers on loopback, edits a cell and drains a backend server while calls are in flight, and counts the outcomes of the calls.", &demoCommand{}},
		{"stand-in", "serve a stand-in for the platform", "Serves an in-memory stand-in for the platform's object service over HTTP, for tests with several nodes.", &standInCommand{}},
	})
	t, err := p.AddCommand("table", "read and edit the table", "Reads and edits the operators' table through a node.", &struct{}{})
	if err != nil {
		panic(err)
	}
	mustAdd(t, []command{
		{"get", "print the table", "Prints the table as text, CSV (one sheet) or YAML (all sheets).", &getCommand{}},
		{"set", "set cells", "Sets cells of one row: table set CALLER SERVICE COLUMN=VALUE...", &setCommand{}},
		{"apply", "apply a file", "Sets the cells in which a CSV or YAML file differs from the table.", &applyCommand{}},
		{"restore", "restore a table that the platform lost", "Commits the table in force on the node again. This is refused unless the platform has an older version.", &restoreCommand{}},
		{"history", "list the versions", "Lists the versions of the table with author, time and cells.", &historyCommand{}},
	})
}

func mustAdd(parent *flags.Command, commands []command) {
	for _, c := range commands {
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // a fault in the option tags, which are constant
		}
	}
}
