package host

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// kindHosts holds one object for each host of the fleet, written by the host.
const kindHosts = "sycamore-hosts"

const (
	configWait   = 3 * time.Second  // of a watch: bounds how long a connection that went silent hides a change
	endpointWait = 3 * time.Second  // likewise; a leaving endpoint must be known within two seconds of a working store
	hostWait     = 10 * time.Second // hosts that vanish are noticed by their connections
	// returnGrace is the time after an outage of the store in which entries that lapsed meanwhile come back.
	returnGrace   = 2 * time.Second
	sweepLapsed   = 100 * time.Millisecond
	askSeedsAfter = 400 * time.Millisecond // without an answer of the store since the start
	seedTimeout   = 300 * time.Millisecond
	retryLeast    = 60 * time.Millisecond
	retryMost     = 700 * time.Millisecond
	// strengthClass groups hosts of like power when the order of dispatchers is formed, in thousandths of a core.
	strengthClass = 250
)

// directory keeps the view of the fleet from the store.
type directory struct {
	h    *Host
	log  telemetry.Logger
	now  atomic.Pointer[fleet.View]
	wake chan struct{} // a host object has to be written

	mu        sync.Mutex
	raw       map[string]map[string]objects.Object // by kind and name, to answer other hosts
	config    *fleet.Config
	endpoints map[string]fleet.Endpoint
	lapsed    map[string]time.Time // endpoints that vanished around an outage, until when they are kept
	listed    bool
	hosts     map[string]fleet.Host
	own       string // version of the own host object, empty if there is none
	outages   map[string]time.Time
	returned  time.Time // end of the latest outage of the list of endpoints
}

func newDirectory(h *Host) *directory {
	d := &directory{
		h: h, log: h.log.Part("directory"), wake: make(chan struct{}, 1), raw: make(map[string]map[string]objects.Object),
		endpoints: make(map[string]fleet.Endpoint), lapsed: make(map[string]time.Time), hosts: make(map[string]fleet.Host),
		outages: make(map[string]time.Time),
	}
	d.now.Store(&fleet.View{})
	return d
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
		{config, configWait, d.putConfig, func(string) {}, func(map[string]bool) {}},
		{endpoints, endpointWait, d.putEndpoint, d.removeEndpoint, d.keepEndpoints},
		{kindHosts, hostWait, d.putHost, d.removeHost, d.keepHosts},
	}
	var wg sync.WaitGroup
	for _, f := range feeds {
		wg.Go(func() { d.follow(ctx, f) })
	}
	wg.Go(func() { d.register(ctx) })
	wg.Go(func() { d.askSeeds(ctx) })
	t := time.NewTicker(sweepLapsed)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
			d.dropLapsed(time.Now())
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// follow keeps one kind up to date: it lists it, asks for changes, and lists again when the history is gone.
func (d *directory) follow(ctx context.Context, f feed) {
	backoff := objects.Backoff{Least: retryLeast, Most: retryMost}
	version := ""
	for ctx.Err() == nil {
		var err error
		if version == "" {
			version, err = d.list(ctx, f)
		} else {
			version, err = d.changes(ctx, f, version)
		}
		if ctx.Err() != nil {
			return
		}
		d.settle(f.kind, err)
		if err != nil && !errors.Is(err, objects.ErrExpired) {
			backoff.Wait(ctx, err)
		} else {
			backoff.Reset()
		}
	}
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
	d.publish()
	return version, nil
}

func (d *directory) changes(ctx context.Context, f feed, version string) (string, error) {
	events, next, err := d.h.opts.Store.Changes(ctx, f.kind, version, f.wait)
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
			delete(d.raw[f.kind], e.Object.Name)
			f.remove(e.Object.Name)
		} else {
			d.keep(e.Object)
			f.put(e.Object)
		}
	}
	d.publish()
	return next, nil
}

