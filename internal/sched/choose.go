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
	// backlogShare limits the prefill backlog of an engine, as a share of the shortest target of the routes to its service.
	// A request that waits in the queue instead can still be sent to another endpoint, and more urgent requests that
	// arrive later can overtake it.
	backlogShare           = 0.2
	defaultBacklogMs       = 110.0  // for services without a target
	loadPenaltyMs          = 40.0   // at full load; each step of a larger batch takes longer for all its requests
	adapterPenaltyMs       = 15.0   // if the adapter has to be loaded first
	jitterMs               = 4.0    // maximum; random, so that equal endpoints get equal shares of the requests
	coldPenaltyMs          = 8.0    // if a connection has to be opened: round trips and work of the endpoint
	trialLoadPenaltyMs     = 1000.0 // at full load, for a request that may crash the engine and with it all requests there
	repeatedTrialPenaltyMs = 500.0  // for such a request at an endpoint where one has just ended without an answer
	plainColdPenalty       = 0.12   // the same for a plain service, without a unit
	plainLoadPenalty       = 1.0    // at full load
	plainJitter            = 0.05
)

// acceptsRequests reports whether an endpoint is listed, not draining, within its limit, and has a free slot and a short enough
// prefill backlog for another request.
func (s *State) acceptsRequests(e *endpoint) bool {
	if !e.present || e.draining || e.usedSlots >= s.slotLimit(e) || s.limitReached(e) {
		return false
	}
	return e.engine == nil || e.backlogMs(s.now) <= s.backlogLimitMs(e.service)
}

// canServe reports whether a request may start now at an endpoint for which acceptsRequests is true.
func (s *State) canServe(e *endpoint, r *request) bool {
	a := &r.ask
	if e.service != a.Service || !e.health.usable(s.now, r.host) {
		return false
	}
	if slices.Contains(a.Exclude, e.id) || !s.mayTry(e, r) {
		return false
	}
	if e.engine == nil {
		// Without a configuration, engines can't be distinguished from plain services.
		return a.Model == "" && s.service(e.service) != nil && s.endsInTime(e, r)
	}
	if !e.models[a.Model] || s.closingCopies[wire.ModelCopy{Endpoint: e.id, Model: a.Model}] {
		return false
	}
	if e.engine.KVTokens > 0 && e.usedSlots > 0 && e.kvTokens+float64(a.PromptTokens)+outputTokens(a) > kvShare*float64(e.engine.KVTokens) {
		return false
	}
	return (a.Adapter == "" || s.canUseAdapter(e, a)) && s.endsInTime(e, r)
}

// canUseAdapter reports whether a request's adapter can be used at an endpoint: running requests already use it there, or
// the adapters in use leave an adapter slot free. An adapter that has to be loaded also needs a holder that orders it and
// an endpoint that accepts the order.
func (s *State) canUseAdapter(e *endpoint, a *wire.Ask) bool {
	switch {
	case e.requestsByAdapter[copies.Adapter{Model: a.Model, Name: a.Adapter}] > 0:
		return true
	case len(e.requestsByAdapter) >= e.engine.AdapterSlots:
		return false
	}
	return e.hasAdapter(a.Model, a.Adapter) || s.holder != "" && !s.changingEndpoints[e.id]
}

// slotLimit returns the number of slots that may be granted at an endpoint.
func (s *State) slotLimit(e *endpoint) int {
	if s.now-s.startedAt < s.cfg.RebuildDuration {
		return max(int(rebuildSlotShare*float64(e.slots)), 1)
	}
	return e.slots
}

// choose returns the endpoint with the lowest score for a request, or nil if no endpoint can serve it now.
func (s *State) choose(r *request) *endpoint {
	var best *endpoint
	score := math.Inf(1)
	for _, e := range s.endpointsOf(r.model) {
		if !s.acceptsRequests(e) || !s.canServe(e, r) {
			continue
		}
		if v := s.score(e, r); v < score {
			best, score = e, v
		}
	}
	return best
}

