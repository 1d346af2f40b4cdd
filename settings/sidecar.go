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

// Sidecar holds the settings of a node on the users' platform. The fields that are
// described as not used are only checked.
type Sidecar struct {
	Node       string            `yaml:"node"`
	Address    string            `yaml:"address"` // IP address of the VM
	DataCentre string            `yaml:"data-centre"`
	Region     string            `yaml:"region"`
	Server     SidecarServer     `yaml:"server"`
	Listen     SidecarListen     `yaml:"listen"`
	Store      SidecarStore      `yaml:"store"`
	Bounds     SidecarBounds     `yaml:"bounds"`
	Hedging    SidecarHedging    `yaml:"hedging"`
	MemoryMB   int               `yaml:"memory-mb"` // memory of the VM for the process; 0 if unknown
	LinkMbps   float64           `yaml:"link-mbps"` // bandwidth of the VM's network link; 0 if unknown
	Log        Log               `yaml:"log"`
	Regions    map[string]string `yaml:"regions"` // region by data centre; not used
}

// SidecarServer holds the service and the address of the backend server beside the
// node.
type SidecarServer struct {
	Service                 string   `yaml:"service"`
	Address                 string   `yaml:"address"`
	AnnounceIntervalSeconds *float64 `yaml:"announce-interval-seconds"` // time between two announcements of the server
}

// AnnounceInterval returns the time between two announcements of the server.
func (s SidecarServer) AnnounceInterval() time.Duration {
	return secondsOr(s.AnnounceIntervalSeconds, defaultAnnounceInterval)
}

// SidecarListen holds the addresses that the node listens on.
type SidecarListen struct {
	Clients       string `yaml:"clients"`
	Peers         string `yaml:"peers"`
	Advertise     string `yaml:"advertise"` // address at which other nodes reach Peers; empty if it is the same
	Ready         string `yaml:"ready"`
	Announcements string `yaml:"announcements"`
	Metrics       string `yaml:"metrics"`
}

// SidecarBounds holds the limits that the platform sets. The methods return
// defaults for those that it omits.
type SidecarBounds struct {
	DrainSeconds        *float64 `yaml:"drain-seconds"`         // time from the notice that a server leaves to the last request sent to it
	GraceSeconds        *float64 `yaml:"grace-seconds"`         // time from SIGTERM to SIGKILL
	RepeatRatio         *float64 `yaml:"repeat-ratio"`          // retries per request in a window, over all nodes
	RepeatWindowSeconds *float64 `yaml:"repeat-window-seconds"` // length of the window
	RepeatSlack         *float64 `yaml:"repeat-slack"`          // retries allowed in a window in addition to the ratio
	QuotaWindowSeconds  *float64 `yaml:"quota-window-seconds"`  // length of the window in which a quota is binding
	QuotaOverageRatio   *float64 `yaml:"quota-overage-ratio"`   // requests allowed in a window in addition to the quota, relative to it
	QuotaSlack          *float64 `yaml:"quota-slack"`           // requests allowed in a window in addition to those
	BodyMB              *float64 `yaml:"body-mb"`               // memory of all request bodies
	BodyProgressSeconds *float64 `yaml:"body-progress-seconds"` // time within which a KiB of a request body must arrive
	ClientConnections   *float64 `yaml:"client-connections"`    // open connections of clients
	CanaryShare         *float64 `yaml:"canary-share"`          // part of the requests that a bad version may get in a roll-out; without it nodes follow no roll-outs
	CanarySlack         *float64 `yaml:"canary-slack"`          // requests that it may get in addition
	RollbackSeconds     *float64 `yaml:"rollback-seconds"`      // time from the 50th bad response of a bad version to the last request sent to it
}

// Defaults for the limits that the platform omits.
const (
	defaultDrain            = 2 * time.Second
	defaultGrace            = 6 * time.Second
	defaultRepeatRatio      = 0.1
	defaultRepeatWindow     = 10 * time.Second
	defaultRepeatSlack      = 10
	defaultAnnounceInterval = 1500 * time.Millisecond
	defaultQuotaWindow      = 5 * time.Second
	defaultQuotaOverage     = 0.1
	defaultQuotaSlack       = 20
	defaultCanarySlack      = 50
	defaultRollback         = 5 * time.Second
)

// DrainPeriod returns the time from the notice that a server leaves to the last request
// sent to it.
func (b SidecarBounds) DrainPeriod() time.Duration { return secondsOr(b.DrainSeconds, defaultDrain) }

// GracePeriod returns the time from SIGTERM to SIGKILL.
func (b SidecarBounds) GracePeriod() time.Duration { return secondsOr(b.GraceSeconds, defaultGrace) }

// RetryLimits returns the limits on retries: at most ratio retries per request plus
// slack retries in each window.
func (b SidecarBounds) RetryLimits() (window time.Duration, ratio, slack float64) {
	return secondsOr(b.RepeatWindowSeconds, defaultRepeatWindow), numberOr(b.RepeatRatio, defaultRepeatRatio), numberOr(b.RepeatSlack, defaultRepeatSlack)
}

// QuotaLimits returns the bound on the requests of a workspace with a quota: in each window
// those of the quota, times 1 + overage, plus slack.
func (b SidecarBounds) QuotaLimits() (window time.Duration, overage, slack float64) {
	return secondsOr(b.QuotaWindowSeconds, defaultQuotaWindow), numberOr(b.QuotaOverageRatio, defaultQuotaOverage), numberOr(b.QuotaSlack, defaultQuotaSlack)
}

