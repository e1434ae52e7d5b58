package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// fleet runs planner, sender and ledger against engines that load in a fixed time.
type fleet struct {
	now     time.Time
	snap    *config.Snapshot
	l       *Ledger
	p       Planner
	s       Sender
	engines map[string]*modelEngine
	started map[uint64]time.Time // loads that have not ended, by intent
	sent    []time.Time          // first sendings of model loads
	seen    map[uint64]bool
	dead    map[string]bool
	flying  int   // most model loads in flight at any time
	cells   Input // what it says of other cells goes into each round
}

const loadTime = 2 * time.Second

func newFleet(d config.Declarations) *fleet {
	f := &fleet{now: time.Unix(1e6, 0), snap: config.NewSnapshot(1, d), engines: make(map[string]*modelEngine),
		started: make(map[uint64]time.Time), seen: make(map[uint64]bool), dead: make(map[string]bool)}
	f.l = NewLedger(&wire.Placement{Epoch: 1}, f.now)
	for i := range f.snap.Endpoints {
		e := &f.snap.Endpoints[i]
		f.l.Declare(e.Name, Capacity{int64(e.Memory), int64(e.AdapterMemory)})
		f.engines[e.Name] = &modelEngine{}
		f.engines[e.Name].restart()
	}
	return f
}

func (f *fleet) round(demand map[string]wire.ModelDemand) {
	f.now = f.now.Add(250 * time.Millisecond)
	alive := make(map[string]bool)
	for _, e := range f.snap.Endpoints {
		if g := f.engines[e.Name]; !f.dead[e.Name] {
			for id, at := range f.started {
				if g.loading[id] != "" && f.now.Sub(at) >= loadTime {
					g.end(id, false)
					delete(f.started, id)
				}
			}
			alive[e.Name] = true
			f.l.Observe(e.Name, g.report(), f.now)
		}
	}
	in := f.cells
	in.Now, in.Snapshot, in.Ledger, in.Alive, in.Demand = f.now, f.snap, f.l, alive, demand
	f.p.Round(in)
	for _, o := range f.s.Due(f.now, f.snap, f.l, alive) {
		if o.Intent.Action == wire.ActionLoad && !f.seen[o.Intent.ID] {
			f.seen[o.Intent.ID], f.started[o.Intent.ID] = true, f.now
			if !o.Intent.Adapter {
				f.sent = append(f.sent, f.now)
			}
		}
		f.engines[o.Endpoint].order(o.Intent, 1)
	}
	flying := 0
	for _, g := range f.engines {
		for _, name := range g.loading {
			if f.snap.Model(name) != nil {
				flying++
			}
		}
	}
	f.flying = max(f.flying, flying)
}

func (f *fleet) run(d time.Duration, demand map[string]wire.ModelDemand) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.round(demand)
	}
}

// holders returns the live endpoints that hold a ready copy and are not leaving.
func (f *fleet) holders(name string) []string {
	var out []string
	for _, e := range f.snap.Endpoints {
		g := f.engines[e.Name]
		a := f.snap.Adapter(name)
		if f.dead[e.Name] || f.l.Endpoint(e.Name).Leaving || g.residents[name].State != "ready" ||
			a != nil && g.residents[a.Model].State != "ready" {
			continue
		}
		out = append(out, e.Name)
	}
	return out
}

// missing returns the declared names without a holder.
func (f *fleet) missing() []string {
	var out []string
	for _, m := range f.snap.Models {
		if len(f.holders(m.Name)) == 0 {
			out = append(out, m.Name)
		}
	}
	for _, a := range f.snap.Adapters {
		if len(f.holders(a.Name)) == 0 {
			out = append(out, a.Name)
		}
	}
	return out
}

func (f *fleet) overcommitted() string {
	for name, g := range f.engines {
		e := f.snap.Endpoint(name)
		free := Capacity{int64(e.Memory), int64(e.AdapterMemory)}
		for _, r := range g.residents {
			free.take(r.Adapter, r.Bytes)
		}
		if free.Models < 0 || free.Adapters < 0 {
			return name
		}
	}
	return ""
}

