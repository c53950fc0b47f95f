// Package retry bounds retries: a token budget for each pool, and a jittered backoff.
//
// Owners of jobs call it before they start a task again. The entry shares one Budgets among the owners of
// its shards, so the budget of a pool bounds the retries of the whole entry. Budgets are soft state: an
// entry that starts has full budgets.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Cap is the largest number of tokens in a pool's budget. It bounds a burst of retries.
const Cap = 20

// Bounds of the backoff.
const (
	BaseDelay = 20 * time.Millisecond
	MaxDelay  = time.Second
)

// Budgets holds the retry tokens of each pool. It is safe for concurrent use, because owners under
// different locks share it.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets { return &Budgets{tokens: map[string]float64{}} }

// Started adds the tokens that a first start earns. Share is the pool's RetryBudget.
func (b *Budgets) Started(pool string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[pool] = min(b.get(pool)+share, Cap)
}

// Take takes a token for one retry and reports whether there was one. A share of zero allows no retry.
func (b *Budgets) Take(pool string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.get(pool)
	if share <= 0 || tokens < 1 {
		return false
	}
	b.tokens[pool] = tokens - 1
	return true
}

func (b *Budgets) get(pool string) float64 {
	if tokens, ok := b.tokens[pool]; ok {
		return tokens
	}
	return Cap
}

// Backoff returns the delay before the retry with the given number, counted from 1. It is drawn from the
// upper half of an exponentially growing interval, so that retries of a burst spread out.
func Backoff(number int, random *rand.Rand) time.Duration {
	limit := MaxDelay
	if shift := max(number, 1) - 1; shift < 6 {
		limit = min(BaseDelay<<shift, MaxDelay)
	}
	return limit/2 + time.Duration(random.Int64N(int64(limit/2)))
}
