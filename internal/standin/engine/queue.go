package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// queue admits requests to the batch: those with the lowest priority value first, those with equal values in order of
// arrival.
type queue struct {
	mu          sync.Mutex
	freeSlots   int
	lastArrival uint64 // arrival number of the latest waiter
	waiting     waiterHeap
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	arrival  uint64
	index    int           // position in the heap, -1 when admitted
	admitted chan struct{} // closed when the request has a slot
}

func newQueue(slots int) *queue { return &queue{freeSlots: slots} }

// acquire waits for a slot. It returns false, without a slot, if ctx is done first.
func (q *queue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if q.freeSlots > 0 {
		q.freeSlots--
		q.mu.Unlock()
		return true
	}
	q.lastArrival++
	w := &waiter{priority: priority, arrival: q.lastArrival, admitted: make(chan struct{})}
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
	q.release() // a slot was assigned after ctx was done
	return false
}

// release gives the slot to the next waiting request, or makes it free.
func (q *queue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.freeSlots++
		return
	}
	close(heap.Pop(&q.waiting).(*waiter).admitted)
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }
func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	w.index = -1
	return w
}

// tokenTime returns the time that each running request needs for its next token. It grows with the number of requests in
// the batch.
func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	if running <= 1 || s.opts.Slots <= 1 {
		return s.opts.TokenTime
	}
	fill := float64(running-1) / float64(s.opts.Slots-1)
	return time.Duration(float64(s.opts.TokenTime) * (1 + s.opts.BatchSlowdown*fill))
}

const (
	blockTokens = 16
	blockBytes  = 4 * blockTokens // four bytes count as one token
)

// prefixCache is an LRU cache of prompt prefixes, in blocks of tokens.
type prefixCache struct {
	maxBlocks int // capacity
	useCount  uint64
	lastUse   map[uint64]uint64 // value of useCount at the last use, by hash of model and prefix
}

func newPrefixCache(tokens int) prefixCache {
	return prefixCache{maxBlocks: tokens / blockTokens, lastUse: make(map[uint64]uint64)}
}

// cachePrompt returns the number of prompt tokens that were not in the prefix cache, and adds the prompt to the cache.
func (s *Server) cachePrompt(model, prompt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := len(prompt) / 4
	if s.cache.maxBlocks == 0 {
		return tokens
	}
	return tokens - blockTokens*s.cache.lookup(model, prompt)
}

// lookup returns the number of leading blocks of a prompt that were cached, and adds all its blocks to the cache.
func (c *prefixCache) lookup(model, prompt string) int {
	hits, missed := 0, false
	h := xxhash.New()
	h.WriteString(model)
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		h.WriteString(prompt[i : i+blockBytes])
		key := h.Sum64()
		if _, ok := c.lastUse[key]; ok && !missed {
			hits++
		} else {
			missed = true
		}
		c.useCount++
		c.lastUse[key] = c.useCount
		c.evict()
	}
	return hits
}

// evict removes the block with the earliest last use if the cache is over its capacity.
func (c *prefixCache) evict() {
	if len(c.lastUse) <= c.maxBlocks {
		return
	}
	var oldest uint64
	oldestUse := c.useCount + 1
	for k, t := range c.lastUse {
		if t < oldestUse {
			oldest, oldestUse = k, t
		}
	}
	delete(c.lastUse, oldest)
}
