package sched

import "time"

const (
	generationDecay      = 1.0 / 200       // decay of the sums per finished answer
	eventSmoothing       = 0.15            // weight of an answer that has as many events as the sample sizes below
	endpointSampleEvents = 10.0            // sample size for the mean of an endpoint
	serviceSampleEvents  = 40.0            // sample size for the mean of the service
	eventMsMaxAge        = 2 * time.Second // age above which an endpoint's eventMs is not used, but the service's mean
	// minAnswerShare is the share of its predicted duration for which an answer must have time. Callers' estimates of the
	// output are often wrong by half, and event times change within seconds. With less time than this share, an answer
	// is very unlikely to be completed.
	minAnswerShare = 0.4
)

// observe adds the length of a finished answer.
func (g *serviceEstimate) observe(tokens, events float64) {
	g.tokens += tokens - generationDecay*g.tokens
	g.events += events - generationDecay*g.events
}

// expectedEvents returns the expected number of events of an answer with the given number of tokens, 0 if unknown.
func (g *serviceEstimate) expectedEvents(tokens float64) float64 {
	if g.tokens <= 0 {
		return 0
	}
	return tokens * g.events / g.tokens
}

// smoothed returns the moving mean after adding a value with a weight. The first value, when mean is 0, becomes the mean.
func smoothed(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + min(weight, 1)*(value-mean)
}

// observeEventMs updates the mean event times of the endpoint and its service with the number of events of an answer and
// their mean time.
func (e *endpoint) observeEventMs(now time.Duration, g *serviceEstimate, events, ms float64) {
	e.eventMs = smoothed(e.eventMs, ms, eventSmoothing*events/endpointSampleEvents)
	e.eventMsAt = now
	g.eventMs = smoothed(g.eventMs, ms, eventSmoothing*events/serviceSampleEvents)
}

// generationMs predicts the time from the first to the last event of a request's answer at an endpoint, 0 if unknown.
func (s *State) generationMs(e *endpoint, r *request) float64 {
	g := s.serviceEstimateOf(e.service)
	eventMs := e.eventMs
	if eventMs == 0 || s.now-e.eventMsAt > eventMsMaxAge {
		eventMs = g.eventMs
	}
	return max(g.expectedEvents(outputTokens(&r.ask))-1, 0) * eventMs
}

// endsInTime reports whether a request's answer can be expected to be complete in time at an endpoint.
func (s *State) endsInTime(e *endpoint, r *request) bool {
	if e.engine == nil {
		return r.endBy == 0 || r.ask.Resumed || s.now+s.typicalRun(r) <= r.endBy
	}
	if r.endBy == 0 || r.ask.Resumed || r.ask.ExpectedTokens == 0 {
		return true
	}
	return s.now+seconds((e.firstTokenMs(r, s.now)+minAnswerShare*s.generationMs(e, r))/1000) <= r.endBy
}

// noEndpointEndsInTime reports whether the request's model has endpoints, none of which can be expected to complete the
// answer in time.
func (s *State) noEndpointEndsInTime(r *request) bool {
	if r.endBy == 0 {
		return false
	}
	known := false
	for _, e := range s.endpointsOf(r.model) {
		if e.draining {
			continue
		}
		known = true
		if s.endsInTime(e, r) {
			return false
		}
	}
	return known
}
