package host

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
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
	// askTimeout is the time in which the dispatcher has to answer an ask. It exceeds the pauses of up to 75 ms of a host
	// under a processor quota.
	askTimeout        = 90 * time.Millisecond
	connectTimeout    = 300 * time.Millisecond // for the connection to a dispatcher, which is suspected after it
	dispatcherTimeout = 600 * time.Millisecond // without a message of the dispatcher, four broadcasts are missing
	stallThreshold    = 250 * time.Millisecond // by which a check is late if this process was stalled, not the dispatcher
	hostListWait      = 400 * time.Millisecond // for the own entry in the list of hosts after the start
	checkInterval     = 50 * time.Millisecond  // between two checks while the dispatcher may change
	switchDelay       = 400 * time.Millisecond // for which another host has to be preferred before the dispatcher is replaced
	maxStateAge       = 2 * time.Second        // of the dispatcher's last state; older loads are ignored
	avoidTime         = time.Second            // for an endpoint after a fault
	// defaultWait is how long a request waits for a slot if neither its caller nor its route sets a limit.
	defaultWait = 30 * time.Second
)

// refusal is the error for a request that gets no slot at any endpoint.
type refusal struct {
	reason     string
	retryAfter time.Duration
	overLimit  bool // the request exceeds the quota of its account
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// callState is the state of a call.
type callState uint8

const (
	callAsking    callState = iota // no answer of the dispatcher yet
	callQueued                     // in the dispatcher's queue
	callBound                      // holds a slot
	callRefused                    // got its final refusal
	callWithdrawn                  // its slot is no longer wanted
)

// call is a request for a slot, and the slot once it is granted.
type call struct {
	ask       wire.Ask
	state     callState
	changed   chan struct{} // signals a change of state; capacity 1
	grant     wire.Grant
	untracked bool // the dispatcher does not know of the slot
	refuse    wire.Refuse
	askedAt   time.Time
	permit    *retryPermit // of a retry that this host may send by itself, nil if it may not or this is none
	sentOn    *link        // to the dispatcher that was last asked, nil if none was
	quota     localCharge
	answerBounds
}

// answerBounds holds the times by which an answer has to begin and end.
type answerBounds struct {
	startBy time.Time // latest begin, zero for no limit
	target  time.Time // an answer that begins after it is late
	endBy   time.Time // latest end, zero for no limit
	// latestStart returns the time until which the request may be sent once this host stops. It is nil if that does not matter.
	latestStart func() time.Time
}

// link is the connection to one dispatcher, with its state. Its fields are guarded by the binder's lock.
type link struct {
	host         fleet.Host        // incarnation of the process that answered, once connected
	wanted       fleet.Host        // as it was listed when the link was opened
	report       dispatcherReport  // of the last state
	client       *transport.Client // nil for the dispatcher of this process
	conn         peer              // nil until the connection is established and after it ended
	openedAt     time.Time
	lastHeard    time.Time
	lastSent     time.Time
	unresponsive bool // did not answer in time; gets no asks until its next message
	closed       bool
}

// binder gets slots at endpoints for requests. It asks the dispatcher or, if there is none, decides locally.
type binder struct {
	h    *Host
	log  telemetry.Logger
	wake chan struct{}

	mu             sync.Mutex
	lastID         uint64           // of calls
	calls          map[uint64]*call // by id, those that wait or hold a slot
	link           *link            // to the dispatcher in use, nil if there is none
	started        bool             // a dispatcher has been in use since the start
	nextLink       *link            // to the dispatcher that replaces it once connected, nil if there is none
	suspects       suspects
	state          wire.FleetState
	stateAt        time.Time
	loadsAt        time.Time            // when the loads of endpoints in state arrived
	localSlots     map[string]int       // slots in use that the dispatcher does not know of, by endpoint
	avoidUntil     map[string]time.Time // time until which local decisions avoid an endpoint that failed
	quarantine     *sched.Quarantine    // prompt parts that crash engines, by the dispatcher and by what this host saw without one
	quotas         *sched.HostQuotas    // this host's parts of the quotas, for local decisions
	startedAt      time.Time
	nextCheck      time.Time  // when the dispatcher is due to be checked again
	preferred      fleet.Host // comes before the dispatcher in use, zero if none does
	preferredSince time.Time  // since when preferred is the same host
}

func newBinder(h *Host) *binder {
	return &binder{
		h: h, log: h.log.Part("binder"), startedAt: time.Now(), wake: make(chan struct{}, 1), calls: make(map[uint64]*call),
		suspects: make(suspects), localSlots: make(map[string]int), avoidUntil: make(map[string]time.Time),
		quarantine: sched.NewQuarantine(), quotas: sched.NewHostQuotas(),
	}
}

// triggerCheck makes run check the dispatcher now.
func (b *binder) triggerCheck() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run maintains the connection to the dispatcher until ctx ends.
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

// chooseDispatcher returns the dispatcher to use, whether to switch to it without switchDelay, and false while none can be
// chosen. The caller holds the lock.
func (b *binder) chooseDispatcher(now time.Time) (want fleet.Host, atOnce, ok bool) {
	d := b.h.deployment()
	age := now.Sub(b.startedAt)
	c := dispatcherChoice{
		self:     fleet.Host{Name: d.Host, Address: d.PeerAddress, Incarnation: b.h.incarnation, MilliCores: d.MilliCores},
		hosts:    b.h.directory.view().Hosts,
		starting: !b.started, age: age, listed: b.h.directory.registrationSeen.Load() || age >= hostListWait,
		leaving: b.h.leaving(), hasClient: b.h.dispatcher.hasClient,
		trust: func(h fleet.Host) trust { return b.suspects.trust(h, now) },
	}
	if b.link != nil {
		c.inUse, c.report = &b.link.host, b.link.report
	}
	return c.choose()
}

// checkDispatcher drops a dispatcher that failed, connects to the preferred one, and switches to it when it is connected. It
// returns the time until the next check.
func (b *binder) checkDispatcher(ctx context.Context, now time.Time) (next time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.link
	defer func() {
		if b.link != before {
			b.h.dispatcher.announce()
			b.h.directory.sourceChanged.notify()
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
	if c := b.nextLink; b.link == nil && !b.started && c != nil && c.conn != nil {
		// Any process that answers leads to the dispatcher, also a successor of the listed one.
		b.switchDispatcher(now)
		return checkInterval
	}
	want, atOnce, ok := b.chooseDispatcher(now)
	if !ok {
		return checkInterval
	}
	if b.link != nil && (sameHost(b.link.host, want) || sameHost(b.link.wanted, want)) {
		b.closeLink(b.nextLink)
		b.nextLink = nil
		b.preferred = fleet.Host{}
		return max(b.link.lastHeard.Add(dispatcherTimeout).Sub(now), checkInterval)
	}
	if b.link != nil && !b.preferenceSettled(want, now) && !atOnce {
		return checkInterval
	}
	if b.nextLink == nil || !sameHost(b.nextLink.wanted, want) {
		b.closeLink(b.nextLink)
		b.nextLink = b.openLink(ctx, want, now)
	}
	if b.nextLink.conn != nil {
		b.switchDispatcher(now)
	}
	return checkInterval
}

// preferenceSettled reports whether want has been preferred to the dispatcher in use for switchDelay. While many hosts
// register, the order changes often, and at each switch every host sends a message with all its requests in flight.
func (b *binder) preferenceSettled(want fleet.Host, now time.Time) bool {
	if !sameHost(b.preferred, want) {
		b.preferred, b.preferredSince = want, now
	}
	return now.Sub(b.preferredSince) >= switchDelay
}

func sameHost(a, b fleet.Host) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Address == b.Address
}

// suspect excludes a failed dispatcher from use for some time. A host never suspects itself.
func (b *binder) suspect(l *link, now time.Time) {
	if l.host.Name == b.h.deployment().Host {
		return
	}
	until := b.suspects.recordFailure(l.host, l.wanted, now)
	b.log.Warn().Str("dispatcher", l.host.Name).Bool("closed", l.closed).Int64("silentMs", now.Sub(l.lastHeard).Milliseconds()).
		Time("until", until).Msg("Dispatcher passed over.")
}

// openLink starts the connection to the dispatcher on a host.
func (b *binder) openLink(ctx context.Context, host fleet.Host, now time.Time) *link {
	l := &link{host: host, wanted: host, openedAt: now, lastHeard: now}
	if host.Name == b.h.deployment().Host {
		l.conn = &binderEnd{b: b, l: l}
		return l
	}
	l.client = b.h.dialPeerWith(ctx, host.Address, transport.Options{
		Handler:        func(c *transport.Conn, _ uint64, m wire.Message) { b.onMessage(l, m) },
		OnConnected:    func(c *transport.Conn) { b.onConnected(l, c) },
		OnDisconnected: func(c *transport.Conn) { b.onDisconnected(l, c) },
		OnDialFailed:   func(err error) { b.onDialFailed(l, err) },
	})
	return l
}

func (b *binder) onConnected(l *link, c *transport.Conn) {
	b.mu.Lock()
	if !l.closed {
		l.conn = c
		if running := c.Remote().Incarnation; running != l.wanted.Incarnation {
			// The listed process has ended. Its successor comes last in the order, and will be listed soon.
			l.host.Incarnation = running
			b.suspects.recordEnd(l.wanted, time.Now())
		}
	}
	b.mu.Unlock()
	b.triggerCheck()
}

// onDialFailed closes a link whose address refuses connections: the listed process has ended.
func (b *binder) onDialFailed(l *link, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	b.mu.Lock()
	if l.conn == nil {
		l.closed = true
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

// closeLink closes a link, which may be nil. The caller holds the lock.
func (b *binder) closeLink(l *link) {
	if l == nil {
		return
	}
	l.closed = true
	if l.conn != nil {
		l.conn.Close()
	}
	if l.client != nil {
		go l.client.Close() // Close waits for the client's goroutine, which may wait for the lock
	}
}

// switchDispatcher makes nextLink the link in use, and sends the new dispatcher all calls that hold a slot or wait for one.
// The caller holds the lock.
func (b *binder) switchDispatcher(now time.Time) {
	before := ""
	if b.link != nil {
		before = b.link.host.Name
	}
	b.closeLink(b.link)
	b.link, b.nextLink, b.started = b.nextLink, nil, true
	b.link.lastHeard = now
	b.state.ViewCurrent = false // until the new dispatcher's state says so
	r := &wire.Resync{Quarantine: b.quarantine.List(clock.Boot()), Limits: b.h.limits.list()}
	for _, c := range b.calls {
		switch c.state {
		case callBound:
			r.Running = append(r.Running, wire.Running{Ask: *c.currentAsk(), Endpoint: c.grant.Endpoint})
			if c.untracked {
				c.untracked = false
				b.releaseLocalSlot(c.grant.Endpoint)
			}
		case callAsking, callQueued:
			b.reserveRetry(c)
			r.Waiting = append(r.Waiting, *c.currentAsk())
			c.sentOn = b.link
		}
	}
	b.sendLocked(r)
	b.log.Info().Str("dispatcher", b.link.host.Name).Str("before", before).Int("running", len(r.Running)).
		Int("waiting", len(r.Waiting)).Msg("Dispatcher in use.")
}

// sendLocked sends a message to the dispatcher, and reports whether that was possible. The caller holds the lock.
func (b *binder) sendLocked(m wire.Message) bool {
	if b.link == nil || b.link.conn == nil {
		return false
	}
	if err := b.link.conn.Send(m); err != nil {
		b.link.conn.Close()
		return false
	}
	b.link.lastSent = time.Now()
	return true
}

// sendAsk asks the dispatcher for a call's slot, and reports whether that was possible. The caller holds the lock.
func (b *binder) sendAsk(c *call) bool {
	if b.link == nil || b.link.unresponsive || !b.sendLocked(c.currentAsk()) {
		return false
	}
	c.sentOn = b.link
	return true
}

// sendToDispatcher sends a message to the dispatcher, or drops it if there is none. It is for messages that are repeated
// anyway, such as the beat of the placement lease holder.
func (b *binder) sendToDispatcher(m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendLocked(m)
}

// fleetState returns the last state that the dispatcher sent, and its age.
func (b *binder) fleetState() (wire.FleetState, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, time.Since(b.stateAt)
}

// storeChangesRelayed reports whether this host receives the store's changes from a dispatcher on another host.
func (b *binder) storeChangesRelayed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRemoteDispatcher() && b.state.ViewCurrent && !slices.Contains(b.state.Relays, b.h.deployment().Host)
}

// hasRemoteDispatcher reports whether another host is the dispatcher and has sent its state recently. The caller holds the lock.
func (b *binder) hasRemoteDispatcher() bool {
	l := b.link
	return l != nil && l.conn != nil && l.host.Name != b.h.deployment().Host && time.Since(b.stateAt) < dispatcherTimeout
}

// isRelay reports whether this host is a relay, which reads the store's changes and sends them to the dispatcher.
func (b *binder) isRelay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRemoteDispatcher() && slices.Contains(b.state.Relays, b.h.deployment().Host)
}

// relayWait returns how long to wait for relayed changes of the store before this host reads the store itself.
func (b *binder) relayWait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.hasRemoteDispatcher() || len(b.state.Relays) == 0:
		return forwardGrace
	case slices.Contains(b.state.Relays, b.h.deployment().Host):
		return 0
	}
	return relaySearchGrace
}

