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
	orderTimeout           = 150 * time.Millisecond // engines answer an order at once and carry it out afterwards
	maxOrderSends          = 3                      // of an order that gets no answer
	reportTimeout          = 400 * time.Millisecond
	maxReportBytes         = 1 << 20                // bytes
	reportLag              = 250 * time.Millisecond // by which reports are behind; the answer to an order is not in an earlier one
	unloadNoticeDelay      = 40 * time.Millisecond  // for the dispatcher to hear that a copy closes
	reportPollInterval     = 250 * time.Millisecond // while an order is carried out; each report is priced
	firstPollLead          = 50 * time.Millisecond  // before the expected end of a load
	orderCompletionTimeout = 12 * time.Second       // an unload waits for the requests in progress
	adapterLoadTime        = 11 * time.Millisecond  // after the answer to the order; adapters take 5 to 10 ms
	prepareQueueSize       = 256
	adapterMissingAfter    = 300 * time.Millisecond // after its latest use, an adapter is believed to be missing
	evictionNoticeTime     = time.Second            // for which evictions are repeated: a beat may be lost
	reportRetryInterval    = 400 * time.Millisecond
)

type prepareTask struct {
	request *wire.Prepare
	reply   func(*wire.PrepareReply)
}

// engineState is what the holder knows of one engine. Fields are guarded by the lock of ledgers; orders to the endpoint are
// sent one after another under sending.
type engineState struct {
	endpoint     fleet.Endpoint
	prepareQueue *ring.Ring[prepareTask]
	cancel       context.CancelFunc
	orderMu      sync.Mutex
	lastOrderAt  time.Duration // when the latest order was answered

	stateKnown     bool // the state was read under this epoch
	reportPending  bool
	lastReportAt   time.Duration
	sequence       int64
	models         map[string]bool
	adapterLastUse map[copies.Adapter]time.Duration // by the latest use
	adapterReadyAt map[copies.Adapter]time.Time
	evictedAt      map[copies.Adapter]time.Duration // when, for the dispatcher
	unloadingModel string                           // model that is about to be unloaded
	loadingModel   string                           // model that is being loaded
	changingModel  bool                             // an order for a model is in progress
	inMemory       []string
	onDisk         []string
}

// engineManager holds the engineManager of all engines.
type engineManager struct {
	holder  *holder
	changed chan struct{}

	mu   sync.Mutex
	byID map[string]*engineState
}

func newEngineManager(o *holder) *engineManager {
	return &engineManager{holder: o, changed: make(chan struct{}, 1), byID: make(map[string]*engineState)}
}

// reset forgets everything: another holder may have given orders since.
func (l *engineManager) reset(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, g := range l.byID {
		g.cancel()
		delete(l.byID, id)
	}
	l.holder.log.Info().Uint64("epoch", epoch).Msg("Engines are read anew.")
}

func (l *engineManager) notifyChanged() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// refresh follows the list of endpoints and reads engines whose state is not known.
func (l *engineManager) refresh(ctx context.Context, v *fleet.View) {
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
				g.cancel()
			}
			g = l.add(ctx, e)
		}
		if !e.SameModels(&g.endpoint) && !g.changingModel && !g.matches(e) {
			g.stateKnown = false // an order that this holder has not counted took effect
		}
		g.endpoint = *e
		g.inMemory, g.onDisk = e.InMemory, e.OnDisk
		// A report that was made before an order took effect shows less than the engine holds.
		if now := clock.Boot(); !g.stateKnown && !g.reportPending && l.holder.h.quietLeft(e.ID) == 0 && now-g.lastReportAt > reportRetryInterval && now-g.lastOrderAt > reportLag {
			g.reportPending = true
			go l.updateFromReport(ctx, g)
		}
	}
	for id, g := range l.byID {
		if !there[id] {
			g.cancel()
			delete(l.byID, id)
		}
	}
}

// matches tells whether an entry matches the models that the holder knows of.
func (g *engineState) matches(e *fleet.Endpoint) bool {
	for i := range e.Models {
		if !g.models[e.Models[i].Model] {
			return false
		}
	}
	return len(e.Models) == len(g.models)
}

func (l *engineManager) add(ctx context.Context, e *fleet.Endpoint) *engineState {
	ctx, stop := context.WithCancel(ctx)
	g := &engineState{endpoint: *e, prepareQueue: ring.New[prepareTask](prepareQueueSize), cancel: stop, lastReportAt: -reportRetryInterval}
	l.byID[e.ID] = g
	go l.loadQueuedAdapters(ctx, g)
	return g
}

