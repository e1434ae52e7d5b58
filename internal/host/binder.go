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
	askTimeout        = 90 * time.Millisecond
	connectTimeout    = 300 * time.Millisecond // until a dispatcher that can't be reached is passed over
	dispatcherTimeout = 600 * time.Millisecond // without a broadcast, four are missing
	stallThreshold    = 250 * time.Millisecond // by which a look is late: this process stood still, not the dispatcher
	hostListWait      = 400 * time.Millisecond // after the start, for the list of hosts: one that knows no other serves itself
	checkInterval     = 50 * time.Millisecond  // between two looks at a dispatcher that is not settled
	switchDelay       = 400 * time.Millisecond // before a dispatcher that works is left for one that comes before it
	minSuspectTime    = 2 * time.Second        // time for which a silent dispatcher is passed over; doubles
	maxSuspectTime    = 16 * time.Second
	localShare        = 1.5 // of the even share of an endpoint's places that a host uses without the dispatcher
	localRetryAfter   = 300 * time.Millisecond
	maxStateAge       = 2 * time.Second // loads that are older say nothing
	avoidTime         = time.Second     // after a failure
	// defaultWait is how long a request waits for a place if neither its caller nor its route sets a bound.
	defaultWait = 30 * time.Second
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
	callAsking    callState = iota // no answer yet
	callQueued                     // waits at the dispatcher
	callBound                      // holds a place
	callRefused                    // got its final answer
	callWithdrawn                  // no longer wanted from the dispatcher
)

type call struct {
	ask       wire.Ask
	state     callState
	changed   chan struct{} // capacity 1
	grant     wire.Grant
	untracked bool
	refuse    wire.Refuse
	askedAt   time.Time
	answerBounds
}

// answerBounds bound an answer.
type answerBounds struct {
	startBy time.Time // by when it has to begin
	target  time.Time // it is late if it begins after it
	endBy   time.Time // by when it has to be complete, zero for no bound
}

// link is the way to one dispatcher. Its fields are guarded by the binder's lock.
type link struct {
	host         fleet.Host
	client       *transport.Client // nil within the process
	conn         peer              // nil until the connection is up and after it ended
	openedAt     time.Time
	lastHeard    time.Time
	unresponsive bool // did not answer in time: gets no asks until it is heard again
	closed       bool
}

type suspicion struct {
	until    time.Time
	failures int
}

// binder gets places at endpoints, from the dispatcher or, without one, alone.
type binder struct {
	h    *Host
	log  telemetry.Logger
	wake chan struct{}

	mu             sync.Mutex
	lastID         uint64
	calls          map[uint64]*call
	link           *link // in use; nil at first
	nextLink       *link // to the dispatcher that is next in use
	suspects       map[string]suspicion
	state          wire.FleetState
	stateAt        time.Time
	loadsAt        time.Time                // of the loads of endpoints in state
	localSlots     map[string]int           // places taken without the dispatcher, by endpoint
	localBudgets   map[string]*sched.Budget // of sends without the dispatcher, by service
	avoidUntil     map[string]time.Time     // endpoints that failed, for decisions alone
	startedAt      time.Time
	nextCheck      time.Time  // when the dispatcher is looked at again
	preferred      fleet.Host // that comes before the one in use
	preferredSince time.Time  // since when
}

func newBinder(h *Host) *binder {
	return &binder{
		h: h, log: h.log.Part("binder"), startedAt: time.Now(), wake: make(chan struct{}, 1), calls: make(map[uint64]*call),
		suspects: make(map[string]suspicion), localSlots: make(map[string]int), localBudgets: make(map[string]*sched.Budget), avoidUntil: make(map[string]time.Time),
	}
}

func (b *binder) triggerCheck() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run keeps the connection to the dispatcher until ctx ends.
func (b *binder) run(ctx context.Context) {
	t := time.NewTimer(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			b.mu.Lock()
			b.closeLink(b.link)
			b.closeLink(b.nextLink)
			b.mu.Unlock()
			return
		case <-t.C:
		case <-b.wake:
		}
		t.Reset(b.checkDispatcher(ctx, time.Now()))
	}
}

