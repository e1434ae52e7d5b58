package host

import (
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// TestLimitObserved guards against limits that end because of an answer to a request from before they were known, or of an
// answer to an order, and against limits that are reported again with each answer.
func TestLimitObserved(t *testing.T) {
	var l rateLimits
	limited, free := &fleet.Answer{Limited: true, RateLimit: 2}, &fleet.Answer{}
	before := time.Now()
	time.Sleep(time.Millisecond)
	for i, c := range []struct {
		sentAt time.Time
		answer *fleet.Answer
		want   limitChange
	}{
		{before, free, limitSame},
		{before, limited, limitNew},
		{before, limited, limitSame},
		{before, free, limitSame},
		{time.Time{}, free, limitSame},
		{before, &fleet.Answer{Limited: true, RateLimit: 3}, limitNew},
		{time.Now().Add(time.Second), free, limitEnded},
		{time.Now().Add(time.Second), free, limitSame},
	} {
		if got := l.observe("e0", c.sentAt, c.answer); got != c.want {
			t.Errorf("case %d: %v, want %v", i, got, c.want)
		}
	}
	l.replace([]wire.EndpointLimit{{Endpoint: "e0", PerSec: 5}})
	if perSec, ok := l.of("e0"); !ok || perSec != 5 || len(l.list()) != 1 {
		t.Errorf("after the dispatcher's list: %v %v", perSec, ok)
	}
	l.replace(nil)
	if _, ok := l.of("e0"); ok {
		t.Error("a limit stays that the dispatcher has dropped")
	}
}

// TestLimitWithoutDispatcher guards against hosts that each send their share of a limit as soon as the dispatcher is lost, which
// is more than the limit together.
func TestLimitWithoutDispatcher(t *testing.T) {
	const hosts, perSec = 13, 2.0
	start := time.Now()
	var all []*rateLimits
	for range hosts {
		l := &rateLimits{}
		l.replace([]wire.EndpointLimit{{Endpoint: "e0", PerSec: perSec}, {Endpoint: "e1", PerSec: 0}})
		all = append(all, l)
	}
	for _, wait := range []time.Duration{time.Second, 4 * time.Second, 40 * time.Second} {
		sent := 0
		for _, l := range all {
			for at := time.Duration(0); at < wait; at += 10 * time.Millisecond {
				now := start.Add(time.Second + at)
				if l.allowsLocal("e0", hosts, start, now) {
					l.sentLocally("e0", now)
					sent++
				}
				if l.allowsLocal("e1", hosts, start, now) {
					t.Fatal("a request to an endpoint that takes none")
				}
			}
		}
		if max := localLimitShare*perSec*(wait.Seconds()+1) + 1; float64(sent) > max {
			t.Errorf("%d requests in %v", sent, wait)
		}
		start = start.Add(wait)
	}
	if !all[0].allowsLocal("e2", hosts, start, start) {
		t.Error("no request to an endpoint without a limit")
	}
}
