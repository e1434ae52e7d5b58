package host

import (
	"context"

	"github.com/juju/errors"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
)

func (d *directory) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// register keeps the own host object in the store.
func (d *directory) register(ctx context.Context) {
	backoff := objects.Backoff{Min: retryLeast, Max: retryMost}
	for ctx.Err() == nil {
		select {
		case <-d.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !d.h.leaving() {
			err := d.writeOwn(ctx)
			if err == nil {
				backoff.Reset()
				break
			}
			d.log.Warn().Err(err).Msg("Host is not registered.")
			backoff.Wait(ctx, err)
		}
	}
}

func (d *directory) writeOwn(ctx context.Context) error {
	dep := d.h.deployment()
	d.mu.Lock()
	version := d.own
	_, there := d.hosts[dep.Host]
	d.mu.Unlock()
	if there {
		return nil
	}
	o, err := objects.Encode(kindHosts, dep.Host, version, fleet.Host{
		Name: dep.Host, Address: dep.Peers, Zone: dep.Zone, Incarnation: d.h.incarnation, Strength: dep.Strength,
	})
	if err != nil {
		return err
	}
	if version == "" {
		o, err = d.h.opts.Store.Create(ctx, o)
	} else {
		o, err = d.h.opts.Store.Update(ctx, o)
	}
	if errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrNotFound) {
		// An earlier process's object, or an own write whose answer was lost.
		o, err = d.h.opts.Store.Get(ctx, kindHosts, dep.Host)
		if errors.Is(err, objects.ErrNotFound) {
			d.mu.Lock()
			d.own = ""
			d.mu.Unlock()
		}
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putHost(o)
	d.publish()
	if _, ok := d.hosts[dep.Host]; !ok {
		return errors.New("the stored entry is of an earlier process")
	}
	d.log.Info().Str("version", o.Version).Msg("Host registered.")
	return nil
}

// deregister removes the own host object, so that other hosts turn to another dispatcher before this one ends.
func (d *directory) deregister(ctx context.Context) {
	d.mu.Lock()
	version := d.own
	d.mu.Unlock()
	if version == "" {
		return
	}
	err := d.h.opts.Store.Delete(ctx, objects.Object{Kind: kindHosts, Name: d.h.deployment().Host, Version: version})
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		d.log.Warn().Err(err).Msg("Host entry not removed.")
	}
}
