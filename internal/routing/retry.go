package routing

import (
	"math/rand/v2"
	"time"
)

const (
	maxRetryTokens = 10.0 // retries that may follow each other at once after a quiet time
	firstBackoff   = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// RetryBudget bounds retries to a share of first attempts, so that a failing fleet is not loaded further by them. It is
// not safe for concurrent use.
type RetryBudget struct {
	share  float64
	tokens float64
	rng    *rand.Rand
}

// NewRetryBudget returns a full budget. The share is retries per first attempt.
func NewRetryBudget(share float64, seed uint64) *RetryBudget {
	return &RetryBudget{share: share, tokens: maxRetryTokens, rng: rand.New(rand.NewPCG(seed, 4))}
}

// First records a first attempt.
func (b *RetryBudget) First() { b.tokens = min(b.tokens+b.share, maxRetryTokens) }

// Retry takes one retry from the budget and returns the time to wait before it. Attempt counts retries of the request
// from 0, left is the time until its deadline. It returns false if the budget is empty or the deadline would pass.
func (b *RetryBudget) Retry(attempt int, left time.Duration) (time.Duration, bool) {
	d := min(firstBackoff<<min(attempt, 10), maxBackoff)
	d = d/2 + time.Duration(b.rng.Int64N(int64(d/2)))
	if b.tokens < 1 || d >= left {
		return 0, false
	}
	b.tokens--
	return d, true
}
