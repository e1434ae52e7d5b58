package copies

import (
	"math"

	"sycamoredeal/internal/fleet"
)

// The cost of a layout, in places: see costOf for an endpoint with a load. The need for a model without a copy costs
// absentPrice for each place. The load patterns that it answers: a few models take most of the requests while the endpoints
// of others stand idle, with places for all models or without.

const (
	absentPrice = 3.0 // of a place: what is not served costs more than what waits at a full endpoint
	// residentValue is what a copy of a declared model is worth where all fit, whether anybody asks for it or not, as a
	// share of an endpoint's places: it answers at once when it is asked for.
	residentValue = 0.1
	// leastHorizon is how long a demand is expected to last, in seconds: it often moves within ten. A load serves
	// it for what is left then.
	leastHorizon = 10.0
)

// change is one endpoint that loads a model, with the model that makes room for it.
type change struct {
	at     int
	victim string // empty if there is room
	gain   float64
}

// costOf returns what a load costs at an endpoint: a further place costs its share of the places in use, and no more than
// one that is not served at all.
func (r *layout) costOf(load float64) float64 {
	most := absentPrice * r.slots
	beyond := max(load-most, 0)
	load = min(load, most)
	return load*load/(2*r.slots) + absentPrice*beyond
}

// effect is what an exchange does to the cost, in places: less the victim at once, and with the new copy once it is loaded.
type effect struct {
	now, later float64
}

// effectOf returns by how much the cost falls when an endpoint loads a model in place of another one.
func (r *layout) effectOf(at int, m *fleet.Model, victim string) effect {
	before, after := r.load[at], r.load[at]
	loss := 0.0
	if victim != "" {
		loss = r.lossOf(at, victim)
		after -= r.share[at][victim]
	}
	return effect{now: r.costOf(before) - r.costOf(after) - loss, later: r.relief(m, after) + r.costOf(after)}
}

// gain returns what an exchange gains while the demand lasts, when the load takes a time, both in seconds.
func (e effect) gain(takes, lasts float64) float64 {
	if lasts <= takes {
		return e.now
	}
	return e.now + e.later*(1-takes/lasts)
}

// relief returns what a copy of a model at an endpoint with a load takes off the cost elsewhere, less the cost of the
// endpoint then.
func (r *layout) relief(m *fleet.Model, load float64) float64 {
	need := r.p.need[m.Name]
	if r.copies(m.Name) == 0 {
		takes := min(need, max(absentPrice*r.slots-load, 0))
		relief := absentPrice*takes - r.costOf(load+takes)
		if r.fits {
			relief += residentValue * r.slots
		}
		return relief
	}
	level, used := r.level(m.Name, -1)
	n := float64(used)
	takes := max(min(n/(n+1)*(level-load), need), 0)
	return n*(r.costOf(level)-r.costOf(level-takes/n)) - r.costOf(load+takes)
}

// lossOf returns what the loss of a copy costs elsewhere.
func (r *layout) lossOf(at int, victim string) float64 {
	if !r.servedElsewhere(victim, at) {
		loss := absentPrice * r.p.need[victim]
		if r.fits {
			loss += residentValue * r.slots
		}
		return loss
	}
	level, used := r.level(victim, at)
	n := float64(used)
	return n * (r.costOf(level+r.share[at][victim]/n) - r.costOf(level))
}

// horizon returns how long the demand for a model that is loaded now may be expected to last, in seconds: as long again as
// its copies have been loaded. It is for changes that take two loads, which only serve a demand that stays.
func (r *layout) horizon(model string) float64 {
	since, ok := r.p.loaded[model]
	if !ok {
		return 0
	}
	return (r.in.Now - since).Seconds()
}

// noteLoaded notes since when each model would gain by a further copy.
func (r *layout) noteLoaded() {
	for name, m := range r.models {
		switch _, known := r.p.loaded[name]; {
		case r.mostGain(m) < r.least:
			delete(r.p.loaded, name)
		case !known:
			r.p.loaded[name] = r.in.Now
		}
	}
}

// best returns the change with the largest gain that loads a model, among the victims that are allowed. at is -1 if there is
// none. anySettled tells that endpoints may be changed although they were a moment ago.
func (r *layout) best(m *fleet.Model, anySettled bool, allowed func(at int, victim string) bool) change {
	best := change{at: -1, gain: math.Inf(-1)}
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.mayTake(i, m) || !anySettled && !r.settled(e) {
			continue
		}
		load := loadSeconds(m, e.source(m.Name))
		if r.free[i] >= m.WeightsMB {
			if g := r.effectOf(i, m, "").gain(load, leastHorizon); g > best.gain {
				best = change{i, "", g}
			}
			continue
		}
		for _, v := range e.Models {
			d := r.models[v]
			if d == nil || r.free[i]+d.WeightsMB < m.WeightsMB || !allowed(i, v) {
				continue
			}
			if g := r.effectOf(i, m, v).gain(load+unloadSeconds(e.Running[v], r.in.Demand[v].MeanHoldSec), leastHorizon); g > best.gain {
				best = change{i, v, g}
			}
		}
	}
	return best
}

// mostGain returns what a copy of a model gains at most, at an idle endpoint.
func (r *layout) mostGain(m *fleet.Model) float64 { return r.relief(m, 0) }

// unloadSeconds is the time until the last of the requests in progress has ended, when their durations are exponentially
// distributed: the memory is free then.
func unloadSeconds(running int, holdSec float64) float64 {
	if running == 0 {
		return 0
	}
	return holdSec * (math.Log(float64(running)) + 0.58)
}

// loadSeconds is the time of a load.
func loadSeconds(m *fleet.Model, from Source) float64 {
	switch from {
	case FromMemory:
		return m.MemoryLoadTime.Seconds()
	case FromDisk:
		return m.DiskLoadTime.Seconds()
	}
	return m.StoreLoadTime.Seconds()
}
