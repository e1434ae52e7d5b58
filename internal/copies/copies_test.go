package copies

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/fleet"
)

func testEngine(models int) *fleet.Engine {
	e := &fleet.Engine{Slots: 64, MemoryMB: 220000, AdapterSlots: 8, LoadsPerSecond: 1.6}
	for i := range models {
		e.Models = append(e.Models, fleet.Model{
			Name: fmt.Sprint("m", i), WeightsMB: 72700, AdapterMB: 66, StoreLoadTime: 4200 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond, DiskLoadTime: 840 * time.Millisecond,
		})
	}
	return e
}

func limits() Limits { return Limits{Window: 5 * time.Second, RateFactor: 1.1, ExtraLoads: 3} }

// TestFollowsShift replays a shift of demand from m0 to m1, and guards against copies that take longer than some seconds
// to follow it.
func TestFollowsShift(t *testing.T) {
	engine := testEngine(4)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	in := Input{Engine: engine, Demand: map[string]Demand{"m0": {ArrivalsPerSec: 60, MeanHoldSec: 2, Running: 120}}}
	for i := range 4 {
		in.Endpoints = append(in.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{"m0", "m2", "m3"}})
	}
	in.Endpoints[0].Models[0] = "m1"
	now := time.Duration(0)
	play := func(until time.Duration) {
		for ; now < until; now += 150 * time.Millisecond {
			in.Now = now
			for _, o := range p.Plan(in) {
				e := &in.Endpoints[slices.IndexFunc(in.Endpoints, func(e Endpoint) bool { return e.ID == o.Endpoint })]
				e.OnDisk = append(e.OnDisk, o.Load)
				e.Busy, e.Loading = false, "" // loads take no time in this test
			}
		}
	}
	play(5 * time.Second)
	in.Demand = map[string]Demand{"m1": {ArrivalsPerSec: 60, MeanHoldSec: 2, Running: 20, Waiting: 60}}
	play(11 * time.Second)
	copies := 0
	for _, e := range in.Endpoints {
		if e.holds("m1") {
			copies++
		}
	}
	if copies < 3 {
		t.Errorf("%d copies of the busy model 6 s after the shift, want 3 of 4", copies)
	}
}

// TestLargeFleetFollows replays a shift of demand on a fleet of 40 engines, a quarter of which accept no orders because
// their state is not known. It guards against a limit on changes that does not grow with the fleet.
func TestLargeFleetFollows(t *testing.T) {
	engine := testEngine(40)
	engine.Slots, engine.LoadsPerSecond = 24, 10
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	in := Input{Engine: engine, Demand: map[string]Demand{"m0": {ArrivalsPerSec: 150, MeanHoldSec: 2, Running: 100, Waiting: 100}}}
	for i := range 40 {
		e := Endpoint{ID: fmt.Sprint("e", i), Usable: true, Busy: i%4 == 0}
		for k := range 3 {
			e.Models = append(e.Models, fmt.Sprint("m", (i*3+k)%40))
		}
		in.Endpoints = append(in.Endpoints, e)
	}
	busyUntil := make(map[string]time.Duration)
	for now := 10 * time.Second; now < 16*time.Second; now += 150 * time.Millisecond {
		in.Now = now
		for i := range in.Endpoints {
			e := &in.Endpoints[i]
			if e.ModelOrderInProgress = busyUntil[e.ID] > now; !e.ModelOrderInProgress {
				e.Loading = ""
			}
			e.Busy = e.ModelOrderInProgress || i%4 == 0
		}
		for _, o := range p.Plan(in) {
			busyUntil[o.Endpoint] = now + o.LoadTime
		}
	}
	copies := 0
	for i := range in.Endpoints {
		if in.Endpoints[i].holds("m0") {
			copies++
		}
	}
	if copies < 13 { // 300 slots of need at 24 slots per endpoint
		t.Errorf("%d copies of a model that needs 300 slots, 6 s after the shift", copies)
	}
}

