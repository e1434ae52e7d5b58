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

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
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

	own      string // version of the own host object, empty if there is none
	known    bool   // the hosts have been listed
	outages  map[string]time.Time
	passed   []*wire.ViewUpdate // changes that were not yet handed to the dispatcher
	news     []endpointNews     // not yet logged
	returned time.Time          // end of the latest outage of the list of endpoints
}

func newDirectory(h *Host) *directory {
	d := &directory{
		h: h, log: h.log.Part("directory"), wake: make(chan struct{}, 1), mirror: make(mirror),
		stale: make(map[string]bool), differs: make(map[string]difference),
		endpoints: make(map[string]fleet.Endpoint), lapsed: make(map[string]time.Time), leaving: make(map[string]int64), changedEndpoints: make(map[string]bool), hosts: make(map[string]fleet.Host),
		outages: make(map[string]time.Time), updates: ring.New[passedOn](passedUpdates),
	}
	d.now.Store(&fleet.View{})
	return d
}

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

// view returns the current view. It must not be changed.
func (d *directory) view() *fleet.View { return d.now.Load() }

// feed is one kind of objects that is followed.
type feed struct {
	kind   string
	wait   time.Duration
	put    func(o objects.Object)
	remove func(name string)
	whole  func(names map[string]bool) // removes what a list does not show
}

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

// follow keeps one kind up to date: it lists it, asks for changes, and lists again when the history is gone.
func (d *directory) follow(ctx context.Context, f feed) {
	backoff := objects.Backoff{Least: retryLeast, Most: retryMost}
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
			if backoff.Most = retryMost; !own && d.complete() {
				backoff.Most = retryOwn
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

// hostsKnown tells whether the hosts have been listed.
func (d *directory) hostsKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// current tells whether this process follows the store and has no outage.
func (d *directory) current() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.config != nil && len(d.outages) == 0
}

func (d *directory) list(ctx context.Context, f feed) (string, error) {
	list, version, err := d.h.opts.Store.List(ctx, f.kind)
	if err != nil {
		return "", err
	}
	d.settle(f.kind, nil)
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
	d.settle(f.kind, nil)
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

func (d *directory) lost(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lost := d.outages[kind]
	return lost
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

// publish makes a new view. The caller holds the lock.
func (d *directory) publish() {
	before := d.now.Load()
	v := &fleet.View{Config: d.config, Listed: d.listed, Endpoints: d.shownEndpoints(before.Endpoints), Hosts: before.Hosts}
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
		if born, said := d.leaving[id]; said && born == e.Born {
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
		if x, y := a.Strength/strengthClass, b.Strength/strengthClass; x != y {
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
	if !known || old.Draining != e.Draining || old.Born != e.Born {
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
				Int64("born", e.Born).Str("version", e.version).Msg("Endpoint listed.")
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
	if said, known := d.leaving[id]; !listed || e.Born != born || known && said == born {
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
	d.known = true
	for _, name := range d.mirror.missing(kindHosts, names) {
		d.removeHost(name)
	}
	d.nudge()
}

func (d *directory) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// register keeps the own host object in the store.
func (d *directory) register(ctx context.Context) {
	backoff := objects.Backoff{Least: retryLeast, Most: retryMost}
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

// askSeeds takes the view of another host while the store has not answered since the start.
func (d *directory) askSeeds(ctx context.Context) {
	clock.Sleep(ctx, askSeedsAfter)
	for ctx.Err() == nil && !d.complete() {
		for _, addr := range d.h.deployment().Seeds {
			if addr != d.h.deployment().Peers && d.askSeed(ctx, addr) {
				d.log.Info().Str("seed", addr).Msg("View taken from another host.")
				return
			}
		}
		clock.Sleep(ctx, retryMost)
	}
}

func (d *directory) complete() bool {
	v := d.view()
	return v.Config != nil && v.Listed
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
	case d.h.binder.relays():
		for _, ask := range d.compare(time.Now(), m.views) {
			d.h.binder.tell(ask)
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
