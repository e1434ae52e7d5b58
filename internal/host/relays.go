package host

import (
	"slices"
	"time"
)

const (
	relayCount     = 3                      // hosts that are tried at a time: the losses that strike a dispatcher strike others too
	relayTrialTime = 600 * time.Millisecond // until other hosts are tried
	relayTimeout   = 700 * time.Millisecond // a relay that is silent for longer does not count
)

// relaySelector chooses hosts that follow the store for a dispatcher which has lost it. Otherwise each host would follow it
// alone, and the calls would grow with the fleet. The zero value is ready for use.
type relaySelector struct {
	chosen        []string
	chosenAt      time.Time // when they were chosen
	nextCandidate int       // candidate to try next
	reachableAt   time.Time // when a relay last said that it reaches the store
}

// choose returns the relays, nil while the dispatcher follows the store itself or this host is not in use.
func (r *relaySelector) choose(now time.Time, follows, inUse bool, candidates []string) []string {
	if follows || !inUse || len(candidates) == 0 {
		r.chosen, r.reachableAt = nil, time.Time{}
		return nil
	}
	if r.chosen != nil && (r.available(now) || now.Sub(r.chosenAt) < relayTrialTime) {
		return r.chosen
	}
	r.chosen, r.chosenAt = nil, now
	for range min(relayCount, len(candidates)) {
		r.chosen = append(r.chosen, candidates[r.nextCandidate%len(candidates)])
		r.nextCandidate++
	}
	return r.chosen
}

// recordBeat notes what a host says of itself. It returns true for a relay that reaches the store.
func (r *relaySelector) recordBeat(now time.Time, host string, current bool) bool {
	if !current || !slices.Contains(r.chosen, host) {
		return false
	}
	r.reachableAt = now
	return true
}

// available tells whether a relay reaches the store.
func (r *relaySelector) available(now time.Time) bool {
	return r.chosen != nil && !r.reachableAt.IsZero() && now.Sub(r.reachableAt) < relayTimeout
}
