package host

import (
	"time"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// forwardedMessage is what another host forwards: either a change, or summaries of its objects and the endpoints that
// leave. All messages go through one queue in the order of their arrival, so that a summary is compared with the result
// of the changes before it.
type forwardedMessage struct {
	update    *wire.ViewUpdate
	summaries []wire.ViewSummary
	leaving   []wire.EndpointLeaves
}

// mismatch is a difference between this host's objects of a kind and the dispatcher's.
type mismatch struct {
	since time.Time // when it was first seen, or last asked about; zero for no mismatch
	asks  int       // number of requests for the missing objects
}

// applyUpdate applies a change of the view that another host forwards.
func (d *directory) applyUpdate(m *wire.ViewUpdate) {
	config, endpoints := d.h.opts.Codec.Kinds()
	puts := map[string]func(objects.Object){config: d.putConfig, endpoints: d.putEndpoint, kindHosts: d.putHost}
	removes := map[string]func(string, uint64){config: d.removeConfig, endpoints: d.removeForwarded, kindHosts: d.removeHost}
	put, remove := puts[m.ObjectKind], removes[m.ObjectKind]
	if put == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.mirror.count(m.ObjectKind) > 0 // a host that has just started has asked for all objects, whose answer is on the way
	newObjects, removed, ok := d.mirror.resolve(m)
	if !ok && known || m.Fetch {
		d.stale[m.ObjectKind] = true
		d.sourceChanged.notify()
		d.log.Info().Str("kind", m.ObjectKind).Bool("long", m.Fetch).Msg("Change is read from the store.")
	}
	if ignored := len(m.Objects) + len(m.Patches) - len(newObjects); ignored > 0 {
		d.log.Info().Str("kind", m.ObjectKind).Int("ignored", ignored).Int("used", len(newObjects)).Uint64("newest", d.mirror.summary(m.ObjectKind).Newest).
			Msg("Objects passed on are not newer than those here.")
	}
	for _, o := range newObjects {
		if d.recordObject(o, m.Position) {
			put(o)
		}
	}
	if m.Complete && m.ObjectKind == endpoints {
		d.endpointsListed = true
		listed := namesIn(m)
		for id := range d.endpoints { // those from a seed are not in the mirror
			if _, mirrored := d.mirror.object(endpoints, id); !mirrored && !listed[id] {
				removed = append(removed, removal{id, m.Position})
			}
		}
	}
	if m.Complete && m.ObjectKind == config {
		d.configsListed = true
	}
	for _, r := range removed {
		remove(r.name, r.position)
	}
	if m.Complete {
		d.received[m.ObjectKind] = true
		if ok {
			d.mirror.advance(m.ObjectKind, m.Position)
		}
	}
	d.publishView()
}

// removeForwarded removes an endpoint that another host says is gone. That host has waited for entries that come back after an
// outage of the store. The caller holds the lock.
func (d *directory) removeForwarded(id string, position uint64) {
	if _, kind := d.h.opts.Codec.Kinds(); d.markDeleted(kind, id, position) {
		d.deleteEndpoint(id, "removed at the dispatcher")
	}
}

// markAllStale has all kinds read from the store.
func (d *directory) markAllStale() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for kind := range d.mirror {
		d.stale[kind] = true
	}
	d.sourceChanged.notify()
}

// handleForwarded handles a message that another host forwards.
func (d *directory) handleForwarded(m forwardedMessage) {
	for _, e := range m.leaving {
		d.markLeaving(e.Endpoint, e.StartUnixMs, "by the dispatcher")
	}
	switch {
	case m.update != nil:
		d.applyUpdate(m.update)
	case d.h.binder.storeChangesRelayed():
		for _, ask := range d.compareSummaries(time.Now(), m.summaries) {
			d.h.binder.sendToDispatcher(ask)
		}
	}
}

// compareSummaries compares the summaries of another host with the objects of this one, and returns requests for the
// kinds that have differed for mismatchDelay. After maxViewAsks requests, a kind that still differs is read from the
// store. A kind that was not received in full since the start is asked for at once: single changes that came before the
// summary can make the digests equal, and a host is not ready before it knows that it has all.
func (d *directory) compareSummaries(now time.Time, views []wire.ViewSummary) []*wire.ViewAsk {
	d.mu.Lock()
	defer d.mu.Unlock()
	var asks []*wire.ViewAsk
	for _, theirs := range views {
		own, received := d.mirror.summary(theirs.Of), d.received[theirs.Of]
		current := d.mismatches[theirs.Of]
		switch {
		case received && own.Digest == theirs.Digest:
			current = mismatch{}
			d.mirror.advance(theirs.Of, theirs.Position)
		case received && (own.Newest > theirs.Newest || own.Position > theirs.Position):
			current = mismatch{} // this host knows newer changes, so the summary does not show whether it lacks any
		case current.since.IsZero() && (!received || own.Digest == 0): // this host has just started
			current.since, current.asks = now, current.asks+1
			asks = append(asks, &wire.ViewAsk{ObjectKind: theirs.Of})
		case current.since.IsZero():
			current.since = now
		case now.Sub(current.since) < mismatchDelay:
		case current.asks < maxViewAsks:
			current.since, current.asks = now, current.asks+1
			d.log.Info().Str("kind", theirs.Of).Uint64("newest", own.Newest).Uint64("theirs", theirs.Newest).Int("asks", current.asks).
				Msg("Objects differ from the dispatcher's, asked for.")
			ask := &wire.ViewAsk{ObjectKind: theirs.Of}
			if received {
				ask.Newest = own.Newest
			}
			asks = append(asks, ask)
		default:
			current = mismatch{}
			d.stale[theirs.Of] = true
			d.sourceChanged.notify()
			d.log.Warn().Str("kind", theirs.Of).Uint64("newest", own.Newest).Uint64("theirs", theirs.Newest).
				Msg("Objects still differ from the dispatcher's, read from the store.")
		}
		d.mismatches[theirs.Of] = current
	}
	return asks
}

// updateSince returns the objects that the sender of m lacks.
func (d *directory) updateSince(m *wire.ViewAsk) *wire.ViewUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirror.updateSince(m.ObjectKind, m.Newest)
}

// summaries returns the digests of the objects of this host, by kind.
func (d *directory) summaries() []wire.ViewSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirror.summaries()
}
