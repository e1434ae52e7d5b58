package sched

import "time"

// Fault is the kind of failure of an attempt. Its values are sent in wire messages and must not be reused.
type Fault uint8

// Faults of an attempt.
const (
	NoFault        Fault = iota
	ConnectFailed        // the connection could not be established
	TimedOut             // no answer in time
	BrokenResponse       // the connection ended before a complete answer, or the answer is malformed
	ErrorStatus          // the endpoint itself answered with an error status
	WrongServer          // a different server answers at the address
)

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{"none", "no connection", "silent", "broken answer", "error status", "another server"}
	if int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

const (
	firstPause          = 500 * time.Millisecond // doubled for each further pause
	maxPause            = 4 * time.Second
	pauseResetAfter     = 10 * time.Second       // time without a fault after which the pause length is reset
	avoidDuration       = time.Second            // time for which a host avoids an endpoint that only this host can't use
	recentSuccessWindow = 400 * time.Millisecond // after a success: connection faults seen by a single host don't pause the endpoint
	maxFailureRate      = 0.3                    // failure rate above which an endpoint is paused
	failureSmoothing    = 0.08
	minFailureSamples   = 8
	maxPausedShare      = 0.5 // share of a service's endpoints that may be paused for their failure rate
)

// health tracks whether an endpoint gets requests. A host with a broken network sees all endpoints fail. Therefore, while
// other hosts are served, the faults that one host reports only keep its own requests from the endpoint.
type health struct {
	pausedUntil  time.Duration // end of the current or last pause
	pauseCount   int           // since the last reset; each doubles the length of the next pause
	lastFault    time.Duration
	onTrial      bool          // set after a pause until a request succeeds; limits requests to one per trialInterval
	nextTrial    time.Duration // earliest time of the next request on trial
	lastSuccess  time.Duration
	hasSucceeded bool
	faultHosts   map[string]time.Duration // hosts with a fault since the last success, with the time of their last fault
	avoidUntil   map[string]time.Duration // by host; the host avoids the endpoint until then
	quietUntil   map[string]time.Duration // by host; the endpoint asked the host to send nothing until then
	failureRate  float64
	samples      int
}

// setQuiet records that the endpoint asked a host to send nothing until a given time. Neither a success nor a fault
// shortens that.
func (h *health) setQuiet(host string, until time.Duration) {
	if h.quietUntil == nil {
		h.quietUntil = make(map[string]time.Duration)
	}
	h.quietUntil[host] = max(h.quietUntil[host], until)
}

// trialInterval is the minimum time between two requests to an endpoint on trial.
const trialInterval = 300 * time.Millisecond

// usable reports whether a request of a host may be sent to the endpoint now.
func (h *health) usable(now time.Duration, host string) bool {
	if now < h.pausedUntil || now < h.avoidUntil[host] || now < h.quietUntil[host] {
		return false
	}
	return !h.onTrial || now >= h.nextTrial
}

// granted records that a request was sent. On trial, the next one waits for its success or for trialInterval.
func (h *health) granted(now time.Duration) {
	if h.onTrial {
		h.nextTrial = now + trialInterval
	}
}

// down reports whether the endpoint is paused or on trial.
func (h *health) down(now time.Duration) bool { return now < h.pausedUntil || h.onTrial }

// success records an answer, and reports whether it ends a trial.
func (h *health) success(now time.Duration, host string) (trialEnded bool) {
	trialEnded = h.onTrial
	h.lastSuccess, h.hasSucceeded, h.onTrial = now, true, false
	h.failureRate -= failureSmoothing * h.failureRate
	h.samples++
	clear(h.faultHosts)
	delete(h.avoidUntil, host)
	if now-h.lastFault > pauseResetAfter {
		h.pauseCount = 0
	}
	return trialEnded
}

