// Package copies decides which models each engine holds. Planner is deterministic and does no I/O: it is given what
// engines hold, what they have at hand, and the demand for each model, and returns orders.
//
// Invariants:
//   - the last usable copy of a model is unloaded only if nobody asks for it, for a model that requests wait for and that
//     has no copy;
//   - an endpoint is never ordered to hold more than its memory, with all its adapter places filled;
//   - loads from the weight store stay within its rate.
package copies

import (
	"math"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	fallTime     = 5 * time.Second // demand that falls is forgotten over it, demand that rises counts at once
	gainFactor   = 1.4             // by how much the load of endpoints must differ for a copy to be exchanged
	leastShare   = 0.25            // of an endpoint's slots: endpoints below it need no relief
	leastRelief  = 0.05            // of an endpoint's slots: requests that a further copy takes off loaded endpoints
	fewRequests  = 0.03            // of an endpoint's slots: so many may move to a loaded endpoint, which gains more than they lose
	spreadRounds = 4               // of spreading the needs over the endpoints; further ones change little
	dwell        = 1500 * time.Millisecond
	leastChanges = 5   // endpoints that may change at a time, in a small fleet
	changeShare  = 0.5 // of the endpoints of a large one
	budgetUse    = 0.8 // of the loads from the weight store that the window allows
	spareBudget  = 0.8 // of those, for copies of models that have one
	waitingScale = 1.0 // weight of waiting requests beside those in progress
	// absentFor is how long a model without a copy is given to appear: after a start, endpoints register within seconds.
	absentFor       = 2500 * time.Millisecond
	absentRequested = 200 * time.Millisecond // while requests wait for it
)

// Tuning holds the thresholds that experiments vary.
type Tuning struct {
	FallTime    time.Duration // in which demand that falls is forgotten; demand that rises counts at once
	GainFactor  float64       // by how much the load of endpoints must differ for a copy to be exchanged
	LeastShare  float64       // of an endpoint's slots: endpoints below it need no relief
	LeastRelief float64       // of an endpoint's slots: requests that a further copy takes off loaded endpoints
	Dwell       time.Duration // an endpoint is not changed again within it
	ChangeShare float64       // of the endpoints of a large fleet that may change at a time
	SpareBudget float64       // share of the allowed loads from the weight store for copies of models that have one
}

// DefaultTuning returns the thresholds in use.
func DefaultTuning() Tuning {
	return Tuning{
		FallTime: fallTime, GainFactor: gainFactor, LeastShare: leastShare, LeastRelief: leastRelief, Dwell: dwell, ChangeShare: changeShare,
		SpareBudget: spareBudget,
	}
}

// Source tells where an endpoint loads a model's weights from.
type Source uint8

// Sources of weights, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String returns the name of the source.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Endpoint is an engine as the planner sees it.
type Endpoint struct {
	ID       string
	Usable   bool     // up, not leaving, and its state is known
	Busy     bool     // takes no order: one is in progress, or its state is not known
	Changing bool     // an order for a model is in progress
	Models   []string // held or being loaded
	InMemory []string // weights at hand
	OnDisk   []string
	Running  map[string]int // requests in progress by model
}

func (e *Endpoint) holds(model string) bool { return slices.Contains(e.Models, model) }

func (e *Endpoint) source(model string) Source {
	switch {
	case slices.Contains(e.InMemory, model):
		return FromMemory
	case slices.Contains(e.OnDisk, model):
		return FromDisk
	}
	return FromStore
}

// Demand is the work for a model.
type Demand struct {
	PerSec  float64 // arrivals
	HoldSec float64 // mean time that a request holds its place
	Running int
	Waiting int
	Weight  float64 // places that a request counts for, by what an endpoint has least of; 0 for 1
}

// Demands returns what the dispatcher tells of the models of a service.
func Demands(service string, f *wire.FleetState) map[string]Demand {
	out := make(map[string]Demand)
	for _, m := range f.Models {
		if m.Service == service {
			out[m.Model] = Demand{PerSec: float64(m.PerSec), HoldSec: float64(m.HoldSec), Running: int(m.Running), Waiting: int(m.Waiting)}
		}
	}
	for _, w := range f.Weights {
		if d, ok := out[w.Model]; ok && w.Service == service {
			d.Weight = float64(w.Places)
			out[w.Model] = d
		}
	}
	return out
}

