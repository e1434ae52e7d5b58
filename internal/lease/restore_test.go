package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restorable is a lease object in a store that may return from an older copy of itself.
type restorable struct {
	object
	generation uint64
	older      []object // contents so far, oldest first
}

func (o *restorable) versionString() string {
	if o.version == 0 {
		return ""
	}
	return fmt.Sprint(o.generation, ".", o.version)
}

// step lets a process carry out its next action, all of whose calls are answered.
func (o *restorable) step(m *Machine, now time.Duration) {
	m.SetGeneration(now, o.generation)
	a := m.Next(now)
	switch {
	case a.Kind == Read && o.version == 0:
		m.OnNotFound(now)
	case a.Kind == Read:
		m.OnRead(now, o.rec, o.versionString())
	case a.Kind == Write && a.Version != o.versionString():
		m.OnError(now, true)
	case a.Kind == Write:
		o.older = append(o.older, o.object)
		o.version++
		o.rec = a.Record
		m.OnWritten(now, o.rec, o.versionString())
	}
}

// TestOneHolderAcrossRestores guards against two processes that hold the lease at the same time, or one after the other with one
// epoch, after the store has lost the latest writes of the lease: an earlier holder that the older copy names, or one that finds
// the lease free there, takes it while the last holder's term goes on, with the epoch that the last holder has already used.
func TestOneHolderAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := restorable{generation: 1}
		machines := []*Machine{New(config(0)), New(config(1)), New(config(2))}
		frozenUntil := make([]time.Duration, len(machines))
		now := time.Millisecond
		for _, m := range machines { // all know the first generation
			o.step(m, now)
		}
		usedBy := make(map[uint64]int)
		lastEpoch := uint64(0)
		for range 500 {
			now += time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(machines)-1).Draw(t, "process")
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				frozenUntil[i] = now + time.Duration(rapid.IntRange(100, 2000).Draw(t, "freeze"))*time.Millisecond
			case 1:
				if len(o.older) > 0 {
					o.object = o.older[rapid.IntRange(0, len(o.older)-1).Draw(t, "copy")]
					o.older = nil
					o.generation++
				}
			case 2: // the process ends after a release, and another one starts
				machines[i].Release()
				for range 3 {
					o.step(machines[i], now)
				}
				next := config(i)
				next.Incarnation = uint64(now)
				machines[i] = New(next)
				o.step(machines[i], now)
			}
			if now >= frozenUntil[i] {
				o.step(machines[i], now)
			}
			holder := -1
			for j, m := range machines {
				e := m.HeldEpoch(now)
				if e == 0 {
					continue
				}
				if holder >= 0 {
					t.Fatalf("processes %d and %d both hold the lease", holder, j)
				}
				holder = j
				if by, used := usedBy[e]; used && by != j {
					t.Fatalf("epoch %d of process %d was used by process %d", e, j, by)
				}
				if e < lastEpoch {
					t.Fatalf("epoch %d of process %d after epoch %d", e, j, lastEpoch)
				}
				usedBy[e], lastEpoch = j, e
			}
		}
	})
}

// TestHolderKeepsLostLease guards against a holder that gives the lease up because the store has lost its record.
func TestHolderKeepsLostLease(t *testing.T) {
	o := restorable{generation: 1}
	m := New(config(0))
	now := time.Millisecond
	for ; m.HeldEpoch(now) == 0; now += 20 * time.Millisecond {
		o.step(m, now)
	}
	before := m.HeldEpoch(now)
	o.object, o.generation = object{}, 2
	for end := now + 3*config(0).Term; now < end; now += 20 * time.Millisecond {
		if o.step(m, now); m.HeldEpoch(now) == 0 {
			t.Fatalf("the lease is not held %v after the restore", now)
		}
	}
	if e := m.HeldEpoch(now); e <= before || o.rec.Epoch != e {
		t.Errorf("epoch %d after %d, stored %d", e, before, o.rec.Epoch)
	}
}
