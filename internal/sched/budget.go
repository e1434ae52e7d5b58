package sched

import "time"

const (
	bucketWidth  = 500 * time.Millisecond
	unknownSpent = 0.4 // of the repeats beyond the ratio count as made when a dispatcher begins
	budgetUse    = 0.8 // of the repeats that the platform allows: hosts that decide alone use the rest
)

// LocalRetryShare is the share of the repeats beyond the ratio that all hosts together may make without the dispatcher.
const LocalRetryShare = 1 - budgetUse

// Budget counts the first sends and repeats of a service over a sliding window. It is not safe for concurrent use.
type Budget struct {
	buckets []bucket
	at      int64 // number of the newest bucket
}

type bucket struct{ first, repeat float64 }

// NewBudget returns a budget for a window.
func NewBudget(window time.Duration) *Budget {
	return &Budget{buckets: make([]bucket, max(int(window/bucketWidth), 1)+1)}
}

func (s *State) budget(service string) *Budget {
	b := s.budgets[service]
	if b == nil {
		// What an earlier dispatcher allowed in this window is not known.
		b = NewBudget(s.cfg.RetryWindow)
		b.AddRetries(s.now, int(unknownSpent*s.cfg.RetryExtra))
		s.budgets[service] = b
	}
	return b
}

func (b *Budget) current(now time.Duration) *bucket {
	n := int64(now / bucketWidth)
	for ; b.at < n; b.at++ {
		b.buckets[(b.at+1)%int64(len(b.buckets))] = bucket{}
		if n-b.at > int64(len(b.buckets)) {
			b.at = n - int64(len(b.buckets))
		}
	}
	return &b.buckets[n%int64(len(b.buckets))]
}

// AddFirstSend counts the first send of a request.
func (b *Budget) AddFirstSend(now time.Duration) { b.current(now).first++ }

// AddRetries counts repeats that were made without asking.
func (b *Budget) AddRetries(now time.Duration, n int) { b.current(now).repeat += float64(n) }

// AllowRetry takes one repeat from the budget, or returns false: ratio for each first send of the window, and extra beyond
// that, are allowed.
func (b *Budget) AllowRetry(now time.Duration, ratio, extra float64) bool {
	cur := b.current(now)
	var sum bucket
	for _, x := range b.buckets {
		sum.first += x.first
		sum.repeat += x.repeat
	}
	if sum.repeat+1 > ratio*sum.first+extra {
		return false
	}
	cur.repeat++
	return true
}
