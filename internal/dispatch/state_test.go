package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

const ms = time.Millisecond

// testView has endpoints e0.. of the given slots; model mI is held by the endpoints that holders(I) returns.
func testView(endpoints, slots, models int, holders func(m int) []int, d config.Declarations) *routing.View {
	p := &wire.Placement{Endpoints: make([]wire.EndpointPlacement, endpoints)}
	for i := range endpoints {
		name := fmt.Sprint("e", i)
		d.Endpoints = append(d.Endpoints, config.Endpoint{Name: name, Slots: slots, Zone: "a"})
		p.Endpoints[i].Endpoint = name
	}
	for m := range models {
		name := fmt.Sprint("m", m)
		d.Models = append(d.Models, config.Model{Name: name})
		for _, e := range holders(m) {
			p.Endpoints[e].Residents = append(p.Endpoints[e].Residents, wire.Resident{Name: name})
		}
	}
	return &routing.View{Snapshot: config.NewSnapshot(1, d), Placement: p}
}

func threeRanks() []config.Rank {
	return []config.Rank{
		{Name: "urgent", Order: 0, Deadline: time.Second, Headroom: 0.0625, Floor: 0.2, QueueLimit: 500},
		{Name: "normal", Order: 1, Deadline: 3 * time.Second, Floor: 0.2, QueueLimit: 1000},
		{Name: "batch", Order: 2, Deadline: 10 * time.Second, Floor: 0.1, QueueLimit: 2000, Preemptible: true},
	}
}

func one(int) []int { return []int{0} }

func kinds(out []Output) string {
	s := ""
	for _, o := range out {
		s += fmt.Sprintf("%d:%d ", o.ID, o.Kind)
	}
	return s
}

func expectKinds(t *testing.T, s *State, want string) {
	t.Helper()
	if got := kinds(s.Take()); got != want {
		t.Fatalf("outputs %q, want %q", got, want)
	}
}

func out(id uint64, k wire.Kind) string { return fmt.Sprintf("%d:%d ", id, k) }

