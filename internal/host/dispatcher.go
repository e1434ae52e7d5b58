package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"sycamoredeal/internal/limits"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

const (
	eventQueueSize     = 16384                  // some seconds of asks at the target size
	busyTickInterval   = 15 * time.Millisecond  // while requests wait; bounds how late a request without a chance is refused
	maxDeferredEvents  = 4096                   // events that wait for a complete view
	updateQueueSize    = 4096                   // changes of the view that wait to be forwarded or applied
	idleTickInterval   = 100 * time.Millisecond // while no request waits
	broadcastInterval  = 150 * time.Millisecond // broadcasts also show that the dispatcher is alive
	rebuildDuration    = 120 * time.Millisecond // in which hosts report their requests in flight to a new dispatcher
	holderTimeout      = 700 * time.Millisecond // without a beat, after which no holder is announced
	broadcastsPerLoads = 5                      // number of broadcasts to a host of which one has the loads of endpoints
	firstReadTime      = 100 * time.Millisecond // in which a host that becomes the dispatcher reads the store, before it chooses relays
	// maxUpdateLinkShare limits the size of one view update, summed over all hosts, in seconds of this host's link.
	// Hosts read longer changes from the store, which has more bandwidth than a host.
	maxUpdateLinkShare = 0.2
	// maxAnswerLinkShare limits the answers to hosts that ask for missing objects, as a share of this host's link.
	maxAnswerLinkShare = 0.4
	// answerBurstTime limits the answers that wait for the link together, in time of the link. Grants wait behind them, and
	// hosts that connect give up after connectTimeout.
	answerBurstTime = 50 * time.Millisecond
	defaultLinkMbps = 10.0 // if the deployment does not state the link's bandwidth
	// batchDelay is how long changes are collected before they are forwarded. In a large fleet they come dozens of
	// times a second, and every host has to process each message.
	batchDelay = 60 * time.Millisecond
)

// dispatcherEvent is a message from a host, or the end of its connection.
type dispatcherEvent struct {
	host    string
	peer    peer
	message wire.Message // nil for the end of the connection
}

// dispatcher runs the fleet's request queue. It has no state until a host connects to it. Only the goroutine of run
// uses the fields from state on.
type dispatcher struct {
	h              *Host
	log            telemetry.Logger
	events         *ring.Ring[dispatcherEvent]
	viewWake       chan struct{}                // signals a new view
	pendingUpdates *ring.Ring[*wire.ViewUpdate] // changes of the view for the other hosts
	announceWake   chan struct{}                // signals a change that hosts have to know before the next broadcast
	clients        sync.Map                     // names of the hosts that use this dispatcher
	start          time.Time
	quotaUnits     quotaUnits

	state               *sched.State    // nil while no host is connected
	peers               map[string]peer // by host name
	lastBroadcast       time.Time
	lastBeat            wire.HolderBeat   // from the holder with the highest epoch
	lastBeatAt          time.Time         // zero once the holder has given up the lease
	deferredEvents      []dispatcherEvent // events that wait for a complete view
	storeLoads          []wire.StoreLoads // last reported by a holder of the placement lease
	storeLoadsAt        time.Time
	usedSince           time.Time // since when this host uses its own dispatcher, zero if it does not
	relays              relaySelector
	announcedView       bool               // the last state that was sent says that the view is current
	announcedQuarantine uint64             // version of the quarantine that was sent last
	announcedLimits     uint64             // version of the limits of endpoints that was sent last
	round               uint64             // number of broadcasts so far
	answerBucket        tokenBucket        // limits the answers to ViewAsk
	batch               []*wire.ViewUpdate // changes that are collected to be sent together
	quotaRefusals       quotaRefusals
}

func newDispatcher(h *Host) *dispatcher {
	return &dispatcher{
		h: h, log: h.log.Part("dispatcher"), events: ring.New[dispatcherEvent](eventQueueSize), viewWake: make(chan struct{}, 1), announceWake: make(chan struct{}, 1),
		pendingUpdates: ring.New[*wire.ViewUpdate](updateQueueSize), start: time.Now(), peers: make(map[string]peer),
	}
}

// pushEvent queues a message, or the end of a connection if m is nil. If the queue is full, the connection is closed
// and the host sends its state again on the next one: a lost message could leave a place counted as taken forever.
func (d *dispatcher) pushEvent(host string, p peer, m wire.Message) {
	if !d.events.TryPush(dispatcherEvent{host, p, m}) && m != nil {
		p.Close()
	}
}

