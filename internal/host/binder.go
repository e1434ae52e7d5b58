package host

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	// askTimeout is the time in which the dispatcher answers an ask. On days with a processor quota, a host stands still
	// for up to 75 ms.
	askTimeout   = 90 * time.Millisecond
	connectWait  = 300 * time.Millisecond // until a dispatcher that can't be reached is passed over
	silentFor    = 600 * time.Millisecond // without a broadcast, four are missing
	frozenGap    = 250 * time.Millisecond // by which a look is late: this process stood still, not the dispatcher
	listGrace    = 400 * time.Millisecond // after the start, for the list of hosts: one that knows no other serves itself
	followEvery  = 50 * time.Millisecond  // between two looks at a dispatcher that is not settled
	settleTime   = 400 * time.Millisecond // before a dispatcher that works is left for one that comes before it
	firstSuspect = 2 * time.Second        // time for which a silent dispatcher is passed over; doubles
	mostSuspect  = 16 * time.Second
	aloneShare   = 1.5 // of the even share of an endpoint's places that a host uses without the dispatcher
	aloneRetry   = 300 * time.Millisecond
	stateFresh   = 2 * time.Second // loads that are older say nothing
	aloneAvoid   = time.Second     // after a failure
	// unboundedWait is how long a request waits for a place if neither its caller nor its route sets a bound.
	unboundedWait = 30 * time.Second
)

// refusal is the final answer to a request that is not sent to an endpoint.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

type callState uint8

const (
	asking  callState = iota // no answer yet
	queued                   // waits at the dispatcher
	bound                    // holds a place
	refused                  // got its final answer
	given                    // no longer wanted from the dispatcher
)

type call struct {
	ask     wire.Ask
	state   callState
	changed chan struct{} // capacity 1
	grant   wire.Grant
	alone   bool
	refuse  wire.Refuse
	asked   time.Time
	times
}

// times bound an answer.
type times struct {
	until  time.Time // by when it has to begin
	target time.Time // it is late if it begins after it
	end    time.Time // by when it has to be complete, zero for no bound
}

// link is the way to one dispatcher. Its fields are guarded by the binder's lock.
type link struct {
	host   fleet.Host
	client *transport.Client // nil within the process
	conn   peer              // nil until the connection is up and after it ended
	began  time.Time
	heard  time.Time
	late   bool // did not answer in time: gets no asks until it is heard again
	down   bool
}

type suspicion struct {
	until time.Time
	times int
}

// binder gets places at endpoints, from the dispatcher or, without one, alone.
type binder struct {
	h    *Host
	log  telemetry.Logger
	wake chan struct{}

	mu       sync.Mutex
	next     uint64
	calls    map[uint64]*call
	link     *link // in use; nil at first
	coming   *link // to the dispatcher that is next in use
	suspects map[string]suspicion
	state    wire.FleetState
	stateAt  time.Time
	loadsAt  time.Time                // of the loads of endpoints in state
	alone    map[string]int           // places taken without the dispatcher, by endpoint
	budgets  map[string]*sched.Budget // of sends without the dispatcher, by service
	avoid    map[string]time.Time     // endpoints that failed, for decisions alone
	began    time.Time
	nextTick time.Time  // when the dispatcher is looked at again
	better   fleet.Host // that comes before the one in use
	betterAt time.Time  // since when
}

func newBinder(h *Host) *binder {
	return &binder{
		h: h, log: h.log.Part("binder"), began: time.Now(), wake: make(chan struct{}, 1), calls: make(map[uint64]*call),
		suspects: make(map[string]suspicion), alone: make(map[string]int), budgets: make(map[string]*sched.Budget), avoid: make(map[string]time.Time),
	}
}

func (b *binder) viewChanged() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run keeps the connection to the dispatcher until ctx ends.
func (b *binder) run(ctx context.Context) {
	t := time.NewTimer(followEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			b.mu.Lock()
			b.closeLink(b.link)
			b.closeLink(b.coming)
			b.mu.Unlock()
			return
		case <-t.C:
		case <-b.wake:
		}
		t.Reset(b.follow(ctx, time.Now()))
	}
}

