package dispatch

import (
	"container/heap"
	"time"

	"sycamoredeal/internal/wire"
)

const demandEvery = time.Second // period over which arrivals per model are measured

// Ask adds a request: it is granted, queued or refused at once.
func (s *State) Ask(now time.Duration, entry string, ask wire.Ask) {
	s.now = now
	k := key{entry, ask.ID}
	if s.requests[k] != nil {
		return // repeated message: the request has its answer or waits
	}
	s.seq++
	r := &request{key: k, ask: ask, asked: now, seq: s.seq, status: gone}
	s.resolve(r)
	r.model.arrivals++
	if ask.ChosenEndpoint != "" {
		s.requests[k] = r
		r.started = now
		s.occupy(r, s.endpoint(ask.ChosenEndpoint))
		return
	}
	left := time.Duration(ask.DeadlineMs) * time.Millisecond
	if left == 0 {
		left = r.rank.Deadline
	}
	if left > 0 && !ask.Resumed {
		r.deadline = now + left
	}
	if e, score, n := s.choose(r); e != nil {
		s.requests[k] = r
		s.grant(r, e, n, score, "free slot")
		return
	}
	if s.refuse(r, left) {
		return
	}
	s.requests[k] = r
	s.enqueue(r)
	s.emit(r, wire.KindQueued, Output{})
	s.preemptFor(r)
}

// Cancel withdraws a waiting request or releases an unused grant.
func (s *State) Cancel(now time.Duration, entry string, id uint64) {
	s.now = now
	r := s.requests[key{entry, id}]
	if r == nil {
		return
	}
	s.drop(r)
	if r.endpoint != nil {
		s.fill(r.endpoint)
	}
}

// drop forgets a request without an answer.
func (s *State) drop(r *request) {
	if r.status == running {
		s.vacate(r)
		return
	}
	s.dequeue(r)
	delete(s.requests, r.key)
}

// Done releases the slot of a granted request and learns from its measurements.
func (s *State) Done(now time.Duration, entry string, d wire.Done) {
	s.now = now
	r := s.requests[key{entry, d.ID}]
	if r == nil || r.status != running {
		return
	}
	e := r.endpoint
	s.vacate(r)
	s.learn(r, e, &d)
	s.fill(e)
}

func (s *State) learn(r *request, e *endpoint, d *wire.Done) {
	if s.eject.Report(s.now, e.name, d.Failed) {
		e.until = s.eject.Until(e.name)
		s.ejected++
	}
	if d.Tokens > 0 {
		r.caller.shares[r.rank.index].tag += (float64(r.ask.PromptTokens+d.Tokens) - r.cost) / r.caller.weight
	}
	if d.Failed || r.preempting {
		return // says nothing about the work of a whole request
	}
	if d.Tokens > 0 {
		r.rank.generated += smoothing * (float64(d.Tokens) - r.rank.generated)
	}
	s.service += smoothing * ((s.now - r.started).Seconds() - s.service)
	if d.FirstMs > 0 {
		e.firstMs += smoothing * (float64(d.FirstMs) - e.firstMs)
	}
}

// Tick refuses requests whose deadline can't be met any more, ends bounds that have passed and serves what became
// possible. It is called every few tens of milliseconds.
func (s *State) Tick(now time.Duration) {
	dt := now - s.now
	s.now = now
	s.tokens = min(s.tokens+dt.Seconds()*s.cfg.PreemptRate, max(s.cfg.PreemptRate, 1))
	s.expire()
	s.shed()
	s.loseEntries()
	s.endEjections()
	if s.rebuild > 0 && now >= s.rebuild {
		s.complete()
	}
	s.measureDemand()
	s.fillAll()
	s.preemptWaiting()
}

func (s *State) expire() {
	for len(s.deadlines) > 0 {
		r := s.deadlines[0]
		if r.status == waiting && r.deadline > s.now {
			return
		}
		heap.Pop(&s.deadlines)
		if r.status == waiting {
			s.reject(r, "deadline passed in the queue", s.predict(r))
		}
	}
}

func (s *State) endEjections() {
	if s.ejected == 0 {
		return
	}
	s.ejected = 0
	for _, e := range s.endpoints {
		if e.until > s.now {
			s.ejected++
		}
	}
}

// measureDemand estimates how many slots the work of each model needs, for the pressure on the endpoints that hold it.
func (s *State) measureDemand() {
	dt := s.now - s.demandAt
	if dt < demandEvery {
		return
	}
	s.demandAt = s.now
	for _, m := range s.models {
		m.demand += 0.2 * (float64(m.arrivals)/dt.Seconds()*s.service - m.demand)
		m.arrivals = 0
	}
	for _, e := range s.order {
		e.pressure = 0
		for _, m := range e.models {
			e.pressure += m.demand / float64(len(m.residents)) / float64(e.slots)
		}
	}
}
