package host

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/fleet"
)

// TestStopPlan guards against a stop with steps out of order, and against one that lets a request begin when no time is left
// for its answer: in scenario further/jyltyr-almaty, trouble-2, such requests were cut without an answer.
func TestStopPlan(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		p := planStop(grace)
		if p.streamAcceptEnd > p.plainAcceptEnd || p.end > grace {
			t.Errorf("grace %v: %+v", grace, p)
		}
		for _, needed := range []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, time.Minute} {
			start := p.latestStart(needed, true, 0)
			if left := p.end - start; start > 0 && left < max(needed, minAnswerTime) {
				t.Errorf("grace %v, answers of %v: %v left", grace, needed, left)
			}
			if start := p.latestStart(needed, false, 0); start > 0 {
				t.Errorf("grace %v: a request without a limit, whose time is not known, begins until %v", grace, start)
			}
		}
	}
	p := planStop(8 * time.Second)
	for _, c := range []struct {
		name   string
		needed time.Duration
		known  bool
		endBy  time.Duration
		want   time.Duration
	}{
		{"short answers", 100 * time.Millisecond, true, 20 * time.Second, p.end - minAnswerTime},
		{"answers of 3 s", 3 * time.Second, true, 20 * time.Second, p.end - 3*time.Second},
		{"longer than the stop", time.Minute, true, 20 * time.Second, 0},
		{"not known, limited by the caller", 0, false, 4 * time.Second, 4 * time.Second},
		{"not known, limit after the end", 0, false, p.end + 1, 0},
		{"long, limited by the caller", time.Minute, true, p.end, p.end},
	} {
		if got := p.latestStart(c.needed, c.known, c.endBy); got != c.want {
			t.Errorf("%s: begins until %v, want %v", c.name, got, c.want)
		}
	}
}

// TestStopAcceptsOnlyWhatEnds replays requests of a route with answers of random length that come at random times of a stop. It
// guards against a request that is sent and may still run when the stop ends (LOST), and against refusing short requests long
// before that.
func TestStopAcceptsOnlyWhatEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := time.Duration(rapid.IntRange(1, 6000).Draw(t, "longest ms")) * time.Millisecond
		timer, start := newAnswerTimer(), time.Now()
		route := &fleet.Route{Name: "r", Kind: fleet.NonIdempotent}
		answer := func() time.Duration {
			return time.Duration(rapid.Int64Range(int64(longest)/3, int64(longest)).Draw(t, "answer"))
		}
		for range rapid.IntRange(0, 2*answerTimeSamples).Draw(t, "requests before") {
			x := &exchange{q: &fleet.Request{Route: route}}
			timer.begin(x, start)
			timer.end(x, start.Add(answer()), true)
		}
		s := &stopProgress{plan: planStop(8 * time.Second), start: start}
		_, known := timer.needed(route, start)
		for range 10 {
			arrived := start.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "arrives ms")) * time.Millisecond)
			endBy := arrived.Add(time.Duration(rapid.IntRange(10, 12000).Draw(t, "limit ms")) * time.Millisecond)
			needed, _ := timer.needed(route, arrived)
			accepted := !arrived.After(s.latestStart(needed, known, endBy))
			ends := arrived.Add(answer())
			if endBy.Before(ends) {
				ends = endBy
			}
			// With few samples the longest one is not seen, so the tail is taken with a margin.
			if end := start.Add(s.plan.end); accepted && ends.After(end) && needed >= longest {
				t.Fatalf("a request of %v, sent %v after the signal, ends %v after the end", longest, arrived.Sub(start), ends.Sub(end))
			}
			if !known && accepted && endBy.After(start.Add(s.plan.end)) {
				t.Fatalf("accepted %v after the signal with a limit after the end, though nothing is known of its route", arrived.Sub(start))
			}
			if known && !accepted && arrived.Add(max(needed, minAnswerTime)).Before(start.Add(s.plan.end)) {
				t.Fatalf("refused %v after the signal, though %v are left", arrived.Sub(start), s.plan.end-arrived.Sub(start))
			}
		}
	})
}

// TestAnswerTimes guards against a tail that misses a few long answers or those that have got slow just now, against one that is
// taken for known after few answers, and against requests without an answer that count as short ones.
func TestAnswerTimes(t *testing.T) {
	timer, start := newAnswerTimer(), time.Now()
	route := &fleet.Route{Name: "r", Kind: fleet.NonIdempotent}
	stream := &fleet.Route{Name: "s", Kind: fleet.Stream}
	run := func(r *fleet.Route, took time.Duration, complete bool) {
		x := &exchange{q: &fleet.Request{Route: r}}
		timer.begin(x, start)
		timer.end(x, start.Add(took), complete)
	}
	for range minAnswerTimeSamples - 1 {
		run(route, 10*time.Millisecond, true)
	}
	if _, known := timer.needed(route, start); known {
		t.Errorf("known after %d answers", minAnswerTimeSamples-1)
	}
	run(route, time.Second, true)
	for range answerTimeSamples {
		run(route, time.Millisecond, false)
	}
	if d, known := timer.needed(route, start); !known || d < time.Second {
		t.Errorf("tail %v, known %v after an answer of 1 s", d, known)
	}
	slow := &exchange{q: &fleet.Request{Route: route}}
	timer.begin(slow, start)
	if d, _ := timer.needed(route, start.Add(4*time.Second)); d < 4*time.Second {
		t.Errorf("tail %v while a request has run for 4 s", d)
	}
	for range minAnswerTimeSamples {
		run(stream, time.Second, true)
	}
	if d, known := timer.needed(&fleet.Route{Name: "rare", Kind: fleet.Stream}, start); !known || d != time.Duration(streamTimeFactor*float64(time.Second)) {
		t.Errorf("stream of a route without answers: %v, known %v", d, known)
	}
	if _, known := timer.needed(&fleet.Route{Name: "rare", Kind: fleet.Idempotent}, start); known {
		t.Error("the time of a route without answers is known")
	}
	for i := range 2 * maxTimedRoutes {
		timer.needed(&fleet.Route{Name: time.Duration(i).String()}, start)
	}
	if n := len(timer.routes); n > maxTimedRoutes {
		t.Errorf("%d routes are timed, the bound is %d", n, maxTimedRoutes)
	}
}
