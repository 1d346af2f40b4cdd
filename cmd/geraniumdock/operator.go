package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/operator"
	"github.com/geraniumdock/geraniumdock/settings"
	"github.com/geraniumdock/geraniumdock/table"
)

// options holds the options of the commands that call a node.
type options struct {
	Operator  string `long:"operator" value-name:"HOST:PORT" default:"127.0.0.1:8081" env:"GERANIUMDOCK_OPERATOR" description:"operator address of a node"`
	TokenFile string `long:"token-file" value-name:"FILE" env:"GERANIUMDOCK_TOKEN_FILE" description:"file with the operator token, if the node requires one"`
	JSON      bool   `long:"json" description:"print JSON"`
}

// client returns a client of the node. With --json it prints the responses.
func (o *options) client() (*operator.Client, error) {
	c, err := o.quietClient()
	if err == nil && o.JSON {
		c.ResponseCopy = os.Stdout
	}
	return c, err
}

// quietClient returns a client of the node that never prints the responses, for
// requests whose response is not the output of the command.
func (o *options) quietClient() (*operator.Client, error) {
	token, err := settings.ReadToken(o.TokenFile, "--token-file")
	if err != nil {
		return nil, err
	}
	return &operator.Client{Address: o.Operator, Token: token}, nil
}

// currentTable reads the table from the node.
func (o *options) currentTable() (table.Document, error) {
	c, err := o.quietClient()
	if err != nil {
		return table.Document{}, err
	}
	return c.Table(context.Background())
}

// printTable prints tab-separated lines in aligned columns.
func printTable(header string, lines []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	_ = w.Flush() // if standard output fails, the error cannot be printed either
}

type getCommand struct {
	options
	Format string `long:"format" choice:"text" choice:"csv" choice:"yaml" default:"text" description:"output format"`
	Sheet  string `long:"sheet" choice:"rows" choice:"services" choice:"callers" default:"rows" description:"sheet to print as text or csv"`
}

// Execute prints the table.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	d, err := client.Table(context.Background())
	if err != nil || c.JSON {
		return err
	}
	switch c.Format {
	case "csv":
		return d.WriteCSV(os.Stdout, table.Sheet(c.Sheet))
	case "yaml":
		return d.WriteYAML(os.Stdout)
	}
	var text bytes.Buffer
	if err := d.WriteCSV(&text, table.Sheet(c.Sheet)); err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	for i := range lines {
		lines[i] = strings.ReplaceAll(lines[i], ",", "\t")
	}
	fmt.Printf("version %d\n", d.Version)
	printTable(lines[1], lines[2:])
	return nil
}

// editOptions holds the options of the commands that edit the table.
type editOptions struct {
	options
	ReadVersion uint64 `long:"read-version" value-name:"N" description:"version that the change is based on; default: the current one, or the file's"`
	Author      string `long:"author" value-name:"NAME" description:"author of the edit; default: the user's name"`
	RequestID   string `long:"request-id" value-name:"ID" description:"id of the edit, to retry an edit whose outcome is unknown"`
}

