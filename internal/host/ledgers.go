package host

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

const (
	orderTimeout  = 150 * time.Millisecond // engines answer an order at once and carry it out afterwards
	orderSends    = 3                      // of an order that gets no answer
	reportTimeout = 400 * time.Millisecond
	maxReport     = 1 << 20                // bytes
	reportLag     = 250 * time.Millisecond // by which reports are behind; the answer to an order is not in an earlier one
	closingWait   = 40 * time.Millisecond  // for the dispatcher to hear that a copy closes
	pollEvery     = 250 * time.Millisecond // while an order is carried out; each report is priced
	pollEarly     = 50 * time.Millisecond  // before the expected end of a load
	orderPatience = 12 * time.Second       // an unload waits for the requests in progress
	adapterReady  = 11 * time.Millisecond  // after the answer to the order; adapters take 5 to 10 ms
	prepareRing   = 256
	missingAfter  = 300 * time.Millisecond // after its latest use, an adapter is believed to be missing
	evictedFor    = time.Second            // for which evictions are repeated: a beat may be lost
	refreshRetry  = 400 * time.Millisecond
)

type prepareTask struct {
	m     *wire.Prepare
	reply func(*wire.PrepareReply)
}

// ledger is what the holder knows of one engine. Fields are guarded by the lock of ledgers; orders to the endpoint are
// sent one after another under sending.
type ledger struct {
	endpoint fleet.Endpoint
	tasks    *ring.Ring[prepareTask]
	stop     context.CancelFunc
	sending  sync.Mutex
	ordered  time.Duration // when the latest order was answered

	known    bool // the state was read under this epoch
	reading  bool
	readAt   time.Duration
	sequence int64
	models   map[string]bool
	adapters map[copies.Adapter]time.Duration // by the latest use
	ready    map[copies.Adapter]time.Time
	evicted  map[copies.Adapter]time.Duration // when, for the dispatcher
	closing  string                           // model that is about to be unloaded
	coming   string                           // model that is being loaded
	busy     bool                             // an order for a model is in progress
	inMemory []string
	onDisk   []string
}

// ledgers holds the ledgers of all engines.
type ledgers struct {
	o       *holder
	changed chan struct{}

	mu   sync.Mutex
	byID map[string]*ledger
}

func newLedgers(o *holder) *ledgers {
	return &ledgers{o: o, changed: make(chan struct{}, 1), byID: make(map[string]*ledger)}
}

// takeOver forgets everything: another holder may have given orders since.
func (l *ledgers) takeOver(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, g := range l.byID {
		g.stop()
		delete(l.byID, id)
	}
	l.o.log.Info().Uint64("epoch", epoch).Msg("Engines are read anew.")
}

func (l *ledgers) nudge() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// refresh follows the list of endpoints and reads engines whose state is not known.
func (l *ledgers) refresh(ctx context.Context, v *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	there := make(map[string]bool, len(v.Endpoints))
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if v.Config == nil || v.Config.Services[e.Service] == nil || v.Config.Services[e.Service].Engine == nil {
			continue
		}
		there[e.ID] = true
		g := l.byID[e.ID]
		if g == nil || !g.endpoint.Same(e) {
			if g != nil {
				g.stop()
			}
			g = l.add(ctx, e)
		}
		if !e.SameModels(&g.endpoint) && !g.busy && !g.shows(e) {
			g.known = false // an order that this holder has not counted took effect
		}
		g.endpoint = *e
		g.inMemory, g.onDisk = e.InMemory, e.OnDisk
		// A report that was made before an order took effect shows less than the engine holds.
		if now := clock.Boot(); !g.known && !g.reading && l.o.h.quietLeft(e.ID) == 0 && now-g.readAt > refreshRetry && now-g.ordered > reportLag {
			g.reading = true
			go l.read(ctx, g)
		}
	}
	for id, g := range l.byID {
		if !there[id] {
			g.stop()
			delete(l.byID, id)
		}
	}
}

