package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
)

const sidecarFile = `node: "n-1"
address: "10.1.0.35"
data-centre: "a"
region: "west"
regions: {"a":"west"}
server:
  service: "shop"
  address: "10.1.0.35:8147"
listen:
  clients: "10.1.0.35:8141"
  peers: "10.1.0.35:8145"
  ready: "10.1.0.35:8140"
  announcements: "10.1.0.35:8146"
  metrics: "10.1.0.35:9464"
store:
  address: "10.200.1.7:8142"
  writes-per-second: 400
  reads-per-second: 2000
  history-seconds: 20
bounds:
  drain-seconds: 2.5
  grace-seconds:
  repeat-ratio: 0.2
  repeat-window-seconds: 10
  repeat-slack: 64
  quota-window-seconds: 4
  quota-overage-ratio:
  quota-slack: 30
hedging: {max-share: 0.02}
memory-mb: 284
`

func TestParseSidecar(t *testing.T) {
	is := is.New(t)
	s, err := ParseSidecar([]byte(sidecarFile), "local.yaml")
	is.NoErr(err)
	is.Equal(s.Bounds.DrainPeriod(), 2500*time.Millisecond)
	is.Equal(s.Bounds.GracePeriod(), defaultGrace) // omitted by the platform
	window, ratio, slack := s.Bounds.RetryLimits()
	is.Equal(window, 10*time.Second)
	is.Equal(ratio, 0.2)
	is.Equal(slack, 64.0)
	window, ratio, slack = s.Bounds.QuotaLimits()
	is.Equal(window, 4*time.Second)
	is.Equal(ratio, defaultQuotaOverage) // omitted by the platform
	is.Equal(slack, 30.0)
	is.Equal(s.Hedging.MaxShare, 0.02)
	is.Equal(s.Hedging.DelayPercentile(), 0.95)
	is.Equal(s.Store.History, 20*time.Second)
	is.True(s.Log.JSON)
}

func TestParseSidecarErrorsContainFileLineAndKey(t *testing.T) {
	for from, c := range map[string]struct{ to, want string }{
		`node: "n-1"`:                 {`node: ""`, "local.yaml:1 key node"},
		`address: "10.1.0.35"`:        {`address: "home"`, "local.yaml:2 key address"},
		`clients: "10.1.0.35:8141"`:   {`clients: "10.1.0.35"`, "local.yaml:10 key listen.clients"},
		`service: "shop"`:             {`service: ""`, "local.yaml:7 key server.service"},
		`drain-seconds: 2.5`:          {`drain-seconds: 0`, "local.yaml:21 key bounds.drain-seconds"},
		`quota-slack: 30`:             {`quota-slack: -1`, "local.yaml:28 key bounds.quota-slack"},
		`memory-mb: 284`:              {`memory-mb: -1`, "local.yaml:30 key memory-mb"},
		`max-share: 0.02`:             {`max-share: 1.5`, "local.yaml:29 key hedging.max-share"},
		`{max-share: 0.02}`:           {`{percentile: 99.5}`, "local.yaml:29 key hedging.percentile"},
		`max-share: 0.02}`:            {`max-share: .nan}`, "local.yaml:29 key hedging.max-share"},
		`history-seconds: 20`:         {`history-seconds: -20`, "local.yaml:19 key store.history-seconds"},
		`writes-per-second: 400`:      {`writes-per-second: many`, "17"},
		`memory-mb`:                   {`memory-gb`, "memory-gb"},
		`address: "10.200.1.7:8142"`:  {`address: 1`, "local.yaml:16 key store.address"},
		`announcements: "10.1.0.35:8`: {`announcement: "10.1.0.35:8`, "announcement"},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			changed := strings.Replace(sidecarFile, from, c.to, 1)
			is.True(changed != sidecarFile)
			_, err := ParseSidecar([]byte(changed), "local.yaml")
			is.True(gd.Invalid.Is(err))
			if !strings.Contains(gd.Message(err), c.want) {
				t.Errorf("%q does not contain %q", gd.Message(err), c.want)
			}
		})
	}
}

func FuzzParseSidecar(f *testing.F) {
	f.Add([]byte(sidecarFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ParseSidecar(data, "f"); err != nil && !gd.Invalid.Is(err) {
			t.Fatal(err)
		}
	})
}
