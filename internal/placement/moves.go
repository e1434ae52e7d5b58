package placement

import (
	"math"
	"slices"
)

// retire unloads what is no longer declared, and models with their adapters that other cells serve instead.
func (p *Planner) retire(v *view, retired func(string) bool) {
	for i := range v.endpoints {
		e := &v.endpoints[i]
		for _, r := range slices.Clone(e.account.Residents) {
			model := r.Name
			if a := v.snap.Adapter(r.Name); a != nil {
				model = a.Model
			}
			if !v.snap.Serves(r.Name) || retired != nil && retired(model) {
				v.l.Unload(e.decl.Name, r.Name, v.now)
			}
		}
	}
}

// grow fills spare memory: each further copy goes to the model with the most work per copy that fits somewhere.
func (p *Planner) grow(v *view) {
	full := make([]bool, len(v.models))
	for n := p.pending(v); n < maxPending; {
		best := -1
		for m := range v.models {
			if v.models[m].planned && !full[m] && (best < 0 || v.models[m].perCopy() > v.models[best].perCopy()) {
				best = m
			}
		}
		if best < 0 {
			return
		}
		if p.place(v, best, false) {
			n++
		} else {
			full[best] = true
		}
	}
}

func (m *modelView) perCopy() float64 { return m.weight / float64(max(1, m.copies)) }

// exchange makes at most one move: it unloads a copy of a model with little work per copy in favour of the one with the
// most. The copy that goes is a spare one, so the model stays reachable; grow loads the new copy when memory is free.
func (p *Planner) exchange(v *view) {
	if p.Policy == PolicyStatic || p.pending(v) > 0 {
		return
	}
	hot := -1
	var total float64
	usable := 0
	for m := range v.models {
		total += v.models[m].weight
		if v.models[m].planned && (hot < 0 || v.models[m].perCopy() > v.models[hot].perCopy()) {
			hot = m
		}
	}
	for i := range v.endpoints {
		if v.endpoints[i].usable {
			usable++
		}
		if v.endpoints[i].freed > 0 {
			return // an earlier move has not ended
		}
	}
	if hot < 0 || v.models[hot].copies >= usable || !p.mayMove(v, hot) {
		return
	}
	p.moveTo(v, hot, total/float64(max(1, usable)))
}

// moveTo frees memory for a copy of the model on the endpoint where this costs least, if its gain over Horizon exceeds
// the cost of the move. share is an endpoint's share of all work, in tokens per second.
func (p *Planner) moveTo(v *view, hot int, share float64) {
	bytes := int64(v.models[hot].decl.Memory)
	best, bestCost := -1, math.Inf(1)
	var out []int
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.usable || e.holdsModel(hot) {
			continue
		}
		victims, cost := v.victims(e, bytes, false)
		if victims == nil || slices.ContainsFunc(victims, func(n int) bool {
			return v.l.age(e.decl.Name, v.models[n].decl.Name, v.now) < MinDwell || !p.mayMove(v, n) || v.lastOfZone(e, n)
		}) {
			continue
		}
		if cost < bestCost {
			best, bestCost, out = i, cost, victims
		}
	}
	hv := &v.models[hot]
	gain := hv.perCopy() - bestCost
	if best < 0 || hv.weight/float64(hv.copies+1) < moveFactor*bestCost || gain*Horizon.Seconds() < share*moveTime.Seconds() {
		return
	}
	for _, n := range append(out, hot) {
		p.moved[v.models[n].decl.Name] = move{v.now, v.models[n].weight}
	}
	for _, n := range out {
		v.unload(&v.endpoints[best], n)
	}
}

// lastOfZone tells whether unloading a copy would leave a model in a single availability zone.
func (v *view) lastOfZone(e *endpointView, m int) bool {
	mv := &v.models[m]
	return mv.zoneCount() == 2 && mv.zones[e.decl.Zone] == 1
}

// mayMove allows a model one move until its demand has shifted again or Horizon has passed.
func (p *Planner) mayMove(v *view, m int) bool {
	if p.moved == nil {
		p.moved = make(map[string]move)
	}
	last, ok := p.moved[v.models[m].decl.Name]
	w := v.models[m].weight
	return !ok || v.now.Sub(last.at) >= Horizon || w > last.weight*shiftFactor || w*shiftFactor < last.weight
}
