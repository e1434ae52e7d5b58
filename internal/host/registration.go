package host

import (
	"context"

	"github.com/juju/errors"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
)

// triggerRegistration wakes keepRegistered to check whether the host object has to be written. It does not block.
func (d *directory) triggerRegistration() {
	select {
	case d.registrationWake <- struct{}{}:
	default:
	}
}

// keepRegistered writes this host's object to the store whenever it is missing there, until ctx ends.
func (d *directory) keepRegistered(ctx context.Context) {
	backoff := objects.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		select {
		case <-d.registrationWake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !d.h.leaving() {
			err := d.writeHostObject(ctx)
			if err == nil {
				backoff.Reset()
				break
			}
			d.log.Warn().Err(err).Msg("Failed to register this host.")
			backoff.Wait(ctx, err)
		}
	}
}

// writeHostObject creates or replaces this host's object in the store unless the list of hosts already shows it.
func (d *directory) writeHostObject(ctx context.Context) error {
	ctx = objects.WithCause(ctx, causeRegistration)
	dep := d.h.deployment()
	d.mu.Lock()
	version := d.ownVersion
	_, registered := d.hosts[dep.Host]
	d.mu.Unlock()
	if registered {
		return nil
	}
	o, err := objects.Encode(kindHosts, dep.Host, version, fleet.Host{
		Name: dep.Host, Address: dep.PeerAddress, Zone: dep.Zone, Incarnation: d.h.incarnation, MilliCores: dep.MilliCores,
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
		// The object was written by an earlier process, or by this one in a call whose response was lost.
		o, err = d.h.opts.Store.Get(ctx, kindHosts, dep.Host)
		if errors.Is(err, objects.ErrNotFound) {
			d.mu.Lock()
			d.ownVersion = ""
			d.mu.Unlock()
		}
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putHost(o)
	d.publishView()
	if _, ok := d.hosts[dep.Host]; !ok {
		return errors.New("the stored entry belongs to an earlier process")
	}
	d.log.Info().Str("version", o.Version).Msg("Host registered.")
	return nil
}

// deregister removes this host's object from the store, so that the other hosts turn to another dispatcher before this
// process ends.
func (d *directory) deregister(ctx context.Context) {
	d.mu.Lock()
	version := d.ownVersion
	d.mu.Unlock()
	if version == "" {
		return
	}
	err := d.h.opts.Store.Delete(objects.WithCause(ctx, causeDeregistration), objects.Object{Kind: kindHosts, Name: d.h.deployment().Host, Version: version})
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		d.log.Warn().Err(err).Msg("Failed to remove this host's entry.")
	}
}
