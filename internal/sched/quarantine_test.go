package sched

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

// prompt returns parts with the given ids and a last part of the request's own.
func prompt(ids ...uint64) []wire.PromptPart {
	var out []wire.PromptPart
	for _, id := range ids {
		out = append(out, wire.PromptPart{ID: id, Tokens: 60})
	}
	return append(out, wire.PromptPart{ID: 1 << 50, Tokens: 40})
}

// blockPart blocks a part by a crash and as many trials as are needed. The processes are known to have ended.
func blockPart(q *Quarantine, now time.Duration, id uint64) {
	for i := range trialCrashesToBlock + 1 {
		q.Crashed(now, prompt(id), fmt.Sprint("e", i), 1, i > 0)
		q.Ended(now, fmt.Sprint("e", i), 1)
	}
}

func isBlocked(q *Quarantine, now time.Duration, id uint64) bool {
	_, blocked := q.Blocked(now, prompt(id))
	return blocked
}

// TestEngineFailuresBlockNoPart guards against parts that are condemned because engines end for other reasons: single ones,
// most at once as in the loss of a zone, and connections that are all reset. Sound requests are served as before.
func TestEngineFailuresBlockNoPart(t *testing.T) {
	for _, atOnce := range []int{1, 6} {
		t.Run(fmt.Sprint(atOnce, " at once"), func(t *testing.T) {
			r := newCrashReplay(t, 9)
			next := 2 * time.Second
			for r.now < 40*time.Second {
				r.play(next, 9, 70, 0, nil)
				for range atOnce {
					r.endEngine(r.view.Endpoints[r.rng.IntN(len(r.view.Endpoints))].ID)
				}
				next += 3500 * time.Millisecond
			}
			for id := range r.s.quarantine.parts {
				if isBlocked(r.s.quarantine, r.now, id) {
					t.Errorf("part %x is blocked", id)
				}
			}
			if n := r.refused[BlockedReason]; n > 0 {
				t.Errorf("%d requests were refused for a part of their prompts", n)
			}
			if atOnce == 1 && r.heldLong > r.asked[false]/100 {
				t.Errorf("%d of %d requests began later than 300 ms", r.heldLong, r.asked[false])
			}
		})
	}
}

// TestResetConnectionsBlockNoPart guards against popular parts that are condemned because the connections of all hosts are
// reset at the same moment: then each engine has requests whose answers had not begun. Nor are such parts held back.
func TestResetConnectionsBlockNoPart(t *testing.T) {
	r := newCrashReplay(t, 9)
	r.countFrom = time.Hour
	r.play(2*time.Second, 9, 140, 0, nil)
	suspected := false
	for range 10 {
		for id, x := range r.running {
			if x.endpoint == "" {
				continue
			}
			delete(r.running, id)
			d := wire.Done{ID: id, Fault: uint8(BrokenResponse), Failed: true, ConnectionLost: true}
			if x.begun {
				d.Events = 3
			}
			r.s.Done(r.now, x.host, d)
		}
		suspected = suspected || r.s.quarantine.Suspected(prompt(sharedPart))
		r.play(r.now+200*time.Millisecond, 9, 140, 0, nil)
	}
	r.countFrom = r.now + 2*time.Second // pauses of endpoints have ended
	r.play(r.now+6*time.Second, 9, 140, 0, nil)
	if n := r.refused[BlockedReason]; n > 0 || suspected {
		t.Errorf("%d requests were refused for a part of their prompts, the shared one suspected: %v", n, suspected)
	}
	if r.asked[true] < r.asked[false]*9/10 {
		t.Errorf("%d of %d requests began after the resets; refused: %v", r.asked[true], r.asked[false], r.refused)
	}
}

// TestTwoCrashingParts guards against a second deadly part that is not found because the first one explains the crashes.
func TestTwoCrashingParts(t *testing.T) {
	const otherPart = 0xdeae
	r := newCrashReplay(t, 9, deadlyPart, otherPart)
	r.play(2*time.Second, 9, 70, 0, nil)
	r.countFrom = 14 * time.Second
	n := 0
	r.play(24*time.Second, 9, 70, 0.05, func() []uint64 {
		if n++; n%2 == 0 {
			return []uint64{sharedPart, 0xb00, deadlyPart}
		}
		return []uint64{otherPart, 0xb01}
	})
	if len(r.crashes) > 2*crashesToLearn {
		t.Errorf("%d crashes by two parts", len(r.crashes))
	}
	if n := r.deadlySentAfter(8 * time.Second); n > maxRequestsToEngine {
		t.Errorf("%d requests that crash engines were sent later than second 8", n)
	}
	if r.asked[true] < r.asked[false]*95/100 {
		t.Errorf("%d of %d sound requests began", r.asked[true], r.asked[false])
	}
}

// TestSeldomCrashingPart guards against a part that comes so seldom that its crashes are forgotten in between.
func TestSeldomCrashingPart(t *testing.T) {
	r := newCrashReplay(t, 9, deadlyPart)
	for range 8 {
		r.play(r.now+20*time.Second, 9, 20, 0, nil)
		r.ask(sharedPart, deadlyPart)
	}
	r.play(r.now+time.Second, 9, 20, 0, nil)
	if len(r.crashes) > crashesToLearn {
		t.Errorf("%d of 8 requests crashed engines", len(r.crashes))
	}
}

