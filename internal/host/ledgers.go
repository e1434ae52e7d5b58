package host

import (
	"context"
	"sort"
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
	orderTimeout   = 150 * time.Millisecond // engines answer an order at once and carry it out afterwards
	maxOrderSends  = 3                      // sends of an order that gets no answer
	reportTimeout  = 400 * time.Millisecond
	maxReportBytes = 1 << 20 // of a response body
	// reportLag is the delay of reports: one requested sooner after the answer to an order may not show its effect.
	reportLag              = 250 * time.Millisecond
	unloadNoticeDelay      = 40 * time.Millisecond // before an unload, so that the dispatcher learns of it first
	orderCompletionTimeout = 12 * time.Second      // an unload waits for the requests in progress
	// adapterLoadTime is the time from the answer to a load order until the adapter is usable. Loads take 5 to 10 ms.
	adapterLoadTime  = 11 * time.Millisecond
	prepareQueueSize = 256
	// adapterMissingAfter is the time after the latest use of an adapter from which a request that reports it as missing
	// is believed.
	adapterMissingAfter = 300 * time.Millisecond
	// evictionNoticeTime is how long an eviction is repeated in each HolderBeat, because a beat may be lost.
	evictionNoticeTime  = time.Second
	loadNoticeTime      = 2 * time.Second        // how long a load is repeated in each HolderBeat, although the list shows the model
	reportRetryInterval = 400 * time.Millisecond // between two reads of an engine whose state is unknown
)

// prepareTask is a queued request to load an adapter.
type prepareTask struct {
	request *wire.Prepare
	reply   func(*wire.PrepareReply)
}

// engineState is what the holder knows about one engine. Its fields are guarded by engineManager.mu, except orderMu,
// which serializes the orders to the endpoint.
type engineState struct {
	endpoint     fleet.Endpoint
	prepareQueue *ring.Ring[prepareTask] // adapters to load
	cancel       context.CancelFunc      // ends the goroutine that loads queued adapters
	orderMu      sync.Mutex              // held while an order is sent
	lastOrderAt  time.Duration           // time of the answer to the latest order

	stateKnown     bool                             // whether the state was read under this epoch and is still valid
	reportPending  bool                             // whether a report is being fetched
	lastReportAt   time.Duration                    // time of the latest attempt to read the engine's state
	sequence       int64                            // number of orders that the engine has accepted
	models         map[string]bool                  // models in the engine's memory
	loadedAt       map[string]time.Duration         // recent loads of models, reported to the dispatcher
	adapterLastUse map[copies.Adapter]time.Duration // time of the latest use of each loaded adapter
	adapterReadyAt map[copies.Adapter]time.Time     // time from which each adapter is usable
	evictedAt      map[copies.Adapter]time.Duration // recent evictions, reported to the dispatcher
	unloadingModel string                           // model to be unloaded by the change in progress
	loadingModel   string                           // model to be loaded by the change in progress
	changingModel  bool                             // whether a change of the models is in progress
	inMemory       []string                         // models whose weights are in the host's memory
	onDisk         []string                         // models whose weights are on the host's disk
}

// engineManager keeps the state of all engines and changes their models and adapters.
type engineManager struct {
	holder  *holder
	changed chan struct{} // signals a change that the dispatcher should learn of

	mu   sync.Mutex
	byID map[string]*engineState // keyed by endpoint ID
}

func newEngineManager(ph *holder) *engineManager {
	return &engineManager{holder: ph, changed: make(chan struct{}, 1), byID: make(map[string]*engineState)}
}

// reset discards the state of all engines, because another holder may have sent orders since it was read.
func (em *engineManager) reset(epoch uint64) {
	em.mu.Lock()
	defer em.mu.Unlock()
	for id, es := range em.byID {
		es.cancel()
		delete(em.byID, id)
	}
	em.holder.log.Info().Uint64("epoch", epoch).Msg("Discarded the state of all engines.")
}

// notifyChanged wakes the placement loop without waiting for its next interval.
func (em *engineManager) notifyChanged() {
	select {
	case em.changed <- struct{}{}:
	default:
	}
}

