package sched

import (
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	initialHold      = 2.0 // seconds, until requests of the model were measured
	initialPlainHold = 0.08
	leastHold        = 0.001
	holdSmoothing    = 0.05
	rateSmoothing    = 0.6 // of arrivals: demand moves within a second or two
	measureEvery     = 500 * time.Millisecond

	firstSmoothing = 0.08 // of measured over predicted time to the first piece
	minSlowness    = 0.3
	maxSlowness    = 20.0
	relaxAfter     = time.Second // without a measurement, a slow endpoint is believed to recover
	relaxShare     = 0.15        // of the slowness above normal, per measureEvery
	kvShare        = 0.95        // of an endpoint's memory for tokens that grants may fill
	keptParts      = 4096        // prompt parts remembered for each endpoint
	defaultOutput  = 300.0       // tokens, without an estimate of the caller
	overdueRatio   = 2.0         // of the predicted time to a first piece: the endpoint is behind the prediction
	overdueSlack   = 50 * time.Millisecond
	minReading     = 1e-6 // ms for a token
)

type partKey struct {
	model, adapter string
	id             uint64
}

// endpoint is what the dispatcher knows of a server.
type endpoint struct {
	id, zone string
	born     int64
	service  string
	engine   *fleet.Engine // nil for a plain service
	slots    int
	present  bool // in the view
	draining bool
	models   map[string]bool
	loaded   map[copies.Adapter]time.Duration // adapters believed to be loaded, by their latest use
	running  map[copies.Adapter]int           // granted requests by adapter

	used     int
	byModel  map[string]int // granted requests
	pace     *pace          // of the service's engines
	unread   []*request     // granted requests without a first piece, in the order of their grants
	backlog  float64        // their prompt tokens
	readBy   time.Duration  // when those are predicted to have been read
	kv       float64        // tokens in memory when the granted requests are done
	eventMs  float64        // mean time for an event of an answer, 0 if unknown
	pacedAt  time.Duration  // when it was learned
	slowness float64        // measured over predicted time to the first piece
	learned  time.Duration
	parts    partCache
	health   health
}

func newEndpoint(p *fleet.Endpoint) *endpoint {
	return &endpoint{
		id: p.ID, born: p.Born, slowness: 1, byModel: make(map[string]int), running: make(map[copies.Adapter]int),
		loaded: make(map[copies.Adapter]time.Duration),
		parts:  newPartCache(keptParts),
	}
}

// apply takes over an entry of the list. Adapters are learned from outcomes as well, because servers don't announce
// them: the list only adds what it shows after the endpoint's models have changed.
func (e *endpoint) apply(p *fleet.Endpoint, svc *fleet.Service) {
	e.present, e.draining, e.zone, e.service = true, p.Draining, p.Zone, p.Service
	e.slots, e.engine = max(p.Slots, 1), nil
	if svc != nil {
		e.engine = svc.Engine
	}
	before := e.models
	e.models = make(map[string]bool, len(p.Models))
	for i := range p.Models {
		m := &p.Models[i]
		e.models[m.Model] = true
		if before == nil || !before[m.Model] {
			for _, a := range m.Adapters {
				e.loaded[copies.Adapter{Model: m.Model, Name: a}] = 0
			}
		}
	}
	for k := range e.loaded {
		if !e.models[k.Model] {
			delete(e.loaded, k)
		}
	}
}

func (e *endpoint) hasAdapter(model, adapter string) bool {
	_, ok := e.loaded[copies.Adapter{Model: model, Name: adapter}]
	return ok
}

// known returns the adapters that are believed to be loaded.
func (e *endpoint) known() []wire.ModelAdapter {
	var out []wire.ModelAdapter
	for k := range e.loaded {
		out = append(out, wire.ModelAdapter{Model: k.Model, Adapter: k.Name})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Model < out[j].Model || out[i].Model == out[j].Model && out[i].Adapter < out[j].Adapter
	})
	return out
}

// evict forgets the adapter that has to make room for another one, and returns it. It is empty if there is room.
func (e *endpoint) evict() wire.ModelAdapter {
	if len(e.loaded) < e.engine.AdapterSlots {
		return wire.ModelAdapter{}
	}
	busy := make(map[copies.Adapter]bool, len(e.running))
	for k := range e.running {
		busy[k] = true
	}
	victim, ok := copies.Evict(e.loaded, busy)
	if !ok {
		return wire.ModelAdapter{}
	}
	delete(e.loaded, victim)
	return wire.ModelAdapter{Model: victim.Model, Adapter: victim.Name}
}

// forget removes a belief that an answer of the endpoint has disproved.
func (e *endpoint) forget(model, adapter string) {
	if adapter != "" {
		delete(e.loaded, copies.Adapter{Model: model, Name: adapter})
		return
	}
	delete(e.models, model)
}

// output estimates the tokens that a request generates.
func output(a *wire.Ask) float64 {
	switch {
	case a.ExpectedTokens > 0:
		return float64(a.ExpectedTokens)
	case a.MaxTokens > 0:
		return min(float64(a.MaxTokens), defaultOutput)
	}
	return defaultOutput
}

// fresh returns the prompt tokens that the endpoint has to read: what follows the leading parts that it keeps.
func (e *endpoint) fresh(a *wire.Ask) float64 {
	kept := uint32(0)
	for _, p := range a.PromptParts {
		if !e.parts.has(partKey{a.Model, a.Adapter, p.ID}) {
			break
		}
		kept += p.Tokens
	}
	return float64(a.PromptTokens - min(kept, a.PromptTokens))
}

