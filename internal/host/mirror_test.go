package host

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// TestPatch guards against a patch that does not reproduce the newer data from the older.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12)
		before, after := data.Draw(t, "before"), data.Draw(t, "after")
		p := makePatch(before, after)
		if got, ok := applyPatch(before, &p); !ok || !bytes.Equal(got, after) {
			t.Fatalf("%q to %q by %+v makes %q, %v", before, after, p, got, ok)
		}
		if _, ok := applyPatch(before[:len(before)/2], &p); ok && int(p.Prefix+p.Suffix) > len(before)/2 {
			t.Fatal("a patch for longer data was applied")
		}
	})
}

// apply applies an update as a host does. It returns false if the host has to read the kind from the store.
func (m mirror) apply(u *wire.ViewUpdate) bool {
	newObjects, removed, ok := m.resolve(u)
	for _, o := range newObjects {
		m.put(o, u.Position)
	}
	for _, r := range removed {
		if m.markDeleted(u.ObjectKind, r.name, r.position, time.Now()) {
			m.remove(u.ObjectKind, r.name, time.Now())
		}
	}
	return ok
}

// objectsOf returns the objects of a kind as text.
func objectsOf(m mirror, kind string) string { return fmt.Sprint(m.add(kind).objects) }

// TestMirrorConverges guards against hosts whose objects stay different from the dispatcher's, whichever updates they
// missed: the update from updateSince has to make the objects equal, and equal digests have to mean equal objects.
func TestMirrorConverges(t *testing.T) {
	const kind = "k"
	rapid.Check(t, func(t *rapid.T) {
		theirs, own := make(mirror), make(mirror)
		revision := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "name"))
			var u *wire.ViewUpdate
			if revision++; rapid.IntRange(0, 3).Draw(t, "step") > 0 {
				data := fmt.Sprintf("a long text that stays %d and ends alike", rapid.IntRange(0, 9).Draw(t, "data"))
				u = theirs.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(revision), Data: []byte(data)}, 0)
			} else if u = theirs.remove(kind, name, time.Now()); u == nil {
				continue // nothing to remove, and nothing to send
			}
			if !own.apply(u) {
				t.Fatal("an update in order does not fit")
			}
			if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
				break // the host misses all later changes
			}
		}
		for range rapid.IntRange(0, 10).Draw(t, "missed") {
			revision++
			name := fmt.Sprint("n", rapid.IntRange(0, 6).Draw(t, "late name"))
			theirs.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(revision), Data: []byte(name)}, 0)
		}
		equal := theirs.summary(kind).Digest == own.summary(kind).Digest
		own.apply(theirs.updateSince(kind, own.summary(kind).Newest))
		if equal != (objectsOf(theirs, kind) == objectsOf(own, kind)) && equal {
			t.Fatalf("equal digests of\n%v\n%v", theirs, own)
		}
		if theirs.summary(kind).Digest != own.summary(kind).Digest || objectsOf(theirs, kind) != objectsOf(own, kind) {
			t.Fatalf("after the update:\n%v\n%v", theirs, own)
		}
	})
}

// TestPatchOfOtherVersion guards against a patch that is applied to another version than the one that it was made from.
func TestPatchOfOtherVersion(t *testing.T) {
	m := make(mirror)
	m.put(objects.Object{Kind: "k", Name: "n", Version: "3", Data: []byte("data")}, 0)
	u := &wire.ViewUpdate{ObjectKind: "k", Patches: []wire.ObjectPatch{{Name: "n", From: "4", Version: "5", Prefix: 1, Middle: []byte("x")}}}
	if newObjects, _, ok := m.resolve(u); ok || len(newObjects) > 0 {
		t.Errorf("patched: %v", newObjects)
	}
	u.Patches[0].Version = "2" // older than the known version, so there is nothing to apply
	if newObjects, _, ok := m.resolve(u); !ok || len(newObjects) > 0 {
		t.Errorf("old patch: %v, %v", newObjects, ok)
	}
}

// TestMergeUpdatesKeepsOrder guards against changes that are lost or reordered by merging their updates.
func TestMergeUpdatesKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		theirs, own := make(mirror), make(mirror)
		var batch []*wire.ViewUpdate
		maxBytes := rapid.Float64Range(0, 300).Draw(t, "most bytes")
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			kind := fmt.Sprint("k", rapid.IntRange(0, 1).Draw(t, "kind"))
			name := fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "name"))
			if rapid.IntRange(0, 3).Draw(t, "step") > 0 {
				data := fmt.Sprintf("a long text that stays %d and ends alike", rapid.IntRange(0, 9).Draw(t, "data"))
				batch = append(batch, theirs.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(i + 1), Data: []byte(data)}, 0))
			} else if u := theirs.remove(kind, name, time.Now()); u != nil {
				batch = append(batch, u)
			}
			if rapid.IntRange(0, 5).Draw(t, "send") > 0 {
				continue
			}
			for _, u := range mergeUpdates(batch, maxBytes) {
				if !own.apply(u) {
					t.Fatalf("does not fit: %+v", u)
				}
			}
			batch = nil
		}
		for _, u := range mergeUpdates(batch, maxBytes) {
			own.apply(u)
		}
		for _, kind := range []string{"k0", "k1"} {
			if objectsOf(theirs, kind) != objectsOf(own, kind) {
				t.Fatalf("%s:\n%v\n%v", kind, theirs[kind], own[kind])
			}
		}
	})
}

// TestMergeUpdatesReducesMessages guards against updates that stay separate although they can be merged, and against
// merged updates that are too long.
func TestMergeUpdatesReducesMessages(t *testing.T) {
	m := make(mirror)
	var batch []*wire.ViewUpdate
	for i := range 20 {
		batch = append(batch, m.put(objects.Object{Kind: "k", Name: fmt.Sprint("n", i), Version: fmt.Sprint(i + 1)}, 0))
	}
	if n := len(mergeUpdates(batch, 1000)); n != 1 {
		t.Errorf("20 changes of different objects make %d messages", n)
	}
	for _, u := range mergeUpdates(batch, 10) { // at the start of a fleet, one message with all objects would be too long for the link
		if updateSize(u) > 10 {
			t.Errorf("a message of %d bytes, 10 are allowed", updateSize(u))
		}
	}
}
