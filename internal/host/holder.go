package host

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/leasestore"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	kindLeases = "sycamore-leases"
	leaseName  = "placement"

	termFraction             = 0.55                   // term of the lease, as a fraction of Deployment.LeaseTerm
	renewFraction            = 0.15                   // time between renewals, likewise a fraction
	calmRenewFraction        = 0.28                   // the same while the store answers at once
	calmTimeoutFraction      = 0.17                   // time limit of the call that follows, likewise a fraction
	challengeFraction        = 0.4                    // time between reads of a host that waits for the end of a term, likewise a fraction
	calmLatency              = 100 * time.Millisecond // of an answer that counts as given at once
	marginFraction           = 0.08                   // additional wait of a challenger, likewise a fraction
	activeLeaseInterval      = 50 * time.Millisecond  // between lease steps while the lease is held or its holder is silent
	idleLeaseInterval        = 250 * time.Millisecond // between lease steps while another host holds it
	leaseCallTimeout         = 700 * time.Millisecond // of one call to the store
	challengeSilence         = 500 * time.Millisecond // silence of the holder after which the first hosts read the lease
	challengeStagger         = 250 * time.Millisecond // additional silence for each later host in the order of hosts
	dispatcherChallengeDelay = 2 * time.Second        // additional silence for the dispatcher, which challenges last
	orderCutoff              = 60 * time.Millisecond  // time before the end of the term from which no order is sent
	placementInterval        = 150 * time.Millisecond // between placement rounds, each of which sends a HolderBeat
	fleetStateMaxAge         = time.Second            // age beyond which the dispatcher's state is not used
	// maxTermExtension is how long a holder that cannot reach the store may continue after the end of its term.
	maxTermExtension    = 20 * time.Second
	extraLoadsPerWindow = 3.0 // number of loads that the platform's rule allows in a window beyond its rate
)

// holder acquires and renews the placement lease. While this host holds the lease, it plans the copies of models and
// sends orders to engines.
type holder struct {
	h                *Host
	log              telemetry.Logger
	releaseRequested chan struct{} // closed when the lease has to be released
	leaseVacant      chan struct{} // signals that the dispatcher reported the lease as vacant
	releaseOnce      sync.Once     // guards the close of releaseRequested
	runEnded         chan struct{} // closed when run returns

	mu               sync.Mutex
	epoch            uint64        // epoch of the held lease, 0 if it is not held
	termEnd          time.Duration // end of the term, on the boot-time clock
	fencedEpoch      uint64        // latest own epoch whose orders an endpoint has refused as fenced
	storeUnreachable bool          // whether the latest call for the lease got no answer from the store

	clientMu   sync.Mutex
	clientHost string // host that client connects to
	client     *transport.Client

	engines *engineManager
}

func newHolder(h *Host) *holder {
	ph := &holder{h: h, log: h.log.Part("placement"), releaseRequested: make(chan struct{}),
		leaseVacant: make(chan struct{}, 1), runEnded: make(chan struct{})}
	ph.engines = newEngineManager(ph)
	return ph
}

// notifyLeaseVacant wakes the run loop because the dispatcher reported the lease as vacant. It does not block.
func (ph *holder) notifyLeaseVacant() {
	select {
	case ph.leaseVacant <- struct{}{}:
	default:
	}
}

// heldEpoch returns the epoch under which this host may send orders now, or 0 if it may not send any.
func (ph *holder) heldEpoch() uint64 {
	ph.mu.Lock()
	defer ph.mu.Unlock()
	now := clock.Boot()
	if ph.epoch == 0 || ph.epoch == ph.fencedEpoch || now > ph.termEnd-orderCutoff && !ph.termExtended(now) {
		return 0
	}
	return ph.epoch
}

