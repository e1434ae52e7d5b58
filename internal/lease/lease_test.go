package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// object is the lease object in the simulated store.
type object struct {
	rec     Record
	version int
}

// proc is one process that competes for the lease.
type proc struct {
	m           *Machine
	frozenUntil time.Duration // the process takes no step before
	lateWrite   *Action       // write that was sent and has not arrived yet
}

// apply carries out a conditional write, and tells whether it was accepted.
func (o *object) apply(a Action) bool {
	if (a.Version == "" && o.version > 0) || (a.Version != "" && a.Version != fmt.Sprint(o.version)) {
		return false
	}
	o.version++
	o.rec = a.Record
	return true
}

func config(i int) Config {
	return Config{Host: fmt.Sprint("h", i), Incarnation: uint64(i + 1), Term: 600 * time.Millisecond, RenewInterval: 200 * time.Millisecond, Margin: 100 * time.Millisecond, HolderTimeout: 300 * time.Millisecond, Seed: 7}
}

// step lets one process carry out its next action. fate tells what happens to the call: 0 is answered, 1 loses the answer,
// 2 loses the request, 3 delays the request.
func (p *proc) step(now time.Duration, o *object, fate int) {
	a := p.m.Next(now)
	switch a.Kind {
	case Read:
		switch {
		case fate != 0:
			p.m.OnError(now, false)
		case o.version == 0:
			p.m.OnNotFound(now)
		default:
			p.m.OnRead(now, o.rec, fmt.Sprint(o.version))
		}
	case Write:
		if fate == 3 {
			p.lateWrite = &a
		}
		if fate > 1 || !o.apply(a) || fate == 1 {
			p.m.OnError(now, true)
			return
		}
		p.m.OnWritten(now, a.Record, fmt.Sprint(o.version))
	}
}

// TestOneHolder guards against two processes that hold the lease at the same time, and against an epoch that does not grow
// with a new holder. It draws lost answers, lost and delayed requests, frozen processes and releases.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o object
		ps := []*proc{{m: New(config(0))}, {m: New(config(1))}, {m: New(config(2))}}
		now := time.Millisecond
		lastEpoch, lastHolder := uint64(0), -1
		for range 400 {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "process")
			p := ps[i]
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				p.frozenUntil = now + time.Duration(rapid.IntRange(100, 2000).Draw(t, "freeze"))*time.Millisecond
			case 1:
				if p.lateWrite != nil {
					o.apply(*p.lateWrite)
					p.lateWrite = nil
				}
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
					p.m.Release()
				}
			}
			if now >= p.frozenUntil {
				p.step(now, &o, max(0, rapid.IntRange(-6, 3).Draw(t, "fate")))
			}
			holder := -1
			for j, q := range ps {
				e := q.m.HeldEpoch(now)
				if e == 0 {
					continue
				}
				if holder >= 0 {
					t.Fatalf("processes %d and %d both hold the lease", holder, j)
				}
				holder = j
				if e < lastEpoch || (e == lastEpoch && lastHolder != j) {
					t.Fatalf("epoch %d of process %d after epoch %d of process %d", e, j, lastEpoch, lastHolder)
				}
				lastEpoch, lastHolder = e, j
			}
		}
	})
}

// TestTakeover guards against a lease that stays with a dead holder, and against a takeover before the term and the margin
// of the holder have passed.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name     string
		release  bool
		min, max time.Duration
	}{
		{"dead holder", false, 700 * time.Millisecond, 1100 * time.Millisecond},
		{"released", true, 0, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var o object
			a, b := &proc{m: New(config(0))}, &proc{m: New(config(1))}
			now := time.Millisecond
			for ; a.m.HeldEpoch(now) == 0 && now < time.Second; now += time.Millisecond {
				a.step(now, &o, 0)
			}
			b.step(now, &o, 0)
			if c.release {
				a.m.Release()
				a.step(now, &o, 0)
				b.m.MakeDue()
			}
			start := now
			for ; b.m.HeldEpoch(now) == 0 && now < start+2*time.Second; now += time.Millisecond {
				b.step(now, &o, 0)
			}
			if d := now - start; d < c.min || d > c.max || b.m.HeldEpoch(now) != 2 {
				t.Fatalf("lease taken after %s with epoch %d, want %s to %s with epoch 2", d, b.m.HeldEpoch(now), c.min, c.max)
			}
		})
	}
}

// TestLostAnswer guards against a holder that gives up the lease because the answer to its own write was lost.
func TestLostAnswer(t *testing.T) {
	var o object
	p := &proc{m: New(config(0))}
	for now := time.Millisecond; now < 3*time.Second; now += time.Millisecond {
		writesBefore := p.m.writes
		fate := 0
		if p.m.known {
			fate = 1 // the next action is a write if the stored record is known
		}
		p.step(now, &o, fate)
		if writesBefore > 1 && p.m.HeldEpoch(now) != 1 {
			t.Fatalf("epoch %d at %s, want 1", p.m.HeldEpoch(now), now)
		}
	}
}