// dispatcherInUse returns the dispatcher in use, whether its own host uses it as well, and false if there is none.
func (b *binder) dispatcherInUse() (h fleet.Host, serves, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.link == nil {
		return fleet.Host{}, false, false
	}
	r := b.link.report
	return b.link.host, r.known && sameHost(r.host, b.link.host), true
}

// isStarting reports whether this host has just started and has not used a dispatcher yet.
func (b *binder) isStarting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.started && time.Since(b.startedAt) < hostListWait
}

// isDispatcher reports whether this host is its own dispatcher.
func (b *binder) isDispatcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.link != nil && b.link.host.Name == b.h.deployment().Host
}

// onMessage handles a message of the dispatcher at the other end of a link.
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
		if m.ViewCurrent != before.ViewCurrent || !slices.Equal(m.Relays, before.Relays) {
			defer b.h.directory.sourceChanged.notify()
		}
		if l.host.Name != b.h.deployment().Host {
			b.queueRelayed(l, forwardedMessage{summaries: m.Views, leaving: m.Leaving})
		}
		loads := b.state.Endpoints
		if m.Endpoints != nil {
			loads, b.loadsAt = m.Endpoints, time.Now()
		}
		b.state, b.stateAt = *m, time.Now()
		if m.LeaseVacant {
			b.h.holder.notifyLeaseVacant()
		}
		b.state.Endpoints = loads
		b.sendQuotaBeat()
		delete(b.suspects, l.host.Name)
		if m.QuarantineListed {
			b.replaceQuarantine(m.Quarantine)
		}
		if m.LimitsListed {
			b.h.limits.replace(m.Limits)
		}
		if r := newDispatcherReport(l.host, m); r != l.report {
			l.report = r
			b.h.dispatcher.announce()
			b.triggerCheck()
		}
	case *wire.ViewUpdate:
		b.queueRelayed(l, forwardedMessage{update: m})
	case *wire.ViewAsk:
		// since takes the directory's lock, whose holder may wait for the binder's.
		go func() { b.sendToDispatcher(b.h.directory.updateSince(m)) }()
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

