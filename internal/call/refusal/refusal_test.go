package refusal

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

func ExampleMemory() {
	m := New()
	lookup := quarantine.FingerprintOf("shop", "GET", "tags.example/lookup/7", nil)
	m.Add(100*time.Millisecond, lookup, Failure{Route: "lookup", FirstSeen: 80 * time.Millisecond, Deadline: 900 * time.Millisecond})
	firstSeen, ok := m.Take(300*time.Millisecond, lookup)
	fmt.Println(firstSeen, ok)
	_, ok = m.Take(310*time.Millisecond, lookup)
	fmt.Println(ok)
	// Output:
	// 80ms true
	// false
}

func TestExpiredRequestIsNotARepeat(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Add(0, 1, Failure{Deadline: time.Second})
	_, ok := m.Take(time.Second, 1)
	is.True(!ok)
}

// TestMemoryIsBounded adds and takes random requests and checks the size, and that
// a request which was added last is known until its deadline.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := time.Duration(0)
		for range rapid.IntRange(1, 3*maxRequests).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "gap")) * time.Millisecond
			fp := quarantine.Fingerprint(rapid.IntRange(0, 2*maxRequests).Draw(t, "fingerprint"))
			if rapid.Bool().Draw(t, "take") {
				m.Take(now, fp)
				continue
			}
			m.Add(now, fp, Failure{FirstSeen: now, Deadline: now + time.Second, MayReturn: true})
			if e, ok := m.requests[fp]; !ok || e.firstSeen != now {
				t.Fatalf("request %d is not known", fp)
			}
			if len(m.requests) > maxRequests || len(m.order) > maxRequests {
				t.Fatalf("%d requests, %d in order", len(m.requests), len(m.order))
			}
		}
	})
}

// TestCallersReturn refuses requests of a route at a high rate, of which the callers
// repeat a part. Callers that repeat some must never be taken for callers that do not,
// as they would lose nothing by a refusal; nor must callers of which little is known.
func TestCallersReturn(t *testing.T) {
	const deadline = 800 * time.Millisecond
	for name, c := range map[string]struct {
		refused, returnEvery int
		gap                  time.Duration
		returns              bool
	}{
		"all return":      {2000, 1, time.Millisecond, true},
		"a third returns": {2000, 3, time.Millisecond, true},
		"none returns":    {2000, 0, time.Millisecond, false},
		"few refusals":    {minSamples - 1, 0, 100 * time.Millisecond, true},
		"too fresh":       {700, 0, time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			now := time.Duration(0)
			for i := range c.refused {
				now += c.gap
				fp := quarantine.Fingerprint(i)
				m.Add(now, fp, Failure{Route: "rate", FirstSeen: now, Deadline: now + deadline, MayReturn: true})
				if c.returnEvery > 0 && i%c.returnEvery == 0 {
					m.Take(now+20*time.Millisecond, fp)
				}
				if c.returns {
					is.True(m.CallersReturn(now, "rate"))
				}
			}
			is.Equal(m.CallersReturn(now, "rate"), c.returns)
			is.True(m.CallersReturn(now, "other"))
		})
	}
}
