package emulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/copies"
)

const (
	promptChunkTokens     = 512 // prompt tokens that are read between two steps
	batchSlowdown = 1.0 // relative growth of a step from an empty to a full batch
	plainSlowdown = 0.2 // of plain work at a full endpoint
)

// endpoint is an endpoint: a model endpoint or a plain one.
type endpoint struct {
	sim     *simulation
	id    string
	slots int
	plain bool
	restarts  int64

	models   map[string]bool
	adapterLastUse map[copies.Adapter]time.Duration // by latest use
	inMemory   []string                         // weights at hand, latest last
	onDisk     []string
	cachedPrefixes     map[string]bool // shared prompt parts
	running  []*request
	stepInProgress bool
	epoch    int // of the process: events of an earlier one don't count

	orderInProgress bool // an order for a model is in progress
	unloading  string
	loading   string
	down     bool
	unresponsive     bool
	unlisted  bool // from the list of endpoints
}

// addEngine adds an engine that holds models by its number, so that each model has a copy.
func (sim *simulation) addEngine(i int) {
	e := &endpoint{sim: sim, id: fmt.Sprintf("e%03d", i), slots: sim.scenario.EngineSpec.Slots}
	e.reset()
	fit := int((engineMemoryMB - adapterMB*float64(sim.scenario.EngineSpec.AdapterSlots)) / modelMB)
	for k := range fit {
		m := sim.scenario.EngineSpec.Models[(i*fit+k)%len(sim.scenario.EngineSpec.Models)].Name
		e.models[m] = true
		e.cacheWeights(m)
	}
	sim.engines = append(sim.engines, e)
	sim.endpointsByID[e.id] = e
}

func (e *endpoint) reset() {
	e.models, e.adapterLastUse, e.cachedPrefixes = make(map[string]bool), make(map[copies.Adapter]time.Duration), make(map[string]bool)
	e.running, e.stepInProgress, e.orderInProgress, e.unloading, e.loading = nil, false, false, "", ""
	e.inMemory = nil
	e.epoch++
}

// cacheWeights notes that the weights of a model are at hand.
func (e *endpoint) cacheWeights(m string) {
	e.inMemory = appendRecent(e.inMemory, m, e.sim.scenario.ModelsInMemory)
	e.onDisk = appendRecent(e.onDisk, m, e.sim.scenario.ModelsOnDisk)
}

func appendRecent(list []string, m string, most int) []string {
	list = append(slices.DeleteFunc(list, func(x string) bool { return x == m }), m)
	if len(list) > most {
		list = list[1:]
	}
	return list
}

// plannerInput returns what the holder knows of the engine.
func (e *endpoint) plannerInput(running map[string]int) copies.Endpoint {
	p := copies.Endpoint{
		ID: e.id, Usable: true, Busy: e.orderInProgress || e.down, Changing: e.orderInProgress, Running: running,
		InMemory: slices.Clone(e.inMemory), OnDisk: slices.Clone(e.onDisk),
	}
	for m := range e.models {
		if m != e.unloading {
			p.Models = append(p.Models, m)
		}
	}
	if e.loading != "" && !e.models[e.loading] {
		p.Models = append(p.Models, e.loading)
		p.Coming = e.loading
	}
	sort.Strings(p.Models)
	return p
}

// scheduleInProcess runs do after a time, unless the engine's process has ended.
func (e *endpoint) scheduleInProcess(d time.Duration, do func()) {
	epoch := e.epoch
	e.sim.scheduleAfter(d, func() {
		if e.epoch == epoch {
			do()
		}
	})
}

// startOrder carries an order of the planner out.
func (e *endpoint) startOrder(o copies.Order) {
	if e.orderInProgress || e.down {
		return
	}
	e.orderInProgress, e.loading, e.unloading = true, o.Load, o.Unload
	e.scheduleInProcess(unloadDelay, func() { e.unloadModel(o) })
}

func (e *endpoint) unloadModel(o copies.Order) {
	if o.Unload == "" {
		e.loadModel(o)
		return
	}
	for _, r := range e.running {
		if r.model == o.Unload {
			e.scheduleInProcess(planInterval, func() { e.unloadModel(o) }) // its requests are finished first
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

func (e *endpoint) loadModel(o copies.Order) {
	takes := o.Takes
	if o.From == copies.FromStore {
		e.sim.storeLoads++
		if n := e.sim.storeLoads; n > e.sim.scenario.FullSpeedLoads {
			takes = time.Duration(float64(takes) * float64(n) / float64(e.sim.scenario.FullSpeedLoads))
		}
		e.sim.scheduleAfter(takes, func() { e.sim.storeLoads-- })
	}
	e.scheduleInProcess(takes+reportDelay/2, func() {
		e.models[o.Load] = true
		e.cacheWeights(o.Load)
		e.orderInProgress, e.unloading, e.loading = false, "", ""
		e.sim.updateView()
	})
}

// crash ends the process: what runs there ends without an answer.
func (e *endpoint) crash(dark bool) {
	if e.down {
		return
	}
	running := e.running
	e.reset()
	e.down, e.unresponsive = true, dark
	for _, r := range running {
		wait := connectRefusedDelay
		if dark {
			wait = brokenResponseTimeout
		}
		attempt := r.sendSeq
		e.sim.scheduleAfter(wait, func() { r.handleBrokenResponse(attempt) })
	}
}

func (e *endpoint) restart() {
	e.down, e.unlisted = false, false
	e.restarts++
	e.sim.updateView()
}

// admit admits a request.
func (e *endpoint) admit(r *request) {
	e.running = append(e.running, r)
	if e.plain {
		slow := 1 + plainSlowdown*float64(len(e.running))/float64(e.slots)
		attempt := r.sendSeq
		e.scheduleInProcess(time.Duration(float64(r.class.ServiceTime)*slow), func() {
			if r.sendSeq == attempt {
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

func (e *endpoint) finishRequest(r *request) {
	e.releaseSlot(r)
	r.handleCompleted()
}

// releaseSlot frees the place of a request.
func (e *endpoint) releaseSlot(r *request) {
	e.running = slices.DeleteFunc(e.running, func(x *request) bool { return x == r })
}

// step reads a piece of the oldest prompt and makes a token for each request whose prompt has been read.
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
	batch := float64(len(e.running)-1) / float64(e.slots)
	took := e.sim.scenario.StepMs*(1+batchSlowdown*batch) + read/e.sim.scenario.PromptTokensPerMs
	var writing []*request
	for _, r := range e.running {
		if r.unreadPromptTokens <= 0 {
			writing = append(writing, r)
		}
	}
	e.scheduleInProcess(time.Duration(took*float64(time.Millisecond)), func() {
		e.stepInProgress = false
		if reading != nil {
			reading.unreadPromptTokens -= read
		}
		for _, r := range writing {
			if r.endpoint == e && r.generateToken() {
				e.finishRequest(r)
			}
		}
		e.step()
	})
}
