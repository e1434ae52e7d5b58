package sched

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

// losePart is a part of requests whose answers get lost.
const losePart = 0x105e

// playLost plays requests with losePart beside sound ones until end. Their answers get lost while lost is set: the connection
// ends, and the engine goes on.
func (r *crashReplay) playLost(end time.Duration, soundPerSec float64, lost bool) {
	for next := r.now; r.now < end; {
		if r.now >= next {
			r.ask(losePart)
			next += 100 * time.Millisecond
		}
		r.play(min(r.now+replayStep, end), len(r.view.Endpoints), soundPerSec, 0, nil)
		for id, x := range r.running {
			if lost && x.endpoint != "" && !x.begun && x.ask.PromptParts[0].ID == losePart {
				delete(r.running, id)
				r.s.Done(r.now, x.host, wire.Done{ID: id, Fault: uint8(BrokenResponse), Failed: true, ConnectionLost: true})
			}
		}
	}
}

// TestLostAnswersBlockNoPart guards against a part that is blocked for minutes because the answers on it got lost for some seconds,
// although no engine has crashed: neither when the engines answer other requests, nor when they have no others.
func TestLostAnswersBlockNoPart(t *testing.T) {
	for _, soundPerSec := range []float64{300, 0} {
		t.Run(fmt.Sprint(soundPerSec, " sound requests a second"), func(t *testing.T) {
			r := newCrashReplay(t, 5)
			r.countFrom = time.Hour
			r.play(2*time.Second, 5, soundPerSec, 0, nil)
			r.playLost(6*time.Second, soundPerSec, true)
			r.playLost(11*time.Second, soundPerSec, false) // as long as connections count as disturbed, and a short block
			r.countFrom = r.now
			r.playLost(r.now+10*time.Second, soundPerSec, false)
			if asked, began := r.asked[false], r.asked[true]; began < asked*9/10 {
				t.Errorf("%d of %d requests began after the losses; refused: %v", began, asked, r.refused)
			}
			if isBlocked(r.s.quarantine, r.now, losePart) {
				t.Error("the part is blocked")
			}
		})
	}
}

// TestLateNoticeOfEnds plays a part that crashes engines whose entries stay listed for seconds. It guards against a block that is
// lifted or ends before the fleet knows that the engines have ended.
func TestLateNoticeOfEnds(t *testing.T) {
	const notice = 3600 * time.Millisecond // three missed heartbeats
	q := NewQuarantine()
	now, crashes := time.Duration(0), []time.Duration{}
	for now < time.Minute {
		if _, blocked := q.Blocked(now, prompt(deadlyPart)); !blocked {
			q.Crashed(now, prompt(deadlyPart), fmt.Sprint("e", len(crashes)), 1, len(crashes) > 0)
			crashes = append(crashes, now)
		}
		for i, at := range crashes {
			if now >= at+notice {
				q.Ended(now, fmt.Sprint("e", i), 1)
			}
		}
		now += 100 * time.Millisecond
	}
	if len(crashes) > crashesToLearn {
		t.Errorf("%d crashes within a minute: %v", len(crashes), crashes)
	}
	// Without any notice, as while the store is away, there are few more.
	q, now, crashes = NewQuarantine(), 0, nil
	for now < time.Minute {
		if _, blocked := q.Blocked(now, prompt(deadlyPart)); !blocked {
			q.Crashed(now, prompt(deadlyPart), fmt.Sprint("e", len(crashes)), 1, len(crashes) > 0)
			crashes = append(crashes, now)
		}
		now += 100 * time.Millisecond
	}
	if len(crashes) > crashesToLearn+maxRequestsToEngine {
		t.Errorf("%d crashes within a minute without notice: %v", len(crashes), crashes)
	}
}

// TestAliveTakesBack guards against a verdict that stays although a process that counted as crashed answers a later request, and
// against one that is taken back by an answer to a request from before, or by the process that followed.
func TestAliveTakesBack(t *testing.T) {
	for _, c := range []struct {
		name        string
		born        int64
		sentAt      time.Duration
		wantBlocked bool
	}{{"later request", 1, 2 * time.Second, false}, {"earlier request", 1, time.Millisecond, true}, {"next process", 2, 2 * time.Second, true}} {
		q := NewQuarantine()
		blockPart(q, time.Second, deadlyPart)
		host := NewQuarantine()
		host.Replace(time.Second, q.List(time.Second))
		q.Alive(3*time.Second, "e1", c.born, c.sentAt)
		host.Replace(3*time.Second, q.List(3*time.Second))
		for name, q := range map[string]*Quarantine{"dispatcher": q, "host": host} {
			if got := isBlocked(q, 3*time.Second, deadlyPart); got != c.wantBlocked {
				t.Errorf("%s: blocked at the %s: %v, want %v", c.name, name, got, c.wantBlocked)
			}
		}
	}
}

// TestShortBlockBecomesLong guards against hosts that keep the short block of a part whose crashes were confirmed later.
func TestShortBlockBecomesLong(t *testing.T) {
	q, host := NewQuarantine(), NewQuarantine()
	for i := range trialCrashesToBlock + 1 {
		q.Crashed(0, prompt(deadlyPart), fmt.Sprint("e", i), 1, i > 0)
	}
	host.Replace(0, q.List(0))
	if !isBlocked(host, ShortBlock/2, deadlyPart) || isBlocked(host, ShortBlock+time.Second, deadlyPart) {
		t.Error("the block at a host is not a short one")
	}
	for i := range trialCrashesToBlock + 1 {
		q.Ended(time.Second, fmt.Sprint("e", i), 1)
	}
	host.Replace(time.Second, q.List(time.Second))
	if !isBlocked(host, firstBlock/2, deadlyPart) {
		t.Error("the block at a host stays short")
	}
}

// TestTrialsPauseNoEndpoint guards against a sound endpoint that is paused, and so taken from all other requests, because answers of
// requests on trial were lost there.
func TestTrialsPauseNoEndpoint(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}}, 0))
	s.quarantine.Crashed(0, prompt(losePart), "x", 1, false)
	for id := uint64(1); id <= 4; id++ {
		now := time.Duration(id) * 500 * time.Millisecond
		a := chat(id, "m")
		a.PromptParts = prompt(losePart)
		host := fmt.Sprint("h", id)
		s.Ask(now, host, a)
		if _, granted := answers(s)[id].(*wire.Grant); !granted {
			break // blocked
		}
		s.Done(now+10*time.Millisecond, host, wire.Done{ID: id, Fault: uint8(BrokenResponse), Failed: true, ConnectionLost: true})
	}
	for _, c := range s.TakeHealthChanges() {
		if c.Paused {
			t.Errorf("%s is paused: %v", c.Endpoint, c.Fault)
		}
	}
}