// score returns the expected cost of a request at an endpoint, in ms for engines. Lower is better.
func (s *State) score(e *endpoint, r *request) float64 {
	load := float64(e.usedSlots) / float64(e.slots)
	warm := slices.Contains(r.ask.WarmEndpoints, e.id)
	if e.engine == nil {
		v := plainLoadPenalty*load + e.slowness/4 + plainJitter*s.rng.Float64()
		if !warm {
			v += plainColdPenalty
		}
		return v
	}
	v := e.firstTokenMs(r, s.now) + loadPenaltyMs*load + jitterMs*s.rng.Float64()
	if !warm {
		v += coldPenaltyMs
	}
	if a := &r.ask; a.Adapter != "" && !e.hasAdapter(a.Model, a.Adapter) {
		v += adapterPenaltyMs
	}
	if s.quarantine.Suspected(r.ask.PromptParts) {
		v += trialLoadPenaltyMs * load
		if s.quarantine.lostAt(e.id, r.ask.PromptParts) {
			v += repeatedTrialPenaltyMs
		}
	}
	return v
}

// queued is a waiting request with what decides its place in the order.
type queued struct {
	*request
	late bool
	at   float64 // virtual time of its account when it is served, see shareRank
}

// before reports whether waiting request a is served before b. Requests that can still meet their target come first, ordered by
// rank, by rank of the route, by the share of their account, and then by target. Late requests follow, ordered likewise and
// then by start deadline.
func (a queued) before(b queued) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.ask.Priority != b.ask.Priority:
		return a.ask.Priority < b.ask.Priority
	case a.ask.RouteRank != b.ask.RouteRank:
		return a.ask.RouteRank < b.ask.RouteRank
	case a.at != b.at:
		return a.at < b.at
	case a.late:
		return a.startBy < b.startBy
	}
	return a.target < b.target
}

// sameClass reports whether a and b have the same rank, and are both late or both not.
func (a queued) sameClass(b queued) bool {
	return a.late == b.late && a.ask.Priority == b.ask.Priority && a.ask.RouteRank == b.ask.RouteRank
}

// servingOrder returns waiting requests of a model in the order in which they are served.
func (s *State) servingOrder(waiting []*request) []queued {
	queue := make([]queued, len(waiting))
	for i, r := range waiting {
		queue[i] = queued{request: r, late: s.late(r)}
	}
	compare := func(a, b queued) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(queue, compare)
	if len(s.serviceEstimateOf(waiting[0].ask.Service).shares) == 0 {
		return queue
	}
	type flow struct {
		shareKey
		account string
		late    bool
	}
	ahead := make(map[flow]float64) // requests of the account that are served before
	for i := range queue {
		q := &queue[i]
		f := flow{shareKey{q.ask.Priority, q.ask.RouteRank}, q.ask.Account, q.late}
		at, step := s.share(q.request)
		q.at = at + ahead[f]*step
		ahead[f]++
	}
	slices.SortStableFunc(queue, compare)
	return queue
}

// idleFirstToken predicts the time to the first token of a request at an idle endpoint without cached prompt parts. For a
// plain service, it is the time that a request needs before its start deadline.
func (s *State) idleFirstToken(r *request) time.Duration {
	if r.ask.Model == "" {
		return s.timeToStartDeadline(r)
	}
	first, perToken := s.prefillEstimateOf(r.ask.Service).fit()
	return seconds((first + float64(r.ask.PromptTokens)*perToken) / 1000)
}

// prefillEstimateOf returns the estimate of the time to the first token for a service.
func (s *State) prefillEstimateOf(service string) *prefillEstimate {
	p := s.prefillEstimates[service]
	if p == nil {
		p = newPrefillEstimate()
		s.prefillEstimates[service] = p
	}
	return p
}

// backlogLimitMs returns the maximum prefill backlog of an endpoint of a service.
func (s *State) backlogLimitMs(service string) float64 {
	if limit := s.backlogLimits[service]; limit > 0 {
		return limit
	}
	return defaultBacklogMs
}

