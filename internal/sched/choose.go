package sched

import (
	"math"
	"slices"
	"strings"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	// aheadShare bounds the prompts that are sent ahead to one engine, as a share of the shortest objective of a service's
	// routes: what waits here instead can still go to another endpoint, and behind more urgent work that arrives
	// meanwhile.
	aheadShare   = 0.2
	defaultAhead = 110.0 // ms, without an objective
	loadMs       = 40.0  // added at a full endpoint: its steps are longer for all that run there
	adapterMs    = 15.0  // for an adapter that has to be loaded first
	spreadMs     = 4.0   // random, so that equal endpoints are used alike
	coldMs       = 8.0   // for a connection that has to be opened: round trips, and the endpoint's time for it
	plainCold    = 0.12  // the same for plain services
	plainLoad    = 1.0   // per share of the slots in use
	plainSpread  = 0.05
)

// open tells whether any request may start at an endpoint now.
func (s *State) open(e *endpoint) bool {
	if !e.present || e.draining || e.used >= s.cap(e) {
		return false
	}
	return e.engine == nil || e.aheadMs(s.now) <= s.aheadLimit(e.service)
}

// fits tells whether a request may start at an open endpoint now.
func (s *State) fits(e *endpoint, r *request) bool {
	a := &r.ask
	if e.service != a.Service || !e.health.usable(s.now, r.host) {
		return false
	}
	if slices.Contains(a.Exclude, e.id) {
		return false
	}
	if e.engine == nil {
		// Without a configuration, nothing tells engines from plain services.
		return a.Model == "" && s.service(e.service) != nil
	}
	if !e.models[a.Model] || s.closing[wire.ModelCopy{Endpoint: e.id, Model: a.Model}] {
		return false
	}
	if e.engine.KVTokens > 0 && e.used > 0 && e.kv+float64(a.PromptTokens)+output(a) > kvShare*float64(e.engine.KVTokens) {
		return false
	}
	return (a.Adapter == "" || s.adapterFits(e, a)) && s.endsInTime(e, r)
}