// failure records a fault, and reports whether the endpoint is paused because of it. mayEject reports whether a pause for
// the failure rate is allowed; it is only called when the rate is high.
func (h *health) failure(now time.Duration, host string, f Fault, mayEject func() bool) (paused bool) {
	h.lastFault = now
	h.failureRate += failureSmoothing * (1 - h.failureRate)
	h.samples++
	if f == ErrorStatus {
		return h.samples >= minFailureSamples && h.failureRate > maxFailureRate && mayEject() && h.pause(now)
	}
	if h.faultHosts == nil {
		h.faultHosts, h.avoidUntil = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	repeated := h.faultHosts[host] > 0
	h.faultHosts[host] = now
	recentlyOK := h.hasSucceeded && now-h.lastSuccess < recentSuccessWindow
	switch {
	case h.onTrial, f == WrongServer, len(h.faultHosts) > 1, !recentlyOK && (f == ConnectFailed || repeated):
		return h.pause(now)
	case h.samples >= minFailureSamples && h.failureRate > maxFailureRate && mayEject():
		return h.pause(now)
	}
	h.avoidUntil[host] = now + avoidDuration
	return false
}

// pause stops requests to the endpoint for a while, and reports whether it was not already paused.
func (h *health) pause(now time.Duration) bool {
	if now < h.pausedUntil {
		return false
	}
	h.pausedUntil = now + min(firstPause<<min(h.pauseCount, 8), maxPause)
	h.pauseCount++
	h.onTrial, h.nextTrial = true, h.pausedUntil
	clear(h.faultHosts)
	return true
}

// mayEject reports whether an endpoint may be paused for its failure rate. At most maxPausedShare of a service's endpoints
// are paused, and only if the others have enough slots for the current load: if one of two endpoints fails a third of its
// requests and the other can't take the whole load, a pause would make all requests late.
func (s *State) mayEject(e *endpoint) bool {
	all, down := 0, 0
	for _, o := range s.sortedEndpoints {
		if o.service == e.service && o.present && !o.draining {
			all++
			if o.health.down(s.now) {
				down++
			}
		}
	}
	left, needed := s.slotsWithout(e)
	return float64(down+1) <= maxPausedShare*float64(all) && needed <= maxLoadAfterPause*left
}

// maxLoadAfterPause is the share of the remaining slots that the load of a service may take after an endpoint is paused for
// its failure rate.
const maxLoadAfterPause = 0.8

// slotsWithout returns the slots of the usable endpoints of e's service except e, and the slots that the requests of the
// service need.
func (s *State) slotsWithout(e *endpoint) (left, needed float64) {
	for _, o := range s.sortedEndpoints {
		if o != e && o.service == e.service && o.present && !o.draining && !o.health.down(s.now) {
			left += float64(o.slots)
		}
	}
	for _, m := range s.modelOrder {
		if m.key.service == e.service {
			needed += max(m.arrivalsPerSec*m.holdSec, float64(m.running)) * s.weight(m)
		}
	}
	return left, needed
}

// HealthChange records that an endpoint was paused or is used again, with the reasons, for the log.
type HealthChange struct {
	Endpoint      string
	Paused        bool // false if the endpoint is used again
	Fault         Fault
	FailureRate   float64 // smoothed share of failed requests
	PauseDuration time.Duration
	SlotsLeft     float64 // slots of the service's other usable endpoints
	SlotsNeeded   float64 // slots that the service's requests need
}

// recordHealthChange records that an endpoint is paused or used again.
func (s *State) recordHealthChange(e *endpoint, paused bool, f Fault) {
	n := HealthChange{Endpoint: e.id, Paused: paused, Fault: f, FailureRate: e.health.failureRate}
	n.SlotsLeft, n.SlotsNeeded = s.slotsWithout(e)
	if paused {
		n.PauseDuration = e.health.pausedUntil - s.now
	}
	s.healthChanges = append(s.healthChanges, n)
}

// TakeHealthChanges returns the changes since the previous call. The slice is valid until the next event.
func (s *State) TakeHealthChanges() []HealthChange {
	out := s.healthChanges
	s.healthChanges = s.healthChanges[:0]
	return out
}
