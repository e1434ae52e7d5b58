package sched

import (
	"slices"
	"time"

	"sycamoredeal/internal/wire"
)

// Quarantine returns the quarantine of the state's requests, which State keeps up to date.
func (s *State) Quarantine() *Quarantine { return s.quarantine }

// MergeQuarantine adds what another host knows of prompt parts that crash engines.
func (s *State) MergeQuarantine(now time.Duration, list []wire.QuarantinedPart) {
	s.now = now
	s.quarantine.Merge(now, list)
	s.refuseBlocked()
}

// BlockedReason is the reason of a refusal for a blocked part.
const BlockedReason = "a part of the prompt crashes engines"

// refuseIfBlocked refuses a request with a blocked part, and reports whether it did. The caller is told the time until the
// block ends: an earlier return would be refused as well.
func (s *State) refuseIfBlocked(r *request) bool {
	left, blocked := s.quarantine.Blocked(s.now, r.ask.PromptParts)
	if blocked {
		s.emit(r, &wire.Refuse{ID: r.id, Reason: BlockedReason, RetryAfterMs: uint32(left.Milliseconds())}, BlockedReason, left)
	}
	return blocked
}

// refuseBlocked refuses the waiting requests with a blocked part.
func (s *State) refuseBlocked() {
	for _, m := range s.modelOrder {
		for _, r := range slices.Clone(m.waiting) {
			if s.refuseIfBlocked(r) {
				s.dequeue(r)
			}
		}
	}
}

// mayTry reports whether a request with suspected parts may be sent to an endpoint now: one request at a time for each part,
// and one at a time at each endpoint, because a crash would not show which of two was the cause.
func (s *State) mayTry(e *endpoint, r *request) bool {
	return !s.quarantine.Suspected(r.ask.PromptParts) || !e.trial.pending(s.now) && !s.quarantine.onTrial(s.now, r.ask.PromptParts)
}

// startTrial makes a granted request a trial if its prompt has suspected parts.
func (s *State) startTrial(r *request) {
	if r.onTrial = s.quarantine.Suspected(r.ask.PromptParts); r.onTrial {
		t := trial{r.requestKey, s.now}
		s.quarantine.startTrial(t, r.ask.PromptParts)
		r.endpoint.trial = t
	}
}

// endTrial ends the trial of a request whose answer has begun or whose slot is freed.
func (s *State) endTrial(r *request) {
	if r.onTrial {
		r.onTrial = false
		if r.endpoint.trial.request == r.requestKey {
			r.endpoint.trial = trial{}
		}
		s.quarantine.endTrial(r.requestKey, r.ask.PromptParts)
	}
}

// observeEnds tells the quarantine which engines that crashed are not listed any more.
func (s *State) observeEnds() {
	for _, p := range s.quarantine.processes() {
		if e := s.endpoints[p.endpoint]; e == nil || !e.present || e.born != p.born {
			s.quarantine.Ended(s.now, p.endpoint, p.born)
		}
	}
}

// observeCrash updates the quarantine from the end of an attempt, which was a trial if onTrial is true.
func (s *State) observeCrash(r *request, d *wire.Done, onTrial bool) {
	e := r.endpoint
	switch {
	case e.engine == nil:
	case d.Events > 0 || d.TotalMs > 0 && d.Fault == 0:
		s.quarantine.Began(r.ask.PromptParts)
		s.quarantine.Alive(s.now, e.id, e.born, r.grantedAt)
	case Fault(d.Fault) == ConnectFailed:
		s.quarantine.Ended(s.now, e.id, e.born)
	case d.ConnectionLost:
		s.quarantine.Crashed(s.now, r.ask.PromptParts, e.id, e.born, onTrial)
		s.observeEnds()
		s.refuseBlocked()
	}
}
