package main

import (
	"fmt"
	"os"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/load/emulator"
	"github.com/geraniumdock/geraniumdock/internal/load/report"
)

type emulateCommand struct {
	Plot string `long:"plot" value-name:"FILE" description:"write an SVG plot of the share of requests within their objective, per second"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute simulates an experiment and prints the outcomes that callers saw.
func (c *emulateCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return gd.Invalid.Wrapf(err, "experiment")
	}
	experiment, err := emulator.Parse(data, c.Args.File)
	if err != nil {
		return err
	}
	values := experiment.Sweep.Values
	if len(values) == 0 {
		values = []float64{1}
	}
	var runs []report.Run
	for i, v := range values {
		name := "run"
		if experiment.Sweep.Parameter != "" {
			name = fmt.Sprintf("%s=%g", experiment.Sweep.Parameter, v)
		}
		fmt.Fprintf(os.Stderr, "%d of %d: %s\n", i+1, len(values), name)
		runs = append(runs, report.Run{Name: name, Result: emulator.Run(experiment.WithSweepValue(v))})
	}
	if err := report.Table(os.Stdout, runs); err != nil {
		return err
	}
	if c.Plot == "" {
		return nil
	}
	f, err := os.Create(c.Plot)
	if err != nil {
		return gd.Invalid.Wrapf(err, "plot")
	}
	if err := report.Plot(f, runs); err != nil {
		f.Close() // the error of Plot is the one to report
		return err
	}
	return f.Close()
}