// termExtended reports whether the holder may continue after the end of its term while the store is unreachable. It may
// if endpoints refuse orders of an earlier epoch and the dispatcher knows of no later holder: no other host can take
// the lease while the store is unreachable for all of them. The extension is needed when demand shifts during a store
// outage, because copies have to follow the demand. The caller must hold ph.mu.
func (ph *holder) termExtended(now time.Duration) bool {
	if !ph.storeUnreachable || !ph.h.deployment().FencingEnforced || ph.h.leaving() || now > ph.termEnd+maxTermExtension {
		return false
	}
	state, age := ph.h.binder.fleetState()
	return age < fleetStateMaxAge && state.Holder == ph.h.deployment().Host && state.Epoch == ph.epoch
}

// trackedLeaseStore forwards lease calls to the store and records whether the store answers them.
type trackedLeaseStore struct{ holder *holder }

// recordOutcome records whether the store answered a call, and returns the call's results unchanged. A conflict or a
// missing object is an answer.
func (c trackedLeaseStore) recordOutcome(o objects.Object, err error) (objects.Object, error) {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	c.holder.storeUnreachable = err != nil && !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrNotFound)
	return o, err
}

// Generation returns the generation of the store's content.
func (c trackedLeaseStore) Generation() uint64 { return c.holder.h.opts.Store.Generation() }

// Get implements leasestore.Store.
func (c trackedLeaseStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	return c.recordOutcome(c.holder.h.opts.Store.Get(ctx, kind, name))
}

// Create implements leasestore.Store.
func (c trackedLeaseStore) Create(ctx context.Context, o objects.Object) (objects.Object, error) {
	return c.recordOutcome(c.holder.h.opts.Store.Create(ctx, o))
}

// Update implements leasestore.Store.
func (c trackedLeaseStore) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	return c.recordOutcome(c.holder.h.opts.Store.Update(ctx, o))
}

// markFenced records that an endpoint refused an order of this epoch because it has seen a later one. No more orders
// are sent under this epoch.
func (ph *holder) markFenced(epoch uint64) {
	ph.mu.Lock()
	defer ph.mu.Unlock()
	if ph.fencedEpoch < epoch {
		ph.fencedEpoch = epoch
		ph.log.Warn().Uint64("epoch", epoch).Msg("An endpoint has seen a later epoch, so this host sends no more orders.")
	}
}

// releaseLease releases the lease and waits until the release is stored or ctx ends.
func (ph *holder) releaseLease(ctx context.Context) {
	ph.releaseOnce.Do(func() { close(ph.releaseRequested) })
	select {
	case <-ph.runEnded:
	case <-ctx.Done():
	}
}

// run acquires, renews and releases the lease, and starts and stops the placement loop with it, until ctx ends or the
// lease is released.
func (ph *holder) run(ctx context.Context) {
	term := float64(ph.h.deployment().LeaseTerm)
	machine := lease.New(lease.Config{
		Host: ph.h.deployment().Host, Incarnation: ph.h.incarnation, Term: time.Duration(termFraction * term),
		RenewInterval: time.Duration(renewFraction * term), Margin: time.Duration(marginFraction * term), HolderTimeout: challengeSilence,
		CalmRenewInterval: time.Duration(calmRenewFraction * term), CalmLatency: calmLatency,
		ChallengeInterval: time.Duration(challengeFraction * term), Seed: ph.h.incarnation,
	})
	storedLease := leasestore.Lease{Store: trackedLeaseStore{ph}, Kind: kindLeases, Name: leaseName,
		CallTimeout: leaseCallTimeout, Now: clock.Boot}
	timer := time.NewTimer(activeLeaseInterval)
	defer timer.Stop()
	release := ph.releaseRequested
	lastHeard := clock.Boot()
	var handledVacancy uint64 // latest epoch whose vacancy was handled
	var stopPlacement context.CancelFunc
	defer func() {
		if stopPlacement != nil {
			stopPlacement()
		}
		close(ph.runEnded)
	}()
	for !machine.Released() {
		select {
		case <-ctx.Done():
			return
		case <-release:
			release = nil
			if epoch := machine.HeldEpoch(clock.Boot()); epoch > 0 {
				defer ph.h.binder.sendToDispatcher(&wire.HolderBeat{Host: ph.h.deployment().Host, Epoch: epoch, LeaseReleased: true})
			}
			machine.Release()
		case <-timer.C:
		case <-ph.leaseVacant:
		}
		now := clock.Boot()
		state, age := ph.h.binder.fleetState()
		switch {
		case age >= fleetStateMaxAge:
		case state.Holder != "":
			machine.HolderSeen(now)
			lastHeard = now
		case state.LeaseVacant && state.Epoch > handledVacancy && !ph.h.leaving() && !ph.h.binder.isDispatcher():
			handledVacancy = state.Epoch
			lastHeard -= challengeSilence
			machine.MakeDue()
		}
		if machine.HeldEpoch(now) > 0 || release == nil || ph.mayChallenge(now-lastHeard) {
			if storedLease.CallTimeout = leaseCallTimeout; machine.Calm() {
				storedLease.CallTimeout = time.Duration(calmTimeoutFraction * term)
			}
			if err := storedLease.Step(objects.WithCause(ctx, leaseCause(machine.HeldEpoch(now) > 0, release == nil)), machine); err != nil {
				ph.log.Debug().Err(err).Msg("Lease call failed.")
			}
		}
		stopPlacement = ph.syncWithLease(ctx, machine, stopPlacement)
		if machine.HeldEpoch(now) > 0 || release == nil || now-lastHeard > challengeSilence/2 {
			timer.Reset(activeLeaseInterval)
		} else {
			timer.Reset(idleLeaseInterval)
		}
	}
}

