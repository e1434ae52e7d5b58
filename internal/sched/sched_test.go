package sched

import (
	"fmt"
	"math"
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
	return Config{Seed: 3, Retries: RetryLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}}
}

// testView returns a view with one engine (e0, e1, ...) per list of models, and plain endpoints p0, p1, ...
func testView(slots int, models [][]string, plain int) *fleet.View {
	engine := &fleet.Engine{Slots: slots, KVTokens: 100000, MemoryMB: 220000, AdapterSlots: 2}
	v := &fleet.View{EndpointsListed: true, Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{
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

// answers returns the messages since the previous call, by request id. Of several for a request, the last one counts.
func answers(s *State) map[uint64]wire.Message {
	out := make(map[uint64]wire.Message)
	for _, o := range s.TakeOutputs() {
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
		t.Fatalf("%#v is not a grant", m)
	}
	return g.Endpoint
}

// TestUrgentFirst guards against granting a free slot to a less urgent request while a more urgent one waits.
func TestUrgentFirst(t *testing.T) {
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	first := chat(1, "m")
	s.Ask(0, "h", first)
	lessUrgent := chat(2, "m")
	lessUrgent.Priority = 2
	s.Ask(0, "h", lessUrgent)
	s.Ask(0, "h", chat(3, "m"))
	answers(s)
	s.Done(20*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 20})
	got := answers(s)
	if endpointOf(t, got[3]) != "e0" || got[2] != nil {
		t.Errorf("after a slot became free: %v", got)
	}
}

// TestOnTimeBeforeLate guards against serving late requests first, which makes all later requests late as well.
func TestOnTimeBeforeLate(t *testing.T) {
	s := New(0, testConfig(), testView(1, [][]string{{"m"}}, 0))
	s.Ask(0, "h", chat(1, "m"))
	s.Ask(0, "h", chat(2, "m"))
	answers(s)
	s.Tick(400 * time.Millisecond) // request 2 is late now
	s.Ask(400*time.Millisecond, "h", chat(3, "m"))
	s.Done(410*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 410})
	if got := answers(s); endpointOf(t, got[3]) != "e0" {
		t.Errorf("after a slot became free: %v", got)
	}
}

// TestFloodRefusedAtOnce sends requests of the most urgent rank at ten times the capacity. It guards against queueing
// requests until their deadline that can't be served before it; they have to be refused on arrival.
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
		t.Errorf("served %d, the endpoint has slots for 64 in 4 s", served)
	}
	// 8 slots, each used twice per second, serve 16 of 200 requests per second. Refusals after a wait occur only at the
	// start, when the duration of requests has not been measured yet.
	if early < 4*late {
		t.Errorf("%d refused at once, %d after a wait", early, late)
	}
}

// TestBacklogWaits guards against a long prefill backlog at an engine: a request in the queue can still go to another one.
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
		t.Error("no further request is granted after prompts were processed")
	}
}

// TestDrainingGetsNothing guards against grants at an endpoint that is draining.
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
			t.Errorf("request %d was sent to a draining endpoint", id)
		}
	}
}

// TestAdapterNeedsHolder guards against granting requests that fail because no holder can load their adapter. They have to
// wait for an endpoint that has the adapter, or for a holder.
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

// TestClosingCopy guards against grants at a copy that is about to be unloaded, which the endpoint would refuse.
func TestClosingCopy(t *testing.T) {
	s := New(0, testConfig(), testView(4, [][]string{{"m"}, {"m"}}, 0))
	s.SetHolder(0, &wire.HolderBeat{Unloading: []wire.ModelCopy{{Endpoint: "e0", Model: "m"}}})
	for i := range uint64(4) {
		s.Ask(0, "h", chat(i+1, "m"))
	}
	for id, m := range answers(s) {
		if endpointOf(t, m) != "e1" {
			t.Errorf("request %d was sent to a closing copy", id)
		}
	}
}

// TestWarmConnection guards against opening a connection when an equally good endpoint already has an idle one.
func TestWarmConnection(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}, {"m"}, {"m"}}, 3))
	for i := range uint64(5) {
		a := chat(2*i+1, "m")
		a.WarmEndpoints = []string{"e1", "p2"}
		s.Ask(0, "h", a)
		s.Ask(0, "h", wire.Ask{ID: 2*i + 2, Service: plainService, DeadlineMs: 1000, WarmEndpoints: a.WarmEndpoints})
		for id, m := range answers(s) {
			if e := endpointOf(t, m); e != "e1" && e != "p2" {
				t.Errorf("request %d was sent to %s, where the host has no idle connection", id, e)
			}
			s.Started(0, "h", wire.Started{ID: id, FirstMs: 20})
			s.Done(0, "h", wire.Done{ID: id, TotalMs: 20})
		}
	}
}

