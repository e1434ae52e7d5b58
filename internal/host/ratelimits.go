package host

import (
	"sync"
	"time"

	"sycamoredeal/internal/fleet"
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
