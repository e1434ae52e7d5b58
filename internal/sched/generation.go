package sched

import "time"

// generation is the pace at which engines of a service make answers: how many events an answer has for the output tokens
// that its caller expects, and how long one takes. The load pattern that it answers: an engine that reads prompts all the
// time makes each event in the time of several pieces of prompts, and long answers that start there reach their deadline
// unfinished, after they have taken the engine's time from others.
type generation struct {
	tokens, events float64 // of finished answers, older ones count less
	eventMs        float64 // mean over the endpoints, 0 if unknown
}

const (
	generationMemory = 1.0 / 200       // weight of the latest finished answer
	eventSmoothing   = 0.15            // weight of an answer's mean time for an event, if it has as many events as below
	endpointSample   = 10.0            // for the mean of its endpoint
	serviceSample    = 40.0            // for the mean of the service
	paceForgotten    = 2 * time.Second // without an answer, an endpoint's pace is taken to return to the service's
	// endMargin is the share of its predicted length that an answer must have time for. Callers' estimates of the output are
	// often off by a half, and paces change within seconds: with less time than that there is hardly any chance.
	endMargin = 0.4
)

// learn takes in the length of a finished answer.
func (g *generation) learn(tokens, events float64) {
	g.tokens += tokens - generationMemory*g.tokens
	g.events += events - generationMemory*g.events
}

// eventsOf returns the events that an answer with so many tokens is expected to have, 0 if that is not known.
func (g *generation) eventsOf(tokens float64) float64 {
	if g.tokens <= 0 {
		return 0
	}
	return tokens * g.events / g.tokens
}

// smoothed returns a mean that takes in a value with a weight, and at once if it is the first.
func smoothed(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + min(weight, 1)*(value-mean)
}

// learnPace takes in how long an endpoint took for each of the events of an answer.
func (e *endpoint) learnPace(now time.Duration, g *generation, events, ms float64) {
	e.eventMs = smoothed(e.eventMs, ms, eventSmoothing*events/endpointSample)
	e.pacedAt = now
	g.eventMs = smoothed(g.eventMs, ms, eventSmoothing*events/serviceSample)
}

// generationMs predicts how long an endpoint takes from the first to the last event of a request's answer, 0 if nothing is
// known.
func (s *State) generationMs(e *endpoint, r *request) float64 {
	g := s.generationOf(e.service)
	pace := e.eventMs
	if pace == 0 || s.now-e.pacedAt > paceForgotten {
		pace = g.eventMs
	}
	return max(g.eventsOf(output(&r.ask))-1, 0) * pace
}

func (s *State) generationOf(service string) *generation {
	g := s.generations[service]
	if g == nil {
		g = &generation{}
		s.generations[service] = g
	}
	return g
}

// endsInTime tells whether a request's answer is expected to be complete in time at an endpoint.
func (s *State) endsInTime(e *endpoint, r *request) bool {
	if r.endBy == 0 || r.ask.Resumed || r.ask.ExpectedTokens == 0 {
		return true
	}
	return s.now+seconds((e.firstMs(r, s.now)+endMargin*s.generationMs(e, r))/1000) <= r.endBy
}

// endsNowhere tells whether no endpoint of a request's model is expected to complete its answer in time.
func (s *State) endsNowhere(r *request) bool {
	if r.endBy == 0 || r.ask.Model == "" {
		return false
	}
	known := false
	for _, e := range s.index(r.model) {
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