// wanted returns the first host in the order that is not suspected. A host that knows no others serves itself.
func (b *binder) wanted(now time.Time) fleet.Host {
	self := b.h.deployment().Host
	for _, h := range b.h.directory.view().Hosts {
		if h.Name == self || now.After(b.suspects[h.Name].until) {
			return h
		}
	}
	return fleet.Host{Name: self, Incarnation: b.h.incarnation}
}

// follow looks at the dispatcher in use, and returns when to look again.
func (b *binder) follow(ctx context.Context, now time.Time) (next time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.link
	defer func() {
		if b.link != before {
			b.h.directory.sourceChanged.notify()
		}
		b.nextTick = now.Add(next)
	}()
	if !b.nextTick.IsZero() && now.Sub(b.nextTick) > frozenGap && b.link != nil {
		b.link.heard = now
	}
	if l := b.link; l != nil && (l.down || now.Sub(l.heard) > silentFor) {
		b.suspect(l, now)
		b.closeLink(l)
		b.link = nil
	}
	if c := b.coming; c != nil && (c.down || c.conn == nil && now.Sub(c.began) > connectWait) {
		b.suspect(c, now)
		b.closeLink(c)
		b.coming = nil
	}
	if b.link == nil && now.Sub(b.began) < listGrace && !b.h.directory.hostsListed.Load() {
		return followEvery
	}
	want := b.wanted(now)
	if b.link != nil && sameHost(b.link.host, want) {
		b.closeLink(b.coming)
		b.coming = nil
		b.better = fleet.Host{}
		return max(b.link.heard.Add(silentFor).Sub(now), followEvery)
	}
	if b.link != nil && !b.settled(want, now) {
		return followEvery
	}
	if b.coming == nil || !sameHost(b.coming.host, want) {
		b.closeLink(b.coming)
		b.coming = b.open(ctx, want, now)
	}
	if b.coming.conn != nil {
		b.swap(now)
	}
	return followEvery
}

// settled tells whether a host has come before the dispatcher in use for long enough. While many hosts register, the order
// changes often, and each switch of all hosts costs a message with all that is in flight.
func (b *binder) settled(want fleet.Host, now time.Time) bool {
	if !sameHost(b.better, want) {
		b.better, b.betterAt = want, now
	}
	return now.Sub(b.betterAt) >= settleTime
}

func sameHost(a, b fleet.Host) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Address == b.Address
}

func (b *binder) suspect(l *link, now time.Time) {
	if l.host.Name == b.h.deployment().Host {
		return
	}
	s := b.suspects[l.host.Name]
	s.until = now.Add(min(firstSuspect<<min(s.times, 8), mostSuspect))
	s.times++
	b.suspects[l.host.Name] = s
	b.log.Warn().Str("dispatcher", l.host.Name).Bool("closed", l.down).Int64("silentMs", now.Sub(l.heard).Milliseconds()).
		Time("until", s.until).Msg("Dispatcher passed over.")
}

func (b *binder) open(ctx context.Context, host fleet.Host, now time.Time) *link {
	l := &link{host: host, began: now, heard: now}
	if host.Name == b.h.deployment().Host {
		l.conn = &inProcess{b: b, l: l}
		return l
	}
	l.client = b.h.dialPeer(ctx, host.Address,
		func(c *transport.Conn, _ uint64, m wire.Message) { b.onMessage(l, m) },
		func(c *transport.Conn) { b.onUp(l, c) },
		func(c *transport.Conn) { b.onDown(l, c) })
	return l
}

func (b *binder) onUp(l *link, c *transport.Conn) {
	b.mu.Lock()
	if !l.down {
		l.conn = c
	}
	b.mu.Unlock()
	b.viewChanged()
}

func (b *binder) onDown(l *link, c *transport.Conn) {
	b.mu.Lock()
	if l.conn == peer(c) {
		l.conn, l.down = nil, true
	}
	b.mu.Unlock()
	b.viewChanged()
}