// TestForeignFirstPart guards against an attacker who has somebody else's first part condemned by sending it with ever new
// deadly parts: an answer that begins clears it.
func TestForeignFirstPart(t *testing.T) {
	r := newCrashReplay(t, 9)
	r.play(2*time.Second, 9, 70, 0, nil)
	r.countFrom = r.now
	next := uint64(0xd000000)
	r.play(40*time.Second, 9, 70, 0.005, func() []uint64 {
		next++
		r.deadly[next] = true
		return []uint64{sharedPart, next}
	})
	if isBlocked(r.s.quarantine, r.now, sharedPart) || r.refused[BlockedReason] > 0 {
		t.Errorf("the shared part is blocked, %d requests refused for it", r.refused[BlockedReason])
	}
	if r.asked[true] < r.asked[false]*9/10 {
		t.Errorf("%d of %d sound requests began", r.asked[true], r.asked[false])
	}
}

// TestDeadlyPartBeforeVariedOnes guards against blocking the varied parts that follow the deadly one, one after the other.
func TestDeadlyPartBeforeVariedOnes(t *testing.T) {
	r := newCrashReplay(t, 9, deadlyPart)
	r.play(2*time.Second, 9, 70, 0, nil)
	next := uint64(0xe000000)
	r.play(12*time.Second, 9, 70, 0.05, func() []uint64 {
		next++
		return []uint64{sharedPart, deadlyPart, next}
	})
	if len(r.crashes) > crashesToLearn || !isBlocked(r.s.quarantine, r.now, deadlyPart) {
		t.Errorf("%d crashes, part blocked: %v", len(r.crashes), isBlocked(r.s.quarantine, r.now, deadlyPart))
	}
}

// TestSoundPartBesideDeadlyOne guards against blocking a part that sound requests share with the deadly ones before an answer
// on it could begin, as at a new dispatcher.
func TestSoundPartBesideDeadlyOne(t *testing.T) {
	q := NewQuarantine()
	for i := range trialCrashesToBlock + 1 {
		q.Crashed(0, prompt(sharedPart, deadlyPart), fmt.Sprint("e", i), 1, i > 0)
	}
	if isBlocked(q, 0, sharedPart) || !isBlocked(q, 0, deadlyPart) {
		t.Errorf("blocked: shared part %v, deadly part %v", isBlocked(q, 0, sharedPart), isBlocked(q, 0, deadlyPart))
	}
}

// TestOneTrialAtATime guards against several requests with a suspected part that crash several engines at the same time, and
// against trials of two parts at one engine, whose crash would not show the cause.
func TestOneTrialAtATime(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}, {"m"}}, 0))
	for i, part := range []uint64{deadlyPart, deadlyPart + 1} {
		s.quarantine.Crashed(0, prompt(part), fmt.Sprint("x", i), 1, false)
	}
	ask := func(id, part uint64) {
		a := chat(id, "m")
		a.PromptParts = prompt(part)
		s.Ask(0, "h", a)
	}
	ask(1, deadlyPart)
	ask(2, deadlyPart)
	ask(3, deadlyPart+1)
	got := answers(s)
	if _, queued := got[2].(*wire.Queued); !queued || endpointOf(t, got[1]) == endpointOf(t, got[3]) {
		t.Fatalf("answers: %v", got)
	}
	s.Done(time.Millisecond, "h", wire.Done{ID: 1}) // the engine refused it, which shows nothing
	s.Tick(2 * time.Millisecond)
	endpointOf(t, answers(s)[2])
	ask(4, deadlyPart)
	s.Started(3*time.Millisecond, "h", wire.Started{ID: 2, FirstMs: 1})
	s.Tick(4 * time.Millisecond)
	if got := answers(s); endpointOf(t, got[4]) == "" || len(s.quarantine.parts) != 1 {
		t.Errorf("after an answer has begun: %v, %d parts in quarantine", got, len(s.quarantine.parts))
	}
}

// TestBlockedRefusedAtOnce guards against requests that wait, or come back too early, although their part is blocked.
func TestBlockedRefusedAtOnce(t *testing.T) {
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	s.Ask(0, "h", chat(1, "m")) // takes the only slot
	waiting := chat(2, "m")
	waiting.PromptParts = prompt(sharedPart, deadlyPart)
	s.Ask(0, "h", waiting)
	answers(s)
	other := NewQuarantine()
	blockPart(other, 0, deadlyPart)
	s.MergeQuarantine(time.Millisecond, other.List(0))
	waiting.ID = 3
	s.Ask(2*time.Millisecond, "h", waiting)
	got := answers(s)
	for _, id := range []uint64{2, 3} {
		if m, ok := got[id].(*wire.Refuse); !ok || m.RetryAfterMs < uint32((firstBlock-time.Second).Milliseconds()) {
			t.Errorf("request %d: %v", id, got[id])
		}
	}
	if s.Waiting() != 0 {
		t.Errorf("%d requests wait", s.Waiting())
	}
}

