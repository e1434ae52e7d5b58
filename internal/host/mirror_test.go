package host

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// TestPatch guards against a patch that makes other data than it was made from.
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

// apply does what a host does with an update. It returns false if the host has to read the kind.
func (m mirror) apply(u *wire.ViewUpdate) bool {
	news, gone, ok := m.resolve(u)
	for _, o := range news {
		m.put(o)
	}
	for _, name := range gone {
		m.remove(u.Of, name)
	}
	return ok
}

// TestMirrorConverges guards against hosts that keep other objects than the dispatcher, whichever updates they got: what
// since returns has to make the objects equal, and equal digests have to mean equal objects.
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
				u = theirs.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(revision), Data: []byte(data)})
			} else {
				u = theirs.remove(kind, name)
			}
			if !own.apply(u) {
				t.Fatal("an update in order does not fit")
			}
			if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
				break // from here on, the host gets nothing
			}
		}
		for range rapid.IntRange(0, 10).Draw(t, "missed") {
			revision++
			name := fmt.Sprint("n", rapid.IntRange(0, 6).Draw(t, "late name"))
			theirs.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(revision), Data: []byte(name)})
		}
		equal := theirs.summary(kind).Digest == own.summary(kind).Digest
		own.apply(theirs.updateSince(kind, own.summary(kind).Newest))
		if equal != (fmt.Sprint(theirs) == fmt.Sprint(own)) && equal {
			t.Fatalf("equal digests of\n%v\n%v", theirs, own)
		}
		if theirs.summary(kind).Digest != own.summary(kind).Digest || fmt.Sprint(theirs[kind]) != fmt.Sprint(own[kind]) {
			t.Fatalf("after the update:\n%v\n%v", theirs, own)
		}
	})
}

// TestPatchOfOtherVersion guards against a patch that is applied to other data than it was made from.
func TestPatchOfOtherVersion(t *testing.T) {
	m := make(mirror)
	m.put(objects.Object{Kind: "k", Name: "n", Version: "3", Data: []byte("data")})
	u := &wire.ViewUpdate{Of: "k", Patches: []wire.ObjectPatch{{Name: "n", From: "4", Version: "5", Prefix: 1, Middle: []byte("x")}}}
	if news, _, ok := m.resolve(u); ok || len(news) > 0 {
		t.Errorf("patched: %v", news)
	}
	u.Patches[0].Version = "2" // older than what is known: nothing to do
	if news, _, ok := m.resolve(u); !ok || len(news) > 0 {
		t.Errorf("old patch: %v, %v", news, ok)
	}
}

// TestMergeUpdatesKeepsOrder guards against changes that are lost or reordered when they are passed on together.
func TestMergeUpdatesKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		theirs, own := make(mirror), make(mirror)
		var batch []*wire.ViewUpdate
		most := rapid.Float64Range(0, 300).Draw(t, "most bytes")
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			kind := fmt.Sprint("k", rapid.IntRange(0, 1).Draw(t, "kind"))
			name := fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "name"))
			if rapid.IntRange(0, 3).Draw(t, "step") > 0 {
				data := fmt.Sprintf("a long text that stays %d and ends alike", rapid.IntRange(0, 9).Draw(t, "data"))
				batch = append(batch, theirs.put(objects.Object{Kind: kind, Name: name, Version: fmt.Sprint(i + 1), Data: []byte(data)}))
			} else {
				batch = append(batch, theirs.remove(kind, name))
			}
			if rapid.IntRange(0, 5).Draw(t, "send") > 0 {
				continue
			}
			for _, u := range mergeUpdates(batch, most) {
				if !own.apply(u) {
					t.Fatalf("does not fit: %+v", u)
				}
			}
			batch = nil
		}
		for _, u := range mergeUpdates(batch, most) {
			own.apply(u)
		}
		for _, kind := range []string{"k0", "k1"} {
			if len(theirs[kind])+len(own[kind]) > 0 && fmt.Sprint(theirs[kind]) != fmt.Sprint(own[kind]) {
				t.Fatalf("%s:\n%v\n%v", kind, theirs[kind], own[kind])
			}
		}
	})
}

// TestMergeUpdatesReducesMessages guards against merging that merges nothing.
func TestMergeUpdatesReducesMessages(t *testing.T) {
	m := make(mirror)
	var batch []*wire.ViewUpdate
	for i := range 20 {
		batch = append(batch, m.put(objects.Object{Kind: "k", Name: fmt.Sprint("n", i), Version: fmt.Sprint(i + 1)}))
	}
	if n := len(mergeUpdates(batch, 1000)); n != 1 {
		t.Errorf("20 changes of different objects make %d messages", n)
	}
	for _, u := range mergeUpdates(batch, 10) { // the whole start of a fleet in one message would not fit the link
		if updateSize(u) > 10 {
			t.Errorf("a message of %d bytes, 10 are allowed", updateSize(u))
		}
	}
}
