package copies

import (
	"maps"
	"math"
	"time"

	"sycamoredeal/internal/fleet"
)

// maxRelocationShare limits the last copies that are relocated at the same time, as a share of the endpoints that may
// change.
const maxRelocationShare = 0.34

// relocateLastCopies loads a second copy of a model whose only copy occupies memory that a busy model needs, so that the
// first copy may be unloaded in a later round. It handles the load pattern in which a few models take most of the
// requests, the endpoints with free slots hold only last copies, and the second copies of rarely used models are on full
// endpoints.
func (r *layout) relocateLastCopies() {
	if !r.allModelsFit || !r.p.demandSeen {
		return // last copies may be unloaded anyway, or it is not known which models are busy
	}
	minGain := 2 * r.minGain // a relocation takes two loads
	maps.DeleteFunc(r.p.relocating, func(m string, until time.Duration) bool { return r.in.Now > until || r.copies(m) < 2 })
	for _, busy := range r.candidates(minGain) {
		if r.changes >= r.maxChanges || len(r.p.relocating) >= max(int(maxRelocationShare*float64(r.maxChanges)), 1) {
			return
		}
		if level, _ := r.lowestLoad(busy.model.Name, -1); r.copies(busy.model.Name) == 0 || level < r.slots {
			continue // a relocation pays off only if all endpoints of the model are full
		}
		blocking, gain := r.blockingModel(busy.model)
		if blocking == nil || gain < minGain {
			continue
		}
		c := r.bestChange(blocking, false, func(endpoint int, victim string) bool {
			return r.hasOtherLoadedCopy(victim, endpoint) && victim != busy.model.Name && !r.isRelocating(victim)
		})
		if c.endpoint < 0 || gain+min(c.gain, 0) < minGain {
			continue
		}
		loadSec := loadSeconds(blocking, r.in.Endpoints[c.endpoint].source(blocking.Name))
		r.p.relocating[blocking.Name] = r.in.Now + time.Duration((loadSec+relocationGrace)*float64(time.Second))
		r.addOrder(c.endpoint, Order{Load: blocking.Name, Unload: c.victim, Reason: "its only copy is in the way of a loaded model", Gain: gain + min(c.gain, 0)})
	}
}

// relocationGrace is the time in seconds, after the second copy of a relocated model is loaded, in which the model still
// counts as being relocated.
const relocationGrace = 2.0

// isRelocating tells whether the last copy of a model is being relocated.
func (r *layout) isRelocating(model string) bool {
	_, ok := r.p.relocating[model]
	return ok
}

// blockingModel returns the model whose only copy prevents m from being loaded at the endpoint where it would gain most,
// and that gain.
func (r *layout) blockingModel(m *fleet.Model) (blocking *fleet.Model, gain float64) {
	gain = math.Inf(-1)
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.dwellPassed(e) || !r.canLoad(i, m) {
			continue
		}
		for _, victim := range e.Models {
			victimModel := r.models[victim]
			if victimModel == nil || r.copies(victim) != 1 || r.isRelocating(victim) || r.free[i]+victimModel.WeightsMB < m.WeightsMB {
				continue
			}
			// unloadCost is added back: the model gets a second copy first, which accounts for that cost.
			total := r.effectOf(i, m, victim)
			total.immediate += r.unloadCost(i, victim)
			g := total.gain(loadSeconds(m, e.source(m.Name))+victimModel.StoreLoadTime.Seconds(), r.expectedDemandTime(m.Name))
			if g > gain {
				blocking, gain = victimModel, g
			}
		}
	}
	return blocking, gain
}