func (b *binder) closeLink(l *link) {
	if l == nil {
		return
	}
	l.down = true
	if l.conn != nil {
		l.conn.Close()
	}
	if l.client != nil {
		go l.client.Close() // waits for its goroutine, which may wait for the lock
	}
}

// swap turns to the new dispatcher and tells it what is in flight and waiting. The caller holds the lock.
func (b *binder) swap(now time.Time) {
	before := ""
	if b.link != nil {
		before = b.link.host.Name
	}
	b.closeLink(b.link)
	b.link, b.coming = b.coming, nil
	b.link.heard = now
	b.state.ViewCurrent = false // until the new one says so
	r := &wire.Resync{}
	for _, c := range b.calls {
		switch c.state {
		case bound:
			r.Running = append(r.Running, wire.Running{Ask: *c.message(), Endpoint: c.grant.Endpoint})
			if c.alone {
				c.alone = false
				b.leaveAlone(c.grant.Endpoint)
			}
		case asking, queued:
			r.Waiting = append(r.Waiting, *c.message())
		}
	}
	b.send(r)
	b.log.Info().Str("dispatcher", b.link.host.Name).Str("before", before).Int("running", len(r.Running)).
		Int("waiting", len(r.Waiting)).Msg("Dispatcher in use.")
}

// send passes a message to the dispatcher. The caller holds the lock.
func (b *binder) send(m wire.Message) bool {
	if b.link == nil || b.link.conn == nil {
		return false
	}
	if err := b.link.conn.Send(m); err != nil {
		b.link.conn.Close()
		return false
	}
	return true
}

// tell sends the dispatcher a message that is sent again if it is lost, such as a beat of the placement's holder.
func (b *binder) tell(m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.send(m)
}

// fleetState returns what the dispatcher last said, and its age.
func (b *binder) fleetState() (wire.FleetState, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, time.Since(b.stateAt)
}

// relays tells whether another host, as dispatcher, passes the changes of the store on.
func (b *binder) relays() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served() && b.state.ViewCurrent && !slices.Contains(b.state.Relays, b.h.deployment().Host)
}

// served tells whether another host serves as dispatcher. The caller holds the lock.
func (b *binder) served() bool {
	l := b.link
	return l != nil && l.conn != nil && l.host.Name != b.h.deployment().Host && time.Since(b.stateAt) < silentFor
}

// isRelay tells whether this host follows the store for the dispatcher.
func (b *binder) isRelay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served() && slices.Contains(b.state.Relays, b.h.deployment().Host)
}

// relayGrace is how long to wait for another host's news of the store before this host reads it.
func (b *binder) relayGrace() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.served() || len(b.state.Relays) == 0:
		return forwardGrace
	case slices.Contains(b.state.Relays, b.h.deployment().Host):
		return 0
	}
	return relaySearchGrace
}

// isDispatcher tells whether this host serves itself as dispatcher.
func (b *binder) isDispatcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.link != nil && b.link.host.Name == b.h.deployment().Host
}

func (b *binder) onMessage(l *link, m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.heard, l.late = time.Now(), false
	if b.link != l {
		return
	}
	switch m := m.(type) {
	case *wire.FleetState:
		before := &b.state
		if m.ViewCurrent != before.ViewCurrent || !slices.Equal(m.Relays, before.Relays) {
			defer b.h.directory.sourceChanged.notify()
		}
		if l.host.Name != b.h.deployment().Host {
			b.relay(l, forwardedMessage{summaries: m.Views, leaving: m.Leaving})
		}
		loads := b.state.Endpoints
		if m.Endpoints != nil {
			loads, b.loadsAt = m.Endpoints, time.Now()
		}
		b.state, b.stateAt = *m, time.Now()
		if m.LeaseVacant {
			b.h.holder.leaseIsFree()
		}
		b.state.Endpoints = loads
		delete(b.suspects, l.host.Name)
	case *wire.ViewUpdate:
		b.relay(l, forwardedMessage{update: m})
	case *wire.ViewAsk:
		go func() { b.tell(b.h.directory.updateSince(m)) }() // takes the directory's lock
	case *wire.Queued:
		if c := b.calls[m.ID]; c != nil && c.state == asking {
			c.to(queued)
		}
	case *wire.Grant:
		c := b.calls[m.ID]
		if c == nil || c.state != asking && c.state != queued {
			if c == nil {
				b.send(&wire.Cancel{ID: m.ID})
			}
			return
		}
		c.grant = *m
		c.to(bound)
	case *wire.Refuse:
		if c := b.calls[m.ID]; c != nil && (c.state == asking || c.state == queued) {
			delete(b.calls, m.ID)
			c.refuse = *m
			c.to(refused)
		}
	}
}

