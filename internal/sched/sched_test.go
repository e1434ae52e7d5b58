package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	engineService = "lm"
	plainService  = "app"
)

func testConfig() Config {
	return Config{Seed: 3, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}
}

// testView has engines e0.. with the given models each, and plain endpoints p0..
func testView(slots int, models [][]string, plain int) *fleet.View {
	engine := &fleet.Engine{Slots: slots, KVTokens: 100000, MB: 220000, AdapterSlots: 2}
	v := &fleet.View{Listed: true, Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{
		engineService: {Name: engineService, Engine: engine}, plainService: {Name: plainService},
	}}}
	for i, held := range models {
		e := fleet.Endpoint{ID: fmt.Sprint("e", i), Service: engineService, Slots: slots, Address: "x:1"}
		for _, m := range held {
			e.Models = append(e.Models, fleet.Resident{Model: m})
		}
		v.Endpoints = append(v.Endpoints, e)
	}
	for i := range plain {
		v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: fmt.Sprint("p", i), Service: plainService, Slots: slots, Address: "x:1"})
	}
	return v
}

func chat(id uint64, model string) wire.Ask {
	return wire.Ask{ID: id, Service: engineService, Model: model, PromptTokens: 400, MaxTokens: 300, DeadlineMs: 2000, TargetMs: 250}
}

// answers returns the messages since the last call by request id.
func answers(s *State) map[uint64]wire.Message {
	out := make(map[uint64]wire.Message)
	for _, o := range s.Take() {
		switch m := o.Message.(type) {
		case *wire.Grant:
			out[m.ID] = m
		case *wire.Refuse:
			out[m.ID] = m
		case *wire.Queued:
			out[m.ID] = m
		}
	}
	return out
}

func endpointOf(t *testing.T, m wire.Message) string {
	t.Helper()
	g, ok := m.(*wire.Grant)
	if !ok {
		t.Fatalf("%#v is no grant", m)
	}
	return g.Endpoint
}

// TestUrgentFirst guards against less urgent work that takes a free place before urgent work that waits.
func TestUrgentFirst(t *testing.T) {
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	first := chat(1, "m")
	s.Ask(0, "h", first)
	late := chat(2, "m")
	late.Priority = 2
	s.Ask(0, "h", late)
	s.Ask(0, "h", chat(3, "m"))
	answers(s)
	s.Done(20*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 20})
	got := answers(s)
	if endpointOf(t, got[3]) != "e0" || got[2] != nil {
		t.Errorf("after a place became free: %v", got)
	}
}

// TestOnTimeBeforeLate guards against a queue that serves late requests first and thereby makes all of them late.
func TestOnTimeBeforeLate(t *testing.T) {
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	s.Ask(0, "h", chat(1, "m"))
	s.Ask(0, "h", chat(2, "m"))
	answers(s)
	s.Tick(400 * time.Millisecond) // request 2 is late now
	s.Ask(400*time.Millisecond, "h", chat(3, "m"))
	s.Done(410*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 410})
	if got := answers(s); endpointOf(t, got[3]) != "e0" {
		t.Errorf("after a place became free: %v", got)
	}
}

// TestFloodRefusedAtOnce replays a flood of the most urgent kind at ten times the capacity: what can't be served before
// its caller gives up has to be refused when it comes, not when its time is over.
func TestFloodRefusedAtOnce(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}}, 0))
	const hold = 500 * time.Millisecond
	ends := make(map[uint64]time.Duration)
	asked := make(map[uint64]time.Duration)
	served, early, late := 0, 0, 0
	id := uint64(0)
	for now := time.Duration(0); now < 6*time.Second; now += 5 * time.Millisecond {
		for k, end := range ends {
			if end <= now {
				delete(ends, k)
				s.Done(now, "h", wire.Done{ID: k, TotalMs: uint32(hold.Milliseconds())})
			}
		}
		if now < 4*time.Second {
			id++
			asked[id] = now
			s.Ask(now, "h", chat(id, "m"))
		}
		s.Tick(now)
		for k, m := range answers(s) {
			switch m.(type) {
			case *wire.Grant:
				served++
				ends[k] = now + hold
				s.Started(now+30*time.Millisecond, "h", wire.Started{ID: k, FirstMs: 30})
			case *wire.Refuse:
				if now-asked[k] < 100*time.Millisecond {
					early++
				} else {
					late++
				}
			}
		}
	}
	if served < 60 {
		t.Errorf("served %d, the endpoint has places for 64 in 4 s", served)
	}
	// 8 places that turn over twice a second serve 16 of 200 requests a second. Refusals that follow a wait come from
	// the onset, when the time that requests take has not been measured yet.
	if early < 4*late {
		t.Errorf("%d refused at once, %d after a wait", early, late)
	}
}

