// Package ring provides the bounded rings that join the goroutines of a process.
package ring

import "context"

// Ring is a bounded FIFO between goroutines. The zero value is not usable.
type Ring[T any] struct {
	ch chan T
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size)}
}

// TryPush appends v. It returns false if the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		return false
	}
}

// Push appends v, waiting for room until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item, waiting until there is one or ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel to receive from in a select.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.ch) }