// relay queues what the dispatcher passes on. The caller holds the lock.
func (b *binder) relay(l *link, m forwardedMessage) {
	if !b.h.directory.updates.TryPush(m) {
		l.conn.Close() // the summaries on the next connection show what is missing
	}
}

func (c *call) to(s callState) {
	c.state = s
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// message returns a copy of the ask with the time that is left.
func (c *call) message() *wire.Ask {
	m := c.ask
	now := time.Now()
	left := unboundedWait
	if !c.until.IsZero() {
		left = c.until.Sub(now)
	}
	m.DeadlineMs = uint32(max(left.Milliseconds(), 1))
	m.TargetMs = uint32(max(c.target.Sub(now).Milliseconds(), 0))
	if !c.end.IsZero() {
		m.EndMs = uint32(max(c.end.Sub(now).Milliseconds(), 1))
	}
	return &m
}

// binding is a place at an endpoint. Exactly one of done and cancel frees it.
type binding struct {
	b        *binder
	c        *call
	endpoint string
	prepare  bool // the adapter may have to be loaded
	alone    bool
	asked    time.Time
}

// bind gets a place for one attempt. The error is a *refusal, or that of ctx.
func (b *binder) bind(ctx context.Context, ask wire.Ask, by times) (*binding, error) {
	c := &call{ask: ask, changed: make(chan struct{}, 1), asked: time.Now(), times: by}
	b.mu.Lock()
	b.next++
	c.ask.ID = b.next
	b.calls[c.ask.ID] = c
	if b.link == nil || b.link.late || !b.send(c.message()) {
		defer b.mu.Unlock()
		return b.bindAlone(c)
	}
	b.mu.Unlock()
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	stopBegun := b.h.stopBegun
	var turnedAway <-chan time.Time
	for {
		select {
		case <-c.changed:
		case <-stopBegun:
			stopBegun = nil
			turnedAway = time.After(time.Until(b.h.stopping.Load().begins(c.ask.Model != "")))
			continue
		case <-turnedAway:
			if x, err, ok := b.withdrawWaiting(c, "the host is stopping"); ok {
				return x, err
			}
			continue
		case <-t.C:
			if x, err, ok := b.overdue(c); ok {
				return x, err
			}
			t.Reset(askTimeout)
			continue
		case <-ctx.Done():
			b.abandon(c)
			return nil, ctx.Err()
		}
		if x, err, ok := b.answered(c); ok {
			return x, err
		}
	}
}

func (b *binder) answered(c *call) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.state {
	case bound:
		return b.binding(c), nil, true
	case refused:
		return nil, &refusal{c.refuse.Reason, time.Duration(c.refuse.RetryAfterMs) * time.Millisecond}, true
	}
	return nil, nil, false
}

func (b *binder) binding(c *call) *binding {
	return &binding{b: b, c: c, endpoint: c.grant.Endpoint, prepare: c.grant.Prepare, alone: c.alone, asked: c.asked}
}

