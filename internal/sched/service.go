package sched

// serviceEstimate holds what is known of a service beyond its endpoints.
type serviceEstimate struct {
	// The first three estimate how long engines of the service take to generate an answer: the number of events for the output
	// tokens that the caller expects, and the time per event. An engine that continuously processes prompts needs the time of
	// several prompt chunks for each event. A long answer that starts there reaches its deadline unfinished and wastes engine
	// time that other requests need.
	tokens, events float64 // sums over finished answers, with exponential decay
	eventMs        float64 // mean time per event over all endpoints, 0 if unknown

	runs    runEstimate             // of a plain service
	returns expectedReturns         // of callers refused at a plain service
	shares  map[shareKey]*shareRank // of the accounts in the slots; without an entry, no request of the rank had one
}

// serviceEstimateOf returns the estimates of a service.
func (s *State) serviceEstimateOf(service string) *serviceEstimate {
	g := s.serviceEstimates[service]
	if g == nil {
		g = &serviceEstimate{}
		s.serviceEstimates[service] = g
	}
	return g
}

// forgetServiceEstimates drops the callers who should have come back and the accounts that have been idle.
func (s *State) forgetServiceEstimates() {
	for _, g := range s.serviceEstimates {
		g.returns.forget(s.now)
		g.forgetShares(s.now)
	}
}
