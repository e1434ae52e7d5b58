package host

import "time"

const (
	streamAcceptTime = 2600 * time.Millisecond // after the signal, until two failed readiness checks redirect callers
	plainAcceptTime  = 5 * time.Second         // the same for requests to plain services, which are short
	exitMargin       = 700 * time.Millisecond  // of the grace time, reserved for the exit of the process
	minAnswerTime    = 500 * time.Millisecond  // for an answer that begins as late as a stop allows
	// answerTimeFactor times the mean is the time reserved for a stream that begins during a stop.
	answerTimeFactor = 1.5
)

// stopPlan holds the steps of a planned stop, as times after the signal. It limits the wait for a slot: under load, callers
// keep sending while all endpoints are busy, and requests would still be waiting when the grace time ends.
type stopPlan struct {
	streamAcceptEnd time.Duration // end of accepting new streams
	streamStartBy   time.Duration // latest start of a stream; one still waiting for a slot is rejected
	plainAcceptEnd  time.Duration // end of accepting any request
	plainStartBy    time.Duration // latest start of an answer of a plain service; a request still waiting for a slot is rejected
	end             time.Duration // requests in progress are aborted
}

// planStop plans a stop within the grace time. The parameter answer is the mean duration of a stream once it has a slot, or
// 0 if it is unknown.
func planStop(grace, answer time.Duration) stopPlan {
	p := stopPlan{end: max(grace-exitMargin, 0)}
	p.streamAcceptEnd = min(streamAcceptTime, grace/3)
	if answer <= 0 {
		answer = grace / 3
	}
	p.streamStartBy = max(p.end-max(time.Duration(answerTimeFactor*float64(answer)), minAnswerTime), p.streamAcceptEnd)
	p.plainAcceptEnd = min(plainAcceptTime, grace*5/8)
	p.plainStartBy = max(p.end-minAnswerTime, p.plainAcceptEnd)
	return p
}

// startBy returns by when an answer has to begin, as time after the signal.
func (p *stopPlan) startBy(stream bool) time.Duration {
	if stream {
		return p.streamStartBy
	}
	return p.plainStartBy
}

// stopProgress is a stop in progress.
type stopProgress struct {
	plan  stopPlan
	start time.Time
}

// startBy returns the time by which an answer has to begin.
func (s *stopProgress) startBy(stream bool) time.Time { return s.start.Add(s.plan.startBy(stream)) }

// until returns the time left until a step of the plan, negative after it.
func (s *stopProgress) until(step time.Duration) time.Duration { return time.Until(s.start.Add(step)) }
