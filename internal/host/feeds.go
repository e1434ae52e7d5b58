package host

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/objects"
)

// feed is one kind of objects that is followed.
type feed struct {
	kind   string
	wait   time.Duration
	put    func(o objects.Object)
	remove func(name string)
	whole  func(names map[string]bool) // removes what a list does not show
}

// follow keeps one kind up to date: it lists it, asks for changes, and lists again when the history is gone.
func (d *directory) follow(ctx context.Context, f feed) {
	backoff := objects.Backoff{Min: retryLeast, Max: retryMost}
	version := ""
	// When the dispatcher passed the kind on. A host that starts waits for one: all hosts that list the store at the start
	// of a large fleet are most of its calls.
	var relayed time.Time
	if f.kind != kindHosts {
		relayed = time.Now()
	}
	for ctx.Err() == nil {
		var err error
		turned := d.turned.changed()
		own := d.h.binder.isDispatcher()
		switch {
		case d.relayed(f.kind):
			// The dispatcher follows the store for all hosts: calls to the store don't grow with the fleet.
			d.settle(f.kind, nil)
			version = ""
			select {
			case <-turned:
			case <-time.After(relayIdle):
			case <-ctx.Done():
			}
			relayed = time.Now()
			continue
		case version == "" && !own && !d.isStale(f.kind) && time.Since(relayed) < d.h.binder.relayGrace():
			// The next dispatcher, or a relay, will pass the kind on in a moment.
			clock.Sleep(ctx, relayPoll)
			continue
		case version == "":
			version, err = d.list(ctx, f)
		default:
			before := version
			if version, err = d.changes(ctx, f, version); err == nil && version != before {
				if own {
					clock.Sleep(ctx, batchPause)
				} else {
					clock.Sleep(ctx, ownPause)
				}
			}
		}
		if ctx.Err() != nil {
			return
		}
		d.settle(f.kind, err)
		if err != nil && !errors.Is(err, objects.ErrExpired) {
			if backoff.Max = retryMost; !own && d.complete() {
				backoff.Max = retryOwn
			}
			backoff.Wait(ctx, err)
		} else {
			backoff.Reset()
		}
	}
}

// relayed tells whether the dispatcher passes a kind on.
func (d *directory) relayed(kind string) bool {
	if !d.h.binder.relays() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stale[kind]
}

func (d *directory) isStale(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stale[kind]
}

func (d *directory) list(ctx context.Context, f feed) (string, error) {
	list, version, err := d.h.opts.Store.List(ctx, f.kind)
	if err != nil {
		return "", err
	}
	d.noteAnswer(f.kind)
	names := make(map[string]bool, len(list))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range list {
		names[o.Name] = true
		d.keep(o)
		f.put(o)
	}
	f.whole(names)
	delete(d.stale, f.kind)
	d.publish()
	return version, nil
}

func (d *directory) changes(ctx context.Context, f feed, version string) (string, error) {
	wait := f.wait
	if d.lost(f.kind) {
		wait = probeWait
	}
	events, next, err := d.h.opts.Store.Changes(ctx, f.kind, version, wait)
	if errors.Is(err, objects.ErrExpired) {
		return "", err
	}
	if err != nil {
		return version, err
	}
	d.noteAnswer(f.kind)
	if len(events) == 0 {
		return next, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if e.Type == objects.EventDeleted {
			f.remove(e.Object.Name)
		} else {
			d.keep(e.Object)
			f.put(e.Object)
		}
	}
	d.publish()
	return next, nil
}

func (d *directory) lost(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lost := d.outages[kind]
	return lost
}

// noteAnswer notes that the store has answered a call.
func (d *directory) noteAnswer(kind string) {
	d.settle(kind, nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered[kind] = time.Now()
}

// settle logs when the store is lost and regained.
func (d *directory) settle(kind string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.outages[kind]
	switch {
	case err != nil && !errors.Is(err, objects.ErrExpired) && !lost:
		d.outages[kind] = time.Now()
		d.log.Warn().Str("kind", kind).Err(err).Msg("Store lost.")
	case err == nil && lost:
		delete(d.outages, kind)
		d.returned = time.Now()
		d.log.Info().Str("kind", kind).Int64("lostMs", time.Since(since).Milliseconds()).Msg("Store regained.")
	}
}