// commit sends the changes as one edit and prints the version that the edit created.
func (o *editOptions) commit(changes []table.Change) error {
	if len(changes) == 0 {
		fmt.Fprintln(os.Stderr, "no changes to commit")
		return nil
	}
	if o.ReadVersion > 0 {
		for i := range changes {
			changes[i].ReadVersion = o.ReadVersion
		}
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	receipt, err := client.Commit(context.Background(), table.Edit{ID: o.id(), Author: o.author(), Changes: changes})
	if err != nil || o.JSON {
		return err
	}
	fmt.Printf("accepted as version %d\n", receipt.Version)
	return nil
}

// id returns the request id, which is random by default.
func (o *editOptions) id() string {
	if o.RequestID != "" {
		return o.RequestID
	}
	return rand.Text()
}

func (o *editOptions) author() string {
	if o.Author != "" {
		return o.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type setCommand struct {
	editOptions
	Args struct {
		Caller  string   `positional-arg-name:"CALLER" required:"yes"`
		Service string   `positional-arg-name:"SERVICE" required:"yes"`
		Cells   []string `positional-arg-name:"COLUMN=VALUE" required:"1"`
	} `positional-args:"yes"`
}

// Execute sets cells of one row.
func (c *setCommand) Execute([]string) error {
	readVersion := c.ReadVersion
	if readVersion == 0 {
		d, err := c.currentTable()
		if err != nil {
			return err
		}
		readVersion = d.Version
	}
	var changes []table.Change
	for _, cell := range c.Args.Cells {
		column, value, ok := strings.Cut(cell, "=")
		if !ok {
			return gd.Invalid.Errorf("%q is not COLUMN=VALUE", cell)
		}
		changes = append(changes, table.Change{Key: table.RowKey(c.Args.Caller, c.Args.Service, column), Value: value, ReadVersion: readVersion})
	}
	return c.commit(changes)
}

type applyCommand struct {
	editOptions
	Sheet string `long:"sheet" choice:"rows" choice:"services" choice:"callers" default:"rows" description:"sheet that a CSV file contains"`
	Prune bool   `long:"prune" description:"remove the rows that are missing in the file's sheets"`
	Args  struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute applies a file.
func (c *applyCommand) Execute([]string) error {
	d, err := readDocument(c.Args.File, table.Sheet(c.Sheet))
	if err != nil {
		return err
	}
	currentTable, err := c.currentTable()
	if err != nil {
		return err
	}
	return c.commit(d.Changes(currentTable, c.Prune))
}

// readDocument reads a table file as CSV or YAML, depending on its extension. A CSV
// file contains the sheet s.
func readDocument(file string, s table.Sheet) (table.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return table.Document{}, gd.Invalid.Wrapf(err, "table")
	}
	if filepath.Ext(file) == ".csv" {
		return table.ReadCSV(bytes.NewReader(data), file, s)
	}
	return table.ReadYAML(data, file)
}

type restoreCommand struct{ editOptions }

// Execute makes the node commit the table in force on it again.
func (c *restoreCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	receipt, err := client.Restore(context.Background(), c.id(), c.author())
	if err != nil || c.JSON {
		return err
	}
	fmt.Printf("restored as version %d\n", receipt.Version)
	return nil
}

type historyCommand struct{ options }

// Execute lists the versions of the table.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	records, err := client.History(context.Background())
	if err != nil || c.JSON {
		return err
	}
	var lines []string
	for _, r := range records {
		lines = append(lines, fmt.Sprintf("%d\t%s\t%s\t%s", r.Version, r.At, r.Author, strings.Join(r.Cells, ", ")))
	}
	printTable("VERSION\tTIME\tAUTHOR\tCELLS", lines)
	return nil
}

type statusCommand struct {
	options
	Service string `long:"service" value-name:"S" description:"only rows of this service"`
	Caller  string `long:"caller" value-name:"C" description:"only rows of this caller"`
}

// Execute shows on how many nodes each row is in force.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.Status(context.Background(), c.Caller, c.Service)
	if err != nil || c.JSON {
		return err
	}
	fmt.Printf("version %d\n", s.Version)
	var lines []string
	for _, r := range s.Rows {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d/%d\t%s", r.Caller, r.Service, r.Version, r.InForce, r.Nodes, strings.Join(r.Lagging, " ")))
	}
	printTable("CALLER\tSERVICE\tCHANGED\tIN FORCE\tLAGGING", lines)
	for _, n := range s.Nodes {
		if n.Refused > 0 {
			fmt.Printf("node %s refused version %d: %s\n", n.Node, n.Refused, n.Reason)
		}
	}
	if len(s.Silent) > 0 {
		fmt.Printf("relays that did not reply, so that their nodes are not counted: %s\n", strings.Join(s.Silent, " "))
	}
	return nil
}

type serversCommand struct{ options }

// Execute lists the backend servers.
func (c *serversCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	servers, err := client.Servers(context.Background())
	if err != nil || c.JSON {
		return err
	}
	var lines []string
	for _, s := range servers {
		lines = append(lines, strings.Join([]string{s.Node, s.Service, s.DataCentre, s.Address, strconv.Itoa(s.Slots), s.State.String()}, "\t"))
	}
	printTable("NODE\tSERVICE\tDATA CENTRE\tADDRESS\tSLOTS\tSTATE", lines)
	return nil
}

type drainCommand struct{ options }

// Execute drains the backend server beside the node.
func (c *drainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return client.Drain(context.Background())
}
