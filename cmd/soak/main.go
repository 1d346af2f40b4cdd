// Command soak runs geraniumdock as several processes, injects faults and checks the
// guarantees of the product. It exits with status 1 if a guarantee is violated.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/load/soak"
)

type options struct {
	Program    string        `long:"program" value-name:"FILE" required:"yes" description:"geraniumdock binary to test"`
	Seed       uint64        `long:"seed" description:"first seed; if 0, derived from the current time"`
	Count      int           `long:"count" default:"1" description:"number of seeds to run"`
	Jobs       int           `long:"jobs" default:"1" description:"number of seeds to run at once"`
	Nodes      int           `long:"nodes" default:"8"`
	Length     time.Duration `long:"length" default:"20s" description:"duration of the traffic in each run"`
	Schedule   string        `long:"schedule" value-name:"FILE" description:"schedule to replay instead of one generated from a seed"`
	Workspaces bool          `long:"workspaces" description:"add workspaces, keys and a quota to the schedules generated from seeds"`
	Print      bool          `long:"print" description:"print the schedules without running them"`
	Untimed    bool          `long:"untimed" description:"skip the checks that have a time limit"`
	ShrinkFor  string        `long:"shrink" value-name:"CHECK" description:"search for a smaller schedule in which the check still fails"`
	Dir        string        `long:"dir" value-name:"DIR" description:"directory for settings and logs, kept if a check fails; a new one if empty"`
	Verbose    bool          `long:"verbose" description:"print each event"`
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	failed, err := o.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: "+gd.Message(err))
		os.Exit(1)
	}
	if failed {
		os.Exit(1)
	}
}

// run runs the schedules as the options say and reports whether a check failed. With
// --shrink it always reports true.
func (o options) run() (bool, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	schedules, err := o.schedules()
	if err != nil {
		return false, err
	}
	if o.Print {
		for _, s := range schedules {
			fmt.Print(s)
		}
		return false, nil
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return false, gd.Unavailable.Wrapf(err, "directory")
		}
	}
	if o.ShrinkFor != "" {
		return true, o.shrink(ctx, schedules[0])
	}
	return o.runSchedules(ctx, schedules)
}

// schedules returns the schedule to replay, or one for each seed.
func (o options) schedules() ([]soak.Schedule, error) {
	if o.Schedule != "" {
		s, err := soak.Read(o.Schedule)
		return []soak.Schedule{s}, err
	}
	if o.Seed == 0 {
		o.Seed = uint64(clock.System{}.Now())
	}
	var list []soak.Schedule
	for i := range o.Count {
		s := soak.Generate(o.Seed+uint64(i), o.Nodes, o.Length)
		s.Workspaces = o.Workspaces
		list = append(list, s)
	}
	return list, nil
}

// runSchedules runs up to o.Jobs schedules at once, and prints a line for each and a
// summary. It reports whether a check failed.
func (o options) runSchedules(ctx context.Context, schedules []soak.Schedule) (bool, error) {
	var (
		mu       sync.Mutex
		findings []soak.Finding
		lastErr  error
		wg       sync.WaitGroup
	)
	semaphore := make(chan struct{}, max(o.Jobs, 1))
	for _, s := range schedules {
		semaphore <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			r, err := o.runSchedule(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Printf("seed %d: %s\n", s.Seed, gd.Message(err))
				lastErr = err
				return
			}
			findings = append(findings, r.Findings...)
			fmt.Printf("seed %d: %d requests, %d served, %d refused, %d failed; events %v; %d findings\n",
				s.Seed, r.Requests, r.Served, r.Refused, r.Failed, r.Events, len(r.Findings))
		})
	}
	wg.Wait()
	fmt.Println(soak.Summary(findings))
	return len(findings) > 0, lastErr
}

// runSchedule runs one schedule in a directory of its own, which it removes if no
// check failed.
func (o options) runSchedule(ctx context.Context, s soak.Schedule) (soak.Result, error) {
	cfg, err := o.config(s)
	if err != nil {
		return soak.Result{}, err
	}
	r, err := soak.Run(ctx, cfg, s)
	if err == nil && len(r.Findings) == 0 {
		err = os.RemoveAll(cfg.Dir)
	}
	return r, err
}

// config creates the directory of a schedule and returns the configuration to run it
// with.
func (o options) config(s soak.Schedule) (soak.Config, error) {
	dir := filepath.Join(o.Dir, fmt.Sprint(s.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return soak.Config{}, gd.Unavailable.Wrapf(err, "directory")
	}
	return soak.Config{
		Program: o.Program, Dir: dir, TimedChecks: !o.Untimed,
		Progress: func(line string) {
			if o.Verbose || len(line) > 7 && line[:7] == "FINDING" {
				fmt.Printf("seed %d: %s\n", s.Seed, line)
			}
		},
	}, nil
}

// shrink prints the smallest schedule found in which the check o.ShrinkFor still
// fails.
func (o options) shrink(ctx context.Context, s soak.Schedule) error {
	if !slices.Contains(soak.Checks(), o.ShrinkFor) {
		return gd.Invalid.Errorf("--shrink: %q is not one of %v", o.ShrinkFor, soak.Checks())
	}
	cfg, err := o.config(s)
	if err != nil {
		return err
	}
	smaller, err := soak.Shrink(ctx, cfg, s, o.ShrinkFor)
	fmt.Print(smaller)
	return err
}
