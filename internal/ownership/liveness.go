package ownership

import "time"

// Liveness tells which cells have not renewed their lease for long, by the observer's own clock.
type Liveness struct {
	// Bound is the least time for which a lease must have been seen unchanged. It is never less than minTerms of the
	// lease's own term, so that no planner of the cell still holds the lease by its own clock.
	Bound time.Duration
	// MaxGap is the longest time between two observations that prove anything about the time between them. After an
	// outage of the platform all leases are unchanged, because nobody could renew one.
	MaxGap time.Duration

	last time.Time
	seen map[string]sighting
}

// minTerms is the least number of a cell's own terms without a renewal after which the cell may count as dead. A holder
// gives up after one.
const minTerms = 3

// Lease is what is observed of a cell's lease.
type Lease struct {
	Version string // resource version
	Term    time.Duration
}

type sighting struct {
	lease Lease
	since time.Time
}

// Observe records the leases by cell, as read at a time after now. Cells without a lease count as cells
// with an unchanged one.
func (l *Liveness) Observe(now time.Time, cells []string, leases map[string]Lease) {
	gap := l.last.IsZero() || now.Sub(l.last) > l.MaxGap
	l.last = now
	next := make(map[string]sighting, len(cells))
	for _, c := range cells {
		s, ok := l.seen[c]
		if gap || !ok || s.lease != leases[c] {
			s = sighting{leases[c], now}
		}
		next[c] = s
	}
	l.seen = next
}

// Dead returns the cells whose lease was unchanged for their bound at the latest observation.
func (l *Liveness) Dead() map[string]bool {
	out := make(map[string]bool)
	for c, s := range l.seen {
		if l.last.Sub(s.since) >= max(l.Bound, minTerms*s.lease.Term) {
			out[c] = true
		}
	}
	return out
}