// refresh follows the list of endpoints and starts reading the engines whose state is unknown.
func (em *engineManager) refresh(ctx context.Context, v *fleet.View) {
	em.mu.Lock()
	defer em.mu.Unlock()
	listed := make(map[string]bool, len(v.Endpoints))
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if v.Config == nil || v.Config.Services[e.Service] == nil || v.Config.Services[e.Service].Engine == nil {
			continue
		}
		listed[e.ID] = true
		es := em.byID[e.ID]
		if es == nil || !es.endpoint.SameProcess(e) {
			if es != nil {
				es.cancel()
			}
			es = em.add(ctx, e)
		}
		if !e.SameModels(&es.endpoint) && !es.changingModel && !es.matches(e) {
			es.stateKnown = false // an order that this holder does not know of took effect
		}
		es.endpoint = *e
		es.inMemory, es.onDisk = e.InMemory, e.OnDisk
		// A report made before an order took effect does not show the effect.
		if now := clock.Boot(); !es.stateKnown && !es.reportPending && em.holder.h.quietRemaining(e.ID) == 0 &&
			now-es.lastReportAt > em.reportInterval(e.ID) && now-es.lastOrderAt > reportLag {
			es.reportPending = true
			go em.updateFromReport(ctx, es)
		}
	}
	for id, es := range em.byID {
		if !listed[id] {
			es.cancel()
			delete(em.byID, id)
		}
	}
}

// reportInterval returns the least time between two reports of an engine whose state is not known.
func (em *engineManager) reportInterval(endpoint string) time.Duration {
	if _, limited := em.holder.h.limits.of(endpoint); limited {
		return limitedPollInterval
	}
	return reportRetryInterval
}

// matches reports whether a listed endpoint shows exactly the models that the holder knows of.
func (es *engineState) matches(e *fleet.Endpoint) bool {
	for i := range e.Models {
		if !es.models[e.Models[i].Model] {
			return false
		}
	}
	return len(e.Models) == len(es.models)
}

// add starts managing an engine. The caller must hold em.mu.
func (em *engineManager) add(ctx context.Context, e *fleet.Endpoint) *engineState {
	ctx, cancel := context.WithCancel(ctx)
	es := &engineState{endpoint: *e, prepareQueue: ring.New[prepareTask](prepareQueueSize), cancel: cancel,
		lastReportAt: -reportRetryInterval}
	em.byID[e.ID] = es
	go em.loadQueuedAdapters(ctx, es)
	return es
}

// fetchReport requests an engine's report of its state.
func (em *engineManager) fetchReport(ctx context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h := em.holder.h
	resp, err := h.orderPool.RoundTrip(ctx, h.opts.Codec.ReportCall(e))
	if err != nil {
		return fleet.Report{}, err
	}
	held := h.newHolding(upstream.HeldAnswer, &fleet.Request{})
	defer held.Release()
	body, more, full, err := resp.ReadAllWithin(maxReportBytes, &held)
	h.logHeld(full)
	resp.Close(err == nil && !more)
	switch {
	case err != nil:
		return fleet.Report{}, errors.Annotate(err, "report")
	case more:
		return fleet.Report{}, errors.Errorf("report is longer than %d bytes, or there is no memory for it", len(body))
	}
	answer := h.opts.Codec.Answer(resp.StatusCode, resp.Header)
	h.applySignals(e, time.Time{}, &answer)
	if resp.StatusCode != 200 {
		return fleet.Report{}, errors.Errorf("report: status %d", resp.StatusCode)
	}
	return h.opts.Codec.Report(body)
}

// updateFromReport fetches an engine's report and updates the engine's state from it.
func (em *engineManager) updateFromReport(ctx context.Context, es *engineState) {
	e := em.endpointOf(es)
	r, err := em.fetchReport(ctx, &e)
	em.mu.Lock()
	defer em.mu.Unlock()
	es.reportPending, es.lastReportAt = false, clock.Boot()
	if err != nil {
		em.holder.log.Warn().Str("endpoint", es.endpoint.ID).Err(err).Msg("Failed to read an engine's state.")
		return
	}
	em.applyReport(es, &r)
	em.notifyChanged()
}

// endpointOf returns a copy of an engine's list entry, which refresh replaces.
func (em *engineManager) endpointOf(es *engineState) fleet.Endpoint {
	em.mu.Lock()
	defer em.mu.Unlock()
	return es.endpoint
}

