package host

import (
	"testing"
	"time"
)

// TestStopPlan guards against a stop whose steps are out of order, and against one that lets a request wait for a place
// until nothing is left of the time for its answer (further/jyltyr-almaty, trouble-2: cut without an answer).
func TestStopPlan(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		for _, answer := range []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, time.Minute} {
			p := planStop(grace, answer)
			if p.streamAcceptEnd > p.streamStartBy || p.plainAcceptEnd > p.plainBegin || p.end > grace {
				t.Errorf("grace %v, answers of %v: %+v", grace, answer, p)
			}
			if grace < 2*time.Second {
				continue // too short for anything but to turn requests away
			}
			if left := p.end - p.streamStartBy; left < leastAnswer && p.streamStartBy > p.streamAcceptEnd {
				t.Errorf("grace %v, answers of %v: %v left for a stream", grace, answer, left)
			}
			if left := p.end - p.plainBegin; left < leastAnswer && p.plainBegin > p.plainAcceptEnd {
				t.Errorf("grace %v: %v left for a plain answer", grace, left)
			}
		}
	}
	if p := planStop(8*time.Second, 2*time.Second); p.end-p.streamStartBy != 3*time.Second {
		t.Errorf("streams of 2 s begin until %v, %v before the end", p.streamStartBy, p.end-p.streamStartBy)
	}
}
