package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	gd "github.com/geraniumdock/geraniumdock"
)

// Sidecar are the settings of a node on the users' platform.
type Sidecar struct {
	Node       string            `yaml:"node"`
	Address    string            `yaml:"address"` // IP address of the VM
	DataCentre string            `yaml:"data-centre"`
	Region     string            `yaml:"region"`
	Server     SidecarServer     `yaml:"server"`
	Listen     SidecarListen     `yaml:"listen"`
	Store      SidecarStore      `yaml:"store"`
	Bounds     SidecarBounds     `yaml:"bounds"`
	MemoryMB   int               `yaml:"memory-mb"`
	LinkMbps   float64           `yaml:"link-mbps"` // of the VM, 0 if it is not known
	Log        Log               `yaml:"log"`
	Regions    map[string]string `yaml:"regions"` // region of each data centre
}

// SidecarServer is the backend server beside the node.
type SidecarServer struct {
	Service string `yaml:"service"`
	Address string `yaml:"address"`
}

// SidecarListen are the addresses that the node serves.
type SidecarListen struct {
	Clients       string `yaml:"clients"`
	Peers         string `yaml:"peers"`
	Advertise     string `yaml:"advertise"` // at which others reach Peers; empty if it is the same
	Ready         string `yaml:"ready"`
	Announcements string `yaml:"announcements"`
	Metrics       string `yaml:"metrics"`
}

// SidecarBounds are the bounds that the platform sets. Those that it leaves out
// have the values of DefaultSidecarBounds.
type SidecarBounds struct {
	DrainSeconds        *float64 `yaml:"drain-seconds"`         // from the notice of a server's leave to the last request sent to it
	GraceSeconds        *float64 `yaml:"grace-seconds"`         // from SIGTERM to SIGKILL
	RepeatRatio         *float64 `yaml:"repeat-ratio"`          // repeats per request in a window, over all nodes
	RepeatWindowSeconds *float64 `yaml:"repeat-window-seconds"` // length of that window
	RepeatSlack         *float64 `yaml:"repeat-slack"`          // repeats in a window beyond the ratio
}

// The bounds where the platform sets none.
const (
	defaultDrain        = 2 * time.Second
	defaultGrace        = 6 * time.Second
	defaultRepeatRatio  = 0.1
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatSlack  = 10
)

// Drain returns the time from the notice of a server's leave to the last
// request sent to it.
func (b SidecarBounds) Drain() time.Duration { return orSeconds(b.DrainSeconds, defaultDrain) }

// Grace returns the time from SIGTERM to SIGKILL.
func (b SidecarBounds) Grace() time.Duration { return orSeconds(b.GraceSeconds, defaultGrace) }

// RepeatTerms returns how many requests may be sent once more in a window.
func (b SidecarBounds) RepeatTerms() (window time.Duration, ratio, slack float64) {
	return orSeconds(b.RepeatWindowSeconds, defaultRepeatWindow), orNumber(b.RepeatRatio, defaultRepeatRatio), orNumber(b.RepeatSlack, defaultRepeatSlack)
}

func orSeconds(s *float64, otherwise time.Duration) time.Duration {
	if s == nil {
		return otherwise
	}
	return time.Duration(*s * float64(time.Second))
}

func orNumber(n *float64, otherwise float64) float64 {
	if n == nil {
		return otherwise
	}
	return *n
}

// fault returns the first bound that is out of range.
func (b SidecarBounds) fault() (key, text string) {
	for _, n := range []struct {
		key   string
		value *float64
		least float64
	}{
		{"drain-seconds", b.DrainSeconds, minBoundSeconds},
		{"grace-seconds", b.GraceSeconds, minBoundSeconds},
		{"repeat-window-seconds", b.RepeatWindowSeconds, minBoundSeconds},
		{"repeat-ratio", b.RepeatRatio, 0},
		{"repeat-slack", b.RepeatSlack, 0},
	} {
		if n.value != nil && (*n.value < n.least || *n.value > maxBound) {
			return "bounds." + n.key, fmt.Sprintf("%g is not from %g to %g", *n.value, n.least, float64(maxBound))
		}
	}
	return "", ""
}

