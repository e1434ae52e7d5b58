// Package clock provides a sleep that ends with a context and a clock that runs while the machine is suspended.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration d, or until ctx ends if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
