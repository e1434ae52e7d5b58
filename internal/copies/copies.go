// Package copies decides which models each engine holds. Planner is deterministic and does no I/O: it is given what
// engines hold, what they have at hand, and the demand for each model, and returns orders.
//
// All changes are judged by one figure, the cost of a layout (cost.go): a place in memory goes to the copy whose absence
// would cost most. Each decision has its file: models without a copy and further copies of loaded ones (exchange.go),
// last copies that are in the way (room.go), memory that is free (grow.go).
//
// Invariants:
//   - where all declared models fit, the last usable copy of a model is unloaded only if nobody asks for it, for a model
//     that requests wait for and that has no copy; a copy that is being loaded is not usable yet;
//   - an endpoint is never ordered to hold more than its memory, with all its adapter places filled;
//   - loads from the weight store stay within its rate.
package copies

import (
	"math"
	"slices"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	fallTime     = 5 * time.Second // demand that falls is forgotten over it, demand that rises counts at once
	dwell        = 1500 * time.Millisecond
	leastChanges = 5    // endpoints that may change at a time, in a small fleet
	changeShare  = 0.5  // of the endpoints of a large one
	budgetUse    = 0.8  // of the loads from the weight store that the window allows
	spareBudget  = 0.8  // of those, for copies of models that have one
	leastGain    = 0.03 // of an endpoint's places: smaller gains are within the fluctuation of demand
	waitingScale = 0.3  // weight of waiting requests beside those in progress
	// absentFor is how long a model without a copy is given to appear: after a start, endpoints register within seconds.
	absentFor       = 2500 * time.Millisecond
	absentRequested = 200 * time.Millisecond // while requests wait for it
)

// Tuning holds the thresholds that experiments vary.
type Tuning struct {
	FallTime    time.Duration // in which demand that falls is forgotten; demand that rises counts at once
	LeastGain   float64       // of an endpoint's places: smaller gains are not worth a load
	Dwell       time.Duration // an endpoint is not changed again within it, unless for a model without a copy
	ChangeShare float64       // of the endpoints of a large fleet that may change at a time
	SpareBudget float64       // share of the allowed loads from the weight store for copies of models that have one
}

// DefaultTuning returns the thresholds in use.
func DefaultTuning() Tuning {
	return Tuning{FallTime: fallTime, LeastGain: leastGain, Dwell: dwell, ChangeShare: changeShare, SpareBudget: spareBudget}
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
	Coming   string   // of these, the one that is being loaded, empty if there is none
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
			out[m.Model] = Demand{PerSec: float64(m.ArrivalsPerSec), HoldSec: float64(m.MeanHoldSec), Running: int(m.Running), Waiting: int(m.Waiting)}
		}
	}
	for _, w := range f.Weights {
		if d, ok := out[w.Model]; ok && w.Service == service {
			d.Weight = float64(w.SlotsPerRequest)
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
	Gain     float64 // by which the cost of the layout falls, in places
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
	asked   bool                     // any demand was seen
	ordered map[string]int           // copies that were ordered before any demand was seen
	found   map[string]int           // copies that were found before any demand was seen, without those that were ordered
	loaded  map[string]time.Duration // models whose endpoints are loaded, since when
	moving  map[string]time.Duration // models whose last copy was in the way: when their second one is there
}

// New returns a planner that has taken over at now. Unless Recall tells what its predecessor loaded from the weight store
// in the last window, half of the window counts as used.
func New(now time.Duration, l Limits, t Tuning, loadsPerSecond float64) *Planner {
	p := &Planner{
		limits: l, tuning: t, need: make(map[string]float64), last: now, changed: make(map[string]time.Duration),
		absent: make(map[string]time.Duration), found: make(map[string]int), ordered: make(map[string]int), loaded: make(map[string]time.Duration), moving: make(map[string]time.Duration),
	}
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
	p.forgetLoads(in.Now)
	r := newLayout(p, &in)
	p.follow(in, r)
	r.spread()
	r.noteAbsent()
	r.noteLoaded()
	r.exchange()
	r.grow()
	return r.out
}

func (p *Planner) forgetLoads(now time.Duration) {
	p.loads = slices.DeleteFunc(p.loads, func(t time.Duration) bool { return now-t > p.limits.Window })
}

// priorNeed is what each copy of a model with several counts for before any demand was seen, as a share of an endpoint's
// places: engines are found with copies of the models that were busy.
const priorNeed = 0.3

// follow updates the need for each model, in places: demand that rises counts at once.
func (p *Planner) follow(in Input, r *layout) {
	dt := (in.Now - p.last).Seconds()
	p.last = in.Now
	keep := math.Exp(-dt / p.tuning.FallTime.Seconds())
	for i := range in.Engine.Models {
		p.asked = p.asked || in.Demand[in.Engine.Models[i].Name].need() > 0
	}
	for i := range in.Engine.Models {
		name := in.Engine.Models[i].Name
		if !p.asked {
			if p.found[name] = max(p.found[name], r.copies(name)-p.ordered[name]); p.found[name] > 1 {
				p.need[name] = priorNeed * float64(in.Engine.Slots*p.found[name])
			}
			continue
		}
		now := in.Demand[name].need()
		p.need[name] = max(now, now+(p.need[name]-now)*keep)
	}
}

// mayLoad tells whether a load from the source is within a share of what the weight store allows.
func (p *Planner) mayLoad(in *Input, from Source, share float64) bool {
	if from != FromStore {
		return true
	}
	allowed := in.Engine.LoadsPerSecond*p.limits.Window.Seconds()*p.limits.Over + p.limits.Extra
	return float64(len(p.loads)+1) <= share*budgetUse*allowed
}
