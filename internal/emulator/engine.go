package emulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/copies"
)

const (
	promptChunkTokens = 512 // prompt tokens that an engine reads in one step
	batchSlowdown     = 1.0 // growth of a step's duration from one request to a full batch, relative to Scenario.StepMs
	plainSlowdown     = 0.2 // growth of the service time from an idle to a full plain endpoint, relative to Class.ServiceTime
)

// endpoint is an engine, or a plain endpoint of the service without models.
type endpoint struct {
	sim      *simulation
	id       string
	slots    int
	plain    bool
	restarts int64 // number of restarts; distinguishes the processes in the dispatcher's view

	models         map[string]bool                  // loaded models
	adapterLastUse map[copies.Adapter]time.Duration // times at which requests for an adapter were admitted
	inMemory       []string                         // models with weights cached in host memory, the most recent last
	onDisk         []string                         // models with weights cached on disk, the most recent last
	cachedPrefixes map[string]bool                  // models and adapters whose shared prompt tokens are cached, as model/adapter
	running        []*request
	stepInProgress bool
	epoch          int // number of the engine's process; events of earlier processes are ignored

	orderInProgress bool   // an order for a model is in progress
	unloading       string // model that the order unloads
	loading         string // model that the order loads
	down            bool
	unresponsive    bool // the engine does not answer while it is down
	unlisted        bool // the platform has removed the engine from its list
}

// addEngine adds an engine with as many loaded models as fit. Consecutive engines load consecutive models, so that the copies
// are spread evenly over the models.
func (sim *simulation) addEngine(i int) {
	e := &endpoint{sim: sim, id: fmt.Sprintf("e%03d", i), slots: sim.scenario.EngineSpec.Slots}
	e.reset()
	modelsThatFit := int((engineMemoryMB - adapterMB*float64(sim.scenario.EngineSpec.AdapterSlots)) / modelMB)
	for k := range modelsThatFit {
		m := sim.scenario.EngineSpec.Models[(i*modelsThatFit+k)%len(sim.scenario.EngineSpec.Models)].Name
		e.models[m] = true
		e.cacheWeights(m)
	}
	sim.engines = append(sim.engines, e)
	sim.endpointsByID[e.id] = e
}

// reset puts the engine in the state of a new process. Only the weights on disk remain.
func (e *endpoint) reset() {
	e.models, e.adapterLastUse, e.cachedPrefixes = make(map[string]bool), make(map[copies.Adapter]time.Duration), make(map[string]bool)
	e.running, e.stepInProgress, e.orderInProgress, e.unloading, e.loading = nil, false, false, "", ""
	e.inMemory = nil
	e.epoch++
}

// cacheWeights adds the weights of a model to the caches in host memory and on disk.
func (e *endpoint) cacheWeights(m string) {
	e.inMemory = appendRecent(e.inMemory, m, e.sim.scenario.ModelsInMemory)
	e.onDisk = appendRecent(e.onDisk, m, e.sim.scenario.ModelsOnDisk)
}

// appendRecent moves a model to the end of a list, or adds it. It drops the first model if the list exceeds the limit.
func appendRecent(list []string, model string, limit int) []string {
	list = append(slices.DeleteFunc(list, func(x string) bool { return x == model }), model)
	if len(list) > limit {
		list = list[1:]
	}
	return list
}

// plannerInput returns the planner's view of the engine. The map holds the engine's requests in progress by model.
func (e *endpoint) plannerInput(running map[string]int) copies.Endpoint {
	p := copies.Endpoint{
		ID: e.id, Usable: true, Busy: e.orderInProgress || e.down, ModelOrderInProgress: e.orderInProgress, Running: running,
		InMemory: slices.Clone(e.inMemory), OnDisk: slices.Clone(e.onDisk),
	}
	for m := range e.models {
		if m != e.unloading {
			p.Models = append(p.Models, m)
		}
	}
	if e.loading != "" && !e.models[e.loading] {
		p.Models = append(p.Models, e.loading)
		p.Loading = e.loading
	}
	sort.Strings(p.Models)
	return p
}

// scheduleInProcess runs a function after a delay, unless the engine's process has ended by then.
func (e *endpoint) scheduleInProcess(delay time.Duration, run func()) {
	epoch := e.epoch
	e.sim.scheduleAfter(delay, func() {
		if e.epoch == epoch {
			run()
		}
	})
}

// startOrder starts an order of the planner. An engine that is down or carries out another order ignores it.
func (e *endpoint) startOrder(o copies.Order) {
	if e.orderInProgress || e.down {
		return
	}
	e.orderInProgress, e.loading, e.unloading = true, o.Load, o.Unload
	e.scheduleInProcess(unloadDelay, func() { e.unloadModel(o) })
}

