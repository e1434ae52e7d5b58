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
	dispatcherEvents = 16384                  // some seconds of asks at the target size
	busyTick         = 15 * time.Millisecond  // bounds how late a hopeless request is refused
	mostEarly        = 4096                   // events that wait for the view
	passedUpdates    = 4096                   // changes of the view that wait to be passed on
	idleTick         = 100 * time.Millisecond // without waiting requests
	stateEvery       = 150 * time.Millisecond // between broadcasts; they also prove that the dispatcher lives
	rebuildTime      = 120 * time.Millisecond // in which hosts send what they have in flight
	holderSilence    = 700 * time.Millisecond // without a beat, no holder is announced
	loadsEvery       = 5                      // broadcasts with the loads of endpoints to one host
	// passedShare bounds a change of the view to all hosts together, in seconds of this host's link. The store has more
	// bandwidth than a host.
	passedShare = 0.2
	// answeredShare bounds the answers to hosts that ask for what they lack, as a share of this host's link.
	answeredShare = 0.4
	unknownMbps   = 10.0 // of a link, where the deployment does not state it
	// batchFor is how long changes are collected before they are passed on: in a large fleet they come dozens of times a
	// second, and each message costs every host.
	batchFor = 60 * time.Millisecond
)

type dispatcherEvent struct {
	host string
	peer peer
	m    wire.Message // nil for the end of the connection
}

// dispatcher hosts the queue of the fleet. It keeps no state until a host turns to it. One goroutine runs it.
type dispatcher struct {
	h      *Host
	log    telemetry.Logger
	events *ring.Ring[dispatcherEvent]
	viewed chan struct{}
	passed *ring.Ring[*wire.ViewUpdate]
	start  time.Time

	state   *sched.State
	peers   map[string]peer
	sent    time.Time // of the latest broadcast
	beat    wire.HolderBeat
	beatAt  time.Time
	early   []dispatcherEvent // that came before the view was known
	loads   []wire.StoreLoads // as a holder of the placement lease told them
	loadsAt time.Time
	relays  relays
	round   uint64 // of the broadcasts
	answers allowance
	batch   []*wire.ViewUpdate // changes that are passed on together
}

func newDispatcher(h *Host) *dispatcher {
	return &dispatcher{
		h: h, log: h.log.Part("dispatcher"), events: ring.New[dispatcherEvent](dispatcherEvents), viewed: make(chan struct{}, 1),
		passed: ring.New[*wire.ViewUpdate](passedUpdates), start: time.Now(), peers: make(map[string]peer),
	}
}

// push queues a message. One that is lost would leave a place counted for ever, so the connection is closed and the host
// sends its state again.
func (d *dispatcher) push(host string, p peer, m wire.Message) {
	if !d.events.TryPush(dispatcherEvent{host, p, m}) && m != nil {
		p.Close()
	}
}

func (d *dispatcher) viewChanged() {
	select {
	case d.viewed <- struct{}{}:
	default:
	}
}

// passOn queues changes of the view for the other hosts. Hosts that miss one notice it by the summaries.
func (d *dispatcher) passOn(updates []*wire.ViewUpdate) {
	for _, u := range updates {
		if !d.passed.TryPush(u) {
			d.log.Warn().Str("kind", u.Of).Msg("Change not passed on, too many are waiting.")
			return
		}
	}
}

func (d *dispatcher) now() time.Duration { return time.Since(d.start) }

func (d *dispatcher) run(ctx context.Context) {
	t := time.NewTimer(idleTick)
	t.Stop()
	defer t.Stop()
	ticking := false
	var batched <-chan time.Time
	for {
		if on := d.state != nil; on != ticking {
			if ticking = on; on {
				t.Reset(d.pause())
			}
		}
		select {
		case <-ctx.Done():
			return
		case e := <-d.events.C():
			d.guard(func() { d.handle(e) })
		case u := <-d.passed.C():
			if d.batch = append(d.batch, u); len(d.batch) == 1 {
				batched = time.After(batchFor)
			}
		case <-batched:
			d.guard(d.passBatch)
		case <-d.viewed:
			d.guard(func() {
				if d.state != nil {
					d.state.SetView(d.now(), d.h.directory.view())
				}
				d.takeEarly()
			})
		case <-t.C:
			d.guard(d.tick)
			if ticking = d.state != nil; ticking {
				t.Reset(d.pause())
			}
		}
		d.guard(d.flush)
	}
}

// guard runs a step of the duty. After an unexpected error the queue may be inconsistent: it is given up, and hosts send
// what they have in flight and waiting again.
func (d *dispatcher) guard(step func()) {
	if catchPanic(d.log, "dispatcher", step) == nil {
		return
	}
	peers := d.peers
	d.state, d.peers, d.early = nil, make(map[string]peer), nil
	for _, p := range peers {
		p.Close()
	}
}