// TestChallengersWriteNothing guards against challengers that try to take the lease from a holder that renews it: a cell
// has many challengers, and the platform allows few writes.
func TestChallengersWriteNothing(t *testing.T) {
	var o object
	a, b := &proc{m: New(config(0))}, &proc{m: New(config(1))}
	for now := time.Millisecond; now < 20*time.Second; now += time.Millisecond {
		a.step(now, &o, 0)
		if now%(100*time.Millisecond) == 0 && now < 10*time.Second && a.m.HeldEpoch(now) > 0 {
			b.m.HolderSeen(now) // heartbeats only arrive in the first 10 s
		}
		if now > time.Second {
			b.step(now, &o, 0)
		}
	}
	if b.m.writes > 0 || a.m.HeldEpoch(20*time.Second) != 1 {
		t.Fatalf("the challenger wrote %d times, the holder has epoch %d", b.m.writes, a.m.HeldEpoch(20*time.Second))
	}
}

// calmConfig returns the configuration of a host's lease: fractions of a lease time of 3 s.
func calmConfig(i int) Config {
	return Config{Host: fmt.Sprint("h", i), Incarnation: uint64(i + 1), Term: 1650 * time.Millisecond, RenewInterval: 450 * time.Millisecond,
		Margin: 240 * time.Millisecond, HolderTimeout: 500 * time.Millisecond, CalmRenewInterval: 840 * time.Millisecond,
		CalmLatency: 100 * time.Millisecond, ChallengeInterval: 1200 * time.Millisecond, Seed: 7}
}

// stepEvery is the time between the steps of a host that holds the lease.
const stepEvery = 50 * time.Millisecond

// TestCalmHolderWritesSeldom guards against a holder that renews its lease more often than its term requires while the
// store answers at once: 2.4 writes a second with a term of 1.65 s were the second largest part of a fleet's calls. After
// a slow answer it has to renew early again.
func TestCalmHolderWritesSeldom(t *testing.T) {
	var o object
	p := &proc{m: New(calmConfig(0))}
	now := stepEvery
	for ; p.m.HeldEpoch(now) == 0; now += stepEvery {
		p.step(now, &o, 0)
	}
	before := p.m.writes
	for end := now + time.Minute; now < end; now += stepEvery {
		p.step(now, &o, 0)
		if p.m.HeldEpoch(now) != 1 {
			t.Fatalf("lease lost at %v", now)
		}
	}
	if n := p.m.writes - before; n > 72 {
		t.Errorf("%d renewals in a minute of calm, want at most 72", n)
	}
	for p.m.Next(now).Kind == None {
		now += stepEvery
	}
	sent := now
	o.version++
	o.rec = Record{Holder: "h0", Incarnation: 1, Epoch: 1, TermMs: 1650, WriteNumber: p.m.writes}
	now += 300 * time.Millisecond
	p.m.OnWritten(now, o.rec, fmt.Sprint(o.version))
	for p.m.Next(now).Kind == None {
		now += stepEvery
	}
	if d := now - sent; d > 500*time.Millisecond {
		t.Errorf("the next renewal after a slow answer comes %v after the one before", d)
	}
}

// TestHungRenewalKeepsLease guards against a calm interval so long that one call without an answer loses the lease. The
// call ends after its time limit, whether the store has carried it out or not.
func TestHungRenewalKeepsLease(t *testing.T) {
	const callTimeout = 510 * time.Millisecond // of a host's call after a calm one
	const orderCutoff = 60 * time.Millisecond  // before the end of the term, from which a host sends no orders
	for _, fate := range []int{1, 2} {         // the answer or the request is lost
		var o object
		p := &proc{m: New(calmConfig(0))}
		now := stepEvery
		for ; now < 10*time.Second; now += stepEvery {
			p.step(now, &o, 0)
		}
		for !p.m.Calm() || p.m.Next(now).Kind == None {
			now += stepEvery
		}
		if fate == 1 { // Next has returned the write
			o.version++
			o.rec = Record{Holder: "h0", Incarnation: 1, Epoch: 1, TermMs: 1650, WriteNumber: p.m.writes}
		}
		now += callTimeout
		p.m.OnError(now, true)
		for end := now + time.Second; now < end; now += stepEvery {
			if p.m.HeldEpoch(now+orderCutoff) != 1 {
				t.Fatalf("fate %d: lease lost %v after the call ended", fate, time.Second-(end-now))
			}
			p.step(now, &o, 0)
		}
	}
}

// TestChallengerReadsSeldom guards against challengers that read the lease again and again while they wait for its end,
// and against one that takes it late: a lease has to pass on within its term, the margin and a quarter of a second.
func TestChallengerReadsSeldom(t *testing.T) {
	var o object
	a, b := &proc{m: New(calmConfig(0))}, &proc{m: New(calmConfig(1))}
	now := time.Millisecond
	for ; a.m.HeldEpoch(now) == 0; now += time.Millisecond {
		a.step(now, &o, 0)
	}
	start, reads := now, 0
	for ; b.m.HeldEpoch(now) == 0; now += time.Millisecond {
		action := b.m.Next(now)
		switch action.Kind {
		case Read:
			reads++
			b.m.OnRead(now, o.rec, fmt.Sprint(o.version))
		case Write:
			o.apply(action)
			b.m.OnWritten(now, action.Record, fmt.Sprint(o.version))
		}
	}
	if d, longest := now-start, 1650*time.Millisecond+240*time.Millisecond+250*time.Millisecond; reads > 3 || d > longest {
		t.Errorf("%d reads, lease taken after %v, want at most 3 and %v", reads, d, longest)
	}
}