// TestBacklogWaits guards against prompts that are piled up at one engine: what waits here can still go elsewhere.
func TestBacklogWaits(t *testing.T) {
	s := New(0, testConfig(), testView(64, [][]string{{"m"}, {"m"}}, 0))
	for i := range uint64(20) {
		a := chat(i+1, "m")
		a.PromptTokens = 2000
		s.Ask(0, "h", a)
	}
	granted := 0
	for _, m := range answers(s) {
		if _, ok := m.(*wire.Grant); ok {
			granted++
		}
	}
	if granted < 4 || granted > 8 {
		t.Errorf("%d prompts of 80 ms sent to two engines, want 2 to 4 each", granted)
	}
	s.Started(80*time.Millisecond, "h", wire.Started{ID: 1, FirstMs: 80})
	s.Started(80*time.Millisecond, "h", wire.Started{ID: 2, FirstMs: 80})
	if got := answers(s); len(got) == 0 {
		t.Error("nothing follows when prompts have been read")
	}
}

// TestDrainingGetsNothing guards against work for an endpoint that is leaving.
func TestDrainingGetsNothing(t *testing.T) {
	v := testView(4, [][]string{{"m"}, {"m"}}, 0)
	s := New(0, testConfig(), v)
	w := *v
	w.Endpoints = append([]fleet.Endpoint(nil), v.Endpoints...)
	w.Endpoints[0].Draining = true
	s.SetView(0, &w)
	for i := range uint64(4) {
		s.Ask(0, "h", chat(i+1, "m"))
	}
	for id, m := range answers(s) {
		if g, ok := m.(*wire.Grant); ok && g.Endpoint == "e0" {
			t.Errorf("request %d was sent to a leaving endpoint", id)
		}
	}
}

// TestAdapterNeedsHolder guards against requests that are sent to fail because nobody can load their adapter: they wait
// for an endpoint that has it, or for a holder.
func TestAdapterNeedsHolder(t *testing.T) {
	s := New(0, testConfig(), testView(4, [][]string{{"m"}}, 0))
	a := chat(1, "m")
	a.Adapter = "a1"
	s.Ask(0, "h", a)
	if _, ok := answers(s)[1].(*wire.Queued); !ok {
		t.Fatal("granted although no adapter can be loaded")
	}
	s.SetHolder(10*time.Millisecond, &wire.HolderBeat{Host: "x", Epoch: 1, Busy: []string{"e0"}})
	if len(answers(s)) > 0 {
		t.Fatal("granted at an endpoint that carries out another order")
	}
	s.SetHolder(20*time.Millisecond, &wire.HolderBeat{Host: "x", Epoch: 1})
	g, ok := answers(s)[1].(*wire.Grant)
	if !ok || !g.Prepare || g.Holder != "x" {
		t.Fatalf("with a holder: %#v", g)
	}
	s.Done(30*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 20})
	a.ID = 2
	s.Ask(40*time.Millisecond, "h", a)
	if g, ok := answers(s)[2].(*wire.Grant); !ok || g.Prepare {
		t.Errorf("a loaded adapter is ordered again: %#v", g)
	}
	s.Done(50*time.Millisecond, "h", wire.Done{ID: 2, TotalMs: 10})
	s.SetHolder(52*time.Millisecond, &wire.HolderBeat{Host: "x", Epoch: 1, Evicted: []wire.AdapterCopy{{Endpoint: "e0", Model: "m", Adapter: "a1"}}})
	a.ID = 4
	s.Ask(53*time.Millisecond, "h", a)
	if g, ok := answers(s)[4].(*wire.Grant); !ok || !g.Prepare {
		t.Errorf("an adapter that was evicted counts as loaded: %#v", g)
	}
	s.Done(54*time.Millisecond, "h", wire.Done{ID: 4, Missing: true})
	a.ID = 3
	s.Ask(60*time.Millisecond, "h", a)
	if g, ok := answers(s)[3].(*wire.Grant); !ok || !g.Prepare {
		t.Errorf("an adapter that the endpoint lacks is not ordered: %#v", g)
	}
}

