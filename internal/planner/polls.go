package planner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
)

// polls holds the latest reports. At most one call per endpoint is in flight, so reports arrive in order.
type polls struct {
	mu        sync.Mutex
	flying    map[string]bool
	fresh     map[string]engine.Report // not yet taken
	last      map[string]time.Time
	draining  map[string]bool
	memoryOf  map[string]int64
	addressOf map[string]string
	next      map[string]time.Time // when an endpoint without unresolved intents is asked again
}

func newPolls() *polls {
	return &polls{flying: make(map[string]bool), fresh: make(map[string]engine.Report), last: make(map[string]time.Time),
		draining: make(map[string]bool), memoryOf: make(map[string]int64), addressOf: make(map[string]string), next: make(map[string]time.Time)}
}

// poll asks endpoints for reports without waiting for them: those with unresolved intents, and those whose latest report
// failed, in every round, and the others once in idlePoll.
func (p *planner) poll(ctx context.Context, snap *config.Snapshot) {
	now := time.Now()
	for i := range snap.Endpoints {
		name, addr := snap.Endpoints[i].Name, snap.Endpoints[i].Address
		if !p.polls.begin(name, addr, now, p.unresolved(name)) {
			continue
		}
		err := p.pool.Submit(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			rep, err := p.Engines.Report(ctx, addr)
			p.polls.end(name, addr, rep, err)
			if err != nil && ctx.Err() == nil {
				p.Log.Debug().Err(err).Str("endpoint", name).Msg("No report.")
			}
		})
		if err != nil {
			p.polls.end(name, addr, engine.Report{}, err)
		}
	}
}

// unresolved tells whether an endpoint has intents whose end only a report shows.
func (p *planner) unresolved(endpoint string) bool {
	if p.ledger == nil {
		return false
	}
	ep := p.ledger.Endpoint(endpoint)
	return ep != nil && len(ep.Intents) > 0
}

// begin tells whether an endpoint is asked now. The times of endpoints that are asked seldom drift apart.
func (s *polls) begin(name, addr string, now time.Time, urgent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flying[name] {
		return false
	}
	if s.addressOf[name] != addr {
		delete(s.fresh, name)
		delete(s.last, name)
		delete(s.next, name)
	}
	if !urgent && now.Before(s.next[name]) {
		return false
	}
	s.flying[name], s.addressOf[name] = true, addr
	return true
}

func (s *polls) end(name, addr string, rep engine.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying[name] = false
	delete(s.next, name) // a failed call is repeated in the next round
	if err == nil && s.addressOf[name] == addr {
		s.fresh[name], s.last[name] = rep, time.Now()
		s.draining[name], s.memoryOf[name] = rep.Draining, rep.MemoryBytes
		s.next[name] = time.Now().Add(idlePoll - rand.N(idlePoll/4))
	}
}

// take returns the reports that arrived since the previous call.
func (s *polls) take() map[string]engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.fresh
	s.fresh = make(map[string]engine.Report)
	return out
}

// memory returns the memory that an endpoint reported last, in bytes, or 0.
func (s *polls) memory(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memoryOf[name]
}

// states returns which endpoints have reported lately, which of them drain, and whether all have.
func (s *polls) states(snap *config.Snapshot, now time.Time) (alive, draining map[string]bool, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive, draining, all = make(map[string]bool), make(map[string]bool), true
	for i := range snap.Endpoints {
		name := snap.Endpoints[i].Name
		at, ok := s.last[name]
		alive[name] = ok && now.Sub(at) < deadAfter
		draining[name] = s.draining[name]
		all = all && alive[name]
	}
	return alive, draining, all
}
