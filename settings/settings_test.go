package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/mutate"
)

const validSettings = `data-centre: ist-a
region: tr-west
platform:
  address: http://127.0.0.1:9000
certificates:
  authority: authority.pem
  certificate: node.pem
  key: node-key.pem
gather: 500ms
`

func TestReadSample(t *testing.T) {
	is := is.New(t)
	s, err := Read("testdata/node.yaml")
	is.NoErr(err)
	is.Equal(s.DataCentre, "ist-a")
	is.Equal(s.Certificates.Key, "testdata/certificates/tags-1-key.pem") // relative to the folder of the settings file
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings), "node.yaml")
	is.NoErr(err)
	is.Equal(s.GatherDelay, 500*time.Millisecond)
	is.Equal(s.Listen.Operator, "127.0.0.1:8081")
	is.Equal(s.DrainTimeout, 30*time.Second)
}

func TestParseErrorsContainFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, line, text string }{
		"unknown key":       {"gather:", "gathre:", "", "[9:1] unknown field"},
		"missing key":       {"region: tr-west\n", "", "1", "key region: missing"},
		"not a duration":    {"500ms", "soon", "9", `key gather: "soon" is not a duration`},
		"out of range":      {"500ms", "1h", "9", "key gather: 1h0m0s is not between"},
		"platform address":  {"http://127.0.0.1:9000", "127.0.0.1", "4", "key platform.address"},
		"public operator":   {"gather: 500ms", "listen:\n  operator: 10.0.0.1:8081", "10", "tokens.operator-file is required"},
		"public announce":   {"gather: 500ms", "listen:\n  announce: 10.0.0.1:8081", "10", "tokens.announce-file is required"},
		"host name":         {"gather: 500ms", "listen:\n  calls: localhost:80", "10", "not an IP address"},
		"unspecified peers": {"gather: 500ms", "listen:\n  peers: 0.0.0.0:8443", "10", "the VM's own address"},
		"log level":         {"gather: 500ms", "log:\n  level: loud", "10", "key log.level"},
		"seed":              {"gather: 500ms", "seeds: [ten]", "9", "key seeds[0]"},
		"claim writes":      {"  address:", "  claim-writes-per-second: 99\n  address:", "4", "key platform.claim-writes-per-second"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.replacement, 1)), "node.yaml")
			is.True(gd.Invalid.Is(err))
			is.True(strings.HasPrefix(gd.Message(err), "node.yaml:"+c.line+" "))
			if !strings.Contains(gd.Message(err), c.text) {
				t.Fatalf("%q does not contain %q", gd.Message(err), c.text)
			}
		})
	}
}

// TestParseCorruptedSettings parses corrupted copies of valid settings. Errors must be of
// kind Invalid.
func TestParseCorruptedSettings(t *testing.T) {
	for data := range mutate.Copies([]byte(validSettings), 2000) {
		if _, err := Parse(data, "f"); err != nil && !gd.Invalid.Is(err) {
			t.Fatal(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse(data, "f"); err != nil && !gd.Invalid.Is(err) {
			t.Fatal(err)
		}
	})
}