// Guards against less urgent work starting first when a slot becomes free.
func TestUrgentFirst(t *testing.T) {
	s := New(0, Config{}, testView(1, 1, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u", Order: 0}, {Name: "b", Order: 1}}}), nil)
	for i, k := range []string{"b", "b", "u"} {
		s.Ask(0, "x", wire.Ask{ID: uint64(i), Caller: "c", Rank: k, Model: "m0"})
	}
	s.Take()
	s.Done(ms, "x", wire.Done{ID: 0})
	expectKinds(t, s, out(2, wire.KindGrant))
}

// Guards against a request that waits for a full model blocking a request for another model.
func TestNoBlockingBetweenModels(t *testing.T) {
	v := testView(2, 1, 2, func(m int) []int { return []int{m} }, config.Declarations{Ranks: threeRanks()})
	s := New(0, Config{}, v, nil)
	for i, m := range []string{"m0", "m1", "m0", "m1"} {
		s.Ask(0, "x", wire.Ask{ID: uint64(i), Caller: "c", Rank: "batch", Model: m})
	}
	s.Take()
	s.Done(ms, "x", wire.Done{ID: 1})
	expectKinds(t, s, out(3, wire.KindGrant))
}

// Guards against a hopeless request being held until its deadline, and against RetryAfter without relation to the queue.
func TestRefusesAtOnce(t *testing.T) {
	v := testView(1, 1, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u", Deadline: 6 * time.Second}}})
	s := New(0, Config{}, v, nil) // the initial mean work is 1 s: the last has a mean wait of 3 s and a deviation of 1.7 s
	for i := range 4 {
		s.Ask(0, "x", wire.Ask{ID: uint64(i), Caller: "c", Model: "m0"})
	}
	o := s.Take()
	last := o[len(o)-1]
	if last.ID != 3 || last.Kind != wire.KindRefuse || last.RetryAfterMs != 3000 {
		t.Fatalf("last output %+v, want a refusal of 3 with 3000 ms", last)
	}
	s.Ask(0, "x", wire.Ask{ID: 9, Caller: "c", Model: "m0", Resumed: true})
	expectKinds(t, s, out(9, wire.KindQueued))
	s.Done(500*ms, "x", wire.Done{ID: 0})
	expectKinds(t, s, out(9, wire.KindGrant)) // a resumed attempt goes first in its rank
}

// Guards against an expired request staying in the queue.
func TestExpires(t *testing.T) {
	s := New(0, Config{}, testView(1, 1, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u", Deadline: 2500 * ms}}}), nil)
	s.Ask(0, "x", wire.Ask{ID: 1, Caller: "c", Model: "m0"})
	s.Ask(0, "x", wire.Ask{ID: 2, Caller: "c", Model: "m0"})
	s.Take()
	s.Tick(2500 * ms)
	expectKinds(t, s, out(2, wire.KindRefuse))
}

// Guards against urgent work waiting behind preemptible work, and against preempting the same request without bound.
func TestPreempts(t *testing.T) {
	v := testView(1, 1, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u", Order: 0}, {Name: "b", Order: 1, Preemptible: true}}})
	s := New(0, Config{}, v, nil)
	s.Ask(0, "x", wire.Ask{ID: 1, Caller: "c", Rank: "b", Model: "m0"})
	s.Ask(0, "x", wire.Ask{ID: 2, Caller: "c", Rank: "u", Model: "m0"})
	expectKinds(t, s, out(1, wire.KindGrant)+out(2, wire.KindQueued)+out(1, wire.KindPreempt))
	s.Done(ms, "x", wire.Done{ID: 1})
	s.Ask(ms, "x", wire.Ask{ID: 3, Caller: "c", Rank: "b", Model: "m0", Resumed: true, Preemptions: 3})
	s.Done(2*ms, "x", wire.Done{ID: 2})
	s.Tick(time.Second)
	s.Ask(time.Second, "x", wire.Ask{ID: 4, Caller: "c", Rank: "u", Model: "m0"})
	expectKinds(t, s, out(2, wire.KindGrant)+out(3, wire.KindQueued)+out(3, wire.KindGrant)+out(4, wire.KindQueued))
}

// Guards against ejection of a model's only endpoint, and against a failing endpoint receiving more work.
func TestEjects(t *testing.T) {
	v := testView(2, 4, 2, func(m int) []int { return []int{0, 1}[:2-m] }, config.Declarations{Ranks: threeRanks()})
	s := New(0, Config{}, v, nil)
	for i := range uint64(3) {
		s.Ask(0, "x", wire.Ask{ID: i, Caller: "c", Model: "m1"})
		s.Done(ms, "x", wire.Done{ID: i, Failed: true})
	}
	s.Take()
	for i := range uint64(4) {
		s.Ask(2*ms, "x", wire.Ask{ID: 10 + i, Caller: "c", Model: "m0"})
	}
	s.Ask(2*ms, "x", wire.Ask{ID: 20, Caller: "c", Model: "m1"})
	for _, o := range s.Take() {
		if want := map[bool]string{true: "e0", false: "e1"}[o.ID == 20]; o.Endpoint != want {
			t.Errorf("request %d at %q, want %s", o.ID, o.Endpoint, want)
		}
	}
}

// Guards against a new dispatcher granting slots that are in use, and against it waiting forever for a silent entry.
func TestTakeover(t *testing.T) {
	v := testView(1, 4, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u"}}})
	s := New(0, Config{}, v, []string{"x", "y"})
	for i := range uint64(3) {
		s.Ask(0, "x", wire.Ask{ID: i, Caller: "c", Model: "m0"})
	}
	expectKinds(t, s, out(0, wire.KindGrant)+out(1, wire.KindGrant)+out(2, wire.KindQueued))
	s.EntryUp(0, "y", "a")
	s.Resync(ms, "y", wire.Resync{Running: []wire.Running{{Ask: wire.Ask{ID: 7, Caller: "c", Model: "m0"}, Endpoint: "e0"}}})
	expectKinds(t, s, "")
	s.Tick(3 * time.Second)
	expectKinds(t, s, out(2, wire.KindGrant)) // 3 + 1 of 4 slots
	s.Ask(3*time.Second, "x", wire.Ask{ID: 4, Caller: "c", Model: "m0", Resumed: true})
	s.EntryDown(4*time.Second, "y")
	s.Tick(5 * time.Second)
	expectKinds(t, s, out(4, wire.KindQueued))
	s.Tick(40 * time.Second) // the lost entry's grant is released after the bound
	expectKinds(t, s, out(4, wire.KindGrant))
}

// Guards against new work for a leaving endpoint, whichever source says so, and against work that waits although the other
// copy has room.
func TestLeaving(t *testing.T) {
	both := func(int) []int { return []int{0, 1} }
	for name, leave := range map[string]func(v *routing.View){
		"report":    func(v *routing.View) { v.Leaving = map[string]bool{"e0": true} },
		"placement": func(v *routing.View) { v.Placement.Endpoints[0].Leaving = true },
		"declared":  func(v *routing.View) { v.Snapshot.Endpoint("e0").Leaving = true },
	} {
		v := testView(2, 2, 1, both, config.Declarations{Ranks: []config.Rank{{Name: "u"}}})
		s := New(0, Config{}, v, nil)
		w := *testView(2, 2, 1, both, config.Declarations{Ranks: []config.Rank{{Name: "u"}}})
		leave(&w)
		s.SetView(0, &w)
		for i := range uint64(3) {
			s.Ask(0, "x", wire.Ask{ID: i, Caller: "c", Model: "m0"})
		}
		for i, want := range []string{"e1", "e1", ""} {
			if o := s.out[i]; o.Endpoint != want {
				t.Errorf("%s: request %d at %q, want %q", name, i, o.Endpoint, want)
			}
		}
		s.Take()
		s.SetView(0, v)
		expectKinds(t, s, out(2, wire.KindGrant))
	}
}

// Guards against the grants of a dead host being held for the bound of a lost connection.
func TestEntryDead(t *testing.T) {
	s := New(0, Config{}, testView(1, 1, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u"}}}), nil)
	s.EntryUp(0, "x", "a")
	s.Ask(0, "x", wire.Ask{ID: 1, Caller: "c", Model: "m0"})
	s.Ask(0, "y", wire.Ask{ID: 2, Caller: "c", Model: "m0"})
	s.EntryDown(ms, "x")
	s.Tick(20 * ms)
	expectKinds(t, s, out(1, wire.KindGrant)+out(2, wire.KindQueued))
	s.EntryDead(21*ms, "x")
	expectKinds(t, s, out(2, wire.KindGrant))
}

// Guards against overcommitted slots, second or missing final answers, and needless refusals: for any sequence of events
// no grant exceeds the slots, every request has one final answer by its deadline, and no request is refused while an endpoint
// of its model that is not ejected has a free slot (no headroom is declared at this size).
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := testView(4, 3, 5, func(m int) []int { return []int{m % 4, (m + 1) % 4} }, config.Declarations{Ranks: threeRanks()})
		s := New(0, Config{Seed: rapid.Uint64().Draw(t, "seed"), TotalLimit: 12}, v, nil)
		now, id := time.Duration(0), uint64(0)
		answers, cancelled, at, used := map[uint64]int{}, map[uint64]bool{}, map[uint64]string{}, map[string]int{}
		free := func(id uint64) {
			if e := at[id]; e != "" {
				used[e]--
				delete(at, id)
			}
		}
		check := func() {
			for _, o := range s.Take() {
				switch o.Kind {
				case wire.KindGrant:
					at[o.ID] = o.Endpoint
					used[o.Endpoint]++
					answers[o.ID]++
				case wire.KindRefuse:
					answers[o.ID]++
				}
				if used[o.Endpoint] > 3 {
					t.Fatalf("endpoint %s has %d grants for 3 slots", o.Endpoint, used[o.Endpoint])
				}
				if answers[o.ID] > 1 {
					t.Fatalf("request %d has %d answers", o.ID, answers[o.ID])
				}
			}
		}
		ask := func(t *rapid.T) {
			m := rapid.IntRange(0, 4).Draw(t, "model")
			id++
			answers[id] = 0
			s.Ask(now, "x", wire.Ask{ID: id, Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
				Rank: rapid.SampledFrom([]string{"urgent", "normal", "batch"}).Draw(t, "rank"), Model: fmt.Sprint("m", m)})
			spare := false // an ejected endpoint is no room
			for _, e := range []string{fmt.Sprint("e", m%4), fmt.Sprint("e", (m+1)%4)} {
				spare = spare || used[e] < 3 && s.endpoints[e].until <= now
			}
			for _, o := range s.out {
				if o.ID == id && o.Kind == wire.KindRefuse && spare {
					t.Fatalf("request %d refused while a slot is free", id)
				}
			}
			check()
		}
		pickID := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, max(id, 1)).Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"ask": ask, "ask again": ask,
			"done": func(t *rapid.T) {
				d := pickID(t)
				free(d)
				s.Done(now, "x", wire.Done{ID: d, Failed: rapid.Bool().Draw(t, "failed"), Tokens: 50})
				check()
			},
			"cancel": func(t *rapid.T) {
				d := pickID(t)
				cancelled[d] = answers[d] == 0
				free(d)
				s.Cancel(now, "x", d)
				check()
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms
				s.Tick(now)
				check()
			},
			"view": func(t *rapid.T) {
				w := *v
				w.Leaving = map[string]bool{fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "leaving")): true}
				s.SetView(now, &w)
				s.SetView(now, v)
				check()
			},
		})
		s.Tick(now + time.Minute)
		check()
		for i := range answers {
			if answers[i] == 0 && !cancelled[i] {
				t.Fatalf("request %d has no answer", i)
			}
		}
	})
}
