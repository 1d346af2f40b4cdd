package main

import (
	"fmt"
	"io"
	"os"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/requestlog"
)

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute prints the log lines about a request.
func (c *explainCommand) Execute([]string) error {
	var logs []io.Reader
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return gd.Invalid.Wrapf(err, "log")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	lines, err := requestlog.Lines(c.Args.ID, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return gd.NotFound.Errorf("no log line about request %s; only a sample of the successful requests is logged", c.Args.ID)
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}
