package fleet

import (
	"net/http"
	"time"

	"sycamoredeal/internal/wire"
)

// Request is one request of a caller. It does not depend on the interface through which it came in.
type Request struct {
	ID             string
	Route          *Route
	Service        string
	Model          string // empty for plain services
	Adapter        string // name within the model, empty for none
	PromptTokens   uint32
	MaxTokens      uint32
	SizeStated     bool   // the caller stated PromptTokens and MaxTokens
	ExpectedTokens uint32 // caller's estimate of the output, 0 if unknown
	PromptParts    []wire.PromptPart
	Arrived        time.Time
	Deadline       time.Time // time at which the caller stops waiting, zero for none
	Keys           []string  // as the caller sent them
	Account        *Account  // holder of the caller's key, nil if there is none
	Authenticated  bool      // the configuration has accounts: the key is not passed on, and the endpoint is told the account

	Method string
	Target string // path and query as the caller sent them
	Header http.Header
	Host   string
	Body   []byte
}

// A caller waits for the next event of a stream for the longest of three times, as the platform states them; see Patience.
const (
	minPatience          = 2 * time.Second
	patienceTargetFactor = 4   // multiple of the target latency
	patiencePauseFactor  = 8   // multiple of the longest pause
	patienceFraction     = 0.9 // share of the patience within which the next event has to be sent
)

// Patience returns how long a caller waits for the first or the next event of a stream before it gives up.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceTargetFactor*r.TargetLatency, patiencePauseFactor*r.MaxPause)
}

// StartBy returns the latest time at which the answer has to begin, zero for no limit. For a stream it is before the
// caller gives up on a silent connection.
func (q *Request) StartBy() time.Time {
	if q.Route.Kind != Stream {
		return q.EndBy()
	}
	return q.ContinueBy(q.Arrived)
}

// ContinueBy returns the latest time at which the next event of a stream has to follow the event that was sent at last.
func (q *Request) ContinueBy(last time.Time) time.Time {
	by := q.EndBy()
	if t := last.Add(time.Duration(patienceFraction * float64(q.Route.Patience()))); by.IsZero() || t.Before(by) {
		return t
	}
	return by
}

// EndBy returns the latest time at which the answer has to be complete, zero for no limit.
func (q *Request) EndBy() time.Time {
	by := q.Deadline
	if q.Route.Timeout > 0 {
		if t := q.Arrived.Add(q.Route.Timeout); by.IsZero() || t.Before(by) {
			by = t
		}
	}
	return by
}

// Answer holds what the header of an endpoint's response states, apart from the status.
type Answer struct {
	RequestID  string        // request's id as the endpoint returned it, empty if it did not
	Sealed     bool          // the response carries the seal by which the endpoint confirms it as its own
	NotRun     bool          // the endpoint states that the request was not executed
	InstanceID string        // id of the server, empty if it does not state it
	Leaving    bool          // the endpoint is about to leave and must get no new requests
	Limited    bool          // the endpoint states RateLimit
	RateLimit  float64       // requests per second that the endpoint takes from all hosts together
	RetryAfter time.Duration // time in which the endpoint wants no requests from this host, 0 if not stated
}

// Cost returns the units of its account's quota that the request uses, 0 if it is not limited.
func (q *Request) Cost() float64 {
	switch {
	case q.Account == nil || q.Route.Public || !q.Account.Limit.Limited():
		return 0
	case !q.Account.Limit.ByTokens:
		return 1
	case q.SizeStated:
		return float64(q.PromptTokens) + float64(q.MaxTokens)
	}
	return q.Account.Limit.PlainCost
}

// AccountName returns the name of the request's account, empty if it has none.
func (q *Request) AccountName() string {
	if q.Account == nil {
		return ""
	}
	return q.Account.Name
}

// Rank returns the request's rank: that of its account, or that of its route if the account has none.
func (q *Request) Rank() int {
	if q.Account != nil && q.Account.Ranked {
		return q.Account.Rank
	}
	return q.Route.Rank
}
