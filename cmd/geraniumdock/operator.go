package main

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/settings"
	"github.com/geraniumdock/geraniumdock/table"
)

const operatorTimeout = 15 * time.Second

// operator are the options of the commands that talk to a node.
type operator struct {
	Operator  string `long:"operator" value-name:"HOST:PORT" default:"127.0.0.1:8081" env:"GERANIUMDOCK_OPERATOR" description:"operator address of a node"`
	TokenFile string `long:"token-file" value-name:"FILE" env:"GERANIUMDOCK_TOKEN_FILE" description:"file with the operator token, if the node asks for one"`
	JSON      bool   `long:"json" description:"print JSON"`
}

// call sends a request to the node and decodes its answer. The raw answer is
// printed instead with --json.
func (o *operator) call(method, path string, body, into any) error {
	data, err := o.exchange(method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return gd.Unavailable.Errorf("node %s: unexpected answer", o.Operator)
	}
	if o.JSON {
		os.Stdout.Write(data)
	}
	return nil
}

func (o *operator) exchange(method, path string, body any) ([]byte, error) {
	token, err := settings.ReadToken(o.TokenFile, "--token-file")
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "request")
	}
	req, err := http.NewRequest(method, "http://"+o.Operator+path, bytes.NewReader(data))
	if err != nil {
		return nil, gd.Invalid.Errorf("--operator %s: not host:port", o.Operator)
	}
	req.GetBody = nil // edits carry an id, but are repeated by the operator only
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	client := &http.Client{Timeout: operatorTimeout}
	res, err := client.Do(req)
	if err != nil {
		return nil, gd.Unavailable.Errorf("node %s is not reached: %s", o.Operator, err)
	}
	defer res.Body.Close()
	return o.answer(res)
}

func (o *operator) answer(res *http.Response) ([]byte, error) {
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, gd.Unavailable.Errorf("node %s: the answer broke off", o.Operator)
	}
	if res.StatusCode == http.StatusOK {
		return data, nil
	}
	var e struct {
		Error   string `json:"error"`
		Message string `json:"message"`
	}
	if json.Unmarshal(data, &e) != nil || e.Error == "" {
		return nil, gd.Internal.Errorf("node %s: %s", o.Operator, strings.TrimSpace(string(data)))
	}
	return nil, gd.KindNamed(e.Error).Errorf("%s", e.Message)
}

// tableReply is the answer with the table.
type tableReply struct {
	Version uint64 `json:"version"`
	Cells   []struct {
		Sheet  string `json:"sheet"`
		Row    string `json:"row"`
		Column string `json:"column"`
		Value  string `json:"value"`
	} `json:"cells"`
}

func (t tableReply) document() table.Document {
	d := table.Document{Version: t.Version, Sheets: []table.Sheet{table.Services, table.Callers, table.Rows}}
	for _, c := range t.Cells {
		d.Entries = append(d.Entries, table.Entry{Key: table.Key{Sheet: table.Sheet(c.Sheet), Row: c.Row, Column: c.Column}, Value: c.Value})
	}
	return d
}

// print lays out tab-separated lines.
func print(header string, lines []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	w.Flush()
}

type getCommand struct {
	operator
	Format string `long:"format" choice:"text" choice:"csv" choice:"yaml" default:"text" description:"form of the table"`
	Sheet  string `long:"sheet" choice:"rows" choice:"services" choice:"callers" default:"rows" description:"sheet for text and csv"`
}

// Execute prints the table.
func (c *getCommand) Execute([]string) error {
	var t tableReply
	if err := c.call(http.MethodGet, "/v1/table", nil, &t); err != nil || c.JSON {
		return err
	}
	d := t.document()
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
	fmt.Printf("version %d\n", t.Version)
	print(lines[1], lines[2:])
	return nil
}

// editOptions are the options of commands that change the table.
type editOptions struct {
	operator
	Read      uint64 `long:"read-version" value-name:"N" description:"version that the change is based on; default: the current one, or the file's"`
	Author    string `long:"author" value-name:"NAME" description:"who edits; default: the user's name"`
	RequestID string `long:"request-id" value-name:"ID" description:"id of an edit that is repeated after an unknown outcome"`
}