// TestNoOrdersBeforeEndpointsRegister guards against loads that are ordered in the first seconds after a start for models
// that have copies, at endpoints that have not registered yet.
func TestNoOrdersBeforeEndpointsRegister(t *testing.T) {
	engine := testEngine(6)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	first := Endpoint{ID: "e0", Usable: true, Models: []string{"m0", "m1", "m2"}}
	for now := time.Duration(0); now < 2*time.Second; now += 150 * time.Millisecond {
		if got := p.Plan(Input{Now: now, Engine: engine, Endpoints: []Endpoint{first}}); len(got) > 0 {
			t.Fatalf("%v: ordered %v while other endpoints may still register", now, got)
		}
	}
	// A model that requests wait for is loaded within 0.6 s.
	in := Input{Engine: engine, Endpoints: []Endpoint{{ID: "e1", Usable: true, Models: []string{"m0", "m1"}}}, Demand: map[string]Demand{"m4": {Waiting: 3}}}
	q := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	for now := 10 * time.Second; now < 10*time.Second+600*time.Millisecond; now += 150 * time.Millisecond {
		in.Now = now
		for _, o := range q.Plan(in) {
			if o.Load == "m4" {
				return
			}
		}
	}
	t.Error("a model that requests wait for was not loaded")
}

// TestHysteresis guards against copies that are exchanged back and forth while the demand only fluctuates.
func TestHysteresis(t *testing.T) {
	engine := testEngine(3)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	in := Input{Engine: engine, Demand: map[string]Demand{}}
	for i := range 3 {
		in.Endpoints = append(in.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{"m0", "m1", "m2"}})
	}
	engine.Models = append(engine.Models, fleet.Model{Name: "m3", WeightsMB: 72700, StoreLoadTime: 4 * time.Second})
	in.Endpoints[0].Models = []string{"m0", "m1", "m3"}
	orders := 0
	for now := time.Duration(0); now < 30*time.Second; now += 150 * time.Millisecond {
		wave := 1.0
		if now/time.Second%4 < 2 {
			wave = 1.15
		}
		in.Now = now
		in.Demand = map[string]Demand{"m0": {ArrivalsPerSec: 20 * wave, MeanHoldSec: 2}, "m1": {ArrivalsPerSec: 20 / wave, MeanHoldSec: 2}, "m2": {ArrivalsPerSec: 12, MeanHoldSec: 2}, "m3": {ArrivalsPerSec: 9, MeanHoldSec: 2}}
		for _, o := range p.Plan(in) {
			orders++
			e := &in.Endpoints[slices.IndexFunc(in.Endpoints, func(e Endpoint) bool { return e.ID == o.Endpoint })]
			e.Busy, e.Loading = false, ""
		}
	}
	if orders > 3 {
		t.Errorf("%d orders at a demand that only fluctuates", orders)
	}
}

// TestInvariants draws random demand and random fleets. It checks that the last usable copy of a model is kept where all
// models fit and only gives way to a model with more need where they don't, that endpoints hold no more than their memory
// allows, that loads stay within the weight store's rate, and that an endpoint gets one order at a time.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := testEngine(rapid.IntRange(1, 9).Draw(t, "models"))
		p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
		in := Input{Engine: engine}
		for i := range rapid.IntRange(1, 6).Draw(t, "endpoints") {
			e := Endpoint{ID: fmt.Sprint("e", i), Usable: true}
			for _, m := range rapid.Permutation(engine.Models).Draw(t, "held")[:min(3, len(engine.Models))] {
				if rapid.Bool().Draw(t, "holds") {
					e.Models = append(e.Models, m.Name)
				}
			}
			in.Endpoints = append(in.Endpoints, e)
		}
		var loads []time.Duration
		busyUntil := make(map[string]time.Duration)
		for now := 10 * time.Second; now < 30*time.Second; now += 200 * time.Millisecond {
			in.Now, in.Demand = now, make(map[string]Demand)
			for _, m := range engine.Models {
				in.Demand[m.Name] = Demand{ArrivalsPerSec: float64(rapid.IntRange(0, 40).Draw(t, "rate")), MeanHoldSec: 2, Waiting: rapid.IntRange(0, 5).Draw(t, "waiting")}
			}
			usable := make(map[string]int) // copies by model, without those that are being loaded
			for i := range in.Endpoints {
				in.Endpoints[i].Busy = busyUntil[in.Endpoints[i].ID] > now
				if !in.Endpoints[i].Busy {
					in.Endpoints[i].Loading = ""
				}
				for _, m := range in.Endpoints[i].Models {
					if m != in.Endpoints[i].Loading {
						usable[m]++
					}
				}
			}
			for _, o := range p.Plan(in) {
				if busyUntil[o.Endpoint] > now {
					t.Fatalf("order %v to an endpoint that still carries out another order", o)
				}
				busyUntil[o.Endpoint] = now + o.LoadTime
				if o.Unload != "" {
					d, requested := in.Demand[o.Unload], in.Demand[o.Load].Waiting > 0 && usable[o.Load] == 0
					allFit := 3*len(in.Endpoints) >= len(engine.Models)
					if usable[o.Unload]--; usable[o.Unload] < 1 && allFit && (!requested || d.ArrivalsPerSec > 0 || d.Waiting > 0) {
						t.Fatalf("order %v unloads the last usable copy of a model with the demand %v", o, d)
					}
					if usable[o.Unload] < 1 && !allFit && d.need() >= p.need[o.Load] {
						t.Fatalf("order %v unloads the last copy of a model with the demand %v for one with less need, %f", o, d, p.need[o.Load])
					}
				}
				if o.Source == FromStore {
					loads = append(loads, now)
				}
			}
			for _, e := range in.Endpoints {
				if sum := 72700*float64(len(e.Models)) + 8*66; sum > engine.MemoryMB && len(e.Models) > 3 {
					t.Fatalf("endpoint %s holds %v", e.ID, e.Models)
				}
			}
			recent := 0
			for _, at := range loads {
				if now-at <= 5*time.Second {
					recent++
				}
			}
			if allowed := 1.6*5*1.1 + 3; float64(recent) > allowed {
				t.Fatalf("%d loads from the weight store in 5 s, %f are allowed", recent, allowed)
			}
		}
	})
}

