package slopes

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/wire"
)

// planning measures a round of a settled cell that has nothing to do.
func planning(s size) func(*testing.B) {
	return func(b *testing.B) {
		c := newCell(s)
		for range 2000 {
			if c.round(); c.finish() == 0 {
				break
			}
		}
		b.ReportAllocs()
		for b.Loop() {
			c.round()
		}
	}
}

// cell feeds a planner with reports of endpoints that execute every order at once.
type cell struct {
	snap    *config.Snapshot
	ledger  *placement.Ledger
	state   wire.Placement
	planner placement.Planner
	now     time.Time
	alive   map[string]bool
	seq     uint64
}

func newCell(s size) *cell {
	const gib = 1 << 30
	d := config.Declarations{WeightStore: config.WeightStore{LoadsPerSecond: 400, ConcurrentLoads: 200, AdaptersInFlight: 50}}
	for i := range s.models {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprint("m", i), Memory: gib, MinReplicas: 2})
	}
	c := &cell{alive: make(map[string]bool), now: time.Unix(1_000_000, 0)}
	c.ledger = placement.NewLedger(&c.state, c.now)
	for i := range s.endpoints {
		e := config.Endpoint{Name: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Memory: config.Bytes((s.models*copies/s.endpoints + 2) * gib), Slots: 64}
		d.Endpoints = append(d.Endpoints, e)
		c.alive[e.Name] = true
		c.ledger.Declare(e.Name, placement.Capacity{Models: int64(e.Memory)})
		c.ledger.Observe(e.Name, engine.Report{Incarnation: "i"}, c.now)
	}
	c.snap = config.NewSnapshot(1, d)
	return c
}

func (c *cell) round() {
	c.now = c.now.Add(200 * time.Millisecond)
	c.planner.Round(placement.Input{Now: c.now, Snapshot: c.snap, Ledger: c.ledger, Alive: c.alive, Draining: map[string]bool{}})
}

// finish reports every order as done and returns how many there were.
func (c *cell) finish() int {
	orders := 0
	for i := range c.state.Endpoints {
		ep := &c.state.Endpoints[i]
		if len(ep.Intents) == 0 {
			continue
		}
		c.seq++
		rep := engine.Report{Incarnation: "i", Sequence: c.seq}
		gone := make(map[string]bool)
		for _, in := range ep.Intents {
			orders++
			rep.Orders = append(rep.Orders, engine.OrderResult{ID: in.ID, State: "done"})
			gone[in.Name] = in.Action == wire.ActionUnload
			if in.Action == wire.ActionLoad {
				rep.Residents = append(rep.Residents, engine.Resident{Name: in.Name, Bytes: in.Bytes, State: "ready"})
			}
		}
		for _, r := range ep.Residents {
			if _, ordered := gone[r.Name]; !ordered {
				rep.Residents = append(rep.Residents, engine.Resident{Name: r.Name, Bytes: r.Bytes, State: "ready"})
			}
		}
		c.ledger.Observe(ep.Endpoint, rep, c.now)
	}
	return orders
}
