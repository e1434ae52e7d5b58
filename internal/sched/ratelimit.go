package sched

import (
	"slices"
	"strings"
	"time"

	"sycamoredeal/internal/limits"
	"sycamoredeal/internal/wire"
)

// An endpoint in need states in its answers how many requests a second it takes from all hosts together. Each host alone would
// keep to the limit by its own count, and the sum would exceed it several times. The dispatcher sees all grants, so it spaces
// those to the endpoint; the requests beyond that go to other endpoints or wait, and are refused at once if the rate can't
// serve them in time. Any host may report the limit first; a new dispatcher learns it from the hosts and starts without
// an allowance, as the one before may have used it up.
const (
	// limitBurst is the time whose allowance may be used at once after a pause.
	limitBurst = 250 * time.Millisecond
	// minLimitRate is the rate for endpoints that take fewer requests or none: only answers show that the limit has ended.
	minLimitRate    = 0.4 // requests per second
	limitEndReports = 2   // reports in a row that an endpoint states no limit any more
	// limitLife is how long the limit of an endpoint that is not listed is kept. It holds for another process under the
	// same id until that states none.
	limitLife  = time.Minute
	maxLimited = 4096 // limited endpoints; bounds the memory
)

// rateLimit is the limit of one endpoint, with the allowance that it leaves.
type rateLimit struct {
	perSec     float64       // as the endpoint states it
	allowance  limits.Bucket // requests that may be sent now; below 0 after orders and local decisions beyond the allowance
	endReports int           // consecutive reports that the limit has ended
	listedAt   time.Duration // when the endpoint was last seen in the list
}

// LimitChange is a change of an endpoint's limit, for the log.
type LimitChange struct {
	Endpoint string
	PerSec   float64
	Ended    bool
}

// SetLimit records what an answer of an endpoint has shown about its limit.
func (s *State) SetLimit(now time.Duration, m wire.EndpointLimit) {
	s.now = now
	l := s.limits[m.Endpoint]
	switch {
	case m.Ended && l == nil, !m.Ended && !(m.PerSec >= 0):
		return
	case m.Ended:
		if l.endReports++; l.endReports < limitEndReports {
			return
		}
		delete(s.limits, m.Endpoint)
	case l == nil && len(s.limits) >= maxLimited:
		return
	case l == nil:
		l = &rateLimit{perSec: m.PerSec, allowance: limits.Bucket{At: now}, listedAt: now}
		s.limits[m.Endpoint] = l
	default:
		if l.endReports = 0; l.perSec == m.PerSec {
			return
		}
		s.growAllowance(l)
		l.perSec = m.PerSec
	}
	if e := s.endpoints[m.Endpoint]; e != nil {
		e.limit = s.limits[m.Endpoint]
	}
	s.limitVersion++
	s.limitChanges = append(s.limitChanges, LimitChange{Endpoint: m.Endpoint, PerSec: m.PerSec, Ended: m.Ended})
	s.fillAllEndpoints()
}

// growAllowance adds the allowance of the time that has passed. A dispatcher that less than half of the hosts use takes only
// their share: the others may have another one.
func (s *State) growAllowance(l *rateLimit) {
	rate := max(l.perSec, minLimitRate)
	up := 0
	for _, h := range s.hosts {
		if h.up {
			up++
		}
	}
	if listed := len(s.view.Hosts); 2*up < listed {
		rate *= float64(up) / float64(listed)
	}
	l.allowance.Refill(s.now, rate, max(rate*limitBurst.Seconds(), 1))
}

// limitReached reports whether an endpoint's limit allows no request now.
func (s *State) limitReached(e *endpoint) bool {
	if e.limit == nil {
		return false
	}
	s.growAllowance(e.limit)
	return e.limit.allowance.Level < 1
}

// takeFromLimit counts n requests to an endpoint, orders included.
func (s *State) takeFromLimit(e *endpoint, n int) {
	if e.limit != nil {
		s.growAllowance(e.limit)
		e.limit.allowance.Level -= float64(n)
	}
}

// limitRate returns the requests per second that an endpoint's limit allows, and false if it has none.
func (e *endpoint) limitRate() (perSec float64, limited bool) {
	if e.limit == nil {
		return 0, false
	}
	return max(e.limit.perSec, minLimitRate), true
}

// forgetLimits drops the limits of endpoints that have not been listed for limitLife.
func (s *State) forgetLimits() {
	for id, l := range s.limits {
		if e := s.endpoints[id]; e != nil && e.present {
			l.listedAt = s.now
		} else if s.now-l.listedAt > limitLife {
			delete(s.limits, id)
			s.limitVersion++
		}
	}
}

// Limits returns the limits of endpoints, sorted by endpoint.
func (s *State) Limits() []wire.EndpointLimit {
	out := make([]wire.EndpointLimit, 0, len(s.limits))
	for id, l := range s.limits {
		out = append(out, wire.EndpointLimit{Endpoint: id, PerSec: l.perSec})
	}
	slices.SortFunc(out, func(a, b wire.EndpointLimit) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// LimitVersion returns a number that changes whenever the result of Limits may have changed.
func (s *State) LimitVersion() uint64 { return s.limitVersion }

// TakeLimitChanges returns the changes since the previous call. The slice is valid until the next event.
func (s *State) TakeLimitChanges() []LimitChange {
	out := s.limitChanges
	s.limitChanges = s.limitChanges[:0]
	return out
}