// viewChanged signals that the directory has a new view.
func (d *dispatcher) viewChanged() {
	select {
	case d.viewWake <- struct{}{}:
	default:
	}
}

// announce has the state of the fleet broadcast at once.
func (d *dispatcher) announce() {
	select {
	case d.announceWake <- struct{}{}:
	default:
	}
}

// hasClient reports whether a host uses this dispatcher.
func (d *dispatcher) hasClient(host string) bool {
	_, ok := d.clients.Load(host)
	return ok
}

// queueUpdates queues changes of the view for the other hosts. If the queue is full, the rest is dropped, and the hosts
// notice by the summaries in broadcasts that they lack objects.
func (d *dispatcher) queueUpdates(updates []*wire.ViewUpdate) {
	for _, u := range updates {
		if !d.pendingUpdates.TryPush(u) {
			d.log.Warn().Str("kind", u.ObjectKind).Msg("View changes not forwarded: the queue is full.")
			return
		}
	}
}

// now returns the time since the dispatcher was created.
func (d *dispatcher) now() time.Duration { return time.Since(d.start) }

// run handles events, changes of the view and timers until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	t := time.NewTimer(idleTickInterval)
	t.Stop()
	defer t.Stop()
	ticking := false
	var batched <-chan time.Time
	for {
		if active := d.state != nil; active != ticking {
			if ticking = active; active {
				t.Reset(d.tickInterval())
			}
		}
		select {
		case <-ctx.Done():
			return
		case e := <-d.events.C():
			d.runStep(func() { d.handle(e) })
		case u := <-d.pendingUpdates.C():
			if d.batch = append(d.batch, u); len(d.batch) == 1 {
				batched = time.After(batchDelay)
			}
		case <-batched:
			d.runStep(d.sendBatch)
		case <-d.viewWake:
			d.runStep(func() {
				if d.state != nil {
					d.state.SetView(d.now(), d.h.directory.view())
				}
				d.processDeferred()
				if d.state != nil && !d.announcedView && d.h.binder.isDispatcher() && d.h.directory.isCurrent() {
					d.announce() // hosts that start wait for the view
				}
			})
		case list := <-d.h.blocked.read:
			d.runStep(func() {
				if d.state != nil {
					d.state.MergeQuarantine(d.now(), list)
					d.h.blocked.update(d.state.Quarantine().List(d.now()))
				}
			})
		case <-d.announceWake:
			d.runStep(func() {
				if d.state != nil {
					d.lastBroadcast = time.Now()
					d.broadcast()
				}
			})
		case <-t.C:
			d.runStep(d.tick)
			if ticking = d.state != nil; ticking {
				t.Reset(d.tickInterval())
			}
		}
		d.runStep(d.flush)
	}
}

// runStep runs one step. After a panic the queue may be inconsistent, so the dispatcher drops its state and closes all
// connections. Hosts connect again and send their requests in flight and waiting.
func (d *dispatcher) runStep(step func()) {
	if catchPanic(d.log, "dispatcher", step) == nil {
		return
	}
	peers := d.peers
	d.h.blocked.setActive(false)
	d.state, d.peers, d.deferredEvents = nil, make(map[string]peer), nil
	d.clients.Clear()
	for _, p := range peers {
		p.Close()
	}
}

// sendUpdate sends a change of the view to the other hosts. A change that is too long for the link is only announced.
func (d *dispatcher) sendUpdate(u *wire.ViewUpdate) {
	u = d.limitUpdate(u)
	for host, p := range d.peers {
		if host != d.h.deployment().Host {
			d.send(p, u)
		}
	}
}

// sendBatch merges the collected changes with those still in the queue, and sends them.
func (d *dispatcher) sendBatch() {
	batch := d.batch
	for {
		select {
		case u := <-d.pendingUpdates.C():
			batch = append(batch, u)
			continue
		default:
		}
		break
	}
	d.batch = nil
	for _, u := range mergeUpdates(batch, d.maxUpdateBytes()) {
		d.sendUpdate(u)
	}
}

// limitUpdate returns u, or only its announcement if u is longer than maxUpdateBytes. Hosts then read the kind from the
// store.
func (d *dispatcher) limitUpdate(u *wire.ViewUpdate) *wire.ViewUpdate {
	if float64(updateSize(u)) > d.maxUpdateBytes() {
		return &wire.ViewUpdate{ObjectKind: u.ObjectKind, Fetch: true}
	}
	return u
}

