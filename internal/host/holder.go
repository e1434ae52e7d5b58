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

	termShare     = 0.55 // of the deployment's lease time
	renewShare    = 0.15
	marginShare   = 0.08
	leaseTick     = 50 * time.Millisecond  // while the lease is held, or its holder is silent
	idleLeaseTick = 250 * time.Millisecond // while another host holds it
	leaseCall     = 700 * time.Millisecond
	holderQuiet   = 500 * time.Millisecond // without a sign of the holder before its lease is read
	rankDelay     = 250 * time.Millisecond // hosts later in the order challenge later
	dutyDelay     = 2 * time.Second        // the dispatcher challenges last
	orderMargin   = 60 * time.Millisecond  // of the term, in which no order is sent any more
	beatEvery     = 150 * time.Millisecond
	planEvery     = 150 * time.Millisecond
	demandFresh   = time.Second
	// mostExtension is how long after the end of its term a holder goes on that can't reach the store.
	mostExtension = 20 * time.Second
	ceilingExtra  = 3.0 // loads beyond the rate that the platform's rule allows in a window
)

// holder keeps the placement lease, and gives orders to engines while it is held.
type holder struct {
	h       *Host
	log     telemetry.Logger
	release chan struct{}
	vacant  chan struct{} // the dispatcher tells that the lease is free
	once    sync.Once
	ended   chan struct{}

	mu    sync.Mutex
	epoch uint64
	until time.Duration // end of the term on the boot clock
	spent uint64        // epoch that endpoints have refused
	cut   bool          // the store did not answer the latest call for the lease

	clientMu sync.Mutex
	to       string // host that client leads to
	client   *transport.Client

	fleet *ledgers
}

func newHolder(h *Host) *holder {
	o := &holder{h: h, log: h.log.Part("placement"), release: make(chan struct{}), vacant: make(chan struct{}, 1), ended: make(chan struct{})}
	o.fleet = newLedgers(o)
	return o
}

// leaseIsFree wakes the duty.
func (o *holder) leaseIsFree() {
	select {
	case o.vacant <- struct{}{}:
	default:
	}
}

// held returns the epoch under which orders may be sent now, or 0.
func (o *holder) held() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := clock.Boot()
	if o.epoch == 0 || o.epoch == o.spent || now > o.until-orderMargin && !o.extended(now) {
		return 0
	}
	return o.epoch
}

// extended tells whether the holder may go on after the end of its term, because the store does not answer it: where
// endpoints refuse orders of an earlier epoch, and as long as the dispatcher knows of no later holder. Nobody else can
// take the lease while the store is away from all. The load pattern that it answers: demand moves during an outage of
// the store, and copies have to follow. The caller holds the lock.
func (o *holder) extended(now time.Duration) bool {
	if !o.cut || !o.h.deployment().FencesChecked || o.h.leaving() || now > o.until+mostExtension {
		return false
	}
	state, age := o.h.binder.fleetState()
	return age < demandFresh && state.Holder == o.h.deployment().Host && state.Epoch == o.epoch
}

// leaseCalls makes the calls for the lease, and notes whether the store answers them.
type leaseCalls struct{ o *holder }

func (c leaseCalls) answered(o objects.Object, err error) (objects.Object, error) {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	c.o.cut = err != nil && !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrNotFound)
	return o, err
}

// Get implements leasestore.Store.
func (c leaseCalls) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	return c.answered(c.o.h.opts.Store.Get(ctx, kind, name))
}

// Create implements leasestore.Store.
func (c leaseCalls) Create(ctx context.Context, o objects.Object) (objects.Object, error) {
	return c.answered(c.o.h.opts.Store.Create(ctx, o))
}

// Update implements leasestore.Store.
func (c leaseCalls) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	return c.answered(c.o.h.opts.Store.Update(ctx, o))
}

