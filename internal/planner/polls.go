package planner

import (
	"context"
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
}

func newPolls() *polls {
	return &polls{flying: make(map[string]bool), fresh: make(map[string]engine.Report), last: make(map[string]time.Time),
		draining: make(map[string]bool), memoryOf: make(map[string]int64), addressOf: make(map[string]string)}
}

// poll asks all endpoints for reports without waiting for them.
func (p *planner) poll(ctx context.Context, snap *config.Snapshot) {
	for i := range snap.Endpoints {
		name, addr := snap.Endpoints[i].Name, snap.Endpoints[i].Address
		if !p.polls.begin(name, addr) {
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

func (s *polls) begin(name, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flying[name] {
		return false
	}
	if s.addressOf[name] != addr {
		delete(s.fresh, name)
		delete(s.last, name)
	}
	s.flying[name], s.addressOf[name] = true, addr
	return true
}

func (s *polls) end(name, addr string, rep engine.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying[name] = false
	if err == nil && s.addressOf[name] == addr {
		s.fresh[name], s.last[name] = rep, time.Now()
		s.draining[name], s.memoryOf[name] = rep.Draining, rep.MemoryBytes
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