// preferredHost returns the first host in the order that is not suspected. A host that knows no others serves itself.
func (b *binder) preferredHost(now time.Time) fleet.Host {
	self := b.h.deployment().Host
	for _, h := range b.h.directory.view().Hosts {
		if h.Name == self || now.After(b.suspects[h.Name].until) {
			return h
		}
	}
	return fleet.Host{Name: self, Incarnation: b.h.incarnation}
}

// checkDispatcher looks at the dispatcher in use, and returns when to look again.
func (b *binder) checkDispatcher(ctx context.Context, now time.Time) (next time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.link
	defer func() {
		if b.link != before {
			b.h.directory.turned.notify()
		}
		b.nextCheck = now.Add(next)
	}()
	if !b.nextCheck.IsZero() && now.Sub(b.nextCheck) > stallThreshold && b.link != nil {
		b.link.lastHeard = now
	}
	if l := b.link; l != nil && (l.closed || now.Sub(l.lastHeard) > dispatcherTimeout) {
		b.suspect(l, now)
		b.closeLink(l)
		b.link = nil
	}
	if c := b.nextLink; c != nil && (c.closed || c.conn == nil && now.Sub(c.openedAt) > connectTimeout) {
		b.suspect(c, now)
		b.closeLink(c)
		b.nextLink = nil
	}
	if b.link == nil && now.Sub(b.startedAt) < hostListWait && !b.h.directory.known.Load() {
		return checkInterval
	}
	want := b.preferredHost(now)
	if b.link != nil && sameHost(b.link.host, want) {
		b.closeLink(b.nextLink)
		b.nextLink = nil
		b.preferred = fleet.Host{}
		return max(b.link.lastHeard.Add(dispatcherTimeout).Sub(now), checkInterval)
	}
	if b.link != nil && !b.preferenceSettled(want, now) {
		return checkInterval
	}
	if b.nextLink == nil || !sameHost(b.nextLink.host, want) {
		b.closeLink(b.nextLink)
		b.nextLink = b.openLink(ctx, want, now)
	}
	if b.nextLink.conn != nil {
		b.switchDispatcher(now)
	}
	return checkInterval
}

// preferenceSettled tells whether a host has come before the dispatcher in use for long enough. While many hosts register, the order
// changes often, and each switch of all hosts costs a message with all that is in flight.
func (b *binder) preferenceSettled(want fleet.Host, now time.Time) bool {
	if !sameHost(b.preferred, want) {
		b.preferred, b.preferredSince = want, now
	}
	return now.Sub(b.preferredSince) >= switchDelay
}

func sameHost(a, b fleet.Host) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Address == b.Address
}

func (b *binder) suspect(l *link, now time.Time) {
	if l.host.Name == b.h.deployment().Host {
		return
	}
	s := b.suspects[l.host.Name]
	s.until = now.Add(min(minSuspectTime<<min(s.failures, 8), maxSuspectTime))
	s.failures++
	b.suspects[l.host.Name] = s
	b.log.Warn().Str("dispatcher", l.host.Name).Bool("closed", l.closed).Int64("silentMs", now.Sub(l.lastHeard).Milliseconds()).
		Time("until", s.until).Msg("Dispatcher passed over.")
}

func (b *binder) openLink(ctx context.Context, host fleet.Host, now time.Time) *link {
	l := &link{host: host, openedAt: now, lastHeard: now}
	if host.Name == b.h.deployment().Host {
		l.conn = &binderEnd{b: b, l: l}
		return l
	}
	l.client = b.h.dialPeer(ctx, host.Address,
		func(c *transport.Conn, _ uint64, m wire.Message) { b.onMessage(l, m) },
		func(c *transport.Conn) { b.onConnected(l, c) },
		func(c *transport.Conn) { b.onDisconnected(l, c) })
	return l
}