// TestClosingCopy guards against new work for a copy that is about to be unloaded, which the endpoint would refuse.
func TestClosingCopy(t *testing.T) {
	s := New(0, testConfig(), testView(4, [][]string{{"m"}, {"m"}}, 0))
	s.SetHolder(0, &wire.HolderBeat{Unloading: []wire.ModelCopy{{Endpoint: "e0", Model: "m"}}})
	for i := range uint64(4) {
		s.Ask(0, "h", chat(i+1, "m"))
	}
	for id, m := range answers(s) {
		if endpointOf(t, m) != "e1" {
			t.Errorf("request %d was sent to a copy that closes", id)
		}
	}
}

// TestWarmConnection guards against a new connection for a request where another endpoint does as well.
func TestWarmConnection(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}, {"m"}}, 3))
	for i := range uint64(5) {
		a := chat(2*i+1, "m")
		a.WarmEndpoints = []string{"e1", "p2"}
		s.Ask(0, "h", a)
		s.Ask(0, "h", wire.Ask{ID: 2*i + 2, Service: plainService, DeadlineMs: 1000, WarmEndpoints: a.WarmEndpoints})
		for id, m := range answers(s) {
			if e := endpointOf(t, m); e != "e1" && e != "p2" {
				t.Errorf("request %d goes to %s", id, e)
			}
			s.Started(0, "h", wire.Started{ID: id, FirstMs: 20})
			s.Done(0, "h", wire.Done{ID: id, TotalMs: 20})
		}
	}
}

// TestHealth guards against requests that keep going to a dead endpoint, and against one host that is cut off taking
// endpoints out for all.
func TestHealth(t *testing.T) {
	const host, other = "a", "b"
	fails := func(h *health, now time.Duration, from string, f Fault) {
		h.failure(now, from, f, func() bool { return true })
	}
	t.Run("dark", func(t *testing.T) {
		h := &health{}
		fails(h, time.Second, host, Connect)
		if h.usable(time.Second, other) {
			t.Error("used after a failed connect that nobody contradicts")
		}
		if !h.usable(time.Second+firstPause, other) {
			t.Error("no trial after the pause")
		}
		h.granted(time.Second + firstPause)
		if h.usable(time.Second+firstPause+time.Millisecond, other) {
			t.Error("a second request during the trial")
		}
		h.success(time.Second+firstPause+50*time.Millisecond, host)
		if !h.usable(time.Second+firstPause+51*time.Millisecond, other) {
			t.Error("not used after a successful trial")
		}
	})
	t.Run("cut off host", func(t *testing.T) {
		h := &health{}
		h.success(time.Second, other)
		fails(h, 1100*time.Millisecond, host, Connect)
		if !h.usable(1100*time.Millisecond, other) || h.usable(1100*time.Millisecond, host) {
			t.Error("one host's failure counts for others, or not for itself")
		}
		fails(h, 1200*time.Millisecond, other, Connect)
		if h.usable(1200*time.Millisecond, "c") {
			t.Error("two hosts' failures don't count")
		}
	})
	t.Run("grey", func(t *testing.T) {
		h := &health{}
		now := time.Second
		for i := range 60 {
			now += 20 * time.Millisecond
			if i%5 < 2 {
				fails(h, now, host, ErrorSaid)
			} else if h.usable(now, host) {
				h.success(now, host)
			}
			if h.until > now {
				return
			}
		}
		t.Error("an endpoint that fails 40% of its requests is never paused")
	})
}

// TestRepeatBudget guards against repeats that multiply the load of a failing service.
func TestRepeatBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryExtra = 10
	s := New(0, cfg, testView(1000, nil, 1))
	allowed := 0
	for i := range uint64(200) {
		a := wire.Ask{ID: i + 1, Service: plainService, DeadlineMs: 1000, TargetMs: 300, Retry: i >= 100}
		s.Ask(0, "h", a)
		if _, ok := answers(s)[i+1].(*wire.Grant); ok && a.Retry {
			allowed++
		}
	}
	// What an earlier dispatcher may have allowed counts as made.
	if want := int(budgetUse*(0.2*100+10) - unknownSpent*10); allowed != want {
		t.Errorf("%d repeats, want %d", allowed, want)
	}
	late := wire.Ask{ID: 500, Service: plainService, DeadlineMs: 1000, Retry: true}
	s.Ask(30*time.Second, "h", late)
	if _, ok := answers(s)[500].(*wire.Grant); !ok {
		t.Error("the window does not move on")
	}
}

