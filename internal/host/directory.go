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

// kindHosts holds one object for each host of the fleet, written by the host.
const kindHosts = "sycamore-hosts"

const (
	// watchWait is the longest wait of a watch: a change has to be in force within two seconds, also when the connection
	// of a watch has gone silent.
	watchWait  = 600 * time.Millisecond
	hostWait   = 10 * time.Second       // hosts that vanish are noticed by their connections
	probeWait  = 0                      // of the calls that find out whether the store is back
	batchPause = 50 * time.Millisecond  // after changes: those that follow at once come with the next call
	relayPoll  = 100 * time.Millisecond // while another host may begin to pass changes on
	relayIdle  = 2 * time.Second        // while the dispatcher passes changes on; its end is notified
	relayGrace = 500 * time.Millisecond // after the loss of a dispatcher, in which the next one takes over
	// soughtGrace is relayGrace while the dispatcher looks for a host that reaches the store. Two seconds are allowed until
	// a change is in force.
	soughtGrace = 1400 * time.Millisecond
	// ownPause is batchPause of a host that follows the store beside the dispatcher, for example because it does not reach
	// it. Each call is priced, and two seconds are allowed until a change is in force.
	ownPause = 500 * time.Millisecond
	// answerSlack is how much later than expected an answer of the store may come before the store counts as lost.
	answerSlack = 350 * time.Millisecond
	// retryOwn is retryMost of such a host while it knows a view. After an outage, promises with a time bound hold again
	// after three seconds.
	retryOwn     = 1500 * time.Millisecond
	differFor    = 300 * time.Millisecond // updates are on their way meanwhile
	mostViewAsks = 2                      // before a kind is read from the store
	// returnGrace is the time after an outage of the store in which entries that lapsed meanwhile come back.
	returnGrace   = 2 * time.Second
	sweepLapsed   = 250 * time.Millisecond
	askSeedsAfter = 400 * time.Millisecond // without an answer of the store since the start
	seedTimeout   = 300 * time.Millisecond
	retryLeast    = 60 * time.Millisecond
	retryMost     = 700 * time.Millisecond
	// strengthClass groups hosts of like power when the order of dispatchers is formed, in thousandths of a core.
	strengthClass = 250
)

// directory keeps the view of the fleet from the store.
type directory struct {
	h       *Host
	log     telemetry.Logger
	now     atomic.Pointer[fleet.View]
	wake    chan struct{}        // a host object has to be written
	updates *ring.Ring[passedOn] // from the dispatcher
	turned  notifier             // another host may have begun or ceased to pass changes on
	known   atomic.Bool          // the hosts have been listed

	mu        sync.Mutex
	mirror    mirror
	stale     map[string]bool       // kinds that the dispatcher does not pass on in full: they are read from the store
	differs   map[string]difference // by kind, from what the dispatcher has
	config    *fleet.Config
	endpoints map[string]fleet.Endpoint
	lapsed    map[string]time.Time // endpoints that vanished around an outage, until when they are kept
	leaving   map[string]int64     // listed endpoints that have said that they leave, with the start of their process
	listed    bool
	hosts     map[string]fleet.Host
	// What has changed since the last view.
	changedEndpoints map[string]bool
	hostsChanged     bool

	own string // version of the own host object, empty if there is none
	// There may be no configuration yet.
	configsListed bool
	outages       map[string]time.Time
	answered      map[string]time.Time // when the store last answered a call of this host, by kind
	passed        []*wire.ViewUpdate   // changes that were not yet handed to the dispatcher
	news          []endpointNews       // not yet logged
	returned      time.Time            // end of the latest outage of the list of endpoints
}

func newDirectory(h *Host) *directory {
	d := &directory{
		h: h, log: h.log.Part("directory"), wake: make(chan struct{}, 1), mirror: make(mirror),
		stale: make(map[string]bool), differs: make(map[string]difference),
		endpoints: make(map[string]fleet.Endpoint), lapsed: make(map[string]time.Time), leaving: make(map[string]int64), changedEndpoints: make(map[string]bool), hosts: make(map[string]fleet.Host),
		outages: make(map[string]time.Time), answered: make(map[string]time.Time), updates: ring.New[passedOn](passedUpdates),
	}
	d.now.Store(&fleet.View{})
	return d
}

// view returns the current view. It must not be changed.
func (d *directory) view() *fleet.View { return d.now.Load() }

