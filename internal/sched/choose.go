package sched

import (
	"math"
	"slices"
	"time"

	"sycamoredeal/internal/wire"
)

const (
	// backlogMs bounds the prompt tokens that are sent ahead to one engine: what waits here instead can still go to
	// another endpoint, and behind more urgent work that arrives meanwhile.
	backlogMs   = 110.0
	loadMs      = 40.0 // added at a full endpoint: its steps are longer for all that run there
	adapterMs   = 15.0 // for an adapter that has to be loaded first
	spreadMs    = 4.0  // random, so that equal endpoints are used alike
	plainLoad   = 1.0  // per share of the slots in use
	plainSpread = 0.05
)

// fits tells whether a request may start at an endpoint now.
func (s *State) fits(e *endpoint, r *request) bool {
	a := &r.ask
	if !e.present || e.draining || e.service != a.Service || e.used >= s.cap(e) || !e.health.usable(s.now, r.host) {
		return false
	}
	if slices.Contains(a.Exclude, e.id) {
		return false
	}
	if e.engine == nil {
		return true
	}
	if !e.models[a.Model] || s.closing[wire.ModelCopy{Endpoint: e.id, Model: a.Model}] {
		return false
	}
	if e.engine.KVTokens > 0 && e.used > 0 && e.kv+float64(a.PromptTokens)+output(a) > kvShare*float64(e.engine.KVTokens) {
		return false
	}
	if e.backlog > 0 && e.backlog/initialTokensPerMs*e.slowness > backlogMs {
		return false
	}
	return a.Adapter == "" || e.hasAdapter(a.Model, a.Adapter) || s.mayLoad(e)
}

// mayLoad tells whether an adapter can be loaded at an endpoint: somebody gives orders, the endpoint takes them, and not
// all of its places are in use.
func (s *State) mayLoad(e *endpoint) bool {
	return s.holder && !s.changing[e.id] && len(e.running) < e.engine.AdapterSlots
}

// cap is the number of places that may be granted at an endpoint.
func (s *State) cap(e *endpoint) int {
	if s.now-s.started < s.cfg.Rebuild {
		return max(int(rebuildShare*float64(e.slots)), 1)
	}
	return e.slots
}

// choose returns the endpoint at which a request starts soonest, or nil.
func (s *State) choose(r *request) *endpoint {
	var best *endpoint
	score := math.Inf(1)
	for _, e := range s.order {
		if !s.fits(e, r) {
			continue
		}
		if v := s.score(e, r); v < score {
			best, score = e, v
		}
	}
	return best
}

// score is the expected cost of a request at an endpoint, in ms for engines. Lower is better.
func (s *State) score(e *endpoint, r *request) float64 {
	load := float64(e.used) / float64(e.slots)
	if e.engine == nil {
		return plainLoad*load + e.slowness/4 + plainSpread*s.rng.Float64()
	}
	v := e.firstMs(r) + loadMs*load + spreadMs*s.rng.Float64()
	if a := &r.ask; a.Adapter != "" && !e.hasAdapter(a.Model, a.Adapter) {
		v += adapterMs
	}
	return v
}

// before tells whether a waiting request goes before another one: those that can still be on time come first, by rank
// and then by target. Late ones follow by rank and by the time at which they have to start.
func (s *State) before(a, b *request) bool {
	la, lb := a.target < s.now+s.ownFirst(a), b.target < s.now+s.ownFirst(b)
	switch {
	case la != lb:
		return lb
	case a.ask.Priority != b.ask.Priority:
		return a.ask.Priority < b.ask.Priority
	case la:
		return a.startBy < b.startBy
	}
	return a.target < b.target
}

// ownFirst is the time that a request takes to its first piece at an idle endpoint.
func (s *State) ownFirst(r *request) time.Duration {
	if r.ask.Model == "" {
		return 0
	}
	return time.Duration((baseFirstMs + float64(r.ask.PromptTokens)/initialTokensPerMs) * float64(time.Millisecond))
}

// fill grants the free places of an endpoint to waiting requests.
func (s *State) fill(e *endpoint) {
	for s.waiting > 0 && e.present && e.used < s.cap(e) {
		var best *request
		for _, m := range s.models {
			if len(m.waiting) == 0 || m.key.service != e.service || e.engine != nil && !e.models[m.key.model] {
				continue
			}
			for _, r := range m.waiting {
				if (best == nil || s.before(r, best)) && s.fits(e, r) {
					best = r
				}
			}
		}
		if best == nil {
			return
		}
		s.dequeue(best)
		s.grant(best, e)
	}
}

func (s *State) fillAll() {
	for _, e := range s.order {
		if s.waiting == 0 {
			return
		}
		s.fill(e)
	}
}

// predictWait estimates how long a new request waits: by the requests of its model that go before it, and the rates at
// which the model's endpoints free places and read prompts. Without an endpoint that holds the model, a copy has to be
// loaded first and nothing is predicted.
func (s *State) predictWait(r *request) time.Duration {
	var places, tokensPerMs float64
	for _, e := range s.order {
		if !e.present || e.draining || e.service != r.ask.Service || e.health.down(s.now) {
			continue
		}
		if e.engine != nil && !e.models[r.ask.Model] {
			continue
		}
		places += float64(e.slots) * s.shareOf(e, r.model)
		tokensPerMs += initialTokensPerMs / e.slowness * s.shareOf(e, r.model)
	}
	if places == 0 {
		return 0
	}
	ahead, tokens := 0.0, 0.0
	for _, w := range r.model.waiting {
		if s.before(w, r) {
			ahead++
			tokens += float64(w.ask.PromptTokens)
		}
	}
	wait := ahead * r.model.hold / places
	if r.ask.Model != "" {
		wait = max(wait, tokens/tokensPerMs/1000)
	}
	return time.Duration(wait * float64(time.Second))
}

// shareOf estimates which share of an endpoint's work is that of a model, by the requests that run there and wait.
func (s *State) shareOf(e *endpoint, m *model) float64 {
	if e.engine == nil || len(e.models) < 2 {
		return 1
	}
	own, all := 1.0, 1.0
	for name := range e.models {
		o := s.models[modelKey{e.service, name}]
		if o == nil {
			continue
		}
		n := float64(len(o.waiting)) + o.perSec*o.hold
		all += n
		if o == m {
			own += n
		}
	}
	return own / all
}