// Rollout returns the limits on what a bad version may get in a roll-out, and whether the node
// follows roll-outs.
func (b SidecarBounds) Rollout() (share, slack float64, rollback time.Duration, ok bool) {
	if b.CanaryShare == nil || *b.CanaryShare <= 0 {
		return 0, 0, 0, false
	}
	return *b.CanaryShare, numberOr(b.CanarySlack, defaultCanarySlack), secondsOr(b.RollbackSeconds, defaultRollback), true
}

func secondsOr(s *float64, fallback time.Duration) time.Duration {
	if s == nil {
		return fallback
	}
	return time.Duration(*s * float64(time.Second))
}

func numberOr(n *float64, fallback float64) float64 {
	if n == nil {
		return fallback
	}
	return *n
}

// findInvalid returns the key of the first limit that is out of range, and an error
// text. Both are empty if there is none.
func (b SidecarBounds) findInvalid() (key, text string) {
	for _, n := range []struct {
		key     string
		value   *float64
		minimum float64
	}{
		{"drain-seconds", b.DrainSeconds, minBoundSeconds},
		{"grace-seconds", b.GraceSeconds, minBoundSeconds},
		{"repeat-window-seconds", b.RepeatWindowSeconds, minBoundSeconds},
		{"repeat-ratio", b.RepeatRatio, 0},
		{"repeat-slack", b.RepeatSlack, 0},
		{"quota-window-seconds", b.QuotaWindowSeconds, minBoundSeconds},
		{"quota-overage-ratio", b.QuotaOverageRatio, 0},
		{"quota-slack", b.QuotaSlack, 0},
		{"body-mb", b.BodyMB, 1},
		{"body-progress-seconds", b.BodyProgressSeconds, minBoundSeconds},
		{"client-connections", b.ClientConnections, 1},
		{"canary-share", b.CanaryShare, 0},
		{"canary-slack", b.CanarySlack, 0},
		{"rollback-seconds", b.RollbackSeconds, minBoundSeconds},
	} {
		if n.value != nil && (*n.value < n.minimum || *n.value > maxBound) {
			return "bounds." + n.key, fmt.Sprintf("%g is not between %g and %g", *n.value, n.minimum, float64(maxBound))
		}
	}
	if b.CanaryShare != nil && *b.CanaryShare > 1 {
		return "bounds.canary-share", fmt.Sprintf("%g is not between 0 and 1", *b.CanaryShare)
	}
	return "", ""
}

// Ranges of the settings in SidecarBounds. maxBound is also the highest HistorySeconds.
const (
	minBoundSeconds = 0.1
	maxBound        = 1e6
)

// SidecarStore holds the address of the platform's store, and its rate limits and
// length of history, which are not used.
type SidecarStore struct {
	Address         string        `yaml:"address"`
	WritesPerSecond float64       `yaml:"writes-per-second"`
	ReadsPerSecond  float64       `yaml:"reads-per-second"`
	History         time.Duration `yaml:"-"`               // HistorySeconds as a duration
	HistorySeconds  float64       `yaml:"history-seconds"` // how long the store keeps past changes
}

// ReadSidecar reads and checks the settings file of a sidecar.
func ReadSidecar(file string) (Sidecar, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Sidecar{}, gd.Invalid.Wrapf(err, "settings")
	}
	return ParseSidecar(data, file)
}

// ParseSidecar parses and checks the contents of a sidecar's settings file. Errors
// contain the file, the line and the key.
func ParseSidecar(data []byte, file string) (Sidecar, error) {
	s := Sidecar{Log: Log{Level: "info", JSON: true}}
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return Sidecar{}, gd.Invalid.Errorf("%s: %s", file, strings.TrimSpace(err.Error()))
	}
	if key, text := s.findInvalid(); key != "" {
		return Sidecar{}, gd.Invalid.Errorf("%s:%s key %s: %s", file, lineOf(data, key), key, text)
	}
	s.Store.History = time.Duration(s.Store.HistorySeconds * float64(time.Second))
	return s, nil
}

// findInvalid returns the first key whose value is invalid, and an error text. Both
// are empty if there is none.
func (s Sidecar) findInvalid() (key, text string) {
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
			return a.key, fmt.Sprintf("%q is not of the form host:port", a.address)
		}
	}
	if _, _, err := net.SplitHostPort(s.Listen.Advertise); err != nil && s.Listen.Advertise != "" {
		return "listen.advertise", fmt.Sprintf("%q is not of the form host:port", s.Listen.Advertise)
	}
	if interval := s.Server.AnnounceIntervalSeconds; interval != nil && (*interval < minBoundSeconds || *interval > maxBound) {
		return "server.announce-interval-seconds", fmt.Sprintf("%g is not between %g and %g", *interval, minBoundSeconds, float64(maxBound))
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
	case !isLogLevel(s.Log.Level):
		return "log.level", fmt.Sprintf("%q is not debug, info, warn or error", s.Log.Level)
	}
	if key, text := s.Hedging.findInvalid(); key != "" {
		return key, text
	}
	return s.Bounds.findInvalid()
}

func isLogLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}

// lineOf returns the line of a key, or of its nearest parent that the file
// contains.
func lineOf(data []byte, key string) string {
	for path := key; path != ""; path = parentKey(path) {
		p, err := yaml.PathString("$." + quoteKey(path))
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

func parentKey(key string) string {
	i := strings.LastIndexByte(key, '.')
	if i < 0 {
		return ""
	}
	return key[:i]
}

// quoteKey formats a dotted key as a YAML path. The names are quoted because they
// contain hyphens.
func quoteKey(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = "'" + p + "'"
	}
	return strings.Join(parts, ".")
}