// readingMs returns the time that the endpoint takes to read so many prompt tokens.
func (e *endpoint) readingMs(tokens float64) float64 {
	_, perToken := e.pace.fit()
	return tokens * perToken * e.slowness
}

// startsPerSec returns the requests for a model that the endpoint can start a second if it serves nothing else, by what it
// has least of: places, memory for tokens, or time to read prompts.
func (e *endpoint) startsPerSec(m *model) float64 {
	hold := max(m.hold, leastHold)
	n := float64(e.slots) / hold
	if e.engine == nil {
		return n
	}
	if e.engine.KVTokens > 0 && m.tokens > 0 {
		n = min(n, kvShare*float64(e.engine.KVTokens)/m.tokens/hold)
	}
	if ms := e.readingMs(m.fresh); ms > 0 {
		n = min(n, 1000/ms)
	}
	return n
}

// aheadMs predicts how long the endpoint still reads prompts that were sent to it. One that is behind the prediction has
// read nothing of what it has not answered.
func (e *endpoint) aheadMs(now time.Duration) float64 {
	if len(e.unread) == 0 {
		return 0
	}
	all := e.readingMs(e.backlog)
	oldest := e.unread[0]
	if late := overdueSlack + seconds(overdueRatio*oldest.predict/1000); now-oldest.granted > late {
		return all
	}
	return min(max((e.readBy-now).Seconds()*1000, 0), all)
}

// firstMs predicts the time to the first piece of a request that is sent now.
func (e *endpoint) firstMs(r *request, now time.Duration) float64 {
	first, _ := e.pace.fit()
	return e.aheadMs(now) + first*e.slowness + e.readingMs(e.fresh(&r.ask))
}

// first predicts the time to the first piece of a request that is sent now, also for a plain service.
func (e *endpoint) first(r *request, now time.Duration) time.Duration {
	if e.engine == nil {
		return 0
	}
	return seconds(e.firstMs(r, now) / 1000)
}

// take counts a request granted at now.
func (e *endpoint) take(r *request, now time.Duration) {
	e.used++
	if e.engine == nil {
		return
	}
	a := &r.ask
	e.byModel[a.Model]++
	r.fresh = e.fresh(a)
	r.tokens = float64(a.PromptTokens) + output(a)
	ahead := e.aheadMs(now)
	r.reads = ahead/max(e.readingMs(1), minReading) + r.fresh
	e.readBy = now + seconds((ahead+e.readingMs(r.fresh))/1000)
	e.unread = append(e.unread, r)
	e.backlog += r.fresh
	e.kv += r.tokens
	for _, p := range a.PromptParts {
		e.parts.add(partKey{a.Model, a.Adapter, p.ID})
	}
	if a.Adapter != "" {
		k := copies.Adapter{Model: a.Model, Name: a.Adapter}
		e.running[k]++
		e.loaded[k] = now
	}
}

// read notes that the prompt of a request has been read.
func (e *endpoint) read(r *request) {
	if !r.started {
		r.started = true
		e.unread = slices.DeleteFunc(e.unread, func(x *request) bool { return x == r })
		if e.backlog = max(e.backlog-r.fresh, 0); len(e.unread) == 0 {
			e.backlog = 0
		}
	}
}

// free undoes take.
func (e *endpoint) free(r *request) {
	e.used = max(e.used-1, 0)
	if e.engine == nil {
		return
	}
	e.read(r)
	if e.byModel[r.ask.Model]--; e.byModel[r.ask.Model] <= 0 {
		delete(e.byModel, r.ask.Model)
	}
	e.kv = max(e.kv-r.tokens, 0)
	if a := &r.ask; a.Adapter != "" {
		k := copies.Adapter{Model: a.Model, Name: a.Adapter}
		if e.running[k]--; e.running[k] <= 0 {
			delete(e.running, k)
		}
	}
}

// learnFirst takes in a measured over a predicted time.
func (e *endpoint) learnFirst(now time.Duration, ratio float64) {
	e.learned = now
	// A single long wait says little; it is cut so that one outlier does not take the endpoint out.
	ratio = min(ratio*e.slowness, 3*e.slowness+1)
	e.slowness = min(max(e.slowness+firstSmoothing*(ratio-e.slowness), minSlowness), maxSlowness)
}

// relax lets an endpoint without measurements return to normal, so that it gets requests again.
func (e *endpoint) relax(now time.Duration) {
	if e.slowness > 1 && now-e.learned > relaxAfter {
		e.slowness -= relaxShare * (e.slowness - 1)
	}
}

// partCache remembers the prompt parts that were sent to an endpoint. It keeps between half and all of its size, oldest
// out first.
type partCache struct {
	size     int
	new, old map[partKey]struct{}
}

func newPartCache(size int) partCache {
	return partCache{size: size, new: make(map[partKey]struct{}), old: make(map[partKey]struct{})}
}

func (c *partCache) has(k partKey) bool {
	if _, ok := c.new[k]; ok {
		return true
	}
	_, ok := c.old[k]
	return ok
}

func (c *partCache) add(k partKey) {
	if len(c.new) >= c.size/2 {
		c.old, c.new = c.new, make(map[partKey]struct{})
	}
	c.new[k] = struct{}{}
}
