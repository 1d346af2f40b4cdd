// Package settings reads and checks the settings file of a node.
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

// Settings are the settings of a node, as read from its file.
type Settings struct {
	DataCentre   string        `yaml:"data-centre"`
	Region       string        `yaml:"region"`
	Platform     Platform      `yaml:"platform"`
	Listen       Listen        `yaml:"listen"`
	Tokens       Tokens        `yaml:"tokens"`
	Certificates Certificates  `yaml:"certificates"`
	Seeds        []string      `yaml:"seeds"`
	Gather       time.Duration `yaml:"-"`
	DrainWait    time.Duration `yaml:"-"`
	Log          Log           `yaml:"log"`
}

// wireSettings are the settings with their durations as text.
type wireSettings struct {
	Settings  `yaml:",inline"`
	Gather    string `yaml:"gather"`
	DrainWait string `yaml:"drain-wait"`
}

// durations parses the durations that the file names.
func (w *wireSettings) durations() error {
	for _, d := range []struct {
		key, text string
		into      *time.Duration
	}{
		{"gather", w.Gather, &w.Settings.Gather},
		{"drain-wait", w.DrainWait, &w.Settings.DrainWait},
	} {
		if d.text == "" {
			continue
		}
		v, err := time.ParseDuration(d.text)
		if err != nil {
			return gd.Invalid.Errorf("key %s: %q is not a duration such as 200ms or 30s", d.key, d.text)
		}
		*d.into = v
	}
	return nil
}

// Platform says where the platform's object service is.
type Platform struct {
	Address        string  `yaml:"address"`
	CallsPerSecond float64 `yaml:"calls-per-second"`
	// ClaimWritesPerSecond bounds the writes of claims under load.
	ClaimWritesPerSecond float64 `yaml:"claim-writes-per-second"`
}

// Listen are the node's addresses.
type Listen struct {
	Calls string `yaml:"calls"`
	Peers string `yaml:"peers"`
	// Advertise is the peers' address as other nodes reach it, if it differs.
	Advertise string `yaml:"advertise"`
	Operator  string `yaml:"operator"`
	Announce  string `yaml:"announce"`
}

// Tokens are files that hold the tokens asked for at an address.
type Tokens struct {
	OperatorFile string `yaml:"operator-file"`
	AnnounceFile string `yaml:"announce-file"`
}

// Certificates are PEM files. Relative names start at the settings file.
type Certificates struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Log says what is logged.
type Log struct {
	Level string `yaml:"level"`
	JSON  bool   `yaml:"json"`
}

// Ranges of the settings.
const (
	minGather    = time.Millisecond
	maxGather    = 10 * time.Second
	maxDrainWait = time.Hour
	minCalls     = 1
	maxCalls     = 1000
)

// Default returns the settings that a file need not name.
func Default() Settings {
	return Settings{
		Platform:  Platform{CallsPerSecond: 20, ClaimWritesPerSecond: 10},
		Listen:    Listen{Calls: "127.0.0.1:8080", Peers: "127.0.0.1:8443", Operator: "127.0.0.1:8081", Announce: "127.0.0.1:8082"},
		Gather:    200 * time.Millisecond,
		DrainWait: 30 * time.Second,
		Log:       Log{Level: "info"},
	}
}

// Read reads and checks a settings file.
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

// Parse checks the bytes of a settings file. Errors name the file, the line and
// the key.
func Parse(data []byte, file string) (Settings, error) {
	w := wireSettings{Settings: Default()}
	if err := yaml.UnmarshalWithOptions(data, &w, yaml.Strict()); err != nil {
		return Settings{}, gd.Invalid.Errorf("%s: %s", file, strings.TrimSpace(err.Error()))
	}
	err := w.durations()
	if err == nil {
		err = w.check()
	}
	if err != nil {
		return Settings{}, gd.Invalid.Errorf("%s:%s %s", file, lineOf(data, keyOf(gd.Message(err))), gd.Message(err))
	}
	return w.Settings, nil
}

// keyOf returns the key that a message of a check begins with, without the place
// in a list.
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
		return gd.Invalid.Errorf("key platform.address: %q is not an http or https address", s.Platform.Address)
	}
	if err := s.checkRanges(); err != nil {
		return err
	}
	return s.checkAddresses()
}

func (s Settings) checkRanges() error {
	switch {
	case s.Platform.CallsPerSecond < minCalls || s.Platform.CallsPerSecond > maxCalls:
		return gd.Invalid.Errorf("key platform.calls-per-second: %g is not from %d to %d", s.Platform.CallsPerSecond, minCalls, maxCalls)
	case s.Platform.ClaimWritesPerSecond <= 0 || s.Platform.ClaimWritesPerSecond > s.Platform.CallsPerSecond:
		return gd.Invalid.Errorf("key platform.claim-writes-per-second: %g is not above 0 and at most platform.calls-per-second", s.Platform.ClaimWritesPerSecond)
	case s.Gather < minGather || s.Gather > maxGather:
		return gd.Invalid.Errorf("key gather: %s is not from %s to %s", s.Gather, minGather, maxGather)
	case s.DrainWait < 0 || s.DrainWait > maxDrainWait:
		return gd.Invalid.Errorf("key drain-wait: %s is not from 0s to %s", s.DrainWait, maxDrainWait)
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
			return gd.Invalid.Errorf("key %s: %q is not host:port", a.key, a.address)
		}
		ip := net.ParseIP(host)
		if ip == nil {
			return gd.Invalid.Errorf("key %s: %q is not an IP address", a.key, host)
		}
		if a.key == "listen.peers" && ip.IsUnspecified() {
			return gd.Invalid.Errorf("key %s: other nodes need the VM's own address, not %s", a.key, host)
		}
		if a.tokenKey != "" && !ip.IsLoopback() && a.tokenFile == "" {
			return gd.Invalid.Errorf("key %s: %s is not a loopback address, so %s is needed", a.key, host, a.tokenKey)
		}
	}
	for i, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return gd.Invalid.Errorf("key seeds[%d]: %q is not host:port", i, seed)
		}
	}
	return nil
}

// ReadToken reads a token from a file; no file stands for no token.
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
		return "", gd.Invalid.Errorf("key %s: the file is empty", key)
	}
	return token, nil
}