// need returns the places that the work for the model takes.
func (d Demand) need() float64 {
	return (max(d.PerSec*d.HoldSec, float64(d.Running)) + waitingScale*float64(d.Waiting)) * max(d.Weight, 1)
}

// Input is what one round is computed from.
type Input struct {
	Now       time.Duration
	Engine    *fleet.Engine
	Endpoints []Endpoint
	Demand    map[string]Demand
}

// Order changes one endpoint: Unload first if it is set, then Load.
type Order struct {
	Endpoint string
	Unload   string
	Load     string
	From     Source
	Reason   string
	Need     float64 // demand for the loaded model in places
	Copies   int     // of the loaded model before
	Takes    time.Duration
}

// Limits bound the loads from the weight store.
type Limits struct {
	Window time.Duration
	Over   float64 // factor on the store's rate
	Extra  float64 // loads beyond the rate in a window
}

// Planner keeps smoothed demand and the history of loads.
type Planner struct {
	limits  Limits
	tuning  Tuning
	need    map[string]float64
	last    time.Duration
	loads   []time.Duration // from the weight store, within the window
	changed map[string]time.Duration
	absent  map[string]time.Duration // models without a copy, since when
}

// New returns a planner that has taken over at now. Unless Recall tells what its predecessor loaded from the weight store
// in the last window, half of the window counts as used.
func New(now time.Duration, l Limits, t Tuning, loadsPerSecond float64) *Planner {
	p := &Planner{limits: l, tuning: t, need: make(map[string]float64), last: now, changed: make(map[string]time.Duration), absent: make(map[string]time.Duration)}
	for range int(loadsPerSecond * l.Window.Seconds() / 2) {
		p.loads = append(p.loads, now)
	}
	return p
}

// Recall replaces the loads from the weight store that count as made, by their ages at now.
func (p *Planner) Recall(now time.Duration, ages []time.Duration) {
	p.loads = p.loads[:0]
	for _, age := range ages {
		p.loads = append(p.loads, now-age)
	}
}

// Loads returns the ages of the loads from the weight store that still count.
func (p *Planner) Loads(now time.Duration) []time.Duration {
	out := make([]time.Duration, 0, len(p.loads))
	for _, at := range p.loads {
		out = append(out, now-at)
	}
	return out
}

