package host

import (
	"testing"
	"time"
)

// TestStopPlan guards against a stop with steps out of order, and against one that lets a request wait for a slot until no
// time is left for its answer: in scenario further/jyltyr-almaty, trouble-2, such requests were cut without an answer.
func TestStopPlan(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		for _, answer := range []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, time.Minute} {
			p := planStop(grace, answer)
			if p.streamAcceptEnd > p.streamStartBy || p.plainAcceptEnd > p.plainStartBy || p.end > grace {
				t.Errorf("grace %v, answers of %v: %+v", grace, answer, p)
			}
			if grace < 2*time.Second {
				continue // too short to do more than reject requests
			}
			if left := p.end - p.streamStartBy; left < minAnswerTime && p.streamStartBy > p.streamAcceptEnd {
				t.Errorf("grace %v, answers of %v: %v left for a stream", grace, answer, left)
			}
			if left := p.end - p.plainStartBy; left < minAnswerTime && p.plainStartBy > p.plainAcceptEnd {
				t.Errorf("grace %v: %v left for a plain answer", grace, left)
			}
		}
	}
	if p := planStop(8*time.Second, 2*time.Second); p.end-p.streamStartBy != 3*time.Second {
		t.Errorf("streams of 2 s begin until %v, %v before the end", p.streamStartBy, p.end-p.streamStartBy)
	}
}
