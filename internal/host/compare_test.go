package host

import (
	"fmt"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// TestCompareWithOlderSummary plays servers that change 25 times a second, and a dispatcher whose summaries are some
// changes behind. It guards against a host that asks for objects although it has newer ones, and then reads the store
// itself (further-grown/jyltyr-almaty-grown, quiet-1: "newest" 189, "theirs" 186, 93 reads of the store before
// traffic).
func TestCompareWithOlderSummary(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	d := h.directory
	d.received["servers"] = true // the host has listed the servers before
	const behind, changes, every = 4, 200, 40 * time.Millisecond
	var summaries []wire.ViewSummary
	now := time.Now()
	for i := range changes {
		d.mirror.put(objects.Object{Kind: "servers", Name: fmt.Sprint("e", i%10), Version: fmt.Sprint(i + 1)}, 0)
		summaries = append(summaries, d.mirror.summary("servers"))
		if i < behind {
			continue
		}
		if asks := d.compareSummaries(now.Add(time.Duration(i)*every), summaries[i-behind:i-behind+1]); len(asks) > 0 || d.stale["servers"] {
			t.Fatalf("change %d: asks %v, read from the store %v", i, asks, d.stale["servers"])
		}
	}
	// Objects that are missing are asked for, and then read from the store.
	theirs := summaries[changes-1]
	theirs.Digest, theirs.Newest = theirs.Digest+1, theirs.Newest+1
	asks := 0
	for i := 0; i < 6 && !d.stale["servers"]; i++ {
		asks += len(d.compareSummaries(now.Add(time.Hour+time.Duration(i)*2*mismatchDelay), []wire.ViewSummary{theirs}))
	}
	if asks != maxViewAsks || !d.stale["servers"] {
		t.Errorf("missing change: %d asks, read from the store %v", asks, d.stale["servers"])
	}
}

// TestCompareAtStart guards against a host that reads all objects from the store at its start although the dispatcher
// has them.
func TestCompareAtStart(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	asks := h.directory.compareSummaries(time.Now(), []wire.ViewSummary{{Of: "servers", Newest: 7, Digest: 9}})
	if len(asks) != 1 || asks[0].ObjectKind != "servers" || asks[0].Newest != 0 {
		t.Errorf("asks after the first summary: %v", asks)
	}
}

// TestFullListIsAskedFor plays a dispatcher that lists no endpoints at first, and forwards the first one before its summary.
// It guards against hosts that never learn that they have all endpoints, as their digest equals the dispatcher's: six of
// 13 hosts were not ready for a whole day.
func TestFullListIsAskedFor(t *testing.T) {
	entry := objects.Object{Kind: "servers", Name: "e1", Data: []byte("1")}
	for _, forwarded := range []int{0, 1} {
		store := newMemoryStore()
		newHost := func(name string) *Host {
			return New(Options{Deployment: fleet.Deployment{Host: name}, Codec: entryCodec{}, Store: store, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
		}
		dispatcher, h := newHost("h0").directory, newHost("h1").directory
		if _, err := dispatcher.listKind(t.Context(), kindWatch{"servers", 0, dispatcher.putEndpoint, dispatcher.removeEndpoint, dispatcher.retainEndpoints}); err != nil {
			t.Fatal(err)
		}
		if forwarded > 0 {
			o := store.put(entry)
			h.applyUpdate(dispatcher.mirror.put(o, 0))
		}
		now := time.Now()
		asks := h.compareSummaries(now, dispatcher.summaries())
		if len(asks) != 1 || asks[0].ObjectKind != "servers" || asks[0].Newest != 0 {
			t.Fatalf("%d changes forwarded: asks %v", forwarded, asks)
		}
		h.applyUpdate(dispatcher.updateSince(asks[0]))
		if v := h.view(); !v.EndpointsListed || len(v.Endpoints) != forwarded {
			t.Errorf("%d changes forwarded: %d endpoints, listed %v", forwarded, len(v.Endpoints), v.EndpointsListed)
		}
		if asks := h.compareSummaries(now.Add(time.Hour), dispatcher.summaries()); len(asks) > 0 {
			t.Errorf("%d changes forwarded: asks after the full list: %v", forwarded, asks)
		}
	}
}

// TestPatchBeforeObjects guards against hosts that have just started and read a kind from the store because a change of an
// object arrives before the objects that they have asked for. On further-grown, trouble-3 --seed 1, there were 136 such reads
// by 115 hosts within 0.2 s.
func TestPatchBeforeObjects(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	d := h.directory
	patch := &wire.ViewUpdate{ObjectKind: "servers", Patches: []wire.ObjectPatch{{Name: "e0", From: "1", Version: "2", Middle: []byte("1")}}}
	if d.applyUpdate(patch); d.isStale("servers") {
		t.Error("a patch for a host without objects leads to a read of the store")
	}
	d.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Complete: true, Names: []string{"e1"},
		Objects: []wire.StoredObject{{Kind: "servers", Name: "e1", Version: "1", Data: []byte("1")}}})
	if d.applyUpdate(patch); !d.isStale("servers") {
		t.Error("a patch that does not fit leads to no read of the store")
	}
}

// TestTokenBucket guards against a link that is filled by answers when the hosts of a fleet all ask at once.
func TestTokenBucket(t *testing.T) {
	var a tokenBucket
	const rate, size, wantAllowed = 1000.0, 150.0, 6
	allowed := 0
	for range 100 {
		if a.allow(0, size, rate, rate) {
			allowed++
		}
	}
	if allowed != wantAllowed {
		t.Errorf("%d answers of %.0f bytes allowed at once, the limit is %.0f bytes a second", allowed, size, rate)
	}
	if !a.allow(2*time.Second, 10*rate, rate, rate) {
		t.Error("a full bucket does not allow an answer that is longer than its capacity")
	}
}
