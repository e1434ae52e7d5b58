package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

const (
	messageDelay          = time.Millisecond       // between two processes
	tickInterval    = 15 * time.Millisecond  // of the dispatcher
	planInterval    = 150 * time.Millisecond // of the holder, whose view of demand is as old
	unloadDelay  = 40 * time.Millisecond  // before an unload
	reportDelay    = 250 * time.Millisecond // after an unload, until the engine's report shows it
	connectRefusedDelay = 2 * time.Millisecond   // a connection to an engine that has crashed
	connectTimeout    = 400 * time.Millisecond // a connection to one that does not answer
	brokenResponseTimeout  = 1500 * time.Millisecond
	adapterLoadTime  = 20 * time.Millisecond // to order and load an adapter
	minPatience    = 2 * time.Second       // a caller's patience with a silent stream
	hostID         = "h"
	arrivalInterval  = 2 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	run  func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one day.
type simulation struct {
	scenario       *Scenario
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	queue   eventQueue
	dispatcher   *sched.State
	planner *copies.Planner
	engines []*endpoint
	plainEndpoints   []*endpoint
	endpointsByID    map[string]*endpoint
	activeModels    [][]int // busy models by class
	modelShares  [][]float64
	requests   map[uint64]*request
	lastRequestID    uint64
	fractionalArrivals     []float64 // fractions of requests that have not come yet, by class
	storeLoads   int       // in progress from the weight store
	result  Result
}

// Simulate plays a scenario with a seed.
func Simulate(s Scenario, seed uint64, t copies.Tuning) Result {
	sim := &simulation{
		scenario: &s, rng: rand.New(rand.NewPCG(seed, 1)), endpointsByID: make(map[string]*endpoint), requests: make(map[uint64]*request),
		fractionalArrivals: make([]float64, len(s.Classes)), activeModels: make([][]int, len(s.Classes)), modelShares: make([][]float64, len(s.Classes)),
	}
	sim.result = newResult(&s, seed)
	for i := range s.Engines {
		sim.addEngine(i)
	}
	for i := range s.PlainEndpoints {
		e := &endpoint{sim: sim, id: fmt.Sprintf("p%02d", i), slots: 6, plain: true}
		sim.plainEndpoints = append(sim.plainEndpoints, e)
		sim.endpointsByID[e.id] = e
	}
	sim.planner = copies.New(0, copies.Limits{Window: 5 * time.Second, Over: 1.1, Extra: 3}, t, 0)
	sim.dispatcher = sched.New(0, sched.Config{Seed: seed, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}, sim.fleetView())
	sim.dispatcher.HostUp(0, hostID)
	sim.shiftDemand()
	sim.scheduleEvery(tickInterval, func() { sim.dispatcher.Tick(sim.now); sim.deliverOutputs() })
	sim.scheduleEvery(planInterval, sim.planPlacement)
	sim.scheduleAt(s.TrafficStart, func() { sim.scheduleEvery(arrivalInterval, sim.generateArrivals) })
	for _, at := range s.DemandShifts {
		sim.scheduleAt(s.TrafficStart+at, sim.shiftDemand)
	}
	for _, x := range s.EngineLosses {
		sim.scheduleAt(s.TrafficStart+x.Start, func() { sim.loseEngines(x) })
	}
	// Answers that are under way at the end are waited for.
	for end := s.TrafficStart + s.TrafficDuration + 20*time.Second; len(sim.queue) > 0 && sim.queue[0].at < end; {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	for _, r := range sim.requests {
		sim.endRequest(r, outcomeFailed)
	}
	return sim.result
}

func (sim *simulation) scheduleAt(t time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{t, sim.seq, do})
}

func (sim *simulation) scheduleAfter(d time.Duration, do func()) { sim.scheduleAt(sim.now+d, do) }

func (sim *simulation) scheduleEvery(d time.Duration, do func()) {
	sim.scheduleAfter(d, func() { do(); sim.scheduleEvery(d, do) })
}

// trafficTime returns the time from the start of traffic.
func (sim *simulation) trafficTime() time.Duration { return sim.now - sim.scenario.TrafficStart }

func firstActive(spans []Disturbance, at time.Duration) *Disturbance {
	for i := range spans {
		if x := &spans[i]; at >= x.Start && at < x.Start+x.Duration {
			return x
		}
	}
	return nil
}

// shiftDemand draws the busy models of each class. Classes with the same range share them.
func (sim *simulation) shiftDemand() {
	drawn := make(map[[2]int][]int)
	for i := range sim.scenario.Classes {
		c := &sim.scenario.Classes[i]
		if c.StreamEvents == 0 {
			continue
		}
		key := [2]int{c.FirstModel, c.EndModel}
		if drawn[key] == nil {
			drawn[key] = sim.rng.Perm(c.EndModel - c.FirstModel)[:c.ActiveModels]
		}
		sim.activeModels[i] = drawn[key]
		sim.modelShares[i] = make([]float64, c.ActiveModels)
		sum := 0.0
		for k := range sim.modelShares[i] {
			sim.modelShares[i][k] = 1 / math.Pow(float64(k+1), 0.6)
			sum += sim.modelShares[i][k]
		}
		for k := range sim.modelShares[i] {
			sim.modelShares[i][k] /= sum
		}
	}
}

// generateArrivals lets the requests of one step come.
func (sim *simulation) generateArrivals() {
	if sim.trafficTime() > sim.scenario.TrafficDuration {
		return
	}
	for i := range sim.scenario.Classes {
		c := &sim.scenario.Classes[i]
		rate := c.RequestsPerSec
		for k := range sim.scenario.Bursts {
			if b := &sim.scenario.Bursts[k]; b.Class == c.Name && firstActive(sim.scenario.Bursts[k:k+1], sim.trafficTime()) != nil {
				rate *= b.RateFactor
			}
		}
		for sim.fractionalArrivals[i] += rate * arrivalInterval.Seconds() * 2 * sim.rng.Float64(); sim.fractionalArrivals[i] >= 1; sim.fractionalArrivals[i]-- {
			sim.startRequest(i)
		}
	}
}

// fleetView returns what hosts know of the endpoints.
func (sim *simulation) fleetView() *fleet.View {
	v := &fleet.View{Listed: true, Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{
		engineService: {Name: engineService, Engine: &sim.scenario.EngineSpec}, plainService: {Name: plainService},
	}}}
	for _, e := range sim.engines {
		if e.unlisted {
			continue
		}
		x := fleet.Endpoint{ID: e.id, Born: e.restarts, Service: engineService, Slots: e.slots}
		for m := range e.models {
			x.Models = append(x.Models, fleet.Resident{Model: m})
		}
		v.Endpoints = append(v.Endpoints, x)
	}
	for _, e := range sim.plainEndpoints {
		v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: e.id, Service: plainService, Slots: e.slots})
	}
	return v
}

