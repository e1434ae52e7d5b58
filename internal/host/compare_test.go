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

// TestCompareWithOlderSummary replays servers that change 25 times a second, and a dispatcher whose summaries are some
// changes behind. It guards against a host that believes to miss what it has, asks, and then reads the store itself
// (further-grown/jyltyr-almaty-grown, quiet-1: "newest" 189, "theirs" 186, 93 readings of the store before traffic).
func TestCompareWithOlderSummary(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	d := h.directory
	const behind, changes, every = 4, 200, 40 * time.Millisecond
	var summaries []wire.ViewSummary
	now := time.Now()
	for i := range changes {
		d.mirror.put(objects.Object{Kind: "servers", Name: fmt.Sprint("e", i%10), Version: fmt.Sprint(i + 1)})
		summaries = append(summaries, d.mirror.summary("servers"))
		if i < behind {
			continue
		}
		if asks := d.compareSummaries(now.Add(time.Duration(i)*every), summaries[i-behind:i-behind+1]); len(asks) > 0 || d.stale["servers"] {
			t.Fatalf("change %d: asks %v, read from the store %v", i, asks, d.stale["servers"])
		}
	}
	// What is missing indeed is asked for, and then read from the store.
	theirs := summaries[changes-1]
	theirs.Digest, theirs.Newest = theirs.Digest+1, theirs.Newest+1
	asks := 0
	for i := 0; i < 6 && !d.stale["servers"]; i++ {
		asks += len(d.compareSummaries(now.Add(time.Hour+time.Duration(i)*2*mismatchDelay), []wire.ViewSummary{theirs}))
	}
	if asks != maxViewAsks || !d.stale["servers"] {
		t.Errorf("of a change that is missing: %d asks, read from the store %v", asks, d.stale["servers"])
	}
}

// TestCompareAtStart guards against a host that has just started and reads all from the store beside a dispatcher that
// has it.
func TestCompareAtStart(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	asks := h.directory.compareSummaries(time.Now(), []wire.ViewSummary{{Of: "servers", Newest: 7, Digest: 9}})
	if len(asks) != 1 || asks[0].Of != "servers" || asks[0].Newest != 0 {
		t.Errorf("the first summary: %v", asks)
	}
}

// TestTokenBucket guards against a link that is filled by the answers to a fleet of hosts which ask at once.
func TestTokenBucket(t *testing.T) {
	var a tokenBucket
	const rate, size, atOnce = 1000.0, 150.0, 6
	taken := 0
	for range 100 {
		if a.allow(0, size, rate) {
			taken++
		}
	}
	if taken != atOnce {
		t.Errorf("%d answers of %.0f bytes at once, the link takes %.0f a second", taken, size, rate)
	}
	if !a.allow(2*time.Second, 10*rate, rate) {
		t.Error("an answer that is longer than the allowance is never given")
	}
}