// fetchReport asks an engine for its state.
func (l *engineManager) fetchReport(ctx context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := l.holder.h.orderPool.RoundTrip(ctx, l.holder.h.opts.Codec.ReportCall(e))
	if err != nil {
		return fleet.Report{}, err
	}
	body, more, err := resp.ReadAll(maxReportBytes)
	resp.Close(err == nil && !more)
	if err != nil {
		return fleet.Report{}, errors.Annotate(err, "report")
	}
	a := l.holder.h.opts.Codec.Answer(resp.StatusCode, resp.Header)
	l.holder.h.heed(e, &a)
	if resp.StatusCode != 200 {
		return fleet.Report{}, errors.Errorf("report: status %d", resp.StatusCode)
	}
	return l.holder.h.opts.Codec.Report(body)
}

// updateFromReport takes an engine's report over.
func (l *engineManager) updateFromReport(ctx context.Context, g *engineState) {
	r, err := l.fetchReport(ctx, &g.endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	g.reportPending, g.lastReportAt = false, clock.Boot()
	if err != nil {
		l.holder.log.Warn().Str("endpoint", g.endpoint.ID).Err(err).Msg("Engine can't be read.")
		return
	}
	l.applyReport(g, &r)
	l.notifyChanged()
}

// applyReport replaces what is known by a report. The caller holds the lock.
func (l *engineManager) applyReport(g *engineState, r *fleet.Report) {
	now := clock.Boot()
	before := g.adapterLastUse
	g.sequence, g.stateKnown = r.Sequence, !r.Busy
	g.models = make(map[string]bool, len(r.Models))
	g.adapterLastUse = make(map[copies.Adapter]time.Duration)
	if g.adapterReadyAt == nil {
		g.adapterReadyAt = make(map[copies.Adapter]time.Time)
	}
	for _, c := range r.Coming {
		if a, ok := parseLoadingAdapter(c); ok {
			g.adapterLastUse[a] = now
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
			g.adapterLastUse[key] = at
		}
	}
	if r.InMemory != nil || r.OnDisk != nil {
		g.inMemory, g.onDisk = r.InMemory, r.OnDisk
	}
}

// parseLoadingAdapter reads an adapter on its way, in the form MODEL/NAME@VERSION.
func parseLoadingAdapter(s string) (copies.Adapter, bool) {
	name, _, _ := strings.Cut(s, "@")
	model, adapter, ok := strings.Cut(name, "/")
	return copies.Adapter{Model: model, Name: adapter}, ok
}

// plannerEndpoints returns the engines of a service as the planner sees them.
func (l *engineManager) plannerEndpoints(service string, v *fleet.View, state *wire.FleetState) []copies.Endpoint {
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
			ID: e.ID, Usable: !e.Draining, Busy: g.changingModel || !g.stateKnown || l.holder.h.quietLeft(e.ID) > 0, Changing: g.changingModel, InMemory: g.inMemory, OnDisk: g.onDisk,
			Running: running[e.ID],
		}
		if g.models == nil { // not read yet: what the list shows counts
			for i := range e.Models {
				p.Models = append(p.Models, e.Models[i].Model)
			}
		}
		for m := range g.models {
			if m != g.unloadingModel {
				p.Models = append(p.Models, m)
			}
		}
		if g.loadingModel != "" && !g.models[g.loadingModel] {
			p.Models = append(p.Models, g.loadingModel)
			p.Coming = g.loadingModel
		}
		out = append(out, p)
	}
	return out
}

// buildBeat tells the dispatcher what is about to change and what the list of endpoints may not show yet.
func (l *engineManager) buildBeat(host string, epoch uint64, v *fleet.View) *wire.HolderBeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &wire.HolderBeat{Host: host, Epoch: epoch}
	for id, g := range l.byID {
		for a, at := range g.evictedAt {
			if clock.Boot()-at > evictionNoticeTime {
				delete(g.evictedAt, a)
				continue
			}
			b.Evicted = append(b.Evicted, wire.AdapterCopy{Endpoint: id, Model: a.Model, Adapter: a.Name})
		}
		if g.changingModel || !g.stateKnown {
			b.Changing = append(b.Changing, id)
		}
		if g.unloadingModel != "" {
			b.Closing = append(b.Closing, wire.ModelCopy{Endpoint: id, Model: g.unloadingModel})
		}
		e := v.Endpoint(id)
		if e != nil && g.stateKnown && g.models != nil {
			for i := range e.Models { // the list may show a copy for a while after it was unloaded
				if m := e.Models[i].Model; !g.models[m] {
					b.Closing = append(b.Closing, wire.ModelCopy{Endpoint: id, Model: m})
				}
			}
		}
		for m := range g.models {
			if g.stateKnown && m != g.unloadingModel && e != nil && e.Holds(m) == nil {
				b.Loaded = append(b.Loaded, wire.ModelCopy{Endpoint: id, Model: m})
			}
		}
	}
	return b
}