// TestIdleModelsKeepBusyCopies replays a fleet that has memory for fewer copies than there are models, with one model that
// has nearly all requests. It guards against copies of that model being unloaded for models without demand
// (large/caprired-large, small twin of trouble-1: five such unloads before the first requests).
func TestIdleModelsKeepBusyCopies(t *testing.T) {
	engine := testEngine(12)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	in := Input{Engine: engine, Demand: map[string]Demand{"m0": {ArrivalsPerSec: 60, MeanHoldSec: 2, Running: 110}}}
	for i := range 3 {
		in.Endpoints = append(in.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{"m0", fmt.Sprint("m", 2*i+1), fmt.Sprint("m", 2*i+2)}})
	}
	for now := 10 * time.Second; now < 20*time.Second; now += 150 * time.Millisecond {
		in.Now = now
		for _, o := range p.Plan(in) {
			if o.Unload == "m0" {
				t.Fatalf("%v: %+v", now, o)
			}
		}
		for i := range in.Endpoints {
			in.Endpoints[i].Busy, in.Endpoints[i].Loading = false, ""
		}
	}
}

// TestRequestedModelFindsPlace replays requests for a model without a copy on a fleet whose memory is filled with last
// copies. It guards against a declared model that is never loaded: a model without demand has to be unloaded for it, and
// to be loaded again when it is requested.
func TestRequestedModelFindsPlace(t *testing.T) {
	engine := testEngine(10)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	in := Input{Engine: engine}
	for i := range 3 {
		in.Endpoints = append(in.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{fmt.Sprint("m", 3*i), fmt.Sprint("m", 3*i+1), fmt.Sprint("m", 3*i+2)}})
	}
	isHeld := func(m string) bool {
		return slices.ContainsFunc(in.Endpoints, func(e Endpoint) bool { return e.holds(m) })
	}
	asked, now := "m9", 10*time.Second
	for range 2 {
		start := now
		for ; !isHeld(asked); now += 150 * time.Millisecond {
			if now-start > 2*time.Second {
				t.Fatalf("model %s is not loaded", asked)
			}
			in.Now, in.Demand = now, map[string]Demand{"m0": {ArrivalsPerSec: 5, MeanHoldSec: 2}, asked: {ArrivalsPerSec: 1, MeanHoldSec: 2, Waiting: 2}}
			for _, o := range p.Plan(in) {
				if o.Unload == "m0" {
					t.Fatalf("a model with demand was unloaded: %+v", o)
				}
			}
			for i := range in.Endpoints {
				in.Endpoints[i].Busy, in.Endpoints[i].Loading = false, ""
			}
		}
		now += 30 * time.Second // until the smoothed need for the model is negligible
		for i := range 9 {
			if m := fmt.Sprint("m", i); !isHeld(m) {
				asked = m
			}
		}
	}
}