// applyReport replaces the known state of an engine by its report. The caller must hold em.mu.
func (em *engineManager) applyReport(es *engineState, r *fleet.Report) {
	now := clock.Boot()
	previousUse := es.adapterLastUse
	es.sequence, es.stateKnown = r.Sequence, !r.Busy
	es.models = make(map[string]bool, len(r.Models))
	es.adapterLastUse = make(map[copies.Adapter]time.Duration)
	if es.adapterReadyAt == nil {
		es.adapterReadyAt = make(map[copies.Adapter]time.Time)
	}
	for _, loading := range r.LoadingAdapters {
		if a, ok := parseLoadingAdapter(loading); ok {
			es.adapterLastUse[a] = now
		}
	}
	for _, m := range r.Models {
		es.models[m.Model] = true
		for _, a := range m.Adapters {
			key := copies.Adapter{Model: m.Model, Name: a}
			at, ok := previousUse[key]
			if !ok {
				at = now - time.Hour
			}
			es.adapterLastUse[key] = at
		}
	}
	if r.InMemory != nil || r.OnDisk != nil {
		es.inMemory, es.onDisk = r.InMemory, r.OnDisk
	}
}

// parseLoadingAdapter parses an adapter that is being loaded, in the form MODEL/NAME@VERSION.
func parseLoadingAdapter(s string) (copies.Adapter, bool) {
	name, _, _ := strings.Cut(s, "@")
	model, adapter, ok := strings.Cut(name, "/")
	return copies.Adapter{Model: model, Name: adapter}, ok
}

// plannerEndpoints returns the engines of a service in the form that the planner takes.
func (em *engineManager) plannerEndpoints(service string, v *fleet.View, state *wire.FleetState) []copies.Endpoint {
	meanHold := meanHoldSec(service, state)
	running := make(map[string]map[string]int)
	for _, m := range state.Models {
		for _, c := range m.Copies {
			if running[c.Endpoint] == nil {
				running[c.Endpoint] = make(map[string]int)
			}
			running[c.Endpoint][m.Model] = int(c.Running)
		}
	}
	em.mu.Lock()
	defer em.mu.Unlock()
	var out []copies.Endpoint
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		es := em.byID[e.ID]
		if e.Service != service || es == nil {
			continue
		}
		perSec, limited := em.holder.h.limits.of(e.ID)
		p := copies.Endpoint{
			ID: e.ID, Usable: !e.Draining, Busy: es.changingModel || !es.stateKnown || em.holder.h.quietRemaining(e.ID) > 0 || limited,
			ModelOrderInProgress: es.changingModel, InMemory: es.inMemory, OnDisk: es.onDisk,
			Running: running[e.ID],
		}
		if limited {
			p.ReservedSlots = max(float64(e.Slots)-perSec*meanHold, 0)
		}
		if es.models == nil { // not read yet: use the models in the list of endpoints
			for i := range e.Models {
				p.Models = append(p.Models, e.Models[i].Model)
			}
		}
		for m := range es.models {
			if m != es.unloadingModel {
				p.Models = append(p.Models, m)
			}
		}
		if es.loadingModel != "" && !es.models[es.loadingModel] {
			p.Models = append(p.Models, es.loadingModel)
			p.Loading = es.loadingModel
		}
		sort.Strings(p.Models) // the planner takes the first of equal choices
		out = append(out, p)
	}
	return out
}

