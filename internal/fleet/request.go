package fleet

import (
	"net/http"
	"time"

	"sycamoredeal/internal/wire"
)

// Request is one request of a caller, independent of the interface that it came in by.
type Request struct {
	ID           string
	Route        *Route
	Service      string
	Model        string // empty for plain services
	Adapter      string // name within the model, empty for none
	PromptTokens uint32
	MaxTokens    uint32
	ExpectedTokens uint32 // the caller's estimate of the output, 0 if unknown
	PromptParts        []wire.PromptPart
	Arrived      time.Time
	Deadline     time.Time // when the caller stops waiting, zero for never

	Method string
	Target string // path and query as the caller sent them
	Header http.Header
	Host   string
	Body   []byte
}

// Limits on a caller's patience with a stream, as the platform states them.
const (
	leastPatience    = 2 * time.Second
	patienceTargets  = 4 // times the target
	patiencePauses   = 8 // times the longest pause
	patienceFraction = 0.9
)

// Patience is how long a caller of a stream waits for the first or the next event.
func (r *Route) Patience() time.Duration {
	return max(leastPatience, patienceTargets*r.TargetLatency, patiencePauses*r.MaxPause)
}

// StartBy returns when the answer has to begin at the latest: at the deadline, the route's timeout, or, for a stream,
// before the caller gives up on a silent connection.
func (q *Request) StartBy() time.Time {
	if q.Route.Kind != Stream {
		return q.EndBy()
	}
	return q.ContinueBy(q.Arrived)
}

// ContinueBy returns by when a stream has to go on whose latest event the caller got at a time.
func (q *Request) ContinueBy(last time.Time) time.Time {
	by := q.EndBy()
	if t := last.Add(time.Duration(patienceFraction * float64(q.Route.Patience()))); by.IsZero() || t.Before(by) {
		return t
	}
	return by
}

// EndBy returns when the whole answer has to be there, zero for no bound.
func (q *Request) EndBy() time.Time {
	by := q.Deadline
	if q.Route.Timeout > 0 {
		if t := q.Arrived.Add(q.Route.Timeout); by.IsZero() || t.Before(by) {
			by = t
		}
	}
	return by
}

// Answer is what an endpoint's response header says, apart from the status.
type Answer struct {
	RequestID string        // echo of the request's id, empty if there is none
	Sealed    bool          // the endpoint vouches for the response
	NotRun    bool          // the endpoint states that the request did not run
	InstanceID  string        // id of the server, if it states it
	Leaving   bool          // the endpoint leaves and must get no further requests
	RetryAfter     time.Duration // for which the endpoint wants nothing from this host, 0 if it does not say so
}