// queueRelayed queues what the dispatcher relayed for the directory. If the queue is full, it closes the connection. The caller
// holds the lock.
func (b *binder) queueRelayed(l *link, m forwardedMessage) {
	if !b.h.directory.updates.TryPush(m) && l.conn != nil {
		l.conn.Close() // on the next connection, the summaries show what is missing
	}
}

// setState changes the state of a call and signals it.
func (c *call) setState(s callState) {
	c.state = s
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// currentAsk returns a copy of the ask with the times left until its bounds.
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

// binding is a slot at an endpoint, held until done frees it.
type binding struct {
	b        *binder
	c        *call
	endpoint string
	prepare  bool // the adapter may have to be loaded
	local    bool // the slot was taken without the dispatcher
	askedAt  time.Time
	permit   *retryPermit // for the next send, nil if only the first one of a request is allowed

	adapterOrdered bool // the holder has had the adapter loaded for this slot
}

// bind gets a slot for one attempt. The error is a *refusal or that of ctx.
func (b *binder) bind(ctx context.Context, ask wire.Ask, by answerBounds) (*binding, error) {
	c := &call{ask: ask, changed: make(chan struct{}, 1), askedAt: time.Now(), answerBounds: by}
	x, err := b.await(ctx, c)
	if err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		c.permit.end()
	}
	return x, err
}

