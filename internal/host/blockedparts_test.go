package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// storedParts returns the parts that the store holds as blocked.
func storedParts(t *testing.T, s *fakeStore) []storedBlock {
	t.Helper()
	s.mu.Lock()
	o := s.current[kindQuarantine][nameBlocked]
	s.mu.Unlock()
	if o.Data == nil {
		return nil
	}
	v, err := objects.Decode[storedBlocks](o)
	if err != nil {
		t.Fatal(err)
	}
	return v.Parts
}

// TestBlockedPartsStored guards against blocks that are lost with the fleet: because the store was silent when a part was
// blocked, because a dispatcher that has just started replaces the stored list by its empty one, or because another one has
// written it meanwhile.
func TestBlockedPartsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := func() *blockedParts {
			b := newFollower("h0", "h0", store).blocked
			go b.run(ctx)
			return b
		}
		first := start()
		first.setActive(true)
		store.setSilent(true)
		first.update([]wire.QuarantinedPart{{Part: 0xdead, BlockedMs: 600_000, Blocks: 1}, {Part: 0xa1}})
		time.Sleep(5 * time.Second)
		store.setSilent(false)
		time.Sleep(10 * time.Second)
		if got := storedParts(t, store); len(got) != 1 || got[0].Part != "dead" || got[0].Blocks != 1 {
			t.Fatalf("stored: %+v", got)
		}
		second := start()
		second.setActive(true)
		second.update(nil) // it has not read the stored list yet
		var read []wire.QuarantinedPart
		select {
		case read = <-second.read:
		case <-time.After(time.Second):
		}
		time.Sleep(time.Second)
		if got := storedParts(t, store); len(got) != 1 {
			t.Fatalf("stored before the dispatcher merged the list: %+v", got)
		}
		if len(read) != 1 || read[0].Part != 0xdead || read[0].BlockedMs < 500_000 || read[0].BlockedMs > 600_000 {
			t.Fatalf("read: %+v", read)
		}
		second.update(append(read, wire.QuarantinedPart{Part: 0xbeef, BlockedMs: 600_000, Blocks: 1}))
		time.Sleep(time.Second)
		first.update(nil) // has lost its duty without knowing it
		var again []wire.QuarantinedPart
		select {
		case again = <-first.read:
		case <-time.After(time.Second):
		}
		if len(again) != 2 || len(storedParts(t, store)) != 2 {
			t.Errorf("read after a conflict: %+v, stored: %+v", again, storedParts(t, store))
		}
		first.update(nil) // both are cleared
		time.Sleep(time.Second)
		if got := storedParts(t, store); len(got) != 0 {
			t.Errorf("stored after the parts are cleared: %+v", got)
		}
	})
}

// TestOwnObjectsAreWrittenAgain guards against what a host has written and the store has lost by returning from an older copy:
// blocked prompt parts, so that a fleet that loses power crashes engines again, and the host's registration.
func TestOwnObjectsAreWrittenAgain(t *testing.T) {
	for _, lost := range []string{kindQuarantine, kindHosts} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h := newFollower("h0", "h0", store)
			go h.directory.run(ctx)
			go h.blocked.run(ctx)
			h.blocked.setActive(true)
			h.blocked.update([]wire.QuarantinedPart{{Part: 0xdead, BlockedMs: 600_000, Blocks: 1}})
			registered := func() bool {
				store.mu.Lock()
				defer store.mu.Unlock()
				return len(store.current[kindHosts]) == 1
			}
			time.Sleep(5 * time.Second)
			if len(storedParts(t, store)) != 1 || !registered() {
				t.Fatalf("stored before: %+v, registered %v", storedParts(t, store), registered())
			}
			store.restore(lost)
			time.Sleep(15 * time.Second)
			if len(storedParts(t, store)) != 1 || !registered() {
				t.Errorf("after the loss of %s: stored %+v, registered %v", lost, storedParts(t, store), registered())
			}
		})
	}
}

// TestRegistrationOfEarlierProcess guards against a host that stays unregistered when the store returns from a copy in which its
// entry is that of an earlier process, and another host passes this entry on.
func TestRegistrationOfEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h := newFollower("h1", "h0", store)
		go h.directory.run(ctx)
		receive := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				receiveState(h, wire.FleetState{ViewCurrent: true})
			}
		}
		time.Sleep(5 * time.Second)
		store.restore("")
		earlier, err := objects.Encode(kindHosts, "h1", "", fleet.Host{Name: "h1", Incarnation: h.incarnation - 1})
		if err != nil {
			t.Fatal(err)
		}
		earlier = store.put(kindHosts, "h1", string(earlier.Data))
		h.directory.applyUpdate(&wire.ViewUpdate{ObjectKind: kindHosts, Objects: []wire.StoredObject{toStoredObject(earlier)}})
		receive(5 * time.Second)
		store.mu.Lock()
		o := store.current[kindHosts]["h1"]
		store.mu.Unlock()
		if now, err := objects.Decode[fleet.Host](o); err != nil || now.Incarnation != h.incarnation {
			t.Errorf("registered: %+v, %v; this process is %d", now, err, h.incarnation)
		}
	})
}

// TestBadStoredParts guards against a host that fails on a list of blocked parts that it can't read.
func TestBadStoredParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, data := range []string{`"text"`, `{"parts":[{"part":"not hexadecimal","untilUnixMs":99999999999999}]}`, `{"parts":[{"part":"1","untilUnixMs":5}]}`} {
			store.put(kindQuarantine, nameBlocked, data)
			b := newFollower("h0", "h0", store).blocked
			go b.run(ctx)
			b.setActive(true)
			b.update([]wire.QuarantinedPart{{Part: 0xdead, BlockedMs: 600_000, Blocks: 1}})
			time.Sleep(5 * time.Second)
			if got := storedParts(t, store); len(got) != 1 || got[0].Part != "dead" {
				t.Errorf("stored instead of %s: %+v", data, got)
			}
		}
	})
}

// TestLongerBlockIsStored guards against a stored block that stays short although the dispatcher has made it long, and against a
// write each time that the time left is told.
func TestLongerBlockIsStored(t *testing.T) {
	short := []storedBlock{{Part: "a", UntilUnixMs: 5_000, Blocks: 1}}
	for _, c := range []struct {
		untilMs int64
		same    bool
	}{{5_040, true}, {600_000, false}} {
		if got := samePartBlocks([]storedBlock{{Part: "a", UntilUnixMs: c.untilMs, Blocks: 1}}, short); got != c.same {
			t.Errorf("block until %d ms: same %v, want %v", c.untilMs, got, c.same)
		}
	}
}
