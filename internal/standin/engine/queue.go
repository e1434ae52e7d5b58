package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// queue admits requests to the batch: those of the lowest priority value first, equal ones in order of arrival.
type queue struct {
	mu      sync.Mutex
	free    int
	arrived uint64
	waiting waiters
}

type waiter struct {
	priority int
	arrived  uint64
	index    int // in the heap, -1 when admitted
	admitted chan struct{}
}

func newQueue(slots int) *queue { return &queue{free: slots} }

// enter waits for a slot. It returns false if ctx ends before.
func (q *queue) enter(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return true
	}
	q.arrived++
	w := &waiter{priority: priority, arrived: q.arrived, admitted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		q.mu.Unlock()
		return false
	}
	q.mu.Unlock()
	q.leave() // admitted while ctx ended
	return false
}

// leave hands the slot to the next request.
func (q *queue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.free++
		return
	}
	close(heap.Pop(&q.waiting).(*waiter).admitted)
}

type waiters []*waiter

func (h waiters) Len() int { return len(h) }
func (h waiters) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrived < h[j].arrived
}
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *waiters) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	w.index = -1
	return w
}

// tokenTime returns the time to the next token of each stream, which grows with the batch.
func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	if running <= 1 || s.opts.Slots <= 1 {
		return s.opts.TokenTime
	}
	full := float64(running-1) / float64(s.opts.Slots-1)
	return time.Duration(float64(s.opts.TokenTime) * (1 + s.opts.BatchSlowdown*full))
}

const (
	blockTokens = 16
	blockBytes  = 4 * blockTokens // the stand-in counts four bytes as a token
)

// prefixCache remembers the prompt prefixes that were used last, in blocks of tokens.
type prefixCache struct {
	capacity int // blocks
	clock    uint64
	used     map[uint64]uint64 // latest use by hash of model and prefix
}

func newPrefixCache(tokens int) prefixCache {
	return prefixCache{capacity: tokens / blockTokens, used: make(map[uint64]uint64)}
}

// uncached returns how many tokens of a prompt have to be computed, and caches its prefixes.
func (s *Server) uncached(model, prompt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := len(prompt) / 4
	if s.cache.capacity == 0 {
		return tokens
	}
	return tokens - blockTokens*s.cache.touch(model, prompt)
}

// touch returns the number of leading blocks that were cached and caches all blocks.
func (c *prefixCache) touch(model, prompt string) int {
	hits, missed := 0, false
	h := xxhash.New()
	h.WriteString(model)
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		h.WriteString(prompt[i : i+blockBytes])
		key := h.Sum64()
		if _, ok := c.used[key]; ok && !missed {
			hits++
		} else {
			missed = true
		}
		c.clock++
		c.used[key] = c.clock
		c.evict()
	}
	return hits
}

func (c *prefixCache) evict() {
	if len(c.used) <= c.capacity {
		return
	}
	var oldest uint64
	at := c.clock + 1
	for k, t := range c.used {
		if t < at {
			oldest, at = k, t
		}
	}
	delete(c.used, oldest)
}
