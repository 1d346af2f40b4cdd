package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRetriesStayWithinTheAllowance(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for range 10_000 {
		b.AddCall(0, 10)
		for range MaxAttempts - 1 { // all attempts fail
			if b.Take(0) {
				retries++
			}
		}
	}
	is.True(retries >= 900 && retries <= 1000+int(maxTokens))
}

// TestRetriesDoNotMultiplyAlongChain sends calls through a chain of 17 services
// of which the last one refuses all calls. A node retries only calls that it could
// not deliver and returns the response of a service whatever its status, so only
// the last node retries.
func TestRetriesDoNotMultiplyAlongChain(t *testing.T) {
	is := is.New(t)
	const depth, calls = 17, 1000
	var budgets [depth]Budget
	attempts := [depth]int{}
	var call func(level int) bool
	call = func(level int) bool {
		budgets[level].AddCall(0, 10)
		for i := range MaxAttempts {
			attempts[level]++
			if level < depth-1 {
				call(level + 1)
				return true // a response of any status is not retried
			}
			if i+1 == MaxAttempts || !budgets[level].Take(0) {
				break
			}
		}
		return false
	}
	for range calls {
		call(0)
	}
	is.Equal(attempts[0], calls)
	is.True(attempts[depth-1] <= calls*11/10+int(maxTokens))
}

func TestTokensRefillOverTime(t *testing.T) {
	is := is.New(t)
	var b Budget
	for b.Take(0) {
	}
	is.True(!b.Take(time.Second))
	is.True(b.Take(11 * time.Second))
}

func ExampleBudget() {
	var b Budget
	b.AddCall(0, 10)
	fmt.Println(b.Take(0), b.Take(0), b.Take(0), b.Take(0))
	// Output: true true true false
}