// mayChallenge reports whether this host may read the lease after the holder has been silent for a time. Hosts do so in
// their order, so that few of them call the store. The dispatcher is last, because one host should not be both
// dispatcher and placement holder.
func (ph *holder) mayChallenge(silence time.Duration) bool {
	if ph.h.leaving() || !ph.h.directory.isComplete() {
		return false
	}
	wait := challengeSilence
	for i, h := range ph.h.directory.view().Hosts {
		if h.Name == ph.h.deployment().Host {
			wait += time.Duration(max(i-1, 0)) * challengeStagger
		}
	}
	if ph.h.binder.isDispatcher() {
		wait += dispatcherChallengeDelay
	}
	return silence > wait
}

// syncWithLease starts the placement loop when the lease is acquired and stops it when the lease is lost. stop cancels
// the running loop, nil if none runs; the returned function replaces it. The loop continues while the term is extended.
func (ph *holder) syncWithLease(ctx context.Context, machine *lease.Machine, stop context.CancelFunc) context.CancelFunc {
	epoch := machine.HeldEpoch(clock.Boot())
	if epoch == 0 && ph.heldEpoch() > 0 {
		return stop
	}
	ph.mu.Lock()
	previous := ph.epoch
	ph.epoch, ph.termEnd = epoch, machine.TermEnd()
	ph.mu.Unlock()
	if epoch == previous {
		return stop
	}
	if stop != nil {
		stop()
		ph.log.Info().Uint64("epoch", previous).Msg("Placement lease no longer held.")
	}
	if epoch == 0 {
		return nil
	}
	ph.log.Info().Uint64("epoch", epoch).Msg("Placement lease held.")
	ctx, cancel := context.WithCancel(ctx)
	go ph.runPlacement(ctx, epoch)
	return cancel
}

// runPlacement plans copies and sends the dispatcher a HolderBeat, at each interval and after each change of an engine,
// until ctx ends.
func (ph *holder) runPlacement(ctx context.Context, epoch uint64) {
	ph.engines.reset(epoch)
	planners := make(map[string]*copies.Planner)
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-ph.engines.changed:
		}
		if ph.heldEpoch() != epoch {
			continue
		}
		if catchPanic(ph.log, "placement", func() {
			ph.engines.refresh(ctx, ph.h.directory.view())
			ph.plan(ctx, planners, epoch)
			message := ph.engines.buildBeat(ph.h.deployment().Host, epoch, ph.h.directory.view())
			message.StoreLoads = recentLoads(planners)
			ph.h.binder.sendToDispatcher(message)
		}) != nil {
			clear(planners) // new planners restore the loads from the dispatcher's state, or count half of the allowed ones
		}
	}
}