// fenced notes that a later epoch has given orders: this one gives none any more.
func (o *holder) fenced(epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.spent < epoch {
		o.spent = epoch
		o.log.Warn().Uint64("epoch", epoch).Msg("An endpoint has seen a later epoch, no more orders.")
	}
}

// handOver gives the lease up and waits until that is stored or ctx ends.
func (o *holder) handOver(ctx context.Context) {
	o.once.Do(func() { close(o.release) })
	select {
	case <-o.ended:
	case <-ctx.Done():
	}
}

func (o *holder) run(ctx context.Context) {
	term := float64(o.h.deployment().LeaseTerm)
	m := lease.New(lease.Config{
		Host: o.h.deployment().Host, Incarnation: o.h.incarnation, Term: time.Duration(termShare * term),
		Renew: time.Duration(renewShare * term), Margin: time.Duration(marginShare * term), Quiet: holderQuiet, Seed: o.h.incarnation,
	})
	stored := leasestore.Lease{Store: leaseCalls{o}, Kind: kindLeases, Name: leaseName, Timeout: leaseCall, Now: clock.Boot}
	t := time.NewTimer(leaseTick)
	defer t.Stop()
	release := o.release
	heard := clock.Boot()
	var vacated uint64 // epoch whose end was acted on
	var stopDuty context.CancelFunc
	defer func() {
		if stopDuty != nil {
			stopDuty()
		}
		close(o.ended)
	}()
	for !m.Released() {
		select {
		case <-ctx.Done():
			return
		case <-release:
			release = nil
			if epoch := m.Held(clock.Boot()); epoch > 0 {
				defer o.h.binder.tell(&wire.HolderBeat{Host: o.h.deployment().Host, Epoch: epoch, LeaseReleased: true})
			}
			m.Release()
		case <-t.C:
		case <-o.vacant:
		}
		now := clock.Boot()
		f, age := o.h.binder.fleetState()
		switch {
		case age >= demandFresh:
		case f.Holder != "":
			m.Heard(now)
			heard = now
		case f.LeaseVacant && f.Epoch > vacated && !o.h.leaving() && !o.h.binder.isDispatcher():
			vacated = f.Epoch
			heard -= holderQuiet
			m.Hurry()
		}
		if m.Held(now) > 0 || release == nil || o.mayChallenge(now-heard) {
			if err := stored.Step(ctx, m); err != nil {
				o.log.Debug().Err(err).Msg("Lease call failed.")
			}
		}
		stopDuty = o.follow(ctx, m, stopDuty)
		if m.Held(now) > 0 || release == nil || now-heard > holderQuiet/2 {
			t.Reset(leaseTick)
		} else {
			t.Reset(idleLeaseTick)
		}
	}
}

// mayChallenge tells whether this host reads the lease after a silence of the holder. Hosts do so in their order, so
// that few of them call the store, and the dispatcher last: the two duties are kept apart.
func (o *holder) mayChallenge(silence time.Duration) bool {
	if o.h.leaving() || !o.h.directory.isComplete() {
		return false
	}
	wait := holderQuiet
	for i, h := range o.h.directory.view().Hosts {
		if h.Name == o.h.deployment().Host {
			wait += time.Duration(max(i-1, 0)) * rankDelay
		}
	}
	if o.h.binder.isDispatcher() {
		wait += dutyDelay
	}
	return silence > wait
}

// follow starts and stops the duty with the lease.
func (o *holder) follow(ctx context.Context, m *lease.Machine, stop context.CancelFunc) context.CancelFunc {
	epoch := m.Held(clock.Boot())
	if epoch == 0 && o.held() > 0 {
		return stop
	}
	o.mu.Lock()
	before := o.epoch
	o.epoch, o.until = epoch, m.Until()
	o.mu.Unlock()
	if epoch == before {
		return stop
	}
	if stop != nil {
		stop()
		o.log.Info().Uint64("epoch", before).Msg("Placement lease no longer held.")
	}
	if epoch == 0 {
		return nil
	}
	o.log.Info().Uint64("epoch", epoch).Msg("Placement lease held.")
	ctx, cancel := context.WithCancel(ctx)
	go o.duty(ctx, epoch)
	return cancel
}

