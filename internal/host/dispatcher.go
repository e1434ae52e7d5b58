package host

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

const (
	eventQueueSize     = 16384                  // some seconds of asks at the target size
	busyTickInterval   = 15 * time.Millisecond  // bounds how late a hopeless request is refused
	maxDeferredEvents  = 4096                   // events that wait for the view
	updateQueueSize    = 4096                   // changes of the view that wait to be passed on
	idleTickInterval   = 100 * time.Millisecond // without waiting requests
	broadcastInterval  = 150 * time.Millisecond // between broadcasts; they also prove that the dispatcher lives
	rebuildDuration    = 120 * time.Millisecond // in which hosts send what they have in flight
	holderTimeout      = 700 * time.Millisecond // without a beat, no holder is announced
	broadcastsPerLoads = 5                      // broadcasts with the loads of endpoints to one host
	// maxUpdateLinkShare bounds a change of the view to all hosts together, in seconds of this host's link. The store has more
	// bandwidth than a host.
	maxUpdateLinkShare = 0.2
	// maxAnswerLinkShare bounds the answers to hosts that ask for what they lack, as a share of this host's link.
	maxAnswerLinkShare = 0.4
	defaultLinkMbps    = 10.0 // of a link, where the deployment does not state it
	// batchDelay is how long changes are collected before they are passed on: in a large fleet they come dozens of times a
	// second, and each message costs every host.
	batchDelay = 60 * time.Millisecond
)

type dispatcherEvent struct {
	host    string
	peer    peer
	message wire.Message // nil for the end of the connection
}

// dispatcher hosts the queue of the fleet. It keeps no state until a host turns to it. One goroutine runs it.
type dispatcher struct {
	h              *Host
	log            telemetry.Logger
	events         *ring.Ring[dispatcherEvent]
	viewWake       chan struct{}
	pendingUpdates *ring.Ring[*wire.ViewUpdate]
	start          time.Time

	state          *sched.State
	peers          map[string]peer
	lastBroadcast  time.Time // of the latest broadcast
	lastBeat       wire.HolderBeat
	lastBeatAt     time.Time
	deferredEvents []dispatcherEvent // that came before the view was known
	storeLoads     []wire.StoreLoads // as a holder of the placement lease told them
	storeLoadsAt   time.Time
	relays         relaySelector
	round          uint64 // of the broadcasts
	answerBucket   tokenBucket
	batch          []*wire.ViewUpdate // changes that are passed on together
}

func newDispatcher(h *Host) *dispatcher {
	return &dispatcher{
		h: h, log: h.log.Part("dispatcher"), events: ring.New[dispatcherEvent](eventQueueSize), viewWake: make(chan struct{}, 1),
		pendingUpdates: ring.New[*wire.ViewUpdate](updateQueueSize), start: time.Now(), peers: make(map[string]peer),
	}
}

// pushEvent queues a message. One that is lost would leave a place counted for ever, so the connection is closed and the host
// sends its state again.
func (d *dispatcher) pushEvent(host string, p peer, m wire.Message) {
	if !d.events.TryPush(dispatcherEvent{host, p, m}) && m != nil {
		p.Close()
	}
}

func (d *dispatcher) viewChanged() {
	select {
	case d.viewWake <- struct{}{}:
	default:
	}
}

// queueUpdates queues changes of the view for the other hosts. Hosts that miss one notice it by the summaries.
func (d *dispatcher) queueUpdates(updates []*wire.ViewUpdate) {
	for _, u := range updates {
		if !d.pendingUpdates.TryPush(u) {
			d.log.Warn().Str("kind", u.Of).Msg("Change not passed on, too many are waiting.")
			return
		}
	}
}

func (d *dispatcher) now() time.Duration { return time.Since(d.start) }

