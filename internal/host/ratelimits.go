package host

import (
	"sync"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	// localLimitShare is the share of an endpoint's limit that all hosts together may use without the dispatcher, which may
	// grant the whole limit in the same seconds.
	localLimitShare     = 0.25
	limitedPollInterval = 2 * time.Second // between reports of an engine that limits its requests
)

// rateLimits holds the limits that endpoints state in their answers: the requests per second that an endpoint takes from all
// hosts together. It is safe for concurrent use.
type rateLimits struct {
	mu   sync.Mutex
	byID map[string]rateLimit // by endpoint
}

// rateLimit is the limit of one endpoint.
type rateLimit struct {
	perSec    float64
	learnedAt time.Time // when this host first knew that the endpoint has a limit
	sentAt    time.Time // of the last request that this host sent without the dispatcher
}

// limitChange is what an answer shows about an endpoint's limit.
type limitChange uint8

const (
	limitSame  limitChange = iota
	limitNew               // the endpoint states a limit that this host did not know
	limitEnded             // the endpoint states none any more
)

// observe compares an answer with the known limit of its endpoint. An answer without a limit shows that the limit has ended
// only if its request was sent after this host knew of it, because answers can overtake each other. For answers to orders and
// reports, which need not state the limit, sentAt is zero.
func (l *rateLimits) observe(endpoint string, sentAt time.Time, a *fleet.Answer) limitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.byID[endpoint]
	switch {
	case a.Limited && (!ok || known.perSec != a.RateLimit):
		if !ok {
			known.learnedAt = time.Now()
		}
		if known.perSec = a.RateLimit; l.byID == nil {
			l.byID = make(map[string]rateLimit)
		}
		l.byID[endpoint] = known
		return limitNew
	case !a.Limited && ok && sentAt.After(known.learnedAt):
		delete(l.byID, endpoint)
		return limitEnded
	}
	return limitSame
}

// replace replaces the known limits by the dispatcher's.
func (l *rateLimits) replace(list []wire.EndpointLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.byID
	l.byID = make(map[string]rateLimit, len(list))
	for _, m := range list {
		known, ok := before[m.Endpoint]
		if !ok {
			known.learnedAt = time.Now()
		}
		known.perSec = m.PerSec
		l.byID[m.Endpoint] = known
	}
}

// list returns the known limits.
func (l *rateLimits) list() []wire.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wire.EndpointLimit
	for id, x := range l.byID {
		out = append(out, wire.EndpointLimit{Endpoint: id, PerSec: x.perSec})
	}
	return out
}

// of returns the requests per second that an endpoint takes, and false if it states no limit.
func (l *rateLimits) of(endpoint string) (perSec float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.byID[endpoint]
	return x.perSec, ok
}

// allowsLocal reports whether this host may send a request to an endpoint without the dispatcher, which it last heard of at
// dispatcherAt. A host waits for its share of the limit first, because the others start to decide alone at the same time.
func (l *rateLimits) allowsLocal(endpoint string, hosts int, dispatcherAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.byID[endpoint]
	if !ok {
		return true
	}
	if x.perSec <= 0 {
		return false
	}
	from := dispatcherAt
	for _, t := range []time.Time{x.learnedAt, x.sentAt} {
		if t.After(from) {
			from = t
		}
	}
	return now.Sub(from).Seconds() >= float64(hosts)/(localLimitShare*x.perSec)
}

// sentLocally records a request that this host sends to an endpoint without the dispatcher.
func (l *rateLimits) sentLocally(endpoint string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, ok := l.byID[endpoint]; ok {
		x.sentAt = now
		l.byID[endpoint] = x
	}
}
