package dispatch

import (
	"math"
	"time"

	"sycamoredeal/internal/wire"
)

const (
	admitSpread   = 2.0             // standard deviations above the mean wait that must fit; with 0, half of the refusals of a flood came late
	displaceRatio = 2               // queue by weight, relative to the newcomer's, of a caller that gives way: equal callers don't displace each other
	staleInterval = 5 * time.Second // a drain rate measured before an idle time this long is forgotten
	shedMargin    = 2               // predicted wait over time left at which an already queued request is refused
	shedLeast     = 4               // shorter queues are not shed: their drain rate is too uncertain
	minRetry      = 50 * time.Millisecond
	maxRetry      = time.Minute
)

// predict returns the wait of a new request by the measured drain rate of its model and rank. Fair queueing serves a
// caller by its weight among those that wait, and no later than after all that wait already.
func (s *State) predict(r *request) time.Duration {
	wait, _ := s.forecast(r)
	return wait
}

// forecast returns the mean of the wait and its standard deviation, taking the gaps between grants as exponential.
func (s *State) forecast(r *request) (mean, deviation time.Duration) {
	g := &r.model.groups[r.rank.index]
	own, weight := 0, g.weight
	if f := s.flows[flowKey{r.model, r.caller, r.rank.index}]; f != nil {
		own = f.n
	}
	if own == 0 {
		weight += r.caller.weight
	}
	ahead := min(float64(g.n+1), float64(own+1)*max(weight/r.caller.weight, 1))
	gap := float64(s.drainInterval(r.model, g))
	if r.caller.within() {
		gap = float64(s.bestInterval(r.model)) // its work goes before that of callers above their floor, in all ranks
	}
	return time.Duration(ahead * gap), time.Duration(math.Sqrt(ahead) * gap)
}

// within tells whether the caller stays below its floor with all of its waiting requests.
func (c *caller) within() bool {
	n := c.used
	for i := range c.shares {
		n += c.shares[i].waiting
	}
	return float64(n) < c.floorSlots
}

// bestInterval returns the mean time between free slots of a model's residents.
func (s *State) bestInterval(m *model) time.Duration {
	slots := 0
	for _, e := range m.residents {
		if !e.leaving {
			slots += e.cap
		}
	}
	if slots == 0 {
		return time.Second
	}
	return time.Duration(s.service / float64(slots) * float64(time.Second))
}

// drainInterval returns the time between grants to a model and rank: as measured, or at best all free slots.
func (s *State) drainInterval(m *model, g *group) time.Duration {
	d := max(s.bestInterval(m), g.interval)
	if g.n > 0 {
		d = max(d, (s.now-g.since)/2) // half, because the present interval is not over and varies
	}
	return d
}

// refuse answers a request that can't start in time or has no room in the queue. It returns false if it may wait.
func (s *State) refuse(r *request, left time.Duration) bool {
	if r.ask.Resumed {
		return false
	}
	if len(r.model.residents) == 0 {
		s.answer(r, "no endpoint holds the model", time.Second)
		return true
	}
	if s.cfg.FirstCome {
		return s.overLimit(r)
	}
	// An empty queue takes a request whatever its drain rate: otherwise a rank that got no slots would have no waiting
	// work, and never get its floor.
	if r.model.groups[r.rank.index].n > 0 && left > 0 {
		if wait, deviation := s.forecast(r); float64(wait)+admitSpread*float64(deviation) > float64(left) {
			v := s.displaced(r)
			if v == nil {
				s.answer(r, "the queue does not drain before the deadline", wait)
				return true
			}
			s.reject(v, "the queue does not drain before the deadline", s.predict(v))
		}
	}
	return s.overLimit(r)
}

