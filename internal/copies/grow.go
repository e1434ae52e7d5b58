package copies

import "math"

// grow uses free memory for further copies of the models that gain most by them. While a model has no copy, the memory is
// kept for it.
func (r *layout) grow() {
	if len(r.p.absent) > 0 || !r.p.asked || !r.room() {
		return
	}
	for _, x := range r.candidates(0) {
		for i := range r.in.Endpoints {
			if r.free[i] >= x.m.WeightsMB && r.mayTake(i, x.m) {
				r.order(i, Order{Load: x.m.Name, Reason: "free memory", Gain: x.most})
				break
			}
		}
	}
}

// room tells whether an endpoint that can take an order has memory for another model.
func (r *layout) room() bool {
	least := math.Inf(1)
	for _, m := range r.models {
		least = min(least, m.WeightsMB)
	}
	for i := range r.in.Endpoints {
		if r.free[i] >= least && r.open(&r.in.Endpoints[i]) {
			return true
		}
	}
	return false
}
