package quarantine

import (
	"bytes"
	"fmt"
	"strings"
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

// TestRefutation refutes the reports of a request that ran well. Registers that merge the
// refutation and the reports in any order must agree, and later crashes must count.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	first, _ := Register{}.WithReports(report(1, "a", true), report(1, "b", false), report(2, "b", false))
	is.Equal(first.Verdict(0, 1), Refused)
	refuted, changed := first.Refute(1)
	is.Equal(len(changed), 2)
	is.Equal(refuted.Verdict(0, 1), Clear)
	is.Equal(refuted.Verdict(0, 2), Suspect)
	is.Equal(refuted.Size(), first.Size()+2)
	again, changed := refuted.WithReports(first.Reports()...)
	is.Equal(len(changed), 0)
	is.Equal(again.Verdict(0, 1), Clear)
	second, _ := Register{}.WithReports(refuted.Reports()...)
	is.Equal(second.Verdict(0, 1), Clear)
	later, _ := refuted.WithReports(report(1, "c", true), report(1, "d", true))
	is.Equal(later.Verdict(0, 1), Refused)
	is.Equal(later.CrashCount(), 4)
}

// TestCrashesOfAllFingerprints reports a request by its whole body and by two prefixes. A
// request with all of them was in flight at each crash, and one with the shortest at one.
func TestCrashesOfAllFingerprints(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 5000)
	whole := HashOf("app", "POST", "/tags", body)
	other := HashOf("app", "POST", "/tags", append(bytes.Repeat([]byte("x"), 2000), 'y'))
	var reports []Report
	for i, fp := range []Fingerprint{whole.Whole(), FingerprintOf("app", "POST", "/tags", body[:4096]), FingerprintOf("app", "POST", "/tags", body[:1024])} {
		reports = append(reports, Report{Fingerprint: fp, Head: whole.Head(), Node: "a", Incarnation: uint64(i)})
	}
	g, _ := Register{}.WithReports(reports...)
	is.Equal(g.Crashes(0, whole.All()...), 3)
	is.Equal(g.Crashes(0, other.All()...), 1)
	is.True(g.DependsOnBody(0, whole.Head()))
	is.True(!g.DependsOnBody(0, HashOf("app", "POST", "/other", nil).Head()))
	is.Equal(g.Crashes(0, whole.Head()), 0)
}

// TestHashDoesNotDependOnWrites writes bodies in pieces. The fingerprints must be those of
// the same body written at once, and bytes after MaxHashedBytes must not count.
func TestHashDoesNotDependOnWrites(t *testing.T) {
	for _, length := range []int{0, 1, 1023, 1024, 1025, 70_000, MaxHashedBytes, MaxHashedBytes + 1} {
		is := is.New(t)
		body := make([]byte, length)
		for i := range body {
			body[i] = byte(i * i)
		}
		want := HashOf("app", "POST", "/tags", body)
		for _, step := range []int{1, 700, 4096} {
			h := NewHash("app", "POST", "/tags")
			for rest := body; len(rest) > 0; rest = rest[min(step, len(rest)):] {
				_, _ = h.Write(rest[:min(step, len(rest))])
			}
			is.Equal(h.All(), want.All())
			is.Equal(h.Longest(), want.Longest())
		}
		is.Equal(want.Whole(), FingerprintOf("app", "POST", "/tags", body[:min(length, MaxHashedBytes)]))
	}
}

// TestStatedLengthIsAShortPrefix checks that requests whose bodies have not arrived are told
// apart by the lengths that they state, and by their bodies when these have.
func TestStatedLengthIsAShortPrefix(t *testing.T) {
	is := is.New(t)
	hash := func(length int64, body string) *Hash {
		h := NewHash("app", "POST", "/tags").WithLength(length)
		_, _ = h.Write([]byte(body))
		return h
	}
	is.Equal(hash(5, "").Longest(), hash(5, "abcde").Longest())
	is.True(hash(5, "").Longest() != hash(6, "").Longest())
	is.True(hash(5, "").Longest() != hash(5, "").Head())
	is.Equal(hash(5, "abcde").Whole(), FingerprintOf("app", "POST", "/tags", []byte("abcde")))
	is.True(hash(5000, strings.Repeat("a", 2000)).Longest() != hash(5000, strings.Repeat("b", 2000)).Longest())
}

// TestOldestReportsAreDropped adds more reports than a register holds. The latest must count,
// as they may be of a request that crashes servers now.
func TestOldestReportsAreDropped(t *testing.T) {
	is := is.New(t)
	var reports []Report
	for i := range maxReports {
		reports = append(reports, Report{Fingerprint: Fingerprint(i), Node: "a", At: clock.Time(i)})
	}
	g, _ := Register{}.WithReports(reports...)
	const last = Fingerprint(maxReports + 1)
	g, _ = g.WithReports(Report{Fingerprint: last, Node: "b", At: maxReports}, Report{Fingerprint: last, Node: "c", At: maxReports, Alone: true})
	is.Equal(len(g.Reports()), maxReports)
	is.Equal(g.Verdict(0, last), Refused)
	is.Equal(g.Verdict(0, 0), Clear)
	is.Equal(g.Verdict(0, maxReports-1), Suspect)
}

func TestCompletedRemembersTheMostRecent(t *testing.T) {
	is := is.New(t)
	var c Completed
	is.True(!c.Has(1))
	for i := range Fingerprint(3 * maxCompleted) {
		c.Add([]Fingerprint{i})
	}
	is.True(c.Has(3*maxCompleted - 1))
	is.True(c.Has(2*maxCompleted - 1))
	is.True(!c.Has(0))
	is.True(len(c.recent)+len(c.older) <= 2*maxCompleted)
}
