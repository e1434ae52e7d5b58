package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
)

const (
	defaultDeadline  = 30 * time.Second
	defaultGenerated = 128 // tokens, until the first answer was measured
	defaultFirstMs   = 100 // until the first answer of the endpoint was measured
)

// SetView applies declarations, placement and leaving endpoints. Every request keeps its place.
func (s *State) SetView(now time.Duration, v *routing.View) {
	s.now = now
	if s.view == nil || s.view.Snapshot != v.Snapshot || s.ranks == nil {
		s.view = v
		s.reindex()
	} else {
		s.view = v
		s.place()
	}
	s.fillAll()
}

// reindex rebuilds ranks, callers and queues from the requests, because ranks are referred to by index.
func (s *State) reindex() {
	all := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	old, oldCallers := s.ranks, s.callers
	s.ranks, s.callers, s.models = nil, make(map[string]*caller), make(map[string]*model)
	s.flows, s.deadlines, s.waiting = make(map[flowKey]*flow), nil, 0
	declared := []config.Rank{{Name: "default", Deadline: defaultDeadline}}
	if s.view.Snapshot != nil && len(s.view.Snapshot.Ranks) > 0 {
		declared = s.view.Snapshot.Ranks
	}
	for i, d := range declared {
		s.ranks = append(s.ranks, &rank{Rank: d, index: i, generated: defaultGenerated})
	}
	s.active, s.floored = make([][]*flow, len(s.ranks)), nil
	s.inherit(old, oldCallers)
	for _, e := range s.endpoints {
		e.used, e.running, e.usedBy = 0, nil, make([]int, len(s.ranks))
	}
	s.place()
	for _, r := range all {
		s.resolve(r)
		if r.status == running {
			s.occupy(r, r.endpoint)
		} else {
			s.enqueue(r)
		}
	}
}

// inherit keeps the fair queueing state if the ranks are the same, so that a change of declarations gives no new credit.
func (s *State) inherit(old []*rank, callers map[string]*caller) {
	same := slices.EqualFunc(old, s.ranks, func(a, b *rank) bool { return a.Name == b.Name })
	if !same {
		return
	}
	for i, k := range s.ranks {
		k.vtime, k.generated = old[i].vtime, old[i].generated
	}
	for name, o := range callers {
		c := s.callerNamed(name)
		for i := range c.shares {
			c.shares[i].tag = o.shares[i].tag
		}
	}
}

// place rebuilds the index of endpoints and models.
func (s *State) place() {
	for _, e := range s.endpoints {
		e.models, e.leaving = nil, true
	}
	for _, m := range s.models {
		m.residents = m.residents[:0]
	}
	s.order, s.total = s.order[:0], 0
	defer s.limits()
	if s.view.Snapshot == nil || s.view.Placement == nil {
		return
	}
	for i := range s.view.Placement.Endpoints {
		p := &s.view.Placement.Endpoints[i]
		d := s.view.Snapshot.Endpoint(p.Endpoint)
		if d == nil {
			continue
		}
		e := s.endpoint(d.Name)
		e.zone, e.slots = d.Zone, max(d.Slots, 1)
		e.leaving = p.Leaving || d.Leaving || s.view.Leaving[d.Name]
		s.order = append(s.order, e)
		if e.leaving {
			continue
		}
		s.total += e.slots
		for _, r := range p.Residents {
			m := s.modelNamed(r.Name)
			m.residents = append(m.residents, e)
			e.models = append(e.models, m)
		}
	}
}

// limits derives slots per rank and caller from the shares.
func (s *State) limits() {
	for _, e := range s.order {
		e.cap = e.slots
		if s.rebuild > 0 {
			e.cap = max(int(s.cfg.RebuildShare*float64(e.slots)), 1)
		}
		e.reserved = e.reserved[:0]
		kept := 0.0
		for _, r := range s.ranks {
			e.reserved = append(e.reserved, min(int(math.Round(kept*float64(e.slots))), e.cap-1))
			kept += r.Headroom
		}
	}
	for _, r := range s.ranks {
		r.floorSlots = r.Floor * float64(s.total)
	}
	s.floored = s.floored[:0]
	for _, c := range s.callers {
		s.limitCaller(c)
	}
}

func (s *State) limitCaller(c *caller) {
	c.weight, c.floorSlots = 1, 0
	if s.view.Snapshot == nil {
		return
	}
	if d := s.view.Snapshot.Caller(c.name); d != nil {
		if d.Weight > 0 {
			c.weight = d.Weight
		}
		if c.floorSlots = d.Floor * float64(s.total); d.Floor > 0 {
			s.floored = append(s.floored, c)
		}
	}
}

func (s *State) endpoint(name string) *endpoint {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, leaving: true, usedBy: make([]int, len(s.ranks)), firstMs: defaultFirstMs}
		s.endpoints[name] = e
	}
	return e
}

func (s *State) modelNamed(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name, flows: make([][]*flow, len(s.ranks)), groups: make([]group, len(s.ranks))}
		s.models[name] = m
	}
	return m
}

func (s *State) callerNamed(name string) *caller {
	c := s.callers[name]
	if c == nil {
		c = &caller{name: name, shares: make([]share, len(s.ranks))}
		s.limitCaller(c)
		s.callers[name] = c
	}
	return c
}

// resolve finds the rank, caller and model of a request. A request without a known rank gets its caller's first one, or
// the least urgent.
func (s *State) resolve(r *request) {
	r.caller, r.model = s.callerNamed(r.ask.Caller), s.modelNamed(r.ask.Model)
	name := r.ask.Rank
	if name == "" && s.view.Snapshot != nil {
		if d := s.view.Snapshot.Caller(r.ask.Caller); d != nil && len(d.Ranks) > 0 {
			name = d.Ranks[0]
		}
	}
	i := slices.IndexFunc(s.ranks, func(k *rank) bool { return k.Name == name })
	if i < 0 {
		i = len(s.ranks) - 1
	}
	r.rank = s.ranks[i]
}
