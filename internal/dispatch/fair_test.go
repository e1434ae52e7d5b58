package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// backlog keeps every caller backlogged on one endpoint, completes requests in the order of their grants and counts the
// tokens granted to each caller.
type backlog struct {
	s       *State
	id      uint64
	prompt  []uint32
	running []uint64
	of      map[uint64]int
	tokens  []float64
}

func (b *backlog) ask(c int) {
	b.id++
	b.of[b.id] = c
	b.s.Ask(0, "x", wire.Ask{ID: b.id, Caller: fmt.Sprint("c", c), Model: "m0", PromptTokens: b.prompt[c]})
	b.take()
}

func (b *backlog) take() {
	for _, o := range append([]Output(nil), b.s.Take()...) {
		if o.Kind == wire.KindGrant {
			b.running = append(b.running, o.ID)
			b.tokens[b.of[o.ID]] += float64(b.prompt[b.of[o.ID]] + 50)
		}
	}
}

func (b *backlog) complete(n int, refill bool) {
	for range n {
		id := b.running[0]
		b.running = b.running[1:]
		b.s.Done(0, "x", wire.Done{ID: id, Tokens: 50})
		b.take()
		if refill {
			b.ask(b.of[id])
		}
	}
}

func newBacklog(weights []float64, prompt []uint32) *backlog {
	d := config.Declarations{Ranks: []config.Rank{{Name: "u"}}}
	for i, w := range weights {
		d.Callers = append(d.Callers, config.Caller{Name: fmt.Sprint("c", i), Weight: w})
	}
	return &backlog{s: New(0, Config{}, testView(1, 4, 1, one, d), nil), prompt: prompt, of: map[uint64]int{}, tokens: make([]float64, len(weights))}
}

// Guards against shares that follow the number of requests instead of weights and tokens.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 3, 3).Draw(t, "weights")
		p := rapid.SliceOfN(rapid.Uint32Range(10, 1000), 3, 3).Draw(t, "prompts")
		b := newBacklog(w, p)
		for c := range 3 {
			for range 20 {
				b.ask(c)
			}
		}
		b.complete(100, true)
		clear(b.tokens)
		b.complete(4000, true)
		for c := 1; c < 3; c++ {
			if r := b.tokens[c] / w[c] / (b.tokens[0] / w[0]); r < 0.9 || r > 1.1 {
				t.Fatalf("tokens per weight of c%d are %.2f of c0's (tokens %v)", c, r, b.tokens)
			}
		}
	})
}

// Guards against a caller that was idle taking all slots afterwards.
func TestIdleCallerKeepsNoCredit(t *testing.T) {
	b := newBacklog([]float64{1, 1}, []uint32{100, 100})
	for range 40 {
		b.ask(0)
	}
	b.complete(1000, true) // c1 is idle meanwhile
	for range 40 {
		b.ask(1)
	}
	clear(b.tokens)
	b.complete(20, false)
	if b.tokens[0] != b.tokens[1] {
		t.Errorf("tokens after the idle time are %v, want equal shares", b.tokens)
	}
}

// Guards against a flood of one caller filling the rank's queue so that the others are refused.
func TestQueueLimitPerCaller(t *testing.T) {
	v := testView(1, 1, 1, one, config.Declarations{Ranks: []config.Rank{{Name: "u", QueueLimit: 10}}})
	s := New(0, Config{}, v, nil)
	for i := range uint64(20) {
		s.Ask(0, "x", wire.Ask{ID: i, Caller: "flood", Model: "m0"})
	}
	s.Take()
	s.Ask(0, "x", wire.Ask{ID: 100, Caller: "other", Model: "m0"})
	expectKinds(t, s, out(10, wire.KindRefuse)+out(100, wire.KindQueued)) // the newest of the flood gives way
}

// Guards against a flood of one rank holding slots that another rank's floor entitles it to, for any mix of floors.
func TestFloorsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floors := []float64{0, 0, 0}
		for i := range floors {
			floors[i] = float64(rapid.IntRange(0, 6).Draw(t, "floor")) / 20
		}
		ranks := threeRanks()
		for i := range ranks {
			ranks[i].Floor, ranks[i].Headroom, ranks[i].Deadline, ranks[i].QueueLimit = floors[i], 0, time.Hour, 0
		}
		v := testView(2, 10, 2, func(int) []int { return []int{0, 1} }, config.Declarations{Ranks: ranks})
		s := New(0, Config{}, v, nil)
		flood, id := rapid.IntRange(0, 2).Draw(t, "flood"), uint64(0)
		var running []uint64
		ask := func(r int) {
			id++
			s.Ask(0, "x", wire.Ask{ID: id, Caller: "c", Rank: ranks[r].Name, Model: fmt.Sprint("m", id%2)})
		}
		for range 200 {
			ask(flood)
		}
		for r := range 3 {
			for range 40 {
				ask(r)
			}
		}
		for range 60 { // every slot changes hands
			for _, o := range s.Take() {
				if o.Kind == wire.KindGrant {
					running = append(running, o.ID)
				}
			}
			s.Done(0, "x", wire.Done{ID: running[0]})
			running = running[1:]
		}
		for r, k := range s.ranks {
			if k.waiting > 0 && float64(k.used) < float64(int(20*floors[r])) {
				t.Fatalf("%s has %d slots with work waiting, its floor is %.2f of 20", k.Name, k.used, floors[r])
			}
		}
	})
}

// Guards against a flood of one caller keeping every model's queue full, so that the others are refused at once.
func TestFloodGivesWay(t *testing.T) {
	v := testView(1, 1, 4, one, config.Declarations{Ranks: []config.Rank{{Name: "u", Deadline: 4 * time.Second}}})
	s := New(0, Config{}, v, nil)
	for i, m := range []string{"m0", "m0", "m1", "m2", "m3"} {
		s.Ask(0, "x", wire.Ask{ID: uint64(i), Caller: "flood", Model: m})
	}
	s.Take()
	s.Ask(0, "x", wire.Ask{ID: 10, Caller: "other", Model: "m1"})
	expectKinds(t, s, out(2, wire.KindRefuse)+out(10, wire.KindQueued))
	s.Ask(0, "x", wire.Ask{ID: 11, Caller: "third", Model: "m1"}) // has no claim against an equal caller
	expectKinds(t, s, out(11, wire.KindRefuse))
}
