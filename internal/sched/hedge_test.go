package sched

import (
	"testing"
	"time"

	"sycamoredeal/internal/limits"
	"sycamoredeal/internal/wire"
)

// hedgeOf returns the ask for a hedge of a request whose first attempt is at the given endpoint.
func hedgeOf(ask wire.Ask, first string) wire.Ask {
	ask.ID += 1000
	ask.Retry, ask.Charged, ask.Speculative, ask.Exclude = true, true, true, []string{first}
	return ask
}

func plainAsk(id uint64) wire.Ask {
	return wire.Ask{ID: id, Service: plainService, DeadlineMs: 2000, TargetMs: 250}
}

// refusalOf returns the reason of a refusal, or an empty string for a grant.
func refusalOf(t *testing.T, m wire.Message) string {
	t.Helper()
	switch m := m.(type) {
	case *wire.Refuse:
		return m.Reason
	case *wire.Grant:
		return ""
	}
	t.Fatalf("%#v is no final answer", m)
	return ""
}

// TestHedgeNeedsRoom guards against hedges that take a slot which other requests need, and against hedges of a service that is
// slow as a whole: each case is a reason for which the dispatcher has to refuse at once, without queueing.
func TestHedgeNeedsRoom(t *testing.T) {
	const slots = 4
	now := time.Second
	grant := func(s *State, id uint64, endpoint string) {
		a := plainAsk(id)
		a.ChosenEndpoint = endpoint
		s.Ask(now, "h", a)
	}
	for _, c := range []struct {
		name, want string
		prepare    func(s *State)
	}{
		{"idle", "", func(*State) {}},
		{"half of the second endpoint with the hedge", "", func(s *State) { grant(s, 2, "p1") }},
		{"more than half of the second endpoint", HedgeNoRoomReason, func(s *State) {
			grant(s, 2, "p1")
			grant(s, 3, "p1")
			grant(s, 4, "p2")
			grant(s, 5, "p2")
		}},
		{"first endpoint and others full", HedgeLoadReason, func(s *State) {
			for id := range uint64(8) {
				grant(s, 2+id, [...]string{"p0", "p1"}[id%2])
			}
		}},
		{"paused", HedgeNoRoomReason, func(s *State) {
			s.endpoints["p1"].health.pause(now)
			s.endpoints["p2"].health.pause(now)
		}},
		{"limited", HedgeNoRoomReason, func(s *State) {
			s.endpoints["p1"].limit, s.endpoints["p2"].limit = &rateLimit{perSec: 100, allowance: limits.Bucket{Level: 50}}, &rateLimit{perSec: 100, allowance: limits.Bucket{Level: 50}}
		}},
		{"first endpoint slow", "", func(s *State) { s.endpoints["p0"].slowness = 5 }},
		{"most endpoints slow", HedgeSlowReason, func(s *State) { s.endpoints["p0"].slowness, s.endpoints["p1"].slowness = 5, 5 }},
		{"request of another model waits", HedgeWaitingReason, func(s *State) {
			other := plainAsk(2)
			other.Exclude = []string{"p0", "p1", "p2"}
			s.Ask(now, "h", other)
		}},
		{"budget of repeats used", RetriesUsedReason, func(s *State) { s.retries.limits.Extra = 0 }},
	} {
		s := New(0, testConfig(), testView(slots, nil, 3))
		s.HostUp(0, "h")
		c.prepare(s)
		grant(s, 1, "p0")
		answers(s)
		hedge := hedgeOf(plainAsk(1), "p0")
		hedge.SharedRetry = c.want == RetriesUsedReason
		s.Ask(now, "h", hedge)
		m := answers(s)[hedge.ID]
		if got := refusalOf(t, m); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if g, ok := m.(*wire.Grant); ok && g.Endpoint == "p0" {
			t.Errorf("%s: the hedge goes to the endpoint of the first attempt", c.name)
		}
	}
}

