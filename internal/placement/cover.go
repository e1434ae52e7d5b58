package placement

import (
	"cmp"
	"math"
	"slices"

	"sycamoredeal/internal/wire"
)

// order returns the models sorted by a key, larger first, and by name where equal.
func (v *view) order(key func(*modelView) float64) []int {
	keys := make([]float64, len(v.models))
	out := make([]int, len(v.models))
	for i := range out {
		out[i], keys[i] = i, key(&v.models[i])
	}
	slices.SortFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(keys[b], keys[a]), cmp.Compare(v.models[a].decl.Name, v.models[b].decl.Name))
	})
	return out
}

// cover loads every model that has too few copies: first those without any, of these first those that no other cell
// serves, and the largest ones first because they are the hardest to fit.
func (p *Planner) cover(v *view) {
	for _, m := range v.order(func(m *modelView) float64 {
		switch {
		case m.copies == 0 && !m.elsewhere:
			return 2*math.MaxInt64 + float64(m.decl.Memory)
		case m.copies == 0:
			return math.MaxInt64 + float64(m.decl.Memory)
		}
		return float64(m.decl.Memory)
	}) {
		for mv := &v.models[m]; mv.copies < mv.need; {
			if !p.place(v, m, false) {
				v.mayEvict = mv.copies == 0 && !mv.elsewhere
				if !p.makeRoom(v, m, false) && mv.copies == 0 {
					v.relocating = p.relocate(v, m) || v.relocating
				}
				v.mayEvict = false
				break
			}
		}
	}
}

// spread gives every model a second availability zone where there is memory that is free or used by third copies.
func (p *Planner) spread(v *view) {
	if p.pending(v) >= maxPending || v.relocating {
		return
	}
	for _, m := range v.order(func(m *modelView) float64 { return m.weight }) {
		if mv := &v.models[m]; mv.planned && mv.copies > 0 && mv.zoneCount() < 2 && !p.place(v, m, true) && mv.ready == mv.copies {
			p.makeRoom(v, m, true)
		}
	}
}

func (m *modelView) zoneCount() int {
	n := 0
	for _, c := range m.zones {
		if c > 0 {
			n++
		}
	}
	return n
}

// maxPending bounds the unresolved loads beyond which only models with too few copies are loaded, so that the order of
// loads can still change with demand.
const maxPending = 16

func (p *Planner) pending(v *view) int {
	n := 0
	for i := range v.endpoints {
		if !v.endpoints[i].usable {
			continue
		}
		for _, in := range v.endpoints[i].account.Intents {
			if in.Action == wire.ActionLoad && !in.Adapter {
				n++
			}
		}
	}
	return n
}

// settledLayout tells whether no model waits for memory, so that spare memory may be used for further copies.
func (p *Planner) settledLayout(v *view) bool {
	for i := range v.models {
		if v.models[i].copies < v.models[i].need {
			return false
		}
	}
	return true
}

// place loads a model on the best endpoint with enough memory. It returns false if there is none.
func (p *Planner) place(v *view, m int, newZone bool) bool {
	best := -1
	var bestScore [3]float64
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.usable || e.free.Models < int64(v.models[m].decl.Memory) || e.busy[v.models[m].decl.Name] || e.holdsModel(m) {
			continue
		}
		if newZone && v.models[m].zones[e.decl.Zone] > 0 {
			continue
		}
		if s := p.score(v, e, m); best < 0 || slices.Compare(s[:], bestScore[:]) < 0 {
			best, bestScore = i, s
		}
	}
	return best >= 0 && v.load(&v.endpoints[best], m)
}

// score orders endpoints for a model, smaller first: an availability zone without a copy, few shared neighbours, little
// other work.
func (p *Planner) score(v *view, e *endpointView, m int) [3]float64 {
	var s [3]float64
	if mv := &v.models[m]; mv.zones[e.decl.Zone] > 0 && mv.zoneCount() < 2 {
		s[0] = 1
	}
	for _, n := range e.holds {
		s[1] += float64(*v.pair(m, n))
	}
	s[2] = e.load
	if p.Policy == PolicyGroups {
		s[0], s[1] = 0, -s[1]
	}
	return s
}

