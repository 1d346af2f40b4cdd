package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBucketAdmitsItsRateInEveryWindow checks that no window has more calls than the
// rate and one burst admit, and that calls that keep coming get the whole rate.
func TestBucketAdmitsItsRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 50).Draw(t, "rate")
		b := NewBucket(0, rate)
		var admitted []time.Duration
		var now time.Duration
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if wait := b.Wait(now, 1); (wait == 0) != b.Take(now) {
				t.Fatalf("Wait and Take disagree: the wait is %s", wait)
			} else if wait == 0 {
				admitted = append(admitted, now)
			}
		}
		for i, from := range admitted {
			for j, to := range admitted[i:] {
				if most := rate*(to-from).Seconds() + max(1, rate*burstTime.Seconds()); float64(j+1) > most+0.001 {
					t.Fatalf("%d calls in %s, at most %.1f are due", j+1, to-from, most)
				}
			}
		}
	})
}

func TestBucketWait(t *testing.T) {
	is := is.New(t)
	b := NewBucket(0, 4)
	is.Equal(b.Wait(0, 1), 250*time.Millisecond)
	is.Equal(b.Wait(0, 3), 750*time.Millisecond)
	is.True(!b.Take(249 * time.Millisecond))
	is.True(b.Take(250 * time.Millisecond))
	b.SetRate(250*time.Millisecond, 2)
	is.Equal(b.Wait(250*time.Millisecond, 1), 500*time.Millisecond)
}

// A bucket of ten calls per second admits the second of two calls after a further
// tenth of a second.
func ExampleBucket() {
	b := NewBucket(0, 10)
	now := 100 * time.Millisecond
	fmt.Println(b.Take(now), b.Take(now), b.Wait(now, 1))
	// Output: true false 100ms
}
