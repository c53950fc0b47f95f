package retry_test

import (
	"math/rand/v2"
	"testing"

	"dogwoodglade/core/retry"
)

// Guards against unlimited retries, which multiply the load of a failing pool.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := retry.NewBudgets()
	const starts, share = 1000, 0.1
	taken := 0
	for range starts {
		b.Deposit("p", share)
		for b.Take("p", share) {
			taken++
		}
	}
	if want := retry.MaxTokens + starts/10; taken > want || taken < want-1 {
		t.Fatalf("got %d retries, want %d", taken, want)
	}
	if b.Take("q", 0) {
		t.Fatal("a pool without a retry budget allowed a retry")
	}
}

// Guards against equal delays, with which the retries of a burst would all start at the same time.
func TestBackoffGrowsAndIsJittered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for retryNumber := range 70 {
		limit := retry.MaxDelay
		if retryNumber >= 1 && retryNumber <= 6 {
			limit = min(retry.BaseDelay<<(retryNumber-1), retry.MaxDelay)
		} else if retryNumber == 0 {
			limit = retry.BaseDelay
		}
		first, differs := retry.Backoff(retryNumber, random), false
		for range 50 {
			d := retry.Backoff(retryNumber, random)
			differs = differs || d != first
			if d < limit/2 || d >= limit {
				t.Fatalf("retry %d: delay %v is outside [%v, %v)", retryNumber, d, limit/2, limit)
			}
		}
		if !differs {
			t.Fatalf("retry %d: delays do not differ", retryNumber)
		}
	}
}
