package host

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/objects"
)

// kindWatch is one kind of objects that is followed.
type kindWatch struct {
	kind    string
	maxWait time.Duration
	put     func(o objects.Object)
	remove  func(name string)
	retain  func(names map[string]bool) // removes what a list does not show
}

// watchKind keeps one kind up to date: it lists it, asks for changes, and lists again when the history is gone.
func (d *directory) watchKind(ctx context.Context, f kindWatch) {
	backoff := objects.Backoff{Least: minRetryDelay, Most: maxRetryDelay}
	version := ""
	// When the dispatcher passed the kind on. A host that starts waits for one: all hosts that list the store at the start
	// of a large fleet are most of its calls.
	var relayed time.Time
	if f.kind != kindHosts {
		relayed = time.Now()
	}
	for ctx.Err() == nil {
		var err error
		turned := d.sourceChanged.changed()
		own := d.h.binder.isDispatcher()
		switch {
		case d.isForwarded(f.kind):
			// The dispatcher follows the store for all hosts: calls to the store don't grow with the fleet.
			d.recordOutcome(f.kind, nil)
			version = ""
			select {
			case <-turned:
			case <-time.After(relayIdleInterval):
			case <-ctx.Done():
			}
			relayed = time.Now()
			continue
		case version == "" && !own && !d.isStale(f.kind) && time.Since(relayed) < d.h.binder.relayGrace():
			// The next dispatcher, or a relay, will pass the kind on in a moment.
			clock.Sleep(ctx, relayPollInterval)
			continue
		case version == "":
			version, err = d.listKind(ctx, f)
		default:
			before := version
			if version, err = d.applyChanges(ctx, f, version); err == nil && version != before {
				if own {
					clock.Sleep(ctx, batchPause)
				} else {
					clock.Sleep(ctx, fallbackBatchPause)
				}
			}
		}
		if ctx.Err() != nil {
			return
		}
		d.recordOutcome(f.kind, err)
		if err != nil && !errors.Is(err, objects.ErrExpired) {
			if backoff.Most = maxRetryDelay; !own && d.isComplete() {
				backoff.Most = fallbackMaxRetryDelay
			}
			backoff.Wait(ctx, err)
		} else {
			backoff.Reset()
		}
	}
}

// isForwarded tells whether the dispatcher passes a kind on.
func (d *directory) isForwarded(kind string) bool {
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

func (d *directory) listKind(ctx context.Context, f kindWatch) (string, error) {
	list, version, err := d.h.opts.Store.List(ctx, f.kind)
	if err != nil {
		return "", err
	}
	d.recordAnswer(f.kind)
	names := make(map[string]bool, len(list))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range list {
		names[o.Name] = true
		d.recordObject(o)
		f.put(o)
	}
	f.retain(names)
	delete(d.stale, f.kind)
	d.publishView()
	return version, nil
}

func (d *directory) applyChanges(ctx context.Context, f kindWatch, version string) (string, error) {
	wait := f.maxWait
	if d.isStoreLost(f.kind) {
		wait = probeWait
	}
	events, next, err := d.h.opts.Store.Changes(ctx, f.kind, version, wait)
	if errors.Is(err, objects.ErrExpired) {
		return "", err
	}
	if err != nil {
		return version, err
	}
	d.recordAnswer(f.kind)
	if len(events) == 0 {
		return next, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		if e.Type == objects.EventDeleted {
			f.remove(e.Object.Name)
		} else {
			d.recordObject(e.Object)
			f.put(e.Object)
		}
	}
	d.publishView()
	return next, nil
}

func (d *directory) isStoreLost(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lost := d.outages[kind]
	return lost
}

// recordAnswer notes that the store has answered a call.
func (d *directory) recordAnswer(kind string) {
	d.recordOutcome(kind, nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answeredAt[kind] = time.Now()
}

// recordOutcome logs when the store is lost and regained.
func (d *directory) recordOutcome(kind string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.outages[kind]
	switch {
	case err != nil && !errors.Is(err, objects.ErrExpired) && !lost:
		d.outages[kind] = time.Now()
		d.log.Warn().Str("kind", kind).Err(err).Msg("Store lost.")
	case err == nil && lost:
		delete(d.outages, kind)
		d.outageEndedAt = time.Now()
		d.log.Info().Str("kind", kind).Int64("lostMs", time.Since(since).Milliseconds()).Msg("Store regained.")
	}
}