// pass sends a change of the view to the other hosts. One that is too long for the link is only announced.
func (d *dispatcher) pass(u *wire.ViewUpdate) {
	u = d.within(u)
	for host, p := range d.peers {
		if host != d.h.deployment().Host {
			d.send(p, u)
		}
	}
}

// passBatch sends the changes that were collected.
func (d *dispatcher) passBatch() {
	batch := d.batch
	for {
		select {
		case u := <-d.passed.C():
			batch = append(batch, u)
			continue
		default:
		}
		break
	}
	d.batch = nil
	for _, u := range merged(batch, d.mostPassed()) {
		d.pass(u)
	}
}

// within returns an update, or its announcement if all hosts together would get too many bytes.
func (d *dispatcher) within(u *wire.ViewUpdate) *wire.ViewUpdate {
	if float64(size(u)) > d.mostPassed() {
		return &wire.ViewUpdate{Of: u.Of, Fetch: true}
	}
	return u
}

// mostPassed returns the bytes that one change may have for each host.
func (d *dispatcher) mostPassed() float64 {
	return passedShare * d.linkBytes() / float64(max(len(d.peers), 1))
}

// linkBytes returns the bytes that this host's link carries in a second.
func (d *dispatcher) linkBytes() float64 {
	mbps := d.h.deployment().LinkMbps
	if mbps <= 0 {
		mbps = unknownMbps
	}
	return mbps * 1e6 / 8
}

// answer returns what a host lacks. While many hosts ask, for example at the start of a fleet, those beyond the link's
// allowance read the store.
func (d *dispatcher) answer(m *wire.ViewAsk) *wire.ViewUpdate {
	u := d.h.directory.since(m)
	rate := answeredShare * d.linkBytes()
	if !d.answers.take(d.now(), float64(size(u)), rate) {
		return &wire.ViewUpdate{Of: u.Of, Fetch: true}
	}
	return u
}

// allowance is a token bucket that holds one second's worth.
type allowance struct {
	used float64
	at   time.Duration
}

func (a *allowance) take(now time.Duration, n, rate float64) bool {
	a.used = max(a.used-rate*(now-a.at).Seconds(), 0)
	a.at = now
	if a.used > 0 && a.used+n > rate {
		return false
	}
	a.used += n
	return true
}

func (d *dispatcher) pause() time.Duration {
	if d.state != nil && d.state.Waiting() > 0 {
		return busyTick
	}
	return idleTick
}

func (d *dispatcher) tick() {
	if d.state == nil {
		return
	}
	if d.beatAt.Before(time.Now().Add(-holderSilence)) {
		d.state.SetHolder(d.now(), nil)
	}
	d.state.Tick(d.now())
	if now := time.Now(); now.Sub(d.sent) >= stateEvery {
		d.sent = now
		d.broadcast()
	}
}

func (d *dispatcher) broadcast() {
	d.passBatch() // what the summaries tell of has been passed on before them
	full, loads, brief := d.states()
	d.round++
	for host, p := range d.peers {
		switch {
		case host == d.beat.Host:
			d.send(p, full)
		case xxhash.Sum64String(host)%loadsEvery == d.round%loadsEvery:
			d.send(p, loads)
		default:
			d.send(p, brief)
		}
	}
}

// states returns what the dispatcher tells the holder of the placement lease, what it tells other hosts at times, and what
// it tells them each time. The demand for models is for the host that plans copies, and the loads of endpoints matter to a
// host that has to decide alone only: sent to all each time, they would fill the dispatcher's link in a large fleet.
func (d *dispatcher) states() (full, loads, brief *wire.FleetState) {
	brief = d.brief()
	l, f := *brief, d.state.Load()
	l.Endpoints, l.Hosts = f.Endpoints, f.Hosts
	all := l
	all.Models, all.Weights = f.Models, f.Weights
	all.StoreLoads, all.LoadsTold = d.storeLoads()
	return &all, &l, brief
}

// brief returns what every host needs at any time.
func (d *dispatcher) brief() *wire.FleetState {
	f := &wire.FleetState{Leaving: d.h.directory.saidLeaving()}
	own := d.h.directory.current()
	before := d.relays.since
	f.Relays = d.relays.choose(time.Now(), own, d.h.binder.isDispatcher(), d.candidates())
	if d.relays.since != before {
		d.log.Info().Strs("relays", f.Relays).Msg("Store lost, relays chosen.")
	}
	f.Current = (own || d.relays.works(time.Now())) && d.h.binder.isDispatcher()
	if f.Current {
		f.Views = d.h.directory.summaries()
	}
	if time.Since(d.beatAt) < holderSilence {
		f.Holder, f.Epoch = d.beat.Host, d.beat.Epoch
	} else if d.beat.Leaving {
		f.Vacant, f.Epoch = true, d.beat.Epoch
	}
	return f
}