// reserveRetry reserves a retry for a call that needs one. If this host may not send it by itself, the dispatcher is asked to
// lend one. The caller holds the lock.
func (b *binder) reserveRetry(c *call) {
	if !c.ask.Retry || c.permit != nil {
		return
	}
	c.permit = b.h.retries.reserve(c.ask.Service)
	c.ask.SharedRetry = c.permit == nil
}

// await asks for a slot and waits for it.
func (b *binder) await(ctx context.Context, c *call) (*binding, error) {
	b.mu.Lock()
	b.reserveRetry(c)
	b.lastID++
	c.ask.ID = b.lastID
	b.calls[c.ask.ID] = c
	if !b.sendAsk(c) {
		if x, err, ok := b.decideAlone(c); ok {
			b.mu.Unlock()
			return x, err
		}
	}
	overdueIn := c.overdueIn(time.Now())
	b.mu.Unlock()
	t := time.NewTimer(overdueIn)
	defer t.Stop()
	stopBegun := b.h.stopStarted
	var startByPassed <-chan time.Time
	for {
		select {
		case <-c.changed:
		case <-stopBegun:
			stopBegun = nil
			if c.latestStart != nil {
				if t := c.latestStart(); !t.IsZero() {
					startByPassed = time.After(time.Until(t))
				}
			}
			continue
		case <-startByPassed:
			if x, err, ok := b.withdrawStopping(c); ok {
				return x, err
			}
			continue
		case <-t.C:
			x, again, err := b.handleOverdue(c)
			if again == 0 {
				return x, err
			}
			t.Reset(again)
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

// finalAnswer returns the slot or refusal of a call, and false if it has neither yet.
func (b *binder) finalAnswer(c *call) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.state {
	case callBound:
		return b.newBinding(c), nil, true
	case callRefused:
		return nil, &refusal{reason: c.refuse.Reason, retryAfter: time.Duration(c.refuse.RetryAfterMs) * time.Millisecond, overLimit: c.refuse.OverLimit}, true
	}
	return nil, nil, false
}

// newBinding returns the slot of a call that holds one. The caller holds the lock.
func (b *binder) newBinding(c *call) *binding {
	x := &binding{
		b: b, c: c, endpoint: c.grant.Endpoint, prepare: c.grant.Prepare, local: c.untracked, askedAt: c.askedAt, permit: c.permit,
	}
	if c.ask.Retry && c.permit == nil {
		x.permit = &retryPermit{retries: b.h.retries, by: allowedByDispatcher}
		if b.link != nil {
			x.permit.dispatcher = b.link.host
		}
	}
	return x
}

// handleOverdue decides a call locally if the dispatcher has not answered it in time, or queued it and is now gone. If the call goes
// on waiting, it returns after which time to check it again.
func (b *binder) handleOverdue(c *call) (x *binding, again time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.state {
	case callBound, callRefused:
		return nil, askTimeout, nil // its signal is on the way
	case callQueued:
		if b.link != nil && !b.link.closed {
			if !c.startBy.IsZero() && time.Now().After(c.startBy.Add(askTimeout)) {
				b.withdraw(c)
				return nil, 0, &refusal{reason: "the dispatcher did not decide in time", retryAfter: localRetryAfter}
			}
			return nil, askTimeout, nil
		}
	case callAsking:
		if b.link != nil && b.link.lastHeard.Before(c.askedAt) {
			b.link.unresponsive = true
		}
	}
	x, err, ok := b.decideAlone(c)
	if !ok {
		again = c.overdueIn(time.Now())
	}
	return x, again, err
}

// withdrawStopping withdraws a call that has no final answer yet, since this host stops. It returns false if the call has one.
func (b *binder) withdrawStopping(c *call) (*binding, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == callBound || c.state == callRefused {
		return nil, nil, false // its signal is on the way
	}
	b.withdraw(c)
	return nil, errStopping, true
}

// withdraw removes a call, and cancels it at the dispatcher. The caller holds the lock.
func (b *binder) withdraw(c *call) {
	if b.calls[c.ask.ID] == c {
		delete(b.calls, c.ask.ID)
		b.sendLocked(&wire.Cancel{ID: c.ask.ID})
	}
	c.state = callWithdrawn
}

// abandon withdraws a call whose request has ended.
func (b *binder) abandon(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdraw(c)
}

// reportStarted reports to the dispatcher that the first part of the answer arrived after the given time.
func (x *binding) reportStarted(first time.Duration) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quarantine.Began(x.c.ask.PromptParts)
	x.permit.end()
	b.sendLocked(&wire.Started{ID: x.c.ask.ID, FirstMs: uint32(first.Milliseconds())})
}

// done frees the slot and reports the outcome of the attempt. Only the first call has an effect.
func (x *binding) done(d wire.Done) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	x.permit.end()
	if b.calls[x.c.ask.ID] != x.c {
		return
	}
	delete(b.calls, x.c.ask.ID)
	if x.c.untracked {
		b.releaseLocalSlot(x.endpoint)
	}
	if attempt.Outcome(d.Outcome).NotExecuted() {
		b.refundLocally(x.c)
	}
	if d.Fault != 0 {
		b.avoidUntil[x.endpoint] = time.Now().Add(avoidTime)
	}
	d.ID, d.Endpoint = x.c.ask.ID, x.endpoint
	if e := b.h.directory.view().Endpoint(x.endpoint); d.ConnectionLost && d.Events == 0 && e != nil {
		// The next dispatcher learns it from this host if the one in use doesn't get the outcome.
		b.quarantine.Crashed(clock.Boot(), x.c.ask.PromptParts, x.endpoint, e.StartUnixMs, false)
	}
	b.sendLocked(&d)
}

