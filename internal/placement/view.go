package placement

import (
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// view is the state of one planning round, indexed by position: models in the order of the declarations, endpoints
// likewise. It follows the intents that the round adds.
type view struct {
	now       time.Time
	snap      *config.Snapshot
	l         *Ledger
	modelIDs  map[string]int
	mayEvict  bool // last copies of expendable models may be unloaded
	endpoints []endpointView
	models    []modelView
	// relocating tells that copies move to make room for a model without one, so that no free memory is used otherwise.
	relocating bool
	shared     []uint16 // for each pair of models, the number of usable endpoints that hold both
}

type endpointView struct {
	decl    *config.Endpoint
	account *wire.EndpointPlacement
	usable  bool
	free    Capacity
	freed   int64 // model memory that unresolved unloads will free
	holds   []int // models that are resident or being loaded, without those being unloaded
	busy    map[string]bool
	load    float64 // weight of the copies
}

type modelView struct {
	decl                  *config.Model
	planned               bool
	elsewhere, expendable bool // as in Input
	weight                float64
	need                  int // least number of copies
	copies                int // on usable endpoints, ready or being loaded
	ready                 int
	zones                 map[string]int // copies by availability zone
}

func (v *view) pair(a, b int) *uint16 { return &v.shared[a*len(v.models)+b] }

// addCopy counts a copy that is resident or being loaded.
func (v *view) addCopy(e *endpointView, m int, ready bool) {
	mv := &v.models[m]
	if e.usable {
		mv.copies++
		mv.zones[e.decl.Zone]++
		if ready {
			mv.ready++
		}
		for _, n := range e.holds {
			*v.pair(m, n)++
			*v.pair(n, m)++
		}
		e.load += mv.weight / float64(max(1, mv.need))
	}
	e.holds = append(e.holds, m)
}

// removeCopy counts an unload that was ordered.
func (v *view) removeCopy(e *endpointView, m int) {
	mv := &v.models[m]
	for i, n := range e.holds {
		if n == m {
			e.holds = append(e.holds[:i], e.holds[i+1:]...)
			break
		}
	}
	mv.copies--
	mv.ready--
	mv.zones[e.decl.Zone]--
	e.load -= mv.weight / float64(max(1, mv.need))
	e.freed += int64(mv.decl.Memory)
	for _, n := range e.holds {
		*v.pair(m, n)--
		*v.pair(n, m)--
	}
}

func (e *endpointView) holdsModel(m int) bool {
	for _, n := range e.holds {
		if n == m {
			return true
		}
	}
	return false
}

// newView counts what the ledger holds. usable tells which endpoints may hold copies that count.
func (p *Planner) newView(in Input, stages []stage) *view {
	snap := in.Snapshot
	v := &view{now: in.Now, snap: snap, l: in.Ledger, modelIDs: make(map[string]int, len(snap.Models))}
	v.models = make([]modelView, len(snap.Models))
	v.endpoints = make([]endpointView, len(snap.Endpoints))
	if n := len(snap.Models) * len(snap.Models); cap(p.shared) < n {
		p.shared = make([]uint16, n)
	} else {
		p.shared = p.shared[:n]
		clear(p.shared)
	}
	v.shared = p.shared
	for i := range snap.Models {
		m := &snap.Models[i]
		v.modelIDs[m.Name] = i
		v.models[i] = modelView{decl: m, weight: p.weight(m.Name), need: max(1, (m.MinReplicas+max(1, in.Cells)-1)/max(1, in.Cells)), zones: make(map[string]int, 4)}
		v.models[i].elsewhere = in.Elsewhere != nil && in.Elsewhere(m.Name)
		v.models[i].expendable = v.models[i].elsewhere && in.Expendable(m.Name)
		if v.models[i].planned = in.Planned == nil || in.Planned(m.Name); !v.models[i].planned {
			v.models[i].need = 0
		}
	}
	for i := range snap.Adapters {
		if m, ok := v.modelIDs[snap.Adapters[i].Model]; ok && p.Policy != PolicyStatic {
			v.models[m].weight += p.demand.rate[snap.Adapters[i].Name]
		}
	}
	for i := range snap.Endpoints {
		v.addEndpoint(i, in.Alive[snap.Endpoints[i].Name] && stages[i] == stageServing)
	}
	return v
}

func (v *view) addEndpoint(i int, usable bool) {
	e := &v.endpoints[i]
	e.decl = &v.snap.Endpoints[i]
	e.account = v.l.Endpoint(e.decl.Name)
	e.usable = usable && e.account.Incarnation != ""
	e.free = v.l.Free(e.decl.Name)
	e.busy = make(map[string]bool, len(e.account.Intents))
	for _, in := range e.account.Intents {
		e.busy[in.Name] = true
		if in.Action == wire.ActionUnload && !in.Adapter {
			e.freed += in.Bytes
		}
		if m, ok := v.modelIDs[in.Name]; ok && in.Action == wire.ActionLoad && !in.Adapter && !v.l.Failed(e.decl.Name, in.ID) {
			v.addCopy(e, m, false)
		}
	}
	for _, r := range e.account.Residents {
		if m, ok := v.modelIDs[r.Name]; ok && !r.Adapter && !e.busy[r.Name] {
			v.addCopy(e, m, true)
		}
	}
}
