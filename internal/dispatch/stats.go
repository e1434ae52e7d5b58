package dispatch

// Stats is what an operator sees of a dispatcher.
type Stats struct {
	Waiting map[string]int // requests by rank, every declared rank included
	Ejected []string       // endpoints that get no work because of failures, in the order of the placement
}

// Stats returns a copy of the queue lengths and the ejected endpoints.
func (s *State) Stats() Stats {
	out := Stats{Waiting: make(map[string]int, len(s.ranks))}
	for _, r := range s.ranks {
		out.Waiting[r.Name] = r.waiting
	}
	for _, e := range s.order {
		if e.until > s.now {
			out.Ejected = append(out.Ejected, e.name)
		}
	}
	return out
}
