package dispatch

import (
	"math"
	"slices"
	"time"

	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

// Weights of the choice of an endpoint; the load per slot has weight 1.
const (
	weightFirst    = 0.002 // per ms of predicted time to first token
	weightPressure = 0.3   // per unit of demand of the endpoint's residents
	weightPrefix   = 0.4   // for the endpoint that holds the prompt's prefix
	weightZone     = 0.02  // for another availability zone; the delay between zones is about 1 ms
	prefixBound    = 1.25  // an endpoint above this multiple of the mean load gets no more prefix affinity
	smoothing      = 0.1   // weight of a new measurement in a mean
)

// protected tells whether the request's rank or caller is below its floor.
func protected(k *rank, c *caller) bool {
	return float64(k.used) < k.floorSlots || float64(c.used) < c.floorSlots
}

// fits tells whether an endpoint has a free slot for the rank and caller. Headroom keeps slots free for more urgent
// ranks; work below its floor may start in them as long as less urgent work stays within the remainder.
func (s *State) fits(e *endpoint, k *rank, c *caller) bool {
	if e.leaving || e.used >= e.cap {
		return false
	}
	if s.cfg.FirstCome {
		return true
	}
	kept := e.reserved[k.index]
	if e.cap-e.used > kept {
		return true
	}
	if !protected(k, c) {
		return false
	}
	later := 0
	for _, n := range e.usedBy[k.index:] {
		later += n
	}
	return later < e.cap-kept
}

// usable tells whether ejection leaves the endpoint in use for a model: at most a share of its residents is left out.
func (s *State) usable(m *model, e *endpoint) bool {
	if s.ejected == 0 || e.until <= s.now {
		return true
	}
	longer := 0 // residents whose ejection ends later
	for _, o := range m.residents {
		if o.until > e.until || o.until == e.until && o.name > e.name {
			longer++
		}
	}
	return longer >= int(routing.MaxEjectedShare*float64(len(m.residents)))
}

// choose returns the best endpoint with a free slot for the request, or nil.
func (s *State) choose(r *request) (best *endpoint, score float64, n int) {
	score = math.Inf(1)
	prefix := s.prefixHolder(r)
	var zone string
	if en := s.entries[r.entry]; en != nil {
		zone = en.zone
	}
	offset := 0
	if len(r.model.residents) > 0 {
		offset = s.rng.IntN(len(r.model.residents)) // breaks ties at random
	}
	for i := range r.model.residents {
		e := r.model.residents[(i+offset)%len(r.model.residents)]
		if !s.fits(e, r.rank, r.caller) || !s.usable(r.model, e) || slices.Contains(r.ask.Exclude, e.name) {
			continue
		}
		n++
		load := float64(e.used) / float64(e.slots)
		v := load + weightPressure*e.pressure + weightFirst*e.firstMs*(1+load)
		if e == prefix {
			v -= weightPrefix
		}
		if zone != "" && zone != e.zone {
			v += weightZone
		}
		if v < score {
			best, score = e, v
		}
	}
	return best, score, n
}

// prefixHolder returns the resident that prompts with this prefix are sent to, or nil if its load is above the bound.
func (s *State) prefixHolder(r *request) *endpoint {
	if r.ask.PrefixHash == 0 {
		return nil
	}
	var best *endpoint
	var top uint64
	used, slots := 0, 0
	for _, e := range r.model.residents {
		used, slots = used+e.used, slots+e.slots
		if h := mix(r.ask.PrefixHash, e.name); best == nil || h > top {
			best, top = e, h
		}
	}
	if best == nil || float64(best.used) > prefixBound*float64(used+1)/float64(slots)*float64(best.slots) {
		return nil
	}
	return best
}

// mix is FNV-1a over the name, started from the prefix.
func mix(h uint64, name string) uint64 {
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h ^ h>>29
}

// pick returns the waiting request that a free slot of the endpoint goes to, or nil. Order: ranks below their floor,
// callers below theirs, then the most urgent rank; within a rank resumed attempts, then the caller with the smallest
// virtual time.
func (s *State) pick(e *endpoint) *request {
	if e.leaving || e.used >= e.cap {
		return nil
	}
	b := candidate{hungry: s.callerBelowFloor()}
	for _, k := range s.ranks {
		if s.belowFloor(k) {
			if s.scan(e, k, &b); b.r != nil {
				return b.r
			}
		}
	}
	for _, k := range s.ranks {
		if !s.belowFloor(k) {
			if s.scan(e, k, &b); b.r != nil && !b.hungry && !s.cfg.FirstCome {
				return b.r // later ranks come after it
			}
		}
	}
	return b.r
}

func (s *State) belowFloor(k *rank) bool {
	return !s.cfg.FirstCome && float64(k.used) < k.floorSlots
}

func (s *State) callerBelowFloor() bool {
	for _, c := range s.floored {
		if float64(c.used) < c.floorSlots {
			return true
		}
	}
	return false
}

type candidate struct {
	r      *request
	key    [4]float64
	hungry bool // a caller is below its floor
}

// scan looks for a request of one rank that comes before the candidate. The head of a queue is looked up only if the
// queue's caller would win.
func (s *State) scan(e *endpoint, k *rank, b *candidate) {
	if k.waiting == 0 {
		return
	}
	if e.cap-e.used <= e.reserved[k.index] && !b.hungry && !s.belowFloor(k) && !s.cfg.FirstCome {
		return // only headroom is free
	}
	for _, m := range e.models {
		flows := m.flows[k.index]
		if len(flows) == 0 || !s.usable(m, e) {
			continue
		}
		for _, f := range flows {
			p := s.precedence(k, f)
			if b.r != nil && !less(p, b.key) || !s.fits(e, k, f.caller) {
				continue
			}
			if r := f.head(e); r != nil {
				b.r, b.key = r, p
			}
		}
	}
}

func (s *State) precedence(k *rank, f *flow) [4]float64 {
	if s.cfg.FirstCome {
		f.trim()
		first := f.fresh
		if len(first) == 0 {
			first = f.resumed
		}
		return [4]float64{0, 0, 0, float64(first[0].seq)}
	}
	p := [4]float64{2, float64(k.index), 1, f.caller.shares[k.index].tag}
	switch {
	case float64(k.used) < k.floorSlots:
		p[0] = 0
	case float64(f.caller.used) < f.caller.floorSlots:
		p[0] = 1
	}
	if f.nResumed > 0 {
		p[2] = 0
	}
	return p
}

func less(a, b [4]float64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// fill grants free slots of an endpoint to waiting requests.
func (s *State) fill(e *endpoint) {
	for r := s.pick(e); r != nil; r = s.pick(e) {
		r.model.groups[r.rank.index].granted(s.now)
		s.dequeue(r)
		s.grant(r, e, 1, 0, "slot became free")
	}
}

func (s *State) fillAll() {
	if s.waiting == 0 {
		return
	}
	for _, e := range s.order {
		s.fill(e)
	}
}

func (s *State) grant(r *request, e *endpoint, n int, score float64, reason string) {
	sh := &r.caller.shares[r.rank.index]
	if sh.waiting == 0 && r.flow == nil {
		sh.tag = max(sh.tag, r.rank.vtime) // an idle caller keeps no credit; a waiting one does
	}
	r.rank.vtime = max(r.rank.vtime, sh.tag)
	r.cost = float64(r.ask.PromptTokens) + r.rank.generated
	sh.tag += r.cost / r.caller.weight
	r.started, r.preempting = s.now, false
	s.occupy(r, e)
	s.emit(r, wire.KindGrant, Output{Endpoint: e.name, Decision: Decision{
		Reason: reason, WaitMs: uint32((s.now - r.asked) / time.Millisecond), Candidates: n, Score: score}})
}

func (s *State) occupy(r *request, e *endpoint) {
	r.status, r.endpoint = running, e
	e.used++
	e.usedBy[r.rank.index]++
	e.running = append(e.running, r)
	r.rank.used++
	r.caller.used++
}

// vacate frees the slot of a running request and forgets it.
func (s *State) vacate(r *request) {
	e := r.endpoint
	r.status = gone
	e.used--
	e.usedBy[r.rank.index]--
	i := slices.Index(e.running, r)
	e.running[i] = e.running[len(e.running)-1]
	e.running = e.running[:len(e.running)-1]
	r.rank.used--
	r.caller.used--
	delete(s.requests, r.key)
}