func (b *binder) onConnected(l *link, c *transport.Conn) {
	b.mu.Lock()
	if !l.closed {
		l.conn = c
	}
	b.mu.Unlock()
	b.triggerCheck()
}

func (b *binder) onDisconnected(l *link, c *transport.Conn) {
	b.mu.Lock()
	if l.conn == peer(c) {
		l.conn, l.closed = nil, true
	}
	b.mu.Unlock()
	b.triggerCheck()
}

func (b *binder) closeLink(l *link) {
	if l == nil {
		return
	}
	l.closed = true
	if l.conn != nil {
		l.conn.Close()
	}
	if l.client != nil {
		go l.client.Close() // waits for its goroutine, which may wait for the lock
	}
}

// switchDispatcher turns to the new dispatcher and tells it what is in flight and waiting. The caller holds the lock.
func (b *binder) switchDispatcher(now time.Time) {
	before := ""
	if b.link != nil {
		before = b.link.host.Name
	}
	b.closeLink(b.link)
	b.link, b.nextLink = b.nextLink, nil
	b.link.lastHeard = now
	b.state.Current = false // until the new one says so
	r := &wire.Resync{}
	for _, c := range b.calls {
		switch c.state {
		case callBound:
			r.Running = append(r.Running, wire.Running{Ask: *c.currentAsk(), Endpoint: c.grant.Endpoint})
			if c.untracked {
				c.untracked = false
				b.releaseLocalSlot(c.grant.Endpoint)
			}
		case callAsking, callQueued:
			r.Waiting = append(r.Waiting, *c.currentAsk())
		}
	}
	b.sendLocked(r)
	b.log.Info().Str("dispatcher", b.link.host.Name).Str("before", before).Int("running", len(r.Running)).
		Int("waiting", len(r.Waiting)).Msg("Dispatcher in use.")
}

// sendLocked passes a message to the dispatcher. The caller holds the lock.
func (b *binder) sendLocked(m wire.Message) bool {
	if b.link == nil || b.link.conn == nil {
		return false
	}
	if err := b.link.conn.Send(m); err != nil {
		b.link.conn.Close()
		return false
	}
	return true
}

// sendToDispatcher sends the dispatcher a message that is sent again if it is lost, such as a beat of the placement's holder.
func (b *binder) sendToDispatcher(m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendLocked(m)
}

// fleetState returns what the dispatcher last said, and its age.
func (b *binder) fleetState() (wire.FleetState, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, time.Since(b.stateAt)
}

// storeChangesRelayed tells whether another host, as dispatcher, passes the changes of the store on.
func (b *binder) storeChangesRelayed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servedByOtherHost() && b.state.Current && !slices.Contains(b.state.Relays, b.h.deployment().Host)
}

// servedByOtherHost tells whether another host serves as dispatcher. The caller holds the lock.
func (b *binder) servedByOtherHost() bool {
	l := b.link
	return l != nil && l.conn != nil && l.host.Name != b.h.deployment().Host && time.Since(b.stateAt) < dispatcherTimeout
}

// isRelay tells whether this host follows the store for the dispatcher.
func (b *binder) isRelay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servedByOtherHost() && slices.Contains(b.state.Relays, b.h.deployment().Host)
}

