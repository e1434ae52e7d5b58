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
	initialHoldSec      = 2.0 // seconds, until requests of the model have been measured
	initialPlainHoldSec = 0.08
	minHoldSec          = 0.001
	holdSmoothing       = 0.05
	arrivalSmoothing    = 0.6 // for arrival rates; demand changes within a second or two
	measureEvery        = 500 * time.Millisecond

	slownessSmoothing    = 0.08 // for the slowness of an endpoint
	minSlowness          = 0.3
	maxSlowness          = 20.0
	slownessDecayDelay   = time.Second // time without a measurement after which the slowness decays
	slownessDecayShare   = 0.15        // share of the slowness above 1 that is removed every measureEvery
	kvShare              = 0.95        // share of an endpoint's KV cache that grants may fill
	maxSentParts         = 4096        // prompt parts remembered per endpoint
	defaultOutputTokens  = 300.0       // tokens, without the caller's estimate
	overdueRatio         = 2.0         // a first token is overdue after this times its predicted time, plus overdueSlack
	overdueSlack         = 50 * time.Millisecond
	minPrefillMsPerToken = 1e-6 // ms; avoids a division by 0
)

type partKey struct {
	model, adapter string
	id             uint64
}

// endpoint holds what the dispatcher knows of a server.
type endpoint struct {
	id, zone          string
	born              int64
	service           string
	engine            *fleet.Engine // nil for a plain service
	slots             int
	present           bool // listed in the current view
	draining          bool
	models            map[string]bool
	adapterLastUse    map[copies.Adapter]time.Duration // adapters assumed to be loaded, with the time of their last use
	requestsByAdapter map[copies.Adapter]int           // granted requests, by adapter

	usedSlots       int
	requestsByModel map[string]int   // granted requests, by model
	prefill         *prefillEstimate // estimate for the service's engines
	pendingPrefills []*request       // granted requests without a first token, in the order of their grants
	backlogTokens   float64          // uncached prompt tokens of pendingPrefills
	backlogDoneAt   time.Duration    // predicted end of the prefill of these tokens
	kvTokens        float64          // KV cache tokens reserved for the granted requests
	eventMs         float64          // mean time per event of an answer, 0 if unknown
	eventMsAt       time.Duration    // time of the last update of eventMs
	slowness        float64          // smoothed ratio of the measured to the predicted time to the first token
	slownessAt      time.Duration
	sentParts       recentSet[partKey]
	health          health
	limit           *rateLimit // nil if the endpoint states none
	trial           trial      // latest request with a suspected part whose answer has not begun
	successor       *endpoint  // the process that replaced this one under the same id, nil if there is none
}

func newEndpoint(p *fleet.Endpoint) *endpoint {
	return &endpoint{
		id: p.ID, born: p.StartUnixMs, slowness: 1, requestsByModel: make(map[string]int), requestsByAdapter: make(map[copies.Adapter]int),
		adapterLastUse: make(map[copies.Adapter]time.Duration),
		sentParts:      newRecentSet[partKey](maxSentParts),
	}
}

// apply updates the endpoint from its entry in the platform's list. An adapter in the list is added only when its model is
// new at the endpoint. For other models the adapters are known from grants and outcomes, because servers don't announce
// changes of adapters.
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
				e.adapterLastUse[copies.Adapter{Model: m.Model, Name: a}] = 0
			}
		}
	}
	for k := range e.adapterLastUse {
		if !e.models[k.Model] {
			delete(e.adapterLastUse, k)
		}
	}
}

func (e *endpoint) hasAdapter(model, adapter string) bool {
	_, ok := e.adapterLastUse[copies.Adapter{Model: model, Name: adapter}]
	return ok
}

// loadedAdapters returns the adapters that are assumed to be loaded, sorted by model and name.
func (e *endpoint) loadedAdapters() []wire.ModelAdapter {
	var out []wire.ModelAdapter
	for k := range e.adapterLastUse {
		out = append(out, wire.ModelAdapter{Model: k.Model, Adapter: k.Name})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Model < out[j].Model || out[i].Model == out[j].Model && out[i].Adapter < out[j].Adapter
	})
	return out
}

