package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/hashicorp/go-hclog"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/demo"
	"github.com/geraniumdock/geraniumdock/identity"
	"github.com/geraniumdock/geraniumdock/internal/fleet/seed"
	"github.com/geraniumdock/geraniumdock/internal/standin/catalogue"
	"github.com/geraniumdock/geraniumdock/internal/store/object"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/sink"
	"github.com/geraniumdock/geraniumdock/node"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/settings"
	"github.com/geraniumdock/geraniumdock/table"
)

const (
	maxIdleStoreConns = 16
	demoTimeout       = 30 * time.Second
	privateKeyMode    = 0o600
	publicFileMode    = 0o644
	folderMode        = 0o755
)

type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file"`
}

// Execute runs a node until SIGINT or SIGTERM.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	var log hclog.Logger
	out := sink.New(os.Stderr, func(dropped uint64) { log.Warn(event.LinesDropped, "count", dropped) })
	defer out.Close()
	log = hclog.New(&hclog.LoggerOptions{Name: "geraniumdock", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: s.Log.JSON, Output: out})
	cfg, err := nodeConfig(s, log)
	if err != nil {
		return err
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	n.Start()
	log.Info("serving", "node", n.Name(), "calls", n.CallsAddress(), "peers", n.PeersAddress(), "operator", n.OperatorAddress(), "announce", n.AnnounceAddress())
	<-signals
	return n.Close()
}

// nodeConfig returns the configuration of a node with the settings s.
func nodeConfig(s settings.Settings, log hclog.Logger) (node.Config, error) {
	id, err := identity.Load(s.Certificates.Authority, s.Certificates.Certificate, s.Certificates.Key)
	if err != nil {
		return node.Config{}, err
	}
	operatorToken, err := settings.ReadToken(s.Tokens.OperatorFile, "tokens.operator-file")
	if err != nil {
		return node.Config{}, err
	}
	announceToken, err := settings.ReadToken(s.Tokens.AnnounceFile, "tokens.announce-file")
	if err != nil {
		return node.Config{}, err
	}
	start := uint64(clock.System{}.Now())
	return node.Config{
		DataCentre:           s.DataCentre,
		Region:               s.Region,
		Identity:             id,
		Store:                object.NewClient(object.NewCatalogueStore(platform.NewStore(s.Platform.Address, &http.Transport{MaxIdleConnsPerHost: maxIdleStoreConns})), clock.System{}, s.Platform.CallsPerSecond, seed.ForNode(id.Node(), start)),
		Clock:                clock.System{},
		Log:                  log,
		CallsAddress:         s.Listen.Calls,
		PeersAddress:         s.Listen.Peers,
		AdvertiseAddress:     s.Listen.Advertise,
		OperatorAddress:      s.Listen.Operator,
		AnnounceAddress:      s.Listen.Announce,
		OperatorToken:        operatorToken,
		AnnounceToken:        announceToken,
		Seeds:                s.Seeds,
		GatherDelay:          s.GatherDelay,
		ClaimWritesPerSecond: s.Platform.ClaimWritesPerSecond,
		DrainTimeout:         s.DrainTimeout,
		RandomSeed:           start,
	}, nil
}

type checkCommand struct {
	Sheet   string `long:"sheet" choice:"rows" choice:"services" choice:"callers" default:"rows" description:"sheet that the CSV files contain"`
	InForce string `long:"in-force" value-name:"FILE" description:"policy in force (.json), with which the policies are compared"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks files and reports each one that is invalid.
func (c *checkCommand) Execute([]string) error {
	var bad error
	for _, file := range c.Args.Files {
		if err := c.check(file); err != nil {
			fmt.Fprintln(os.Stderr, gd.Message(err))
			bad = gd.Invalid.Errorf("some files are invalid")
			continue
		}
		fmt.Printf("%s: in order\n", file)
	}
	return bad
}

func (c *checkCommand) check(file string) error {
	if filepath.Ext(file) == ".json" {
		return checkPolicy(os.Stdout, file, c.InForce)
	}
	if filepath.Ext(file) != ".csv" && isSettings(file) {
		_, err := settings.Read(file)
		if isSidecar(file) {
			_, err = settings.ReadSidecar(file)
		}
		return err
	}
	d, err := readDocument(file, table.Sheet(c.Sheet))
	if err != nil || filepath.Ext(file) == ".csv" {
		return err // a CSV file has one sheet only, so references to other sheets cannot be checked
	}
	return d.Check(file)
}

// isSidecar reports whether a settings file is that of a sidecar, which has the key
// store.
func isSidecar(file string) bool {
	data, err := os.ReadFile(file)
	return err == nil && strings.Contains("\n"+string(data), "\nstore:")
}

// isSettings reports whether a YAML file is a settings file, as opposed to a table
// file, judged by its keys.
func isSettings(file string) bool {
	data, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	var keys map[string]any
	if yaml.Unmarshal(data, &keys) != nil {
		return !strings.Contains(string(data), "\nrows:")
	}
	for _, key := range []string{"version", "services", "callers", "rows"} {
		if _, ok := keys[key]; ok {
			return false
		}
	}
	return true
}

type demoCommand struct {
	Log string `long:"log" choice:"info" choice:"warn" choice:"error" default:"error" description:"level of the nodes' log on standard error"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	log := hclog.New(&hclog.LoggerOptions{Name: "geraniumdock", Level: hclog.LevelFromString(c.Log)})
	counts, err := demo.Run(ctx, os.Stdout, log)
	fmt.Println(counts)
	if err == nil && counts.Failed() {
		err = gd.Internal.Errorf("the demo failed: a call was not answered or ran more than once, or the edit is not in force on all nodes")
	}
	return err
}

