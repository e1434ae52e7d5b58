package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

const (
	messageDelay          = time.Millisecond        // between two processes
	tickInterval          = 15 * time.Millisecond   // between ticks of the dispatcher
	planInterval          = 150 * time.Millisecond  // between rounds of the holder, whose view of the demand is as old
	unloadDelay           = 40 * time.Millisecond   // from an order until its unload begins
	reportDelay           = 250 * time.Millisecond  // from an unload until the engine's report shows it
	connectRefusedDelay   = 2 * time.Millisecond    // until a crashed engine's host refuses a connection or resets an open one
	connectTimeout        = 400 * time.Millisecond  // for connecting to an unresponsive engine
	brokenResponseTimeout = 1500 * time.Millisecond // until a response from an unresponsive engine counts as broken
	adapterLoadTime       = 20 * time.Millisecond   // for ordering and loading an adapter
	minPatience           = 2 * time.Second         // time that every caller waits for the first event of a stream
	hostID                = "h"
	arrivalInterval       = 2 * time.Millisecond // between rounds that generate arrivals
)

// retryLimits are the limits on retries of the users' deployments.
var retryLimits = sched.RetryLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}

// event is a function that runs at a simulated time.
type event struct {
	time time.Duration
	seq  uint64 // orders events of the same time by when they were scheduled
	run  func()
}

// eventQueue is a heap of events, with the earliest first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].time < e[j].time || e[i].time == e[j].time && e[i].seq < e[j].seq
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

// simulation is the state of one run of a scenario.
type simulation struct {
	scenario           *Scenario
	rng                *rand.Rand
	now                time.Duration // simulated time since the start of the run
	seq                uint64        // number of the event scheduled last
	queue              eventQueue
	dispatcher         *sched.State
	planner            *copies.Planner
	engines            []*endpoint
	plainEndpoints     []*endpoint
	endpointsByID      map[string]*endpoint // engines and plain endpoints
	activeModels       [][]int              // requested models by class, as offsets from Class.FirstModel
	modelShares        [][]float64          // shares of a class's requests, in the order of activeModels
	requests           map[uint64]*request  // requests that the dispatcher knows, by the ID of their latest Ask
	retries            *sched.HostRetries
	lastRequestID      uint64    // ID of the latest Ask
	fractionalArrivals []float64 // fractions of a request carried over to the next round of arrivals, by class
	storeLoads         int       // loads in progress from the weight store
	result             Result
}

// Simulate runs a scenario with a seed and returns its result. The tuning holds the planner's thresholds.
func Simulate(s Scenario, seed uint64, tuning copies.Tuning) Result {
	sim := &simulation{
		scenario: &s, rng: rand.New(rand.NewPCG(seed, 1)), endpointsByID: make(map[string]*endpoint), requests: make(map[uint64]*request),
		fractionalArrivals: make([]float64, len(s.Classes)), activeModels: make([][]int, len(s.Classes)),
		modelShares: make([][]float64, len(s.Classes)),
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
	sim.planner = copies.New(0, copies.Limits{Window: 5 * time.Second, RateFactor: 1.1, ExtraLoads: 3}, tuning, 0)
	sim.dispatcher = sched.New(0, sched.Config{Seed: seed, Retries: retryLimits},
		sim.fleetView())
	sim.dispatcher.HostUp(0, hostID)
	sim.retries = sched.NewHostRetries(0)
	sim.shiftDemand()
	sim.scheduleEvery(tickInterval, func() { sim.dispatcher.Tick(sim.now); sim.deliverOutputs() })
	sim.scheduleEvery(planInterval, sim.planPlacement)
	sim.scheduleAt(s.TrafficStart, func() { sim.scheduleEvery(arrivalInterval, sim.generateArrivals) })
	for _, at := range s.DemandShifts {
		sim.scheduleAt(s.TrafficStart+at, sim.shiftDemand)
	}
	for _, loss := range s.EngineLosses {
		sim.scheduleAt(s.TrafficStart+loss.Start, func() { sim.loseEngines(loss) })
	}
	// The simulation goes on for 20 s after the last arrival, so that requests in progress can complete.
	for end := s.TrafficStart + s.TrafficDuration + 20*time.Second; len(sim.queue) > 0 && sim.queue[0].time < end; {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.time
		e.run()
	}
	for _, r := range sim.requests {
		sim.endRequest(r, outcomeFailed)
	}
	return sim.result
}

// scheduleAt runs a function at a simulated time.
func (sim *simulation) scheduleAt(t time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{t, sim.seq, run})
}

// scheduleAfter runs a function after a delay.
func (sim *simulation) scheduleAfter(d time.Duration, run func()) { sim.scheduleAt(sim.now+d, run) }

