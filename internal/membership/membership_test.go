package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/wire"
)

// TestStates guards against stale heartbeats that revive a member and against members that never time out.
func TestStates(t *testing.T) {
	tb := New(Config{Self: wire.Member{Host: "a"}, Suspect: 3 * time.Second, Dead: 10 * time.Second})
	tb.SetRoster(0, []wire.Member{{Host: "a"}, {Host: "b", Incarnation: 5}})
	for _, c := range []struct {
		at          time.Duration
		hb          wire.Heartbeat
		ok, leaving bool
		state       State
	}{
		{at: 1, hb: wire.Heartbeat{Host: "x", Incarnation: 9, Seq: 1}, state: Unheard},
		{at: 1, hb: wire.Heartbeat{Host: "b", Incarnation: 4, Seq: 9}, state: Unheard},
		{at: 1, hb: wire.Heartbeat{Host: "b", Incarnation: 5, Seq: 2}, ok: true, state: Alive},
		{at: 4, hb: wire.Heartbeat{Host: "b", Incarnation: 5, Seq: 2}, state: Suspect},
		{at: 5, hb: wire.Heartbeat{Host: "b", Incarnation: 5, Seq: 3, Leaving: true}, ok: true, leaving: true, state: Alive},
		{at: 6, hb: wire.Heartbeat{Host: "b", Incarnation: 6, Seq: 1}, ok: true, state: Alive},
		{at: 7, hb: wire.Heartbeat{Host: "b", Incarnation: 5, Seq: 8}, state: Alive},
		{at: 16, hb: wire.Heartbeat{}, state: Dead},
	} {
		now := c.at * time.Second
		if ok := tb.Heartbeat(now, c.hb); ok != c.ok {
			t.Errorf("at %s: accepted %v, want %v", now, ok, c.ok)
		}
		if m := tb.Members(now)[1]; m.State != c.state || m.Leaving != c.leaving {
			t.Errorf("at %s: %s, leaving %v; want %s, %v", now, m.State, m.Leaving, c.state, c.leaving)
		}
	}
}

// TestRendezvous guards against keys that move between hosts that stay.
func TestRendezvous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching("h[0-9]{1,3}"), 1, 20, rapid.ID).Draw(t, "hosts")
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		rest := append(append([]string(nil), hosts[:gone]...), hosts[gone+1:]...)
		for i := range 16 {
			key := fmt.Sprint("shard/", i)
			before, after := Owner(key, hosts), Owner(key, rest)
			if before != hosts[gone] && before != after {
				t.Fatalf("%s moved from %s to %s when %s left", key, before, after, hosts[gone])
			}
		}
	})
}