type standInCommand struct {
	Listen string `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:9000" description:"address to listen on"`
	Data   string `long:"data" value-name:"FILE" description:"file to load the entries from at the start and to save them to at the end"`
	Policy string `long:"policy" value-name:"FILE" description:"initial configuration for sidecars, in the form in which operators write it"`
}

// Execute serves the stand-in until SIGINT or SIGTERM.
func (c *standInCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return gd.Invalid.Wrapf(err, "--listen")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	store := catalogue.New(0, 0, uint64(clock.System{}.Now()))
	if err := c.load(store); err != nil {
		return err
	}
	if err := c.writePolicy(ctx, store); err != nil {
		return err
	}
	control := catalogue.NewControl(store)
	mux := http.NewServeMux()
	mux.Handle("/", platform.NewStoreHandler(store))
	mux.Handle(catalogue.FaultsPath, control)
	mux.Handle(catalogue.CountsPath, control)
	s := &http.Server{Handler: mux}
	context.AfterFunc(ctx, func() { s.Close() })
	fmt.Fprintf(os.Stderr, "stand-in for the platform at http://%s, in memory\n", l.Addr())
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return gd.Internal.Wrapf(err, "stand-in")
	}
	store.Close()
	return c.save(store)
}

// writePolicy stores the initial configuration for sidecars.
func (c *standInCommand) writePolicy(ctx context.Context, store *catalogue.Catalogue) error {
	if c.Policy == "" {
		return nil
	}
	data, err := os.ReadFile(c.Policy)
	if err != nil {
		return gd.Invalid.Wrapf(err, "--policy")
	}
	if _, err := platform.DecodePolicy(data); err != nil {
		return gd.Invalid.Errorf("%s: %s", c.Policy, gd.Message(err))
	}
	_, err = store.Put(ctx, "operator", platform.ConfigKind, platform.ConfigName, data, nil, 0, true)
	return err
}

// load reads the entries from the data file, if it exists.
func (c *standInCommand) load(store *catalogue.Catalogue) error {
	if c.Data == "" {
		return nil
	}
	f, err := os.Open(c.Data)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return gd.Invalid.Wrapf(err, "--data")
	}
	defer f.Close()
	return store.Restore(f)
}

// save writes the entries to the data file.
func (c *standInCommand) save(store *catalogue.Catalogue) error {
	if c.Data == "" {
		return nil
	}
	f, err := os.Create(c.Data)
	if err != nil {
		return gd.Invalid.Wrapf(err, "--data")
	}
	if err := store.Save(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

type tokenCommand struct{}

// Execute prints the hash of a token.
func (*tokenCommand) Execute([]string) error {
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return gd.Invalid.Wrapf(err, "standard input")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return gd.Invalid.Errorf("standard input contains no token")
	}
	fmt.Println(identity.TokenHash(token))
	return nil
}

type certificatesCommand struct {
	Out  string `long:"out" value-name:"DIR" default:"." description:"folder to write the files to"`
	Args struct {
		Nodes []string `positional-arg-name:"NODE" required:"1"`
	} `positional-args:"yes"`
}

// Execute creates certificates.
func (c *certificatesCommand) Execute([]string) error {
	if err := os.MkdirAll(c.Out, folderMode); err != nil {
		return gd.Invalid.Wrapf(err, "--out")
	}
	a, err := c.authority()
	if err != nil {
		return err
	}
	for _, name := range c.Args.Nodes {
		certificate, key, err := a.Issue(name)
		if err != nil {
			return err
		}
		if err := c.write(name+".pem", certificate, publicFileMode); err != nil {
			return err
		}
		if err := c.write(name+"-key.pem", key, privateKeyMode); err != nil {
			return err
		}
	}
	return nil
}

// authority reads the certificate authority of the folder, or creates one if there
// is none.
func (c *certificatesCommand) authority() (*identity.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(c.Out, "authority.pem"))
	if err == nil {
		key, err := os.ReadFile(filepath.Join(c.Out, "authority-key.pem"))
		if err != nil {
			return nil, gd.Invalid.Wrapf(err, "--out")
		}
		return identity.ParseAuthority(cert, key)
	}
	a, err := identity.NewAuthority()
	if err != nil {
		return nil, err
	}
	key, err := a.KeyPEM()
	if err != nil {
		return nil, err
	}
	if err := c.write("authority.pem", a.PEM(), publicFileMode); err != nil {
		return nil, err
	}
	return a, c.write("authority-key.pem", key, privateKeyMode)
}

func (c *certificatesCommand) write(name string, data []byte, mode os.FileMode) error {
	if err := os.WriteFile(filepath.Join(c.Out, name), data, mode); err != nil {
		return gd.Invalid.Wrapf(err, "--out")
	}
	return nil
}
