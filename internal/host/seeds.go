package host

import (
	"context"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// fetchFromSeeds gets the view from another host if the store has not answered soon after the start. It tries the seeds
// until the view is complete.
func (d *directory) fetchFromSeeds(ctx context.Context) {
	clock.Sleep(ctx, seedDelay)
	for ctx.Err() == nil && !d.isComplete() {
		for _, addr := range d.h.deployment().Seeds {
			if addr != d.h.deployment().PeerAddress && d.fetchFromSeed(ctx, addr) {
				d.log.Info().Str("seed", addr).Msg("View fetched from another host.")
				return
			}
		}
		clock.Sleep(ctx, maxRetryDelay)
	}
}

// fetchFromSeed asks one host for its view, and returns whether the view is complete then.
func (d *directory) fetchFromSeed(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	up := make(chan *transport.Conn, 1)
	c := transport.Dial(ctx, addr, transport.Options{
		Hello: d.h.hello(), Handler: func(*transport.Conn, uint64, wire.Message) {},
		OnConnected: func(conn *transport.Conn) {
			select {
			case up <- conn:
			default:
			}
		},
	})
	defer c.Close()
	select {
	case conn := <-up:
		m, err := conn.Call(ctx, &wire.ViewRequest{})
		if err != nil {
			d.log.Debug().Str("seed", addr).Err(err).Msg("Seed did not answer.")
			return false
		}
		reply, ok := m.(*wire.ViewReply)
		return ok && d.applyReply(reply)
	case <-ctx.Done():
		return false
	}
}

// applyReply adds another host's objects to the view. Endpoints and hosts that the store has listed are not replaced.
// The objects don't go into the mirror: it holds all objects up to its newest one, and the other host may lack some. It
// returns whether the view is complete then.
func (d *directory) applyReply(m *wire.ViewReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(m.Objects) == 0 {
		return false
	}
	config, endpoints := d.h.opts.Codec.Kinds()
	addEndpoints := !d.endpointsListed
	for _, s := range m.Objects {
		o := objects.Object{Kind: s.Kind, Name: s.Name, Version: s.Version, Data: s.Data}
		if known, exists := d.mirror.object(s.Kind, s.Name); exists && !isNewer(s.Version, known.Version) || d.mirror.isOutdated(s.Kind, s.Name, s.Version, 0) {
			continue
		}
		switch {
		case s.Kind == config:
			d.putConfig(o)
		case s.Kind == endpoints && addEndpoints:
			d.putEndpoint(o)
			d.endpointsListed = true
		case s.Kind == kindHosts && s.Name != d.h.deployment().Host:
			if _, ok := d.hosts[s.Name]; !ok {
				d.putHost(o)
			}
		}
	}
	d.publishView()
	return d.config != nil && d.endpointsListed
}

// viewReply returns the objects that make up the view.
func (d *directory) viewReply() *wire.ViewReply {
	out := &wire.ViewReply{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.mirror {
		for _, o := range k.objects {
			out.Objects = append(out.Objects, toStoredObject(o.Object))
		}
	}
	return out
}