// relayWait is how long to wait for another host's news of the store before this host reads it.
func (b *binder) relayWait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.servedByOtherHost() || len(b.state.Relays) == 0:
		return relayGrace
	case slices.Contains(b.state.Relays, b.h.deployment().Host):
		return 0
	}
	return soughtGrace
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
	l.lastHeard, l.unresponsive = time.Now(), false
	if b.link != l {
		return
	}
	switch m := m.(type) {
	case *wire.FleetState:
		before := &b.state
		if m.Current != before.Current || !slices.Equal(m.Relays, before.Relays) {
			defer b.h.directory.turned.notify()
		}
		if l.host.Name != b.h.deployment().Host {
			b.queueRelayed(l, passedOn{views: m.Views, leaving: m.Leaving})
		}
		loads := b.state.Endpoints
		if m.Endpoints != nil {
			loads, b.loadsAt = m.Endpoints, time.Now()
		}
		b.state, b.stateAt = *m, time.Now()
		if m.Vacant {
			b.h.holder.leaseIsFree()
		}
		b.state.Endpoints = loads
		delete(b.suspects, l.host.Name)
	case *wire.ViewUpdate:
		b.queueRelayed(l, passedOn{update: m})
	case *wire.ViewAsk:
		go func() { b.sendToDispatcher(b.h.directory.since(m)) }() // takes the directory's lock
	case *wire.Queued:
		if c := b.calls[m.ID]; c != nil && c.state == callAsking {
			c.setState(callQueued)
		}
	case *wire.Grant:
		c := b.calls[m.ID]
		if c == nil || c.state != callAsking && c.state != callQueued {
			if c == nil {
				b.sendLocked(&wire.Cancel{ID: m.ID})
			}
			return
		}
		c.grant = *m
		c.setState(callBound)
	case *wire.Refuse:
		if c := b.calls[m.ID]; c != nil && (c.state == callAsking || c.state == callQueued) {
			delete(b.calls, m.ID)
			c.refuse = *m
			c.setState(callRefused)
		}
	}
}

// queueRelayed queues what the dispatcher passes on. The caller holds the lock.
func (b *binder) queueRelayed(l *link, m passedOn) {
	if !b.h.directory.updates.TryPush(m) {
		l.conn.Close() // the summaries on the next connection show what is missing
	}
}

func (c *call) setState(s callState) {
	c.state = s
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// currentAsk returns a copy of the ask with the time that is left.
func (c *call) currentAsk() *wire.Ask {
	m := c.ask
	now := time.Now()
	left := defaultWait
	if !c.startBy.IsZero() {
		left = c.startBy.Sub(now)
	}
	m.DeadlineMs = uint32(max(left.Milliseconds(), 1))
	m.TargetMs = uint32(max(c.target.Sub(now).Milliseconds(), 0))
	if !c.endBy.IsZero() {
		m.EndMs = uint32(max(c.endBy.Sub(now).Milliseconds(), 1))
	}
	return &m
}

// binding is a place at an endpoint. Exactly one of done and cancel frees it.
type binding struct {
	b        *binder
	c        *call
	endpoint string
	prepare  bool // the adapter may have to be loaded
	local    bool
	askedAt  time.Time
}

// bind gets a place for one attempt. The error is a *refusal, or that of ctx.
func (b *binder) bind(ctx context.Context, ask wire.Ask, by answerBounds) (*binding, error) {
	c := &call{ask: ask, changed: make(chan struct{}, 1), askedAt: time.Now(), answerBounds: by}
	b.mu.Lock()
	b.lastID++
	c.ask.ID = b.lastID
	b.calls[c.ask.ID] = c
	if b.link == nil || b.link.unresponsive || !b.sendLocked(c.currentAsk()) {
		defer b.mu.Unlock()
		return b.bindLocally(c)
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
			turnedAway = time.After(time.Until(b.h.stopping.Load().startBy(c.ask.Model != "")))
			continue
		case <-turnedAway:
			if x, err, ok := b.withdrawUnbound(c, "the host is stopping"); ok {
				return x, err
			}
			continue
		case <-t.C:
			if x, err, ok := b.handleOverdue(c); ok {
				return x, err
			}
			t.Reset(askTimeout)
			continue
		case <-ctx.Done():
			b.abandon(c)
			return nil, ctx.Err()
		}
		if x, err, ok := b.finalAnswer(c); ok {
			return x, err
		}
	}
}

