package copies

import "math"

// useFreeMemory loads further copies of the models that gain most by them into free memory. While any model has no copy,
// the memory is kept free for it.
func (r *layout) useFreeMemory() {
	if len(r.p.absentSince) > 0 || !r.p.demandSeen || !r.hasFreeMemory() {
		return
	}
	for _, next := range r.candidates(0) {
		for i := range r.in.Endpoints {
			if r.free[i] >= next.model.WeightsMB && r.canLoad(i, next.model) {
				r.addOrder(i, Order{Load: next.model.Name, Reason: "free memory", Gain: next.maxGain})
				break
			}
		}
	}
}

// hasFreeMemory tells whether an endpoint that accepts orders has enough free memory for the smallest model.
func (r *layout) hasFreeMemory() bool {
	smallest := math.Inf(1)
	for _, m := range r.models {
		smallest = min(smallest, m.WeightsMB)
	}
	for i := range r.in.Endpoints {
		if r.free[i] >= smallest && r.acceptsOrder(&r.in.Endpoints[i]) {
			return true
		}
	}
	return false
}
