package host

import (
	"slices"
	"time"
)

const (
	relayCount = 3                      // hosts that are tried at a time: the losses that strike a dispatcher strike others too
	relayTry   = 600 * time.Millisecond // until other hosts are tried
	relayFresh = 700 * time.Millisecond // a relay that is silent for longer does not count
)

// relays chooses hosts that follow the store for a dispatcher which has lost it. Otherwise each host would follow it
// alone, and the calls would grow with the fleet. The zero value is ready for use.
type relays struct {
	chosen []string
	since  time.Time // when they were chosen
	next   int       // candidate to try next
	okAt   time.Time // when a relay last said that it reaches the store
}

// choose returns the relays, nil while the dispatcher follows the store itself or this host is not in use.
func (r *relays) choose(now time.Time, follows, inUse bool, candidates []string) []string {
	if follows || !inUse || len(candidates) == 0 {
		r.chosen, r.okAt = nil, time.Time{}
		return nil
	}
	if r.chosen != nil && (r.works(now) || now.Sub(r.since) < relayTry) {
		return r.chosen
	}
	r.chosen, r.since = nil, now
	for range min(relayCount, len(candidates)) {
		r.chosen = append(r.chosen, candidates[r.next%len(candidates)])
		r.next++
	}
	return r.chosen
}

// heard notes what a host says of itself. It returns true for a relay that reaches the store.
func (r *relays) heard(now time.Time, host string, current bool) bool {
	if !current || !slices.Contains(r.chosen, host) {
		return false
	}
	r.okAt = now
	return true
}

// works tells whether a relay reaches the store.
func (r *relays) works(now time.Time) bool {
	return r.chosen != nil && !r.okAt.IsZero() && now.Sub(r.okAt) < relayFresh
}
