package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// BenchmarkAsk measures one request from Ask to Done with 10000 waiting, 50 endpoints, 250 models of 3 copies and 20
// callers. A tick every 15 requests stands for 20 ms at 760 asks/s.
func BenchmarkAsk(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	d := config.Declarations{Ranks: []config.Rank{
		{Name: "urgent", Order: 0, Deadline: time.Hour, Headroom: 0.06, Floor: 0.2},
		{Name: "normal", Order: 1, Deadline: time.Hour, Floor: 0.2},
		{Name: "batch", Order: 2, Deadline: time.Hour, Floor: 0.1},
	}}
	v := testView(50, 16, 250, func(int) []int { return rng.Perm(50)[:3] }, d)
	s := New(0, Config{TotalLimit: 1 << 20}, v, nil)
	var running []uint64
	now, id := time.Duration(0), uint64(0)
	callers, models := make([]string, 20), make([]string, 250)
	for i := range callers {
		callers[i] = fmt.Sprint("c", i)
	}
	for i := range models {
		models[i] = fmt.Sprint("m", i)
	}
	ask := func() {
		id++
		s.Ask(now, "x", wire.Ask{ID: id, Caller: callers[rng.IntN(20)], Model: models[rng.IntN(250)], Rank: simRanks[rng.IntN(3)], Resumed: s.waiting < 10000})
		for _, o := range s.Take() {
			if o.Kind == wire.KindGrant {
				running = append(running, o.ID)
			}
		}
	}
	for s.waiting < 10000 {
		ask()
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now += 1300 * time.Microsecond
		ask()
		i := rng.IntN(len(running))
		done := running[i]
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
		s.Done(now, "x", wire.Done{ID: done, Tokens: 100})
		for _, o := range s.Take() {
			if o.Kind == wire.KindGrant {
				running = append(running, o.ID)
			}
		}
		if n%15 == 0 {
			s.Tick(now)
			for _, o := range s.Take() {
				if o.Kind == wire.KindGrant {
					running = append(running, o.ID)
				}
			}
		}
	}
	b.ReportMetric(float64(s.waiting), "waiting")
}
