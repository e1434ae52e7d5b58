package host

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

// A host decides alone while no dispatcher answers it. All hosts may do so in the same second, so each one stays within its
// share of what the fleet may use: slots and rate limits of endpoints. Retries and the quotas of accounts have their own bounds, see
// sched.HostRetries and sched.HostQuotas.
const (
	localShare      = 1.5 // times the even share of an endpoint's slots
	localRetryAfter = 300 * time.Millisecond
)

// bindLocally takes a slot without the dispatcher, by the last known loads and within this host's share of the slots and its
// part of the retries. The caller holds the lock.
func (b *binder) bindLocally(c *call) (*binding, error) {
	delete(b.calls, c.ask.ID)
	b.reserveRetry(c)
	if left, blocked := b.quarantine.Blocked(clock.Boot(), c.ask.PromptParts); blocked {
		return b.refuseLocally(c, sched.BlockedReason, left)
	}
	reason := ""
	e := b.chooseLocally(&c.ask)
	switch {
	case b.quarantine.Suspected(c.ask.PromptParts):
		reason = "a part of the prompt is suspected, and only the dispatcher can try it" // one request at a time in the fleet
	case c.ask.Speculative:
		reason = "only the dispatcher knows which slots nothing else needs"
	case e == nil:
		reason = "no endpoint has a place"
	case c.ask.Retry && c.permit == nil:
		reason = sched.RetriesUsedReason
	}
	if reason != "" {
		return b.refuseLocally(c, reason, localRetryAfter+time.Duration(rand.Int64N(int64(localRetryAfter))))
	}
	b.lastID++
	c.ask.ID = b.lastID // the dispatcher may still know the call by its old id
	c.state, c.untracked = callBound, true
	c.grant = wire.Grant{ID: c.ask.ID, Endpoint: e.ID, Prepare: c.ask.Adapter != ""}
	b.calls[c.ask.ID] = c
	b.localSlots[e.ID]++
	b.h.limits.sentLocally(e.ID, time.Now())
	report := c.currentAsk()
	report.ChosenEndpoint = e.ID
	if b.sendLocked(report) {
		c.untracked = false
		b.releaseLocalSlot(e.ID)
	}
	b.log.Debug().Str("request", c.ask.Request).Str("endpoint", e.ID).Msg("Slot taken without the dispatcher.")
	x := b.newBinding(c)
	x.local = true
	return x, nil
}

// refuseLocally refuses a call without the dispatcher. The caller holds the lock.
func (b *binder) refuseLocally(c *call, reason string, retryAfter time.Duration) (*binding, error) {
	c.state = callWithdrawn
	b.log.Info().Str("request", c.ask.Request).Str("model", c.ask.Model).Str("reason", reason).Int64("retryMs", retryAfter.Milliseconds()).
		Msg("Refused without the dispatcher.")
	return nil, &refusal{reason: reason, retryAfter: retryAfter}
}

// releaseLocalSlot uncounts a slot that the dispatcher did not know of. The caller holds the lock.
func (b *binder) releaseLocalSlot(endpoint string) {
	if b.localSlots[endpoint]--; b.localSlots[endpoint] <= 0 {
		delete(b.localSlots, endpoint)
	}
}

// chooseLocally returns the least loaded endpoint that can serve a request within this host's share of its slots, or nil. The
// caller holds the lock.
func (b *binder) chooseLocally(ask *wire.Ask) *fleet.Endpoint {
	v := b.h.directory.view()
	hosts := max(len(v.Hosts), 1)
	var best *fleet.Endpoint
	least := math.Inf(1)
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if e.Service != ask.Service || e.Draining || b.h.quietRemaining(e.ID) > 0 || ask.Model != "" && e.Resident(ask.Model) == nil || slices.Contains(ask.Exclude, e.ID) {
			continue
		}
		if !b.h.limits.allowsLocal(e.ID, hosts, b.stateAt, time.Now()) {
			continue
		}
		slots := max(e.Slots, 1)
		own := b.localSlots[e.ID]
		if float64(own) >= math.Ceil(localShare*float64(slots)/float64(hosts)) {
			continue
		}
		load := float64(b.reportedUse(e.ID)+own)/float64(slots) + 0.1*rand.Float64()
		if time.Now().Before(b.avoidUntil[e.ID]) {
			load += 10
		}
		if load < least {
			best, least = e, load
		}
	}
	return best
}

// reportedUse returns the used slots of an endpoint in the last broadcast, or 0 if that is too old. The caller holds the lock.
func (b *binder) reportedUse(endpoint string) int {
	if time.Since(b.loadsAt) > maxStateAge {
		return 0
	}
	for _, e := range b.state.Endpoints {
		if e.Endpoint == endpoint {
			return int(e.UsedSlots)
		}
	}
	return 0
}