// updateView tells the dispatcher of a change of the endpoints.
func (sim *simulation) updateView() {
	sim.dispatcher.SetView(sim.now, sim.fleetView())
	sim.deliverOutputs()
}

// planPlacement runs a round of the holder.
func (sim *simulation) planPlacement() {
	if firstActive(sim.scenario.LeaseVacancies, sim.trafficTime()) != nil {
		sim.dispatcher.SetHolder(sim.now, nil)
		sim.deliverOutputs()
		return
	}
	load := sim.dispatcher.FleetState()
	in := copies.Input{Now: sim.now, Engine: &sim.scenario.EngineSpec, Demand: copies.Demands(engineService, &load)}
	running := make(map[string]map[string]int)
	for _, m := range load.Models {
		if m.Service != engineService {
			continue
		}
		for _, c := range m.Copies {
			if running[c.Endpoint] == nil {
				running[c.Endpoint] = make(map[string]int)
			}
			running[c.Endpoint][m.Model] = int(c.Running)
		}
	}
	beat := &wire.HolderBeat{Host: hostID}
	for _, e := range sim.engines {
		if e.unlisted {
			continue
		}
		in.Endpoints = append(in.Endpoints, e.plannerInput(running[e.id]))
	}
	for _, o := range sim.planner.Round(in) {
		sim.result.Orders++
		if o.From == copies.FromStore {
			sim.result.StoreLoads++
		}
		sim.endpointsByID[o.Endpoint].startOrder(o)
	}
	for _, e := range sim.engines {
		if e.orderInProgress {
			beat.Changing = append(beat.Changing, e.id)
		}
		if e.unloading != "" {
			beat.Closing = append(beat.Closing, wire.ModelCopy{Endpoint: e.id, Model: e.unloading})
		}
	}
	sim.dispatcher.SetHolder(sim.now, beat)
	sim.deliverOutputs()
}

// loseEngines takes engines away. They come back empty, with their disks.
func (sim *simulation) loseEngines(x Disturbance) {
	n := int(math.Ceil(x.EngineShare * float64(len(sim.engines))))
	for _, i := range sim.rng.Perm(len(sim.engines))[:n] {
		e := sim.engines[i]
		e.crash(x.Unresponsive)
		// The platform notices after a while.
		sim.scheduleAfter(time.Second, func() { e.unlisted = true; sim.updateView() })
		sim.scheduleAfter(x.Duration, func() { e.restart() })
	}
}
