package entry

import (
	"context"
	"testing"
	"time"
)

// TestRetryBudget guards against retries that multiply an overload, or that are made past the deadline.
func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	b.tokens = 0
	taken := 0
	for range 100 {
		b.first()
		if b.take() {
			taken++
		}
	}
	if taken < 18 || taken > 20 {
		t.Errorf("%d retries for 100 first attempts, want about %v", taken, 100*retryShare)
	}
	if backoff(context.Background(), 5, time.Now().Add(firstBackoff)) {
		t.Error("a retry past the deadline was allowed")
	}
}
