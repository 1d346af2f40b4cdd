package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/clock"
)

func report(fp Fingerprint, node string, alone bool) Report {
	return Report{Fingerprint: fp, Node: node, Incarnation: 1, Alone: alone}
}

func TestVerdicts(t *testing.T) {
	// The request poison crashes servers; bystander runs beside it.
	const poison, bystander = Fingerprint(1), Fingerprint(2)
	for name, c := range map[string]struct {
		reports                         []Report
		poisonVerdict, bystanderVerdict Verdict
	}{
		"no crash":    {nil, Clear, Clear},
		"one crash":   {[]Report{report(poison, "a", false), report(bystander, "a", false)}, Suspect, Suspect},
		"same twice":  {[]Report{report(poison, "a", true), report(poison, "a", true)}, Suspect, Clear},
		"two crashes": {[]Report{report(poison, "a", false), report(bystander, "a", false), report(poison, "b", true)}, Refused, Suspect},
		// A request that was in flight at two crashes, but never alone, is not
		// refused: it may not be their cause.
		"bystander twice": {[]Report{report(poison, "a", false), report(bystander, "a", false), report(poison, "b", false), report(bystander, "b", false)}, Suspect, Suspect},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, _ := Register{}.WithReports(c.reports...)
			is.Equal(g.Verdict(0, poison), c.poisonVerdict)
			is.Equal(g.Verdict(0, bystander), c.bystanderVerdict)
			is.Equal(g.Verdict(clock.Time(0).Add(ReportTTL), poison), Clear)
			_, added := g.WithReports(c.reports...)
			is.Equal(len(added), 0)
			is.Equal(len(g.WithoutExpired(clock.Time(0).Add(ReportTTL)).Reports()), 0)
		})
	}
}

func TestFingerprintDistinguishesRequests(t *testing.T) {
	is := is.New(t)
	one := FingerprintOf("app", "POST", "/tags", []byte("a"))
	is.Equal(one, FingerprintOf("app", "POST", "/tags", []byte("a")))
	for _, other := range []Fingerprint{FingerprintOf("app", "POST", "/tags", []byte("b")), FingerprintOf("app", "PUT", "/tags", []byte("a")), FingerprintOf("scanner", "POST", "/tags", []byte("a"))} {
		is.True(one != other)
	}
}

func ExampleRegister() {
	fp := FingerprintOf("app", "POST", "/tags", []byte("poison"))
	g, _ := Register{}.WithReports(Report{Fingerprint: fp, Node: "tags-1"})
	fmt.Println(g.Verdict(0, fp))
	g, _ = g.WithReports(Report{Fingerprint: fp, Node: "tags-2", Alone: true})
	fmt.Println(g.Verdict(0, fp))
	// Output:
	// suspect
	// refused
}

func TestCrashes(t *testing.T) {
	is := is.New(t)
	var g Register
	g, _ = g.WithReports(report(1, "a", false), report(1, "b", false), report(2, "a", false), report(1, "a", false))
	is.Equal(g.Crashes(0, 1), 2) // the same crash counts once
	is.Equal(g.Crashes(0, 2), 1)
	is.Equal(g.Crashes(clock.Time(ReportTTL.Milliseconds()), 1), 0)
}
