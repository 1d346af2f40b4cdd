// Package settings reads and checks the settings files of nodes: Settings for package
// node, Sidecar for nodes on the users' platform.
package settings

import (
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	gd "github.com/geraniumdock/geraniumdock"
)

// Settings holds the settings of a node of package node.
type Settings struct {
	DataCentre   string        `yaml:"data-centre"`
	Region       string        `yaml:"region"`
	Platform     Platform      `yaml:"platform"`
	Listen       Listen        `yaml:"listen"`
	Tokens       Tokens        `yaml:"tokens"`
	Certificates Certificates  `yaml:"certificates"`
	Seeds        []string      `yaml:"seeds"`
	GatherDelay  time.Duration `yaml:"-"` // how long a relay collects changes before it pushes them
	DrainTimeout time.Duration `yaml:"-"` // maximum time to wait for calls in flight when the node stops
	Log          Log           `yaml:"log"`
}

// wireSettings holds the settings as they are in the file, with durations as text.
type wireSettings struct {
	Settings     `yaml:",inline"`
	GatherDelay  string `yaml:"gather"`
	DrainTimeout string `yaml:"drain-wait"`
}

// parseDurations sets the durations that the file contains.
func (w *wireSettings) parseDurations() error {
	for _, d := range []struct {
		key, text string
		dst       *time.Duration
	}{
		{"gather", w.GatherDelay, &w.Settings.GatherDelay},
		{"drain-wait", w.DrainTimeout, &w.Settings.DrainTimeout},
	} {
		if d.text == "" {
			continue
		}
		v, err := time.ParseDuration(d.text)
		if err != nil {
			return gd.Invalid.Errorf("key %s: %q is not a duration such as 200ms or 30s", d.key, d.text)
		}
		*d.dst = v
	}
	return nil
}

// Platform holds the address of the platform's object store and the limits on the
// calls to it.
type Platform struct {
	Address        string  `yaml:"address"`
	CallsPerSecond float64 `yaml:"calls-per-second"`
	// ClaimWritesPerSecond limits the rate of claim writes under load.
	ClaimWritesPerSecond float64 `yaml:"claim-writes-per-second"`
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	Calls string `yaml:"calls"`
	Peers string `yaml:"peers"`
	// Advertise is the address at which other nodes reach Peers, if it differs.
	Advertise string `yaml:"advertise"`
	Operator  string `yaml:"operator"`
	Announce  string `yaml:"announce"`
}

// Tokens names the files with the bearer tokens required at the operator and
// announce addresses.
type Tokens struct {
	OperatorFile string `yaml:"operator-file"`
	AnnounceFile string `yaml:"announce-file"`
}

// Certificates names PEM files. Relative paths are relative to the folder of the
// settings file.
type Certificates struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Log holds the level and the format of the log.
type Log struct {
	Level string `yaml:"level"`
	JSON  bool   `yaml:"json"`
}

// Ranges of the settings.
const (
	minGatherDelay    = time.Millisecond
	maxGatherDelay    = 10 * time.Second
	maxDrainTimeout   = time.Hour
	minCallsPerSecond = 1
	maxCallsPerSecond = 1000
)

// Default returns the values of the settings that a file may omit.
func Default() Settings {
	return Settings{
		Platform:     Platform{CallsPerSecond: 20, ClaimWritesPerSecond: 10},
		Listen:       Listen{Calls: "127.0.0.1:8080", Peers: "127.0.0.1:8443", Operator: "127.0.0.1:8081", Announce: "127.0.0.1:8082"},
		GatherDelay:  200 * time.Millisecond,
		DrainTimeout: 30 * time.Second,
		Log:          Log{Level: "info"},
	}
}

// Read reads and checks a settings file, and resolves the relative paths in it.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, gd.Invalid.Wrapf(err, "settings")
	}
	s, err := Parse(data, file)
	if err != nil {
		return Settings{}, err
	}
	dir := filepath.Dir(file)
	for _, name := range []*string{&s.Certificates.Authority, &s.Certificates.Certificate, &s.Certificates.Key, &s.Tokens.OperatorFile, &s.Tokens.AnnounceFile} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
	return s, nil
}

// Parse parses and checks the contents of a settings file. Errors contain the
// file, the line and the key.
func Parse(data []byte, file string) (Settings, error) {
	w := wireSettings{Settings: Default()}
	if err := yaml.UnmarshalWithOptions(data, &w, yaml.Strict()); err != nil {
		return Settings{}, gd.Invalid.Errorf("%s: %s", file, strings.TrimSpace(err.Error()))
	}
	err := w.parseDurations()
	if err == nil {
		err = w.check()
	}
	if err != nil {
		return Settings{}, gd.Invalid.Errorf("%s:%s %s", file, lineOf(data, keyOf(gd.Message(err))), gd.Message(err))
	}
	return w.Settings, nil
}

