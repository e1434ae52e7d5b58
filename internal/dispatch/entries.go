package dispatch

import (
	"sort"
	"time"

	"sycamoredeal/internal/wire"
)

// EntryUp records a connection of an entry. The entry sends a Resync next.
func (s *State) EntryUp(now time.Duration, entry, zone string) {
	s.now = now
	s.entries[entry] = &entryState{zone: zone, up: true}
}

// EntryDown records that the connection of an entry ended. Its waiting requests are forgotten, because the entry asks
// elsewhere; its grants stay counted for a bound, because their requests may still run.
func (s *State) EntryDown(now time.Duration, entry string) {
	s.now = now
	if e := s.entries[entry]; e != nil {
		e.up, e.lost = false, now
	}
	for _, r := range s.of(entry) {
		if r.status == waiting {
			s.drop(r)
		}
	}
}

// EntryDead records that the host of an entry is dead: its grants are released at once.
func (s *State) EntryDead(now time.Duration, entry string) {
	s.now = now
	delete(s.entries, entry)
	for _, r := range s.of(entry) {
		s.drop(r)
	}
	s.answered(entry)
	s.fillAll()
}

// Resync replaces what is known of an entry's requests.
func (s *State) Resync(now time.Duration, entry string, m wire.Resync) {
	s.now = now
	keep := make(map[uint64]bool, len(m.Running)+len(m.Waiting))
	for i := range m.Running {
		k := key{entry, m.Running[i].Ask.ID}
		if r := s.requests[k]; r != nil && r.status == running && r.endpoint.name == m.Running[i].Endpoint {
			keep[k.id] = true
		}
	}
	for i := range m.Waiting {
		k := key{entry, m.Waiting[i].ID}
		if r := s.requests[k]; r != nil && r.status == waiting {
			keep[k.id] = true
		}
	}
	for _, r := range s.of(entry) {
		if !keep[r.id] {
			s.drop(r)
		}
	}
	for _, x := range m.Running {
		if !keep[x.Ask.ID] {
			x.Ask.ChosenEndpoint = x.Endpoint
			s.Ask(now, entry, x.Ask)
		}
	}
	for _, a := range m.Waiting {
		if !keep[a.ID] {
			s.Ask(now, entry, a)
		}
	}
	s.answered(entry)
	s.fillAll()
}

// of returns the requests of an entry in the order of their arrival.
func (s *State) of(entry string) []*request {
	var out []*request
	for k, r := range s.requests {
		if k.entry == entry {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// answered notes that nothing more has to be learnt from an entry; rebuilding ends with the last one.
func (s *State) answered(entry string) {
	delete(s.missing, entry)
	if s.rebuild > 0 && len(s.missing) == 0 {
		s.complete()
	}
}

func (s *State) complete() {
	s.rebuild, s.missing = 0, nil
	s.limits()
	s.fillAll()
}

func (s *State) loseEntries() {
	for name, e := range s.entries {
		if !e.up && s.now-e.lost >= s.cfg.LostAfter {
			delete(s.entries, name)
			for _, r := range s.of(name) {
				s.drop(r)
			}
		}
	}
}
