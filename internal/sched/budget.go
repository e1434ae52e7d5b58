package sched

import "time"

const (
	bucketWidth          = 500 * time.Millisecond
	assumedUsedShare     = 0.4 // share of Config.RetryExtra that counts as used when a dispatcher starts
	dispatcherRetryShare = 0.8 // share of the allowed retries; hosts that choose endpoints without a dispatcher use the rest
)

// LocalRetryShare is the share of Config.RetryExtra that all hosts together may use without a dispatcher.
const LocalRetryShare = 1 - dispatcherRetryShare

// Budget counts the first sends and retries of a service over a sliding window. It is not safe for concurrent use.
type Budget struct {
	buckets []bucket
	newest  int64 // number of the newest bucket
}

type bucket struct{ firstSends, retries float64 }

// NewBudget returns an empty budget with the given window.
func NewBudget(window time.Duration) *Budget {
	return &Budget{buckets: make([]bucket, max(int(window/bucketWidth), 1)+1)}
}

// budget returns the retry budget of a service.
func (s *State) budget(service string) *Budget {
	b := s.budgets[service]
	if b == nil {
		// The retries that an earlier dispatcher allowed in this window are not known.
		b = NewBudget(s.cfg.RetryWindow)
		b.AddRetries(s.now, int(assumedUsedShare*s.cfg.RetryExtra))
		s.budgets[service] = b
	}
	return b
}

// current returns the bucket of the time now, after it has cleared the buckets that left the window.
func (b *Budget) current(now time.Duration) *bucket {
	n := int64(now / bucketWidth)
	for ; b.newest < n; b.newest++ {
		b.buckets[(b.newest+1)%int64(len(b.buckets))] = bucket{}
		if n-b.newest > int64(len(b.buckets)) {
			b.newest = n - int64(len(b.buckets))
		}
	}
	return &b.buckets[n%int64(len(b.buckets))]
}

// AddFirstSend counts the first send of a request.
func (b *Budget) AddFirstSend(now time.Duration) { b.current(now).firstSends++ }

// AddRetries counts n retries that were made without AllowRetry.
func (b *Budget) AddRetries(now time.Duration, n int) { b.current(now).retries += float64(n) }

// AllowRetry reports whether the window has room for one more retry, and counts it in that case. The window allows ratio
// retries for each first send, plus extra.
func (b *Budget) AllowRetry(now time.Duration, ratio, extra float64) bool {
	cur := b.current(now)
	var sum bucket
	for _, x := range b.buckets {
		sum.firstSends += x.firstSends
		sum.retries += x.retries
	}
	if sum.retries+1 > ratio*sum.firstSends+extra {
		return false
	}
	cur.retries++
	return true
}
