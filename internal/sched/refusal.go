package sched

import (
	"time"

	"sycamoredeal/internal/wire"
)

// A refused caller comes back with the rest of its deadline, under a new request id. The host can't know that the caller's
// target counts from its first attempt. In a flood, returns that counted as new requests were served late in place of
// requests that could still be on time, and as arrivals they made the capacity left for late requests look used up.
// Returns are therefore recognized, by the same prompt and the same end of the deadline, and get their first target.

const (
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// endTolerance is the resolution to which the ends of deadlines are compared. Callers state the remaining time, which
	// is then older by the time that the request travels.
	endTolerance      = 100 * time.Millisecond
	maxRefusedTargets = 8192 // bounds the memory
)

// returnKey identifies a request to an engine across the attempts of its caller.
type returnKey struct {
	modelKey
	adapter        string
	priority       uint8
	promptTokens   uint32
	expectedTokens uint32
	lastPart       uint64 // id of the last part of the prompt, which belongs to the request or its session
	end            int64  // end of the deadline, in units of endTolerance
}

func returnKeyOf(r *request) returnKey {
	a := &r.ask
	k := returnKey{
		modelKey: r.model.key, adapter: a.Adapter, priority: a.Priority, promptTokens: a.PromptTokens,
		expectedTokens: a.ExpectedTokens, end: int64(r.endBy / endTolerance),
	}
	if n := len(a.PromptParts); n > 0 {
		k.lastPart = a.PromptParts[n-1].ID
	}
	return k
}

// restoreTarget gives the return of a refused request the target of the caller's first attempt.
func (s *State) restoreTarget(r *request) {
	if r.endBy == 0 {
		return
	}
	if r.ask.Model == "" {
		if target, ok := s.serviceEstimateOf(r.ask.Service).returns.take(s.now, r); ok {
			r.target = min(r.target, target)
		}
		return
	}
	k := returnKeyOf(r)
	end := k.end
	for k.end = end - 1; k.end <= end+1; k.end++ {
		if target, ok := s.refusedTargets[k]; ok {
			r.target = min(r.target, target)
		}
	}
}

// keepTarget remembers the target of a refused request until the end of its deadline.
func (s *State) keepTarget(r *request) {
	if r.endBy == 0 || r.ask.Model == "" || len(s.refusedTargets) >= maxRefusedTargets {
		return
	}
	k := returnKeyOf(r)
	if target, ok := s.refusedTargets[k]; !ok || r.target < target {
		s.refusedTargets[k] = r.target
	}
}

// forgetTargets drops the targets of refused requests whose deadline has passed.
func (s *State) forgetTargets() {
	for k := range s.refusedTargets {
		if time.Duration(k.end+1)*endTolerance < s.now {
			delete(s.refusedTargets, k)
		}
	}
}

// refuse rejects a request. The retry delays have random jitter, so that callers don't all retry at the same time.
func (s *State) refuse(r *request, reason string, wait time.Duration) {
	s.keepTarget(r)
	retryAfter := s.returnTime(r, wait)
	if s.expectsReturn(r) {
		if r.ask.Model == "" {
			s.serviceEstimateOf(r.ask.Service).returns.add(s.now, r, retryAfter)
		}
		r.model.addTold(s.now, r.ask.Priority, retryAfter)
	}
	s.emit(r, &wire.Refuse{ID: r.id, Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds())}, reason, wait)
}

// returnTime returns the time after which the caller of a refused request is told to come back: when the requests that wait now
// and the callers who have been told to come back before are expected to have been served. Callers come back after a third
// of their remaining time at the latest.
func (s *State) returnTime(r *request, wait time.Duration) time.Duration {
	limit := maxRetryDelay
	if r.endBy > 0 {
		limit = time.Duration(returnShare * float64(max(r.endBy-s.now, 0)))
	}
	after := min(max(wait, minRetryDelay), maxRetryDelay)
	after = time.Duration(float64(after) * (0.7 + 0.6*s.rng.Float64()))
	if c := s.capacity(r.model).requestsPerSec; c > 0 {
		left := max(c-min(r.model.onTimePerSec, r.model.meanOnTime), minSpareShare*c)
		after += seconds(r.model.toldToReturn(s.now, r.ask.Priority) / left)
	}
	return min(after, max(limit, minRetryDelay))
}

// expectsReturn reports whether the caller of a refused request may come back. The refusal of a second
// attempt beside another, and of a request that only takes a slot that is free at once, doesn't reach a caller.
func (s *State) expectsReturn(r *request) bool {
	return r.endBy > s.now && !r.ask.Speculative && r.startBy-r.askedAt > returnSlack
}

// refuseExpired refuses waiting requests whose start deadline has passed, and late ones that are predicted to miss it.
func (s *State) refuseExpired(m *model) {
	if len(m.waiting) == 0 {
		return
	}
	var work queuedWork
	for _, q := range s.servingOrder(m.waiting) {
		r, late := q.request, q.late
		wait := s.waitBehind(r, work)
		reason := ""
		switch {
		case s.acceptsAgainAt(r) > r.startBy:
			reason = "its endpoints want nothing from the host for longer"
		case s.now+s.idleFirstToken(r) >= r.startBy:
			reason = "waited until it could not start in time"
		case s.noEndpointEndsInTime(r):
			reason = "can't end in time any more"
		case late && s.now+wait > r.startBy:
			reason = "late, and arrivals leave no capacity"
		default:
			work.add(r, late)
			continue
		}
		s.dequeue(r)
		s.refuse(r, reason, wait)
	}
}
