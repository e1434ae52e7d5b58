// Package attempt classifies how one attempt of a request ended, and what may be done and said after it.
package attempt

// Outcome is the end of one attempt. Its values travel in wire messages and are never reused.
type Outcome uint8

// Outcomes of an attempt. The zero value means that no outcome is recorded yet.
const (
	NotSent  Outcome = iota + 1 // no byte of the request was written
	Refused                     // the endpoint refused it before execution
	Answered                    // a complete answer was received
	Unknown                     // a byte was written and no complete answer came back
)

// Values of Executed.
const (
	ExecutedNo      = "no"
	ExecutedYes     = "yes"
	ExecutedUnknown = "unknown"
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "not sent"
	case Refused:
		return "refused before execution"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// NotExecuted tells whether the attempt provably was not executed.
func (o Outcome) NotExecuted() bool { return o == NotSent || o == Refused }

// MayRetry tells whether a further attempt is safe. An idempotent request may also be sent again after an unknown
// outcome.
func (o Outcome) MayRetry(idempotent bool) bool {
	return o.NotExecuted() || (o == Unknown && idempotent)
}

// Executed returns "no", "yes" or "unknown". An unset or undefined outcome is unknown.
func (o Outcome) Executed() string {
	switch {
	case o.NotExecuted():
		return ExecutedNo
	case o == Answered:
		return ExecutedYes
	default:
		return ExecutedUnknown
	}
}

// Combine returns what may be said of a request after two of its attempts. "Not run" needs the proof of both.
func Combine(a, b Outcome) Outcome {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	case a == Answered || b == Answered:
		return Answered
	case a.NotExecuted() && b.NotExecuted():
		return b
	default:
		return Unknown
	}
}
