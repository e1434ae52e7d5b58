package placement

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/wire"
)

const (
	modelMemory   = 10
	adapterMemory = 4
)

// modelEngine is an engine that executes orders in the order of their arrival and remembers their ids.
type modelEngine struct {
	incarnation int
	sequence    uint64
	fencing     bool
	maxFence    uint64
	residents   map[string]engine.Resident
	results     map[uint64]string
	loading     map[uint64]string // names by order id
	over        string
}

func (e *modelEngine) restart() {
	e.incarnation++
	e.sequence, e.maxFence = 0, 0
	e.residents, e.results = make(map[string]engine.Resident), make(map[uint64]string)
	e.loading = make(map[uint64]string)
}

func (e *modelEngine) order(in wire.Intent, fence uint64) {
	if e.fencing && fence < e.maxFence || e.results[in.ID] != "" {
		return
	}
	e.maxFence = max(e.maxFence, fence)
	e.sequence++
	if in.Action == wire.ActionUnload {
		delete(e.residents, in.Name)
		e.results[in.ID] = "done"
		return
	}
	if e.residents[in.Name].Name == "" {
		e.residents[in.Name] = engine.Resident{Name: in.Name, Adapter: in.Adapter, Bytes: in.Bytes, State: "loading"}
	}
	e.results[in.ID], e.loading[in.ID] = "loading", in.Name
	free := Capacity{modelMemory, adapterMemory}
	for _, r := range e.residents {
		free.take(r.Adapter, r.Bytes)
	}
	if free.Models < 0 || free.Adapters < 0 {
		e.over = fmt.Sprintf("order %+v overcommits: %v", in, e.residents)
	}
}

// progress ends all loads.
func (e *modelEngine) progress(fail bool) {
	for id := range e.loading {
		e.end(id, fail)
	}
}

// end ends the load of an order.
func (e *modelEngine) end(id uint64, fail bool) {
	e.sequence++
	name := e.loading[id]
	if r, ok := e.residents[name]; fail || !ok {
		delete(e.residents, name)
		e.results[id] = "failed"
	} else {
		r.State = "ready"
		e.residents[name], e.results[id] = r, "done"
	}
	delete(e.loading, id)
}

func (e *modelEngine) report() engine.Report {
	rep := engine.Report{Incarnation: fmt.Sprint(e.incarnation), Sequence: e.sequence}
	for _, r := range e.residents {
		rep.Residents = append(rep.Residents, r)
	}
	for id, state := range e.results {
		if state != "loading" {
			rep.Orders = append(rep.Orders, engine.OrderResult{ID: id, State: state})
		}
	}
	return rep
}

// letter is a copy of an order on its way.
type letter struct {
	in          wire.Intent
	fence       uint64
	sent        time.Time
	incarnation int
}

// cell is one run: a store, holders of which only the last may write, the network and one engine.
type cell struct {
	t       *rapid.T
	now     time.Time
	store   []byte
	p       *wire.Placement
	l       *Ledger
	engine  *modelEngine
	network []letter
	reports []engine.Report // of the present incarnation, in order of creation
	stats   map[string]int
}

func (c *cell) save() { c.store, _ = json.Marshal(c.p) }

// takeOver starts a new holder. The holder before may still send, once, every order that it has stored.
func (c *cell) takeOver() {
	old := *c.p
	for _, in := range old.Endpoints[0].Intents {
		c.post(in, old.Epoch)
	}
	c.p = &wire.Placement{}
	if err := json.Unmarshal(c.store, c.p); err != nil {
		c.t.Fatal(err)
	}
	c.l = NewLedger(c.p, c.now)
	c.l.Takeover(old.Epoch + 1)
	c.l.Declare("e", Capacity{modelMemory, adapterMemory})
	c.save()
}

func (c *cell) post(in wire.Intent, fence uint64) {
	c.network = append(c.network, letter{in, fence, c.now, c.engine.incarnation})
}

func (c *cell) send() {
	for _, in := range c.l.Endpoint("e").Intents {
		if rapid.Bool().Draw(c.t, "send") {
			if in.Action == wire.ActionLoad {
				c.l.Sent("e", in.Name, c.now)
			}
			c.post(in, c.p.Epoch)
		}
	}
}