// keyOf returns the key at the beginning of an error message of check, without a
// list index.
func keyOf(message string) string {
	key, _, _ := strings.Cut(strings.TrimPrefix(message, "key "), ":")
	key, _, _ = strings.Cut(key, "[")
	return key
}

func (s Settings) check() error {
	for _, required := range []struct{ key, value string }{
		{"data-centre", s.DataCentre},
		{"region", s.Region},
		{"platform.address", s.Platform.Address},
		{"certificates.authority", s.Certificates.Authority},
		{"certificates.certificate", s.Certificates.Certificate},
		{"certificates.key", s.Certificates.Key},
	} {
		if required.value == "" {
			return gd.Invalid.Errorf("key %s: missing", required.key)
		}
	}
	if strings.ContainsRune(s.DataCentre, '/') {
		return gd.Invalid.Errorf("key data-centre: %q contains /", s.DataCentre)
	}
	if u, err := url.Parse(s.Platform.Address); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return gd.Invalid.Errorf("key platform.address: %q is not an http or https URL", s.Platform.Address)
	}
	if err := s.checkRanges(); err != nil {
		return err
	}
	return s.checkAddresses()
}

func (s Settings) checkRanges() error {
	switch {
	case s.Platform.CallsPerSecond < minCallsPerSecond || s.Platform.CallsPerSecond > maxCallsPerSecond:
		return gd.Invalid.Errorf("key platform.calls-per-second: %g is not between %d and %d", s.Platform.CallsPerSecond, minCallsPerSecond, maxCallsPerSecond)
	case s.Platform.ClaimWritesPerSecond <= 0 || s.Platform.ClaimWritesPerSecond > s.Platform.CallsPerSecond:
		return gd.Invalid.Errorf("key platform.claim-writes-per-second: %g must be greater than 0 and at most platform.calls-per-second", s.Platform.ClaimWritesPerSecond)
	case s.GatherDelay < minGatherDelay || s.GatherDelay > maxGatherDelay:
		return gd.Invalid.Errorf("key gather: %s is not between %s and %s", s.GatherDelay, minGatherDelay, maxGatherDelay)
	case s.DrainTimeout < 0 || s.DrainTimeout > maxDrainTimeout:
		return gd.Invalid.Errorf("key drain-wait: %s is not between 0s and %s", s.DrainTimeout, maxDrainTimeout)
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return gd.Invalid.Errorf("key log.level: %q is not debug, info, warn or error", s.Log.Level)
}

func (s Settings) checkAddresses() error {
	for _, a := range []struct{ key, address, tokenKey, tokenFile string }{
		{"listen.calls", s.Listen.Calls, "", ""},
		{"listen.peers", s.Listen.Peers, "", ""},
		{"listen.operator", s.Listen.Operator, "tokens.operator-file", s.Tokens.OperatorFile},
		{"listen.announce", s.Listen.Announce, "tokens.announce-file", s.Tokens.AnnounceFile},
	} {
		host, _, err := net.SplitHostPort(a.address)
		if err != nil {
			return gd.Invalid.Errorf("key %s: %q is not of the form host:port", a.key, a.address)
		}
		ip := net.ParseIP(host)
		if ip == nil {
			return gd.Invalid.Errorf("key %s: %q is not an IP address", a.key, host)
		}
		if a.key == "listen.peers" && ip.IsUnspecified() {
			return gd.Invalid.Errorf("key %s: %s is an unspecified address; other nodes need the VM's own address", a.key, host)
		}
		if a.tokenKey != "" && !ip.IsLoopback() && a.tokenFile == "" {
			return gd.Invalid.Errorf("key %s: %s is not a loopback address, so %s is required", a.key, host, a.tokenKey)
		}
	}
	for i, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return gd.Invalid.Errorf("key seeds[%d]: %q is not of the form host:port", i, seed)
		}
	}
	return nil
}

// ReadToken reads a token from a file. It returns an empty token if file is empty.
// Errors contain key, the setting or flag that names the file.
func ReadToken(file, key string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", gd.Invalid.Wrapf(err, "key %s", key)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", gd.Invalid.Errorf("key %s: the token file is empty", key)
	}
	return token, nil
}