// deriveBacklogLimits returns the maximum prefill backlog in ms by service, from the targets of the routes.
func deriveBacklogLimits(c *fleet.Config) map[string]float64 {
	out := make(map[string]float64)
	if c == nil {
		return out
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != fleet.Stream || r.TargetLatency <= 0 {
			continue
		}
		limit := backlogShare * r.TargetLatency.Seconds() * 1000
		for _, w := range r.Services {
			if out[w.Service] == 0 || limit < out[w.Service] {
				out[w.Service] = limit
			}
		}
	}
	return out
}

// fill grants the free slots of an endpoint to waiting requests.
func (s *State) fill(e *endpoint) {
	for s.waiting > 0 && s.acceptsRequests(e) {
		var best queued
		for _, m := range s.waitingFor(e) {
			for _, r := range m.waiting {
				at, _ := s.share(r)
				q := queued{r, r.target < s.now+s.timeToTargetAt(e, r), at}
				if (best.request == nil || q.before(best)) && s.canServe(e, r) {
					best = q
				}
			}
		}
		if best.request == nil {
			return
		}
		s.unqueue(best.request)
		s.grant(best.request, e)
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

// fillAllEndpoints grants the free slots of all endpoints to waiting requests.
func (s *State) fillAllEndpoints() {
	for _, e := range s.sortedEndpoints {
		if s.waiting == 0 {
			return
		}
		s.fill(e)
	}
}

// predictWait estimates how long a request waits, from the requests of its model that are served before it and the rates at
// which the model's endpoints free slots and process prompts. A request that will be late is overtaken by later arrivals that
// can be on time, so only the capacity that these leave is available to it. If no endpoint holds the model, a copy has to
// be loaded first; the wait can't be predicted and 0 is returned.
func (s *State) predictWait(r *request) time.Duration {
	var work queuedWork
	var others []accountWork // of the same class, if accounts share the slots
	own := 0.0
	self := queued{request: r, late: s.late(r)}
	shared := s.shareRankOf(r) != nil
	var index map[string]int // of others by account
	if shared {
		index = make(map[string]int)
	}
	for _, w := range r.model.waiting {
		q := queued{request: w, late: s.late(w)}
		switch {
		case w == r:
		case q.late:
			work.add(w, true)
		case shared && q.sameClass(self) && w.ask.Account != r.ask.Account:
			i, ok := index[w.ask.Account]
			if !ok {
				i, index[w.ask.Account] = len(others), len(others)
				others = append(others, accountWork{first: w})
			}
			others[i].add(w, false)
		case q.before(self):
			work.add(w, false)
			if q.sameClass(self) {
				own++
			}
		}
	}
	if len(others) > 0 {
		at, step := s.share(r)
		for _, a := range others {
			work.addUntil(a.queuedWork, s.requestsUntil(a.first, at+own*step))
		}
	}
	return s.waitBehind(r, work)
}

// requestsUntil returns how many waiting requests of a request's account are served until the given virtual time.
func (s *State) requestsUntil(r *request, until float64) float64 {
	at, step := s.share(r)
	if at > until {
		return 0
	}
	return math.Floor((until-at)/step) + 1
}

// accountWork sums up the waiting requests of an account that are in one class.
type accountWork struct {
	queuedWork
	first *request
}

// queuedWork sums up the requests that are served before a waiting request.
type queuedWork struct {
	requests, tokens float64 // requests that can still be on time, and their prompt tokens
	late             float64 // number of requests that can't
}

func (q *queuedWork) add(r *request, late bool) {
	if late {
		q.late++
		return
	}
	q.requests++
	q.tokens += float64(r.ask.PromptTokens)
}

// addUntil adds the first n requests of other, which can all still be on time.
func (q *queuedWork) addUntil(other queuedWork, n float64) {
	n = min(n, other.requests)
	q.requests += n
	q.tokens += other.tokens * n / other.requests
}

// waitBehind estimates how long a request waits behind the given work; see predictWait.
func (s *State) waitBehind(r *request, work queuedWork) time.Duration {
	c := s.capacity(r.model)
	if c.requestsPerSec == 0 {
		return 0
	}
	wait := work.requests / c.requestsPerSec
	if c.tokensPerMs > 0 {
		wait = max(wait, work.tokens/c.tokensPerMs/1000)
	}
	if s.now+seconds(wait)+s.timeToTarget(r) <= r.target {
		return seconds(wait)
	}
	left := c.requestsPerSec - r.model.onTimeRate()
	if left <= minSpareShare*c.requestsPerSec {
		return maxPredictedWait
	}
	return min(seconds((work.requests+work.late)/left), maxPredictedWait)
}

// onTimeRate returns the rate of arrivals that can be on time, as late requests should expect it while they wait. At plain
// services, they have the rest of their deadline to wait for the end of a spike. The rate is therefore the present one or
// the mean over some spikes, whichever is less.
func (m *model) onTimeRate() float64 {
	if m.key.model != "" || m.meanOnTime == 0 {
		return m.onTimePerSec
	}
	return min(m.onTimePerSec, m.meanOnTime)
}

// spikeSmoothing is the weight of a measurement in the mean rate of arrivals, which covers about 8 s: spikes last 6 to 11 s.
const spikeSmoothing = 0.06

const (
	// minSpareShare is the share of the capacity that arrivals must leave over. With less, late requests are not
	// expected to be served.
	minSpareShare    = 0.05
	maxPredictedWait = 30 * time.Second // limit of predicted waits; such a request is not expected to be served
)

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// late reports whether a request would miss its target even at an idle endpoint. At a plain service, its answer has to be
// complete by then.
func (s *State) late(r *request) bool { return r.target < s.now+s.timeToTarget(r) }

// acceptsAgainAt returns the earliest time at which an endpoint of the request's model accepts requests from its host
// again. It is 0 if an endpoint accepts them now or if no endpoint serves the model.
func (s *State) acceptsAgainAt(r *request) time.Duration {
	if s.now >= s.latestQuietEnd {
		return 0
	}
	first := time.Duration(0)
	for _, e := range s.endpointsOf(r.model) {
		if e.draining {
			continue
		}
		until := e.health.quietUntil[r.host]
		if until <= s.now {
			return 0
		}
		if first == 0 || until < first {
			first = until
		}
	}
	return first
}

// capacity holds the rates at which the endpoints of a model together can serve it.
type capacity struct {
	requestsPerSec float64 // requests that can start per second
	tokensPerMs    float64 // prompt tokens processed per ms
	valid          bool
	computedAt     time.Duration
}

// capacityMaxAge is how long an estimate of the capacity is cached: every tick needs it for each waiting request.
const capacityMaxAge = 15 * time.Millisecond

// capacity estimates the rates at which the endpoints of a model together can serve it.
func (s *State) capacity(m *model) capacity {
	endpoints := s.endpointsOf(m)
	if m.capacity.valid && s.now-m.capacity.computedAt < capacityMaxAge {
		return m.capacity
	}
	c := capacity{valid: true, computedAt: s.now}
	for _, e := range endpoints {
		if e.draining || e.health.down(s.now) {
			continue
		}
		share := s.workShare(e, m)
		c.requestsPerSec += share * e.startsPerSec(m)
		if e.engine != nil {
			c.tokensPerMs += share / max(e.prefillMs(1), minPrefillMsPerToken)
		}
	}
	m.capacity = c
	return c
}

// workShare estimates the share of an endpoint's work that belongs to a model, from the running and waiting requests of all
// models that the endpoint holds.
func (s *State) workShare(e *endpoint, m *model) float64 {
	if e.engine == nil || len(e.models) < 2 {
		return 1
	}
	own, all := 1.0, 1.0
	s.shares = s.shares[:0]
	for name := range e.models {
		o := s.models[modelKey{e.service, name}]
		if o == nil {
			continue
		}
		n := float64(len(o.waiting)) + o.arrivalsPerSec*o.holdSec
		s.shares = append(s.shares, n)
		if o == m {
			own += n
		}
	}
	slices.Sort(s.shares) // the rounding of a sum depends on the order of its terms
	for _, n := range s.shares {
		all += n
	}
	return own / all
}