// meanHoldSec returns the mean time in seconds for which the requests of a service occupy their slots.
func meanHoldSec(service string, state *wire.FleetState) float64 {
	sum, weight := 0.0, 0.0
	for _, m := range state.Models {
		if m.Service == service {
			sum += float64(m.ArrivalsPerSec * m.MeanHoldSec)
			weight += float64(m.ArrivalsPerSec)
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// buildBeat returns the message that informs the dispatcher of upcoming changes and of changes that the list of
// endpoints may not show yet.
func (em *engineManager) buildBeat(host string, epoch uint64, v *fleet.View) *wire.HolderBeat {
	em.mu.Lock()
	defer em.mu.Unlock()
	b := &wire.HolderBeat{Host: host, Epoch: epoch}
	for id, es := range em.byID {
		for a, at := range es.evictedAt {
			if clock.Boot()-at > evictionNoticeTime {
				delete(es.evictedAt, a)
				continue
			}
			b.Evicted = append(b.Evicted, wire.AdapterCopy{Endpoint: id, Model: a.Model, Adapter: a.Name})
		}
		if es.changingModel || !es.stateKnown {
			b.Busy = append(b.Busy, id)
		}
		if es.unloadingModel != "" {
			b.Unloading = append(b.Unloading, wire.ModelCopy{Endpoint: id, Model: es.unloadingModel})
		}
		e := v.Endpoint(id)
		if e != nil && es.stateKnown && es.models != nil {
			for i := range e.Models { // the list may show a copy for some time after it was unloaded
				if m := e.Models[i].Model; !es.models[m] {
					b.Unloading = append(b.Unloading, wire.ModelCopy{Endpoint: id, Model: m})
				}
			}
		}
		for m, at := range es.loadedAt {
			if clock.Boot()-at > loadNoticeTime {
				delete(es.loadedAt, m)
			}
		}
		for m := range es.models {
			// The dispatcher may have forgotten a copy that was unloaded and loaded again while the list has shown it.
			_, justLoaded := es.loadedAt[m]
			if es.stateKnown && m != es.unloadingModel && e != nil && (e.Resident(m) == nil || justLoaded) {
				b.Loaded = append(b.Loaded, wire.ModelCopy{Endpoint: id, Model: m})
			}
		}
	}
	return b
}

// startChange carries out an order of the planner in the background. It does nothing if the engine is unknown or
// another change of its models is in progress.
func (em *engineManager) startChange(ctx context.Context, c copies.Order, engine *fleet.Engine) {
	em.mu.Lock()
	defer em.mu.Unlock()
	es := em.byID[c.Endpoint]
	if es == nil || es.changingModel {
		return
	}
	es.changingModel, es.loadingModel, es.unloadingModel = true, c.Load, c.Unload
	em.notifyChanged()
	go func() {
		if c.Unload != "" {
			clock.Sleep(ctx, unloadNoticeDelay)
		}
		err := em.applyChange(ctx, es, c, engine)
		em.mu.Lock()
		es.changingModel, es.loadingModel, es.unloadingModel = false, "", ""
		if err != nil {
			es.stateKnown = false
		}
		em.mu.Unlock()
		if err != nil {
			em.holder.log.Warn().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).
				Err(err).Msg("Copy not changed.")
		} else {
			em.holder.log.Info().Str("endpoint", c.Endpoint).Str("load", c.Load).Str("unload", c.Unload).Msg("Copy changed.")
		}
		em.notifyChanged()
	}()
}

// applyChange unloads and loads the models that an order of the planner names, and waits for each step.
func (em *engineManager) applyChange(ctx context.Context, es *engineState, c copies.Order, engine *fleet.Engine) error {
	if c.Unload != "" {
		if err := em.changeModel(ctx, es, c.Unload, false, engine, 0); err != nil {
			return errors.Annotate(err, "unload")
		}
	}
	return errors.Annotate(em.changeModel(ctx, es, c.Load, true, engine, c.LoadTime), "load")
}

// changeModel orders an engine to load or unload a model, and waits until the engine has done so. takes is the expected
// duration. Before a load, the memory is checked against what the engine reported, so that a late order of another
// holder cannot overcommit it.
func (em *engineManager) changeModel(ctx context.Context, es *engineState, model string, load bool, engine *fleet.Engine,
	takes time.Duration) error {
	es.orderMu.Lock()
	em.mu.Lock()
	e, expect := es.endpoint, es.sequence
	if load && !em.fitsInMemory(es, model, engine) {
		em.mu.Unlock()
		es.orderMu.Unlock()
		return errors.New("not enough memory for the model")
	}
	em.mu.Unlock()
	result := em.holder.sendOrder(ctx, &e, fleet.Order{Load: load, Model: model, ExpectedSequence: expect})
	em.mu.Lock()
	es.lastOrderAt = clock.Boot()
	if result == fleet.OrderAccepted {
		es.sequence = expect + 1
	}
	em.mu.Unlock()
	es.orderMu.Unlock()
	if result != fleet.OrderAccepted && result != fleet.OrderNoop {
		return errors.Errorf("answer to the order: %s", result)
	}
	return em.awaitChange(ctx, es, model, load, expect+1, takes)
}

// fitsInMemory reports whether a model fits into the engine's memory together with the models there and a full set of
// adapters. The caller must hold em.mu.
func (em *engineManager) fitsInMemory(es *engineState, model string, engine *fleet.Engine) bool {
	m := engine.Model(model)
	if m == nil || !es.stateKnown && !es.changingModel {
		return false
	}
	freeMB, adapterMB := engine.MemoryMB-m.WeightsMB, m.AdapterMB
	for name := range es.models {
		resident := engine.Model(name)
		if resident == nil {
			return false
		}
		freeMB -= resident.WeightsMB
		adapterMB = max(adapterMB, resident.AdapterMB)
	}
	return freeMB-adapterMB*float64(engine.AdapterSlots) >= 0
}

// awaitChange polls the engine's report until the engine has loaded or unloaded the model. sequence is the engine's
// sequence number after the order.
func (em *engineManager) awaitChange(ctx context.Context, es *engineState, model string, load bool, sequence int64,
	takes time.Duration) error {
	deadline := time.Now().Add(orderCompletionTimeout)
	var polledAt time.Time
	for poll := 0; time.Now().Before(deadline); poll++ {
		if clock.Sleep(ctx, pollDelay(poll, takes)); ctx.Err() != nil {
			return ctx.Err()
		}
		e := em.endpointOf(es)
		if em.holder.h.quietRemaining(e.ID) > 0 {
			continue
		}
		if _, limited := em.holder.h.limits.of(e.ID); limited && time.Since(polledAt) < limitedPollInterval {
			continue
		}
		polledAt = time.Now()
		r, err := em.fetchReport(ctx, &e)
		if err != nil {
			var upstreamErr *upstream.Error
			if errors.As(err, &upstreamErr) && upstreamErr.DialFailed {
				return err
			}
			continue
		}
		if r.Busy || r.Sequence < sequence {
			continue
		}
		em.mu.Lock()
		em.applyReport(es, &r)
		es.stateKnown = true
		loaded := es.models[model]
		if loaded && load {
			em.recordLoaded(es, model)
		}
		em.mu.Unlock()
		if loaded != load {
			return errors.New("the engine's report does not show the change")
		}
		return nil
	}
	return errors.New("the engine did not carry out the order in time")
}

// recordLoaded records that an engine has loaded a model. The caller must hold em.mu.
func (em *engineManager) recordLoaded(es *engineState, model string) {
	if es.loadedAt == nil {
		es.loadedAt = make(map[string]time.Duration)
	}
	es.models[model] = true
	es.loadedAt[model] = clock.Boot()
}

// enqueuePrepare replies to a request for an adapter, or queues the load of the adapter, which replies later. It does
// not block.
func (em *engineManager) enqueuePrepare(m *wire.Prepare, reply func(*wire.PrepareReply)) {
	em.mu.Lock()
	defer em.mu.Unlock()
	es := em.byID[m.Endpoint]
	key := copies.Adapter{Model: m.Model, Name: m.Adapter}
	switch {
	case es == nil || !es.stateKnown:
		reply(&wire.PrepareReply{Reason: "the engine's state is not known"})
		return
	case es.changingModel:
		reply(&wire.PrepareReply{Reason: "the engine carries out another order"})
		return
	case em.holder.h.quietRemaining(m.Endpoint) > 0:
		reply(&wire.PrepareReply{Reason: "the engine wants nothing from the holder"})
		return
	case !es.models[m.Model]:
		reply(&wire.PrepareReply{Reason: "the engine does not hold the model"})
		return
	}
	// The endpoint's statement that the adapter is missing may be older than the load. If it is not, the engine's state
	// is read again, because only a report shows how many adapter slots are free.
	if at, ok := es.adapterLastUse[key]; m.Missing && ok && clock.Boot()-at > adapterMissingAfter {
		es.stateKnown = false
		em.notifyChanged()
		reply(&wire.PrepareReply{Reason: "the engine lacks an adapter that was loaded"})
		return
	}
	if _, ok := es.adapterLastUse[key]; ok {
		es.adapterLastUse[key] = clock.Boot()
		reply(&wire.PrepareReply{OK: true, WaitMs: uint32(max(time.Until(es.adapterReadyAt[key]).Milliseconds(), 0))})
		return
	}
	if !es.prepareQueue.TryPush(prepareTask{m, reply}) {
		reply(&wire.PrepareReply{Reason: "too many adapters wait for the engine"})
	}
}

// loadQueuedAdapters loads the queued adapters of one engine one after another until ctx ends.
func (em *engineManager) loadQueuedAdapters(ctx context.Context, es *engineState) {
	for {
		task, err := es.prepareQueue.Pop(ctx)
		if err != nil {
			return
		}
		wait, err := em.loadAdapter(ctx, es, task.request)
		if err != nil {
			task.reply(&wire.PrepareReply{Reason: err.Error()})
			continue
		}
		task.reply(&wire.PrepareReply{OK: true, WaitMs: uint32(wait.Milliseconds())})
	}
}

// loadAdapter loads an adapter, after evicting another one if necessary, and returns how long to wait until it is
// usable.
func (em *engineManager) loadAdapter(ctx context.Context, es *engineState, m *wire.Prepare) (time.Duration, error) {
	key := copies.Adapter{Model: m.Model, Name: m.Adapter}
	es.orderMu.Lock()
	defer es.orderMu.Unlock()
	em.mu.Lock()
	if _, ok := es.adapterLastUse[key]; ok { // loaded for an earlier request
		wait := max(time.Until(es.adapterReadyAt[key]), 0)
		em.mu.Unlock()
		return wait, nil
	}
	if !es.stateKnown || es.changingModel {
		em.mu.Unlock()
		return 0, errors.New("the engine's state is not known")
	}
	victim, evict, err := em.selectVictim(es, m)
	em.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if evict {
		if err := em.changeAdapter(ctx, es, victim, false); err != nil {
			return 0, errors.Annotate(err, "unload")
		}
	}
	if err := em.changeAdapter(ctx, es, key, true); err != nil {
		return 0, errors.Annotate(err, "load")
	}
	return adapterLoadTime, nil
}

// selectVictim returns the adapter to evict and whether an eviction is necessary. It prefers the adapter that the
// dispatcher has chosen. If that one is not loaded, because the engine holds other adapters than the dispatcher knows
// of, it returns the least recently used one. The caller must hold em.mu.
func (em *engineManager) selectVictim(es *engineState, m *wire.Prepare) (copies.Adapter, bool, error) {
	v := em.holder.h.directory.view()
	svc := v.Config.Services[es.endpoint.Service]
	if svc == nil || svc.Engine == nil {
		return copies.Adapter{}, false, errors.New("the service has no engine")
	}
	if len(es.adapterLastUse) < svc.Engine.AdapterSlots {
		return copies.Adapter{}, false, nil
	}
	chosen := copies.Adapter{Model: m.Evict.Model, Name: m.Evict.Adapter}
	if _, ok := es.adapterLastUse[chosen]; ok {
		return chosen, true, nil
	}
	inUse := make(map[copies.Adapter]bool)
	for _, a := range m.Keep {
		inUse[copies.Adapter{Model: a.Model, Name: a.Adapter}] = true
	}
	victim, ok := copies.AdapterToEvict(es.adapterLastUse, inUse)
	if !ok {
		return victim, false, errors.New("no adapter of the engine may make room")
	}
	return victim, true, nil
}

// changeAdapter orders an engine to load or unload an adapter and updates the engine's state. The caller must hold
// es.orderMu.
func (em *engineManager) changeAdapter(ctx context.Context, es *engineState, key copies.Adapter, load bool) error {
	em.mu.Lock()
	e, expect := es.endpoint, es.sequence
	em.mu.Unlock()
	result := em.holder.sendOrder(ctx, &e, fleet.Order{Load: load, Model: key.Model, Adapter: key.Name, ExpectedSequence: expect})
	em.mu.Lock()
	defer em.mu.Unlock()
	es.lastOrderAt = clock.Boot()
	// OrderNoop in answer to an unload means that the adapter is no longer loaded. OrderAccepted means that the unload
	// still waits for the requests that use the adapter, so that its slot is not free yet.
	accepted := result == fleet.OrderNoop || load && result == fleet.OrderAccepted
	if !accepted {
		es.stateKnown = false // read the state again before the next order
		return errors.Errorf("answer to the order: %s", result)
	}
	if result == fleet.OrderAccepted || !load {
		es.sequence = expect + 1
	}
	if load {
		es.adapterLastUse[key] = clock.Boot()
		es.adapterReadyAt[key] = time.Now().Add(adapterLoadTime)
		delete(es.evictedAt, key)
	} else {
		delete(es.adapterLastUse, key)
		if es.evictedAt == nil {
			es.evictedAt = make(map[copies.Adapter]time.Duration)
		}
		es.evictedAt[key] = clock.Boot()
		em.notifyChanged()
	}
	return nil
}
