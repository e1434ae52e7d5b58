package slopes

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"sycamoredeal/internal/claims"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/dispatch"
	"sycamoredeal/internal/membership"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

// machines measures the state machines alone, without processes.
func (r *runner) machines() {
	testing.Init()
	flag.Set("test.benchtime", "300ms") // the flag exists after Init
	for _, n := range []int{3, 8, 16, 20} {
		r.bench("heartbeat handling", n, heartbeats(n))
	}
	for _, n := range []int{9, 25, 50} {
		r.bench("dispatcher ask to done", n, asks(n))
	}
	for _, s := range []size{{endpoints: 9, models: 20}, {endpoints: 43, models: 120}, {endpoints: 43, models: 250}} {
		r.bench(fmt.Sprintf("planner round, %d endpoints, by models", s.endpoints), s.models, planning(s))
	}
	r.bench("claim machine, claim stored", 1, claimed)
	files := configFiles()
	r.bench("config.Build by models", targetModels, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := config.Build(1, files); err != nil {
				b.Fatal(err)
			}
		}
	})
	r.retained(files)
	r.say("State machines measured.")
}

func (r *runner) bench(name string, x int, f func(*testing.B)) {
	res := testing.Benchmark(f)
	r.add(name, float64(x), "state machine", "us_per_op", float64(res.T.Nanoseconds())/1e3/float64(max(res.N, 1)))
	r.add(name, float64(x), "state machine", "KiB_per_op", float64(res.AllocedBytesPerOp())/1024)
}

// heartbeats measures one heartbeat and the members list that follows it.
func heartbeats(n int) func(*testing.B) {
	return func(b *testing.B) {
		t := membership.New(membership.Config{Self: wire.Member{Host: "self"}, Suspect: 3 * time.Second, Dead: 10 * time.Second})
		var roster []wire.Member
		for i := range n {
			roster = append(roster, wire.Member{Host: fmt.Sprint("host-", i)})
		}
		t.SetRoster(0, roster)
		b.ReportAllocs()
		for i := uint64(0); b.Loop(); i++ {
			t.Heartbeat(time.Second, wire.Heartbeat{Host: roster[i%uint64(n)].Host, Incarnation: 1, Seq: i + 1})
			t.Live(time.Second)
		}
	}
}

// asks measures a request from Ask to Done with 2 of 3 slots in use, 6 models an endpoint and 20 callers.
func asks(endpoints int) func(*testing.B) {
	return func(b *testing.B) {
		rng := rand.New(rand.NewPCG(1, 1))
		models, slots := 6*endpoints, 64
		s := dispatch.New(0, dispatch.Config{}, dispatchView(rng, endpoints, slots, models), nil)
		var running []uint64
		var now time.Duration
		collect := func() {
			for _, o := range s.Take() {
				if o.Kind == wire.KindGrant {
					running = append(running, o.ID)
				}
			}
		}
		id := uint64(0)
		ask := func() {
			id++
			now += time.Millisecond
			s.Ask(now, "x", wire.Ask{ID: id, Caller: fmt.Sprint("c", rng.IntN(20)), Model: fmt.Sprint("m", rng.IntN(models)), Rank: "normal"})
			collect()
		}
		for len(running) < endpoints*slots*2/3 {
			ask()
		}
		b.ReportAllocs()
		for b.Loop() {
			ask()
			i := rng.IntN(len(running))
			done := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			s.Done(now, "x", wire.Done{ID: done, Tokens: 250, FirstMs: 100, TotalMs: 5000})
			collect()
		}
	}
}

func dispatchView(rng *rand.Rand, endpoints, slots, models int) *routing.View {
	d := config.Declarations{Ranks: []config.Rank{{Name: "normal", Deadline: time.Hour}}}
	p := &wire.Placement{Endpoints: make([]wire.EndpointPlacement, endpoints)}
	for i := range endpoints {
		name := fmt.Sprint("e", i)
		d.Endpoints = append(d.Endpoints, config.Endpoint{Name: name, Slots: slots, Zone: "a"})
		p.Endpoints[i].Endpoint = name
	}
	for m := range models {
		name := fmt.Sprint("m", m)
		d.Models = append(d.Models, config.Model{Name: name})
		for _, e := range rng.Perm(endpoints)[:copies] {
			p.Endpoints[e].Residents = append(p.Endpoints[e].Residents, wire.Resident{Name: name})
		}
	}
	return &routing.View{Snapshot: config.NewSnapshot(1, d), Placement: p}
}

// claimed measures a claim until its write has ended and its result, which is stored with the next claim.
func claimed(b *testing.B) {
	m := claims.NewMachine(0, time.Hour)
	now := time.Unix(1_000_000, 0)
	version := 0
	var settle func([]claims.Action)
	settle = func(actions []claims.Action) {
		for _, a := range actions {
			switch a.(type) {
			case claims.Load:
				settle(m.Loaded(now, nil, true))
			case claims.Write:
				version++
				settle(m.Written(now, fmt.Sprint(version), claims.WriteDone))
			case claims.Delete:
				settle(m.Deleted(now, claims.WriteDone))
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond) // the least gap between two writes
		key := fmt.Sprint("key-", i)
		settle(m.Claim(now, uint64(2*i), wire.ClaimRequest{Caller: "c", Key: key, Attempt: "a", Fingerprint: 1}))
		settle(m.Result(now, uint64(2*i+1), wire.ClaimResult{Caller: "c", Key: key, Attempt: "a", Outcome: 3, Status: 200}))
	}
}

func configFiles() []wire.File {
	var out []wire.File
	for name, content := range (size{endpoints: 9, models: 20, whole: true}).declarations() {
		out = append(out, wire.File{Name: name, Digest: config.Digest([]byte(content)), Content: []byte(content)})
	}
	return out
}

// retained measures the memory of the snapshot of the whole configuration.
func (r *runner) retained(files []wire.File) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the first one has only unlinked, such as pools
	runtime.ReadMemStats(&before)
	snap, err := config.Build(1, files)
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if err != nil {
		r.say("The whole configuration is refused: %s", err)
		return
	}
	r.add("config.Build by models", targetModels, "state machine", "retained_MiB", (float64(after.HeapAlloc)-float64(before.HeapAlloc))/mebibyte)
	runtime.KeepAlive(snap)
	runtime.KeepAlive(files)
}
