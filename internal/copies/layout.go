package copies

import (
	"math"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/fleet"
)

// distributionPasses is the number of passes in which distributeNeeds divides the needs among the endpoints; further
// passes change little.
const distributionPasses = 4

// layout holds the models of each endpoint and the expected load. Each order of a round updates it.
type layout struct {
	p            *Planner
	in           *Input
	slots        float64 // slots of an endpoint
	modelMB      float64 // memory of an endpoint for models, beside a full set of adapters
	minGain      float64 // least gain that is worth a load, in slots
	changes      int     // endpoints with a model order in progress
	maxChanges   int     // limit of changes
	allModelsFit bool    // the fleet has memory for a copy of every declared model
	orders       []Order

	// awaitsRequested tells that requests wait for a model in mayAppear. Until it appears or its grace time ends, no
	// endpoint is used for further copies of other models, so that it can be loaded at once.
	awaitsRequested bool
	mayAppear       map[string]bool // models without a copy whose endpoints may still register
	models          map[string]*fleet.Model
	free            []float64 // free memory in MB by endpoint; see freeMB

	endpointsByModel map[string][]int     // indexes of the usable endpoints that hold each model
	load             []float64            // expected slots in use by endpoint
	needByModel      []map[string]float64 // part of load for each model, by endpoint
}

func newLayout(p *Planner, in *Input) *layout {
	slots := float64(max(in.Engine.Slots, 1))
	r := &layout{
		p: p, in: in, slots: slots, minGain: p.tuning.LeastGain * slots, maxChanges: max(minChangeLimit, int(p.tuning.ChangeShare*float64(len(in.Endpoints)))),
		mayAppear: make(map[string]bool), models: make(map[string]*fleet.Model, len(in.Engine.Models)), free: make([]float64, len(in.Endpoints)),
	}
	largest, largestAdapter := 0.0, 0.0
	for i := range in.Engine.Models {
		m := &in.Engine.Models[i]
		r.models[m.Name] = m
		largest, largestAdapter = max(largest, m.WeightsMB), max(largestAdapter, m.AdapterMB)
	}
	r.modelMB = in.Engine.MemoryMB - largestAdapter*float64(in.Engine.AdapterSlots)
	capacity := 0 // copies of the largest model that fit into the fleet
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		r.free[i] = r.freeMB(e)
		if e.ModelOrderInProgress {
			r.changes++
		}
		if e.Usable && largest > 0 {
			capacity += int(r.modelMB / largest)
		}
	}
	r.allModelsFit = largest <= 0 || capacity >= len(in.Engine.Models)
	r.indexEndpoints()
	return r
}

// indexEndpoints builds endpointsByModel.
func (r *layout) indexEndpoints() {
	r.endpointsByModel = make(map[string][]int, len(r.models))
	for i := range r.in.Endpoints {
		if e := &r.in.Endpoints[i]; e.Usable {
			for _, m := range e.Models {
				r.endpointsByModel[m] = append(r.endpointsByModel[m], i)
			}
		}
	}
}

// copies returns the number of copies of a model at usable endpoints, including those that are being loaded.
func (r *layout) copies(model string) int { return len(r.endpointsByModel[model]) }

// distributeNeeds divides the need for each model among the endpoints that hold it and makes their loads as equal as
// possible, because the dispatcher sends each request to the endpoint with the most free slots.
func (r *layout) distributeNeeds() {
	n := len(r.in.Endpoints)
	r.load, r.needByModel = make([]float64, n), make([]map[string]float64, n)
	for i := range r.needByModel {
		r.needByModel[i] = make(map[string]float64)
		r.load[i] = r.in.Endpoints[i].ReservedSlots
	}
	names := make([]string, 0, len(r.endpointsByModel))
	for m := range r.endpointsByModel {
		names = append(names, m)
	}
	sort.Strings(names)
	for range distributionPasses {
		for _, m := range names {
			r.distributeNeed(m, r.endpointsByModel[m])
		}
	}
}

