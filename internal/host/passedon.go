package host

import (
	"time"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// passedOn is what another host passes on: a change, or a summary of all that it has. They are handled in the order in
// which they come, so that a summary is compared with what the changes before it have made.
type passedOn struct {
	update  *wire.ViewUpdate
	views   []wire.ViewSummary
	leaving []wire.EndpointLeaves
}

// difference of a kind's objects from those of the dispatcher.
type difference struct {
	since time.Time
	asks  int
}

// update takes over what the dispatcher passes on.
func (d *directory) update(m *wire.ViewUpdate) {
	config, endpoints := d.h.opts.Codec.Kinds()
	puts := map[string]func(objects.Object){config: d.putConfig, endpoints: d.putEndpoint, kindHosts: d.putHost}
	removes := map[string]func(string){
		config: d.removeConfig, endpoints: func(id string) { d.forget(id, "removed at the dispatcher") }, kindHosts: d.removeHost,
	}
	put, remove := puts[m.Of], removes[m.Of]
	if put == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	news, gone, ok := d.mirror.resolve(m)
	if !ok || m.Fetch {
		d.stale[m.Of] = true
		d.turned.notify()
		d.log.Info().Str("kind", m.Of).Bool("long", m.Fetch).Msg("Change is read from the store.")
	}
	for _, o := range news {
		d.keep(o)
		put(o)
	}
	if m.Whole && m.Of == endpoints {
		d.listed = true
	}
	if m.Whole && m.Of == config {
		d.configsListed = true
	}
	for _, name := range gone {
		remove(name)
	}
	d.publish()
}

// readAgain has all kinds read from the store.
func (d *directory) readAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for kind := range d.mirror {
		d.stale[kind] = true
	}
	d.turned.notify()
}

// take handles what another host passes on.
func (d *directory) take(m passedOn) {
	for _, e := range m.leaving {
		d.leaves(e.Endpoint, e.Born, "by the dispatcher")
	}
	switch {
	case m.update != nil:
		d.update(m.update)
	case d.h.binder.storeChangesRelayed():
		for _, ask := range d.compare(time.Now(), m.views) {
			d.h.binder.sendToDispatcher(ask)
		}
	}
}

// compare returns what to ask for when another host has had other objects for a time. A kind that still differs after that
// is read from the store.
func (d *directory) compare(now time.Time, views []wire.ViewSummary) []*wire.ViewAsk {
	d.mu.Lock()
	defer d.mu.Unlock()
	var asks []*wire.ViewAsk
	for _, theirs := range views {
		own := d.mirror.summary(theirs.Of)
		x := d.differs[theirs.Of]
		switch {
		case own.Digest == theirs.Digest:
			x = difference{}
		case own.Newest > theirs.Newest:
			x = difference{} // this host has read the store since; the summary says nothing of what it lacks
		case x.since.IsZero() && own.Digest == 0: // a host that has just started
			x.since, x.asks = now, x.asks+1
			asks = append(asks, &wire.ViewAsk{Of: theirs.Of})
		case x.since.IsZero():
			x.since = now
		case now.Sub(x.since) < differFor:
		case x.asks < mostViewAsks:
			x.since, x.asks = now, x.asks+1
			d.log.Info().Str("kind", theirs.Of).Uint64("newest", own.Newest).Uint64("theirs", theirs.Newest).Int("asks", x.asks).
				Msg("Objects differ from the dispatcher's, asked for.")
			asks = append(asks, &wire.ViewAsk{Of: theirs.Of, Newest: own.Newest})
		default:
			x = difference{}
			d.stale[theirs.Of] = true
			d.turned.notify()
			d.log.Warn().Str("kind", theirs.Of).Uint64("newest", own.Newest).Uint64("theirs", theirs.Newest).
				Msg("Objects still differ from the dispatcher's, read from the store.")
		}
		d.differs[theirs.Of] = x
	}
	return asks
}

// since returns what another host lacks.
func (d *directory) since(m *wire.ViewAsk) *wire.ViewUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirror.since(m.Of, m.Newest)
}

// summaries tells what this host has.
func (d *directory) summaries() []wire.ViewSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirror.summaries()
}