// evictAdapter removes and returns the loaded adapter that has to be unloaded to make room for another one. The
// result is empty if an adapter slot is free or if all loaded adapters are in use.
func (e *endpoint) evictAdapter() wire.ModelAdapter {
	if len(e.adapterLastUse) < e.engine.AdapterSlots {
		return wire.ModelAdapter{}
	}
	busy := make(map[copies.Adapter]bool, len(e.requestsByAdapter))
	for k := range e.requestsByAdapter {
		busy[k] = true
	}
	victim, ok := copies.AdapterToEvict(e.adapterLastUse, busy)
	if !ok {
		return wire.ModelAdapter{}
	}
	delete(e.adapterLastUse, victim)
	return wire.ModelAdapter{Model: victim.Model, Adapter: victim.Name}
}

// markMissing removes an adapter, or a model if adapter is empty, that the endpoint does not hold.
func (e *endpoint) markMissing(model, adapter string) {
	if adapter != "" {
		delete(e.adapterLastUse, copies.Adapter{Model: model, Name: adapter})
		return
	}
	delete(e.models, model)
}

// outputTokens estimates the number of tokens that a request generates.
func outputTokens(a *wire.Ask) float64 {
	switch {
	case a.ExpectedTokens > 0:
		return float64(a.ExpectedTokens)
	case a.MaxTokens > 0:
		return min(float64(a.MaxTokens), defaultOutputTokens)
	}
	return defaultOutputTokens
}

// uncachedTokens returns the prompt tokens that the endpoint has to process, which are those after the leading
// parts that were sent to it before.
func (e *endpoint) uncachedTokens(a *wire.Ask) float64 {
	kept := uint32(0)
	for _, p := range a.PromptParts {
		if !e.sentParts.has(partKey{a.Model, a.Adapter, p.ID}) {
			break
		}
		kept += p.Tokens
	}
	return float64(a.PromptTokens - min(kept, a.PromptTokens))
}

// prefillMs predicts how long the endpoint takes to process the given number of prompt tokens.
func (e *endpoint) prefillMs(tokens float64) float64 {
	_, perToken := e.prefill.fit()
	return tokens * perToken * e.slowness
}

// startsPerSec returns the rate at which the endpoint can start requests for a model if it serves nothing else. The
// scarcest resource limits it: slots, KV cache, or prefill time.
func (e *endpoint) startsPerSec(m *model) float64 {
	hold := max(m.holdSec, minHoldSec)
	n := float64(e.slots) / hold
	if rate, limited := e.limitRate(); limited {
		n = min(n, rate)
	}
	if e.engine == nil {
		return n
	}
	if e.engine.KVTokens > 0 && m.kvTokens > 0 {
		n = min(n, kvShare*float64(e.engine.KVTokens)/m.kvTokens/hold)
	}
	if ms := e.prefillMs(m.uncachedTokens); ms > 0 {
		n = min(n, 1000/ms)
	}
	return n
}

// backlogMs predicts how long the endpoint still needs for the prompts that were sent to it. If the first token of the
// oldest pending request is overdue, none of the backlog is assumed to have been processed.
func (e *endpoint) backlogMs(now time.Duration) float64 {
	if len(e.pendingPrefills) == 0 {
		return 0
	}
	total := e.prefillMs(e.backlogTokens)
	oldest := e.pendingPrefills[0]
	if limit := overdueSlack + seconds(overdueRatio*oldest.predictedMs/1000); now-oldest.grantedAt > limit {
		return total
	}
	return min(max((e.backlogDoneAt-now).Seconds()*1000, 0), total)
}

// firstTokenMs predicts the time to the first token of a request that is sent now.
func (e *endpoint) firstTokenMs(r *request, now time.Duration) float64 {
	first, _ := e.prefill.fit()
	return e.backlogMs(now) + first*e.slowness + e.prefillMs(e.uncachedTokens(&r.ask))
}

// timeToTargetAt predicts how long before its target a request must be sent to an endpoint to be on time.
func (s *State) timeToTargetAt(e *endpoint, r *request) time.Duration {
	if e.engine == nil {
		return s.timeToTarget(r)
	}
	return seconds(e.firstTokenMs(r, s.now) / 1000)
}

