package sched

import (
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

// refusePlain returns a State with a refused request for a plain service, and the time that its caller was told. The caller's
// deadline is 5 s after the start of the test.
func refusePlain(t *testing.T) (s *State, ask wire.Ask, told time.Duration) {
	t.Helper()
	s = New(0, testConfig(), testView(1, nil, 1))
	s.endpoints["p0"].health.setQuiet("h", time.Hour)
	s.latestQuietEnd = time.Hour
	ask = wire.Ask{ID: 1, Caller: "route", Service: plainService, TargetMs: 300, DeadlineMs: 5000, EndMs: 5000}
	s.Ask(0, "h", ask)
	m, ok := answers(s)[1].(*wire.Refuse)
	if !ok {
		t.Fatalf("the request is not refused: %#v", m)
	}
	told = min(ms(m.RetryAfterMs), 5*time.Second/3)
	delete(s.endpoints["p0"].health.quietUntil, "h")
	return s, ask, told
}

// TestPlainReturnKeepsTarget guards against the return of a refused caller, which can only be late, being taken for a new
// request, and against a new request being taken for a return.
func TestPlainReturnKeepsTarget(t *testing.T) {
	for _, test := range []struct {
		name          string
		later         time.Duration // after the time that the caller was told
		sooner        time.Duration // end of its deadline before that of the refused request
		route         string
		account       string
		takenAsReturn bool
	}{
		{"return", 0, 0, "route", "", true},
		{"return that traveled for some ms", 30 * time.Millisecond, -20 * time.Millisecond, "route", "", true},
		{"long after the time", time.Second, 0, "route", "", false},
		{"before the time", -time.Second, 0, "route", "", false},
		{"other deadline", 0, 400 * time.Millisecond, "route", "", false},
		{"other route", 0, 0, "other", "", false},
		{"other account", 0, 0, "route", "a", false},
	} {
		s, back, told := refusePlain(t)
		now := told + test.later
		back.ID, back.Caller, back.Account = 2, test.route, test.account
		back.EndMs = uint32((5*time.Second - now - test.sooner).Milliseconds())
		s.Ask(now, "h", back)
		r := s.requests[requestKey{"h", 2}]
		if r == nil {
			t.Fatalf("%s: the request is not known", test.name)
		}
		want := now + 300*time.Millisecond
		if test.takenAsReturn {
			want = 300 * time.Millisecond
		}
		if r.target != want {
			t.Errorf("%s: the target is %v, want %v", test.name, r.target, want)
		}
		if test.takenAsReturn {
			again := back
			again.ID = 3
			s.Ask(now, "h", again)
			if r := s.requests[requestKey{"h", 3}]; r == nil || r.target != now+300*time.Millisecond {
				t.Errorf("%s: a second request is taken for the same return", test.name)
			}
		}
	}
}

// TestExpectedReturnsAreForgotten guards against memory that grows with the number of refusals.
func TestExpectedReturnsAreForgotten(t *testing.T) {
	s, ask, told := refusePlain(t)
	x := &s.serviceEstimateOf(plainService).returns
	if x.count != 1 {
		t.Fatalf("%d returns are expected after a refusal", x.count)
	}
	s.Tick(told + returnWindow/2)
	if x.count != 1 {
		t.Error("the return is forgotten before its time")
	}
	s.Tick(told + returnWindow + 2*measureEvery)
	if x.count != 0 || len(x.byKey) != 0 {
		t.Errorf("%d returns are expected after their time, with %d keys", x.count, len(x.byKey))
	}
	r := &request{ask: ask}
	for i := range 2 * maxReturns {
		r.endBy = time.Duration(i+1) * time.Second
		x.add(0, r, time.Second)
	}
	if x.count != maxReturns {
		t.Errorf("%d returns are remembered", x.count)
	}
}

// TestReturnsFindSlots guards against telling all callers who are refused in a spike the same time to come back, at which there
// is capacity for few of them.
func TestReturnsFindSlots(t *testing.T) {
	for _, test := range []struct {
		name               string
		base, peak         float64 // of the capacity
		lasts, patience    time.Duration
		unserved, refusals float64 // most callers refused twice, and most refusals per refused caller
	}{
		{"3 times the capacity for 2 s", 0.6, 3, 2 * time.Second, 3600 * time.Millisecond, 0.03, 1.15},
		{"3 times the capacity for 2 s, impatient callers", 0.6, 3, 2 * time.Second, 900 * time.Millisecond, 0.08, 1.4},
		{"twice the capacity for 4 s", 0.6, 2, 4 * time.Second, 3600 * time.Millisecond, 0.06, 1.35},
		{"twice the capacity for 4 s, on a base of 0.8", 0.8, 2, 4 * time.Second, 3600 * time.Millisecond, 0.1, 1.6},
		{"twice the capacity for 8 s", 0.6, 2, 8 * time.Second, 3600 * time.Millisecond, 0.16, 1.55},
	} {
		var before, after plainFloodResult
		for seed := uint64(1); seed <= 4; seed++ {
			f := plainFlood{rate: func(now time.Duration) float64 {
				if now > 6*time.Second && now < 6*time.Second+test.lasts {
					return test.peak * plainCapacity
				}
				return test.base * plainCapacity
			}, length: 54 * time.Second, objective: 300 * time.Millisecond, deadline: 30 * time.Second, patience: test.patience, seed: seed}
			after.add(f.run(t))
			f.untold = true
			before.add(f.run(t))
		}
		before.log(t, test.name+", times not summed up:")
		after.log(t, test.name+":")
		unserved, refusals := float64(after.unserved)/float64(after.callers), float64(after.refusals)/float64(after.refusedCallers)
		if unserved > test.unserved || refusals > test.refusals || after.unserved > before.unserved || after.worth() < before.worth() {
			t.Errorf("%s: %.3f refused twice, %.2f refusals per refused caller", test.name, unserved, refusals)
		}
	}
}

// TestToldTimes guards against counting callers whose time to come back has passed, or who are less urgent, and against losing
// those who were told a time beyond the largest that is counted.
func TestToldTimes(t *testing.T) {
	m, n := &model{}, &model{}
	for i := range 10 {
		m.addTold(0, 1, time.Duration(i)*time.Second)
	}
	m.addTold(0, 2, 9*time.Second)
	n.addTold(0, 0, 9*time.Second)
	m.addTold(0, 0, time.Hour)
	for _, test := range []struct {
		now      time.Duration
		priority uint8
		want     float64
	}{
		{0, 0, 1}, {0, 1, 11}, {0, 2, 12}, {5 * time.Second, 1, 6}, {9500 * time.Millisecond, 2, 1}, {time.Hour, 2, 0},
	} {
		if got := m.toldToReturn(test.now, test.priority); got != test.want {
			t.Errorf("rank %d after %v: %v callers, want %v", test.priority, test.now, got, test.want)
		}
	}
}
