package host

import (
	"time"

	"sycamoredeal/internal/fleet"
)

const (
	departureMemory = 2 * time.Minute // longer than the oldest copy from which a store returns
	// departureHold is how long the entry of an endpoint that had gone is ignored after the store has returned from an older
	// copy. By then the endpoint has written its entry again, or the store has removed it.
	departureHold = 3 * time.Second
	maxDepartures = 4096
)

// departure is an endpoint whose entry was removed.
type departure struct {
	startUnixMs int64
	writes      int64 // of the last entry
	generation  uint64
	at          time.Time
	heldUntil   time.Time // set when an older entry has come back
	leaving     bool      // the process had announced that it leaves
}

// departures holds the endpoints that are gone, by ID. If the store returns from an older copy, it lists them again.
type departures map[string]departure

// add records that an endpoint is gone.
func (d departures) add(e *fleet.Endpoint, leaving bool, generation uint64, now time.Time) {
	if len(d) < maxDepartures {
		d[e.ID] = departure{startUnixMs: e.StartUnixMs, writes: e.Writes, generation: generation, at: now, leaving: leaving}
	}
}

// hasAnnounced reports whether the process of an entry had announced that it leaves before its last entry was removed.
func (d departures) hasAnnounced(e *fleet.Endpoint) bool {
	x, gone := d[e.ID]
	return gone && x.leaving && x.startUnixMs == e.StartUnixMs
}

// holds reports whether an entry is one of an endpoint that has gone, which a store of a later generation lists again.
func (d departures) holds(e *fleet.Endpoint, generation uint64, now time.Time) bool {
	x, gone := d[e.ID]
	if !gone || x.startUnixMs != e.StartUnixMs || x.generation >= generation || e.Writes > x.writes {
		return false
	}
	if x.heldUntil.IsZero() {
		x.heldUntil = now.Add(departureHold)
		d[e.ID] = x
	}
	return now.Before(x.heldUntil)
}

// expire forgets the departures that no longer count, and returns those of them whose entries have been held.
func (d departures) expire(now time.Time) []string {
	var held []string
	for id, x := range d {
		switch {
		case !x.heldUntil.IsZero() && now.After(x.heldUntil):
			held = append(held, id)
		case now.Sub(x.at) <= departureMemory:
			continue
		}
		delete(d, id)
	}
	return held
}