// declarations returns a fleet in three availability zones. Each endpoint has memory for room models.
func declarations(endpoints, models, adapters, room int) config.Declarations {
	var d config.Declarations
	d.WeightStore = config.WeightStore{LoadsPerSecond: 2, ConcurrentLoads: 5, AdaptersInFlight: 40}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, config.Endpoint{Name: fmt.Sprintf("e%02d", i), Host: fmt.Sprintf("h%d", i),
			Zone: fmt.Sprintf("z%d", i%3), Memory: config.Bytes(room * 10), AdapterMemory: config.Bytes(2 + 4*adapters/endpoints), Slots: 16})
	}
	for i := range models {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprintf("m%03d", i), Memory: 10, MinReplicas: 1})
	}
	for i := range adapters {
		d.Adapters = append(d.Adapters, config.Adapter{Name: fmt.Sprintf("a%03d", i), Model: d.Models[i%models].Name, Memory: 1})
	}
	return d
}

func zipf(models int, scale float64) map[string]wire.ModelDemand {
	out := make(map[string]wire.ModelDemand)
	for i := range models {
		out[fmt.Sprintf("m%03d", i)] = wire.ModelDemand{Tokens: uint64(scale / float64(i+1))}
	}
	return out
}

// TestEveryModelPlaced guards against models left out and against a budget that is exceeded, for fleets of many shapes.
func TestEveryModelPlaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := rapid.IntRange(3, 8).Draw(t, "endpoints")
		room := rapid.IntRange(2, 4).Draw(t, "room")
		d := declarations(endpoints, rapid.IntRange(1, endpoints*room/2).Draw(t, "models"), rapid.IntRange(0, 12).Draw(t, "adapters"), room)
		f := newFleet(d)
		demand := zipf(len(d.Models), float64(rapid.IntRange(0, 5000).Draw(t, "demand")))
		for range 400 {
			f.round(demand)
			if e := f.overcommitted(); e != "" {
				t.Fatalf("%s is overcommitted", e)
			}
		}
		if m := f.missing(); len(m) > 0 {
			t.Fatalf("not placed: %v", m)
		}
		for _, m := range d.Models {
			if f.zones(m.Name) < 2 && 3*len(d.Models) <= endpoints*room {
				t.Fatalf("%s is in one availability zone although there is memory for three copies", m.Name)
			}
		}
		f.checkBudget(t)
	})
}

func (f *fleet) zones(model string) int {
	zones := make(map[string]bool)
	for _, h := range f.holders(model) {
		zones[f.snap.Endpoint(h).Zone] = true
	}
	return len(zones)
}

func (f *fleet) checkBudget(t interface{ Fatalf(string, ...any) }) {
	w := f.snap.WeightStore
	if f.flying > w.ConcurrentLoads {
		t.Fatalf("%d loads in flight, declared %d", f.flying, w.ConcurrentLoads)
	}
	for i, at := range f.sent {
		j, _ := slices.BinarySearchFunc(f.sent[i:], at.Add(10*time.Second), time.Time.Compare)
		if limit := int(10*w.LoadsPerSecond) + 1; j > limit {
			t.Fatalf("%d loads sent within 10 s, declared %v/s", j, w.LoadsPerSecond)
		}
	}
}

// TestMaintenance guards against work on a host when its window opens and against models that it leaves unreachable.
func TestMaintenance(t *testing.T) {
	d := declarations(6, 12, 8, 4)
	start := time.Unix(1e6, 0).Add(20 * time.Minute)
	d.Maintenance = []config.Maintenance{{Name: "w", Hosts: []string{"h0", "h3"}, Start: start, End: start.Add(time.Hour), Drain: 3 * time.Minute}}
	f := newFleet(d)
	f.run(2*time.Minute, zipf(12, 1000))
	for f.now.Before(start) {
		f.round(zipf(12, 1000))
		if m := f.missing(); len(m) > 0 {
			t.Fatalf("unreachable %s before the window: %v", start.Sub(f.now), m)
		}
		if leaving := f.l.Endpoint("e00").Leaving; leaving != !f.now.Before(start.Add(-3*time.Minute)) {
			t.Fatalf("leaving is %v %s before the window", leaving, start.Sub(f.now))
		}
	}
	f.run(time.Hour+time.Second, nil)
	if f.l.Endpoint("e00").Leaving {
		t.Fatal("still leaving after the window")
	}
	f.checkBudget(t)
}

