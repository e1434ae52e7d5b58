package host

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/objects"
)

// kindWatch holds how the directory follows one kind of objects.
type kindWatch struct {
	kind    string
	maxWait time.Duration                                // of a call for changes, 0 to derive it from the deployment's bounds
	put     func(o objects.Object)                       // adds or replaces an object
	remove  func(name string, position uint64)           // position of the store at which the object was gone
	retain  func(names map[string]bool, position uint64) // removes the objects that a full list of that position does not show
}

// watchKind keeps one kind up to date until ctx ends. It lists the kind, asks the store for changes, and lists again if
// the store no longer has the history. While another host forwards the kind, it makes no calls.
func (d *directory) watchKind(ctx context.Context, w kindWatch) {
	backoff := objects.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	version := ""
	var paused time.Duration // between the last call for changes and the next one
	// lastForwarded is when the dispatcher last forwarded the kind. A host that starts waits for this first: at the
	// start of a large fleet, most calls to the store would otherwise be lists.
	var lastForwarded time.Time
	if w.kind != kindHosts {
		lastForwarded = time.Now()
	}
	for ctx.Err() == nil {
		var err error
		sourceChanged := d.sourceChanged.changed()
		isDispatcher := d.h.binder.isDispatcher()
		switch {
		case d.isForwarded(w.kind):
			// The dispatcher follows the store for all hosts, so that the number of calls does not grow with the fleet.
			d.recordOutcome(w.kind, nil)
			version = ""
			waitForSource(ctx, sourceChanged, forwardIdleInterval)
			lastForwarded = time.Now()
			continue
		case version == "" && !isDispatcher && !d.isStale(w.kind) && time.Since(lastForwarded) < d.h.binder.relayWait():
			// The next dispatcher, or a relay, is about to forward the kind.
			waitForSource(ctx, sourceChanged, forwardPollInterval)
			continue
		case d.waitsForStore(w.kind):
			clock.Sleep(ctx, forwardPollInterval)
			continue
		case version == "" || d.isStale(w.kind) || d.hasForgotten(w.kind, version):
			// A host that already follows the kind lists it too: a stale kind is not forwarded until it has been listed.
			version, err = d.listKind(ctx, w)
		default:
			if version, paused, err = d.applyChanges(ctx, w, version, paused); paused > 0 {
				waitForSource(ctx, sourceChanged, paused)
			}
		}
		if ctx.Err() != nil {
			return
		}
		d.recordOutcome(w.kind, err)
		if err != nil && !errors.Is(err, objects.ErrExpired) {
			if backoff.Max = maxRetryDelay; !isDispatcher && d.isComplete() {
				backoff.Max = fallbackMaxRetryDelay
			}
			backoff.Wait(ctx, err)
		} else {
			backoff.Reset()
		}
	}
}