// duty plans copies and tells the dispatcher of the holder until ctx ends.
func (o *holder) duty(ctx context.Context, epoch uint64) {
	o.fleet.takeOver(epoch)
	planners := make(map[string]*copies.Planner)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		case <-o.fleet.changed:
		}
		if o.held() != epoch {
			continue
		}
		if guarded(o.log, "placement", func() {
			o.fleet.refresh(ctx, o.h.directory.view())
			o.plan(ctx, planners, epoch)
			b := o.fleet.beat(o.h.deployment().Host, epoch, o.h.directory.view())
			b.StoreLoads = told(planners)
			o.h.binder.tell(b)
		}) != nil {
			clear(planners) // as after a change of the holder: half of the loads that are allowed count as made
		}
	}
}

// told returns the loads from the weight store that the planners count. It is nil before the first round: that would
// replace what the dispatcher knows of an earlier holder.
func told(planners map[string]*copies.Planner) []wire.StoreLoads {
	var out []wire.StoreLoads
	now := clock.Boot()
	for name, p := range planners {
		l := wire.StoreLoads{Service: name}
		for _, age := range p.Loads(now) {
			l.AgesMs = append(l.AgesMs, uint32(age.Milliseconds()))
		}
		out = append(out, l)
	}
	return out
}

// recall tells a new planner what an earlier holder has loaded.
func recall(p *copies.Planner, now time.Duration, service string, state *wire.FleetState, age time.Duration) {
	if !state.StoreLoadsKnown {
		return // half of the window counts as used
	}
	var ages []time.Duration
	for _, l := range state.StoreLoads {
		if l.Service == service {
			for _, a := range l.AgesMs {
				ages = append(ages, age+time.Duration(a)*time.Millisecond)
			}
		}
	}
	p.Recall(now, ages)
}

// plan runs a round for each service of engines.
func (o *holder) plan(ctx context.Context, planners map[string]*copies.Planner, epoch uint64) {
	state, age := o.h.binder.fleetState()
	v := o.h.directory.view()
	if age > demandFresh || v.Config == nil || state.Epoch != epoch {
		return // without demand, what is there stays; the dispatcher sends it once it knows of this holder
	}
	now := clock.Boot()
	for name, svc := range v.Config.Services {
		if svc.Engine == nil {
			continue
		}
		p := planners[name]
		if p == nil {
			d := o.h.deployment()
			p = copies.New(now, copies.Limits{Window: d.LoadWindow, Over: d.LoadOver, Extra: ceilingExtra}, copies.DefaultTuning(), svc.Engine.LoadsPerSecond)
			recall(p, now, name, &state, age)
			planners[name] = p
		}
		in := copies.Input{Now: now, Engine: svc.Engine, Endpoints: o.fleet.planned(name, v, &state), Demand: copies.Demands(name, &state)}
		for _, c := range p.Round(in) {
			o.log.Info().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Str("from", c.From.String()).
				Float64("need", c.Need).Int("copies", c.Copies).Float64("gain", c.Gain).Int64("demandAgeMs", age.Milliseconds()).Str("reason", c.Reason).Msg("Copy ordered.")
			o.fleet.change(ctx, c, svc.Engine)
		}
	}
}

// prepare loads an adapter for another host, or this one, and replies once. It does not block.
func (o *holder) prepare(m *wire.Prepare, reply func(*wire.PrepareReply)) {
	if o.held() == 0 {
		reply(&wire.PrepareReply{Reason: "this host does not hold the placement lease"})
		return
	}
	o.fleet.prepare(m, reply)
}

// prepareTimeout lets an eviction and a load be sent twice each.
const prepareTimeout = 700 * time.Millisecond