// keep remembers an object for hosts that can't reach the store. The caller holds the lock.
func (d *directory) keep(o objects.Object) {
	if d.raw[o.Kind] == nil {
		d.raw[o.Kind] = make(map[string]objects.Object)
	}
	d.raw[o.Kind][o.Name] = o
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
	v := &fleet.View{Config: d.config, Listed: d.listed}
	for _, e := range d.endpoints {
		v.Endpoints = append(v.Endpoints, e)
	}
	sort.Slice(v.Endpoints, func(i, j int) bool { return v.Endpoints[i].ID < v.Endpoints[j].ID })
	for _, h := range d.hosts {
		v.Hosts = append(v.Hosts, h)
	}
	sortHosts(v.Hosts)
	d.now.Store(v)
	d.h.dispatcher.viewChanged()
	d.h.binder.viewChanged()
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

func (d *directory) putEndpoint(o objects.Object) {
	e, err := d.h.opts.Codec.Endpoint(o)
	if err != nil {
		d.log.Warn().Str("endpoint", o.Name).Err(err).Msg("Entry names no server.")
		delete(d.endpoints, o.Name)
		return
	}
	old, known := d.endpoints[e.ID]
	delete(d.lapsed, e.ID)
	d.endpoints[e.ID] = e
	if !known || old.Draining != e.Draining || old.Born != e.Born {
		d.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Bool("draining", e.Draining).
			Int64("born", e.Born).Str("version", o.Version).Msg("Endpoint listed.")
	}
}

// removeEndpoint drops an endpoint. Around an outage of the store, entries lapse although their servers live: such an
// entry is kept until it had time to return.
func (d *directory) removeEndpoint(id string) {
	if until := d.returned.Add(returnGrace); time.Now().Before(until) && !d.endpoints[id].Draining {
		if _, ok := d.lapsed[id]; !ok {
			d.lapsed[id] = until
		}
		return
	}
	d.forget(id, "entry removed")
}

func (d *directory) forget(id, reason string) {
	if _, ok := d.endpoints[id]; ok {
		delete(d.endpoints, id)
		delete(d.lapsed, id)
		d.log.Info().Str("endpoint", id).Str("reason", reason).Msg("Endpoint gone.")
	}
}

func (d *directory) keepEndpoints(names map[string]bool) {
	d.listed = true
	for id := range d.endpoints {
		if !names[id] {
			d.removeEndpoint(id)
		}
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
	if o.Name == d.h.opts.Deployment.Host {
		d.own = o.Version
		if h.Incarnation != d.h.incarnation {
			delete(d.hosts, o.Name) // of an earlier process: its place in the order is not ours
		}
	}
}

func (d *directory) removeHost(name string) {
	delete(d.hosts, name)
	if name == d.h.opts.Deployment.Host {
		d.own = ""
		d.nudge()
	}
}

func (d *directory) keepHosts(names map[string]bool) {
	for name := range d.hosts {
		if !names[name] {
			d.removeHost(name)
		}
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
		for ctx.Err() == nil && !d.h.leaving.Load() {
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
	dep := &d.h.opts.Deployment
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
	err := d.h.opts.Store.Delete(ctx, objects.Object{Kind: kindHosts, Name: d.h.opts.Deployment.Host, Version: version})
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		d.log.Warn().Err(err).Msg("Host entry not removed.")
	}
}

// askSeeds takes the view of another host while the store has not answered since the start.
func (d *directory) askSeeds(ctx context.Context) {
	clock.Sleep(ctx, askSeedsAfter)
	for ctx.Err() == nil && !d.complete() {
		for _, addr := range d.h.opts.Deployment.Seeds {
			if addr != d.h.opts.Deployment.Peers && d.askSeed(ctx, addr) {
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
		case s.Kind == kindHosts && s.Name != d.h.opts.Deployment.Host:
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
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &wire.ViewReply{}
	for _, byName := range d.raw {
		for _, o := range byName {
			out.Objects = append(out.Objects, wire.StoredObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data})
		}
	}
	return out
}