// permitResend gets a permit to send the request again on the same slot, and returns whether this host may do so by itself.
func (x *binding) permitResend() bool {
	x.permit.end()
	x.permit = x.b.h.retries.reserve(x.c.ask.Service)
	return x.permit != nil
}

// release frees a slot that was not used. The binding may be nil.
func (x *binding) release() {
	if x != nil {
		x.done(wire.Done{Outcome: uint8(attempt.NotSent)})
	}
}

// prepareAdapter asks the placement lease holder to load the request's adapter, and returns how long to wait until the adapter
// can be used.
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
	reply, err := x.b.h.holder.sendPrepare(ctx, holder, m)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", errHolderUnreachable, err)
	}
	if !reply.OK {
		return 0, errors.New(reply.Reason)
	}
	return time.Duration(reply.WaitMs) * time.Millisecond, nil
}

// errHolderUnreachable means that the holder of the placement lease gave no reply.
var errHolderUnreachable = errors.New("the holder of the placement lease does not answer this host")

// binderEnd is the binder's end of the connection to the dispatcher of the same process. Sending does not take the binder's
// lock, which the sender may hold.
type binderEnd struct {
	b *binder
	l *link
}

// Send queues a message for the dispatcher.
func (p *binderEnd) Send(m wire.Message) error {
	p.b.h.dispatcher.pushEvent(p.b.h.deployment().Host, (*dispatcherEnd)(p), m)
	return nil
}

// Close signals the end of the connection to the dispatcher.
func (p *binderEnd) Close() {
	go p.b.h.dispatcher.pushEvent(p.b.h.deployment().Host, (*dispatcherEnd)(p), nil)
}

// dispatcherEnd is the dispatcher's end of the same connection.
type dispatcherEnd binderEnd

// Send passes a message to the binder.
func (p *dispatcherEnd) Send(m wire.Message) error {
	p.b.onMessage(p.l, m)
	return nil
}

// Close is called when the dispatcher's queue for this host is full. The next check of the dispatcher finds the link closed.
func (p *dispatcherEnd) Close() {
	go func() {
		p.b.mu.Lock()
		p.l.closed = true
		p.b.mu.Unlock()
		p.b.triggerCheck()
	}()
}
