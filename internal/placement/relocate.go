package placement

import (
	"cmp"
	"slices"
)

// relocation is a load of a model's only copy on another endpoint, after further copies of other models there gave way.
type relocation struct {
	model, to int
	out       []int
}

// relocate frees memory for a model without a copy when the unloading of spare copies on one endpoint is not enough: it
// loads only copies of other models elsewhere. Once those are ready, makeRoom unloads the former ones. It returns whether
// a way was found or is under way.
func (p *Planner) relocate(v *view, m int) bool {
	best := -1
	var bestCost int64
	var plan []relocation
	for i := range v.endpoints {
		if e := &v.endpoints[i]; !e.usable || e.holdsModel(m) {
			continue
		}
		if moves, cost, ok := v.relocations(i, int64(v.models[m].decl.Memory)); ok && (best < 0 || cost < bestCost) {
			best, bestCost, plan = i, cost, moves
		}
	}
	for _, r := range plan {
		to := &v.endpoints[r.to]
		for _, n := range r.out {
			v.unload(to, n)
		}
		if len(r.out) == 0 {
			v.load(to, r.model) // fails while the memory is being freed
		}
	}
	return best >= 0
}

// relocations returns the moves that free a number of bytes on an endpoint, the bytes that they load, and whether they
// are enough. Copies of models that have others need no move: they become spare when the others are ready.
func (v *view) relocations(from int, bytes int64) (moves []relocation, cost int64, ok bool) {
	e := &v.endpoints[from]
	room := e.free.Models + e.freed
	var only []int
	gone := make([]int, len(v.models)) // copies that each model loses in this plan
	for _, n := range e.holds {
		gone[n]++
		switch mv := &v.models[n]; {
		case e.busy[mv.decl.Name]:
		case mv.copies > 1:
			room += int64(mv.decl.Memory)
		default:
			only = append(only, n)
		}
	}
	slices.SortFunc(only, func(a, b int) int {
		return cmp.Or(cmp.Compare(v.models[a].decl.Memory, v.models[b].decl.Memory), cmp.Compare(a, b))
	})
	taken := make([]int64, len(v.endpoints))
	for _, n := range only {
		if room >= bytes {
			break
		}
		r, ok := v.relocation(from, n, taken, gone)
		if !ok {
			continue
		}
		size := int64(v.models[n].decl.Memory)
		taken[r.to] += size
		for _, o := range r.out {
			gone[o]++
			taken[r.to] -= int64(v.models[o].decl.Memory)
		}
		room += size
		cost += size
		moves = append(moves, r)
	}
	return moves, cost, room >= bytes
}

// relocation returns the move of a model from an endpoint to the one where the fewest bytes have to give way and the
// least memory remains. taken is the memory in bytes of each endpoint that other moves will use.
func (v *view) relocation(from, m int, taken []int64, gone []int) (best relocation, ok bool) {
	var bestKey [2]int64
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if i == from || !e.usable || e.busy[v.models[m].decl.Name] || e.holdsModel(m) {
			continue
		}
		left := e.free.Models + e.freed - taken[i] - int64(v.models[m].decl.Memory)
		out, freed := v.giveWay(e, -left, gone)
		if left += freed; left < 0 {
			continue
		}
		if key := [2]int64{freed, left}; !ok || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey, ok = relocation{m, i, out}, key, true
		}
	}
	return best, ok
}

// giveWay returns spare copies on an endpoint that free a number of bytes, and the bytes that they free. gone is the
// number of copies that each model loses otherwise.
func (v *view) giveWay(e *endpointView, bytes int64, gone []int) (out []int, freed int64) {
	if bytes <= 0 {
		return nil, 0
	}
	for _, n := range v.spareCopies(e, true) {
		if freed < bytes && v.models[n].ready-gone[n] > 1 {
			out = append(out, n)
			freed += int64(v.models[n].decl.Memory)
		}
	}
	return out, freed
}