func (d *directory) run(ctx context.Context) {
	config, endpoints := d.h.opts.Codec.Kinds()
	feeds := []feed{
		{config, watchWait, d.putConfig, d.removeConfig, d.keepConfigs},
		{endpoints, watchWait, d.putEndpoint, d.removeEndpoint, d.keepEndpoints},
		{kindHosts, hostWait, d.putHost, d.removeHost, d.keepHosts},
	}
	var wg sync.WaitGroup
	for _, f := range feeds {
		wg.Go(func() { d.follow(ctx, f) })
	}
	wg.Go(func() { d.register(ctx) })
	wg.Go(func() { d.askSeeds(ctx) })
	wg.Go(func() {
		for {
			m, err := d.updates.Pop(ctx)
			if err != nil {
				return
			}
			if guarded(d.log, "change of the view", func() { d.take(m) }) != nil {
				d.readAgain()
			}
		}
	})
	t := time.NewTicker(sweepLapsed)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
			d.dropLapsed(time.Now())
			if d.h.binder.isRelay() {
				d.h.binder.tell(&wire.RelayBeat{Current: d.current(), Views: d.summaries()})
			}
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// current tells whether this process follows the store: a call that hangs is an outage before it has timed out.
func (d *directory) current() bool {
	pause := ownPause
	if d.h.binder.isDispatcher() {
		pause = batchPause
	}
	fresh := time.Now().Add(-watchWait - pause - answerSlack)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listed || !d.configsListed || len(d.outages) > 0 {
		return false
	}
	config, endpoints := d.h.opts.Codec.Kinds()
	return d.answered[config].After(fresh) && d.answered[endpoints].After(fresh)
}

// keep remembers an object for other hosts. The caller holds the lock.
func (d *directory) keep(o objects.Object) {
	if u := d.mirror.put(o); u != nil {
		d.passed = append(d.passed, u)
	}
}

// drop forgets an object. The caller holds the lock.
func (d *directory) drop(kind, name string) {
	d.passed = append(d.passed, d.mirror.drop(kind, name))
}

// publish makes a new view. The caller holds the lock.
func (d *directory) publish() {
	before := d.now.Load()
	v := &fleet.View{Config: d.config, EndpointsListed: d.listed, Endpoints: d.shownEndpoints(before.Endpoints), Hosts: before.Hosts}
	if d.hostsChanged {
		d.hostsChanged = false
		v.Hosts = nil
		for _, h := range d.hosts {
			v.Hosts = append(v.Hosts, h)
		}
		sortHosts(v.Hosts)
	}
	d.now.Store(v)
	d.logNews()
	d.limitConnections(v)
	if len(d.passed) > 0 {
		if d.h.binder.isRelay() {
			for _, u := range d.passed {
				d.h.binder.tell(u)
			}
		}
		d.h.dispatcher.passOn(d.passed)
		d.passed = nil
	}
	d.h.dispatcher.viewChanged()
	d.h.binder.viewChanged()
}

// shownEndpoints returns the endpoints of the next view, sorted. In a large fleet entries change many times a second, and
// the list is only copied then. The caller holds the lock.
func (d *directory) shownEndpoints(before []fleet.Endpoint) []fleet.Endpoint {
	changed := d.changedEndpoints
	if len(changed) == 0 {
		return before
	}
	d.changedEndpoints = make(map[string]bool)
	out := slices.Clone(before)
	for id := range changed {
		e, there := d.endpoints[id]
		if born, said := d.leaving[id]; said && born == e.StartUnixMs {
			e.Draining = true
		}
		at, found := slices.BinarySearchFunc(out, id, func(e fleet.Endpoint, id string) int { return strings.Compare(e.ID, id) })
		switch {
		case found && there:
			out[at] = e
		case found:
			out = slices.Delete(out, at, at+1)
		case there:
			out = slices.Insert(out, at, e)
		}
	}
	return out
}

// leastConns is the number of connections to an endpoint that a host may open in any case.
const leastConns = 8

// limitConnections gives the host its share of the connections that endpoints accept from all callers.
func (d *directory) limitConnections(v *fleet.View) {
	if v.Config == nil {
		return
	}
	least := 0
	for _, s := range v.Config.Services {
		if s.MaxConns > 0 && (least == 0 || s.MaxConns < least) {
			least = s.MaxConns
		}
	}
	if least > 0 {
		d.h.pool.SetLimit(max(least/max(len(v.Hosts), 1), leastConns))
	}
}

// sortHosts puts hosts in the order in which they take the dispatcher's duty: strong ones first, then those that
// registered first. A host that starts again comes last, so that the duty does not return to it.
func sortHosts(hosts []fleet.Host) {
	sort.Slice(hosts, func(i, j int) bool {
		a, b := &hosts[i], &hosts[j]
		if x, y := a.MilliCores/strengthClass, b.MilliCores/strengthClass; x != y {
			return x > y
		}
		if a.Revision != b.Revision {
			return a.Revision < b.Revision
		}
		return a.Name < b.Name
	})
}

// putConfig takes a configuration over unless it is older than the one in force. The caller holds the lock.
func (d *directory) putConfig(o objects.Object) {
	c, ok, err := d.h.opts.Codec.Config(o)
	switch {
	case err != nil:
		d.log.Error().Str("object", o.Name).Str("version", o.Version).Err(err).Msg("Configuration can't be read, the former one stays.")
	case ok && (d.config == nil || c.Version > d.config.Version):
		d.config = c
		d.log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("Configuration in force.")
	}
}

// removeConfig forgets an object of the configuration's kind. What is in force stays.
func (d *directory) removeConfig(name string) {
	config, _ := d.h.opts.Codec.Kinds()
	d.drop(config, name)
}

func (d *directory) keepConfigs(names map[string]bool) {
	d.configsListed = true
	config, _ := d.h.opts.Codec.Kinds()
	for _, name := range d.mirror.missing(config, names) {
		d.removeConfig(name)
	}
}

func (d *directory) putEndpoint(o objects.Object) {
	e, err := d.h.opts.Codec.Endpoint(o)
	if err != nil {
		d.log.Warn().Str("endpoint", o.Name).Err(err).Msg("Entry names no server.")
		delete(d.endpoints, o.Name)
		d.changedEndpoints[o.Name] = true
		return
	}
	old, known := d.endpoints[e.ID]
	delete(d.lapsed, e.ID)
	d.endpoints[e.ID] = e
	d.changedEndpoints[e.ID] = true
	if !known || old.Draining != e.Draining || old.StartUnixMs != e.StartUnixMs {
		d.news = append(d.news, endpointNews{e, o.Version})
	}
}

// endpointNews is an entry that tells of another endpoint or state than the one before.
type endpointNews struct {
	fleet.Endpoint
	version string
}

// mostListed is the number of entries that are logged one by one: at the start of a host there are hundreds.
const mostListed = 8

// logNews logs what entries have told since the last call. The caller holds the lock.
func (d *directory) logNews() {
	if len(d.news) > mostListed {
		d.log.Info().Int("endpoints", len(d.news)).Str("version", d.news[len(d.news)-1].version).Msg("Endpoints listed.")
	} else {
		for _, e := range d.news {
			d.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Bool("draining", e.Draining).
				Int64("born", e.StartUnixMs).Str("version", e.version).Msg("Endpoint listed.")
		}
	}
	d.news = nil
}

// removeEndpoint drops an endpoint. Around an outage of the store, entries lapse although their servers live: such an
// entry is kept until it had time to return.
func (d *directory) removeEndpoint(id string) {
	if _, known := d.endpoints[id]; known && time.Now().Before(d.returned.Add(returnGrace)) && !d.endpoints[id].Draining {
		until := d.returned.Add(returnGrace)
		if _, ok := d.lapsed[id]; !ok {
			d.lapsed[id] = until
		}
		return
	}
	d.forget(id, "entry removed")
}

func (d *directory) forget(id, reason string) {
	_, kind := d.h.opts.Codec.Kinds()
	d.drop(kind, id)
	if _, ok := d.endpoints[id]; ok {
		delete(d.endpoints, id)
		delete(d.lapsed, id)
		delete(d.leaving, id)
		d.changedEndpoints[id] = true
		d.log.Info().Str("endpoint", id).Str("reason", reason).Msg("Endpoint gone.")
	}
}

// leaves notes that a process of an endpoint has said that it leaves, whatever the list shows. It returns whether that is
// news.
func (d *directory) leaves(id string, born int64, how string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, listed := d.endpoints[id]
	if said, known := d.leaving[id]; !listed || e.StartUnixMs != born || known && said == born {
		return false
	}
	d.leaving[id] = born
	d.changedEndpoints[id] = true
	d.log.Info().Str("endpoint", id).Int64("born", born).Str("how", how).Msg("Endpoint leaves.")
	d.publish()
	return true
}

// saidLeaving returns the listed endpoints that have said that they leave.
func (d *directory) saidLeaving() []wire.EndpointLeaves {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []wire.EndpointLeaves
	for id, born := range d.leaving {
		out = append(out, wire.EndpointLeaves{Endpoint: id, Born: born})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

func (d *directory) keepEndpoints(names map[string]bool) {
	d.listed = true
	_, kind := d.h.opts.Codec.Kinds()
	for _, id := range d.mirror.missing(kind, names) {
		d.removeEndpoint(id)
	}
}

func (d *directory) dropLapsed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for id, until := range d.lapsed {
		if now.After(until) {
			d.forget(id, "entry did not return after an outage of the store")
			changed = true
		}
	}
	if changed {
		d.publish()
	}
}

func (d *directory) putHost(o objects.Object) {
	h, err := objects.Decode[fleet.Host](o)
	if err != nil {
		d.log.Warn().Str("object", o.Name).Err(err).Msg("Host entry can't be read.")
		return
	}
	h.Name = o.Name
	if rev, err := strconv.ParseUint(o.Version, 10, 64); err == nil {
		h.Revision = rev
	}
	d.hosts[o.Name] = h
	d.hostsChanged = true
	if o.Name == d.h.deployment().Host {
		d.own = o.Version
		if h.Incarnation != d.h.incarnation {
			delete(d.hosts, o.Name) // of an earlier process: its place in the order is not ours
		}
	}
}

func (d *directory) removeHost(name string) {
	delete(d.hosts, name)
	d.hostsChanged = true
	d.drop(kindHosts, name)
	if name == d.h.deployment().Host {
		d.own = ""
		d.nudge()
	}
}

func (d *directory) keepHosts(names map[string]bool) {
	d.known.Store(true)
	for _, name := range d.mirror.missing(kindHosts, names) {
		d.removeHost(name)
	}
	d.nudge()
}

func (d *directory) complete() bool {
	v := d.view()
	return v.Config != nil && v.EndpointsListed
}
