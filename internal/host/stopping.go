package host

import "time"

const (
	streamLinger = 2600 * time.Millisecond // callers still come after the signal: two failing checks lead them away
	plainLinger  = 5 * time.Second         // requests to plain services are short
	stopMargin   = 700 * time.Millisecond  // of the time that a stop may take, left for the exit
	leastAnswer  = 500 * time.Millisecond  // left for an answer that begins as late as a stop allows
	// answerMargin is how much longer than the mean an answer may take that begins during a stop.
	answerMargin = 1.5
)

// stopPlan holds the steps of a planned stop, as times after the signal. The load pattern that it answers: callers press
// on while all endpoints are busy, so that requests still wait for a place when the time to stop ends.
type stopPlan struct {
	streamAcceptEnd   time.Duration // new streams are turned away after it
	streamStartBy time.Duration // a stream that still waits for a place at it is turned away
	plainAcceptEnd     time.Duration // new requests are turned away after it
	plainBegin   time.Duration // a request to a plain service that still waits for a place at it is turned away
	end          time.Duration // what is in progress is cut
}

// planStop plans a stop that may take a time. answer is the mean time that streams take once they have a place, 0 if it is
// unknown.
func planStop(grace, answer time.Duration) stopPlan {
	p := stopPlan{end: max(grace-stopMargin, 0)}
	p.streamAcceptEnd = min(streamLinger, grace/3)
	if answer <= 0 {
		answer = grace / 3
	}
	p.streamStartBy = max(p.end-max(time.Duration(answerMargin*float64(answer)), leastAnswer), p.streamAcceptEnd)
	p.plainAcceptEnd = min(plainLinger, grace*5/8)
	p.plainBegin = max(p.end-leastAnswer, p.plainAcceptEnd)
	return p
}

// begins returns by when an answer has to begin, after the signal.
func (p *stopPlan) begins(stream bool) time.Duration {
	if stream {
		return p.streamStartBy
	}
	return p.plainBegin
}

// stopProgress is a stop that is in progress.
type stopProgress struct {
	plan  stopPlan
	startedAt time.Time
}

// begins returns by when an answer has to begin.
func (s *stopProgress) begins(stream bool) time.Time { return s.startedAt.Add(s.plan.begins(stream)) }

// timeUntil returns the time until a step.
func (s *stopProgress) timeUntil(step time.Duration) time.Duration { return time.Until(s.startedAt.Add(step)) }
