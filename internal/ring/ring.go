// Package ring provides a bounded queue for messages between the goroutines of a process.
package ring

import "context"

// Ring is a bounded FIFO queue. Several goroutines may push and pop. The zero value is not usable.
type Ring[T any] struct {
	ch chan T
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size)}
}

// TryPush appends v without waiting. It returns false if the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		return false
	}
}

// Push appends v. It waits while the ring is full and returns an error if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes and returns the oldest item. It waits while the ring is empty and returns an error if ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel of the items, for receiving the oldest one in a select statement.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.ch) }