// scheduleEvery runs a function at every multiple of an interval from now until the simulation ends.
func (sim *simulation) scheduleEvery(interval time.Duration, run func()) {
	sim.scheduleAfter(interval, func() { run(); sim.scheduleEvery(interval, run) })
}

// trafficTime returns the time since the start of traffic. It is negative before.
func (sim *simulation) trafficTime() time.Duration { return sim.now - sim.scenario.TrafficStart }

// firstActive returns the first disturbance that is in effect at a time since the start of traffic, or nil.
func firstActive(disturbances []Disturbance, at time.Duration) *Disturbance {
	for i := range disturbances {
		if d := &disturbances[i]; at >= d.Start && at < d.Start+d.Duration {
			return d
		}
	}
	return nil
}

// shiftDemand draws the active models of each class and gives them unequal shares of its requests. Classes with the same range
// of models get the same active models.
func (sim *simulation) shiftDemand() {
	drawn := make(map[[2]int][]int) // active models by range
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

// generateArrivals starts the requests that arrive within one arrivalInterval. Their number is random, with the class's rate as
// its mean.
func (sim *simulation) generateArrivals() {
	if sim.trafficTime() > sim.scenario.TrafficDuration {
		return
	}
	for i := range sim.scenario.Classes {
		c := &sim.scenario.Classes[i]
		rate := c.RequestsPerSec
		for k := range sim.scenario.Bursts {
			if b := &sim.scenario.Bursts[k]; b.RequestClass == c.Name && firstActive(sim.scenario.Bursts[k:k+1], sim.trafficTime()) != nil {
				rate *= b.RateFactor
			}
		}
		for sim.fractionalArrivals[i] += rate * arrivalInterval.Seconds() * 2 * sim.rng.Float64(); sim.fractionalArrivals[i] >= 1; sim.fractionalArrivals[i]-- {
			sim.startRequest(i)
		}
	}
}

// fleetView returns the hosts' view of the endpoints.
func (sim *simulation) fleetView() *fleet.View {
	v := &fleet.View{EndpointsListed: true, Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{
		engineService: {Name: engineService, Engine: &sim.scenario.EngineSpec}, plainService: {Name: plainService},
	}}}
	for _, e := range sim.engines {
		if e.unlisted {
			continue
		}
		x := fleet.Endpoint{ID: e.id, StartUnixMs: e.restarts, Service: engineService, Slots: e.slots}
		for m := range e.models {
			x.Models = append(x.Models, fleet.Resident{Model: m})
		}
		sort.Slice(x.Models, func(a, b int) bool { return x.Models[a].Model < x.Models[b].Model })
		v.Endpoints = append(v.Endpoints, x)
	}
	for _, e := range sim.plainEndpoints {
		v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: e.id, Service: plainService, Slots: e.slots})
	}
	return v
}

// updateView gives the dispatcher the present view of the endpoints.
func (sim *simulation) updateView() {
	sim.dispatcher.SetView(sim.now, sim.fleetView())
	sim.deliverOutputs()
}

// planPlacement runs one round of the placement lease's holder: it plans, gives the orders to the engines and reports the orders
// in progress to the dispatcher. While nobody holds the lease, it only reports that to the dispatcher.
func (sim *simulation) planPlacement() {
	if firstActive(sim.scenario.LeaseVacancies, sim.trafficTime()) != nil {
		sim.dispatcher.SetHolder(sim.now, nil)
		sim.deliverOutputs()
		return
	}
	load := sim.dispatcher.FleetState()
	in := copies.Input{Now: sim.now, Engine: &sim.scenario.EngineSpec, Demand: copies.DemandByModel(engineService, &load)}
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
	for _, o := range sim.planner.Plan(in) {
		sim.result.Orders++
		if o.Source == copies.FromStore {
			sim.result.StoreLoads++
		}
		sim.endpointsByID[o.Endpoint].startOrder(o)
	}
	for _, e := range sim.engines {
		if e.orderInProgress {
			beat.Busy = append(beat.Busy, e.id)
		}
		if e.unloading != "" {
			beat.Unloading = append(beat.Unloading, wire.ModelCopy{Endpoint: e.id, Model: e.unloading})
		}
	}
	sim.dispatcher.SetHolder(sim.now, beat)
	sim.deliverOutputs()
}

// loseEngines crashes a random share of the engines. They restart with the weights on disk, but without loaded models.
func (sim *simulation) loseEngines(loss Disturbance) {
	n := int(math.Ceil(loss.EngineShare * float64(len(sim.engines))))
	for _, i := range sim.rng.Perm(len(sim.engines))[:n] {
		e := sim.engines[i]
		e.crash(loss.Unresponsive)
		// The platform removes the endpoint from its list after one second.
		sim.scheduleAfter(time.Second, func() { e.unlisted = true; sim.updateView() })
		sim.scheduleAfter(loss.Duration, func() { e.restart() })
	}
}