// deliver hands one copy of an order to the engine and keeps or removes it from the network, in any order.
func (c *cell) deliver() {
	if len(c.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.network)-1).Draw(c.t, "letter")
	m := c.network[i]
	if rapid.IntRange(0, 3).Draw(c.t, "duplicate") > 0 {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if m.incarnation != c.engine.incarnation && c.now.Sub(m.sent) > LateBound {
		return
	}
	if rapid.IntRange(0, 4).Draw(c.t, "lost") > 0 {
		c.engine.order(m.in, m.fence)
		c.stats["delivered"]++
	}
}

func (c *cell) observe() {
	c.reports = append(c.reports, c.engine.report())
	n := len(c.reports)
	lag := rapid.IntRange(0, min(3, n-1)).Draw(c.t, "lag")
	if c.l.Observe("e", c.reports[n-1-lag], c.now) {
		c.save()
	}
}

func (c *cell) plan() {
	name := fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(c.t, "model"))
	adapter := rapid.IntRange(0, 3).Draw(c.t, "adapter") == 0
	r := wire.Resident{Name: name, Bytes: int64(rapid.IntRange(2, 5).Draw(c.t, "bytes"))}
	if adapter {
		r = wire.Resident{Name: "a" + name, Adapter: true, Bytes: 2}
	}
	for _, r := range c.l.Endpoint("e").Residents {
		if rapid.IntRange(0, 2).Draw(c.t, "unload") > 0 {
			continue
		}
		if _, err := c.l.Unload("e", r.Name, c.now); err == nil {
			c.stats["unload"]++
		}
	}
	if _, err := c.l.Load("e", r, "", c.now); err == nil {
		c.stats["load"]++
	}
	c.save()
}

func (c *cell) step() {
	switch k := rapid.IntRange(0, 19).Draw(c.t, "step"); {
	case k < 4:
		c.plan()
	case k < 7:
		c.send()
	case k < 11:
		c.deliver()
	case k < 14:
		c.observe()
	case k < 17:
		c.engine.progress(k == 14)
	case k == 17:
		c.takeOver()
		c.stats["takeover"]++
	case k == 18:
		c.now = c.now.Add(time.Duration(rapid.IntRange(5, 60).Draw(c.t, "seconds")) * time.Second)
	case rapid.IntRange(0, 4).Draw(c.t, "restart") == 0:
		c.engine.restart()
		c.reports = nil
		c.stats["restart"]++
	}
}

// TestLedgerNeverOvercommits guards against a charge that is dropped while its order may still be executed.
func TestLedgerNeverOvercommits(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			stats := make(map[string]int)
			rapid.Check(t, func(t *rapid.T) {
				c := &cell{t: t, now: time.Unix(1000, 0), engine: &modelEngine{fencing: fencing}, stats: stats}
				c.engine.restart()
				c.p = &wire.Placement{Endpoints: []wire.EndpointPlacement{{Endpoint: "e"}}}
				c.save()
				c.takeOver()
				for range rapid.IntRange(100, 400).Draw(t, "steps") {
					c.step()
					if c.engine.over != "" {
						t.Fatalf("%s; account %+v", c.engine.over, c.p.Endpoints[0])
					}
					if f := c.l.Free("e"); f.Models < 0 || f.Adapters < 0 {
						t.Fatalf("charge exceeds the capacity: %+v", c.p.Endpoints[0])
					}
				}
			})
			t.Log(stats)
			for _, k := range []string{"load", "unload", "takeover", "restart", "delivered"} {
				if stats[k] == 0 {
					t.Errorf("no run had a %s", k)
				}
			}
		})
	}
}

// TestFailedLoadCharged guards against a failed load that is dropped while a copy of its order can still arrive at a
// restarted engine, which may be exactly at LateBound.
func TestFailedLoadCharged(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(&wire.Placement{}, now)
	l.Declare("e", Capacity{Models: 10})
	l.Observe("e", engine.Report{Incarnation: "1"}, now)
	in, err := l.Load("e", wire.Resident{Name: "m", Bytes: 6}, "", now)
	if err != nil {
		t.Fatal(err)
	}
	rep := engine.Report{Incarnation: "1", Sequence: 1, Orders: []engine.OrderResult{{ID: in.ID, State: "failed"}}}
	for _, c := range []struct {
		after time.Duration
		free  int64
	}{{0, 4}, {LateBound, 4}, {LateBound + 1, 10}} {
		if l.Observe("e", rep, now.Add(c.after)); l.Free("e").Models != c.free {
			t.Errorf("%d bytes free %s after the order, want %d", l.Free("e").Models, c.after, c.free)
		}
	}
}
