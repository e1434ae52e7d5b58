package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// Policy selects how copies are placed.
type Policy uint8

// Policies. All but PolicyMixed are baselines for measurements.
const (
	PolicyMixed  Policy = iota // fewest shared neighbours, copies in proportion to demand
	PolicyStatic               // fewest shared neighbours, demand ignored, nothing moved
	PolicyGroups               // the same models together on the same endpoints
)

// Rules of moves.
const (
	// Horizon is the time over which the gain of a move is counted.
	Horizon = 10 * time.Minute
	// MinDwell is the least age of a copy that a move may unload.
	MinDwell = 2 * time.Minute
	// moveFactor is the hysteresis of moves: the model that gains must have this much more work per copy.
	moveFactor = 1.5
	// shiftFactor is the relative change of a model's demand that allows it another move within Horizon.
	shiftFactor = 1.25
	// moveTime is the assumed time in which a move occupies an endpoint's share of the fleet.
	moveTime = 20 * time.Second
)

// Input is what one planning round is computed from.
type Input struct {
	Now      time.Time
	Snapshot *config.Snapshot
	Ledger   *Ledger                     // all declared endpoints are declared in it
	Alive    map[string]bool             // endpoints that have reported lately
	Draining map[string]bool             // endpoints whose reports say that they drain
	Demand   map[string]wire.ModelDemand // since the previous round
}

// Planner decides which intents to add. It keeps smoothed demand and the history of moves between rounds.
type Planner struct {
	Policy Policy

	demand demand
	moved  map[string]move
	shared []uint16
}

type move struct {
	at     time.Time
	weight float64
}

// Round adds intents to the ledger and marks leaving endpoints in it. It returns whether the placement changed.
func (p *Planner) Round(in Input) bool {
	p.demand.add(in.Now, in.Demand)
	stages, changed := p.stages(in)
	before := in.Ledger.p.NextIntent
	v := p.newView(in, stages)
	p.cover(v)
	p.spread(v)
	p.adapters(v)
	p.retire(v)
	if p.settledLayout(v) {
		p.grow(v)
		p.exchange(v)
	}
	return changed || before != in.Ledger.p.NextIntent
}

// stages returns the stage of each endpoint and stores which ones are leaving.
func (p *Planner) stages(in Input) ([]stage, bool) {
	changed := false
	out := make([]stage, len(in.Snapshot.Endpoints))
	rate := in.Snapshot.WeightStore.LoadsPerSecond
	if rate <= 0 {
		rate = defaultLoadsPerSecond
	}
	for i := range out {
		e := &in.Snapshot.Endpoints[i]
		account := in.Ledger.Endpoint(e.Name)
		out[i] = maintenanceStage(in.Snapshot, e, len(account.Residents), rate, in.Now)
		if e.Leaving || in.Draining[e.Name] {
			out[i] = stageLeaving
		}
		if leaving := out[i] == stageLeaving; leaving != account.Leaving {
			account.Leaving, changed = leaving, true
		}
	}
	return out, changed
}

// weight is the demand of a model without its adapters. It is never 0, so that spare memory is shared evenly without
// demand.
func (p *Planner) weight(name string) float64 {
	if p.Policy == PolicyStatic {
		return 1
	}
	return 1 + p.demand.rate[name]
}

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

// cover loads every model that has too few copies: first those without any, the largest ones first because they are the
// hardest to fit.
func (p *Planner) cover(v *view) {
	for _, m := range v.order(func(m *modelView) float64 {
		if m.copies == 0 {
			return math.MaxInt64 + float64(m.decl.Memory)
		}
		return float64(m.decl.Memory)
	}) {
		for mv := &v.models[m]; mv.copies < mv.need; {
			if !p.place(v, m, false) {
				p.makeRoom(v, m, false)
				break
			}
		}
	}
}

// spread gives every model a second availability zone where there is memory that is free or used by third copies.
func (p *Planner) spread(v *view) {
	if p.pending(v) >= maxPending {
		return
	}
	for _, m := range v.order(func(m *modelView) float64 { return m.weight }) {
		if mv := &v.models[m]; mv.copies > 0 && mv.zoneCount() < 2 && !p.place(v, m, true) && mv.ready == mv.copies {
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
// a new availability zone, other models keep two.
func (p *Planner) makeRoom(v *view, m int, newZone bool) {
	bytes := int64(v.models[m].decl.Memory)
	best, bestCost := -1, math.Inf(1)
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.usable || e.holdsModel(m) || newZone && v.models[m].zones[e.decl.Zone] > 0 {
			continue
		}
		if e.free.Models+e.freed >= bytes && e.freed > 0 {
			return // room is on its way
		}
		victims, cost := v.victims(e, bytes)
		if newZone && slices.ContainsFunc(victims, func(n int) bool { return v.lastOfZone(e, n) }) {
			continue
		}
		if victims != nil && cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return
	}
	victims, _ := v.victims(&v.endpoints[best], bytes)
	for _, n := range victims {
		v.unload(&v.endpoints[best], n)
	}
}

// victims returns the copies on an endpoint with the least work per copy left whose unloading makes room for a number of
// bytes, and the work per copy that this adds elsewhere.
func (v *view) victims(e *endpointView, bytes int64) ([]int, float64) {
	free := e.free.Models + e.freed
	var cost float64
	var out []int
	for _, n := range v.spareCopies(e) {
		if free >= bytes {
			break
		}
		free += int64(v.models[n].decl.Memory)
		cost += v.models[n].weight / float64(v.models[n].copies-1)
		out = append(out, n)
	}
	if free < bytes {
		return nil, 0
	}
	return out, cost
}

// spareCopies returns the models whose copy on an endpoint is settled and may be unloaded without leaving the model or
// one of its adapters with too few ready copies, those with the least work per remaining copy first.
func (v *view) spareCopies(e *endpointView) []int {
	var out []int
	for _, n := range e.holds {
		mv := &v.models[n]
		if mv.ready > mv.need && !e.busy[mv.decl.Name] && v.l.Settled(e.decl.Name, mv.decl.Name, v.now) && v.adaptersCopied(e, mv.decl.Name) {
			out = append(out, n)
		}
	}
	left := func(n int) float64 { return v.models[n].weight / float64(v.models[n].ready-1) }
	slices.SortFunc(out, func(a, b int) int { return cmp.Or(cmp.Compare(left(a), left(b)), cmp.Compare(a, b)) })
	return out
}

// unload adds the intents to unload a model and its adapters from an endpoint.
func (v *view) unload(e *endpointView, m int) {
	d := v.models[m].decl
	for _, r := range e.account.Residents {
		if a := v.snap.Adapter(r.Name); r.Adapter && a != nil && a.Model == d.Name {
			if _, err := v.l.Unload(e.decl.Name, r.Name, v.now); err != nil {
				return
			}
		}
	}
	if _, err := v.l.Unload(e.decl.Name, d.Name, v.now); err == nil {
		e.busy[d.Name] = true
		v.removeCopy(e, m)
	}
}

// retire unloads what is no longer declared.
func (p *Planner) retire(v *view) {
	for i := range v.endpoints {
		e := &v.endpoints[i]
		for _, r := range slices.Clone(e.account.Residents) {
			if !v.snap.Serves(r.Name) {
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
			if !full[m] && (best < 0 || v.models[m].perCopy() > v.models[best].perCopy()) {
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
		if hot < 0 || v.models[m].perCopy() > v.models[hot].perCopy() {
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
		victims, cost := v.victims(e, bytes)
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
