// Package copies decides which models each engine holds in memory. Planner is deterministic and does no I/O: its input is
// the models that each engine holds, the weights that it has in memory and on disk, and the demand for each model. Its
// output is a list of orders.
//
// Every change is judged by one figure, the cost of the resulting layout (cost.go): memory goes to the copy whose absence
// would cost most. Each decision has its own file: copies of absent models and further copies of busy ones (exchange.go),
// last copies that occupy memory which a busy model needs (room.go), and free memory (grow.go).
//
// Invariants:
//   - Where all declared models fit, the last usable copy of a model is unloaded only if the model has no demand, and
//     only for a model without a copy that requests wait for. A copy that is still being loaded is not usable yet.
//   - An endpoint is never ordered to hold more than its memory allows when all its adapter slots are filled.
//   - Loads from the weight store stay within the store's rate.
package copies

import (
	"math"
	"slices"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	fallTime       = time.Second             // time constant of the decay after demand falls; a rise counts at once
	dwell          = 1500 * time.Millisecond // least time between two changes of an endpoint
	minChangeLimit = 5                       // least value of the limit on endpoints that change at the same time
	changeShare    = 0.5                     // share of the endpoints of a large fleet that may change at the same time
	storeRateShare = 0.8                     // share that the planner uses of the loads from the weight store that a window allows
	spareBudget    = 0.8                     // share of storeRateShare for further copies of models that have one
	leastGain      = 0.03                    // share of an endpoint's slots; smaller gains are within the fluctuation of demand
	waitingWeight  = 0.3                     // weight of a waiting request relative to a running one
	// absentGrace is how long a model may be without a copy before one is loaded: after a start, the endpoints that hold
	// it register within seconds.
	absentGrace          = 2500 * time.Millisecond
	absentGraceRequested = 200 * time.Millisecond // the same for a model that requests wait for
)

// Tuning holds the settings that experiments vary.
type Tuning struct {
	FallTime    time.Duration // time constant of the decay after demand falls; a rise counts at once
	LeastGain   float64       // share of an endpoint's slots; smaller gains are not worth a load
	Dwell       time.Duration // least time between two changes of an endpoint, except for a model without a copy
	ChangeShare float64       // share of the endpoints of a large fleet that may change at the same time
	SpareBudget float64       // share of the allowed loads from the weight store for further copies of models that have one
}

// DefaultTuning returns the settings that the dispatcher uses.
func DefaultTuning() Tuning {
	return Tuning{FallTime: fallTime, LeastGain: leastGain, Dwell: dwell, ChangeShare: changeShare, SpareBudget: spareBudget}
}

// Source is the place that an endpoint loads a model's weights from.
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
	ID                   string
	Usable               bool           // up, not leaving, and its state is known
	Busy                 bool           // accepts no order: an order is in progress, or the state is not known
	ModelOrderInProgress bool           // an order that loads or unloads a model is in progress
	Models               []string       // models in memory or being loaded
	Loading              string         // the one of Models that is being loaded, empty if none
	InMemory             []string       // models whose weights are in the machine's memory
	OnDisk               []string       // models whose weights are on its disk
	Running              map[string]int // requests in progress by model
	ReservedSlots        float64        // slots that take no requests, because the endpoint limits their rate
}

// holds tells whether a model is in memory or being loaded.
func (e *Endpoint) holds(model string) bool { return slices.Contains(e.Models, model) }

// source returns the fastest source of a model's weights.
func (e *Endpoint) source(model string) Source {
	switch {
	case slices.Contains(e.InMemory, model):
		return FromMemory
	case slices.Contains(e.OnDisk, model):
		return FromDisk
	}
	return FromStore
}

// Demand is the demand for a model.
type Demand struct {
	ArrivalsPerSec  float64 // requests that arrive per second
	MeanHoldSec     float64 // mean time that a request occupies its slots
	Running         int     // requests in progress
	Waiting         int     // requests that wait for a slot
	SlotsPerRequest float64 // slots that a request counts for, by the scarcest resource of an endpoint; 0 means 1
}

// DemandByModel returns the demand for each model of a service as the dispatcher reports it.
func DemandByModel(service string, f *wire.FleetState) map[string]Demand {
	out := make(map[string]Demand)
	for _, m := range f.Models {
		if m.Service == service {
			out[m.Model] = Demand{ArrivalsPerSec: float64(m.ArrivalsPerSec), MeanHoldSec: float64(m.MeanHoldSec), Running: int(m.Running), Waiting: int(m.Waiting)}
		}
	}
	for _, w := range f.Weights {
		if d, ok := out[w.Model]; ok && w.Service == service {
			d.SlotsPerRequest = float64(w.SlotsPerRequest)
			out[w.Model] = d
		}
	}
	return out
}

// need returns the number of slots that the demand for the model takes.
func (d Demand) need() float64 {
	return (max(d.ArrivalsPerSec*d.MeanHoldSec, float64(d.Running)) + waitingWeight*float64(d.Waiting)) * max(d.SlotsPerRequest, 1)
}

// Input is the state of the fleet from which Plan computes its orders.
type Input struct {
	Now       time.Duration
	Engine    *fleet.Engine
	Endpoints []Endpoint
	Demand    map[string]Demand
}

