package host

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// kindHosts is the kind of the objects by which hosts register in the store. Each host writes its own.
const kindHosts = "sycamore-hosts"

const (
	hostWatchWait       = 10 * time.Second       // longer than for other kinds, since connections show when a host vanishes
	outageWait          = 0                      // of calls that test whether the store is back
	outageTimeout       = time.Second            // of such a call, longer than others have in case that the store is slow
	seriesPause         = 50 * time.Millisecond  // after changes that others mostly follow at once
	forwardPollInterval = 100 * time.Millisecond // between checks whether another host has started forwarding changes
	forwardIdleInterval = 2 * time.Second        // between checks while the dispatcher forwards changes, whose end is also signaled
	forwardGrace        = 500 * time.Millisecond // after the loss of a dispatcher, for the next one to take over
	// relaySearchGrace replaces forwardGrace while the dispatcher looks for a host that reaches the store. A change has
	// to be in force within two seconds.
	relaySearchGrace = 1400 * time.Millisecond
	// fallbackMaxRetryDelay replaces maxRetryDelay on such a host while its view is complete. Three seconds after an
	// outage, guarantees with a time limit hold again.
	fallbackMaxRetryDelay = 1500 * time.Millisecond
	mismatchDelay         = 300 * time.Millisecond // before differing objects are asked for, since updates may be on their way
	maxViewAsks           = 2                      // for one mismatch, before the kind is read from the store
	// entryGrace is the time after an outage of the store in which endpoint entries that expired meanwhile can come
	// back.
	entryGrace         = 2 * time.Second
	graceCheckInterval = 250 * time.Millisecond
	seedDelay          = 400 * time.Millisecond // after the start, before seeds are asked for an incomplete view
	seedTimeout        = 300 * time.Millisecond
	minRetryDelay      = 60 * time.Millisecond
	maxRetryDelay      = 700 * time.Millisecond
	// strengthClassSize is the range of strengths that count as equal in the order of dispatchers, in thousandths of a
	// core.
	strengthClassSize = 250
)

// directory maintains the view of the fleet from the objects in the store, which it reads itself or gets from other
// hosts.
type directory struct {
	h                *Host
	log              telemetry.Logger
	currentView      atomic.Pointer[fleet.View]
	registrationWake chan struct{}                // signals that the own host object may have to be written
	updates          *ring.Ring[forwardedMessage] // from the dispatcher or a relay
	sourceChanged    notifier                     // another host may have started or stopped forwarding changes
	registrationSeen atomic.Bool                  // the list of hosts or its changes have shown the registration of this process

	mu              sync.Mutex
	mirror          mirror
	stale           map[string]bool     // kinds to read from the store, as other hosts do not forward them in full
	received        map[string]bool     // kinds that were received in full since the start, from the store or another host
	mismatches      map[string]mismatch // by kind, between this host's objects and the dispatcher's
	config          *fleet.Config
	endpoints       map[string]fleet.Endpoint
	graceUntil      map[string]time.Time // when to delete endpoints whose entries expired around an outage
	departed        departures
	leavingBorn     map[string]int64 // listed endpoints that have announced that they leave, with their process start times
	endpointsListed bool
	hosts           map[string]fleet.Host
	// Changes since the last view was published.
	changedEndpoints map[string]bool
	hostsChanged     bool

	ownVersion string // version of the own host object, empty if it does not exist
	// configsListed is true after a full list of configurations, which may be empty.
	configsListed   bool
	outages         map[string]time.Time
	answeredAt      map[string]time.Time // time of the store's last answer to a call of this host, by kind
	storeAnsweredAt time.Time            // time of the store's last answer to any call of the directory
	pendingUpdates  []*wire.ViewUpdate   // changes to hand to the dispatcher with the next view
	endpointChanges []endpointChange     // to be logged with the next view
	outageEndedAt   time.Time            // end of the last outage of the store in which entries can have expired
	storeGap        storeGap
	seriesBegun     bool   // a change was applied that others mostly follow at once
	generation      uint64 // of the store, the highest one seen
}

