package sched

import (
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

// TestLateBehindBacklog guards against counting a request to an engine as on time that could be so only if the engine were
// idle.
func TestLateBehindBacklog(t *testing.T) {
	for _, test := range []struct {
		engines int // of which the first has a backlog
		late    bool
	}{{1, true}, {2, false}} {
		models := [][]string{{"m"}, {"m"}}[:test.engines]
		s := New(0, testConfig(), testView(1, models, 0))
		long := chat(1, "m")
		long.PromptTokens, long.TargetMs = 4000, 1000 // 172 ms by the prior
		s.Ask(0, "h", long)
		s.Tick(2 * capacityMaxAge)
		a := chat(2, "m")
		a.PromptTokens, a.TargetMs = 400, 60 // 28 ms
		r := &request{ask: a, model: s.modelOf(&a), target: s.now + ms(a.TargetMs)}
		if late := s.late(r); late != test.late {
			t.Errorf("%d engines: late is %v, want %v", test.engines, late, test.late)
		}
		s.Started(s.now+2*capacityMaxAge, "h", wire.Started{ID: 1, FirstMs: 60})
		if r.target = s.now + ms(a.TargetMs); s.late(r) {
			t.Errorf("%d engines: late after the backlog has been processed", test.engines)
		}
	}
}

// TestMargin guards against a margin before the target that leaves slow runs late, or no room in the queue.
func TestMargin(t *testing.T) {
	const perSec = 220
	var e runEstimate
	for i := range 5000 {
		run := time.Duration(30+i%50) * time.Millisecond
		if i%100 == 0 {
			run = 270 * time.Millisecond
		}
		e.observe(run)
	}
	for _, test := range []struct{ objective, least, most time.Duration }{
		{300 * time.Millisecond, 70 * time.Millisecond, 90 * time.Millisecond}, // not the 1% of 270 ms
		{3 * time.Second, 260 * time.Millisecond, 300 * time.Millisecond},      // all runs: the queue has room for them
		{80 * time.Millisecond, 50 * time.Millisecond, 70 * time.Millisecond},  // between the median and the objective
		{20 * time.Millisecond, 50 * time.Millisecond, 60 * time.Millisecond},  // no run is on time
		{-20 * time.Millisecond, 50 * time.Millisecond, 60 * time.Millisecond}, // the objective has passed
	} {
		if m := e.margin(test.objective, perSec); m < test.least || m > test.most {
			t.Errorf("objective %v: margin %v, want %v to %v", test.objective, m, test.least, test.most)
		}
	}
	for i := range 4000 {
		e.observe(time.Duration(10+i%5) * time.Millisecond)
	}
	if m := e.margin(300*time.Millisecond, perSec); m > 20*time.Millisecond {
		t.Errorf("margin %v after the runs have become shorter than 15 ms", m)
	}
}