// unloadModel unloads the order's model, if it names one, and then loads the other. It waits until the engine runs no request
// for the model that is unloaded.
func (e *endpoint) unloadModel(o copies.Order) {
	if o.Unload == "" {
		e.loadModel(o)
		return
	}
	for _, r := range e.running {
		if r.model == o.Unload {
			e.scheduleInProcess(planInterval, func() { e.unloadModel(o) })
			return
		}
	}
	delete(e.models, o.Unload)
	for a := range e.adapterLastUse {
		if a.Model == o.Unload {
			delete(e.adapterLastUse, a)
		}
	}
	e.sim.updateView()
	e.scheduleInProcess(reportDelay, func() { e.loadModel(o) })
}

// loadModel loads the order's model and ends the order. Loads from the weight store take longer while more than
// Scenario.FullSpeedLoads are in progress.
func (e *endpoint) loadModel(o copies.Order) {
	loadTime := o.LoadTime
	if o.Source == copies.FromStore {
		e.sim.storeLoads++
		if n := e.sim.storeLoads; n > e.sim.scenario.FullSpeedLoads {
			loadTime = time.Duration(float64(loadTime) * float64(n) / float64(e.sim.scenario.FullSpeedLoads))
		}
		e.sim.scheduleAfter(loadTime, func() { e.sim.storeLoads-- })
	}
	e.scheduleInProcess(loadTime+reportDelay/2, func() {
		e.models[o.Load] = true
		e.cacheWeights(o.Load)
		e.orderInProgress, e.unloading, e.loading = false, "", ""
		e.sim.updateView()
	})
}

// crash ends the engine's process and breaks the responses of its requests. An unresponsive engine leaves its connections open,
// so that their ends are noticed only after brokenResponseTimeout.
func (e *endpoint) crash(unresponsive bool) {
	if e.down {
		return
	}
	running := e.running
	e.reset()
	e.down, e.unresponsive = true, unresponsive
	for _, r := range running {
		wait := connectRefusedDelay
		if unresponsive {
			wait = brokenResponseTimeout
		}
		sendSeq := r.sendSeq
		e.sim.scheduleAfter(wait, func() { r.handleBrokenResponse(sendSeq) })
	}
}

// restart starts a new process of the engine and lists the engine again.
func (e *endpoint) restart() {
	e.down, e.unlisted = false, false
	e.restarts++
	e.sim.updateView()
}

// admit starts a request on a free slot. An engine reads the request's prompt without the shared tokens that it has cached.
func (e *endpoint) admit(r *request) {
	e.running = append(e.running, r)
	if e.plain {
		slowdown := 1 + plainSlowdown*float64(len(e.running))/float64(e.slots)
		sendSeq := r.sendSeq
		e.scheduleInProcess(time.Duration(float64(r.class.ServiceTime)*slowdown), func() {
			if r.sendSeq == sendSeq {
				e.finishRequest(r)
			}
		})
		return
	}
	if key := r.model + "/" + r.adapter; e.cachedPrefixes[key] {
		r.unreadPromptTokens -= float64(r.class.SharedPromptTokens)
	} else {
		e.cachedPrefixes[key] = true
	}
	if r.adapter != "" {
		e.adapterLastUse[copies.Adapter{Model: r.model, Name: r.adapter}] = e.sim.now
	}
	e.step()
}

// finishRequest ends a request whose response is complete and frees its slot.
func (e *endpoint) finishRequest(r *request) {
	e.releaseSlot(r)
	r.handleCompleted()
}

// releaseSlot frees the slot of a request.
func (e *endpoint) releaseSlot(r *request) {
	e.running = slices.DeleteFunc(e.running, func(x *request) bool { return x == r })
}

// step runs one step of the engine's batch, and then the next while requests remain. A step reads up to promptChunkTokens of the
// first unread prompt and generates one token for each request whose prompt was read before.
func (e *endpoint) step() {
	if e.stepInProgress || len(e.running) == 0 {
		return
	}
	e.stepInProgress = true
	read := 0.0
	var reading *request
	for _, r := range e.running {
		if r.unreadPromptTokens > 0 {
			reading, read = r, min(r.unreadPromptTokens, promptChunkTokens)
			break
		}
	}
	batchLoad := float64(len(e.running)-1) / float64(e.slots)
	stepMs := e.sim.scenario.StepMs*(1+batchSlowdown*batchLoad) + read/e.sim.scenario.PromptTokensPerMs
	var generating []*request
	for _, r := range e.running {
		if r.unreadPromptTokens <= 0 {
			generating = append(generating, r)
		}
	}
	e.scheduleInProcess(time.Duration(stepMs*float64(time.Millisecond)), func() {
		e.stepInProgress = false
		if reading != nil {
			reading.unreadPromptTokens -= read
		}
		for _, r := range generating {
			if r.endpoint == e && r.generateToken() {
				e.finishRequest(r)
			}
		}
		e.step()
	})
}