// ask sends a Prepare to the holder.
func (o *holder) ask(ctx context.Context, to string, m *wire.Prepare) (*wire.PrepareReply, error) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if to == o.h.deployment().Host {
		ch := make(chan *wire.PrepareReply, 1)
		o.prepare(m, func(r *wire.PrepareReply) { ch <- r })
		select {
		case r := <-ch:
			return r, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c := o.clientTo(to)
	if c == nil {
		return nil, errors.Errorf("holder %s is not registered", to)
	}
	conn, err := waitConn(ctx, c)
	if err != nil {
		return nil, err
	}
	r, err := conn.Call(ctx, m)
	if err != nil {
		return nil, errors.Annotatef(err, "holder %s", to)
	}
	reply, ok := r.(*wire.PrepareReply)
	if !ok {
		return nil, errors.Errorf("holder %s sent a message of kind %d", to, r.Kind())
	}
	return reply, nil
}

const connPoll = 2 * time.Millisecond

func waitConn(ctx context.Context, c *transport.Client) (*transport.Conn, error) {
	for {
		if conn := c.Conn(); conn != nil {
			return conn, nil
		}
		if clock.Sleep(ctx, connPoll); ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// clientTo returns the connection to the holder's host.
func (o *holder) clientTo(host string) *transport.Client {
	o.clientMu.Lock()
	defer o.clientMu.Unlock()
	var addr string
	for _, h := range o.h.directory.view().Hosts {
		if h.Name == host {
			addr = h.Address
		}
	}
	if addr == "" {
		return nil
	}
	if o.client == nil || o.to != host || o.client.Addr() != addr {
		if o.client != nil {
			go o.client.Close()
		}
		o.to = host
		o.client = o.h.dialPeer(context.Background(), addr, func(*transport.Conn, uint64, wire.Message) {}, nil, nil)
	}
	return o.client
}

// order sends one order under the held epoch. Without an answer it is sent again: it applies at one sequence only, so that
// at most one of the copies takes effect, and a copy that arrives late is refused.
func (o *holder) order(ctx context.Context, e *fleet.Endpoint, ord fleet.Order) fleet.OrderResult {
	ord.Endpoint, ord.Holder = e.ID, o.h.deployment().Host
	result := fleet.OrderUnknown
	for n := 0; n < orderSends && result == fleet.OrderUnknown && ctx.Err() == nil; n++ {
		epoch := o.held()
		if epoch == 0 {
			break
		}
		ord.Fence = epoch
		result = o.send(ctx, e, &ord)
		if n > 0 && result == fleet.OrderConflict && (ord.Load || ord.Adapter == "") {
			// An earlier copy has taken effect, or is being carried out. For models, the engine is asked afterwards.
			result = fleet.OrderAccepted
		}
	}
	return result
}

// send sends one copy of an order.
func (o *holder) send(ctx context.Context, e *fleet.Endpoint, ord *fleet.Order) fleet.OrderResult {
	q, err := o.h.opts.Codec.Order(e, ord)
	if err != nil {
		o.log.Error().Err(err).Msg("Order can't be encoded.")
		return fleet.OrderInvalid
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result := fleet.OrderUnknown
	resp, err := o.h.orders.RoundTrip(ctx, q)
	if err == nil {
		result = o.h.opts.Codec.OrderResult(resp.StatusCode)
		a := o.h.opts.Codec.Answer(resp.StatusCode, resp.Header)
		o.h.heed(e, &a)
		_, more, rerr := resp.ReadAll(maxReport)
		resp.Close(rerr == nil && !more)
	}
	if result == fleet.OrderFenced {
		o.fenced(ord.Fence)
	}
	o.log.Info().Str("endpoint", e.ID).Bool("load", ord.Load).Str("model", ord.Model).Str("adapter", ord.Adapter).
		Int64("expect", ord.Expect).Uint64("epoch", ord.Fence).Str("result", result.String()).Err(err).Msg("Order sent.")
	return result
}
