package host

import (
	"context"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// askSeeds takes the view of another host while the store has not answered since the start.
func (d *directory) askSeeds(ctx context.Context) {
	clock.Sleep(ctx, askSeedsAfter)
	for ctx.Err() == nil && !d.complete() {
		for _, addr := range d.h.deployment().Seeds {
			if addr != d.h.deployment().PeerAddress && d.askSeed(ctx, addr) {
				d.log.Info().Str("seed", addr).Msg("View taken from another host.")
				return
			}
		}
		clock.Sleep(ctx, retryMost)
	}
}

func (d *directory) askSeed(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	up := make(chan *transport.Conn, 1)
	c := transport.Dial(ctx, addr, transport.Options{
		Hello: d.h.hello(), Handler: func(*transport.Conn, uint64, wire.Message) {},
		OnUp: func(conn *transport.Conn) {
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
		return ok && d.adopt(reply)
	case <-ctx.Done():
		return false
	}
}

// adopt takes over another host's objects where the store has given none.
func (d *directory) adopt(m *wire.ViewReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(m.Objects) == 0 {
		return false
	}
	config, endpoints := d.h.opts.Codec.Kinds()
	fresh := !d.listed
	for _, s := range m.Objects {
		o := objects.Object{Kind: s.Kind, Name: s.Name, Version: s.Version, Data: s.Data}
		switch {
		case s.Kind == config:
			d.putConfig(o)
		case s.Kind == endpoints && fresh:
			d.putEndpoint(o)
			d.listed = true
		case s.Kind == kindHosts && s.Name != d.h.deployment().Host:
			if _, ok := d.hosts[s.Name]; !ok {
				d.putHost(o)
			}
		}
	}
	d.publish()
	return d.config != nil && d.listed
}

// reply returns the objects that make up the view.
func (d *directory) reply() *wire.ViewReply {
	out := &wire.ViewReply{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, byName := range d.mirror {
		for _, o := range byName {
			out.Objects = append(out.Objects, stored(o.Object))
		}
	}
	return out
}