// startChange carries an order of the planner out in the background.
func (l *engineManager) startChange(ctx context.Context, c copies.Order, engine *fleet.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.byID[c.Endpoint]
	if g == nil || g.changingModel {
		return
	}
	g.changingModel, g.loadingModel, g.unloadingModel = true, c.Load, c.Unload
	l.notifyChanged()
	go func() {
		if c.Unload != "" {
			clock.Sleep(ctx, unloadNoticeDelay)
		}
		err := l.applyChange(ctx, g, c, engine)
		l.mu.Lock()
		g.changingModel, g.loadingModel, g.unloadingModel = false, "", ""
		if err != nil {
			g.stateKnown = false
		}
		l.mu.Unlock()
		if err != nil {
			l.holder.log.Warn().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Err(err).Msg("Copy not changed.")
		} else {
			l.holder.log.Info().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Msg("Copy changed.")
		}
		l.notifyChanged()
	}()
}

func (l *engineManager) applyChange(ctx context.Context, g *engineState, c copies.Order, engine *fleet.Engine) error {
	if c.Unload != "" {
		if err := l.changeModel(ctx, g, c.Unload, false, engine, reportLag); err != nil {
			return errors.Annotate(err, "unload")
		}
	}
	return errors.Annotate(l.changeModel(ctx, g, c.Load, true, engine, c.Takes+reportLag/2-firstPollLead), "load")
}

// changeModel gives one order for a changeModel, which takes about as long as stated, and waits until the engine has carried it out. Before a load, the memory is checked
// against what the engine reported, so that a late order of another holder can't lead to too much.
func (l *engineManager) changeModel(ctx context.Context, g *engineState, model string, load bool, engine *fleet.Engine, takes time.Duration) error {
	g.orderMu.Lock()
	l.mu.Lock()
	e, expect := g.endpoint, g.sequence
	if load && !l.fitsInMemory(g, model, engine) {
		l.mu.Unlock()
		g.orderMu.Unlock()
		return errors.New("no memory for the model")
	}
	l.mu.Unlock()
	result := l.holder.sendOrder(ctx, &e, fleet.Order{Load: load, Model: model, Expect: expect})
	l.mu.Lock()
	g.lastOrderAt = clock.Boot()
	if result == fleet.OrderAccepted {
		g.sequence = expect + 1
	}
	l.mu.Unlock()
	g.orderMu.Unlock()
	if result != fleet.OrderAccepted && result != fleet.OrderHolds {
		return errors.Errorf("answer to the order: %s", result)
	}
	return l.awaitChange(ctx, g, model, load, expect+1, max(takes, reportLag))
}

