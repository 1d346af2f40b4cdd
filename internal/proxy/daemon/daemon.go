// Package daemon runs a node on the platform as a process: it reads the settings,
// sets up logging and handles signals and shutdown.
package daemon

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/proxy/peer"
	"github.com/geraniumdock/geraniumdock/internal/proxy/sidecar"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/meter"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/sink"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/settings"
)

const (
	storeDialTimeout = 500 * time.Millisecond
	storeIdleTimeout = 30 * time.Second
)

// Command is the command that runs a node, with its flags.
type Command struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file"`
}

// Execute runs the node until SIGINT or SIGTERM.
func (c *Command) Execute([]string) error {
	// Until this call, a signal terminates the process at once.
	stop, reload := notifySignals()
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	if c.Settings == "" {
		return gd.Invalid.Errorf("--settings or %s must name the settings file", platform.SettingsVariable)
	}
	debug.SetGCPercent(minHeapGrowthPercent)
	s, err := settings.ReadSidecar(c.Settings)
	if err != nil {
		return err
	}
	if limit := s.HeapBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	m := meter.New()
	var log hclog.Logger
	out := sink.New(os.Stdout, func(dropped uint64) { log.Warn(event.LinesDropped, "count", dropped) })
	defer out.Close()
	log = hclog.New(&hclog.LoggerOptions{Name: s.Node, Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: out})
	m.Gauge("geraniumdock_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	clk := clock.System{}
	store := platform.NewStore(s.Store.Address, &http.Transport{
		DialContext:         peer.Dialer(storeDialTimeout).DialContext,
		IdleConnTimeout:     storeIdleTimeout,
		MaxIdleConnsPerHost: 4,
		DisableCompression:  true,
	})
	n, err := sidecar.New(sidecar.Config{
		Settings: s, Catalogue: store, Clock: clk, Log: log, Meter: m, Seed: uint64(clk.Now()),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var adjusting sync.WaitGroup
	adjusting.Go(func() { adjustHeapGrowth(ctx) })
	defer adjusting.Wait()
	defer cancel()
	n.Start()
	for isStopping := false; !isStopping; {
		select {
		case <-stop:
			isStopping = true
		case <-reload:
			c.checkSettings(log)
		}
	}
	defer store.Close()
	return n.Close()
}

// notifySignals returns the channels of the signals that stop the process, and of those that
// have it read its settings again. A channel drops signals that it has no room for, so none of
// the latter may take the room of the former.
func notifySignals() (stop, reload chan os.Signal) {
	stop, reload = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	return stop, reload
}

// checkSettings reads the settings again and logs whether they are valid.
func (c *Command) checkSettings(log hclog.Logger) {
	if _, err := settings.ReadSidecar(c.Settings); err != nil {
		log.Error(event.Reloaded, "error", gd.Message(err))
		return
	}
	log.Info(event.Reloaded, "settings", c.Settings)
}