// TestEvict guards against the choice of an adapter that requests still use: the engine would unload it only after they
// have ended.
func TestEvict(t *testing.T) {
	a, b, c := Adapter{"m", "a"}, Adapter{"m", "b"}, Adapter{"n", "a"}
	used := map[Adapter]time.Duration{a: 1, b: 2, c: 3}
	if v, ok := AdapterToEvict(used, map[Adapter]bool{a: true}); !ok || v != b {
		t.Errorf("adapter to evict: %v, %v", v, ok)
	}
	if _, ok := AdapterToEvict(used, map[Adapter]bool{a: true, b: true, c: true}); ok {
		t.Error("an adapter that requests use is to be evicted")
	}
}

// TestLoadHistoryAfterTakeover replays a shift of demand right after the loss of the holder (caprired quiet-1 --seed 4). A
// busy model had one copy for five seconds, because the new holder counted half of the allowed loads as made. The loads of
// the former holder must count exactly if they are known.
func TestLoadHistoryAfterTakeover(t *testing.T) {
	engine := testEngine(8)
	loadsOrdered := func(history []time.Duration, known bool) int {
		p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
		if known {
			p.SetLoadHistory(0, history)
		}
		in := Input{Now: time.Second, Engine: engine, Demand: map[string]Demand{"m0": {ArrivalsPerSec: 60, MeanHoldSec: 2, Running: 64, Waiting: 50}}}
		for i := range 8 {
			e := Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{"m0", "m1", "m2"}}
			if i > 0 {
				e.Models = []string{fmt.Sprint("m", 1+i%7), fmt.Sprint("m", 1+(i+1)%7), fmt.Sprint("m", 1+(i+2)%7)}
			}
			in.Endpoints = append(in.Endpoints, e)
		}
		loads := 0
		for range 10 {
			in.Now += 150 * time.Millisecond
			for _, o := range p.Plan(in) {
				if o.Source == FromStore {
					loads++
				}
				e := &in.Endpoints[slices.IndexFunc(in.Endpoints, func(e Endpoint) bool { return e.ID == o.Endpoint })]
				e.Busy, e.Loading = false, ""
			}
		}
		return loads
	}
	allowed := int(limits().RateFactor*engine.LoadsPerSecond*limits().Window.Seconds() + limits().ExtraLoads)
	if n := loadsOrdered(nil, true); n < 3 {
		t.Errorf("%d copies loaded, want at least 3 after no loads of the former holder", n)
	}
	for before := range allowed + 1 {
		ages := make([]time.Duration, before)
		if n := loadsOrdered(ages, true); before+n > allowed {
			t.Errorf("%d loads after %d of the former holder, %d are allowed", n, before, allowed)
		}
	}
	if unknown, known := loadsOrdered(nil, false), loadsOrdered(nil, true); unknown >= known {
		t.Errorf("%d loads without the former holder's history, %d with it", unknown, known)
	}
}

// TestLastCopiesAreRelocated replays a constant demand in which one model takes most of the requests, and the endpoints
// with free slots hold nothing but last copies of rarely used models. It guards against a busy model with too few copies:
// in the emulator's large fleet, 7 copies remained of a model that needed 10, while a third of the slots was free.
func TestLastCopiesAreRelocated(t *testing.T) {
	engine := testEngine(6)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	p.SetLoadHistory(0, nil)
	in := Input{Engine: engine, Demand: map[string]Demand{"m0": {ArrivalsPerSec: 100, MeanHoldSec: 2, Running: 128, Waiting: 40}}}
	for i, held := range [][]string{{"m0", "m1", "m2"}, {"m0", "m1", "m2"}, {"m3", "m4", "m5"}} {
		in.Endpoints = append(in.Endpoints, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: held})
	}
	for now := time.Second; now < 15*time.Second; now += 150 * time.Millisecond {
		in.Now = now
		for _, o := range p.Plan(in) {
			e := &in.Endpoints[slices.IndexFunc(in.Endpoints, func(e Endpoint) bool { return e.ID == o.Endpoint })]
			e.Busy, e.Loading = false, ""
		}
	}
	if !in.Endpoints[2].holds("m0") {
		t.Errorf("the endpoint with free slots holds %v, want m0 among them", in.Endpoints[2].Models)
	}
	for i := range 6 {
		usable := slices.ContainsFunc(in.Endpoints, func(e Endpoint) bool { return e.Usable && e.holds(fmt.Sprint("m", i)) })
		if !usable {
			t.Errorf("m%d has no copy left", i)
		}
	}
}