// fitsInMemory tells whether a model fits beside what the engine holds and a full set of adapters. The caller holds the lock.
func (l *engineManager) fitsInMemory(g *engineState, model string, engine *fleet.Engine) bool {
	m := engine.Model(model)
	if m == nil || !g.stateKnown && !g.changingModel {
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

// awaitChange polls the engine until an order has been carried out.
func (l *engineManager) awaitChange(ctx context.Context, g *engineState, model string, load bool, sequence int64, takes time.Duration) error {
	deadline := time.Now().Add(orderCompletionTimeout)
	for wait := takes; time.Now().Before(deadline); wait = reportPollInterval {
		if clock.Sleep(ctx, wait); ctx.Err() != nil {
			return ctx.Err()
		}
		if l.holder.h.quietLeft(g.endpoint.ID) > 0 {
			continue
		}
		r, err := l.fetchReport(ctx, &g.endpoint)
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
		l.applyReport(g, &r)
		g.stateKnown = true
		holds := g.models[model]
		l.mu.Unlock()
		if holds != load {
			return errors.New("the engine's report does not show the change")
		}
		return nil
	}
	return errors.New("the engine has not carried the order out in time")
}

// enqueuePrepare queues the load of an adapter.
func (l *engineManager) enqueuePrepare(m *wire.Prepare, reply func(*wire.PrepareReply)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.byID[m.Endpoint]
	key := copies.Adapter{Model: m.Model, Name: m.Adapter}
	switch {
	case g == nil || !g.stateKnown:
		reply(&wire.PrepareReply{Reason: "the engine's state is not known"})
		return
	case g.changingModel:
		reply(&wire.PrepareReply{Reason: "the engine carries out another order"})
		return
	case l.holder.h.quietLeft(m.Endpoint) > 0:
		reply(&wire.PrepareReply{Reason: "the engine wants nothing from the holder"})
		return
	case !g.models[m.Model]:
		reply(&wire.PrepareReply{Reason: "the engine does not hold the model"})
		return
	}
	// The endpoint's word that it lacks the adapter may be older than the load. If it is not, the engine is read again:
	// only a report shows how many places are free.
	if at, ok := g.adapterLastUse[key]; m.Missing && ok && clock.Boot()-at > adapterMissingAfter {
		g.stateKnown = false
		l.notifyChanged()
		reply(&wire.PrepareReply{Reason: "the engine lacks an adapter that was loaded"})
		return
	}
	if _, ok := g.adapterLastUse[key]; ok {
		g.adapterLastUse[key] = clock.Boot()
		reply(&wire.PrepareReply{OK: true, WaitMs: uint32(max(time.Until(g.adapterReadyAt[key]).Milliseconds(), 0))})
		return
	}
	if !g.prepareQueue.TryPush(prepareTask{m, reply}) {
		reply(&wire.PrepareReply{Reason: "too many adapters wait for the engine"})
	}
}

// loadQueuedAdapters loads the adapters of one engine one after another.
func (l *engineManager) loadQueuedAdapters(ctx context.Context, g *engineState) {
	for {
		t, err := g.prepareQueue.Pop(ctx)
		if err != nil {
			return
		}
		wait, err := l.loadAdapter(ctx, g, t.request)
		if err != nil {
			t.reply(&wire.PrepareReply{Reason: err.Error()})
			continue
		}
		t.reply(&wire.PrepareReply{OK: true, WaitMs: uint32(wait.Milliseconds())})
	}
}

func (l *engineManager) loadAdapter(ctx context.Context, g *engineState, m *wire.Prepare) (time.Duration, error) {
	key := copies.Adapter{Model: m.Model, Name: m.Adapter}
	g.orderMu.Lock()
	defer g.orderMu.Unlock()
	l.mu.Lock()
	if _, ok := g.adapterLastUse[key]; ok { // an earlier task has loaded it
		wait := max(time.Until(g.adapterReadyAt[key]), 0)
		l.mu.Unlock()
		return wait, nil
	}
	if !g.stateKnown || g.changingModel {
		l.mu.Unlock()
		return 0, errors.New("the engine's state is not known")
	}
	victim, evict, err := l.selectVictim(g, m)
	l.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if evict {
		if err := l.changeAdapter(ctx, g, victim, false); err != nil {
			return 0, errors.Annotate(err, "unload")
		}
	}
	if err := l.changeAdapter(ctx, g, key, true); err != nil {
		return 0, errors.Annotate(err, "load")
	}
	return adapterLoadTime, nil
}

// selectVictim returns the adapter that makes room, if one has to: the one that the dispatcher has chosen, or the one that was used
// longest ago if the engine holds more than the dispatcher knows of. The caller holds the lock.
func (l *engineManager) selectVictim(g *engineState, m *wire.Prepare) (copies.Adapter, bool, error) {
	v := l.holder.h.directory.view()
	svc := v.Config.Services[g.endpoint.Service]
	if svc == nil || svc.Engine == nil {
		return copies.Adapter{}, false, errors.New("the service has no engine")
	}
	if len(g.adapterLastUse) < svc.Engine.AdapterSlots {
		return copies.Adapter{}, false, nil
	}
	chosen := copies.Adapter{Model: m.Evict.Model, Name: m.Evict.Adapter}
	if _, ok := g.adapterLastUse[chosen]; ok {
		return chosen, true, nil
	}
	busy := make(map[copies.Adapter]bool)
	for _, a := range m.Keep {
		busy[copies.Adapter{Model: a.Model, Name: a.Adapter}] = true
	}
	victim, ok := copies.Evict(g.adapterLastUse, busy)
	if !ok {
		return victim, false, errors.New("no adapter of the engine may make room")
	}
	return victim, true, nil
}

// changeAdapter gives one order for an adapter.
func (l *engineManager) changeAdapter(ctx context.Context, g *engineState, key copies.Adapter, load bool) error {
	l.mu.Lock()
	e, expect := g.endpoint, g.sequence
	l.mu.Unlock()
	result := l.holder.sendOrder(ctx, &e, fleet.Order{Load: load, Model: key.Model, Adapter: key.Name, Expect: expect})
	l.mu.Lock()
	defer l.mu.Unlock()
	g.lastOrderAt = clock.Boot()
	// An unload is answered with "holds" when the adapter is gone. One that is accepted only waits for the requests that
	// use the adapter: its place is not free yet.
	accepted := result == fleet.OrderHolds || load && result == fleet.OrderAccepted
	if !accepted {
		g.stateKnown = false // read again before the next order
		return errors.Errorf("answer to the order: %s", result)
	}
	if result == fleet.OrderAccepted || !load {
		g.sequence = expect + 1
	}
	if load {
		g.adapterLastUse[key] = clock.Boot()
		g.adapterReadyAt[key] = time.Now().Add(adapterLoadTime)
		delete(g.evictedAt, key)
	} else {
		delete(g.adapterLastUse, key)
		if g.evictedAt == nil {
			g.evictedAt = make(map[copies.Adapter]time.Duration)
		}
		g.evictedAt[key] = clock.Boot()
		l.notifyChanged()
	}
	return nil
}