// shows tells whether an entry shows the models that the holder knows of.
func (g *ledger) shows(e *fleet.Endpoint) bool {
	for i := range e.Models {
		if !g.models[e.Models[i].Model] {
			return false
		}
	}
	return len(e.Models) == len(g.models)
}

func (l *ledgers) add(ctx context.Context, e *fleet.Endpoint) *ledger {
	ctx, stop := context.WithCancel(ctx)
	g := &ledger{endpoint: *e, tasks: ring.New[prepareTask](prepareRing), stop: stop, readAt: -refreshRetry}
	l.byID[e.ID] = g
	go l.work(ctx, g)
	return g
}

// report asks an engine for its state.
func (l *ledgers) report(ctx context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := l.o.h.orders.RoundTrip(ctx, l.o.h.opts.Codec.ReportCall(e))
	if err != nil {
		return fleet.Report{}, err
	}
	body, more, err := resp.ReadAll(maxReport)
	resp.Close(err == nil && !more)
	if err != nil {
		return fleet.Report{}, errors.Annotate(err, "report")
	}
	a := l.o.h.opts.Codec.Answer(resp.StatusCode, resp.Header)
	l.o.h.heed(e, &a)
	if resp.StatusCode != 200 {
		return fleet.Report{}, errors.Errorf("report: status %d", resp.StatusCode)
	}
	return l.o.h.opts.Codec.Report(body)
}

