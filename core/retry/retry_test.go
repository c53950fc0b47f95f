package retry_test

import (
	"math/rand/v2"
	"testing"

	"dogwoodglade/core/retry"
)

// Retries without a bound multiply the load of a pool that fails.
func TestRetriesStayWithinTheShareOfStarts(t *testing.T) {
	b := retry.NewBudgets()
	const starts, share = 1000, 0.1
	taken := 0
	for range starts {
		b.Started("p", share)
		for b.Take("p", share) {
			taken++
		}
	}
	if want := retry.Cap + starts/10; taken > want || taken < want-1 {
		t.Fatalf("got %d retries, want %d", taken, want)
	}
	if b.Take("q", 0) {
		t.Fatal("a pool without a retry budget allowed a retry")
	}
}

// Equal delays would send the retries of a burst at the same instant.
func TestBackoffGrowsAndIsJittered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for number := range 70 {
		limit := retry.MaxDelay
		if number >= 1 && number <= 6 {
			limit = min(retry.BaseDelay<<(number-1), retry.MaxDelay)
		} else if number == 0 {
			limit = retry.BaseDelay
		}
		first, differs := retry.Backoff(number, random), false
		for range 50 {
			d := retry.Backoff(number, random)
			differs = differs || d != first
			if d < limit/2 || d >= limit {
				t.Fatalf("retry %d: delay %v is outside [%v, %v)", number, d, limit/2, limit)
			}
		}
		if !differs {
			t.Fatalf("retry %d: delays do not differ", number)
		}
	}
}