// TestHedgeIsNoDemand guards against hedges that count as arrivals, which would add copies of a model, and against a refused hedge
// that is taken for a refused caller who comes back.
func TestHedgeIsNoDemand(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}}, 0))
	ask := chat(1, "m")
	ask.EndMs = 4000
	s.Ask(0, "h", ask)
	first := endpointOf(t, answers(s)[1])
	for i := range uint64(2) {
		hedge := hedgeOf(ask, first)
		hedge.ID += i
		if i == 1 {
			hedge.Exclude = []string{"e0", "e1"}
		}
		s.Ask(100*time.Millisecond, "h", hedge)
	}
	got := answers(s)
	if refusalOf(t, got[1001]) != "" || refusalOf(t, got[1002]) != HedgeNoRoomReason {
		t.Fatalf("answers %v", got)
	}
	if n := s.models[modelKey{engineService, "m"}].arrivals; n != 1 {
		t.Errorf("%v arrivals of one request", n)
	}
	if len(s.refusedTargets) != 0 {
		t.Error("the refused hedge counts as a refused caller")
	}
}

// TestCancelledAttemptIsNoVerdict guards against an endpoint that is paused, or whose health and estimates improve, by attempts that
// were cancelled because another one answered, and against their slots staying in use.
func TestCancelledAttemptIsNoVerdict(t *testing.T) {
	s := New(0, testConfig(), testView(4, nil, 2))
	e := s.endpoints["p0"]
	e.health.failureRate, e.slowness = 0.2, 1.3
	for id := range uint64(40) {
		a := plainAsk(id + 1)
		a.ChosenEndpoint = "p0"
		s.Ask(time.Second, "h", a)
		s.Done(time.Second+50*time.Millisecond, "h", wire.Done{ID: id + 1, Endpoint: "p0", Outcome: 4})
	}
	if e.usedSlots != 0 || len(s.requests) != 0 {
		t.Errorf("%d slots in use, %d requests", e.usedSlots, len(s.requests))
	}
	if e.health.failureRate != 0.2 || e.slowness != 1.3 || e.health.samples != 0 || e.health.down(time.Second) {
		t.Errorf("failure rate %v, slowness %v, %d samples", e.health.failureRate, e.slowness, e.health.samples)
	}
}

// TestHedgeOfEngineSkipsWork guards against hedges that make an engine load an adapter, wait behind other prompts, or crash because
// of a suspected part.
func TestHedgeOfEngineSkipsWork(t *testing.T) {
	build := func() (*State, wire.Ask) {
		s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}}, 0))
		s.SetHolder(0, &wire.HolderBeat{Host: "h"})
		ask := chat(1, "m")
		ask.ChosenEndpoint = "e0"
		s.Ask(0, "h", ask)
		ask.ChosenEndpoint = ""
		return s, hedgeOf(ask, "e0")
	}
	check := func(name, want string, s *State, hedge wire.Ask) {
		t.Helper()
		answers(s)
		s.Ask(10*time.Millisecond, "h", hedge)
		if got := refusalOf(t, answers(s)[hedge.ID]); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	s, hedge := build()
	check("idle", "", s, hedge)
	s, hedge = build()
	hedge.Adapter = "a"
	check("adapter to be loaded", HedgeNoRoomReason, s, hedge)
	s, hedge = build()
	long := chat(2, "m")
	long.ChosenEndpoint, long.PromptTokens = "e1", 20000
	s.Ask(0, "h", long)
	check("long prompt before it", HedgeNoRoomReason, s, hedge)
	s, hedge = build()
	hedge.PromptParts = prompt(7)
	s.quarantine.Crashed(0, prompt(7), "e0", 1, false)
	s.quarantine.Crashed(0, prompt(7), "e1", 1, false)
	if !s.quarantine.Suspected(hedge.PromptParts) {
		t.Fatal("the part is not suspected")
	}
	check("suspected part", HedgeSuspectedReason, s, hedge)
}
