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
	hop          = time.Millisecond       // between two processes
	tickEvery    = 15 * time.Millisecond  // of the dispatcher
	planEvery    = 150 * time.Millisecond // of the holder, whose view of demand is as old
	closingWait  = 40 * time.Millisecond  // before an unload
	reportLag    = 250 * time.Millisecond // after an unload, until the engine's report shows it
	refusedAfter = 2 * time.Millisecond   // a connection to an engine that has crashed
	darkAfter    = 400 * time.Millisecond // a connection to one that does not answer
	silentAfter  = 1500 * time.Millisecond
	adapterTime  = 20 * time.Millisecond // to order and load an adapter
	leastWait    = 2 * time.Second       // a caller's patience with a silent stream
	host         = "h"
	arrivalStep  = 2 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one day.
type simulation struct {
	s       *Scenario
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	queue   events
	state   *sched.State
	planner *copies.Planner
	engines []*engine
	plain   []*engine
	byID    map[string]*engine
	busy    [][]int // busy models by class
	shares  [][]float64
	calls   map[uint64]*request
	next    uint64
	due     []float64 // fractions of requests that have not come yet, by class
	loads   int       // in progress from the weight store
	result  Result
}

// Simulate plays a scenario with a seed.
func Simulate(s Scenario, seed uint64, t copies.Tuning) Result {
	w := &simulation{
		s: &s, rng: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*engine), calls: make(map[uint64]*request),
		due: make([]float64, len(s.Classes)), busy: make([][]int, len(s.Classes)), shares: make([][]float64, len(s.Classes)),
	}
	w.result = newResult(&s, seed)
	for i := range s.Engines {
		w.addEngine(i)
	}
	for i := range s.PlainEndpoints {
		e := &engine{w: w, id: fmt.Sprintf("p%02d", i), slots: 6, plain: true}
		w.plain = append(w.plain, e)
		w.byID[e.id] = e
	}
	w.planner = copies.New(0, copies.Limits{Window: 5 * time.Second, Over: 1.1, Extra: 3}, t, 0)
	w.state = sched.New(0, sched.Config{Seed: seed, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}, w.view())
	w.state.HostUp(0, host)
	w.shift()
	w.every(tickEvery, func() { w.state.Tick(w.now); w.deliver() })
	w.every(planEvery, w.plan)
	w.at(s.TrafficStart, func() { w.every(arrivalStep, w.arrivals) })
	for _, at := range s.Shifts {
		w.at(s.TrafficStart+at, w.shift)
	}
	for _, x := range s.Losses {
		w.at(s.TrafficStart+x.Start, func() { w.lose(x) })
	}
	// Answers that are under way at the end are waited for.
	for end := s.TrafficStart + s.TrafficDuration + 20*time.Second; len(w.queue) > 0 && w.queue[0].at < end; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	for _, r := range w.calls {
		w.end(r, outcomeFailed)
	}
	return w.result
}

func (w *simulation) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, do})
}

func (w *simulation) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *simulation) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

// since returns the time from the start of traffic.
func (w *simulation) since() time.Duration { return w.now - w.s.TrafficStart }

func within(spans []Disturbance, at time.Duration) *Disturbance {
	for i := range spans {
		if x := &spans[i]; at >= x.Start && at < x.Start+x.Duration {
			return x
		}
	}
	return nil
}

// shift draws the busy models of each class. Classes with the same range share them.
func (w *simulation) shift() {
	drawn := make(map[[2]int][]int)
	for i := range w.s.Classes {
		c := &w.s.Classes[i]
		if c.StreamEvents == 0 {
			continue
		}
		key := [2]int{c.FirstModel, c.EndModel}
		if drawn[key] == nil {
			drawn[key] = w.rng.Perm(c.EndModel - c.FirstModel)[:c.ActiveModels]
		}
		w.busy[i] = drawn[key]
		w.shares[i] = make([]float64, c.ActiveModels)
		sum := 0.0
		for k := range w.shares[i] {
			w.shares[i][k] = 1 / math.Pow(float64(k+1), 0.6)
			sum += w.shares[i][k]
		}
		for k := range w.shares[i] {
			w.shares[i][k] /= sum
		}
	}
}

// arrivals lets the requests of one step come.
func (w *simulation) arrivals() {
	if w.since() > w.s.TrafficDuration {
		return
	}
	for i := range w.s.Classes {
		c := &w.s.Classes[i]
		rate := c.RequestsPerSec
		for k := range w.s.Bursts {
			if b := &w.s.Bursts[k]; b.Class == c.Name && within(w.s.Bursts[k:k+1], w.since()) != nil {
				rate *= b.RateFactor
			}
		}
		for w.due[i] += rate * arrivalStep.Seconds() * 2 * w.rng.Float64(); w.due[i] >= 1; w.due[i]-- {
			w.come(i)
		}
	}
}

// view returns what hosts know of the endpoints.
func (w *simulation) view() *fleet.View {
	v := &fleet.View{Listed: true, Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{
		engineService: {Name: engineService, Engine: &w.s.EngineSpec}, plainService: {Name: plainService},
	}}}
	for _, e := range w.engines {
		if e.removed {
			continue
		}
		x := fleet.Endpoint{ID: e.id, Born: e.born, Service: engineService, Slots: e.slots}
		for m := range e.models {
			x.Models = append(x.Models, fleet.Resident{Model: m})
		}
		v.Endpoints = append(v.Endpoints, x)
	}
	for _, e := range w.plain {
		v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: e.id, Service: plainService, Slots: e.slots})
	}
	return v
}

// changed tells the dispatcher of a change of the endpoints.
func (w *simulation) changed() {
	w.state.SetView(w.now, w.view())
	w.deliver()
}

// plan runs a round of the holder.
func (w *simulation) plan() {
	if within(w.s.LeaseVacancies, w.since()) != nil {
		w.state.SetHolder(w.now, nil)
		w.deliver()
		return
	}
	load := w.state.FleetState()
	in := copies.Input{Now: w.now, Engine: &w.s.EngineSpec, Demand: copies.Demands(engineService, &load)}
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
	beat := &wire.HolderBeat{Host: host}
	for _, e := range w.engines {
		if e.removed {
			continue
		}
		in.Endpoints = append(in.Endpoints, e.planned(running[e.id]))
	}
	for _, o := range w.planner.Round(in) {
		w.result.Orders++
		if o.From == copies.FromStore {
			w.result.StoreLoads++
		}
		w.byID[o.Endpoint].change(o)
	}
	for _, e := range w.engines {
		if e.changing {
			beat.Changing = append(beat.Changing, e.id)
		}
		if e.closing != "" {
			beat.Closing = append(beat.Closing, wire.ModelCopy{Endpoint: e.id, Model: e.closing})
		}
	}
	w.state.SetHolder(w.now, beat)
	w.deliver()
}

// lose takes engines away. They come back empty, with their disks.
func (w *simulation) lose(x Disturbance) {
	n := int(math.Ceil(x.EngineShare * float64(len(w.engines))))
	for _, i := range w.rng.Perm(len(w.engines))[:n] {
		e := w.engines[i]
		e.crash(x.Unresponsive)
		// The platform notices after a while.
		w.after(time.Second, func() { e.removed = true; w.changed() })
		w.after(x.Duration, func() { e.restart() })
	}
}
