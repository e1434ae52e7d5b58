package objects

import (
	"context"
	"maps"
	"sync"
)

// Operations of calls to a store.
const (
	OpGet    = "get"
	OpList   = "list" // one page
	OpWatch  = "watch"
	OpCreate = "create"
	OpUpdate = "update"
	OpDelete = "delete"
	OpProbe  = "probe" // a read that need not be current
)

// CallClass is what calls to a store are counted by.
type CallClass struct {
	Kind      string // of the objects
	Operation string
	Cause     string // why the process made the call, as set by WithCause
}

type causeKey struct{}

// WithCause returns a context whose calls to a store are counted under a cause.
func WithCause(ctx context.Context, cause string) context.Context {
	return context.WithValue(ctx, causeKey{}, cause)
}

// CallCounter counts calls to a store by class. The zero value is ready for use, also by several goroutines.
type CallCounter struct {
	mu     sync.Mutex
	counts map[CallClass]uint64
}

// Add counts a call, with the cause of its context.
func (c *CallCounter) Add(ctx context.Context, kind, operation string) {
	cause, _ := ctx.Value(causeKey{}).(string)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[CallClass]uint64)
	}
	c.counts[CallClass{kind, operation, cause}]++
}

// Counts returns the number of calls of each class.
func (c *CallCounter) Counts() map[CallClass]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Total returns the number of all calls.
func (c *CallCounter) Total() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n uint64
	for _, count := range c.counts {
		n += count
	}
	return n
}
