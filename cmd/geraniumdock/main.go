// Command geraniumdock runs a node beside a backend server, and edits and reads
// the operators' table.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/geraniumdock/geraniumdock/demo"
)

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "geraniumdock", Level: hclog.Warn})
	if os.Getenv("V") != "" {
		log.SetLevel(hclog.Info)
	}
	c, err := demo.Run(context.Background(), os.Stdout, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	fmt.Println(c)
	if err != nil || c.Failed() {
		os.Exit(1)
	}
}