// TestResync guards against work in flight that a new dispatcher does not count.
func TestResync(t *testing.T) {
	s := New(0, testConfig(), testView(2, [][]string{{"m"}}, 0))
	s.HostUp(0, "h")
	s.Resync(0, "h", wire.Resync{
		Running: []wire.Running{{Ask: chat(1, "m"), Endpoint: "e0"}, {Ask: chat(2, "m"), Endpoint: "e0"}},
		Waiting: []wire.Ask{chat(3, "m")},
	})
	if got := answers(s); len(got) != 1 || got[3] == nil {
		t.Fatalf("answers after the resync: %v", got)
	}
	if s.endpoints["e0"].used != 2 {
		t.Errorf("%d places counted", s.endpoints["e0"].used)
	}
	s.HostDown(time.Second, "h")
	s.Tick(time.Second + lostAfter + time.Millisecond)
	if s.endpoints["e0"].used != 0 || s.waiting != 0 {
		t.Errorf("a lost host keeps %d places and %d requests in the queue", s.endpoints["e0"].used, s.waiting)
	}
}

// TestInvariants plays random events: an endpoint never gets more than its places and memory, each ask gets one final
// answer, and places are freed.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		v := testView(slots, [][]string{{"m", "n"}, {"m"}, {"n"}}, 2)
		s := New(0, testConfig(), v)
		now := time.Duration(0)
		state := make(map[uint64]string)
		var id uint64
		check := func() {
			for _, o := range s.Take() {
				switch m := o.Message.(type) {
				case *wire.Grant:
					if state[m.ID] != "asked" {
						t.Fatalf("request %d is granted and was %q", m.ID, state[m.ID])
					}
					state[m.ID] = "granted"
				case *wire.Refuse:
					if state[m.ID] != "asked" {
						t.Fatalf("request %d is refused and was %q", m.ID, state[m.ID])
					}
					state[m.ID] = "refused"
				}
			}
			for _, e := range s.endpoints {
				if e.used > slots || e.used < 0 || e.backlog < 0 || e.kv < 0 {
					t.Fatalf("endpoint %s: %d places of %d, backlog %f, memory %f", e.id, e.used, slots, e.backlog, e.kv)
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				id++
				a := chat(id, rapid.SampledFrom([]string{"m", "n", "none"}).Draw(t, "model"))
				a.Priority = uint8(rapid.IntRange(0, 2).Draw(t, "rank"))
				a.PromptTokens = uint32(rapid.IntRange(1, 9000).Draw(t, "tokens"))
				if rapid.Bool().Draw(t, "plain") {
					a.Service, a.Model = plainService, ""
				}
				state[id] = "asked"
				s.Ask(now, "h", a)
			case 3, 4:
				for k, st := range state {
					if st == "granted" {
						state[k] = "done"
						s.Started(now, "h", wire.Started{ID: k, FirstMs: 20})
						s.Done(now, "h", wire.Done{ID: k, TotalMs: 100, Fault: uint8(rapid.IntRange(0, 4).Draw(t, "fault"))})
						break
					}
				}
			case 5:
				s.Tick(now)
			case 6:
				for k, st := range state {
					if st == "asked" {
						state[k] = "cancelled"
						s.Cancel(now, "h", k)
						break
					}
				}
			}
			check()
		}
		for k, st := range state {
			if st == "granted" {
				state[k] = "done"
				s.Done(now, "h", wire.Done{ID: k})
				check()
			}
		}
		now += time.Hour
		s.Tick(now)
		check()
		for k, st := range state {
			if st == "asked" {
				t.Fatalf("request %d has no answer", k)
			}
		}
	})
}

// TestAdaptersCompete replays requests for more adapters than an endpoint has places for. It guards against two grants
// that rely on the same place, and against an adapter in use that is to make room: the requests for it would fail.
func TestAdaptersCompete(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}}, 0)) // with two places for adapters
	s.SetHolder(0, &wire.HolderBeat{Host: "h0"})
	ask := func(id uint64, adapter string) {
		a := chat(id, "m")
		a.Adapter = adapter
		s.Ask(time.Duration(id)*time.Millisecond, "h", a)
	}
	for i, a := range []string{"a1", "a2", "a3"} {
		ask(uint64(i)+1, a)
	}
	got := answers(s)
	if _, ok := got[3].(*wire.Queued); !ok {
		t.Fatalf("third adapter while both places are in use: %#v", got[3])
	}
	s.Done(10*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 9})
	g, ok := answers(s)[3].(*wire.Grant)
	if !ok || !g.Prepare || g.Evict != (wire.ModelAdapter{Model: "m", Adapter: "a1"}) || len(g.Keep) != 1 || g.Keep[0].Adapter != "a2" {
		t.Fatalf("after the first place became free: %+v", g)
	}
	ask(4, "a1") // no longer loaded, and both places are in use
	if _, ok := answers(s)[4].(*wire.Queued); !ok {
		t.Error("an adapter that makes room was granted without a place")
	}
	ask(5, "a2") // in use: needs no place of its own
	if g, ok := answers(s)[5].(*wire.Grant); !ok || g.Prepare {
		t.Errorf("an adapter in use: %+v", g)
	}
}

