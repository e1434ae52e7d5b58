package copies

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
)

// pairFleet returns an engine with room for two models and 12 endpoints. Each holds one busy model and the only copy of a
// rarely used one: m0 at the first endpoints, m1 at the others.
func pairFleet(copiesOfFirst int) (*fleet.Engine, []Endpoint) {
	engine := &fleet.Engine{Slots: 96, MemoryMB: 83000, AdapterSlots: 8, LoadsPerSecond: 1.5}
	for i := range 14 {
		engine.Models = append(engine.Models, fleet.Model{Name: fmt.Sprint("m", i), WeightsMB: 34300, AdapterMB: 40,
			StoreLoadTime: 5400 * time.Millisecond, MemoryLoadTime: 780 * time.Millisecond, DiskLoadTime: 1100 * time.Millisecond})
	}
	var out []Endpoint
	for i := range 12 {
		busy := "m0"
		if i >= copiesOfFirst {
			busy = "m1"
		}
		out = append(out, Endpoint{ID: fmt.Sprint("e", i), Usable: true, Models: []string{busy, fmt.Sprint("m", i+2)}})
	}
	return engine, out
}

// TestDemandThatFallsFreesCopies replays a shift of demand in which the requests for m0 become a quarter within a second
// and those for m1 eight times as many. It guards against endpoints that stay with a model for seconds after its demand
// has fallen (further/jyltyr-almaty, trouble-1 --seed 1, seconds 25 and 28: the eighth and the ninth copy were loaded of
// the model whose requests became fewer, while 20 requests waited for another one).
func TestDemandThatFallsFreesCopies(t *testing.T) {
	engine, endpoints := pairFleet(10)
	p := New(0, limits(), DefaultTuning(), engine.LoadsPerSecond)
	p.SetLoadHistory(0, nil)
	in := &Input{Engine: engine, Endpoints: endpoints, Demand: make(map[string]Demand)}
	const shift = 14 * time.Second
	orders := playDemand(p, in, 10*time.Second, shift+2*time.Second, func(now time.Duration) {
		falling, rising := 45.0, 5.0
		if now >= shift {
			falling, rising = 12, 38
		}
		in.Demand["m0"] = Demand{ArrivalsPerSec: falling, MeanHoldSec: 2, SlotsPerRequest: 6}
		in.Demand["m1"] = Demand{ArrivalsPerSec: rising, MeanHoldSec: 2, SlotsPerRequest: 6}
	})
	copies := 0
	for _, o := range orders {
		if o.Load == "m1" && o.Unload == "m0" {
			copies++
		}
	}
	if copies < 5 { // m1 needs 456 slots of 96 at each endpoint, and has two copies
		t.Errorf("%d copies ordered within 2 s of the shift, want at least 5: %+v", copies, orders)
	}
}

// timedOrder is an order and the time at which it was made.
type timedOrder struct {
	at time.Duration
	Order
}

// playDemand is like playRounds with a demand that changes: update sets it before each round.
func playDemand(p *Planner, in *Input, from, to time.Duration, update func(now time.Duration)) []timedOrder {
	var out []timedOrder
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
		update(now)
		for _, o := range p.Plan(*in) {
			busyUntil[o.Endpoint] = now + o.LoadTime
			e := &in.Endpoints[slices.IndexFunc(in.Endpoints, func(e Endpoint) bool { return e.ID == o.Endpoint })]
			e.OnDisk = append(e.OnDisk, o.Load)
			out = append(out, timedOrder{now, o})
		}
	}
	return out
}
