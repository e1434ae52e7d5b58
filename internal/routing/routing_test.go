package routing

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

func twoEndpoints(slots int) *View {
	d := config.Declarations{Endpoints: []config.Endpoint{{Name: "a", Slots: slots}, {Name: "b", Slots: 2 * slots}}}
	p := &wire.Placement{Endpoints: []wire.EndpointPlacement{
		{Endpoint: "a", Residents: []wire.Resident{{Name: "m"}}}, {Endpoint: "b", Residents: []wire.Resident{{Name: "m"}}}}}
	return &View{Snapshot: config.NewSnapshot(1, d), Placement: p}
}

// Guards against an entry that decides alone taking more than its share, or none of a small endpoint.
func TestStaticShare(t *testing.T) {
	for _, c := range []struct{ slots, entries, a, b int }{{8, 4, 2, 4}, {2, 16, 1, 1}, {4, 0, 4, 8}} {
		ch, v := NewChooser(PolicyIndependent, 1), twoEndpoints(c.slots)
		got := map[string]int{}
		for e := ch.Choose(0, v, &wire.Ask{Model: "m"}, c.entries, true); e != ""; e = ch.Choose(0, v, &wire.Ask{Model: "m"}, c.entries, true) {
			ch.Started(e)
			got[e]++
		}
		if got["a"] != c.a || got["b"] != c.b {
			t.Errorf("%d slots, %d entries: %v, want a:%d b:%d", c.slots, c.entries, got, c.a, c.b)
		}
	}
}

// Guards against ejection periods that do not grow, never end, or remove every resident of a model.
func TestEjector(t *testing.T) {
	j := NewEjector(1)
	var last time.Duration
	now := time.Duration(0)
	for i := range 4 {
		for range failuresToEject {
			j.Report(now, "a", true)
		}
		period := j.Until("a") - now
		if lo := firstEjection << i / 2; period < lo || period >= 3*lo {
			t.Errorf("ejection %d lasts %v, want %v to %v", i, period, lo, 3*lo)
		}
		last, now = now, j.Until("a")+1
	}
	if got := fmt.Sprint(j.Allowed(last, []string{"a", "b"}), j.Allowed(last, []string{"a"}), j.Allowed(now, []string{"a", "b"})); got != "[b] [a] [a b]" {
		t.Errorf("allowed: %s", got)
	}
}

// Guards against retries that multiply the load of a failing fleet or pass the deadline.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 1)
	n := 0
	for range 1000 {
		b.First()
		if d, ok := b.Retry(0, time.Second); ok {
			n++
			if d < firstBackoff/2 || d > firstBackoff {
				t.Fatalf("backoff %v", d)
			}
		}
	}
	if n < 100 || n > 111 {
		t.Errorf("%d retries for 1000 first attempts at a share of 0.1", n)
	}
	if _, ok := NewRetryBudget(1, 1).Retry(0, time.Millisecond); ok {
		t.Error("retry past the deadline")
	}
}