// overdue decides a call alone that the dispatcher has not answered, or has queued and is now gone.
func (b *binder) overdue(c *call) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.state {
	case bound, refused:
		return nil, nil, false // its signal is on the way
	case queued:
		if b.link != nil && !b.link.down {
			if !c.until.IsZero() && time.Now().After(c.until.Add(askTimeout)) {
				b.withdraw(c)
				return nil, &refusal{"the dispatcher did not decide in time", aloneRetry}, true
			}
			return nil, nil, false
		}
	case asking:
		if b.link != nil && b.link.heard.Before(c.asked) {
			b.link.late = true
		}
	}
	b.send(&wire.Cancel{ID: c.ask.ID})
	x, err := b.bindAlone(c)
	return x, err, true
}

// withdrawWaiting ends a call that has no final answer yet.
func (b *binder) withdrawWaiting(c *call, reason string) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == bound || c.state == refused {
		return nil, nil, false // its signal is on the way
	}
	b.withdraw(c)
	return nil, &refusal{reason, retryWhileLeaving}, true
}

// withdraw forgets a call that holds no place. The caller holds the lock.
func (b *binder) withdraw(c *call) {
	if b.calls[c.ask.ID] == c {
		delete(b.calls, c.ask.ID)
		b.send(&wire.Cancel{ID: c.ask.ID})
	}
	c.state = given
}

func (b *binder) abandon(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdraw(c)
}

// bindAlone chooses an endpoint by the last known loads, within this host's share of its places. The caller holds the
// lock.
func (b *binder) bindAlone(c *call) (*binding, error) {
	delete(b.calls, c.ask.ID)
	reason := ""
	e := b.chooseAlone(&c.ask)
	switch {
	case e == nil:
		reason = "no endpoint has a place"
	case !b.aloneAllowed(&c.ask):
		reason = "the budget of repeats is used up"
	}
	if reason != "" {
		c.state = given
		b.log.Info().Str("request", c.ask.Request).Str("model", c.ask.Model).Str("reason", reason).Msg("Refused without the dispatcher.")
		return nil, &refusal{reason, aloneRetry + time.Duration(rand.Int64N(int64(aloneRetry)))}
	}
	b.next++
	c.ask.ID = b.next // the dispatcher may still know the call by its former id
	c.state, c.alone = bound, true
	c.grant = wire.Grant{ID: c.ask.ID, Endpoint: e.ID, Prepare: c.ask.Adapter != ""}
	b.calls[c.ask.ID] = c
	b.alone[e.ID]++
	told := c.message()
	told.ChosenEndpoint = e.ID
	if b.send(told) {
		c.alone = false
		b.leaveAlone(e.ID)
	}
	b.log.Debug().Str("request", c.ask.Request).Str("endpoint", e.ID).Msg("Place taken without the dispatcher.")
	x := b.binding(c)
	x.alone = true
	return x, nil
}

// aloneBudget counts the sends of a service that the dispatcher does not count. The caller holds the lock.
func (b *binder) aloneBudget(service string) *sched.Budget {
	x := b.budgets[service]
	if x == nil {
		x = sched.NewBudget(b.h.deployment().RetryWindow)
		b.budgets[service] = x
	}
	return x
}

// aloneAllowed tells whether a request may be sent without the dispatcher: a first send always, a repeat within the ratio
// to this host's own first sends and its share of what the dispatcher leaves. The caller holds the lock.
func (b *binder) aloneAllowed(ask *wire.Ask) bool {
	d, x, now := b.h.deployment(), b.aloneBudget(ask.Service), clock.Boot()
	if !ask.Retry {
		x.First(now)
		return true
	}
	hosts := float64(max(len(b.h.directory.view().Hosts), 1))
	return x.Repeat(now, d.RetryRatio, sched.AloneExtra*d.RetryExtra/hosts)
}

func (b *binder) leaveAlone(endpoint string) {
	if b.alone[endpoint]--; b.alone[endpoint] <= 0 {
		delete(b.alone, endpoint)
	}
}

