// Package attempt classifies how one attempt to send a request ended. The outcome decides whether the request may be
// sent again and whether the caller is told that it was executed.
package attempt

// Outcome is the result of one attempt. The values are sent in wire messages, so a value is never given another meaning.
type Outcome uint8

// Outcomes of an attempt. Zero means that no outcome has been recorded yet.
const (
	NotSent  Outcome = iota + 1 // no byte of the request was written
	Refused                     // the endpoint refused the request before execution
	Answered                    // the complete answer was received
	Unknown                     // a byte was written and no complete answer was received
)

// Values that Outcome.Executed returns.
const (
	ExecutedNo      = "no"
	ExecutedYes     = "yes"
	ExecutedUnknown = "unknown"
)

// String returns the name of the outcome; an unset or undefined outcome is "unknown".
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

// NotExecuted reports whether it is certain that the request was not executed in this attempt.
func (o Outcome) NotExecuted() bool { return o == NotSent || o == Refused }

// MayRetry reports whether the request may be sent again without the risk of a harmful second execution. After an unknown
// outcome only an idempotent request may.
func (o Outcome) MayRetry(idempotent bool) bool {
	return o.NotExecuted() || (o == Unknown && idempotent)
}

// Executed returns whether the request was executed: ExecutedNo, ExecutedYes or ExecutedUnknown. It returns
// ExecutedUnknown for an unset or undefined outcome.
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

// Combine returns the outcome of a request from the outcomes of two attempts, a before b. It is Answered if one of them
// is, and the request counts as not executed only if that is certain of both attempts.
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