// Round returns the orders to give now. The caller counts them as carried out.
func (p *Planner) Round(in Input) []Order {
	p.follow(in)
	r := &round{
		p: p, in: &in, copies: make(map[string]int), tried: make(map[string]bool), models: make(map[string]*fleet.Model, len(in.Engine.Models)),
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
	r.spread()
	r.cover()
	r.grow()
	r.exchange()
	return r.out
}

// follow updates the need for each model, in places: demand that rises counts at once.
func (p *Planner) follow(in Input) {
	dt := (in.Now - p.last).Seconds()
	p.last = in.Now
	keep := math.Exp(-dt / p.tuning.FallTime.Seconds())
	for i := range in.Engine.Models {
		name := in.Engine.Models[i].Name
		now := in.Demand[name].need()
		p.need[name] = max(now, now+(p.need[name]-now)*keep)
	}
	p.loads = slices.DeleteFunc(p.loads, func(t time.Duration) bool { return in.Now-t > p.limits.Window })
}

// mayLoad tells whether a load from the source is within a share of what the weight store allows.
func (p *Planner) mayLoad(in *Input, from Source, share float64) bool {
	if from != FromStore {
		return true
	}
	allowed := in.Engine.LoadsPerSecond*p.limits.Window.Seconds()*p.limits.Over + p.limits.Extra
	return float64(len(p.loads)+1) <= share*budgetUse*allowed
}

type round struct {
	p       *Planner
	in      *Input
	copies  map[string]int
	changes int
	most    int // changes at a time
	out     []Order

	tried map[string]bool // models for which no exchange was found
	// expected tells that a model which requests wait for has no copy yet and may get one in a moment: until then, no
	// endpoint is given away.
	expected bool
	models   map[string]*fleet.Model
	free     []float64 // memory that is left, by endpoint; see freeMB

	at    map[string][]int     // endpoints that hold each model
	load  []float64            // expected places in use, by endpoint
	share []map[string]float64 // of each model in it
}

// spread divides the need for each model among its endpoints, so that their loads differ as little as possible: the
// dispatcher sends a request where there is most room.
func (r *round) spread() {
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
func (r *round) fill(m string, at []int) {
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

// level returns the load of the emptiest endpoint that holds a model: that is where its requests go.
func (r *round) level(model string) float64 {
	least := math.Inf(1)
	for _, i := range r.at[model] {
		least = min(least, r.load[i])
	}
	return least
}

// order gives an order to the endpoint with an index.
func (r *round) order(at int, o Order) {
	e := &r.in.Endpoints[at]
	o.Endpoint, o.From = e.ID, e.source(o.Load)
	if m := r.models[o.Load]; m != nil {
		o.Takes = time.Duration(loadCost(m, o.From) * float64(time.Second))
	}
	o.Need, o.Copies = r.p.need[o.Load], r.copies[o.Load]
	if o.From == FromStore {
		r.p.loads = append(r.p.loads, r.in.Now)
	}
	r.p.changed[e.ID] = r.in.Now
	r.copies[o.Load]++
	if o.Unload != "" {
		r.copies[o.Unload]--
		e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == o.Unload })
	}
	e.Models = append(e.Models, o.Load)
	e.Busy = true
	r.free[at] = r.freeMB(e)
	r.changes++
	r.out = append(r.out, o)
	r.spread()
}

// open tells whether an endpoint can take an order.
func (r *round) open(e *Endpoint) bool {
	return e.Usable && !e.Busy && r.changes < r.most
}

func (r *round) settled(e *Endpoint) bool {
	at, ok := r.p.changed[e.ID]
	return !ok || r.in.Now-at >= r.p.tuning.Dwell
}

// freeMB returns the memory that is left beside the models and a full set of adapters.
func (r *round) freeMB(e *Endpoint) float64 {
	left := r.in.Engine.MB
	largest := 0.0
	for i := range r.in.Engine.Models {
		largest = max(largest, r.in.Engine.Models[i].AdapterMB)
	}
	left -= largest * float64(r.in.Engine.AdapterSlots)
	for _, name := range e.Models {
		m := r.models[name]
		if m == nil {
			return -1 // of unknown size
		}
		left -= m.MB
	}
	return left
}

// byNeed returns the declared models: those without a copy first, then by the load where their requests go.
func (r *round) byNeed() []*fleet.Model {
	out := make([]*fleet.Model, len(r.in.Engine.Models))
	for i := range r.in.Engine.Models {
		out[i] = &r.in.Engine.Models[i]
	}
	levels := make(map[string]float64, len(out))
	for _, m := range out {
		levels[m.Name] = r.level(m.Name) + r.p.need[m.Name]/float64(max(r.copies[m.Name], 1))
	}
	sort.SliceStable(out, func(i, j int) bool { return levels[out[i].Name] > levels[out[j].Name] })
	return out
}

// cover loads models without a usable copy, the most needed first. One that nobody asks for takes only memory that is free,
// or that of a copy whose requests find room elsewhere. The load pattern that it answers: more models are declared than
// fit, and a few of them have most of the requests.
func (r *round) cover() {
	for _, m := range r.byNeed() {
		if r.copies[m.Name] > 0 {
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
			r.expected = r.expected || requested
			continue
		}
		limit := 0.0
		if !requested && r.p.need[m.Name] < unaskedNeed {
			limit = r.p.tuning.LeastShare * float64(r.in.Engine.Slots)
		}
		at, victim := r.placeFor(m, place{limit: limit, anyFree: true})
		if at < 0 && requested {
			at, victim = r.unasked(m)
		}
		if at >= 0 {
			r.order(at, Order{Load: m.Name, Unload: victim, Reason: "no usable copy"})
		}
	}
}

// unaskedNeed is the need, in places, below which nobody asks for a model.
const unaskedNeed = 0.05

// unasked returns the endpoint where a model that nobody asks for makes room, although that is its last copy, and that
// model: the one that was asked for least of late, where the other one loads soonest. -1 stands for none.
func (r *round) unasked(m *fleet.Model) (best int, victim string) {
	best = -1
	cost := math.Inf(1)
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.open(e) || e.holds(m.Name) || !r.p.mayLoad(r.in, e.source(m.Name), 1) {
			continue
		}
		for _, name := range e.Models {
			v, d := r.models[name], r.in.Demand[name]
			if v == nil || r.free[i]+v.MB < m.MB || r.p.need[name] >= unaskedNeed || d.PerSec*d.HoldSec >= unaskedNeed || d.Waiting > 0 || d.Running > 0 {
				continue
			}
			if c := r.cost(i, m) + r.p.need[name]; c < cost {
				best, victim, cost = i, name, c
			}
		}
	}
	return best, victim
}