// Order changes one endpoint: it unloads the model Unload if that is set, then loads the model Load.
type Order struct {
	Endpoint     string
	Unload       string
	Load         string
	Source       Source
	Reason       string
	Need         float64 // demand for the loaded model, in slots
	CopiesBefore int     // copies of the loaded model before the order
	Gain         float64 // decrease of the cost of the layout, in slots
	LoadTime     time.Duration
}

// Limits bounds the loads from the weight store.
type Limits struct {
	Window     time.Duration // length of the window over which loads are counted
	RateFactor float64       // factor on the store's rate
	ExtraLoads float64       // loads allowed in a window beyond the rate
}

// Planner computes orders. It holds the smoothed demand and the history of loads.
type Planner struct {
	limits          Limits
	tuning          Tuning
	need            map[string]float64       // smoothed demand by model, in slots
	lastPlan        time.Duration            // time of the last call of Plan
	storeLoads      []time.Duration          // times of the loads from the weight store within the window
	changedAt       map[string]time.Duration // time of the last order by endpoint
	absentSince     map[string]time.Duration // models without a copy, and since when
	demandSeen      bool                     // whether any demand has been seen since the start
	initialOrders   map[string]int           // copies ordered before any demand was seen, by model
	initialCopies   map[string]int           // copies found before any demand was seen, by model, without initialOrders
	overloadedSince map[string]time.Duration // models that would gain by a further copy, and since when
	relocating      map[string]time.Duration // models whose last copy is being relocated, and until when
}

// New returns a planner that takes over at now. Half of the loads from the weight store that are allowed in a window count
// as made, because the predecessor's loads are not known; SetLoadHistory replaces them.
func New(now time.Duration, l Limits, t Tuning, loadsPerSecond float64) *Planner {
	p := &Planner{
		limits: l, tuning: t, need: make(map[string]float64), lastPlan: now, changedAt: make(map[string]time.Duration),
		absentSince: make(map[string]time.Duration), initialCopies: make(map[string]int), initialOrders: make(map[string]int), overloadedSince: make(map[string]time.Duration), relocating: make(map[string]time.Duration),
	}
	for range int(loadsPerSecond * l.Window.Seconds() / 2) {
		p.storeLoads = append(p.storeLoads, now)
	}
	return p
}

// SetLoadHistory replaces the history of loads from the weight store. ages are the times from each load to now.
func (p *Planner) SetLoadHistory(now time.Duration, ages []time.Duration) {
	p.storeLoads = p.storeLoads[:0]
	for _, age := range ages {
		p.storeLoads = append(p.storeLoads, now-age)
	}
}

// LoadHistory returns the ages, at now, of the loads from the weight store within the window.
func (p *Planner) LoadHistory(now time.Duration) []time.Duration {
	out := make([]time.Duration, 0, len(p.storeLoads))
	for _, at := range p.storeLoads {
		out = append(out, now-at)
	}
	return out
}

// Plan returns the orders to send now. The planner assumes that the caller sends them all.
func (p *Planner) Plan(in Input) []Order {
	p.forgetLoads(in.Now)
	r := newLayout(p, &in)
	p.updateNeeds(in, r)
	r.distributeNeeds()
	r.updateAbsent()
	r.updateOverloaded()
	r.addCopies()
	r.useFreeMemory()
	return r.orders
}

// forgetLoads removes the loads before the window from the history.
func (p *Planner) forgetLoads(now time.Duration) {
	p.storeLoads = slices.DeleteFunc(p.storeLoads, func(t time.Duration) bool { return now-t > p.limits.Window })
}

// priorNeed is the assumed need for each copy of a model that has several copies before any demand was seen, as a share of
// an endpoint's slots: several copies show that the model was busy before.
const priorNeed = 0.3

// updateNeeds updates the smoothed need for each model: it rises at once with the demand, and decays after the demand
// falls.
func (p *Planner) updateNeeds(in Input, r *layout) {
	dt := (in.Now - p.lastPlan).Seconds()
	p.lastPlan = in.Now
	decay := math.Exp(-dt / p.tuning.FallTime.Seconds())
	for i := range in.Engine.Models {
		p.demandSeen = p.demandSeen || in.Demand[in.Engine.Models[i].Name].need() > 0
	}
	for i := range in.Engine.Models {
		name := in.Engine.Models[i].Name
		if !p.demandSeen {
			if p.initialCopies[name] = max(p.initialCopies[name], r.copies(name)-p.initialOrders[name]); p.initialCopies[name] > 1 {
				p.need[name] = priorNeed * float64(in.Engine.Slots*p.initialCopies[name])
			}
			continue
		}
		current := in.Demand[name].need()
		p.need[name] = max(current, current+(p.need[name]-current)*decay)
	}
}

// withinLoadLimit tells whether one more load from the source stays within a share of the loads that the weight store
// allows. Only loads from the store are limited.
func (p *Planner) withinLoadLimit(in *Input, from Source, share float64) bool {
	if from != FromStore {
		return true
	}
	allowed := in.Engine.LoadsPerSecond*p.limits.Window.Seconds()*p.limits.RateFactor + p.limits.ExtraLoads
	return float64(len(p.storeLoads)+1) <= share*storeRateShare*allowed
}