type wireChange struct {
	Sheet  string `json:"sheet"`
	Row    string `json:"row"`
	Column string `json:"column,omitempty"`
	Value  string `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
	Read   uint64 `json:"read"`
}

type wireEdit struct {
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	Changes []wireChange `json:"changes"`
}

func (o *editOptions) commit(changes []table.Change) error {
	if len(changes) == 0 {
		fmt.Fprintln(os.Stderr, "nothing differs")
		return nil
	}
	e := wireEdit{ID: o.id(), Author: o.author()}
	for _, c := range changes {
		if o.Read > 0 {
			c.Read = o.Read
		}
		e.Changes = append(e.Changes, wireChange{string(c.Key.Sheet), c.Key.Row, c.Key.Column, c.Value, c.Remove, c.Read})
	}
	var receipt struct {
		Version uint64 `json:"version"`
	}
	err := o.call(http.MethodPost, "/v1/edits", e, &receipt)
	if gd.Unavailable.Is(err) {
		return gd.Unknown.Wrapf(err, "the outcome is not known; repeat with --request-id %s, which is safe", e.ID)
	}
	if err != nil || o.JSON {
		return err
	}
	fmt.Printf("accepted as version %d\n", receipt.Version)
	return nil
}

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
	read := c.Read
	if read == 0 {
		quiet := c.operator
		quiet.JSON = false
		var t tableReply
		if err := quiet.call(http.MethodGet, "/v1/table", nil, &t); err != nil {
			return err
		}
		read = t.Version
	}
	var changes []table.Change
	for _, cell := range c.Args.Cells {
		column, value, ok := strings.Cut(cell, "=")
		if !ok {
			return gd.Invalid.Errorf("%q is not COLUMN=VALUE", cell)
		}
		changes = append(changes, table.Change{Key: table.RowKey(c.Args.Caller, c.Args.Service, column), Value: value, Read: read})
	}
	return c.commit(changes)
}

type applyCommand struct {
	editOptions
	Sheet string `long:"sheet" choice:"rows" choice:"services" choice:"callers" default:"rows" description:"sheet that a CSV file holds"`
	Prune bool   `long:"prune" description:"remove the rows that the file's sheets lack"`
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
	quiet := c.operator
	quiet.JSON = false
	var t tableReply
	if err := quiet.call(http.MethodGet, "/v1/table", nil, &t); err != nil {
		return err
	}
	return c.commit(d.Changes(t.document(), c.Prune))
}

// readDocument reads a table file by its ending.
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

// Execute has the node commit the table in force there again.
func (c *restoreCommand) Execute([]string) error {
	var receipt struct {
		Version uint64 `json:"version"`
	}
	e := wireEdit{ID: c.id(), Author: c.author()}
	if err := c.call(http.MethodPost, "/v1/restore", e, &receipt); err != nil || c.JSON {
		return err
	}
	fmt.Printf("restored as version %d\n", receipt.Version)
	return nil
}

type historyCommand struct{ operator }

// Execute lists the versions.
func (c *historyCommand) Execute([]string) error {
	var records []struct {
		Version uint64   `json:"version"`
		Author  string   `json:"author"`
		At      int64    `json:"at-ms"`
		Cells   []string `json:"cells"`
	}
	if err := c.call(http.MethodGet, "/v1/history", nil, &records); err != nil || c.JSON {
		return err
	}
	var lines []string
	for _, r := range records {
		at := time.UnixMilli(r.At).UTC().Format(time.RFC3339)
		lines = append(lines, fmt.Sprintf("%d\t%s\t%s\t%s", r.Version, at, r.Author, strings.Join(r.Cells, ", ")))
	}
	print("VERSION\tTIME\tAUTHOR\tCELLS", lines)
	return nil
}

type statusCommand struct {
	operator
	Service string `long:"service" value-name:"S" description:"only rows of this service"`
	Caller  string `long:"caller" value-name:"C" description:"only rows of this caller"`
}

// Execute tells where each row is in force.
func (c *statusCommand) Execute([]string) error {
	var s struct {
		Version uint64 `json:"version"`
		Rows    []struct {
			Caller  string   `json:"caller"`
			Service string   `json:"service"`
			Version uint64   `json:"version"`
			InForce int      `json:"in-force"`
			Nodes   int      `json:"nodes"`
			Lagging []string `json:"lagging"`
		} `json:"rows"`
		Nodes []struct {
			Node    string `json:"node"`
			Refused uint64 `json:"refused"`
			Reason  string `json:"reason"`
		} `json:"nodes"`
		Silent []string `json:"silent-relays"`
	}
	q := url.Values{"service": {c.Service}, "caller": {c.Caller}}
	if err := c.call(http.MethodGet, "/v1/status?"+q.Encode(), nil, &s); err != nil || c.JSON {
		return err
	}
	fmt.Printf("version %d\n", s.Version)
	var lines []string
	for _, r := range s.Rows {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d/%d\t%s", r.Caller, r.Service, r.Version, r.InForce, r.Nodes, strings.Join(r.Lagging, " ")))
	}
	print("CALLER\tSERVICE\tCHANGED\tIN FORCE\tLAGGING", lines)
	for _, n := range s.Nodes {
		if n.Refused > 0 {
			fmt.Printf("node %s refused version %d: %s\n", n.Node, n.Refused, n.Reason)
		}
	}
	if len(s.Silent) > 0 {
		fmt.Printf("relays that did not answer, so that their nodes are not counted: %s\n", strings.Join(s.Silent, " "))
	}
	return nil
}

type serversCommand struct{ operator }

// Execute lists the backend servers.
func (c *serversCommand) Execute([]string) error {
	var servers []struct {
		Node       string `json:"node"`
		Service    string `json:"service"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
		Slots      int    `json:"slots"`
		State      string `json:"state-name"`
	}
	if err := c.call(http.MethodGet, "/v1/servers", nil, &servers); err != nil || c.JSON {
		return err
	}
	var lines []string
	for _, s := range servers {
		lines = append(lines, strings.Join([]string{s.Node, s.Service, s.DataCentre, s.Address, strconv.Itoa(s.Slots), s.State}, "\t"))
	}
	print("NODE\tSERVICE\tDATA CENTRE\tADDRESS\tSLOTS\tSTATE", lines)
	return nil
}

type drainCommand struct{ operator }

// Execute drains the server beside the node.
func (c *drainCommand) Execute([]string) error {
	var none struct{}
	return c.call(http.MethodPost, "/v1/drain", none, &none)
}