func newDirectory(h *Host) *directory {
	d := &directory{
		h: h, log: h.log.Part("directory"), registrationWake: make(chan struct{}, 1), mirror: make(mirror),
		stale: make(map[string]bool), received: make(map[string]bool), mismatches: make(map[string]mismatch),
		endpoints: make(map[string]fleet.Endpoint), graceUntil: make(map[string]time.Time), leavingBorn: make(map[string]int64), departed: make(departures), changedEndpoints: make(map[string]bool), hosts: make(map[string]fleet.Host),
		outages: make(map[string]time.Time), answeredAt: make(map[string]time.Time), updates: ring.New[forwardedMessage](updateQueueSize),
	}
	d.currentView.Store(&fleet.View{})
	return d
}

// view returns the current view. It must not be changed.
func (d *directory) view() *fleet.View { return d.currentView.Load() }

// run follows the store, keeps this host registered and applies what other hosts forward, until ctx ends.
func (d *directory) run(ctx context.Context) {
	config, endpoints := d.h.opts.Codec.Kinds()
	watches := []kindWatch{
		{config, 0, d.putConfig, d.removeConfig, d.retainConfigs},
		{endpoints, 0, d.putEndpoint, d.removeEndpoint, d.retainEndpoints},
		{kindHosts, hostWatchWait, d.putHost, d.removeHost, d.retainHosts},
	}
	var wg sync.WaitGroup
	for _, w := range watches {
		wg.Go(func() { d.watchKind(ctx, w) })
	}
	wg.Go(func() { d.keepRegistered(ctx) })
	wg.Go(func() { d.fetchFromSeeds(ctx) })
	wg.Go(func() { d.keepProbing(ctx) })
	wg.Go(func() {
		for {
			m, err := d.updates.Pop(ctx)
			if err != nil {
				return
			}
			if catchPanic(d.log, "change of the view", func() { d.handleForwarded(m) }) != nil {
				d.markAllStale()
			}
		}
	})
	t := time.NewTicker(graceCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
			d.deleteAfterGrace(time.Now())
			if d.h.binder.isRelay() {
				d.h.binder.sendToDispatcher(&wire.RelayBeat{ViewCurrent: d.isCurrent(), Views: d.summaries()})
			}
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// isCurrent reports whether this host follows the store and has recent answers to its calls. A call that hangs counts
// as an outage before it times out.
func (d *directory) isCurrent() bool {
	times, now := d.times(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.endpointsListed || !d.configsListed || len(d.outages) > 0 || now.Sub(d.storeAnsweredAt) > times.maxSilence {
		return false
	}
	oldest := now.Add(-times.watchWait - times.answerDelay)
	config, endpoints := d.h.opts.Codec.Kinds()
	return d.answeredAt[config].After(oldest) && d.answeredAt[endpoints].After(oldest)
}

// recordObject adds an object to the mirror and collects the change for other hosts. The caller holds the lock.
//
// shownAt is the position at which the store showed the object, 0 if it is not known. It returns false if the object is older
// than what is known of it, and then must not be used.
func (d *directory) recordObject(o objects.Object, shownAt uint64) bool {
	d.noteGeneration(o.Version)
	if d.mirror.isOutdated(o.Kind, o.Name, o.Version, shownAt) {
		d.log.Info().Str("kind", o.Kind).Str("object", o.Name).Str("version", o.Version).Uint64("shownAt", shownAt).Msg("Outdated object ignored.")
		return false
	}
	if u := d.mirror.put(o, shownAt); u != nil {
		d.pendingUpdates = append(d.pendingUpdates, u)
	}
	return true
}

// markDeleted records that the store lacked an object at a position, 0 if it is not known. It returns false if what is known of
// the object is newer. The caller holds the lock.
func (d *directory) markDeleted(kind, name string, position uint64) bool {
	if d.mirror.markDeleted(kind, name, position, time.Now()) {
		return true
	}
	d.log.Info().Str("kind", kind).Str("object", name).Uint64("position", position).Msg("Outdated removal ignored.")
	return false
}

// removeObject removes an object from the mirror and collects the change for other hosts. The caller holds the lock.
func (d *directory) removeObject(kind, name string) {
	if u := d.mirror.remove(kind, name, time.Now()); u != nil {
		d.pendingUpdates = append(d.pendingUpdates, u)
	}
}

// publishView makes a new view from what is known, hands the collected changes over for other hosts, and notifies the
// dispatcher and the binder. The caller holds the lock.
func (d *directory) publishView() {
	before := d.currentView.Load()
	v := &fleet.View{Config: d.config, EndpointsListed: d.endpointsListed, Endpoints: d.nextEndpoints(before.Endpoints), Hosts: before.Hosts}
	if d.hostsChanged {
		d.hostsChanged = false
		v.Hosts = nil
		for _, h := range d.hosts {
			v.Hosts = append(v.Hosts, h)
		}
		sortHosts(v.Hosts)
	}
	d.currentView.Store(v)
	d.logEndpointChanges()
	d.limitConnections(v)
	if len(d.pendingUpdates) > 0 {
		if d.h.binder.isRelay() {
			for _, u := range d.pendingUpdates {
				d.h.binder.sendToDispatcher(u)
			}
		}
		d.h.dispatcher.queueUpdates(d.pendingUpdates)
		d.pendingUpdates = nil
	}
	d.h.dispatcher.viewChanged()
	d.h.binder.triggerCheck()
}

// nextEndpoints returns the endpoints of the next view, sorted by ID. It applies the changed entries to a copy of the
// list in the view before, and copies nothing if no entry has changed: in a large fleet entries change many times a
// second. The caller holds the lock.
func (d *directory) nextEndpoints(before []fleet.Endpoint) []fleet.Endpoint {
	changed := d.changedEndpoints
	if len(changed) == 0 {
		return before
	}
	d.changedEndpoints = make(map[string]bool)
	out := slices.Clone(before)
	for id := range changed {
		e, exists := d.endpoints[id]
		if born, leaving := d.leavingBorn[id]; leaving && born == e.StartUnixMs {
			e.Draining = true
		}
		at, found := slices.BinarySearchFunc(out, id, func(e fleet.Endpoint, id string) int { return strings.Compare(e.ID, id) })
		switch {
		case found && exists:
			out[at] = e
		case found:
			out = slices.Delete(out, at, at+1)
		case exists:
			out = slices.Insert(out, at, e)
		}
	}
	return out
}

// minConnLimit is the number of connections to an endpoint that each host may open, however many hosts there are.
const minConnLimit = 8

// limitConnections limits this host to its share of the connections that endpoints accept from all callers. The service
// with the lowest limit counts.
func (d *directory) limitConnections(v *fleet.View) {
	if v.Config == nil {
		return
	}
	lowest := 0
	for _, s := range v.Config.Services {
		if s.MaxConns > 0 && (lowest == 0 || s.MaxConns < lowest) {
			lowest = s.MaxConns
		}
	}
	if lowest > 0 {
		d.h.requestPool.SetLimit(max(lowest/max(len(v.Hosts), 1), minConnLimit))
	}
}

// sortHosts sorts hosts in the order in which they serve as dispatcher: by strength class, the strongest first, then by
// the time of registration. A host that starts again comes last in its class, so that it does not become dispatcher
// again at once.
func sortHosts(hosts []fleet.Host) {
	sort.Slice(hosts, func(i, j int) bool {
		a, b := &hosts[i], &hosts[j]
		if x, y := strengthClass(*a), strengthClass(*b); x != y {
			return x > y
		}
		if a.Revision != b.Revision {
			return a.Revision < b.Revision
		}
		return a.Name < b.Name
	})
}

// putConfig puts a configuration in force if it is newer than the one in force. The caller holds the lock.
func (d *directory) putConfig(o objects.Object) {
	c, ok, err := d.h.opts.Codec.Config(o)
	switch {
	case err != nil:
		d.log.Error().Str("object", o.Name).Str("version", o.Version).Err(err).Msg("Can't decode the configuration, keeping the one in force.")
	case ok && d.config != nil && c.Version < d.config.Version:
		d.log.Info().Uint64("version", c.Version).Uint64("inForce", d.config.Version).Str("objectVersion", o.Version).
			Msg("Older configuration ignored.")
	case ok && (d.config == nil || c.Version > d.config.Version):
		d.config = c
		d.log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("Configuration in force.")
	}
}

// removeConfig removes a configuration object from the mirror. The configuration in force stays. The caller holds the
// lock.
func (d *directory) removeConfig(name string, position uint64) {
	config, _ := d.h.opts.Codec.Kinds()
	if d.markDeleted(config, name, position) {
		d.removeObject(config, name)
	}
}

// retainConfigs removes the configuration objects that a full list does not show. The caller holds the lock.
func (d *directory) retainConfigs(names map[string]bool, position uint64) {
	d.configsListed = true
	config, _ := d.h.opts.Codec.Kinds()
	for _, name := range d.mirror.missing(config, names, position) {
		d.removeConfig(name, position)
	}
}

// putEndpoint adds or replaces an endpoint. If its entry can't be decoded, the endpoint is removed. The caller holds
// the lock.
func (d *directory) putEndpoint(o objects.Object) {
	e, err := d.h.opts.Codec.Endpoint(o)
	if err != nil {
		d.log.Warn().Str("endpoint", o.Name).Err(err).Msg("Can't decode the entry of an endpoint.")
		delete(d.endpoints, o.Name)
		delete(d.graceUntil, o.Name)
		d.changedEndpoints[o.Name] = true
		return
	}
	old, known := d.endpoints[e.ID]
	if known && old.SameProcess(&e) && e.Writes < old.Writes && e.Writes > 0 {
		// The store has returned from an older copy. The server has written something newer, and will write it again.
		delete(d.graceUntil, e.ID)
		d.log.Info().Str("endpoint", e.ID).Int64("writes", e.Writes).Int64("known", old.Writes).Str("version", o.Version).Msg("Older entry of an endpoint ignored.")
		return
	}
	if !known && d.departed.holds(&e, objects.GenerationOf(o.Version), time.Now()) {
		d.log.Info().Str("endpoint", e.ID).Int64("writes", e.Writes).Str("version", o.Version).Msg("Entry of an endpoint that is gone ignored.")
		return
	}
	if !known && d.departed.hasAnnounced(&e) {
		d.leavingBorn[e.ID] = e.StartUnixMs
	}
	delete(d.departed, e.ID)
	d.seriesBegun = d.seriesBegun || !known || !old.SameModels(&e) || !old.SameProcess(&e) || old.Draining != e.Draining
	delete(d.graceUntil, e.ID)
	d.endpoints[e.ID] = e
	d.changedEndpoints[e.ID] = true
	if !known || old.Draining != e.Draining || old.StartUnixMs != e.StartUnixMs {
		d.endpointChanges = append(d.endpointChanges, endpointChange{e, o.Version})
	}
}

// endpointChange is a new endpoint, or one with another process or draining state than before.
type endpointChange struct {
	fleet.Endpoint
	entryVersion string
}

// maxLoggedEntries is the number of entries up to which each is logged by itself. A host lists hundreds at its start.
const maxLoggedEntries = 8

// logEndpointChanges logs the changes of endpoints since the last call. The caller holds the lock.
func (d *directory) logEndpointChanges() {
	if len(d.endpointChanges) > maxLoggedEntries {
		d.log.Info().Int("endpoints", len(d.endpointChanges)).Str("version", d.endpointChanges[len(d.endpointChanges)-1].entryVersion).Msg("Endpoints listed.")
	} else {
		for _, e := range d.endpointChanges {
			d.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Bool("draining", e.Draining).
				Int64("born", e.StartUnixMs).Str("version", e.entryVersion).Msg("Endpoint listed.")
		}
	}
	d.endpointChanges = nil
}

// removeEndpoint handles the removal of an endpoint's entry. Entries expire during an outage of the store although
// their servers are running, so until entryGrace after an outage the endpoint is kept, to give the entry time to come
// back. The caller holds the lock.
func (d *directory) removeEndpoint(id string, position uint64) {
	if _, kind := d.h.opts.Codec.Kinds(); !d.markDeleted(kind, id, position) {
		return
	}
	if _, known := d.endpoints[id]; known && time.Now().Before(d.outageEndedAt.Add(entryGrace)) && !d.endpoints[id].Draining {
		until := d.outageEndedAt.Add(entryGrace)
		if _, ok := d.graceUntil[id]; !ok {
			d.graceUntil[id] = until
		}
		return
	}
	d.deleteEndpoint(id, "entry removed")
}

// deleteEndpoint removes an endpoint, and its entry from the mirror. The caller holds the lock.
func (d *directory) deleteEndpoint(id, reason string) {
	_, kind := d.h.opts.Codec.Kinds()
	d.removeObject(kind, id)
	delete(d.graceUntil, id)
	announced, leaving := d.leavingBorn[id]
	delete(d.leavingBorn, id)
	if e, ok := d.endpoints[id]; ok {
		delete(d.endpoints, id)
		d.departed.add(&e, leaving && announced == e.StartUnixMs, d.generation, time.Now())
		d.changedEndpoints[id] = true
		d.log.Info().Str("endpoint", id).Str("reason", reason).Msg("Endpoint gone.")
	}
}

// markLeaving records that an endpoint has announced that it leaves, whatever its entry says; born identifies the
// process. It returns false if that process is not the listed one or if this is known already.
func (d *directory) markLeaving(id string, born int64, how string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, listed := d.endpoints[id]
	if announced, known := d.leavingBorn[id]; !listed || e.StartUnixMs != born || known && announced == born {
		return false
	}
	d.leavingBorn[id] = born
	d.changedEndpoints[id] = true
	d.log.Info().Str("endpoint", id).Int64("born", born).Str("how", how).Msg("Endpoint leaves.")
	d.publishView()
	return true
}

// leavingEndpoints returns the listed endpoints that have announced that they leave.
func (d *directory) leavingEndpoints() []wire.EndpointLeaves {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []wire.EndpointLeaves
	for id, born := range d.leavingBorn {
		out = append(out, wire.EndpointLeaves{Endpoint: id, StartUnixMs: born})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// retainEndpoints removes the endpoints that a full list does not show. The caller holds the lock.
func (d *directory) retainEndpoints(names map[string]bool, position uint64) {
	d.endpointsListed = true
	_, kind := d.h.opts.Codec.Kinds()
	for _, id := range unlisted(d.mirror, kind, d.endpoints, names, position) {
		d.removeEndpoint(id, position)
	}
}

// deleteAfterGrace removes the endpoints whose entries did not come back in time after an outage.
func (d *directory) deleteAfterGrace(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for id, until := range d.graceUntil {
		if now.After(until) {
			d.deleteEndpoint(id, "entry did not return after an outage of the store")
			changed = true
		}
	}
	_, kind := d.h.opts.Codec.Kinds()
	for _, id := range d.departed.expire(now) {
		if o, listed := d.mirror.object(kind, id); listed {
			d.putEndpoint(o.Object)
			changed = true
		}
	}
	for _, k := range d.mirror {
		k.tombstones.expire(now)
	}
	if changed {
		d.publishView()
	}
}

// putHost adds or replaces a host. The caller holds the lock.
func (d *directory) putHost(o objects.Object) {
	h, err := objects.Decode[fleet.Host](o)
	if err != nil {
		d.log.Warn().Str("object", o.Name).Err(err).Msg("Can't decode the object of a host.")
		return
	}
	h.Name = o.Name
	if rev, err := strconv.ParseUint(o.Version, 10, 64); err == nil {
		h.Revision = rev
	}
	d.hosts[o.Name] = h
	d.hostsChanged = true
	if o.Name == d.h.deployment().Host {
		d.ownVersion = o.Version
		if h.Incarnation != d.h.incarnation {
			delete(d.hosts, o.Name) // an earlier process wrote it, whose place in the order does not apply to this one
			d.triggerRegistration()
		}
	}
}

// removeHost removes a host. The own host object is then written again. The caller holds the lock.
func (d *directory) removeHost(name string, position uint64) {
	if !d.markDeleted(kindHosts, name, position) {
		return
	}
	delete(d.hosts, name)
	d.hostsChanged = true
	d.removeObject(kindHosts, name)
	if name == d.h.deployment().Host {
		d.ownVersion = ""
		d.triggerRegistration()
	}
}

// retainHosts removes the hosts that a full list does not show. The caller holds the lock.
func (d *directory) retainHosts(names map[string]bool, position uint64) {
	own := d.h.deployment().Host
	for _, name := range unlisted(d.mirror, kindHosts, d.hosts, names, position) {
		if _, mirrored := d.mirror.object(kindHosts, name); mirrored || name != own { // a list may be older than the registration
			d.removeHost(name, position)
		}
	}
	d.triggerRegistration()
}

// isComplete reports whether the view has a configuration and the endpoints.
func (d *directory) isComplete() bool {
	v := d.view()
	return v.Config != nil && v.EndpointsListed
}