// place tells where a copy may go.
type place struct {
	limit   float64 // neither the endpoint nor what takes the victim's requests over may be loaded beyond it, 0 for no limit
	anyFree bool    // memory that is free may be used at any load
}

// placeFor returns the index of the endpoint where a further copy of a model helps soonest, -1 if there is none, and the
// model that makes room, empty if there is room.
func (r *round) placeFor(m *fleet.Model, where place) (best int, victim string) {
	best = -1
	cost := math.Inf(1)
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		fits := r.free[i] >= m.MB
		if !r.open(e) || e.holds(m.Name) || where.limit > 0 && !(fits && where.anyFree) && (!r.settled(e) || r.load[i] > where.limit) {
			continue
		}
		share := 1.0
		if r.copies[m.Name] > 0 {
			share = r.p.tuning.SpareBudget
		}
		if !r.p.mayLoad(r.in, e.source(m.Name), share) {
			continue
		}
		c := r.cost(i, m)
		if fits {
			if c < cost {
				best, victim, cost = i, "", c
			}
			continue
		}
		if c >= cost {
			continue
		}
		v, after := r.victim(i, m, r.free[i])
		if v == "" || where.limit > 0 && after > where.limit && r.share[i][v] > fewRequests*float64(r.in.Engine.Slots) {
			continue
		}
		c += unloadCost(e.Running[v], r.in.Demand[v].HoldSec)
		if c < cost {
			best, victim, cost = i, v, c
		}
	}
	return best, victim
}

// cost is what a load of a model at an endpoint costs, in seconds, with the endpoint's load counted in.
func (r *round) cost(at int, m *fleet.Model) float64 {
	return loadCost(m, r.in.Endpoints[at].source(m.Name)) + loadedCost*r.load[at]/float64(max(r.in.Engine.Slots, 1))
}

// unloadCost is the time until the last of the requests in progress has ended, in seconds, when their durations are
// exponentially distributed: the memory is free then.
func unloadCost(running int, holdSec float64) float64 {
	if running == 0 {
		return 0
	}
	return holdSec * (math.Log(float64(running)) + 0.58)
}

// loadedCost is what a full endpoint counts against another one that loads faster, in seconds.
const loadedCost = 6.0

// loadCost is the time of a load in seconds.
func loadCost(m *fleet.Model, from Source) float64 {
	switch from {
	case FromMemory:
		return m.WarmLoad.Seconds()
	case FromDisk:
		return m.DiskLoad.Seconds()
	}
	return m.Load.Seconds()
}

// victim returns the model of an endpoint whose requests find most room elsewhere, with the load there afterwards.
func (r *round) victim(at int, m *fleet.Model, free float64) (name string, after float64) {
	after = math.Inf(1)
	for _, v := range r.in.Endpoints[at].Models {
		d := r.models[v]
		if d == nil || r.copies[v] < 2 || free+d.MB < m.MB {
			continue
		}
		others := math.Inf(1)
		for _, i := range r.at[v] {
			if i != at {
				others = min(others, r.load[i])
			}
		}
		if a := others + r.share[at][v]/float64(r.copies[v]-1); a < after {
			name, after = v, a
		}
	}
	return name, after
}