// recentLoads returns the loads from the weight store that the planners still count against the rate limit. It returns
// nil before the first round, because an empty list would replace the loads that the dispatcher knows of an earlier
// holder.
func recentLoads(planners map[string]*copies.Planner) []wire.StoreLoads {
	var out []wire.StoreLoads
	now := clock.Boot()
	for name, planner := range planners {
		loads := wire.StoreLoads{Service: name}
		for _, age := range planner.LoadHistory(now) {
			loads.AgesMs = append(loads.AgesMs, uint32(age.Milliseconds()))
		}
		out = append(out, loads)
	}
	return out
}

// restoreLoads gives a new planner the loads that an earlier holder has made. age is the age of state.
func restoreLoads(planner *copies.Planner, now time.Duration, service string, state *wire.FleetState, age time.Duration) {
	if !state.StoreLoadsKnown {
		return // the planner then assumes that half of the allowed loads were made
	}
	var ages []time.Duration
	for _, l := range state.StoreLoads {
		if l.Service == service {
			for _, a := range l.AgesMs {
				ages = append(ages, age+time.Duration(a)*time.Millisecond)
			}
		}
	}
	planner.SetLoadHistory(now, ages)
}

// plan runs one planning round for each service that has engines, and starts the changes that the planners order.
func (ph *holder) plan(ctx context.Context, planners map[string]*copies.Planner, epoch uint64) {
	state, age := ph.h.binder.fleetState()
	v := ph.h.directory.view()
	if age > fleetStateMaxAge || v.Config == nil || state.Epoch != epoch {
		return // copies stay as they are until the dispatcher, knowing of this holder, sends the demand
	}
	now := clock.Boot()
	for name, svc := range v.Config.Services {
		if svc.Engine == nil {
			continue
		}
		p := planners[name]
		if p == nil {
			d := ph.h.deployment()
			p = copies.New(now, copies.Limits{Window: d.LoadWindow, RateFactor: d.LoadRateFactor, ExtraLoads: extraLoadsPerWindow},
				copies.DefaultTuning(), svc.Engine.LoadsPerSecond)
			restoreLoads(p, now, name, &state, age)
			planners[name] = p
		}
		in := copies.Input{Now: now, Engine: svc.Engine, Endpoints: ph.engines.plannerEndpoints(name, v, &state),
			Demand: copies.DemandByModel(name, &state)}
		for _, c := range p.Plan(in) {
			ph.log.Info().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Str("from", c.Source.String()).
				Float64("need", c.Need).Int("copies", c.CopiesBefore).Float64("gain", c.Gain).
				Int64("demandAgeMs", age.Milliseconds()).Str("reason", c.Reason).Msg("Copy ordered.")
			ph.engines.startChange(ctx, c, svc.Engine)
		}
	}
}

// handlePrepare requests the load of an adapter on behalf of a host, which may be this one. It calls reply exactly once
// and does not block.
func (ph *holder) handlePrepare(m *wire.Prepare, reply func(*wire.PrepareReply)) {
	if ph.heldEpoch() == 0 {
		reply(&wire.PrepareReply{Reason: "this host does not hold the placement lease"})
		return
	}
	ph.engines.enqueuePrepare(m, reply)
}

// prepareTimeout leaves time for an eviction and a load to be sent twice each.
const prepareTimeout = 700 * time.Millisecond