func (b *binder) finalAnswer(c *call) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.state {
	case callBound:
		return b.newBinding(c), nil, true
	case callRefused:
		return nil, &refusal{c.refuse.Reason, time.Duration(c.refuse.RetryAfterMs) * time.Millisecond}, true
	}
	return nil, nil, false
}

func (b *binder) newBinding(c *call) *binding {
	return &binding{b: b, c: c, endpoint: c.grant.Endpoint, prepare: c.grant.Prepare, local: c.untracked, askedAt: c.askedAt}
}

// handleOverdue decides a call alone that the dispatcher has not answered, or has queued and is now gone.
func (b *binder) handleOverdue(c *call) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.state {
	case callBound, callRefused:
		return nil, nil, false // its signal is on the way
	case callQueued:
		if b.link != nil && !b.link.closed {
			if !c.startBy.IsZero() && time.Now().After(c.startBy.Add(askTimeout)) {
				b.withdraw(c)
				return nil, &refusal{"the dispatcher did not decide in time", localRetryAfter}, true
			}
			return nil, nil, false
		}
	case callAsking:
		if b.link != nil && b.link.lastHeard.Before(c.askedAt) {
			b.link.unresponsive = true
		}
	}
	b.sendLocked(&wire.Cancel{ID: c.ask.ID})
	x, err := b.bindLocally(c)
	return x, err, true
}

// withdrawUnbound ends a call that has no final answer yet.
func (b *binder) withdrawUnbound(c *call, reason string) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == callBound || c.state == callRefused {
		return nil, nil, false // its signal is on the way
	}
	b.withdraw(c)
	return nil, &refusal{reason, retryAfterStopping}, true
}

// withdraw forgets a call that holds no place. The caller holds the lock.
func (b *binder) withdraw(c *call) {
	if b.calls[c.ask.ID] == c {
		delete(b.calls, c.ask.ID)
		b.sendLocked(&wire.Cancel{ID: c.ask.ID})
	}
	c.state = callWithdrawn
}

func (b *binder) abandon(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdraw(c)
}

// bindLocally chooses an endpoint by the last known loads, within this host's share of its places. The caller holds the
// lock.
func (b *binder) bindLocally(c *call) (*binding, error) {
	delete(b.calls, c.ask.ID)
	reason := ""
	e := b.chooseLocally(&c.ask)
	switch {
	case e == nil:
		reason = "no endpoint has a place"
	case !b.localSendAllowed(&c.ask):
		reason = "the budget of repeats is used up"
	}
	if reason != "" {
		c.state = callWithdrawn
		b.log.Info().Str("request", c.ask.Request).Str("model", c.ask.Model).Str("reason", reason).Msg("Refused without the dispatcher.")
		return nil, &refusal{reason, localRetryAfter + time.Duration(rand.Int64N(int64(localRetryAfter)))}
	}
	b.lastID++
	c.ask.ID = b.lastID // the dispatcher may still know the call by its former id
	c.state, c.untracked = callBound, true
	c.grant = wire.Grant{ID: c.ask.ID, Endpoint: e.ID, Prepare: c.ask.Adapter != ""}
	b.calls[c.ask.ID] = c
	b.localSlots[e.ID]++
	told := c.currentAsk()
	told.Bound = e.ID
	if b.sendLocked(told) {
		c.untracked = false
		b.releaseLocalSlot(e.ID)
	}
	b.log.Debug().Str("request", c.ask.Request).Str("endpoint", e.ID).Msg("Place taken without the dispatcher.")
	x := b.newBinding(c)
	x.local = true
	return x, nil
}

// localBudget counts the sends of a service that the dispatcher does not count. The caller holds the lock.
func (b *binder) localBudget(service string) *sched.Budget {
	x := b.localBudgets[service]
	if x == nil {
		x = sched.NewBudget(b.h.deployment().RetryWindow)
		b.localBudgets[service] = x
	}
	return x
}