// maxUpdateBytes returns the maximum size of one update to one host, in bytes.
func (d *dispatcher) maxUpdateBytes() float64 {
	return maxUpdateLinkShare * d.linkBytes() / float64(max(len(d.peers), 1))
}

// linkBytes returns the bandwidth of this host's link in bytes per second.
func (d *dispatcher) linkBytes() float64 {
	mbps := d.h.deployment().LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return mbps * 1e6 / 8
}

// viewAnswer returns the objects that the sender of m lacks. While many hosts ask, for example at the start of a fleet,
// those beyond the allowed share of the link are told to read the store.
func (d *dispatcher) viewAnswer(m *wire.ViewAsk) *wire.ViewUpdate {
	u := d.h.directory.updateSince(m)
	rate := maxAnswerLinkShare * d.linkBytes()
	if !d.answerBucket.allow(d.now(), float64(updateSize(u)), rate, answerBurstTime.Seconds()*d.linkBytes()) {
		return &wire.ViewUpdate{ObjectKind: u.ObjectKind, Fetch: true}
	}
	return u
}

// tokenBucket limits a rate. The level of its bucket counts from a full one: the tokens taken and not yet refilled, as a negative
// number.
type tokenBucket struct{ fromFull limits.Bucket }

// allow takes n tokens from the bucket, which is refilled at rate tokens per second up to capacity, and returns whether there
// were enough. A full bucket allows any n, so that a message longer than the capacity can be sent.
func (b *tokenBucket) allow(now time.Duration, n, rate, capacity float64) bool {
	b.fromFull.Refill(now, rate, 0)
	if used := -b.fromFull.Level; used > 0 && used+n > capacity {
		return false
	}
	b.fromFull.Level -= n
	return true
}

