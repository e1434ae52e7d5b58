package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// flood describes callers who ask for one model at a single engine, and come back once when they are refused. The last one
// asks a deadline before the end of the run.
type flood struct {
	rate, rateAfter float64       // arrivals per second during the flood, and after it
	lasts, length   time.Duration // length of the flood, and of the whole run
	objective       time.Duration
	deadline        time.Duration
	perMs           float64 // prompt tokens that the engine reads per ms
	seed            uint64
}

// floodResult counts callers by how they ended. Times count from a caller's first attempt.
type floodResult struct {
	callers, onTime, late, refusedTwice int
}

// caller is a simulated caller.
type caller struct {
	first   time.Duration // time of its first attempt
	ask     wire.Ask
	refused int
}

// run plays a flood. A refused caller comes back after the time that it was told, but after at most a third of the time
// that it has left, and states the rest of its deadline.
func (f flood) run() floodResult {
	const firstMs, generates = 80.0, 1500 * time.Millisecond
	v := testView(96, [][]string{{"m"}}, 0)
	v.Config.Services[engineService].Engine.KVTokens = 1 << 20
	v.Config.Routes = []fleet.Route{{Name: "r", Kind: fleet.Stream, TargetLatency: f.objective, Services: []fleet.WeightedService{{Service: engineService, Weight: 1}}}}
	s := New(0, testConfig(), v)
	rng := rand.New(rand.NewPCG(f.seed, 11))
	var res floodResult
	byID := make(map[uint64]*caller)
	returns := make(map[time.Duration][]*caller) // by time in whole ms
	var events []engineEvent
	var next, free time.Duration
	id := uint64(0)
	attempt := func(now time.Duration, c *caller) {
		id++
		byID[id] = c
		left := c.first + f.deadline - now
		a := c.ask
		a.ID, a.TargetMs, a.DeadlineMs, a.EndMs = id, uint32(f.objective.Milliseconds()), uint32(left.Milliseconds()), uint32(left.Milliseconds())
		s.Ask(now, "h", a)
	}
	for now := time.Duration(0); now < f.length; now += time.Millisecond {
		for now >= next && now < f.length-f.deadline {
			res.callers++
			a := chat(0, "m")
			a.PromptTokens, a.ExpectedTokens = uint32(meanPrompt*(0.4+1.2*rng.Float64())), 20
			a.PromptParts = []wire.PromptPart{{ID: uint64(res.callers), Tokens: a.PromptTokens}}
			attempt(now, &caller{first: now, ask: a})
			rate := f.rate
			if now >= f.lasts {
				rate = f.rateAfter
			}
			next += seconds(rng.ExpFloat64() / rate)
		}
		for _, c := range returns[now] {
			attempt(now, c)
		}
		delete(returns, now)
		for i := 0; i < len(events); i++ {
			x := events[i]
			if x.at > now {
				continue
			}
			events = append(events[:i], events[i+1:]...)
			i--
			if !x.start {
				s.Done(now, "h", wire.Done{ID: x.id, TotalMs: uint32((now - x.granted).Milliseconds())})
				continue
			}
			s.Started(now, "h", wire.Started{ID: x.id, FirstMs: uint32((now - x.granted).Milliseconds())})
			if now-byID[x.id].first <= f.objective {
				res.onTime++
			} else {
				res.late++
			}
		}
		if now%(15*time.Millisecond) == 0 {
			s.Tick(now)
		}
		for _, o := range s.TakeOutputs() {
			switch m := o.Message.(type) {
			case *wire.Grant:
				free = max(free, now) + seconds(float64(byID[m.ID].ask.PromptTokens)/f.perMs/1000)
				first := free + seconds(firstMs/1000)
				events = append(events, engineEvent{first, m.ID, now, true}, engineEvent{first + generates, m.ID, now, false})
			case *wire.Refuse:
				c := byID[m.ID]
				if c.refused++; c.refused == 2 {
					res.refusedTwice++
					continue
				}
				after := min(ms(m.RetryAfterMs), (c.first+f.deadline-now)/3)
				back := (now + after).Truncate(time.Millisecond) + time.Millisecond
				returns[back] = append(returns[back], c)
			}
		}
	}
	return res
}

