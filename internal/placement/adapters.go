package placement

import (
	"cmp"
	"slices"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// adapterCopies is the number of copies that each adapter gets where the slabs have room, so that the loss of one
// endpoint leaves it reachable.
const adapterCopies = 2

// adapters loads every adapter next to a ready copy of its base model: the first copies of all, then the second ones.
func (p *Planner) adapters(v *view) {
	copies := v.adapterCounts()
	list := make([]*config.Adapter, len(v.snap.Adapters))
	for i := range list {
		list[i] = &v.snap.Adapters[i]
	}
	slices.SortFunc(list, func(a, b *config.Adapter) int {
		return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(a.Name, b.Name))
	})
	for want := 1; want <= adapterCopies; want++ {
		for _, a := range list {
			if copies[a.Name] < want {
				if v.placeAdapter(a) {
					copies[a.Name]++
				} else if want == 1 {
					v.makeSlabRoom(a, copies)
				}
			}
		}
	}
}

// adapterCounts returns the copies of each adapter on usable endpoints that hold its base model.
func (v *view) adapterCounts() map[string]int {
	out := make(map[string]int, len(v.snap.Adapters))
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.usable {
			continue
		}
		for _, r := range e.account.Residents {
			if r.Adapter && !e.busy[r.Name] && e.hasBase(v, r.Name) {
				out[r.Name]++
			}
		}
		for _, in := range e.account.Intents {
			if in.Adapter && in.Action == wire.ActionLoad && e.hasBase(v, in.Name) {
				out[in.Name]++
			}
		}
	}
	return out
}

func (e *endpointView) hasBase(v *view, adapter string) bool {
	a := v.snap.Adapter(adapter)
	if a == nil {
		return false
	}
	m, ok := v.modelIDs[a.Model]
	return ok && e.holdsModel(m)
}

// placeAdapter loads an adapter on the endpoint with a ready copy of its base model and the most free slab.
func (v *view) placeAdapter(a *config.Adapter) bool {
	var best *endpointView
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !v.mayHold(e, a) || e.free.Adapters < int64(a.Memory) {
			continue
		}
		if best == nil || e.free.Adapters > best.free.Adapters {
			best = e
		}
	}
	if best == nil {
		return false
	}
	r := wire.Resident{Name: a.Name, Adapter: true, Bytes: int64(a.Memory)}
	if _, err := v.l.Load(best.decl.Name, r, a.Model, v.now); err != nil {
		return false
	}
	best.free.Adapters -= r.Bytes
	best.busy[a.Name] = true
	return true
}

// mayHold tells whether an adapter that is not there can be loaded on an endpoint, leaving memory aside.
func (v *view) mayHold(e *endpointView, a *config.Adapter) bool {
	return e.usable && !e.busy[a.Name] && findResident(e.account, a.Name) < 0 &&
		!e.busy[a.Model] && findResident(e.account, a.Model) >= 0
}

// makeSlabRoom unloads one further copy of another adapter, so that a later round can load the adapter.
func (v *view) makeSlabRoom(a *config.Adapter, copies map[string]int) {
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !v.mayHold(e, a) {
			continue
		}
		for _, r := range e.account.Residents {
			if !r.Adapter || e.busy[r.Name] || copies[r.Name] < 2 || e.free.Adapters+r.Bytes < int64(a.Memory) {
				continue
			}
			if _, err := v.l.Unload(e.decl.Name, r.Name, v.now); err == nil {
				e.busy[r.Name] = true
				copies[r.Name]--
				return
			}
		}
	}
}

// adaptersCopied tells whether every adapter of a model on an endpoint can be unloaded there: it is settled and has a
// resident copy next to the model on another usable endpoint.
func (v *view) adaptersCopied(e *endpointView, model string) bool {
	for _, in := range e.account.Intents {
		if a := v.snap.Adapter(in.Name); in.Adapter && a != nil && a.Model == model {
			return false
		}
	}
	for _, r := range e.account.Residents {
		a := v.snap.Adapter(r.Name)
		if !r.Adapter || a == nil || a.Model != model {
			continue
		}
		if !v.l.Settled(e.decl.Name, r.Name, v.now) || !v.residentElsewhere(e, r.Name) {
			return false
		}
	}
	return true
}

func (v *view) residentElsewhere(e *endpointView, name string) bool {
	for i := range v.endpoints {
		o := &v.endpoints[i]
		if o != e && o.usable && !o.busy[name] && findResident(o.account, name) >= 0 && o.hasBase(v, name) {
			return true
		}
	}
	return false
}