// tickInterval returns the time until the next tick.
func (d *dispatcher) tickInterval() time.Duration {
	if d.state != nil && d.state.Waiting() > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

// tick advances the queue's timers, and broadcasts the state of the fleet when it is due.
func (d *dispatcher) tick() {
	if d.state == nil {
		return
	}
	if d.lastBeatAt.Before(time.Now().Add(-holderTimeout)) {
		d.state.SetHolder(d.now(), nil)
	}
	d.state.Tick(d.now())
	if now := time.Now(); now.Sub(d.lastBroadcast) >= broadcastInterval {
		d.lastBroadcast = now
		d.broadcast()
	}
}

// send sends a message to a host. If that fails, it closes the connection: the host connects again and sends its state.
func (d *dispatcher) send(p peer, m wire.Message) {
	if p.Send(m) != nil {
		p.Close()
	}
}

// handle processes an event, or defers it until the view is complete.
func (d *dispatcher) handle(e dispatcherEvent) {
	if !d.h.directory.isComplete() {
		d.deferEvent(e)
		return
	}
	d.processDeferred()
	d.process(e)
}

// deferEvent stores an event until the view is complete: before that, requests would be refused that can be served. A
// host that connects gets the state of the fleet at once, so that it waits for the dispatcher.
func (d *dispatcher) deferEvent(e dispatcherEvent) {
	if e.message == nil {
		d.deferredEvents = slices.DeleteFunc(d.deferredEvents, func(x dispatcherEvent) bool { return x.peer == e.peer })
		d.hostDisconnected(e)
		return
	}
	if d.peers[e.host] != e.peer && e.message.Kind() == wire.KindResync {
		d.hostConnected(e)
	}
	if d.deferredEvents = append(d.deferredEvents, e); len(d.deferredEvents) > maxDeferredEvents {
		d.rejectDeferred()
	}
}

// processDeferred processes the deferred events if the view is complete.
func (d *dispatcher) processDeferred() {
	if len(d.deferredEvents) == 0 || !d.h.directory.isComplete() {
		return
	}
	deferred := d.deferredEvents
	d.deferredEvents = nil
	if d.state != nil {
		d.state.SetView(d.now(), d.h.directory.view()) // it was created with an incomplete view
	}
	for _, e := range deferred {
		d.process(e)
	}
}

// rejectDeferred closes the connections whose events are deferred, and drops the events. The hosts turn to another
// dispatcher.
func (d *dispatcher) rejectDeferred() {
	for _, e := range d.deferredEvents {
		e.peer.Close()
	}
	d.deferredEvents = nil
}

// process handles an event. The view is complete.
func (d *dispatcher) process(e dispatcherEvent) {
	if e.message == nil {
		d.hostDisconnected(e)
		return
	}
	if d.peers[e.host] != e.peer {
		if e.message.Kind() != wire.KindResync {
			return // from an earlier connection, or from one on which the host has not sent its state
		}
		d.hostConnected(e)
	}
	now := d.now()
	switch m := e.message.(type) {
	case *wire.Ask:
		d.state.Ask(now, e.host, *m)
	case *wire.Started:
		d.state.Started(now, e.host, *m)
	case *wire.Done:
		d.state.Done(now, e.host, *m)
	case *wire.Cancel:
		d.state.Cancel(now, e.host, m.ID)
	case *wire.Resync:
		d.state.Resync(now, e.host, *m)
		d.sendWarnings(e.peer)
	case *wire.HolderBeat:
		d.handleHolderBeat(m)
	case *wire.ViewAsk:
		d.send(e.peer, d.viewAnswer(m))
	case *wire.EndpointLeaves:
		if d.h.directory.markLeaving(m.Endpoint, m.StartUnixMs, "by host "+e.host) {
			d.state.SetView(now, d.h.directory.view())
		}
	case *wire.EndpointLimit:
		d.state.SetLimit(now, *m)
	case *wire.RelayBeat:
		if d.relays.recordBeat(time.Now(), e.host, m.ViewCurrent) {
			d.h.directory.recordReachedByRelay(time.Now())
			d.askRelay(e.peer, m.Views)
		}
	case *wire.ViewUpdate:
		if !d.h.directory.updates.TryPush(forwardedMessage{update: m}) {
			d.log.Warn().Str("host", e.host).Str("kind", m.ObjectKind).Msg("View change from a relay dropped: the queue is full.")
		}
	}
}

// askRelay compares a relay's summaries with the objects of this host, and asks the relay for missing ones.
func (d *dispatcher) askRelay(p peer, views []wire.ViewSummary) {
	for _, ask := range d.h.directory.compareSummaries(time.Now(), views) {
		d.send(p, ask)
	}
}

// relayCandidates returns the other hosts that are connected, in the order of the view.
func (d *dispatcher) relayCandidates() []string {
	var out []string
	for _, h := range d.h.directory.view().Hosts {
		if h.Name != d.h.deployment().Host && d.peers[h.Name] != nil {
			out = append(out, h.Name)
		}
	}
	return out
}

// handleHolderBeat records a beat of the placement lease's holder. Beats with an epoch lower than the highest one seen
// are ignored.
func (d *dispatcher) handleHolderBeat(m *wire.HolderBeat) {
	if m.Epoch < d.lastBeat.Epoch {
		return
	}
	if m.StoreLoads != nil {
		d.storeLoads, d.storeLoadsAt = m.StoreLoads, time.Now()
	}
	d.lastBeat, d.lastBeatAt = *m, time.Now()
	if m.LeaseReleased {
		d.lastBeatAt = time.Time{}
		d.state.SetHolder(d.now(), nil)
		d.broadcast() // so that hosts can take the lease over before it expires
		return
	}
	d.state.SetHolder(d.now(), m)
}

// hostConnected registers the connection of a host. The first host creates the state of the queue.
func (d *dispatcher) hostConnected(e dispatcherEvent) {
	if d.state == nil {
		d.state = sched.New(d.now(), sched.Config{
			Seed: d.h.incarnation, Retries: d.h.retries.limits(), Quotas: d.h.quotaSettings(), RebuildDuration: rebuildDuration,
		}, d.h.directory.view())
		d.log.Info().Str("first", e.host).Msg("Serving as dispatcher.")
		d.h.blocked.setActive(true)
	}
	d.peers[e.host] = e.peer
	d.clients.Store(e.host, struct{}{})
	d.state.HostUp(d.now(), e.host)
	d.send(e.peer, d.briefState()) // its summaries show a host that has just started which objects to ask for
}

// hostDisconnected removes the connection of a host. The state of the queue is dropped with the last one.
func (d *dispatcher) hostDisconnected(e dispatcherEvent) {
	if d.peers[e.host] != e.peer {
		return
	}
	delete(d.peers, e.host)
	d.clients.Delete(e.host)
	d.state.HostDown(d.now(), e.host)
	if len(d.peers) == 0 {
		d.state = nil
		d.h.blocked.setActive(false)
		d.log.Info().Str("last", e.host).Msg("No longer serving as dispatcher.")
	}
}
