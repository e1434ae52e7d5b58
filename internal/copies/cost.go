package copies

import (
	"math"

	"sycamoredeal/internal/fleet"
)

// The cost of a layout is measured in slots. It is the sum of loadCost over the endpoints, plus unservedCost for each slot of
// need for models without a copy. It is designed for load patterns in which a few models take most of the requests while
// the endpoints of other models are idle, whether the fleet has memory for all models or not.

const (
	unservedCost = 3.0 // per slot of need; more than a request that waits at a full endpoint costs
	// residentValue is the value of a copy of any declared model where all models fit, with or without demand, as a share
	// of an endpoint's slots: a model with a copy answers its next request without a load.
	residentValue = 0.1
	// demandHorizon is the time in seconds for which the present demand is expected to last: it often shifts within ten
	// seconds. A copy is useful for the part of it that remains after the load.
	demandHorizon = 10.0
)

// change loads a model at one endpoint, and unloads another model there if memory is needed.
type change struct {
	endpoint int     // index in Input.Endpoints, -1 for no change
	victim   string  // model to unload, empty if there is enough free memory
	gain     float64 // decrease of the cost, in slots
}

// loadCost returns the cost of an endpoint with an expected load in slots. It grows with the square of the load, so that
// each further slot costs the share of the slots in use, but no more than unservedCost.
func (r *layout) loadCost(load float64) float64 {
	maxLoad := unservedCost * r.slots
	beyond := max(load-maxLoad, 0)
	load = min(load, maxLoad)
	return load*load/(2*r.slots) + unservedCost*beyond
}

// effect is the decrease of the cost by a change, in slots. The two parts add up: immediate takes effect when the victim
// is unloaded, afterLoad when the new copy is loaded.
type effect struct {
	immediate, afterLoad float64
}

// effectOf returns the effect of loading a model at an endpoint in place of victim, which is empty if nothing is unloaded.
func (r *layout) effectOf(endpoint int, m *fleet.Model, victim string) effect {
	before, after := r.load[endpoint], r.load[endpoint]
	loss := 0.0
	if victim != "" {
		loss = r.unloadCost(endpoint, victim)
		after -= r.needByModel[endpoint][victim]
	}
	return effect{immediate: r.loadCost(before) - r.loadCost(after) - loss, afterLoad: r.costReduction(m, after) + r.loadCost(after)}
}

// gain returns the mean decrease of the cost over the time that the demand lasts, if the load takes loadSec. Both times
// are in seconds.
func (e effect) gain(loadSec, demandSec float64) float64 {
	if demandSec <= loadSec {
		return e.immediate
	}
	return e.immediate + e.afterLoad*(1-loadSec/demandSec)
}

// costReduction returns by how much the cost falls elsewhere when an endpoint with a load gets a copy of a model, less the
// cost of that endpoint with the load that it takes over.
func (r *layout) costReduction(m *fleet.Model, load float64) float64 {
	need := r.p.need[m.Name]
	if r.copies(m.Name) == 0 {
		moved := min(need, max(unservedCost*r.slots-load, 0))
		reduction := unservedCost*moved - r.loadCost(load+moved)
		if r.allModelsFit {
			reduction += residentValue * r.slots
		}
		return reduction
	}
	level, used := r.lowestLoad(m.Name, -1)
	n := float64(used)
	moved := max(min(n/(n+1)*(level-load), need), 0)
	return n*(r.loadCost(level)-r.loadCost(level-moved/n)) - r.loadCost(load+moved)
}

// unloadCost returns by how much the cost rises elsewhere when an endpoint unloads its copy of victim.
func (r *layout) unloadCost(endpoint int, victim string) float64 {
	if !r.hasOtherLoadedCopy(victim, endpoint) {
		loss := unservedCost * r.p.need[victim]
		if r.allModelsFit {
			loss += residentValue * r.slots
		}
		return loss
	}
	level, used := r.lowestLoad(victim, endpoint)
	n := float64(used)
	return n * (r.loadCost(level+r.needByModel[endpoint][victim]/n) - r.loadCost(level))
}

// expectedDemandTime returns how long the demand for an overloaded model is expected to last, in seconds: as long as the
// model has been overloaded already. It is used for changes that take two loads, which only pay off if the demand
// persists.
func (r *layout) expectedDemandTime(model string) float64 {
	since, ok := r.p.overloadedSince[model]
	if !ok {
		return 0
	}
	return (r.in.Now - since).Seconds()
}

// updateOverloaded records since when each model would gain by a further copy.
func (r *layout) updateOverloaded() {
	for name, m := range r.models {
		switch _, known := r.p.overloadedSince[name]; {
		case r.maxGain(m) < r.minGain:
			delete(r.p.overloadedSince, name)
		case !known:
			r.p.overloadedSince[name] = r.in.Now
		}
	}
}

// bestChange returns the change with the largest gain that loads a model, and the endpoint -1 if there is none. A victim
// is considered only if allowed returns true for it. ignoreDwell includes endpoints that have just been changed.
func (r *layout) bestChange(m *fleet.Model, ignoreDwell bool, allowed func(endpoint int, victim string) bool) change {
	best := change{endpoint: -1, gain: math.Inf(-1)}
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.canLoad(i, m) || !ignoreDwell && !r.dwellPassed(e) {
			continue
		}
		loadSec := loadSeconds(m, e.source(m.Name))
		if r.free[i] >= m.WeightsMB {
			if g := r.effectOf(i, m, "").gain(loadSec, demandHorizon); g > best.gain {
				best = change{i, "", g}
			}
			continue
		}
		for _, victim := range e.Models {
			victimModel := r.models[victim]
			if victimModel == nil || r.free[i]+victimModel.WeightsMB < m.WeightsMB || !allowed(i, victim) {
				continue
			}
			if g := r.effectOf(i, m, victim).gain(loadSec+unloadSeconds(e.Running[victim], r.in.Demand[victim].MeanHoldSec), demandHorizon); g > best.gain {
				best = change{i, victim, g}
			}
		}
	}
	return best
}

// maxGain returns an upper bound of the gain by a further copy of a model: its gain at an idle endpoint, without the load
// time.
func (r *layout) maxGain(m *fleet.Model) float64 { return r.costReduction(m, 0) }

// unloadSeconds returns the expected time until the last of the running requests has ended and the memory of the model is
// free. For n exponentially distributed durations it is about their mean times ln(n) + 0.58.
func unloadSeconds(running int, holdSec float64) float64 {
	if running == 0 {
		return 0
	}
	return holdSec * (math.Log(float64(running)) + 0.58)
}

// loadSeconds returns the time in seconds that a load from a source takes.
func loadSeconds(m *fleet.Model, from Source) float64 {
	switch from {
	case FromMemory:
		return m.MemoryLoadTime.Seconds()
	case FromDisk:
		return m.DiskLoadTime.Seconds()
	}
	return m.StoreLoadTime.Seconds()
}