// Ranges of the bounds.
const (
	minBoundSeconds = 0.1
	maxBound        = 1e6
)

// SidecarStore is the platform's store.
type SidecarStore struct {
	Address         string        `yaml:"address"`
	WritesPerSecond float64       `yaml:"writes-per-second"`
	ReadsPerSecond  float64       `yaml:"reads-per-second"`
	History         time.Duration `yaml:"-"`
	HistorySeconds  float64       `yaml:"history-seconds"`
}

// ReadSidecar reads and checks the settings of a sidecar.
func ReadSidecar(file string) (Sidecar, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Sidecar{}, gd.Invalid.Wrapf(err, "settings")
	}
	return ParseSidecar(data, file)
}

// ParseSidecar checks the bytes of a sidecar's settings file. Errors name the
// file, the line and the key.
func ParseSidecar(data []byte, file string) (Sidecar, error) {
	s := Sidecar{Log: Log{Level: "info", JSON: true}}
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return Sidecar{}, gd.Invalid.Errorf("%s: %s", file, strings.TrimSpace(err.Error()))
	}
	if key, text := s.fault(); key != "" {
		return Sidecar{}, gd.Invalid.Errorf("%s:%s key %s: %s", file, lineOf(data, key), key, text)
	}
	s.Store.History = time.Duration(s.Store.HistorySeconds * float64(time.Second))
	return s, nil
}

// fault returns the first key that is wrong and what is wrong with it.
func (s Sidecar) fault() (key, text string) {
	for _, required := range []struct{ key, value string }{
		{"node", s.Node}, {"data-centre", s.DataCentre}, {"server.service", s.Server.Service},
	} {
		if required.value == "" {
			return required.key, "missing"
		}
	}
	if net.ParseIP(s.Address) == nil {
		return "address", fmt.Sprintf("%q is not an IP address", s.Address)
	}
	for _, a := range []struct{ key, address string }{
		{"server.address", s.Server.Address}, {"store.address", s.Store.Address},
		{"listen.clients", s.Listen.Clients}, {"listen.peers", s.Listen.Peers},
		{"listen.ready", s.Listen.Ready}, {"listen.announcements", s.Listen.Announcements},
		{"listen.metrics", s.Listen.Metrics},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return a.key, fmt.Sprintf("%q is not host:port", a.address)
		}
	}
	if _, _, err := net.SplitHostPort(s.Listen.Advertise); err != nil && s.Listen.Advertise != "" {
		return "listen.advertise", fmt.Sprintf("%q is not host:port", s.Listen.Advertise)
	}
	switch {
	case s.LinkMbps < 0:
		return "link-mbps", fmt.Sprintf("%g is below 0", s.LinkMbps)
	case s.MemoryMB < 0:
		return "memory-mb", fmt.Sprintf("%d is below 0", s.MemoryMB)
	case s.Store.HistorySeconds < 0:
		return "store.history-seconds", fmt.Sprintf("%g is below 0", s.Store.HistorySeconds)
	case s.Store.HistorySeconds > maxBound:
		return "store.history-seconds", fmt.Sprintf("%g is above %g", s.Store.HistorySeconds, float64(maxBound))
	case !isLevel(s.Log.Level):
		return "log.level", fmt.Sprintf("%q is not debug, info, warn or error", s.Log.Level)
	}
	return s.Bounds.fault()
}

func isLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}

// lineOf returns the line of a key, or of the nearest key above it that the
// file holds.
func lineOf(data []byte, key string) string {
	for path := key; path != ""; path = parent(path) {
		p, err := yaml.PathString("$." + quoted(path))
		if err != nil {
			continue
		}
		node, err := p.ReadNode(strings.NewReader(string(data)))
		if err == nil && node != nil {
			return fmt.Sprint(node.GetToken().Position.Line)
		}
	}
	return "1"
}

func parent(key string) string {
	i := strings.LastIndexByte(key, '.')
	if i < 0 {
		return ""
	}
	return key[:i]
}

// quoted writes a dotted key as a YAML path, with the names in quotes since
// they hold hyphens.
func quoted(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = "'" + p + "'"
	}
	return strings.Join(parts, ".")
}