// localSendAllowed tells whether a request may be sent without the dispatcher: a first send always, a repeat within the ratio
// to this host's own first sends and its share of what the dispatcher leaves. The caller holds the lock.
func (b *binder) localSendAllowed(ask *wire.Ask) bool {
	d, x, now := b.h.deployment(), b.localBudget(ask.Service), clock.Boot()
	if !ask.Repeat {
		x.First(now)
		return true
	}
	hosts := float64(max(len(b.h.directory.view().Hosts), 1))
	return x.Repeat(now, d.RetryRatio, sched.AloneExtra*d.RetryExtra/hosts)
}

func (b *binder) releaseLocalSlot(endpoint string) {
	if b.localSlots[endpoint]--; b.localSlots[endpoint] <= 0 {
		delete(b.localSlots, endpoint)
	}
}

func (b *binder) chooseLocally(ask *wire.Ask) *fleet.Endpoint {
	v := b.h.directory.view()
	hosts := max(len(v.Hosts), 1)
	var best *fleet.Endpoint
	least := math.Inf(1)
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if e.Service != ask.Service || e.Draining || b.h.quietRemaining(e.ID) > 0 || ask.Model != "" && e.Holds(ask.Model) == nil || slices.Contains(ask.Exclude, e.ID) {
			continue
		}
		slots := max(e.Slots, 1)
		own := b.localSlots[e.ID]
		if float64(own) >= math.Ceil(localShare*float64(slots)/float64(hosts)) {
			continue
		}
		load := float64(b.reportedUse(e.ID)+own)/float64(slots) + 0.1*rand.Float64()
		if time.Now().Before(b.avoidUntil[e.ID]) {
			load += 10
		}
		if load < least {
			best, least = e, load
		}
	}
	return best
}

// reportedUse returns the places taken at an endpoint by the latest broadcast.
func (b *binder) reportedUse(endpoint string) int {
	if time.Since(b.loadsAt) > maxStateAge {
		return 0
	}
	for _, e := range b.state.Endpoints {
		if e.Endpoint == endpoint {
			return int(e.Used)
		}
	}
	return 0
}

// reportStarted tells the dispatcher that the first piece of the answer has arrived.
func (x *binding) reportStarted(first time.Duration) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendLocked(&wire.Started{ID: x.c.ask.ID, FirstMs: uint32(first.Milliseconds())})
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
	if x.c.untracked {
		b.releaseLocalSlot(x.endpoint)
	}
	if x.local {
		b.localBudget(x.c.ask.Service).Spent(clock.Boot(), int(d.Resent))
	}
	if d.Fault != 0 {
		b.avoidUntil[x.endpoint] = time.Now().Add(avoidTime)
	}
	d.ID, d.Endpoint = x.c.ask.ID, x.endpoint
	b.sendLocked(&d)
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
		if state, age := x.b.fleetState(); age < maxStateAge {
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

// binderEnd is the connection to the dispatcher of the same process. Its sends don't wait for the binder's lock, which
// the sender may hold.
type binderEnd struct {
	b *binder
	l *link
}

// Send passes a message to the dispatcher.
func (p *binderEnd) Send(m wire.Message) error {
	p.b.h.dispatcher.push(p.b.h.deployment().Host, (*dispatcherEnd)(p), m)
	return nil
}

// Close implements peer.
func (p *binderEnd) Close() {
	go p.b.h.dispatcher.push(p.b.h.deployment().Host, (*dispatcherEnd)(p), nil)
}

// dispatcherEnd is the dispatcher's side of an in-process connection.
type dispatcherEnd binderEnd

// Send passes a message to the binder.
func (p *dispatcherEnd) Send(m wire.Message) error {
	p.b.onMessage(p.l, m)
	return nil
}

// Close is called when the dispatcher's ring is full: the next look at the link finds it ended.
func (p *dispatcherEnd) Close() {
	go func() {
		p.b.mu.Lock()
		p.l.closed = true
		p.b.mu.Unlock()
		p.b.triggerCheck()
	}()
}
