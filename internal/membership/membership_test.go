package membership

import (
	"testing"
	"time"

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
