package host

import (
	"sync"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// quietTimes are the times for which endpoints want nothing from this host. It is safe for concurrent use.
type quietTimes struct {
	mu    sync.Mutex
	until map[string]time.Duration // by endpoint, on the boot-time clock
}

// set notes an endpoint's word. A shorter one does not end an earlier one.
func (q *quietTimes) set(endpoint string, now, length time.Duration) {
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

// left returns how much longer an endpoint wants nothing, 0 if it takes requests.
func (q *quietTimes) left(endpoint string, now time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.until[endpoint]-now, 0)
}

// heed follows what an endpoint says of itself in an answer: that it leaves, or that it wants nothing for a time.
func (h *Host) heed(e *fleet.Endpoint, a *fleet.Answer) {
	if a.Leaving && h.directory.markLeaving(e.ID, e.Born, "by its answer") {
		h.binder.tell(&wire.EndpointLeaves{Endpoint: e.ID, StartUnixMs: e.Born})
	}
	if a.Quiet > 0 {
		h.quiet.set(e.ID, clock.Boot(), a.Quiet)
		h.log.Info().Str("endpoint", e.ID).Int64("quietMs", a.Quiet.Milliseconds()).Msg("Endpoint wants no requests.")
	}
}

// quietLeft returns how much longer an endpoint wants nothing from this host.
func (h *Host) quietLeft(endpoint string) time.Duration { return h.quiet.left(endpoint, clock.Boot()) }