// busyModelWithLastCopies returns endpoints with two models each: m0, which was busy before, on all of them, and the last
// copy of another model.
func busyModelWithLastCopies(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{"m0", fmt.Sprint("m", i+1)}})
	}
	return out
}

// countOrders calls Plan at intervals for a length of time, and returns how many copies of a model were ordered.
func countOrders(p *Planner, in Input, model string, length time.Duration) (copies int) {
	for in.Now = 10 * time.Second; in.Now < 10*time.Second+length; in.Now += 150 * time.Millisecond {
		for _, o := range p.Plan(in) {
			if o.Load == model {
				copies++
			}
		}
	}
	return copies
}

// TestHotModelFirst replays a shift of demand to one model, whose overloaded endpoints also hold other models. It guards
// against loads that help few requests but occupy endpoints for seconds, while the model with the most waiting requests
// gets one copy a round (further/jyltyr-almaty, trouble-3, second 26: two copies in seven seconds).
func TestHotModelFirst(t *testing.T) {
	engine := testEngine(15)
	engine.Slots = 96
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	in := Input{Engine: engine, Endpoints: busyModelWithLastCopies(12)}
	in.Demand = map[string]Demand{
		"m0": {ArrivalsPerSec: 20, MeanHoldSec: 2}, "m1": {ArrivalsPerSec: 150, MeanHoldSec: 2, Waiting: 100}, "m2": {ArrivalsPerSec: 15, MeanHoldSec: 2}, "m3": {ArrivalsPerSec: 12, MeanHoldSec: 2},
	}
	if hot := countOrders(p, in, "m1", 450*time.Millisecond); hot < 4 {
		t.Errorf("%d copies of the busiest model ordered in three rounds, want at least 4", hot)
	}
}

// TestAbsentModelBeforeOthers replays the first rounds of a new holder, with many requests for a model without a copy and
// another model whose demand exceeds its copies. It guards against the use of all endpoints for the second model during
// the time in which the first may still appear (further/jyltyr-almaty, trouble-3, second 27).
func TestAbsentModelBeforeOthers(t *testing.T) {
	engine := testEngine(15)
	engine.Slots = 96
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	p.SetLoadHistory(0, nil)
	in := Input{Engine: engine, Endpoints: busyModelWithLastCopies(12)}
	in.Demand = map[string]Demand{"m0": {ArrivalsPerSec: 20, MeanHoldSec: 2}, "m1": {ArrivalsPerSec: 240, MeanHoldSec: 2}, "m13": {ArrivalsPerSec: 200, MeanHoldSec: 2, Waiting: 250}}
	if absent := countOrders(p, in, "m13", 600*time.Millisecond); absent < 3 {
		t.Errorf("%d copies ordered of the absent model that most requests wait for, want at least 3", absent)
	}
}

// playRounds calls Plan at intervals from one time to another, and returns all orders. An endpoint is busy for the time of
// its load, and then has the weights of the model on its disk.
func playRounds(p *Planner, in *Input, from, to time.Duration) []Order {
	var out []Order
	busyUntil := make(map[string]time.Duration)
	for now := from; now < to; now += 150 * time.Millisecond {
		in.Now = now
		for i := range in.Endpoints {
			e := &in.Endpoints[i]
			if e.Busy = busyUntil[e.ID] > now; !e.Busy {
				e.Loading = ""
			}
			e.ModelOrderInProgress = e.Busy
		}
		for _, o := range p.Plan(*in) {
			busyUntil[o.Endpoint] = now + o.LoadTime
			e := &in.Endpoints[slices.IndexFunc(in.Endpoints, func(e Endpoint) bool { return e.ID == o.Endpoint })]
			e.OnDisk = append(e.OnDisk, o.Load)
			out = append(out, o)
		}
	}
	return out
}

