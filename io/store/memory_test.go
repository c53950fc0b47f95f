package store

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func put(key, value string, checks ...Check) Transaction {
	return Transaction{Checks: checks, Writes: []Write{{Key: key, Value: []byte(value)}}}
}

func requireError[E error](t *testing.T, err error) {
	t.Helper()
	_ = errorAs[E](t, err)
}

func errorAs[E error](t *testing.T, err error) E {
	t.Helper()
	var target E
	if !errors.As(err, &target) {
		t.Fatalf("got error %v, want %T", err, target)
	}
	return target
}

// Guards against a check that passes although the row was deleted and written again since it was read.
func TestVersionIsNotReusedAfterDelete(t *testing.T) {
	m, ctx := NewMemory(Limits{}, newRandom(1)), t.Context()
	first, err := m.Commit(ctx, put("a", "1", Check{Key: "a"}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Commit(ctx, Transaction{Writes: []Write{{Key: "a", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	second, err := m.Commit(ctx, put("a", "2", Check{Key: "a"}))
	if err != nil || second <= first {
		t.Fatalf("got version %d, %v after version %d", second, err, first)
	}
	conflict := errorAs[*ConflictError](t, commitError(ctx, m, put("a", "3", Check{Key: "a", Version: first})))
	if want := (Check{Key: "a", Version: second}); conflict.Current[0] != want {
		t.Fatalf("got current %v, want %v", conflict.Current, want)
	}
	rows, err := m.Get(ctx, "b", "a")
	if err != nil || rows[0].Version != 0 || string(rows[1].Value) != "2" {
		t.Fatalf("got rows %v, %v", rows, err)
	}
}

func commitError(ctx context.Context, table Table, t Transaction) error {
	_, err := table.Commit(ctx, t)
	return err
}

// Guards against a Memory that accepts a higher rate than the platform, so that tests would not reveal overload.
func TestMemoryEnforcesRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(DefaultLimits, newRandom(1))
		writes, reads := 0, 0
		var wait time.Duration
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(time.Millisecond) {
			for range 10 {
				if _, err := m.Commit(t.Context(), put("a", "1")); err == nil {
					writes++
				} else {
					wait = errorAs[*RateLimitedError](t, err).RetryAfter
				}
				if _, err := m.Get(t.Context(), "a"); err == nil {
					reads++
				}
			}
		}
		// The initial burst adds one second's tokens to the rate.
		if writes < 1400 || writes > 1500 || reads < 5900 || reads > 6000 {
			t.Fatalf("accepted %d writes and %d reads in 2 s", writes, reads)
		}
		if wait <= 0 || wait > 2*time.Millisecond {
			t.Fatalf("retry after %v", wait)
		}
	})
}

// Guards against a Memory that cancels a delayed write when the context of the call ends, unlike a remote service.
func TestDelayedWriteTakesEffectAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(Limits{}, newRandom(1))
		if err := m.SetFaults(Faults{Delay: 2 * time.Second}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		requireError[*OutcomeUnknownError](t, commitError(ctx, m, put("a", "1")))
		if m.countRows("a") != 0 {
			t.Fatal("the write took effect before its delay")
		}
		time.Sleep(2 * time.Second)
		if m.countRows("a") != 1 {
			t.Fatal("the write had no effect")
		}
	})
}

// Guards against injected faults that have no effect, and against reporting a write as failed although it took effect.
func TestInjectedFaults(t *testing.T) {
	m, ctx := NewMemory(Limits{}, newRandom(1)), t.Context()
	_ = m.SetFaults(Faults{Down: true})
	requireError[*UnavailableError](t, commitError(ctx, m, put("a", "1")))
	if m.countRows("a") != 0 {
		t.Fatal("a write took effect while the service was down")
	}
	_ = m.SetFaults(Faults{LostResponses: 1})
	requireError[*OutcomeUnknownError](t, commitError(ctx, m, put("a", "1")))
	if m.countRows("a") != 1 {
		t.Fatal("a write whose response was lost had no effect")
	}
	_, err := m.Get(ctx, "a")
	requireError[*UnavailableError](t, err)
	requireError[*RequestError](t, m.SetFaults(Faults{LostResponses: 2}))
	_ = m.SetFaults(Faults{})
	requireError[*TooLargeError](t, m.PutObject(ctx, "a", make([]byte, MaxObject+1)))
	requireError[*TooLargeError](t, commitError(ctx, m, put("a", string(make([]byte, MaxValue+1)))))
}