// displaced returns a waiting request that gives way to the first one of a caller that has had less than its share, or
// nil. Without it, a flood of one caller would keep the queues of all models full, and the others would be refused.
func (s *State) displaced(r *request) *request {
	sh := &r.caller.shares[r.rank.index]
	tag := sh.tag
	if sh.waiting == 0 {
		tag = max(tag, r.rank.vtime) // as enqueue sets it
	}
	var worst *flow
	for _, f := range r.model.flows[r.rank.index] {
		if f.caller == r.caller {
			return nil
		}
		o := &f.caller.shares[f.rank]
		if float64(o.waiting)/f.caller.weight <= displaceRatio*float64(sh.waiting+1)/r.caller.weight {
			continue
		}
		if t := o.tag; t > tag && f.last() != nil && !f.caller.within() {
			worst, tag = f, t
		}
	}
	if worst == nil {
		return nil
	}
	return worst.last()
}

// overLimit makes room for a request if its queue is full, or refuses it. The caller with the longest queue by weight
// gives way, so that a flood of one caller does not fill the queue for the others.
func (s *State) overLimit(r *request) bool {
	k := r.rank
	if s.waiting >= s.cfg.TotalLimit {
		for i := len(s.ranks) - 1; i >= r.rank.index; i-- {
			if s.ranks[i].waiting > 0 {
				k = s.ranks[i]
				break
			}
		}
	} else if k.QueueLimit <= 0 || k.waiting < k.QueueLimit {
		return false
	}
	c, longest := r.caller, 0.0
	if k == r.rank {
		longest = float64(r.caller.shares[k.index].waiting+1) / r.caller.weight
	}
	if !s.cfg.FirstCome {
		for _, o := range s.callers {
			// Names break ties, so that the result does not depend on the order of the map.
			if v := float64(o.shares[k.index].waiting) / o.weight; v > longest || v == longest && c != r.caller && o.name < c.name {
				c, longest = o, v
			}
		}
	}
	if victim := s.newest(c, k); victim != nil && (c != r.caller || k != r.rank) {
		s.reject(victim, "queue full", s.predict(victim))
		return false
	}
	s.answer(r, "queue full", time.Duration(s.service*float64(s.waiting+1)/float64(max(s.total, 1))*float64(time.Second)))
	return true
}

// newest returns the request of a caller and rank that has waited least and may be refused, or nil.
func (s *State) newest(c *caller, k *rank) *request {
	var best *request
	for _, m := range s.models {
		for _, f := range m.flows[k.index] {
			if f.caller != c {
				continue
			}
			if r := f.last(); r != nil && (best == nil || r.seq > best.seq) {
				best = r
			}
		}
	}
	return best
}

// last returns the newest waiting request that is not a resumed attempt, or nil.
func (f *flow) last() *request {
	for n := len(f.fresh); n > 0; n = len(f.fresh) {
		if r := f.fresh[n-1]; r.status == waiting {
			return r
		}
		f.fresh = f.fresh[:n-1]
	}
	return nil
}

// shed refuses the newest requests of queues that drain more slowly than predicted when the requests were admitted.
func (s *State) shed() {
	if s.waiting == 0 || s.cfg.FirstCome {
		return
	}
	for _, flows := range s.active {
		for i := len(flows) - 1; i >= 0; i-- {
			if flows[i].n > shedLeast {
				s.shedFlow(flows[i])
			}
		}
	}
}

func (s *State) shedFlow(f *flow) {
	for f.n > shedLeast { // the queue never becomes empty here, so the list of active queues does not change
		r := f.last()
		if r == nil || r.deadline == 0 {
			return
		}
		wait := s.predict(r)
		if wait <= shedMargin*(r.deadline-s.now) {
			return
		}
		s.reject(r, "the queue drains too slowly", wait)
	}
}

// reject refuses a waiting request.
func (s *State) reject(r *request, reason string, wait time.Duration) {
	s.dequeue(r)
	delete(s.requests, r.key)
	s.answer(r, reason, wait)
}

func (s *State) answer(r *request, reason string, wait time.Duration) {
	retry := min(max(wait, minRetry), maxRetry)
	s.emit(r, wire.KindRefuse, Output{RetryAfterMs: uint32(retry / time.Millisecond), Decision: Decision{
		Reason: reason, WaitMs: uint32(wait / time.Millisecond)}})
}
