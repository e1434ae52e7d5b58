package dispatch

import (
	"time"

	"sycamoredeal/internal/wire"
)

const (
	staleInterval = 5 * time.Second // a drain rate measured before an idle time this long is forgotten
	shedMargin    = 2               // predicted wait over time left at which an already queued request is refused
	shedLeast     = 4               // shorter queues are not shed: their drain rate is too uncertain
	minRetry      = 50 * time.Millisecond
	maxRetry      = time.Minute
)

// predict returns the wait of a new request at the end of a queue, by the queue's measured drain rate.
func (s *State) predict(f *flow) time.Duration {
	return time.Duration(f.n+1) * s.drainInterval(f)
}

func (s *State) drainInterval(f *flow) time.Duration {
	slots := 0
	for _, e := range f.model.residents {
		if !e.leaving {
			slots += e.cap
		}
	}
	if slots == 0 {
		return time.Second
	}
	d := time.Duration(s.service / float64(slots) * float64(time.Second)) // all slots of the residents serve this queue
	d = max(d, f.interval)
	if f.n > 0 {
		d = max(d, (s.now-f.since)/2) // half, because the present interval is not over and varies
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
	f := s.flows[flowKey{r.model, r.caller, r.rank.index}]
	if f != nil && f.n > 0 && left > 0 {
		if wait := s.predict(f); wait > left {
			s.answer(r, "the queue does not drain before the deadline", wait)
			return true
		}
	}
	return s.overLimit(r)
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
		s.reject(victim, "queue full", s.predict(victim.flow))
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
		wait := s.predict(f)
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