// TestWithoutConfiguration guards against grants by a dispatcher that knows the endpoints before the configuration (soak,
// seed 5): it took engines for plain services, sent them requests for any model, and failed on the first adapter.
func TestWithoutConfiguration(t *testing.T) {
	v := testView(8, [][]string{{"m"}}, 1)
	known := v.Config
	v.Config = nil
	s := New(0, testConfig(), v)
	s.SetHolder(0, &wire.HolderBeat{Host: "h0"})
	a := chat(1, "m")
	a.Adapter = "a1"
	s.Ask(0, "h", a)
	s.Ask(0, "h", wire.Ask{ID: 2, Service: plainService, DeadlineMs: 2000, TargetMs: 300})
	for id, m := range answers(s) {
		if g, ok := m.(*wire.Grant); ok {
			t.Errorf("request %d is granted at %s", id, g.Endpoint)
		}
	}
	v.Config = known
	s.SetView(time.Millisecond, v)
	got := answers(s)
	if endpointOf(t, got[1]) != "e0" || endpointOf(t, got[2]) != "p0" {
		t.Errorf("with the configuration: %v", got)
	}
}

// TestRepeatsWithoutAsking replays a loss of adapters under load (caprired scale-2: 462 repeats in ten seconds, 383 were
// allowed): sends that hosts make without asking, and those that an earlier dispatcher has allowed, count as well.
func TestRepeatsWithoutAsking(t *testing.T) {
	s := New(0, testConfig(), testView(64, [][]string{{"m"}}, 0))
	free := func() int { // repeats that are still allowed
		n := 0
		for id := uint64(1000); ; id++ {
			a := chat(id, "m")
			a.Retry, a.PromptTokens = true, 1
			s.Ask(0, "h", a)
			switch answers(s)[id].(type) {
			case *wire.Grant:
				n++
				s.Done(0, "h", wire.Done{ID: id, TotalMs: 1})
			default:
				return n
			}
		}
	}
	s.Ask(0, "h", chat(1, "m"))
	s.Done(0, "h", wire.Done{ID: 1, Resends: 10, TotalMs: 20})
	bound := chat(2, "m")
	bound.ChosenEndpoint, bound.Retry = "e0", true
	s.Ask(0, "h", bound)
	running := chat(3, "m")
	running.Retry = true
	s.Resync(0, "h2", wire.Resync{Running: []wire.Running{{Ask: running, Endpoint: "e0"}}})
	cfg := testConfig()
	most := int(budgetUse*(cfg.RetryRatio+cfg.RetryExtra) - unknownSpent*cfg.RetryExtra)
	if n := free(); n > most-12 || n < most-14 {
		t.Errorf("%d repeats are allowed after 12 without asking, %d without them", n, most)
	}
}

// TestLateRefusedFromBehind replays a burst that leaves a queue of late requests. It guards against refusing those that
// have waited longest: the ones behind them can't be served, they can.
func TestLateRefusedFromBehind(t *testing.T) {
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	const hold, queued = 100 * time.Millisecond, 30
	for i := range uint64(queued + 1) {
		a := chat(i+1, "m")
		a.PromptTokens, a.TargetMs, a.DeadlineMs = 10, 4000, 4000
		s.Ask(0, "h", a)
	}
	now := time.Duration(0)
	running := uint64(1)
	refused := make(map[uint64]bool)
	last := uint64(0)
	for ; now < 6*time.Second && running > 0; now += hold {
		s.Done(now, "h", wire.Done{ID: running, TotalMs: uint32(hold.Milliseconds())})
		s.Tick(now)
		running = 0
		for id, m := range answers(s) {
			switch m.(type) {
			case *wire.Grant:
				if refused[id] {
					t.Fatalf("request %d has two answers", id)
				}
				running, last = id, max(last, id)
			case *wire.Refuse:
				refused[id] = true
			}
		}
	}
	for id := range refused {
		if id < last {
			t.Errorf("request %d was refused, and request %d, which came after it, was served", id, last)
		}
	}
}