func (b *binder) chooseAlone(ask *wire.Ask) *fleet.Endpoint {
	v := b.h.directory.view()
	hosts := max(len(v.Hosts), 1)
	var best *fleet.Endpoint
	least := math.Inf(1)
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if e.Service != ask.Service || e.Draining || b.h.quietLeft(e.ID) > 0 || ask.Model != "" && e.Holds(ask.Model) == nil || slices.Contains(ask.Exclude, e.ID) {
			continue
		}
		slots := max(e.Slots, 1)
		own := b.alone[e.ID]
		if float64(own) >= math.Ceil(aloneShare*float64(slots)/float64(hosts)) {
			continue
		}
		load := float64(b.knownUse(e.ID)+own)/float64(slots) + 0.1*rand.Float64()
		if time.Now().Before(b.avoid[e.ID]) {
			load += 10
		}
		if load < least {
			best, least = e, load
		}
	}
	return best
}

// knownUse returns the places taken at an endpoint by the latest broadcast.
func (b *binder) knownUse(endpoint string) int {
	if time.Since(b.loadsAt) > stateFresh {
		return 0
	}
	for _, e := range b.state.Endpoints {
		if e.Endpoint == endpoint {
			return int(e.UsedSlots)
		}
	}
	return 0
}

// started tells the dispatcher that the first piece of the answer has arrived.
func (x *binding) started(first time.Duration) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	b.send(&wire.Started{ID: x.c.ask.ID, FirstMs: uint32(first.Milliseconds())})
}

// done frees the place and tells the outcome.
func (x *binding) done(d wire.Done) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls[x.c.ask.ID] != x.c {
		return
	}
	delete(b.calls, x.c.ask.ID)
	if x.c.alone {
		b.leaveAlone(x.endpoint)
	}
	if x.alone {
		b.aloneBudget(x.c.ask.Service).Spent(clock.Boot(), int(d.Resends))
	}
	if d.Fault != 0 {
		b.avoid[x.endpoint] = time.Now().Add(aloneAvoid)
	}
	d.ID, d.Endpoint = x.c.ask.ID, x.endpoint
	b.send(&d)
}

// release gives a place back that was not used. A nil binding has none.
func (x *binding) release() {
	if x != nil {
		x.done(wire.Done{Outcome: uint8(attempt.NotSent)})
	}
}

// prepareAdapter has the holder of the placement lease load the request's adapter, and returns how long to wait until it can be
// used.
func (x *binding) prepareAdapter(ctx context.Context, m *wire.Prepare) (time.Duration, error) {
	holder := x.c.grant.Holder
	if holder == "" {
		if state, age := x.b.fleetState(); age < stateFresh {
			holder = state.Holder
		}
	}
	if holder == "" {
		return 0, errors.New("no holder of the placement lease is known")
	}
	reply, err := x.b.h.holder.ask(ctx, holder, m)
	if err != nil {
		return 0, err
	}
	if !reply.OK {
		return 0, errors.New(reply.Reason)
	}
	return time.Duration(reply.WaitMs) * time.Millisecond, nil
}

// inProcess is the connection to the dispatcher of the same process. Its sends don't wait for the binder's lock, which
// the sender may hold.
type inProcess struct {
	b *binder
	l *link
}

// Send passes a message to the dispatcher.
func (p *inProcess) Send(m wire.Message) error {
	p.b.h.dispatcher.pushEvent(p.b.h.deployment().Host, (*backward)(p), m)
	return nil
}

// Close implements peer.
func (p *inProcess) Close() {
	go p.b.h.dispatcher.pushEvent(p.b.h.deployment().Host, (*backward)(p), nil)
}

// backward is the dispatcher's side of an in-process connection.
type backward inProcess

// Send passes a message to the binder.
func (p *backward) Send(m wire.Message) error {
	p.b.onMessage(p.l, m)
	return nil
}

// Close is called when the dispatcher's ring is full: the next look at the link finds it ended.
func (p *backward) Close() {
	go func() {
		p.b.mu.Lock()
		p.l.down = true
		p.b.mu.Unlock()
		p.b.viewChanged()
	}()
}
