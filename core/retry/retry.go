// Package retry limits retries with a token budget for each pool and a jittered exponential backoff.
//
// Owners of jobs use it before they start a task again. All owners in an entry share one Budgets, so the budget
// of a pool limits the retries of the whole entry. Budgets are soft state: they are full when an entry starts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// MaxTokens is the maximum number of tokens in a pool's budget. It limits bursts of retries.
const MaxTokens = 20

// Limits of the backoff delay.
const (
	BaseDelay = 20 * time.Millisecond
	MaxDelay  = time.Second
)

// Budgets holds the retry tokens of each pool. It is safe for concurrent use, because owners with different locks
// share it.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudgets returns Budgets in which the budget of every pool is full.
func NewBudgets() *Budgets { return &Budgets{tokens: map[string]float64{}} }

// Deposit adds the tokens for the first start of a task. Share is the pool's RetryBudget.
func (b *Budgets) Deposit(pool string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[pool] = min(b.balance(pool)+share, MaxTokens)
}

// Take takes a token for one retry, and reports whether one was available. A share of zero allows no retries.
func (b *Budgets) Take(pool string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.balance(pool)
	if share <= 0 || tokens < 1 {
		return false
	}
	b.tokens[pool] = tokens - 1
	return true
}

func (b *Budgets) balance(pool string) float64 {
	if tokens, ok := b.tokens[pool]; ok {
		return tokens
	}
	return MaxTokens
}

// Backoff returns the delay before the given retry, counted from 1. The delay is random within the upper half of
// an exponentially growing interval, so that the retries of a burst spread out.
func Backoff(retry int, random *rand.Rand) time.Duration {
	limit := MaxDelay
	if shift := max(retry, 1) - 1; shift < 6 {
		limit = min(BaseDelay<<shift, MaxDelay)
	}
	return limit/2 + time.Duration(random.Int64N(int64(limit/2)))
}