// sendPrepare sends a Prepare to the holder, which runs on the named host, and returns its reply.
func (ph *holder) sendPrepare(ctx context.Context, host string, m *wire.Prepare) (*wire.PrepareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if host == ph.h.deployment().Host {
		ch := make(chan *wire.PrepareReply, 1)
		ph.handlePrepare(m, func(r *wire.PrepareReply) { ch <- r })
		select {
		case r := <-ch:
			return r, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c := ph.clientTo(host)
	if c == nil {
		return nil, errors.Errorf("holder %s is not registered", host)
	}
	conn, err := waitConn(ctx, c)
	if err != nil {
		return nil, err
	}
	r, err := conn.Call(ctx, m)
	if err != nil {
		return nil, errors.Annotatef(err, "holder %s", host)
	}
	reply, ok := r.(*wire.PrepareReply)
	if !ok {
		return nil, errors.Errorf("holder %s sent a message of kind %d", host, r.Kind())
	}
	return reply, nil
}

const connPollInterval = 2 * time.Millisecond

// waitConn waits until the client is connected or ctx ends.
func waitConn(ctx context.Context, c *transport.Client) (*transport.Conn, error) {
	for {
		if conn := c.Conn(); conn != nil {
			return conn, nil
		}
		if clock.Sleep(ctx, connPollInterval); ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// clientTo returns the client connected to a host, or nil if the host is not registered. It keeps one client and
// replaces it when the host or its address changes.
func (ph *holder) clientTo(host string) *transport.Client {
	ph.clientMu.Lock()
	defer ph.clientMu.Unlock()
	var addr string
	for _, h := range ph.h.directory.view().Hosts {
		if h.Name == host {
			addr = h.Address
		}
	}
	if addr == "" {
		return nil
	}
	if ph.client == nil || ph.clientHost != host || ph.client.Addr() != addr {
		if ph.client != nil {
			go ph.client.Close()
		}
		ph.clientHost = host
		ph.client = ph.h.dialPeer(context.Background(), addr, func(*transport.Conn, uint64, wire.Message) {}, nil, nil)
	}
	return ph.client
}

// sendOrder sends one order under the held epoch. An order without an answer is sent again. Endpoints apply an order
// only at its expected sequence number, so at most one of the repeated sends takes effect, and one that arrives late is
// refused.
func (ph *holder) sendOrder(ctx context.Context, e *fleet.Endpoint, order fleet.Order) fleet.OrderResult {
	order.Endpoint, order.Holder = e.ID, ph.h.deployment().Host
	result := fleet.OrderUnknown
	for n := 0; n < maxOrderSends && result == fleet.OrderUnknown && ctx.Err() == nil; n++ {
		epoch := ph.heldEpoch()
		if epoch == 0 {
			break
		}
		order.FencingToken = epoch
		result = ph.sendOrderOnce(ctx, e, &order)
		if n > 0 && result == fleet.OrderConflict && (order.Load || order.Adapter == "") {
			// An earlier send has taken effect or is being carried out. For models, awaitChange checks the engine afterwards.
			result = fleet.OrderAccepted
		}
	}
	return result
}

// sendOrderOnce sends an order once and returns its result.
func (ph *holder) sendOrderOnce(ctx context.Context, e *fleet.Endpoint, order *fleet.Order) fleet.OrderResult {
	req, err := ph.h.opts.Codec.Order(e, order)
	if err != nil {
		ph.log.Error().Err(err).Msg("Failed to encode an order.")
		return fleet.OrderInvalid
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result := fleet.OrderUnknown
	resp, err := ph.h.orderPool.RoundTrip(ctx, req)
	if err == nil {
		result = ph.h.opts.Codec.OrderResult(resp.StatusCode)
		answer := ph.h.opts.Codec.Answer(resp.StatusCode, resp.Header)
		ph.h.applySignals(e, time.Time{}, &answer)
		resp.Close(resp.Discard(maxDiscardedBytes, maxDiscardTime))
	}
	if result == fleet.OrderFenced {
		ph.markFenced(order.FencingToken)
	}
	ph.log.Info().Str("endpoint", e.ID).Bool("load", order.Load).Str("model", order.Model).Str("adapter", order.Adapter).
		Int64("expect", order.ExpectedSequence).Uint64("epoch", order.FencingToken).Str("result", result.String()).Err(err).Msg("Order sent.")
	return result
}
