package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retryShare   = 0.2 // retries per first attempt in the long run
	retryBurst   = 20  // retries that may be saved up
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// retryBudget bounds retries to a share of first attempts, so that retries can't multiply an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// first counts a first attempt.
func (b *retryBudget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// take uses up one retry if there is one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff waits before retry n, counted from 0, with jitter. It returns false without waiting if the wait would pass
// the deadline, and false if ctx ends.
func backoff(ctx context.Context, n int, deadline time.Time) bool {
	d := min(firstBackoff<<min(n, 10), maxBackoff)
	d = d/2 + rand.N(d/2)
	if time.Now().Add(d).After(deadline) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
