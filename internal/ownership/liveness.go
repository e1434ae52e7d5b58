package ownership

import "time"

// Liveness tells which cells have not renewed their lease for long, by the observer's own clock.
type Liveness struct {
	// Bound is the time for which a lease must have been seen unchanged. It is well above the term plus the margin of
	// every lease, so that no planner of the cell still holds it by its own clock.
	Bound time.Duration
	// MaxGap is the longest time between two observations that prove anything about the time between them. After an
	// outage of the platform all leases are unchanged, because nobody could renew one.
	MaxGap time.Duration

	last time.Time
	seen map[string]sighting
}

type sighting struct {
	version string
	since   time.Time
}

// Observe records the versions of all leases by cell, as read at a time after now. Cells without a lease count as cells
// with an unchanged one.
func (l *Liveness) Observe(now time.Time, cells []string, versions map[string]string) {
	gap := l.last.IsZero() || now.Sub(l.last) > l.MaxGap
	l.last = now
	next := make(map[string]sighting, len(cells))
	for _, c := range cells {
		s, ok := l.seen[c]
		if gap || !ok || s.version != versions[c] {
			s = sighting{versions[c], now}
		}
		next[c] = s
	}
	l.seen = next
}

// Dead returns the cells whose lease was unchanged for the bound at the latest observation.
func (l *Liveness) Dead() map[string]bool {
	out := make(map[string]bool)
	for c, s := range l.seen {
		if l.last.Sub(s.since) >= l.Bound {
			out[c] = true
		}
	}
	return out
}