// scarceFleet returns an engine with more models than the fleet has memory for, and five endpoints. Each holds one of the
// two busiest models and the last copies of two others.
func scarceFleet() (*fleet.Engine, []Endpoint) {
	engine := testEngine(20)
	engine.LoadsPerSecond = 4
	var out []Endpoint
	for i := range 5 {
		e := Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{fmt.Sprint("m", 2+2*i), fmt.Sprint("m", 3+2*i)}}
		if i < 3 {
			e.Models = append(e.Models, "m0")
		} else {
			e.Models = append(e.Models, "m1")
		}
		out = append(out, e)
	}
	return engine, out
}

// TestStartKeepsCopies replays the seconds before the first requests on a fleet with memory for fewer copies than there
// are models. It guards against copies of formerly busy models being unloaded for models without demand
// (large/caprired-large, small twin: ten second copies of the three busiest models in the ten seconds before the first
// requests).
func TestStartKeepsCopies(t *testing.T) {
	engine, endpoints := scarceFleet()
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	p.SetLoadHistory(0, nil)
	if got := playRounds(p, &Input{Engine: engine, Endpoints: endpoints}, 0, 10*time.Second); len(got) > 0 {
		t.Errorf("ordered without any demand: %+v", got)
	}
}

// TestBusyBeforeRare replays a fleet with memory for fewer copies than there are models, on which two models have most of
// the requests and single requests arrive for many others. It guards against copies of a busy model being unloaded for the
// few requests of each rarely used model (large/caprired-large, small twin, trouble-1: all 56 loads were of that kind).
func TestBusyBeforeRare(t *testing.T) {
	engine, endpoints := scarceFleet()
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	p.SetLoadHistory(0, nil)
	in := &Input{Engine: engine, Endpoints: endpoints, Demand: map[string]Demand{
		"m0": {ArrivalsPerSec: 70, MeanHoldSec: 2, Running: 140, Waiting: 40}, "m1": {ArrivalsPerSec: 70, MeanHoldSec: 2, Running: 140, Waiting: 40},
	}}
	for i := range 8 {
		in.Demand[fmt.Sprint("m", 12+i)] = Demand{ArrivalsPerSec: 0.5, MeanHoldSec: 2, Waiting: 4}
	}
	playRounds(p, in, 10*time.Second, 20*time.Second)
	copies := make(map[string]int)
	for i := range in.Endpoints {
		for _, m := range in.Endpoints[i].Models {
			copies[m]++
		}
	}
	if copies["m0"] < 3 || copies["m1"] < 2 {
		t.Errorf("copies after ten seconds: %v, want at least 3 of m0 and 2 of m1 as before", copies)
	}
	rare := 0
	for i := range 8 {
		rare += copies[fmt.Sprint("m", 12+i)]
	}
	if rare < 4 {
		t.Errorf("%d of 8 rarely used models with waiting requests have a copy, want at least 4: models without demand hold memory", rare)
	}
}

// TestLoadingCopyIsNotUsable replays a fleet with memory for fewer copies than there are models, in which the second copy
// of a busy model is still being loaded when a request arrives for a model without a copy. It guards against the unload of
// the first copy, after which no endpoint serves the busy model until the load ends (found by TestInvariants, seed
// 16216084153974314017).
func TestLoadingCopyIsNotUsable(t *testing.T) {
	engine := testEngine(8)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	p.SetLoadHistory(0, nil)
	in := Input{Engine: engine, Demand: map[string]Demand{
		"m1": {ArrivalsPerSec: 20, MeanHoldSec: 2}, "m2": {ArrivalsPerSec: 12, MeanHoldSec: 2}, "m6": {ArrivalsPerSec: 20, MeanHoldSec: 2}, "m5": {ArrivalsPerSec: 1, MeanHoldSec: 2, Waiting: 1},
	}}
	in.Endpoints = []Endpoint{
		{ID: "e0", Usable: true, Busy: true, ModelOrderInProgress: true, Models: []string{"m0", "m2"}, Loading: "m2"},
		{ID: "e1", Usable: true, Models: []string{"m6", "m1", "m2"}},
	}
	for now := 10 * time.Second; now < 11*time.Second; now += 150 * time.Millisecond {
		in.Now = now
		for _, o := range p.Plan(in) {
			if o.Unload == "m2" {
				t.Fatalf("%v: %+v", now, o)
			}
		}
	}
}