// addRequest counts a request that is granted at now.
func (e *endpoint) addRequest(r *request, now time.Duration) {
	e.usedSlots++
	if e.engine == nil {
		return
	}
	a := &r.ask
	e.requestsByModel[a.Model]++
	r.uncachedTokens = e.uncachedTokens(a)
	r.kvTokens = float64(a.PromptTokens) + outputTokens(a)
	backlog := e.backlogMs(now)
	r.tokensToPrefill = backlog/max(e.prefillMs(1), minPrefillMsPerToken) + r.uncachedTokens
	e.backlogDoneAt = now + seconds((backlog+e.prefillMs(r.uncachedTokens))/1000)
	e.pendingPrefills = append(e.pendingPrefills, r)
	e.backlogTokens += r.uncachedTokens
	e.kvTokens += r.kvTokens
	for _, p := range a.PromptParts {
		e.sentParts.add(partKey{a.Model, a.Adapter, p.ID})
	}
	if a.Adapter != "" {
		k := copies.Adapter{Model: a.Model, Name: a.Adapter}
		e.requestsByAdapter[k]++
		e.adapterLastUse[k] = now
	}
}

// markPrefilled records that the prompt of a request has been processed.
func (e *endpoint) markPrefilled(r *request) {
	if !r.started {
		r.started = true
		e.pendingPrefills = slices.DeleteFunc(e.pendingPrefills, func(x *request) bool { return x == r })
		if e.backlogTokens = max(e.backlogTokens-r.uncachedTokens, 0); len(e.pendingPrefills) == 0 {
			e.backlogTokens = 0
		}
	}
}

// removeRequest frees what addRequest reserved. Prompt parts and adapters stay known, because the endpoint keeps them.
func (e *endpoint) removeRequest(r *request) {
	e.usedSlots = max(e.usedSlots-1, 0)
	if e.engine == nil {
		return
	}
	e.markPrefilled(r)
	if e.requestsByModel[r.ask.Model]--; e.requestsByModel[r.ask.Model] <= 0 {
		delete(e.requestsByModel, r.ask.Model)
	}
	e.kvTokens = max(e.kvTokens-r.kvTokens, 0)
	if a := &r.ask; a.Adapter != "" {
		k := copies.Adapter{Model: a.Model, Name: a.Adapter}
		if e.requestsByAdapter[k]--; e.requestsByAdapter[k] <= 0 {
			delete(e.requestsByAdapter, k)
		}
	}
}

// updateSlowness updates the slowness with the ratio of a measured to a predicted time.
func (e *endpoint) updateSlowness(now time.Duration, ratio float64) {
	e.slownessAt = now
	// The ratio is limited, so that a single outlier does not exclude the endpoint from further requests.
	ratio = min(ratio*e.slowness, 3*e.slowness+1)
	e.slowness = min(max(e.slowness+slownessSmoothing*(ratio-e.slowness), minSlowness), maxSlowness)
}

// decaySlowness reduces the slowness of an endpoint that has not been measured lately. Otherwise a slow endpoint would get
// no requests, and its slowness would never be measured again.
func (e *endpoint) decaySlowness(now time.Duration) {
	if e.slowness > 1 && now-e.slownessAt > slownessDecayDelay {
		e.slowness -= slownessDecayShare * (e.slowness - 1)
	}
}

// recentSet remembers the values that were added last. Values are added to newer. When newer holds half of size, it replaces
// older, and the values that were only in older are dropped.
type recentSet[K comparable] struct {
	size         int
	newer, older map[K]struct{}
}

func newRecentSet[K comparable](size int) recentSet[K] {
	return recentSet[K]{size: size, newer: make(map[K]struct{}), older: make(map[K]struct{})}
}

func (c *recentSet[K]) has(k K) bool {
	if _, ok := c.newer[k]; ok {
		return true
	}
	_, ok := c.older[k]
	return ok
}

func (c *recentSet[K]) add(k K) {
	if len(c.newer) >= c.size/2 {
		c.older, c.newer = c.newer, make(map[K]struct{})
	}
	c.newer[k] = struct{}{}
}