// adapterFits tells whether a request's adapter can be used at an endpoint: other requests use it there, or one of the
// places for adapters is not in use. If it has to be loaded, somebody has to give orders and the endpoint to take them.
func (s *State) adapterFits(e *endpoint, a *wire.Ask) bool {
	switch {
	case e.running[copies.Adapter{Model: a.Model, Name: a.Adapter}] > 0:
		return true
	case len(e.running) >= e.engine.AdapterSlots:
		return false
	}
	return e.hasAdapter(a.Model, a.Adapter) || s.holder != "" && !s.changing[e.id]
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
	for _, e := range s.index(r.model) {
		if !s.open(e) || !s.fits(e, r) {
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
	warm := slices.Contains(r.ask.WarmEndpoints, e.id)
	if e.engine == nil {
		v := plainLoad*load + e.slowness/4 + plainSpread*s.rng.Float64()
		if !warm {
			v += plainCold
		}
		return v
	}
	v := e.firstMs(r, s.now) + loadMs*load + spreadMs*s.rng.Float64()
	if !warm {
		v += coldMs
	}
	if a := &r.ask; a.Adapter != "" && !e.hasAdapter(a.Model, a.Adapter) {
		v += adapterMs
	}
	return v
}

// before tells whether a waiting request goes before another one: those that can still be on time come first, by rank
// and then by target. Late ones follow by rank and by the time at which they have to start.
func (s *State) before(a, b *request) bool { return goesBefore(a, b, s.late(a), s.late(b)) }

func goesBefore(a, b *request, la, lb bool) bool {
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
	first, perToken := s.paceOf(r.ask.Service).fit()
	return seconds((first + float64(r.ask.PromptTokens)*perToken) / 1000)
}

// paceOf returns the estimate of the time to a first piece for a service.
func (s *State) paceOf(service string) *pace {
	p := s.paces[service]
	if p == nil {
		p = newPace()
		s.paces[service] = p
	}
	return p
}

// aheadLimit returns the time in ms for which an endpoint of a service may be busy with prompts that were sent to it.
func (s *State) aheadLimit(service string) float64 {
	if limit := s.ahead[service]; limit > 0 {
		return limit
	}
	return defaultAhead
}

// aheadLimits derives the limits from the objectives of the routes.
func aheadLimits(c *fleet.Config) map[string]float64 {
	out := make(map[string]float64)
	if c == nil {
		return out
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != fleet.Stream || r.Target <= 0 {
			continue
		}
		limit := aheadShare * r.Target.Seconds() * 1000
		for _, w := range r.Services {
			if out[w.Service] == 0 || limit < out[w.Service] {
				out[w.Service] = limit
			}
		}
	}
	return out
}

// fill grants the free places of an endpoint to waiting requests.
func (s *State) fill(e *endpoint) {
	for s.waiting > 0 && s.open(e) {
		var best *request
		bestLate := false
		for _, m := range s.waitingFor(e) {
			for _, r := range m.waiting {
				late := r.target < s.now+e.first(r, s.now)
				if (best == nil || goesBefore(r, best, late, bestLate)) && s.fits(e, r) {
					best, bestLate = r, late
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

// waitingFor returns the models with waiting requests that an endpoint serves. The slice is valid until the next call.
func (s *State) waitingFor(e *endpoint) []*model {
	s.scratch = s.scratch[:0]
	add := func(name string) {
		if m := s.models[modelKey{e.service, name}]; m != nil && len(m.waiting) > 0 {
			s.scratch = append(s.scratch, m)
		}
	}
	if e.engine == nil {
		add("")
	}
	for name := range e.models {
		add(name)
	}
	slices.SortFunc(s.scratch, func(a, b *model) int { return strings.Compare(a.key.model, b.key.model) })
	return s.scratch
}

func (s *State) fillAll() {
	for _, e := range s.order {
		if s.waiting == 0 {
			return
		}
		s.fill(e)
	}
}

// predictWait estimates how long a request waits, by the requests of its model that go before it and the rates at which
// the model's endpoints free places and read prompts. A request that will be late also lets later arrivals pass, so that
// only the capacity that they leave counts for it. Without an endpoint that holds the model, a copy has to be loaded first
// and nothing is predicted.
func (s *State) predictWait(r *request) time.Duration {
	var before ahead
	for _, w := range r.model.waiting {
		if late := s.late(w); w != r && (late || s.before(w, r)) {
			before.add(w, late)
		}
	}
	return s.waitBehind(r, before)
}

// ahead is the work that goes before a waiting request.
type ahead struct {
	requests, tokens float64 // that can still be on time
	late             float64 // requests that can't
}

func (a *ahead) add(r *request, late bool) {
	if late {
		a.late++
		return
	}
	a.requests++
	a.tokens += float64(r.ask.PromptTokens)
}

// waitBehind is predictWait for a request with a known queue before it.
func (s *State) waitBehind(r *request, a ahead) time.Duration {
	c := s.capacity(r.model)
	if c.perSec == 0 {
		return 0
	}
	wait := a.requests / c.perSec
	if c.tokensPerMs > 0 {
		wait = max(wait, a.tokens/c.tokensPerMs/1000)
	}
	if s.now+seconds(wait)+s.ownFirst(r) <= r.target {
		return seconds(wait)
	}
	left := c.perSec - r.model.perSec
	if left <= leastLeft*c.perSec {
		return maxWait
	}
	return min(seconds((a.requests+a.late)/left), maxWait)
}

const (
	// leastLeft is the share of the capacity that arrivals must leave for late requests to be served at all.
	leastLeft = 0.05
	maxWait   = 30 * time.Second // longer predictions mean that the request won't be served
)

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (s *State) late(r *request) bool { return r.target < s.now+s.ownFirst(r) }

// opensAt returns when the first of the endpoints that can serve a request takes something from its host again, 0 if one
// does already or if there is no such endpoint.
func (s *State) opensAt(r *request) time.Duration {
	if s.now >= s.quietEnd {
		return 0
	}
	first := time.Duration(0)
	for _, e := range s.index(r.model) {
		if e.draining {
			continue
		}
		until := e.health.quiet[r.host]
		if until <= s.now {
			return 0
		}
		if first == 0 || until < first {
			first = until
		}
	}
	return first
}

// capacity is what the endpoints of a model can take.
type capacity struct {
	perSec      float64 // requests that they can start a second
	tokensPerMs float64 // prompt tokens that they read in a ms
	known       bool
	at          time.Duration
}

// capacityFor is how long an estimate of the capacity is used: each waiting request asks for it at each tick.
const capacityFor = 15 * time.Millisecond

// capacity estimates what the endpoints of a model can take.
func (s *State) capacity(m *model) capacity {
	at := s.index(m)
	if m.rate.known && s.now-m.rate.at < capacityFor {
		return m.rate
	}
	c := capacity{known: true, at: s.now}
	for _, e := range at {
		if e.draining || e.health.down(s.now) {
			continue
		}
		share := s.shareOf(e, m)
		c.perSec += share * e.startsPerSec(m)
		if e.engine != nil {
			c.tokensPerMs += share / max(e.readingMs(1), minReading)
		}
	}
	m.rate = c
	return c
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