// distributeNeed divides the need for one model among its endpoints, given the needs for the other models there: the least
// loaded endpoints are filled up to a common level.
func (r *layout) distributeNeed(model string, endpoints []int) {
	for _, i := range endpoints {
		r.load[i] -= r.needByModel[i][model]
	}
	sort.Slice(endpoints, func(a, b int) bool { return r.load[endpoints[a]] < r.load[endpoints[b]] })
	need, level, used := r.p.need[model], 0.0, 0
	for sum := 0.0; used < len(endpoints); used++ {
		if used > 0 && level <= r.load[endpoints[used]] {
			break
		}
		sum += r.load[endpoints[used]]
		level = (need + sum) / float64(used+1)
	}
	for k, i := range endpoints {
		r.needByModel[i][model] = 0
		if k < used {
			r.needByModel[i][model] = level - r.load[i]
			r.load[i] = level
		}
	}
}

// lowestLoad returns the load of the least loaded endpoint that holds a model, which its next request goes to, and the
// number of endpoints that share the need for the model. The endpoint with the index except is left out; -1 leaves none
// out.
func (r *layout) lowestLoad(model string, except int) (level float64, used int) {
	level = math.Inf(1)
	for _, i := range r.endpointsByModel[model] {
		if i == except {
			continue
		}
		level = min(level, r.load[i])
		if r.needByModel[i][model] > 0 {
			used++
		}
	}
	return level, max(used, 1)
}

// hasOtherLoadedCopy tells whether an endpoint other than the given one holds a copy of a model that is completely loaded.
func (r *layout) hasOtherLoadedCopy(model string, endpoint int) bool {
	for _, i := range r.endpointsByModel[model] {
		if i != endpoint && r.in.Endpoints[i].Loading != model {
			return true
		}
	}
	return false
}

// addOrder adds an order for the endpoint with the given index, and updates the layout as if the order had been carried
// out.
func (r *layout) addOrder(endpoint int, o Order) {
	e := &r.in.Endpoints[endpoint]
	o.Endpoint, o.Source = e.ID, e.source(o.Load)
	if m := r.models[o.Load]; m != nil {
		o.LoadTime = time.Duration(loadSeconds(m, o.Source) * float64(time.Second))
	}
	o.Need, o.CopiesBefore = r.p.need[o.Load], r.copies(o.Load)
	if o.Source == FromStore {
		r.p.storeLoads = append(r.p.storeLoads, r.in.Now)
	}
	r.p.changedAt[e.ID] = r.in.Now
	if !r.p.demandSeen {
		r.p.initialOrders[o.Load]++
	}
	if o.Unload != "" {
		e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == o.Unload })
	}
	e.Models = append(e.Models, o.Load)
	e.Loading = o.Load
	e.Busy = true
	r.free[endpoint] = r.freeMB(e)
	r.changes++
	r.orders = append(r.orders, o)
	r.indexEndpoints()
	r.distributeNeeds()
}

// acceptsOrder tells whether an endpoint can be given an order in this round.
func (r *layout) acceptsOrder(e *Endpoint) bool {
	return e.Usable && !e.Busy && r.changes < r.maxChanges
}

// dwellPassed tells whether the dwell time since the last order to an endpoint has passed.
func (r *layout) dwellPassed(e *Endpoint) bool {
	at, ok := r.p.changedAt[e.ID]
	return !ok || r.in.Now-at >= r.p.tuning.Dwell
}

// canLoad tells whether an endpoint can be ordered to load a model now, within the limits on changes and loads.
func (r *layout) canLoad(endpoint int, m *fleet.Model) bool {
	e := &r.in.Endpoints[endpoint]
	share := 1.0
	if r.copies(m.Name) > 0 {
		share = r.p.tuning.SpareBudget
	}
	return r.acceptsOrder(e) && !e.holds(m.Name) && r.p.withinLoadLimit(r.in, e.source(m.Name), share)
}

// freeMB returns the memory of an endpoint beside its models and a full set of adapters, or -1 if it holds a model of
// unknown size.
func (r *layout) freeMB(e *Endpoint) float64 {
	left := r.modelMB
	for _, name := range e.Models {
		m := r.models[name]
		if m == nil {
			return -1
		}
		left -= m.WeightsMB
	}
	return left
}
