package copies

import (
	"math"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/fleet"
)

// spreadRounds is how often the needs are spread over the endpoints; further rounds change little.
const spreadRounds = 4

// layout is which endpoint holds which models, with the expected load. Orders of a round change it.
type layout struct {
	p       *Planner
	in      *Input
	slots   float64 // of an endpoint
	modelMB float64 // memory of an endpoint for models, beside a full set of adapters
	least   float64 // gain, in places, that is worth a load
	changes int
	most    int  // changes at a time
	fits    bool // all declared models have room at the same time
	out     []Order

	// expected tells that a model which requests wait for has no copy yet and may get one in a moment: until then, no
	// endpoint is given away to others.
	expected bool
	waits    map[string]bool // models without a copy that may still appear by themselves
	models   map[string]*fleet.Model
	free     []float64 // memory that is left, by endpoint; see freeMB

	at    map[string][]int     // endpoints that hold each model
	load  []float64            // expected places in use, by endpoint
	share []map[string]float64 // of each model in it
}

func newLayout(p *Planner, in *Input) *layout {
	slots := float64(max(in.Engine.Slots, 1))
	r := &layout{
		p: p, in: in, slots: slots, least: p.tuning.LeastGain * slots, most: max(leastChanges, int(p.tuning.ChangeShare*float64(len(in.Endpoints)))),
		waits: make(map[string]bool), models: make(map[string]*fleet.Model, len(in.Engine.Models)), free: make([]float64, len(in.Endpoints)),
	}
	largest, largestAdapter := 0.0, 0.0
	for i := range in.Engine.Models {
		m := &in.Engine.Models[i]
		r.models[m.Name] = m
		largest, largestAdapter = max(largest, m.WeightsMB), max(largestAdapter, m.AdapterMB)
	}
	r.modelMB = in.Engine.MemoryMB - largestAdapter*float64(in.Engine.AdapterSlots)
	places := 0 // of the largest model
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		r.free[i] = r.freeMB(e)
		if e.ModelOrderInProgress {
			r.changes++
		}
		if e.Usable && largest > 0 {
			places += int(r.modelMB / largest)
		}
	}
	r.fits = largest <= 0 || places >= len(in.Engine.Models)
	r.locate()
	return r
}

// locate lists the usable endpoints by the models that they hold.
func (r *layout) locate() {
	r.at = make(map[string][]int, len(r.models))
	for i := range r.in.Endpoints {
		if e := &r.in.Endpoints[i]; e.Usable {
			for _, m := range e.Models {
				r.at[m] = append(r.at[m], i)
			}
		}
	}
}

// copies returns the number of copies of a model at usable endpoints, with those that are being loaded.
func (r *layout) copies(model string) int { return len(r.at[model]) }

// spread divides the need for each model among its endpoints, so that their loads differ as little as possible: the
// dispatcher sends a request where there is most room.
func (r *layout) spread() {
	n := len(r.in.Endpoints)
	r.load, r.share = make([]float64, n), make([]map[string]float64, n)
	for i := range r.share {
		r.share[i] = make(map[string]float64)
	}
	names := make([]string, 0, len(r.at))
	for m := range r.at {
		names = append(names, m)
	}
	sort.Strings(names)
	for range spreadRounds {
		for _, m := range names {
			r.fill(m, r.at[m])
		}
	}
}

// fill divides the need for one model among its endpoints, given what other models need there: the emptiest are filled up
// to a common level.
func (r *layout) fill(m string, at []int) {
	for _, i := range at {
		r.load[i] -= r.share[i][m]
	}
	sort.Slice(at, func(a, b int) bool { return r.load[at[a]] < r.load[at[b]] })
	need, level, used := r.p.need[m], 0.0, 0
	for sum := 0.0; used < len(at); used++ {
		if used > 0 && level <= r.load[at[used]] {
			break
		}
		sum += r.load[at[used]]
		level = (need + sum) / float64(used+1)
	}
	for k, i := range at {
		r.share[i][m] = 0
		if k < used {
			r.share[i][m] = level - r.load[i]
			r.load[i] = level
		}
	}
}

// level returns the load of the emptiest endpoint that holds a model, where its requests go, and the number of endpoints
// that share them. An endpoint can be left out; -1 leaves none out.
func (r *layout) level(model string, but int) (level float64, used int) {
	level = math.Inf(1)
	for _, i := range r.at[model] {
		if i == but {
			continue
		}
		level = min(level, r.load[i])
		if r.share[i][model] > 0 {
			used++
		}
	}
	return level, max(used, 1)
}

// servedElsewhere tells whether another endpoint than one holds a copy of a model that is loaded.
func (r *layout) servedElsewhere(model string, at int) bool {
	for _, i := range r.at[model] {
		if i != at && r.in.Endpoints[i].Loading != model {
			return true
		}
	}
	return false
}

// order gives an order to the endpoint with an index.
func (r *layout) order(at int, o Order) {
	e := &r.in.Endpoints[at]
	o.Endpoint, o.Source = e.ID, e.source(o.Load)
	if m := r.models[o.Load]; m != nil {
		o.LoadTime = time.Duration(loadSeconds(m, o.Source) * float64(time.Second))
	}
	o.Need, o.CopiesBefore = r.p.need[o.Load], r.copies(o.Load)
	if o.Source == FromStore {
		r.p.loads = append(r.p.loads, r.in.Now)
	}
	r.p.changed[e.ID] = r.in.Now
	if !r.p.asked {
		r.p.ordered[o.Load]++
	}
	if o.Unload != "" {
		e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == o.Unload })
	}
	e.Models = append(e.Models, o.Load)
	e.Loading = o.Load
	e.Busy = true
	r.free[at] = r.freeMB(e)
	r.changes++
	r.out = append(r.out, o)
	r.locate()
	r.spread()
}

// open tells whether an endpoint can take an order.
func (r *layout) open(e *Endpoint) bool {
	return e.Usable && !e.Busy && r.changes < r.most
}

func (r *layout) settled(e *Endpoint) bool {
	at, ok := r.p.changed[e.ID]
	return !ok || r.in.Now-at >= r.p.tuning.Dwell
}

// mayTake tells whether an endpoint can be ordered to load a model now.
func (r *layout) mayTake(at int, m *fleet.Model) bool {
	e := &r.in.Endpoints[at]
	share := 1.0
	if r.copies(m.Name) > 0 {
		share = r.p.tuning.SpareBudget
	}
	return r.open(e) && !e.holds(m.Name) && r.p.mayLoad(r.in, e.source(m.Name), share)
}

// freeMB returns the memory that is left beside the models and a full set of adapters.
func (r *layout) freeMB(e *Endpoint) float64 {
	left := r.modelMB
	for _, name := range e.Models {
		m := r.models[name]
		if m == nil {
			return -1 // of unknown size
		}
		left -= m.WeightsMB
	}
	return left
}
