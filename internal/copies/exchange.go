package copies

import (
	"sort"

	"sycamoredeal/internal/fleet"
)

// negligibleNeed is the need, in slots, below which a model counts as having no demand.
const negligibleNeed = 0.05

// updateAbsent records which models have no copy, and which of these may still appear because an endpoint that holds them
// is about to register.
func (r *layout) updateAbsent() {
	for i := range r.in.Engine.Models {
		m := &r.in.Engine.Models[i]
		if r.copies(m.Name) > 0 {
			delete(r.p.absentSince, m.Name)
			continue
		}
		since, known := r.p.absentSince[m.Name]
		if !known {
			since = r.in.Now
			r.p.absentSince[m.Name] = since
		}
		grace, requested := absentGrace, r.in.Demand[m.Name].Waiting > 0
		if requested {
			grace = absentGraceRequested
		}
		if r.in.Now-since < grace {
			r.mayAppear[m.Name] = true
			r.awaitsRequested = r.awaitsRequested || requested
		}
	}
}

// addCopies loads models in descending order of gain: models without a copy, and further copies of models whose endpoints
// are overloaded. A model may get several copies in one round, because few endpoints may change at the same time and a
// load from the weight store occupies one for seconds.
func (r *layout) addCopies() {
	for r.changes < r.maxChanges {
		m, c := r.bestModelChange()
		if m == nil {
			r.relocateLastCopies()
			return
		}
		reason := "its endpoints are loaded"
		if r.copies(m.Name) == 0 {
			reason = "no usable copy"
		}
		r.addOrder(c.endpoint, Order{Load: m.Name, Unload: c.victim, Reason: reason, Gain: c.gain})
	}
}

// candidate is a model that may get a further copy, with the upper bound of its gain.
type candidate struct {
	model   *fleet.Model
	maxGain float64
}

// candidates returns the models without a copy and those whose maxGain for a further copy is at least minGain, in
// descending order of maxGain.
func (r *layout) candidates(minGain float64) []candidate {
	var out []candidate
	for i := range r.in.Engine.Models {
		m := &r.in.Engine.Models[i]
		absent := r.copies(m.Name) == 0
		if r.mayAppear[m.Name] || !absent && (r.awaitsRequested || !r.p.demandSeen) {
			continue
		}
		if maxGain := r.maxGain(m); maxGain >= minGain || absent {
			out = append(out, candidate{m, maxGain})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].maxGain > out[j].maxGain })
	return out
}

// bestModelChange returns the model whose next copy gains most and the change that loads it, or nil if no gain is worth a
// load.
func (r *layout) bestModelChange() (*fleet.Model, change) {
	var model *fleet.Model
	best := change{gain: r.minGain}
	for _, next := range r.candidates(r.minGain) {
		if model != nil && next.maxGain <= best.gain {
			break
		}
		absent := r.copies(next.model.Name) == 0
		c := r.bestChange(next.model, absent, func(endpoint int, victim string) bool { return r.mayUnload(endpoint, next.model, victim) })
		if c.endpoint < 0 {
			continue
		}
		// A model without a copy is loaded into free memory even if it has no demand and the gain is small.
		better := c.gain > best.gain || model == nil && absent && c.victim == ""
		if better {
			model, best = next.model, c
		}
	}
	return model, best
}

// mayUnload tells whether an endpoint may unload victim to load m. Where all models fit, the last usable copy of a model
// is kept unless the model has no demand and requests wait for m, which has no copy. Where they don't fit, only the cost
// decides once demand has been seen.
func (r *layout) mayUnload(endpoint int, m *fleet.Model, victim string) bool {
	if r.hasOtherLoadedCopy(victim, endpoint) {
		return true
	}
	d := r.in.Demand[victim]
	noDemand := r.p.need[victim] < negligibleNeed && d.Waiting == 0 && d.Running == 0
	if r.allModelsFit {
		return noDemand && r.copies(m.Name) == 0 && r.in.Demand[m.Name].Waiting > 0
	}
	return r.p.demandSeen
}