func (d *dispatcher) run(ctx context.Context) {
	t := time.NewTimer(idleTickInterval)
	t.Stop()
	defer t.Stop()
	ticking := false
	var batched <-chan time.Time
	for {
		if on := d.state != nil; on != ticking {
			if ticking = on; on {
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

// runStep runs a step of the duty. After an unexpected error the queue may be inconsistent: it is given up, and hosts send
// what they have in flight and waiting again.
func (d *dispatcher) runStep(step func()) {
	if guarded(d.log, "dispatcher", step) == nil {
		return
	}
	peers := d.peers
	d.state, d.peers, d.deferredEvents = nil, make(map[string]peer), nil
	for _, p := range peers {
		p.Close()
	}
}

// sendUpdate sends a change of the view to the other hosts. One that is too long for the link is only announced.
func (d *dispatcher) sendUpdate(u *wire.ViewUpdate) {
	u = d.limitUpdate(u)
	for host, p := range d.peers {
		if host != d.h.deployment().Host {
			d.send(p, u)
		}
	}
}

// sendBatch sends the changes that were collected.
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

// limitUpdate returns an update, or its announcement if all hosts together would get too many bytes.
func (d *dispatcher) limitUpdate(u *wire.ViewUpdate) *wire.ViewUpdate {
	if float64(updateSize(u)) > d.maxUpdateBytes() {
		return &wire.ViewUpdate{Of: u.Of, Fetch: true}
	}
	return u
}

// maxUpdateBytes returns the bytes that one change may have for each host.
func (d *dispatcher) maxUpdateBytes() float64 {
	return maxUpdateLinkShare * d.linkBytes() / float64(max(len(d.peers), 1))
}

// linkBytes returns the bytes that this host's link carries in a second.
func (d *dispatcher) linkBytes() float64 {
	mbps := d.h.deployment().LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return mbps * 1e6 / 8
}

// viewAnswer returns what a host lacks. While many hosts ask, for example at the start of a fleet, those beyond the link's
// allowance read the store.
func (d *dispatcher) viewAnswer(m *wire.ViewAsk) *wire.ViewUpdate {
	u := d.h.directory.updateSince(m)
	rate := maxAnswerLinkShare * d.linkBytes()
	if !d.answerBucket.allow(d.now(), float64(updateSize(u)), rate) {
		return &wire.ViewUpdate{Of: u.Of, Fetch: true}
	}
	return u
}

// tokenBucket is a token bucket that holds one second's worth.
type tokenBucket struct {
	used      float64
	updatedAt time.Duration
}

func (a *tokenBucket) allow(now time.Duration, n, rate float64) bool {
	a.used = max(a.used-rate*(now-a.updatedAt).Seconds(), 0)
	a.updatedAt = now
	if a.used > 0 && a.used+n > rate {
		return false
	}
	a.used += n
	return true
}

func (d *dispatcher) tickInterval() time.Duration {
	if d.state != nil && d.state.Waiting() > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

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

func (d *dispatcher) broadcast() {
	d.sendBatch() // what the summaries tell of has been passed on before them
	full, loads, brief := d.fleetStates()
	d.round++
	for host, p := range d.peers {
		switch {
		case host == d.lastBeat.Host:
			d.send(p, full)
		case xxhash.Sum64String(host)%broadcastsPerLoads == d.round%broadcastsPerLoads:
			d.send(p, loads)
		default:
			d.send(p, brief)
		}
	}
}

// fleetStates returns what the dispatcher tells the holder of the placement lease, what it tells other hosts at times, and what
// it tells them each time. The demand for models is for the host that plans copies, and the loads of endpoints matter to a
// host that has to decide alone only: sent to all each time, they would fill the dispatcher's link in a large fleet.
func (d *dispatcher) fleetStates() (full, loads, brief *wire.FleetState) {
	brief = d.briefState()
	l, f := *brief, d.state.Load()
	l.Endpoints, l.Hosts = f.Endpoints, f.Hosts
	all := l
	all.Models, all.Weights = f.Models, f.Weights
	all.StoreLoads, all.LoadsTold = d.agedStoreLoads()
	return &all, &l, brief
}

// briefState returns what every host needs at any time.
func (d *dispatcher) briefState() *wire.FleetState {
	f := &wire.FleetState{Leaving: d.h.directory.leavingEndpoints()}
	own := d.h.directory.isCurrent()
	before := d.relays.chosenAt
	f.Relays = d.relays.choose(time.Now(), own, d.h.binder.isDispatcher(), d.candidates())
	if d.relays.chosenAt != before {
		d.log.Info().Strs("relays", f.Relays).Msg("Store lost, relays chosen.")
	}
	f.Current = (own || d.relays.available(time.Now())) && d.h.binder.isDispatcher()
	if f.Current {
		f.Views = d.h.directory.summaries()
	}
	if time.Since(d.lastBeatAt) < holderTimeout {
		f.Holder, f.Epoch = d.lastBeat.Host, d.lastBeat.Epoch
	} else if d.lastBeat.Leaving {
		f.Vacant, f.Epoch = true, d.lastBeat.Epoch
	}
	return f
}

// agedStoreLoads returns the loads that holders have told, with their ages now.
func (d *dispatcher) agedStoreLoads() ([]wire.StoreLoads, bool) {
	if d.storeLoadsAt.IsZero() {
		return nil, false
	}
	passed := uint32(time.Since(d.storeLoadsAt).Milliseconds())
	out := make([]wire.StoreLoads, 0, len(d.storeLoads))
	for _, l := range d.storeLoads {
		aged := wire.StoreLoads{Service: l.Service}
		for _, a := range l.AgesMs {
			aged.AgesMs = append(aged.AgesMs, a+passed)
		}
		out = append(out, aged)
	}
	return out, true
}

// send closes a connection that can't take a message: its host connects again and sends its state.
func (d *dispatcher) send(p peer, m wire.Message) {
	if p.Send(m) != nil {
		p.Close()
	}
}

func (d *dispatcher) handle(e dispatcherEvent) {
	if !d.h.directory.isComplete() {
		d.deferEvent(e)
		return
	}
	d.processDeferred()
	d.process(e)
}

// deferEvent keeps an event for the time when the view is known: without it, requests would be turned away that can be
// served. The host that sent it is told that the dispatcher is there, so that it waits.
func (d *dispatcher) deferEvent(e dispatcherEvent) {
	if e.message == nil {
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

// processDeferred handles the events that came before the view was known, once it is.
func (d *dispatcher) processDeferred() {
	if len(d.deferredEvents) == 0 || !d.h.directory.isComplete() {
		return
	}
	early := d.deferredEvents
	d.deferredEvents = nil
	if d.state != nil {
		d.state.SetView(d.now(), d.h.directory.view()) // it was made without one
	}
	for _, e := range early {
		d.process(e)
	}
}

// rejectDeferred closes the connections of hosts that have waited for the view: they turn to another dispatcher.
func (d *dispatcher) rejectDeferred() {
	for _, e := range d.deferredEvents {
		e.peer.Close()
	}
	d.deferredEvents = nil
}

func (d *dispatcher) process(e dispatcherEvent) {
	if e.message == nil {
		d.hostDisconnected(e)
		return
	}
	if d.peers[e.host] != e.peer {
		if e.message.Kind() != wire.KindResync {
			return // of an earlier connection, or of one that has not sent its state
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
	case *wire.HolderBeat:
		d.handleHolderBeat(m)
	case *wire.ViewAsk:
		d.send(e.peer, d.viewAnswer(m))
	case *wire.EndpointLeaves:
		if d.h.directory.markLeaving(m.Endpoint, m.Born, "by host "+e.host) {
			d.state.SetView(now, d.h.directory.view())
		}
	case *wire.RelayBeat:
		if d.relays.recordBeat(time.Now(), e.host, m.Current) {
			d.askRelay(e.peer, m.Views)
		}
	case *wire.ViewUpdate:
		if !d.h.directory.updates.TryPush(forwardedMessage{update: m}) {
			d.log.Warn().Str("host", e.host).Str("kind", m.Of).Msg("Change from a relay not taken, too many are waiting.")
		}
	}
}

// askRelay asks a relay for what this host lacks.
func (d *dispatcher) askRelay(p peer, views []wire.ViewSummary) {
	for _, ask := range d.h.directory.compareSummaries(time.Now(), views) {
		d.send(p, ask)
	}
}

// candidates returns the other hosts that are connected, in the order of the view.
func (d *dispatcher) candidates() []string {
	var out []string
	for _, h := range d.h.directory.view().Hosts {
		if h.Name != d.h.deployment().Host && d.peers[h.Name] != nil {
			out = append(out, h.Name)
		}
	}
	return out
}

// handleHolderBeat takes the word of the holder with the highest epoch.
func (d *dispatcher) handleHolderBeat(m *wire.HolderBeat) {
	if m.Epoch < d.lastBeat.Epoch {
		return
	}
	if m.StoreLoads != nil {
		d.storeLoads, d.storeLoadsAt = m.StoreLoads, time.Now()
	}
	d.lastBeat, d.lastBeatAt = *m, time.Now()
	if m.Leaving {
		d.lastBeatAt = time.Time{}
		d.state.SetHolder(d.now(), nil)
		d.broadcast() // hosts that may take the lease over need not wait for its end
		return
	}
	d.state.SetHolder(d.now(), m)
}

func (d *dispatcher) hostConnected(e dispatcherEvent) {
	if d.state == nil {
		dep := d.h.deployment()
		d.state = sched.New(d.now(), sched.Config{
			Seed: d.h.incarnation, RetryRatio: dep.RetryRatio, RetryExtra: dep.RetryExtra, RetryWindow: dep.RetryWindow, Rebuild: rebuildDuration,
		}, d.h.directory.view())
		d.log.Info().Str("first", e.host).Msg("Dispatcher's duty taken.")
	}
	d.peers[e.host] = e.peer
	d.state.HostUp(d.now(), e.host)
	d.send(e.peer, d.briefState()) // a host that has just started learns what to ask for
}

func (d *dispatcher) hostDisconnected(e dispatcherEvent) {
	if d.peers[e.host] != e.peer {
		return
	}
	delete(d.peers, e.host)
	d.state.HostDown(d.now(), e.host)
	if len(d.peers) == 0 {
		d.state = nil
		d.log.Info().Str("last", e.host).Msg("Dispatcher's duty ended.")
	}
}

// flush sends the outputs of the last event.
func (d *dispatcher) flush() {
	if d.state == nil {
		return
	}
	for _, n := range d.state.Notes() {
		l := d.log.Info().Str("endpoint", n.Endpoint).Float64("failureRate", n.Rate).Float64("placesLeft", n.Left).Float64("placesNeeded", n.Needed)
		if n.Paused {
			l.Str("fault", n.Fault.String()).Int64("pauseMs", n.For.Milliseconds()).Msg("Endpoint paused.")
		} else {
			l.Msg("Endpoint used again.")
		}
	}
	for _, o := range d.state.Take() {
		if m, ok := o.Message.(*wire.Refuse); ok {
			d.log.Info().Str("request", o.Request).Str("host", o.To).Str("reason", o.Reason).Int64("waitMs", o.WaitMs).
				Int("waiting", o.Waiting).Uint32("retryMs", m.RetryAfterMs).Msg("Refused.")
		}
		if p := d.peers[o.To]; p != nil {
			d.send(p, o.Message)
		}
	}
}