// TestBlockEnds guards against a wrong verdict that stays for good, and against many crashes after the end of a right one.
func TestBlockEnds(t *testing.T) {
	q := NewQuarantine()
	blockPart(q, 0, deadlyPart)
	now := firstBlock + time.Second
	if isBlocked(q, now, deadlyPart) || !q.Suspected(prompt(deadlyPart)) {
		t.Fatal("after the block, the part is not on trial")
	}
	q.Crashed(now, prompt(deadlyPart), "e9", 1, true)
	q.Ended(now, "e9", 1)
	if !isBlocked(q, now+firstBlock+time.Second, deadlyPart) {
		t.Error("a crash after the block does not block the part for longer")
	}
	now += 4 * firstBlock
	q.Began(prompt(deadlyPart))
	if isBlocked(q, now, deadlyPart) || q.Suspected(prompt(deadlyPart)) {
		t.Error("an answer that began does not clear the part")
	}
}

// TestManyPartsKeepBlocks guards against prompts with ever new parts that exhaust the memory or displace what is known.
func TestManyPartsKeepBlocks(t *testing.T) {
	q := NewQuarantine()
	blockPart(q, 0, deadlyPart)
	for i := range uint64(10 * maxQuarantined) {
		q.Crashed(time.Second, prompt(0xf000000+i), fmt.Sprint("e", i), 1, false)
	}
	if len(q.parts) > maxQuarantined || !isBlocked(q, time.Second, deadlyPart) {
		t.Errorf("%d parts, the blocked one among them: %v", len(q.parts), isBlocked(q, time.Second, deadlyPart))
	}
	if list := q.List(time.Second); len(list) > maxListedParts || list[0].Part != deadlyPart {
		t.Errorf("%d parts in a message, first %x", len(list), list[0].Part)
	}
	q.forget(firstBlock + 2*suspicionLife)
	if len(q.parts) != 0 {
		t.Errorf("%d parts are never forgotten", len(q.parts))
	}
}

// TestQuarantinePassedOn guards against a dispatcher that forgets what the one before it knew, and against hosts whose older
// knowledge condemns a part again on which answers have begun since.
func TestQuarantinePassedOn(t *testing.T) {
	first, host, second := NewQuarantine(), NewQuarantine(), NewQuarantine()
	blockPart(first, 0, deadlyPart)
	first.Crashed(0, prompt(sharedPart), "e0", 1, false)
	host.Replace(0, first.List(0))
	second.Began(prompt(sharedPart))
	second.Merge(0, host.List(0))
	if !isBlocked(second, firstBlock/2, deadlyPart) || second.Suspected(prompt(sharedPart)) {
		t.Errorf("blocked %v, shared part suspected %v", isBlocked(second, firstBlock/2, deadlyPart), second.Suspected(prompt(sharedPart)))
	}
	first.Began(prompt(deadlyPart, sharedPart))
	host.Replace(0, first.List(0))
	if isBlocked(host, 0, deadlyPart) || host.Suspected(prompt(sharedPart)) {
		t.Error("the host keeps parts that the dispatcher has cleared")
	}
	for range 1000 { // reports that take their time don't prolong a block
		second.Merge(firstBlock-time.Second, []wire.QuarantinedPart{{Part: deadlyPart, BlockedMs: 2000, ExpiresMs: 3000}})
	}
	if isBlocked(second, firstBlock+2*time.Second, deadlyPart) {
		t.Error("reports of a block prolong it")
	}
}

// TestHungTrial guards against requests that wait for a trial which has no outcome, because its engine or its host is silent.
func TestHungTrial(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}}, 0))
	s.quarantine.Crashed(0, prompt(deadlyPart), "x", 1, false)
	for id := uint64(1); id <= 3; id++ {
		a := chat(id, "m")
		a.DeadlineMs, a.PromptParts = 5000, prompt(deadlyPart)
		s.Ask(0, "h", a)
	}
	first := endpointOf(t, answers(s)[1])
	s.Tick(maxTrialTime - time.Millisecond)
	if got := answers(s); len(got) != 0 {
		t.Errorf("during the trial: %v", got)
	}
	s.Tick(maxTrialTime)
	got := answers(s)
	if len(got) != 1 || endpointOf(t, got[2]) == "" {
		t.Fatalf("after %v without an outcome: %v", maxTrialTime, got)
	}
	// The outcome of the first trial still counts, and so does that of the second one.
	for id, endpoint := range map[uint64]string{1: first, 2: endpointOf(t, got[2])} {
		s.Done(maxTrialTime+time.Millisecond, "h", wire.Done{ID: id, Endpoint: endpoint, Fault: uint8(BrokenResponse), Failed: true, ConnectionLost: true})
	}
	if blocked := isBlocked(s.quarantine, maxTrialTime+time.Millisecond, deadlyPart); blocked != (first != endpointOf(t, got[2])) {
		t.Errorf("blocked %v after trials at %s and %s", blocked, first, endpointOf(t, got[2]))
	}
}