// grow uses free memory for further copies of the models whose endpoints are loaded most. While a model has no copy, the
// memory is kept for it.
func (r *round) grow() {
	if len(r.p.absent) > 0 || !r.room() {
		return
	}
	for _, m := range r.byNeed() {
		for i := range r.in.Endpoints {
			e := &r.in.Endpoints[i]
			if r.free[i] < m.MB || !r.open(e) || e.holds(m.Name) || !r.p.mayLoad(r.in, e.source(m.Name), r.p.tuning.SpareBudget) {
				continue
			}
			r.order(i, Order{Load: m.Name, Reason: "free memory"})
			break
		}
	}
}

// room tells whether an endpoint that can take an order has memory for another model.
func (r *round) room() bool {
	least := math.Inf(1)
	for _, m := range r.models {
		least = min(least, m.MB)
	}
	for i := range r.in.Endpoints {
		if r.free[i] >= least && r.open(&r.in.Endpoints[i]) {
			return true
		}
	}
	return false
}

// exchange relieves models whose requests find only loaded endpoints, by copies in place of models that have room
// elsewhere. The model that gains most by its next copy comes first, and may get several at once: endpoints that change
// are few, and a load from the weight store keeps one for seconds.
func (r *round) exchange() {
	slots := float64(r.in.Engine.Slots)
	for r.changes < r.most && !r.expected {
		var best *fleet.Model
		most := r.p.tuning.LeastRelief * slots
		for i := range r.in.Engine.Models {
			m := &r.in.Engine.Models[i]
			if level := r.level(m.Name); r.copies[m.Name] == 0 || r.tried[m.Name] || level < r.p.tuning.LeastShare*slots {
				continue
			}
			if relief := r.p.need[m.Name] / float64(r.copies[m.Name]+1); relief > most {
				best, most = m, relief
			}
		}
		if best == nil {
			return
		}
		limit := r.level(best.Name) / r.p.tuning.GainFactor
		if at, victim := r.placeFor(best, place{limit: limit}); at >= 0 {
			r.order(at, Order{Load: best.Name, Unload: victim, Reason: "its endpoints are loaded"})
			continue
		}
		r.tried[best.Name] = true
		r.makeRoom(limit)
	}
}

// makeRoom loads a second copy of a model that keeps an endpoint with a load up to a limit from taking another one, because
// its only copy is there. The load patterns that it answers: some models take most of the requests, and the endpoints
// with room hold nothing but last copies, while second copies of rare models lie on endpoints that are full.
func (r *round) makeRoom(limit float64) {
	var rare *fleet.Model
	least := math.Inf(1)
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.open(e) || !r.settled(e) || r.load[i] > limit {
			continue
		}
		for _, name := range e.Models {
			m := r.models[name]
			if m != nil && r.copies[name] == 1 && !r.tried[name] && r.load[i]+r.p.need[name] < least {
				rare, least = m, r.load[i]+r.p.need[name]
			}
		}
	}
	if rare == nil {
		return
	}
	r.tried[rare.Name] = true
	best, victim, cost := -1, "", math.Inf(1)
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.open(e) || !r.settled(e) || e.holds(rare.Name) || !r.p.mayLoad(r.in, e.source(rare.Name), r.p.tuning.SpareBudget) {
			continue
		}
		v, after := r.victim(i, rare, r.free[i])
		if v == "" || after > max(limit, r.load[i]) {
			continue // its requests would wait longer than they do here
		}
		if c := r.cost(i, rare) + unloadCost(e.Running[v], r.in.Demand[v].HoldSec); c < cost {
			best, victim, cost = i, v, c
		}
	}
	if best >= 0 {
		r.order(best, Order{Load: rare.Name, Unload: victim, Reason: "its only copy is in the way of a loaded model"})
	}
}
