package host

import (
	"time"

	"github.com/juju/errors"
)

const (
	streamAcceptTime = 2600 * time.Millisecond // after the signal, until two failed readiness checks redirect callers
	plainAcceptTime  = 5 * time.Second         // the same for requests to plain services, if they end in time
	exitMargin       = 700 * time.Millisecond  // of the grace time, reserved for the exit of the process
	finalAnswerTime  = 300 * time.Millisecond  // before exitMargin, to answer requests that are still in progress
	minAnswerTime    = 500 * time.Millisecond  // for an answer that begins as late as a stop allows
	streamTailShare  = 0.9                     // share of a route's recent streams that end in the time that is reserved for a new one
	plainTailShare   = 1.0                     // the same for other requests, which may not be lost
	streamTimeFactor = 1.1                     // times the tail is the time reserved for a stream
	plainTimeFactor  = 1.5                     // the same for another request, whose longest answers are seldom seen
)

var errStopped = errors.New("the host has stopped")

// stopPlan holds the steps of a planned stop, as times after the signal. Load pattern: callers keep sending on the
// connections that they have until these are closed, also requests that take long, and under load while all endpoints are busy.
// A request that may still run at the end is rejected before it is sent, so that its caller can turn to another host.
type stopPlan struct {
	streamAcceptEnd time.Duration // end of accepting new streams
	plainAcceptEnd  time.Duration // end of accepting any request
	end             time.Duration // requests in progress are aborted
}

// planStop plans a stop within the grace time.
func planStop(grace time.Duration) stopPlan {
	return stopPlan{
		end:             max(grace-exitMargin-finalAnswerTime, 0),
		streamAcceptEnd: min(streamAcceptTime, grace/3),
		plainAcceptEnd:  min(plainAcceptTime, grace*5/8),
	}
}

// latestStart returns the time after the signal until which an answer may begin that needs the given time, and has to be
// complete by endBy after the signal; 0 for no limit. A request whose time is over before the stop ends may begin until then. If
// the needed time is not known, it may be as long as the request's own limit.
func (p *stopPlan) latestStart(needed time.Duration, known bool, endBy time.Duration) time.Duration {
	switch {
	case endBy > 0 && endBy <= p.end:
		return endBy
	case !known:
		return 0
	}
	return max(p.end-max(needed, minAnswerTime), 0)
}

// stopProgress is a stop in progress.
type stopProgress struct {
	plan  stopPlan
	start time.Time
}

// latestStart returns the time until which a request may be sent that needs the given time and has to end by endBy, zero for no
// limit.
func (s *stopProgress) latestStart(needed time.Duration, known bool, endBy time.Time) time.Time {
	var limit time.Duration
	if !endBy.IsZero() {
		limit = max(endBy.Sub(s.start), 1)
	}
	return s.start.Add(s.plan.latestStart(needed, known, limit))
}

// until returns the time left until a step of the plan, negative after it.
func (s *stopProgress) until(step time.Duration) time.Duration { return time.Until(s.start.Add(step)) }