// TestZoneLossAndRestart guards against models that stay unreachable after a loss, and against loads of further copies
// that are sent before those of unreachable models.
func TestZoneLossAndRestart(t *testing.T) {
	f := newFleet(declarations(9, 18, 20, 5))
	f.run(3*time.Minute, zipf(18, 1000))
	for _, e := range []string{"e00", "e03", "e06"} {
		f.dead[e] = true
	}
	f.run(3*time.Minute, zipf(18, 1000))
	if m := f.missing(); len(m) > 0 {
		t.Fatalf("unreachable after the loss of an availability zone: %v", m)
	}
	for _, g := range f.engines {
		g.restart()
	}
	clear(f.started)
	f.sent = nil
	f.run(18*time.Second, nil)
	var lost int
	for _, m := range f.snap.Models {
		if len(f.holders(m.Name)) == 0 {
			lost++
		}
	}
	// 18 models at 2 loads/s take 9 s and the last load 2 s more.
	if lost > 0 {
		t.Fatalf("%d models unreachable 18 s after a restart of all endpoints", lost)
	}
	if e := f.overcommitted(); e != "" {
		t.Fatalf("%s is overcommitted", e)
	}
}

// TestDemandShift guards against copies that don't follow demand and against moves that never end.
func TestDemandShift(t *testing.T) {
	f := newFleet(declarations(9, 18, 0, 6))
	f.run(5*time.Minute, nil)
	before := len(f.holders("m017"))
	hot := map[string]wire.ModelDemand{"m017": {Tokens: 5000}}
	moves := len(f.sent)
	f.run(5*time.Minute, hot)
	if after := len(f.holders("m017")); after <= before {
		t.Fatalf("%d copies before the shift and %d after it", before, after)
	}
	t.Logf("copies %d -> %d with %d loads", before, len(f.holders("m017")), len(f.sent)-moves)
	moves = len(f.sent)
	f.run(30*time.Minute, hot)
	if n := len(f.sent) - moves; n > 10 {
		t.Fatalf("%d loads in 30 minutes of constant demand", n)
	}
	if m := f.missing(); len(m) > 0 {
		t.Fatalf("unreachable after moves: %v", m)
	}
}

// TestSharedNeighbours guards against layouts in which the same models share every endpoint.
func TestSharedNeighbours(t *testing.T) {
	twice := make(map[Policy]int)
	for _, policy := range []Policy{PolicyMixed, PolicyGroups} {
		f := newFleet(declarations(9, 18, 0, 4))
		f.p.Policy = policy
		f.run(2*time.Minute, nil)
		pairs := make(map[string]int)
		for _, g := range f.engines {
			for a := range g.residents {
				for b := range g.residents {
					if a < b {
						pairs[a+b]++
					}
				}
			}
		}
		for _, n := range pairs {
			if n > 1 {
				twice[policy]++
			}
		}
	}
	t.Logf("pairs of models that share more than one endpoint: mixed %d, groups %d", twice[PolicyMixed], twice[PolicyGroups])
	if twice[PolicyMixed]*5 > twice[PolicyGroups] {
		t.Fatal("mixing does not avoid shared neighbours")
	}
}

func benchmarkRound(b *testing.B, endpoints, models, adapters, room int) {
	f := newFleet(declarations(endpoints, models, adapters, room))
	demand := zipf(models, 10000)
	f.run(5*time.Minute, demand)
	alive := make(map[string]bool)
	for _, e := range f.snap.Endpoints {
		alive[e.Name] = true
	}
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(200 * time.Millisecond)
		in := f.cells
		in.Now, in.Snapshot, in.Ledger, in.Alive, in.Demand = f.now, f.snap, f.l, alive, demand
		f.p.Round(in)
		f.s.Due(f.now, f.snap, f.l, alive)
	}
}

func BenchmarkRoundToday(b *testing.B)  { benchmarkRound(b, 9, 18, 55, 6) }
func BenchmarkRoundTarget(b *testing.B) { benchmarkRound(b, 50, 250, 500, 15) }
