package dispatch

import "sycamoredeal/internal/wire"

// preemptTries bounds the queues that one tick looks at; each costs a look at all work of the model's residents.
const preemptTries = 64

// preemptFor stops running work of a less urgent preemptible rank so that a waiting request can start. Each waiting
// request causes at most one preemption, and the rate of all of them is bounded.
func (s *State) preemptFor(r *request) {
	if r.preempting || s.tokens < 1 || s.cfg.FirstCome {
		return
	}
	var victim *request
	for _, e := range r.model.residents {
		if e.leaving || !s.usable(r.model, e) {
			continue
		}
		for _, v := range e.running {
			if s.mayStop(v, r) && (victim == nil || v.seq > victim.seq) {
				victim = v // the latest has done the least work
			}
		}
	}
	if victim == nil {
		return
	}
	s.tokens--
	victim.preempting, r.preempting = true, true
	s.emit(victim, wire.KindPreempt, Output{Decision: Decision{Reason: "slot needed by rank " + r.rank.Name}})
}

// mayStop tells whether v may be stopped for r. Ranks and callers keep their floors.
func (s *State) mayStop(v, r *request) bool {
	return v.rank.Preemptible && v.rank.index > r.rank.index && !v.preempting &&
		v.ask.Preemptions < s.cfg.MaxPreemption &&
		float64(v.rank.used-1) >= v.rank.floorSlots && float64(v.caller.used-1) >= v.caller.floorSlots
}

func (s *State) preemptWaiting() {
	if s.waiting == 0 || s.tokens < 1 || s.cfg.FirstCome || !s.preemptible() {
		return
	}
	tries := preemptTries
	for _, flows := range s.active[:len(s.active)-1] { // the least urgent rank preempts nothing
		if len(flows) == 0 {
			continue
		}
		start := s.rng.IntN(len(flows)) // so that every queue gets its turn
		for i := range flows {
			if tries--; tries < 0 || s.tokens < 1 {
				return
			}
			s.preemptFirst(flows[(start+i)%len(flows)])
		}
	}
}

// preemptFirst preempts for the first request of a queue that has caused no preemption.
func (s *State) preemptFirst(f *flow) {
	for _, q := range [2][]*request{f.resumed, f.fresh} {
		for _, r := range q {
			if r.status == waiting && !r.preempting {
				s.preemptFor(r)
				return
			}
		}
	}
}

func (s *State) preemptible() bool {
	for _, k := range s.ranks {
		if k.Preemptible && k.index > 0 && float64(k.used) > k.floorSlots {
			return true
		}
	}
	return false
}
