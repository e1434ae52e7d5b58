package host

import "time"

// minExpiryGap is a lower bound of the time without the store after which entries of live endpoints expire: three missed
// heartbeats, the last of which may have come a whole interval before, and intervals are a second or longer.
const minExpiryGap = 2 * time.Second

// storeGap measures for how long the store answered nobody during an outage of this host. Load pattern: the store turns the
// dispatcher away while relays follow it, and endpoints leave meanwhile. Entries that vanish then have been removed; they are
// not those of live endpoints, which expire while the store answers nobody.
type storeGap struct {
	reachedAt time.Time     // last time at which this host or a relay reached the store
	longest   time.Duration // between two such times in the present outage
	byOther   bool          // a relay has reached the store in the present outage
}

// begin starts the measurement of an outage. answeredAt is the time of the store's last answer to this host.
func (g *storeGap) begin(answeredAt time.Time) { *g = storeGap{reachedAt: answeredAt} }

// recordReached records that the store answered this host or another one.
func (g *storeGap) recordReached(now time.Time, byOther bool) {
	g.longest = max(g.longest, now.Sub(g.reachedAt))
	g.reachedAt, g.byOther = now, g.byOther || byOther
}

// entriesKept reports whether no entry of a live endpoint can have expired in the outage that ends now.
func (g *storeGap) entriesKept(now time.Time) bool {
	return g.byOther && max(g.longest, now.Sub(g.reachedAt)) < minExpiryGap
}