// read takes an engine's report over.
func (l *ledgers) read(ctx context.Context, g *ledger) {
	r, err := l.report(ctx, &g.endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	g.reading, g.readAt = false, clock.Boot()
	if err != nil {
		l.o.log.Warn().Str("endpoint", g.endpoint.ID).Err(err).Msg("Engine can't be read.")
		return
	}
	l.take(g, &r)
	l.nudge()
}

// take replaces what is known by a report. The caller holds the lock.
func (l *ledgers) take(g *ledger, r *fleet.Report) {
	now := clock.Boot()
	before := g.adapters
	g.sequence, g.known = r.Sequence, !r.Busy
	g.models = make(map[string]bool, len(r.Models))
	g.adapters = make(map[copies.Adapter]time.Duration)
	if g.ready == nil {
		g.ready = make(map[copies.Adapter]time.Time)
	}
	for _, c := range r.Coming {
		if a, ok := comingAdapter(c); ok {
			g.adapters[a] = now
		}
	}
	for _, m := range r.Models {
		g.models[m.Model] = true
		for _, a := range m.Adapters {
			key := copies.Adapter{Model: m.Model, Name: a}
			at, ok := before[key]
			if !ok {
				at = now - time.Hour
			}
			g.adapters[key] = at
		}
	}
	if r.InMemory != nil || r.OnDisk != nil {
		g.inMemory, g.onDisk = r.InMemory, r.OnDisk
	}
}

// comingAdapter reads an adapter on its way, in the form MODEL/NAME@VERSION.
func comingAdapter(s string) (copies.Adapter, bool) {
	name, _, _ := strings.Cut(s, "@")
	model, adapter, ok := strings.Cut(name, "/")
	return copies.Adapter{Model: model, Name: adapter}, ok
}

// planned returns the engines of a service as the planner sees them.
func (l *ledgers) planned(service string, v *fleet.View, state *wire.FleetState) []copies.Endpoint {
	running := make(map[string]map[string]int)
	for _, m := range state.Models {
		for _, c := range m.Copies {
			if running[c.Endpoint] == nil {
				running[c.Endpoint] = make(map[string]int)
			}
			running[c.Endpoint][m.Model] = int(c.Running)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []copies.Endpoint
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		g := l.byID[e.ID]
		if e.Service != service || g == nil {
			continue
		}
		p := copies.Endpoint{
			ID: e.ID, Usable: !e.Draining, Busy: g.busy || !g.known || l.o.h.quietLeft(e.ID) > 0, Changing: g.busy, InMemory: g.inMemory, OnDisk: g.onDisk,
			Running: running[e.ID],
		}
		if g.models == nil { // not read yet: what the list shows counts
			for i := range e.Models {
				p.Models = append(p.Models, e.Models[i].Model)
			}
		}
		for m := range g.models {
			if m != g.closing {
				p.Models = append(p.Models, m)
			}
		}
		if g.coming != "" && !g.models[g.coming] {
			p.Models = append(p.Models, g.coming)
			p.Coming = g.coming
		}
		out = append(out, p)
	}
	return out
}

// beat tells the dispatcher what is about to change and what the list of endpoints may not show yet.
func (l *ledgers) beat(host string, epoch uint64, v *fleet.View) *wire.HolderBeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &wire.HolderBeat{Host: host, Epoch: epoch}
	for id, g := range l.byID {
		for a, at := range g.evicted {
			if clock.Boot()-at > evictedFor {
				delete(g.evicted, a)
				continue
			}
			b.Evicted = append(b.Evicted, wire.AdapterCopy{Endpoint: id, Model: a.Model, Adapter: a.Name})
		}
		if g.busy || !g.known {
			b.Busy = append(b.Busy, id)
		}
		if g.closing != "" {
			b.Unloading = append(b.Unloading, wire.ModelCopy{Endpoint: id, Model: g.closing})
		}
		e := v.Endpoint(id)
		if e != nil && g.known && g.models != nil {
			for i := range e.Models { // the list may show a copy for a while after it was unloaded
				if m := e.Models[i].Model; !g.models[m] {
					b.Unloading = append(b.Unloading, wire.ModelCopy{Endpoint: id, Model: m})
				}
			}
		}
		for m := range g.models {
			if g.known && m != g.closing && e != nil && e.Holds(m) == nil {
				b.Loaded = append(b.Loaded, wire.ModelCopy{Endpoint: id, Model: m})
			}
		}
	}
	return b
}

// change carries an order of the planner out in the background.
func (l *ledgers) change(ctx context.Context, c copies.Order, engine *fleet.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.byID[c.Endpoint]
	if g == nil || g.busy {
		return
	}
	g.busy, g.coming, g.closing = true, c.Load, c.Unload
	l.nudge()
	go func() {
		if c.Unload != "" {
			clock.Sleep(ctx, closingWait)
		}
		err := l.carryOut(ctx, g, c, engine)
		l.mu.Lock()
		g.busy, g.coming, g.closing = false, "", ""
		if err != nil {
			g.known = false
		}
		l.mu.Unlock()
		if err != nil {
			l.o.log.Warn().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Err(err).Msg("Copy not changed.")
		} else {
			l.o.log.Info().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Msg("Copy changed.")
		}
		l.nudge()
	}()
}

func (l *ledgers) carryOut(ctx context.Context, g *ledger, c copies.Order, engine *fleet.Engine) error {
	if c.Unload != "" {
		if err := l.model(ctx, g, c.Unload, false, engine, reportLag); err != nil {
			return errors.Annotate(err, "unload")
		}
	}
	return errors.Annotate(l.model(ctx, g, c.Load, true, engine, c.Takes+reportLag/2-pollEarly), "load")
}

// model gives one order for a model, which takes about as long as stated, and waits until the engine has carried it out. Before a load, the memory is checked
// against what the engine reported, so that a late order of another holder can't lead to too much.
func (l *ledgers) model(ctx context.Context, g *ledger, model string, load bool, engine *fleet.Engine, takes time.Duration) error {
	g.sending.Lock()
	l.mu.Lock()
	e, expect := g.endpoint, g.sequence
	if load && !l.roomFor(g, model, engine) {
		l.mu.Unlock()
		g.sending.Unlock()
		return errors.New("no memory for the model")
	}
	l.mu.Unlock()
	result := l.o.order(ctx, &e, fleet.Order{Load: load, Model: model, Expect: expect})
	l.mu.Lock()
	g.ordered = clock.Boot()
	if result == fleet.OrderAccepted {
		g.sequence = expect + 1
	}
	l.mu.Unlock()
	g.sending.Unlock()
	if result != fleet.OrderAccepted && result != fleet.OrderHolds {
		return errors.Errorf("answer to the order: %s", result)
	}
	return l.await(ctx, g, model, load, expect+1, max(takes, reportLag))
}

// roomFor tells whether a model fits beside what the engine holds and a full set of adapters. The caller holds the lock.
func (l *ledgers) roomFor(g *ledger, model string, engine *fleet.Engine) bool {
	m := engine.Model(model)
	if m == nil || !g.known && !g.busy {
		return false
	}
	left, adapter := engine.MB-m.MB, m.AdapterMB
	for name := range g.models {
		held := engine.Model(name)
		if held == nil {
			return false
		}
		left -= held.MB
		adapter = max(adapter, held.AdapterMB)
	}
	return left-adapter*float64(engine.AdapterSlots) >= 0
}

// await polls the engine until an order has been carried out.
func (l *ledgers) await(ctx context.Context, g *ledger, model string, load bool, sequence int64, takes time.Duration) error {
	deadline := time.Now().Add(orderPatience)
	for wait := takes; time.Now().Before(deadline); wait = pollEvery {
		if clock.Sleep(ctx, wait); ctx.Err() != nil {
			return ctx.Err()
		}
		if l.o.h.quietLeft(g.endpoint.ID) > 0 {
			continue
		}
		r, err := l.report(ctx, &g.endpoint)
		if err != nil {
			var ue *upstream.Error
			if errors.As(err, &ue) && ue.Dial {
				return err
			}
			continue
		}
		if r.Busy || r.Sequence < sequence {
			continue
		}
		l.mu.Lock()
		l.take(g, &r)
		g.known = true
		holds := g.models[model]
		l.mu.Unlock()
		if holds != load {
			return errors.New("the engine's report does not show the change")
		}
		return nil
	}
	return errors.New("the engine has not carried the order out in time")
}

// prepare queues the load of an adapter.
func (l *ledgers) prepare(m *wire.Prepare, reply func(*wire.PrepareReply)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.byID[m.Endpoint]
	key := copies.Adapter{Model: m.Model, Name: m.Adapter}
	switch {
	case g == nil || !g.known:
		reply(&wire.PrepareReply{Reason: "the engine's state is not known"})
		return
	case g.busy:
		reply(&wire.PrepareReply{Reason: "the engine carries out another order"})
		return
	case l.o.h.quietLeft(m.Endpoint) > 0:
		reply(&wire.PrepareReply{Reason: "the engine wants nothing from the holder"})
		return
	case !g.models[m.Model]:
		reply(&wire.PrepareReply{Reason: "the engine does not hold the model"})
		return
	}
	// The endpoint's word that it lacks the adapter may be older than the load. If it is not, the engine is read again:
	// only a report shows how many places are free.
	if at, ok := g.adapters[key]; m.Missing && ok && clock.Boot()-at > missingAfter {
		g.known = false
		l.nudge()
		reply(&wire.PrepareReply{Reason: "the engine lacks an adapter that was loaded"})
		return
	}
	if _, ok := g.adapters[key]; ok {
		g.adapters[key] = clock.Boot()
		reply(&wire.PrepareReply{OK: true, WaitMs: uint32(max(time.Until(g.ready[key]).Milliseconds(), 0))})
		return
	}
	if !g.tasks.TryPush(prepareTask{m, reply}) {
		reply(&wire.PrepareReply{Reason: "too many adapters wait for the engine"})
	}
}

// work loads the adapters of one engine one after another.
func (l *ledgers) work(ctx context.Context, g *ledger) {
	for {
		t, err := g.tasks.Pop(ctx)
		if err != nil {
			return
		}
		wait, err := l.adapter(ctx, g, t.m)
		if err != nil {
			t.reply(&wire.PrepareReply{Reason: err.Error()})
			continue
		}
		t.reply(&wire.PrepareReply{OK: true, WaitMs: uint32(wait.Milliseconds())})
	}
}

func (l *ledgers) adapter(ctx context.Context, g *ledger, m *wire.Prepare) (time.Duration, error) {
	key := copies.Adapter{Model: m.Model, Name: m.Adapter}
	g.sending.Lock()
	defer g.sending.Unlock()
	l.mu.Lock()
	if _, ok := g.adapters[key]; ok { // an earlier task has loaded it
		wait := max(time.Until(g.ready[key]), 0)
		l.mu.Unlock()
		return wait, nil
	}
	if !g.known || g.busy {
		l.mu.Unlock()
		return 0, errors.New("the engine's state is not known")
	}
	victim, evict, err := l.evict(g, m)
	l.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if evict {
		if err := l.adapterOrder(ctx, g, victim, false); err != nil {
			return 0, errors.Annotate(err, "unload")
		}
	}
	if err := l.adapterOrder(ctx, g, key, true); err != nil {
		return 0, errors.Annotate(err, "load")
	}
	return adapterReady, nil
}

// evict returns the adapter that makes room, if one has to: the one that the dispatcher has chosen, or the one that was used
// longest ago if the engine holds more than the dispatcher knows of. The caller holds the lock.
func (l *ledgers) evict(g *ledger, m *wire.Prepare) (copies.Adapter, bool, error) {
	v := l.o.h.directory.view()
	svc := v.Config.Services[g.endpoint.Service]
	if svc == nil || svc.Engine == nil {
		return copies.Adapter{}, false, errors.New("the service has no engine")
	}
	if len(g.adapters) < svc.Engine.AdapterSlots {
		return copies.Adapter{}, false, nil
	}
	chosen := copies.Adapter{Model: m.Evict.Model, Name: m.Evict.Adapter}
	if _, ok := g.adapters[chosen]; ok {
		return chosen, true, nil
	}
	busy := make(map[copies.Adapter]bool)
	for _, a := range m.Keep {
		busy[copies.Adapter{Model: a.Model, Name: a.Adapter}] = true
	}
	victim, ok := copies.Evict(g.adapters, busy)
	if !ok {
		return victim, false, errors.New("no adapter of the engine may make room")
	}
	return victim, true, nil
}

// adapterOrder gives one order for an adapter.
func (l *ledgers) adapterOrder(ctx context.Context, g *ledger, key copies.Adapter, load bool) error {
	l.mu.Lock()
	e, expect := g.endpoint, g.sequence
	l.mu.Unlock()
	result := l.o.order(ctx, &e, fleet.Order{Load: load, Model: key.Model, Adapter: key.Name, Expect: expect})
	l.mu.Lock()
	defer l.mu.Unlock()
	g.ordered = clock.Boot()
	// An unload is answered with "holds" when the adapter is gone. One that is accepted only waits for the requests that
	// use the adapter: its place is not free yet.
	accepted := result == fleet.OrderHolds || load && result == fleet.OrderAccepted
	if !accepted {
		g.known = false // read again before the next order
		return errors.Errorf("answer to the order: %s", result)
	}
	if result == fleet.OrderAccepted || !load {
		g.sequence = expect + 1
	}
	if load {
		g.adapters[key] = clock.Boot()
		g.ready[key] = time.Now().Add(adapterReady)
		delete(g.evicted, key)
	} else {
		delete(g.adapters, key)
		if g.evicted == nil {
			g.evicted = make(map[copies.Adapter]time.Duration)
		}
		g.evicted[key] = clock.Boot()
		l.nudge()
	}
	return nil
}