// load adds the intent to load a model.
func (v *view) load(e *endpointView, m int) bool {
	d := v.models[m].decl
	if _, err := v.l.Load(e.decl.Name, wire.Resident{Name: d.Name, Bytes: int64(d.Memory)}, "", v.now); err != nil {
		return false
	}
	e.free.Models -= int64(d.Memory)
	e.busy[d.Name] = true
	v.addCopy(e, m, false)
	return true
}

// makeRoom unloads further copies of other models on one endpoint, so that a later round can load the model there. For
// a new availability zone, other models keep two. For a model without a copy, they keep one, whatever they declare. It
// returns whether room is on its way.
func (p *Planner) makeRoom(v *view, m int, newZone bool) bool {
	bytes := int64(v.models[m].decl.Memory)
	first := v.models[m].copies == 0
	best, bestCost := -1, math.Inf(1)
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.usable || e.holdsModel(m) || newZone && v.models[m].zones[e.decl.Zone] > 0 {
			continue
		}
		if e.free.Models+e.freed >= bytes && e.freed > 0 {
			return true
		}
		victims, cost := v.victims(e, bytes, first)
		if newZone && slices.ContainsFunc(victims, func(n int) bool { return v.lastOfZone(e, n) }) {
			continue
		}
		if victims != nil && cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return false
	}
	victims, _ := v.victims(&v.endpoints[best], bytes, first)
	for _, n := range victims {
		v.unload(&v.endpoints[best], n)
	}
	return true
}

// victims returns the copies on an endpoint with the least work per copy left whose unloading makes room for a number of
// bytes, and the work per copy that this adds elsewhere. For the first copy of a model, others keep only one.
func (v *view) victims(e *endpointView, bytes int64, first bool) ([]int, float64) {
	free := e.free.Models + e.freed
	var cost float64
	var out []int
	for _, n := range v.spareCopies(e, first) {
		if free >= bytes {
			break
		}
		free += int64(v.models[n].decl.Memory)
		cost += v.models[n].weight / left(v.models[n].copies)
		out = append(out, n)
	}
	if free < bytes {
		return nil, 0
	}
	return out, cost
}

// spareCopies returns the models whose copy on an endpoint is settled and may be unloaded without leaving the model or
// one of its adapters with too few ready copies, those with the least work per remaining copy first.
func (v *view) spareCopies(e *endpointView, first bool) []int {
	var out []int
	for _, n := range e.holds {
		mv := &v.models[n]
		if e.busy[mv.decl.Name] || !v.l.Settled(e.decl.Name, mv.decl.Name, v.now) {
			continue
		}
		if mv.ready > max(1, mv.least(first)) && v.adaptersCopied(e, mv.decl.Name) || v.mayEvict && mv.expendable {
			out = append(out, n)
		}
	}
	work := func(n int) float64 { return v.models[n].weight / left(v.models[n].ready) }
	slices.SortFunc(out, func(a, b int) int { return cmp.Or(cmp.Compare(work(a), work(b)), cmp.Compare(a, b)) })
	return out
}

// least returns the number of ready copies that a model keeps when others need memory.
func (m *modelView) least(first bool) int {
	if first {
		return 1
	}
	return m.need
}

// left returns the number of copies after the loss of one. The loss of the last counts more than that of one of two.
func left(copies int) float64 { return max(float64(copies-1), 0.5) }

// unload adds the intents to unload a model and its adapters from an endpoint.
func (v *view) unload(e *endpointView, m int) {
	d := v.models[m].decl
	for _, r := range e.account.Residents {
		if a := v.snap.Adapter(r.Name); r.Adapter && a != nil && a.Model == d.Name {
			if _, err := v.l.Unload(e.decl.Name, r.Name, v.now); err != nil {
				return
			}
			e.busy[r.Name] = true // no other copy of it may go in this round
		}
	}
	if _, err := v.l.Unload(e.decl.Name, d.Name, v.now); err == nil {
		e.busy[d.Name] = true
		v.removeCopy(e, m)
	}
}
