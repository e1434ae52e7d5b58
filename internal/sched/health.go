package sched

import "time"

// Fault tells what failed in an attempt. Its values travel in wire messages and are never reused.
type Fault uint8

// Faults of an attempt.
const (
	NoFault        Fault = iota
	ConnectFailed        // no connection was made
	TimedOut             // no answer in time
	BrokenResponse       // the connection ended without a whole answer, or the bytes are no answer
	ErrorStatus          // the endpoint answered with an error of its own
	WrongServer          // another server has the address
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
	firstPause    = 500 * time.Millisecond // doubles with each further one
	maxPause      = 4 * time.Second
	forgetAfter   = 10 * time.Second // without a fault, pauses are short again
	avoidFor      = time.Second      // by a host that alone can't reach the endpoint
	provenFor     = 400 * time.Millisecond
	failShare     = 0.3 // of the latest requests: an endpoint that fails more of them is paused
	failSmoothing = 0.08
	failSamples   = 8
	maxRatePaused = 0.5 // share of a service's endpoints that are paused by their failure rate
)

// health decides whether an endpoint gets requests. A host that is cut off sees all endpoints fail, so one host's word
// only counts for itself while others are served.
type health struct {
	until    time.Duration // paused before it
	pauses   int
	lastBad  time.Duration
	trial    bool // after a pause, one request at a time until one succeeds
	inTrial  time.Duration
	okAt     time.Duration
	everOK   bool
	accusers map[string]time.Duration // hosts that met a fault since the last success
	avoid    map[string]time.Duration // hosts that leave the endpoint alone until a time
	quiet    map[string]time.Duration // hosts from which the endpoint wants nothing until a time
	rate     float64
	samples  int
}

// hush notes that an endpoint wants nothing from a host until a time. Neither a success nor a fault changes that.
func (h *health) hush(host string, until time.Duration) {
	if h.quiet == nil {
		h.quiet = make(map[string]time.Duration)
	}
	h.quiet[host] = max(h.quiet[host], until)
}

// trialGap is the time between two requests to an endpoint on trial.
const trialGap = 300 * time.Millisecond

func (h *health) usable(now time.Duration, host string) bool {
	if now < h.until || now < h.avoid[host] || now < h.quiet[host] {
		return false
	}
	return !h.trial || now >= h.inTrial
}

// granted notes a request that was sent: on trial, the next one waits for its outcome or the gap.
func (h *health) granted(now time.Duration) {
	if h.trial {
		h.inTrial = now + trialGap
	}
}

func (h *health) down(now time.Duration) bool { return now < h.until || h.trial }

// success records an answer, and returns whether it ends a trial.
func (h *health) success(now time.Duration, host string) (included bool) {
	included = h.trial
	h.okAt, h.everOK, h.trial = now, true, false
	h.rate -= failSmoothing * h.rate
	h.samples++
	clear(h.accusers)
	delete(h.avoid, host)
	if now-h.lastBad > forgetAfter {
		h.pauses = 0
	}
	return included
}

// failure records a fault, and returns whether the endpoint is paused for it. mayEject limits pauses by failure rate; it is
// only asked when the rate is high.
func (h *health) failure(now time.Duration, host string, f Fault, mayEject func() bool) (paused bool) {
	h.lastBad = now
	h.rate += failSmoothing * (1 - h.rate)
	h.samples++
	if f == ErrorStatus {
		return h.samples >= failSamples && h.rate > failShare && mayEject() && h.pause(now)
	}
	if h.accusers == nil {
		h.accusers, h.avoid = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	again := h.accusers[host] > 0
	h.accusers[host] = now
	proven := h.everOK && now-h.okAt < provenFor
	switch {
	case h.trial, f == WrongServer, len(h.accusers) > 1, !proven && (f == ConnectFailed || again):
		return h.pause(now)
	case h.samples >= failSamples && h.rate > failShare && mayEject():
		return h.pause(now)
	}
	h.avoid[host] = now + avoidFor
	return false
}

func (h *health) pause(now time.Duration) bool {
	if now < h.until {
		return false
	}
	h.until = now + min(firstPause<<min(h.pauses, 8), maxPause)
	h.pauses++
	h.trial, h.inTrial = true, h.until
	clear(h.accusers)
	return true
}

// mayEject tells whether an endpoint may be paused for its failure rate: not more than a share of the service's endpoints,
// and only if the others have places for the work that arrives. The load pattern that it answers: of two endpoints with
// room, one fails a third of its requests, and without it all others are late.
func (s *State) mayEject(e *endpoint) bool {
	all, down := 0, 0
	for _, o := range s.order {
		if o.service == e.service && o.present && !o.draining {
			all++
			if o.health.down(s.now) {
				down++
			}
		}
	}
	left, needed := s.placesWithout(e)
	return float64(down+1) <= maxRatePaused*float64(all) && needed <= pausedLoad*left
}

// pausedLoad is the share of the remaining places that the work of a service may take after an endpoint was paused for its
// failure rate.
const pausedLoad = 0.8

// placesWithout returns the places of a service's endpoints but one, and those that its requests need.
func (s *State) placesWithout(e *endpoint) (left, needed float64) {
	for _, o := range s.order {
		if o != e && o.service == e.service && o.present && !o.draining && !o.health.down(s.now) {
			left += float64(o.slots)
		}
	}
	for _, m := range s.models {
		if m.key.service == e.service {
			needed += max(m.perSec*m.hold, float64(m.running)) * s.weight(m)
		}
	}
	return left, needed
}

// HealthChange is a change of what the dispatcher believes of an endpoint, with its evidence, for the log.
type HealthChange struct {
	Endpoint      string
	Paused        bool // else it is used again
	Fault         Fault
	FailureRate   float64 // of failures
	PauseDuration time.Duration
	SlotsLeft     float64 // places of the service without it
	SlotsNeeded   float64 // places that the service's requests take
}

// note records that an endpoint is paused or used again.
func (s *State) note(e *endpoint, paused bool, f Fault) {
	n := HealthChange{Endpoint: e.id, Paused: paused, Fault: f, FailureRate: e.health.rate}
	n.SlotsLeft, n.SlotsNeeded = s.placesWithout(e)
	if paused {
		n.PauseDuration = e.health.until - s.now
	}
	s.notes = append(s.notes, n)
}

// TakeHealthChanges returns the changes since the last call. They are valid until the next event.
func (s *State) TakeHealthChanges() []HealthChange {
	out := s.notes
	s.notes = s.notes[:0]
	return out
}
