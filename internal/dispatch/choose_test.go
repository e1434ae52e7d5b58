package dispatch

import (
	"fmt"
	"testing"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// Guards against a choice that ignores load, time to first token, zones, the prefix or demand for other residents.
func TestChoice(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(s *State)
		prefix  uint64
		want    func(s *State) string
	}{
		"load":     {prepare: func(s *State) { s.endpoints["e0"].used = 4 }, want: fixed("e1")},
		"ttft":     {prepare: func(s *State) { s.endpoints["e0"].firstMs = 400 }, want: fixed("e1")},
		"zone":     {prepare: func(s *State) { s.endpoints["e0"].zone = "b" }, want: fixed("e1")},
		"pressure": {prepare: func(s *State) { s.endpoints["e0"].pressure = 0.5 }, want: fixed("e1")},
		"prefix": {prepare: func(*State) {}, prefix: 77, want: func(s *State) string {
			return s.prefixHolder(&request{ask: wire.Ask{PrefixHash: 77}, model: s.models["m0"]}).name
		}},
		"bounded prefix": {prepare: func(s *State) {
			s.prefixHolder(&request{ask: wire.Ask{PrefixHash: 77}, model: s.models["m0"]}).used = 15
		}, prefix: 77, want: func(s *State) string {
			return map[bool]string{true: "e0", false: "e1"}[s.endpoints["e0"].used == 0]
		}},
	} {
		for seed := range uint64(8) { // the random tie-break must not decide
			v := testView(2, 16, 1, func(int) []int { return []int{0, 1} }, config.Declarations{})
			s := New(0, Config{Seed: seed}, v, nil)
			s.EntryUp(0, "x", "a")
			c.prepare(s)
			want := c.want(s)
			s.Ask(0, "x", wire.Ask{ID: 1, Caller: "c", Model: "m0", PrefixHash: c.prefix})
			if got := s.Take()[0].Endpoint; got != want {
				t.Errorf("%s, seed %d: chose %s, want %s", name, seed, got, want)
			}
		}
	}
}

func fixed(name string) func(*State) string { return func(*State) string { return name } }

// Guards against a burst of urgent work stopping all background work at once.
func TestPreemptionRate(t *testing.T) {
	ranks := []config.Rank{{Name: "u", Order: 0}, {Name: "b", Order: 1, Preemptible: true, Floor: 0.1}}
	s := New(0, Config{PreemptRate: 5}, testView(1, 100, 1, one, config.Declarations{Ranks: ranks}), nil)
	for i := range uint64(300) {
		s.Ask(0, "x", wire.Ask{ID: i, Caller: "c", Rank: map[bool]string{true: "b", false: "u"}[i < 100], Model: "m0"})
	}
	n := 0
	for i := 1; i <= 150; i++ {
		for _, o := range append([]Output(nil), s.Take()...) {
			if o.Kind == wire.KindPreempt {
				n++
				s.Done(s.now, "x", wire.Done{ID: o.ID})
			}
		}
		s.Tick(s.now + 20*ms)
	}
	if n < 10 || n > 21 { // 3 s at 5 per second, and the burst
		t.Errorf("%d preemptions in 3 s", n)
	}
	if got := fmt.Sprint(s.ranks[1].used); got != fmt.Sprint(100-n) {
		t.Errorf("%s background requests run after %d preemptions", got, n)
	}
}
