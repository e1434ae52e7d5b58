package host

import (
	"sync"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// quietPeriods records until when each endpoint has asked this host to send it nothing. It is safe for concurrent use.
type quietPeriods struct {
	mu    sync.Mutex
	until map[string]time.Duration // by endpoint, on the boot-time clock
}

// set starts a quiet period of the given length. A period that is in force and ends later stays in force.
func (q *quietPeriods) set(endpoint string, now, length time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.until == nil {
		q.until = make(map[string]time.Duration)
	}
	for id, until := range q.until {
		if now >= until {
			delete(q.until, id)
		}
	}
	q.until[endpoint] = max(q.until[endpoint], now+length)
}

// remaining returns the rest of an endpoint's quiet period, or 0 if the endpoint takes requests.
func (q *quietPeriods) remaining(endpoint string, now time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.until[endpoint]-now, 0)
}

// applySignals acts on what an endpoint states about itself in an answer: that it is leaving, that it wants no requests for a
// time, or that it takes a limited number of requests. sentAt is when the request was sent, zero for orders and reports.
func (h *Host) applySignals(e *fleet.Endpoint, sentAt time.Time, a *fleet.Answer) {
	if a.Leaving && h.directory.markLeaving(e.ID, e.StartUnixMs, "by its answer") {
		h.binder.sendToDispatcher(&wire.EndpointLeaves{Endpoint: e.ID, StartUnixMs: e.StartUnixMs})
	}
	if a.RetryAfter > 0 {
		h.quiet.set(e.ID, clock.Boot(), a.RetryAfter)
		h.log.Info().Str("endpoint", e.ID).Int64("quietMs", a.RetryAfter.Milliseconds()).Msg("Endpoint wants no requests.")
	}
	if a.InstanceID != "" && a.InstanceID != e.ID {
		return // the limit of another server
	}
	switch h.limits.observe(e.ID, sentAt, a) {
	case limitNew:
		h.log.Info().Str("endpoint", e.ID).Float64("perSec", a.RateLimit).Msg("Endpoint limits its requests.")
		h.binder.sendToDispatcher(&wire.EndpointLimit{Endpoint: e.ID, PerSec: a.RateLimit})
	case limitEnded:
		h.log.Info().Str("endpoint", e.ID).Msg("Endpoint limits its requests no longer.")
		h.binder.sendToDispatcher(&wire.EndpointLimit{Endpoint: e.ID, Ended: true})
	}
}

// quietRemaining returns for how much longer the endpoint with this id wants no requests from this host.
func (h *Host) quietRemaining(id string) time.Duration { return h.quiet.remaining(id, clock.Boot()) }
