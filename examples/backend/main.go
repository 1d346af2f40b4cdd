// Command backend is a small backend server for trying a fleet of nodes. It
// announces itself to the node beside it and responds to each request with the
// request's id.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/geraniumdock/geraniumdock/demo"
)

type options struct {
	Announce string `long:"announce" value-name:"HOST:PORT" default:"127.0.0.1:8082" description:"announce address of the node"`
	Service  string `long:"service" value-name:"NAME" default:"tags" description:"service that the backend server belongs to"`
	Slots    int    `long:"slots" value-name:"N" default:"6" description:"number of requests that the backend server runs at once"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	b := &demo.Backend{Service: o.Service, Slots: o.Slots}
	if err := b.Start(o.Announce); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("serving", o.Service, "at", b.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	if err := b.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
