// Command geraniumdock runs a node beside a backend server, and edits and reads
// the operators' table.
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

// run carries out the command line and returns the exit code.
func run(args []string) int {
	p := flags.NewNamedParser("geraniumdock", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "fair shares of service for the callers of a service mesh"
	p.LongDescription = "Exit codes: 0 done, 1 failure, 2 wrong usage, 3 conflict with another edit, 4 bad input, 5 node or platform not reached."
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
		fmt.Fprintln(os.Stderr, "geraniumdock --help tells the usage")
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

// command is a subcommand with its help.
type command struct {
	name, short, long string
	data              flags.Commander
}

func addCommands(p *flags.Parser) {
	mustAdd(p.Command, []command{
		{"serve", "run a node", "Runs the node beside a backend server until it is told to stop by SIGINT or SIGTERM; calls in flight are then finished.", &serveCommand{}},
		{"sidecar", "run a node on the platform", "Runs a node beside a backend server on the platform until it is told to stop by SIGINT or SIGTERM. Its settings come from --settings or from the environment variable " + platform.SettingsVariable + ".", &daemon.Command{}},
		{"emulate", "play load on the decisions", "Plays an experiment on the decisions of placing, queueing and refusing in virtual time, without a network, and prints what callers got.", &emulateCommand{}},
		{"explain", "tell the story of a request", "Prints the lines about one request from the logs of several processes, in order of time: explain ID [FILE...]. Without files it reads standard input.", &explainCommand{}},
		{"check", "check settings and table files", "Checks settings files of nodes and sidecars (.yaml with a data-centre) and table files (.yaml, .csv) without starting anything.", &checkCommand{}},
		{"status", "tell where each row is in force", "Tells for each row of the table on how many nodes its newest change is in force, and which nodes lag.", &statusCommand{}},
		{"servers", "list the backend servers", "Lists the backend servers that the node knows, with their state.", &serversCommand{}},
		{"drain", "take the server beside a node out of service", "Has the node refuse new calls for the server beside it; calls in flight finish.", &drainCommand{}},
		{"certificates", "make certificates", "Makes an authority, if the folder has none, and a certificate for each node named.", &certificatesCommand{}},
		{"token", "hash a caller's token", "Prints the hash of the token on standard input, for the column token-sha256.", &tokenCommand{}},
		{"demo", "show several nodes in one process", "Starts four nodes with backend servers on loopback, edits a cell and drains a server under calls, and counts what became of each call.", &demoCommand{}},
		{"stand-in", "serve a stand-in for the platform", "Serves a small stand-in for the platform's object service over HTTP, in memory, for trying several nodes.", &standInCommand{}},
	})
	t, err := p.AddCommand("table", "read and edit the table", "Reads and edits the operators' table through a node.", &struct{}{})
	if err != nil {
		panic(err)
	}
	mustAdd(t, []command{
		{"get", "print the table", "Prints the table as text, CSV (one sheet) or YAML (all sheets).", &getCommand{}},
		{"set", "set cells", "Sets cells of one row: table set CALLER SERVICE COLUMN=VALUE...", &setCommand{}},
		{"apply", "apply a file", "Sets the cells of a CSV or YAML file that differ from the table.", &applyCommand{}},
		{"restore", "put back a table that the platform lost", "Commits the table in force at the node again. It is refused unless the platform holds an older one.", &restoreCommand{}},
		{"history", "list the versions", "Lists the versions of the table with author, time and cells.", &historyCommand{}},
	})
}

func mustAdd(to *flags.Command, commands []command) {
	for _, c := range commands {
		if _, err := to.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // the options are constant
		}
	}
}
