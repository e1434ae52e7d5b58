package sched

import (
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

// playAnswer runs one request at the endpoint that is granted, with the given number of events and time per event. It
// reports whether the request was granted.
func playAnswer(t *testing.T, s *State, now time.Duration, ask wire.Ask, events int, eventMs uint32) bool {
	t.Helper()
	s.Ask(now, "h", ask)
	got := answers(s)[ask.ID]
	if _, ok := got.(*wire.Grant); !ok {
		if _, ok := got.(*wire.Refuse); !ok {
			t.Fatalf("request %d: %T", ask.ID, got)
		}
		return false
	}
	s.Started(now, "h", wire.Started{ID: ask.ID, FirstMs: 30})
	length := uint32(events-1) * eventMs
	s.Done(now, "h", wire.Done{ID: ask.ID, TotalMs: 30 + length, Events: uint32(events), StreamMs: length})
	return true
}

// TestLongAnswerWithoutTime runs an engine that generates events slowly because it continuously processes prompts. It guards
// against starting long answers there that occupy the engine until their deadline and remain unfinished
// (further/jyltyr-almaty: 4 to 6% of the started answers), and against queueing such a request before refusing it.
func TestLongAnswerWithoutTime(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}}, 0))
	s.HostUp(0, "h")
	ask := func(id uint64, tokens, endMs uint32) wire.Ask {
		a := chat(id, "m")
		a.ExpectedTokens, a.EndMs = tokens, endMs
		return a
	}
	now := 10 * time.Second
	for i := range 40 { // 2 tokens per event, 250 ms per event
		now += 20 * time.Millisecond
		if !playAnswer(t, s, now, ask(uint64(i), 20, 5000), 10, 250) {
			t.Fatalf("a short answer is refused, request %d", i)
		}
	}
	now += 20 * time.Millisecond
	if playAnswer(t, s, now, ask(100, 120, 5000), 60, 250) {
		t.Error("an answer of 15 s is started with 5 s left")
	}
	if !playAnswer(t, s, now, ask(101, 120, 20000), 60, 250) {
		t.Error("the same answer is refused with 20 s left")
	}
	if !playAnswer(t, s, now, ask(102, 20, 5000), 10, 250) {
		t.Error("a short answer is refused")
	}
	unknown := ask(103, 0, 5000)
	if !playAnswer(t, s, now, unknown, 60, 250) {
		t.Error("an answer of unknown length is refused")
	}
}

// TestLongAnswerElsewhere guards against sending a long answer to the slower of two endpoints.
func TestLongAnswerElsewhere(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}}, 0))
	s.HostUp(0, "h")
	now := 10 * time.Second
	for i := range 60 {
		now += 20 * time.Millisecond
		a := chat(uint64(i), "m")
		a.ExpectedTokens, a.EndMs = 20, 5000
		s.Ask(now, "h", a)
		g, ok := answers(s)[a.ID].(*wire.Grant)
		if !ok {
			t.Fatalf("request %d is not granted", i)
		}
		eventMs := uint32(20)
		if g.Endpoint == "e0" {
			eventMs = 300
		}
		s.Started(now, "h", wire.Started{ID: a.ID, FirstMs: 30})
		s.Done(now, "h", wire.Done{ID: a.ID, TotalMs: 30 + 9*eventMs, Events: 10, StreamMs: 9 * eventMs})
	}
	for i := range 6 {
		a := chat(uint64(100+i), "m")
		a.ExpectedTokens, a.EndMs = 120, 5000
		s.Ask(now, "h", a)
		if g, ok := answers(s)[a.ID].(*wire.Grant); !ok || g.Endpoint != "e1" {
			t.Fatalf("a long answer: %+v, want the endpoint that can complete it", g)
		}
	}
}