// storeLoads returns the loads that holders have told, with their ages now.
func (d *dispatcher) storeLoads() ([]wire.StoreLoads, bool) {
	if d.loadsAt.IsZero() {
		return nil, false
	}
	passed := uint32(time.Since(d.loadsAt).Milliseconds())
	out := make([]wire.StoreLoads, 0, len(d.loads))
	for _, l := range d.loads {
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
	if !d.h.directory.complete() {
		d.handleEarly(e)
		return
	}
	d.takeEarly()
	d.process(e)
}

// handleEarly keeps an event for the time when the view is known: without it, requests would be turned away that can be
// served. The host that sent it is told that the dispatcher is there, so that it waits.
func (d *dispatcher) handleEarly(e dispatcherEvent) {
	if e.m == nil {
		d.down(e)
		return
	}
	if d.peers[e.host] != e.peer && e.m.Kind() == wire.KindResync {
		d.up(e)
	}
	if d.early = append(d.early, e); len(d.early) > mostEarly {
		d.refuseEarly()
	}
}

// takeEarly handles the events that came before the view was known, once it is.
func (d *dispatcher) takeEarly() {
	if len(d.early) == 0 || !d.h.directory.complete() {
		return
	}
	early := d.early
	d.early = nil
	if d.state != nil {
		d.state.SetView(d.now(), d.h.directory.view()) // it was made without one
	}
	for _, e := range early {
		d.process(e)
	}
}

// refuseEarly closes the connections of hosts that have waited for the view: they turn to another dispatcher.
func (d *dispatcher) refuseEarly() {
	for _, e := range d.early {
		e.peer.Close()
	}
	d.early = nil
}

func (d *dispatcher) process(e dispatcherEvent) {
	if e.m == nil {
		d.down(e)
		return
	}
	if d.peers[e.host] != e.peer {
		if e.m.Kind() != wire.KindResync {
			return // of an earlier connection, or of one that has not sent its state
		}
		d.up(e)
	}
	now := d.now()
	switch m := e.m.(type) {
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
		d.holderBeat(m)
	case *wire.ViewAsk:
		d.send(e.peer, d.answer(m))
	case *wire.EndpointLeaves:
		if d.h.directory.leaves(m.Endpoint, m.Born, "by host "+e.host) {
			d.state.SetView(now, d.h.directory.view())
		}
	case *wire.RelayBeat:
		if d.relays.heard(time.Now(), e.host, m.Current) {
			d.follow(e.peer, m.Views)
		}
	case *wire.ViewUpdate:
		if !d.h.directory.updates.TryPush(passedOn{update: m}) {
			d.log.Warn().Str("host", e.host).Str("kind", m.Of).Msg("Change from a relay not taken, too many are waiting.")
		}
	}
}

// follow asks a relay for what this host lacks.
func (d *dispatcher) follow(p peer, views []wire.ViewSummary) {
	for _, ask := range d.h.directory.compare(time.Now(), views) {
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

// holderBeat takes the word of the holder with the highest epoch.
func (d *dispatcher) holderBeat(m *wire.HolderBeat) {
	if m.Epoch < d.beat.Epoch {
		return
	}
	if m.StoreLoads != nil {
		d.loads, d.loadsAt = m.StoreLoads, time.Now()
	}
	d.beat, d.beatAt = *m, time.Now()
	if m.Leaving {
		d.beatAt = time.Time{}
		d.state.SetHolder(d.now(), nil)
		d.broadcast() // hosts that may take the lease over need not wait for its end
		return
	}
	d.state.SetHolder(d.now(), m)
}

func (d *dispatcher) up(e dispatcherEvent) {
	if d.state == nil {
		dep := d.h.deployment()
		d.state = sched.New(d.now(), sched.Config{
			Seed: d.h.incarnation, RetryRatio: dep.RetryRatio, RetryExtra: dep.RetryExtra, RetryWindow: dep.RetryWindow, Rebuild: rebuildTime,
		}, d.h.directory.view())
		d.log.Info().Str("first", e.host).Msg("Dispatcher's duty taken.")
	}
	d.peers[e.host] = e.peer
	d.state.HostUp(d.now(), e.host)
	d.send(e.peer, d.brief()) // a host that has just started learns what to ask for
}

func (d *dispatcher) down(e dispatcherEvent) {
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
