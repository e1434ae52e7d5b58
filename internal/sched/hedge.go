package sched

import "sycamoredeal/internal/wire"

// A hedge is a second attempt at a request whose first attempt is slow to begin. A slow answer is often the sign of an
// overloaded service, where more work makes more answers slow. The dispatcher therefore grants a hedge only a slot that no other
// request is about to need, and decides it at once: a hedge never waits.
//
// Load pattern: one endpoint of many answers slowly, or answers are slow now and then, while the others have slots to spare.
const (
	maxHedgeLoad        = 0.5 // of the second endpoint's slots, KV cache or allowed backlog, with the hedge
	maxHedgeServiceLoad = 0.7 // of the slots of all usable endpoints of the model
	maxHedgeSlowness    = 1.5 // slowness above which an endpoint counts as slow
	maxSlowShare        = 0.5 // of the usable endpoints; if more are slow, the service is, and not single endpoints
	// silenceFactor is the expected time of an attempt, in times of its silence so far. Only a lower bound is known when a hedge is
	// granted; without an estimate, an endpoint whose attempts are all cancelled would count as fast again.
	silenceFactor = 2.0
)

// Reasons of refused hedges.
const (
	HedgeWaitingReason   = "requests wait for the service"
	HedgeLoadReason      = "the service has no slots to spare"
	HedgeSlowReason      = "most endpoints of the service are slow"
	HedgeNoRoomReason    = "no other endpoint has room for a hedge"
	HedgeRebuildReason   = "the dispatcher does not know all loads yet"
	HedgeSuspectedReason = "a part of the prompt is suspected to crash engines"
)

// askSpeculative decides a request whose first attempt is still in progress. It grants a slot that nothing else needs, or refuses.
func (s *State) askSpeculative(r *request) {
	reason := s.hedgeRefusal(r)
	var e *endpoint
	if reason == "" {
		if e = s.chooseForHedge(r); e == nil {
			reason = HedgeNoRoomReason
		} else if !s.lendRetry(r) {
			reason = RetriesUsedReason
		}
	}
	if reason != "" {
		// The first attempt goes on, so the refused request is not one that its caller may send again; see keepTarget.
		s.emit(r, &wire.Refuse{ID: r.id, Reason: reason}, reason, 0)
		return
	}
	s.observeSilence(r)
	s.grant(r, e)
}

// observeSilence updates the slowness of the endpoint at which the first attempt of a hedged request is silent. The attempt is
// measured no more if the hedge answers before.
func (s *State) observeSilence(r *request) {
	if r.ask.Request == "" || len(r.ask.Exclude) == 0 {
		return
	}
	var first *request
	at := r.ask.Exclude[len(r.ask.Exclude)-1]
	for _, o := range s.requests {
		if o.host == r.host && o.ask.Request == r.ask.Request && o.endpoint != nil && o.endpoint.id == at && !o.started && (first == nil || o.id > first.id) {
			first = o
		}
	}
	if first == nil {
		return
	}
	silence := silenceFactor * (s.now - first.grantedAt).Seconds()
	expected := first.predictedMs / 1000
	if first.endpoint.engine == nil {
		// The mean has to contain it as well: all endpoints would be slower than the mean otherwise.
		r.model.holdSec += holdSmoothing * (silence - r.model.holdSec)
		expected = r.model.holdSec
	}
	if ratio := silence / max(expected, minHoldSec); ratio > 1 {
		first.endpoint.updateSlowness(s.now, ratio)
	}
}

// hedgeRefusal returns the reason for which the model of a request gets no hedges now, or an empty string.
func (s *State) hedgeRefusal(r *request) string {
	switch {
	case s.now-s.startedAt < s.cfg.RebuildDuration:
		return HedgeRebuildReason
	case s.quarantine.Suspected(r.ask.PromptParts):
		return HedgeSuspectedReason
	case s.waitingForService(r.ask.Service):
		return HedgeWaitingReason
	}
	endpoints, slow, used, slots := 0, 0, 1, 0 // with the hedge
	for _, e := range s.endpointsOf(r.model) {
		if e.draining || e.health.down(s.now) {
			continue
		}
		endpoints++
		used += e.usedSlots
		slots += e.slots
		if e.slowness > maxHedgeSlowness || s.prefillOverdue(e) {
			slow++
		}
	}
	switch {
	case float64(used) > maxHedgeServiceLoad*float64(slots):
		return HedgeLoadReason
	case float64(slow) > maxSlowShare*float64(endpoints):
		return HedgeSlowReason
	}
	return ""
}

// waitingForService reports whether requests wait for any model of a service.
func (s *State) waitingForService(service string) bool {
	if s.waiting == 0 {
		return false
	}
	for _, m := range s.modelOrder {
		if m.key.service == service && len(m.waiting) > 0 {
			return true
		}
	}
	return false
}

// prefillOverdue reports whether the first token of the oldest prompt at an endpoint is overdue.
func (s *State) prefillOverdue(e *endpoint) bool {
	if len(e.pendingPrefills) == 0 {
		return false
	}
	oldest := e.pendingPrefills[0]
	return s.now-oldest.grantedAt > overdueSlack+seconds(overdueRatio*oldest.predictedMs/1000)
}

// chooseForHedge returns the endpoint with the lowest score among those with room for a hedge, or nil.
func (s *State) chooseForHedge(r *request) *endpoint {
	var best *endpoint
	score := 0.0
	for _, e := range s.endpointsOf(r.model) {
		if !s.acceptsRequests(e) || !s.canServe(e, r) || !s.hasRoomForHedge(e, r) {
			continue
		}
		if v := s.score(e, r); best == nil || v < score {
			best, score = e, v
		}
	}
	return best
}

// hasRoomForHedge reports whether a hedge leaves enough of an endpoint free. An endpoint that limits its requests has no room, and
// neither has one that had to load the adapter first.
func (s *State) hasRoomForHedge(e *endpoint, r *request) bool {
	a := &r.ask
	if e.limit != nil || e.health.down(s.now) || e.slowness > maxHedgeSlowness || s.prefillOverdue(e) {
		return false
	}
	if float64(e.usedSlots+1) > maxHedgeLoad*float64(e.slots) {
		return false
	}
	if e.engine == nil {
		return true
	}
	if a.Adapter != "" && !e.hasAdapter(a.Model, a.Adapter) {
		return false
	}
	if kv := float64(e.engine.KVTokens); kv > 0 && e.kvTokens+float64(a.PromptTokens)+outputTokens(a) > maxHedgeLoad*kv {
		return false
	}
	return e.backlogMs(s.now) <= maxHedgeLoad*s.backlogLimitMs(e.service)
}