// waitForSource waits for a change of the hosts that forward changes, at most for limit.
func waitForSource(ctx context.Context, sourceChanged <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-sourceChanged:
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitsForStore reports whether calls for a kind have to wait until the store answers again. While it does not, only the
// calls for the configuration are repeated, since a store in trouble should not be asked for each kind.
func (d *directory) waitsForStore(kind string) bool {
	config, _ := d.h.opts.Codec.Kinds()
	return kind != config && d.isStoreLost(kind) && d.isStoreLost(config)
}

// isForwarded reports whether another host forwards all changes of a kind.
func (d *directory) isForwarded(kind string) bool {
	if !d.h.binder.storeChangesRelayed() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stale[kind]
}

// isStale reports whether a kind has to be read from the store because other hosts do not forward it in full.
func (d *directory) isStale(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stale[kind]
}

// listKind reads all objects of a kind from the store, and returns the version from which to ask for changes.
func (d *directory) listKind(ctx context.Context, w kindWatch) (string, error) {
	list, version, err := d.h.opts.Store.List(objects.WithCause(ctx, d.followCause(w.kind)), w.kind)
	if err != nil {
		return "", err
	}
	d.recordAnswer(w.kind)
	names := make(map[string]bool, len(list))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteGeneration(version)
	first, pending := d.mirror.count(w.kind) == 0, len(d.pendingUpdates)
	d.mirror.add(w.kind)
	position := parseRevision(version)
	for _, o := range list {
		names[o.Name] = true
		if d.recordObject(o, position) {
			w.put(o)
		}
	}
	w.retain(names, position)
	d.mirror.advance(w.kind, position)
	if first {
		// Other hosts ask for what they lack, by the summaries in broadcasts. Sent to each of them, the whole list would fill
		// the dispatcher's link when all hosts start.
		d.pendingUpdates = d.pendingUpdates[:pending]
	}
	d.noteRegistration(w.kind, names[d.h.deployment().Host])
	d.received[w.kind] = true
	delete(d.stale, w.kind)
	d.publishView()
	return version, nil
}

// applyChanges asks the store for the changes after a version and applies them. paused is how long this call has been
// put off, which makes its wait shorter. It returns the version from which to ask next, empty if the store no longer has
// the history, and the pause before the next call.
func (d *directory) applyChanges(ctx context.Context, w kindWatch, version string, paused time.Duration) (next string, pause time.Duration, err error) {
	times := d.times()
	wait := cmp.Or(w.maxWait, times.watchWait) - paused
	timeout := wait + times.answerDelay
	if d.isStoreLost(w.kind) {
		wait, timeout = outageWait, outageTimeout
	}
	ctx, cancel := context.WithTimeout(objects.WithCause(ctx, d.followCause(w.kind)), timeout)
	defer cancel()
	config, _ := d.h.opts.Codec.Kinds()
	isDispatcher := d.h.binder.isDispatcher() // before the call: during it, a host that starts may be its own dispatcher
	events, next, err := d.h.opts.Store.Changes(ctx, w.kind, version, wait)
	if errors.Is(err, objects.ErrExpired) {
		return "", 0, err
	}
	if err != nil {
		return version, 0, err
	}
	d.recordAnswer(w.kind)
	if len(events) == 0 {
		d.advance(w.kind, next)
		return next, 0, nil
	}
	starting := w.kind == kindHosts && d.h.binder.isStarting()
	d.mu.Lock()
	defer d.mu.Unlock()
	ownListed := false
	d.seriesBegun = w.kind == config
	last := make(map[string]int, len(events)) // index of each object's last event
	for i, e := range events {
		last[e.Object.Name] = i
	}
	for i, e := range events {
		ownListed = ownListed || e.Object.Name == d.h.deployment().Host
		if e.Type == objects.EventDeleted {
			d.seriesBegun = w.kind != kindHosts
			position := parseRevision(e.Object.Version)
			if last[e.Object.Name] == i {
				position = max(position, parseRevision(next)) // the answer holds all changes up to next
			}
			w.remove(e.Object.Name, position)
		} else if d.recordObject(e.Object, 0) {
			w.put(e.Object)
		}
	}
	d.mirror.advance(w.kind, parseRevision(next))
	d.noteRegistration(w.kind, ownListed)
	d.publishView()
	// The entries of endpoints are rewritten all the time without a difference to what the view holds of them, and all
	// hosts of a fleet that starts register at once. The dispatcher waits for several of these changes, and asks again
	// soon after others, which come in series. A host without a dispatcher asks soon for the registrations of others.
	if d.seriesBegun && isDispatcher || starting {
		return next, seriesPause, nil
	}
	return next, times.pause, nil
}

// noteRegistration records that what the store lists has reached the registration of this process, and with it all earlier
// ones. ownListed is true if the last answer shows this host. The caller holds the lock.
func (d *directory) noteRegistration(kind string, ownListed bool) {
	if _, ok := d.hosts[d.h.deployment().Host]; kind == kindHosts && ownListed && ok {
		d.registrationSeen.Store(true)
	}
}

// advance records that all changes of a kind up to a version are known.
func (d *directory) advance(kind, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirror.advance(kind, parseRevision(version))
}

// hasForgotten reports whether changes of a kind after a version may contradict removals that are no longer kept.
func (d *directory) hasForgotten(kind, version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.mirror[kind]
	return k != nil && parseRevision(version) < k.tombstones.forgotten
}

// isStoreLost reports whether calls for a kind are failing.
func (d *directory) isStoreLost(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lost := d.outages[kind]
	return lost
}

// hasOutage reports whether calls for any kind are failing.
func (d *directory) hasOutage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.outages) > 0
}

// recordAnswer records that the store has answered a call.
func (d *directory) recordAnswer(kind string) {
	d.recordOutcome(kind, nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answeredAt[kind], d.storeAnsweredAt = time.Now(), time.Now()
	d.storeGap.recordReached(time.Now(), false)
}

// recordReachedByRelay records that a relay reaches the store.
func (d *directory) recordReachedByRelay(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeGap.recordReached(now, true)
}

// noteGeneration records the store's generation from the version of what it has answered, or what was passed on. After a change,
// entries that the store has lost come back as after an outage. The caller holds the lock.
func (d *directory) noteGeneration(version string) {
	g := objects.GenerationOf(version)
	if g <= d.generation {
		return
	}
	d.log.Info().Uint64("generation", g).Uint64("before", d.generation).Msg("Store has another generation.")
	if d.generation > 0 {
		d.outageEndedAt = time.Now()
		d.h.blocked.reload()
	}
	d.generation = g
}

// recordOutcome records whether a kind can be followed, from the store or through another host, and logs the start and
// end of an outage. An expired history is not an outage.
func (d *directory) recordOutcome(kind string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.outages[kind]
	switch {
	case err != nil && !errors.Is(err, objects.ErrExpired) && !lost:
		if len(d.outages) == 0 {
			d.storeGap.begin(d.storeAnsweredAt)
		}
		d.outages[kind] = time.Now()
		d.log.Warn().Str("kind", kind).Err(err).Msg("Store lost.")
	case err == nil && lost:
		delete(d.outages, kind)
		kept := d.storeGap.entriesKept(time.Now())
		if !kept {
			d.outageEndedAt = time.Now()
		}
		d.log.Info().Str("kind", kind).Int64("lostMs", time.Since(since).Milliseconds()).Bool("entriesKept", kept).Msg("Store regained.")
	}
}