// TestHealth guards against sending further requests to a dead endpoint, and against pausing endpoints for all hosts because
// one host has lost its network.
func TestHealth(t *testing.T) {
	const host, other = "a", "b"
	fails := func(h *health, now time.Duration, from string, f Fault) {
		h.failure(now, from, f, func() bool { return true })
	}
	t.Run("dead endpoint", func(t *testing.T) {
		h := &health{}
		fails(h, time.Second, host, ConnectFailed)
		if h.usable(time.Second, other) {
			t.Error("used after a failed connect without a recent success")
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
	t.Run("isolated host", func(t *testing.T) {
		h := &health{}
		h.success(time.Second, other)
		fails(h, 1100*time.Millisecond, host, ConnectFailed)
		if !h.usable(1100*time.Millisecond, other) || h.usable(1100*time.Millisecond, host) {
			t.Error("one host's failure counts for others, or not for itself")
		}
		fails(h, 1200*time.Millisecond, other, ConnectFailed)
		if h.usable(1200*time.Millisecond, "c") {
			t.Error("failures of two hosts don't pause the endpoint")
		}
	})
	t.Run("failure rate", func(t *testing.T) {
		h := &health{}
		now := time.Second
		for i := range 60 {
			now += 20 * time.Millisecond
			if i%5 < 2 {
				fails(h, now, host, ErrorStatus)
			} else if h.usable(now, host) {
				h.success(now, host)
			}
			if h.pausedUntil > now {
				return
			}
		}
		t.Error("an endpoint that fails 40% of its requests is never paused")
	})
}

// TestResync guards against a new dispatcher that does not count the requests in flight.
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
	if s.endpoints["e0"].usedSlots != 2 {
		t.Errorf("%d slots counted, want 2", s.endpoints["e0"].usedSlots)
	}
	s.HostDown(time.Second, "h")
	s.Tick(time.Second + hostLossTimeout + time.Millisecond)
	if s.endpoints["e0"].usedSlots != 0 || s.waiting != 0 {
		t.Errorf("a lost host keeps %d slots and %d requests in the queue", s.endpoints["e0"].usedSlots, s.waiting)
	}
}

// TestInvariants applies random events and checks that no endpoint exceeds its slots, that no counter becomes negative, and
// that each Ask gets exactly one final answer.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		v := testView(slots, [][]string{{"m", "n"}, {"m"}, {"n"}}, 2)
		s := New(0, testConfig(), v)
		now := time.Duration(0)
		state := make(map[uint64]string)
		var id uint64
		check := func() {
			for _, o := range s.TakeOutputs() {
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
				if e.usedSlots > slots || e.usedSlots < 0 || e.backlogTokens < 0 || e.kvTokens < 0 {
					t.Fatalf("endpoint %s: %d of %d slots, backlog %f, KV cache tokens %f", e.id, e.usedSlots, slots, e.backlogTokens, e.kvTokens)
				}
			}
			trials := make(map[string]int)
			for _, r := range s.requests {
				if r.onTrial && now-r.grantedAt < maxTrialTime {
					if trials[r.endpoint.id]++; trials[r.endpoint.id] > 1 {
						t.Fatalf("endpoint %s has two trials of suspected parts", r.endpoint.id)
					}
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
				a.PromptParts = []wire.PromptPart{{ID: uint64(rapid.IntRange(1, 2).Draw(t, "part"))}, {ID: 100 + id}}
				if rapid.Bool().Draw(t, "plain") {
					a.Service, a.Model = plainService, ""
				}
				state[id] = "asked"
				s.Ask(now, "h", a)
			case 3, 4:
				for k, st := range state {
					if st == "granted" {
						state[k] = "done"
						lost := rapid.Bool().Draw(t, "lost")
						if !lost {
							s.Started(now, "h", wire.Started{ID: k, FirstMs: 20})
						}
						s.Done(now, "h", wire.Done{ID: k, TotalMs: 100, Fault: uint8(rapid.IntRange(0, 4).Draw(t, "fault")), ConnectionLost: lost})
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

// TestAdaptersCompete requests more adapters than an endpoint has adapter slots. It guards against two grants that rely on
// the same adapter slot, and against evicting an adapter in use, which would fail the requests that use it.
func TestAdaptersCompete(t *testing.T) {
	s := New(0, testConfig(), testView(8, [][]string{{"m"}}, 0)) // has two adapter slots
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
		t.Fatalf("third adapter while both adapter slots are in use: %#v", got[3])
	}
	s.Done(10*time.Millisecond, "h", wire.Done{ID: 1, TotalMs: 9})
	g, ok := answers(s)[3].(*wire.Grant)
	if !ok || !g.Prepare || g.Evict != (wire.ModelAdapter{Model: "m", Adapter: "a1"}) || len(g.Keep) != 1 || g.Keep[0].Adapter != "a2" {
		t.Fatalf("after the first adapter slot became free: %+v", g)
	}
	ask(4, "a1") // no longer loaded, and both adapter slots are in use
	if _, ok := answers(s)[4].(*wire.Queued); !ok {
		t.Error("an evicted adapter was granted without a free adapter slot")
	}
	ask(5, "a2") // in use, so it needs no further adapter slot
	if g, ok := answers(s)[5].(*wire.Grant); !ok || g.Prepare {
		t.Errorf("an adapter in use: %+v", g)
	}
}

// TestWithoutConfiguration guards against grants by a dispatcher that knows the endpoints but not yet the configuration
// (soak, seed 5): it treated engines as plain services, sent them requests for any model, and failed on the first adapter.
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

// TestNewestLateRequestRefusedFirst sends a burst that leaves a queue of late requests. It guards against refusing those that
// have waited longest: they can still be served, whereas the ones behind them can't.
func TestNewestLateRequestRefusedFirst(t *testing.T) {
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

// TestRestartedEndpointFreesSlots guards against an endpoint that loses places for good when its process restarts: requests
// at the former process stayed counted at the new one after they had ended.
func TestRestartedEndpointFreesSlots(t *testing.T) {
	const slots = 2
	for _, service := range []string{engineService, plainService} {
		v := testView(slots, [][]string{{"m"}}, 1)
		s := New(0, testConfig(), v)
		ask := func(id uint64) {
			a := chat(id, "m")
			if service == plainService {
				a = wire.Ask{ID: id, Service: plainService, DeadlineMs: 2000, TargetMs: 1000}
			}
			s.Ask(0, "h", a)
		}
		for restart := range int64(3) {
			for i := range uint64(slots) {
				ask(uint64(restart)*10 + i + 1)
			}
			for id, m := range answers(s) {
				if _, ok := m.(*wire.Grant); !ok {
					t.Errorf("%s, restart %d: request %d got %#v although no other is in progress", service, restart, id, m)
				}
			}
			next := *v
			next.Endpoints = append([]fleet.Endpoint(nil), v.Endpoints...)
			for i := range next.Endpoints {
				next.Endpoints[i].StartUnixMs = restart + 1
			}
			v = &next
			s.SetView(0, v)
			ask(uint64(restart)*10 + 9) // waits, since the requests of the former process are still counted
			if m, ok := answers(s)[uint64(restart)*10+9].(*wire.Grant); ok {
				t.Errorf("%s, restart %d: %#v before the hosts have reported the ends", service, restart, m)
			}
			s.Cancel(0, "h", uint64(restart)*10+9)
			for i := range uint64(slots) {
				s.Done(0, "h", wire.Done{ID: uint64(restart)*10 + i + 1, Fault: uint8(BrokenResponse), Failed: true})
			}
		}
	}
}

// TestClosingCopyWithoutHolder guards against a copy that stays out of use because its unload was announced by a holder
// that is gone, and against a copy that counts as loaded for good although the list does not show it.
func TestClosingCopyWithoutHolder(t *testing.T) {
	s := New(0, testConfig(), testView(4, [][]string{{"m"}, {"n"}}, 0))
	s.SetHolder(0, &wire.HolderBeat{Host: "h", Unloading: []wire.ModelCopy{{Endpoint: "e0", Model: "m"}}, Loaded: []wire.ModelCopy{{Endpoint: "e1", Model: "o"}}})
	granted := func(now time.Duration, id uint64, model string) bool {
		s.Ask(now, "h", chat(id, model))
		_, ok := answers(s)[id].(*wire.Grant)
		s.Cancel(now, "h", id)
		return ok
	}
	const soon = 800 * time.Millisecond // the holder's beats have stopped, its orders may still take effect
	s.SetHolder(soon, nil)
	if granted(soon, 1, "m") || !granted(soon, 2, "o") {
		t.Error("the last report of a holder does not count soon after it is gone")
	}
	late := holderReportLife + time.Millisecond
	s.SetHolder(late, nil)
	s.SetView(late, testView(4, [][]string{{"m"}, {"n"}}, 0))
	if !granted(late, 3, "m") || granted(late, 4, "o") {
		t.Error("the last report of a holder that is gone still counts")
	}
}

// TestWorkShareRepeats guards against a share that depends on the order of a map by the rounding of its sum.
func TestWorkShareRepeats(t *testing.T) {
	names := []string{"m", "n", "o", "p", "q", "r", "s", "t"}
	s := New(0, testConfig(), testView(4, [][]string{names}, 0))
	for i, name := range names {
		a := chat(1, name)
		s.modelOf(&a).arrivalsPerSec = math.Sqrt(float64(i + 2))
	}
	a := chat(1, "m")
	first := s.workShare(s.endpoints["e0"], s.modelOf(&a))
	for range 200 {
		if again := s.workShare(s.endpoints["e0"], s.modelOf(&a)); again != first {
			t.Fatalf("the same share is %v and %v", first, again)
		}
	}
}
