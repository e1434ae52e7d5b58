package host

import (
	"slices"
	"time"
)

const (
	relayCount     = 3                      // tried at once, since a fault that hits the dispatcher often hits other hosts too
	relayTrialTime = 600 * time.Millisecond // before other hosts are tried
	relayTimeout   = 700 * time.Millisecond // after which a relay that sends nothing no longer counts
)

// relaySelector chooses relays: hosts that follow the store for a dispatcher which has lost it. Without them every host
// would follow the store itself, and the number of calls would grow with the fleet. The zero value is ready for use.
type relaySelector struct {
	chosen        []string
	chosenAt      time.Time
	nextCandidate int       // number of candidates chosen so far, which modulo their count is the next index
	reachableAt   time.Time // when a relay last reported that it reaches the store
}

// choose returns the relays, or nil if the dispatcher follows the store itself or if this host does not serve as
// dispatcher.
func (r *relaySelector) choose(now time.Time, followsStore, isDispatcher bool, candidates []string) []string {
	if followsStore || !isDispatcher || len(candidates) == 0 {
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

// recordBeat records whether a host reports that it reaches the store. It returns true for a relay that does.
func (r *relaySelector) recordBeat(now time.Time, host string, current bool) bool {
	if !current || !slices.Contains(r.chosen, host) {
		return false
	}
	r.reachableAt = now
	return true
}

// available reports whether a relay reaches the store.
func (r *relaySelector) available(now time.Time) bool {
	return r.chosen != nil && !r.reachableAt.IsZero() && now.Sub(r.reachableAt) < relayTimeout
}
