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
	copies  map[string]int
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
	r := &layout{
		p: p, in: in, copies: make(map[string]int), waits: make(map[string]bool), models: make(map[string]*fleet.Model, len(in.Engine.Models)),
		free: make([]float64, len(in.Endpoints)),
	}
	for i := range in.Engine.Models {
		r.models[in.Engine.Models[i].Name] = &in.Engine.Models[i]
	}
	for i := range in.Endpoints {
		r.free[i] = r.freeMB(&in.Endpoints[i])
	}
	r.most = max(leastChanges, int(p.tuning.ChangeShare*float64(len(in.Endpoints))))
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		if e.Changing {
			r.changes++
		}
		if !e.Usable {
			continue
		}
		for _, m := range e.Models {
			r.copies[m]++
		}
	}
	r.fits = r.places() >= len(in.Engine.Models)
	return r
}

// places returns how many of the largest models the usable endpoints hold.
func (r *layout) places() int {
	largest := 0.0
	for _, m := range r.models {
		largest = max(largest, m.MB)
	}
	if largest <= 0 {
		return math.MaxInt
	}
	n := 0
	for i := range r.in.Endpoints {
		if r.in.Endpoints[i].Usable {
			n += int(r.modelMB() / largest)
		}
	}
	return n
}

// spread divides the need for each model among its endpoints, so that their loads differ as little as possible: the
// dispatcher sends a request where there is most room.
func (r *layout) spread() {
	n := len(r.in.Endpoints)
	r.load, r.share = make([]float64, n), make([]map[string]float64, n)
	r.at = make(map[string][]int, len(r.models))
	for i := range r.in.Endpoints {
		r.share[i] = make(map[string]float64)
		if !r.in.Endpoints[i].Usable {
			continue
		}
		for _, m := range r.in.Endpoints[i].Models {
			r.at[m] = append(r.at[m], i)
		}
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
		if i != at && r.in.Endpoints[i].Coming != model {
			return true
		}
	}
	return false
}

// order gives an order to the endpoint with an index.
func (r *layout) order(at int, o Order) {
	e := &r.in.Endpoints[at]
	o.Endpoint, o.From = e.ID, e.source(o.Load)
	if m := r.models[o.Load]; m != nil {
		o.Takes = time.Duration(loadSeconds(m, o.From) * float64(time.Second))
	}
	o.Need, o.Copies = r.p.need[o.Load], r.copies[o.Load]
	if o.From == FromStore {
		r.p.loads = append(r.p.loads, r.in.Now)
	}
	r.p.changed[e.ID] = r.in.Now
	r.copies[o.Load]++
	if !r.p.asked {
		r.p.ordered[o.Load]++
	}
	if o.Unload != "" {
		r.copies[o.Unload]--
		e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == o.Unload })
	}
	e.Models = append(e.Models, o.Load)
	e.Coming = o.Load
	e.Busy = true
	r.free[at] = r.freeMB(e)
	r.changes++
	r.out = append(r.out, o)
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
	if r.copies[m.Name] > 0 {
		share = r.p.tuning.SpareBudget
	}
	return r.open(e) && !e.holds(m.Name) && r.p.mayLoad(r.in, e.source(m.Name), share)
}

// modelMB returns the memory of an endpoint for models, beside a full set of adapters.
func (r *layout) modelMB() float64 {
	largest := 0.0
	for i := range r.in.Engine.Models {
		largest = max(largest, r.in.Engine.Models[i].AdapterMB)
	}
	return r.in.Engine.MB - largest*float64(r.in.Engine.AdapterSlots)
}

// freeMB returns the memory that is left beside the models and a full set of adapters.
func (r *layout) freeMB(e *Endpoint) float64 {
	left := r.modelMB()
	for _, name := range e.Models {
		m := r.models[name]
		if m == nil {
			return -1 // of unknown size
		}
		left -= m.MB
	}
	return left
}
