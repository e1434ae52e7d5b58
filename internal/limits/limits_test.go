package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBucketBound guards against a bucket that lets through more than its capacity and its refill in some interval.
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSec := rapid.Float64Range(0, 1000).Draw(t, "perSec")
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		var b Bucket
		var now time.Duration
		type take struct {
			at time.Duration
			n  float64
		}
		var takes []take
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			b.Refill(now, perSec, capacity)
			if n := rapid.Float64Range(0, 500).Draw(t, "n"); b.Take(n) {
				takes = append(takes, take{now, n})
			}
		}
		for i := range takes {
			sum := 0.0
			for _, x := range takes[i:] {
				sum += x.n
				if allowed := capacity + perSec*(x.at-takes[i].at).Seconds(); sum > allowed+1e-6 {
					t.Fatalf("%v units from %v to %v, allowed are %v", sum, takes[i].at, x.at, allowed)
				}
			}
		}
	})
}

// TestRefillReportsLoss guards against a refill that hides the units which exceed the capacity: a refund must not restore them.
func TestRefillReportsLoss(t *testing.T) {
	var b Bucket
	if lost := b.Refill(3*time.Second, 10, 20); lost != 10 || b.Level != 20 {
		t.Errorf("lost %v, level %v, want 10 and 20", lost, b.Level)
	}
	if lost := b.Refill(3*time.Second, 10, 5); lost != 15 || b.Level != 5 {
		t.Errorf("after a lower capacity: lost %v, level %v, want 15 and 5", lost, b.Level)
	}
}
