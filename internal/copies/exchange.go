package copies

import (
	"sort"

	"sycamoredeal/internal/fleet"
)

// unaskedNeed is the need, in places, below which nobody asks for a model.
const unaskedNeed = 0.05

// noteAbsent notes which models have no copy, and which of them may still appear by themselves.
func (r *layout) noteAbsent() {
	for i := range r.in.Engine.Models {
		m := &r.in.Engine.Models[i]
		if r.copies(m.Name) > 0 {
			delete(r.p.absent, m.Name)
			continue
		}
		since, known := r.p.absent[m.Name]
		if !known {
			since = r.in.Now
			r.p.absent[m.Name] = since
		}
		patience, requested := absentFor, r.in.Demand[m.Name].Waiting > 0
		if requested {
			patience = absentRequested
		}
		if r.in.Now-since < patience {
			r.waits[m.Name] = true
			r.expected = r.expected || requested
		}
	}
}

// exchange loads models in the order of what it gains: models without a copy, and further copies of models whose requests
// find only loaded endpoints. A model may get several copies at once: endpoints that change are few, and a load from the
// weight store keeps one for seconds.
func (r *layout) exchange() {
	for r.changes < r.most {
		m, c := r.bestOfAll()
		if m == nil {
			r.makeRoom()
			return
		}
		reason := "its endpoints are loaded"
		if r.copies(m.Name) == 0 {
			reason = "no usable copy"
		}
		r.order(c.at, Order{Load: m.Name, Unload: c.victim, Reason: reason, Gain: c.gain})
	}
}

type candidate struct {
	m    *fleet.Model
	most float64
}

// candidates returns the models that may gain at least so much by a further copy, the largest possible gain first.
func (r *layout) candidates(least float64) []candidate {
	var out []candidate
	for i := range r.in.Engine.Models {
		m := &r.in.Engine.Models[i]
		absent := r.copies(m.Name) == 0
		if r.waits[m.Name] || !absent && (r.expected || !r.p.asked) {
			continue
		}
		if most := r.mostGain(m); most >= least || absent {
			out = append(out, candidate{m, most})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].most > out[j].most })
	return out
}

// bestOfAll returns the model whose next copy gains most, and where; nil if no gain is worth a load.
func (r *layout) bestOfAll() (*fleet.Model, change) {
	var model *fleet.Model
	best := change{gain: r.least}
	for _, x := range r.candidates(r.least) {
		if model != nil && x.most <= best.gain {
			break
		}
		absent := r.copies(x.m.Name) == 0
		c := r.best(x.m, absent, func(at int, victim string) bool { return r.mayGo(at, x.m, victim) })
		if c.at < 0 {
			continue
		}
		// A model that nobody asks for is loaded into memory that is free, whatever it gains.
		worth := c.gain > best.gain || model == nil && absent && c.victim == ""
		if worth {
			model, best = x.m, c
		}
	}
	return model, best
}

// mayGo tells whether a copy may make room for a model. Where all models fit, the last copy of one stays, unless nobody
// asks for it and requests wait for a model that has none. Where they don't, the cost alone decides.
func (r *layout) mayGo(at int, m *fleet.Model, victim string) bool {
	if r.servedElsewhere(victim, at) {
		return true
	}
	d := r.in.Demand[victim]
	unasked := r.p.need[victim] < unaskedNeed && d.Waiting == 0 && d.Running == 0
	if r.fits {
		return unasked && r.copies(m.Name) == 0 && r.in.Demand[m.Name].Waiting > 0
	}
	return r.p.asked
}