// TestFloodServesOnTime guards against callers who come back after a refusal, and can only be late, taking the place of
// requests that can be on time. Taken for new requests, they made 45% of the answers in a flood of twice the capacity late.
func TestFloodServesOnTime(t *testing.T) {
	onTime, late := 0, 0
	for seed := uint64(1); seed <= 10; seed++ {
		f := flood{
			rate: 42, rateAfter: 4, lasts: 5 * time.Second, length: 14 * time.Second, objective: time.Second,
			deadline: 5 * time.Second, perMs: 38, seed: seed,
		}
		r := f.run()
		t.Logf("seed %d: of %d callers %d on time, %d late, %d refused twice", seed, r.callers, r.onTime, r.late, r.refusedTwice)
		if n := r.onTime + r.late + r.refusedTwice; n != r.callers {
			t.Errorf("seed %d: %d of %d callers got an answer or a second refusal", seed, n, r.callers)
		}
		onTime += r.onTime
		late += r.late
	}
	if onTime < 1040 || late > 600 {
		t.Errorf("%d on time, %d late", onTime, late)
	}
}

// refuseOne returns a State with a single engine slot, which request 1 uses, and a request that was refused at 0 because
// three others wait before it. The caller's deadline is after 5 s.
func refuseOne(t *testing.T) (*State, wire.Ask) {
	t.Helper()
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	for id := uint64(1); id <= 4; id++ {
		a := chat(id, "m")
		a.TargetMs, a.DeadlineMs, a.EndMs = 900, 10000, 15000
		s.Ask(0, "h", a)
	}
	a := chat(5, "m")
	a.TargetMs, a.DeadlineMs, a.EndMs = 1000, 4000, 5000
	a.PromptParts = []wire.PromptPart{{ID: 77, Tokens: a.PromptTokens}}
	s.Ask(0, "h", a)
	if m, ok := answers(s)[5].(*wire.Refuse); !ok {
		t.Fatalf("the request is not refused: %#v", m)
	}
	for id := uint64(2); id <= 4; id++ {
		s.Cancel(0, "h", id)
	}
	return s, a
}

// TestReturnKeepsTarget guards against a caller who comes back after a refusal being served before a new one, who can still
// be on time. Another caller with the same prompt and a later deadline is no return.
func TestReturnKeepsTarget(t *testing.T) {
	const later = 1500 * time.Millisecond
	for _, test := range []struct {
		name       string
		endMs      uint32
		part       uint64
		servedLast bool
	}{
		{"return", 3500, 77, true},
		{"return whose remaining time is some ms old", 3530, 77, true},
		{"later deadline", 5000, 77, false},
		{"other prompt", 3500, 78, false},
	} {
		s, back := refuseOne(t)
		back.ID, back.EndMs = 6, test.endMs
		back.PromptParts = []wire.PromptPart{{ID: test.part, Tokens: back.PromptTokens}}
		s.Ask(later, "h", back)
		fresh := chat(7, "m")
		fresh.TargetMs, fresh.DeadlineMs, fresh.EndMs = 1000, 4000, 5000
		s.Ask(later+5*time.Millisecond, "h", fresh)
		answers(s)
		s.Done(later+10*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 100})
		got := answers(s)
		first := uint64(6)
		if test.servedLast {
			first = 7
		}
		if _, ok := got[first].(*wire.Grant); !ok {
			t.Errorf("%s: request %d is not granted first: %v", test.name, first, got)
		}
	}
}

// TestReturnIsNoArrival guards against returns, which wait behind other requests, making the capacity for late requests
// look used up.
func TestReturnIsNoArrival(t *testing.T) {
	s, back := refuseOne(t)
	m := s.models[modelKey{engineService, "m"}]
	s.Tick(measureEvery)
	before := m.onTime
	back.ID, back.EndMs = 6, 3500
	s.Ask(1500*time.Millisecond, "h", back)
	if m.onTime != before {
		t.Errorf("%v arrivals before the return, %v after it", before, m.onTime)
	}
}

// TestRefusedTargetsAreForgotten guards against memory that grows with the number of refusals.
func TestRefusedTargetsAreForgotten(t *testing.T) {
	s, _ := refuseOne(t)
	if len(s.refusedTargets) != 1 {
		t.Fatalf("%d targets after a refusal", len(s.refusedTargets))
	}
	s.Tick(4 * time.Second)
	if len(s.refusedTargets) != 1 {
		t.Error("the target is forgotten before the end of the deadline")
	}
	s.Tick(6 * time.Second)
	if len(s.refusedTargets) != 0 {
		t.Error("the target is remembered after the end of the deadline")
	}
	r := &request{ask: chat(1, "m"), model: s.models[modelKey{engineService, "m"}]}
	for i := range 2 * maxRefusedTargets {
		r.endBy = time.Duration(i+1) * time.Second
		s.keepTarget(r)
	}
	if n := len(s.refusedTargets); n != maxRefusedTargets {
		t.Errorf("%d targets are remembered", n)
	}
}
