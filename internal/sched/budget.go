package sched

import "time"

const (
	bucketWidth  = 500 * time.Millisecond
	unknownSpent = 0.4 // of the repeats beyond the ratio count as made when a dispatcher begins
	budgetUse    = 0.8 // of the repeats that the platform allows: hosts that decide alone use the rest
)

// budget counts the first sends and repeats of a service over a sliding window.
type budget struct {
	cfg     *Config
	buckets []bucket
	at      int64 // number of the newest bucket
}

type bucket struct{ first, repeat float64 }

func (s *State) budget(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		// What an earlier dispatcher allowed in this window is not known.
		b = &budget{cfg: &s.cfg, buckets: make([]bucket, max(int(s.cfg.RetryWindow/bucketWidth), 1)+1)}
		b.spent(s.now, int(unknownSpent*s.cfg.RetryExtra))
		s.budgets[service] = b
	}
	return b
}

func (b *budget) current(now time.Duration) *bucket {
	n := int64(now / bucketWidth)
	for ; b.at < n; b.at++ {
		b.buckets[(b.at+1)%int64(len(b.buckets))] = bucket{}
		if n-b.at > int64(len(b.buckets)) {
			b.at = n - int64(len(b.buckets))
		}
	}
	return &b.buckets[n%int64(len(b.buckets))]
}

func (b *budget) first(now time.Duration) { b.current(now).first++ }

// spent counts repeats that were made without asking.
func (b *budget) spent(now time.Duration, n int) { b.current(now).repeat += float64(n) }

// repeat takes one repeat from the budget, or returns false.
func (b *budget) repeat(now time.Duration) bool {
	cur := b.current(now)
	var sum bucket
	for _, x := range b.buckets {
		sum.first += x.first
		sum.repeat += x.repeat
	}
	if sum.repeat+1 > budgetUse*(b.cfg.RetryRatio*sum.first+b.cfg.RetryExtra) {
		return false
	}
	cur.repeat++
	return true
}
