package host

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// TestReplayDoesNotBringBack plays a dispatcher that loses the store. Relays pass on that an endpoint joins and leaves, and then
// the store answers the dispatcher again, with the same two changes. It guards against an endpoint that has left and is used
// again (DRAIN).
func TestReplayDoesNotBringBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		h := startDispatcher(t, ctx, store)
		store.setFailing(objects.ErrUnavailable)
		time.Sleep(testBound)
		joined := store.put("servers", "e9", "1")
		h.directory.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Objects: []wire.StoredObject{toStoredObject(joined)}})
		if h.directory.view().Endpoint("e9") == nil {
			t.Fatal("the endpoint that joins is not in the view")
		}
		store.delete("servers", "e9")
		h.directory.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Removed: []string{"e9"}})
		if h.directory.view().Endpoint("e9") != nil {
			t.Fatal("the endpoint that has left is in the view")
		}
		time.Sleep(time.Second)
		store.setFailing(nil)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if h.directory.view().Endpoint("e9") != nil {
				t.Error("the endpoint that has left is in the view again")
				break
			}
		}
		if !h.directory.isCurrent() {
			t.Error("the dispatcher does not follow the store again")
		}
		cancel()
		synctest.Wait()
	})
}

// storeHistory is the history of the objects of one kind: what each position of the store shows.
type storeHistory struct {
	events []objects.Event // event i has version i+1
}

// at returns the version of an object at a position, or 0 if there was none.
func (s *storeHistory) at(name string, position int) int {
	for i := position - 1; i >= 0; i-- {
		if e := s.events[i]; e.Object.Name == name {
			if e.Type == objects.EventDeleted {
				return 0
			}
			return i + 1
		}
	}
	return 0
}

// TestMirrorNeverGoesBack plays hosts that learn the changes of the store from their own calls, from lists, and from what the
// others pass on, in any order, late and more than once. It guards against an object that goes back to an older version or is
// back after its removal, and against hosts that differ for good.
func TestMirrorNeverGoesBack(t *testing.T) {
	const kind, hosts, names = "k", 3, 3
	rapid.Check(t, func(t *rapid.T) {
		var store storeHistory
		mirrors, watched := make([]mirror, hosts), make([]int, hosts)
		least := make([]map[string]int, hosts) // position as of which a host knows each object
		for i := range mirrors {
			mirrors[i], least[i] = make(mirror), make(map[string]int)
		}
		now := time.Now()
		var sent []*wire.ViewUpdate // may arrive at any time
		name := func() string { return fmt.Sprint("n", rapid.IntRange(0, names-1).Draw(t, "name")) }
		learn := func(h int, name string, position int) { least[h][name] = max(least[h][name], position) }
		check := func(h int) {
			for i := range names {
				n := fmt.Sprint("n", i)
				o, _ := mirrors[h].object(kind, n)
				found := false
				for p := least[h][n]; p <= len(store.events) && !found; p++ {
					found = store.at(n, p) == int(o.revision)
				}
				if !found {
					t.Fatalf("host %d has version %d of %s, as of position %d or later the store had other ones: %v", h, o.revision, n, least[h][n], store.events)
				}
			}
		}
		send := func(u *wire.ViewUpdate) {
			if u != nil {
				sent = append(sent, u)
			}
		}
		put := func(h int, o objects.Object, shownAt uint64) {
			if !mirrors[h].isOutdated(kind, o.Name, o.Version, shownAt) {
				send(mirrors[h].put(o, shownAt))
			}
		}
		remove := func(h int, name string, position uint64) {
			if mirrors[h].markDeleted(kind, name, position, now) {
				send(mirrors[h].remove(kind, name, now))
			}
		}
		list := func(h int) {
			listed, position := make(map[string]bool), uint64(len(store.events))
			for i := range names {
				n := fmt.Sprint("n", i)
				if v := store.at(n, len(store.events)); v > 0 {
					listed[n] = true
					put(h, store.events[v-1].Object, position)
				}
				learn(h, n, len(store.events))
			}
			for _, n := range mirrors[h].missing(kind, listed, position) {
				remove(h, n, position)
			}
			mirrors[h].advance(kind, position)
			watched[h] = len(store.events)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1: // the store changes
				e := objects.Event{Type: objects.EventModified, Object: objects.Object{Kind: kind, Name: name(), Version: fmt.Sprint(len(store.events) + 1)}}
				if store.at(e.Object.Name, len(store.events)) > 0 && rapid.Bool().Draw(t, "delete") {
					e.Type = objects.EventDeleted
				}
				store.events = append(store.events, e)
			case 2: // a host asks for changes
				until := rapid.IntRange(watched[h], len(store.events)).Draw(t, "until")
				for _, e := range store.events[watched[h]:until] {
					if position := parseRevision(e.Object.Version); e.Type == objects.EventDeleted {
						remove(h, e.Object.Name, position)
						learn(h, e.Object.Name, int(position))
					} else {
						put(h, e.Object, 0)
						learn(h, e.Object.Name, int(position))
					}
				}
				watched[h] = until
				mirrors[h].advance(kind, uint64(until))
			case 3:
				list(h)
			case 4: // a host answers another one
				send(mirrors[h].updateSince(kind, 0))
			default: // a message arrives, perhaps not for the last time
				if len(sent) == 0 {
					continue
				}
				u := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")]
				newObjects, removed, ok := mirrors[h].resolve(u)
				for _, o := range newObjects {
					put(h, o, u.Position)
					learn(h, o.Name, int(parseRevision(o.Version)))
				}
				for _, r := range removed {
					remove(h, r.name, r.position)
					learn(h, r.name, int(r.position))
				}
				if u.Complete && ok {
					mirrors[h].advance(kind, u.Position)
				}
			}
			check(h)
		}
		for h := range mirrors {
			list(h)
			check(h)
			if objectsOf(mirrors[h], kind) != objectsOf(mirrors[0], kind) {
				t.Fatalf("after all have listed:\n%v\n%v", mirrors[h][kind], mirrors[0][kind])
			}
		}
	})
}

// TestForgottenTombstonesStillCount guards against a memory for removed objects that grows without bound, and against an old
// change that brings an object back once its removal is no longer kept by itself.
func TestForgottenTombstonesStillCount(t *testing.T) {
	const kind = "k"
	m, now := make(mirror), time.Now()
	remove := func(i int) {
		name := fmt.Sprint("n", i)
		m.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(2*i + 1)}, 0)
		m.markDeleted(kind, name, uint64(2*i+2), now)
		m.remove(kind, name, now)
	}
	for i := range 2 * maxTombstones {
		remove(i)
	}
	if n := len(m[kind].tombstones.byName); n > maxTombstones {
		t.Errorf("%d removals kept, the bound is %d", n, maxTombstones)
	}
	if !m.isOutdated(kind, "n5", "11", 0) || m.isOutdated(kind, "n5", fmt.Sprint(4*maxTombstones+1), 0) {
		t.Error("an old version of a removed object counts as new, or a new one as old")
	}
	m[kind].tombstones.expire(now.Add(2 * tombstoneLife))
	if n := len(m[kind].tombstones.byName); n > 0 {
		t.Errorf("%d removals kept after their time", n)
	}
	if last := 2*maxTombstones - 1; !m.isOutdated(kind, fmt.Sprint("n", last), fmt.Sprint(2*last+1), 0) {
		t.Error("the last removed object comes back after its time")
	}
}
